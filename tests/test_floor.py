"""A floor under every class: turns before what is too late anyway, and nothing else."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from ashtray.config.settings import Objective
from ashtray.jobs.model import LIVE, OVER, JobRecord, JobSpec
from ashtray.jobs.pace import Pace
from ashtray.kernel import SECOND_US
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.minimum_share import SHARE, MinimumShare
from ashtray.placement.plan import queue
from ashtray.placement.queue_order import StatedTimes
from ashtray.placement.records import AllocationRecord, GroupRecord, MachineRecord
from ashtray.placement.state_keys import GROUP

AIMS = [Objective("wait", "pages", 30.0, 0.65), Objective("wait", "pages", 150.0, 0.995)]
START_US = 10_000 * SECOND_US
RUN_S = 20


@dataclass
class Day:
    """A cluster state to which jobs come, and what one controller makes of it."""

    def __post_init__(self) -> None:
        self.cluster_state = ClusterState()
        pace = Pace(AIMS, 6.0)
        self.times = StatedTimes(AIMS, pace)
        self.floor = MinimumShare(self.cluster_state, pace)
        self.now_us = START_US
        self.version = 0
        self.order()

    def order(self) -> list[str]:
        found, _ = queue(self.cluster_state, {}, self.times, self.now_us, self.floor)
        return [job.id.removeprefix("job-") for job in found]

    def put(self, key: str, value: object) -> None:
        self.version += 1
        self.cluster_state.put(key, msgspec.to_builtins(value), self.version)

    def come(self, name: str, job_class: str = "panels", tasks: int = 2, **over: object) -> None:
        gang = job_class == "pages"
        spec = JobSpec(
            job_class,
            "studio" if gang else "reader",
            "gang" if gang else "array",
            1 if gang else 3,
            tasks,
            1.0,
            0.0,
            1.0,
            "img",
            0.0,
            estimate_us=RUN_S * SECOND_US,
        )
        record = JobRecord(spec, "berth-0", self.now_us)
        self.put(f"{LIVE}job-{name}", msgspec.structs.replace(record, **over))

    def place(self, name: str) -> None:
        job = self.cluster_state.jobs[f"job-{name}"]
        hold = AllocationRecord(job.id, 1, f"0-{job.spec.tasks - 1}", job.spec.team, 1.0, 0.0, 1.0, self.now_us)
        self.put(f"{GROUP}{name}", GroupRecord("m", "z", {f"vm-{name}": MachineRecord("x", holds=[hold])}))

    def end(self, name: str, status: str = "done") -> None:
        self.version += 1
        self.cluster_state.put(f"{OVER}job-{name}", {"status": status, "done": 0, "at_us": self.now_us}, self.version)
        self.cluster_state.remove(f"{LIVE}job-{name}", self.version)

    def wait(self, seconds: float) -> None:
        self.now_us += int(seconds * SECOND_US)


def pressed(panels: int, served: int, more: Sequence[tuple[str, str]] = ()) -> Day:
    """So many panels came and some were served; an old page is too late and a new one is not; `more` came as well."""
    day = Day()
    for n in range(4):
        day.come(f"served{n}", "pages")
        day.place(f"served{n}")
    day.come("old", "pages")
    for n in range(panels):
        day.come(f"p{n:02}", tasks=2 + n)
    for name, job_class in more:
        day.come(name, job_class)
    day.order()
    for n in range(served):
        day.place(f"p{n:02}")
    day.wait(160)
    day.come("new", "pages")
    return day


def test_a_class_under_the_floor_goes_before_what_is_too_late_and_behind_what_is_not() -> None:
    day = pressed(10, 3)
    # Six of ten are owed, three were served: three more, those that need the least room.
    assert day.order() == ["new", "p03", "p04", "p05", "old", "p06", "p07", "p08", "p09"]
    assert day.floor.shares == {("reader", "panels"): 0.3}


def test_it_is_neutral_where_nobody_is_under_the_floor() -> None:
    day = pressed(10, 6)
    assert day.order() == ["new", "old", "p06", "p07", "p08", "p09"]


def test_it_is_neutral_where_nothing_is_too_late() -> None:
    day = Day()
    day.come("p0")
    day.wait(200)
    day.come("new", "pages")
    assert day.order() == ["new", "p0"]


def test_a_class_of_one_job() -> None:
    day = pressed(1, 0)
    assert day.order() == ["new", "p00", "old"]


def test_what_has_just_come_is_not_owed_yet() -> None:
    day = pressed(0, 0)
    for n in range(50):
        day.come(f"p{n:02}")
    assert day.order()[:2] == ["new", "old"]


def test_cancelled_and_mistaken_jobs_are_owed_nothing() -> None:
    day = pressed(5, 3)
    day.come("bad", failed_on=["vm-1", "vm-2"], errors=4)
    day.wait(160)
    day.come("new2", "pages")
    day.order()
    assert ("reader", "panels") not in day.floor.shares
    day.end("p00", "cancelled")
    day.wait(2)
    # Two of four are left that were served: one more is owed.
    assert day.floor.due(day.now_us) == {("reader", "panels"): 1}


def test_what_lost_its_places_waits_anew() -> None:
    day = pressed(5, 3)
    assert not day.floor.due(day.now_us)
    day.version += 1
    day.cluster_state.remove(f"{GROUP}p00", day.version)
    day.wait(2)
    assert day.floor.due(day.now_us) == {("reader", "panels"): 1}


def test_done_counts_as_served() -> None:
    day = pressed(5, 3)
    day.order()
    for name in ("p00", "p01", "p02"):
        day.end(name)
    day.wait(2)
    assert not day.floor.due(day.now_us)


def test_after_a_start_the_rule_rests_until_there_is_evidence() -> None:
    # What was served before is not read at a start: nobody may be called unserved for that.
    day = pressed(10, 0)
    assert day.floor.due(day.now_us)
    keys = {
        f"{LIVE}{job.id}": (msgspec.to_builtins(job.record), job.version) for job in day.cluster_state.jobs.values()
    }
    day.cluster_state.clear()
    for key, (value, version) in keys.items():
        day.cluster_state.put(key, value, version)
    day.wait(2)
    assert day.order()[:2] == ["new", "old"]
    day.come("late")
    day.wait(170)
    assert day.floor.due(day.now_us) == {("reader", "panels"): 1}


def test_two_under_the_floor_take_turns_by_the_lower_share() -> None:
    day = pressed(10, 5, [(f"q{n}", "other") for n in range(4)])
    day.order()
    assert list(day.floor.due(day.now_us)) == [("reader", "other"), ("reader", "panels")]
    order = day.order()
    assert order.index("q0") < order.index("p05") < order.index("old")
    assert SHARE == 0.6


def test_a_class_with_stated_times_may_be_under_the_floor_too() -> None:
    day = pressed(10, 2, [(f"q{n}", "pages") for n in range(7)])
    order = day.order()
    # Four of twelve pages were served and two of ten panels: the panels come first, then the pages that are owed.
    assert list(day.floor.due(day.now_us)) == [("reader", "panels"), ("studio", "pages")]
    pages = [f"q{n}" for n in range(7)]
    assert order == ["new", "p02", "p03", "p04", "p05", "old", *pages, "p06", "p07", "p08", "p09"]


def test_what_the_floor_placed_is_not_stopped_for_what_is_too_late() -> None:
    day = pressed(10, 3)
    day.order()
    jobs = day.cluster_state.jobs
    assert day.floor.spared(jobs["job-old"]) == {("reader", "panels")}
    assert day.floor.spared(jobs["job-new"]) == frozenset()
