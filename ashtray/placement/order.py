"""The order of the queue under overload: what can still make its next stated time goes before what cannot.

While there is room for everybody the queue is served by age.  Once more comes than there is room for, that lets
*every* job wait beyond the time by which the settings want its class started: each is served just after it has become
too late.  So the jobs of a team and priority are put into bands by how many of the times stated for their class
they have missed for sure, the fewest first, and are served by age within a band.  This is the drop rule of Moore and
Hodgson ("An n job, one machine sequencing algorithm for minimizing the number of late jobs", 1968) without its choice
of whom to drop: places are alike here, so a large gang in time is worth as much as the small ones that it displaces.

Nothing starves: what has waited for `AGED` times its longest stated time goes before all bands, by age.

While no job of a team and priority has missed a time, the order is the age, as it always was.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ashtray.config.settings import Objective
from ashtray.jobs.model import Job
from ashtray.jobs.pace import Pace
from ashtray.kernel import SECOND_US
from ashtray.placement.picture import MachineType, Picture

LAUNCH_US = 2 * SECOND_US
"""From a plan to a task's start, beside the fetch of its image: the commit, the order and the report."""
AGED = 2
Level = tuple[int, bool, str, bool, bool]
"""Jobs that may change places: of one priority and team, and alike in what else goes before age."""


@dataclass(frozen=True, slots=True)
class Standing:
    """How a job stands with the times that the settings state for its class."""

    missed: int
    """How many of them it can no longer make."""
    stated: int
    """How many there are."""
    aged: bool
    """It has waited so long that it goes before all others of its team and priority."""

    @property
    def band(self) -> int:
        return -1 if self.aged else self.missed


class StatedTimes:
    """The times by which aims want a class started and, for gangs, done: theirs follow from their start.

    An array is placed as room comes and done with its last task.  One put back because its first time to be done is
    lost loses the next one, too (tried on simulated days, see `docs/distance.md`).
    """

    def __init__(self, objectives: Iterable[Objective], pace: Pace) -> None:
        self._pace = pace
        self._waits: dict[str, set[int]] = {}
        self._done: dict[str, set[int]] = {}
        self._guaranteed = False
        for aim in objectives:
            self._guaranteed = self._guaranteed or aim.kind == "guarantee"
            found = {"wait": self._waits, "finished": self._done}.get(aim.kind)
            if found is not None and aim.job_class and aim.within_s:
                found.setdefault(aim.job_class, set()).add(int(aim.within_s * SECOND_US))

    def standing(self, job: Job, picture: Picture, wall_us: int) -> Standing:
        """How a job stands if it gets its place now; a class without stated times has missed none."""
        name = job.spec.job_class
        waits = self._waits.get(name, ())
        done = self._done.get(name, ()) if job.spec.kind == "gang" else ()
        # A stage that others wait for, or a job with a deadline, is in time as long as that can be met: put back for
        # a time of its own class, it would hold up the end of its pipeline.
        in_time = job.latest_us is not None and wall_us <= job.latest_us
        if in_time or (not waits and not done):
            return Standing(0, len(waits) + len(done), False)
        age_us = wall_us - job.ready_us
        least_us = LAUNCH_US + fetch_us(job, picture.types.values())
        run_us = self._pace.run_us(job) if done else 0
        # What it could never have made it has not missed.  Found in a recorded day: a gang that takes longer than its
        # class is to take in all went behind everything that came for five minutes.
        missed = sum(within < age_us + least_us for within in waits)
        missed += sum(least_us + run_us <= within < age_us + least_us + run_us for within in done)
        return Standing(missed, len(waits) + len(done), age_us > AGED * max([*waits, *done]))

    def arrange(self, jobs: list[Job], inside: set[str], picture: Picture, wall_us: int) -> list[Job]:
        """A queue served by age, with the jobs of each team and priority in their bands.

        They change places with one another only: whose turn it is between teams and priorities is not judged here,
        nor between classes with stated times and without.
        """
        standings = {job.id: self.standing(job, picture, wall_us) for job in jobs}
        if not any(standing.band for standing in standings.values()):
            return jobs
        # Where an aim is on what is within a guarantee, it is served before the rest of its team.
        levels: dict[str, Level] = {
            job.id: (job.priority, job.suspect, job.spec.team, self._guaranteed and job.id in inside,
                     standings[job.id].stated > 0)
            for job in jobs
        }  # fmt: skip
        of_level: dict[Level, list[Job]] = {}
        for job in jobs:
            of_level.setdefault(levels[job.id], []).append(job)
        turns = {
            level: iter(sorted(alike, key=lambda job: standings[job.id].band)) for level, alike in of_level.items()
        }
        return [next(turns[levels[job.id]]) for job in jobs]


def fetch_us(job: Job, types: Iterable[MachineType]) -> int:
    """How long an image takes on a machine that does not have it, half-way between the types that a job may use."""
    rates = [
        kind.fetch_gb_per_s for kind in types
        if (not job.spec.types or kind.name in job.spec.types) and kind.fetch_gb_per_s > 0
    ]  # fmt: skip
    if not rates:
        return 0
    return int(job.spec.image_gb * (1 / min(rates) + 1 / max(rates)) / 2 * SECOND_US)
