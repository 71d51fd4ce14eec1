"""Generates traces of jobs whose true run time distributions are known, and stores them as columnar files.

Each kind of trace has a distribution of run times and one of owners' estimates.  A trace also holds the best possible
predictions, so that an estimator can be judged by them.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, fields, replace
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Run:
    """One task that ran to its end, with its owner's estimate (`expect_s`); times are in seconds."""

    job: str
    job_class: str
    team: str
    image: str
    machine: str
    expect_s: float
    run_s: float
    best_s: float
    """The median of the true distribution, given the owner's estimate."""
    best_p90_s: float
    """The 90th percentile of the same distribution."""


SIGMA, ERROR = 0.42, 0.4
"""Spread of run times and of owners' errors, as logarithms: 95% of tasks take less than twice the median."""
Z90 = 1.2816
"""The 90th percentile of the standard normal distribution."""
LARGE = "job-large"
"""The job with most of a trace's tasks; its run times say nothing about those of other jobs."""


def _run(
    rng: random.Random,
    n: int,
    median: float,
    sigma: float,
    bias: float,
    error: float | None,
    machine: str = "m",
    factor: float = 1.0,
    job_class: str = "pages",
    job: str | None = None,
) -> Run:
    """Draw a task of a class whose run times are log-normal with this median in seconds and spread `sigma`.

    Its owner's estimate is off by the factor `bias` and by a random factor with the spread `error`; None: the owner
    gives the same estimate for all tasks.  The machine takes `factor` times as long as others.
    """
    run = median * math.exp(rng.gauss(0.0, sigma))
    if error is None:
        expect, best, spread = median * bias, median, sigma
    else:
        expect = run * bias * math.exp(rng.gauss(0.0, error))
        weight = sigma**2 / (sigma**2 + error**2)
        best = median * math.exp(weight * math.log(expect / bias / median))
        spread = math.sqrt(weight) * error
    name = job or f"job-{n}"
    return Run(name, job_class, "studio", "img", machine, expect, run * factor, best, best * math.exp(Z90 * spread))


def steady(rng: random.Random, n: int) -> Iterator[Run]:
    """Owners' estimates are off by about half in either direction."""
    return (_run(rng, k, 100.0, SIGMA, 1.0, ERROR) for k in range(n))


def biased(rng: random.Random, n: int) -> Iterator[Run]:
    """All estimates are too low by the same factor."""
    return (_run(rng, k, 100.0, SIGMA, 0.5, ERROR) for k in range(n))


def blind(rng: random.Random, n: int) -> Iterator[Run]:
    """Owners always give the same estimate, which is too high."""
    return (_run(rng, k, 100.0, SIGMA, 1.6, None) for k in range(n))


def shifted(rng: random.Random, n: int) -> Iterator[Run]:
    """After two thirds of the trace tasks take three times as long, while the estimates stay the same."""
    return (
        _run(rng, k, 100.0 if k < 2 * n // 3 else 300.0, 0.3, 1.0 if k < 2 * n // 3 else 1 / 3, None)
        for k in range(n)
    )


def two_kinds(rng: random.Random, n: int) -> Iterator[Run]:
    """Two kinds of jobs in one class, whose run times differ by ten times; owners know the kind."""
    for k in range(n):
        short = rng.random() < 0.5
        yield _run(rng, k, 30.0 if short else 300.0, 0.3, 1.0, None)


def two_kinds_blind(rng: random.Random, n: int) -> Iterator[Run]:
    """As `two_kinds`, but owners do not know the kind: no median can be right, but the p90 can be."""
    for k in range(n):
        run = _run(rng, k, 30.0 if rng.random() < 0.5 else 300.0, 0.3, 1.0, None)
        yield replace(run, expect_s=95.0, best_s=95.0, best_p90_s=390.0)


def one_drowns(rng: random.Random, n: int) -> Iterator[Run]:
    """Nine of ten tasks belong to one job, and run for a quarter of the time of the others."""
    for k in range(n):
        if rng.random() < 0.9:
            yield _run(rng, k, 25.0, 0.2, 4.0, None, job=LARGE)
        else:
            yield _run(rng, k, 100.0, SIGMA, 1.0, None)


def slow_machine(rng: random.Random, n: int) -> Iterator[Run]:
    """One machine of twenty takes 1.5 times as long; the speeds of the others differ by up to a tenth."""
    speeds = {f"m{k}": rng.uniform(0.95, 1.05) for k in range(19)} | {"slow": 1.5}
    names = list(speeds)
    for k in range(n):
        name = names[k % len(names)]
        yield _run(rng, k, 100.0, SIGMA, 1.0, ERROR, machine=name, factor=speeds[name])


KINDS: dict[str, Callable[[random.Random, int], Iterator[Run]]] = {
    "steady": steady,
    "biased": biased,
    "blind": blind,
    "shifted": shifted,
    "two-kinds": two_kinds,
    "two-kinds-blind": two_kinds_blind,
    "one-drowns": one_drowns,
    "slow-machine": slow_machine,
}


def make(kind: str, seed: int, n: int) -> list[Run]:
    """Return a trace of `n` runs; the same kind and seed give the same trace."""
    return list(KINDS[kind](random.Random(f"{kind}/{seed}"), n))


def save(runs: list[Run], path: Path) -> None:
    """Write a trace as a Parquet file; needs the extra `lab`."""
    import pyarrow as pa
    import pyarrow.parquet as pq

    names = [field.name for field in fields(Run)]
    pq.write_table(pa.table({name: [asdict(run)[name] for run in runs] for name in names}), path)


def load(path: Path) -> list[Run]:
    """Read a trace from a Parquet file; needs the extra `lab`."""
    import pyarrow.parquet as pq

    return [Run(**row) for row in pq.read_table(path).to_pylist()]
