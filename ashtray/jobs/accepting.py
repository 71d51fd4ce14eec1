"""Batches the first records of accepted jobs into shared transactions.

Jobs that are submitted while transactions are in flight share the next one.  With one request per job, a burst of
submissions, as after an outage, would overload a controller that has just started and use up the request budget that
all controllers share.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ashtray.jobs.model import FINAL_STATE_PREFIX, LIVE_JOB_PREFIX
from ashtray.kernel import Coroutine, Kernel, Reply, Signal
from ashtray.store.client import StoreClient
from ashtray.store.limits import Cost, Limits
from ashtray.store.rate_limiter import Urgency
from ashtray.store.transaction import CommitOutcome, Txn, guarded_write_size, size_of

MAX_CONCURRENT_TXNS = 4
"""Most transactions in flight at a time.  While there are fewer, a new job is written at once and not batched."""


@dataclass
class PendingJob:
    """A job whose first record is to be written.

    `outcome` fires with the status and the revision of the state service.
    """

    job_id: str
    value: Any
    cost: Cost
    """What its first record takes of a transaction."""
    outcome: Signal = field(default_factory=Signal)


class AcceptanceBatcher:
    """Writes first records of jobs, several in one transaction.

    If one of them was accepted before, the transaction fails, and the others are retried without that job.
    """

    def __init__(
        self,
        kernel: Kernel,
        store: StoreClient,
        limits: Callable[[], Limits],
        is_accepted: Callable[[str], bool] = lambda job_id: False,
    ) -> None:
        """`limits` returns the limits for the next transaction.

        `is_accepted` tells whether a job is accepted already, by any controller; such a job is not written.
        """
        self._kernel = kernel
        self._store = store
        self._limits = limits
        self._is_accepted = is_accepted
        self._pending: dict[str, PendingJob] = {}
        self._in_flight: dict[str, PendingJob] = {}
        self._committers = 0

    def accept(self, job_id: str, value: Any) -> Coroutine[tuple[int, int]]:
        """Write a job's first record; returns the state service's status and revision.

        200: the job is accepted.  409: it was accepted before.  Any other status leaves open whether it was accepted.
        """
        first = self._pending.get(job_id) or self._in_flight.get(job_id)
        if first is not None:
            # The same job is being written for another request, so this one shares its outcome.
            status, revision = yield first.outcome
            return (409 if status == 200 else status), revision
        record_bytes = guarded_write_size(LIVE_JOB_PREFIX + job_id, size_of(value))
        cost = Cost(1, record_bytes + guarded_write_size(FINAL_STATE_PREFIX + job_id))
        job = self._pending[job_id] = PendingJob(job_id, value, cost)
        if self._committers < MAX_CONCURRENT_TXNS:
            self._committers += 1
            self._kernel.spawn(self._commit_pending())
        status, revision = yield job.outcome
        return status, revision

    def _commit_pending(self) -> Coroutine[None]:
        try:
            while self._pending:
                yield from self._commit_batch()
        finally:
            self._committers -= 1

    def _commit_batch(self) -> Coroutine[None]:
        batch: list[PendingJob] = []

        def build() -> Txn | None:
            # The store client calls this again after a 429: the jobs of the batch stay in it.
            txn = Txn()
            limits = self._limits()
            cost = Cost()
            for job in batch:
                cost = cost.plus(job.cost)
            # Jobs submitted since the write budget was requested join the batch as far as spare budget covers them.
            max_jobs = min(requested + self._store.writes.spare(Urgency.ACCEPT), limits.ops)
            while self._pending and len(batch) < max_jobs:
                job = next(iter(self._pending.values()))
                if self._is_accepted(job.job_id):
                    # Its user also sent it to another controller, which has accepted it meanwhile.
                    self._kernel.fire(self._pending.pop(job.job_id).outcome, (409, 0))
                    continue
                cost = cost.plus(job.cost)
                if batch and not cost.within(limits):
                    break
                batch.append(job)
                self._in_flight[job.job_id] = self._pending.pop(job.job_id)
            for job in batch:
                txn.guard(LIVE_JOB_PREFIX + job.job_id, 0).guard(FINAL_STATE_PREFIX + job.job_id, 0).put(
                    LIVE_JOB_PREFIX + job.job_id, job.value
                )
            return txn if batch else None

        requested = min(len(self._pending), self._limits().ops)
        reply = Reply(0)
        try:
            _, reply = yield from self._store.commit(build, requested, Urgency.ACCEPT, "accept")
        finally:
            failed = set((reply.body or {}).get("failed", ())) if reply.status == 409 else set()
            # Of a refused transaction nothing was written, and the next ones are smaller.
            refused = CommitOutcome.of(reply) is CommitOutcome.REFUSED and len(batch) > 1
            for job in batch:
                del self._in_flight[job.job_id]
                known = not failed.isdisjoint((LIVE_JOB_PREFIX + job.job_id, FINAL_STATE_PREFIX + job.job_id))
                if refused or (failed and not known):
                    # Another job of the batch was accepted before, so nothing was written: retry this one.
                    self._pending[job.job_id] = job
                    continue
                revision = reply.body["ledger"] if reply.status == 200 else 0
                self._kernel.fire(job.outcome, (reply.status, revision))

    def waiting(self) -> int:
        """Return how many jobs wait for a transaction."""
        return len(self._pending)
