#!/usr/bin/env python3
"""Runs ctest in a build folder and passes over the tests that KNOWN-RED.txt lists: run_tests.py BUILD [LIST]

A line of the list: test, cause, issue. Three at most. A listed test runs and its result is printed; one that passes is to be
taken off. Every other failure, a fourth line, a malformed one, or a name that no test has fails the run.
"""
import json
import pathlib
import subprocess
import sys
import tempfile
import xml.etree.ElementTree as xml

MOST = 3


def read_list(path, names):
    """The listed tests by name, or a word on what is wrong with the list."""
    listed = {}
    for line in path.read_text().splitlines() if path.exists() else []:
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split(",", 1)]
        cause, _, issue = parts[1].rpartition(",") if len(parts) == 2 else ("", "", "")
        if not (parts[0] and cause.strip() and issue.strip()):
            return f"a line is not 'test, cause, issue': {line}"
        if parts[0] not in names:
            return f"no test has the name {parts[0]}"
        listed[parts[0]] = line.strip()
        if len(listed) > MOST:
            return f"more than {MOST} known failures"
    return listed


def passed(case):
    """Danger: a test whose program is missing is not run either, like one that says by itself that it is to be skipped."""
    skipped = case.find("skipped")
    return case.get("status") == "run" or (skipped is not None and skipped.get("message", "").startswith("SKIP_"))


def main():
    if len(sys.argv) not in (2, 3):
        sys.exit("usage: run_tests.py BUILD [LIST]")
    build, path = sys.argv[1], pathlib.Path(sys.argv[2] if len(sys.argv) == 3 else "KNOWN-RED.txt")
    shown = subprocess.run(["ctest", "--test-dir", build, "--show-only=json-v1"], capture_output=True, text=True, check=True)
    names = {test["name"] for test in json.loads(shown.stdout)["tests"]}
    listed = read_list(path, names)
    if isinstance(listed, str):
        sys.exit(f"{path.name}: {listed}")
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder, "report.xml")
        ended = subprocess.run(["ctest", "--test-dir", build, "--output-on-failure", "--output-junit", report], check=False)
        sound = {case.get("name") for case in xml.parse(report).iter("testcase") if passed(case)}
    failed = names - sound
    for name, line in listed.items():
        print(f"known failure, {'FAILED' if name in failed else 'PASSED: take it off the list'}: {line}")
    fresh = sorted(failed - listed.keys())
    for name in fresh:
        print(f"FAILED: {name}")
    sys.exit(1 if fresh or not sound or (ended.returncode != 0 and not failed) else 0)


if __name__ == "__main__":
    main()
