"""Measure from the log lines of a run how long it takes other controllers to take over after a controller fails.

    python tools/takeover.py LOG [LOG ...] [--json] [--falls crash freeze cut]
    python tools/takeover.py LOG [LOG ...] --starts [--json]

A LOG is the output of the bench for a day at log level info or debug, or the merged log files of real controllers:
lines of `SECONDS HOST LEVEL TEXT`, and for each fall (a crash, a pause or a cut from the state service) a line such
as `at SECONDS s: HOST crashes`.  For each fall the table has these columns, in seconds from the fall:

  runs      `yes` if the fallen controller was the fleet leader
  noticed   until another controller first suspected it; `-` if none did before its lease ended
  taken     until another controller became fleet leader, if the fallen one had been
  decides   from then until the new leader's first logged decision on machines, or else until its first rental
  rented    until another controller rented a machine
  inherits  jobs that the fallen controller had accepted and not placed: how many were placed by others, and the
            median and longest time to their first placement
  anybody   until another controller placed any task

The last lines have the medians and the longest times.

With `--starts` the table has one row for each process that was started again after a crash: the seconds from the
crash until it listens, has signed in, makes its first placement and accepts its first job, and how many controllers
crashed together.  For each crash of several controllers a line has the seconds until any controller placed a task,
and until a fleet leader was there, had taken the fleet over and made its first decision.

Exit codes: 0 done, 2 a file cannot be read, or no file has a fall.
"""

from __future__ import annotations

import argparse
import json
import re
import sys
from dataclasses import asdict, dataclass, field
from pathlib import Path
from statistics import median

LINE = re.compile(r"^\s*(\d+\.\d+) (\S+) (?:DEBUG|INFO|ERROR) (.*)$")
FALL = re.compile(r"^\s*at (\d+\.\d+) s: (\S+) (crashes|stands still|freezes|loses the state service)")
KINDS = {"crashes": "crash", "stands still": "freeze", "freezes": "freeze", "loses the state service": "cut"}
ACCEPTED = re.compile(r"^(job-\d+) accepted")
PLACED = re.compile(r"^(job-\d+) attempt ")
WITHIN_S = 40.0
"""Events that come later after a fall are not counted as its effects."""


@dataclass
class Fall:
    """The crash, pause or cut of a controller, and the seconds from it until its effects."""

    at_s: float
    host: str
    kind: str
    runs: bool = False
    noticed: float | None = None
    taken: float | None = None
    decides: float | None = None
    rented: float | None = None
    inherits: list[float] = field(default_factory=list)
    anybody: float | None = None


def read_log(text: str) -> tuple[list[tuple[float, str, str]], list[Fall]]:
    """Return the log lines (seconds, host, text) sorted by time, and the falls that are listed among them."""
    lines, falls = [], []
    for raw in text.splitlines():
        if found := LINE.match(raw):
            lines.append((float(found[1]), found[2], found[3]))
        elif found := FALL.match(raw):
            falls.append(Fall(float(found[1]), found[2], KINDS[found[3]]))
    return sorted(lines, key=lambda line: line[0]), falls


def measure(lines: list[tuple[float, str, str]], fall: Fall) -> None:
    """Fill in the times of one fall from the log lines."""
    leader = ""
    accepted_by: dict[str, str] = {}
    placed: set[str] = set()
    inherited_jobs: set[str] | None = None
    taken_at = None
    for at_s, host, text in lines:
        since = at_s - fall.at_s
        if since <= 0:
            if text.startswith("runs the fleet"):
                leader = host
            elif text.startswith("no longer runs the fleet") and leader == host:
                leader = ""
            elif found := ACCEPTED.match(text):
                accepted_by[found[1]] = host
            elif found := PLACED.match(text):
                placed.add(found[1])
            continue
        if inherited_jobs is None:
            fall.runs = leader == fall.host
            inherited_jobs = {job for job, by in accepted_by.items() if by == fall.host and job not in placed}
        if since > WITHIN_S:
            break
        if text.startswith(f"{fall.host} gives no sign") and fall.noticed is None:
            fall.noticed = since
        elif text.startswith("runs the fleet") and host != fall.host and fall.runs and fall.taken is None:
            fall.taken, taken_at = since, at_s
        elif text.startswith("first decision of the fleet") and taken_at is not None and fall.decides is None:
            fall.decides = at_s - taken_at
        elif text.startswith("rented ") and not text.startswith("rented 0") and fall.rented is None:
            if host != fall.host:
                fall.rented = since
            if taken_at is not None and fall.decides is None:
                fall.decides = at_s - taken_at
        elif (found := PLACED.match(text)) and host != fall.host:
            fall.anybody = since if fall.anybody is None else fall.anybody
            if found[1] in inherited_jobs:
                inherited_jobs.discard(found[1])
                fall.inherits.append(since)


@dataclass
class Start:
    """A process that was started after a crash of its controller; times are in seconds from the crash."""

    at_s: float
    host: str
    together: int
    """How many controllers crashed within a second of this crash, itself included."""
    listens: float | None = None
    signed_in: float | None = None
    placed: float | None = None
    accepted: float | None = None


@dataclass
class FullStart:
    """First times over all controllers after several crashed within a second; in seconds from the first crash."""

    at_s: float
    hosts: int
    placed: float | None = None
    runs: float | None = None
    taken_over: float | None = None
    decided: float | None = None


LISTENS, SIGNED_IN = re.compile("listening on"), re.compile("signed in")
RUNS, TAKEN_OVER = re.compile("runs the fleet"), re.compile("the fleet was taken over")
DECIDED = re.compile("first decision of the fleet")


