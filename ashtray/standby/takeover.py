"""The checks before the first decision after the takeover of a duty: a small state machine.

Each check has a name, a reason and, once it has passed, a duration.  The owner of the duty calls `ready` before each
decision, so that no check is skipped.  A pause of the process or the loss of the term resets all checks.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ashtray.kernel import SECOND_US


class Check(Enum):
    """The checks, each with its reason."""

    TERM = "this controller owns the key of the duty, under a lease that is certain to be held"
    READ = "the cluster state was read after the takeover, so it has the last commits of the predecessor"
    AWAKE = "this process has not been paused since the takeover, so its data is not outdated"
    INTENTS = "the predecessor's open rental requests were repeated under their names, so nothing is rented twice"
    LIST = "the cloud's list was read after the takeover: it shows machines without a recorded intent"


@dataclass
class Takeover:
    """The state of the takeover of one duty under one term."""

    began_us: int
    passed: dict[Check, int] = field(default_factory=dict)
    """When each passed check passed, in microseconds."""
    decided: bool = False
    """Whether the first decision has been made."""

    def pass_check(self, check: Check, now_us: int) -> None:
        """Note that a check has passed; only the first time is kept."""
        self.passed.setdefault(check, now_us)

    def missing(self, check: Check) -> bool:
        """Whether a check has not passed yet."""
        return check not in self.passed

    def ready(self) -> bool:
        """Whether all checks have passed."""
        return all(check in self.passed for check in Check)

    def restart(self, now_us: int) -> None:
        """Reset all checks, because the process was paused or the term was lost."""
        self.began_us = now_us
        self.passed.clear()

    def stages(self) -> str:
        """Return the duration of each check in seconds, for the log."""
        parts, last = [], self.began_us
        for check, at_us in sorted(self.passed.items(), key=lambda entry: entry[1]):
            parts.append(f"{check.name.lower()} {(at_us - last) / SECOND_US:.2f}")
            last = at_us
        return ", ".join(parts)
