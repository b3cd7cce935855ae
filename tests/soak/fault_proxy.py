"""A proxy between the relays and a backend that can delay, fragment or reset connections."""
import asyncio
import math
import socket

READ_SIZE = 65536
BACKLOG = 100
ACCEPT_DELAY_AFTER_PAUSE_S = 0.1  # connections that waited during a pause are accepted within this time after it


class Link:
    """A relay's connection through a fault proxy."""

    def __init__(self):
        self.first_byte_at = math.inf
        self.relay_closed_at = math.inf
        self.broken_by_proxy = False


def abort(writer):
    """Resets a connection."""
    if writer.transport is not None:
        writer.transport.abort()


class AcceptPauses:
    """When a listener accepted no connections. Pauses may overlap: the listener accepts again after the last one."""

    def __init__(self):
        self._active_count = 0
        self._began_at = self._ended_at = -math.inf

    @property
    def is_active(self):
        return self._active_count > 0

    def begin(self, now):
        if not self.may_have_delayed(now):
            self._began_at = now
        self._active_count += 1

    def end(self, now):
        self._active_count -= 1
        self._ended_at = now

    def may_have_delayed(self, now):
        """Whether a connection that is accepted now may have waited in the accept queue during a pause."""
        return self.is_active or now < self._ended_at + ACCEPT_DELAY_AFTER_PAUSE_S

    def earliest_write_at(self, now):
        """When a connection that is accepted now may have sent its first bytes; infinite if it has not waited."""
        return self._began_at if self.may_have_delayed(now) else math.inf


class FaultProxy:
    """Forwards connections to one backend, with the faults of its mode.

    Modes: ok; stalled (connections stay open without forwarding, and are reset when the mode ends); delayed (a new
    connection forwards nothing for a while); fragmented (writes a few bytes at a time); reset (connections are reset
    at random). In any mode it may also delay the establishment of new connections.
    """

    def __init__(self, world, backend, rng):
        self._world = world
        self._backend = backend
        self._rng = rng
        self.mode = "ok"
        self._listener = socket.socket()
        self._pauses = AcceptPauses()
        self._writers = set()
        self.port = 0
        self._broken_at = -math.inf

    def start(self):
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(BACKLOG)
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]
        self._world.spawn(self._accept_all())

    async def _accept_all(self):
        loop = asyncio.get_running_loop()
        while True:
            while self._pauses.is_active:
                await asyncio.sleep(0.01)
            connection, _ = await loop.sock_accept(self._listener)
            reader, writer = await asyncio.open_connection(sock=connection)
            self._world.spawn(self._accept(reader, writer, self._pauses.earliest_write_at(self._world.now())))

    async def pause_accepting(self, seconds):
        """Fills the accept queue, so that the system drops SYNs; clients retransmit them a second later."""
        self._pauses.begin(self._world.now())
        self._listener.listen(0)
        queue_fillers = [socket.socket() for _ in range(3)]
        for queue_filler in queue_fillers:
            queue_filler.setblocking(False)
            queue_filler.connect_ex(("127.0.0.1", self.port))
        await asyncio.sleep(seconds)
        self._pauses.end(self._world.now())
        if not self._pauses.is_active:
            self._listener.listen(BACKLOG)
        for queue_filler in queue_fillers:
            queue_filler.close()

    def was_broken_since(self, time):
        """Whether its connections were reset at or after `time`, or are stalled now."""
        return self._broken_at >= time or self.mode == "stalled"

    def set_mode(self, mode):
        was_stalled = self.mode == "stalled"
        self.mode = mode
        if was_stalled and mode != "stalled":
            self.break_connections()

    def break_connections(self):
        self._broken_at = self._world.now()
        for writer in list(self._writers):
            abort(writer)

    async def _accept(self, reader, writer, earliest_write_at):
        link = Link()
        self._writers.add(writer)
        try:
            await self._relay(link, reader, writer, earliest_write_at)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            abort(writer)

    async def _relay(self, link, reader, writer, earliest_write_at):
        first_bytes = await reader.read(READ_SIZE)  # relays send first
        if not first_bytes:
            return
        link.first_byte_at = min(self._world.now(), earliest_write_at)
        if self.mode == "delayed":
            await asyncio.sleep(self._rng.uniform(0.02, 1.2))
        if not self._backend.is_running:
            return
        backend_reader, backend_writer = await asyncio.open_connection("127.0.0.1", self._backend.port)
        local_port = backend_writer.get_extra_info("sockname")[1]
        self._world.links[local_port] = link
        if self.mode == "reset" and self._rng.random() < 0.4:
            asyncio.get_running_loop().call_later(self._rng.uniform(0, 0.6), self._break, link, writer)
        backend_writer.write(first_bytes)
        try:
            done, pending = await asyncio.wait(
                [asyncio.create_task(self._copy(reader, backend_writer, link)),
                 asyncio.create_task(self._copy(backend_reader, writer, None))],
                return_when=asyncio.ALL_COMPLETED)
            for task in done:
                task.exception()
            assert not pending
        finally:
            self._world.links.pop(local_port, None)
            abort(backend_writer)

    @staticmethod
    def _break(link, writer):
        link.broken_by_proxy = True
        abort(writer)

    async def _copy(self, reader, writer, link):
        try:
            while data := await reader.read(READ_SIZE):
                while self.mode == "stalled":
                    await asyncio.sleep(0.02)
                await self._write(writer, data)
            if link:
                link.relay_closed_at = min(link.relay_closed_at, self._world.now())
            writer.write_eof()
        except OSError:
            if link:
                link.relay_closed_at = min(link.relay_closed_at, self._world.now())
            abort(writer)

    async def _write(self, writer, data):
        if self.mode != "fragmented":
            writer.write(data)
            await writer.drain()
            return
        while data:
            size = self._rng.randint(1, 12)
            writer.write(data[:size])
            await writer.drain()
            data = data[size:]
            await asyncio.sleep(0)
