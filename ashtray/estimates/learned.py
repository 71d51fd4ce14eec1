"""The run times learnt so far for all levels, and how much slower than its peers each machine is.

A level is all jobs, a job class, or a narrower part of a class; `levels` returns the keys.  Each level has a row of
numbers (`ashtray.estimates.model`).
"""

from __future__ import annotations

import math
from array import array
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import lru_cache

from ashtray.estimates.model import (
    CUSUM_UP,
    ERA,
    MAX_LOG,
    MOMENT_COUNT,
    STANDARD_NORMAL,
    WEIGHT,
    Regression,
    ResidualDistribution,
    bin_of,
    fit,
    merge,
    new_row,
    observe,
)
from ashtray.jobs.model import Job, JobSpec
from ashtray.kernel import SECOND_US

DEFAULT_RUN_S = 30.0
"""The assumed estimate, in seconds, of a job whose owner states none."""
MAX_LEVELS = 10_000
"""The limit of the number of levels, and of cached distributions."""
MAX_MEDIANS = 20_000
"""The limit of the number of jobs whose median is cached."""
JOB_WEIGHT_SCALE = 3.0
"""About this many tasks of one job count nearly in full; further ones count less and less, and all tasks of a job
together count as at most about twice this many."""
MAX_JOBS = 2_000
"""The limit of the number of jobs whose observations are counted."""
MAX_MACHINES = 5_000
MAX_NAME_LENGTH = 64
"""In characters.  In keys, the rest of a longer name is replaced by a hash of it."""
CACHE_OBSERVATIONS, CACHE_WEIGHT_CHANGE = 64, 0.06
"""Cached distributions are computed again after this many observations, or once the weight of their narrowest level
has changed by this share."""
SLOW_LOG_FACTOR, SLOW_STANDARD_ERRORS = math.log(1.1), 1.8
"""A machine counts as slow if its logarithmic factor exceeds the first number by the second number of standard
errors."""
MIN_MACHINE_WEIGHT = 8.0
"""The number of observations below which no machine counts as slow."""
MACHINE_PRIOR_WEIGHT, MAX_MACHINE_WEIGHT = 8.0, 40.0
"""In observations: the weight of the assumption that a machine is like the average, and the limit of its own
weight."""
AVERAGE_WEIGHT = 0.05
"""The share of one observation in the moving average of the machines' factors."""


@dataclass(frozen=True, slots=True)
class Estimate:
    """The estimated quantiles of the run time of a job's tasks, in whole microseconds."""

    median_us: int
    p10_us: int
    p90_us: int
    p95_us: int
    weight: float
    """The number of observations, less what has faded, of the narrowest level that has any."""


class MachineFactors:
    """How much slower than the average machine each machine is.

    The factors are logarithms, learnt from the residuals of the run times of the machines' tasks.
    """

    def __init__(self) -> None:
        self._seen: dict[str, tuple[float, float]] = {}
        """Maps a machine to the weight of its observations and the mean of their residuals."""
        self._average = 0.0
        """The moving average of the machines' factors over the observations.  It is subtracted from each factor,
        because what all machines have in common is part of the levels' own rows."""

    def factor(self, name: str) -> float:
        """Return, as a logarithm, by which factor tasks run longer on a machine than on the average one."""
        return self._own(name) - self._average

    def _own(self, name: str) -> float:
        weight, mean = self._seen.get(name, (0.0, 0.0))
        return mean * weight / (weight + MACHINE_PRIOR_WEIGHT)

    def observe(self, name: str, residual: float, sigma: float) -> None:
        """Add the residual of a run time on a machine (as a logarithm); it is limited to two `sigma`."""
        weight, mean = self._seen.pop(name, (0.0, 0.0))
        weight = min(weight + 1.0, MAX_MACHINE_WEIGHT)
        step = min(max(residual, -2 * sigma), 2 * sigma)
        self._seen[name] = (weight, mean + (step - mean) / weight)
        self._average += AVERAGE_WEIGHT * (self._own(name) - self._average)
        if len(self._seen) > MAX_MACHINES:
            del self._seen[next(iter(self._seen))]

    def slow(self, name: str, sigma: float) -> bool:
        """Return whether a machine is slower than its peers beyond statistical doubt."""
        weight, mean = self._seen.get(name, (0.0, 0.0))
        return (
            weight >= MIN_MACHINE_WEIGHT
            and mean - self._average - SLOW_STANDARD_ERRORS * sigma / math.sqrt(weight) > SLOW_LOG_FACTOR
        )


def levels(spec: JobSpec) -> tuple[str, str, str, str]:
    """Return the keys of the levels to which a job's observations are added, the widest first."""
    return _levels(spec.job_class, spec.team, spec.image, spec.cpus, spec.gpus)


