"""Days drawn for the bench: meetings overlap, all of them are drawn in combinations, and a seed gives the same day.

Covers `tools/meeting_days.py`, `tools/meetings/`, and which kinds of faults the days in `tools/days/` have.
"""

from __future__ import annotations

import subprocess
import sys
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tools.meetings.catalogue import FIRST, MEETINGS, Meeting
from tools.meetings.day import Day, draw_meetings, make_day
from tools.meetings.draw import Draw
from tools.meetings.faults import Fault, JobsChange, MachineDeaf, toml_value
from tools.meetings.site import Site, SiteError, any_site, read_site, site_of

TOOLS = Path(__file__).resolve().parent.parent / "tools"
SEEDS = range(400)
SITE = """name = "a-fleet"
wire = "wire.json"
duration_s = 400.0
warmup_s = 90.0
[nodes]
count = 5
zones = ["a", "b"]
restart_delay_s = 6.0
[workers]
lease_s = 16.0
cancel_s = 40.0
[[machine_types]]
name = "foundry"
gpus = 8.0
boot_s = 40.0
[[capacity]]
type = "foundry"
zone = "a"
count = 120
spot = 100
[[capacity]]
type = "foundry"
zone = "b"
count = 80
spot = 0
[[teams]]
name = "reader-app"
gpus = 800.0
[[jobs]]
priority = "high"
name = "render"
tasks = { sizes = [3, 6], weights = [2.0, 1.0] }
arrivals = { rate = 1.1, swing = 0.5 }
initial = 108
[[jobs]]
priority = "low"
gpus = 1.0
name = "panel"
tasks = { median = 30.0, p95 = 90.0, max = 150.0 }
arrivals = { rate = 0.8 }
initial = 27
teams = ["reader-app"]
"""
MACHINE_OPTIONS = ("count", "share", "zone")
REQUIRED = {  # the kinds of faults that the bench knows, with the options that each kind needs
    "node_crash": {"count", "busiest"},
    "node_freeze": {"count", "busiest", "for_s"},
    "node_roll": {"every_s"},
    "node_cut": {"count", "busiest", "mode", "for_s"},
    "state_outage": {"for_s"},
    "state_slow": {"factor", "for_s"},
    "late_writes": {"share", "for_s"},
    "late_reports": {"share", "for_s"},
    "late_commands": {"share", "for_s"},
    "machine_deaf": {"for_s"},
    "machine_mute": {"for_s"},
    "machine_cut": {"count", "for_s", "mode"},
    "machine_hang": {"count", "for_s"},
    "machine_die": {"count"},
    "spot_taken": {"share", "notice_s", "over_s"},
    "boot_trouble": {"fail", "factor", "for_s"},
    "job_burst": {"class", "factor", "for_s"},
    "cancel_now": {"count"},
    "cancel_at_end": {"share", "for_s"},
    "odd_requests": {"for_s"},
    "close_looks": {"for_s"},
}
OPTIONAL = {
    "node_cut": {"from_state", "from_peers", "from_workers"},
    "late_writes": {"at_once"},
    "late_reports": {"for_next"},
    "machine_deaf": set(MACHINE_OPTIONS),
    "machine_mute": set(MACHINE_OPTIONS),
    "cancel_now": {"hang_s"},
}
NEWER_KINDS: dict[
    str, Callable[[dict[str, Any]], bool]
] = {  # each newer kind of fault, by variant, with a check for the variant
    "late_writes": lambda fault: not fault.get("at_once"),
    "late_writes at once": lambda fault: fault["kind"] == "late_writes" and fault.get("at_once") is True,
    "late_reports": lambda fault: not fault.get("for_next"),
    "late_reports for the next": lambda fault: fault["kind"] == "late_reports" and fault.get("for_next") is True,
    "machine_deaf by count": lambda fault: "count" in fault,
    "machine_deaf by share": lambda fault: "share" in fault,
    "machine_deaf by zone": lambda fault: "zone" in fault,
    "machine_mute by count": lambda fault: "count" in fault,
    "machine_mute by share": lambda fault: "share" in fault,
    "machine_mute by zone": lambda fault: "zone" in fault,
    "node_cut from state and peers": lambda fault: fault.get("from_state", False) and fault.get("from_peers", False),
    "cancel_now": lambda fault: "hang_s" not in fault,
    "cancel_now with hangs": lambda fault: "hang_s" in fault,
    "cancel_at_end": lambda fault: True,
    "odd_requests": lambda fault: True,
    "close_looks": lambda fault: True,
    "late_commands": lambda fault: True,
}


