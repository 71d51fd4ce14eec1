"""Run the acceptance days (other site sizes, quick process restarts, days of this repository) and print one table.

    python tools/accept.py --bench PATH/fleetbench --sites A.toml B.toml --set short [--jobs 6] [--table FILE]
    python tools/accept.py --reports REPORT [REPORT ...]

The matrix is `tools/days/acceptance.toml`.  Each row names a day (a standard day, or a file beside the matrix), the
sets that it belongs to, and what is changed in a copy of the site:

  size     a factor for machines, limits, work, and the machines that faults hit
  work     a factor for the work alone
  back_s   how soon an ended process is started again, in seconds
  zones    the zones among which machines are divided
  limits   a factor for the limits of teams
  changes  a factor for the writes per second of the state service
  classes  text that is added to the site: teams and job classes

In days and classes `@first` stands for the site's most urgent job class, `@last` for its least urgent class, `@team`
for the team of that class, `@hull` for its machine type with GPUs, `@nodes` for the number of its controllers, and
`@zone` for its first zone.

Results are kept in `--dir` under a name made of the version of the sources, the row, the site and the seed: if the
tool is interrupted and called again, it continues with the days that are missing.  For each day the table has the
broken rules, processes that ended on their own, the time that the run took, the highest memory and connection count
of a process beside the site's limit, and the share of submissions that were accepted.  For each job class and team
it has the jobs submitted, started and done, and for classes the tasks of jobs that were done.  A class or team whose
share of done jobs is under `--floor` fails the day; a class under `--aim` is marked.  For a team the report counts
started jobs only, so a team is judged by these.

Of the largest jobs of a class, as read from the log lines, half must be done, and half must begin within four
minutes.  An array begins when its first task is placed, a gang when its first part is placed, which is mostly the
whole gang.  Users do not state which jobs are the largest, so both the top tenth and the top quarter are checked, and
the worse result counts.  A job that has not begun, and was submitted less than four minutes before the day's last log
line, does not count as late.

A job that its user cancels is not expected to be done; the log lines tell which jobs were cancelled.  It counts all
the same if it was done, or if it had waited for four minutes when it was cancelled.  Without a log every job counts.

Exit codes: 0 every day passed, 1 one failed, 2 the command line or a file cannot be used.
"""

from __future__ import annotations

import argparse
import json
import re
import shutil
import subprocess
import sys
import time
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
MATRIX = ROOT / "tools" / "days" / "acceptance.toml"
ACCEPTED = re.compile(r"INFO (job-\d+) accepted \(\S+ of (\d+), (\S+), ")
PLACED = re.compile(r"INFO (job-\d+) attempt ")
DONE = re.compile(r"INFO (job-\d+) is done$")
CANCELLED = re.compile(r"INFO (job-\d+) cancelled$")
BEGIN_S = 240.0
"""Half of the largest jobs of a class must begin within this time after their submission."""
LARGEST = (0.1, 0.25)
"""The shares of a class's jobs, by number of tasks, that are checked as its largest; jobs of equal size are added."""
RUN_TIMES = re.compile(r"to play it took ([\d.]+) s for the world, ([\d.]+) s in .* and ([\d.]+) s in the kernel")
"""The bench's line on the processor time of a run, in seconds: the simulation, the processes, the kernel."""
SECTION = re.compile(r"\[+([\w.]+)\]+\s*$")
SCALED = {  # the numbers of a site that scale with its size, by section
    "capacity": ("count", "spot"),
    "teams": ("gpus", "gpus_max", "cpus", "cpus_max"),
    "jobs": ("initial",),
}


@dataclass
class Row:
    """One row of the matrix."""

    name: str
    day: str
    sets: list[str] = field(default_factory=list)
    site: str = ""
    """Text that the name of a site's file must contain for the row to run on it."""
    size: float = 1.0
    work: float = 1.0
    back_s: float | None = None
    zones: list[str] = field(default_factory=list)
    limits: float = 1.0
    changes: float = 1.0
    classes: str = ""
    seeds: list[int] = field(default_factory=lambda: [0])
    """0: the seed that the day itself names."""


