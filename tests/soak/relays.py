"""The relays of the soak: real processes that are started, signalled, replaced and killed."""
import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess

from fault_plan import FaultPlan

READY_TIMEOUT_S = 10.0
# The platform sends SIGKILL to a process that still runs this long after SIGTERM and the longest client timeout.
KILL_MARGIN_S = 0.7
MAX_TERMINATION_WAIT_S = 3.0  # limit of the client timeout that the platform waits for
MEMORY_LIMIT_KB = 96 * 1024
FAULT_LOG_MARKERS = ("a callback failed", "invariant violated")

process_numbers = itertools.count()


def reserve_port():
    """Returns a socket that reserves a free loopback port, on which only a relay will then listen."""
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind(("127.0.0.1", 0))
    return reservation


class Process:
    """One process of a relay."""

    def __init__(self, relay, popen, log_path):
        self.relay = relay
        self.popen = popen
        self.log_path = log_path
        self.number = next(process_numbers)
        self.ready_at = None
        self._killed = False
        self.is_stopping = False

    def __repr__(self):
        return f"relay {self.relay.index} (process {self.number}, {self.log_path.name})"

    def is_running(self):
        return self.popen.poll() is None

    def handles_signal(self, number):
        """Whether it has been started far enough to block or catch a signal, instead of being ended by it."""
        try:
            status = pathlib.Path("/proc", str(self.popen.pid), "status").read_text()
        except OSError:
            return False
        masks = [line.split()[1] for line in status.splitlines() if line.startswith(("SigBlk:", "SigCgt:"))]
        return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)

    def possible_processes(self):
        """The processes that may serve this one's requests; a hot restart may have handed its connections over."""
        if not self.relay.has_inherited_listener:
            return [self]
        return [process for process in self.relay.processes if process.is_running()] or [self]

    def was_killed(self):
        """Whether the soak killed it with SIGKILL; the requests that it held then need no answer."""
        return self._killed

    def signal(self, number):
        with contextlib.suppress(ProcessLookupError):
            self.popen.send_signal(number)

    def kill(self):
        if self.is_running():
            self._killed = True
            self.is_stopping = True
            self.popen.kill()