@pytest.fixture
def site_file(tmp_path: Path) -> Path:
    folder = tmp_path / "site"
    folder.mkdir()
    (folder / "wire.json").write_text("{}")
    path = folder / "a-fleet.toml"
    path.write_text(SITE)
    return path


def site_of_this_file(size: float = 1.0) -> Site:
    return site_of(tomllib.loads(SITE), size)


def run(*args: str | Path) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, str(TOOLS / "meeting_days.py"), *map(str, args)]
    return subprocess.run(command, capture_output=True, text=True, check=False)


def newer_kinds_of(fault: dict[str, Any]) -> set[str]:
    """Return the newer kinds and variants, of `NEWER_KINDS`, that match a fault of a day's file."""
    return {name for name, holds in NEWER_KINDS.items() if name.split()[0] == fault["kind"] and holds(fault)}


def check_valid(day: dict[str, Any], site: Site) -> None:
    """Assert that each fault is known to the bench, has the options that it needs and no others, and fits the day."""
    times = [fault["at_s"] for fault in day["faults"]]
    assert times == sorted(times) and times[0] > site.warmup_s
    for fault in day["faults"]:
        options = fault.keys() - {"at_s", "kind"}
        assert REQUIRED[fault["kind"]] <= options <= REQUIRED[fault["kind"]] | OPTIONAL.get(fault["kind"], set()), (
            fault
        )
        assert fault["at_s"] + fault.get("for_s", 0.0) < day["duration_s"]
        assert all(0.0 <= fault[key] <= 1.0 for key in ("share", "fail") if key in fault)
        assert all(fault[key] >= 1 and isinstance(fault[key], int) for key in ("count",) if key in fault)
        if fault["kind"] in ("machine_deaf", "machine_mute"):
            assert len(options & set(MACHINE_OPTIONS)) == 1
        if fault["kind"].startswith("node_") and "count" in fault:
            assert fault["count"] <= site.nodes
        if "zone" in fault:
            assert fault["zone"] in site.zones
        if "class" in fault:
            assert fault["class"] in (site.urgent_class, site.idle_class)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(seed=st.integers(0, 2**31 - 1), size=st.sampled_from([1.0, 1.5]), known=st.booleans())
def test_meetings_of_a_day_overlap_and_the_day_is_valid(seed: int, size: float, known: bool) -> None:
    site = site_of_this_file(size) if known else any_site(size)
    day = make_day(seed, site)
    assert day.meetings[0] in FIRST and 2 <= len(set(day.meetings)) == len(day.meetings) <= 3
    for together in day.rounds:
        assert {scheduled.meeting.name for scheduled in together} == {meeting.name for meeting in day.meetings}
        for earlier, later in zip(together, together[1:], strict=False):
            # The later meeting begins inside the earlier one.
            assert earlier.begin_s() <= later.begin_s() < earlier.end_s()
    text = day.text()
    assert text == make_day(seed, site).text()
    data = tomllib.loads(text)
    assert (data["seed"], data["name"]) == (seed, f"meeting-{seed}")
    assert len(data["faults"]) == len(day.faults())
    check_valid(data, site)


def test_all_meetings_and_all_kinds_of_faults_are_drawn() -> None:
    site = site_of_this_file()
    days = [make_day(seed, site) for seed in SEEDS]
    assert {meeting.name for day in days for meeting in day.meetings} == {meeting.name for meeting in MEETINGS}
    faults = [fault for day in days for fault in tomllib.loads(day.text())["faults"]]
    assert set().union(*map(newer_kinds_of, faults)) == set(NEWER_KINDS)
    assert {fault["kind"] for fault in faults} == set(REQUIRED)
    # Each of the four first meetings is drawn with nearly all others, and both orders of a pair occur.
    pairs = {(day.meetings[0].name, other.name) for day in days for other in day.meetings[1:]}
    assert len(pairs) > 0.9 * len(FIRST) * (len(MEETINGS) - 1)
    starts = {together[0].meeting is day.meetings[0] for day in days for together in day.rounds}
    assert starts == {True, False}
    assert {len(day.rounds) for day in days} == {1, 2} and {len(day.meetings) for day in days} == {2, 3}


