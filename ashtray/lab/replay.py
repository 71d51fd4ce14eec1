"""Play traces to what learns run times, and judge it by the truth and by simpler ways.

    python -m ashtray.lab.replay [--seeds 100] [--json] [--kind NAME ...] [--save DIR | --trace FILE]

For each kind of trace: the error of the median after 5, 10, 30 and 100 completions (in the logarithm, against the
best that could be known; 0.10 is 10%), and how many tasks end within the stated p90.  The median over seeds, and the
worst in brackets.
"""

from __future__ import annotations

import argparse
import json
import math
import statistics
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from ashtray.estimates.learned import Estimates
from ashtray.jobs.model import Job, JobRecord, JobSpec
from ashtray.kernel import SECOND_US
from ashtray.lab import traces
from ashtray.lab.traces import Run

LOOKS = (5, 10, 30, 100)
AHEAD = 60
"""So many tasks after each look are judged."""


class Learner(Protocol):
    """Something that predicts run times and learns from them."""

    def learn(self, run: Run) -> None:
        """Take in a run that has ended."""

    def say(self, run: Run) -> tuple[float, float]:
        """Predict a run: its median and its 90th percentile, in seconds."""
        ...


class Owner:
    """The owner's estimate, as it stands."""

    def learn(self, run: Run) -> None:
        """Take in a run that has ended."""

    def say(self, run: Run) -> tuple[float, float]:
        """Predict a run: its median and its 90th percentile, in seconds."""
        return run.expect_s, run.expect_s


class Mean:
    """A running mean of run times over estimates, for each class: what ashtray did before."""

    def __init__(self) -> None:
        self._ratios: dict[str, float] = {}

    def learn(self, run: Run) -> None:
        """Take in a run that has ended."""
        ratio = min(run.run_s / run.expect_s, 5.0)
        old = self._ratios.get(run.job_class, ratio)
        self._ratios[run.job_class] = old + 0.05 * (ratio - old)

    def say(self, run: Run) -> tuple[float, float]:
        """Predict a run: its median and its 90th percentile, in seconds."""
        found = run.expect_s * self._ratios.get(run.job_class, 1.2)
        return found, found


class Last:
    """The last run time of the class."""

    def __init__(self) -> None:
        self._last: dict[str, float] = {}

    def learn(self, run: Run) -> None:
        """Take in a run that has ended."""
        self._last[run.job_class] = run.run_s

    def say(self, run: Run) -> tuple[float, float]:
        """Predict a run: its median and its 90th percentile, in seconds."""
        found = self._last.get(run.job_class, run.expect_s)
        return found, found


class Learnt:
    """`ashtray.estimates`."""

    def __init__(self) -> None:
        self.estimates = Estimates()

    def learn(self, run: Run) -> None:
        """Take in a run that has ended."""
        self.estimates.ran(job_of(run), int(run.run_s * SECOND_US), run.machine)

    def say(self, run: Run) -> tuple[float, float]:
        """Predict a run: its median and its 90th percentile, in seconds."""
        found = self.estimates.estimate(job_of(run))
        return found.median_us / SECOND_US, found.p90_us / SECOND_US


LEARNERS: dict[str, Callable[[], Learner]] = {"owner": Owner, "mean": Mean, "last": Last, "learnt": Learnt}


def job_of(run: Run) -> Job:
    """The job of one task that a run of a trace stands for."""
    spec = JobSpec(
        run.job_class,
        run.team,
        "array",
        2,
        1,
        2.0,
        0.0,
        1.0,
        run.image,
        1.0,
        estimate_us=int(run.expect_s * SECOND_US),
    )
    job = Job.__new__(Job)
    job.id, job.spec, job.record, job.priority = run.job, spec, JobRecord(spec, "", 0), 2
    return job


