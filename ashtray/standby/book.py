"""What a fleet leader has observed and tells its successors, so that they make better decisions.

The book travels with the heartbeats to the first `SUCCESSORS` successors.  Each heartbeat has the whole book, so a
lost one does no harm.  The book tells which deleted machines an outdated list of the cloud may still show, which
kinds of machines the cloud has just refused, how long each kind takes to boot, and how long machines have been idle.
No check waits for it: a successor without a book, or with an old one, decides like a leader that has just started.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

SUCCESSORS = 2
"""The number of successors of the fleet leader that are sent its book."""
MAX_ENTRIES = 200
"""The largest number of machines in each list of a book, about 4 KB."""
OLD_US = 20_000_000
"""The age beyond which a book is not used."""
Age = Annotated[int, msgspec.Meta(ge=0, le=10**15)]


class Book(msgspec.Struct, omit_defaults=True):
    """The observations of a fleet leader; ages and pauses are in microseconds, relative to when it was sent."""

    term: int
    """The term of the writer: a book tells nothing of later terms."""
    gone: dict[str, Age] = {}
    """The deleted machines, and how long ago each was deleted."""
    idle: dict[str, Age] = {}
    """How long each idle machine has been idle."""
    blocked: list[tuple[str, str, bool, Age, Age]] = []
    """Kinds of machines that the cloud refused: type, zone, spot, how much longer not to request it, and how often it
    was refused."""
    boots: list[tuple[str, str, bool, Annotated[float, msgspec.Meta(gt=0, le=100)]]] = []
    """Kinds of machines (type, zone, spot) and the ratio of their boot time to that of the catalogue."""
    silent: dict[str, Age] = {}
    """Machines that have missed some reports, and how long ago any controller last heard each."""


def latest(ages: dict[str, int]) -> dict[str, int]:
    """Return the `MAX_ENTRIES` entries of the lowest age, or all if there are fewer."""
    if len(ages) <= MAX_ENTRIES:
        return ages
    return dict(sorted(ages.items(), key=lambda entry: entry[1])[:MAX_ENTRIES])
