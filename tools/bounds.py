"""Compute bounds on the best result of any scheduler, from public facts that are given as arguments.

    python tools/bounds.py finished --median 100 --p95 200 --within 180 --overhead 1 [--tasks N]
    python tools/bounds.py price --demand 35 --cheap-units 20 --cheap 0.83 --dear 2.46
    python tools/bounds.py useful --boot 50 --fetch 17 --busy 300
    python tools/bounds.py changes --rate 25 --jobs 1.93 --groups 20 --run 50
    python tools/bounds.py overload --places 1080 --rate 7.4 --hold 126 --seconds 420 --factor 3 --burst 100 \
        --start 700 --within 20
    python tools/bounds.py floor --first 11.2 --first-hold 116 --first-only 308 --last 61 --last-hold 60 \
        --last-only 1296 --shared 231 --shared-first 6 --shared-last 8 --median 30 --p95 90
    python tools/bounds.py wait --images 4 --machines 11 --jobs 99 --fetch 12.5 --within 8
"""

from __future__ import annotations

import argparse
import math
from statistics import NormalDist

JOB_WRITES = 4
"""The writes to the state service that each job costs: accepted, placed, ended, and its long record removed."""
Z95 = NormalDist().inv_cdf(0.95)
"""The 95th percentile of the standard normal distribution."""


def finished(median: float, p95: float, within: float, overhead: float, tasks: int) -> float:
    """Return the share of jobs that can be done in time when each starts at once.

    Run times in seconds are taken as log-normal with this median and 95th percentile.  A job is done when the last of
    its tasks is done, and each task has `overhead` unavoidable seconds before it runs.
    """
    sigma = math.log(p95 / median) / Z95
    left = within - overhead
    if left <= 0:
        return 0.0
    return float(NormalDist().cdf(math.log(left / median) / sigma) ** tasks)


def price(demand: float, cheap_units: float, cheap: float, dear: float) -> float:
    """Return the lowest average price, as a multiple of the cheap one, when only `cheap_units` are available."""
    on_cheap = min(demand, cheap_units)
    return (on_cheap * cheap + (demand - on_cheap) * dear) / (demand * cheap)


def useful(boot: float, fetch: float, busy: float) -> float:
    """Return the greatest useful share of the cost of a machine that boots, fetches once and is then always busy."""
    return busy / (boot + fetch + busy)


def changes(rate: float, jobs: float, groups: int, run: float) -> float:
    """Return the greatest share of time that resources are in use when `rate` writes a second are allowed.

    Each job costs four writes: it is accepted, placed, and ended (its short record is written and the long one
    removed).  The remaining writes are for the group records.  If each write frees and fills a whole group, resources
    that a task frees wait for half a cycle through all groups on average until the next task gets them.
    """
    left = rate - JOB_WRITES * jobs
    if left <= 0:
        return 0.0
    empty = groups / left / 2
    return run / (run + empty)


def wait(images: int, machines: int, jobs: int, fetch: float, within: float) -> float:
    """Return the greatest share of starts in time when the first use of each image must fetch it.

    Each image is fetched by only one of the machines, which is the least possible.
    """
    missed = min(images, images * machines) if fetch > within else 0
    return max(0.0, 1.0 - missed / jobs)


def overload(
    places: float, rate: float, hold: float, seconds: float, factor: float, burst: float, start: float, within: float
) -> float:
    """Return the greatest share of tasks that any order of placement can start within so many seconds.

    `rate` tasks arrive per second, `factor` times as many for `burst` of all `seconds` (from one third of `seconds`
    on), and `start` tasks at the beginning; each uses one of the `places` for `hold` seconds.  Tasks are treated as a
    fluid, and tasks that can no longer start in time are left out.  Gangs need not get all of their places at once.
    """
    served = came = 0.0
    queue: list[list[float]] = []
    ends: dict[int, float] = {}
    free = places
    for second in range(int(seconds)):
        free += ends.pop(second, 0.0)
        times = factor if seconds / 3 <= second < seconds / 3 + burst else 1.0
        new = rate * times + (start if second == 0 else 0.0)
        came += new
        queue.append([second, new])
        queue = [entry for entry in queue if second - entry[0] <= within and entry[1] > 0]
        for entry in queue:
            got = min(free, entry[1])
            entry[1] -= got
            free -= got
            served += got
            ends[int(second + hold)] = ends.get(int(second + hold), 0.0) + got
    return served / came


