"""Some bad clients ask again as soon as they are turned away: does the relay stay within its memory?"""
import asyncio
import pathlib
import random
import subprocess
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from standins import Backend, CannotRun, Discovery, Platform, abort, play  # noqa: E402

SETTINGS = {  # permit-forms-th
    "balancers": 2, "me": 0, "zone": 0, "zones": ["bkk", "cnx"], "step": 2.0, "discovery": "on_request",
    "domain": {"message_aim": [100, 60]},
    "permissions": {"max_setups": 5, "may_cancel": True, "second_copies": False, "connect_timeout": 200,
                    "conn_idle": 5000, "probing": True, "retry_after": True, "max_retry_after": 2000},
    "invariants": {"answer_slack": 8.0, "ask_within": 10000, "warm_up": 9000, "cold_from": 0.35, "fall": 3000,
                   "fall_multiple": 3, "stop_sending_within": 500},
    "report": {"how": "on_probe", "fields": ["x0", "rif"]}, "prices": {"probe": 0.002, "cross_zone": 0.16},
    "profiles": [
        {"name": "sheet-view", "semantics": "idempotent", "payoff": 3, "setup_goal": 800, "client_timeout": 4800},
        {"name": "field-save", "semantics": "idempotent", "payoff": 5, "setup_goal": 800, "client_timeout": 4800}]}
MEMORY_MB = 192          # the most that the pages give a relay: "32 to 192 MB by language and day"
BAD_CLIENTS, BAD_S = 4, 30
CLIENTS = 40


def memory_mb(process):
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(status.split("VmRSS:")[1].split()[0]) / 1024 if "VmRSS:" in status else 0.0


async def client(record, port, number, seen):
    """A usual client: opens a connection and sends a line every 2 s until the connection ends."""
    session = f"{number:016x}"
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    line = f"OPEN {session} {random.getrandbits(63):x} c=sheet-view,d=4800"
    writer.write(line.encode() + b"\r\n")
    record.write(f"client {session} sent: {line}")
    answer = (await reader.readline()).decode().strip()
    record.write(f"client {session} received: {answer!r}")
    if not answer.startswith("UP"):
        abort(writer)
        return
    seen[session] = "open"

    async def write_lines():
        while True:
            writer.write(b"message\r\n")
            await asyncio.sleep(2)

    lines = asyncio.create_task(write_lines())
    last = b""
    try:
        while line := await reader.readline():
            last = line
        seen[session] = "moved" if last.strip() == b"MOVE" else "cut off without MOVE"
    except OSError:
        seen[session] = "reset"
    lines.cancel()
    record.write(f"client {session}: {seen[session]}")
    abort(writer)


async def story(record, folder, trouble):
    program = FOLDER / "bad_client"
    if not program.exists():
        raise CannotRun("bad_client is missing: run review/build.sh first")
    backends = [Backend(record, f"s-{index}", zone="bkk") for index in range(4)]
    for backend in backends:
        await backend.start()
    discovery = Discovery(record, backends)
    await discovery.start()
    platform = Platform(record, discovery, SETTINGS, folder, holds_socket=False, memory_mb=MEMORY_MB)
    seen, clients, bad = {}, [], []
    try:
        relay = platform.start()
        await platform.until_ready(relay)
        for number in range(1, CLIENTS + 1):
            clients.append(asyncio.create_task(client(record, platform.port, number, seen)))
            await asyncio.sleep(0.05)
        await asyncio.sleep(1)
        if trouble:
            record.write(f"trouble: {BAD_CLIENTS} bad clients")
            for number in range(BAD_CLIENTS):
                bad.append(subprocess.Popen([program, str(platform.port), str(number), str(BAD_S)],
                                            stdout=subprocess.PIPE, text=True))
        most, killed, crashed = 0.0, False, False
        for tick in range(20 * (BAD_S + 1)):
            await asyncio.sleep(0.05)
            if relay.poll() is not None:
                crashed = True
                record.say(f"the relay ended by itself with {relay.returncode}")
                break
            used = memory_mb(relay)
            most = max(most, used)
            if tick % 20 == 0:
                record.write(f"memory of the relay: {used:.0f} MB")
            if used > MEMORY_MB:
                record.say(f"memory of the relay: {used:.0f} MB; over {MEMORY_MB} MB the platform kills it")
                relay.kill()
                killed = True
                break
        await asyncio.sleep(1)
        for process in bad:
            process.terminate() if killed or crashed else None
            output = process.communicate()[0].strip()
            record.write(f"bad client: {output or 'ended by the case'}")
        ends = {}
        for end in seen.values():
            ends[end] = ends.get(end, 0) + 1
        record.say(f"most memory {most:.0f} of {MEMORY_MB} MB; usual connections: "
                   + ", ".join(f"{count} {end}" for end, count in ends.items()))
        return killed or crashed
    finally:
        for process in bad:
            if process.poll() is None:
                process.kill()
            process.wait()
        platform.end()


play(story, FOLDER)
