"""New configurations in quick succession while discovery is slow: no call for the list is ever waited for. See claim.txt."""
import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from standins import Backend, CannotRun, Clients, Discovery, Relay, has_trouble, play, small_deployment  # noqa: E402

GRACE_S = 0.5 + 0.05  # stop_sending_within, and the 50 ms by which each time limit is longer on sockets
TOLD_AT_THE_LATEST_S = 6.0  # after discovery had the change and could be reached
MACHINE_S = 0.25  # for a busy machine
CALL_TAKES_S = 2.9  # under the 3 s after which the site's discovery lets a call fail
RELOADS = 5
BETWEEN_RELOADS_S = 2.5


async def case(record, relays):
    backends = [Backend(record, f"s-{index}") for index in range(4)]
    for backend in backends:
        await backend.start()
    draining = backends[0]
    discovery = Discovery(record, backends)
    await discovery.start()
    relay = Relay(record, small_deployment(), discovery, discovery.whole_list())
    relays.append(relay)
    process, mgmt = relay.start()
    await relay.wait_ready(process, mgmt)
    clients = Clients(record, relay.port, rate=10.0, life=12.0)
    clients.start()
    await asyncio.sleep(3)
    if has_trouble():
        discovery.delay = CALL_TAKES_S
        record.write(f"discovery is crowded: a call takes {CALL_TAKES_S} s")
    port = discovery.port
    told_at = None
    for number in range(RELOADS):
        old_port = port
        port = await discovery.open_address()
        relay.write_config(port)
        process.send_signal(signal.SIGHUP)
        discovery.retire_address(old_port)
        record.write(f"configuration {number + 2} names discovery at {port}; SIGHUP")
        if number == 0:
            await asyncio.sleep(1.6)
            draining.state = "leaving"
            discovery.publish(draining)
            told_at = record.now() + TOLD_AT_THE_LATEST_S
            await asyncio.sleep(BETWEEN_RELOADS_S - 1.6)
        else:
            await asyncio.sleep(BETWEEN_RELOADS_S)
    await asyncio.sleep(CALL_TAKES_S + 2)
    late = [(at, session) for at, session in draining.opens if at > told_at + GRACE_S + MACHINE_S]
    served = sum(1 for client in clients.all if client.answer and client.answer.startswith("UP"))
    record.write(f"{len(clients.all)} requests, {served} opened, {len(late)} sent to {draining.uid} too late")
    if process.poll() is not None:
        record.write(f"the relay has ended with {process.returncode}")
    await clients.end()
    if served < 40:
        raise CannotRun("too few sessions were opened")
    return [f"request {session} was sent to {draining.uid} {at - told_at + TOLD_AT_THE_LATEST_S:.2f} s after discovery had "
            "its drain and could be reached" for at, session in late]


play(FOLDER, case)
