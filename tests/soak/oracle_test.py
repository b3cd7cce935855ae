#!/usr/bin/env python3
"""The soak's oracle finds each broken rule, and nothing in a session that is in order."""
import unittest

from fault_proxy import Link
from oracle import Attempt, Oracle, Request

SETTINGS = {"drain_grace": 0.5, "window": 1.5, "overload_window": 1.5, "overload_factor": 3, "initial_factor": 0.33,
            "warm_up": 4, "capacity_in_window": 10, "call_later": lambda delay, callback: callback()}


class Process:
    """A relay's process as the oracle sees it."""

    def __init__(self):
        self.killed = False

    def was_killed(self):
        return self.killed

    def possible_servers(self):
        return [self]


class OracleTest(unittest.TestCase):
    def setUp(self):
        self.time = 100.0
        self.oracle = Oracle(SETTINGS, lambda: self.time, lambda: 0, lambda line: None)
        self.process = Process()

    def request(self, traffic_class="talk", session="1"):
        request = Request(session, traffic_class, self.process, 0, self.time, 1.0)
        self.oracle.request_sent(request)
        return request

    def attempt(self, session="1", backend="s-0", result=""):
        attempt = Attempt(backend, self.time, self.time, Link(), result)
        self.oracle.attempt_arrived(session, attempt)
        return attempt

    def rules_broken(self):
        return [line.split(" ", 1)[1].split(":")[0] for line in self.oracle.violations]

    def test_a_session_in_order_breaks_nothing(self):
        request = self.request("once")
        self.attempt().result = "BUSY"
        self.attempt(backend="s-1").result = "UP"
        self.oracle.answered(request, "UP r")
        self.assertEqual(self.rules_broken(), [])

    def test_a_backend_that_is_told_to_have_returned_after_its_end(self):
        self.oracle.change_told(self.process, "s-0", "left", self.time)
        self.oracle.change_told(self.process, "s-0", "active", self.time + 1)
        self.time += 3
        self.request()
        self.attempt()
        self.assertEqual(self.rules_broken(), [])

    def test_a_restored_session_elsewhere(self):
        self.request().previous_backend = "s-0"
        self.attempt(result="ERR")
        self.attempt(backend="s-1")
        self.assertEqual(self.rules_broken(), ["restored at its backend"])

    def test_a_late_answer_and_a_second_one(self):
        request = self.request()
        self.time += 2
        self.oracle.answered(request, "BUSY")
        self.oracle.answered(request, "ERR")
        self.assertEqual(self.rules_broken(), ["answer in time", "one final answer", "answer in time"])

    def test_no_answer_unless_the_process_was_killed(self):
        self.oracle.not_answered(self.request(), "closed")
        self.process.killed = True
        self.oracle.not_answered(self.request(session="2"), "closed")
        self.assertEqual(self.rules_broken(), ["final answer"])

    def test_a_repeat_of_what_must_not_run_twice(self):
        self.request("once")
        self.attempt().result = "ERR"
        self.attempt(backend="s-1")
        self.assertEqual(self.rules_broken(), ["no effect twice"])

    def test_an_invitation_to_repeat_what_may_have_run(self):
        request = self.request("once")
        self.attempt().result = "reset"
        self.oracle.answered(request, "BUSY")
        self.assertEqual(self.rules_broken(), ["no effect twice"])

    def test_a_repeat_after_the_window_in_which_it_is_recognised(self):
        self.request("keyed")
        self.attempt().result = "ERR"
        self.time += 1.4
        self.attempt(backend="s-1").result = "ERR"
        self.time += 1
        self.attempt(backend="s-2").result = "UP"
        self.assertEqual(self.rules_broken(), ["no effect twice"])

    def test_two_attempts_at_once(self):
        self.request()
        self.attempt()
        self.attempt(backend="s-1").result = "UP"
        self.assertEqual(self.rules_broken(), ["one attempt at a time"])

    def test_an_attempt_after_its_client_has_gone(self):
        request = self.request()
        request.client_left_at = self.time
        self.time += 0.2
        self.attempt()
        self.time += 0.2
        self.attempt(backend="s-1", result="UP")
        self.assertIn("no attempt without a client", self.rules_broken())

    def test_an_attempt_past_the_grace_of_a_drain(self):
        self.oracle.change_told(self.process, "s-0", "leaving", self.time)
        self.time += 0.6
        self.request()
        self.attempt(result="UP")
        self.time += 0.2
        self.request(session="2")
        self.attempt("2", result="UP")
        self.assertEqual(self.rules_broken(), ["drain"])

    def test_an_attempt_at_a_disabled_backend(self):
        self.oracle.disabled[0]["s-0"] = self.time
        self.time += 1.8
        self.request()
        self.attempt(result="UP")
        self.assertEqual(self.rules_broken(), ["disabled backend"])

    def test_more_than_a_cold_backend_bears(self):
        self.oracle.backend_started("s-0")
        self.oracle.change_told(self.process, "s-0", "active", self.time)
        for number in range(40):
            self.time += 0.01
            self.request(session=str(number))
            self.attempt(str(number), result="UP")
        self.assertEqual(self.rules_broken(), ["slow start"])


if __name__ == "__main__":
    unittest.main()
