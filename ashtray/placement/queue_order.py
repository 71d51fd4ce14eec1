"""The order of the queue under overload: jobs that can still meet their next stated time go before jobs that cannot.

While there is capacity for all jobs, the queue is served by age.  Under overload, serving by age makes *every* job
wait longer than the settings state for its class: each is served just after it has become too late.  So the jobs of a
team and priority are sorted into bands by how many of the times stated for their class they have certainly missed,
the fewest first, and are served by age within a band.  This is the drop rule of Moore and Hodgson ("An n job, one
machine sequencing algorithm for minimizing the number of late jobs", 1968) without its choice of the job to drop:
here all jobs count alike, so a large gang in time is worth as much as the small ones that it displaces.

No job starves: a job that has waited for `AGED_FACTOR` times its longest stated time goes before all bands, by age.

For jobs without a stated time, only completion counts.  Among these, the job that needs the least work to complete
goes first (`remaining_work`): the rule of the shortest remaining processing time (Schrage, "A proof of the optimality
of the shortest remaining processing time discipline", 1968).  It completes the most jobs with a given capacity, and
completes started jobs before it starts others.  Served by age, under overload, large arrays are started one after the
other and hardly any is completed.  A job that has waited `UNTIMED_AGED_FACTOR` times as long as one of its tasks runs
goes first, by age.

This rule puts the largest jobs last, and under overload they would not start at all.  But users want the largest jobs
of a class, too, to start within four minutes.  So a job with no task placed after most of that time goes first, by
age, until it has started: an array on one machine, which takes little capacity; a gang with all of its tasks.

While no job of a team and priority has missed a time, and all have one, the order is by age.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from ashtray.config.settings import Objective
from ashtray.jobs.job_timing import JobTiming
from ashtray.jobs.model import Job
from ashtray.kernel import SECOND_US
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.records import MachineType

LAUNCH_US = 2 * SECOND_US
"""The time from a plan to a task's start, without the fetch of its image: the commit, the order and the report."""
AGED_FACTOR = 2
"""A job that has waited this many times its longest stated time goes first, by age."""
UNTIMED_AGED_FACTOR = 20
"""A job without stated times that has waited this many times as long as one of its tasks runs goes first, by age."""
START_WITHIN_US = 240 * SECOND_US
"""The time within which users want every job to start."""
START_FIRST_SHARE = 0.75
"""A job that has not started after this part of `START_WITHIN_US` goes first.  Not sooner, because a task on one
machine alone costs as many writes as thirty tasks there."""
Amounts = tuple[float, float, float]
"""CPUs, GPUs, GB of memory."""
Level = tuple[int, bool, str, bool, bool, bool]
"""What jobs that may swap positions have in common: priority, team, and whatever else takes precedence over age."""


@dataclass(frozen=True, slots=True)
class Standing:
    """How a job stands with regard to the times that the settings state for its class."""

    missed: int
    """How many of the stated times it can no longer meet."""
    stated: int
    """The number of stated times."""
    aged: bool
    """Whether it has waited so long that it goes before all other jobs of its team and priority."""
    by_work: bool = False
    """Whether it is ordered by its remaining work, because no time is stated for it."""
    starts_first: bool = False
    """Whether it goes first until it starts: none of its tasks is placed and most of `START_WITHIN_US` is over."""

    @property
    def band(self) -> int:
        """The band of a job in its level, the lowest first; -1 goes before all others."""
        return -1 if self.aged or self.starts_first else self.missed


