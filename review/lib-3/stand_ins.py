"""Stand-ins for clients, backends, discovery and the platform, for the scripts of this review.

They follow the users' pages, and where a page is silent they behave like a sound peer. Python's standard library
only; every address is a loopback address with a free port. A case derives from Case, puts its story into `play`, and
its verdict into `judge`.
"""
import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played, so there is no verdict."""


# ---- Settings --------------------------------------------------------------------------------------------------


def halpiac_settings(**changes):
    """The settings of the deployment halpiac-main, as its relays are told them. `changes` replace top-level keys."""
    def profile(name, payoff, client_timeout):
        return {"name": name, "semantics": "idempotent", "key_scope": "all", "window": 5000.0, "payoff": payoff,
                "late_payoff": 0.0, "setup_goal": 300.0, "client_timeout": client_timeout, "stream": True}

    settings = {
        "balancers": 3, "me": 0, "zone": 0, "zones": ["budapest", "szeged", "siofok"], "step": 2.0,
        "discovery": "on_request", "models": ["type-a", "type-b"], "payoff_by": "request", "weight_kind": "rough",
        "callers": {"marks_retry": True}, "domain_type": "conn",
        "domain": {"groups": True, "message_aim": [100.0, 150.0, 60.0], "mode": "proxy", "park": 0.0,
                   "tells_delay": True, "tells_load": False},
        "invariants": {"answer_slack": 8.0, "ask_within": 10000.0, "cold_from": 0.33, "fall": 3000.0,
                       "fall_multiple": 3.0, "stop_sending_within": 500.0, "warm_up": 9000.0},
        "objective_mix": {"whole": 0.45, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.35},
        "permissions": {"conn_idle": 15000.0, "connect_timeout": 100.0, "cpu_us_per_request": 0.0,
                        "cpu_us_per_s": 800000, "max_open": 1000000, "max_retry_after": 1000.0, "max_setups": 6,
                        "may_cancel": True, "peers": False, "probing": True, "retry_after": False,
                        "second_copies": False, "streams_per_conn": 1048576},
        "prices": {"connection": 0.0, "cross_zone": 0.02, "discovery": 0.0, "handshake": 0.0, "late_fail": 0.026,
                   "moves": 0.018, "origin": 0.0, "peer": 0.0, "probe": 0.002, "waste": 0.077},
        "profiles": [profile("price-watch", 1.0, 1200.0), profile("standing-bid", 5.0, 1200.0),
                     profile("lot-update", 3.0, 1800.0)],
        "report": {"fields": ["fail_rate", "rif", "x0"], "how": "on_probe"},
        "tier": 0, "stages": ["clock-fleet"], "surplus_payoff": 0.1}
    settings.update(changes)
    return settings


def epmam_settings(**changes):
    """The settings of the deployment epmam-aulas-cuenca, where discovery pushes the list."""
    def profile(name, payoff, setup_goal, client_timeout):
        return {"name": name, "semantics": "idempotent", "key_scope": "all", "window": 5000.0, "payoff": payoff,
                "late_payoff": 0.0, "setup_goal": setup_goal, "client_timeout": client_timeout, "stream": True}

    settings = halpiac_settings(
        balancers=4, zones=["el-ejido", "totoracocha", "san-sebastian", "ricaurte"], step=4.0, discovery="pushed",
        models=["serie-r3", "serie-m4"], weight_kind="off",
        domain={"groups": True, "message_aim": [50.0, 150.0], "mode": "proxy", "park": 0.0, "tells_delay": False,
                "tells_load": True, "tenant_quota_connections": [200, 160]},
        objective_mix={"whole": 0.4, "worst_class": 0.2, "worst_tenant": 0.25, "worst_window": 0.15},
        profiles=[profile("sala-practica", 1.0, 500.0, 3000.0), profile("clase-vivo", 3.0, 800.0, 4800.0)],
        tenants=[{"name": "escuelas-barriales", "fraction": 0.56}, {"name": "conservatorio-mun", "fraction": 0.44}],
        report={"fields": [], "how": "off"}, stages=["aulas-conexion"], surplus_payoff=0.2)
    settings["invariants"].update(cold_from=0.13, fall=2000.0, stop_sending_within=250.0, warm_up=23000.0)
    settings["permissions"].update(connect_timeout=150.0, cpu_us_per_request=10.0, cpu_us_per_s=15000,
                                   max_retry_after=2000.0, max_setups=5, retry_after=True)
    settings["prices"].update(cross_zone=0.028, handshake=0.042, late_fail=0.066, moves=0.01, probe=0.0022,
                              waste=0.034)
    settings.update(changes)
    return settings


def permit_settings(**changes):
    """The settings of the deployment permit-forms-th."""
    def profile(name, payoff):
        return {"name": name, "semantics": "idempotent", "key_scope": "all", "window": 5000.0, "payoff": payoff,
                "late_payoff": 0.0, "setup_goal": 800.0, "client_timeout": 4800.0, "stream": True}

    settings = halpiac_settings(
        balancers=2, zones=["bkk", "cnx"], step=2.0, models=["large-fast", "large-std", "small-slow"],
        weight_kind="nominal", callers={"marks_retry": False},
        domain={"groups": False, "message_aim": [100.0, 60.0], "mode": "proxy", "park": 0.0, "tells_delay": False,
                "tells_load": True},
        profiles=[profile("sheet-view", 3.0), profile("field-save", 5.0)],
        report={"fields": ["x0", "rif"], "how": "on_probe"}, stages=["form-hosts"])
    settings["invariants"].update(cold_from=0.35, warm_up=9000.0)
    settings["permissions"].update(conn_idle=5000.0, connect_timeout=200.0, cpu_us_per_s=500000,
                                   max_retry_after=2000.0, max_setups=5, retry_after=True)
    settings["prices"].update(cross_zone=0.16, late_fail=0.058, moves=0.02, waste=0.18)
    settings.update(changes)
    return settings


def arima_settings(**changes):
    """The settings of the deployment arima-bonds."""
    def profile(name, payoff, setup_goal, client_timeout):
        return {"name": name, "semantics": "idempotent", "key_scope": "all", "window": 5000.0, "payoff": payoff,
                "late_payoff": 0.0, "setup_goal": setup_goal, "client_timeout": client_timeout, "stream": True}

    settings = halpiac_settings(
        balancers=2, zones=["arima-hall"], step=5.0, models=["full-box", "slow-box"], weight_kind="nominal",
        callers={"marks_retry": False},
        domain={"groups": True, "message_aim": [250.0, 60.0], "mode": "proxy", "park": 0.0, "tells_delay": False,
                "tells_load": True},
        objective_mix={"whole": 0.25, "worst_class": 0.2, "worst_tenant": 0.4, "worst_window": 0.15},
        profiles=[profile("quote-watch", 1.0, 800.0, 3200.0), profile("depth-feed", 2.0, 300.0, 1200.0)],
        report={"fields": [], "how": "off"}, stages=["bond-stream"], surplus_payoff=0.2)
    settings["invariants"].update(cold_from=0.14, warm_up=24000.0)
    settings["permissions"].update(connect_timeout=200.0, cpu_us_per_request=10.0, cpu_us_per_s=20000,
                                   max_retry_after=1500.0, max_setups=4)
    settings["prices"].update(cross_zone=0.0, handshake=0.02, late_fail=0.045, moves=0.013, waste=0.057)
    settings.update(changes)
    return settings


# ---- Record ----------------------------------------------------------------------------------------------------


class Record:
    """What was sent, answered and run, a line each, with the time since the start in seconds."""

    def __init__(self, path):
        self._file = open(path, "w", buffering=1)
        self.started_at = time.monotonic()

    def now(self):
        return time.monotonic() - self.started_at

    def note(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")


def reset(writer):
    """Ends a connection with a reset."""
    connection = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# ---- Backends --------------------------------------------------------------------------------------------------


class Attempt:
    """An open request that a backend has read."""

    def __init__(self, backend, line, first_byte_at, at):
        self.backend = backend
        self.line = line
        self.first_byte_at = first_byte_at
        self.at = at
        words = line.split(" ")
        self.id = words[1]
        self.flow = words[2]
        self.fields = dict(field.split("=", 1) for field in words[3].split(",") if "=" in field)


class Backend:
    """A backend that opens what it is asked for and answers each line of an open connection at once.

    `on_open(attempt)` decides what becomes of an open request: "up", "hang" (it takes the request and answers
    nothing), "reset", or a line that is answered before the connection is closed. While `is_hung`, it reads nothing
    and answers nothing, also on open connections. Of what it takes while `loss` is above 0, that share gets no
    answer: open requests, which it runs, lines on open connections, and probes.
    """

    def __init__(self, record, uid, zone, cell=1):
        self.record = record
        self.uid = uid
        self.zone = zone
        self.cell = cell
        self.state = "active"
        self.boot_ms = 0
        self.attempts = []
        self.on_open = lambda attempt: "up"
        self.is_hung = False
        self.loss = 0.0
        self.message_s = 0.0  # how long a message takes here
        self.rng = random.Random(uid)
        self.sessions = {}  # writers of open connections, by session id
        self.port = 0
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self, state=None):
        return {"uid": self.uid, "endpoint": f"127.0.0.1:{self.port}", "az": self.zone, "model": "type-a",
                "pod_group": self.cell, "state": state or self.state, "capacity_hint": 1.0, "boot_ms": self.boot_ms}

    def stop(self):
        """The process ends: its connections are reset, and new ones are refused."""
        self.record.note(f"backend {self.uid} stops; it holds {len(self.sessions)} connections")
        self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def tell_delay(self):
        """Tells once a second, on one connection, how long a message takes, while that is over 20 ms."""
        while True:
            await asyncio.sleep(1)
            if self.message_s > 0.02 and self.sessions and not self.is_hung:
                writer = self.rng.choice(list(self.sessions.values()))
                with contextlib.suppress(OSError):
                    writer.write(f"LOAD {self.message_s * 1000:.0f}\r\n".encode())

    def loses_answer(self):
        return self.loss > 0 and self.rng.random() < self.loss

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve(self, reader, writer):
        while True:
            first = await reader.readexactly(1)
            first_byte_at = self.record.now()
            line = (first + await reader.readuntil(b"\n")).decode().rstrip("\r\n")
            while self.is_hung:
                await asyncio.sleep(0.02)
            if line.startswith("OPEN "):
                await self._open(Attempt(self, line, first_byte_at, self.record.now()), reader, writer)
                return
            if not self.loses_answer():
                writer.write(b"PONG x0=0.5\r\n" if line == "STATS" else b"PONG\r\n")

    async def _open(self, attempt, reader, writer):
        self.attempts.append(attempt)
        outcome = self.on_open(attempt)
        if outcome == "up" and self.loses_answer():
            outcome = "hang"
        self.record.note(f"backend {self.uid} ran {attempt.line!r}: {outcome}")
        if outcome == "hang":
            await reader.read()
            return
        if outcome == "reset":
            reset(writer)
            return
        if outcome != "up":
            writer.write(outcome.encode() + b"\r\n")
            await writer.drain()
            return
        writer.write(f"UP {self.uid}-{attempt.id}\r\n".encode())
        self.sessions[attempt.id] = writer
        try:
            while line := await reader.readline():
                while self.is_hung:
                    await asyncio.sleep(0.02)
                if self.message_s:
                    await asyncio.sleep(self.message_s)
                if not self.loses_answer():
                    writer.write(line)
                    await writer.drain()
        finally:
            self.sessions.pop(attempt.id, None)


# ---- Discovery -------------------------------------------------------------------------------------------------


class Discovery:
    """Discovery as PROTOCOL has it: watches that stay open, a line for each change, an empty line every 2 s."""

    def __init__(self, record, backends):
        self.record = record
        self.backends = backends
        self.revision = 41
        self.port = 0
        self.delay = 0.0  # how long a call waits for its turn
        self.is_down = False
        self._changes = []  # (revision, entry)
        self._watches = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def full_list(self):
        return {"rev": self.revision, "all": True,
                "targets": [backend.entry() for backend in self.backends if backend.state != "left"]}

    def publish(self, backend, state):
        """Changes a backend's state and writes the change to all watches. Returns how many were told."""
        backend.state = state
        self.revision += 1
        self._changes.append((self.revision, backend.entry()))
        for writer in self._watches:
            self._send(writer, {"rev": self.revision, "all": False, "targets": [backend.entry()]})
        self.record.note(f"discovery: {backend.uid} is {state}; written to {len(self._watches)} watches")
        return len(self._watches)

    def watch_count(self):
        return len(self._watches)

    def go_down(self):
        """Watches end, and calls fail with 503."""
        self.is_down = True
        for writer in list(self._watches):
            writer.transport.abort()
        self._watches.clear()
        self.record.note("discovery is down")

    def come_back(self):
        self.is_down = False
        self.record.note("discovery is back")

    @staticmethod
    def _send(writer, message):
        text = (json.dumps(message, separators=(",", ":")) if message else "").encode() + b"\n"
        with contextlib.suppress(OSError):
            writer.write(b"%x\r\n" % len(text) + text + b"\r\n")

    async def _serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            self.record.note(f"discovery: call {head.splitlines()[0]!r}{' fails with 503' if self.is_down else ''}")
            if self.delay:
                await asyncio.sleep(self.delay)
            if self.is_down:
                writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                await writer.drain()
                return
            after = re.search(r"after=(\d+)", head)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            await self._watch(int(after[1]) if after else 0, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _watch(self, after, reader, writer):
        first = self.full_list()
        if after > 0:
            latest = {entry["uid"]: entry for revision, entry in self._changes if revision > after}
            first = {"rev": self.revision, "all": False, "targets": list(latest.values())}
        self._send(writer, first)
        self.record.note(f"discovery: watch after={after} is told {len(first['targets'])} entries")
        self._watches.add(writer)
        ended = asyncio.ensure_future(reader.read())
        try:
            while not writer.transport.is_closing():
                done, _ = await asyncio.wait([ended], timeout=2)
                if done or writer not in self._watches:
                    return
                self._send(writer, None)
        finally:
            ended.cancel()
            self._watches.discard(writer)


# ---- The relay -------------------------------------------------------------------------------------------------


def run_command():
    """The deploy file's command for one relay."""
    text = (ROOT / "deploy" / "balancer.toml").read_text()
    found = re.search(r'^run\s*=\s*"([^"]*)"', text, re.MULTILINE)
    if not found:
        raise CannotRun("deploy/balancer.toml has no `run`")
    return found[1]


def free_port():
    """A free loopback port and the socket that reserves it, beside which a relay can listen there."""
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind(("127.0.0.1", 0))
    return reservation, reservation.getsockname()[1]


class Relay:
    """One relay as the platform runs it: its configuration, and its process or processes."""

    def __init__(self, case, name, settings, discovery, known, sockets=1024, holds_listener=False):
        self.case = case
        self.record = case.record
        self.name = name
        self.settings = settings
        self.discovery = discovery
        self.known = known
        self.sockets = sockets
        self.folder = case.folder / name
        self.state_folder = self.folder / "tmp"
        self.state_folder.mkdir(parents=True)
        self.processes = []
        self.reservation, self.port = free_port()
        self.listener = None
        if holds_listener:
            self.reservation.listen(1024)
            self.listener = self.reservation
        self.admin_ports = {}
        self.admin_reservations = []

    @property
    def config_path(self):
        return self.folder / "config.json"

    def write_config(self):
        config = {"name": self.name, "listen": f"127.0.0.1:{self.port}", "discovery": self.discovery,
                  "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
                  "known": self.known, "settings": self.settings}
        new = self.folder / "config.new"
        new.write_text(json.dumps(config))
        new.rename(self.config_path)

    def start(self):
        """Starts one process and returns it."""
        if not self.config_path.exists():
            self.write_config()
        reservation, admin_port = free_port()
        environment = dict(os.environ, EDGE_NAME=self.name, EDGE_LISTEN=f"127.0.0.1:{self.port}",
                           EDGE_DISCOVERY=self.discovery, EDGE_CONFIG=str(self.config_path),
                           TMPDIR=str(self.state_folder), EDGE_MGMT=f"127.0.0.1:{admin_port}")
        inherited = []
        command = run_command()
        if self.listener:
            environment["EDGE_SOCKET_FD"] = str(self.listener.fileno())
            inherited = [self.listener.fileno()]
        number = len(self.processes)
        with open(self.folder / f"log-{number}", "wb") as log:
            process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                       stdout=log, stderr=log, pass_fds=inherited)
        self.admin_reservations.append(reservation)
        self.processes.append(process)
        self.admin_ports[process.pid] = admin_port
        self.record.note(f"relay {self.name}: process {number} started")
        return process

    def number(self, process):
        return self.processes.index(process)

    async def admin(self, process, method, path, body=""):
        """An operator's call; returns the status, 0 without an answer."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.admin_ports[process.pid])
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: relay\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
            head = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return int(head.split()[1])
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return 0

    async def wait_until_ready(self, process, limit=10):
        began = self.record.now()
        while self.record.now() - began < limit:
            if process.poll() is not None:
                raise CannotRun(f"relay {self.name} ended with {process.returncode}: {self.log_text()[-300:]}")
            if await self.admin(process, "GET", "/ready") == 200:
                self.record.note(f"relay {self.name}: process {self.number(process)} says that it is ready")
                return
            await asyncio.sleep(0.02)
        raise CannotRun(f"relay {self.name} was not ready in {limit} s")

    def signal(self, process, number):
        self.record.note(f"relay {self.name}: {signal.Signals(number).name} to process {self.number(process)}")
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)

    async def wait_for_end(self, process, limit):
        began = self.record.now()
        while process.poll() is None and self.record.now() - began < limit:
            await asyncio.sleep(0.01)
        return process.poll() is not None

    def log_text(self):
        return "".join((self.folder / f"log-{number}").read_text(errors="replace")
                       for number in range(len(self.processes)))

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for reservation in [self.reservation, *self.admin_reservations]:
            reservation.close()


# ---- Clients ---------------------------------------------------------------------------------------------------


class Client:
    """One client's connection: its open request, the answer, and then a line every `period` seconds."""

    numbers = iter(range(1, 1 << 30))

    def __init__(self, case, relay, traffic_class, timeout, flow=None, extra=""):
        self.case = case
        self.record = case.record
        self.relay = relay
        self.timeout = timeout
        self.id = f"{0x9b1f03aa5c000000 + next(self.numbers):016x}"
        self.flow = flow or f"{hash((self.id, 'flow')) & 0xffffffffffffffff:016x}"
        self.line = f"OPEN {self.id} {self.flow} c={traffic_class},d={round(timeout * 1000)}{extra}"
        self.sent_at = None
        self.answer = None  # the first line; "" if the connection ended without one
        self.answered_at = None
        self.unanswered_since = None  # when the first line was sent that nothing has come back for
        self.longest_silence = 0.0  # from such a line until something came back or the connection ended
        self.ended_at = None
        self.end = None  # how it ended: "MOVE", "BYE", "closed", "reset", "left"
        self.reader = self.writer = None

    async def open(self):
        """Sends the request and waits for the answer, 0.6 s longer than the client's time."""
        try:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.relay.port)
            self.writer.write(self.line.encode() + b"\r\n")
        except OSError as error:
            self.record.note(f"client {self.id}: no connection: {error}")
            return None
        self.sent_at = self.record.now()
        self.record.note(f"client {self.id} sent {self.line!r}")
        try:
            line = await asyncio.wait_for(self.reader.readline(), self.timeout + 0.6)
            self.answer = line.decode(errors="replace").strip()
        except asyncio.TimeoutError:
            self.answer = None
        except OSError:
            self.answer = ""
        self.answered_at = self.record.now()
        self.record.note(f"client {self.id} got {self.answer!r} after {self.answered_at - self.sent_at:.3f} s")
        if not self.is_open():
            self.close()
        return self.answer

    def is_open(self):
        return bool(self.answer) and self.answer.startswith("UP ") and self.end is None

    async def talk(self, period=2.0):
        """Sends a line every `period` seconds and reads what comes, until the connection ends."""
        reading = asyncio.ensure_future(self._read())
        number = 0
        try:
            while not reading.done():
                number += 1
                if self.unanswered_since is None:
                    self.unanswered_since = self.record.now()
                with contextlib.suppress(OSError):
                    self.writer.write(f"message {number}\r\n".encode())
                await asyncio.wait([reading], timeout=period)
            await reading
        finally:
            reading.cancel()
            self.close()

    async def _read(self):
        end = "closed"
        try:
            while line := await self.reader.readline():
                if line.startswith((b"MOVE", b"BYE")):
                    end = line.decode().strip()
                    break
                self._end_silence()
        except OSError:
            end = "reset"
        self._end_silence()
        if self.end is None:
            self.end = end
            self.ended_at = self.record.now()
            self.record.note(f"client {self.id} ended: {end}")

    def _end_silence(self):
        self.longest_silence = max(self.longest_silence, self.silence())
        self.unanswered_since = None

    def silence(self):
        """For how long the first unanswered line has had nothing back."""
        return 0.0 if self.unanswered_since is None else self.record.now() - self.unanswered_since

    async def live(self, period=2.0):
        """Opens the connection, and if that is served, uses it until it ends."""
        await self.open()
        if self.is_open():
            await self.talk(period)

    def leave(self):
        if self.end is None:
            self.end = "left"
            self.ended_at = self.record.now()
        self.close()

    def close(self):
        if self.writer:
            with contextlib.suppress(Exception):
                self.writer.close()


