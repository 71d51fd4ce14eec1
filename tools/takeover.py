"""How long duties lie idle after a controller falls, read from the log lines of a run.

    python tools/takeover.py LOG [LOG ...] [--json] [--falls crash freeze cut]
    python tools/takeover.py LOG [LOG ...] --starts [--json]

A LOG is what the bench prints of a day at info or debug, or log files of real controllers put together: lines of
`SECONDS HOST LEVEL TEXT`, and for the falls `at SECONDS s: HOST crashes`.  For each fall the table has

  runs      who ran the fleet when it fell: `yes` where that was the fallen one
  noticed   until the first other controller took it for away (nothing where none did before its lease ended)
  taken     until another one ran the fleet, where the fallen one had
  decides   from there to its first decision on machines, where it says so; else until the first that it rented
  rented    until the first machine was rented by anybody
  inherits  jobs that it had accepted and not placed: how many, and the median and longest time to their first place
  anybody   until anybody placed anything

all in seconds from the fall.  The last lines have medians and the worst.

With `--starts` the table has one row for each process that began after a crash: seconds from that crash until it
listens, has signed in, made its first placement and accepted its first job, and how many ended with it; and for each
fall of several the seconds until anybody placed something, and until the fleet was run, taken over and decided on.

Exit codes: 0 done, 2 a file cannot be read, or none holds a fall.
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
"""What has not come by then is not put down to this fall."""


@dataclass
class Fall:
    """The end, halt or cut of a controller, and when what followed it happened (seconds)."""

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


def read(text: str) -> tuple[list[tuple[float, str, str]], list[Fall]]:
    """The log lines by time, and the falls that are noted between them."""
    lines, falls = [], []
    for raw in text.splitlines():
        if found := LINE.match(raw):
            lines.append((float(found[1]), found[2], found[3]))
        elif found := FALL.match(raw):
            falls.append(Fall(float(found[1]), found[2], KINDS[found[3]]))
    return sorted(lines, key=lambda line: line[0]), falls


def measure(lines: list[tuple[float, str, str]], fall: Fall) -> None:
    """Fill in the stages of one fall."""
    runner = ""
    owner: dict[str, str] = {}
    placed: set[str] = set()
    lost: set[str] | None = None
    taken_at = None
    for at_s, host, text in lines:
        since = at_s - fall.at_s
        if since <= 0:
            if text.startswith("runs the fleet"):
                runner = host
            elif text.startswith("no longer runs the fleet") and runner == host:
                runner = ""
            elif found := ACCEPTED.match(text):
                owner[found[1]] = host
            elif found := PLACED.match(text):
                placed.add(found[1])
            continue
        if lost is None:
            fall.runs = runner == fall.host
            lost = {job for job, by in owner.items() if by == fall.host and job not in placed}
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
            if found[1] in lost:
                lost.discard(found[1])
                fall.inherits.append(since)


@dataclass
class Start:
    """A process that began after its predecessor's end; times in seconds from that end."""

    at_s: float
    host: str
    together: int
    """How many ended within a second of it."""
    listens: float | None = None
    signed_in: float | None = None
    placed: float | None = None
    accepted: float | None = None


@dataclass
class FullStart:
    """What the controllers as a whole did after several had ended at one time."""

    at_s: float
    hosts: int
    placed: float | None = None
    runs: float | None = None
    taken_over: float | None = None
    decided: float | None = None


LISTENS, SIGNED_IN = re.compile("listening on"), re.compile("signed in")
RUNS, TAKEN_OVER = re.compile("runs the fleet"), re.compile("the fleet was taken over")
DECIDED = re.compile("first decision of the fleet")


