"""The watches end and discovery is crowded by the calls that follow: the relay gives up each call too soon. See claim.txt."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from standins import Backend, CannotRun, Clients, Discovery, Relay, has_trouble, play, small_deployment  # noqa: E402

GRACE_S = 0.25 + 0.05  # stop_sending_within at this site, and the 50 ms by which each time limit is longer on sockets
TOLD_AT_THE_LATEST_S = 6.0  # after discovery had the change and could be reached
MACHINE_S = 0.25  # for a busy machine
CALL_TAKES_S = 1.5  # under the 2 s after which discovery lets a call fail
CROWDED_S = 14.0


async def case(record, relays):
    backends = [Backend(record, f"s-{index}") for index in range(4)]
    for backend in backends:
        await backend.start()
    draining = backends[0]
    discovery = Discovery(record, backends)
    await discovery.start()
    settings = small_deployment(discovery="pushed", balancers=4, invariants__stop_sending_within=250.0)
    relay = Relay(record, settings, discovery, discovery.whole_list())
    relays.append(relay)
    process, mgmt = relay.start()
    await relay.wait_ready(process, mgmt)
    clients = Clients(record, relay.port, rate=8.0, life=10.0)
    clients.start()
    await asyncio.sleep(4)
    if has_trouble():
        discovery.reset_watches()
        discovery.delay = CALL_TAKES_S
        record.write(f"all relays call again, which crowds discovery: a call takes {CALL_TAKES_S} s for {CROWDED_S:.0f} s")
    await asyncio.sleep(1)
    draining.state = "leaving"
    discovery.publish(draining)
    told_at = record.now() + TOLD_AT_THE_LATEST_S
    await asyncio.sleep(CROWDED_S - 1)
    discovery.delay = 0.0
    await asyncio.sleep(2)
    late = [(at, session) for at, session in draining.opens if at > told_at + GRACE_S + MACHINE_S]
    served = sum(1 for client in clients.all if client.answer and client.answer.startswith("UP"))
    record.write(f"{len(clients.all)} requests, {served} opened, {len(late)} sent to {draining.uid} too late")
    await clients.end()
    if served < 40:
        raise CannotRun("too few sessions were opened")
    return [f"request {session} was sent to {draining.uid} {at - told_at + TOLD_AT_THE_LATEST_S:.2f} s after discovery had "
            "its drain and could be reached" for at, session in late]


play(FOLDER, case)