class Relay:
    """One relay: its ports, its configuration and its processes (two of them during a hot restart)."""

    def __init__(self, world, index, options, settings, longest_timeout):
        self.world = world
        self.index = index
        self.has_inherited_listener = index < 2
        self.logs_to_full_device = index == 2
        self.folder = options.folder / f"relay-{index}"
        self.folder.mkdir()
        self.state_folder = self.folder / "state"
        self.state_folder.mkdir()
        self.plan = FaultPlan(self.folder / "fault-plan")
        self.processes = []
        self.receives_clients = False
        self.is_busy = False  # a fault that stops or starts its processes is being injected
        self.descriptor_limit = 220
        self._options = options
        self._settings = settings
        self._longest_timeout = longest_timeout
        self._listener = None
        self._discovery_ports = []
        self._current_discovery = 0
        self._mgmt_ports = []
        self.port = 0
        self.mgmt_port = 0

    async def prepare(self):
        for _ in range(2):
            self._discovery_ports.append(await self.world.discovery.listen(self._sole_running_process))
        self._listener = reserve_port()
        self.port = self._listener.getsockname()[1]
        if self.has_inherited_listener:
            self._listener.listen(4096)
        self.write_config()

    def _sole_running_process(self):
        """The running process, or None if none or two are running."""
        running = [process for process in self.processes if process.is_running()]
        return running[0] if len(running) == 1 else None

    def newest_process(self):
        return self.processes[-1]

    @property
    def config_path(self):
        return self.folder / "config.json"

    def write_config(self, is_truncated=False):
        text = json.dumps({
            "name": f"n{self.index}", "listen": f"127.0.0.1:{self.port}", "seed": f"{self.index:x}7",
            "discovery": f"127.0.0.1:{self._discovery_ports[self._current_discovery]}",
            "limits": {"sockets": self.descriptor_limit},
            "known": {"rev": 1, "all": True, "targets": [b.entry() for b in self.world.backends if b.state != "left"]},
            "settings": dict(self._settings, me=self.index)})
        new_path = self.folder / "config.new"
        new_path.write_text(text[:len(text) // 2] if is_truncated else text)
        new_path.rename(self.config_path)

    def move_discovery(self):
        """Writes a configuration with the other discovery address, without signalling the process."""
        self._current_discovery = 1 - self._current_discovery
        self.write_config()

    # ---- Processes ----------------------------------------------------------------------------------------

    def start(self):
        """Starts a process, which becomes ready later."""
        number = len(self.processes)
        log_path = self.folder / f"log-{number}"
        self._mgmt_ports.append(reserve_port())
        self.mgmt_port = self._mgmt_ports[-1].getsockname()[1]
        environment = dict(os.environ, LD_PRELOAD=str(self._options.shim), FAULT_PLAN=str(self.plan.path),
                           TMPDIR=str(self.state_folder), EDGE_MGMT=f"127.0.0.1:{self.mgmt_port}")
        inherited = []
        if self.has_inherited_listener:
            environment["EDGE_SOCKET_FD"] = str(self._listener.fileno())
            inherited = [self._listener.fileno()]
        log = open("/dev/full" if self.logs_to_full_device else log_path, "wb", buffering=0)
        popen = subprocess.Popen([self._options.relay, "serve", "--config", self.config_path], stderr=log,
                                 stdout=log, stdin=subprocess.DEVNULL, env=environment, pass_fds=inherited)
        log.close()
        process = Process(self, popen, log_path)
        self.processes.append(process)
        self.world.spawn(self._wait_until_ready(process))
        self.world.spawn(self._monitor(process))
        for backend in self.world.backends:
            if backend.state != "active":
                self.world.discovery.assume_notified_later(process, backend.uid, backend.state)
        return process

    async def _wait_until_ready(self, process):
        began = self.world.now()
        while process.is_running() and not process.is_stopping:
            if await self._is_ready(process):
                process.ready_at = self.world.now()
                self.receives_clients = True
                self.world.oracle.counts["starts"] += 1
                return
            if self.world.now() - began > READY_TIMEOUT_S + self.world.event_loop_lag:
                self.world.oracle.report_violation("ready in time",
                                                   f"{process} is not ready after {READY_TIMEOUT_S} s")
                return
            await asyncio.sleep(0.03)

    async def _is_ready(self, process):
        if self.has_inherited_listener:
            return await self.management_call("GET", "/ready") == 200 and process is self.newest_process()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b"PING\r\n")
            answer = await asyncio.wait_for(reader.readline(), 1)
            writer.transport.abort()
            return answer == b"PONG\r\n"
        except (OSError, asyncio.TimeoutError):
            return False

    async def _monitor(self, process):
        """Reports a process that ends by itself, ends with an error, or exceeds its limits."""
        while process.is_running():
            await asyncio.sleep(0.25)
            self._check_limits(process)
        if not process.is_stopping:
            self.receives_clients = False
            self.world.oracle.process_failed(process, f"ended by itself with code {process.popen.returncode}")
        elif not process.was_killed() and process.popen.returncode != 0:
            self.world.oracle.process_failed(process, f"was stopped and ended with code {process.popen.returncode}")

    def _check_limits(self, process):
        process_info = pathlib.Path("/proc", str(process.popen.pid))
        try:
            descriptors = len(list((process_info / "fd").iterdir()))
            memory_kb = int((process_info / "status").read_text().split("VmRSS:")[1].split()[0])
        except (OSError, IndexError):
            return
        self.world.oracle.counts["most descriptors"] = max(descriptors, self.world.oracle.counts["most descriptors"])
        if descriptors > self.descriptor_limit:
            self.world.oracle.report_violation("limits", f"{process} has {descriptors} open descriptors")
        if memory_kb > MEMORY_LIMIT_KB:
            self.world.oracle.report_violation("limits", f"{process} uses {memory_kb} KB of memory")

    async def terminate(self, process, front_end_delay):
        """Stops a process as the platform does, with SIGTERM and a later SIGKILL.

        New clients arrive for `front_end_delay` seconds more, and open connections are used until SIGKILL, which
        comes as early as the platform allows. Requests that the process holds at SIGKILL are lost.
        """
        limit = min(self._longest_timeout, MAX_TERMINATION_WAIT_S) + KILL_MARGIN_S
        if not self.has_inherited_listener:
            self.world.clients.open_lingering_clients(self, process, limit)
            await asyncio.sleep(0.02)
        process.is_stopping = True
        process.signal(signal.SIGTERM)
        deadline = self.world.now() + limit
        await asyncio.sleep(front_end_delay)
        if process is self.newest_process():
            self.receives_clients = False
        while process.is_running() and self.world.now() < deadline + self.world.event_loop_lag:
            await asyncio.sleep(0.01)
        if process.is_running():
            self.world.oracle.report_violation("shutdown in time",
                                               f"{process} is still running {limit:.1f} s after SIGTERM")
            process.popen.kill()

    async def kill(self, front_end_delay):
        """Kills the processes with SIGKILL; the front end sends clients for `front_end_delay` seconds more."""
        for process in self.processes:
            process.kill()
        await asyncio.sleep(front_end_delay)
        self.receives_clients = False

    async def replace(self):
        """Performs a hot restart: starts a successor, and stops the predecessor once the successor is ready."""
        predecessor = self.newest_process()
        successor = self.start()
        for _ in range(600):
            if successor.ready_at or not successor.is_running():
                break
            await asyncio.sleep(0.01)
        await self.terminate(predecessor, 0)

    async def management_call(self, method, path, body=""):
        """Sends an operator's request and returns the HTTP status, or 0 if no response arrived."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.mgmt_port)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: r\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
            head = await asyncio.wait_for(reader.readline(), 1 + self.world.event_loop_lag)
            writer.transport.abort()
            return int(head.split()[1])
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return 0

    def stop_all(self):
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.popen.wait()
        for reservation in [self._listener, *self._mgmt_ports]:
            if reservation:
                reservation.close()

    def check_logs(self):
        """Reports internal errors that the relays have logged."""
        for process in self.processes:
            if self.logs_to_full_device or not process.log_path.exists():
                continue
            for line in process.log_path.read_text(errors="replace").splitlines():
                if any(marker in line for marker in FAULT_LOG_MARKERS):
                    self.world.oracle.report_violation("fault in the log", f"{process}: {line}")
