"""Injects random faults during a soak. Each fault is a coroutine that also ends what it began."""
import asyncio
import json
import signal

from fault_plan import POSSIBLE_ERRORS

CLOCK_STEPS_S = [2, -2, 7, -7, 600, -600, 3600, -3600]


class FaultInjector:
    """Draws faults at random; several of them overlap."""

    def __init__(self, world, clients, report):
        self._world = world
        self._clients = clients
        self._rng = world.rng
        self._report = report
        self._kinds = [
            self.stop_and_start, self.stop_and_start, self.kill_and_start, self.kill_and_start,
            self.stop_during_startup, self.reload_during_startup, self.signal_repeatedly, self.signal_repeatedly,
            self.hot_restart, self.hot_restart, self.move_discovery, self.reload_twice, self.stall_event_loops,
            self.step_clock, self.step_clock, self.fail_system_calls, self.fail_system_calls, self.shorten_transfers,
            self.fail_storage, self.replace_backend, self.replace_backend, self.crash_backend,
            self.restart_most_backends, self.break_backend_network, self.delay_connections, self.delay_connections,
            self.break_backend_responses, self.break_backend_responses, self.discovery_down, self.silence_watches,
            self.slow_discovery, self.client_burst, self.clients_leave_early, self.flood_idle_connections]

    async def run(self, seconds, mean_gap):
        ends_at = self._world.now() + seconds
        running = []
        while self._world.now() < ends_at:
            kind = self._rng.choice(self._kinds)
            self._world.oracle.counts[f"fault {kind.__name__}"] += 1
            running.append(asyncio.create_task(kind()))
            await asyncio.sleep(self._rng.expovariate(1 / mean_gap))
        await asyncio.gather(*running)

    def _log_event(self, text):
        self._report(f"{self._world.now() - self._world.started_at:7.3f} {text}")

    def _pick_idle_relay(self, has_inherited_listener=False):
        free = [relay for relay in self._world.relays
                if not relay.is_busy and relay.has_inherited_listener == has_inherited_listener]
        return self._rng.choice(free) if free else None

    def _pick_healthy_backend(self):
        active = [backend for backend in self._world.backends if backend.state == "active" and backend.is_running
                  and backend.proxy.mode == "ok" and backend.behavior == "ok"]
        return self._rng.choice(active) if len(active) > len(self._world.backends) // 2 else None

    # ---- Relays -------------------------------------------------------------------------------------------

    async def _with_relay(self, action, has_inherited_listener=False):
        relay = self._pick_idle_relay(has_inherited_listener)
        if relay is None:
            return
        relay.is_busy = True
        self._log_event(f"{action.__name__} relay {relay.index}")
        try:
            await action(relay)
        finally:
            relay.is_busy = False

    async def stop_and_start(self):
        async def stop_and_start(relay):
            await relay.terminate(relay.newest_process(), self._rng.uniform(0.2, 0.4))
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

    async def stop_during_startup(self):
        """Stops a process while it starts and the front end has not noticed the kill of the previous one."""
        async def stop_during_startup(relay):
            relay.newest_process().kill()
            await self._start_after(relay, 0.01)
            relay.newest_process().relay.receives_clients = True
            await asyncio.sleep(self._rng.choice([0.05, 0.1, 0.2, 0.3]))
            await relay.terminate(relay.newest_process(), 0.2)
            relay.start()
            await asyncio.sleep(1)
        await self._with_relay(stop_during_startup)

    async def reload_during_startup(self):
        """Sends reload signals to a process that starts, from when it handles them; the platform waits a second."""
        async def reload_during_startup(relay):
            await relay.kill(0)
            await self._start_after(relay, 0.01)
            process = relay.newest_process()
            while process.is_running() and not process.handles_signal(signal.SIGHUP):
                await asyncio.sleep(0.002)
            for _ in range(4):
                await asyncio.sleep(self._rng.uniform(0.01, 0.04))
                relay.newest_process().signal(signal.SIGHUP)
            await asyncio.sleep(0.5)
        await self._with_relay(reload_during_startup)

    async def signal_repeatedly(self):
        """Sends reload signals until the stop and reload and stop signals after it."""
        async def signal_repeatedly(relay):
            process = relay.newest_process()
            for _ in range(self._rng.randint(1, 4)):
                relay.move_discovery()
                process.signal(signal.SIGHUP)
                await asyncio.sleep(self._rng.choice([0, 0.01, 0.2]))
            self._clients.spawn(self._signal_again(process))
            await relay.terminate(process, self._rng.uniform(0.2, 0.4))
            relay.start()
            await asyncio.sleep(1)
        await self._with_relay(signal_repeatedly)

    async def _signal_again(self, process):
        for _ in range(self._rng.randint(1, 5)):
            await asyncio.sleep(self._rng.choice([0, 0.05, 0.4]))
            if process.is_stopping:
                process.signal(self._rng.choice([signal.SIGTERM, signal.SIGHUP, signal.SIGINT]))

    async def hot_restart(self):
        async def hot_restart(relay):
            await relay.replace()
            await asyncio.sleep(0.5)
        await self._with_relay(hot_restart, has_inherited_listener=True)

    async def move_discovery(self):
        async def move_discovery(relay):
            relay.move_discovery()
            relay.newest_process().signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
        await self._with_relay(move_discovery)

    async def reload_twice(self):
        async def reload_twice(relay):
            relay.write_config(is_truncated=True)
            relay.newest_process().signal(signal.SIGHUP)
            await asyncio.sleep(self._rng.uniform(0, 0.05))
            relay.move_discovery()
            relay.newest_process().signal(signal.SIGHUP)
            await asyncio.sleep(self._rng.uniform(0, 0.05))
            relay.move_discovery()
            relay.newest_process().signal(signal.SIGHUP)
        await self._with_relay(reload_twice)

    async def stall_event_loops(self):
        for relay in self._world.relays:
            if self._rng.random() < 0.5:
                relay.plan.delay_next_wait(150)

    async def step_clock(self):
        step = self._rng.choice(CLOCK_STEPS_S)
        relays = self._rng.sample(self._world.relays, self._rng.randint(1, len(self._world.relays)))
        self._log_event(f"step_clock {step} s at {len(relays)} relays")
        for relay in relays:
            relay.plan.offset_wall_clock(step)
        await asyncio.sleep(self._rng.uniform(1, 5))
        for relay in relays:
            relay.plan.offset_wall_clock(0)

    async def fail_system_calls(self):
        call = self._rng.choice(["accept", "socket", "connect", "wait", "receive", "hand_over", "send", "watch"])
        error = self._rng.choice(POSSIBLE_ERRORS[call])
        relays = self._rng.sample(self._world.relays, self._rng.randint(1, 3))
        self._log_event(f"fail_system_calls {call} errno {error} at {[relay.index for relay in relays]}")
        for relay in relays:
            relay.plan.fail(call, error, self._rng.choice([20, 100, 300]))
        await asyncio.sleep(self._rng.uniform(0.5, 3))
        for relay in relays:
            relay.plan.stop_failing(call)

    async def shorten_transfers(self):
        relay = self._rng.choice(self._world.relays)
        relay.plan.shorten_transfers(300)
        await asyncio.sleep(self._rng.uniform(1, 4))
        relay.plan.shorten_transfers(0)

    async def fail_storage(self):
        """Makes the state folder fail while an operator disables a backend, and replaces the relay soon after."""
        async def fail_storage(relay):
            backend = self._pick_healthy_backend()
            if backend is None:
                return
            relay.plan.fail("storage", self._rng.choice(POSSIBLE_ERRORS["storage"]), 1000)
            body = json.dumps({"who": backend.uid})
            called_at = self._world.now()
            if await relay.management_call("POST", "/backends/disable", body) == 200:
                self._world.oracle.disabled_since[relay.index][backend.uid] = called_at
            await asyncio.sleep(self._rng.uniform(0.1, 1.5))
            relay.plan.stop_failing("storage")
            await asyncio.sleep(0.5)
            await (relay.replace() if relay.has_inherited_listener else relay.terminate(relay.newest_process(), 0.3))
            if not relay.has_inherited_listener:
                relay.start()
            await asyncio.sleep(2.5)
            self._world.oracle.disabled_since[relay.index].pop(backend.uid, None)
            await relay.management_call("POST", "/backends/enable", body)
        await self._with_relay(fail_storage, has_inherited_listener=self._rng.random() < 0.5)

    # ---- Backends -----------------------------------------------------------------------------------------

    async def replace_backend(self):
        """Drains a backend, removes it, and starts it again cold."""
        backend = self._pick_healthy_backend()
        if backend is None:
            return
        self._log_event(f"replace_backend {backend.uid}")
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
        """Crashes a backend without draining and starts it again cold."""
        backend = self._pick_healthy_backend()
        if backend is None:
            return
        self._log_event(f"crash_backend {backend.uid}")
        await backend.crash()
        await asyncio.sleep(self._rng.uniform(0.2, 2))
        await backend.start_cold()
        self._world.discovery.publish(backend)

    async def restart_most_backends(self):
        """Crashes most backends at once and starts them again cold; all of their clients reconnect."""
        running = [backend for backend in self._world.backends if backend.state == "active" and backend.is_running]
        crashed = self._rng.sample(running, len(running) * 3 // 4)
        self._log_event(f"restart_most_backends {[backend.uid for backend in crashed]}")
        for backend in crashed:
            await backend.crash()
        await asyncio.sleep(self._rng.uniform(0.05, 0.3))
        for backend in crashed:
            await backend.start_cold()
            self._world.discovery.publish(backend)

    async def break_backend_network(self):
        backend = self._pick_healthy_backend()
        if backend is None:
            return
        mode = self._rng.choice(["stalled", "delayed", "fragmented", "reset"])
        self._log_event(f"{mode} {backend.uid}")
        backend.proxy.set_mode(mode)
        await asyncio.sleep(self._rng.uniform(1, 4))
        backend.proxy.set_mode("ok")

    async def delay_connections(self):
        """Delays new connections to half of the backends by a second, while many clients leave early."""
        backends = self._rng.sample(self._world.backends, len(self._world.backends) // 2)
        self._log_event(f"delay_connections {[backend.uid for backend in backends]}")
        self._clients.early_departure_probability = 0.5
        await asyncio.gather(*(backend.proxy.pause_accepting(self._rng.uniform(0.2, 0.6)) for backend in backends))
        self._clients.early_departure_probability = 0.06

    async def break_backend_responses(self):
        backend = self._pick_healthy_backend()
        if backend is None:
            return
        behavior = self._rng.choice(["busy", "error", "hang", "garbage", "reset", "flaky"])
        self._log_event(f"{behavior} {backend.uid}")
        backend.behavior = behavior
        await asyncio.sleep(self._rng.uniform(1, 4))
        backend.behavior = "ok"

    # ---- Discovery ----------------------------------------------------------------------------------------

    async def discovery_down(self):
        if not self._world.discovery.is_up:
            return
        self._log_event("discovery_down")
        self._world.discovery.go_down()
        await asyncio.sleep(self._rng.uniform(0.5, 5))
        self._world.discovery.come_back()

    async def silence_watches(self):
        self._log_event("silence_watches")
        self._world.discovery.silence_watches()

    async def slow_discovery(self):
        self._world.discovery.delay = 0.8
        await asyncio.sleep(self._rng.uniform(1, 4))
        self._world.discovery.delay = 0

    # ---- Clients ------------------------------------------------------------------------------------------

    async def client_burst(self):
        for _ in range(self._rng.randint(20, 60)):
            self._clients.spawn(self._clients.run_client())
            await asyncio.sleep(0.005)

    async def clients_leave_early(self):
        self._clients.early_departure_probability = 0.6
        await asyncio.sleep(self._rng.uniform(0.5, 2))
        self._clients.early_departure_probability = 0.06

    async def keep_flooding_idle_connections(self):
        """Floods one relay after another until cancelled."""
        while True:
            await self.flood_idle_connections()

    async def flood_idle_connections(self):
        relay = self._rng.choice(self._world.relays)
        self._log_event(f"flood_idle_connections relay {relay.index}")
        await self._clients.hold_idle_connections(relay, 300)
