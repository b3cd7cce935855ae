#!/usr/bin/env python3
"""Tests that the soak's oracle reports each broken rule, and nothing for sessions that keep the rules."""
import unittest

from fault_proxy import Link
from oracle import Attempt, Oracle, Request

SETTINGS = {"drain_grace": 0.5, "window": 1.5, "overload_window": 1.5, "overload_factor": 3, "initial_factor": 0.33,
            "warm_up": 4, "capacity_in_window": 10, "call_later": lambda delay, callback: callback()}


class Process:
    """The part of a relay process that the oracle uses."""

    def __init__(self):
        self.killed = False

    def was_killed(self):
        return self.killed

    def possible_processes(self):
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

    def test_accepts_a_session_retried_after_a_rejection(self):
        request = self.request("once")
        self.attempt().result = "BUSY"
        self.attempt(backend="s-1").result = "UP"
        self.oracle.answer_received(request, "UP r")
        self.assertEqual(self.rules_broken(), [])

    def test_accepts_an_attempt_after_the_backend_is_active_again(self):
        self.oracle.state_change_notified(self.process, "s-0", "left", self.time)
        self.oracle.state_change_notified(self.process, "s-0", "active", self.time + 1)
        self.time += 3
        self.request()
        self.attempt()
        self.assertEqual(self.rules_broken(), [])

    def test_reports_a_restored_session_at_another_backend(self):
        self.request().previous_backend = "s-0"
        self.attempt(result="ERR")
        self.attempt(backend="s-1")
        self.assertEqual(self.rules_broken(), ["restored at its backend"])

    def test_reports_an_answer_after_the_timeout_and_a_second_answer(self):
        request = self.request()
        self.time += 2
        self.oracle.answer_received(request, "BUSY")
        self.oracle.answer_received(request, "ERR")
        self.assertEqual(self.rules_broken(), ["answer in time", "one final answer", "answer in time"])

    def test_reports_a_missing_answer_unless_the_process_was_killed(self):
        self.oracle.answer_missing(self.request(), "closed")
        self.process.killed = True
        self.oracle.answer_missing(self.request(session="2"), "closed")
        self.assertEqual(self.rules_broken(), ["final answer"])

    def test_reports_a_retry_of_an_at_most_once_request_that_may_have_run(self):
        self.request("once")
        self.attempt().result = "ERR"
        self.attempt(backend="s-1")
        self.assertEqual(self.rules_broken(), ["no effect twice"])

    def test_reports_busy_for_an_at_most_once_request_that_may_have_run(self):
        request = self.request("once")
        self.attempt().result = "reset"
        self.oracle.answer_received(request, "BUSY")
        self.assertEqual(self.rules_broken(), ["no effect twice"])

    def test_reports_a_retry_after_the_deduplication_window(self):
        self.request("keyed")
        self.attempt().result = "ERR"
        self.time += 1.4
        self.attempt(backend="s-1").result = "ERR"
        self.time += 1
        self.attempt(backend="s-2").result = "UP"
        self.assertEqual(self.rules_broken(), ["no effect twice"])

    def test_reports_two_concurrent_attempts(self):
        self.request()
        self.attempt()
        self.attempt(backend="s-1").result = "UP"
        self.assertEqual(self.rules_broken(), ["one attempt at a time"])

    def test_reports_an_attempt_after_the_client_has_left(self):
        request = self.request()
        request.client_left_at = self.time
        self.time += 0.2
        self.attempt()
        self.time += 0.2
        self.attempt(backend="s-1", result="UP")
        self.assertIn("no attempt without a client", self.rules_broken())

    def test_reports_an_attempt_after_the_drain_grace(self):
        self.oracle.state_change_notified(self.process, "s-0", "leaving", self.time)
        self.time += 0.6
        self.request()
        self.attempt(result="UP")
        self.time += 0.2
        self.request(session="2")
        self.attempt("2", result="UP")
        self.assertEqual(self.rules_broken(), ["drain"])

    def test_reports_an_attempt_at_a_disabled_backend(self):
        self.oracle.disabled_since[0]["s-0"] = self.time
        self.time += 1.8
        self.request()
        self.attempt(result="UP")
        self.assertEqual(self.rules_broken(), ["disabled backend"])

    def test_reports_overload_during_slow_start(self):
        self.oracle.backend_started("s-0")
        self.oracle.state_change_notified(self.process, "s-0", "active", self.time)
        for number in range(40):
            self.time += 0.01
            self.request(session=str(number))
            self.attempt(str(number), result="UP")
        self.assertEqual(self.rules_broken(), ["slow start"])


if __name__ == "__main__":
    unittest.main()