@dataclass
class Part:
    """The results of a job class or a team on one day, in jobs and tasks."""

    name: str
    jobs: int
    started: int
    done: int | None
    tasks: int = 0
    tasks_done: int | None = None
    called_off: int = 0
    """Jobs that their users cancelled, that were not done, and that had not waited for `BEGIN_S` before."""
    done_by_log: int = 0
    """Jobs done by the log lines.  The report also counts a job that was cancelled as its last task ended."""

    def share(self) -> float:
        """Return the share of jobs, without those called off, that were done (for teams: started), from 0 to 1."""
        if self.called_off:
            expected = self.jobs - self.called_off
            return self.done_by_log / expected if expected else 1.0
        return (self.started if self.done is None else self.done) / self.jobs


@dataclass
class DayResult:
    """The results of one day, from its report and log."""

    title: str
    day: str
    machines: int
    figure: float | None
    rules: list[str]
    ended: int
    played_s: float
    memory: str
    connections: str
    accepted: float
    parts: list[Part]
    fault: str | None = None

    def failed(self, floor: float) -> list[str]:
        """Return the reasons why the day fails; none if it passes.  `floor` is the least share of each part."""
        found = [f"{part.name} {part.share():.2f}" for part in self.parts if part.share() < floor]
        found += self.rules
        if self.ended:
            found.append(f"{self.ended} ended by themselves")
        return [*found, self.fault] if self.fault else found


def placeholders(site: dict[str, Any]) -> dict[str, str]:
    """Return the site's own name for each placeholder of days and classes."""
    order = ["prod", "high", "urgent", "normal", "standard", "low", "idle"]
    classes = sorted(site["jobs"], key=lambda job: order.index(job["priority"]))
    gpus = [kind["name"] for kind in site["machine_types"] if kind.get("gpus")]
    last = max(classes, key=lambda job: (order.index(job["priority"]), job.get("gpus", 0.0)))
    team = (last.get("teams") or [site["teams"][0]["name"]])[0]
    return {
        "@first": classes[0]["name"],
        "@last": last["name"],
        "@team": team,
        "@hull": gpus[0] if gpus else "",
        "@nodes": str(site["nodes"]["count"]),
        "@zone": site["nodes"]["zones"][0],
    }


def fill_placeholders(text: str, site: str) -> str:
    """Replace the placeholders in a text by the names of a site; `site` is the text of its file."""
    for word, name in placeholders(tomllib.loads(site)).items():
        text = text.replace(word, name)
    return text


def scaled_machines(text: str, size: float) -> str:
    """Scale the number of machines that the faults in a text hit; at least one machine remains."""

    def grown(found: re.Match[str]) -> str:
        return f"{found[1]}{max(round(int(found[2]) * size), 1)}"

    return re.sub(r'(kind = "machine_\w+", count = )(\d+)', grown, text)


def site_text(text: str, row: Row) -> str:
    """Return the text of a site changed as a row says, except for its zones of machines."""
    section, lines = "", []
    factors = {"capacity": row.size, "teams": row.size * row.limits, "jobs": row.size * row.work}
    for line in text.splitlines():
        found = SECTION.match(line)
        section = found[1] if found else section
        key, _, value = line.partition(" = ")
        if key in SCALED.get(section, ()):
            number = float(value) * factors[section]
            line = f"{key} = {number if section == 'teams' else round(number)}"
        elif section == "jobs" and key == "arrivals":
            line = re.sub(r"(rate = )([\d.]+)", lambda m: f"{m[1]}{float(m[2]) * factors['jobs']:.5f}", line)
        elif section == "nodes" and key == "restart_delay_s" and row.back_s is not None:
            line = f"{key} = {row.back_s}"
        elif section == "nodes" and key == "zones" and row.zones:
            line = f"zones = {json.dumps(row.zones)}"
        elif section == "state" and key == "write_rps":
            line = f"{key} = {float(value) * row.changes}"
        elif section == "day":
            line = scaled_machines(line, row.size)
        lines.append(line)
    return "\n".join([*lines, fill_placeholders(row.classes, text)]) + "\n"


def spread_zones(text: str, zones: list[str]) -> str:
    """Return the text of a site with its machines divided evenly among zones."""
    blocks = re.split(r"(?m)^(?=\[)", text)
    out = []
    for block in blocks:
        if not block.startswith("[[capacity]]"):
            out.append(block)
            continue
        for zone in zones:
            part = re.sub(r"(?m)^zone = .*$", f'zone = "{zone}"', block)
            out.append(re.sub(r"(?m)^(count|spot) = (\d+)", lambda m: f"{m[1]} = {int(m[2]) // len(zones)}", part))
    return "".join(out)


