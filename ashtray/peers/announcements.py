"""Announces a cancellation to all peers before the user gets the answer, so that no peer starts a task of the job.

Without the announcement, a peer learns of a cancellation when it next reads the state service, some tenths of a
second later, and may start a task from its outdated cluster state until then.  Start orders of the job may also be
in transit to workers, from a peer or from this controller: each controller voids its own start orders that get no
answer, and answers the announcement when this is done.

No safety rule depends on the announcement: if a peer does not answer, the user is answered all the same, and the peer
learns of the cancellation from the state service.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Annotated, Any

import msgspec

from ashtray.kernel import Call, Coroutine, Kernel, Reply, Signal, Sleep, Wait

PATH = "/peer/cancelled"
BATCHING_WINDOW_US = 3_000
"""Batching window: cancellations that are announced within it share one message to each peer."""
ANSWER_TIMEOUT_US = 300_000
"""How long peers may take to answer before the user is answered without them."""


class CancellationNotice(msgspec.Struct):
    """The message to a peer: the ids of jobs whose cancellation has been committed."""

    cancelled: list[Annotated[str, msgspec.Meta(max_length=100)]]


class CancellationReceipt(msgspec.Struct, omit_defaults=True):
    """A peer's answer to a notice."""

    settled: list[str] = []
    """The machines that report to the peer and can no longer start a task of these jobs."""


@dataclass
class _Batch:
    """Cancellations that are announced in one message."""

    job_ids: list[str] = field(default_factory=list)
    unanswered: int = 0
    settled: set[str] = field(default_factory=set)
    """The machines for which a controller has confirmed that they can no longer start a task of these jobs."""
    answered: Signal = field(default_factory=Signal)
    """Fired when every peer has answered or its call has failed, and this controller's own workers are settled."""


class CancellationAnnouncer:
    """Announces committed cancellations to all peers, in one message for each batching window."""

    def __init__(
        self,
        kernel: Kernel,
        addresses: Iterable[str],
        wait_until_launches_void: Callable[[list[str]], Coroutine[list[str]]] | None = None,
        void_unclaimed_launches: Callable[[str, set[str]], Coroutine[None]] | None = None,
    ) -> None:
        """Create an announcer for the peers at these addresses.

        `wait_until_launches_void` gets job ids and returns the machines that report to this controller and can no
        longer start tasks of these jobs; it always returns soon.  `void_unclaimed_launches` gets a job id and the
        machines that are settled, and tries to void the job's start orders on all others.
        """
        self._kernel = kernel
        self._addresses = list(addresses)
        self._wait_until_launches_void = wait_until_launches_void
        self._void_unclaimed_launches = void_unclaimed_launches
        self._open: _Batch | None = None

    def announce(self, job_id: str) -> Coroutine[None]:
        """Announce a committed cancellation; return when all peers have answered or `ANSWER_TIMEOUT_US` is over.

        By then no start order for the job is in transit from this controller or from a peer that has answered.
        """
        if self._open is None:
            self._open = _Batch()
            self._kernel.spawn(self._send(self._open))
        batch = self._open
        batch.job_ids.append(job_id)
        yield Wait(batch.answered, BATCHING_WINDOW_US + ANSWER_TIMEOUT_US)
        if self._void_unclaimed_launches is not None:
            yield from self._void_unclaimed_launches(job_id, batch.settled)

    def _send(self, batch: _Batch) -> Coroutine[None]:
        yield Sleep(BATCHING_WINDOW_US)
        self._open = None
        batch.unanswered = len(self._addresses) + 1
        for address in self._addresses:
            self._kernel.spawn(self._tell(address, batch))
        if self._wait_until_launches_void is not None:
            batch.settled.update((yield from self._wait_until_launches_void(batch.job_ids)))
        self._count_answer(batch)

    def _tell(self, address: str, batch: _Batch) -> Coroutine[None]:
        reply: Reply = yield Call(address, "POST", PATH, {"cancelled": batch.job_ids}, ANSWER_TIMEOUT_US)
        if reply.status == 200:
            batch.settled.update(settled_machines(reply.body))
        self._count_answer(batch)

    def _count_answer(self, batch: _Batch) -> None:
        batch.unanswered -= 1
        if not batch.unanswered:
            self._kernel.fire(batch.answered)


def settled_machines(body: Any) -> list[str]:
    """Return the machines that a peer's answer names as settled; an empty list if the answer is malformed."""
    try:
        return msgspec.convert(body, CancellationReceipt).settled
    except msgspec.ValidationError:
        return []
