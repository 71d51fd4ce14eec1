"""What is checked before the first decision of a duty that was taken over: one small state machine.

Each check has a name, a reason and, once passed, the time that it took.  No first decision misses one: the duty's
owner asks `ready` before each decision, and a halt or a lost term sets all of them back.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ashtray.kernel import SECOND_US


class Check(Enum):
    """The checks, in the order in which they are made, with the reason for each."""

    TERM = "the duty's key is this controller's, under a lease that is surely there"
    READ = "the cluster state was read after the duty was taken: what the former committed last is in it"
    AWAKE = "this process has not stood still since: it would decide on what is past"
    INTENTS = "what the former had written down to rent is repeated under its names, so nothing is rented twice"
    LIST = "the cloud's list was read since: it shows what nobody wrote down"


@dataclass
class Takeover:
    """The taking of one duty under one term."""

    began_us: int
    passed: dict[Check, int] = field(default_factory=dict)
    """For each check that is passed, when."""
    decided: bool = False
    """The first decision was made."""

    def ok(self, check: Check, now_us: int) -> None:
        """A check has passed; the first time counts."""
        self.passed.setdefault(check, now_us)

    def missing(self, check: Check) -> bool:
        """Whether a check has not passed yet."""
        return check not in self.passed

    def ready(self) -> bool:
        """Whether all checks have passed."""
        return all(check in self.passed for check in Check)

    def again(self, now_us: int) -> None:
        """The process stood still: all that was checked is past."""
        self.began_us = now_us
        self.passed.clear()

    def stages(self) -> str:
        """How long each check took, for the log."""
        parts, last = [], self.began_us
        for check, at_us in sorted(self.passed.items(), key=lambda entry: entry[1]):
            parts.append(f"{check.name.lower()} {(at_us - last) / SECOND_US:.2f}")
            last = at_us
        return ", ".join(parts)
