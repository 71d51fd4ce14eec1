"""The order of the queue under overload: what can still make its next stated time goes before what cannot.

While there is room for everybody the queue is served by age.  Once more comes than there is room for, that lets
*every* job wait beyond the time by which the settings want its class started: each is served just after it has become
too late.  So the jobs of a team and priority are put into bands by how many of the times stated for their class
they have missed for sure, the fewest first, and are served by age within a band.  This is the drop rule of Moore and
Hodgson ("An n job, one machine sequencing algorithm for minimizing the number of late jobs", 1968) without its choice
of whom to drop: places are alike here, so a large gang in time is worth as much as the small ones that it displaces.

Nothing starves: what has waited for `AGED` times its longest stated time goes before all bands, by age.

Jobs for which nobody states a time are judged by one thing only: that they get done.  Of these the one that needs
the least room still goes first (`room_left`): the rule of the shortest remaining processing time (Schrage, "A proof
of the optimality of the shortest remaining processing time discipline", 1968), which ends the most jobs in any given
room and ends what is begun before it begins more.  By age, under pressure, large arrays are begun one after the other
and hardly one is ended.  What has waited `PATIENT` times as long as one of its tasks runs goes first, by age.

That puts the largest last, and under pressure they would not begin at all.  The users want the largest jobs of a
class, too, to begin within four minutes.  So one that has no task in a place after most of that goes first, by age,
until it has begun: an array on one machine, which takes little of the room; a gang with all of its tasks.

While no job of a team and priority has missed a time, and all have one, the order is the age, as it always was.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ashtray.config.settings import Objective
from ashtray.jobs.model import Job
from ashtray.jobs.pace import Pace
from ashtray.kernel import SECOND_US
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.records import MachineType

LAUNCH_US = 2 * SECOND_US
"""From a plan to a task's start, beside the fetch of its image: the commit, the order and the report."""
AGED = 2
"""A job that has waited so many times its longest stated time goes first, by age."""
PATIENT = 20
"""A job without stated times that has waited so many times as long as a task of it runs goes first, by age."""
BEGIN_US = 240 * SECOND_US
"""Within that the users want every job to begin."""
BEGIN_SHARE = 0.75
"""What has not begun after this part of it goes first: not sooner, for a place on one machine alone costs as many
changes as one for thirty tasks."""
Amounts = tuple[float, float, float]
"""CPUs, GPUs, GB of memory."""
Level = tuple[int, bool, str, bool, bool, bool]
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
    by_room: bool = False
    """No time is stated for it: it is served by the room that it still needs."""
    begins: bool = False
    """It has no task in a place, and most of the time in which it is to begin is over."""

    @property
    def band(self) -> int:
        """The place of a job in its level, the least first: -1 goes before all others."""
        return -1 if self.aged or self.begins else self.missed


