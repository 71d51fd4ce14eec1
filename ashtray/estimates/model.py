"""The statistical model of one level: a Bayesian regression of run times on owners' estimates, with a histogram.

A level is all jobs, a job class, or a part of a class (`learned.levels`); its parent is the next wider level.  Times
are natural logarithms of seconds.  Let `x` be the owner's estimate and `r` the logarithm of run time over estimate.
The regression is ``r = bias + slope * (x - mean of x)``.  A slope of 0 means that estimates are right up to a
constant factor; a slope of -1 means that they carry no information, because the run time is then the same whatever
was estimated.  Bias and slope shrink towards the parent by the usual conjugate rule, as if the parent counted as
`PRIOR_WEIGHT` observations, so that a level with little data relies on its parent.  The residuals are taken as
log-normal at first.  A histogram of them gains weight as observations come in, so that skew, and two kinds of job
under one name, show in the quantiles.

Moments are centred (updated by Welford's rule, merged by Chan's), so that single precision suffices.
"""

from __future__ import annotations

import math
from array import array
from bisect import bisect_left
from dataclasses import dataclass
from itertools import accumulate
from statistics import NormalDist

BINS = 16
BIN_WIDTH = 0.25
"""The width of a bin of the histogram, in natural logarithms; the first and the last bin are open."""
ZERO_OFFSET = BINS / 2 + 0.5
"""The position of a zero residual, in bins: the middle of a bin, because many residuals are close to zero."""
MOMENT_COUNT = 11
ROW_LENGTH = MOMENT_COUNT + BINS
WEIGHT, MEAN_X, MEAN_R, CXX, CXR, CRR, CUSUM_UP, CUSUM_DOWN, CUSUM_WEIGHT, CUSUM_MEAN_R, ERA = range(MOMENT_COUNT)
"""The indices of a row (the numbers of one level).  In order: the weight of the observations, the means of x and r,
the centred second moments, the two sums of the change detector (Page's CUSUM), weight and mean of r since one of
these sums left 0, and the era: how often the level was restarted.  The bins of the histogram follow."""

PRIOR_WEIGHT = 4.0
"""The weight of the parent's bias and variance, in observations."""
PRIOR_VAR_X = 0.16
"""The variance of x, in squared logarithms, at which the parent's slope counts as `PRIOR_WEIGHT` observations."""
NORMAL_WEIGHT = 12.0
"""The weight of the log-normal distribution beside the histogram, in observations."""
MAX_WEIGHT = 120.0
"""The weight of a row after fading, in observations."""
FADE_THRESHOLD = 1.05
"""A row fades once its weight exceeds `MAX_WEIGHT` by this factor."""
CUSUM_DRIFT, CUSUM_ALARM, CUSUM_CLIP = 0.75, 9.0, 3.5
"""Page's two-sided cumulative sum (CUSUM) of standardised residuals: the amount subtracted at each observation, the
sum above which the level counts as changed, and the limit of one residual."""
INITIAL_VAR = 0.25
"""The variance before anything is known, in squared logarithms: a standard deviation of a factor of 1.65."""
MIN_VAR = 0.0025
MAX_LOG = 12.0
"""Logarithms are limited to this range on both sides of 0; it is a factor of about 163,000."""
STANDARD_NORMAL = NormalDist()


@dataclass(frozen=True, slots=True)
class Regression:
    """The regression line of a level, r = bias + slope * (x - centre), and the variance of the residuals."""

    bias: float = 0.0
    slope: float = 0.0
    centre: float = 0.0
    var: float = INITIAL_VAR

    def at(self, x: float) -> float:
        """Return the expected r (logarithm of run time over estimate) for x (logarithm of the estimate)."""
        return self.bias + self.slope * (x - self.centre)


def new_row() -> array[float]:
    """Return the row of a level without observations."""
    return array("f", bytes(4 * ROW_LENGTH))


