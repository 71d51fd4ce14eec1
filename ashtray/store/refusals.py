"""What follows from transactions that the state service refuses as too large.

The next transaction of the same purpose is made smaller, and what is refused by itself is set aside, so that it holds
up nothing else.
"""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass, replace

from ashtray.kernel import SECOND_US
from ashtray.store.limits import Limits

MIN_OPS = 2
"""The fewest writes to which refusals reduce a transaction: a job and the group in which it is placed."""
REFUSAL_RECOVERY_US = 60 * SECOND_US
"""How long after a refusal the full limits are tried again."""
MIN_PAUSE_US, MAX_PAUSE_US = SECOND_US, 60 * SECOND_US
"""How long an item that was refused by itself is set aside: the first time, and at most."""


class RefusalBackoff:
    """Reduces the limits for the transactions of a purpose after the state service has refused one of them.

    Each refusal halves them, so that the next transaction is a smaller one.  `REFUSAL_RECOVERY_US` after the last
    refusal the full limits are tried again.
    """

    def __init__(self) -> None:
        self._halvings: dict[str, tuple[int, int]] = {}
        """By purpose, how often the limits were halved, and when the last refusal was."""

    def note_refusal(self, purpose: str, now_us: int) -> None:
        """Note that a transaction of this purpose was refused as too large."""
        self._halvings[purpose] = (self._halvings_at(purpose, now_us) + 1, now_us)

    def reduced(self, limits: Limits, purpose: str, now_us: int) -> Limits:
        """Return the limits that the next transaction of this purpose has to keep."""
        halvings = self._halvings_at(purpose, now_us)
        if not halvings:
            return limits
        return replace(limits, ops=max(limits.ops >> halvings, MIN_OPS), txn_bytes=limits.txn_bytes >> halvings)

    def _halvings_at(self, purpose: str, now_us: int) -> int:
        halvings, refused_us = self._halvings.get(purpose, (0, 0))
        return halvings if now_us - refused_us < REFUSAL_RECOVERY_US else 0


@dataclass(frozen=True)
class Pause:
    """Until when an item is set aside, and how long that is in all; both in microseconds."""

    until_us: int
    length_us: int


class SetAside:
    """The items whose transactions were refused though they had them for themselves: jobs, or groups of machines.

    Each time an item is refused it is set aside for twice as long.
    """

    def __init__(self) -> None:
        self._pauses: dict[str, Pause] = {}

    def add(self, name: str, now_us: int) -> int:
        """Set an item aside; returns for how long, in microseconds."""
        before = self._pauses.get(name)
        length_us = MIN_PAUSE_US if before is None else min(2 * before.length_us, MAX_PAUSE_US)
        self._pauses[name] = Pause(now_us + length_us, length_us)
        return length_us

    def has(self, name: str, now_us: int) -> bool:
        """Return whether an item is set aside now."""
        pause = self._pauses.get(name)
        return pause is not None and now_us < pause.until_us

    def remove(self, name: str) -> None:
        """Forget that an item was refused, because it has been written."""
        self._pauses.pop(name, None)

    def keep_only(self, names: Container[str]) -> None:
        """Forget the items that are not in `names` any more."""
        self._pauses = {name: pause for name, pause in self._pauses.items() if name in names}
