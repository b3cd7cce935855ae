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


def event(topic, text):
    """The column that a line counts in, or None."""
    if topic == "connection":
        ended = re.match(r"(downstream|attempt|health_check|admin)=.*result=(\w+)(?: reason=(\w+))?", text)
        return f"{ended[1]}:{ended[3] or ended[2]}" if ended else None
    if topic == "balancer":
        return "balancer:" + re.sub(r"backend \d+ ?", "", text).split(":")[-1].strip()[:24]
    if topic == "discovery":
        return "discovery:" + (text.split(":")[-1].strip() if "backend" in text else text.split(":")[0])
    return None


def main():
    if len(sys.argv) != 2 or not pathlib.Path(sys.argv[1]).is_dir():
        sys.exit("usage: fleet_count.py DIR")
    counts, first = collections.defaultdict(collections.Counter), None
    for path in sorted(pathlib.Path(sys.argv[1]).iterdir()):
        for line in path.read_text(errors="replace").splitlines():
            if not (found := re.search(r"(\d{9,}\.\d{3}) (lifecycle|connection|balancer|discovery|error) (.*)", line)):
                continue
            at, kind = float(found[1]), event(found[2], found[3])
            first = at if first is None else min(first, at)
            if kind:
                counts[int(at)][kind] += 1
    total = sum(counts.values(), collections.Counter())
    kinds = [kind for kind, _ in total.most_common()]
    print("second", *kinds, sep="\t")
    for second in sorted(counts):
        print(second - int(first), *(counts[second][kind] for kind in kinds), sep="\t")


if __name__ == "__main__":
    main()
