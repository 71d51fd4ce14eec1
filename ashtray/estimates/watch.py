"""What reports say of run times: when each task was first seen running, and when it was seen to have ended."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from ashtray.estimates.learned import Estimates
from ashtray.jobs.model import Job
from ashtray.kernel import SECOND_US

Key = tuple[str, int, int]
"""Job, attempt and task number."""
BEFORE = ("fetching", "waiting")
MOST_RESUMED = 20_000
LEAD_WEIGHT = 0.05
MOST_LEAD_US = 300 * SECOND_US
FIRST_LEAD_US = 5 * SECOND_US


class Seen(Protocol):
    """What a report says of one task."""

    state: str
    cause: str | None


class Watch:
    """Turns reports into observations.

    A run counts from the first report that shows it, where an earlier one had not: what was running when its worker
    came over from another controller began at an unknown time and teaches nothing.  A task that failed teaches
    nothing, for one with a mistake fails at once; one that was stopped or lost ran for at least so long; one that
    went on from a checkpoint ran for less than a whole run and counts as a lower bound as well.
    """

    def __init__(self, estimates: Estimates, job_of: Callable[[str], Job | None]) -> None:
        self.estimates = estimates
        self._job_of = job_of
        self._resumed: dict[tuple[str, int], None] = {}
        self._lead_us: dict[str, int] = {}
        """For each class, from a task's place to its start: the order, its image, its gang."""

    def report(
        self,
        machine: str,
        began: dict[Key, int],
        old: Mapping[Key, Seen] | None,
        new: Mapping[Key, Seen],
        now_us: int,
    ) -> list[Key]:
        """Compare two reports of one worker; returns what has begun to run.

        `began` is what is known of its running tasks, kept by the caller.
        """
        started = []
        for key, seen in new.items():
            if seen.state == "running":
                if key not in began and old is not None and (key not in old or old[key].state in BEFORE):
                    began[key] = now_us
                    started.append(key)
            elif seen.state == "ended" and key in began:
                self._ended(machine, key, now_us - began.pop(key), seen.cause)
        for key in [key for key in began if key not in new]:
            self._ended(machine, key, now_us - began.pop(key), None)
        return started

    def _ended(self, machine: str, key: Key, run_us: int, cause: str | None) -> None:
        job = self._job_of(key[0])
        if job is None or cause == "error":
            return
        task = (key[0], key[2])
        went_on = task in self._resumed or (job.spec.kind == "gang" and job.record.broken > 0)
        if cause == "done" and not (went_on and job.spec.checkpoint_us):
            self.estimates.ran(job, run_us, machine)
        else:
            self.estimates.ran_at_least(job, run_us)
        if cause != "done" and job.spec.checkpoint_us:
            self._resumed[task] = None
            if len(self._resumed) > MOST_RESUMED:
                del self._resumed[next(iter(self._resumed))]

    def started(self, job: Job, waited_us: int) -> None:
        """A task was seen to run so long after it got its place."""
        name = job.spec.job_class
        old = self._lead_us.get(name, FIRST_LEAD_US)
        self._lead_us[name] = old + int(LEAD_WEIGHT * (min(max(waited_us, 0), MOST_LEAD_US) - old))

    def lead_us(self, job: Job) -> int:
        """How long a task of a job may be expected to hold its place before it runs."""
        return self._lead_us.get(job.spec.job_class, FIRST_LEAD_US)
