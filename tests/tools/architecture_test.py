#!/usr/bin/env python3
"""Checks that docs/architecture.md agrees with the includes in src.

The page's table `| folder | may include |` has a row for each folder of src and for main.cpp, the lowest layer first.
A cell lists folders or single headers such as balancer/time.hpp; a folder may always include itself. CheckerTest tests
the checker on small made-up trees, ProjectTest applies it to the project.
"""
import pathlib
import re
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TABLE_HEAD = re.compile(r"^\|\s*folder\s*\|\s*may include\s*\|\s*$")
INCLUDE = re.compile(r'^\s*#\s*include\s*(["<])([^">]+)[">]', re.MULTILINE)
SUFFIXES = (".cpp", ".hpp", ".h")


def read_table(page):
    """The table's rows in the order of the page: each folder with the list of what it may include."""
    lines = iter(page.splitlines())
    if not any(TABLE_HEAD.match(line) for line in lines):
        raise ValueError("no table '| folder | may include |'")
    rows = {}
    for line in lines:
        cells = [cell.strip().strip("`") for cell in line.strip().strip("|").split("|")]
        if not line.startswith("|"):
            break
        if len(cells) != 2:
            raise ValueError(f"a row does not have two cells: {line}")
        if set(cells[0]) <= set("-: "):
            continue
        if cells[0] in rows:
            raise ValueError(f"two rows for {cells[0]}")
        rows[cells[0]] = [word.strip().strip("`") for word in cells[1].split(",") if word.strip()]
    return rows


def row_name(path):
    """The row for a path relative to src: its top-level folder, or the name of a file directly in src."""
    return path.parts[0]


def files_in(source):
    """The headers and sources in src, as paths relative to src."""
    return sorted(path.relative_to(source) for path in source.rglob("*") if path.suffix in SUFFIXES)


def includes_of(source):
    """Yields each include of a file of src by another, as pairs of paths relative to src."""
    files = files_in(source)
    folders = {row_name(path) for path in files}
    for path in files:
        for bracket, named in INCLUDE.findall((source / path).read_text()):
            included = pathlib.PurePosixPath(named)
            if bracket == '"' or row_name(included) in folders:
                yield path, included


def table_problems(rows, present):
    """Reports folders without a row, rows without a folder, and rows that allow including a higher layer."""
    problems = [f"{folder} is not in the table" for folder in sorted(present - rows.keys())]
    problems += [f"the table has {folder}, src does not" for folder in sorted(rows.keys() - present)]
    lower = set()
    for folder, allowed in rows.items():
        problems += [f"{folder} may include {name}, which has no row above it" for name in allowed
                     if row_name(pathlib.PurePosixPath(name)) not in lower]
        lower.add(folder)
    return problems


def problems_of(source, page):
    """All disagreements between the tree at `source` and the page's table, a sentence each."""
    rows = read_table(page)
    problems = table_problems(rows, {row_name(path) for path in files_in(source)})
    used = {folder: set() for folder in rows}
    for path, included in includes_of(source):
        folder = row_name(path)
        if not (source / included).is_file():
            problems.append(f"{path} includes {included}, which is not in src")
            continue
        target = row_name(included)
        if target == folder or folder not in rows:
            continue
        allowed_by = next((name for name in (str(included), target) if name in rows[folder]), None)
        if allowed_by is None:
            problems.append(f"{path} includes {included}; {folder} may not include {target}")
        else:
            used[folder].add(allowed_by)
    for folder, allowed in rows.items():
        problems += [f"{folder} may include {name}, and nothing there does" for name in allowed if name not in used[folder]]
    return problems


class CheckerTest(unittest.TestCase):
    TABLE = "# Page\n\n| folder | may include |\n| --- | --- |\n| low | |\n| high | low |\n| main.cpp | `high` |\n\nText.\n"
    TREE = {
        "low/one.hpp": "#include <vector>\n",
        "low/one.cpp": '#include "low/one.hpp"\n',
        "high/two.hpp": '#include "low/one.hpp"\n',
        "main.cpp": '#include "high/two.hpp"\n',
    }

    def problems(self, changed=None, table=TABLE):
        """The problems of TREE with these files changed, or removed where the text is None."""
        with tempfile.TemporaryDirectory() as folder:
            for name, text in (self.TREE | (changed or {})).items():
                if text is not None:
                    path = pathlib.Path(folder, name)
                    path.parent.mkdir(exist_ok=True)
                    path.write_text(text)
            return problems_of(pathlib.Path(folder), table)

    def test_accepts_a_tree_that_agrees_with_the_table(self):
        self.assertEqual(self.problems(), [])

    def test_reports_an_include_of_a_higher_layer(self):
        found = self.problems({"low/one.cpp": '#include "low/one.hpp"\n  #  include "high/two.hpp"\n'})
        self.assertEqual(found, ["low/one.cpp includes high/two.hpp; low may not include high"])

    def test_reports_an_include_in_angle_brackets(self):
        found = self.problems({"low/one.hpp": "#include <high/two.hpp>\n"})
        self.assertEqual(found, ["low/one.hpp includes high/two.hpp; low may not include high"])

    def test_reports_an_include_that_the_row_does_not_list(self):
        found = self.problems({"main.cpp": '#include "high/two.hpp"\n#include "low/one.hpp"\n'})
        self.assertEqual(found, ["main.cpp includes low/one.hpp; main.cpp may not include low"])

    def test_reports_a_row_that_allows_a_higher_layer(self):
        found = self.problems({"low/one.cpp": '#include "high/two.hpp"\n'}, self.TABLE.replace("| low | |", "| low | high |"))
        self.assertEqual(found, ["low may include high, which has no row above it"])

    def test_reports_a_folder_without_a_row(self):
        self.assertEqual(self.problems({"other/three.cpp": ""}), ["other is not in the table"])

    def test_reports_a_row_without_a_folder(self):
        found = self.problems(table=self.TABLE.replace("| high |", "| middle | |\n| high |"))
        self.assertEqual(found, ["the table has middle, src does not"])

    def test_reports_an_unused_permission(self):
        found = self.problems({"high/two.hpp": ""})
        self.assertEqual(found, ["high may include low, and nothing there does"])

    def test_accepts_a_row_that_allows_a_single_header(self):
        table = self.TABLE.replace("| high | low |", "| high | low/one.hpp |")
        self.assertEqual(self.problems(table=table), [])
        found = self.problems({"low/other.hpp": "", "high/two.cpp": '#include "low/other.hpp"\n'}, table)
        self.assertEqual(found, ["high/two.cpp includes low/other.hpp; high may not include low"])

    def test_reports_an_include_of_a_missing_file(self):
        found = self.problems({"low/one.cpp": '#include "one.hpp"\n'})
        self.assertEqual(found, ["low/one.cpp includes one.hpp, which is not in src"])

    def test_rejects_a_page_without_the_table(self):
        with self.assertRaisesRegex(ValueError, "no table"):
            self.problems(table="# Page\n")

    def test_rejects_two_rows_for_a_folder(self):
        with self.assertRaisesRegex(ValueError, "two rows for low"):
            self.problems(table=self.TABLE.replace("| low | |", "| low | |\n| low | |"))


class ProjectTest(unittest.TestCase):
    def test_page_agrees_with_includes(self):
        found = problems_of(ROOT / "src", (ROOT / "docs" / "architecture.md").read_text())
        self.assertEqual(found, [], "docs/architecture.md and src disagree:\n" + "\n".join(found))


if __name__ == "__main__":
    unittest.main()
