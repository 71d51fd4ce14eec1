"""Play the acceptance: sites of other sizes, processes that are back at once, days of our own; one table.

    python tools/accept.py --bench PATH/fleetbench --sites A.toml B.toml --set short [--jobs 6] [--table FILE]
    python tools/accept.py --reports REPORT [REPORT ...]

The matrix is `tools/days/acceptance.toml`: each row names a day (a standard one, or a file beside the matrix), the
sets that it belongs to, and what is changed in a copy of the site: `size` (machines, limits, work and the machines
that trouble hits, times a factor), `work` (the work alone), `back_s` (how soon an ended process is started again),
`zones`, `limits` (teams' limits times a factor), `changes` (of the state service, times a factor), `classes` (text
that is added to the site: teams and classes of jobs).  In days and classes `@first` stands for the site's most urgent
class, `@last` for its least urgent one, `@team` for the team of that, `@hull` for its machine type with GPUs,
`@nodes` for the number of its controllers, `@zone` for its first zone.

What was played is kept in `--dir` under a name that holds the sources, the row, the site and the seed: called again,
the tool goes on where it was interrupted.  Of each day the table has the rules broken, processes that ended by
themselves, time to play, the most memory and connections of a process against what the site gives, the share of
submissions accepted, and for each class and team the jobs that came, were started and done, for classes also the
tasks of jobs that were done.  A class or team under `--floor` by done jobs fails the day; one under `--aim` by jobs
is marked.  Of a team the report knows what was started only; it is done as its classes are.

Of the largest jobs of a class, by what its log lines say, half must be done, and half begin within four minutes: an
array with its first task's place, a gang with its first portion's, mostly all of it.  The users do not say which are
the largest: the top tenth and the top quarter are looked at, and the worse of both counts.  A job that came less than
four minutes before the day's last line, and has not begun, is not counted as one that began late.

A job that its user cancels cannot be done: the log's lines tell which were cancelled, and those are not owed.  One
that was done all the same is, and so is one that had waited for four minutes by then.  Without a log all are owed.

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
"""The largest jobs of a class are to begin within that."""
LARGEST = (0.1, 0.25)
"""What the largest of a class may be: these parts of its jobs, by tasks, with all that are as large."""
PLAYED = re.compile(r"to play it took ([\d.]+) s for the world, ([\d.]+) s in .* and ([\d.]+) s in the kernel")
SECTION = re.compile(r"\[+([\w.]+)\]+\s*$")
SCALED = {  # the numbers of a site that grow with its size
    "capacity": ("count", "spot"),
    "teams": ("gpus", "gpus_max", "cpus", "cpus_max"),
    "jobs": ("initial",),
}


@dataclass
class Row:
    """One line of the matrix."""

    name: str
    day: str
    sets: list[str] = field(default_factory=list)
    site: str = ""
    """A part of the names of the sites that it is played on."""
    size: float = 1.0
    work: float = 1.0
    back_s: float | None = None
    zones: list[str] = field(default_factory=list)
    limits: float = 1.0
    changes: float = 1.0
    classes: str = ""
    seeds: list[int] = field(default_factory=lambda: [0])
    """0: the day's own."""


@dataclass
class Part:
    """A class of jobs, or a team, on one day."""

    name: str
    jobs: int
    started: int
    done: int | None
    tasks: int = 0
    tasks_done: int | None = None
    called_off: int = 0
    """Of the jobs: those that their users cancelled, that were not done, and that had not waited too long before."""
    done_by_log: int = 0
    """By the log's lines alone.  A report counts a job as done that was cancelled as its last task ended."""

    def share(self) -> float:
        """The share, of the jobs that were not called off, that was done or, where ends are not counted, started."""
        if self.called_off:
            owed = self.jobs - self.called_off
            return self.done_by_log / owed if owed else 1.0
        return (self.started if self.done is None else self.done) / self.jobs


@dataclass
class Played:
    """What the report of one day says."""

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
        """Why the day fails, if it does."""
        found = [f"{part.name} {part.share():.2f}" for part in self.parts if part.share() < floor]
        found += self.rules
        if self.ended:
            found.append(f"{self.ended} ended by themselves")
        return [*found, self.fault] if self.fault else found


def words(site: dict[str, Any]) -> dict[str, str]:
    """What stands for the site's own names in days and classes."""
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


def replaced(text: str, site: str) -> str:
    """A text with the names of the site, whose file's text is given."""
    for word, name in words(tomllib.loads(site)).items():
        text = text.replace(word, name)
    return text


def scaled_machines(text: str, size: float) -> str:
    """The machines that trouble hits, in proportion."""

    def grown(found: re.Match[str]) -> str:
        return f"{found[1]}{max(round(int(found[2]) * size), 1)}"

    return re.sub(r'(kind = "machine_\w+", count = )(\d+)', grown, text)


