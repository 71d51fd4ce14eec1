"""Compares `docs/meetings.md` with the code: the faults, tests and days of each combination of faults exist."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

from tests import meeting_model, nights

ROOT = Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "meetings.md").read_text()
SECTIONS = {"Meetings of two troubles": 26, "Meetings asked for by name": 7, "Troubles of the bench": 13}
"""The headings of the page's tables, and how many rows each must have."""
STANDARD_DAYS = {"busy", "restart", "zone", "apart", "loss", "gap"}
"""Days that the users supply: no file of this repository defines them."""
LEFT = "left:"
"""The beginning of a cell that says why something is still to be done."""


def rows(title: str) -> list[list[str]]:
    """Return the cells of the table under a heading, without the table's header."""
    text = PAGE.split(f"## {title}\n", 1)[1].split("\n## ", 1)[0]
    lines = [line for line in text.splitlines() if line.startswith("|")]
    return [[cell.strip() for cell in line.strip("|").split(" | ")] for line in lines[2:]]


def quoted(cell: str) -> list[str]:
    """Return the names in backquotes."""
    return re.findall(r"`([^`]+)`", cell)


ROWS = [(title, row) for title in SECTIONS for row in rows(title)]
IDS = [f"{title.split()[-1]}-{row[0]}" for title, row in ROWS]


@pytest.mark.parametrize("title", SECTIONS)
def test_each_table_has_a_numbered_row_for_each_meeting(title: str) -> None:
    assert [row[0] for row in rows(title)] == [str(n + 1) for n in range(SECTIONS[title])]
    assert {len(row) for row in rows(title)} == {5}


@pytest.mark.parametrize(("title", "row"), ROWS, ids=IDS)
def test_no_cell_is_empty(title: str, row: list[str]) -> None:
    for cell in row[2:]:
        assert quoted(cell) or cell.startswith(LEFT), cell


@pytest.mark.parametrize(("title", "row"), ROWS, ids=IDS)
def test_the_troubles_are_those_of_the_model(title: str, row: list[str]) -> None:
    known = {*dir(meeting_model.Meeting), *dir(nights)}
    assert [name for name in quoted(row[2]) if name not in known] == []


@pytest.mark.parametrize(("title", "row"), ROWS, ids=IDS)
def test_the_tests_exist(title: str, row: list[str]) -> None:
    for name in quoted(row[3]):
        module, _, test = name.partition("::")
        tree = ast.parse((ROOT / "tests" / f"{module}.py").read_text())
        assert test in {node.name for node in ast.walk(tree) if isinstance(node, ast.FunctionDef)}, name


@pytest.mark.parametrize(("title", "row"), ROWS, ids=IDS)
def test_the_days_exist(title: str, row: list[str]) -> None:
    own = {path.stem for path in (ROOT / "tools" / "days").glob("*.toml")}
    assert [name for name in quoted(row[4]) if name not in own | STANDARD_DAYS] == []
