"""What may be said of a job's state: read after the question was asked, or final."""

from __future__ import annotations

from collections.abc import Callable

from ashtray.base import Base
from ashtray.jobs.answers import STATE_UNREADABLE, JobState, NeverAccepted, RetryLater
from ashtray.jobs.model import OVER, Job
from ashtray.kernel import SECOND_US, Fiber, Signal, Sleep, Wait
from ashtray.store.client import Urgency
from ashtray.workers.folding import ends_later

MAX_RESOLVING = 8
"""Final states of needed jobs that are read at one time."""
RESOLVE_US = SECOND_US // 20
MAX_LOOKING = 30
"""Final states that are read for polls at one time: they may not take the requests that leases and commits need."""
FOUND = (200, 404)

LookUp = JobState | NeverAccepted | RetryLater


class JobStates:
    """Looks up the states of jobs for whoever asks, and the final states that live jobs need."""

    def __init__(self, base: Base, needs_known: Callable[[], None]) -> None:
        """`needs_known` is told when a needed job's final state was looked for."""
        self.base = base
        self.kernel = base.kernel
        self._needs_known = needs_known
        self._looking: dict[str, Signal] = {}
        """Final states that are being read for somebody: whoever else asks meanwhile waits for the same reading."""
        self._resolved = -1
        """The cluster state's changes when all that is needed was last seen to be known, or asked for."""

    def final(self, job_id: str) -> JobState | None:
        """The final state of a job, if it is known here; it never changes, so it may be said without a read."""
        cluster_state = self.base.cluster_state
        over = cluster_state.over.get(job_id)
        if over is not None:
            return JobState(job_id, over["status"], over["done"])
        if job_id in cluster_state.dependencies.cancelled_by:
            return JobState(job_id, "cancelled")
        return None

    def look_up(self, job_id: str, urgency: Urgency = Urgency.ACCEPT) -> Fiber[LookUp]:
        """A job's state as of a moment after the question came."""
        cluster_state = self.base.cluster_state
        while job_id not in cluster_state.over:
            # Safety point 6: what is not final is said only after a read that began after the question.
            if not (yield from self.base.follower.barrier(patient=True)):
                return STATE_UNREADABLE
            job = cluster_state.jobs.get(job_id)
            if job is not None:
                known = yield from self._know_needs(job, urgency)
                if known is False:
                    return STATE_UNREADABLE
                state = self._live(job) if known else None
                if state is None:
                    # Reading took a while, or a later change is shown: what the barrier read may not be so any more.
                    continue
                return state
            if job_id in cluster_state.over:
                break
            if job_id in cluster_state.absent:
                return NeverAccepted()
            # It ended before this cluster state was read, or there is no such job: read once, and known from then on.
            failed = yield from self._find_final(job_id, urgency)
            if failed is not None:
                return failed
        over = cluster_state.over[job_id]
        return JobState(job_id, over["status"], over["done"])

    def _live(self, job: Job) -> JobState | None:
        """The state of a job that is live in the cluster state; None if the cluster state does not tell yet."""
        cluster_state = self.base.cluster_state
        if job.id in cluster_state.dependencies.cancelled_by:
            return JobState(job.id, "cancelled")
        if ends_later(job, self.base.limits):
            if job.id in cluster_state.completed():
                return JobState(job.id, "done", job.spec.tasks)
            if cluster_state.all_done(job):
                # A change of this process is shown that is later than what the barrier read.  Another controller
                # may have said `done` already, so only a later barrier tells (points 6 and 13).
                return None
        running = len(cluster_state.placed(job.id))
        status = "running" if running else "pending"
        return JobState(
            job.id, status, len(cluster_state.finished(job)), running, tuple(cluster_state.dependencies.open(job))
        )

    def _find_final(self, job_id: str, urgency: Urgency) -> Fiber[RetryLater | None]:
        """Read a final state, or wait for somebody else's reading of it; what to say if that fails."""
        looking = self._looking.get(job_id)
        if looking is not None:
            return STATE_UNREADABLE if (yield Wait(looking, 2 * SECOND_US)) is None else None
        if len(self._looking) >= MAX_LOOKING and urgency > Urgency.ACCEPT:
            return RetryLater("too many questions")
        return None if (yield from self._read_final(job_id, urgency)) in FOUND else STATE_UNREADABLE

    def _know_needs(self, job: Job, urgency: Urgency) -> Fiber[bool | None]:
        """Read what is not known of the jobs before a live one: it may be cancelled with one of them.

        True: all was known.  None: something was read.  False: it cannot be.
        """
        cluster_state = self.base.cluster_state
        known: bool | None = True
        while unknown := [
            dependency
            for dependency in cluster_state.dependencies.unknown([job.id])
            if dependency not in cluster_state.absent
        ]:
            known = None
            looking = self._looking.get(unknown[0])
            if looking is not None:
                if (yield Wait(looking, 2 * SECOND_US)) is None:
                    return False
            elif (yield from self._read_final(unknown[0], urgency)) not in FOUND:
                return False
        return known

    def resolve(self) -> Fiber[None]:
        """Read the final states of needed jobs that ended before the cluster state was read.

        They are not loaded at a start, for they grow with history; a job is not ready before all are known.
        """
        base = self.base
        cluster_state = base.cluster_state
        if base.follower.loaded and cluster_state.changes != self._resolved:
            self._resolved = cluster_state.changes
            for dependency in cluster_state.dependencies.unknown():
                if len(self._looking) >= MAX_RESOLVING:
                    self._resolved = -1
                    break
                if dependency not in self._looking and dependency not in cluster_state.absent:
                    self.kernel.spawn(self._resolve(dependency))
        yield Sleep(RESOLVE_US)

    def _resolve(self, job_id: str) -> Fiber[None]:
        if job_id not in self._looking:
            if (yield from self._read_final(job_id, Urgency.PLACE)) not in FOUND:
                self._resolved = -1
            self._needs_known()

    def _read_final(self, job_id: str, urgency: Urgency) -> Fiber[int]:
        """Read a job's final state into the cluster state, or that there is none; the state service's status."""
        cluster_state = self.base.cluster_state
        signal = self._looking[job_id] = Signal()
        loads, followed = cluster_state.loads, self.base.follower.loaded
        try:
            reply = yield from self.base.store.read(OVER + job_id, urgency)
        finally:
            del self._looking[job_id]
        if reply.status == 200:
            cluster_state.note_final_state(job_id, reply.body["value"], reply.body["stamp"])
        elif reply.status == 404 and followed and cluster_state.loads == loads:
            # Only if all changes since then have been read: an end written before the first page was read is in no
            # page, and in none of the changes that follow it (point 14).
            cluster_state.note_absent(job_id)
        self.kernel.fire(signal)
        return reply.status
