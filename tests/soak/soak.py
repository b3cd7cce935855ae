#!/usr/bin/env python3
"""A randomized fault soak: real relay processes on loopback, overlapping faults, and an oracle that checks the rules.

    tests/soak/soak.py --seed 1 --count 5

runs the seeds 1 to 5, one after the other, and exits with 1 if any of them broke a rule. The seed determines the
site's settings, the faults and the clients. It does not determine the machine's timing, so a seed that failed may
need several runs to fail again. A failed run keeps its folder with the journal and the logs, and prints its path.
"""
import argparse
import asyncio
import contextlib
import pathlib
import shutil
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).parent))

from clients import Clients  # noqa: E402
from fault_injector import FaultInjector  # noqa: E402
from oracle import Oracle  # noqa: E402
from relays import Relay  # noqa: E402
from world import World  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parents[2]
CLIENTS_PER_SECOND = 60.0  # over all relays
BACKEND_COUNT = 10
NORMAL_UTILIZATION = 0.9  # of the backends, without faults
IDLE_FLOOD_FRACTION = 0.3  # of the seeds; idle clients flood one relay after another during the whole run
SETTLE_TIME_S = 7.0  # after the last fault; outstanding answers have to arrive within it


def draw_settings(rng, relay_count):
    """Draws a site's settings, in the form of a relay's configuration."""
    window_ms = rng.choice([700, 1500, 5000])
    # The longest times also cover connections that are established a second late.
    attempt_ms, timeout_ms, connect_ms = rng.choice([(150, 500, 100), (250, 1500, 120), (1300, 2700, 1400)])
    profiles = [
        {"name": "talk", "semantics": "idempotent", "payoff": 1, "setup_goal": attempt_ms,
         "client_timeout": timeout_ms},
        {"name": "once", "semantics": "at_most_once", "payoff": 3, "setup_goal": attempt_ms,
         "client_timeout": timeout_ms},
        {"name": "keyed", "semantics": "deduplicated", "key_scope": "all", "window": window_ms, "payoff": 2,
         "setup_goal": attempt_ms, "client_timeout": timeout_ms}]
    return {
        "balancers": relay_count, "zone": 0, "zones": ["a", "b"], "step": 1.0, "discovery": "on_request",
        "permissions": {"max_setups": rng.choice([2, 3, 5]), "may_cancel": rng.random() < 0.7,
                        "connect_timeout": connect_ms, "probing": rng.random() < 0.5,
                        "retry_after": rng.random() < 0.5, "max_retry_after": 1000},
        "invariants": {"warm_up": 4000, "fall": 1500, "fall_multiple": 3, "cold_from": 0.33, "ask_within": 10000,
                       "stop_sending_within": 500, "answer_slack": 8},
        "profiles": profiles}


def oracle_settings(settings, loop):
    """The limits that the oracle checks; times are in seconds."""
    invariants = settings["invariants"]
    window = invariants["fall"] / 1000
    return {
        "drain_grace": invariants["stop_sending_within"] / 1000, "window": settings["profiles"][2]["window"] / 1000,
        "overload_window": window, "overload_factor": invariants["fall_multiple"],
        "initial_factor": invariants["cold_from"], "warm_up": invariants["warm_up"] / 1000,
        "capacity_in_window": CLIENTS_PER_SECOND * window / BACKEND_COUNT / NORMAL_UTILIZATION,
        "call_later": loop.call_later}


def record_exception(loop, context, world):
    """Records an unhandled exception of the soak itself as a violation, except connections cancelled at the end."""
    exception = context.get("exception")
    if isinstance(exception, asyncio.CancelledError) or world.is_over():
        return
    loop.default_exception_handler(context)
    if world.oracle:
        world.oracle.report_violation("the soak itself", f"{context.get('message')}: {exception!r}")


