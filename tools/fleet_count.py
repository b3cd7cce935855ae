#!/usr/bin/env python3
"""Counts what the relays of a fleet logged, second by second: fleet_count.py DIR

DIR holds one log file for each relay. A column is an event: how a client's connection ended (downstream), an attempt at a
backend (attempt), a health check (health_check) or an operator's request (admin); a line of the balancer's or of discovery's.
The column of a rejected client is the reason. The lines may begin with a time of their own before the relay's.
"""
import collections
import pathlib
import re
import sys

LOG_LINE = re.compile(r"(\d{9,}\.\d{3}) (lifecycle|connection|balancer|discovery|error) (.*)")
ENDED = re.compile(r"(downstream|attempt|health_check|admin)=.*result=(\w+)(?: reason=(\w+))?")
LONGEST_COLUMN = 24


def connection_event(text):
    """The column of a connection that ended: its kind, and its reason or else its result; None for any other line."""
    ended = ENDED.match(text)
    if not ended:
        return None
    kind, result, reason = ended.groups()
    return f"{kind}:{reason or result}"


def balancer_event(text):
    """The column of a line of the balancer's: its last part, without the backend's number."""
    without_backend = re.sub(r"backend \d+ ?", "", text)
    return "balancer:" + without_backend.split(":")[-1].strip()[:LONGEST_COLUMN]


def discovery_event(text):
    """The column of a line of discovery's: what is said of a backend, or the line's first part."""
    if "backend" in text:
        return "discovery:" + text.split(":")[-1].strip()
    return "discovery:" + text.split(":")[0]


EVENT_OF_TOPIC = {"connection": connection_event, "balancer": balancer_event, "discovery": discovery_event}


def read_events(log):
    """The log lines of a relay, as pairs of the time in seconds and the column, which may be None."""
    for line in log.read_text(errors="replace").splitlines():
        found = LOG_LINE.search(line)
        if found:
            time, topic, text = found.groups()
            event_of = EVENT_OF_TOPIC.get(topic)
            yield float(time), event_of(text) if event_of else None


def count_events(folder):
    """The second of the first line of all logs, and for each second how often each event was logged."""
    first_time = None
    counts = collections.defaultdict(collections.Counter)
    for log in sorted(folder.iterdir()):
        for time, event in read_events(log):
            first_time = time if first_time is None else min(first_time, time)
            if event:
                counts[int(time)][event] += 1
    return int(first_time or 0), counts


def print_table(first_second, counts):
    """A row a second that has an event, counted from the first line; the most frequent events come first."""
    total = sum(counts.values(), collections.Counter())
    events = [event for event, _ in total.most_common()]
    print("second", *events, sep="\t")
    for second in sorted(counts):
        print(second - first_second, *(counts[second][event] for event in events), sep="\t")


def main():
    if len(sys.argv) != 2 or not pathlib.Path(sys.argv[1]).is_dir():
        sys.exit("usage: fleet_count.py DIR")
    print_table(*count_events(pathlib.Path(sys.argv[1])))


if __name__ == "__main__":
    main()