def steps_of(meeting: Meeting, seed: int, site: Site) -> list[Fault | JobsChange]:
    return list(meeting.make(Draw(seed), site, 100.0))


@pytest.mark.parametrize("meeting", MEETINGS, ids=lambda meeting: meeting.name)
def test_a_meeting_begins_soon_after_its_given_time(meeting: Meeting) -> None:
    for seed in range(30):
        for site in (site_of_this_file(), any_site(1.0)):
            faults = [step for step in steps_of(meeting, seed, site) if isinstance(step, Fault)]
            assert 100.0 <= min(fault.at_s for fault in faults) < 135.0
            assert all(fault.at_s < 100.0 + 130.0 for fault in faults)
    assert meeting.sentence.endswith(".") and "\n" not in meeting.sentence


def meeting_named(name: str) -> Meeting:
    return next(meeting for meeting in MEETINGS if meeting.name == name)


def faults_of(name: str, seed: int) -> list[Fault]:
    return [step for step in steps_of(meeting_named(name), seed, site_of_this_file()) if isinstance(step, Fault)]


@pytest.mark.parametrize("seed", range(30))
def test_ten_changes_of_leader_happen_within_two_minutes(seed: int) -> None:
    crashes = [fault for fault in faults_of("ten_changes", seed) if fault.KIND == "node_crash"]
    assert len(crashes) == 10 and crashes[-1].at_s - crashes[0].at_s <= 120.0
    assert all(fault.options() == {"count": 1, "busiest": True} for fault in crashes)


@pytest.mark.parametrize("name", ["outage_beyond_cancel", "cancelled_at_the_refusal"])
@pytest.mark.parametrize("seed", range(30))
def test_an_outage_beyond_cancel_s_follows_cancellations(name: str, seed: int) -> None:
    faults = faults_of(name, seed)
    outage = next(fault for fault in faults if fault.KIND == "state_outage")
    cancelled = [fault.at_s for fault in faults if fault.KIND == "cancel_now"]
    assert outage.end_s() - outage.at_s > site_of_this_file().cancel_s
    assert min(cancelled) < outage.end_s()
    if name == "cancelled_at_the_refusal":
        refusal = next(fault for fault in faults if fault.KIND == "node_cut")
        assert refusal.at_s <= cancelled[0] < outage.at_s < refusal.end_s()
        assert (refusal.options()["mode"], refusal.options()["from_state"]) == ("refuse", True)


@pytest.mark.parametrize("name", ["all_away", "zone_cut"])
@pytest.mark.parametrize("seed", range(30))
def test_faults_that_must_outlast_a_lease_do_so(name: str, seed: int) -> None:
    site = site_of_this_file()
    lasting = [fault for fault in faults_of(name, seed) if fault.end_s() > fault.at_s]
    assert lasting and all(fault.end_s() - fault.at_s > site.lease_s for fault in lasting)
    if name == "all_away":
        assert lasting[0].options()["count"] == site.nodes


def test_new_machines_boot_within_two_seconds() -> None:
    boots = next(fault for fault in faults_of("quick_boots", 1) if fault.KIND == "boot_trouble")
    factor = boots.options()["factor"]
    assert isinstance(factor, float) and factor * site_of_this_file().boot_s <= 2.0


def test_the_first_of_two_changes_of_a_class_is_kept() -> None:
    site = site_of_this_file()
    both = {"ends_far_apart", "one_task_jobs"}
    chosen: list[Day] = []
    for seed in range(5000):
        if both <= {meeting.name for meeting in draw_meetings(Draw(seed))}:
            chosen.append(make_day(seed, site))
    assert chosen
    for day in chosen:
        (change,) = tomllib.loads(day.text())["jobs"]
        assert change["name"] == "panel" and change["tasks"]["median"] in (1.0, 2.0)


