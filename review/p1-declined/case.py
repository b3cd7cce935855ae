"""A referenced request of which an attempt has run is declined when the backends no longer remember it. The client is
told that trying again is harmless, tries again, and the effect happens twice."""
import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))

from stand_ins import Backend, CannotRun, Case, Client, Discovery, arima_settings, main  # noqa: E402

WINDOW = 1.5  # for how long the backends drop a repeat, from the first sending that may have run
BACKENDS = 7
TROUBLED = 4  # 57%, of "up to 63% of the stream boxes"
LOSS = 0.8  # of "39 to 86% of what is sent gets no answer"
TROUBLE_S = 20.0  # "For 15 to 34 s"
CLIENT_TIMEOUT = 3.2
CLIENTS_PER_SECOND = 2.0
TRIES = 3  # "Clients retry by themselves up to 2 times"


class DeclinedAfterTheWindow(Case):
    async def play(self):
        rng = random.Random(58)
        self.runs = {}  # by mark: (time, backend) of each run that took effect
        self.backends = [Backend(self.record, f"s-{index:08x}", "arima-hall") for index in range(BACKENDS)]
        for backend in self.backends:
            backend.on_open = self.on_open
            await backend.start()
        discovery = Discovery(self.record, self.backends)
        await discovery.start()
        settings = arima_settings()
        settings["profiles"][0].update(semantics="deduplicated", key_scope="all", window=WINDOW * 1000)
        relay = self.relay("n1", settings, discovery.address, discovery.full_list())
        process = relay.start()
        await relay.wait_until_ready(process)
        self.clients = []
        arrivals = self.spawn(self.send_clients(relay, rng))
        await asyncio.sleep(4)
        if self.has_trouble:
            for backend in self.backends[:TROUBLED]:
                backend.loss = LOSS
            self.record.note(f"{LOSS:.0%} of what is sent to {TROUBLED} of {BACKENDS} backends gets no answer")
        await asyncio.sleep(TROUBLE_S)
        for backend in self.backends:
            backend.loss = 0.0
        self.record.note("the trouble is over")
        await asyncio.sleep(2)
        arrivals.cancel()
        await asyncio.sleep(2 * CLIENT_TIMEOUT)

    def on_open(self, attempt):
        """The backends share what marks they have seen, remember each for the window, and drop its repeats."""
        runs = self.runs.setdefault(attempt.flow, [])
        is_repeat = bool(runs) and attempt.at - runs[-1][0] <= WINDOW
        if not is_repeat:
            runs.append((attempt.at, attempt.backend.uid))
        self.record.note(f"backend {attempt.backend.uid}: mark {attempt.flow} "
                         f"{'is known: the repeat is dropped' if is_repeat else 'takes effect'}")
        return "up"

    async def send_clients(self, relay, rng):
        while True:
            await asyncio.sleep(rng.expovariate(CLIENTS_PER_SECOND))
            self.spawn(self.serve(relay, f"{rng.getrandbits(63):016x}", rng))

    async def serve(self, relay, flow, rng):
        """A client that tries again with the same mark after a decline, and only then."""
        for _ in range(TRIES):
            client = Client(self, relay, "quote-watch", CLIENT_TIMEOUT, flow)
            self.clients.append(client)
            answer = await client.open()
            if client.is_open():
                await client.talk()
                return
            if not (answer or "").startswith("BUSY"):
                return
            await asyncio.sleep(rng.uniform(0.015, 0.12))

    def judge(self):
        if sum(bool(client.answer) and client.answer.startswith("UP") for client in self.clients) < 15:
            raise CannotRun("too few requests were served")
        broken = []
        for flow, runs in self.runs.items():
            declined = [client for client in self.clients
                        if client.flow == flow and (client.answer or "").startswith("BUSY")]
            if len(runs) < 2 or not declined:
                continue
            first = declined[0]
            broken.append(f"no effect happens twice: mark {flow} took effect at {runs[0][1]}, was declined with "
                          f"{first.answer!r} {first.answered_at - runs[0][0]:.2f} s later, and took effect again at "
                          f"{runs[1][1]} {runs[1][0] - runs[0][0]:.2f} s after the first time")
        return broken


main(DeclinedAfterTheWindow, __file__)
