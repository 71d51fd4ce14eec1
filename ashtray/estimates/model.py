"""What is known of one class of jobs: a Bayesian regression of run times on owners' estimates, with a histogram.

Times are kept as natural logarithms of seconds.  With `x` the owner's estimate and `r` the logarithm of run time over
estimate, a class says ``r = bias + slope * (x - mean of x)``.  A slope of 0 means that estimates are right but for a
factor; -1 that they say nothing, for the run time is then the same whatever was estimated.  Both shrink towards the
level above by the usual conjugate rule, as if it had been seen `PRIOR` times, so that little data leans on it.  What
is left over is log-normal to begin with; a histogram of it takes over as data come, so that skew and two kinds of job
under one name show in the quantiles.

Moments are centred (Welford; merged by Chan's rule), which keeps single precision good enough.
"""

from __future__ import annotations

import math
from array import array
from bisect import bisect_left
from dataclasses import dataclass
from itertools import accumulate
from statistics import NormalDist

BINS = 16
BIN = 0.25
"""The width of a bin of the histogram, in logarithms; the outer two are open."""
ZERO = BINS / 2 + 0.5
"""Where no residual at all lies: in the middle of a bin, for much of what is learnt lies there."""
MOMENTS = 11
WIDTH = MOMENTS + BINS
N, MX, MR, CXX, CXR, CRR, UP, DOWN, SINCE, SINCE_R, ERA = range(MOMENTS)
"""Weight, means of x and r, centred moments, the two sums of the change detector with what came since they began to
rise, and how often the class has been begun anew."""

PRIOR = 4.0
"""So many observations is the level above worth."""
SPREAD_X = 0.16
"""The variance of estimates, in logarithms, that makes the level above's slope worth as much."""
NORMAL = 12.0
"""So many observations is the log-normal worth against the histogram."""
MOST = 120.0
"""The weight to which older observations fade."""
FADES = 1.05
"""So much more than that is let come together before they do."""
DRIFT, ALARM, CLIP = 0.75, 9.0, 3.5
"""Page's two-sided cumulative sum of standardised residuals: what is forgiven, too much, and the most one may add."""
FIRST_VAR = 0.25
"""The variance of logarithms before anything is known: a factor of 1.65 either way."""
LEAST_VAR = 0.0025
LIMIT = 12.0
"""Logarithms beyond this are cut: a third of a second over 163,000, or the other way round."""
STANDARD = NormalDist()


@dataclass(frozen=True, slots=True)
class Belief:
    """What a level says: r = bias + slope * (x - centre), give or take a variance."""

    bias: float = 0.0
    slope: float = 0.0
    centre: float = 0.0
    var: float = FIRST_VAR

    def at(self, x: float) -> float:
        """The expected logarithm of run time over estimate, for the logarithm of an estimate."""
        return self.bias + self.slope * (x - self.centre)


def new_row() -> array[float]:
    """The numbers of a level of which nothing is known."""
    return array("f", bytes(4 * WIDTH))


def believe(row: array[float], above: Belief) -> Belief:
    """A level's own view, drawn towards that of the level above."""
    n = row[N]
    if n <= 0:
        return above
    centre = row[MX]
    bias = (PRIOR * above.at(centre) + n * row[MR]) / (PRIOR + n)
    stiff = PRIOR * SPREAD_X
    slope = (stiff * above.slope + row[CXR]) / (stiff + row[CXX])
    slope = min(max(slope, -1.5), 0.5)
    left = row[CRR] - 2 * slope * row[CXR] + slope * slope * row[CXX]
    off = row[MR] - above.at(centre)
    spread = max(left, 0.0) + PRIOR * n / (PRIOR + n) * off * off / (PRIOR + n)
    var = (PRIOR * above.var + spread) / (PRIOR + n)
    return Belief(bias, slope, centre, max(var, LEAST_VAR))


def observe(row: array[float], x: float, r: float, weight: float, belief: Belief, counted: bool = True) -> bool:
    """Take one observation in; says whether the class was found to have changed and was begun anew.

    `belief` is what was believed before; `counted` is False for what was imputed: it moves the moments only.
    """
    residual = r - belief.at(x)
    changed = False
    if counted:
        # One job, however large, is not enough to say that the class has changed.
        part = weight**3
        step = min(max(residual / math.sqrt(belief.var), -CLIP), CLIP) * part
        row[UP] = max(row[UP] + step - DRIFT * part, 0.0)
        row[DOWN] = max(row[DOWN] - step - DRIFT * part, 0.0)
        if row[UP] == 0.0 and row[DOWN] == 0.0:
            row[SINCE] = row[SINCE_R] = 0.0
        else:
            row[SINCE] += weight
            row[SINCE_R] += (r - row[SINCE_R]) * weight / row[SINCE]
        if max(row[UP], row[DOWN]) > ALARM:
            changed = True
            restart(row)
    if row[N] > FADES * MOST:
        # Not at each one: that was a tenth of a controller's time where much ends.
        fade(row, MOST / row[N])
    n = row[N] + weight
    dx, dr = x - row[MX], r - row[MR]
    part = weight / n
    row[MX] += dx * part
    row[MR] += dr * part
    row[CXX] += weight * dx * (x - row[MX])
    row[CXR] += weight * dx * (r - row[MR])
    row[CRR] += weight * dr * (r - row[MR])
    row[N] = n
    if counted and not changed:
        row[MOMENTS + bin_of(residual)] += weight
    return changed