def write_site_copy(site: Path, row: Row, folder: Path) -> tuple[Path, str]:
    """Write a row's copy of a site; return the path of the copy, and the name or path of the day to run on it."""
    folder.mkdir(parents=True, exist_ok=True)
    text = site.read_text(encoding="utf-8")
    copy = folder / site.name
    made = site_text(text, row)
    copy.write_text(spread_zones(made, row.zones) if row.zones else made, encoding="utf-8")
    shutil.copy(site.parent / "wire.json", folder / "wire.json")
    if not row.day.endswith(".toml"):
        return copy, row.day
    day = scaled_machines((MATRIX.parent / row.day).read_text(encoding="utf-8"), row.size)
    path = folder / row.day
    path.write_text(fill_placeholders(day, text), encoding="utf-8")
    return copy, str(path)


def read_results(title: str, report: Path, log: Path | None, site: dict[str, Any] | None) -> DayResult:
    """Read a day's results from its report and from the log lines that were printed with it, if there are any."""
    data = json.loads(report.read_text(encoding="utf-8"))
    tasks: dict[str, tuple[int, str]] = {}
    done: set[str] = set()
    cancelled_s: dict[str, float] = {}
    accepted_s: dict[str, float] = {}
    begun_s: dict[str, float] = {}
    last_s = 0.0
    printed = log.read_text(encoding="utf-8", errors="replace") if log is not None and log.exists() else ""
    for line in printed.splitlines():
        if line[:1] == " " and " INFO job-" in line:
            last_s = float(line.split(None, 1)[0])
        if found := ACCEPTED.search(line):
            tasks[found[1]] = int(found[2]), found[3]
            accepted_s.setdefault(found[1], last_s)
        elif found := PLACED.search(line):
            begun_s.setdefault(found[1], last_s)
        elif found := DONE.search(line):
            done.add(found[1])
        elif found := CANCELLED.search(line):
            cancelled_s.setdefault(found[1], last_s)
    off = jobs_called_off(cancelled_s, done, accepted_s, begun_s)
    parts = []
    for name, row in data["classes"].items():
        if row["jobs"]:
            known = [tasks[job][0] for job in done if job in tasks and tasks[job][1] == name]
            # Some versions do not log that small jobs are done: then the tasks that were done are unknown.
            by_tasks = sum(known) if tasks and len(known) >= 0.8 * row["done"] else None
            of_class = sum(tasks[job][1] == name for job in off)
            parts.append(
                Part(name, row["jobs"], row["started"], row["done"], row["tasks"], by_tasks, of_class, len(known))
            )
            sizes = {job: n for job, (n, of) in tasks.items() if of == name and job not in off}
            parts += largest_jobs(name, sizes, accepted_s, begun_s, done, last_s)
    for name, row in data["teams"].items():
        if row["jobs"]:
            parts.append(Part(f"team {name}", row["jobs"], row["started"], None))
    nodes, users = data["node_stats"], data["users"]
    most = {key: max(node[key] for node in nodes) for key in ("memory_peak_mb", "connections_peak")}
    given = (site or {}).get("nodes", {})
    figure = re.search(rf"(?m)^{re.escape(data['scenario'])}\s+\d+\s+(\d\.\d+)", printed)
    played = RUN_TIMES.search(printed)
    return DayResult(
        title,
        f"{data['scenario']} {data['seed']}",
        data["machines"],
        float(figure[1]) if figure else None,
        [f"{kind} {number}" for kind, number in data["rules_broken"]["by_kind"].items()],
        sum(node["panics"] for node in nodes),
        sum(map(float, played.groups())) if played else data["wall_s"],
        f"{most['memory_peak_mb']:.0f}" + (f" of {given['memory_mb']:.0f}" if given else ""),
        f"{most['connections_peak']}" + (f" of {given['max_connections']}" if given else ""),
        users["accepted"] / max(users["submitted"], 1),
        parts,
    )


