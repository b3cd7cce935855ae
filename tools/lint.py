#!/usr/bin/env python3
"""Runs clang-tidy on folders of the source tree and prints only its findings: lint.py BUILD FOLDER...

BUILD is a configured build folder with a compile_commands.json; a FOLDER may also be a file. Every source file in the
folders is checked with the checks of .clang-tidy, in as many parallel jobs as there are processors (or as the environment
variable JOBS says). Findings in headers are reported if the header is in one of the folders. The run fails on any
finding, on a source file that clang-tidy cannot read or that the build does not compile, and on a folder without sources.
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
    """The source files that the build compiles, as paths relative to the root."""
    commands = json.loads((build / "compile_commands.json").read_text())
    files = {pathlib.Path(command["directory"], command["file"]).resolve() for command in commands}
    return sorted(file.relative_to(ROOT) for file in files if file.is_relative_to(ROOT))


def is_within(path, folder):
    """Whether the path is the folder or is inside it."""
    return path == folder or folder in path.parents


def sources_in(folder, known):
    """The source files in a folder; exits if there are none or if the build does not compile one of them."""
    present = {path.relative_to(ROOT) for path in (ROOT / folder).rglob("*.cpp")}
    if (ROOT / folder).is_file():
        present = {folder}
    if not present:
        sys.exit(f"lint: no source file in {folder}")
    if unknown := sorted(present - set(known)):
        sys.exit(f"lint: the build does not compile {unknown[0]}")
    return present


def header_filter(folders):
    """The regular expression for clang-tidy's --header-filter that matches headers in the folders."""
    return "^" + re.escape(str(ROOT)) + "/(" + "|".join(re.escape(str(folder)) for folder in folders) + ")(/|$)"


def check(build, source, headers):
    """Runs clang-tidy on a source file; returns its exit code and its output (or its error output on failure)."""
    command = ["clang-tidy", "--quiet", "-p", str(build), f"--header-filter={headers}", str(ROOT / source)]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    return result.returncode, result.stdout or (result.stderr if result.returncode else "")


def findings(text):
    """Splits clang-tidy's output into findings, each with its explanatory lines."""
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
