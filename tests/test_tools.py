"""The tools that read logs and reports: a misread figure would mislead more than a missing one."""

import importlib.util
import json
import subprocess
import sys
from pathlib import Path

import pytest

TOOLS = Path(__file__).resolve().parent.parent / "tools"
ALL_SETS = ["short", "standard", "returns", "hard", "meetings", "meetings-large"]
SITE = """name = "a-fleet"
[nodes]
count = 5
zones = ["z"]
restart_delay_s = 6.0
memory_mb = 201.0
max_connections = 1538
[state]
write_rps = 30.0
[[machine_types]]
name = "foundry"
gpus = 8.0
[[capacity]]
type = "foundry"
zone = "z"
count = 154
spot = 110
[[teams]]
name = "reader-app"
gpus = 800.0
cpus_max = 35000.0
[[jobs]]
priority = "high"
name = "render"
arrivals = { rate = 1.1, swing = 0.5 }
initial = 108
[[jobs]]
priority = "low"
gpus = 1.0
name = "panel"
arrivals = { rate = 0.8 }
initial = 27
teams = ["reader-app"]
[[day]]
name = "zone"
faults = [
  { at_s = 150.0, kind = "machine_cut", count = 110, for_s = 43.0 },
  { at_s = 154.0, kind = "node_crash", count = 1 },
]
"""
LOG = """   10.0 berth-0 INFO job-1 accepted (gang of 3, render, studio)
   11.0 berth-0 INFO job-2 accepted (array of 30, panel, reader-app)
   12.0 berth-1 INFO job-3 accepted (array of 10, panel, reader-app)
  186.9 berth-0 INFO listening on 10.0.0.1:8080
  187.0 berth-0 INFO signed in as berth-0
  187.5 berth-0 INFO job-2 attempt 1: 1 on vm-1
  188.0 berth-1 INFO listening on 10.0.0.2:8080
  188.2 berth-1 INFO signed in as berth-1
  189.0 berth-1 INFO runs the fleet
  190.0 berth-1 INFO the fleet was taken over: term 0.00 s
  191.0 berth-1 INFO first decision of the fleet: 4 machines are wanted
  200.0 berth-0 INFO job-1 is done
  201.0 berth-1 INFO job-3 is done
loss               832   0.31  1/8  price: 6.3
  at 186.0 s: berth-0 crashes
  at 186.5 s: berth-1 crashes
to play it took 44 s for the world, 300.5 s in the processes' own code and 5.5 s in the kernel, in 9 turns
"""
REPORT = {
    "scenario": "loss",
    "seed": 105,
    "machines": 832,
    "wall_s": 400.0,
    "rules_broken": {"by_kind": {}},
    "classes": {
        "render": {"jobs": 1, "started": 1, "done": 1, "tasks": 3},
        "panel": {"jobs": 4, "started": 3, "done": 1, "tasks": 80},
    },
    "teams": {"studio": {"jobs": 1, "started": 1}, "reader-app": {"jobs": 4, "started": 3}},
    "node_stats": [
        {"memory_peak_mb": 44.0, "connections_peak": 300, "panics": 0},
        {"memory_peak_mb": 40.0, "connections_peak": 475, "panics": 0},
    ],
    "users": {"submitted": 5, "accepted": 4},
}


def load(name: str):
    spec = importlib.util.spec_from_file_location(f"tools_{name}", TOOLS / f"{name}.py")
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return module


def test_a_copy_of_a_site_is_scaled_by_the_factors_of_its_row() -> None:
    accept = load("accept")
    row = accept.Row("a", "loss", size=1.5, back_s=0.05, limits=2.0, changes=0.5, work=2.0)
    text = accept.site_text(SITE, row)
    for line in (
        "count = 231",
        "spot = 165",
        "gpus = 2400.0",
        "cpus_max = 105000.0",
        "initial = 324",
        "rate = 3.30000",
        "rate = 2.40000",
        "restart_delay_s = 0.05",
        "write_rps = 15.0",
        'kind = "machine_cut", count = 165',
        'kind = "node_crash", count = 1 ',
        "count = 5",
    ):
        assert line in text, line
    assert accept.site_text(SITE, accept.Row("a", "loss")) == accept.site_text(SITE, accept.Row("b", "busy"))