def jobs_called_off(
    cancelled_s: dict[str, float], done: set[str], accepted_s: dict[str, float], begun_s: dict[str, float]
) -> set[str]:
    """Return the jobs that need not be done: cancelled, not done, and not left waiting for `BEGIN_S` before."""
    return {
        job
        for job, at_s in cancelled_s.items()
        if job in accepted_s and job not in done and min(at_s, begun_s.get(job, at_s)) - accepted_s[job] < BEGIN_S
    }


def largest_jobs(
    name: str,
    tasks: dict[str, int],
    accepted_s: dict[str, float],
    begun_s: dict[str, float],
    done: set[str],
    last_s: float,
) -> list[Part]:
    """Return how many of a class's largest jobs began in time and were done, for the worse share of `LARGEST`."""
    begun, ended = [], []
    for part in LARGEST if tasks else ():
        sizes = sorted(tasks.values(), reverse=True)
        least = sizes[max(int(part * len(sizes)) - 1, 0)]
        jobs = [job for job, n in tasks.items() if n >= least]
        due = [job for job in jobs if job in begun_s or accepted_s[job] < last_s - BEGIN_S]
        if due:
            in_time = sum(begun_s.get(job, last_s) - accepted_s[job] < BEGIN_S for job in due if job in begun_s)
            begun.append(Part(f"largest {name}, begun", len(due), in_time, None))
        ended.append(Part(f"largest {name}", len(jobs), len(jobs), sum(job in done for job in jobs)))
    return [min(found, key=Part.share) for found in (begun, ended) if found]


def run_day(bench: Path, site: Path, row: Row, seed: int, folder: Path, title: str) -> DayResult:
    """Run one day, unless its report exists already; return its results.  Raises RuntimeError without a report."""
    copy, day = write_site_copy(site, row, folder)
    report, log = folder / f"report-{seed}.json", folder / f"log-{seed}.txt"
    if not report.exists():
        part = folder / f"part-{seed}.json"
        command = [str(bench), "run", str(copy), day, "--log", "info", "--report", str(part)]
        command += ["--seed", str(seed)] if seed else []
        command += ["--why", f"acceptance: {title}"[:119]]
        with log.open("w", encoding="utf-8") as out:
            code = subprocess.run(command, cwd=ROOT, stdout=out, stderr=subprocess.STDOUT).returncode
        if not part.exists():
            lines = log.read_text(encoding="utf-8", errors="replace").splitlines()
            raise RuntimeError(f"{title}: the bench wrote no report (exit code {code}): {lines[-1] if lines else ''}")
        part.rename(report)
    return read_results(title, report, log, tomllib.loads(copy.read_text(encoding="utf-8")))


