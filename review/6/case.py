"""A backend drains, its clients wait for a place elsewhere, and it hangs: nobody moves them. See claim.txt."""
import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
from standins import Backend, CannotRun, Clients, Discovery, Relay, has_trouble, play, small_deployment  # noqa: E402

SILENCE_S = 7.0 + 0.05  # the page's bound, and the 50 ms by which each time limit is longer on sockets
MACHINE_S = 0.25  # for a busy machine: the stand-in's own delay in noting a line
USUAL_LOAD = 0.75
NEARLY_FULL = 0.86  # on a busy day; the other relays' clients count in it too
HANG_S = 12.0


async def case(record, relays):
    backends = [Backend(record, f"s-{index}") for index in range(4)]
    draining, others = backends[0], backends[1:]
    draining.x0 = USUAL_LOAD
    for backend in others:
        backend.x0 = NEARLY_FULL
    for backend in backends:
        await backend.start()
    discovery = Discovery(record, backends)
    await discovery.start()
    relay = Relay(record, small_deployment(), discovery, discovery.whole_list())
    relays.append(relay)
    await relay.wait_ready(*relay.start())
    clients = Clients(record, relay.port, rate=4.0, life=40.0)
    clients.start()
    await asyncio.sleep(12)
    record.write("sessions: " + ", ".join(f"{backend.uid} {len(backend.writers)}" for backend in backends))
    draining.state = "leaving"
    discovery.publish(draining)
    await asyncio.sleep(2)
    record.write(f"{len(draining.writers)} clients are still at {draining.uid}, which answers them")
    if len(draining.writers) == 0:
        raise CannotRun("no client is left at the draining backend")
    if has_trouble():
        draining.hang()
    await asyncio.sleep(HANG_S)
    broken = []
    for client in clients.all:
        if client.silence() > SILENCE_S + MACHINE_S:
            end = f"ended with {client.last_line!r}" if client.ended_at else "still open"
            broken.append(f"session {client.id}: a line has brought nothing back for {client.silence():.1f} s, and the "
                          f"client was neither moved nor ended ({end})")
    opened = sum(1 for client in clients.all if client.answer and client.answer.startswith("UP"))
    record.write(f"{len(clients.all)} requests, {opened} opened, {len(broken)} silent for over {SILENCE_S} s")
    await clients.end()
    if opened < 20:
        raise CannotRun("too few sessions were opened")
    return broken


play(FOLDER, case)
