#!/usr/bin/env python3
"""Runs clang-tidy over folders of the tree and prints its findings alone: lint.py BUILD FOLDER...

BUILD is a configured build folder with a compile_commands.json; a FOLDER may also be a file. Each source file of the build
that lies in one of them is checked, as many at once as there are processors (or as JOBS in the environment says), with
.clang-tidy's checks. A header counts where it lies in one of them too. Any finding fails the run, and so do a source file that
the linter cannot read, one that the build doesn't know, and a folder without sources.
"""
import concurrent.futures
import json
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
FINDING = re.compile(r"^(?P<file>/[^:]+):\d+:\d+: (warning|error): .*\[[\w.,-]+\]$")


def sources_of_build(build):
    """The source files that the build compiles, as paths from the root."""
    commands = json.loads((build / "compile_commands.json").read_text())
    files = {pathlib.Path(command["directory"], command["file"]).resolve() for command in commands}
    return sorted(file.relative_to(ROOT) for file in files if file.is_relative_to(ROOT))


def is_within(path, folder):
    """Whether the path is the folder, or lies in it."""
    return path == folder or folder in path.parents


def sources_in(folder, known):
    """The sources to check in a folder; ends the run if there is none, or one that the build leaves out."""
    present = {path.relative_to(ROOT) for path in (ROOT / folder).rglob("*.cpp")}
    if (ROOT / folder).is_file():
        present = {folder}
    if not present:
        sys.exit(f"lint: no source file in {folder}")
    if unknown := sorted(present - set(known)):
        sys.exit(f"lint: the build does not compile {unknown[0]}")
    return present


def header_filter(folders):
    """The expression that tells clang-tidy which headers to report on."""
    return "^" + re.escape(str(ROOT)) + "/(" + "|".join(re.escape(str(folder)) for folder in folders) + ")(/|$)"


def check(build, source, headers):
    """What clang-tidy finds in a source file and its headers: its exit code, and its words if it says any."""
    command = ["clang-tidy", "--quiet", "-p", str(build), f"--header-filter={headers}", str(ROOT / source)]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return done.returncode, done.stdout or (done.stderr if done.returncode else "")


def findings(text):
    """The findings in clang-tidy's output, each with the lines that explain it."""
    found = []
    for line in text.splitlines():
        if FINDING.match(line) or not found:
            found.append(line)
        else:
            found[-1] += "\n" + line
    return found


def main():
    if len(sys.argv) < 3:
        sys.exit("usage: lint.py BUILD FOLDER...")
    build = pathlib.Path(sys.argv[1]).resolve()
    folders = [pathlib.Path(word) for word in sys.argv[2:]]
    known = sources_of_build(build)
    sources = sorted(set().union(*(sources_in(folder, known) for folder in folders)))
    headers = header_filter(folders)
    failed, printed = [], set()
    with concurrent.futures.ThreadPoolExecutor(int(os.environ.get("JOBS", os.cpu_count()))) as pool:
        for source, (code, text) in zip(sources, pool.map(lambda source: check(build, source, headers), sources)):
            if code != 0:
                failed.append(source)
            for finding in findings(text):
                if finding not in printed:
                    print(finding, flush=True)
                printed.add(finding)
    print(f"lint: {len(sources)} source files, {len(failed)} with findings")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
