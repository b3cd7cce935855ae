"""A replacement of the process while some backends answer late: does every request get its one final answer?"""
import asyncio
import os
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
from standins import Backend, Discovery, Platform, abort, play  # noqa: E402

# Profiles and rules of sando-desks: `positions` is given up after 4.8 s, the longest of the site.
SETTINGS = {
    "balancers": 3, "me": 0, "zone": 0, "zones": ["harris-prom"], "step": 2.0, "discovery": "on_request",
    "permissions": {"max_setups": 6, "may_cancel": True, "second_copies": False, "connect_timeout": 100,
                    "conn_idle": 15000, "probing": True},
    "invariants": {"answer_slack": 8.0, "ask_within": 5000, "warm_up": 8800, "cold_from": 0.31, "fall": 3000,
                   "fall_multiple": 4, "stop_sending_within": 100, "resend_span": 5000, "budget_free": 1,
                   "extra_per_request": 0.15},
    "report": {"how": "on_probe", "fields": ["rif", "x0"]}, "prices": {"probe": 0.0031},
    "profiles": [
        {"name": "watchlist", "semantics": "idempotent", "payoff": 1, "setup_goal": 800, "client_timeout": 3200},
        {"name": "depth-live", "semantics": "idempotent", "payoff": 3, "setup_goal": 300, "client_timeout": 1200},
        {"name": "tick-feed", "semantics": "idempotent", "payoff": 1, "setup_goal": 300, "client_timeout": 1200},
        {"name": "positions", "semantics": "idempotent", "payoff": 3, "setup_goal": 800, "client_timeout": 4800}]}
LONGEST_TIMEOUT_S = 4.8
BACKENDS, AGEING = 7, 3        # 3 of 7 are 42.9%: "up to 43%"
AGEING_S, SLOWER = 24.0, 17.5  # "over 22 to 34 s, to 6.1 to 18 times slower"
SETUP_S, MESSAGE_S = 0.26, 0.002
RATE, LIFE_S = 20.0, 12.0      # new connections a second at this relay, and how long a client keeps its own


async def client(record, port, number, outcomes):
    """Opens one connection, waits for its answer as long as it has told, and then exchanges a line every 2 s."""
    session = f"{number:016x}"
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    outcome = outcomes[session] = {"answer": None, "sent": record.now()}
    line = f"OPEN {session} {random.getrandbits(63):x} c=positions,d={LONGEST_TIMEOUT_S * 1000:.0f}"
    writer.write(line.encode() + b"\r\n")
    record.write(f"client {session} sent: {line}")
    try:
        # The rule's bound: the client's time and half a second.
        answer = await asyncio.wait_for(reader.readline(), LONGEST_TIMEOUT_S + 0.5)
        outcome["answer"] = answer.decode().strip() or None
        outcome["how"] = "ended without an answer" if not answer else "answered"
    except asyncio.TimeoutError:
        outcome["how"] = "no answer in its time and half a second"
    except OSError:
        outcome["how"] = "reset without an answer"
    outcome["waited"] = record.now() - outcome["sent"]
    record.write(f"client {session}: {outcome['how']} {outcome['answer'] or ''} after {outcome['waited']:.3f} s")
    try:
        if (outcome["answer"] or "").startswith("UP"):
            leaves_at = record.now() + LIFE_S
            while record.now() < leaves_at:
                writer.write(b"message\r\n")
                line = await reader.readline()
                if not line or line.startswith(b"MOVE"):
                    break
                await asyncio.sleep(2)
    except OSError:
        pass
    abort(writer)


async def age(backends):
    began = asyncio.get_running_loop().time()
    while True:
        share = min(1.0, (asyncio.get_running_loop().time() - began) / AGEING_S)
        for backend in backends:
            backend.slower = 1 + (SLOWER - 1) * share
            backend.setup_s = SETUP_S * backend.slower
            backend.message_s = MESSAGE_S * backend.slower
        await asyncio.sleep(0.05)


async def story(record, folder, trouble):
    backends = [Backend(record, f"s-{index}", zone="harris-prom") for index in range(BACKENDS)]
    for backend in backends:
        backend.setup_s, backend.message_s = SETUP_S, MESSAGE_S
        await backend.start()
    discovery = Discovery(record, backends)
    await discovery.start()
    platform = Platform(record, discovery, SETTINGS, folder, holds_socket=True)
    outcomes, clients = {}, []

    async def traffic():
        number = 0
        while True:
            number += 1
            clients.append(asyncio.create_task(client(record, platform.port, number, outcomes)))
            await asyncio.sleep(1 / RATE)

    ageing = None
    try:
        old = platform.start()
        await platform.until_ready(old)
        arrivals = asyncio.create_task(traffic())
        await asyncio.sleep(3)
        if trouble:
            record.write(f"trouble: {AGEING} of {BACKENDS} backends grow slower over {AGEING_S} s, to {SLOWER} times")
            ageing = asyncio.create_task(age(backends[:AGEING]))
        await asyncio.sleep(AGEING_S + 1)
        new = platform.start()
        await platform.until_ready(new)
        record.write(f"{sum(1 for o in outcomes.values() if 'how' not in o)} requests wait for their answer")
        terminated_at = record.now()
        was_killed = await platform.terminate(old, LONGEST_TIMEOUT_S)
        arrivals.cancel()
        await asyncio.sleep(LONGEST_TIMEOUT_S + 0.7)  # every request that was sent has its time and half a second
        missing = {s: o for s, o in outcomes.items() if o["answer"] is None}
        for session, outcome in missing.items():
            record.say(f"LOST: {session}, sent {terminated_at - outcome['sent']:.2f} s before SIGTERM: "
                       f"{outcome.get('how', 'no answer')} after {outcome.get('waited', 0):.2f} s of {LONGEST_TIMEOUT_S} s")
        record.say(f"{len(outcomes)} requests, {len(missing)} without a final answer; "
                   f"the old process {'was killed' if was_killed else 'ended by itself'}")
        return bool(missing)
    finally:
        if ageing:
            ageing.cancel()
        platform.end()


play(story, FOLDER)
