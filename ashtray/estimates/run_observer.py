"""Derives run times from the workers' reports: when each task was first reported running, and when as ended."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from ashtray.estimates.learned import Estimates
from ashtray.jobs.model import Job
from ashtray.kernel import SECOND_US

Key = tuple[str, int, int]
"""The job, the attempt and the task number."""
NOT_STARTED = ("fetching", "waiting")
"""The states of a task before it runs."""
MAX_RESUMED = 20_000
START_DELAY_WEIGHT = 0.05
"""The share of one observation in the moving average of a class's start delay, the time from placement to start."""
MAX_START_DELAY_US = 300 * SECOND_US
INITIAL_START_DELAY_US = 5 * SECOND_US


class ReportedTask(Protocol):
    """The state of one task in a report, and why it ended."""

    state: str
    cause: str | None


class RunObserver:
    """Turns reports into observations of run times.

    A run is measured from the first report that shows the task running, provided that an earlier report showed it not
    running.  A task that was running already when its worker came from another controller started at an unknown time
    and is not observed.  Neither is a failed task, because a faulty program fails at once.  The run time of a task
    that was stopped or lost is a lower bound, and so is that of a task that resumed from a checkpoint, because it ran
    for less than a whole run.
    """

    def __init__(self, estimates: Estimates, job_of: Callable[[str], Job | None]) -> None:
        self.estimates = estimates
        self._job_of = job_of
        self._resumed: dict[tuple[str, int], None] = {}
        self._start_delay_us: dict[str, int] = {}
        """Maps a job class to the mean time from a task's placement to its start, in which the order is delivered,
        the image is fetched and the gang becomes complete."""

    def report(
        self,
        machine: str,
        began: dict[Key, int],
        old: Mapping[Key, ReportedTask] | None,
        new: Mapping[Key, ReportedTask],
        now_us: int,
    ) -> list[Key]:
        """Compare two successive reports of one worker; returns the tasks that have started to run.

        `began` maps the worker's running tasks to the time at which they were first reported running.  The caller
        keeps it between calls, and this method updates it.
        """
        started = []
        for key, seen in new.items():
            if seen.state == "running":
                if key not in began and old is not None and (key not in old or old[key].state in NOT_STARTED):
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
        resumed = task in self._resumed or (job.spec.kind == "gang" and job.record.broken > 0)
        if cause == "done" and not (resumed and job.spec.checkpoint_us):
            self.estimates.add_run(job, run_us, machine)
        else:
            self.estimates.add_lower_bound(job, run_us)
        if cause != "done" and job.spec.checkpoint_us:
            self._resumed[task] = None
            if len(self._resumed) > MAX_RESUMED:
                del self._resumed[next(iter(self._resumed))]

    def started(self, job: Job, waited_us: int) -> None:
        """Add the time from a task's placement to the report that showed it running."""
        name = job.spec.job_class
        old = self._start_delay_us.get(name, INITIAL_START_DELAY_US)
        self._start_delay_us[name] = old + int(
            START_DELAY_WEIGHT * (min(max(waited_us, 0), MAX_START_DELAY_US) - old)
        )

    def start_delay_us(self, job: Job) -> int:
        """Return the expected time from placement to start for a task of a job, in microseconds."""
        return self._start_delay_us.get(job.spec.job_class, INITIAL_START_DELAY_US)
