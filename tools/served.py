"""How much of each class of jobs was served on the days whose reports are given, and whether any is under the floor.

    python tools/served.py REPORT [REPORT ...] [--floor 0.5] [--json]

A REPORT is what the bench prints of one day.  *Served* is read in two ways: a job was started within the day, and it
was done within the day.  The floor holds for both, so the stricter one, done, is the bar.  A team is served as its
classes are, where each class belongs to one team.

Exit codes: 0 every class is at the floor or above, 1 one is below it, 2 a file cannot be read or holds no class.
"""

from __future__ import annotations

import argparse
import json
import re
import sys
from dataclasses import asdict, dataclass
from pathlib import Path

DAY = re.compile(r"^(\S+) seed (\d+): (\d+\.\d+) s, up to (\d+) machines")
CLASS = re.compile(r"^  (\S+): (\d+) jobs, (\d+) tasks, (\d+) started, (\d+) done")


@dataclass
class Served:
    report: str
    day: str
    end_s: float
    name: str
    jobs: int
    started: float
    done: float


def read(path: Path) -> list[Served]:
    found: list[Served] = []
    day, end_s = "?", 0.0
    for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
        if head := DAY.match(line):
            day, end_s = head[1], float(head[3])
        elif row := CLASS.match(line):
            jobs, started, done = int(row[2]), int(row[4]), int(row[5])
            if jobs:
                found.append(Served(path.stem, day, end_s, row[1], jobs, started / jobs, done / jobs))
    return found


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("reports", nargs="+", type=Path, metavar="REPORT")
    parser.add_argument("--floor", type=float, default=0.5, help="the least share of a class that may be done (0.5)")
    parser.add_argument("--json", action="store_true", help="one list for programs")
    args = parser.parse_args()
    found: list[Served] = []
    for path in args.reports:
        try:
            rows = read(path)
        except OSError as error:
            print(f"{path}: {error.strerror}", file=sys.stderr)
            return 2
        if not rows:
            print(f"{path}: no class of jobs is told of", file=sys.stderr)
            return 2
        found += rows
    low = [row for row in found if row.done < args.floor]
    if args.json:
        print(json.dumps([asdict(row) for row in found]))
        return 1 if low else 0
    print("| day | ends after | class | jobs | started | done |\n| --- | --- | --- | --- | --- | --- |")
    least = min(found, key=lambda row: row.done)
    for row in found:
        mark = " UNDER THE FLOOR" if row in low else " (the least)" if row is least else ""
        print(f"| {row.report} {row.day} | {row.end_s:.0f} s | {row.name} | {row.jobs} | {row.started:.2f} | "
              f"{row.done:.2f}{mark} |")  # fmt: skip
    return 1 if low else 0


if __name__ == "__main__":
    sys.exit(main())
