#!/usr/bin/env python3
"""What tools/fleet_count.py reads from a fleet's logs."""
import pathlib
import subprocess
import sys
import tempfile
import unittest

COUNT = pathlib.Path(__file__).resolve().parent.parent.parent / "tools" / "fleet_count.py"
ONE = """0.1 1796126648.429 conn setup=4 id=5f backend=81 end=timed_out ms=511
1796126648.500 conn client=4 id=5f end=declined why=no_room ms=511
1796126650.100 conn client=5 id=60 end=declined why=cold_backends ms=0
1796126650.200 conn client=6 id=61 end=served ms=9
"""
TWO = """1796126648.900 conn client=4 id=5f end=declined why=no_room ms=511
1796126650.000 module moving tunnels: backend 81 drains
not a line of ours
"""


class FleetCount(unittest.TestCase):
    def test_a_column_an_event_a_row_a_second(self):
        with tempfile.TemporaryDirectory() as folder:
            for name, text in (("n0.log", ONE), ("n1.log", TWO)):
                pathlib.Path(folder, name).write_text(text)
            done = subprocess.run([sys.executable, COUNT, folder], capture_output=True, text=True, check=True)
        rows = [line.split("\t") for line in done.stdout.splitlines()]
        seconds = {row[0]: dict(zip(rows[0][1:], row[1:])) for row in rows[1:]}
        self.assertEqual(seconds["0"]["c:no_room"], "2")
        self.assertEqual(seconds["0"]["s:timed_out"], "1")
        self.assertEqual(seconds["2"]["c:cold_backends"], "1")
        self.assertEqual(seconds["2"]["c:served"], "1")
        self.assertEqual(seconds["2"]["m:drains"], "1")
        self.assertEqual(seconds["0"]["c:served"], "0")


if __name__ == "__main__":
    unittest.main()
