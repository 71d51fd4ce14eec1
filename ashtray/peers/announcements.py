"""Tells all peers of a cancellation before its user is told, so that none of them starts a task of the job any more.

Peers read of a cancellation with their next look at the state service, some tenths of a second later.  Until then one
of them may start a task on its cluster state of before.  A start order of it, or of this controller, may also be
on its way to a worker: each controller makes those void that get no answer, and answers when that is done.  No
rule rests on
this message: where a peer does not answer, the user is told all the same, and the peer reads of the cancellation.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Annotated, Any

import msgspec

from ashtray.kernel import Call, Fiber, Kernel, Reply, Signal, Sleep, Wait

PATH = "/peer/cancelled"
BATCH_US = 3_000
"""Cancellations that come within this time share a message."""
PATIENCE_US = 300_000
"""A user waits no longer than this for the peers' answers."""


class CancellationNotice(msgspec.Struct):
    """The message to a peer: these jobs' cancellations have been committed."""

    cancelled: list[Annotated[str, msgspec.Meta(max_length=100)]]


class CancellationReceipt(msgspec.Struct, omit_defaults=True):
    """A peer's answer to a notice."""

    settled: list[str] = []
    """The machines that report to the peer and can't start a task of these jobs any more."""


@dataclass
class _Batch:
    """Cancellations that go out together."""

    job_ids: list[str] = field(default_factory=list)
    unanswered: int = 0
    settled: set[str] = field(default_factory=set)
    """The machines that a controller answers for."""
    answered: Signal = field(default_factory=Signal)
    """Fired when all peers have answered or failed to."""


class CancellationAnnouncer:
    """Sends committed cancellations to all peers, those of one moment in one message to each."""

    def __init__(
        self,
        kernel: Kernel,
        addresses: Iterable[str],
        settle: Callable[[list[str]], Fiber[list[str]]] | None = None,
        void_elsewhere: Callable[[str, set[str]], Fiber[None]] | None = None,
    ) -> None:
        """`settle` returns, soon in any case, once no worker that reports here can start tasks of cancelled jobs.

        `void_elsewhere` does what it can for the machines that no controller answers for.
        """
        self._kernel = kernel
        self._addresses = list(addresses)
        self._settle = settle
        self._void_elsewhere = void_elsewhere
        self._open: _Batch | None = None

    def announce(self, job_id: str) -> Fiber[None]:
        """Tell all peers that a job's cancellation is committed; returns once they know, or soon after `PATIENCE_US`.

        By then no start of its tasks is on its way from this controller, or from a peer that has answered.
        """
        if self._open is None:
            self._open = _Batch()
            self._kernel.spawn(self._send(self._open))
        batch = self._open
        batch.job_ids.append(job_id)
        yield Wait(batch.answered, BATCH_US + PATIENCE_US)
        if self._void_elsewhere is not None:
            yield from self._void_elsewhere(job_id, batch.settled)

    def _send(self, batch: _Batch) -> Fiber[None]:
        yield Sleep(BATCH_US)
        self._open = None
        batch.unanswered = len(self._addresses) + 1
        for address in self._addresses:
            self._kernel.spawn(self._tell(address, batch))
        if self._settle is not None:
            batch.settled.update((yield from self._settle(batch.job_ids)))
        self._count_answer(batch)

    def _tell(self, address: str, batch: _Batch) -> Fiber[None]:
        reply: Reply = yield Call(address, "POST", PATH, {"cancelled": batch.job_ids}, PATIENCE_US)
        if reply.status == 200:
            batch.settled.update(settled_machines(reply.body))
        self._count_answer(batch)

    def _count_answer(self, batch: _Batch) -> None:
        batch.unanswered -= 1
        if not batch.unanswered:
            self._kernel.fire(batch.answered)


def settled_machines(body: Any) -> list[str]:
    """The machines that a peer answers for; none where its answer is malformed."""
    try:
        return msgspec.convert(body, CancellationReceipt).settled
    except msgspec.ValidationError:
        return []
