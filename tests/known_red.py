"""Reads `KNOWN-RED.txt`, the list of tests that are known to fail because of a real fault.

A line holds the test's node id, the cause and the issue, separated by ` | `.  Listed tests are run and must fail; the
test run prints their names.  More than `MAX_TESTS` tests, or a line that names no existing test, end the test run.

A line may also hold a script of `review/` in place of a test.  These are run by hand, not by the test run, and their
number is not limited.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

LIST = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
MAX_TESTS = 3
REVIEW_SCRIPTS = "review/"


class InvalidList(Exception):
    """The list is invalid; the message says why."""


@dataclass(frozen=True)
class KnownRed:
    """A test that fails because of a fault that is not fixed yet."""

    test: str
    cause: str
    issue: str


def parse_list(text: str) -> list[KnownRed]:
    """Parse the list; raises `InvalidList` for a malformed line and for too many tests."""
    found = []
    for line in text.splitlines():
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split(" | ")]
        if len(fields) != 3 or not all(fields):
            raise InvalidList(f"expected a line 'test | cause | issue', got {line!r}")
        found.append(KnownRed(*fields))
    tests = [entry for entry in found if not entry.test.startswith(REVIEW_SCRIPTS)]
    if len(tests) > MAX_TESTS:
        raise InvalidList(f"{len(tests)} tests are listed; the limit is {MAX_TESTS}")
    return found


def load_list(path: Path = LIST) -> list[KnownRed]:
    """Return the listed tests; an empty list if the file does not exist."""
    return parse_list(path.read_text()) if path.exists() else []
