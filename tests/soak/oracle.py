"""Judges a soak: what the relays owe their clients and backends, checked against what both ends have seen."""
import collections
import dataclasses
import math

# What the machine's own lateness may add to any figure, beside what the driver measures of its own.
SLACK = 0.15
ANSWER_GRACE = 0.55  # after the client's time an answer earns nothing; later still it is lost
DEPARTURE_GRACE = 0.1  # an attempt that begins later after its client has gone is lost work
UNREPORTED_CHANGE = 6.0  # a change counts as told so long after discovery had it and could be reached


@dataclasses.dataclass
class Attempt:
    """One open request that came whole to a backend."""
    backend: str
    first_byte_at: float
    arrived_at: float
    link: object
    result: str = ""  # "": nothing was answered yet


@dataclasses.dataclass
class Request:
    """One open request of a client, and all that came of it."""
    session: str
    traffic_class: str
    relay: object  # the process that took it
    relay_index: int
    sent_at: float
    timeout: float
    previous_backend: str = ""  # where the session was before the relay started, and may be alone
    answer: str = ""
    client_left_at: float = math.inf
    attempts: list = dataclasses.field(default_factory=list)


class Oracle:
    """Collects violations; the soak has failed if there is one."""

    def __init__(self, settings, clock, lateness, report):
        self._settings = settings
        self._clock = clock
        self._lateness = lateness  # how late the driver itself ran of late, in seconds
        self._report = report
        self.violations = []
        self.counts = collections.Counter()
        self.requests = {}
        self.told = collections.defaultdict(dict)  # by relay process and backend: when its end counts as told
        self.told_of_start = collections.defaultdict(dict)
        self.disabled = collections.defaultdict(dict)  # by relay and backend: since when
        self.starts = {}  # by backend: when it started cold
        self._arrivals = collections.defaultdict(list)  # by backend: (time, whether its relay knew of the start)
        self._overloaded = set()

    def slack(self):
        """What the driver's own lateness may have added to a time."""
        return SLACK + self._lateness()

    def violate(self, rule, text):
        """A rule is broken."""
        line = f"VIOLATION {rule}: {text}"
        self.violations.append(line)
        self._report(line)

    # ---- What clients see -------------------------------------------------------------------------------

    def request_sent(self, request):
        """The last byte of an open request was written."""
        self.requests[request.session] = request
        self.counts["requests"] += 1

    def answered(self, request, line):
        """A client has read a line while it waited."""
        now = self._clock()
        word = line.split(" ")[0]
        if request.answer:
            self.violate("one final answer", f"{request.session} got {line!r} after {request.answer!r}")
        request.answer = word or "(empty line)"
        self.counts[f"answer {word}"] += 1
        late = now - request.sent_at - request.timeout
        if late > ANSWER_GRACE + self.slack():
            self.violate("answer in time", f"{request.session} got {line!r} {late:.2f} s after its time")
        if word == "BUSY":
            self._check_rejection(request)

    def _check_rejection(self, request):
        may_have_run = [attempt for attempt in request.attempts if attempt.result != "BUSY"]
        if request.traffic_class == "once" and may_have_run:
            self.violate("no effect twice", f"{request.session} was told to try again after {may_have_run[0]}")

    def not_answered(self, request, how):
        """A client's connection ended, or its time did, before any answer came."""
        if request.relay.was_killed():
            self.counts["lost with a killed process"] += 1
            return
        self.violate("final answer", f"{request.session} ({request.traffic_class}) at {request.relay}: {how}")

    def cut_off(self, request, how):
        """An open session has ended without a word, though its backend still answers."""
        if request.relay.was_killed():
            self.counts["cut with a killed process"] += 1
            return
        self.violate("no session cut off", f"{request.session} at {request.relay}: {how}")

    # ---- What backends see ------------------------------------------------------------------------------

    def attempt_arrived(self, session, attempt):
        """A whole open request has come to a backend."""
        request = self.requests.get(session)
        if request is None:
            return
        self.counts["attempts"] += 1
        self._check_departure(request, attempt)
        self._check_place(request, attempt)
        self._check_drain(request, attempt)
        self._check_effects(request, attempt)
        self._check_overload(request, attempt)
        request.attempts.append(attempt)

    def _check_departure(self, request, attempt):
        late = attempt.first_byte_at - request.client_left_at
        if late > DEPARTURE_GRACE + self.slack():
            self.violate("no attempt without a client",
                         f"{request.session} was sent {late:.2f} s after its client had closed")

    def _check_place(self, request, attempt):
        if request.previous_backend not in ("", attempt.backend):
            self.violate("restored at its backend", f"{request.session} was at {request.previous_backend} and was sent "
                                                    f"to {attempt.backend} by {request.relay}")

    def _check_drain(self, request, attempt):
        grace = self._settings["drain_grace"] + 0.05 + self.slack()
        told_at = max(self.told[process].get(attempt.backend, math.inf)
                      for process in request.relay.possible_servers())
        if attempt.first_byte_at > told_at + grace:
            self.violate("drain", f"{request.session} went to {attempt.backend} by {request.relay} "
                                  f"{attempt.first_byte_at - told_at:.2f} s after that was told of its end")
        disabled_at = self.disabled[request.relay_index].get(attempt.backend, math.inf)
        if attempt.first_byte_at > disabled_at + 1 + grace:
            self.violate("disabled backend", f"{request.session} went to {attempt.backend} by {request.relay} "
                                             f"{attempt.first_byte_at - disabled_at:.2f} s after it was disabled")

    def _check_effects(self, request, attempt):
        earlier = [other for other in request.attempts if other.result != "BUSY"]
        for other in earlier:
            is_over = other.result or other.link.relay_closed_at < math.inf
            if not is_over:
                self._check_again_later(request, other, attempt)
        if not earlier or request.traffic_class == "talk":
            return
        if request.traffic_class == "once":
            self.violate("no effect twice", f"{request.session} was sent again after {earlier[0]}")
            return
        age = attempt.first_byte_at - earlier[0].first_byte_at
        if age > self._settings["window"] + 0.05 + self.slack():
            self.violate("no effect twice", f"{request.session} was sent again {age:.2f} s after its first attempt")

    def _check_again_later(self, request, other, attempt):
        # The end of the former connection may be on its way still.
        self._settings["call_later"](0.3, lambda: self._check_two_attempts(request, other, attempt))

    def _check_two_attempts(self, request, other, attempt):
        if not other.result and other.link.relay_closed_at == math.inf:
            self.violate("one attempt at a time", f"{request.session}: {other.backend} and {attempt.backend}")

    def _check_overload(self, request, attempt):
        started_at = self.starts.get(attempt.backend)
        if started_at is None or attempt.arrived_at - started_at > self._settings["warm_up"]:
            return
        knew = attempt.first_byte_at > self.told_of_start[request.relay].get(attempt.backend, math.inf)
        arrivals = self._arrivals[attempt.backend]
        arrivals.append((attempt.arrived_at, knew))
        window = self._settings["overload_window"]
        recent = [(at, known) for at, known in arrivals if at > attempt.arrived_at - window]
        allowed = self._allowed_arrivals(attempt.arrived_at - started_at)
        knowing = sum(known for _, known in recent)
        is_broken = len(recent) > allowed and knowing > 2 * len(recent) / 3
        if is_broken and attempt.backend not in self._overloaded:
            self._overloaded.add(attempt.backend)
            self.violate("slow start", f"{attempt.backend} got {len(recent)} requests in {window} s at the age of "
                                       f"{attempt.arrived_at - started_at:.2f} s, {allowed:.0f} are allowed")

    def _allowed_arrivals(self, age):
        initial = self._settings["initial_factor"]
        factor = min(1.0, initial + (1 - initial) * age / self._settings["warm_up"])
        mean = self._settings["overload_factor"] * factor * self._settings["capacity_in_window"]
        return mean + (3 if mean < 30 else 2) * math.sqrt(mean) + (3 if mean < 30 else 2)

    # ---- What discovery, operators and the platform do ----------------------------------------------------

    def backend_started(self, uid):
        """A backend has started cold, and may be sent to by whoever knows."""
        for told in [*self.told.values(), *self.told_of_start.values()]:
            told.pop(uid, None)
        self.starts[uid] = self._clock()
        self._arrivals[uid].clear()
        self._overloaded.discard(uid)

    def change_told(self, relay, uid, state, at):
        """From `at` on, the relay's process counts as told of the backend's state."""
        if state == "active":
            self.told[relay].pop(uid, None)
            self.told_of_start[relay].setdefault(uid, at)
        else:
            self.told[relay][uid] = min(at, self.told[relay].get(uid, math.inf))

    def process_ended(self, relay, how):
        """A relay's process has ended in a way that it should not."""
        self.violate("no crash", f"{relay} {how}")
