"""What all classes, and all machines, have taught so far."""

from __future__ import annotations

import math
from array import array
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import lru_cache

from ashtray.estimates.model import (
    ERA,
    LIMIT,
    MOMENTS,
    STANDARD,
    UP,
    Belief,
    Curve,
    N,
    believe,
    bin_of,
    merge,
    new_row,
    observe,
)
from ashtray.jobs.model import Job, JobSpec
from ashtray.kernel import SECOND_US

UNKNOWN_S = 30.0
"""A run time where nobody has estimated one and nothing is known."""
MOST_CLASSES = 10_000
MOST_MEDIANS = 20_000
CROWD = 3.0
"""So many tasks of one job count nearly in full; after that ever less, and all together twice as many at the most."""
MOST_JOBS = 2_000
MOST_MACHINES = 5_000
NAME_BYTES = 64
"""Longer names are cut in keys, their rest told apart by a hash."""
FRESH, NEARLY = 64, 0.06
"""What was worked out is worked out anew after so many observations, or once a class has so much more of them."""
SLOW, SURE = math.log(1.1), 1.8
"""A machine is slow when it is so much slower than its peers, and by so many standard errors more."""
FEWEST = 8.0
MACHINE_PRIOR, MACHINE_MOST = 8.0, 40.0
AVERAGE_WEIGHT = 0.05


@dataclass(frozen=True, slots=True)
class Estimate:
    """How long a task of a job runs, in whole microseconds, and from how much that is known."""

    median_us: int
    p10_us: int
    p90_us: int
    p95_us: int
    weight: float
    """So many observations, as far as they have not faded; of the narrowest level that has any."""


class Machines:
    """How much slower than its peers each machine is, in logarithms, beside what its tasks are expected to take."""

    def __init__(self) -> None:
        self._seen: dict[str, tuple[float, float]] = {}
        """For each machine the weight of what ran there and the mean of the residuals."""
        self._average = 0.0
        """Of the factors, by what ran: what all machines share belongs to the classes."""

    def factor(self, name: str) -> float:
        """By how much (as a logarithm) tasks run longer on a machine than on the average one."""
        return self._own(name) - self._average

    def _own(self, name: str) -> float:
        weight, mean = self._seen.get(name, (0.0, 0.0))
        return mean * weight / (weight + MACHINE_PRIOR)

    def observe(self, name: str, residual: float, sigma: float) -> None:
        """Take in how far a run time on a machine was from what was expected (as a logarithm)."""
        weight, mean = self._seen.pop(name, (0.0, 0.0))
        weight = min(weight + 1.0, MACHINE_MOST)
        step = min(max(residual, -2 * sigma), 2 * sigma)
        self._seen[name] = (weight, mean + (step - mean) / weight)
        self._average += AVERAGE_WEIGHT * (self._own(name) - self._average)
        if len(self._seen) > MOST_MACHINES:
            del self._seen[next(iter(self._seen))]

    def slow(self, name: str, sigma: float) -> bool:
        """Whether a machine is surely slower than its peers."""
        weight, mean = self._seen.get(name, (0.0, 0.0))
        return weight >= FEWEST and mean - self._average - SURE * sigma / math.sqrt(weight) > SLOW


def levels(spec: JobSpec) -> tuple[str, str, str, str]:
    """The keys of the levels that a job's observations count on, the widest first."""
    return _levels(spec.job_class, spec.team, spec.image, spec.cpus, spec.gpus)


@lru_cache(4096)
def _levels(job_class: str, team: str, image: str, cpus: float, gpus: float) -> tuple[str, str, str, str]:
    # Asked for thousands of times in one forecast.
    size = round(math.log2(max(cpus, 0.1))), round(math.log2(gpus)) if gpus else "-"
    name, owner = _short(job_class), _short(team)
    return "", name, f"{name}/{owner}", f"{name}/{owner}/{_short(image)}/{size[0]}/{size[1]}"


