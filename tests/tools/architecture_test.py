#!/usr/bin/env python3
"""docs/architecture.md agrees with the includes in src.

Its table `| folder | may include |` has a row for each folder of src and for main.cpp, the lowest first. A cell lists folders, or
single headers such as balancer/time.hpp; a folder may always include itself. The first class below tests the checker on small
trees made up for it, the last one checks the project's own.
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
    """The rows of the table: for each folder what it may include, in the order of the page."""
    lines = iter(page.splitlines())
    if not any(TABLE_HEAD.match(line) for line in lines):
        raise ValueError("no table '| folder | may include |'")
    rows = {}
    for line in lines:
        cells = [cell.strip().strip("`") for cell in line.strip().strip("|").split("|")]
        if not line.startswith("|"):
            break
        if len(cells) != 2:
            raise ValueError(f"a row has not two cells: {line}")
        if set(cells[0]) <= set("-: "):
            continue
        if cells[0] in rows:
            raise ValueError(f"two rows for {cells[0]}")
        rows[cells[0]] = [word.strip().strip("`") for word in cells[1].split(",") if word.strip()]
    return rows


def owner(path):
    """The row that a path below src belongs to: its folder, or the file's own name at the top."""
    return path.parts[0]


def files_in(source):
    """The headers and sources below src, as paths from there."""
    return sorted(path.relative_to(source) for path in source.rglob("*") if path.suffix in SUFFIXES)


def includes_of(source):
    """What each file below src includes of src itself, as pairs of paths from there."""
    files = files_in(source)
    folders = {owner(path) for path in files}
    for path in files:
        for bracket, named in INCLUDE.findall((source / path).read_text()):
            included = pathlib.PurePosixPath(named)
            if bracket == '"' or owner(included) in folders:
                yield path, included


def table_problems(rows, present):
    """A folder without a row, a row without a folder, and a row that allows an include upwards."""
    problems = [f"{folder} is not in the table" for folder in sorted(present - rows.keys())]
    problems += [f"the table has {folder}, src has not" for folder in sorted(rows.keys() - present)]
    lower = set()
    for folder, allowed in rows.items():
        problems += [f"{folder} may include {name}, which has no row above it" for name in allowed
                     if owner(pathlib.PurePosixPath(name)) not in lower]
        lower.add(folder)
    return problems


def problems_of(source, page):
    """Everything in which the tree at `source` and the page's table disagree, a sentence each."""
    rows = read_table(page)
    problems = table_problems(rows, {owner(path) for path in files_in(source)})
    used = {folder: set() for folder in rows}
    for path, included in includes_of(source):
        folder = owner(path)
        if not (source / included).is_file():
            problems.append(f"{path} includes {included}, which is not in src")
            continue
        target = owner(included)
        if target == folder or folder not in rows:
            continue
        grant = next((name for name in (str(included), target) if name in rows[folder]), None)
        if grant is None:
            problems.append(f"{path} includes {included}; {folder} may not include {target}")
        else:
            used[folder].add(grant)
    for folder, allowed in rows.items():
        problems += [f"{folder} may include {name}, and nothing there does" for name in allowed if name not in used[folder]]
    return problems


class TheChecker(unittest.TestCase):
    TABLE = "# Page\n\n| folder | may include |\n| --- | --- |\n| low | |\n| high | low |\n| main.cpp | `high` |\n\nText.\n"
    TREE = {
        "low/one.hpp": "#include <vector>\n",
        "low/one.cpp": '#include "low/one.hpp"\n',
        "high/two.hpp": '#include "low/one.hpp"\n',
        "main.cpp": '#include "high/two.hpp"\n',
    }

    def problems(self, changed=None, table=TABLE):
        """What the checker says of the sound tree with these files changed or, where the text is None, taken out."""
        with tempfile.TemporaryDirectory() as folder:
            for name, text in (self.TREE | (changed or {})).items():
                if text is not None:
                    path = pathlib.Path(folder, name)
                    path.parent.mkdir(exist_ok=True)
                    path.write_text(text)
            return problems_of(pathlib.Path(folder), table)

    def test_a_tree_that_agrees_has_no_problem(self):
        self.assertEqual(self.problems(), [])

    def test_an_include_upwards_is_a_problem(self):
        found = self.problems({"low/one.cpp": '#include "low/one.hpp"\n  #  include "high/two.hpp"\n'})
        self.assertEqual(found, ["low/one.cpp includes high/two.hpp; low may not include high"])

    def test_angle_brackets_hide_no_include(self):
        found = self.problems({"low/one.hpp": "#include <high/two.hpp>\n"})
        self.assertEqual(found, ["low/one.hpp includes high/two.hpp; low may not include high"])

    def test_an_include_past_the_row_is_a_problem(self):
        found = self.problems({"main.cpp": '#include "high/two.hpp"\n#include "low/one.hpp"\n'})
        self.assertEqual(found, ["main.cpp includes low/one.hpp; main.cpp may not include low"])

    def test_a_row_that_allows_an_include_upwards_is_a_problem(self):
        found = self.problems({"low/one.cpp": '#include "high/two.hpp"\n'}, self.TABLE.replace("| low | |", "| low | high |"))
        self.assertEqual(found, ["low may include high, which has no row above it"])

    def test_a_folder_without_a_row_is_a_problem(self):
        self.assertEqual(self.problems({"other/three.cpp": ""}), ["other is not in the table"])

    def test_a_row_without_a_folder_is_a_problem(self):
        found = self.problems(table=self.TABLE.replace("| high |", "| middle | |\n| high |"))
        self.assertEqual(found, ["the table has middle, src has not"])

    def test_a_row_that_is_too_wide_is_a_problem(self):
        found = self.problems({"high/two.hpp": ""})
        self.assertEqual(found, ["high may include low, and nothing there does"])

    def test_a_single_header_may_be_allowed(self):
        table = self.TABLE.replace("| high | low |", "| high | low/one.hpp |")
        self.assertEqual(self.problems(table=table), [])
        found = self.problems({"low/other.hpp": "", "high/two.cpp": '#include "low/other.hpp"\n'}, table)
        self.assertEqual(found, ["high/two.cpp includes low/other.hpp; high may not include low"])

    def test_an_include_of_a_missing_file_is_a_problem(self):
        found = self.problems({"low/one.cpp": '#include "one.hpp"\n'})
        self.assertEqual(found, ["low/one.cpp includes one.hpp, which is not in src"])

    def test_a_page_without_the_table_is_an_error(self):
        with self.assertRaisesRegex(ValueError, "no table"):
            self.problems(table="# Page\n")

    def test_two_rows_for_one_folder_are_an_error(self):
        with self.assertRaisesRegex(ValueError, "two rows for low"):
            self.problems(table=self.TABLE.replace("| low | |", "| low | |\n| low | |"))


class TheProject(unittest.TestCase):
    def test_the_page_agrees_with_the_includes(self):
        found = problems_of(ROOT / "src", (ROOT / "docs" / "architecture.md").read_text())
        self.assertEqual(found, [], "docs/architecture.md and src disagree:\n" + "\n".join(found))


if __name__ == "__main__":
    unittest.main()