def bin_of(residual: float) -> int:
    """The bin of the histogram in which a residual lies."""
    return min(max(math.floor(residual / BIN + ZERO), 0), BINS - 1)


def restart(row: array[float]) -> None:
    """Forget what was before a change; what came since it began is kept by its mean."""
    since, mean, centre, era = row[SINCE], row[SINCE_R], row[MX], row[ERA]
    row[:] = new_row()
    row[N], row[MX], row[MR], row[ERA] = since, centre, mean, era + 1
    row[CRR] = since * FIRST_VAR / 2


def fade(row: array[float], keep: float) -> None:
    """Weigh all that was seen less."""
    for n in (N, CXX, CXR, CRR, *range(MOMENTS, WIDTH)):
        row[n] *= keep


def merge(row: array[float], other: array[float]) -> array[float]:
    """Both together; of two eras only the later one counts."""
    if row[ERA] != other[ERA]:
        return array("f", row if row[ERA] > other[ERA] else other)
    total = row[N] + other[N]
    found = array("f", row)
    if total <= 0:
        return found
    dx, dr = other[MX] - row[MX], other[MR] - row[MR]
    both = row[N] * other[N] / total
    # The same sums whichever comes first: the means weighed, not one moved towards the other.
    found[N] = total
    found[MX] = (row[N] * row[MX] + other[N] * other[MX]) / total
    found[MR] = (row[N] * row[MR] + other[N] * other[MR]) / total
    found[CXX] = row[CXX] + other[CXX] + both * dx * dx
    found[CXR] = row[CXR] + other[CXR] + both * dx * dr
    found[CRR] = row[CRR] + other[CRR] + both * dr * dr
    for n in range(MOMENTS, WIDTH):
        found[n] = row[n] + other[n]
    found[UP], found[DOWN] = max(row[UP], other[UP]), max(row[DOWN], other[DOWN])
    found[SINCE], found[SINCE_R] = max((row[SINCE], row[SINCE_R]), (other[SINCE], other[SINCE_R]))
    return found


INNER = [(n - ZERO) * BIN for n in range(BINS + 1)]
"""The edges of the histogram's bins."""


class Curve:
    """The distribution of what is left over, in logarithms: the normal and the histogram together."""

    __slots__ = ("_edges", "_below", "_sigma", "_total")

    def __init__(self, row: array[float] | None, var: float) -> None:
        self._sigma = math.sqrt(var)
        counts = row[MOMENTS:] if row is not None else array("f", bytes(4 * BINS))
        self._total = NORMAL + sum(counts)
        # Both parts are summed up at the edges of the bins, and straight lines drawn between.
        reach = max(ZERO * BIN, 5 * self._sigma)
        fine = [self._sigma * step / 4 for step in range(-20, 21)]
        self._edges = sorted({-reach - BIN, *INNER, *fine, reach + BIN})
        below = []
        # Summed up once: summed up anew at each edge, this was the most of what a curve took.
        upto = [0.0, *accumulate(counts)]
        for edge in self._edges:
            place = min(max(edge / BIN + ZERO, 0.0), float(BINS))
            whole = int(place)
            seen = upto[whole] + (counts[whole] * (place - whole) if whole < BINS else 0.0)
            below.append((NORMAL * STANDARD.cdf(edge / self._sigma) + seen) / self._total)
        self._below = below

    def cdf(self, residual: float) -> float:
        """The share of residuals up to this one."""
        edges = self._edges
        if residual <= edges[0]:
            return 0.0
        if residual >= edges[-1]:
            return 1.0
        n = bisect_left(edges, residual)
        part = (residual - edges[n - 1]) / (edges[n] - edges[n - 1])
        return self._below[n - 1] + part * (self._below[n] - self._below[n - 1])

    def quantile(self, share: float) -> float:
        """The residual up to which this share of them lies."""
        below = self._below
        n = min(max(bisect_left(below, share), 1), len(below) - 1)
        step = below[n] - below[n - 1]
        part = (share - below[n - 1]) / step if step > 0 else 1.0
        return self._edges[n - 1] + min(max(part, 0.0), 1.0) * (self._edges[n] - self._edges[n - 1])
