#!/usr/bin/env python3
"""Counts what the relays of a fleet logged, second by second: fleet_count.py DIR

DIR holds one log file for each relay. A column is an event: c: a client's end, s: a setup's, p: a probe's, m: the module's
word, l: the list's. A declined client's column is the reason. The lines may begin with a time of their own before the relay's.
"""
import collections
import pathlib
import re
import sys


def event(topic, text):
    if ended := re.match(r"(setup|client|probe|call)=.*end=(\w+)(?: why=(\w+))?", text):
        return f"{ended[1][0]}:{ended[3] or ended[2]}" if topic == "conn" else None
    if topic == "module":
        return "m:" + re.sub(r"backend \d+ ?", "", text).split(":")[-1].strip()[:24]
    if topic == "list":
        return "l:" + (text.split(":")[-1].strip() if "backend" in text else text.split(":")[0])
    return None


def main():
    if len(sys.argv) != 2 or not pathlib.Path(sys.argv[1]).is_dir():
        sys.exit("usage: fleet_count.py DIR")
    counts, first = collections.defaultdict(collections.Counter), None
    for path in sorted(pathlib.Path(sys.argv[1]).iterdir()):
        for line in path.read_text(errors="replace").splitlines():
            if not (found := re.search(r"(\d{9,}\.\d{3}) (life|conn|module|list|fault) (.*)", line)):
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
