"""Derives from objectives and learned run times when a job should start and how long it waits for a cheap machine."""

from __future__ import annotations

from collections.abc import Callable

from ashtray.config.settings import Objective
from ashtray.estimates.learned import Estimates
from ashtray.estimates.run_observer import RunObserver
from ashtray.jobs.model import Job
from ashtray.kernel import SECOND_US

TIME_OBJECTIVES = ("wait", "finished", "deadline")
"""The kinds of objectives that state a time."""
RUN_TIME_RESERVE = 1.5
"""To be done in time, a task should start this many of its expected run times before its due time."""
UNTIMED_PATIENCE_FACTOR = 10
"""Jobs for which no objective states a time wait this many times as long before they take more expensive machines."""


class JobTiming:
    """The objectives that state times, by job class, and the learned run times of tasks."""

    def __init__(
        self, objectives: list[Objective], patience_s: float, job_of: Callable[[str], Job | None] = lambda _: None
    ) -> None:
        self.estimates = Estimates()
        self.run_observer = RunObserver(self.estimates, job_of)
        self._patience_s = patience_s
        wait_objectives = [o for o in objectives if o.kind == "wait" and o.job_class and o.within_s]
        self.wait_objectives_s: dict[str, float] = {}
        """For each class with an objective on waiting, the shortest time stated, in seconds."""
        self._timed_classes = {str(o.job_class) for o in objectives if o.kind in TIME_OBJECTIVES and o.job_class}
        # An objective on guarantees applies to the jobs within them, of every class.
        self._all_timed = not self._timed_classes or any(o.kind == "guarantee" for o in objectives)
        for objective in wait_objectives:
            within_s = objective.within_s or 0.0
            self.wait_objectives_s[str(objective.job_class)] = min(
                within_s, self.wait_objectives_s.get(str(objective.job_class), within_s)
            )

        self._finished_s: dict[str, float] = {}
        """For each class with an objective on being done, the shortest time stated, in seconds."""
        for objective in objectives:
            if objective.kind == "finished" and objective.job_class and objective.within_s:
                name = str(objective.job_class)
                self._finished_s[name] = min(objective.within_s, self._finished_s.get(name, objective.within_s))

    def latest_start_us(self, job: Job) -> int | None:
        """Return when a job's tasks should start to be done in time with some reserve, by the time of day in µs.

        None for jobs that should start at once and for jobs that no objective gives a time to be done.
        """
        if (
            job.spec.job_class in self.wait_objectives_s
            or job.start_by_us is not None
            and job.spec.deadline_us is None
        ):
            # A job whose dependents have deadlines must not use up their time.
            return None
        within_s = self._finished_s.get(job.spec.job_class)
        due_us = job.spec.deadline_us if within_s is None else int(within_s * SECOND_US)
        if due_us is None or job.spec.job_class not in self._timed_classes:
            return None
        since_us = job.record.accepted_us if within_s is None else job.ready_us
        # A job is done when its last task is, so the 95th percentile of the run time counts, too.
        return since_us + due_us - max(int(RUN_TIME_RESERVE * self.run_us(job)), self.late_run_us(job))

    def run_us(self, job: Job) -> int:
        """Return for how many microseconds a task is expected to hold its allocation, from placement to end."""
        return self.run_observer.start_delay_us(job) + self.estimates.median_us(job)

    def late_run_us(self, job: Job) -> int:
        """Return the same for a task whose run time is at the 95th percentile."""
        return self.run_observer.start_delay_us(job) + self.estimates.estimate(job).p95_us

    def patience_s(self, job: Job) -> float:
        """Return how many seconds a job may wait rather than pay the cheapest machine's price once more.

        A machine at three times that price is worth two such waits.
        """
        if job.spec.job_class in self.wait_objectives_s:
            return self._patience_s / 4
        return self._patience_s if self.has_time_objective(job) else self._patience_s * UNTIMED_PATIENCE_FACTOR

    def has_time_objective(self, job: Job) -> bool:
        """Return whether an objective or a deadline, its own or a dependent's, states a time for a job."""
        return self._all_timed or job.spec.job_class in self._timed_classes or job.start_by_us is not None
