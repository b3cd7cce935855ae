"""The open watches fall silent and discovery is crowded by the calls that follow: the list comes too late. See claim.txt."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from standins import Backend, CannotRun, Clients, Discovery, Relay, has_trouble, play, small_deployment  # noqa: E402

GRACE_S = 0.5 + 0.05  # stop_sending_within, and the 50 ms by which each time limit is longer on sockets
TOLD_AT_THE_LATEST_S = 6.0  # after the watch fell silent
MACHINE_S = 0.25  # for a busy machine
CROWDED_S = 2.0  # how long discovery turns calls away, from the first one on
SILENCE_NOTED_S = 2.5  # the relays call again from about then on
RELAYS = 30  # of the deployment
PLAYED = 10  # of these, as processes; the others only crowd discovery


async def case(record, relays):
    backends = [Backend(record, f"s-{index}") for index in range(4)]
    for backend in backends:
        await backend.start()
    draining = backends[0]
    discovery = Discovery(record, backends)
    await discovery.start()
    all_clients = []
    for number in range(PLAYED):
        settings = small_deployment(balancers=RELAYS, me=number)
        relay = Relay(record, settings, discovery, discovery.whole_list(), seed=f"8c1f30d27a5be96{number:x}")
        relays.append(relay)
        await relay.wait_ready(*relay.start())
        clients = Clients(record, relay.port, rate=8.0, life=4.0)
        clients.start()
        all_clients.append(clients)
    await asyncio.sleep(6.4 - record.now())  # a moment after the last of the empty lines
    if has_trouble():
        discovery.silence_watches()
    silent_at = record.now()
    await asyncio.sleep(0.5)
    draining.state = "leaving"
    discovery.publish(draining)
    await asyncio.sleep(SILENCE_NOTED_S - 0.5)
    if has_trouble():
        discovery.is_overbooked = True
        record.write(f"all relays call again, and discovery turns calls away for {CROWDED_S} s")
    await asyncio.sleep(CROWDED_S)
    discovery.is_overbooked = False
    await asyncio.sleep(6)
    told_at = silent_at + TOLD_AT_THE_LATEST_S
    late = [(at, session) for at, session in draining.opens if at > told_at + GRACE_S + MACHINE_S]
    served = sum(1 for clients in all_clients for client in clients.all
                 if client.answer and client.answer.startswith("UP"))
    record.write(f"{served} sessions opened, {len(late)} requests sent to {draining.uid} too late")
    for clients in all_clients:
        await clients.end()
    if served < 40:
        raise CannotRun("too few sessions were opened")
    return [f"request {session} was sent to {draining.uid} {at - silent_at:.2f} s after the watches fell silent"
            for at, session in late]


play(FOLDER, case)
