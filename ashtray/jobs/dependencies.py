"""Jobs that wait on others: which are ready, which are cancelled, and how urgent that makes the jobs before them.

Nothing of this is stored.  A final state never changes, and a job names its dependencies when it is submitted, so
everything here follows from the jobs' records and final states, in the same way on every controller.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from ashtray.jobs.model import Job


class Dependencies:
    """The dependency graph of the live jobs, and the known ends of the jobs that they wait on."""

    def __init__(self, jobs: dict[str, Job]) -> None:
        self._jobs = jobs
        self.dependents: dict[str, set[str]] = {}
        """For each job that is waited on, the live jobs that name it."""
        self._ends: dict[str, int | None] = {}
        """When each dependency that is over was done, in microseconds of the time of day; None: it was cancelled.

        Kept as long as a live job names it, unlike the cache of final states.
        """
        self.cancelled_by: dict[str, str] = {}
        """The live jobs that count as cancelled, each with the cancelled dependency that is the reason."""
        self._known: dict[str, Job] = {}
        """The live jobs that have dependencies or dependents."""

    # What is read from the state service

    def put(self, job: Job, over: dict[str, Any]) -> set[str]:
        """Note the record of a live job; returns the ids of jobs whose readiness may have changed."""
        new = job.id not in self._known
        changed: set[str] = set()
        if job.spec.needs or job.id in self.dependents:
            self._known[job.id] = job
        if new:
            for need in job.spec.needs:
                self.dependents.setdefault(need, set()).add(job.id)
                if need not in self._ends and need in over:
                    self._note(need, over[need])
                if self._cancelled(need):
                    changed |= self._cancel_with(job.id, need)
        self._settle(job)
        if new:
            self._lift(job.spec.needs)
        return changed

    def remove(self, job_id: str) -> None:
        """Forget a job that is not live any more."""
        job = self._known.pop(job_id, None)
        self.cancelled_by.pop(job_id, None)
        if job is None:
            return
        for need in job.spec.needs:
            jobs = self.dependents.get(need, set())
            jobs.discard(job_id)
            if not jobs:
                self.dependents.pop(need, None)
                self._ends.pop(need, None)
        self._lift(job.spec.needs)

    def over(self, job_id: str, state: Any) -> set[str]:
        """Note a final state; returns the ids of jobs whose readiness may have changed."""
        if job_id not in self.dependents or job_id in self._ends:
            return set()
        self._note(job_id, state)
        changed = set(self.dependents[job_id])
        if self._ends[job_id] is None:
            for dependent in self.dependents[job_id]:
                changed |= self._cancel_with(dependent, job_id)
        self._settle_all(changed)
        return changed

    def completed(self, job_id: str, at_us: int) -> set[str]:
        """Note that a small job counts as done, which its groups' records prove as finally as a final state."""
        if job_id not in self.dependents or job_id in self._ends:
            return set()
        self._ends[job_id] = at_us
        self._settle_all(self.dependents[job_id])
        return set(self.dependents[job_id])

    def _note(self, job_id: str, state: Any) -> None:
        # The version before did not write down when.
        self._ends[job_id] = int(state.get("at_us", 0)) if state["status"] == "done" else None

    def _cancelled(self, need: str) -> bool:
        return need in self.cancelled_by or (need in self._ends and self._ends[need] is None)

    def _cancel_with(self, job_id: str, need: str) -> set[str]:
        """Count a job as cancelled with a dependency, and all its transitive dependents; returns their ids."""
        cancelled: set[str] = set()
        remaining = [(job_id, need)]
        while remaining:
            job_id, need = remaining.pop()
            if job_id not in self.cancelled_by:
                self.cancelled_by[job_id] = need
                cancelled.add(job_id)
                remaining += [(dependent, job_id) for dependent in self.dependents.get(job_id, ())]
        return cancelled

    # What follows from it

    def open(self, job: Job) -> list[str]:
        """The dependencies that a job still waits on, as far as is known.

        A job that has been placed was ready then and remains so: its dependencies may have been forgotten since.
        """
        if not job.spec.needs or job.record.attempt:
            return []
        return [need for need in job.spec.needs if self._ends.get(need) is None]

    def ready(self, job: Job) -> bool:
        """Whether all dependencies of a job are done.  One whose end is unknown is not done."""
        return not self.open(job)

    def unknown(self, job_ids: Iterable[str] | None = None) -> list[str]:
        """Dependencies that are neither live nor known to be over, of all jobs or of some and what they wait on."""
        found: dict[str, None] = {}
        remaining = list(self._known if job_ids is None else job_ids)
        seen = set(remaining)
        while remaining:
            job = self._jobs.get(remaining.pop())
            for need in self.open(job) if job is not None else ():
                if need in self._jobs:
                    if need not in seen:
                        seen.add(need)
                        remaining.append(need)
                elif need not in self._ends:
                    found[need] = None
        return list(found)

    def _settle_all(self, job_ids: Iterable[str]) -> None:
        for job_id in job_ids:
            job = self._jobs.get(job_id)
            if job is not None:
                self._settle(job)

    def _settle(self, job: Job) -> None:
        """Work out since when a job has been ready, and its urgency: that of its most urgent dependent."""
        ends = [self._ends.get(need) or 0 for need in job.spec.needs]
        job.ready_us = max([job.record.accepted_us, *ends])
        spec = job.spec
        job.priority, job.latest_us = spec.priority, None
        if spec.deadline_us is not None:
            job.latest_us = job.record.accepted_us + spec.deadline_us - 2 * spec.estimate_us
        for dependent_id in self.dependents.get(job.id, ()):
            dependent = self._jobs.get(dependent_id)
            if dependent is None or dependent_id in self.cancelled_by:
                continue
            job.priority = min(job.priority, dependent.priority)
            if dependent.latest_us is not None:
                latest_us = dependent.latest_us - 2 * spec.estimate_us
                job.latest_us = latest_us if job.latest_us is None else min(job.latest_us, latest_us)

    def _lift(self, needs: Iterable[str]) -> None:
        """Work out the urgency of some jobs again, and of their own dependencies as far as it changes."""
        remaining = list(needs)
        while remaining:
            job = self._jobs.get(remaining.pop())
            if job is not None:
                before = job.priority, job.latest_us
                self._settle(job)
                if (job.priority, job.latest_us) != before:
                    remaining += job.spec.needs
