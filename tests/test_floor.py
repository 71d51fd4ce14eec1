"""Tests of the minimum share: classes below it go before jobs that are too late anyway, and nothing else changes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from ashtray.config.settings import Objective
from ashtray.jobs.job_timing import JobTiming
from ashtray.jobs.model import FINAL_STATE_PREFIX, LIVE_JOB_PREFIX, JobRecord, JobSpec
from ashtray.kernel import SECOND_US
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.minimum_share import SHARE, MinimumShare
from ashtray.placement.plan import queue
from ashtray.placement.queue_order import StatedTimes
from ashtray.placement.records import AllocationRecord, GroupRecord, MachineRecord
from ashtray.placement.state_keys import GROUP

OBJECTIVES = [Objective("wait", "pages", 30.0, 0.65), Objective("wait", "pages", 150.0, 0.995)]
START_US = 10_000 * SECOND_US
RUN_S = 20


@dataclass
class Day:
    """A cluster state to which jobs are added, and the queue order that one controller derives from it."""

    def __post_init__(self) -> None:
        self.cluster_state = ClusterState()
        job_timing = JobTiming(OBJECTIVES, 6.0)
        self.times = StatedTimes(OBJECTIVES, job_timing)
        self.minimum_share = MinimumShare(self.cluster_state, job_timing)
        self.now_us = START_US
        self.version = 0
        self.order()

    def order(self) -> list[str]:
        found, _ = queue(self.cluster_state, {}, self.times, self.now_us, self.minimum_share)
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
        self.put(f"{LIVE_JOB_PREFIX}job-{name}", msgspec.structs.replace(record, **over))

    def place(self, name: str) -> None:
        job = self.cluster_state.jobs[f"job-{name}"]
        allocation = AllocationRecord(job.id, 1, f"0-{job.spec.tasks - 1}", job.spec.team, 1.0, 0.0, 1.0, self.now_us)
        self.put(f"{GROUP}{name}", GroupRecord("m", "z", {f"vm-{name}": MachineRecord("x", holds=[allocation])}))

    def end(self, name: str, status: str = "done") -> None:
        self.version += 1
        self.cluster_state.put(
            f"{FINAL_STATE_PREFIX}job-{name}", {"status": status, "done": 0, "at_us": self.now_us}, self.version
        )
        self.cluster_state.remove(f"{LIVE_JOB_PREFIX}job-{name}", self.version)

    def wait(self, seconds: float) -> None:
        self.now_us += int(seconds * SECOND_US)


def overloaded_day(panels: int, served: int, more: Sequence[tuple[str, str]] = ()) -> Day:
    """Return a day on which `panels` jobs of the class panels came and `served` of them were served.

    An old page is too late and a new one is not.  `more` gives further jobs by name and class.
    """
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


def test_a_class_below_its_share_goes_before_jobs_that_are_too_late_and_behind_the_others() -> None:
    day = overloaded_day(10, 3)
    # The minimum share of ten is six, and three were served: three more go first, those with the least remaining
    # work.
    assert day.order() == ["new", "p03", "p04", "p05", "old", "p06", "p07", "p08", "p09"]
    assert day.minimum_share.shares == {("reader", "panels"): 0.3}


def test_the_order_stays_if_no_class_is_below_its_share() -> None:
    day = overloaded_day(10, 6)
    assert day.order() == ["new", "old", "p06", "p07", "p08", "p09"]


def test_the_order_stays_if_no_job_is_too_late() -> None:
    day = Day()
    day.come("p0")
    day.wait(200)
    day.come("new", "pages")
    assert day.order() == ["new", "p0"]


def test_a_class_of_one_job() -> None:
    day = overloaded_day(1, 0)
    assert day.order() == ["new", "p00", "old"]


def test_jobs_that_have_just_come_are_not_due_yet() -> None:
    day = overloaded_day(0, 0)
    for n in range(50):
        day.come(f"p{n:02}")
    assert day.order()[:2] == ["new", "old"]


def test_cancelled_and_failing_jobs_do_not_count() -> None:
    day = overloaded_day(5, 3)
    day.come("bad", failed_on=["vm-1", "vm-2"], errors=4)
    day.wait(160)
    day.come("new2", "pages")
    day.order()
    assert ("reader", "panels") not in day.minimum_share.shares
    day.end("p00", "cancelled")
    day.wait(2)
    # Two of the remaining four were served: one more is due.
    assert day.minimum_share.due(day.now_us) == {("reader", "panels"): 1}


def test_a_job_that_lost_its_machines_waits_again() -> None:
    day = overloaded_day(5, 3)
    assert not day.minimum_share.due(day.now_us)
    day.version += 1
    day.cluster_state.remove(f"{GROUP}p00", day.version)
    day.wait(2)
    assert day.minimum_share.due(day.now_us) == {("reader", "panels"): 1}


def test_completed_jobs_count_as_served() -> None:
    day = overloaded_day(5, 3)
    day.order()
    for name in ("p00", "p01", "p02"):
        day.end(name)
    day.wait(2)
    assert not day.minimum_share.due(day.now_us)


def test_after_a_start_the_rule_has_no_effect_until_enough_jobs_have_come() -> None:
    # Final states of jobs served earlier are not read at a start: their classes must not count as unserved.
    day = overloaded_day(10, 0)
    assert day.minimum_share.due(day.now_us)
    keys = {
        f"{LIVE_JOB_PREFIX}{job.id}": (msgspec.to_builtins(job.record), job.version)
        for job in day.cluster_state.jobs.values()
    }
    day.cluster_state.clear()
    for key, (value, version) in keys.items():
        day.cluster_state.put(key, value, version)
    day.wait(2)
    assert day.order()[:2] == ["new", "old"]
    day.come("late")
    day.wait(170)
    assert day.minimum_share.due(day.now_us) == {("reader", "panels"): 1}


def test_of_two_classes_below_their_share_the_least_served_goes_first() -> None:
    day = overloaded_day(10, 5, [(f"q{n}", "other") for n in range(4)])
    day.order()
    assert list(day.minimum_share.due(day.now_us)) == [("reader", "other"), ("reader", "panels")]
    order = day.order()
    assert order.index("q0") < order.index("p05") < order.index("old")
    assert SHARE == 0.6


def test_a_class_with_stated_times_may_be_below_its_share_too() -> None:
    day = overloaded_day(10, 2, [(f"q{n}", "pages") for n in range(7)])
    order = day.order()
    # Four of twelve pages were served and two of ten panels: the panels come first, then the pages that are due.
    assert list(day.minimum_share.due(day.now_us)) == [("reader", "panels"), ("studio", "pages")]
    pages = [f"q{n}" for n in range(7)]
    assert order == ["new", "p02", "p03", "p04", "p05", "old", *pages, "p06", "p07", "p08", "p09"]


def test_tasks_of_a_class_below_its_share_are_not_stopped_for_jobs_that_are_too_late() -> None:
    day = overloaded_day(10, 3)
    day.order()
    jobs = day.cluster_state.jobs
    assert day.minimum_share.spared(jobs["job-old"]) == {("reader", "panels")}
    assert day.minimum_share.spared(jobs["job-new"]) == frozenset()
