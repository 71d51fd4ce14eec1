"""Tests of the queue order under overload."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ashtray.config.settings import Objective
from ashtray.jobs.job_timing import JobTiming
from ashtray.jobs.model import LIVE_JOB_PREFIX, JobRecord, JobSpec
from ashtray.kernel import SECOND_US
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.plan import queue
from ashtray.placement.queue_order import (
    AGED_FACTOR,
    START_FIRST_SHARE,
    START_WITHIN_US,
    UNTIMED_AGED_FACTOR,
    StatedTimes,
)
from ashtray.placement.records import AllocationRecord, GroupRecord, MachineRecord
from ashtray.placement.state_keys import GROUP

OBJECTIVES = [
    Objective("wait", "pages", 30.0, 0.65),
    Objective("wait", "pages", 150.0, 0.995),
    Objective("finished", "pages", 200.0, 0.9),
    Objective("price"),
]
NOW_US = 10_000 * SECOND_US
TEAMS = ("studio", "reader")


def cluster_state_of(jobs: list[tuple[str, float, int, str]]) -> ClusterState:
    """Return a cluster state with gangs by class, age in seconds, priority and team; they run for about 20 s."""
    cluster_state = ClusterState()
    for n, (name, age_s, priority, team) in enumerate(jobs):
        spec = JobSpec(name, team, "gang", priority, 3, 1.0, 0.0, 1.0, "img", 0.0, estimate_us=20 * SECOND_US)
        record = JobRecord(spec, "berth-0", NOW_US - int(age_s * SECOND_US))
        cluster_state.put(f"{LIVE_JOB_PREFIX}job-{n}", msgspec.to_builtins(record), n + 1)
    return cluster_state


def order(jobs: list[tuple[str, float, int, str]], objectives: list[Objective] = OBJECTIVES) -> list[int]:
    times = StatedTimes(objectives, JobTiming(objectives, 6.0))
    found, _ = queue(cluster_state_of(jobs), {}, times, NOW_US)
    return [int(job.id.removeprefix("job-")) for job in found]


def test_jobs_that_can_still_meet_their_time_go_first():
    ages = [160.0, 140.0, 100.0, 40.0, 20.0, 5.0]
    assert order([("pages", age, 1, "studio") for age in ages]) == [4, 5, 1, 2, 3, 0]


def test_no_job_starves():
    ages = [200.0 * AGED_FACTOR + 1, 160.0, 20.0]
    assert order([("pages", age, 1, "studio") for age in ages]) == [0, 2, 1]


def test_teams_and_priorities_keep_their_positions():
    jobs = [
        ("pages", 50.0, 1, "studio"),
        ("other", 45.0, 1, "reader"),
        ("pages", 10.0, 1, "studio"),
        ("pages", 99.0, 0, "studio"),
        ("other", 9.0, 1, "reader"),
    ]
    assert order(jobs) == [3, 2, 1, 0, 4]


def test_a_time_that_a_job_could_never_meet_is_not_missed():
    # Otherwise a gang that runs longer than its class allows goes behind all jobs that come later (inc-5d39).
    cluster_state = cluster_state_of([("pages", 20.0, 1, "studio"), ("pages", 10.0, 1, "studio")])
    long = cluster_state.jobs["job-0"]
    long.spec.estimate_us = 300 * SECOND_US
    times = StatedTimes(OBJECTIVES, JobTiming(OBJECTIVES, 6.0))
    assert times.standing(long, cluster_state, NOW_US).missed == 0
    assert [job.id for job in queue(cluster_state, {}, times, NOW_US)[0]] == ["job-0", "job-1"]


def test_jobs_without_stated_times_keep_their_positions():
    jobs = [
        ("other", 300.0, 1, "studio"),
        ("pages", 90.0, 1, "studio"),
        ("other", 50.0, 1, "studio"),
        ("pages", 9.0, 1, "studio"),
        ("other", 3.0, 1, "studio"),
    ]
    assert order(jobs) == [0, 3, 2, 1, 4]


def panels(sizes: list[int], ages: list[float], runs_s: list[float] | None = None) -> ClusterState:
    """Return a cluster state with arrays of a class without stated times, of the given numbers of tasks."""
    cluster_state = ClusterState()
    for n, (tasks, age_s) in enumerate(zip(sizes, ages, strict=True)):
        run_us = int((runs_s[n] if runs_s else 20.0) * SECOND_US)
        spec = JobSpec("panels", "reader", "array", 3, tasks, 10.0, 1.0, 36.0, "img", 0.0, estimate_us=run_us)
        record = JobRecord(spec, "berth-0", NOW_US - int(age_s * SECOND_US))
        cluster_state.put(f"{LIVE_JOB_PREFIX}job-{n}", msgspec.to_builtins(record), n + 1)
    return cluster_state


def served(cluster_state: ClusterState) -> list[int]:
    found, _ = queue(cluster_state, {}, StatedTimes(OBJECTIVES, JobTiming(OBJECTIVES, 6.0)), NOW_US)
    return [int(job.id.removeprefix("job-")) for job in found]


def test_without_stated_times_the_least_remaining_work_goes_first():
    assert served(panels([90, 30, 3, 60], [40.0, 30.0, 2.0, 50.0])) == [2, 1, 3, 0]
    # Thirty tasks of 10 s are less work than ten of 60 s.
    assert served(panels([10, 30], [5.0, 5.0], [60.0, 10.0])) == [1, 0]


def test_started_jobs_are_completed_first():
    cluster_state = panels([40, 30], [5.0, 9.0])
    allocations = [AllocationRecord("job-0", 1, "0-14", "reader", 10.0, 1.0, 36.0, NOW_US)]
    group = GroupRecord("foundry", "z", {"vm-1": MachineRecord("x", holds=allocations)})
    cluster_state.put(f"{GROUP}1", msgspec.to_builtins(group), 9)
    assert served(cluster_state) == [0, 1]


def test_the_largest_array_does_not_wait_forever():
    # The array has waited 20 times as long as one of its tasks takes: the 20 s of its run and 6 s to start.
    cluster_state = panels([150, 3, 2], [UNTIMED_AGED_FACTOR * 26.0, 4.0, 9.0])
    allocations = [AllocationRecord("job-0", 1, "7", "reader", 10.0, 1.0, 36.0, NOW_US)]
    group = GroupRecord("foundry", "z", {"vm-1": MachineRecord("x", holds=allocations)})
    cluster_state.put(f"{GROUP}1", msgspec.to_builtins(group), 9)
    assert served(cluster_state) == [0, 2, 1]


def test_jobs_not_started_after_most_of_four_minutes_go_first_until_they_start():
    late_s = START_FIRST_SHARE * START_WITHIN_US / SECOND_US
    cluster_state = panels([150, 3, 120, 2], [late_s + 9, 4.0, late_s + 30, late_s - 1])
    assert served(cluster_state) == [2, 0, 3, 1]
    allocations = [AllocationRecord("job-2", 1, "7", "reader", 10.0, 1.0, 36.0, NOW_US)]
    group = GroupRecord("foundry", "z", {"vm-1": MachineRecord("x", holds=allocations)})
    cluster_state.put(f"{GROUP}1", msgspec.to_builtins(group), 9)
    assert served(cluster_state) == [0, 3, 1, 2]
    # A completed task counts as a start, too.
    done = GroupRecord("foundry", "z", {"vm-1": MachineRecord("x")}, {"job-2": "7"})
    cluster_state.put(f"{GROUP}1", msgspec.to_builtins(done), 10)
    assert served(cluster_state) == [0, 3, 1, 2]


def test_jobs_with_a_deadline_or_an_objective_keep_their_positions_by_age():
    jobs = [("pages", 3.0, 1, "studio"), ("other", 9.0, 1, "studio"), ("other", 5.0, 1, "studio")]
    cluster_state = cluster_state_of(jobs)
    cluster_state.jobs["job-1"].spec.tasks = 50
    cluster_state.jobs["job-1"].start_by_us = NOW_US + 30 * SECOND_US
    cluster_state.jobs["job-2"].spec.tasks = 2
    found, _ = queue(cluster_state, {}, StatedTimes(OBJECTIVES, JobTiming(OBJECTIVES, 6.0)), NOW_US)
    assert [job.id for job in found] == ["job-1", "job-2", "job-0"]


def test_an_array_with_only_a_completion_objective_keeps_its_position():
    # It has missed no time that counts for an array, and must not go before all jobs that have missed one.
    objectives = [*OBJECTIVES, Objective("finished", "models", 180.0, 0.95)]
    cluster_state = cluster_state_of(
        [("pages", 90.0, 1, "studio"), ("models", 50.0, 1, "studio"), ("pages", 40.0, 1, "studio")]
    )
    cluster_state.jobs["job-1"].spec.kind = "array"
    found, _ = queue(cluster_state, {}, StatedTimes(objectives, JobTiming(objectives, 6.0)), NOW_US)
    assert [job.id for job in found] == ["job-0", "job-1", "job-2"]


def test_a_stage_whose_pipeline_can_still_end_in_time_is_not_put_back():
    cluster_state = cluster_state_of(
        [("pages", 100.0, 1, "studio"), ("pages", 20.0, 1, "studio"), ("pages", 90.0, 1, "studio")]
    )
    cluster_state.jobs["job-0"].start_by_us = NOW_US + SECOND_US
    cluster_state.jobs["job-2"].start_by_us = NOW_US - SECOND_US
    times = StatedTimes(OBJECTIVES, JobTiming(OBJECTIVES, 6.0))
    assert [times.standing(cluster_state.jobs[f"job-{n}"], cluster_state, NOW_US).band for n in (0, 1, 2)] == [
        0,
        0,
        1,
    ]


JOB = st.tuples(st.sampled_from(["pages", "other"]), st.floats(0, 500), st.integers(0, 3), st.sampled_from(TEAMS))


@given(st.lists(JOB, max_size=12))
def test_the_order_is_one_of_turns_and_neutral_without_overload(jobs: list[tuple[str, float, int, str]]):
    by_age = order(jobs, [])
    found = order(jobs)
    assert sorted(found) == sorted(by_age)
    assert [jobs[n][2:] for n in found] == [jobs[n][2:] for n in by_age]
    if all(name == "other" or age < 28 for name, age, _, _ in jobs):
        assert found == by_age


@pytest.mark.parametrize(("age_s", "missed", "aged"), [(20.0, 0, False), (40.0, 1, False), (410.0, 3, True)])
def test_standing_of_a_job(age_s: float, missed: int, aged: bool):
    cluster_state = cluster_state_of([("pages", age_s, 1, "studio")])
    standing = StatedTimes(OBJECTIVES, JobTiming(OBJECTIVES, 6.0)).standing(
        cluster_state.jobs["job-0"], cluster_state, NOW_US
    )
    assert (standing.missed, standing.stated, standing.aged) == (missed, 3, aged)