def firsts(
    lines: list[tuple[float, str, str]],
    began_s: float,
    marks: dict[str, re.Pattern[str]],
    host: str = "",
    until_s: float = float("inf"),
) -> dict[str, float]:
    """For each mark how long after a time its first line came, from one host or any."""
    found: dict[str, float] = {}
    for at_s, by, text in lines:
        if began_s < at_s < until_s and at_s - began_s <= WITHIN_S and host in ("", by):
            for name, mark in marks.items():
                if name not in found and mark.match(text):
                    found[name] = at_s - began_s
    return found


def starts(lines: list[tuple[float, str, str]], falls: list[Fall]) -> tuple[list[Start], list[FullStart]]:
    """The stages of each start, and of those of several that ended within a second."""
    own = {"listens": LISTENS, "signed_in": SIGNED_IN, "placed": PLACED, "accepted": ACCEPTED}
    of_all = {"placed": PLACED, "runs": RUNS, "taken_over": TAKEN_OVER, "decided": DECIDED}
    crashes = sorted((fall for fall in falls if fall.kind == "crash"), key=lambda fall: fall.at_s)
    found: list[Start] = []
    full: list[FullStart] = []
    for n, crash in enumerate(crashes):
        together = sum(abs(other.at_s - crash.at_s) <= 1.0 for other in crashes)
        again_s = min((c.at_s for c in crashes[n + 1 :] if c.host == crash.host), default=float("inf"))
        stages = firsts(lines, crash.at_s, own, crash.host, again_s)
        found.append(Start(crash.at_s, crash.host, together, **stages))
        if together > 1 and not any(abs(one.at_s - crash.at_s) <= 1.0 for one in full):
            full.append(FullStart(crash.at_s, together, **firsts(lines, crash.at_s, of_all)))
    return found, full


def show_starts(found: list[Start], full: list[FullStart]) -> None:
    """Print the stages of each start and of each start of all controllers."""
    row = "{:>8} {:9} {:>8}" + " {:>9}" * 4
    print(row.format("end", "host", "together", "listens", "signed in", "places", "accepts"))
    for one in found:
        stages = map(shown, (one.listens, one.signed_in, one.placed, one.accepted))
        print(row.format(f"{one.at_s:.1f}", one.host, one.together, *stages))
    for name in ("listens", "signed_in", "placed", "accepted"):
        values = [value for one in found if (value := getattr(one, name)) is not None]
        if values:
            print(f"{name}: {len(values)} starts, median {median(values):.1f} s, worst {max(values):.1f} s")
    for all_of in full:
        stages = zip(
            ("anybody places", "runs", "taken over", "decides"),
            (all_of.placed, all_of.runs, all_of.taken_over, all_of.decided),
            strict=True,
        )
        said = ", ".join(f"{name} {shown(value)}" for name, value in stages)
        print(f"{all_of.hosts} ended at {all_of.at_s:.1f} s: {said}")


def shown(value: float | None) -> str:
    """A time in seconds with one decimal; `-` for None."""
    return "-" if value is None else f"{value:.1f}"


def main() -> int:
    """Print what the logs say of falls or starts; the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs", nargs="+", type=Path, metavar="LOG")
    parser.add_argument("--json", action="store_true", help="one object for each fall, for programs")
    parser.add_argument("--starts", action="store_true", help="the stages of each start instead")
    parser.add_argument("--falls", nargs="*", choices=sorted(set(KINDS.values())), help="only these kinds")
    args = parser.parse_args()
    found: list[Fall] = []
    began: list[Start] = []
    full: list[FullStart] = []
    for path in args.logs:
        try:
            lines, falls = read(path.read_text(encoding="utf-8", errors="replace"))
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
        print("no fall is in these logs", file=sys.stderr)
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
        heirs = f"{len(waits)} ({median(waits):.1f}, {max(waits):.1f})" if waits else "0"
        stages = (fall.noticed, fall.taken, fall.decides, fall.rented, fall.anybody)
        runs = "yes" if fall.runs else "no"
        print(row.format(f"{fall.at_s:.1f}", fall.host, fall.kind, runs, *map(shown, stages), heirs))
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
