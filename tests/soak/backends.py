"""Simulated backends, each behind a fault proxy."""
import asyncio
import math

from fault_proxy import FaultProxy, Link, abort
from oracle import Attempt


class Backend:
    """A simulated backend.

    `behavior` says how it answers open requests: ok, busy, error, hang, garbage, reset, or flaky (a random one of
    these for each request).
    """

    def __init__(self, world, index, rng):
        self._world = world
        self._rng = rng
        self.uid = f"s-{index}"
        self.zone = "ab"[index % 2]
        self.state = "active"
        self.boot_ms = 0
        self.behavior = "ok"
        self.is_running = False
        self.port = 0
        self.proxy = FaultProxy(world, self, rng)
        self._server = None
        self._writers = set()
        self._crashed_at = -math.inf

    async def start(self):
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_running = True
        if not self.proxy.port:
            self.proxy.start()

    async def crash(self):
        """Crashes: its connections are reset, and the proxy resets new ones."""
        self.is_running = False
        self._crashed_at = self._world.now()
        self._server.close()
        for writer in list(self._writers):
            abort(writer)
        self.proxy.break_connections()

    def crashed_since(self, time):
        """Whether it has crashed at or after `time`."""
        return self._crashed_at >= time

    async def start_cold(self):
        """Starts again as a new process that has to warm up."""
        self.boot_ms = int(self._world.unix_now() * 1000)
        self.behavior = "ok"
        self._world.oracle.backend_started(self.uid)
        await self.start()

    def entry(self):
        """Its entry in an endpoint list."""
        return {"uid": self.uid, "endpoint": f"127.0.0.1:{self.proxy.port}", "az": self.zone, "model": "m",
                "pod_group": 0, "state": self.state, "capacity_hint": 1.0, "boot_ms": self.boot_ms}

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            await self._serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            abort(writer)

    async def _serve(self, reader, writer):
        while True:
            line = (await reader.readuntil(b"\n")).decode().strip()
            if not line.startswith("OPEN "):
                writer.write(b"PONG\r\n")
                continue
            await self._serve_session(line, reader, writer)
            return

    async def _serve_session(self, line, reader, writer):
        now = self._world.now()
        link = self._world.links.get(writer.get_extra_info("peername")[1], Link())
        attempt = Attempt(self.uid, min(link.first_byte_at, now), now, link)
        self._world.oracle.attempt_arrived(line.split(" ")[1], attempt)
        behavior = self.behavior
        if behavior == "flaky":
            behavior = self._rng.choice(["ok", "busy", "error", "hang", "garbage", "reset"])
        if behavior == "hang":
            await reader.read()
            return
        if behavior == "reset":
            attempt.result = "reset"
            return
        answers = {"busy": "BUSY", "error": "ERR", "garbage": "WHAT IS THIS"}
        if behavior in answers:
            attempt.result = answers[behavior]
            writer.write(answers[behavior].encode() + b"\r\n")
            if behavior == "garbage":
                writer.write(b"x" * 9000)
            await writer.drain()
            writer.write_eof()
            await asyncio.wait_for(reader.read(), 5)
            return
        attempt.result = "UP"
        writer.write(b"UP r\r\n")
        await self._echo(reader, writer)

    @staticmethod
    async def _echo(reader, writer):
        while line := await reader.readline():
            writer.write(line)
            await writer.drain()
