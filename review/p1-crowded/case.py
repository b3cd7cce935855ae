"""Discovery is crowded and answers each call after 1.3 s. A restarted relay gives every call up after 1 s, never hears
the list, and goes on sending new work to a backend that drains."""
import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))

from stand_ins import Backend, CannotRun, Case, Client, Discovery, epmam_settings, main  # noqa: E402

TOLD_AFTER = 6.0  # "a change counts as told at the latest 6 s after discovery had it and could be reached"
GRACE = 0.25  # the deployment's drain grace
SOCKET_SLACK = 0.05  # "each time limit is 50 ms longer"
TURN = 1.3  # how long a call waits for its turn; discovery fails a call that has waited for 2 s
CLIENTS_PER_SECOND = 8.6
ZONES = ["el-ejido", "totoracocha", "san-sebastian", "ricaurte"]


class CrowdedDiscovery(Case):
    async def play(self):
        rng = random.Random(58)
        self.backends = [Backend(self.record, f"s-{index:08x}", ZONES[index % 4]) for index in range(12)]
        for backend in self.backends:
            # A draining backend wants nothing new and turns it away.
            backend.on_open = lambda attempt: "BUSY" if attempt.backend.state == "leaving" else "up"
            await backend.start()
        discovery = Discovery(self.record, self.backends)
        await discovery.start()
        relay = self.relay("n1", epmam_settings(), discovery.address, discovery.full_list())
        first = relay.start()
        await relay.wait_until_ready(first)
        arrivals = self.spawn(self.send_clients(relay, rng))
        await asyncio.sleep(2)
        self.drained = self.backends[0]
        discovery.publish(self.drained, "leaving")
        await asyncio.sleep(1)

        relay.signal(first, signal.SIGKILL)
        await relay.wait_for_end(first, 2)
        if self.has_trouble:
            discovery.delay = TURN
            self.record.note(f"discovery is crowded: each call waits {TURN} s for its turn")
        await asyncio.sleep(0.5)
        second = relay.start()
        self.started_at = self.record.now()
        await relay.wait_until_ready(second)
        await asyncio.sleep(16)
        arrivals.cancel()
        discovery.delay = 0.0
        await asyncio.sleep(1)

    async def send_clients(self, relay, rng):
        while True:
            await asyncio.sleep(rng.expovariate(CLIENTS_PER_SECOND))
            traffic_class, timeout = rng.choice([("sala-practica", 3.0), ("clase-vivo", 4.8)])
            client = Client(self, relay, traffic_class, timeout, f"{rng.getrandbits(63):016x}",
                            f",realm={rng.choice(['escuelas-barriales', 'conservatorio-mun'])}")
            self.spawn(client.live())

    def judge(self):
        bound_at = self.started_at + TOLD_AFTER + GRACE + SOCKET_SLACK
        late = [attempt for attempt in self.drained.attempts if attempt.first_byte_at > bound_at]
        served = sum(len(backend.attempts) for backend in self.backends)
        if served < 80:
            raise CannotRun(f"only {served} requests reached the backends")
        return [f"drains are kept: {attempt.id} was sent to {self.drained.uid} "
                f"{attempt.first_byte_at - self.started_at:.2f} s after the relay's start, while discovery had the "
                "change and answered each call in its turn" for attempt in late]


main(CrowdedDiscovery, __file__)
