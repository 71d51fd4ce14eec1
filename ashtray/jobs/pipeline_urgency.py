"""How urgent jobs are by the jobs that depend on them.

A job has the priority of its most urgent transitive dependent, and starts early enough for the earliest deadline of
them.  Both values of a job follow from those of its direct dependents.  So after a change the jobs are visited by
level, dependents first: each job is visited once, however many paths lead to it, and only if one of its values may
change.
"""

from __future__ import annotations

from collections.abc import Mapping
from heapq import heappop, heappush

from ashtray.jobs.model import Job

Values = tuple[int, int | None]
"""A job's priority and the time by which it must start."""


class PipelineUrgency:
    """Keeps `Job.priority` and `Job.start_by_us` of jobs with dependencies or dependents up to date.

    A job's level is higher than those of its dependencies.
    """

    def __init__(
        self, linked: Mapping[str, Job], dependents: Mapping[str, set[str]], cancelled: Mapping[str, str]
    ) -> None:
        """`linked` are the live jobs of the graph, `dependents` its edges; `cancelled` jobs do not count."""
        self._linked = linked
        self._dependents = dependents
        self._cancelled = cancelled
        self._levels: dict[str, int] = {}
        self._out_of_date = False
        """Whether a job was added after its dependents: then neither levels nor values are kept up to date."""

    def add(self, job: Job) -> None:
        """Add a linked job."""
        if job.id in self._dependents:
            self._out_of_date = True
        if self._out_of_date:
            return
        self._levels[job.id] = 1 + max((self._levels.get(need, 0) for need in job.spec.needs), default=0)
        self._raise_dependencies(job)

    def replace(self, job: Job, before: Job) -> None:
        """Take over the values of a job whose record has changed; its description has not."""
        job.priority, job.start_by_us = before.priority, before.start_by_us

    def remove(self, job: Job) -> None:
        """Lower the urgency of a job's dependencies, after it was removed from the graph."""
        self._levels.pop(job.id, None)
        if not self._out_of_date:
            self._lower_dependencies(job)

    def update(self) -> None:
        """Compute all levels and values anew if they are out of date, with one visit of each job."""
        if not self._out_of_date:
            return
        self._out_of_date = False
        jobs = self._sort_by_level()
        for job in jobs:
            job.set_own_urgency()
        for job in reversed(jobs):
            if job.id not in self._cancelled:
                for need in job.spec.needs:
                    dependency = self._linked.get(need)
                    if dependency is not None:
                        _raise(dependency, _values_for(dependency, job))

    def _sort_by_level(self) -> list[Job]:
        """Compute all levels; returns the linked jobs, each after its dependencies."""
        self._levels = dict.fromkeys(self._linked, 0)
        open_needs = {
            job_id: sum(need in self._linked for need in job.spec.needs) for job_id, job in self._linked.items()
        }
        found = [job_id for job_id, count in open_needs.items() if not count]
        for job_id in found:
            for dependent in self._dependents.get(job_id, ()):
                if dependent in open_needs:
                    self._levels[dependent] = max(self._levels[dependent], self._levels[job_id] + 1)
                    open_needs[dependent] -= 1
                    if not open_needs[dependent]:
                        found.append(dependent)
        return [self._linked[job_id] for job_id in found]

    def _raise_dependencies(self, job: Job) -> None:
        """Give the transitive dependencies of a job at least its urgency."""
        queue = _LevelQueue(self._levels)
        queue.put(job.id)
        while queue:
            dependent = self._linked[queue.take()]
            if dependent.id in self._cancelled:
                continue
            for need in dependent.spec.needs:
                dependency = self._linked.get(need)
                if dependency is not None and _raise(dependency, _values_for(dependency, dependent)):
                    queue.put(need)

    def _lower_dependencies(self, job: Job) -> None:
        """Compute the urgency anew of the transitive dependencies that may have had it from a job."""
        queue = _LevelQueue(self._levels)
        self._queue_determined(queue, job, (job.priority, job.start_by_us))
        while queue:
            dependency = self._linked[queue.take()]
            before = dependency.priority, dependency.start_by_us
            self._compute(dependency, before)
            if (dependency.priority, dependency.start_by_us) != before:
                self._queue_determined(queue, dependency, before)

    def _queue_determined(self, queue: _LevelQueue, job: Job, values: Values) -> None:
        """Queue the dependencies of a job that may have one of their values from it, given its former values."""
        for need in job.spec.needs:
            dependency = self._linked.get(need)
            if dependency is not None:
                priority, start_by_us = _shifted(dependency, values)
                if dependency.priority == priority or dependency.start_by_us == start_by_us is not None:
                    queue.put(need)

    def _compute(self, job: Job, bound: Values) -> None:
        """Compute the values of a job from its dependents; it is not more urgent than `bound`."""
        job.set_own_urgency()
        for dependent_id in self._dependents.get(job.id, ()):
            if (job.priority, job.start_by_us) == bound:
                return
            dependent = self._linked.get(dependent_id)
            if dependent is not None and dependent_id not in self._cancelled:
                _raise(job, _values_for(job, dependent))


class _LevelQueue:
    """Jobs to visit, those of the highest level first, each once."""

    def __init__(self, levels: Mapping[str, int]) -> None:
        self._levels = levels
        self._heap: list[tuple[int, str]] = []
        self._seen: set[str] = set()

    def __bool__(self) -> bool:
        return bool(self._heap)

    def put(self, job_id: str) -> None:
        """Add a job, unless it was added before."""
        if job_id not in self._seen:
            self._seen.add(job_id)
            heappush(self._heap, (-self._levels.get(job_id, 0), job_id))

    def take(self) -> str:
        """Remove and return a job of the highest level."""
        return heappop(self._heap)[1]


def _values_for(dependency: Job, dependent: Job) -> Values:
    """Return the values that a dependency needs so that its dependent is in time."""
    return _shifted(dependency, (dependent.priority, dependent.start_by_us))


def _shifted(dependency: Job, values: Values) -> Values:
    priority, start_by_us = values
    return priority, None if start_by_us is None else start_by_us - 2 * dependency.spec.estimate_us


def _raise(job: Job, values: Values) -> bool:
    """Make a job at least as urgent as `values`; returns whether that changes it."""
    priority, start_by_us = values
    changed = False
    if priority < job.priority:
        job.priority, changed = priority, True
    if start_by_us is not None and (job.start_by_us is None or start_by_us < job.start_by_us):
        job.start_by_us, changed = start_by_us, True
    return changed
