"""What a runner has learnt and its heirs should know: sense, not truth.

It is told on the peers' word to the first `HEIRS` heirs, whole each time, so that none can be missed: a deleted
machine that a late list still shows, a kind of machine that the cloud has just refused, how long each kind takes to
boot, how long a machine has stood idle.  An heir that has none, or an old one, decides no worse than a runner that
has just begun: no check waits for it.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

SUCCESSORS = 2
MOST = 200
"""Machines told of in each list: about 4 KB."""
OLD_US = 20_000_000
"""A book that is older is not used."""
Age = Annotated[int, msgspec.Meta(ge=0, le=10**15)]


class Book(msgspec.Struct, omit_defaults=True):
    """Ages and pauses are in microseconds before and after the moment at which the word was sent."""

    term: int
    """The term of its writer: a book of another one says nothing of what came after."""
    gone: dict[str, Age] = {}
    """Machines that were deleted, and how long ago."""
    idle: dict[str, Age] = {}
    """For how long machines have stood idle."""
    blocked: list[tuple[str, str, bool, Age, Age]] = []
    """Kinds that the cloud refused: for how much longer not to ask, and how often it was."""
    boots: list[tuple[str, str, bool, Annotated[float, msgspec.Meta(gt=0, le=100)]]] = []
    """How many times the catalogue's boot time each kind takes."""
    silent: dict[str, Age] = {}
    """For how long nobody has heard machines that have missed some reports."""


def latest(ages: dict[str, int]) -> dict[str, int]:
    """The youngest `MOST` of them."""
    if len(ages) <= MOST:
        return ages
    return dict(sorted(ages.items(), key=lambda entry: entry[1])[:MOST])