async def run_scenario(seed, options, report):
    """Runs one seed and returns the oracle with everything it recorded."""
    world = World(seed, BACKEND_COUNT)
    world.loop.set_exception_handler(lambda loop, context: record_exception(loop, context, world))
    world.started_at = world.now()
    settings = draw_settings(world.rng, options.relays)
    has_idle_flood = world.rng.random() < IDLE_FLOOD_FRACTION
    world.oracle = Oracle(oracle_settings(settings, world.loop), world.now, lambda: world.event_loop_lag, report)
    longest_timeout = max(profile["client_timeout"] for profile in settings["profiles"]) / 1000
    lag_measurement = asyncio.create_task(world.measure_event_loop_lag())
    await world.start()
    world.relays = [Relay(world, index, options, settings, longest_timeout) for index in range(options.relays)]
    for relay in world.relays:
        await relay.prepare()
        relay.start()
    world.clients = clients = Clients(world, CLIENTS_PER_SECOND, longest_timeout)
    arrivals = asyncio.create_task(clients.run())
    try:
        await asyncio.sleep(1.5)
        faults = FaultInjector(world, clients, report)
        idle_flood = asyncio.create_task(faults.keep_flooding_idle_connections()) if has_idle_flood else None
        await faults.run(options.seconds, options.gap)
        if idle_flood:
            idle_flood.cancel()
        arrivals.cancel()
        await asyncio.sleep(SETTLE_TIME_S)
    finally:
        for task in [lag_measurement, arrivals, *clients.tasks]:
            task.cancel()
        world.end()
        for relay in world.relays:
            relay.stop_all()
            relay.check_logs()
    return world.oracle


def run_seed(seed, options):
    """Runs one seed in its own folder. Returns whether all rules held and at least one session was opened."""
    options.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"cherryrail-soak-{seed}-"))
    journal = open(options.folder / "journal.txt", "w", buffering=1)

    def report(line):
        print(line, file=journal)
        if line.startswith("VIOLATION") or options.verbose:
            print(f"  {line[:300]}", flush=True)

    oracle = asyncio.run(run_scenario(seed, options, report))
    for name, count in sorted(oracle.counts.items()):
        report(f"{count:7} {name}")
    journal.close()
    answers = ", ".join(f"{word} {oracle.counts['answer ' + word]}" for word in ("UP", "BUSY", "ERR"))
    print(f"seed {seed}: {oracle.counts['requests']} requests ({answers}), {oracle.counts['attempts']} attempts, "
          f"{oracle.counts['starts']} processes, {len(oracle.violations)} violations", flush=True)
    if oracle.violations:
        print(f"  its journal and logs: {options.folder}")
    else:
        shutil.rmtree(options.folder)
    return not oracle.violations and oracle.counts["answer UP"] > 0


def parse_arguments():
    parser = argparse.ArgumentParser(description="A randomized fault soak of real relay processes.")
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--count", type=int, default=1, help="how many seeds")
    parser.add_argument("--seconds", type=float, default=20, help="how long faults are injected, in seconds")
    parser.add_argument("--gap", type=float, default=0.5, help="the mean time between two faults, in seconds")
    parser.add_argument("--relays", type=int, default=12, help="how many relays")
    parser.add_argument("--relay", default=ROOT / "build" / "cherryrail", help="the relay program")
    parser.add_argument("--shim", default=ROOT / "build-tests" / "libcherryrail_fault_shim.so", type=pathlib.Path)
    parser.add_argument("--verbose", action="store_true", help="also print the journal, with every injected fault")
    return parser.parse_args()


def main():
    options = parse_arguments()
    for path in (options.relay, options.shim):
        if not pathlib.Path(path).exists():
            sys.exit(f"{path} does not exist; build it first (make build, and the tests' build folder)")
    with contextlib.suppress(KeyboardInterrupt):
        failed = [seed for seed in range(options.seed, options.seed + options.count) if not run_seed(seed, options)]
        print(f"{options.count - len(failed)} passed, {len(failed)} failed")
        sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