def fit(row: array[float], parent: Regression) -> Regression:
    """Return the regression of a level, shrunk towards that of its parent."""
    n = row[WEIGHT]
    if n <= 0:
        return parent
    centre = row[MEAN_X]
    bias = (PRIOR_WEIGHT * parent.at(centre) + n * row[MEAN_R]) / (PRIOR_WEIGHT + n)
    prior_sum = PRIOR_WEIGHT * PRIOR_VAR_X
    slope = (prior_sum * parent.slope + row[CXR]) / (prior_sum + row[CXX])
    slope = min(max(slope, -1.5), 0.5)
    residual_sum = row[CRR] - 2 * slope * row[CXR] + slope * slope * row[CXX]
    offset = row[MEAN_R] - parent.at(centre)
    squares = max(residual_sum, 0.0) + PRIOR_WEIGHT * n / (PRIOR_WEIGHT + n) * offset * offset / (PRIOR_WEIGHT + n)
    var = (PRIOR_WEIGHT * parent.var + squares) / (PRIOR_WEIGHT + n)
    return Regression(bias, slope, centre, max(var, MIN_VAR))


def observe(
    row: array[float], x: float, r: float, weight: float, regression: Regression, counted: bool = True
) -> bool:
    """Add one observation to a row; returns whether the level was found to have changed and was restarted.

    `regression` is the level's regression without this observation.  If `counted` is False, only the moments are
    updated, not the change detector and the histogram; imputed observations are added in this way.
    """
    residual = r - regression.at(x)
    changed = False
    if counted:
        # A single job, however large, must not suffice to report a change of the class.
        part = weight**3
        step = min(max(residual / math.sqrt(regression.var), -CUSUM_CLIP), CUSUM_CLIP) * part
        row[CUSUM_UP] = max(row[CUSUM_UP] + step - CUSUM_DRIFT * part, 0.0)
        row[CUSUM_DOWN] = max(row[CUSUM_DOWN] - step - CUSUM_DRIFT * part, 0.0)
        if row[CUSUM_UP] == 0.0 and row[CUSUM_DOWN] == 0.0:
            row[CUSUM_WEIGHT] = row[CUSUM_MEAN_R] = 0.0
        else:
            row[CUSUM_WEIGHT] += weight
            row[CUSUM_MEAN_R] += (r - row[CUSUM_MEAN_R]) * weight / row[CUSUM_WEIGHT]
        if max(row[CUSUM_UP], row[CUSUM_DOWN]) > CUSUM_ALARM:
            changed = True
            restart(row)
    if row[WEIGHT] > FADE_THRESHOLD * MAX_WEIGHT:
        # Fading at each observation took a tenth of a controller's CPU time when many tasks ended.
        fade(row, MAX_WEIGHT / row[WEIGHT])
    n = row[WEIGHT] + weight
    dx, dr = x - row[MEAN_X], r - row[MEAN_R]
    part = weight / n
    row[MEAN_X] += dx * part
    row[MEAN_R] += dr * part
    row[CXX] += weight * dx * (x - row[MEAN_X])
    row[CXR] += weight * dx * (r - row[MEAN_R])
    row[CRR] += weight * dr * (r - row[MEAN_R])
    row[WEIGHT] = n
    if counted and not changed:
        row[MOMENT_COUNT + bin_of(residual)] += weight
    return changed


def bin_of(residual: float) -> int:
    """Return the index of the histogram bin that contains a residual."""
    return min(max(math.floor(residual / BIN_WIDTH + ZERO_OFFSET), 0), BINS - 1)


def restart(row: array[float]) -> None:
    """Discard the observations before a change and begin a new era; those since the change began keep their mean."""
    since, mean, centre, era = row[CUSUM_WEIGHT], row[CUSUM_MEAN_R], row[MEAN_X], row[ERA]
    row[:] = new_row()
    row[WEIGHT], row[MEAN_X], row[MEAN_R], row[ERA] = since, centre, mean, era + 1
    row[CRR] = since * INITIAL_VAR / 2


def fade(row: array[float], keep: float) -> None:
    """Multiply the weight of all observations by `keep`."""
    for n in (WEIGHT, CXX, CXR, CRR, *range(MOMENT_COUNT, ROW_LENGTH)):
        row[n] *= keep