@pytest.mark.parametrize("name", ["ends_far_apart", "one_task_jobs"])
@pytest.mark.parametrize("tasks", ["{ median = 30.0, p95 = 90.0, max = 150.0 }", "{ sizes = [8], weights = [1.0] }"])
def test_a_class_is_changed_in_the_form_of_its_site_file(name: str, tasks: str) -> None:
    data = tomllib.loads(SITE.replace("{ median = 30.0, p95 = 90.0, max = 150.0 }", tasks))
    (change,) = [
        step for step in steps_of(meeting_named(name), 1, site_of(data, 1.0)) if isinstance(step, JobsChange)
    ]
    # The bench merges the day's table into the site's, and refuses a mixture of both forms.
    assert dict(change.options)["tasks"].keys() == data["jobs"][1]["tasks"].keys()


def test_faults_hit_machines_in_proportion_to_the_size() -> None:
    once, larger = site_of_this_file(), site_of_this_file(1.5)
    assert (once.machines, larger.machines) == (200, 300)
    grown = 0
    for seed in range(60):
        of_one, of_more = make_day(seed, once), make_day(seed, larger)
        assert of_one.meetings == of_more.meetings
        for one, more in zip(of_one.faults(), of_more.faults(), strict=True):
            assert (one.at_s, one.KIND) == (more.at_s, more.KIND)
            count, counted = one.options().get("count"), more.options().get("count")
            if one.KIND.startswith("machine_") and isinstance(count, int) and isinstance(counted, int):
                assert counted == pytest.approx(1.5 * count, abs=1.0)
                grown += 1
            else:
                assert one == more
    assert grown > 10


def test_the_same_seed_writes_the_same_file_and_is_printed(tmp_path: Path, site_file: Path) -> None:
    first, second = tmp_path / "first.toml", tmp_path / "second.toml"
    for path in (first, second):
        done = run("--seed", "11", "--site", site_file, "--out", path)
        assert done.returncode == 0 and done.stdout == "", done.stderr
        assert done.stderr.startswith("seed 11: ")
    assert first.read_bytes() == second.read_bytes()
    assert run("--seed", "11", "--site", site_file).stdout == first.read_text()
    assert run("--seed", "12", "--site", site_file).stdout != first.read_text()


def test_a_drawn_seed_is_printed_and_reproduces_the_day() -> None:
    drawn = run()
    seed = drawn.stderr.partition(":")[0].removeprefix("seed ")
    assert drawn.returncode == 0 and run("--seed", seed).stdout == drawn.stdout


def test_a_changed_copy_of_the_site_is_written_beside_the_day(tmp_path: Path, site_file: Path) -> None:
    out = tmp_path / "day.toml"
    done = run("--seed", "3", "--site", site_file, "--out", out, "--size", "1.5", "--back-s", "0.3")
    assert done.returncode == 0, done.stderr
    copy = tmp_path / "day.a-fleet.toml"
    assert str(copy) in done.stderr and (tmp_path / "wire.json").exists()
    changed = tomllib.loads(copy.read_text())
    assert changed["nodes"]["restart_delay_s"] == 0.3
    assert [kind["count"] for kind in changed["capacity"]] == [180, 120]
    check_valid(tomllib.loads(out.read_text()), read_site(site_file, 1.5))
    assert site_file.read_text() == SITE


def test_the_list_names_every_meeting() -> None:
    done = run("--list")
    assert done.returncode == 0
    assert [line.partition(":")[0] for line in done.stdout.splitlines()] == [meeting.name for meeting in MEETINGS]


BROKEN_SITES = {
    "not TOML": "name = ",
    "no jobs": SITE.partition("[[jobs]]")[0],
    "no workers": SITE.replace("[workers]", "[others]"),
    "a priority that is unknown": SITE.replace('"low"', '"lowest"'),
    "a time that is text": SITE.replace("lease_s = 16.0", 'lease_s = "long"'),
    "no controllers": SITE.replace("count = 5", "count = 0"),
    "a lease without end": SITE.replace("lease_s = 16.0", "lease_s = inf"),
    "a table in place of a list": SITE.partition("[nodes]")[0] + "nodes = 5\n",
}


