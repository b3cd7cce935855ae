"""On a busy day a backend drains, and then it hangs. Its connections, which the relay could not place elsewhere when the
drain began, get nothing back and are neither moved nor ended."""
import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))

from stand_ins import Backend, CannotRun, Case, Client, Discovery, halpiac_settings, main  # noqa: E402

BACKENDS = 9
HANG_S = 14.0  # "hang: 5 to 25 s, 0.05 to 0.2 of the backends"; here 1 of 9
SILENCE_LIMIT = 7.0  # "one that brings nothing back from a running backend within 7 s"
SOCKET_SLACK = 0.05  # "each time limit is 50 ms longer"
BUSY_MESSAGE_S = 0.04  # what a message takes on a busy day; 60 to 150 ms are wanted
CLIENTS = 54
PROFILES = [("price-watch", 1.2, 0.45), ("standing-bid", 1.2, 0.30), ("lot-update", 1.8, 0.25)]
ZONES = ["budapest", "szeged", "siofok"]


class HungInADrain(Case):
    async def play(self):
        rng = random.Random(58)
        self.backends = [Backend(self.record, f"s-{index:08x}", ZONES[index % 3]) for index in range(BACKENDS)]
        for backend in self.backends:
            await backend.start()
            self.spawn(backend.tell_delay())
        discovery = Discovery(self.record, self.backends)
        await discovery.start()
        relay = self.relay("n1", halpiac_settings(), discovery.address, discovery.full_list())
        process = relay.start()
        await relay.wait_until_ready(process)
        self.clients = []
        for _ in range(CLIENTS):
            self.spawn(self.serve(relay, rng))
            await asyncio.sleep(0.1)
        for backend in self.backends:
            backend.message_s = BUSY_MESSAGE_S
        self.record.note(f"it gets busy: a message takes {BUSY_MESSAGE_S * 1000:.0f} ms at each backend")
        await asyncio.sleep(4)

        drained = max(self.backends, key=lambda backend: len(backend.sessions))
        held = len(drained.sessions)
        discovery.publish(drained, "leaving")
        await asyncio.sleep(2)
        self.record.note(f"2 s after the drain began {drained.uid} holds {len(drained.sessions)} of {held}")
        if self.has_trouble:
            drained.is_hung = True
            self.record.note(f"backend {drained.uid} hangs: it takes work and answers nothing")
        await asyncio.sleep(HANG_S)
        self.silences = {client.id: max(client.longest_silence, client.silence()) for client in self.clients}
        drained.is_hung = False
        self.record.note("the hang is over")
        await asyncio.sleep(1)

    async def serve(self, relay, rng):
        """A client that comes again until it is served, and after it has been moved."""
        profile, timeout, _ = rng.choices(PROFILES, [share for _, _, share in PROFILES])[0]
        extra = ""
        wait = 0.1
        while True:
            client = Client(self, relay, profile, timeout, f"{rng.getrandbits(63):016x}", extra)
            self.clients.append(client)
            await client.live()
            if client.end is None:
                wait = min(2 * wait, 3.0)
                await asyncio.sleep(wait)
                continue
            wait = 0.1
            extra = ",again=1"
            await asyncio.sleep(rng.uniform(0.059, 0.76))

    def judge(self):
        served = sum((client.answer or "").startswith("UP") for client in self.clients)
        if served < CLIENTS:
            raise CannotRun(f"only {served} requests were served")
        return [f"no tunnel is lost: {client.id} had nothing back from its running backend for "
                f"{self.silences[client.id]:.1f} s and was neither ended nor moved"
                for client in self.clients if self.silences.get(client.id, 0.0) > SILENCE_LIMIT + SOCKET_SLACK]


main(HungInADrain, __file__)
