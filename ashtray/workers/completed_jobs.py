"""Jobs whose tasks are all done: when their final states are written and their records removed."""

from __future__ import annotations

from ashtray.base import Base
from ashtray.jobs.model import Job
from ashtray.kernel import SECOND_US, Coroutine
from ashtray.peers.presence import Presence
from ashtray.store.rate_limiter import Urgency
from ashtray.store.transaction import Txn
from ashtray.workers.folding import Fold, may_defer_move

TIDY_DELAY_US, SCARCE_TIDY_DELAY_US = 30 * SECOND_US, 240 * SECOND_US
"""How long moving the records of completed jobs may be put off, and the same while the write budget is scarce."""
MAX_UNMOVED_JOBS = 300
"""With so many completed jobs their records are moved even while the write budget is scarce."""


class CompletedJobs:
    """Finds this controller's completed jobs, and moves the records of those that need not end at once."""

    def __init__(self, base: Base, presence: Presence) -> None:
        self.base = base
        self.presence = presence
        self._completed_us: dict[str, int] = {}
        """When the completion of each job was first noticed whose record is still to be moved."""

    def ready(self, deferrable: bool) -> list[Job]:
        """Return this controller's jobs whose tasks are all done.

        `deferrable` selects the jobs whose records may be moved later, otherwise those to be ended at once.
        """
        cluster_state = self.base.cluster_state
        jobs = (cluster_state.jobs[job_id] for job_id in sorted(cluster_state.completed()))
        return [
            job for job in jobs if may_defer_move(job, self.base.limits) == deferrable and self.presence.mine(job)
        ]

    def run(self) -> Coroutine[None]:
        """Move the records of jobs that already count as done, if there is little else to write or they are late."""
        jobs, now = self.ready(deferrable=True), self.base.kernel.now_us
        for job in jobs:
            if job.id not in self._completed_us:
                self.base.kernel.log("info", f"{job.id} is done")
        self._completed_us = {job.id: self._completed_us.get(job.id, now) for job in jobs}
        if not jobs:
            return
        jobs.sort(key=lambda job: self._completed_us[job.id])
        writes = self.base.store.writes
        scarce = writes.scarce()
        # Completed tasks that group records keep take space there, but moving a job's record costs two writes.
        late = now - self._completed_us[jobs[0].id] > (SCARCE_TIDY_DELAY_US if scarce else TIDY_DELAY_US)
        if scarce and not late and len(jobs) < MAX_UNMOVED_JOBS:
            return
        # Folds always go first, because one write makes the ends of many jobs visible.
        urgency = Urgency.PLACE if late else Urgency.BOOKKEEPING
        jobs = jobs[: self.base.limits.ops // 2]
        # At most a full token bucket of writes at once.  Otherwise ends of jobs, which have to be visible within 3 s,
        # would wait until the bucket is out of debt.
        batch_size = max(int(writes.bucket.rate * writes.bucket.burst_s) // 2, 1)
        for first in range(0, len(jobs), batch_size):
            yield from self._move(jobs[first : first + batch_size], urgency)

    def _move(self, jobs: list[Job], urgency: Urgency) -> Coroutine[None]:
        """Move the records of jobs that count as done, with two writes for each."""

        def build() -> Txn | None:
            fold = Fold(self.base.kernel, self.base.cluster_state, self.base.limits_for("tidy"))
            for job in jobs:
                if job.id in self.base.cluster_state.completed():
                    fold.end(self.base.cluster_state.jobs[job.id])
            return fold.transaction()

        yield from self.base.follower.commit(build, min(2 * len(jobs), self.base.limits.ops), urgency, "tidy")
