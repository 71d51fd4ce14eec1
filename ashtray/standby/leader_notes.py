"""What a fleet leader has observed and tells its successors, so that they make better decisions.

The notes travel with the heartbeats to the first `SUCCESSORS` successors.  Each heartbeat has all notes, so a lost
one does no harm.  The notes tell which deleted machines an outdated list of the cloud may still show, which
kinds of machines the cloud has just refused, how long each kind takes to boot, and how long machines have been idle.
No check waits for them: a successor without notes, or with old ones, decides like a leader that has just started.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

SUCCESSORS = 2
"""The number of successors of the fleet leader that are sent its notes."""
MAX_ENTRIES = 200
"""The largest number of machines in each list of the notes, about 4 KB."""
MAX_NOTES_AGE_US = 20_000_000
"""The age beyond which notes are not used."""
Age = Annotated[int, msgspec.Meta(ge=0, le=10**15)]


class LeaderNotes(msgspec.Struct, omit_defaults=True):
    """The observations of a fleet leader; ages and pauses are in microseconds, relative to when it was sent."""

    term: int
    """The term of the writer: its notes tell nothing of later terms."""
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


def youngest_entries(ages: dict[str, int]) -> dict[str, int]:
    """Return the `MAX_ENTRIES` entries of the lowest age, or all if there are fewer."""
    if len(ages) <= MAX_ENTRIES:
        return ages
    return dict(sorted(ages.items(), key=lambda entry: entry[1])[:MAX_ENTRIES])
