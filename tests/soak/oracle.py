"""Checks the rules that relays have to keep towards clients and backends, from what both of them observed."""
import collections
import dataclasses
import math

# Scheduling delay of the machine that any measured time may contain beside the driver's measured event loop lag.
TIMING_SLACK_S = 0.15
ANSWER_GRACE_S = 0.55  # an answer up to this long after the client's timeout is worthless, but no violation
CLIENT_DEPARTURE_GRACE_S = 0.1  # an attempt sent later than this after its client left is wasted
NOTIFICATION_LIMIT_S = 6.0  # a change counts as known to relays once a reachable discovery has had it for so long


@dataclasses.dataclass
class Attempt:
    """An open request that a backend has received completely."""
    backend: str
    first_byte_at: float
    arrived_at: float
    link: object
    result: str = ""  # empty until the backend answers


@dataclasses.dataclass
class Request:
    """An open request of a client, with its attempts and its answer."""
    session: str
    traffic_class: str
    process: object  # the relay process that received it
    relay_index: int
    sent_at: float
    timeout: float
    previous_backend: str = ""  # the only backend that may get a session restored from before the relay's start
    answer: str = ""
    client_left_at: float = math.inf
    attempts: list = dataclasses.field(default_factory=list)


class Oracle:
    """Records violations and counts; the soak fails on any violation."""

    def __init__(self, settings, clock, event_loop_lag, report):
        self._settings = settings
        self._clock = clock
        self._event_loop_lag = event_loop_lag  # returns the driver's recent event loop lag, in seconds
        self._report = report
        self.violations = []
        self.counts = collections.Counter()
        self.requests = {}
        # By relay process and backend: when the process was notified of the backend's end (draining or removed).
        self.end_notified_at = collections.defaultdict(dict)
        # The same for the backend's start.
        self.start_notified_at = collections.defaultdict(dict)
        self.disabled_since = collections.defaultdict(dict)  # by relay and backend: the time
        self.cold_started_at = {}  # by backend: the time
        self._arrivals = collections.defaultdict(list)  # by backend: (time, whether the relay knew of its start)
        self._reported_backends = set()

    def slack(self):
        """Returns how much scheduling delay a measured time may contain, in seconds."""
        return TIMING_SLACK_S + self._event_loop_lag()

    def report_violation(self, rule, text):
        """Records a broken rule."""
        line = f"VIOLATION {rule}: {text}"
        self.violations.append(line)
        self._report(line)

    # ---- Events at clients -------------------------------------------------------------------------------

    def request_sent(self, request):
        """Records that a client has written the last byte of an open request."""
        self.requests[request.session] = request
        self.counts["requests"] += 1

    def answer_received(self, request, line):
        """Records a line that a client has read while it waited for its answer."""
        now = self._clock()
        word = line.split(" ")[0]
        if request.answer:
            self.report_violation("one final answer", f"{request.session} got {line!r} after {request.answer!r}")
        request.answer = word or "(empty line)"
        self.counts[f"answer {word}"] += 1
        overrun = now - request.sent_at - request.timeout
        if overrun > ANSWER_GRACE_S + self.slack():
            self.report_violation("answer in time",
                                  f"{request.session} got {line!r} {overrun:.2f} s after its timeout")
        if word == "BUSY":
            self._check_rejection(request)

    def _check_rejection(self, request):
        may_have_run = [attempt for attempt in request.attempts if attempt.result != "BUSY"]
        if request.traffic_class == "once" and may_have_run:
            self.report_violation("no effect twice",
                                  f"{request.session} got BUSY, which invites a retry, after {may_have_run[0]}")

    def answer_missing(self, request, detail):
        """Records that a client's connection ended or its timeout expired before any answer."""
        if request.process.was_killed():
            self.counts["lost with a killed process"] += 1
            return
        self.report_violation("final answer",
                              f"{request.session} ({request.traffic_class}) at {request.process}: {detail}")

    def session_cut_off(self, request, detail):
        """Records that an open session ended without MOVE or BYE, or stalled, although its backend works."""
        if request.process.was_killed():
            self.counts["cut with a killed process"] += 1
            return
        self.report_violation("no session cut off", f"{request.session} at {request.process}: {detail}")

    # ---- Events at backends ------------------------------------------------------------------------------

    def attempt_arrived(self, session, attempt):
        """Records a complete open request at a backend, and checks the attempt."""
        request = self.requests.get(session)
        if request is None:
            return
        self.counts["attempts"] += 1
        self._check_departure(request, attempt)
        self._check_restored_backend(request, attempt)
        self._check_drain(request, attempt)
        self._check_repeated_attempt(request, attempt)
        self._check_overload(request, attempt)
        request.attempts.append(attempt)

    def _check_departure(self, request, attempt):
        delay = attempt.first_byte_at - request.client_left_at
        if delay > CLIENT_DEPARTURE_GRACE_S + self.slack():
            self.report_violation("no attempt without a client",
                         f"{request.session} was sent {delay:.2f} s after its client had closed")

    def _check_restored_backend(self, request, attempt):
        if request.previous_backend not in ("", attempt.backend):
            self.report_violation("restored at its backend",
                                  f"{request.session} was at {request.previous_backend} and was sent "
                                  f"to {attempt.backend} by {request.process}")

    def _check_drain(self, request, attempt):
        grace = self._settings["drain_grace"] + 0.05 + self.slack()
        notified_at = max(self.end_notified_at[process].get(attempt.backend, math.inf)
                          for process in request.process.possible_processes())
        if attempt.first_byte_at > notified_at + grace:
            self.report_violation("drain", f"{request.session} was sent to {attempt.backend} by {request.process} "
                                  f"{attempt.first_byte_at - notified_at:.2f} s after the relay knew of its end")
        disabled_at = self.disabled_since[request.relay_index].get(attempt.backend, math.inf)
        if attempt.first_byte_at > disabled_at + 1 + grace:
            self.report_violation("disabled backend",
                                  f"{request.session} was sent to {attempt.backend} by {request.process} "
                                  f"{attempt.first_byte_at - disabled_at:.2f} s after it was disabled")

    def _check_repeated_attempt(self, request, attempt):
        earlier = [other for other in request.attempts if other.result != "BUSY"]
        for other in earlier:
            is_finished = other.result or other.link.relay_closed_at < math.inf
            if not is_finished:
                self._check_concurrency_later(request, other, attempt)
        if not earlier or request.traffic_class == "talk":
            return
        if request.traffic_class == "once":
            self.report_violation("no effect twice", f"{request.session} was sent again after {earlier[0]}")
            return
        age = attempt.first_byte_at - earlier[0].first_byte_at
        if age > self._settings["window"] + 0.05 + self.slack():
            self.report_violation("no effect twice",
                                  f"{request.session} was sent again {age:.2f} s after its first attempt")

    def _check_concurrency_later(self, request, other, attempt):
        # The relay may have closed the earlier connection although the proxy has not seen the close yet.
        self._settings["call_later"](0.3, lambda: self._check_concurrent_attempts(request, other, attempt))

    def _check_concurrent_attempts(self, request, other, attempt):
        if not other.result and other.link.relay_closed_at == math.inf:
            self.report_violation("one attempt at a time",
                                  f"{request.session}: {other.backend} and {attempt.backend}")

    def _check_overload(self, request, attempt):
        started_at = self.cold_started_at.get(attempt.backend)
        if started_at is None or attempt.arrived_at - started_at > self._settings["warm_up"]:
            return
        relay_knew_start = attempt.first_byte_at > self.start_notified_at[request.process].get(
            attempt.backend, math.inf)
        arrivals = self._arrivals[attempt.backend]
        arrivals.append((attempt.arrived_at, relay_knew_start))
        window = self._settings["overload_window"]
        recent = [(at, is_informed) for at, is_informed in arrivals if at > attempt.arrived_at - window]
        allowed = self._allowed_arrivals(attempt.arrived_at - started_at)
        informed_count = sum(is_informed for _, is_informed in recent)
        exceeds_limit = len(recent) > allowed and informed_count > 2 * len(recent) / 3
        if exceeds_limit and attempt.backend not in self._reported_backends:
            self._reported_backends.add(attempt.backend)
            self.report_violation("slow start",
                                  f"{attempt.backend} got {len(recent)} requests in {window} s at the age of "
                                  f"{attempt.arrived_at - started_at:.2f} s, {allowed:.0f} are allowed")

    def _allowed_arrivals(self, age):
        initial = self._settings["initial_factor"]
        factor = min(1.0, initial + (1 - initial) * age / self._settings["warm_up"])
        mean = self._settings["overload_factor"] * factor * self._settings["capacity_in_window"]
        return mean + (3 if mean < 30 else 2) * math.sqrt(mean) + (3 if mean < 30 else 2)

    # ---- Events at discovery, operators and the platform ----------------------------------------------------

    def backend_started(self, uid):
        """Records a backend's cold start. Earlier notifications of its end or start no longer apply."""
        for notified_at in [*self.end_notified_at.values(), *self.start_notified_at.values()]:
            notified_at.pop(uid, None)
        self.cold_started_at[uid] = self._clock()
        self._arrivals[uid].clear()
        self._reported_backends.discard(uid)

    def state_change_notified(self, process, uid, state, at):
        """Records that a relay process knows the backend's state from the time `at` on."""
        if state == "active":
            self.end_notified_at[process].pop(uid, None)
            self.start_notified_at[process].setdefault(uid, at)
        else:
            self.end_notified_at[process][uid] = min(at, self.end_notified_at[process].get(uid, math.inf))

    def process_failed(self, process, detail):
        """Records that a relay process ended unexpectedly or with an error."""
        self.report_violation("no crash", f"{process} {detail}")