@pytest.mark.parametrize("fault", BROKEN_SITES)
def test_an_unusable_site_is_refused_in_one_line(fault: str, tmp_path: Path) -> None:
    path = tmp_path / "broken.toml"
    path.write_text(BROKEN_SITES[fault])
    with pytest.raises(SiteError, match=r"broken\.toml") as raised:
        read_site(path, 1.0)
    assert "\n" not in str(raised.value)


BAD_ARGUMENTS = [
    ["--seed", "x"],
    ["--seed", "-1"],
    ["--seed", "1.5"],
    ["--seed", str(2**31)],
    ["--size", "0"],
    ["--size", "nan"],
    ["--size", "huge"],
    ["--back-s", "-0.3"],
    ["--back-s", "inf"],
    ["--unknown"],
    ["--site", "missing.toml"],
    ["--site", "."],
    ["--site", "bytes.toml"],
    ["--site", "broken.toml"],
    ["--site", "site/a-fleet.toml", "--out", "site/a-fleet.toml"],
    ["--out", "."],
    ["--out", "missing/day.toml"],
]


@pytest.mark.parametrize("args", BAD_ARGUMENTS, ids=" ".join)
def test_bad_arguments_give_exit_code_2_and_one_line(args: list[str], tmp_path: Path, site_file: Path) -> None:
    (tmp_path / "bytes.toml").write_bytes(b"\xff\xfe")
    (tmp_path / "broken.toml").write_text("[nodes")
    command = [sys.executable, str(TOOLS / "meeting_days.py"), *args]
    done = subprocess.run(command, capture_output=True, text=True, check=False, cwd=tmp_path)
    assert done.returncode == 2 and done.stdout == ""
    assert len(done.stderr.splitlines()) == 1 and done.stderr.startswith("meeting_days: ")
    assert site_file.read_text() == SITE


def test_a_fault_of_machines_needs_exactly_one_choice() -> None:
    for options in ({}, {"count": 3, "share": 0.1}):
        with pytest.raises(ValueError, match="exactly one of them"):
            MachineDeaf(at_s=1.0, for_s=2.0, **options)
    with pytest.raises(TypeError, match="set"):
        toml_value({1})


def days_of_this_repository() -> dict[str, dict[str, Any]]:
    """Return the days in `tools/days/` by name, with the placeholder for the number of controllers replaced."""
    days = {}
    for path in sorted((TOOLS / "days").glob("*.toml")):
        data = tomllib.loads(path.read_text().replace("@nodes", "5"))
        if "faults" in data:
            days[path.stem] = data
    return days


def test_each_newer_kind_of_fault_is_on_three_days_with_different_combinations() -> None:
    days = days_of_this_repository()
    kinds = {name.split()[0] for name in NEWER_KINDS} | {
        "late_writes at once",
        "late_reports for the next",
        "cancel_now with hangs",
    }
    for kind in sorted(kinds):
        combinations = set()
        for day in days.values():
            found = set().union(*map(newer_kinds_of, day["faults"]))
            if any(name == kind or name.split()[0] == kind for name in found):
                combinations.add(frozenset(found))
        assert len(combinations) >= 3, kind


def test_days_of_meetings_are_in_the_matrix_at_both_sizes() -> None:
    matrix = tomllib.loads((TOOLS / "days" / "acceptance.toml").read_text())["row"]
    sizes: dict[str, set[float]] = {}
    for row in matrix:
        if row["sets"][0].startswith("meetings"):
            assert (TOOLS / "days" / row["day"]).exists() and row["back_s"] == 0.3
            sizes.setdefault(row["day"].removesuffix(".toml"), set()).add(row.get("size", 1.0))
    names = {"looks-in-handover", "lost-answers", "limits-and-hangs", "quick-boots", "late-commands", "ten-changes"}
    assert names | {"gap-again", "late-messages", "silent-machines"} == sizes.keys()
    assert all(found == {1.0, 1.5} for found in sizes.values())
