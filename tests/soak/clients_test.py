#!/usr/bin/env python3
"""Tests what the soak's clients count as an answer."""
import asyncio
import types
import unittest

from clients import Clients
from oracle import Oracle

LONGEST_TIMEOUT_S = 1.0


class SplitRequests:
    """A random generator with which each client writes its request in two pieces."""

    choices = staticmethod(lambda values, _: [values[0]])
    choice = staticmethod(lambda values: values[0])
    random = staticmethod(lambda: 0.05)
    uniform = staticmethod(lambda low, high: min(high, low + 0.3))
    randint = staticmethod(lambda low, _: low + 4)
    getrandbits = staticmethod(lambda _: 1)


class Process:
    """The part of a relay process that clients and oracle use."""

    @staticmethod
    def was_killed():
        return False


class ClientsTest(unittest.IsolatedAsyncioTestCase):
    async def test_counts_an_answer_that_came_before_the_request_was_written(self):
        async def reject(_, writer):
            writer.write(b"BUSY\r\n")
            writer.close()

        server = await asyncio.start_server(reject, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        await asyncio.sleep(0.1)
        relay = types.SimpleNamespace(index=0, has_inherited_listener=False)
        world = types.SimpleNamespace(rng=SplitRequests(), relays=[relay], now=asyncio.get_running_loop().time)
        world.oracle = Oracle({}, world.now, lambda: 0, lambda line: None)
        clients = Clients(world, 1, LONGEST_TIMEOUT_S)
        clients.early_departure_probability = 0

        # Its first piece has the connection reset, so that writing the second one fails.
        await clients._session(relay, Process(), reader, writer, False)

        self.assertEqual(world.oracle.violations, [])
        self.assertEqual(world.oracle.counts["answer BUSY"], 1)


if __name__ == "__main__":
    unittest.main()
