"""For each live job, which of its tasks have a place, are done, wait for a place or are about to end.

Everything here follows from the jobs' records and from the groups'.  It is worked out anew only for the jobs for
which `job_changed` was called, when somebody asks.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from itertools import islice

from ashtray.jobs.dependencies import Dependencies
from ashtray.jobs.model import UNLIMITED, Job
from ashtray.placement.machine_groups import Allocation, AllocationKey

MOST_LEAVING_STALE = 100
"""So many changed jobs are kept at the most until somebody asks which tasks are about to end."""
NO_TASKS: set[int] = set()


def unplaced_tasks(job: Job, placed: set[int], finished: set[int]) -> list[int]:
    """Return the tasks of a job that are to be placed, lowest first, given those with a place and those done."""
    if job.spec.kind == "gang":
        return _unplaced_of_gang(job, placed, finished)
    count = job.spec.tasks
    if len(placed) + len(finished) >= count and len(placed | finished) >= count:
        return []
    unplaced = (n for n in range(count) if n not in placed and n not in finished)
    return list(islice(unplaced, max(job.most_open - len(placed), 0)))


def _unplaced_of_gang(job: Job, placed: set[int], finished: set[int]) -> list[int]:
    if len(finished) >= job.spec.tasks:
        return []
    if not placed:
        return list(range(job.spec.tasks))
    # One that is placed in portions: the rest gets the same attempt number.
    return list(range(job.portion, job.spec.tasks)) if job.portion else []


class TaskIndex:
    """The state of the tasks of all live jobs."""

    def __init__(
        self,
        jobs: Mapping[str, Job],
        dependencies: Dependencies,
        is_confirmed: Callable[[Job], bool],
        clock: Callable[[], int],
        most_later: int,
    ) -> None:
        """Index the live `jobs`; the tables of groups are handed over with `follow`.

        `is_confirmed` tells whether all that is shown of a job's tasks was read with everything before it; `clock`
        returns the time of day in microseconds.  Jobs of up to `most_later` tasks count as done before their records
        are moved.
        """
        self._jobs = jobs
        self._dependencies = dependencies
        self._is_confirmed = is_confirmed
        self._clock = clock
        self._most_later = most_later
        self._held: Mapping[str, dict[AllocationKey, Allocation]] = {}
        self._done: Mapping[str, dict[str, set[int]]] = {}
        self._placed: dict[str, set[int]] = {}
        self._finished: dict[str, set[int]] = {}
        self._waiting: dict[str, list[int]] = {}
        self._complete: set[str] = set()
        self._stale: set[str] = set()
        """Jobs for which the four tables above are to be worked out anew."""
        self._unconfirmed: set[str] = set()
        """Small jobs all of whose tasks are done by changes that are later than what was read."""
        self._leaving: dict[str, list[tuple[str, Allocation]]] = {}
        """True of all jobs but those in `_leaving_stale`."""
        self._leaving_stale: set[str] = set()

    def follow(
        self, held: Mapping[str, dict[AllocationKey, Allocation]], done: Mapping[str, dict[str, set[int]]]
    ) -> None:
        """Use these tables, by job, of allocations and of completed tasks by group; see `GroupIndex`."""
        self._held = held
        self._done = done

    def job_changed(self, job_id: str) -> None:
        """Note that a job's record, its allocations or its completed tasks have changed."""
        self._placed.pop(job_id, None)
        self._finished.pop(job_id, None)
        self._stale.add(job_id)
        self._leaving_stale.add(job_id)

    def readiness_changed(self, job_ids: Iterable[str]) -> None:
        """Note that these jobs may have become ready, or may not be ready any more."""
        self._stale.update(job_ids)

    def confirm(self) -> bool:
        """Look again at the jobs whose end was not confirmed, once more was read; False if there are none."""
        if not self._unconfirmed:
            return False
        self._stale |= self._unconfirmed
        self._unconfirmed = set()
        return True

    def placed(self, job_id: str) -> set[int]:
        """Return the tasks of a job that have a place; not to be changed by the caller."""
        tasks = self._placed.get(job_id)
        if tasks is None:
            holds = self._held.get(job_id)
            tasks = set().union(*(hold.tasks for hold in holds.values())) if holds else NO_TASKS
            if holds:
                self._placed[job_id] = tasks
        return tasks

    def finished(self, job: Job) -> set[int]:
        """Return the tasks of a job that are done, by its own record and by those of groups."""
        by_group = self._done.get(job.id)
        if not by_group:
            return job.finished
        tasks = self._finished.get(job.id)
        if tasks is None:
            tasks = self._finished[job.id] = job.finished.union(*by_group.values())
        return tasks

    def all_done(self, job: Job) -> bool:
        """Return whether all tasks of a job are done by what is shown, confirmed or not."""
        return job.spec.kind != "service" and len(self.finished(job)) >= job.spec.tasks

    def waiting(self) -> dict[str, list[int]]:
        """Return the ready jobs with tasks that have no place, and these tasks, lowest first."""
        if self._stale:
            self._settle()
        return self._waiting

    def completed(self) -> set[str]:
        """Return the live jobs all of whose tasks are done; small ones only once that is confirmed."""
        if self._stale:
            self._settle()
        return self._complete

    def unconfirmed(self) -> bool:
        """Return whether the end of a small job waits for what was written before it to be read."""
        if self._stale:
            self._settle()
        return bool(self._unconfirmed)

    def leaving(self) -> dict[str, list[tuple[str, Allocation]]]:
        """Return, by job, the allocations whose tasks are about to end, each with the name of its machine.

        These tasks were told to stop, are of a failed attempt, or their job is over.
        """
        if self._leaving_stale:
            stale, self._leaving_stale = self._leaving_stale, set()
            for job_id in sorted(stale):
                found = self._leaving_of(job_id)
                if found:
                    self._leaving[job_id] = found
                else:
                    self._leaving.pop(job_id, None)
        return self._leaving

    def _leaving_of(self, job_id: str) -> list[tuple[str, Allocation]]:
        job = self._jobs.get(job_id)
        broken = UNLIMITED if job is None else job.record.broken
        return [
            (name, hold)
            for (name, _), hold in self._held.get(job_id, {}).items()
            if hold.record.stop_us >= 0 or hold.attempt <= broken
        ]

    def _settle(self) -> None:
        """Work out anew what waits and what is complete, for the jobs that something changed for."""
        while self._stale:
            stale, self._stale = self._stale, set()
            for job_id in sorted(stale):
                self._settle_job(job_id)
        if len(self._leaving_stale) > MOST_LEAVING_STALE:
            # Where nobody asks which tasks are about to end they would pile up without limit.
            self.leaving()

    def _settle_job(self, job_id: str) -> None:
        self._complete.discard(job_id)
        self._waiting.pop(job_id, None)
        job = self._jobs.get(job_id)
        if job is None or not self._dependencies.ready(job):
            return
        tasks = unplaced_tasks(job, self.placed(job_id), self.finished(job))
        if tasks:
            self._waiting[job_id] = tasks
        elif self.all_done(job):
            self._settle_done(job)

    def _settle_done(self, job: Job) -> None:
        """Count a job as complete; a small one only if that is confirmed (point 13), for then others may start."""
        small = job.spec.tasks <= self._most_later
        if small and not self._is_confirmed(job):
            self._unconfirmed.add(job.id)
            return
        self._complete.add(job.id)
        if small:
            self._stale |= self._dependencies.completed(job.id, self._clock())
