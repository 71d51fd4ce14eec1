"""Dependencies between jobs: which jobs are ready, which are cancelled, and how urgent their dependencies become.

None of this is stored.  A final state never changes, and a job names its dependencies when it is submitted.  So every
controller derives the same from the jobs' records and final states.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from ashtray.jobs.model import Job


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

    # Updates from the state service

    def put(self, job: Job, final_states: dict[str, Any]) -> set[str]:
        """Add or update a live job; returns the ids of jobs whose readiness may have changed.

        `final_states` are the known final states, by job id.
        """
        new = job.id not in self._linked
        changed: set[str] = set()
        if job.spec.needs or job.id in self.dependents:
            self._linked[job.id] = job
        if new:
            for dependency in job.spec.needs:
                self.dependents.setdefault(dependency, set()).add(job.id)
                if dependency not in self._done_us and dependency in final_states:
                    self._record_end(dependency, final_states[dependency])
                if self._is_cancelled(dependency):
                    changed |= self._mark_cancelled(job.id, dependency)
        self._update_job(job)
        if new:
            self._propagate_urgency(job.spec.needs)
        return changed

    def remove(self, job_id: str) -> None:
        """Remove a job that is no longer live."""
        job = self._linked.pop(job_id, None)
        self.cancelled_by.pop(job_id, None)
        if job is None:
            return
        for dependency in job.spec.needs:
            live_dependents = self.dependents.get(dependency, set())
            live_dependents.discard(job_id)
            if not live_dependents:
                self.dependents.pop(dependency, None)
                self._done_us.pop(dependency, None)
        self._propagate_urgency(job.spec.needs)

    def note_final_state(self, job_id: str, state: Any) -> set[str]:
        """Record a job's final state; returns the ids of jobs whose readiness may have changed."""
        if job_id not in self.dependents or job_id in self._done_us:
            return set()
        self._record_end(job_id, state)
        changed = set(self.dependents[job_id])
        if self._done_us[job_id] is None:
            for dependent in self.dependents[job_id]:
                changed |= self._mark_cancelled(dependent, job_id)
        self._update_jobs(changed)
        return changed

    def completed(self, job_id: str, at_us: int) -> set[str]:
        """Record that a small job counts as done; returns the ids of jobs whose readiness may have changed.

        The group records prove that as reliably as a final state.
        """
        if job_id not in self.dependents or job_id in self._done_us:
            return set()
        self._done_us[job_id] = at_us
        self._update_jobs(self.dependents[job_id])
        return set(self.dependents[job_id])

    def _record_end(self, job_id: str, state: Any) -> None:
        # The previous version did not record the time.
        self._done_us[job_id] = int(state.get("at_us", 0)) if state["status"] == "done" else None

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

    # Queries and derived values

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
        return not self.open(job)

    def unknown(self, job_ids: Iterable[str] | None = None) -> list[str]:
        """Return the dependencies that are neither live nor known to be over.

        They are those of all live jobs, or those of `job_ids` and of their transitive live dependencies.
        """
        found: dict[str, None] = {}
        remaining = list(self._linked if job_ids is None else job_ids)
        seen = set(remaining)
        while remaining:
            job = self._jobs.get(remaining.pop())
            for dependency in self.open(job) if job is not None else ():
                if dependency in self._jobs:
                    if dependency not in seen:
                        seen.add(dependency)
                        remaining.append(dependency)
                elif dependency not in self._done_us:
                    found[dependency] = None
        return list(found)

    def _update_jobs(self, job_ids: Iterable[str]) -> None:
        for job_id in job_ids:
            job = self._jobs.get(job_id)
            if job is not None:
                self._update_job(job)

    def _update_job(self, job: Job) -> None:
        """Recompute since when a job has been ready, and its urgency.

        The urgency is that of its most urgent dependent, if that is higher than its own.
        """
        done_us = [self._done_us.get(dependency) or 0 for dependency in job.spec.needs]
        job.ready_us = max([job.record.accepted_us, *done_us])
        spec = job.spec
        job.priority, job.start_by_us = spec.priority, None
        if spec.deadline_us is not None:
            job.start_by_us = job.record.accepted_us + spec.deadline_us - 2 * spec.estimate_us
        for dependent_id in self.dependents.get(job.id, ()):
            dependent = self._jobs.get(dependent_id)
            if dependent is None or dependent_id in self.cancelled_by:
                continue
            job.priority = min(job.priority, dependent.priority)
            if dependent.start_by_us is not None:
                start_by_us = dependent.start_by_us - 2 * spec.estimate_us
                job.start_by_us = start_by_us if job.start_by_us is None else min(job.start_by_us, start_by_us)

    def _propagate_urgency(self, job_ids: Iterable[str]) -> None:
        """Recompute the urgency of some jobs, and of their transitive dependencies as far as it changes."""
        remaining = list(job_ids)
        while remaining:
            job = self._jobs.get(remaining.pop())
            if job is not None:
                before = job.priority, job.start_by_us
                self._update_job(job)
                if (job.priority, job.start_by_us) != before:
                    remaining += job.spec.needs