def _short(name: str) -> str:
    if len(name) <= NAME_BYTES:
        return name.replace("/", "|")
    # Not Python's own hash, which differs from process to process.
    rest = 0
    for byte in name[NAME_BYTES:].encode():
        rest = (rest * 131 + byte) % (1 << 32)
    return f"{name[:NAME_BYTES]}~{rest:x}".replace("/", "|")


class Estimates:
    """Learnt run times.  Everything is bounded; what was used least recently gives way."""

    def __init__(self) -> None:
        self.rows: dict[str, array[float]] = {}
        self.fresh: dict[str, array[float]] = {}
        """What this controller has seen and no record holds yet; `rows` has it, too."""
        self.machines = Machines()
        self._jobs: dict[str, float] = {}
        """How much of each job was seen lately."""
        self._cache: dict[tuple[str, float], tuple[Belief, float, Curve]] = {}
        self._medians: dict[str, tuple[tuple[str, ...], float, tuple[Belief, float, Curve] | None, int]] = {}
        """For each job its levels, its owner's word, and the median with what it was worked out from."""
        self._since = 0

    # Asking

    def _known(self, names: tuple[str, ...], x: float) -> tuple[Belief, float, Curve]:
        cached = (names[3], x)
        known = self._cache.get(cached)
        row = self.rows.get(names[3])
        if known is None or (row is not None and abs(row[N] - known[1]) > NEARLY * known[1]):
            widest: array[float] | None = None
            weight = 0.0
            belief = Belief()
            for name in names:
                row = self.rows.get(name)
                if row is not None and row[N] > 0:
                    belief = believe(row, belief)
                    # The narrowest level that has seen enough for a shape of its own.
                    widest = row if widest is None or row[N] >= 8 else widest
                    weight = row[N]
            known = self._cache[cached] = belief, weight, Curve(widest, belief.var)
            if len(self._cache) > MOST_CLASSES:
                self._cache.clear()
        return known

    def estimate(self, job: Job) -> Estimate:
        """The distribution of the run time of a job's tasks."""
        x = stated(job.spec)
        belief, weight, curve = self._known(levels(job.spec), x)
        middle = x + belief.at(x)
        p10, p50, p90, p95 = (_us(middle + curve.quantile(share)) for share in (0.1, 0.5, 0.9, 0.95))
        return Estimate(p50, p10, p90, p95, weight)

    def median_us(self, job: Job) -> int:
        """The median of the run time of a job's tasks, in microseconds."""
        # Asked for each job that waits in each round of the queue: what a job's description says does not change.
        names, x, before, median_us = self._medians.get(job.id) or (levels(job.spec), stated(job.spec), None, 0)
        known = self._known(names, x)
        if known is not before:
            belief, _, curve = known
            median_us = _us(x + belief.at(x) + curve.quantile(0.5))
            if len(self._medians) >= MOST_MEDIANS:
                self._medians.clear()
            self._medians[job.id] = names, x, known, median_us
        return median_us

    def chance(self, job: Job, ran_us: int, more_us: int) -> float:
        """The chance that a task which has run for so long is done within so much more."""
        x = stated(job.spec)
        belief, _, curve = self._known(levels(job.spec), x)
        middle = x + belief.at(x)
        before = curve.cdf(_ln(ran_us) - middle) if ran_us > 0 else 0.0
        after = curve.cdf(_ln(ran_us + more_us) - middle)
        return 1.0 if before >= 1.0 else min(max((after - before) / (1.0 - before), 0.0), 1.0)

    def slow(self, machine: str) -> bool:
        """Whether a machine is surely slower than its peers."""
        row = self.rows.get("")
        sigma = math.sqrt(believe(row, Belief()).var) if row is not None else 0.5
        return self.machines.slow(machine, sigma)

    # Learning

    def ran(self, job: Job, run_us: int, machine: str = "") -> None:
        """A task has completed after so long: its image, its gang and what it saved before not counted."""
        if job.spec.kind != "service" and run_us > 0:
            self._observe(job, _ln(run_us), machine, censored=False)

    def ran_at_least(self, job: Job, run_us: int) -> None:
        """A task was ended, or lost, after so long: it would have run for longer."""
        if job.spec.kind != "service" and run_us > 0:
            self._observe(job, _ln(run_us), "", censored=True)

    def _observe(self, job: Job, y: float, machine: str, censored: bool) -> None:
        x = stated(job.spec)
        weight = self._weight(job.id)
        factor = self.machines.factor(machine) if machine else 0.0
        r = min(max(y - factor - x, -LIMIT), LIMIT)
        above = Belief()
        for key in levels(job.spec):
            row = self.rows.pop(key, None)
            # Those used last stand last.
            row = self.rows[key] = new_row() if row is None else row
            belief = believe(row, above)
            fresh = self.fresh.get(key)
            if fresh is None:
                fresh = self.fresh[key] = new_row()
                fresh[ERA] = row[ERA]
            if not censored:
                observe(fresh, x, r, weight, belief, counted=False)
                fresh[MOMENTS + bin_of(r - belief.at(x))] += weight
                if observe(row, x, r, weight, belief):
                    # The class has changed: what came since the change is all that there is to tell.
                    self.fresh[key] = array("f", row)
            else:
                sigma = math.sqrt(belief.var)
                bar = min((r - belief.at(x)) / sigma, 4.0)
                share = STANDARD.cdf(bar)
                if share > 0.01:
                    beyond = belief.at(x) + sigma * STANDARD.pdf(bar) / max(1.0 - share, 1e-6)
                    for each in (row, fresh):
                        observe(each, x, min(max(beyond, r), LIMIT), weight * share, belief, counted=False)
            above = belief
        if machine and not censored:
            self.machines.observe(machine, y - x - above.at(x), math.sqrt(above.var))
        self._since += 1
        if self._since >= FRESH:
            self._since = 0
            self._cache.clear()
        while len(self.rows) > MOST_CLASSES:
            gone = next(iter(self.rows))
            del self.rows[gone]
            self.fresh.pop(gone, None)

    # Sharing

    def know(self, rows: Mapping[str, array[float]]) -> None:
        """What the records say, with what this controller has seen besides."""
        for key, row in rows.items():
            fresh = self.fresh.get(key)
            mine = self.rows.pop(key, None)
            known = row if fresh is None else merge(row, fresh)
            if mine is not None and mine[ERA] == known[ERA]:
                # The change detector goes on with what this controller sees itself.
                known[UP:ERA] = mine[UP:ERA]
            self.rows[key] = known
        self._cache.clear()

    def take(self, which: Callable[[str], bool]) -> dict[str, array[float]]:
        """Hand over what is new of some levels, to be written down."""
        taken = {key: row for key, row in self.fresh.items() if which(key)}
        for key in taken:
            del self.fresh[key]
        return taken

    def unfold(self, rows: Mapping[str, array[float]]) -> None:
        """Take back what was not written down."""
        for key, row in rows.items():
            newer = self.fresh.get(key)
            self.fresh[key] = row if newer is None else merge(row, newer)

    def _weight(self, job_id: str) -> float:
        seen = self._jobs.pop(job_id, 0.0)
        self._jobs[job_id] = seen + 1.0
        if len(self._jobs) > MOST_JOBS:
            del self._jobs[next(iter(self._jobs))]
        return float((1.0 + seen / CROWD) ** -1.5)

    def forget(self, name: str) -> int:
        """Forget a class and all below it; returns how many levels that were."""
        short = _short(name)
        gone = [key for key in self.rows if short and (key == short or key.startswith(short + "/"))]
        for key in gone:
            # An empty row of a later era: with the next fold it takes the place of what the records hold.
            empty = new_row()
            empty[ERA] = self.rows[key][ERA] + 1
            self.rows[key], self.fresh[key] = empty, array("f", empty)
        self._cache.clear()
        return len(gone)


def stated(spec: JobSpec) -> float:
    """The owner's estimate as a logarithm of seconds."""
    return math.log((spec.estimate_us or UNKNOWN_S * SECOND_US) / SECOND_US)


def _ln(us: int) -> float:
    return math.log(max(us, 1) / SECOND_US)


def _us(logarithm: float) -> int:
    return max(int(math.exp(min(max(logarithm, -LIMIT), LIMIT + 8)) * SECOND_US), 1)
