#!/usr/bin/env python3
"""Tests the time from which a connection to a paused proxy may have sent bytes."""
import math
import unittest

from fault_proxy import AcceptPauses


class AcceptPausesTest(unittest.TestCase):
    def setUp(self):
        self.pauses = AcceptPauses()

    def test_delays_nothing_without_a_pause(self):
        self.assertEqual(self.pauses.earliest_write_at(10), math.inf)

    def test_counts_from_the_start_of_a_pause_until_shortly_after_its_end(self):
        self.pauses.begin(10)
        self.assertEqual(self.pauses.earliest_write_at(10.3), 10)
        self.pauses.end(10.5)
        self.assertEqual(self.pauses.earliest_write_at(10.55), 10)
        self.assertEqual(self.pauses.earliest_write_at(10.7), math.inf)

    def test_counts_from_the_start_of_the_first_of_overlapping_pauses(self):
        self.pauses.begin(16.86)
        self.pauses.begin(17.38)
        self.pauses.end(17.4)
        self.assertTrue(self.pauses.is_active)
        self.assertEqual(self.pauses.earliest_write_at(17.41), 16.86)
        self.pauses.end(17.6)
        self.assertFalse(self.pauses.is_active)
        self.assertEqual(self.pauses.earliest_write_at(17.65), 16.86)

    def test_counts_from_the_start_of_a_pause_that_ended_as_the_next_began(self):
        self.pauses.begin(10)
        self.pauses.end(10.5)
        self.pauses.begin(10.55)
        self.assertEqual(self.pauses.earliest_write_at(10.6), 10)

    def test_counts_from_a_later_pause_once_the_earlier_one_is_over(self):
        self.pauses.begin(10)
        self.pauses.end(10.5)
        self.pauses.begin(12)
        self.assertEqual(self.pauses.earliest_write_at(12.2), 12)


if __name__ == "__main__":
    unittest.main()
