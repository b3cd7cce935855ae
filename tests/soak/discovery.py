"""A simulated discovery service, which all relays watch."""
import asyncio
import json

from fault_proxy import abort
from oracle import NOTIFICATION_LIMIT_S

HEARTBEAT_INTERVAL_S = 2.0


class Watch:
    """The open watch of a relay process."""

    def __init__(self, process, writer):
        self.process = process
        self.writer = writer
        self.is_silent = False

    def send(self, text):
        data = (text + "\n").encode()
        self.writer.write(b"%x\r\n" % len(data) + data + b"\r\n")


class Discovery:
    """Serves the endpoint list to all relays. Each relay has two addresses here, and can switch between them."""

    def __init__(self, world, rng):
        self._world = world
        self._rng = rng
        self.revision = 1
        self.is_up = True
        self.reachable_since = 0.0
        self.delay = 0.0
        self._changes = []  # (revision, entry)
        self._watches = set()
        self._servers = []

    async def listen(self, get_process):
        """Listens for one relay and returns the port; `get_process` returns the relay's current process."""
        server = await asyncio.start_server(lambda reader, writer: self._serve(get_process, reader, writer),
                                            "127.0.0.1", 0)
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    def publish(self, backend):
        """Sends a backend's changed entry to all watches."""
        self.revision += 1
        entry = backend.entry()
        self._changes.append((self.revision, entry))
        text = json.dumps({"rev": self.revision, "all": False, "targets": [entry]})
        now = self._world.now()
        for watch in list(self._watches):
            if not watch.is_silent and self.is_up:
                watch.send(text)
                self._record_notification(watch, backend.uid, backend.state, now)
        self._schedule_assumed_notifications(backend.uid, backend.state)

    def _record_notification(self, watch, uid, state, at):
        # During a hot restart both processes watch this port, and which of them opened the watch is unknown.
        if watch.process is not None:
            self._world.oracle.state_change_notified(watch.process, uid, state, at)

    def _schedule_assumed_notifications(self, uid, state):
        if state == "active":
            return
        for process in self._world.running_processes():
            self.assume_notified_later(process, uid, state)

    def assume_notified_later(self, process, uid, state):
        """Assumes the process notified of a change after six seconds, or later if discovery was down meanwhile."""
        started = self._world.now()

        def check():
            known_since = max(started, self.reachable_since)
            remaining = known_since + NOTIFICATION_LIMIT_S - self._world.now()
            if not self.is_up or remaining > 0.01:
                self._world.call_later(max(remaining, 0.2), check)
                return
            latest = [entry for number, entry in self._changes if entry["uid"] == uid][-1]
            if latest["state"] == state:
                self._world.oracle.state_change_notified(process, uid, state, self._world.now())

        self._world.call_later(NOTIFICATION_LIMIT_S, check)

    def go_down(self):
        self.is_up = False
        for watch in list(self._watches):
            abort(watch.writer)
        self._watches.clear()

    def come_back(self):
        self.is_up = True
        self.reachable_since = self._world.now()

    def silence_watches(self):
        for watch in self._watches:
            watch.is_silent = True

    async def _serve(self, get_process, reader, writer):
        # A process that is killed while its request waits must not have its successor counted as notified.
        process = get_process()
        ended = None
        try:
            request = (await reader.readuntil(b"\r\n\r\n")).decode()
            ended = asyncio.create_task(reader.read())
            delay = self._rng.uniform(0, self.delay) if self.delay else 0
            if await self._ends_within(ended, delay) or not self.is_up:
                return
            await self._watch(process, request, ended, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            if ended:
                ended.cancel()
            abort(writer)

    @staticmethod
    async def _ends_within(ended, seconds):
        """Whether the relay ends its request within so many seconds; at 0, whether it has ended it already."""
        done, _ = await asyncio.wait([ended], timeout=seconds)
        for task in done:
            task.exception()  # a reset is an end as well
        return bool(done)

    async def _watch(self, process, request, ended, writer):
        after = int(request.split("after=")[1].split(" ")[0])
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        watch = Watch(process, writer)
        self._send_initial_list(watch, after)
        self._watches.add(watch)
        try:
            while not writer.transport.is_closing():
                if await self._ends_within(ended, HEARTBEAT_INTERVAL_S):
                    return
                if not watch.is_silent:
                    watch.send("")
                    await writer.drain()
        finally:
            self._watches.discard(watch)

    def _send_initial_list(self, watch, after):
        is_complete = after <= 1 or self._rng.random() < 0.3
        entries = {backend.uid: backend.entry() for backend in self._world.backends if backend.state != "left"}
        if not is_complete:
            entries = {entry["uid"]: entry for number, entry in self._changes if number > after}
        watch.send(json.dumps({"rev": self.revision, "all": is_complete, "targets": list(entries.values())}))
        now = self._world.now()
        for uid, entry in entries.items():
            self._record_notification(watch, uid, entry["state"], now)
        if is_complete:
            for backend in self._world.backends:
                if backend.state == "left":
                    self._record_notification(watch, backend.uid, "left", now)