def merge(row: array[float], other: array[float]) -> array[float]:
    """Return a row with the observations of both; if their eras differ, only those of the later era."""
    if row[ERA] != other[ERA]:
        return array("f", row if row[ERA] > other[ERA] else other)
    total = row[WEIGHT] + other[WEIGHT]
    found = array("f", row)
    if total <= 0:
        return found
    dx, dr = other[MEAN_X] - row[MEAN_X], other[MEAN_R] - row[MEAN_R]
    product = row[WEIGHT] * other[WEIGHT] / total
    # Weighted means give the same result in either order; moving one mean towards the other would not.
    found[WEIGHT] = total
    found[MEAN_X] = (row[WEIGHT] * row[MEAN_X] + other[WEIGHT] * other[MEAN_X]) / total
    found[MEAN_R] = (row[WEIGHT] * row[MEAN_R] + other[WEIGHT] * other[MEAN_R]) / total
    found[CXX] = row[CXX] + other[CXX] + product * dx * dx
    found[CXR] = row[CXR] + other[CXR] + product * dx * dr
    found[CRR] = row[CRR] + other[CRR] + product * dr * dr
    for n in range(MOMENT_COUNT, ROW_LENGTH):
        found[n] = row[n] + other[n]
    found[CUSUM_UP], found[CUSUM_DOWN] = max(row[CUSUM_UP], other[CUSUM_UP]), max(row[CUSUM_DOWN], other[CUSUM_DOWN])
    found[CUSUM_WEIGHT], found[CUSUM_MEAN_R] = max(
        (row[CUSUM_WEIGHT], row[CUSUM_MEAN_R]), (other[CUSUM_WEIGHT], other[CUSUM_MEAN_R])
    )
    return found


BIN_EDGES = [(n - ZERO_OFFSET) * BIN_WIDTH for n in range(BINS + 1)]
"""The edges of the histogram's bins, as residuals."""


class ResidualDistribution:
    """The distribution of a level's residuals, in logarithms: a mixture of a normal distribution and a histogram."""

    __slots__ = ("_edges", "_below", "_sigma", "_total")

    def __init__(self, row: array[float] | None, var: float) -> None:
        self._sigma = math.sqrt(var)
        counts = row[MOMENT_COUNT:] if row is not None else array("f", bytes(4 * BINS))
        self._total = NORMAL_WEIGHT + sum(counts)
        # The cumulative distribution is computed at these edges and interpolated linearly between them.
        reach = max(ZERO_OFFSET * BIN_WIDTH, 5 * self._sigma)
        normal_edges = [self._sigma * step / 4 for step in range(-20, 21)]
        self._edges = sorted({-reach - BIN_WIDTH, *BIN_EDGES, *normal_edges, reach + BIN_WIDTH})
        below = []
        # Summing all counts again at each edge took most of the time of this constructor.
        cumulative = [0.0, *accumulate(counts)]
        for edge in self._edges:
            position = min(max(edge / BIN_WIDTH + ZERO_OFFSET, 0.0), float(BINS))
            full_bins = int(position)
            seen = cumulative[full_bins] + (counts[full_bins] * (position - full_bins) if full_bins < BINS else 0.0)
            below.append((NORMAL_WEIGHT * STANDARD_NORMAL.cdf(edge / self._sigma) + seen) / self._total)
        self._below = below

    def cdf(self, residual: float) -> float:
        """Return the share of residuals that are at most this one."""
        edges = self._edges
        if residual <= edges[0]:
            return 0.0
        if residual >= edges[-1]:
            return 1.0
        n = bisect_left(edges, residual)
        part = (residual - edges[n - 1]) / (edges[n] - edges[n - 1])
        return self._below[n - 1] + part * (self._below[n] - self._below[n - 1])

    def quantile(self, share: float) -> float:
        """Return the residual that this share of the residuals does not exceed."""
        below = self._below
        n = min(max(bisect_left(below, share), 1), len(below) - 1)
        step = below[n] - below[n - 1]
        part = (share - below[n - 1]) / step if step > 0 else 1.0
        return self._edges[n - 1] + min(max(part, 0.0), 1.0) * (self._edges[n] - self._edges[n - 1])