def first_times(
    lines: list[tuple[float, str, str]],
    began_s: float,
    marks: dict[str, re.Pattern[str]],
    host: str = "",
    until_s: float = float("inf"),
) -> dict[str, float]:
    """Return, by mark, the seconds from `began_s` to its first line within `WITHIN_S`; `host` '' means any host."""
    found: dict[str, float] = {}
    for at_s, by, text in lines:
        if began_s < at_s < until_s and at_s - began_s <= WITHIN_S and host in ("", by):
            for name, mark in marks.items():
                if name not in found and mark.match(text):
                    found[name] = at_s - began_s
    return found


def starts(lines: list[tuple[float, str, str]], falls: list[Fall]) -> tuple[list[Start], list[FullStart]]:
    """Return the times of each start after a crash, and of each crash of several controllers within a second."""
    own = {"listens": LISTENS, "signed_in": SIGNED_IN, "placed": PLACED, "accepted": ACCEPTED}
    of_all = {"placed": PLACED, "runs": RUNS, "taken_over": TAKEN_OVER, "decided": DECIDED}
    crashes = sorted((fall for fall in falls if fall.kind == "crash"), key=lambda fall: fall.at_s)
    found: list[Start] = []
    full: list[FullStart] = []
    for n, crash in enumerate(crashes):
        together = sum(abs(other.at_s - crash.at_s) <= 1.0 for other in crashes)
        again_s = min((c.at_s for c in crashes[n + 1 :] if c.host == crash.host), default=float("inf"))
        stages = first_times(lines, crash.at_s, own, crash.host, again_s)
        found.append(Start(crash.at_s, crash.host, together, **stages))
        if together > 1 and not any(abs(start.at_s - crash.at_s) <= 1.0 for start in full):
            full.append(FullStart(crash.at_s, together, **first_times(lines, crash.at_s, of_all)))
    return found, full


def show_starts(found: list[Start], full: list[FullStart]) -> None:
    """Print the times of each start, their medians, and those of each crash of several controllers."""
    row = "{:>8} {:9} {:>8}" + " {:>9}" * 4
    print(row.format("end", "host", "together", "listens", "signed in", "places", "accepts"))
    for start in found:
        stages = map(format_time, (start.listens, start.signed_in, start.placed, start.accepted))
        print(row.format(f"{start.at_s:.1f}", start.host, start.together, *stages))
    for name in ("listens", "signed_in", "placed", "accepted"):
        values = [value for start in found if (value := getattr(start, name)) is not None]
        if values:
            print(f"{name}: {len(values)} starts, median {median(values):.1f} s, worst {max(values):.1f} s")
    for all_of in full:
        stages = zip(
            ("anybody places", "runs", "taken over", "decides"),
            (all_of.placed, all_of.runs, all_of.taken_over, all_of.decided),
            strict=True,
        )
        stages_text = ", ".join(f"{name} {format_time(value)}" for name, value in stages)
        print(f"{all_of.hosts} ended at {all_of.at_s:.1f} s: {stages_text}")


def format_time(value: float | None) -> str:
    """Format a time in seconds with one decimal, or `-` for None."""
    return "-" if value is None else f"{value:.1f}"


def main() -> int:
    """Print the times after the falls, or of the starts, in the logs; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs", nargs="+", type=Path, metavar="LOG")
    parser.add_argument("--json", action="store_true", help="print JSON, one object for each fall")
    parser.add_argument("--starts", action="store_true", help="print the times of each start instead")
    parser.add_argument("--falls", nargs="*", choices=sorted(set(KINDS.values())), help="only falls of these kinds")
    args = parser.parse_args()
    found: list[Fall] = []
    began: list[Start] = []
    full: list[FullStart] = []
    for path in args.logs:
        try:
            lines, falls = read_log(path.read_text(encoding="utf-8", errors="replace"))
        except OSError as error:
            print(f"{path}: {error.strerror}", file=sys.stderr)
            return 2
        chosen = [fall for fall in falls if not args.falls or fall.kind in args.falls]
        found += chosen
        if args.starts:
            some, more = starts(lines, falls)
            began, full = began + some, full + more
            continue
        for fall in chosen:
            measure(lines, fall)
    if not found:
        print("no fall was found in these logs", file=sys.stderr)
        return 2
    if args.starts:
        if args.json:
            print(json.dumps({"starts": list(map(asdict, began)), "full": list(map(asdict, full))}))
        else:
            show_starts(began, full)
        return 0
    if args.json:
        print(json.dumps([asdict(fall) for fall in found]))
        return 0
    row = "{:>8} {:9} {:7} {:5}" + " {:>8}" * 5 + "  {}"
    print(
        row.format(
            "fall",
            "host",
            "kind",
            "runs",
            "noticed",
            "taken",
            "decides",
            "rented",
            "anybody",
            "inherits (median, worst)",
        )
    )
    for fall in found:
        waits = fall.inherits
        inherited = f"{len(waits)} ({median(waits):.1f}, {max(waits):.1f})" if waits else "0"
        stages = (fall.noticed, fall.taken, fall.decides, fall.rented, fall.anybody)
        runs = "yes" if fall.runs else "no"
        print(row.format(f"{fall.at_s:.1f}", fall.host, fall.kind, runs, *map(format_time, stages), inherited))
    for name in ("noticed", "taken", "decides", "rented", "anybody"):
        values = [value for fall in found if (value := getattr(fall, name)) is not None]
        if values:
            print(f"{name}: {len(values)} falls, median {median(values):.1f} s, worst {max(values):.1f} s")
    waits = [wait for fall in found for wait in fall.inherits]
    if waits:
        print(f"inherited jobs: {len(waits)}, median {median(waits):.1f} s, worst {max(waits):.1f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
