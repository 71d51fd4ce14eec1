"""Replay traces to the run time estimator, and compare it with the true run times and with simpler estimators.

    python -m ashtray.lab.replay [--seeds 100] [--json] [--kind NAME ...] [--save DIR | --trace FILE]

For each kind of trace it prints the error of the predicted median after 5, 10, 30 and 100 completions, and the share
of tasks that end within the predicted p90.  The error is a difference of logarithms from the best possible
prediction: 0.10 is about 10%.  Both are medians over the seeds, with the worst error in brackets.
"""

from __future__ import annotations

import argparse
import json
import math
import statistics
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple, Protocol

from ashtray.estimates.learned import Estimates
from ashtray.jobs.model import Job, JobRecord, JobSpec
from ashtray.kernel import SECOND_US
from ashtray.lab import traces
from ashtray.lab.traces import Run

CHECKPOINTS = (5, 10, 30, 100)
"""Learners are judged after these numbers of completed tasks, and once more 20 tasks after two thirds of a trace."""
TASKS_AHEAD = 60
"""How many tasks after each checkpoint are predicted and compared with their run times."""
TRACE_RUNS = 240
"""How many tasks a trace has."""
TASKS_EACH = 20
"""How many tasks each machine runs before slow machines are reported."""


class Judgement(NamedTuple):
    """How good a learner's predictions were at a checkpoint."""

    error: float
    """The mean distance of the predicted medians from the best possible ones, in the natural logarithm."""
    within: float
    """The share of the tasks, 0 to 1, that ended within the predicted 90th percentile."""


class Summary(NamedTuple):
    """The judgements of one learner at one checkpoint over all seeds."""

    median_error: float
    worst_error: float
    median_within: float


class Learner(Protocol):
    """Something that predicts run times and learns from them."""

    def learn(self, run: Run) -> None:
        """Take in a run that has ended."""

    def predict(self, run: Run) -> tuple[float, float]:
        """Predict a run: its median and its 90th percentile, in seconds."""
        ...


class Owner:
    """Predicts the owner's estimate, unchanged."""

    def learn(self, run: Run) -> None:
        """Take in a run that has ended."""

    def predict(self, run: Run) -> tuple[float, float]:
        """Predict a run: its median and its 90th percentile, in seconds."""
        return run.expect_s, run.expect_s


class Mean:
    """Predicts from a running mean of run time over estimate for each class, as early versions of ashtray did."""

    def __init__(self) -> None:
        self._ratios: dict[str, float] = {}

    def learn(self, run: Run) -> None:
        """Take in a run that has ended."""
        ratio = min(run.run_s / run.expect_s, 5.0)
        old = self._ratios.get(run.job_class, ratio)
        self._ratios[run.job_class] = old + 0.05 * (ratio - old)

    def predict(self, run: Run) -> tuple[float, float]:
        """Predict a run: its median and its 90th percentile, in seconds."""
        found = run.expect_s * self._ratios.get(run.job_class, 1.2)
        return found, found


class Last:
    """Predicts the last run time of the class."""

    def __init__(self) -> None:
        self._last: dict[str, float] = {}

    def learn(self, run: Run) -> None:
        """Take in a run that has ended."""
        self._last[run.job_class] = run.run_s

    def predict(self, run: Run) -> tuple[float, float]:
        """Predict a run: its median and its 90th percentile, in seconds."""
        found = self._last.get(run.job_class, run.expect_s)
        return found, found


class Learnt:
    """Predicts with `ashtray.estimates`, which controllers use."""

    def __init__(self) -> None:
        self.estimates = Estimates()

    def learn(self, run: Run) -> None:
        """Take in a run that has ended."""
        self.estimates.add_run(job_of(run), int(run.run_s * SECOND_US), run.machine)

    def predict(self, run: Run) -> tuple[float, float]:
        """Predict a run: its median and its 90th percentile, in seconds."""
        found = self.estimates.estimate(job_of(run))
        return found.median_us / SECOND_US, found.p90_us / SECOND_US


LEARNERS: dict[str, Callable[[], Learner]] = {"owner": Owner, "mean": Mean, "last": Last, "learnt": Learnt}


def job_of(run: Run) -> Job:
    """Return a job for the estimator that has the class, owner's estimate and image of a run."""
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


def judge(runs: list[Run], learner: Learner) -> dict[int, Judgement]:
    """Return, for each checkpoint that has tasks after it, how good the predictions of these tasks were.

    Learners also learn from the one large job of a trace, but its tasks are not predicted.
    """
    late = 2 * len(runs) // 3 + 20
    found = {}
    for n, run in enumerate(runs):
        if n in CHECKPOINTS or n == late:
            ahead = [after for after in runs[n:] if after.job != traces.LARGE][:TASKS_AHEAD]
            if ahead:
                found[n] = judge_predictions(ahead, learner)
        learner.learn(run)
    return found


