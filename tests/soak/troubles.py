"""The troubles of the soak. Each is a coroutine that makes things go wrong and puts them right again."""
import asyncio
import json
import signal

from fault_plan import POSSIBLE_ERRORS

CLOCK_STEPS = [2, -2, 7, -7, 600, -600, 3600, -3600]


class Troubles:
    """Draws troubles and lets several of them overlap."""

    def __init__(self, world, clients, report):
        self._world = world
        self._clients = clients
        self._rng = world.rng
        self._report = report
        self._kinds = [
            self.stop_and_start, self.stop_and_start, self.kill_and_start, self.kill_and_start, self.stop_at_start,
            self.reload_at_start, self.signal_in_series, self.signal_in_series, self.hot_restart, self.hot_restart, self.move_discovery, self.reload_twice,
            self.hold_up, self.step_clock, self.step_clock, self.fail_calls, self.fail_calls, self.cut_transfers,
            self.fail_storage, self.replace_backend, self.replace_backend, self.crash_backend,
            self.restart_most_backends, self.silence_backend,
            self.hold_connections, self.hold_connections, self.spoil_backend, self.spoil_backend, self.discovery_down, self.silence_watches, self.slow_discovery,
            self.burst, self.clients_leave, self.crowd]

    async def run(self, seconds, mean_gap):
        ends_at = self._world.now() + seconds
        running = []
        while self._world.now() < ends_at:
            kind = self._rng.choice(self._kinds)
            self._world.oracle.counts[f"trouble {kind.__name__}"] += 1
            running.append(asyncio.create_task(kind()))
            await asyncio.sleep(self._rng.expovariate(1 / mean_gap))
        await asyncio.gather(*running)

    def _note(self, text):
        self._report(f"{self._world.now() - self._world.began_at:7.3f} {text}")

    def _free_relay(self, has_inherited_listener=False):
        free = [relay for relay in self._world.relays
                if not relay.is_busy and relay.has_inherited_listener == has_inherited_listener]
        return self._rng.choice(free) if free else None

    def _free_backend(self):
        active = [backend for backend in self._world.backends if backend.state == "active" and backend.is_running
                  and backend.proxy.mode == "ok" and backend.manner == "ok"]
        return self._rng.choice(active) if len(active) > len(self._world.backends) // 2 else None

    # ---- Relays -------------------------------------------------------------------------------------------

    async def _with_relay(self, action, has_inherited_listener=False):
        relay = self._free_relay(has_inherited_listener)
        if relay is None:
            return
        relay.is_busy = True
        self._note(f"{action.__name__} relay {relay.index}")
        try:
            await action(relay)
        finally:
            relay.is_busy = False

    async def stop_and_start(self):
        async def stop_and_start(relay):
            await relay.terminate(relay.newest(), self._rng.uniform(0.2, 0.4))
            relay.start()
            await asyncio.sleep(1)
        await self._with_relay(stop_and_start)

    async def kill_and_start(self):
        async def kill_and_start(relay):
            await asyncio.gather(relay.kill(self._rng.uniform(0.1, 0.8)), self._start_after(relay, 0.05))
            await asyncio.sleep(0.5)
        await self._with_relay(kill_and_start)

    async def _start_after(self, relay, delay):
        await asyncio.sleep(self._rng.uniform(0, delay))
        while any(process.is_running() for process in relay.processes):
            await asyncio.sleep(0.005)
        relay.start()

    async def stop_at_start(self):
        """The front has not noticed yet that the process was replaced, and the next one is stopped at once."""
        async def stop_at_start(relay):
            relay.newest().kill()
            await self._start_after(relay, 0.01)
            relay.newest().relay.takes_clients = True
            await asyncio.sleep(self._rng.choice([0.05, 0.1, 0.2, 0.3]))
            await relay.terminate(relay.newest(), 0.2)
            relay.start()
            await asyncio.sleep(1)
        await self._with_relay(stop_at_start)

    async def reload_at_start(self):
        async def reload_at_start(relay):
            await relay.kill(0)
            await self._start_after(relay, 0.01)
            for _ in range(4):
                await asyncio.sleep(self._rng.uniform(0.01, 0.04))
                relay.newest().signal(signal.SIGHUP)
            await asyncio.sleep(0.5)
        await self._with_relay(reload_at_start)

    async def signal_in_series(self):
        """Reloads until the stop and after it, which is told more than once."""
        async def signal_in_series(relay):
            process = relay.newest()
            for _ in range(self._rng.randint(1, 4)):
                relay.move_discovery()
                process.signal(signal.SIGHUP)
                await asyncio.sleep(self._rng.choice([0, 0.01, 0.2]))
            self._clients.spawn(self._signal_again(process))
            await relay.terminate(process, self._rng.uniform(0.2, 0.4))
            relay.start()
            await asyncio.sleep(1)
        await self._with_relay(signal_in_series)

    async def _signal_again(self, process):
        for _ in range(self._rng.randint(1, 5)):
            await asyncio.sleep(self._rng.choice([0, 0.05, 0.4]))
            if process.is_ending:
                process.signal(self._rng.choice([signal.SIGTERM, signal.SIGHUP, signal.SIGINT]))

    async def hot_restart(self):
        async def hot_restart(relay):
            await relay.replace()
            await asyncio.sleep(0.5)
        await self._with_relay(hot_restart, has_inherited_listener=True)

    async def move_discovery(self):
        async def move_discovery(relay):
            relay.move_discovery()
            relay.newest().signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
        await self._with_relay(move_discovery)

    async def reload_twice(self):
        async def reload_twice(relay):
            relay.write_config(is_half=True)
            relay.newest().signal(signal.SIGHUP)
            await asyncio.sleep(self._rng.uniform(0, 0.05))
            relay.move_discovery()
            relay.newest().signal(signal.SIGHUP)
            await asyncio.sleep(self._rng.uniform(0, 0.05))
            relay.move_discovery()
            relay.newest().signal(signal.SIGHUP)
        await self._with_relay(reload_twice)

    async def hold_up(self):
        for relay in self._world.relays:
            if self._rng.random() < 0.5:
                relay.plan.hold_up(150)

    async def step_clock(self):
        step = self._rng.choice(CLOCK_STEPS)
        relays = self._rng.sample(self._world.relays, self._rng.randint(1, len(self._world.relays)))
        self._note(f"step_clock {step} s at {len(relays)} relays")
        for relay in relays:
            relay.plan.offset_wall_clock(step)
        await asyncio.sleep(self._rng.uniform(1, 5))
        for relay in relays:
            relay.plan.offset_wall_clock(0)

    async def fail_calls(self):
        call = self._rng.choice(["accept", "socket", "connect", "wait", "receive", "hand_over", "send", "watch"])
        error = self._rng.choice(POSSIBLE_ERRORS[call])
        relays = self._rng.sample(self._world.relays, self._rng.randint(1, 3))
        self._note(f"fail_calls {call} errno {error} at {[relay.index for relay in relays]}")
        for relay in relays:
            relay.plan.fail(call, error, self._rng.choice([20, 100, 300]))
        await asyncio.sleep(self._rng.uniform(0.5, 3))
        for relay in relays:
            relay.plan.stop_failing(call)

    async def cut_transfers(self):
        relay = self._rng.choice(self._world.relays)
        relay.plan.cut_transfers(300)
        await asyncio.sleep(self._rng.uniform(1, 4))
        relay.plan.cut_transfers(0)

    async def fail_storage(self):
        """The folder fails while an operator disables a backend; the relay is replaced soon after."""
        async def fail_storage(relay):
            backend = self._free_backend()
            if backend is None:
                return
            relay.plan.fail("storage", self._rng.choice(POSSIBLE_ERRORS["storage"]), 1000)
            body = json.dumps({"who": backend.uid})
            called_at = self._world.now()
            if await relay.call("POST", "/backends/disable", body) == 200:
                self._world.oracle.disabled[relay.index][backend.uid] = called_at
            await asyncio.sleep(self._rng.uniform(0.1, 1.5))
            relay.plan.stop_failing("storage")
            await asyncio.sleep(0.5)
            await (relay.replace() if relay.has_inherited_listener else relay.terminate(relay.newest(), 0.3))
            if not relay.has_inherited_listener:
                relay.start()
            await asyncio.sleep(2.5)
            self._world.oracle.disabled[relay.index].pop(backend.uid, None)
            await relay.call("POST", "/backends/enable", body)
        await self._with_relay(fail_storage, has_inherited_listener=self._rng.random() < 0.5)

    # ---- Backends -----------------------------------------------------------------------------------------

    async def replace_backend(self):
        """Drains, ends and starts again, cold."""
        backend = self._free_backend()
        if backend is None:
            return
        self._note(f"replace_backend {backend.uid}")
        backend.state = "leaving"
        self._world.discovery.publish(backend)
        await asyncio.sleep(self._rng.uniform(1, 7))
        backend.state = "left"
        self._world.discovery.publish(backend)
        await asyncio.sleep(self._rng.uniform(0.3, 1))
        await backend.crash()
        await asyncio.sleep(self._rng.uniform(0.2, 1))
        backend.state = "active"
        await backend.start_cold()
        self._world.discovery.publish(backend)

    async def crash_backend(self):
        """Dies without a word and returns cold."""
        backend = self._free_backend()
        if backend is None:
            return
        self._note(f"crash_backend {backend.uid}")
        await backend.crash()
        await asyncio.sleep(self._rng.uniform(0.2, 2))
        await backend.start_cold()
        self._world.discovery.publish(backend)

    async def restart_most_backends(self):
        """Most die at once and return cold; all of their clients come again."""
        running = [backend for backend in self._world.backends if backend.state == "active" and backend.is_running]
        struck = self._rng.sample(running, len(running) * 3 // 4)
        self._note(f"restart_most_backends {[backend.uid for backend in struck]}")
        for backend in struck:
            await backend.crash()
        await asyncio.sleep(self._rng.uniform(0.05, 0.3))
        for backend in struck:
            await backend.start_cold()
            self._world.discovery.publish(backend)

    async def silence_backend(self):
        backend = self._free_backend()
        if backend is None:
            return
        mode = self._rng.choice(["silent", "late", "pieces", "reset"])
        self._note(f"{mode} {backend.uid}")
        backend.proxy.set_mode(mode)
        await asyncio.sleep(self._rng.uniform(1, 4))
        backend.proxy.set_mode("ok")

    async def hold_connections(self):
        """New connections to some backends come up a second late, while many clients leave."""
        backends = self._rng.sample(self._world.backends, len(self._world.backends) // 2)
        self._note(f"hold_connections {[backend.uid for backend in backends]}")
        self._clients.leave_early = 0.5
        await asyncio.gather(*(backend.proxy.hold_connections(self._rng.uniform(0.2, 0.6)) for backend in backends))
        self._clients.leave_early = 0.06

    async def spoil_backend(self):
        backend = self._free_backend()
        if backend is None:
            return
        manner = self._rng.choice(["busy", "error", "hang", "garbage", "reset", "flaky"])
        self._note(f"{manner} {backend.uid}")
        backend.manner = manner
        await asyncio.sleep(self._rng.uniform(1, 4))
        backend.manner = "ok"

    # ---- Discovery ----------------------------------------------------------------------------------------

    async def discovery_down(self):
        if not self._world.discovery.is_up:
            return
        self._note("discovery_down")
        self._world.discovery.go_down()
        await asyncio.sleep(self._rng.uniform(0.5, 5))
        self._world.discovery.come_back()

    async def silence_watches(self):
        self._note("silence_watches")
        self._world.discovery.silence_watches()

    async def slow_discovery(self):
        self._world.discovery.delay = 0.8
        await asyncio.sleep(self._rng.uniform(1, 4))
        self._world.discovery.delay = 0

    # ---- Clients ------------------------------------------------------------------------------------------

    async def burst(self):
        for _ in range(self._rng.randint(20, 60)):
            self._clients.spawn(self._clients.come())
            await asyncio.sleep(0.005)

    async def clients_leave(self):
        self._clients.leave_early = 0.6
        await asyncio.sleep(self._rng.uniform(0.5, 2))
        self._clients.leave_early = 0.06

    async def crowds(self):
        """One crowd after another, until cancelled."""
        while True:
            await self.crowd()

    async def crowd(self):
        relay = self._rng.choice(self._world.relays)
        self._note(f"crowd at relay {relay.index}")
        await self._clients.crowd(relay, 300)
