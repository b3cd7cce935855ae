"""Stand-ins for a case: clients, backends, discovery and the platform, on loopback addresses and the real clock.

They follow the users' pages (PROTOCOL, DEPLOY, DAYS). A backend answers OPEN with UP, echoes lines, and can be told to
answer late, in pieces or not at all. Discovery serves the watch. The platform starts and stops the relay's processes.
"""
import asyncio
import contextlib
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played; this says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the time since the start of the case."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


def abort(writer):
    with contextlib.suppress(Exception):
        writer.transport.abort()


def free_port_socket(host="127.0.0.1"):
    """A bound socket that reserves a free port; a process that sets SO_REUSEADDR can still listen there."""
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind((host, 0))
    return reserved


class Backend:
    def __init__(self, record, uid, zone="a", host="127.0.0.1", cell=0):
        self.record, self.uid, self.zone, self.host, self.cell = record, uid, zone, host, cell
        self.state, self.boot_ms, self.port = "active", 0, 0
        self.setup_s = 0.02           # from the OPEN line to UP
        self.message_s = 0.0          # from a client's line to its echo
        self.is_hung = False          # accepts connections, and answers nothing on any of them
        self.line_bytes = 0           # the line that it sends back for a client's line is at least this long
        self.runs = []                # (time, session id) of each OPEN line that came whole
        self.server = None
        self.writers = set()
        self._resumed = asyncio.Event()
        self._resumed.set()

    async def start(self):
        self.server = await asyncio.start_server(self._accept, self.host, self.port, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    def hang(self):
        self.is_hung = True
        self._resumed.clear()

    def resume(self):
        self.is_hung = False
        self._resumed.set()

    def entry(self):
        return {"uid": self.uid, "endpoint": f"{self.host}:{self.port}", "az": self.zone, "model": "m",
                "pod_group": self.cell, "state": self.state, "capacity_hint": 1.0, "boot_ms": self.boot_ms}

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            while line := await reader.readline():
                text = line.decode(errors="replace").strip()
                if text.startswith("OPEN "):
                    await self._session(text, reader, writer)
                    return
                await self._resumed.wait()
                writer.write(b"PONG rif=1,x0=0.1\r\n")
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            abort(writer)

    async def _session(self, text, reader, writer):
        session = text.split(" ")[1]
        self.runs.append((self.record.now(), session))
        self.record.write(f"backend {self.uid} received: {text}")
        ended = asyncio.ensure_future(reader.readline())
        done, _ = await asyncio.wait([ended], timeout=self.setup_s)
        if not done:
            await self._resumed.wait()
            writer.write(f"UP {self.uid}-{len(self.runs)}\r\n".encode())
            self.record.write(f"backend {self.uid} answered UP to {session}")
        line = await ended
        while line:
            await asyncio.sleep(self.message_s)
            await self._resumed.wait()
            writer.write(line.rstrip(b"\r\n").ljust(self.line_bytes - 2, b".") + b"\r\n")
            await writer.drain()
            line = await reader.readline()
        self.record.write(f"backend {self.uid}: connection of {session} was ended by the relay")


class Discovery:
    """One service, with the watch of PROTOCOL: the whole list first, then a line for each change, a blank line each 2 s."""

    def __init__(self, record, backends):
        self.record, self.backends, self.rev = record, backends, 1
        self.watches, self.port, self.server = set(), 0, None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def whole_list(self):
        return {"rev": self.rev, "all": True, "targets": [b.entry() for b in self.backends if b.state != "left"]}

    def change(self, backend, state):
        backend.state = state
        self.rev += 1
        self.record.write(f"discovery told: {backend.uid} is {state}")
        for writer in list(self.watches):
            self._line(writer, json.dumps({"rev": self.rev, "all": False, "targets": [backend.entry()]}))

    @staticmethod
    def _line(writer, text):
        data = (text + "\n").encode()
        writer.write(b"%x\r\n" % len(data) + data + b"\r\n")

    async def _serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._line(writer, json.dumps(self.whole_list()))
            self.watches.add(writer)
            ended = asyncio.ensure_future(reader.read())
            while True:
                done, _ = await asyncio.wait([ended], timeout=2)
                if done:
                    return
                self._line(writer, "")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watches.discard(writer)
            abort(writer)


class Platform:
    """One relay: its configuration, the listening socket that the platform holds, and its processes."""

    def __init__(self, record, discovery, settings, folder, holds_socket, sockets=1024, memory_mb=192):
        self.record, self.discovery, self.folder, self.holds_socket = record, discovery, folder, holds_socket
        self.settings, self.limits = settings, {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.command = re.search(r'^run = "([^"]+)"', (ROOT / "deploy" / "balancer.toml").read_text(), re.M).group(1)
        self.state_folder = folder / "state"
        self.state_folder.mkdir()
        self.listener = free_port_socket()
        self.port = self.listener.getsockname()[1]
        if holds_socket:
            self.listener.listen(4096)
        self.processes = []
        self.kept = []

    def start(self):
        number = len(self.processes) + 1
        mgmt = free_port_socket()
        self.kept.append(mgmt)
        process_mgmt = mgmt.getsockname()[1]
        path = self.folder / "config.json"
        path.write_text(json.dumps({
            "name": "n1", "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": f"{os.getpid():x}{number}", "limits": self.limits,
            "known": self.discovery.whole_list(), "settings": self.settings}))
        environment = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        environment.update(EDGE_CONFIG=str(path), EDGE_NAME="n1", EDGE_LISTEN=f"127.0.0.1:{self.port}",
                           EDGE_DISCOVERY=f"127.0.0.1:{self.discovery.port}", EDGE_MGMT=f"127.0.0.1:{process_mgmt}",
                           TMPDIR=str(self.state_folder))
        inherited = ()
        if self.holds_socket:
            environment["EDGE_SOCKET_FD"] = str(self.listener.fileno())
            inherited = (self.listener.fileno(),)
        log = open(self.folder / f"relay-{number}.log", "wb")
        process = subprocess.Popen(["/bin/sh", "-c", self.command], cwd=ROOT, env=environment, stdout=log, stderr=log,
                                   stdin=subprocess.DEVNULL, pass_fds=inherited)
        log.close()
        process.mgmt = process_mgmt
        process.number = number
        self.processes.append(process)
        self.record.write(f"platform started relay process {number}")
        return process

    async def call(self, process, method, path, body=""):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", process.mgmt)
        except OSError:
            return 0
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: r\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
            head = await asyncio.wait_for(reader.readline(), 1)
            return int(head.split()[1])
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return 0
        finally:
            abort(writer)

    async def until_ready(self, process, limit=6.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if process.poll() is not None:
                raise CannotRun(f"relay process {process.number} ended at its start")
            if await self.call(process, "GET", "/ready") == 200:
                self.record.write(f"relay process {process.number} answered /ready with yes")
                return
            await asyncio.sleep(0.02)
        raise CannotRun(f"relay process {process.number} was not ready in {limit} s")

    async def terminate(self, process, longest_timeout_s):
        """SIGTERM, and SIGKILL after the longest deadline (3 s at most) and 0.7 s more. Returns whether it was killed."""
        limit = min(longest_timeout_s, 3.0) + 0.7
        self.record.write(f"platform sent SIGTERM to relay process {process.number}")
        process.send_signal(signal.SIGTERM)
        end = time.monotonic() + limit
        while process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.005)
        if process.poll() is not None:
            self.record.write(f"relay process {process.number} ended by itself with {process.returncode}")
            return False
        process.kill()
        process.wait()
        self.record.write(f"platform sent SIGKILL to relay process {process.number}, {limit:.1f} s after SIGTERM")
        return True

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for kept in [self.listener, *self.kept]:
            kept.close()


async def _play_within(limit, coroutine):
    # Connections that are cut off when the case ends are no errors of the case.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    return await asyncio.wait_for(coroutine, limit)


def play(story, case_folder):
    """Runs `story(record, folder, trouble)`, which returns whether the rule was broken, and exits as the issue asks."""
    record = Record(pathlib.Path(case_folder) / "record.txt")
    folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {'on' if trouble else 'off'}")
    code = NOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # ends the processes that the case started, too
    try:
        if not (ROOT / "build" / "cherryrail").exists():
            raise CannotRun("build/cherryrail is missing: run the deploy file's build first")
        code = BROKEN if asyncio.run(_play_within(110, story(record, folder, trouble))) else HELD
    except Exception as error:  # whatever fails in the case itself says nothing about the rule
        record.say(f"the case could not run: {error!r}")
    finally:
        for log in sorted(folder.glob("relay-*.log")):
            record.write(f"--- log of {log.stem}")
            for line in log.read_text(errors="replace").splitlines():
                record.write(f"    {line}")
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(folder, ignore_errors=True)
    record.say({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "not run"}[code])
    sys.exit(code)
