"""What controllers tell one another of cancellations, so that leases need not run out in an outage.

A controller that cannot read the state service does not know which jobs other controllers have since confirmed as
cancelled.  But only controllers confirm cancellations, so their word is as good as a read: if every other controller
states, after a moment T, all cancellations that it knows beyond revision N, then whoever has read up to N and has all
these statements knows each cancellation that any user was told of before T (`docs/design.md`, point 5).

A statement is complete if its sender has followed every change since a revision that is not above N.  One that
started, or read the state anew, at a later revision cannot say what happened in between, and gives no statement.
"""

from __future__ import annotations

from collections import deque
from typing import Annotated

import msgspec

MOST_ENTRIES = 1_000
"""Cancellations that are remembered: more than a minute's worth at a full rate of changes."""
Revision = Annotated[int, msgspec.Meta(ge=0)]


class CancellationStatement(msgspec.Struct, omit_defaults=True):
    """The answer to a peer's word: the cancelled jobs that its receiver knows beyond the revision that was named."""

    complete: bool = False
    """Whether the sender has seen every cancellation beyond that revision that it may have told a user of."""
    cancelled: list[str] = []
    """Job ids; meaningful only where the statement is complete."""


class CancellationLog:
    """The cancellations that this controller has seen, with the revision that made each."""

    def __init__(self) -> None:
        self._entries: deque[tuple[int, str]] = deque()
        self._dropped_revision = 0
        """The highest revision of an entry that there was no room for."""

    def note(self, revision: int, job_id: str) -> None:
        """Remember that a change of `revision` cancelled a job."""
        self._entries.append((revision, job_id))
        if len(self._entries) > MOST_ENTRIES:
            dropped, _ = self._entries.popleft()
            self._dropped_revision = max(self._dropped_revision, dropped)

    def statement(self, followed_from: int | None, beyond: int | None) -> CancellationStatement:
        """What to tell a peer that has read up to revision `beyond`.

        `followed_from` is the revision from which on this controller has followed every change; None: it has not read
        the state yet.
        """
        if followed_from is None or beyond is None:
            return CancellationStatement()
        if max(followed_from, self._dropped_revision) > beyond:
            return CancellationStatement()
        cancelled = [job_id for revision, job_id in self._entries if revision > beyond]
        return CancellationStatement(complete=True, cancelled=cancelled)
