#!/usr/bin/env python3
"""Tests tools/lint.py on a small source tree, with a script that stands in for clang-tidy."""
import json
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import unittest

LINT = pathlib.Path(__file__).resolve().parent.parent.parent / "tools" / "lint.py"
# Stands in for clang-tidy: prints the source file with `@` replaced by the root, and fails unless the file is empty.
FAKE_CLANG_TIDY = """#!/bin/sh
for source; do :; done
echo "$@" >>"$ROOT/calls"
sed "s|@|$ROOT|" "$source"
! grep -q . "$source"
"""
FINDING = "@/src/low/one.hpp:3:1: error: a fault [some-check,-warnings-as-errors]\nint x;\n^\n"


class LintTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name).resolve()
        self.write("bin/clang-tidy", FAKE_CLANG_TIDY).chmod(0o755)
        (self.root / "tools").mkdir()
        shutil.copy(LINT, self.root / "tools")

    def write(self, name, text):
        path = self.root / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
        return path

    def lint(self, sources, *folders, built=None):
        """Lints `folders` of a tree with these sources. The build compiles those named in `built`, by default all."""
        for name, text in sources.items():
            self.write(name, text)
        commands = [{"directory": str(self.root), "file": name} for name in (sources if built is None else built)]
        self.write("build/compile_commands.json", json.dumps(commands))
        environment = os.environ | {"PATH": f"{self.root}/bin:{os.environ['PATH']}", "ROOT": str(self.root)}
        command = [sys.executable, self.root / "tools" / "lint.py", self.root / "build", *folders]
        result = subprocess.run(command, capture_output=True, text=True, env=environment, check=False)
        return result.returncode, result.stdout + result.stderr

    def test_passes_without_findings(self):
        code, text = self.lint({"src/low/one.cpp": "", "src/high/two.cpp": ""}, "src")
        self.assertEqual((code, text), (0, "lint: 2 source files, 0 with findings\n"))

    def test_prints_a_finding_and_fails(self):
        code, text = self.lint({"src/low/one.cpp": FINDING, "src/low/two.cpp": ""}, "src/low")
        self.assertEqual(code, 1)
        self.assertIn("one.hpp:3:1: error: a fault", text)
        self.assertIn("lint: 2 source files, 1 with findings", text)

    def test_prints_a_finding_in_a_shared_header_once(self):
        code, text = self.lint({"src/low/one.cpp": FINDING, "src/low/two.cpp": FINDING}, "src")
        self.assertEqual(code, 1)
        self.assertEqual(text.count("a fault"), 1)

    def test_fails_when_clang_tidy_fails_without_a_finding(self):
        code, text = self.lint({"src/low/one.cpp": "it could not read this\n"}, "src")
        self.assertEqual(code, 1)
        self.assertIn("it could not read this", text)

    def test_lints_only_the_named_folders(self):
        code, _ = self.lint({"src/low/one.cpp": "", "src/high/two.cpp": FINDING}, "src/low")
        self.assertEqual(code, 0)
        self.assertNotIn("two.cpp", (self.root / "calls").read_text())

    def test_reports_headers_of_the_named_folders_only(self):
        self.lint({"src/low/one.cpp": ""}, "src/low")
        self.assertIn(f"--header-filter=^{self.root}/(src/low)(/|$)", (self.root / "calls").read_text().replace("\\", ""))

    def test_accepts_a_file_in_place_of_a_folder(self):
        code, text = self.lint({"src/low/one.cpp": "", "src/low/two.cpp": FINDING}, "src/low/one.cpp")
        self.assertEqual((code, text), (0, "lint: 1 source files, 0 with findings\n"))

    def test_fails_on_a_source_outside_the_build(self):
        code, text = self.lint({"src/low/one.cpp": "", "src/low/two.cpp": ""}, "src", built=["src/low/one.cpp"])
        self.assertNotEqual(code, 0)
        self.assertIn("the build does not compile src/low/two.cpp", text)

    def test_fails_on_a_folder_without_sources(self):
        code, text = self.lint({"src/low/one.cpp": ""}, "src/middle")
        self.assertNotEqual(code, 0)
        self.assertIn("no source file in src/middle", text)


if __name__ == "__main__":
    unittest.main()
