"""The relay's process is replaced while discovery is down: the new one sends to a backend that drains. See claim.txt."""
import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from standins import Backend, CannotRun, Clients, Discovery, Relay, has_trouble, play, small_deployment  # noqa: E402

GRACE_S = 0.5 + 0.05  # stop_sending_within, and the 50 ms by which each time limit is longer on sockets
BINDS_AFTER_YES_S = 2.0  # "What discovery tells binds 2 s after the yes."
MACHINE_S = 0.25  # for a busy machine
LONGEST_DEADLINE_S = 1.8
OUTAGE_S = 8.0


async def case(record, relays):
    backends = [Backend(record, f"s-{index}") for index in range(5)]
    for backend in backends:
        await backend.start()
    draining = backends[0]
    discovery = Discovery(record, backends)
    await discovery.start()
    relay = Relay(record, small_deployment(), discovery, discovery.whole_list(), holds_listener=True)
    relays.append(relay)
    old, old_mgmt = relay.start()
    await relay.wait_ready(old, old_mgmt)
    clients = Clients(record, relay.port, rate=8.0, life=30.0)
    clients.start()
    await asyncio.sleep(4)
    draining.state = "leaving"
    discovery.publish(draining)
    told_at = record.now()
    await asyncio.sleep(4)
    early = [opened for opened in draining.opens if opened[0] > told_at + GRACE_S + MACHINE_S]
    if early:
        raise CannotRun("the first process itself has sent to the draining backend")
    if has_trouble():
        discovery.go_down()
    down_at = record.now()
    await asyncio.sleep(0.5)
    new, new_mgmt = relay.start()
    await relay.wait_ready(new, new_mgmt)
    yes_at = record.now()
    old.send_signal(signal.SIGTERM)
    record.write("platform sends SIGTERM to relay process 1")
    await asyncio.sleep(LONGEST_DEADLINE_S + 0.7)
    if old.poll() is None:
        old.kill()
        record.write("platform sends SIGKILL to relay process 1")
    else:
        record.write(f"relay process 1 has ended by itself with {old.returncode}")
    await asyncio.sleep(max(0.0, down_at + OUTAGE_S - record.now()))
    until = record.now()
    cut_off = set(draining.writers)
    await draining.stop()
    draining.state = "left"
    if discovery.is_up:
        discovery.publish(draining)
    else:
        discovery.change(draining)
        await discovery.come_back()
    await asyncio.sleep(1)
    bound = yes_at + BINDS_AFTER_YES_S + GRACE_S + MACHINE_S
    late = [(at, session) for at, session in draining.opens if bound < at <= until]
    late_ids = {session for _, session in late}
    record.write(f"the end of {draining.uid} cut off {len(cut_off)} sessions, {len(late_ids & cut_off)} of them sent too late")
    served = sum(1 for client in clients.all if client.answer and client.answer.startswith("UP"))
    record.write(f"{len(clients.all)} requests, {served} opened, {len(late)} sent to {draining.uid} too late")
    await clients.end()
    if served < 40:
        raise CannotRun("too few sessions were opened")
    return [f"request {session} was sent to {draining.uid} {at - told_at:.2f} s after the relay was told that it drains, "
            f"{at - yes_at:.2f} s after the new process's yes" for at, session in late]


play(FOLDER, case)
