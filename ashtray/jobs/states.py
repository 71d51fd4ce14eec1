"""Looks up jobs' states for answers: either final, or read after the request came in."""

from __future__ import annotations

from collections.abc import Callable

from ashtray.base import Base
from ashtray.jobs.answers import STATE_UNREADABLE, JobState, NeverAccepted, RetryLater
from ashtray.jobs.model import FINAL_STATE_PREFIX, Job
from ashtray.kernel import SECOND_US, Coroutine, Signal, Sleep, Wait
from ashtray.store.rate_limiter import Urgency
from ashtray.workers.folding import may_defer_move

MAX_DEPENDENCY_READS = 8
"""Most reads of dependencies' final states that `resolve` keeps in flight at a time."""
RESOLVE_INTERVAL_US = SECOND_US // 20
MAX_FINAL_STATE_READS = 30
"""With so many reads of final states in flight, polls that need another are refused.

The rest of the request budget is left to leases and commits.
"""
CONCLUSIVE = (200, 404)
"""Statuses of a read that tell whether there is a final state."""

LookUpResult = JobState | NeverAccepted | RetryLater


class JobStates:
    """Looks up the states of jobs for users' requests, and the final states of live jobs' dependencies."""

    def __init__(self, base: Base, on_dependency_read: Callable[[], None]) -> None:
        """`on_dependency_read` is called each time that `resolve` has read a final state or failed to."""
        self.base = base
        self.kernel = base.kernel
        self._on_dependency_read = on_dependency_read
        self._reads: dict[str, Signal] = {}
        """Reads of final states in flight, by job id; other lookups of the same job wait for the same read."""
        self._resolved_changes = -1
        """The cluster state's `changes` when all dependencies' ends were last known or being read; -1: never."""

    def final(self, job_id: str) -> JobState | None:
        """Return the final state of a job if it is known here, otherwise None.

        A final state never changes, so no read is needed.
        """
        cluster_state = self.base.cluster_state
        final_state = cluster_state.final_states.get(job_id)
        if final_state is not None:
            return JobState(job_id, final_state["status"], final_state["done"])
        if job_id in cluster_state.dependencies.cancelled_by:
            return JobState(job_id, "cancelled")
        return None

    def look_up(self, job_id: str, urgency: Urgency = Urgency.ACCEPT) -> Coroutine[LookUpResult]:
        """Return a job's state as of a moment after this call, or `RetryLater` if it cannot be read."""
        cluster_state = self.base.cluster_state
        while job_id not in cluster_state.final_states:
            # Safety point 6: a state that is not final is told only after a read that began after the request came.
            if not (yield from self.base.follower.barrier(patient=True)):
                return STATE_UNREADABLE
            job = cluster_state.jobs.get(job_id)
            if job is not None:
                known = yield from self._read_dependencies(job, urgency)
                if known is False:
                    return STATE_UNREADABLE
                state = self._live_state(job) if known else None
                if state is None:
                    # Reading the dependencies took a while, or the cluster state shows a later write: read again.
                    continue
                return state
            if job_id in cluster_state.final_states:
                break
            if job_id in cluster_state.known_absent:
                return NeverAccepted()
            # The job ended before the cluster state was first read, or it does not exist.  One read settles which.
            failed = yield from self._fetch_final(job_id, urgency)
            if failed is not None:
                return failed
        final_state = cluster_state.final_states[job_id]
        return JobState(job_id, final_state["status"], final_state["done"])

    def _live_state(self, job: Job) -> JobState | None:
        """Return the state of a job that is live in the cluster state; None if that takes another barrier."""
        cluster_state = self.base.cluster_state
        if job.id in cluster_state.dependencies.cancelled_by:
            return JobState(job.id, "cancelled")
        if may_defer_move(job, self.base.limits):
            if job.id in cluster_state.completed():
                return JobState(job.id, "done", job.spec.tasks)
            if cluster_state.all_done(job):
                # The cluster state shows a write of this process that is later than what the barrier read.  Another
                # controller may have told a user `done` already, so only a later barrier tells (points 6 and 13).
                return None
        running = len(cluster_state.placed(job.id))
        status = "running" if running else "pending"
        return JobState(
            job.id, status, len(cluster_state.finished(job)), running, tuple(cluster_state.dependencies.open(job))
        )

    def _fetch_final(self, job_id: str, urgency: Urgency) -> Coroutine[RetryLater | None]:
        """Read a final state, or wait for a read in flight; returns None, or the answer to give if that failed."""
        ongoing = self._reads.get(job_id)
        if ongoing is not None:
            return STATE_UNREADABLE if (yield Wait(ongoing, 2 * SECOND_US)) is None else None
        if len(self._reads) >= MAX_FINAL_STATE_READS and urgency > Urgency.ACCEPT:
            return RetryLater("too many final states are being read")
        return None if (yield from self._read_final(job_id, urgency)) in CONCLUSIVE else STATE_UNREADABLE

    def _read_dependencies(self, job: Job, urgency: Urgency) -> Coroutine[bool | None]:
        """Read the unknown final states of a job's transitive dependencies, since it may be cancelled with one.

        Returns True if all were known, None if some were read, and False if a read failed.
        """
        known: bool | None = True
        for dependency in self.base.cluster_state.dependencies.unknown_of(job):
            while self._must_be_read(dependency):
                known = None
                ongoing = self._reads.get(dependency)
                if ongoing is not None:
                    if (yield Wait(ongoing, 2 * SECOND_US)) is None:
                        return False
                elif (yield from self._read_final(dependency, urgency)) not in CONCLUSIVE:
                    return False
        return known

    def _must_be_read(self, dependency: str) -> bool:
        """Return whether a dependency's final state is unknown and not known to be absent."""
        cluster_state = self.base.cluster_state
        return cluster_state.dependencies.is_unknown(dependency) and dependency not in cluster_state.known_absent

    def resolve(self) -> Coroutine[None]:
        """Read the final states of dependencies that ended before the cluster state was first read.

        A job is not ready before the ends of all its dependencies are known.  Final states are not loaded at a start,
        because their number grows with history.
        """
        base = self.base
        cluster_state = base.cluster_state
        if base.follower.loaded and cluster_state.changes != self._resolved_changes:
            self._resolved_changes = cluster_state.changes
            for dependency in cluster_state.dependencies.unknown():
                if len(self._reads) >= MAX_DEPENDENCY_READS:
                    self._resolved_changes = -1
                    break
                if dependency not in self._reads and dependency not in cluster_state.known_absent:
                    self.kernel.spawn(self._resolve(dependency))
        yield Sleep(RESOLVE_INTERVAL_US)

    def _resolve(self, job_id: str) -> Coroutine[None]:
        if job_id not in self._reads:
            if (yield from self._read_final(job_id, Urgency.PLACE)) not in CONCLUSIVE:
                self._resolved_changes = -1
            self._on_dependency_read()

    def _read_final(self, job_id: str, urgency: Urgency) -> Coroutine[int]:
        """Read a job's final state, or its absence, into the cluster state; returns the state service's status."""
        cluster_state = self.base.cluster_state
        signal = self._reads[job_id] = Signal()
        load_count, followed = cluster_state.load_count, self.base.follower.loaded
        try:
            reply = yield from self.base.store.read(FINAL_STATE_PREFIX + job_id, urgency)
        finally:
            del self._reads[job_id]
        if reply.status == 200:
            cluster_state.note_final_state(job_id, reply.body["value"], reply.body["stamp"])
        elif reply.status == 404 and followed and cluster_state.load_count == load_count:
            # The absence counts only if this controller follows all writes since this read began.  After a reload, a
            # final state written before its first page was read is in no page and in none of the writes followed
            # after it (point 14).
            cluster_state.note_absent(job_id)
        self.kernel.fire(signal)
        return reply.status
