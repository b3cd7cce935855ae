#!/usr/bin/env python3
"""Tests whom the soak's discovery service counts as notified of a change."""
import asyncio
import types
import unittest

from discovery import Discovery

ANSWER_DELAY_S = 0.2
TIME_UNTIL_ANSWERED_S = 0.4
REQUEST = b"GET /watch?after=0 HTTP/1.1\r\n\r\n"


class FixedDelay:
    """A random generator whose draws are all the largest possible."""

    @staticmethod
    def uniform(_, largest):
        return largest

    @staticmethod
    def random():
        return 0.999


class NotificationRecord:
    """The part of the oracle that discovery uses: records which process was notified of which backend."""

    def __init__(self):
        self.notified = []

    def state_change_notified(self, process, uid, state, _):
        self.notified.append((process, uid, state))


class DiscoveryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.oracle = NotificationRecord()
        backend = types.SimpleNamespace(uid="s-0", state="leaving", entry=lambda: {"uid": "s-0", "state": "leaving"})
        world = types.SimpleNamespace(oracle=self.oracle, backends=[backend],
                                      now=asyncio.get_running_loop().time)
        self.discovery = Discovery(world, FixedDelay())
        self.discovery.delay = ANSWER_DELAY_S
        self.running_process = "first process"
        self.port = await self.discovery.listen(lambda: self.running_process)

    async def open_watch(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(REQUEST)
        await asyncio.sleep(ANSWER_DELAY_S / 2)
        return reader, writer

    async def test_counts_a_process_that_receives_the_list_as_notified(self):
        reader, writer = await self.open_watch()
        self.assertEqual(self.oracle.notified, [])
        await asyncio.sleep(TIME_UNTIL_ANSWERED_S)
        self.assertIn(b"leaving", await reader.read(1000))
        self.assertEqual(self.oracle.notified, [("first process", "s-0", "leaving")])
        writer.close()

    async def test_counts_no_successor_of_a_process_killed_during_its_request(self):
        _, writer = await self.open_watch()
        writer.transport.abort()
        self.running_process = "second process"
        await asyncio.sleep(TIME_UNTIL_ANSWERED_S)
        self.assertEqual(self.oracle.notified, [])

    async def test_counts_no_process_that_has_ended_its_request(self):
        _, writer = await self.open_watch()
        writer.close()
        await asyncio.sleep(TIME_UNTIL_ANSWERED_S)
        self.assertEqual(self.oracle.notified, [])


if __name__ == "__main__":
    unittest.main()