@lru_cache(4096)
def _levels(job_class: str, team: str, image: str, cpus: float, gpus: float) -> tuple[str, str, str, str]:
    # Cached because one forecast calls this thousands of times.
    size = round(math.log2(max(cpus, 0.1))), round(math.log2(gpus)) if gpus else "-"
    name, owner = _key_part(job_class), _key_part(team)
    return "", name, f"{name}/{owner}", f"{name}/{owner}/{_key_part(image)}/{size[0]}/{size[1]}"


def _key_part(name: str) -> str:
    if len(name) <= MAX_NAME_LENGTH:
        return name.replace("/", "|")
    # Python's own hash differs from process to process.
    rest = 0
    for byte in name[MAX_NAME_LENGTH:].encode():
        rest = (rest * 131 + byte) % (1 << 32)
    return f"{name[:MAX_NAME_LENGTH]}~{rest:x}".replace("/", "|")


class Estimates:
    """The learnt run times.

    The number of levels, jobs and machines is bounded; of each, the entry that was updated least recently is dropped.
    The caches are bounded, too, and are cleared as a whole.
    """

    def __init__(self) -> None:
        self.rows: dict[str, array[float]] = {}
        self.fresh: dict[str, array[float]] = {}
        """This controller's observations that are in no record of the state service yet; `rows` includes them."""
        self.machines = MachineFactors()
        self._jobs: dict[str, float] = {}
        """Maps a job to the number of its observations."""
        self._cache: dict[tuple[str, float], tuple[Regression, float, ResidualDistribution]] = {}
        self._medians: dict[
            str, tuple[tuple[str, ...], float, tuple[Regression, float, ResidualDistribution] | None, int]
        ] = {}
        """Maps a job to its levels, the logarithm of its owner's estimate, the distribution from which its median was
        computed, and the median in microseconds."""
        self._since_clear = 0

    # Queries

    def _distribution(self, names: tuple[str, ...], x: float) -> tuple[Regression, float, ResidualDistribution]:
        cached = (names[3], x)
        known = self._cache.get(cached)
        row = self.rows.get(names[3])
        if known is None or (row is not None and abs(row[WEIGHT] - known[1]) > CACHE_WEIGHT_CHANGE * known[1]):
            widest: array[float] | None = None
            weight = 0.0
            regression = Regression()
            for name in names:
                row = self.rows.get(name)
                if row is not None and row[WEIGHT] > 0:
                    regression = fit(row, regression)
                    # The histogram of the narrowest level with enough observations is used.
                    widest = row if widest is None or row[WEIGHT] >= 8 else widest
                    weight = row[WEIGHT]
            known = self._cache[cached] = regression, weight, ResidualDistribution(widest, regression.var)
            if len(self._cache) > MAX_LEVELS:
                self._cache.clear()
        return known

    def estimate(self, job: Job) -> Estimate:
        """Return the estimated distribution of the run time of a job's tasks."""
        x = log_estimate(job.spec)
        regression, weight, distribution = self._distribution(levels(job.spec), x)
        expected = x + regression.at(x)
        p10, p50, p90, p95 = (_exp_us(expected + distribution.quantile(share)) for share in (0.1, 0.5, 0.9, 0.95))
        return Estimate(p50, p10, p90, p95, weight)

    def median_us(self, job: Job) -> int:
        """Return the estimated median of the run time of a job's tasks, in microseconds."""
        # Each scheduling round calls this for each waiting job.  A job's specification does not change, so its levels
        # and its estimate are cached.
        names, x, before, median_us = self._medians.get(job.id) or (levels(job.spec), log_estimate(job.spec), None, 0)
        known = self._distribution(names, x)
        if known is not before:
            regression, _, distribution = known
            median_us = _exp_us(x + regression.at(x) + distribution.quantile(0.5))
            if len(self._medians) >= MAX_MEDIANS:
                self._medians.clear()
            self._medians[job.id] = names, x, known, median_us
        return median_us

    def chance(self, job: Job, ran_us: int, more_us: int) -> float:
        """Return the probability that a task which has run for `ran_us` completes within another `more_us`."""
        x = log_estimate(job.spec)
        regression, _, distribution = self._distribution(levels(job.spec), x)
        expected = x + regression.at(x)
        before = distribution.cdf(_log_seconds(ran_us) - expected) if ran_us > 0 else 0.0
        after = distribution.cdf(_log_seconds(ran_us + more_us) - expected)
        return 1.0 if before >= 1.0 else min(max((after - before) / (1.0 - before), 0.0), 1.0)

    def slow(self, machine: str) -> bool:
        """Return whether a machine is slower than its peers beyond statistical doubt."""
        row = self.rows.get("")
        sigma = math.sqrt(fit(row, Regression()).var) if row is not None else 0.5
        return self.machines.slow(machine, sigma)

    # Learning

    def add_run(self, job: Job, run_us: int, machine: str = "") -> None:
        """Add the run time of a completed task.

        It does not include the time to fetch the image and to wait for the gang, nor the work that was restored from
        a checkpoint.
        """
        if job.spec.kind != "service" and run_us > 0:
            self._observe(job, _log_seconds(run_us), machine, censored=False)

    def add_lower_bound(self, job: Job, run_us: int) -> None:
        """Add the run time of a task that was stopped or lost: a lower bound of its full run time."""
        if job.spec.kind != "service" and run_us > 0:
            self._observe(job, _log_seconds(run_us), "", censored=True)

    def _observe(self, job: Job, y: float, machine: str, censored: bool) -> None:
        x = log_estimate(job.spec)
        weight = self._weight(job.id)
        factor = self.machines.factor(machine) if machine else 0.0
        r = min(max(y - factor - x, -MAX_LOG), MAX_LOG)
        parent = Regression()
        for key in levels(job.spec):
            row = self.rows.pop(key, None)
            # Move the level to the end, so that the first is the one updated least recently.
            row = self.rows[key] = new_row() if row is None else row
            regression = fit(row, parent)
            fresh = self.fresh.get(key)
            if fresh is None:
                fresh = self.fresh[key] = new_row()
                fresh[ERA] = row[ERA]
            if not censored:
                observe(fresh, x, r, weight, regression, counted=False)
                fresh[MOMENT_COUNT + bin_of(r - regression.at(x))] += weight
                if observe(row, x, r, weight, regression):
                    # The level has changed: only the observations since the change are to be written.
                    self.fresh[key] = array("f", row)
            else:
                sigma = math.sqrt(regression.var)
                cutoff = min((r - regression.at(x)) / sigma, 4.0)
                share = STANDARD_NORMAL.cdf(cutoff)
                if share > 0.01:
                    imputed = regression.at(x) + sigma * STANDARD_NORMAL.pdf(cutoff) / max(1.0 - share, 1e-6)
                    for target in (row, fresh):
                        observe(target, x, min(max(imputed, r), MAX_LOG), weight * share, regression, counted=False)
            parent = regression
        if machine and not censored:
            self.machines.observe(machine, y - x - parent.at(x), math.sqrt(parent.var))
        self._since_clear += 1
        if self._since_clear >= CACHE_OBSERVATIONS:
            self._since_clear = 0
            self._cache.clear()
        while len(self.rows) > MAX_LEVELS:
            gone = next(iter(self.rows))
            del self.rows[gone]
            self.fresh.pop(gone, None)

    # Exchange with the records in the state service

    def load(self, rows: Mapping[str, array[float]]) -> None:
        """Replace the rows by those of the records, merged with this controller's unwritten observations."""
        for key, row in rows.items():
            fresh = self.fresh.get(key)
            own_row = self.rows.pop(key, None)
            known = row if fresh is None else merge(row, fresh)
            if own_row is not None and own_row[ERA] == known[ERA]:
                # The state of the change detector stays that of this controller's own observations.
                known[CUSUM_UP:ERA] = own_row[CUSUM_UP:ERA]
            self.rows[key] = known
        self._cache.clear()

    def take(self, which: Callable[[str], bool]) -> dict[str, array[float]]:
        """Remove and return the unwritten observations of the levels that `which` selects."""
        taken = {key: row for key, row in self.fresh.items() if which(key)}
        for key in taken:
            del self.fresh[key]
        return taken

    def restore(self, rows: Mapping[str, array[float]]) -> None:
        """Return observations that `take` removed and that were not written."""
        for key, row in rows.items():
            newer = self.fresh.get(key)
            self.fresh[key] = row if newer is None else merge(row, newer)

    def _weight(self, job_id: str) -> float:
        seen = self._jobs.pop(job_id, 0.0)
        self._jobs[job_id] = seen + 1.0
        if len(self._jobs) > MAX_JOBS:
            del self._jobs[next(iter(self._jobs))]
        return float((1.0 + seen / JOB_WEIGHT_SCALE) ** -1.5)

    def forget(self, name: str) -> int:
        """Discard a job class with all levels below it; returns the number of levels."""
        short = _key_part(name)
        gone = [key for key in self.rows if short and (key == short or key.startswith(short + "/"))]
        for key in gone:
            # The next fold replaces the row in the record by this empty one, because its era is later.
            empty = new_row()
            empty[ERA] = self.rows[key][ERA] + 1
            self.rows[key], self.fresh[key] = empty, array("f", empty)
        self._cache.clear()
        return len(gone)


def log_estimate(spec: JobSpec) -> float:
    """Return the logarithm of the owner's estimate in seconds."""
    return math.log((spec.estimate_us or DEFAULT_RUN_S * SECOND_US) / SECOND_US)


def _log_seconds(us: int) -> float:
    return math.log(max(us, 1) / SECOND_US)


def _exp_us(logarithm: float) -> int:
    return max(int(math.exp(min(max(logarithm, -MAX_LOG), MAX_LOG + 8)) * SECOND_US), 1)
