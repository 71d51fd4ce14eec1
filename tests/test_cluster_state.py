"""The indexes of the cluster state: reused allocations, team usage, machine blame, and unplaced tasks.

The blame of a machine is a score of the jobs that failed on it.
"""

from __future__ import annotations

import msgspec
import pytest

from ashtray.jobs.model import FINAL_STATE_PREFIX, LIVE_JOB_PREFIX, JobRecord, JobSpec
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.group_index import GroupIndex
from ashtray.placement.machine_groups import Allocation, reuse_allocations
from ashtray.placement.machine_health import FAULTY_BLAME
from ashtray.placement.records import AllocationRecord, GroupRecord, MachineRecord
from ashtray.placement.state_keys import GROUP
from ashtray.placement.task_index import unplaced_tasks
from ashtray.placement.team_usage import TeamUsage

SPEC = JobSpec("pages", "crew", "array", 2, 10, 1.5, 0.5, 4.0, "img", 1.0)
"""A job of 10 tasks; each needs 1.5 CPUs, 0.5 GPUs and 4 GB of memory."""


def allocation_record(tasks: str = "0-2", job: str = "job-1", placed_by: str = "h0") -> AllocationRecord:
    return AllocationRecord(job, 1, tasks, "crew", 1.5, 0.5, 4.0, 5, by=placed_by)


def group(*holds: AllocationRecord, failed: tuple[str, ...] = ()) -> dict:
    machine = MachineRecord("vm:1", token=7, failed=list(failed), holds=list(holds))
    return msgspec.to_builtins(GroupRecord("small", "a", {"vm": machine}))


def test_known_allocations_are_reused_once_each():
    known = [Allocation(allocation_record()), Allocation(allocation_record("3"))]
    holds = reuse_allocations([allocation_record("3"), allocation_record(), allocation_record()], known)
    assert holds[0] is known[1] and holds[1] is known[0]
    assert holds[2] is not known[0] and holds[2].record == known[0].record


@pytest.mark.parametrize(("before", "after"), [(0, 2), (1, 2), (2, 1), (2, 3), (3, 0)])
def test_equal_allocations_count_as_often_as_they_are_recorded(before: int, after: int):
    changed: list[str] = []
    index = GroupIndex(changed.append)
    index.put_group(GROUP + "g", group(*[allocation_record()] * before), 1)
    changed.clear()
    index.put_group(GROUP + "g", group(*[allocation_record()] * after), 2)
    assert changed == ["job-1"] * abs(after - before)
    assert len(index.allocations.get("job-1", ())) == after
    assert index.usage.of("crew") == index.usage.of("crew", "h0") == (3 * 1.5 * after, 3 * 0.5 * after)


def test_adding_and_subtracting_the_same_amounts_leaves_a_teams_usage_at_zero():
    usage = TeamUsage()
    amounts = [0.1 * n for n in range(1, 40)]
    for sign in (1, -1):
        for n, cpus in enumerate(amounts):
            record = AllocationRecord("job-1", 1, "0", "crew", cpus, cpus / 3, 1.0, 5, by=f"h{n % 3}")
            usage.add(record, sign * (n + 1))
    assert [usage.of("crew", placed_by) for placed_by in (None, "h0", "h1", "h2")] == [(0.0, 0.0)] * 4
    assert usage.of("free") == (0.0, 0.0)


@pytest.mark.parametrize(
    ("jobs", "blame"),
    [
        ({"job-1": "done"}, 2),
        ({"job-1": "cancelled"}, 0),
        ({"job-1": "unknown"}, 0),
        ({"job-1": "works"}, 2),
        ({"job-1": "failed here only"}, 1),
        ({"job-1": "fails elsewhere"}, 0),
        ({"job-1": "works", "job-2": "failed here only"}, FAULTY_BLAME),
        ({f"job-{n}": "failed here only" for n in range(3)}, FAULTY_BLAME),
        ({f"job-{n}": "fails elsewhere" for n in range(9)}, 0),
    ],
)
def test_machine_blame_counts_failed_jobs_except_those_that_fail_elsewhere(jobs: dict[str, str], blame: int):
    records = {
        "works": JobRecord(SPEC, "h0", 5, finished="0"),
        "failed here only": JobRecord(SPEC, "h0", 5, errors=1, failed_on=["vm"]),
        "fails elsewhere": JobRecord(SPEC, "h0", 5, errors=2, failed_on=["vm", "vm-2"]),
    }
    cluster_state = ClusterState()
    cluster_state.put(GROUP + "g", group(failed=tuple(jobs)), 1)
    for job_id, case in jobs.items():
        if case in records:
            cluster_state.put(LIVE_JOB_PREFIX + job_id, msgspec.to_builtins(records[case]), 2)
        elif case != "unknown":
            cluster_state.put(FINAL_STATE_PREFIX + job_id, {"status": case, "done": 0, "at_us": 5}, 2)
    assert cluster_state.blame(cluster_state.machines["vm"]) == blame


@pytest.mark.parametrize(
    ("job_kind", "attempt", "portion", "placed", "finished", "unplaced"),
    [
        ("array", 0, 0, set(), set(), list(range(10))),
        ("array", 0, 0, {0, 4}, {1, 4}, [2, 3, 5, 6, 7, 8, 9]),
        ("array", 0, 0, {0, 1, 2, 3, 4}, {5, 6, 7, 8, 9}, []),
        ("gang", 0, 0, set(), set(), list(range(10))),
        ("gang", 1, 4, {0, 1, 2, 3}, set(), [4, 5, 6, 7, 8, 9]),
        ("gang", 1, 0, {0, 1, 2, 3}, set(), []),
        ("gang", 1, 0, set(), set(range(10)), []),
    ],
)
def test_the_tasks_to_place_are_those_neither_placed_nor_done(
    job_kind: str, attempt: int, portion: int, placed: set[int], finished: set[int], unplaced: list[int]
):
    """A gang of which some tasks are placed has tasks to place only if it is placed in portions."""
    spec = msgspec.structs.replace(SPEC, kind=job_kind)
    cluster_state = ClusterState()
    record = JobRecord(spec, "h0", 5, attempt, portion=portion)
    cluster_state.put(LIVE_JOB_PREFIX + "job-1", msgspec.to_builtins(record), 1)
    assert unplaced_tasks(cluster_state.jobs["job-1"], placed, finished) == unplaced
