"""The clients of the soak: those in order, those that leave early, and those that misbehave."""
import asyncio
import contextlib
import itertools

from fault_proxy import abort
from oracle import Request

SHORTEST_PART_OF_TIMEOUT = 0.4
RESTORED_PART = 0.04  # of the clients, those that name the backend where their session was
LINGERING_CLIENTS = 10  # connections open at a relay's stop on which a request comes later
BAD_CLIENT_LIMIT = 3.0
ENDED = (OSError, asyncio.IncompleteReadError)

session_numbers = itertools.count(1)


class Clients:
    """Brings clients to relays as a plain front would."""

    def __init__(self, world, rate, longest_timeout):
        self._world = world
        self._rng = world.rng
        self.rate = rate
        self._longest_timeout = longest_timeout
        self.leave_early = 0.06
        self.tasks = set()

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._finished)

    def _finished(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            raise task.exception()

    async def run(self):
        while True:
            await asyncio.sleep(self._rng.expovariate(self.rate))
            kind = self._rng.random()
            if kind < 0.06:
                self.spawn(self.misbehave())
            elif kind < 0.1:
                self.spawn(self.rest())
            else:
                self.spawn(self.come())

    def pick_relay(self):
        relays = [relay for relay in self._world.relays if relay.takes_clients]
        return self._rng.choice(relays) if relays else None

    async def _connect(self, relay):
        try:
            return await asyncio.wait_for(asyncio.open_connection("127.0.0.1", relay.port), 2)
        except (OSError, asyncio.TimeoutError):
            return None

    # ---- A client in order ------------------------------------------------------------------------------

    async def come(self, returns=0):
        """Asks for a session, keeps it for a while, and comes again when it is moved or broken."""
        relay = self.pick_relay()
        process = relay.newest() if relay else None
        connection = await self._connect(relay) if relay else None
        if not connection:
            return
        reader, writer = connection
        try:
            is_to_return = await self._session(relay, process, reader, writer, returns > 0)
        finally:
            abort(writer)
        if is_to_return and returns < 3:
            await asyncio.sleep(self._rng.uniform(0.05, 0.4))
            self.spawn(self.come(returns + 1))

    async def _session(self, relay, process, reader, writer, is_returning):
        request, line = self._make_request(relay, process, is_returning)
        if not await self._write_request(writer, line, request):
            return False
        try:
            answer = await self._wait_for_answer(request, reader, writer)
        except ENDED as error:
            answer = None
            self._world.oracle.not_answered(request, f"connection ended: {type(error).__name__}")
        if not answer:
            return True
        if answer.startswith("UP"):
            return await self._hold(request, reader, writer)
        await self._expect_the_end(request, reader)
        return answer.startswith("BUSY")

    def _make_request(self, relay, process, is_returning):
        """`process`: whom the client has connected to, unless a hot restart has handed its connection over."""
        server = relay.newest() if relay.has_inherited_listener else process
        traffic_class = self._rng.choices(["talk", "once", "keyed"], [5, 2, 2])[0]
        session = f"{next(session_numbers):016x}"
        timeout = self._longest_timeout * self._rng.uniform(SHORTEST_PART_OF_TIMEOUT, 1)
        flow = self._rng.getrandbits(60)
        line = f"OPEN {session} {flow:x} c={traffic_class},d={timeout * 1000:.0f}"
        request = Request(session, traffic_class, server, relay.index, 0, timeout)
        if is_returning:
            line += ",again=1"
        elif self._rng.random() < RESTORED_PART:
            request.previous_backend = self._rng.choice(self._world.backends).uid
            line += f",at={request.previous_backend}"
        return request, line + "\r\n"

    async def _write_request(self, writer, line, request):
        data = line.encode()
        try:
            if self._rng.random() < 0.1:
                cut = self._rng.randint(1, len(data) - 1)
                writer.write(data[:cut])
                await asyncio.sleep(self._rng.uniform(0.01, 1.9))
                data = data[cut:]
            request.sent_at = self._world.now()
            if writer.transport.is_closing():
                return False
            writer.write(data)
            self._world.oracle.request_sent(request)
            return True
        except OSError:
            return False

    async def _wait_for_answer(self, request, reader, writer):
        limit = request.timeout + 0.6 + self._world.oracle.slack()
        if self._rng.random() < self.leave_early:
            await self._leave(request, reader, writer)
            return None
        try:
            line = await asyncio.wait_for(reader.readline(), limit)
        except asyncio.TimeoutError:
            self._world.oracle.not_answered(request, f"no answer in {limit:.2f} s")
            return None
        if not line:
            self._world.oracle.not_answered(request, "closed without an answer")
            return None
        self._world.oracle.answered(request, line.decode(errors="replace").strip())
        return line.decode(errors="replace")

    async def _leave(self, request, reader, writer):
        await asyncio.sleep(self._rng.uniform(0, 0.3))
        request.client_left_at = self._world.now()
        if self._rng.random() < 0.5:
            with contextlib.suppress(OSError):
                writer.write_eof()
            with contextlib.suppress(asyncio.TimeoutError, OSError):
                await asyncio.wait_for(reader.read(), 2)
        abort(writer)

    async def _expect_the_end(self, request, reader):
        try:
            rest = await asyncio.wait_for(reader.read(), 5)
        except ENDED:
            return
        except asyncio.TimeoutError:
            self._world.oracle.violate("closed after the last answer", f"{request.session} is still open")
            return
        if rest:
            self._world.oracle.violate("one final answer", f"{request.session} got {rest[:60]!r} after its answer")

    async def _hold(self, request, reader, writer):
        """Talks on an open session. True if the client is to come again."""
        ends_at = self._world.now() + self._rng.uniform(0.5, 4)
        heard_at = self._world.now()
        number = 0
        while self._world.now() < ends_at:
            try:
                number += 1
                writer.write(b"message %d\r\n" % number)
                line = await asyncio.wait_for(reader.readline(), 0.4)
            except asyncio.TimeoutError:
                if self._world.now() - heard_at > 8 + self._world.oracle.slack():
                    self._check_silence(request)
                    return False
                continue
            except OSError:
                line = b""
            if not line:
                self._check_cut(request)
                return True
            if line.startswith((b"MOVE", b"BYE")):
                return True
            heard_at = self._world.now()
            await asyncio.sleep(self._rng.uniform(0.05, 0.4))
        return False

    def _is_excused(self, request):
        """Whether the soak itself has broken the session, at its backend or on the way there."""
        return not request.attempts or any(self._was_broken(attempt) for attempt in request.attempts)

    def _was_broken(self, attempt):
        backend = next(backend for backend in self._world.backends if backend.uid == attempt.backend)
        was_broken = backend.started_again_since(attempt.arrived_at) or backend.proxy.was_broken_since(attempt.arrived_at)
        return attempt.link.broken_by_proxy or not backend.is_running or was_broken

    def _check_cut(self, request):
        if not self._is_excused(request):
            self._world.oracle.cut_off(request, "the connection ended without MOVE")

    def _check_silence(self, request):
        if not self._is_excused(request):
            self._world.oracle.cut_off(request, "nothing came back for 8 s")

    # ---- Others -----------------------------------------------------------------------------------------

    async def misbehave(self):
        """A client that is owed an error or a close within three seconds."""
        relay = self.pick_relay()
        connection = await self._connect(relay) if relay else None
        if not connection:
            return
        process = relay.newest()
        reader, writer = connection
        began = self._world.now()
        text = self._rng.choice([b"OPEN 1", b"GET / HTTP/1.1\r\n\r\n", b"x" * 9000, b"OPEN 1 2 c=none,d=5\r\n",
                                 b"OPEN \r\n", b"\0\0\0\n", b"O" * 3, b"OPEN 77 1 c=talk,d=-4\r\n"])
        try:
            writer.write(text)
            await asyncio.wait_for(reader.read(), BAD_CLIENT_LIMIT + self._world.oracle.slack())
            self._world.oracle.counts["bad clients"] += 1
        except OSError:
            pass
        except asyncio.TimeoutError:
            if process.is_running():
                self._world.oracle.violate("bad clients", f"{text[:20]!r} at {process}: no end after "
                                                          f"{self._world.now() - began:.1f} s")
        finally:
            abort(writer)

    async def rest(self):
        """A client that rests until about the moment at which the relay ends it, and asks then."""
        relay = self.pick_relay()
        process = relay.newest() if relay else None
        connection = await self._connect(relay) if relay else None
        if not connection:
            return
        reader, writer = connection
        try:
            early = await asyncio.wait_for(reader.read(100), 2.6 + self._rng.uniform(-0.02, 0.02))
            self._world.oracle.counts["rested, ended by the relay"] += 1
            assert early is not None
        except asyncio.TimeoutError:
            await self._session(relay, process, reader, writer, False)
        except OSError:
            pass
        finally:
            abort(writer)

    def linger(self, relay, process, seconds):
        """Clients that are connected when the relay is told to stop and ask at any time until it is killed."""
        for _ in range(LINGERING_CLIENTS):
            self.spawn(self._ask_later(relay, process, self._rng.uniform(0, seconds), self._rng.random() < 0.5))

    async def _ask_later(self, relay, process, delay, has_pinged):
        connection = await self._connect(relay)
        if not connection:
            return
        reader, writer = connection
        try:
            if has_pinged:
                writer.write(b"PING\r\n")
                await asyncio.wait_for(reader.readline(), 1)
            early = await asyncio.wait_for(reader.read(100), delay)
            self._world.oracle.counts["lingered, ended by the relay"] += 1
            assert early is not None
        except asyncio.TimeoutError:
            self._world.oracle.counts["asked a relay told to stop"] += 1
            await self._session(relay, process, reader, writer, False)
        except OSError:
            pass
        finally:
            abort(writer)

    async def crowd(self, relay, count):
        """Idle connections that hold descriptors for a while."""
        writers = []
        for _ in range(count):
            connection = await self._connect(relay)
            if connection:
                writers.append(connection[1])
                if self._rng.random() < 0.3:
                    connection[1].write(b"PING\r\n")
        await asyncio.sleep(self._rng.uniform(0.5, 2))
        for writer in writers:
            abort(writer)