def site_text(text: str, row: Row) -> str:
    """A copy of a site as a row wants it; what the row does not name stays as it is."""
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
    return "\n".join([*lines, replaced(row.classes, text)]) + "\n"


def spread_zones(text: str, zones: list[str]) -> str:
    """A site's machines divided among zones."""
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


def make(site: Path, row: Row, folder: Path) -> tuple[Path, str]:
    """Write a row's copy of a site; the copy and the day to play on it."""
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
    path.write_text(replaced(day, text), encoding="utf-8")
    return copy, str(path)


def read(title: str, report: Path, log: Path | None, site: dict[str, Any] | None) -> Played:
    """What a day's report, and the log lines that were printed with it, say."""
    data = json.loads(report.read_text(encoding="utf-8"))
    tasks: dict[str, tuple[int, str]] = {}
    done: set[str] = set()
    cancelled_s: dict[str, float] = {}
    came_s: dict[str, float] = {}
    begun_s: dict[str, float] = {}
    last_s = 0.0
    printed = log.read_text(encoding="utf-8", errors="replace") if log is not None and log.exists() else ""
    for line in printed.splitlines():
        if line[:1] == " " and " INFO job-" in line:
            last_s = float(line.split(None, 1)[0])
        if found := ACCEPTED.search(line):
            tasks[found[1]] = int(found[2]), found[3]
            came_s.setdefault(found[1], last_s)
        elif found := PLACED.search(line):
            begun_s.setdefault(found[1], last_s)
        elif found := DONE.search(line):
            done.add(found[1])
        elif found := CANCELLED.search(line):
            cancelled_s.setdefault(found[1], last_s)
    off = called_off(cancelled_s, done, came_s, begun_s)
    parts = []
    for name, row in data["classes"].items():
        if row["jobs"]:
            known = [tasks[job][0] for job in done if job in tasks and tasks[job][1] == name]
            # Of a version that does not say of small jobs that they are done nothing is known by tasks.
            by_tasks = sum(known) if tasks and len(known) >= 0.8 * row["done"] else None
            of_class = sum(tasks[job][1] == name for job in off)
            parts.append(
                Part(name, row["jobs"], row["started"], row["done"], row["tasks"], by_tasks, of_class, len(known))
            )
            sizes = {job: n for job, (n, of) in tasks.items() if of == name and job not in off}
            parts += largest(name, sizes, came_s, begun_s, done, last_s)
    for name, row in data["teams"].items():
        if row["jobs"]:
            parts.append(Part(f"team {name}", row["jobs"], row["started"], None))
    nodes, users = data["node_stats"], data["users"]
    most = {key: max(node[key] for node in nodes) for key in ("memory_peak_mb", "connections_peak")}
    given = (site or {}).get("nodes", {})
    figure = re.search(rf"(?m)^{re.escape(data['scenario'])}\s+\d+\s+(\d\.\d+)", printed)
    played = PLAYED.search(printed)
    return Played(
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


def called_off(
    cancelled_s: dict[str, float], done: set[str], came_s: dict[str, float], begun_s: dict[str, float]
) -> set[str]:
    """The jobs that nobody is owed: cancelled, not done, and not left waiting for as long as the largest may be."""
    return {
        job
        for job, at_s in cancelled_s.items()
        if job in came_s and job not in done and min(at_s, begun_s.get(job, at_s)) - came_s[job] < BEGIN_S
    }


def largest(
    name: str,
    tasks: dict[str, int],
    came_s: dict[str, float],
    begun_s: dict[str, float],
    done: set[str],
    last_s: float,
) -> list[Part]:
    """What became of a class's largest jobs: begun in time, and done, each for the worse of the two readings."""
    begun, ended = [], []
    for part in LARGEST if tasks else ():
        sizes = sorted(tasks.values(), reverse=True)
        least = sizes[max(int(part * len(sizes)) - 1, 0)]
        jobs = [job for job, n in tasks.items() if n >= least]
        due = [job for job in jobs if job in begun_s or came_s[job] < last_s - BEGIN_S]
        if due:
            in_time = sum(begun_s.get(job, last_s) - came_s[job] < BEGIN_S for job in due if job in begun_s)
            begun.append(Part(f"largest {name}, begun", len(due), in_time, None))
        ended.append(Part(f"largest {name}", len(jobs), len(jobs), sum(job in done for job in jobs)))
    return [min(found, key=Part.share) for found in (begun, ended) if found]


def play(bench: Path, site: Path, row: Row, seed: int, folder: Path, title: str) -> Played:
    """Play one day, unless its report is there already."""
    copy, day = make(site, row, folder)
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
    return read(title, report, log, tomllib.loads(copy.read_text(encoding="utf-8")))


def table(days: list[Played], floor: float, aim: float) -> str:
    """The days as a table for `docs/acceptance.md`; the least class or team of each in bold."""
    lines = [
        "| day | machines | figure | to play | memory, MB | connections | accepted | done of those that came, by "
        "class; started, by team | verdict |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for day in days:
        least = min(day.parts, key=Part.share) if day.parts else None
        said = []
        for part in day.parts:
            by_tasks = "" if part.tasks_done is None else f", tasks {part.tasks_done / max(part.tasks, 1):.2f}"
            count = part.started if part.done is None else part.done
            mark = " (under the aim)" if part.done is not None and part.share() < aim else ""
            off = f" ({part.called_off} called off)" if part.called_off else ""
            text = f"{part.name} {count} of {part.jobs}{off}: {part.share():.2f}{by_tasks}{mark}"
            said.append(f"**{text}**" if part is least else text)
        failed = day.failed(floor)
        verdict = f"FAILS: {', '.join(failed)}" if failed else "passes"
        figure = "-" if day.figure is None else f"{day.figure:.2f}"
        lines.append(
            f"| {day.title} | {day.machines} | {figure} | {day.played_s:.0f} s | {day.memory} | "
            f"{day.connections} | {day.accepted:.3f} | {'; '.join(said)} | {verdict} |"
        )
    return "\n".join(lines) + "\n"


def rows_of(matrix: Path, wanted: list[str], names: list[str]) -> list[Row]:
    """The matrix's rows of some sets, or by name."""
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
    """Play the chosen rows and print the report; the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", type=Path, help="the bench's program")
    parser.add_argument("--sites", type=Path, nargs="*", default=[], help="site files; `wire.json` lies beside them")
    parser.add_argument("--matrix", type=Path, default=MATRIX, help="the rows to play")
    parser.add_argument("--set", nargs="*", default=["short"], help="sets of rows (default: short)")
    parser.add_argument("--row", nargs="*", default=[], help="rows by name instead")
    parser.add_argument("--seeds", type=int, nargs="*", help="instead of those of the rows")
    parser.add_argument("--jobs", type=int, default=6, help="days played at one time (default: 6)")
    parser.add_argument("--dir", type=Path, default=ROOT / "target" / "accept", help="where runs are kept")
    parser.add_argument("--reports", type=Path, nargs="*", help="read these reports; play nothing")
    parser.add_argument("--floor", type=float, default=0.5, help="the least share of a class or team (0.5)")
    parser.add_argument("--aim", type=float, default=0.6, help="what is gone for (0.6)")
    parser.add_argument("--table", type=Path, help="write the table there as well")
    parser.add_argument("--json", action="store_true", help="one list for programs")
    args = parser.parse_args()
    try:
        if args.reports is not None:
            days = [read(path.stem, path, path.with_suffix(".log"), None) for path in args.reports]
        elif args.bench is None or not args.sites:
            parser.error("--bench and --sites are needed, or --reports")
        else:
            days = run_all(args)
    except (OSError, ValueError, KeyError, RuntimeError) as error:
        print(f"accept: {error}", file=sys.stderr)
        return 2
    if not days:
        print("accept: nothing was played: no row is of these sets and sites", file=sys.stderr)
        return 2
    text = table(days, args.floor, args.aim)
    if args.table:
        args.table.write_text(text, encoding="utf-8")
    print(json.dumps([asdict(day) for day in days]) if args.json else text, end="")
    return 1 if any(day.failed(args.floor) for day in days) else 0


def run_all(args: argparse.Namespace) -> list[Played]:
    """Play all days that the arguments choose, several at one time."""
    git = ["git", "-C", str(ROOT), "rev-parse", "--short", "HEAD:ashtray"]
    sources = subprocess.run(git, check=True, capture_output=True, text=True).stdout.strip()
    work = []
    for row in rows_of(args.matrix, args.set, args.row):
        for site in args.sites:
            if row.site in site.stem:
                work += [(site, row, seed) for seed in args.seeds or row.seeds]
    began = time.monotonic()
    ended = 0

    def one(item: tuple[Path, Row, int]) -> Played:
        nonlocal ended
        site, row, seed = item
        title = f"{site.stem.partition('-')[0]} {row.name}" + (f" ({seed})" if seed else "")
        folder = args.dir / sources / re.sub(r"\W+", "-", f"{site.stem} {row.name}")
        try:
            day = play(args.bench, site, row, seed, folder, title)
        except (RuntimeError, subprocess.SubprocessError) as error:
            day = Played(title, row.day, 0, None, [], 0, 0.0, "-", "-", 0.0, [], str(error))
        ended += 1
        verdict = ", ".join(day.failed(args.floor)) or "passes"
        said = f"{ended} of {len(work)}, {time.monotonic() - began:.0f} s: {title}: {verdict}"
        print(said, file=sys.stderr, flush=True)
        return day

    # The longest first would be better, but nobody knows them.
    with ThreadPoolExecutor(args.jobs) as pool:
        return list(pool.map(one, work))


if __name__ == "__main__":
    sys.exit(main())
