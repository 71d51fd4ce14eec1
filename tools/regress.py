"""Score the sites that a change may affect, and report the days that are worse than the best recorded scores.

    python tools/regress.py --bench PATH/fleetbench --sites A.toml B.toml --wide C.toml D.toml --why "..."

`--sites` are always scored, currently the two `-lean` and the two `-next` files.  `--wide`, the two `-fleet` files,
are scored as well if the change since `--base` (default: HEAD~1) touches storage, membership, timers or messages.
The best scores are in `docs/figures.toml`.  `--full` runs all standard days instead of the two hardest; `--keep`
writes better scores to the file; `--entries N` compares the last N entries of the journal and runs nothing.  A score
says nothing about single job classes: `--served REPORT...` adds the verdict of `tools/accept.py` on days that were
run one by one.

Exit codes: 0 no day got worse, 1 a day got worse by more than `--noise`, broke a rule or failed, 2 the command line
or a file cannot be used.
"""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TABLE = ROOT / "docs" / "figures.toml"
WIDE = (
    "store/",
    "peers/",
    "workers/",
    "teams/",
    "fleet/",
    "daemon/",
    "kernel.py",
    "controller.py",
    "placement/cluster_state",
    "placement/group_edit",
    "placement/machine_groups",
    "placement/records",
    "placement/compact_record",
    "placement/placer",
    "placement/batch",
    "placement/draft",
    "jobs/service",
    "jobs/model",
)
"""Paths under `ashtray/` whose changes affect storage, membership, timers or messages."""


def touches_wide(base: str) -> list[str]:
    """Return the files changed since `base`, committed or not, for which the wide sites are scored as well."""
    git = ["git", "-C", str(ROOT), "diff", "--name-only", base, "--", "ashtray"]
    names = subprocess.run(git, check=True, capture_output=True, text=True).stdout.split()
    return [name for name in names if name.removeprefix("ashtray/").startswith(WIDE)]


def load_table() -> dict[str, dict[str, dict[str, Any]]]:
    """Return the best scores by site and day, from `docs/figures.toml`."""
    return tomllib.loads(TABLE.read_text(encoding="utf-8")) if TABLE.exists() else {}


def save_table(table: dict[str, dict[str, dict[str, Any]]]) -> None:
    """Write the best scores to `docs/figures.toml`."""
    lines = [
        "# The best figure of each standard day (simulated machines), and the journal's entry that it is from.",
        "# Written by tools/regress.py --keep.",
    ]
    for site, days in sorted(table.items()):
        lines += ["", f"[{site}]"]
        for day, row in days.items():
            lines.append(f'{day} = {{ best = {row["best"]:.4f}, snapshot = "{row["snapshot"]}" }}')
    TABLE.write_text("\n".join(lines) + "\n", encoding="utf-8")


def entries() -> list[Path]:
    """Return the journal's entries, sorted by name."""
    return sorted((ROOT / "journal").glob("*.json"))


def compare(paths: list[Path], table: dict[str, dict[str, dict[str, Any]]], noise: float) -> int:
    """Print each day beside its best score and put better scores into the table; return how many days were bad."""
    bad = 0
    for path in paths:
        entry = json.loads(path.read_text(encoding="utf-8"))
        if entry.get("cmd") != "score":
            continue
        if not entry.get("ok"):
            print(f"{path.name}: did not end: {entry.get('error')}")
            bad += 1
        if not entry.get("site"):
            continue
        known = table.setdefault(entry["site"], {})
        for day in entry["days"]:
            name, score = day["name"], day["score"]
            row = known.get(name)
            worse = row is not None and score < row["best"] - noise
            fault = ", ".join(day.get("rules") or ()) or day.get("fault")
            bad += bool(fault or worse)
            mark = f"  FAILED: {fault}" if fault else "  FELL" if worse else ""
            best = "none" if row is None else f"{row['best']:.3f}"
            print(f"{entry['site']:34} {name:14} {score:.3f}  best {best}{mark}")
            if not name.startswith("fresh") and not fault and (row is None or score > row["best"]):
                known[name] = {"best": score, "snapshot": entry["id"]}
    return bad


def main() -> int:
    """Score the sites and compare them with the best scores; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", type=Path, help="the bench's program")
    parser.add_argument("--sites", nargs="*", default=[], help="site files that are always scored")
    parser.add_argument("--wide", nargs="*", default=[], help="site files for changes of storage, membership, timers")
    parser.add_argument("--base", default="HEAD~1", help="the commit with which the change is compared")
    parser.add_argument("--why", default="regression", help="the reason, one sentence for the journal")
    parser.add_argument("--jobs", type=int, help="days run at the same time")
    parser.add_argument("--noise", type=float, default=0.03, help="how much a score may vary (default: 0.03)")
    parser.add_argument("--full", action="store_true", help="run all standard days")
    parser.add_argument("--keep", action="store_true", help="write better scores to docs/figures.toml")
    parser.add_argument(
        "--entries", type=int, metavar="N", help="compare the journal's last N entries and run nothing"
    )
    parser.add_argument(
        "--served", nargs="*", default=[], help="reports of days: fail if under half of the jobs of a class are done"
    )
    args = parser.parse_args()
    if args.entries is None:
        if args.bench is None or not args.sites:
            parser.error("--bench and --sites are needed, or --entries")
        wide = touches_wide(args.base) if args.wide else []
        if wide:
            print(f"the wide sites are scored too, because of changes in {', '.join(wide)}")
        before = set(entries())
        command = [str(args.bench), "score", *args.sites, *(args.wide if wide else ()), "--why", args.why]
        command += [] if args.full else ["--quick"]
        command += ["--jobs", str(args.jobs)] if args.jobs else []
        code = subprocess.run(command, cwd=ROOT).returncode
        found = [path for path in entries() if path not in before]
        if not found:
            print(f"the bench wrote nothing into journal/ (exit code {code})", file=sys.stderr)
            return 2
    else:
        found = entries()[-args.entries :]
    table = load_table()
    bad = compare(found, table, args.noise)
    if args.keep:
        save_table(table)
    if args.served:
        served = [sys.executable, str(ROOT / "tools" / "accept.py"), "--reports", *args.served]
        bad += subprocess.run(served, cwd=ROOT).returncode != 0
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
