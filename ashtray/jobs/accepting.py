"""Writing down accepted jobs: those that come in while others are on their way share a transaction.

A crowd of submissions, as after an outage, would otherwise cost a request each: processor time that a controller
which has just started does not have, and requests that all of them lack.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ashtray.jobs.model import LIVE, OVER
from ashtray.kernel import Fiber, Kernel, Reply, Signal
from ashtray.store.client import Limits, StoreClient, Txn, Urgency

AT_ONCE = 4
"""Transactions on their way at one time: up to so many, nothing waits for company."""


@dataclass
class Pending:
    """A job to be written down, and who waits for it."""

    job_id: str
    value: Any
    size: int
    outcome: Signal = field(default_factory=Signal)


class Accepting:
    """Jobs share transactions, but not their fate: one that is known already does not hold up the others."""

    def __init__(
        self, kernel: Kernel, store: StoreClient, limits: Limits, known: Callable[[str], bool] = lambda job_id: False
    ) -> None:
        """`known` tells whether a job is known by now: one that is known costs no change."""
        self._kernel = kernel
        self._store = store
        self._limits = limits
        self._known = known
        self._pending: dict[str, Pending] = {}
        self._on_their_way: dict[str, Pending] = {}
        self._running = 0

    def accept(self, job_id: str, value: Any) -> Fiber[tuple[int, int]]:
        """Write a job's first record; the state service's status and revision.

        409: the job is known already.  Anything else but 200 leaves open whether it was accepted.
        """
        other = self._pending.get(job_id) or self._on_their_way.get(job_id)
        if other is not None:
            # The same job, submitted twice at one time: the second one has to look what became of the first.
            status, ledger = yield other.outcome
            return (409 if status == 200 else status), ledger
        job = self._pending[job_id] = Pending(job_id, value, len(msgspec.json.encode(value)))
        if self._running < AT_ONCE:
            self._running += 1
            self._kernel.spawn(self._run())
        status, ledger = yield job.outcome
        return status, ledger

    def _run(self) -> Fiber[None]:
        try:
            while self._pending:
                yield from self._commit()
        finally:
            self._running -= 1

    def _commit(self) -> Fiber[None]:
        taken: list[Pending] = []

        def build() -> Txn | None:
            # Called again after an answer 429: what was taken then stays together.
            txn = Txn()
            room = self._limits.txn_bytes - sum(job.size for job in taken)
            # What has come since the budget was asked for goes along as far as there is budget for it as well.
            most = min(number + self._store.changes.spare(Urgency.ACCEPT), self._limits.ops)
            while self._pending and len(taken) < most:
                job = next(iter(self._pending.values()))
                if self._known(job.job_id):
                    # Another controller has accepted it meanwhile: its user sent it again.
                    self._kernel.fire(self._pending.pop(job.job_id).outcome, (409, 0))
                    continue
                if taken and job.size > room:
                    break
                room -= job.size
                taken.append(job)
                self._on_their_way[job.job_id] = self._pending.pop(job.job_id)
            for job in taken:
                txn.guard(LIVE + job.job_id, 0).guard(OVER + job.job_id, 0).put(LIVE + job.job_id, job.value)
            return txn if taken else None

        number = min(len(self._pending), self._limits.ops)
        reply = Reply(0)
        try:
            _, reply = yield from self._store.commit(build, number, Urgency.ACCEPT, "accept")
        finally:
            failed = set((reply.body or {}).get("failed", ())) if reply.status == 409 else set()
            for job in taken:
                del self._on_their_way[job.job_id]
                known = not failed.isdisjoint((LIVE + job.job_id, OVER + job.job_id))
                if failed and not known:
                    # Another one of them was known already: nothing was executed, and this one goes with the next.
                    self._pending[job.job_id] = job
                    continue
                ledger = reply.body["ledger"] if reply.status == 200 else 0
                self._kernel.fire(job.outcome, (reply.status, ledger))

    def waiting(self) -> int:
        """How many jobs wait for a transaction."""
        return len(self._pending)
