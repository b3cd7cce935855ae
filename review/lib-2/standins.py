"""Stand-ins on loopback for the cases 6 to 10: clients, backends, discovery and the platform.

They follow the users' protocol page. Everything that they see is written to record.txt in the case's folder.
"""
import asyncio
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
HEARTBEAT_S = 2.0


class CannotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w", buffering=1, encoding="utf-8")
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def write(self, text):
        print(f"{self.now():8.3f} {text}", file=self._file)

    def close(self):
        self._file.close()


def run_command():
    """The command of the deploy file that starts one relay."""
    text = (ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8")
    found = re.search(r'^run\s*=\s*"([^"]*)"', text, re.MULTILINE)
    if not found:
        raise CannotRun("the deploy file has no run command")
    if not (ROOT / "build" / "cherryrail").exists():
        raise CannotRun("the relay is not built")
    return found.group(1)


def abort(writer):
    try:
        writer.transport.abort()
    except (OSError, RuntimeError, AttributeError):
        pass


class Backend:
    """A backend. `is_hung`: it takes connections and lines and answers nothing.

    `answer` may be replaced by the case: it gets the OPEN line, the reader and the writer.
    """

    def __init__(self, record, uid, zone="a", cell=0, address="127.0.0.1"):
        self.record = record
        self.uid = uid
        self.zone = zone
        self.cell = cell
        self.address = address
        self.state = "active"
        self.boot_ms = 0
        self.x0 = 0.5
        self.is_hung = False
        self.port = 0
        self.opens = []  # (time of the last byte, id)
        self.writers = {}  # the open sessions: id -> writer
        self.on_open = None  # async (line, reader, writer) -> bool: whether it has dealt with the request
        self.on_line = None  # async (id, line, writer) -> bool: the same for a line of an open session
        self._server = None
        self._resumed = asyncio.Event()
        self._resumed.set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.address, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Its process ends: what is left on it is cut off, and new connections are refused."""
        self._server.close()
        for writer in list(self.writers.values()):
            abort(writer)
        self.record.write(f"backend {self.uid} ends, with {len(self.writers)} sessions")

    def hang(self):
        self.is_hung = True
        self._resumed.clear()
        self.record.write(f"backend {self.uid} hangs: it takes what comes and answers nothing")

    def go_on(self):
        self.is_hung = False
        self._resumed.set()
        self.record.write(f"backend {self.uid} answers again")

    def entry(self):
        return {"uid": self.uid, "endpoint": f"{self.address}:{self.port}", "az": self.zone, "model": "type-a",
                "pod_group": self.cell, "state": self.state, "capacity_hint": 1.0, "boot_ms": self.boot_ms}

    async def _serve(self, reader, writer):
        session = None
        try:
            while True:
                line = (await reader.readuntil(b"\n")).decode(errors="replace").rstrip("\r\n")
                at = self.record.now()
                if line.startswith("OPEN "):
                    session = line.split(" ")[1]
                    self.opens.append((at, session))
                    self.record.write(f"backend {self.uid} got: {line}{' (it hangs)' if self.is_hung else ''}")
                    await self._resumed.wait()
                    if self.on_open and await self.on_open(line, reader, writer):
                        return
                    self.writers[session] = writer
                    writer.write(b"UP r-" + session.encode() + b"\r\n")
                elif session is None:
                    await self._resumed.wait()
                    if line == "STATS":
                        writer.write(f"PONG eps=0,inflight={len(self.writers)},x0={self.x0}\r\n".encode())
                    else:
                        writer.write(b"PONG\r\n")
                else:
                    await self._resumed.wait()
                    if self.on_line and await self.on_line(session, line, writer):
                        continue
                    writer.write(line.encode() + b"\r\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if session is not None:
                self.writers.pop(session, None)
                self.record.write(f"backend {self.uid}: the connection of {session} has ended")
            abort(writer)


class Discovery:
    """Discovery, one service with one address or several: watches that stay open, with an empty line every 2 s.

    While it is down it refuses connections. `delay`: how long a call waits in its turn before it is answered.
    """

    def __init__(self, record, backends):
        self.record = record
        self.backends = backends
        self.revision = 1
        self.port = 0  # of its first address
        self.is_up = False
        self.delay = 0.0
        self._changes = []
        self._doors = {}  # by port: (server, writers of its open calls)
        self._watches = set()  # writers of watches that are not silent

    async def start(self):
        self.port = await self.open_address()
        self.is_up = True
        self.record.write("discovery is up")

    async def open_address(self, port=0):
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(("127.0.0.1", port))
        port = listening.getsockname()[1]
        writers = set()
        server = await asyncio.start_server(lambda reader, writer: self._serve(port, writers, reader, writer),
                                            sock=listening)
        self._doors[port] = (server, writers)
        return port

    def retire_address(self, port):
        """A new configuration names another address: this one takes no new call, and closes the open ones in 1.5 s."""
        server, writers = self._doors.pop(port)
        server.close()

        def close_open_ones():
            self.record.write(f"discovery closes what is open at its old address {port}: {len(writers)} calls")
            for writer in list(writers):
                abort(writer)

        asyncio.get_running_loop().call_later(1.5, close_open_ones)

    async def come_back(self):
        await self.open_address(self.port)
        self.is_up = True
        self.record.write("discovery is up")

    def go_down(self):
        self.is_up = False
        for server, writers in self._doors.values():
            server.close()
            for writer in list(writers):
                abort(writer)
        self._doors.clear()
        self.record.write("discovery is down: its watches have ended, new connections are refused")

    def reset_watches(self):
        """The open watches are reset; discovery goes on taking calls."""
        self.record.write(f"{len(self._watches)} open watches are reset")
        for writer in list(self._watches):
            abort(writer)
        self._watches.clear()

    def whole_list(self):
        targets = [backend.entry() for backend in self.backends if backend.state != "left"]
        return {"rev": self.revision, "all": True, "targets": targets}

    def change(self, *changed):
        """Takes note of what has changed; no watch is told."""
        self.revision += 1
        entries = [backend.entry() for backend in changed]
        self._changes += [(self.revision, entry) for entry in entries]
        states = ", ".join(f"{entry['uid']} {entry['state']}" for entry in entries)
        self.record.write(f"discovery has a change: {states} (rev {self.revision})")
        return entries

    def publish(self, *changed):
        entries = self.change(*changed)
        text = json.dumps({"rev": self.revision, "all": False, "targets": entries})
        for writer in list(self._watches):
            self._send(writer, text)
        self.record.write(f"discovery writes it to {len(self._watches)} watches")

    @staticmethod
    def _send(writer, text):
        data = (text + "\n").encode()
        writer.write(b"%x\r\n" % len(data) + data + b"\r\n")

    async def _serve(self, port, writers, reader, writer):
        writers.add(writer)
        try:
            request = (await reader.readuntil(b"\r\n\r\n")).decode()
            found = re.search(r"after=(\d+)", request)
            after = int(found.group(1)) if found else 0
            self.record.write(f"discovery gets a call at {port}: a watch after rev {after}")
            ended = asyncio.create_task(reader.read())
            try:
                await self._watch(port, after, writer, ended)
            finally:
                ended.cancel()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writers.discard(writer)
            self._watches.discard(writer)
            abort(writer)

    async def _watch(self, port, after, writer, ended):
        if self.delay > 0:
            done, _ = await asyncio.wait([ended], timeout=self.delay)
            if done or writer.transport.is_closing():
                self.record.write(f"the call at {port} has ended before its turn came")
                return
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
        newer = {entry["uid"]: entry for number, entry in self._changes if number > after}
        if 0 < after <= self.revision:
            first = {"rev": self.revision, "all": False, "targets": list(newer.values())}
        else:
            first = self.whole_list()
        self._send(writer, json.dumps(first))
        self.record.write(f"discovery answers the call at {port}: {len(first['targets'])} entries (rev {self.revision})")
        self._watches.add(writer)
        while True:
            done, _ = await asyncio.wait([ended], timeout=HEARTBEAT_S)
            if done or writer.transport.is_closing():
                return
            if writer in self._watches:
                self._send(writer, "")
                await writer.drain()


class Relay:
    """The platform's side of one relay: its addresses, its configuration, its processes."""

    def __init__(self, record, settings, discovery, known, sockets=512, holds_listener=False,
                 seed="8c1f30d27a5be964"):
        self.record = record
        self.settings = settings
        self.discovery = discovery
        self.processes = []
        self.holds_listener = holds_listener
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        (self.folder / "tmp").mkdir()
        self._listening = socket.socket()
        self._listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listening.bind(("127.0.0.1", 0))
        self.port = self._listening.getsockname()[1]
        if holds_listener:
            self._listening.listen(1024)
        self.known = known
        self.sockets = sockets
        self.seed = seed
        self.config_path = self.folder / "config.json"
        self.write_config(discovery.port)
        self._mgmt_sockets = []

    def write_config(self, discovery_port):
        text = json.dumps({"name": "n0", "listen": f"127.0.0.1:{self.port}",
                           "discovery": f"127.0.0.1:{discovery_port}", "seed": self.seed,
                           "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
                           "known": self.known, "settings": self.settings})
        new = self.folder / "config.new"
        new.write_text(text, encoding="utf-8")
        new.rename(self.config_path)

    def start(self):
        """Starts one process by the deploy file's command. Returns (process, port of its admin endpoint)."""
        free = socket.socket()
        free.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        free.bind(("127.0.0.1", 0))
        self._mgmt_sockets.append(free)  # keeps the port ours; the relay binds it too (SO_REUSEADDR)
        mgmt = free.getsockname()[1]
        environment = dict(os.environ, EDGE_CONFIG=str(self.config_path), TMPDIR=str(self.folder / "tmp"),
                           EDGE_MGMT=f"127.0.0.1:{mgmt}")
        environment.pop("EDGE_SOCKET_FD", None)
        command = run_command()
        log = open(self.folder / f"log-{len(self.processes)}", "wb")
        if self.holds_listener:
            environment["EDGE_SOCKET_FD"] = "3"
            fd = self._listening.fileno()

            def as_descriptor_3():
                os.dup2(fd, 3)
                os.set_inheritable(3, True)

            process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log,
                                       stdin=subprocess.DEVNULL, close_fds=False, preexec_fn=as_descriptor_3)
        else:
            process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log,
                                       stdin=subprocess.DEVNULL)
        log.close()
        self.processes.append(process)
        self.record.write(f"platform starts relay process {len(self.processes)}")
        return process, mgmt

    async def wait_ready(self, process, mgmt, seconds=6.0):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if process.poll() is not None:
                raise CannotRun(f"the relay has ended with {process.returncode}: {self.log_tail()}")
            status, _ = await self.call(mgmt, "GET", "/ready")
            if status == 200:
                self.record.write(f"relay process {self.processes.index(process) + 1} answers /ready with yes")
                return
            await asyncio.sleep(0.02)
        raise CannotRun("the relay is not ready")

    async def call(self, mgmt, method, path, body=None):
        """One call of the platform. Returns (status or None, seconds)."""
        began = time.monotonic()
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", mgmt)
            text = json.dumps(body) if body is not None else ""
            head = f"{method} {path} HTTP/1.1\r\nHost: relay\r\n"
            if body is not None:
                head += f"Content-Type: application/json\r\nContent-Length: {len(text)}\r\n"
            writer.write((head + "\r\n" + text).encode())
            answer = await asyncio.wait_for(reader.readline(), 3)
            abort(writer)
            return int(answer.split()[1]), time.monotonic() - began
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return None, time.monotonic() - began

    def log_tail(self, lines=4):
        texts = [path.read_text(errors="replace") for path in sorted(self.folder.glob("log-*"))]
        return " | ".join("".join(texts).splitlines()[-lines:])

    def copy_logs(self, folder):
        for path in sorted(self.folder.glob("log-*")):
            shutil.copy(path, pathlib.Path(folder) / f"{path.name}.out")

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._listening.close()
        for free in self._mgmt_sockets:
            free.close()
        if os.environ.get("KEEP"):
            print(f"kept: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Client:
    """A sound client: one OPEN, then one line every 2 s once it is up. It waits for each line's answer."""

    next_number = 1

    def __init__(self, record, relay_port, profile="price-watch", timeout_ms=1200, fields="", line_every=2.0):
        number = Client.next_number
        Client.next_number += 1
        self.record = record
        self.port = relay_port
        self.id = f"{0xc1000000 + number:016x}"
        self.key = f"{(0x9e3779b97f4a7c15 * number) & 0xffffffffffffffff:016x}"
        self.line = f"OPEN {self.id} {self.key} c={profile},d={timeout_ms}{fields}"
        self.timeout = timeout_ms / 1000
        self.line_every = line_every
        self.sent_at = None
        self.answer = None  # the relay's first line, "" for an end without one
        self.answered_at = None
        self.last_line = None  # "MOVE", "BYE" or the like that ended an open session
        self.ended_at = None
        self.unanswered_since = None
        self.longest_silence = 0.0
        self.writer = None
        self.lines_back = 0

    def silence(self):
        """How long the oldest unanswered line of the open session has waited, now or at the worst."""
        current = self.record.now() - self.unanswered_since if self.unanswered_since is not None else 0.0
        return max(self.longest_silence, current)

    async def run(self):
        try:
            reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError as error:
            self.answer = f"no connection: {error}"
            self.record.write(f"client {self.id}: {self.answer}")
            return
        try:
            self.sent_at = self.record.now()
            self.writer.write(self.line.encode() + b"\r\n")
            self.record.write(f"client {self.id} sends: {self.line}")
            line = await asyncio.wait_for(reader.readline(), self.timeout + 1.0)
            self.answered_at = self.record.now()
            self.answer = line.decode(errors="replace").strip()
            self.record.write(f"client {self.id} is answered: {self.answer!r}")
            if self.answer.startswith("UP"):
                await self._hold(reader)
        except asyncio.TimeoutError:
            self.record.write(f"client {self.id} has no answer {self.timeout + 1.0:.1f} s after its request")
        except OSError as error:
            if self.answer is None:
                self.answer = ""
                self.answered_at = self.record.now()
            self.ended_at = self.record.now()
            self.record.write(f"client {self.id}: the connection broke: {type(error).__name__}")
        finally:
            abort(self.writer)

    async def _hold(self, reader):
        sender = asyncio.create_task(self._send_lines())
        try:
            while True:
                line = (await reader.readline()).decode(errors="replace")
                if not line or line.startswith(("MOVE", "BYE")):
                    self.last_line = line.strip()
                    self.ended_at = self.record.now()
                    self._note_silence()
                    self.record.write(f"client {self.id}: the session ends with {self.last_line!r}")
                    return
                if line.startswith("LOAD"):
                    continue
                self._note_silence()
                self.lines_back += 1
        finally:
            sender.cancel()

    def _note_silence(self):
        if self.unanswered_since is not None:
            self.longest_silence = max(self.longest_silence, self.record.now() - self.unanswered_since)
        self.unanswered_since = None

    async def _send_lines(self):
        number = 0
        while True:
            await asyncio.sleep(self.line_every)
            number += 1
            if self.unanswered_since is None:
                self.unanswered_since = self.record.now()
            self.writer.write(f"line {number}\r\n".encode())


def small_deployment(**changes):
    """Settings like those of a small deployment: three relays, a list that is asked for, probes with load reports."""
    settings = {
        "balancers": 3, "me": 0, "zone": 0, "zones": ["a"], "discovery": "on_request", "step": 2.0,
        "callers": {"marks_retry": True},
        "domain": {"mode": "proxy", "groups": False, "message_aim": [100.0, 150.0, 60.0], "tells_delay": False,
                   "tells_load": False},
        "invariants": {"answer_slack": 8.0, "ask_within": 10000.0, "cold_from": 0.33, "fall": 3000.0,
                       "fall_multiple": 3.0, "stop_sending_within": 500.0, "warm_up": 9000.0},
        "permissions": {"conn_idle": 15000.0, "connect_timeout": 100.0, "may_cancel": True, "max_setups": 6,
                        "probing": True, "retry_after": False, "max_retry_after": 1000.0, "second_copies": False},
        "prices": {"cross_zone": 0.02, "probe": 0.002, "moves": 0.018, "waste": 0.077},
        "profiles": [
            {"name": "price-watch", "semantics": "idempotent", "key_scope": "all", "payoff": 1.0, "setup_goal": 300.0,
             "client_timeout": 1200.0, "window": 5000.0, "stream": True},
            {"name": "standing-bid", "semantics": "idempotent", "key_scope": "all", "payoff": 5.0, "setup_goal": 300.0,
             "client_timeout": 1200.0, "window": 5000.0, "stream": True},
            {"name": "lot-update", "semantics": "idempotent", "key_scope": "all", "payoff": 3.0, "setup_goal": 300.0,
             "client_timeout": 1800.0, "window": 5000.0, "stream": True}],
        "report": {"fields": ["eps", "inflight", "x0"], "how": "on_probe"},
        "tenants": []}
    for path, value in changes.items():
        inner = settings
        keys = path.split("__")
        for key in keys[:-1]:
            inner = inner.setdefault(key, {})
        inner[keys[-1]] = value
    return settings


class Clients:
    """Sound clients that arrive at a steady rate, and come again after a MOVE or, twice at most, after a BUSY."""

    def __init__(self, record, port, rate, life, profiles=("price-watch",), timeout_ms=1200):
        self.record = record
        self.all = []
        self._port = port
        self._rate = rate
        self._life = life
        self._profiles = profiles
        self._timeout_ms = timeout_ms
        self._tasks = set()
        self._arrivals = None
        self._number = 0

    def start(self):
        self._arrivals = asyncio.create_task(self._arrive())

    async def _arrive(self):
        while True:
            task = asyncio.create_task(self._one())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            asyncio.get_running_loop().call_later(self._life, task.cancel)
            await asyncio.sleep(1 / self._rate)

    async def _one(self):
        fields = ""
        refusals = 0
        profile = self._profiles[self._number % len(self._profiles)]
        self._number += 1
        while refusals <= 2:
            client = Client(self.record, self._port, profile, self._timeout_ms, fields)
            self.all.append(client)
            await client.run()
            if client.last_line is not None and client.last_line.startswith("MOVE"):
                fields = ",again=1"
            elif client.answer is not None and client.answer.startswith("BUSY"):
                fields = ",r=1"
                refusals += 1
            else:
                return
            await asyncio.sleep(0.4)

    async def end(self):
        await cancel([self._arrivals, *self._tasks])


async def cancel(tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def run_and_clean_up(case, record, relays):
    try:
        return await asyncio.wait_for(case(record, relays), 105)
    finally:
        for _ in range(3):  # what ends may begin something else
            await cancel(asyncio.all_tasks() - {asyncio.current_task()})
            await asyncio.sleep(0.02)


def play(folder, case):
    """Runs `case(record, relays)`, an async function that returns the list of what broke the rule. Exits by it."""
    record = Record(folder)
    relays = []  # the case adds each relay here, so that its processes are ended
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    try:
        broken = asyncio.run(run_and_clean_up(case, record, relays))
        for line in broken:
            record.write(f"BROKEN: {line}")
            print(f"BROKEN: {line}")
        code = 1 if broken else 0
        if not broken:
            record.write("the rule held")
            print("the rule held")
    except (CannotRun, asyncio.TimeoutError, OSError) as reason:
        record.write(f"could not run: {reason!r}")
        print(f"could not run: {reason!r}")
    finally:
        for relay in relays:
            if os.environ.get("KEEP"):
                relay.copy_logs(folder)
            relay.end()
        record.close()
    sys.exit(code)