def test_days_of_this_repository_get_the_names_of_the_site(tmp_path: Path) -> None:
    accept = load("accept")
    (tmp_path / "wire.json").write_text("{}")
    site = tmp_path / "a-fleet.toml"
    site.write_text(SITE)
    for row in accept.rows_of(accept.MATRIX, ALL_SETS, []):
        _, day = accept.write_site_copy(site, row, tmp_path / "out")
        if row.day.endswith(".toml"):
            assert "@" not in Path(day).read_text(), row.name
    assert 'class = "panel"' in (tmp_path / "out" / "fourfold.toml").read_text()
    assert "count = 278" in (tmp_path / "out" / "dead.toml").read_text()
    # All rows of a day write the same file, so the last row remains: for days of meetings that of size 1.5.
    limits = (tmp_path / "out" / "limits-and-hangs.toml").read_text()
    assert 'kind = "machine_cut", count = 90' in limits and 'kind = "cancel_now", count = 40' in limits
    assert 'zone = "z", for_s = 6.0' in (tmp_path / "out" / "looks-in-handover.toml").read_text()


def test_a_class_under_half_fails_a_day_and_the_lowest_share_is_marked(tmp_path: Path) -> None:
    accept = load("accept")
    report, log = tmp_path / "report.json", tmp_path / "report.log"
    report.write_text(json.dumps(REPORT))
    log.write_text(LOG)
    day = accept.read_results("a day", report, log, {"nodes": {"memory_mb": 201.0, "max_connections": 1538}})
    assert (day.figure, day.played_s, day.memory, day.connections) == (0.31, 350.0, "44 of 201", "475 of 1538")
    panel = next(part for part in day.parts if part.name == "panel")
    assert (panel.share(), panel.tasks_done) == (0.25, 10)
    # The larger of the two panel jobs began after 176 s, and is not done.
    assert day.failed(0.5) == ["panel 0.25", "largest panel 0.00"]
    found = {part.name: (part.jobs, part.share()) for part in day.parts}
    assert found["largest panel, begun"] == (1, 1.0) and found["largest panel"] == (1, 0.0)
    assert found["largest render"] == (1, 1.0)
    # The render job was accepted 190 s before the end and has not been placed yet: it does not count as late.
    assert "largest render, begun" not in found
    text = accept.table([day], 0.5, 0.6)
    assert "**largest panel 0 of 1: 0.00" in text and "panel 1 of 4: 0.25" in text and "FAILS" in text
    report.write_text(json.dumps({**REPORT, "classes": {"render": REPORT["classes"]["render"]}}))
    assert not accept.read_results("a day", report, log, None).failed(0.25)
    broken = {**REPORT, "rules_broken": {"by_kind": {"ran_twice": 2}}}
    report.write_text(json.dumps(broken))
    assert "ran_twice 2" in accept.read_results("a day", report, log, None).failed(0.0)


CANCELLED_LOG = """   10.0 berth-0 INFO job-1 accepted (array of 30, panel, reader-app)
   10.1 berth-0 INFO job-2 accepted (array of 30, panel, reader-app)
   10.2 berth-0 INFO job-3 accepted (array of 30, panel, reader-app)
   10.3 berth-0 INFO job-4 accepted (array of 30, panel, reader-app)
   12.0 berth-0 INFO job-1 attempt 1: 1 on vm-1
   20.0 berth-0 INFO job-1 cancelled
   21.0 berth-0 INFO job-2 cancelled
   22.0 berth-0 INFO job-2 is done
  300.0 berth-0 INFO job-3 cancelled
  400.0 berth-1 INFO job-4 attempt 1: 30 on vm-1
"""


