"""The process is replaced while discovery is down. The old process was told that a backend drains; the new one goes
back to the list of the configuration and sends that backend new work."""
import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))

from stand_ins import Backend, CannotRun, Case, Client, Discovery, epmam_settings, main  # noqa: E402

BINDS_AFTER_YES = 2.0  # "What discovery tells binds 2 s after the yes."
GRACE = 0.25  # the deployment's drain grace
SOCKET_SLACK = 0.05  # "each time limit is 50 ms longer"
OUTAGE = 14.0  # "discovery_down: 5 to 25 s"
CLIENTS_PER_SECOND = 8.6
ZONES = ["el-ejido", "totoracocha", "san-sebastian", "ricaurte"]


class ReplacedDuringAnOutage(Case):
    async def play(self):
        rng = random.Random(58)
        self.backends = [Backend(self.record, f"s-{index:08x}", ZONES[index % 4]) for index in range(12)]
        for backend in self.backends:
            # A draining backend wants nothing new and turns it away.
            backend.on_open = lambda attempt: "BUSY" if attempt.backend.state == "leaving" else "up"
            await backend.start()
        self.discovery = Discovery(self.record, self.backends)
        await self.discovery.start()
        relay = self.relay("n1", epmam_settings(), self.discovery.address, self.discovery.full_list(),
                           holds_listener=True)
        old = relay.start()
        await relay.wait_until_ready(old)
        arrivals = self.spawn(self.send_clients(relay, rng))
        await asyncio.sleep(3)

        self.drained = self.backends[0]
        if self.discovery.publish(self.drained, "leaving") != 1:
            raise CannotRun("the relay has no watch")
        self.told_at = self.record.now()
        await asyncio.sleep(3)

        if self.has_trouble:
            self.discovery.go_down()
        down_at = self.record.now()
        await asyncio.sleep(0.5)
        new = relay.start()
        await relay.wait_until_ready(new, 6)
        self.yes_at = self.record.now()
        relay.signal(old, signal.SIGTERM)
        if not await relay.wait_for_end(old, 3.7):
            raise CannotRun("the old process did not end in time")
        await asyncio.sleep(down_at + OUTAGE - self.record.now())
        arrivals.cancel()
        self.discovery.come_back()
        await asyncio.sleep(1)

    async def send_clients(self, relay, rng):
        while True:
            await asyncio.sleep(rng.expovariate(CLIENTS_PER_SECOND))
            traffic_class, timeout = rng.choice([("sala-practica", 3.0), ("clase-vivo", 4.8)])
            client = Client(self, relay, traffic_class, timeout, f"{rng.getrandbits(63):016x}",
                            f",realm={rng.choice(['escuelas-barriales', 'conservatorio-mun'])}")
            self.spawn(client.live())

    def judge(self):
        bound_at = self.yes_at + BINDS_AFTER_YES + GRACE + SOCKET_SLACK
        late = [attempt for attempt in self.drained.attempts
                if self.told_at + GRACE + SOCKET_SLACK < attempt.first_byte_at < self.yes_at
                or attempt.first_byte_at > bound_at]
        served = sum(len(backend.attempts) for backend in self.backends)
        if served < 80:
            raise CannotRun(f"only {served} requests reached the backends")
        self.record.note(f"{served} requests reached the backends, {len(self.drained.attempts)} of them the draining one")
        return [f"drains are kept: {attempt.id} was sent to {self.drained.uid} "
                f"{attempt.first_byte_at - self.told_at:.2f} s after the relay was told that it drains and "
                f"{attempt.first_byte_at - self.yes_at:.2f} s after the new process's yes" for attempt in late]


main(ReplacedDuringAnOutage, __file__)