def judge(runs: list[Run], learner: Learner) -> dict[int, tuple[float, float]]:
    """For each look the error of the median, and the share of what follows that ends within the p90."""
    found = {}
    for n, run in enumerate(runs):
        if n in LOOKS or n == 2 * len(runs) // 3 + 20:
            ahead = [after for after in runs[n:] if after.job != traces.LARGE][:AHEAD]
            if not ahead:
                continue
            said = [learner.say(after) for after in ahead]
            off = [abs(math.log(median / after.best_s)) for (median, _), after in zip(said, ahead, strict=True)]
            within = [after.run_s <= p90 for (_, p90), after in zip(said, ahead, strict=True)]
            found[n] = (statistics.fmean(off), statistics.fmean(within))
        learner.learn(run)
    return found


def accused(seeds: int, tasks: int) -> dict[str, float]:
    """The share of slow machines found, and of healthy ones accused, after so many tasks each."""
    found = healthy = 0
    for seed in range(seeds):
        learner = Learnt()
        for run in traces.make("slow-machine", seed, 20 * tasks):
            learner.learn(run)
        found += learner.estimates.slow("slow")
        healthy += sum(learner.estimates.slow(f"m{k}") for k in range(19))
    return {"slow found": found / seeds, "healthy accused": healthy / seeds / 19}


def table(kind: str, seeds: int, n: int = 240) -> dict[str, dict[str, tuple[float, float, float]]]:
    """By learner and look: the median error, the worst, and the median share within the p90."""
    rows: dict[str, dict[str, tuple[float, float, float]]] = {}
    for name, make in LEARNERS.items():
        by_look: dict[int, list[tuple[float, float]]] = {}
        for seed in range(seeds):
            for look, judged in judge(traces.make(kind, seed, n), make()).items():
                by_look.setdefault(look, []).append(judged)
        rows[name] = {
            str(look): (
                statistics.median(e for e, _ in all_),
                max(e for e, _ in all_),
                statistics.median(w for _, w in all_),
            )
            for look, all_ in by_look.items()
        }
    return rows


def main(argv: list[str] | None = None) -> int:
    """Replay traces to all learners and print how far off they were; the exit code."""
    parser = argparse.ArgumentParser(
        prog="ashtray.lab.replay", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=100, help="traces of each kind (default: 100)")
    parser.add_argument("--kind", nargs="*", choices=sorted(traces.KINDS), help="kinds of traces (default: all)")
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--save", type=Path, metavar="DIR", help="write each kind's first trace there as Parquet")
    parser.add_argument("--trace", type=Path, metavar="FILE", help="judge by a trace from a Parquet file")
    args = parser.parse_args(argv)
    kinds = args.kind or sorted(traces.KINDS)
    if args.save is not None:
        args.save.mkdir(parents=True, exist_ok=True)
        for kind in kinds:
            traces.save(traces.make(kind, 0, 240), args.save / f"{kind}.parquet")
        return 0
    found: dict[str, Any] = {}
    if args.trace is not None:
        runs = traces.load(args.trace)
        found[args.trace.name] = {
            name: {str(look): (error, error, within) for look, (error, within) in judge(runs, make()).items()}
            for name, make in LEARNERS.items()
        }
    else:
        for kind in kinds:
            print(f"{kind} ...", file=sys.stderr)
            found[kind] = table(kind, args.seeds)
        if "slow-machine" in kinds:
            found["machines"] = accused(args.seeds, 20)
    if args.json:
        print(json.dumps(found))
        return 0
    for kind, rows in found.items():
        if kind == "machines":
            print(
                f"after 20 tasks each: {rows['slow found']:.0%} of slow machines found, "
                f"{rows['healthy accused']:.1%} of healthy ones accused"
            )
            continue
        print(kind)
        for name, looks in rows.items():
            cells = "  ".join(f"{look:>4}: {e:.2f} ({w:.2f}) {p:.0%}" for look, (e, w, p) in looks.items())
            print(f"  {name:7} {cells}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
