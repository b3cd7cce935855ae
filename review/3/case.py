"""Half of the backends hang for a while; later one of the others drains and stops. Are its clients told to move before?"""
import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from standins import Backend, Discovery, Platform, abort, play  # noqa: E402

# permit-forms-th; `field-save` has another effect here, as the days at close range may have it.
SETTINGS = {
    "balancers": 2, "me": 0, "zone": 0, "zones": ["bkk", "cnx"], "step": 2.0, "discovery": "on_request",
    "domain": {"message_aim": [100, 60]},
    "permissions": {"max_setups": 5, "may_cancel": True, "second_copies": False, "connect_timeout": 200,
                    "conn_idle": 5000, "probing": True, "retry_after": True, "max_retry_after": 2000},
    "invariants": {"answer_slack": 8.0, "ask_within": 10000, "warm_up": 9000, "cold_from": 0.35, "fall": 3000,
                   "fall_multiple": 3, "stop_sending_within": 500},
    "report": {"how": "on_probe", "fields": ["x0", "rif"]}, "prices": {"probe": 0.002, "cross_zone": 0.16},
    "profiles": [
        {"name": "sheet-view", "semantics": "idempotent", "payoff": 3, "setup_goal": 800, "client_timeout": 4800},
        {"name": "field-save", "semantics": "deduplicated", "key_scope": "all", "window": 5000, "payoff": 5,
         "setup_goal": 800, "client_timeout": 4800}]}
BACKENDS, HUNG, HANG_S = 4, 2, 8.0  # "a quarter to a half of the backends hang"
DRAIN_S = 20.0                      # from the first word of the drain to the end of the backend's process
RATE, FIELD_SAVE = 30.0, 0.36


async def client(record, port, number, seen):
    """Opens a connection and sends a line every 2 s. Notes whether it was told to move, and how it ended."""
    session = f"{number:016x}"
    name = "field-save" if random.random() < FIELD_SAVE else "sheet-view"
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    line = f"OPEN {session} {random.getrandbits(63):x} c={name},d=4800"
    writer.write(line.encode() + b"\r\n")
    record.write(f"client {session} sent: {line}")
    answer = (await reader.readline()).decode().strip()
    record.write(f"client {session} received: {answer!r}")
    if not answer.startswith("UP"):
        abort(writer)
        return
    state = seen[session] = {"backend": answer.split(" ")[1].rsplit("-", 1)[0], "class": name, "told": None, "end": None}

    async def write_lines():
        while True:
            writer.write(b"message\r\n")
            await asyncio.sleep(2)

    lines = asyncio.create_task(write_lines())
    try:
        while line := await reader.readline():
            if line.strip() == b"MOVE":
                state["told"] = record.now()
        state["end"] = "ended"
    except OSError:
        state["end"] = "reset"
    lines.cancel()
    record.write(f"client {session} ({name}) on {state['backend']}: "
                 f"{'told to move' if state['told'] else 'NOT told to move'}, {state['end']}")
    abort(writer)


async def story(record, folder, trouble):
    backends = [Backend(record, f"s-{index}", zone="bkk") for index in range(BACKENDS)]
    for backend in backends:
        await backend.start()
    discovery = Discovery(record, backends)
    await discovery.start()
    platform = Platform(record, discovery, SETTINGS, folder, holds_socket=False)
    seen, clients = {}, []

    async def traffic(seconds):
        end = record.now() + seconds
        while record.now() < end:
            clients.append(asyncio.create_task(client(record, platform.port, len(clients) + 1, seen)))
            await asyncio.sleep(1 / RATE)

    try:
        relay = platform.start()
        await platform.until_ready(relay)
        await asyncio.sleep(1)
        if trouble:
            record.write(f"trouble: {HUNG} of {BACKENDS} backends hang for {HANG_S} s")
            for backend in backends[:HUNG]:
                backend.hang()
        await traffic(HANG_S)
        for backend in backends[:HUNG]:
            backend.resume()
        await asyncio.sleep(8)  # all backends are sound and in use again
        leaving = backends[HUNG]
        on_it = {session: state for session, state in seen.items()
                 if state["backend"] == leaving.uid and state["end"] is None}
        discovery.change(leaving, "leaving")
        await asyncio.sleep(DRAIN_S)
        others = sum(state["end"] is None for state in seen.values() if state["backend"] != leaving.uid)
        record.write(f"{leaving.uid} stops; {others} connections are open at the three others, all sound")
        leaving.server.close()
        for writer in list(leaving.writers):
            abort(writer)
        await asyncio.sleep(1)
        discovery.change(leaving, "left")
        if relay.poll() is not None:
            record.say(f"the relay ended by itself with {relay.returncode}")
            return True
        lost = {session: state for session, state in on_it.items() if state["told"] is None}
        for session, state in lost.items():
            record.say(f"LOST: {session} ({state['class']}) was not told to move in the {DRAIN_S:.0f} s of the drain: "
                       f"{state['end'] or 'open'} with its backend")
        record.say(f"{len(on_it)} connections on {leaving.uid}, {len(on_it) - len(lost)} told to move, {len(lost)} not")
        return bool(lost)
    finally:
        platform.end()


play(story, FOLDER)
