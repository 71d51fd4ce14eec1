"""Cancels jobs at their users' request, and jobs whose dependencies were cancelled."""

from __future__ import annotations

from functools import partial

from ashtray.base import Base
from ashtray.jobs.answers import AnswerSender, Ended, JobState, RetryLater, UserAnswer
from ashtray.jobs.model import MAX_DEFERRED_TASKS, Job
from ashtray.jobs.states import JobStates
from ashtray.kernel import SECOND_US, Coroutine, Sleep
from ashtray.peers.presence import Peers, Presence
from ashtray.placement.state_keys import split_key
from ashtray.store.limits import Cost
from ashtray.store.rate_limiter import Urgency
from ashtray.store.transaction import CommitOutcome, Txn
from ashtray.workers.folding import end_job

CONFLICT_RETRY_US = 3 * SECOND_US
"""How long a cancellation is retried after conflicts before its user is told to retry."""


class CancellationHandler:
    """Writes the final state `cancelled` of jobs."""

    def __init__(self, base: Base, presence: Presence, peers: Peers, states: JobStates, sender: AnswerSender) -> None:
        self.base = base
        self.kernel = base.kernel
        self.presence = presence
        self.peers = peers
        self.states = states
        self.sender = sender

    def cancel(self, request_id: int, job_id: str) -> Coroutine[None]:
        """Cancel a job and answer its user's request."""
        self.sender.send(request_id, (yield from self._cancel(job_id)))

    def _cancel(self, job_id: str) -> Coroutine[UserAnswer]:
        deadline_us = self.kernel.now_us + CONFLICT_RETRY_US
        build = partial(self.transaction, job_id)
        attempts = 0
        was_over = self.base.cluster_state.is_over(job_id)
        while self.kernel.now_us < deadline_us:
            state = yield from self.states.look_up(job_id)
            if not isinstance(state, JobState):
                return state
            if state.is_final:
                if state.status == "cancelled" and not was_over:
                    yield from self._announce_found(job_id, attempts)
                return Ended(job_id, state.status)
            attempts += 1
            outcome = yield from self.base.follower.commit(build, 2, Urgency.CANCEL, "cancel")
            if outcome is CommitOutcome.COMMITTED:
                self.kernel.log("info", f"{job_id} cancelled")
                yield from self.peers.announcer.announce(job_id)
                return Ended(job_id, "cancelled")
        return RetryLater("not cancelled yet")

    def _announce_found(self, job_id: str, attempts: int) -> Coroutine[None]:
        """Announce a cancellation that was found by reading, because its controller may not have announced it.

        The answer to this controller's own transaction may have been lost, or another controller may have crashed
        after its commit.  The user is told only after the announcement, so that no peer starts a task of the job
        after that (safety point 5).
        """
        if attempts:
            self.kernel.log("info", f"{job_id} cancelled")
        yield from self.peers.announcer.announce(job_id)

    def transaction(self, job_id: str) -> Txn | None:
        """Return the transaction that ends a job as cancelled, by the cluster state; None if it must not be tried."""
        cluster_state = self.base.cluster_state
        job = cluster_state.jobs.get(job_id)
        if job is None:
            return None
        txn = Txn()
        if job.spec.kind != "service" and job.spec.tasks <= MAX_DEFERRED_TASKS:
            # Such a job counts as done once its group records say that all its tasks are done, so the transaction
            # must fail if one of them was written meanwhile.  What this process has just folded into group records
            # counts here before it is read back, because other controllers may have read it already (point 13).
            if cluster_state.all_done(job):
                return None
            groups = {cluster_state.machines[name].group for name, _ in cluster_state.allocations.get(job_id, ())}
            # With more groups than a transaction can guard, no controller counts a job as done by its group records.
            for key in groups if len(groups) < self.base.limits.final_guards else ():
                txn.guard(key, cluster_state.groups[key].version)
                if cluster_state.groups[key].size > self.base.limits.value_bytes:
                    # The machines of such a group may move to other groups, and be folded there, without a write to
                    # this record (point 16).
                    lock = split_key(key)
                    txn.guard(lock, cluster_state.version(lock))
            if len(txn.guards) >= self.base.limits.guards:
                # Too many guards for one transaction.  The caller retries: such a group is split within seconds.
                return None
        return end_job(txn, job, "cancelled", len(cluster_state.finished(job)), self.kernel.wall_us)

    def end_cancelled_dependents(self) -> Coroutine[None]:
        """Write the final states of jobs that count as cancelled because a dependency was cancelled."""
        base = self.base
        yield Sleep(SECOND_US)
        if not base.follower.loaded or not any(self.presence.mine(job) for job in self._cancelled_dependents()):
            return
        messages: list[str] = []

        def build() -> Txn | None:
            messages.clear()
            txn, cost, limits = Txn(), Cost(), base.limits_for("bury")
            for job in filter(self.presence.mine, self._cancelled_dependents()):
                cost = cost.plus(Cost(2, job.end_size()))
                if messages and not cost.within(limits):
                    break
                end_job(txn, job, "cancelled", 0, self.kernel.wall_us)
                messages.append(f"{job.id} cancelled with {base.cluster_state.dependencies.cancelled_by[job.id]}")
            return txn if messages else None

        if (yield from base.follower.commit(build, 2, Urgency.FOLD, "bury")) is CommitOutcome.COMMITTED:
            for line in messages:
                self.kernel.log("info", line)

    def _cancelled_dependents(self) -> list[Job]:
        """Return the live jobs that count as cancelled because a dependency was cancelled."""
        cluster_state = self.base.cluster_state
        return [cluster_state.jobs[job_id] for job_id in cluster_state.dependencies.cancelled_by]