def judge_predictions(runs: list[Run], learner: Learner) -> Judgement:
    """Compare a learner's predictions for runs, at least one, with their run times."""
    errors, within = [], []
    for run in runs:
        median_s, p90_s = learner.predict(run)
        errors.append(abs(math.log(median_s / run.best_s)))
        within.append(run.run_s <= p90_s)
    return Judgement(statistics.fmean(errors), statistics.fmean(within))


def accused(seeds: int, tasks: int) -> dict[str, float]:
    """Return the shares of slow machines found and of healthy machines called slow, after `tasks` tasks on each."""
    found = healthy = 0
    for seed in range(seeds):
        learner = Learnt()
        for run in traces.make("slow-machine", seed, 20 * tasks):
            learner.learn(run)
        found += learner.estimates.slow("slow")
        healthy += sum(learner.estimates.slow(f"m{k}") for k in range(19))
    return {"slow found": found / seeds, "healthy accused": healthy / seeds / 19}


def table(kind: str, seeds: int, n: int = TRACE_RUNS) -> dict[str, dict[str, Summary]]:
    """Return, by learner and checkpoint, the judgements over `seeds` traces of `n` runs each."""
    rows: dict[str, dict[str, Summary]] = {}
    for name, make_learner in LEARNERS.items():
        by_checkpoint: dict[int, list[Judgement]] = {}
        for seed in range(seeds):
            for checkpoint, judgement in judge(traces.make(kind, seed, n), make_learner()).items():
                by_checkpoint.setdefault(checkpoint, []).append(judgement)
        rows[name] = {str(checkpoint): summarize(found) for checkpoint, found in by_checkpoint.items()}
    return rows


def summarize(judgements: list[Judgement]) -> Summary:
    """Return the median and the worst error, and the median share within the 90th percentile."""
    errors = [judgement.error for judgement in judgements]
    return Summary(
        statistics.median(errors),
        max(errors),
        statistics.median(judgement.within for judgement in judgements),
    )


def judge_file(path: Path) -> dict[str, dict[str, Summary]]:
    """Return, by learner and checkpoint, the judgements for the one trace in a Parquet file."""
    runs = traces.load(path)
    return {
        name: {str(checkpoint): summarize([found]) for checkpoint, found in judge(runs, make_learner()).items()}
        for name, make_learner in LEARNERS.items()
    }


def judge_kinds(kinds: list[str], seeds: int) -> dict[str, Any]:
    """Return a table for each kind of trace and, if `slow-machine` is among them, the result of `accused`."""
    found: dict[str, Any] = {}
    for kind in kinds:
        print(f"{kind} ...", file=sys.stderr)
        found[kind] = table(kind, seeds)
    if "slow-machine" in kinds:
        found["machines"] = accused(seeds, TASKS_EACH)
    return found


def save_kinds(kinds: list[str], folder: Path) -> None:
    """Write the trace of seed 0 of each kind as a Parquet file."""
    folder.mkdir(parents=True, exist_ok=True)
    for kind in kinds:
        traces.save(traces.make(kind, 0, TRACE_RUNS), folder / f"{kind}.parquet")


def print_tables(found: dict[str, Any]) -> None:
    """Print the results of `judge_kinds` or `judge_file`, one row for each learner."""
    for kind, rows in found.items():
        if kind == "machines":
            print(
                f"after {TASKS_EACH} tasks each: {rows['slow found']:.0%} of slow machines found, "
                f"{rows['healthy accused']:.1%} of healthy ones accused"
            )
            continue
        print(kind)
        for name, summaries in rows.items():
            cells = "  ".join(
                f"{checkpoint:>4}: {row.median_error:.2f} ({row.worst_error:.2f}) {row.median_within:.0%}"
                for checkpoint, row in summaries.items()
            )
            print(f"  {name:7} {cells}")


def parse_arguments(argv: list[str] | None) -> argparse.Namespace:
    """Parse the command line; exits with 2 if it cannot be used."""
    parser = argparse.ArgumentParser(
        prog="ashtray.lab.replay", description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=100, help="traces of each kind (default: 100)")
    parser.add_argument("--kind", nargs="*", choices=sorted(traces.KINDS), help="kinds of traces (default: all)")
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--save", type=Path, metavar="DIR", help="write each kind's first trace there as Parquet")
    parser.add_argument("--trace", type=Path, metavar="FILE", help="replay the trace in this Parquet file instead")
    return parser.parse_args(argv)


def main(argv: list[str] | None = None) -> int:
    """Replay traces to all learners and print their errors; returns the exit code."""
    args = parse_arguments(argv)
    kinds = args.kind or sorted(traces.KINDS)
    if args.save is not None:
        save_kinds(kinds, args.save)
        return 0
    found = judge_kinds(kinds, args.seeds) if args.trace is None else {args.trace.name: judge_file(args.trace)}
    if args.json:
        print(json.dumps(found))
    else:
        print_tables(found)
    return 0


if __name__ == "__main__":
    sys.exit(main())
