"""Statements of cancellations between controllers, which keep workers' leases renewable in an outage.

A controller that cannot read the state service does not know which jobs its peers have since confirmed as cancelled.
Only controllers confirm cancellations, so statements of all peers can replace a read.  If every peer states, after a
moment T, all cancellations that it knows beyond revision N, then a controller that has read up to N and has all these
statements knows each cancellation that any user was told of before T (`docs/design.md`, point 5).

A statement is complete if its sender has followed every write since a revision that is not above N.  A controller
that started, or read all records again, at a later revision does not know what happened in between, so it gives no
statement.
"""

from __future__ import annotations

from collections import deque
from typing import Annotated

import msgspec

MAX_ENTRIES = 1_000
"""Cancellations that are remembered: those of more than a minute, if the whole write budget goes into them."""
Revision = Annotated[int, msgspec.Meta(ge=0)]


class CancellationStatement(msgspec.Struct, omit_defaults=True):
    """The answer to a peer's heartbeat, which names a revision.

    It lists the jobs that its sender knows to have been cancelled beyond that revision.
    """

    complete: bool = False
    """Whether the sender knows every cancellation beyond that revision that it may have told a user of."""
    cancelled: list[str] = []
    """Job ids; meaningful only if the statement is complete."""


class CancellationLog:
    """The latest cancellations that this controller has seen, each with its revision."""

    def __init__(self) -> None:
        self._entries: deque[tuple[int, str]] = deque()
        self._dropped_revision = 0
        """The highest revision of the entries that were dropped to keep `MAX_ENTRIES`."""

    def note(self, revision: int, job_id: str) -> None:
        """Remember that the write of `revision` cancelled a job."""
        self._entries.append((revision, job_id))
        if len(self._entries) > MAX_ENTRIES:
            dropped, _ = self._entries.popleft()
            self._dropped_revision = max(self._dropped_revision, dropped)

    def statement(self, followed_from: int | None, beyond: int | None) -> CancellationStatement:
        """Return what to tell a peer that has read up to revision `beyond`.

        This controller has followed every write since revision `followed_from`; None means that it has not read the
        records yet.
        The statement is not complete if a cancellation beyond `beyond` may be missing.
        """
        if followed_from is None or beyond is None:
            return CancellationStatement()
        if max(followed_from, self._dropped_revision) > beyond:
            return CancellationStatement()
        cancelled = [job_id for revision, job_id in self._entries if revision > beyond]
        return CancellationStatement(complete=True, cancelled=cancelled)
