"""The environment of the relays under test: backends, discovery, clients, the clock and the random generator."""
import asyncio
import contextlib
import math
import random
import time

from backends import Backend
from discovery import Discovery

LAG_MEASUREMENT_INTERVAL_S = 0.02
LAG_DECAY = 0.98  # factor by which the measured lag decreases per interval


class World:
    """The environment of the relays under test, shared by all parts of the soak."""

    def __init__(self, seed, backend_count):
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.oracle = None
        self.clients = None
        self.links = {}  # connections to backends, by the proxy's local port
        self.relays = []
        self.backends = [Backend(self, index, self.rng) for index in range(backend_count)]
        self.discovery = Discovery(self, self.rng)
        self._measured_lag = 0.0
        self._next_measurement = math.inf
        self._is_over = False
        self._tasks = set()

    def now(self):
        return self.loop.time()

    def unix_now(self):
        return time.time()

    def call_later(self, delay, callback):
        if not self._is_over:
            self.loop.call_later(delay, callback)

    def spawn(self, coroutine):
        """Runs a task in the background; the reference protects it from garbage collection until it ends."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def running_processes(self):
        """The relay processes that are running now."""
        return [process for relay in self.relays for process in relay.processes if process.is_running()]

    @property
    def event_loop_lag(self):
        """The delay of the driver's event loop in seconds, which every time that it measures may contain."""
        return max(self._measured_lag, self.now() - self._next_measurement)

    async def measure_event_loop_lag(self):
        """Measures the event loop lag until cancelled."""
        while True:
            self._next_measurement = self.now() + LAG_MEASUREMENT_INTERVAL_S
            await asyncio.sleep(LAG_MEASUREMENT_INTERVAL_S)
            lag = self.now() - self._next_measurement
            self._measured_lag = max(lag, self._measured_lag * LAG_DECAY)

    async def start(self):
        for backend in self.backends:
            await backend.start()

    def is_over(self):
        return self._is_over

    def end(self):
        self._is_over = True
        for task in list(self._tasks):
            task.cancel()
        with contextlib.suppress(OSError):
            for backend in self.backends:
                backend.proxy.break_connections()
