"""Tests that are known to fail for a real fault: `KNOWN-RED.txt` lists them, and the run prints them.

A line names the test's node id, the cause and the issue, separated by ` | `.  A listed test is run: it may fail,
and it must not pass.  More than `MOST_LINES` lines, or a line that names no test, end the run.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

LIST = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MAX_LINES = 3


class InvalidList(Exception):
    """The list cannot be used; the message says why."""


@dataclass(frozen=True)
class KnownRed:
    """A test that fails for a fault that has not been mended yet."""

    test: str
    cause: str
    issue: str


def parse_list(text: str) -> list[KnownRed]:
    """Read the list's lines; raises InvalidList for one that is malformed, and for too many."""
    found = []
    for line in text.splitlines():
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split(" | ")]
        if len(fields) != 3 or not all(fields):
            raise InvalidList(f"a line is 'test | cause | issue', not {line!r}")
        found.append(KnownRed(*fields))
    if len(found) > MAX_LINES:
        raise InvalidList(f"{len(found)} tests are listed, {MAX_LINES} at most may be")
    return found


def load_list(path: Path = LIST) -> list[KnownRed]:
    """The listed tests; none where there is no list."""
    return parse_list(path.read_text()) if path.exists() else []
