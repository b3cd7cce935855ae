"""The relays of the soak: real processes, which are started, signalled, replaced and killed."""
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

READY_LIMIT = 10.0
# After SIGTERM the platform kills a process that is still there so long after the longest client timeout.
KILL_MARGIN = 0.7
LONGEST_WAIT = 3.0  # the platform waits no longer than that for clients
MEMORY_LIMIT_KB = 96 * 1024
FAULT_MARKS = ("a callback failed", "invariant violated")

process_numbers = itertools.count()


def reserve_port():
    """A socket that holds a free port of loopback. A relay may listen there, but nobody else is given the port."""
    holder = socket.socket()
    holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    holder.bind(("127.0.0.1", 0))
    return holder


class Process:
    """One process of a relay."""

    def __init__(self, relay, popen, log_path):
        self.relay = relay
        self.popen = popen
        self.log_path = log_path
        self.number = next(process_numbers)
        self.ready_at = None
        self._killed = False
        self.is_ending = False

    def __repr__(self):
        return f"relay {self.relay.index} (process {self.number}, {self.log_path.name})"

    def is_running(self):
        return self.popen.poll() is None

    def possible_servers(self):
        """Those that may serve what this process was asked: at a hot restart, another may have taken it."""
        if not self.relay.has_inherited_listener:
            return [self]
        return [process for process in self.relay.processes if process.is_running()] or [self]

    def was_killed(self):
        """Whether it died by a SIGKILL of the soak: what it had then is owed to nobody."""
        return self._killed

    def signal(self, number):
        with contextlib.suppress(ProcessLookupError):
            self.popen.send_signal(number)

    def kill(self):
        if self.is_running():
            self._killed = True
            self.is_ending = True
            self.popen.kill()


