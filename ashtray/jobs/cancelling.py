"""Cancellations: by a job's user, and of jobs that wait on one that was cancelled."""

from __future__ import annotations

from functools import partial

from ashtray.base import Base
from ashtray.jobs.answers import AnswerSender, Ended, JobState, RetryLater, UserAnswer
from ashtray.jobs.model import MOST_LATER, Job
from ashtray.jobs.states import JobStates
from ashtray.kernel import SECOND_US, Fiber, Sleep
from ashtray.peers.presence import Peers, Presence
from ashtray.placement.state_keys import split_key
from ashtray.store.client import Txn, Urgency
from ashtray.workers.folding import end_job

CONFLICT_RETRY_US = 3 * SECOND_US
"""For so long a cancellation is tried again after a conflict, before its user is told to."""


class CancellationHandler:
    """Ends jobs as cancelled."""

    def __init__(self, base: Base, presence: Presence, peers: Peers, states: JobStates, sender: AnswerSender) -> None:
        self.base = base
        self.kernel = base.kernel
        self.presence = presence
        self.peers = peers
        self.states = states
        self.sender = sender

    def cancel(self, request_id: int, job_id: str) -> Fiber[None]:
        """Cancel a job for its user, and answer."""
        self.sender.send(request_id, (yield from self._outcome(job_id)))

    def _outcome(self, job_id: str) -> Fiber[UserAnswer]:
        deadline_us = self.kernel.now_us + CONFLICT_RETRY_US
        build = partial(self.transaction, job_id)
        attempts = 0
        known = self.base.cluster_state.is_over(job_id)
        while self.kernel.now_us < deadline_us:
            state = yield from self.states.look_up(job_id)
            if not isinstance(state, JobState):
                return state
            if state.is_final:
                if state.status == "cancelled" and not known:
                    yield from self._announce_found(job_id, attempts)
                return Ended(job_id, state.status)
            attempts += 1
            if (yield from self.base.follower.commit(build, 2, Urgency.CANCEL, "cancel")):
                self.kernel.log("info", f"{job_id} cancelled")
                yield from self.peers.announcer.announce(job_id)
                return Ended(job_id, "cancelled")
        return RetryLater("not cancelled yet")

    def _announce_found(self, job_id: str, attempts: int) -> Fiber[None]:
        """Announce a cancellation that was found by reading: whoever committed it may not have announced it.

        The answer to this controller's own transaction may have been lost, or another controller ended after its own.
        The user is told only after that, so that no peer starts a task of the job then (safety point 5).
        """
        if attempts:
            self.kernel.log("info", f"{job_id} cancelled")
        yield from self.peers.announcer.announce(job_id)

    def transaction(self, job_id: str) -> Txn | None:
        """The change that ends a job as cancelled, as far as the cluster state tells.

        None where it must not be tried.
        """
        cluster_state = self.base.cluster_state
        job = cluster_state.jobs.get(job_id)
        if job is None:
            return None
        txn = Txn()
        if job.spec.kind != "service" and job.spec.tasks <= MOST_LATER:
            # It is done for its users once its groups say so: none of them may have come to that meanwhile, and what
            # this process has just folded itself, others may take the groups' word for already (point 13).
            if cluster_state.all_done(job):
                return None
            groups = {cluster_state.machines[name].group for name, _ in cluster_state.allocations.get(job_id, ())}
            # Where there are more than a transaction may depend on, nobody takes the groups' word for it.
            for key in groups if len(groups) < self.base.limits.least_guards else ():
                txn.guard(key, cluster_state.groups[key].version)
                if cluster_state.groups[key].size > self.base.limits.value_bytes:
                    # Its machines may be moved without a change of its own, and be folded where they are then (16).
                    lock = split_key(key)
                    txn.guard(lock, cluster_state.version(lock))
            if len(txn.guards) >= self.base.limits.guards:
                # More than a transaction may depend on: tried again, for such a group is split within seconds.
                return None
        return end_job(txn, job, "cancelled", len(cluster_state.finished(job)), self.kernel.wall_us)

    def bury(self) -> Fiber[None]:
        """Write the final states of jobs that count as cancelled since one of their dependencies is."""
        base = self.base
        yield Sleep(SECOND_US)
        if not base.follower.loaded or not any(self.presence.mine(job) for job in self._cancelled_dependents()):
            return
        messages: list[str] = []

        def build() -> Txn | None:
            messages.clear()
            txn = Txn()
            for job in self._cancelled_dependents():
                if txn.changes() + 2 <= base.limits.ops and self.presence.mine(job):
                    end_job(txn, job, "cancelled", 0, self.kernel.wall_us)
                    messages.append(f"{job.id} cancelled with {base.cluster_state.dependencies.cancelled_by[job.id]}")
            return txn if messages else None

        if (yield from base.follower.commit(build, 2, Urgency.FREE, "bury")):
            for line in messages:
                self.kernel.log("info", line)

    def _cancelled_dependents(self) -> list[Job]:
        """The live jobs that count as cancelled since one of their dependencies is."""
        cluster_state = self.base.cluster_state
        return [cluster_state.jobs[job_id] for job_id in cluster_state.dependencies.cancelled_by]
