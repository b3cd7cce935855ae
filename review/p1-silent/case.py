"""A backend hangs while it drains. The relay moved its clients when the drain began, but for one that was opened by a
second setup: that one hangs with its backend and is neither moved nor ended."""
import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))

from stand_ins import Backend, CannotRun, Case, Client, Discovery, main, permit_settings  # noqa: E402

BACKENDS = 9
HANG_S = 12.0  # "hang: 5 to 25 s, 0.05 to 0.2 of the backends"; here 1 of 9
SILENCE_LIMIT = 7.0  # "one that brings nothing back from a running backend within 7 s"
SOCKET_SLACK = 0.05  # "each time limit is 50 ms longer"
CLIENTS = 520
FAILING = 200  # the one request of these that its first backend answers ERR: an error rate under 0.002
CLIENT_TIMEOUT = 4.8


class SilentInADrain(Case):
    async def play(self):
        rng = random.Random(58)
        self.backends = [Backend(self.record, f"s-{index:08x}", ["bkk", "cnx"][index % 2]) for index in range(BACKENDS)]
        for backend in self.backends:
            backend.on_open = self.on_open
            await backend.start()
        self.failed = None
        self.requests = 0
        discovery = Discovery(self.record, self.backends)
        await discovery.start()
        settings = permit_settings()
        settings["profiles"][1].update(semantics="deduplicated", key_scope="all", window=5000.0)
        relay = self.relay("n1", settings, discovery.address, discovery.full_list(), sockets=2048)
        process = relay.start()
        await relay.wait_until_ready(process)
        self.clients = []
        for _ in range(CLIENTS):
            self.spawn(self.serve(relay, rng))
            await asyncio.sleep(0.015)
        await asyncio.sleep(7)

        self.drained = next(backend for backend in self.backends if self.failed in backend.sessions)
        held = [client for client in self.clients if client.is_open() and client.id in self.drained.sessions]
        discovery.publish(self.drained, "leaving")
        await asyncio.sleep(2)
        self.left = [client for client in held if client.is_open()]
        self.record.note(f"2 s after the drain began {self.drained.uid} still holds {len(self.left)} of {len(held)}: "
                         f"{[client.id for client in self.left]}; {self.failed} was opened by a second setup")
        if self.has_trouble:
            self.drained.is_hung = True
            self.record.note(f"backend {self.drained.uid} hangs: it takes work and answers nothing")
        for _ in range(int(HANG_S / 0.5)):
            self.spawn(self.serve(relay, rng))
            await asyncio.sleep(0.5)
        self.silences = {client.id: max(client.longest_silence, client.silence()) for client in self.clients}
        self.drained.is_hung = False
        self.record.note("the hang is over")
        await asyncio.sleep(1)

    def on_open(self, attempt):
        self.requests += 1
        if self.requests != FAILING:
            return "up"
        self.failed = attempt.id
        return "ERR"

    async def serve(self, relay, rng):
        """A client that comes again after it has been moved or cut off."""
        extra = ""
        while True:
            client = Client(self, relay, "field-save", CLIENT_TIMEOUT, f"{rng.getrandbits(63):016x}", extra)
            self.clients.append(client)
            await client.live()
            extra = ",again=1"
            await asyncio.sleep(rng.uniform(0.17, 1.7))

    def judge(self):
        served = sum((client.answer or "").startswith("UP") for client in self.clients)
        if served < CLIENTS:
            raise CannotRun(f"only {served} requests were served")
        return [f"no tunnel is lost: {client.id} had nothing back from its running backend for "
                f"{self.silences[client.id]:.1f} s and was neither ended nor moved"
                for client in self.clients if self.silences[client.id] > SILENCE_LIMIT + SOCKET_SLACK]


main(SilentInADrain, __file__)
