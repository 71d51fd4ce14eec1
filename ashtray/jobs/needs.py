"""Jobs that wait on others: which are ready, which are cancelled with them, and how urgent that makes those before.

Nothing of this is stored.  A job that is over never changes, and what a job needs is named when it is accepted, so
all of it follows from the jobs' records and final states, on every controller alike.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from ashtray.jobs.model import Job


class Needs:
    """The live jobs that name others, and what is known of these."""

    def __init__(self, jobs: dict[str, Job]) -> None:
        self._jobs = jobs
        self.after: dict[str, set[str]] = {}
        """For each needed job the live jobs that name it."""
        self._ends: dict[str, int | None] = {}
        """For the needed jobs that are over, when they were done, by the time of day; None: cancelled.

        Kept as long as a live job needs them, unlike the cache of final states.
        """
        self.doomed: dict[str, str] = {}
        """Live jobs that are cancelled because one that they need is, and which."""
        self._known: dict[str, Job] = {}

    # What the picture tells

    def put(self, job: Job, over: dict[str, Any]) -> set[str]:
        """A live job's record was read; returns jobs whose readiness is to be looked at again."""
        new = job.id not in self._known
        changed: set[str] = set()
        if job.spec.needs or job.id in self.after:
            self._known[job.id] = job
        if new:
            for need in job.spec.needs:
                self.after.setdefault(need, set()).add(job.id)
                if need not in self._ends and need in over:
                    self._note(need, over[need])
                if self._cancelled(need):
                    changed |= self._doom(job.id, need)
        self._settle(job)
        if new:
            self._lift(job.spec.needs)
        return changed

    def remove(self, job_id: str) -> None:
        """A job is not live any more: nobody waits for its sake."""
        job = self._known.pop(job_id, None)
        self.doomed.pop(job_id, None)
        if job is None:
            return
        for need in job.spec.needs:
            jobs = self.after.get(need, set())
            jobs.discard(job_id)
            if not jobs:
                self.after.pop(need, None)
                self._ends.pop(need, None)
        self._lift(job.spec.needs)

    def over(self, job_id: str, state: Any) -> set[str]:
        """A final state was seen; returns the jobs that it matters to."""
        if job_id not in self.after or job_id in self._ends:
            return set()
        self._note(job_id, state)
        changed = set(self.after[job_id])
        if self._ends[job_id] is None:
            for child in self.after[job_id]:
                changed |= self._doom(child, job_id)
        self._settle_all(changed)
        return changed

    def completed(self, job_id: str, at_us: int) -> set[str]:
        """A small job counts as done by its groups' word, which is as final."""
        if job_id not in self.after or job_id in self._ends:
            return set()
        self._ends[job_id] = at_us
        self._settle_all(self.after[job_id])
        return set(self.after[job_id])

    def _note(self, job_id: str, state: Any) -> None:
        # The version before did not write down when.
        self._ends[job_id] = int(state.get("at_us", 0)) if state["status"] == "done" else None

    def _cancelled(self, need: str) -> bool:
        return need in self.doomed or (need in self._ends and self._ends[need] is None)

    def _doom(self, job_id: str, need: str) -> set[str]:
        """A job is cancelled with one that it needs, and so are all after it."""
        found: set[str] = set()
        left = [(job_id, need)]
        while left:
            job_id, need = left.pop()
            if job_id not in self.doomed:
                self.doomed[job_id] = need
                found.add(job_id)
                left += [(child, job_id) for child in self.after.get(job_id, ())]
        return found

    # What follows

    def open(self, job: Job) -> list[str]:
        """What a job still waits for, as far as is known.

        One that has been placed was ready then, and stays so: what it needs need not be known any more.
        """
        if not job.spec.needs or job.record.attempt:
            return []
        return [need for need in job.spec.needs if self._ends.get(need) is None]

    def ready(self, job: Job) -> bool:
        """Whether all that a job needs is done.  What is not known is not done."""
        return not self.open(job)

    def unknown(self, job_ids: Iterable[str] | None = None) -> list[str]:
        """Needed jobs, of all or of some and those before them, neither live nor known to be over."""
        found: dict[str, None] = {}
        left = list(self._known if job_ids is None else job_ids)
        seen = set(left)
        while left:
            job = self._jobs.get(left.pop())
            for need in self.open(job) if job is not None else ():
                if need in self._jobs:
                    if need not in seen:
                        seen.add(need)
                        left.append(need)
                elif need not in self._ends:
                    found[need] = None
        return list(found)

    def _settle_all(self, job_ids: Iterable[str]) -> None:
        for job_id in job_ids:
            job = self._jobs.get(job_id)
            if job is not None:
                self._settle(job)

    def _settle(self, job: Job) -> None:
        """Since when a job has been ready, and how urgent it is: as the most urgent job that needs it."""
        ends = [self._ends.get(need) or 0 for need in job.spec.needs]
        job.ready_us = max([job.record.accepted_us, *ends])
        spec = job.spec
        job.priority, job.latest_us = spec.priority, None
        if spec.deadline_us is not None:
            job.latest_us = job.record.accepted_us + spec.deadline_us - 2 * spec.estimate_us
        for child_id in self.after.get(job.id, ()):
            child = self._jobs.get(child_id)
            if child is None or child_id in self.doomed:
                continue
            job.priority = min(job.priority, child.priority)
            if child.latest_us is not None:
                latest_us = child.latest_us - 2 * spec.estimate_us
                job.latest_us = latest_us if job.latest_us is None else min(job.latest_us, latest_us)

    def _lift(self, needs: Iterable[str]) -> None:
        """Work out anew how urgent some jobs are, and those before them as far as it changes."""
        left = list(needs)
        while left:
            job = self._jobs.get(left.pop())
            if job is not None:
                before = job.priority, job.latest_us
                self._settle(job)
                if (job.priority, job.latest_us) != before:
                    left += job.spec.needs
