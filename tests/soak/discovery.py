"""A stand-in for discovery, which all relays ask."""
import asyncio
import json

from fault_proxy import abort
from oracle import UNREPORTED_CHANGE


class Watch:
    """One relay's open watch."""

    def __init__(self, relay, writer):
        self.relay = relay
        self.writer = writer
        self.is_silent = False

    def send(self, text):
        data = (text + "\n").encode()
        self.writer.write(b"%x\r\n" % len(data) + data + b"\r\n")


class Discovery:
    """The endpoint list for all relays. Each relay has an address of its own here, and a second one to move to."""

    def __init__(self, world, rng):
        self._world = world
        self._rng = rng
        self.revision = 1
        self.is_up = True
        self.reachable_since = 0.0
        self.delay = 0.0
        self._log = []  # (revision, entry)
        self._watches = set()
        self._servers = []

    async def listen(self, get_relay):
        """A port at which one relay asks; `get_relay` gives the process that it has now."""
        server = await asyncio.start_server(lambda reader, writer: self._serve(get_relay, reader, writer),
                                            "127.0.0.1", 0)
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    def publish(self, backend):
        """Tells all watches what has become of a backend."""
        self.revision += 1
        entry = backend.entry()
        self._log.append((self.revision, entry))
        text = json.dumps({"rev": self.revision, "all": False, "targets": [entry]})
        now = self._world.now()
        for watch in list(self._watches):
            if not watch.is_silent and self.is_up:
                watch.send(text)
                self._note_told(watch, backend.uid, backend.state, now)
        self._count_as_told(backend.uid, backend.state)

    def _note_told(self, watch, uid, state, at):
        # At a hot restart both processes ask here, and which of them has asked is not known.
        if watch.relay is not None:
            self._world.oracle.change_told(watch.relay, uid, state, at)

    def _count_as_told(self, uid, state):
        if state == "active":
            return
        for relay in self._world.running_relays():
            self.settle(relay, uid, state)

    def settle(self, relay, uid, state):
        """Counts the change as told six seconds on, or later where discovery was down meanwhile."""
        started = self._world.now()

        def check():
            known_since = max(started, self.reachable_since)
            left = known_since + UNREPORTED_CHANGE - self._world.now()
            if not self.is_up or left > 0.01:
                self._world.call_later(max(left, 0.2), check)
                return
            latest = [entry for number, entry in self._log if entry["uid"] == uid][-1]
            if latest["state"] == state:
                self._world.oracle.change_told(relay, uid, state, self._world.now())

        self._world.call_later(UNREPORTED_CHANGE, check)

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

    async def _serve(self, get_relay, reader, writer):
        try:
            request = (await reader.readuntil(b"\r\n\r\n")).decode()
            if self.delay:
                await asyncio.sleep(self._rng.uniform(0, self.delay))
            if not self.is_up:
                return
            await self._watch(get_relay(), request, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            abort(writer)

    async def _watch(self, relay, request, reader, writer):
        after = int(request.split("after=")[1].split(" ")[0])
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        watch = Watch(relay, writer)
        self._send_first(watch, after)
        self._watches.add(watch)
        ended = asyncio.create_task(reader.read())
        try:
            while not writer.transport.is_closing():
                done, _ = await asyncio.wait([ended], timeout=2)
                if done:
                    return
                if not watch.is_silent:
                    watch.send("")
                    await writer.drain()
        finally:
            ended.cancel()
            self._watches.discard(watch)

    def _send_first(self, watch, after):
        is_complete = after <= 1 or self._rng.random() < 0.3
        entries = {backend.uid: backend.entry() for backend in self._world.backends if backend.state != "left"}
        if not is_complete:
            entries = {entry["uid"]: entry for number, entry in self._log if number > after}
        watch.send(json.dumps({"rev": self.revision, "all": is_complete, "targets": list(entries.values())}))
        now = self._world.now()
        for uid, entry in entries.items():
            self._note_told(watch, uid, entry["state"], now)
        if is_complete:
            for backend in self._world.backends:
                if backend.state == "left":
                    self._note_told(watch, backend.uid, "left", now)
