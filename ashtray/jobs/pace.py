"""What aims and learnt run times say of a job: by when it should start, and how long it waits for a dear machine."""

from __future__ import annotations

from collections.abc import Callable

from ashtray.config.settings import Objective
from ashtray.estimates.learned import Estimates
from ashtray.estimates.watch import Watch
from ashtray.jobs.model import Job
from ashtray.kernel import SECOND_US

TIMED = ("wait", "finished", "deadline")
RESERVE = 1.5
"""How many of its run times a task is given to be done in time."""
UNTIMED = 10
"""A class for which no aim states a time waits so many times as long before it takes dearer machines."""


class Pace:
    """Aims by class, and what was learnt of how long tasks hold their places."""

    def __init__(
        self, objectives: list[Objective], patience_s: float, job_of: Callable[[str], Job | None] = lambda _: None
    ) -> None:
        self.estimates = Estimates()
        self.watch = Watch(self.estimates, job_of)
        self._patience_s = patience_s
        waits = [o for o in objectives if o.kind == "wait" and o.job_class and o.within_s]
        self.urgent: dict[str, float] = {}
        """For each class with an aim on waiting, the shortest time that one states, in seconds."""
        self._timed = {str(o.job_class) for o in objectives if o.kind in TIMED and o.job_class}
        # An aim on what is within a guarantee is an aim for every class.
        self._all_timed = not self._timed or any(o.kind == "guarantee" for o in objectives)
        for aim in waits:
            within_s = aim.within_s or 0.0
            self.urgent[str(aim.job_class)] = min(within_s, self.urgent.get(str(aim.job_class), within_s))

        self._finished_s: dict[str, float] = {}
        """For each class with an aim on being done, the shortest time that one states."""
        for aim in objectives:
            if aim.kind == "finished" and aim.job_class and aim.within_s:
                name = str(aim.job_class)
                self._finished_s[name] = min(aim.within_s, self._finished_s.get(name, aim.within_s))

    def latest_start_us(self, job: Job) -> int | None:
        """The time of day by which a job's tasks should start to be done in time, with some reserve.

        None for jobs that should start at once, or for which no aim says by when.
        """
        if job.spec.job_class in self.urgent or job.latest_us is not None and job.spec.deadline_us is None:
            # A stage that others wait for must not use up the time that they have.
            return None
        within_s = self._finished_s.get(job.spec.job_class)
        due_us = job.spec.deadline_us if within_s is None else int(within_s * SECOND_US)
        if due_us is None or job.spec.job_class not in self._timed:
            return None
        since_us = job.record.accepted_us if within_s is None else job.ready_us
        # A job is done with the last of its tasks, so what one of twenty takes counts.
        return since_us + due_us - max(int(RESERVE * self.run_us(job)), self.late_run_us(job))

    def run_us(self, job: Job) -> int:
        """How long a task of a job may be expected to hold its place: until it runs, and then its run."""
        return self.watch.lead_us(job) + self.estimates.median_us(job)

    def late_run_us(self, job: Job) -> int:
        """How long all but one of twenty tasks of a job hold their place at the most."""
        return self.watch.lead_us(job) + self.estimates.estimate(job).p95_us

    def patience_s(self, job: Job) -> float:
        """How long a job may wait for each time that a machine costs as much again as the cheapest."""
        if job.spec.job_class in self.urgent:
            return self._patience_s / 4
        return self._patience_s if self.timed(job) else self._patience_s * UNTIMED

    def timed(self, job: Job) -> bool:
        """Whether an aim or a deadline states a time for a job, or for one that needs it."""
        return self._all_timed or job.spec.job_class in self._timed or job.latest_us is not None
