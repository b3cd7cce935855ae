#!/usr/bin/env python3
"""Counts the log events of a fleet of relays per second: fleet_count.py DIR

DIR holds one log file for each relay. Each column counts one kind of event: the end of a client's connection
(downstream), of an attempt at a backend (attempt), of a health check (health_check) or of an operator's request (admin),
or a line of the balancer or of discovery. Rejected clients are counted by reason. Lines may have another timestamp
before the relay's.
"""
import collections
import pathlib
import re
import sys

LOG_LINE = re.compile(r"(\d{9,}\.\d{3}) (lifecycle|connection|balancer|discovery|error) (.*)")
CONNECTION_END = re.compile(r"(downstream|attempt|health_check|admin)=.*result=(\w+)(?: reason=(\w+))?")
MAX_COLUMN_LENGTH = 24  # characters of a balancer line


def connection_event(text):
    """The column for the end of a connection, KIND:REASON or KIND:RESULT; None for any other line."""
    ended = CONNECTION_END.match(text)
    if not ended:
        return None
    kind, result, reason = ended.groups()
    return f"{kind}:{reason or result}"


def balancer_event(text):
    """The column for a balancer line: the text after its last colon, without the backend's number."""
    without_backend = re.sub(r"backend \d+ ?", "", text)
    return "balancer:" + without_backend.split(":")[-1].strip()[:MAX_COLUMN_LENGTH]


def discovery_event(text):
    """The column for a discovery line: the text after the last colon if it names a backend, else before the first."""
    if "backend" in text:
        return "discovery:" + text.split(":")[-1].strip()
    return "discovery:" + text.split(":")[0]


EVENT_OF_TOPIC = {"connection": connection_event, "balancer": balancer_event, "discovery": discovery_event}


def read_events(log):
    """Yields the time in seconds and the column (or None) of each line in a relay's log."""
    for line in log.read_text(errors="replace").splitlines():
        found = LOG_LINE.search(line)
        if found:
            time, topic, text = found.groups()
            event_of = EVENT_OF_TOPIC.get(topic)
            yield float(time), event_of(text) if event_of else None


def count_events(folder):
    """Returns the second of the earliest log line, and the counts of each event by second."""
    first_time = None
    counts = collections.defaultdict(collections.Counter)
    for log in sorted(folder.iterdir()):
        for time, event in read_events(log):
            first_time = time if first_time is None else min(first_time, time)
            if event:
                counts[int(time)][event] += 1
    return int(first_time or 0), counts


def print_table(first_second, counts):
    """Prints a row for each second with events, counted from the first; the most frequent events come first."""
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