# ---- A case ----------------------------------------------------------------------------------------------------


class Case:
    """One case: plays a story, writes record.txt beside the script, and ends with 0, 1 or 2."""

    limit = 110.0

    def __init__(self, folder):
        self.record = Record(folder / "record.txt")
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._temporary.name)
        self.relays = []
        self.tasks = set()

    def relay(self, *arguments, **options):
        relay = Relay(self, *arguments, **options)
        self.relays.append(relay)
        return relay

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        return task

    async def play(self):
        raise NotImplementedError

    def judge(self):
        """Returns the broken rules, a text each; empty if the rule held. May raise CannotRun."""
        raise NotImplementedError

    async def _run(self):
        try:
            await asyncio.wait_for(self.play(), self.limit)
        finally:
            for task in self.tasks:
                task.cancel()
            for relay in self.relays:
                relay.end()

    def run(self):
        try:
            asyncio.run(self._run())
            broken = self.judge()
        except CannotRun as reason:
            return self._end(CANNOT_RUN, f"could not run: {reason}")
        except Exception:  # a fault of the script itself is no verdict
            return self._end(CANNOT_RUN, "could not run: " + traceback.format_exc())
        for text in broken:
            self.record.note("BROKEN " + text)
            print("BROKEN " + text)
        return self._end(BROKEN if broken else HELD, "the rule was broken" if broken else "the rule held")

    def _end(self, code, text):
        for relay in self.relays:
            for number in range(len(relay.processes)):
                path = relay.folder / f"log-{number}"
                if path.exists():
                    for line in path.read_text(errors="replace").splitlines():
                        self.record.note(f"log {relay.name} process {number}: {line}")
        self.record.note(f"{text} ({'with' if self.has_trouble else 'without'} the trouble)")
        print(text)
        self._temporary.cleanup()
        return code


def main(case_class, script):
    sys.exit(case_class(pathlib.Path(script).resolve().parent).run())
