"""An index of the tasks of each live job: those that are placed, done, waiting to be placed, or about to end.

Everything here is derived from the records of jobs and groups.  It is recomputed when it is requested, and only for
jobs for which `job_changed` or `readiness_changed` was called.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from itertools import islice

from ashtray.jobs.dependencies import Dependencies
from ashtray.jobs.model import UNLIMITED, Job
from ashtray.placement.machine_groups import Allocation, AllocationKey

MAX_STALE_ENDING = 100
"""How many changed jobs may accumulate until their ending tasks are computed, requested or not."""
NO_TASKS: set[int] = set()


def unplaced_tasks(job: Job, placed: set[int], finished: set[int]) -> list[int]:
    """Return the tasks of a job that are to be placed, lowest number first, given the placed and the done ones."""
    if job.spec.kind == "gang":
        return _unplaced_gang_tasks(job, placed, finished)
    count = job.spec.tasks
    if len(placed) + len(finished) >= count and len(placed | finished) >= count:
        return []
    unplaced = (n for n in range(count) if n not in placed and n not in finished)
    return list(islice(unplaced, max(job.max_open_tasks - len(placed), 0)))


def _unplaced_gang_tasks(job: Job, placed: set[int], finished: set[int]) -> list[int]:
    if len(finished) >= job.spec.tasks:
        return []
    if not placed:
        return list(range(job.spec.tasks))
    # A gang that is placed in portions: the rest of its tasks belongs to the same attempt.
    return list(range(job.portion, job.spec.tasks)) if job.portion else []


class TaskIndex:
    """The states of the tasks of all live jobs."""

    def __init__(
        self,
        jobs: Mapping[str, Job],
        dependencies: Dependencies,
        is_confirmed: Callable[[Job], bool],
        clock: Callable[[], int],
        max_deferred_tasks: int,
    ) -> None:
        """Index the live `jobs`; `follow` passes in the tables of the groups.

        `is_confirmed` returns whether all records of a job's tasks are from revisions that were read completely.
        `clock` returns the time of day in microseconds.  Jobs of up to `max_deferred_tasks` tasks count as done
        before their records are moved to the finished jobs.
        """
        self._jobs = jobs
        self._dependencies = dependencies
        self._is_confirmed = is_confirmed
        self._clock = clock
        self._max_deferred_tasks = max_deferred_tasks
        self._allocations: Mapping[str, dict[AllocationKey, Allocation]] = {}
        self._done: Mapping[str, dict[str, set[int]]] = {}
        self._placed: dict[str, set[int]] = {}
        self._finished: dict[str, set[int]] = {}
        self._waiting: dict[str, list[int]] = {}
        self._complete: set[str] = set()
        self._stale: set[str] = set()
        """Jobs whose entries in the four tables above must be recomputed."""
        self._unconfirmed: set[str] = set()
        """Small jobs whose tasks are all done, by changes from revisions that were not read completely yet."""
        self._ending_allocations: dict[str, list[tuple[str, Allocation]]] = {}
        """By job, its ending allocations; outdated for the jobs in `_stale_ending`."""
        self._stale_ending: set[str] = set()

    def follow(
        self, allocations: Mapping[str, dict[AllocationKey, Allocation]], done: Mapping[str, dict[str, set[int]]]
    ) -> None:
        """Use these tables of `GroupIndex`: by job id, its allocations, and its completed tasks by group key."""
        self._allocations = allocations
        self._done = done

    def job_changed(self, job_id: str) -> None:
        """Note that a job's record, its allocations or its completed tasks changed."""
        self._placed.pop(job_id, None)
        self._finished.pop(job_id, None)
        self._stale.add(job_id)
        self._stale_ending.add(job_id)

    def readiness_changed(self, job_ids: Iterable[str]) -> None:
        """Note that these jobs may have become ready or have ceased to be."""
        self._stale.update(job_ids)

    def confirm(self) -> bool:
        """Check the unconfirmed jobs again after more was read; return whether there are any."""
        if not self._unconfirmed:
            return False
        self._stale |= self._unconfirmed
        self._unconfirmed = set()
        return True

    def placed(self, job_id: str) -> set[int]:
        """Return the placed tasks of a job; the caller must not change the set."""
        tasks = self._placed.get(job_id)
        if tasks is None:
            allocations = self._allocations.get(job_id)
            tasks = (
                set().union(*(allocation.tasks for allocation in allocations.values())) if allocations else NO_TASKS
            )
            if allocations:
                self._placed[job_id] = tasks
        return tasks

    def finished(self, job: Job) -> set[int]:
        """Return the tasks of a job that are done, by its own record and by the group records."""
        by_group = self._done.get(job.id)
        if not by_group:
            return job.finished
        tasks = self._finished.get(job.id)
        if tasks is None:
            tasks = self._finished[job.id] = job.finished.union(*by_group.values())
        return tasks

    def all_done(self, job: Job) -> bool:
        """Return whether all tasks of a job are done, whether that is confirmed or not."""
        return job.spec.kind != "service" and len(self.finished(job)) >= job.spec.tasks

    def waiting(self) -> dict[str, list[int]]:
        """Return the ready jobs with unplaced tasks, and these tasks, lowest number first."""
        if self._stale:
            self._update_stale()
        return self._waiting

    def completed(self) -> set[str]:
        """Return the live jobs all of whose tasks are done; small jobs only once that is confirmed."""
        if self._stale:
            self._update_stale()
        return self._complete

    def unconfirmed(self) -> bool:
        """Return whether a small job is done but not confirmed: earlier changes are still to be read."""
        if self._stale:
            self._update_stale()
        return bool(self._unconfirmed)

    def ending_allocations(self) -> dict[str, list[tuple[str, Allocation]]]:
        """Return, by job, the allocations whose tasks are about to end, each with its machine's name.

        Their tasks were told to stop, belong to a failed attempt, or their job is over.
        """
        if self._stale_ending:
            stale, self._stale_ending = self._stale_ending, set()
            for job_id in sorted(stale):
                found = self._leaving_of(job_id)
                if found:
                    self._ending_allocations[job_id] = found
                else:
                    self._ending_allocations.pop(job_id, None)
        return self._ending_allocations

    def _leaving_of(self, job_id: str) -> list[tuple[str, Allocation]]:
        job = self._jobs.get(job_id)
        broken = UNLIMITED if job is None else job.record.broken
        return [
            (name, allocation)
            for (name, _), allocation in self._allocations.get(job_id, {}).items()
            if allocation.record.stop_us >= 0 or allocation.attempt <= broken
        ]

    def _update_stale(self) -> None:
        """Recompute which jobs wait or are complete, for the jobs that changed."""
        while self._stale:
            stale, self._stale = self._stale, set()
            for job_id in sorted(stale):
                self._update_job(job_id)
        if len(self._stale_ending) > MAX_STALE_ENDING:
            # Bounds the set: `ending_allocations` may never be called by others.
            self.ending_allocations()

    def _update_job(self, job_id: str) -> None:
        self._complete.discard(job_id)
        self._waiting.pop(job_id, None)
        job = self._jobs.get(job_id)
        if job is None or not self._dependencies.ready(job):
            return
        tasks = unplaced_tasks(job, self.placed(job_id), self.finished(job))
        if tasks:
            self._waiting[job_id] = tasks
        elif self.all_done(job):
            self._update_done(job)

    def _update_done(self, job: Job) -> None:
        """Count a job as complete; a small one only if confirmed (point 13), as its dependents may then start."""
        small = job.spec.tasks <= self._max_deferred_tasks
        if small and not self._is_confirmed(job):
            self._unconfirmed.add(job.id)
            return
        self._complete.add(job.id)
        if small:
            self._stale |= self._dependencies.completed(job.id, self._clock())