class StatedTimes:
    """The times by which objectives want the jobs of a class started and, for gangs, completed.

    Completion times are used for gangs only, because their end follows from their start.  An array is placed as
    capacity becomes free and is completed with its last task; put back because it has missed its first completion
    time, it misses the next one, too (see `docs/distance.md`).
    """

    def __init__(self, objectives: Iterable[Objective], job_timing: JobTiming) -> None:
        self._job_timing = job_timing
        self._waits: dict[str, set[int]] = {}
        self._done: dict[str, set[int]] = {}
        self.starts_first: set[str] = set()
        """The ids of the jobs that go first until they start, as of the last call of `arrange`."""
        self._guaranteed = False
        """Whether an objective covers jobs within a guarantee: then these go before the rest of their team."""
        for objective in objectives:
            self._guaranteed = self._guaranteed or objective.kind == "guarantee"
            found = {"wait": self._waits, "finished": self._done}.get(objective.kind)
            if found is not None and objective.job_class and objective.within_s:
                found.setdefault(objective.job_class, set()).add(int(objective.within_s * SECOND_US))

    def standing(self, job: Job, cluster_state: ClusterState, wall_us: int) -> Standing:
        """Return how a job stands if it is placed now; a class without stated times has missed none."""
        name = job.spec.job_class
        waits = self._waits.get(name, ())
        done = self._done.get(name, ()) if job.spec.kind == "gang" else ()
        # A stage that other jobs wait for, or a job with a deadline, is in time as long as the deadline can be met:
        # put back for a time of its own class, it would delay the end of its pipeline.
        in_time = job.start_by_us is not None and wall_us <= job.start_by_us
        if in_time or (not waits and not done):
            by_work = not self._job_timing.has_time_objective(job)
            age_us = wall_us - job.ready_us
            aged = by_work and age_us > UNTIMED_AGED_FACTOR * self._job_timing.run_us(job)
            starts_first = by_work and not aged and age_us > START_FIRST_SHARE * START_WITHIN_US
            starts_first = starts_first and not cluster_state.placed(job.id) and not cluster_state.finished(job)
            return Standing(0, len(waits) + len(done), aged, by_work and not aged and not starts_first, starts_first)
        age_us = wall_us - job.ready_us
        launch_us = LAUNCH_US + fetch_us(job, cluster_state.types.values())
        run_us = self._job_timing.run_us(job) if done else 0
        # A time that the job could never meet is not missed.  Otherwise a gang that takes longer than the time stated
        # for its class goes behind all jobs that come for five minutes.
        missed = sum(within < age_us + launch_us for within in waits)
        missed += sum(launch_us + run_us <= within < age_us + launch_us + run_us for within in done)
        return Standing(missed, len(waits) + len(done), age_us > AGED_FACTOR * max([*waits, *done]))

    def arrange(
        self, jobs: list[Job], guaranteed: set[str], cluster_state: ClusterState, wall_us: int
    ) -> tuple[list[Job], set[str]]:
        """Return the queue with the jobs of each level in order of band or remaining work, and the ids of the late
        jobs.

        A job is late if it has missed all the times stated for it.  `jobs` is the queue by age, `guaranteed` holds
        the ids of the jobs within a guarantee.  Jobs swap positions only within a level: the order between teams and
        priorities stays, as does the order between jobs with and without stated times.
        """
        by_level: dict[Level, list[tuple[tuple[int, float], Job]]] = {}
        levels: list[Level] = []
        too_late: set[str] = set()
        self.starts_first = set()
        changes = False
        largest_machine = largest_of(cluster_state.types.values())
        for job in jobs:
            standing = self.standing(job, cluster_state, wall_us)
            rank = (
                standing.band,
                self.remaining_work(job, cluster_state, largest_machine) if standing.by_work else 0.0,
            )
            changes = changes or any(rank)
            if standing.starts_first:
                self.starts_first.add(job.id)
            if standing.stated and standing.missed == standing.stated and not standing.aged:
                too_late.add(job.id)
            within = self._guaranteed and job.id in guaranteed
            stated = standing.stated > 0, self._job_timing.has_time_objective(job)
            level = (job.priority, job.fails_on_several_machines, job.spec.team, within, *stated)
            levels.append(level)
            by_level.setdefault(level, []).append((rank, job))
        if not changes:
            return jobs, too_late
        turns = {level: iter(sorted(entries, key=lambda entry: entry[0])) for level, entries in by_level.items()}
        return [next(turns[level])[1] for level in levels], too_late

    def remaining_work(self, job: Job, cluster_state: ClusterState, largest_machine: Amounts) -> float:
        """Return the remaining work of a job's waiting tasks, in microseconds of the largest machine.

        The resource of which a task takes the largest part counts (dominant shares: Ghodsi and others, 2011), so that
        jobs of different shapes compare.
        """
        spec = job.spec
        dominant_share = max(
            (
                need / most
                for need, most in zip((spec.cpus, spec.gpus, spec.memory_gb), largest_machine, strict=True)
                if most
            ),
            default=1.0,
        )
        return len(cluster_state.waiting().get(job.id, ())) * dominant_share * self._job_timing.run_us(job)


def largest_of(machine_types: Iterable[MachineType]) -> Amounts:
    """Return the largest amounts of CPUs, GPUs and memory that a machine of any type has."""
    cpus = gpus = memory_gb = 0.0
    for kind in machine_types:
        cpus, gpus, memory_gb = max(cpus, kind.cpus), max(gpus, kind.gpus), max(memory_gb, kind.memory_gb)
    return cpus, gpus, memory_gb


def fetch_us(job: Job, types: Iterable[MachineType]) -> int:
    """Return how long a machine takes to fetch the job's image: the mean of the times on the fastest and the slowest
    type that the job may use."""
    rates = [
        kind.fetch_gb_per_s
        for kind in types
        if (not job.spec.types or kind.name in job.spec.types) and kind.fetch_gb_per_s > 0
    ]
    if not rates:
        return 0
    return int(job.spec.image_gb * (1 / min(rates) + 1 / max(rates)) / 2 * SECOND_US)