def table(days: list[DayResult], floor: float, aim: float) -> str:
    """Format the days as a Markdown table; the class or team with the lowest share of each day is in bold."""
    lines = [
        "| day | machines | figure | to play | memory, MB | connections | accepted | done of those that came, by "
        "class; started, by team | verdict |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for day in days:
        least = min(day.parts, key=Part.share) if day.parts else None
        cells = []
        for part in day.parts:
            by_tasks = "" if part.tasks_done is None else f", tasks {part.tasks_done / max(part.tasks, 1):.2f}"
            count = part.started if part.done is None else part.done
            mark = " (under the aim)" if part.done is not None and part.share() < aim else ""
            off = f" ({part.called_off} called off)" if part.called_off else ""
            text = f"{part.name} {count} of {part.jobs}{off}: {part.share():.2f}{by_tasks}{mark}"
            cells.append(f"**{text}**" if part is least else text)
        failed = day.failed(floor)
        verdict = f"FAILS: {', '.join(failed)}" if failed else "passes"
        figure = "-" if day.figure is None else f"{day.figure:.2f}"
        lines.append(
            f"| {day.title} | {day.machines} | {figure} | {day.played_s:.0f} s | {day.memory} | "
            f"{day.connections} | {day.accepted:.3f} | {'; '.join(cells)} | {verdict} |"
        )
    return "\n".join(lines) + "\n"


def rows_of(matrix: Path, wanted: list[str], names: list[str]) -> list[Row]:
    """Return the matrix's rows that have one of the names, or without names those of the wanted sets."""
    data = tomllib.loads(matrix.read_text(encoding="utf-8"))
    rows = []
    for number, raw in enumerate(data.get("row", ())):
        unknown = raw.keys() - Row.__dataclass_fields__.keys()
        if unknown or "name" not in raw or "day" not in raw:
            raise ValueError(
                f"{matrix.name}, row {number + 1}: {', '.join(sorted(unknown)) or 'name or day'} "
                f"is {'unknown' if unknown else 'missing'}"
            )
        rows.append(Row(**raw))
    if names:
        return [row for row in rows if row.name in names]
    return [row for row in rows if set(row.sets) & set(wanted)]


def main() -> int:
    """Run the chosen rows and print the table; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", type=Path, help="the bench's program")
    parser.add_argument("--sites", type=Path, nargs="*", default=[], help="site files; `wire.json` lies beside them")
    parser.add_argument("--matrix", type=Path, default=MATRIX, help="the file with the rows")
    parser.add_argument("--set", nargs="*", default=["short"], help="sets of rows (default: short)")
    parser.add_argument("--row", nargs="*", default=[], help="rows by name instead of by set")
    parser.add_argument("--seeds", type=int, nargs="*", help="seeds instead of those of the rows")
    parser.add_argument("--jobs", type=int, default=6, help="days run at the same time (default: 6)")
    parser.add_argument("--dir", type=Path, default=ROOT / "target" / "accept", help="the folder of the results")
    parser.add_argument("--reports", type=Path, nargs="*", help="read these reports and run nothing")
    parser.add_argument("--floor", type=float, default=0.5, help="the least share of a class or team (0.5)")
    parser.add_argument("--aim", type=float, default=0.6, help="classes with a lower share are marked (0.6)")
    parser.add_argument("--table", type=Path, help="write the table there as well")
    parser.add_argument("--json", action="store_true", help="print a JSON list")
    args = parser.parse_args()
    try:
        if args.reports is not None:
            days = [read_results(path.stem, path, path.with_suffix(".log"), None) for path in args.reports]
        elif args.bench is None or not args.sites:
            parser.error("--bench and --sites are needed, or --reports")
        else:
            days = run_all(args)
    except (OSError, ValueError, KeyError, RuntimeError) as error:
        print(f"accept: {error}", file=sys.stderr)
        return 2
    if not days:
        print("accept: no day was run: no row matches these sets, names and sites", file=sys.stderr)
        return 2
    text = table(days, args.floor, args.aim)
    if args.table:
        args.table.write_text(text, encoding="utf-8")
    print(json.dumps([asdict(day) for day in days]) if args.json else text, end="")
    return 1 if any(day.failed(args.floor) for day in days) else 0


def run_all(args: argparse.Namespace) -> list[DayResult]:
    """Run all days that the arguments choose, several at the same time."""
    git = ["git", "-C", str(ROOT), "rev-parse", "--short", "HEAD:ashtray"]
    sources = subprocess.run(git, check=True, capture_output=True, text=True).stdout.strip()
    work = []
    for row in rows_of(args.matrix, args.set, args.row):
        for site in args.sites:
            if row.site in site.stem:
                work += [(site, row, seed) for seed in args.seeds or row.seeds]
    began = time.monotonic()
    ended = 0

    def run_item(item: tuple[Path, Row, int]) -> DayResult:
        nonlocal ended
        site, row, seed = item
        title = f"{site.stem.partition('-')[0]} {row.name}" + (f" ({seed})" if seed else "")
        folder = args.dir / sources / re.sub(r"\W+", "-", f"{site.stem} {row.name}")
        try:
            day = run_day(args.bench, site, row, seed, folder, title)
        except (RuntimeError, subprocess.SubprocessError) as error:
            day = DayResult(title, row.day, 0, None, [], 0, 0.0, "-", "-", 0.0, [], str(error))
        ended += 1
        verdict = ", ".join(day.failed(args.floor)) or "passes"
        progress = f"{ended} of {len(work)}, {time.monotonic() - began:.0f} s: {title}: {verdict}"
        print(progress, file=sys.stderr, flush=True)
        return day

    # Starting with the longest days would be faster, but their length is not known in advance.
    with ThreadPoolExecutor(args.jobs) as pool:
        return list(pool.map(run_item, work))


if __name__ == "__main__":
    sys.exit(main())