class Relay:
    """One relay: its place, its configuration and its processes, of which there may be two at a hot restart."""

    def __init__(self, world, index, options, settings, longest_timeout):
        self.world = world
        self.index = index
        self.has_inherited_listener = index < 2
        self.has_no_log = index == 2
        self.folder = options.folder / f"relay-{index}"
        self.folder.mkdir()
        self.state_folder = self.folder / "state"
        self.state_folder.mkdir()
        self.plan = FaultPlan(self.folder / "fault-plan")
        self.processes = []
        self.takes_clients = False
        self.is_busy = False  # a trouble that stops or starts its processes is under way
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
            self._discovery_ports.append(await self.world.discovery.listen(self._only_process))
        self._listener = reserve_port()
        self.port = self._listener.getsockname()[1]
        if self.has_inherited_listener:
            self._listener.listen(4096)
        self.write_config()

    def _only_process(self):
        """The process that runs, unless there are two."""
        running = [process for process in self.processes if process.is_running()]
        return running[0] if len(running) == 1 else None

    def newest(self):
        return self.processes[-1]

    @property
    def config_path(self):
        return self.folder / "config.json"

    def write_config(self, is_half=False):
        text = json.dumps({
            "name": f"n{self.index}", "listen": f"127.0.0.1:{self.port}", "seed": f"{self.index:x}7",
            "discovery": f"127.0.0.1:{self._discovery_ports[self._current_discovery]}",
            "limits": {"sockets": self.descriptor_limit},
            "known": {"rev": 1, "all": True, "targets": [b.entry() for b in self.world.backends if b.state != "left"]},
            "settings": dict(self._settings, me=self.index)})
        new_path = self.folder / "config.new"
        new_path.write_text(text[:len(text) // 2] if is_half else text)
        new_path.rename(self.config_path)

    def move_discovery(self):
        """Writes a configuration with the other discovery address, without telling the process."""
        self._current_discovery = 1 - self._current_discovery
        self.write_config()

    # ---- Processes ----------------------------------------------------------------------------------------

    def start(self):
        """Starts a process; it is not ready yet."""
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
        log = open("/dev/full" if self.has_no_log else log_path, "wb", buffering=0)
        popen = subprocess.Popen([self._options.relay, "serve", "--config", self.config_path], stderr=log,
                                 stdout=log, stdin=subprocess.DEVNULL, env=environment, pass_fds=inherited)
        log.close()
        process = Process(self, popen, log_path)
        self.processes.append(process)
        self.world.spawn(self._wait_until_ready(process))
        self.world.spawn(self._watch(process))
        for backend in self.world.backends:
            if backend.state != "active":
                self.world.discovery.settle(process, backend.uid, backend.state)
        return process

    async def _wait_until_ready(self, process):
        began = self.world.now()
        while process.is_running() and not process.is_ending:
            if await self._is_ready(process):
                process.ready_at = self.world.now()
                self.takes_clients = True
                self.world.oracle.counts["starts"] += 1
                return
            if self.world.now() - began > READY_LIMIT + self.world.lateness:
                self.world.oracle.violate("ready in time", f"{process} is not ready after {READY_LIMIT} s")
                return
            await asyncio.sleep(0.03)

    async def _is_ready(self, process):
        if self.has_inherited_listener:
            return await self.call("GET", "/ready") == 200 and process is self.newest()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b"PING\r\n")
            answer = await asyncio.wait_for(reader.readline(), 1)
            writer.transport.abort()
            return answer == b"PONG\r\n"
        except (OSError, asyncio.TimeoutError):
            return False

    async def _watch(self, process):
        """Sees to it that the process neither ends by itself nor goes over its limits."""
        while process.is_running():
            await asyncio.sleep(0.25)
            self._check_limits(process)
        if not process.is_ending:
            self.takes_clients = False
            self.world.oracle.process_ended(process, f"ended by itself with {process.popen.returncode}")
        elif not process.was_killed() and process.popen.returncode != 0:
            self.world.oracle.process_ended(process, f"ended with {process.popen.returncode} at its stop")

    def _check_limits(self, process):
        proc = pathlib.Path("/proc", str(process.popen.pid))
        try:
            descriptors = len(list((proc / "fd").iterdir()))
            memory_kb = int((proc / "status").read_text().split("VmRSS:")[1].split()[0])
        except (OSError, IndexError):
            return
        self.world.oracle.counts["most descriptors"] = max(descriptors, self.world.oracle.counts["most descriptors"])
        if descriptors > self.descriptor_limit:
            self.world.oracle.violate("limits", f"{process} has {descriptors} descriptors")
        if memory_kb > MEMORY_LIMIT_KB:
            self.world.oracle.violate("limits", f"{process} has {memory_kb} KB")

    async def terminate(self, process, front_delay):
        """SIGTERM, as the platform does it: clients go on coming for `front_delay`, and use open connections until
        SIGKILL, which comes as early as it may. What the process has then is lost.
        """
        limit = min(self._longest_timeout, LONGEST_WAIT) + KILL_MARGIN
        if not self.has_inherited_listener:
            self.world.clients.linger(self, process, limit)
            await asyncio.sleep(0.02)
        process.is_ending = True
        process.signal(signal.SIGTERM)
        deadline = self.world.now() + limit
        await asyncio.sleep(front_delay)
        if process is self.newest():
            self.takes_clients = False
        while process.is_running() and self.world.now() < deadline + self.world.lateness:
            await asyncio.sleep(0.01)
        if process.is_running():
            self.world.oracle.violate("shutdown in time", f"{process} still runs {limit:.1f} s after SIGTERM")
            process.popen.kill()

    async def kill(self, front_delay):
        """SIGKILL; the front notices later."""
        for process in self.processes:
            process.kill()
        await asyncio.sleep(front_delay)
        self.takes_clients = False

    async def replace(self):
        """A hot restart."""
        former = self.newest()
        successor = self.start()
        for _ in range(600):
            if successor.ready_at or not successor.is_running():
                break
            await asyncio.sleep(0.01)
        await self.terminate(former, 0)

    async def call(self, method, path, body=""):
        """An operator's call: its status, 0 if none came."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.mgmt_port)
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: r\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
            head = await asyncio.wait_for(reader.readline(), 1 + self.world.lateness)
            writer.transport.abort()
            return int(head.split()[1])
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return 0

    def stop_all(self):
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.popen.wait()
        for holder in [self._listener, *self._mgmt_ports]:
            if holder:
                holder.close()

    def check_logs(self):
        """Looks for faults that a relay noticed of itself."""
        for process in self.processes:
            if self.has_no_log or not process.log_path.exists():
                continue
            for line in process.log_path.read_text(errors="replace").splitlines():
                if any(mark in line for mark in FAULT_MARKS):
                    self.world.oracle.violate("fault in the log", f"{process}: {line}")
