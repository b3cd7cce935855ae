"""The clients of the soak: regular ones, ones that leave early, and ones that send invalid requests."""
import asyncio
import contextlib
import itertools

from fault_proxy import abort
from oracle import Request

MIN_TIMEOUT_FRACTION = 0.4
RESTORED_SESSION_FRACTION = 0.04  # of the clients; they name the backend that held their session
LINGERING_CLIENT_COUNT = 10  # connections open when a relay is stopped, with a request sent later
INVALID_CLIENT_TIMEOUT_S = 3.0
CONNECTION_ERRORS = (OSError, asyncio.IncompleteReadError)

session_numbers = itertools.count(1)


class Clients:
    """Connects clients to relays as a simple front-end load balancer would."""

    def __init__(self, world, rate, longest_timeout):
        self._world = world
        self._rng = world.rng
        self.rate = rate
        self._longest_timeout = longest_timeout
        self.early_departure_probability = 0.06
        self.tasks = set()

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            raise task.exception()

    async def run(self):
        while True:
            await asyncio.sleep(self._rng.expovariate(self.rate))
            kind = self._rng.random()
            if kind < 0.06:
                self.spawn(self.send_invalid_request())
            elif kind < 0.1:
                self.spawn(self.request_near_idle_timeout())
            else:
                self.spawn(self.run_client())

    def pick_relay(self):
        relays = [relay for relay in self._world.relays if relay.receives_clients]
        return self._rng.choice(relays) if relays else None

    async def _connect(self, relay):
        try:
            return await asyncio.wait_for(asyncio.open_connection("127.0.0.1", relay.port), 2)
        except (OSError, asyncio.TimeoutError):
            return None

    # ---- Regular clients ------------------------------------------------------------------------------

    async def run_client(self, retry_count=0):
        """Opens a session and holds it for a while; reconnects when the session is moved or broken."""
        relay = self.pick_relay()
        process = relay.newest_process() if relay else None
        connection = await self._connect(relay) if relay else None
        if not connection:
            return
        reader, writer = connection
        try:
            should_retry = await self._session(relay, process, reader, writer, retry_count > 0)
        finally:
            abort(writer)
        if should_retry and retry_count < 3:
            await asyncio.sleep(self._rng.uniform(0.05, 0.4))
            self.spawn(self.run_client(retry_count + 1))

    async def _session(self, relay, process, reader, writer, is_retry):
        request, line = self._make_request(relay, process, is_retry)
        # Reads while it writes: a relay that is short of descriptors answers before the request is complete, and after
        # the write that fails then, asyncio's reader would raise in place of returning the answer.
        first_line = asyncio.create_task(reader.readline())
        first_line.add_done_callback(lambda task: task.cancelled() or task.exception())  # may be nobody's concern
        try:
            answer = None
            if not await self._write_request(writer, line, request):
                return False
            answer = await self._wait_for_answer(request, first_line, reader, writer)
        except CONNECTION_ERRORS as error:
            self._world.oracle.answer_missing(request, f"connection ended: {type(error).__name__}")
        finally:
            first_line.cancel()
        if not answer:
            return True
        if answer.startswith("UP"):
            return await self._hold_session(request, reader, writer)
        await self._expect_close(request, reader)
        return answer.startswith("BUSY")

    def _make_request(self, relay, process, is_retry):
        """`process` is the one the client connected to; a hot restart may have handed the connection over."""
        server = relay.newest_process() if relay.has_inherited_listener else process
        traffic_class = self._rng.choices(["talk", "once", "keyed"], [5, 2, 2])[0]
        session = f"{next(session_numbers):016x}"
        timeout = self._longest_timeout * self._rng.uniform(MIN_TIMEOUT_FRACTION, 1)
        flow = self._rng.getrandbits(60)
        line = f"OPEN {session} {flow:x} c={traffic_class},d={timeout * 1000:.0f}"
        request = Request(session, traffic_class, server, relay.index, 0, timeout)
        if is_retry:
            line += ",again=1"
        elif self._rng.random() < RESTORED_SESSION_FRACTION:
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

    async def _wait_for_answer(self, request, first_line, reader, writer):
        limit = request.timeout + 0.6 + self._world.oracle.slack()
        if self._rng.random() < self.early_departure_probability:
            await self._leave_early(request, first_line, reader, writer)
            return None
        try:
            line = await asyncio.wait_for(first_line, limit)
        except asyncio.TimeoutError:
            self._world.oracle.answer_missing(request, f"no answer in {limit:.2f} s")
            return None
        if not line:
            self._world.oracle.answer_missing(request, "closed without an answer")
            return None
        self._world.oracle.answer_received(request, line.decode(errors="replace").strip())
        return line.decode(errors="replace")

    async def _leave_early(self, request, first_line, reader, writer):
        await asyncio.sleep(self._rng.uniform(0, 0.3))
        first_line.cancel()
        await asyncio.wait([first_line])
        request.client_left_at = self._world.now()
        if self._rng.random() < 0.5:
            with contextlib.suppress(OSError):
                writer.write_eof()
            with contextlib.suppress(asyncio.TimeoutError, OSError):
                await asyncio.wait_for(reader.read(), 2)
        abort(writer)

    async def _expect_close(self, request, reader):
        try:
            unexpected = await asyncio.wait_for(reader.read(), 5)
        except CONNECTION_ERRORS:
            return
        except asyncio.TimeoutError:
            self._world.oracle.report_violation("closed after the last answer",
                                                f"{request.session} is still open")
            return
        if unexpected:
            self._world.oracle.report_violation("one final answer",
                                                f"{request.session} got {unexpected[:60]!r} after its answer")

    async def _hold_session(self, request, reader, writer):
        """Exchanges messages on an open session. Returns whether the client has to open it again."""
        ends_at = self._world.now() + self._rng.uniform(0.5, 4)
        last_message_at = self._world.now()
        number = 0
        while self._world.now() < ends_at:
            try:
                number += 1
                writer.write(b"message %d\r\n" % number)
                line = await asyncio.wait_for(reader.readline(), 0.4)
            except asyncio.TimeoutError:
                if self._world.now() - last_message_at > 8 + self._world.oracle.slack():
                    self._check_stall(request)
                    return False
                continue
            except OSError:
                line = b""
            if not line:
                self._check_disconnect(request)
                return True
            if line.startswith((b"MOVE", b"BYE")):
                return True
            last_message_at = self._world.now()
            await asyncio.sleep(self._rng.uniform(0.05, 0.4))
        return False

    def _was_broken_by_soak(self, request):
        """Whether an injected fault broke the session, at its backend or on the network path."""
        return not request.attempts or any(self._path_was_broken(attempt) for attempt in request.attempts)

    def _path_was_broken(self, attempt):
        backend = next(backend for backend in self._world.backends if backend.uid == attempt.backend)
        was_broken = (backend.crashed_since(attempt.arrived_at)
                      or backend.proxy.was_broken_since(attempt.arrived_at))
        return attempt.link.broken_by_proxy or not backend.is_running or was_broken

    def _check_disconnect(self, request):
        if not self._was_broken_by_soak(request):
            self._world.oracle.session_cut_off(request, "the connection ended without MOVE")

    def _check_stall(self, request):
        if not self._was_broken_by_soak(request):
            self._world.oracle.session_cut_off(request, "no message came back for 8 s")

    # ---- Other clients -----------------------------------------------------------------------------------------

    async def send_invalid_request(self):
        """Sends an invalid or incomplete request, which the relay has to end within three seconds."""
        relay = self.pick_relay()
        connection = await self._connect(relay) if relay else None
        if not connection:
            return
        process = relay.newest_process()
        reader, writer = connection
        began = self._world.now()
        text = self._rng.choice([b"OPEN 1", b"GET / HTTP/1.1\r\n\r\n", b"x" * 9000, b"OPEN 1 2 c=none,d=5\r\n",
                                 b"OPEN \r\n", b"\0\0\0\n", b"O" * 3, b"OPEN 77 1 c=talk,d=-4\r\n"])
        try:
            writer.write(text)
            await asyncio.wait_for(reader.read(), INVALID_CLIENT_TIMEOUT_S + self._world.oracle.slack())
            self._world.oracle.counts["bad clients"] += 1
        except OSError:
            pass
        except asyncio.TimeoutError:
            if process.is_running():
                self._world.oracle.report_violation("bad clients", f"{text[:20]!r} at {process}: still open after "
                                                                    f"{self._world.now() - began:.1f} s")
        finally:
            abort(writer)

    async def request_near_idle_timeout(self):
        """Stays idle until about the relay's idle timeout, and sends its request then."""
        relay = self.pick_relay()
        process = relay.newest_process() if relay else None
        connection = await self._connect(relay) if relay else None
        if not connection:
            return
        reader, writer = connection
        try:
            early_data = await asyncio.wait_for(reader.read(100), 2.6 + self._rng.uniform(-0.02, 0.02))
            self._world.oracle.counts["rested, ended by the relay"] += 1
            assert early_data is not None
        except asyncio.TimeoutError:
            await self._session(relay, process, reader, writer, False)
        except OSError:
            pass
        finally:
            abort(writer)

    def open_lingering_clients(self, relay, process, seconds):
        """Opens connections before the relay is stopped; their requests follow at any time until it is killed."""
        for _ in range(LINGERING_CLIENT_COUNT):
            self.spawn(self._request_later(relay, process, self._rng.uniform(0, seconds), self._rng.random() < 0.5))

    async def _request_later(self, relay, process, delay, has_pinged):
        connection = await self._connect(relay)
        if not connection:
            return
        reader, writer = connection
        try:
            if has_pinged:
                writer.write(b"PING\r\n")
                await asyncio.wait_for(reader.readline(), 1)
            early_data = await asyncio.wait_for(reader.read(100), delay)
            self._world.oracle.counts["lingered, ended by the relay"] += 1
            assert early_data is not None
        except asyncio.TimeoutError:
            self._world.oracle.counts["asked a relay told to stop"] += 1
            await self._session(relay, process, reader, writer, False)
        except OSError:
            pass
        finally:
            abort(writer)

    async def hold_idle_connections(self, relay, count):
        """Opens idle connections, which hold descriptors of the relay for a while."""
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