def smallest(share: float, median: float, p95: float) -> float:
    """Return the share of all tasks that is in the smallest `share` of the jobs, when job sizes are log-normal."""
    if share <= 0 or share >= 1:
        return max(min(share, 1.0), 0.0)
    sigma = math.log(p95 / median) / Z95
    return float(NormalDist().cdf(NormalDist().inv_cdf(share) - sigma))


def floor(
    first: float,
    first_hold: float,
    first_only: float,
    last: float,
    last_hold: float,
    last_only: float,
    shared: float,
    shared_first: float,
    shared_last: float,
    median: float,
    p95: float,
) -> float:
    """Return the greatest share of jobs that can be done in each of two classes.

    Of the last class the smallest jobs are done first.

    Tasks of the first class arrive at a mean of `first` per second and use a place for `first_hold` seconds; those of
    the last class arrive at `last` per second and use a place for `last_hold` seconds.  `first_only` and `last_only`
    places can be used by one class only; each of `shared` machines has `shared_first` places for the first class, or
    `shared_last` for the last one.  Places are used all the time, and writes to the state service are not counted.
    `median` and `p95` are those of the tasks in a job of the last class; if both are 1, all jobs have the same size,
    and the result is also the share of tasks.
    """
    low, high = 0.0, 1.0
    for _ in range(50):
        share = (low + high) / 2
        part = share if p95 <= median else smallest(share, median, p95)
        need = max(share * first * first_hold - first_only, 0.0) / shared_first
        need += max(part * last * last_hold - last_only, 0.0) / shared_last
        low, high = (share, high) if need <= shared else (low, share)
    return low


def main() -> None:
    """Print the bound that the command line chooses."""
    parser = argparse.ArgumentParser(description="Compute a bound on the best result of any scheduler.")
    bounds = parser.add_subparsers(dest="bound", required=True)
    for name, call, numbers in (
        ("finished", finished, {"median": float, "p95": float, "within": float, "overhead": float, "tasks": int}),
        ("price", price, {"demand": float, "cheap_units": float, "cheap": float, "dear": float}),
        ("useful", useful, {"boot": float, "fetch": float, "busy": float}),
        ("changes", changes, {"rate": float, "jobs": float, "groups": int, "run": float}),
        (
            "overload",
            overload,
            dict.fromkeys(("places", "rate", "hold", "seconds", "factor", "burst", "start", "within"), float),
        ),
        (
            "floor",
            floor,
            dict.fromkeys(
                (
                    "first",
                    "first_hold",
                    "first_only",
                    "last",
                    "last_hold",
                    "last_only",
                    "shared",
                    "shared_first",
                    "shared_last",
                    "median",
                    "p95",
                ),
                float,
            ),
        ),
        ("wait", wait, {"images": int, "machines": int, "jobs": int, "fetch": float, "within": float}),
    ):
        sub = bounds.add_parser(name, description=call.__doc__)
        for number, kind in numbers.items():
            sub.add_argument(
                "--" + number.replace("_", "-"),
                type=kind,
                required=number != "tasks",
                default=1 if number == "tasks" else None,
            )
        sub.set_defaults(call=call, numbers=list(numbers))
    args = parser.parse_args()
    print(f"{args.call(**{number: getattr(args, number) for number in args.numbers}):.3f}")


if __name__ == "__main__":
    main()
