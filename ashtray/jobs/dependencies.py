"""Dependencies between jobs: which jobs are ready, which are cancelled, and which final states are still to be read.

None of this is stored.  A final state never changes, and a job names its dependencies when it is submitted.  So every
controller derives the same from the jobs' records and final states.

A user may submit pipelines of any length, whose jobs name up to a record's size of others.  So a change costs only
what it changes: the end of a dependency is counted at its dependents, and nothing follows the paths of the graph
again that have not changed.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from ashtray.jobs.model import Job
from ashtray.jobs.pipeline_urgency import PipelineUrgency


class Dependencies:
    """The dependency graph of the live jobs, and when the jobs that they wait on ended, where that is known."""

    def __init__(self, jobs: dict[str, Job]) -> None:
        self._jobs = jobs
        self.dependents: dict[str, set[str]] = {}
        """For each dependency, live or not, the ids of the live jobs that name it."""
        self._done_us: dict[str, int | None] = {}
        """When each dependency that is over was done, in microseconds of the time of day; None: it was cancelled.

        Unlike in the cache of final states, an entry is kept as long as a live job names the dependency.
        """
        self.cancelled_by: dict[str, str] = {}
        """The live jobs that count as cancelled, each with the cancelled dependency that is the reason."""
        self._linked: dict[str, Job] = {}
        """The live jobs that have dependencies or dependents."""
        self._open_count: dict[str, int] = {}
        """By linked job, how many of its dependencies are not known to be done."""
        self._unknown: dict[str, None] = {}
        """The dependencies of jobs not placed yet that are neither live nor known to be over, oldest first."""
        self._settled: set[str] = set()
        """Linked jobs none of whose transitive dependencies is unknown; that stays so, as final states do."""
        self._urgency = PipelineUrgency(self._linked, self.dependents, self.cancelled_by)

    # Updates from the state service

    def put(self, job: Job, final_states: dict[str, Any]) -> set[str]:
        """Add or update a live job; returns the ids of jobs whose readiness may have changed.

        `final_states` are the known final states, by job id.
        """
        before = self._linked.get(job.id)
        if before is not None:
            self._linked[job.id] = job
            job.ready_us = before.ready_us
            self._urgency.replace(job, before)
            return set()
        if not job.spec.needs and job.id not in self.dependents:
            return set()
        return self._link(job, final_states)

    def _link(self, job: Job, final_states: dict[str, Any]) -> set[str]:
        """Add a live job to the graph; returns the ids of jobs that count as cancelled now."""
        self._linked[job.id] = job
        self._unknown.pop(job.id, None)
        cancelled: set[str] = set()
        self._open_count[job.id] = len(job.spec.needs)
        for dependency in job.spec.needs:
            self._add_dependent(dependency, job)
            if dependency not in self._done_us and dependency in final_states:
                self._record_end(dependency, final_states[dependency])
            done_us = self._done_us.get(dependency)
            if done_us is not None:
                self._count_done(job, done_us)
            elif self._is_cancelled(dependency):
                cancelled |= self._mark_cancelled(job.id, dependency)
        self._urgency.add(job)
        return cancelled

    def _add_dependent(self, dependency_id: str, job: Job) -> None:
        """Note that a job names a dependency."""
        self.dependents.setdefault(dependency_id, set()).add(job.id)
        dependency = self._jobs.get(dependency_id)
        if dependency is not None:
            if dependency_id not in self._linked:
                self._linked[dependency_id] = dependency
                self._open_count[dependency_id] = 0
        elif dependency_id not in self._done_us and not job.record.attempt:
            self._unknown[dependency_id] = None

    def _count_done(self, job: Job, done_us: int) -> None:
        """Count a dependency of a job that is done."""
        self._open_count[job.id] -= 1
        job.ready_us = max(job.ready_us, done_us)

    def update_urgency(self) -> None:
        """Bring the urgency of all jobs up to date, after records were read in any order."""
        self._urgency.update()

    def remove(self, job_id: str) -> None:
        """Remove a job that is no longer live."""
        job = self._linked.pop(job_id, None)
        self.cancelled_by.pop(job_id, None)
        if job is None:
            return
        del self._open_count[job_id]
        self._settled.discard(job_id)
        if job_id in self.dependents and job_id not in self._done_us:
            self._unknown[job_id] = None
        for dependency in job.spec.needs:
            live_dependents = self.dependents.get(dependency, set())
            live_dependents.discard(job_id)
            if not live_dependents:
                self.dependents.pop(dependency, None)
                self._done_us.pop(dependency, None)
                self._unknown.pop(dependency, None)
        self._urgency.remove(job)

    def note_final_state(self, job_id: str, state: Any) -> set[str]:
        """Record a job's final state; returns the ids of jobs whose readiness may have changed."""
        if job_id not in self.dependents or job_id in self._done_us:
            return set()
        self._record_end(job_id, state)
        done_us = self._done_us[job_id]
        if done_us is not None:
            return self._count_done_for_dependents(job_id, done_us)
        changed: set[str] = set()
        for dependent in self.dependents[job_id]:
            changed |= self._mark_cancelled(dependent, job_id)
        return changed

    def completed(self, job_id: str, at_us: int) -> set[str]:
        """Record that a small job counts as done; returns the ids of jobs whose readiness may have changed.

        The group records prove that as reliably as a final state.
        """
        if job_id not in self.dependents or job_id in self._done_us:
            return set()
        self._done_us[job_id] = at_us
        return self._count_done_for_dependents(job_id, at_us)

    def _count_done_for_dependents(self, job_id: str, done_us: int) -> set[str]:
        """Count a job that is done at its dependents; returns the ids of those that are ready now."""
        ready: set[str] = set()
        for dependent_id in self.dependents[job_id]:
            dependent = self._linked.get(dependent_id)
            if dependent is not None:
                self._count_done(dependent, done_us)
                if not self._open_count[dependent_id]:
                    ready.add(dependent_id)
        return ready

    def _record_end(self, job_id: str, state: Any) -> None:
        # The previous version did not record the time.
        self._done_us[job_id] = int(state.get("at_us", 0)) if state["status"] == "done" else None
        self._unknown.pop(job_id, None)

    def _is_cancelled(self, dependency: str) -> bool:
        return dependency in self.cancelled_by or (dependency in self._done_us and self._done_us[dependency] is None)

    def _mark_cancelled(self, job_id: str, dependency: str) -> set[str]:
        """Count a job as cancelled with a dependency, and so its transitive dependents.

        Returns the ids of those that did not count as cancelled before.
        """
        cancelled: set[str] = set()
        remaining = [(job_id, dependency)]
        while remaining:
            job_id, dependency = remaining.pop()
            if job_id not in self.cancelled_by:
                self.cancelled_by[job_id] = dependency
                cancelled.add(job_id)
                remaining += [(dependent, job_id) for dependent in self.dependents.get(job_id, ())]
        return cancelled

    # Queries

    def open(self, job: Job) -> list[str]:
        """Return the dependencies of a job that are not known to be done.

        There are none for a job that has been placed.  It was ready then and remains so, while the ends of its
        dependencies may have been dropped since.
        """
        if not job.spec.needs or job.record.attempt:
            return []
        return [dependency for dependency in job.spec.needs if self._done_us.get(dependency) is None]

    def ready(self, job: Job) -> bool:
        """Return whether all dependencies of a job are known to be done."""
        return not job.spec.needs or job.record.attempt > 0 or not self._open_count.get(job.id, len(job.spec.needs))

    def unknown(self) -> list[str]:
        """Return the dependencies of live jobs that are neither live nor known to be over."""
        return list(self._unknown)

    def is_unknown(self, job_id: str) -> bool:
        """Return whether a live job names this one, which is neither live nor known to be over."""
        return job_id in self._unknown

    def unknown_of(self, job: Job) -> Iterator[str]:
        """Yield the transitive dependencies of a job that are neither live nor known to be over.

        The caller makes each one known before it asks for the next, which may be much later.  What was found to
        depend on nothing unknown is not followed again, by this call or another.
        """
        if not self._unknown:
            return
        path = [(job, iter(self.open(job)))]
        while path:
            dependent, needs = path[-1]
            for need in needs:
                dependency = self._jobs.get(need)
                if dependency is not None and need not in self._settled:
                    path.append((dependency, iter(self.open(dependency))))
                    break
                if dependency is None and need in self._unknown:
                    yield need
            else:
                path.pop()
                if dependent.id in self._linked:
                    self._settled.add(dependent.id)