def test_a_cancelled_job_counts_only_if_it_was_done_or_waited_too_long(tmp_path: Path) -> None:
    accept = load("accept")
    report, log = tmp_path / "report.json", tmp_path / "report.log"
    panel = {"jobs": 4, "started": 2, "done": 1, "tasks": 120}
    report.write_text(json.dumps({**REPORT, "classes": {"panel": panel}}))
    log.write_text(CANCELLED_LOG)
    day = accept.read_results("a day", report, log, None)
    found = {part.name: part for part in day.parts}
    # Only the first of the four jobs does not count: the second was done, and the third waited for 290 s before it
    # was cancelled.  The fourth was not cancelled, and began after 390 s.
    assert found["panel"].called_off == 1 and found["panel"].share() == pytest.approx(1 / 3)
    assert (found["largest panel"].jobs, found["largest panel"].share()) == (3, pytest.approx(1 / 3))
    assert found["largest panel, begun"].share() == 0.0
    assert "panel 1 of 4 (1 called off): 0.33" in accept.table([day], 0.5, 0.6)
    # A report can count the first job as done, as its last task ended when it was cancelled: it counts once.
    report.write_text(json.dumps({**REPORT, "classes": {"panel": {**panel, "done": 2}}}))
    assert accept.read_results("a day", report, log, None).parts[0].share() == pytest.approx(1 / 3)
    report.write_text(json.dumps({**REPORT, "classes": {"panel": panel}}))
    # Without the log it is unknown which jobs were cancelled, so all count.
    assert accept.read_results("a day", report, None, None).parts[0].share() == 0.25


def test_takeover_reads_the_times_of_a_start_from_the_log() -> None:
    takeover = load("takeover")
    lines, falls = takeover.read_log(LOG)
    found, full = takeover.starts(lines, falls)
    assert [(one.host, one.together) for one in found] == [("berth-0", 2), ("berth-1", 2)]
    assert found[0].listens == pytest.approx(0.9) and found[0].placed == pytest.approx(1.5)
    assert found[1].signed_in == pytest.approx(1.7) and found[1].placed is None
    assert len(full) == 1 and full[0].taken_over == pytest.approx(4.0) and full[0].decided == pytest.approx(5.0)


def test_bound_on_the_share_of_two_classes() -> None:
    bounds = load("bounds")
    # Places suffice for half of each class if jobs have one size.  Otherwise the smallest jobs, which are done first,
    # need less than a proportional part of the places, and more jobs can be done.
    half = bounds.floor(10.0, 100.0, 250.0, 10.0, 100.0, 250.0, 50.0, 10.0, 10.0, 1.0, 1.0)
    assert half == pytest.approx(0.5)
    more = bounds.floor(10.0, 100.0, 250.0, 10.0, 100.0, 250.0, 50.0, 10.0, 10.0, 30.0, 90.0)
    assert half < more < 1.0
    assert bounds.floor(1.0, 1.0, 250.0, 1.0, 1.0, 250.0, 0.0, 10.0, 10.0, 1.0, 1.0) == pytest.approx(1.0)


@pytest.mark.parametrize("args", [["--machines", "0"], ["--seconds", "-1"], ["--load", "x"], ["--unknown"]])
def test_ledger_refuses_bad_arguments_in_one_line(args: list[str]) -> None:
    command = [sys.executable, str(TOOLS / "ledger.py"), *args]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 2
    assert done.stderr.strip().splitlines()[-1].startswith("ledger.py: error: ")


def test_ledger_counts_are_the_same_for_the_same_arguments() -> None:
    command = [
        sys.executable,
        str(TOOLS / "ledger.py"),
        "--machines",
        "20",
        "--controllers",
        "2",
        "--after",
        "20",
        "--seconds",
        "10",
        "--load",
        "5",
        "--json",
    ]
    first, second = (
        json.loads(subprocess.run(command, capture_output=True, text=True, check=True).stdout) for _ in range(2)
    )
    assert first["counts"] == second["counts"]
    assert first["counts"]["jobs"] > 0 and first["counts"]["inputs"] > 1 and first["duties"]["planning"] > 0
