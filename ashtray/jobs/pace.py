"""How long tasks really take: estimates are biased, by class and by day, and that can be learnt."""

from __future__ import annotations

from ashtray.config.settings import Objective
from ashtray.jobs.model import Job
from ashtray.kernel import SECOND_US

WEIGHT = 0.05
UNKNOWN_US = 30 * SECOND_US


class Pace:
    """For each class, the time a task holds its place over the owner's estimate, as a running mean."""

    def __init__(self, objectives: list[Objective], patience_s: float) -> None:
        self.ratios: dict[str, float] = {}
        self._patience_s = patience_s
        waits = [o for o in objectives if o.kind == "wait" and o.job_class and o.within_s]
        self.urgent: dict[str, float] = {}
        """For each class with an aim on waiting, the shortest time that one states, in seconds."""
        for aim in waits:
            within_s = aim.within_s or 0.0
            self.urgent[str(aim.job_class)] = min(within_s, self.urgent.get(str(aim.job_class), within_s))

    def learn(self, job: Job, placed_us: int, ended_us: int) -> None:
        if job.spec.estimate_us > 0:
            ratio = min(max(ended_us - placed_us, 0) / job.spec.estimate_us, 5.0)
            old = self.ratios.get(job.spec.job_class, ratio)
            self.ratios[job.spec.job_class] = old + WEIGHT * (ratio - old)

    def run_us(self, job: Job) -> int:
        """How long a task of a job may be expected to hold its place."""
        estimate = job.spec.estimate_us or UNKNOWN_US
        return int(estimate * self.ratios.get(job.spec.job_class, 1.2))

    def patience_s(self, job: Job) -> float:
        """How long a job may wait for each time that a machine costs as much again as the cheapest."""
        return self._patience_s / 4 if job.spec.job_class in self.urgent else self._patience_s
