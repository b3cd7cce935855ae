#!/usr/bin/env python3
"""Tests tools/fleet_count.py on the logs of two relays."""
import pathlib
import subprocess
import sys
import tempfile
import unittest

SCRIPT = pathlib.Path(__file__).resolve().parent.parent.parent / "tools" / "fleet_count.py"
FIRST_LOG = """0.1 1796126648.429 connection attempt=4 session=5f backend=81 result=timed_out duration_ms=511
1796126648.500 connection downstream=4 session=5f result=rejected reason=no_capacity duration_ms=511
1796126650.100 connection downstream=5 session=60 result=rejected reason=backends_warming_up duration_ms=0
1796126650.200 connection downstream=6 session=61 result=served duration_ms=9
"""
SECOND_LOG = """1796126648.900 connection downstream=4 session=5f result=rejected reason=no_capacity duration_ms=511
1796126650.000 balancer migrating sessions: backend 81 is draining
not a line of the log
"""


class FleetCountTest(unittest.TestCase):
    def test_counts_events_by_second(self):
        with tempfile.TemporaryDirectory() as folder:
            for name, text in (("n0.log", FIRST_LOG), ("n1.log", SECOND_LOG)):
                pathlib.Path(folder, name).write_text(text)
            result = subprocess.run([sys.executable, SCRIPT, folder], capture_output=True, text=True, check=True)
        rows = [line.split("\t") for line in result.stdout.splitlines()]
        counts_by_second = {row[0]: dict(zip(rows[0][1:], row[1:])) for row in rows[1:]}
        self.assertEqual(counts_by_second["0"]["downstream:no_capacity"], "2")
        self.assertEqual(counts_by_second["0"]["attempt:timed_out"], "1")
        self.assertEqual(counts_by_second["2"]["downstream:backends_warming_up"], "1")
        self.assertEqual(counts_by_second["2"]["downstream:served"], "1")
        self.assertEqual(counts_by_second["2"]["balancer:is draining"], "1")
        self.assertEqual(counts_by_second["0"]["downstream:served"], "0")


if __name__ == "__main__":
    unittest.main()