class StatedTimes:
    """The times by which aims want a class started and, for gangs, done: theirs follow from their start.

    An array is placed as room comes and done with its last task.  One put back because its first time to be done is
    lost loses the next one, too (tried on simulated days, see `docs/distance.md`).
    """

    def __init__(self, objectives: Iterable[Objective], pace: Pace) -> None:
        self._pace = pace
        self._waits: dict[str, set[int]] = {}
        self._done: dict[str, set[int]] = {}
        self.begins: set[str] = set()
        """Jobs that go first only to begin, as the queue was last made."""
        self._guaranteed = False
        """Where an aim is on what is within a guarantee, it is served before the rest of its team."""
        for aim in objectives:
            self._guaranteed = self._guaranteed or aim.kind == "guarantee"
            found = {"wait": self._waits, "finished": self._done}.get(aim.kind)
            if found is not None and aim.job_class and aim.within_s:
                found.setdefault(aim.job_class, set()).add(int(aim.within_s * SECOND_US))

    def standing(self, job: Job, cluster_state: ClusterState, wall_us: int) -> Standing:
        """How a job stands if it gets its place now; a class without stated times has missed none."""
        name = job.spec.job_class
        waits = self._waits.get(name, ())
        done = self._done.get(name, ()) if job.spec.kind == "gang" else ()
        # A stage that others wait for, or a job with a deadline, is in time as long as that can be met: put back for
        # a time of its own class, it would hold up the end of its pipeline.
        in_time = job.latest_us is not None and wall_us <= job.latest_us
        if in_time or (not waits and not done):
            by_room = not self._pace.timed(job)
            age_us = wall_us - job.ready_us
            aged = by_room and age_us > PATIENT * self._pace.run_us(job)
            begins = by_room and not aged and age_us > BEGIN_SHARE * BEGIN_US
            begins = begins and not cluster_state.placed(job.id) and not cluster_state.finished(job)
            return Standing(0, len(waits) + len(done), aged, by_room and not aged and not begins, begins)
        age_us = wall_us - job.ready_us
        least_us = LAUNCH_US + fetch_us(job, cluster_state.types.values())
        run_us = self._pace.run_us(job) if done else 0
        # What it could never have made it has not missed.  Found in a recorded day: a gang that takes longer than its
        # class is to take in all went behind everything that came for five minutes.
        missed = sum(within < age_us + least_us for within in waits)
        missed += sum(least_us + run_us <= within < age_us + least_us + run_us for within in done)
        return Standing(missed, len(waits) + len(done), age_us > AGED * max([*waits, *done]))

    def arrange(
        self, jobs: list[Job], inside: set[str], cluster_state: ClusterState, wall_us: int
    ) -> tuple[list[Job], set[str]]:
        """A queue served by age, with the jobs of each team and priority in their bands, or by the room they need;
        and which have missed all the times that are stated for them.

        They change places with one another only: whose turn it is between teams and priorities is not judged here,
        nor between jobs with stated times and without.
        """
        of_level: dict[Level, list[tuple[tuple[int, float], Job]]] = {}
        levels: list[Level] = []
        too_late: set[str] = set()
        self.begins = set()
        changes = False
        largest = largest_of(cluster_state.types.values())
        for job in jobs:
            standing = self.standing(job, cluster_state, wall_us)
            rank = (standing.band, self.room_left(job, cluster_state, largest) if standing.by_room else 0.0)
            changes = changes or any(rank)
            if standing.begins:
                self.begins.add(job.id)
            if standing.stated and standing.missed == standing.stated and not standing.aged:
                too_late.add(job.id)
            within = self._guaranteed and job.id in inside
            stated = standing.stated > 0, self._pace.timed(job)
            level = (job.priority, job.suspect, job.spec.team, within, *stated)
            levels.append(level)
            of_level.setdefault(level, []).append((rank, job))
        if not changes:
            return jobs, too_late
        turns = {level: iter(sorted(alike, key=lambda entry: entry[0])) for level, alike in of_level.items()}
        return [next(turns[level])[1] for level in levels], too_late

    def room_left(self, job: Job, cluster_state: ClusterState, largest: Amounts) -> float:
        """What a job's tasks without a place will take until they are done, in machine microseconds.

        The scarcest part of the largest machine counts (dominant shares: Ghodsi and others, 2011), so that jobs of
        different shapes compare.
        """
        spec = job.spec
        part = max(
            (need / most for need, most in zip((spec.cpus, spec.gpus, spec.memory_gb), largest, strict=True) if most),
            default=1.0,
        )
        return len(cluster_state.waiting().get(job.id, ())) * part * self._pace.run_us(job)


def largest_of(kinds: Iterable[MachineType]) -> Amounts:
    """The most that one machine of any type has of each."""
    cpus = gpus = memory_gb = 0.0
    for kind in kinds:
        cpus, gpus, memory_gb = max(cpus, kind.cpus), max(gpus, kind.gpus), max(memory_gb, kind.memory_gb)
    return cpus, gpus, memory_gb


def fetch_us(job: Job, types: Iterable[MachineType]) -> int:
    """How long an image takes on a machine that does not have it, half-way between the types that a job may use."""
    rates = [
        kind.fetch_gb_per_s
        for kind in types
        if (not job.spec.types or kind.name in job.spec.types) and kind.fetch_gb_per_s > 0
    ]
    if not rates:
        return 0
    return int(job.spec.image_gb * (1 / min(rates) + 1 / max(rates)) / 2 * SECOND_US)
