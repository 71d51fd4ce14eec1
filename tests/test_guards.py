"""Guards of safety points that are mostly covered by another guard, each tested without the other."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from ashtray.jobs.model import FINAL_STATE_PREFIX, LIVE_JOB_PREFIX, JobRecord, JobSpec
from ashtray.jobs.states import JobStates
from ashtray.kernel import SECOND_US, Sleep
from ashtray.placement.batch import BatchItem
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.draft import Draft
from ashtray.placement.machine_groups import Allocation, reuse_allocations
from ashtray.placement.records import AllocationRecord, GroupRecord, MachineRecord
from ashtray.placement.state_keys import GROUP
from ashtray.store.limits import VALUE_SHARE, Limits
from ashtray.workers.messages import TaskState
from tests.model import Model, submission
from tests.test_pipelines import ask
from tests.test_safety import model_with_running_service


@pytest.mark.parametrize(("zone", "allowed"), [("a", True), ("b", False)])
def test_a_job_of_one_zone_is_not_placed_in_another_by_a_plan_that_is_out_of_date(zone: str, allowed: bool) -> None:
    """Safety point 9: the plan was made when the job had no task; now the cluster state has one in zone a."""
    cluster_state = ClusterState()
    spec = JobSpec("any", "free", "array", 2, 2, 1.0, 0.0, 1.0, "img", 1.0, same_zone=True)
    cluster_state.put(LIVE_JOB_PREFIX + "job-1", msgspec.to_builtins(JobRecord(spec, "berth-0", 0, attempt=1)), 3)
    allocation = AllocationRecord("job-1", 1, "0", "free", 1.0, 0.0, 1.0, 0)
    for where in ("a", "b"):
        holds = [allocation] if where == "a" else []
        machine = MachineRecord("vm:1", token=1, holds=holds)
        record = GroupRecord("small", where, {f"vm-{where}": machine})
        cluster_state.put(GROUP + where, msgspec.to_builtins(record), 4)
    machine_type = SimpleNamespace(cpus=4.0, gpus=0.0, memory_gb=16.0)
    candidate: Any = SimpleNamespace(machine=cluster_state.machines[f"vm-{zone}"], type=machine_type)
    grants: Any = SimpleNamespace(has_limit=lambda team: False)
    draft = Draft(cluster_state, grants, SimpleNamespace(freed={}), Limits(16, 60_000, 32_768))  # type: ignore[arg-type]
    assert draft.allows(cluster_state.jobs["job-1"], BatchItem("job-1", [1], [(candidate, 1)], 0)) == allowed


def test_a_record_over_its_share_of_the_limit_is_not_written() -> None:
    """Safety point 21: a record may take only a part of the value size limit."""
    limits = Limits(16, 60_000, 1000)
    assert limits.takes(int(1000 * VALUE_SHARE))
    assert not limits.takes(int(1000 * VALUE_SHARE) + 1)


def test_an_ended_task_is_not_cleared_while_its_allocation_is_in_the_record() -> None:
    """Safety point 2: a worker must go on reporting an ended task until its end is in the record."""
    model = model_with_running_service()
    name = next(n for machines in model.on.values() for n in machines)
    worker_manager = next(
        h.core.worker_manager
        for h in model.hosts
        if h.core.worker_manager.workers.get(name) and h.core.worker_manager.workers[name].token_confirmed
    )
    worker, machine = worker_manager.workers[name], worker_manager.base.cluster_state.machines[name]
    assert machine.holds and worker.report.tasks
    ended = {key: TaskState("ended", "done") for key in worker.report.tasks}
    worker.report, worker.in_sync = msgspec.structs.replace(worker.report, tasks=ended), None
    assert worker_manager._compute_orders(worker, machine) == [] and worker.clears == []


def resolve_nothing(states: JobStates) -> Any:
    """Replace the loop that reads final states by one that reads nothing."""
    yield Sleep(SECOND_US)


def restart_all(model: Model) -> None:
    for host in model.hosts:
        model.crash(host.number, 1)
    model.run(6)


def test_final_states_of_needed_jobs_are_read_though_no_user_asks(monkeypatch: pytest.MonkeyPatch) -> None:
    """Safety point 17: when a controller starts, the jobs that a live job needs may be over already."""
    model = Model(7)
    model.run(3)
    monkeypatch.setattr(model, "_poll", lambda job_id: None)
    model.submit(submission("job-0", pieces=1))
    while FINAL_STATE_PREFIX + "job-0" not in model.state.keys:
        model.run(1)
        assert model.now < 120 * SECOND_US
    # No machine of its type can be rented, so the job is accepted and its user told, but it is not placed.
    model.cloud.capacity = 0
    model.submit(submission("job-1", pieces=1, waits_on=["job-0"], hulls=["big"]))
    model.run(3)
    # The case is reached: nobody repeats the submission, and after the restart no controller knows the needed job.
    assert model.jobs["job-1"].accepted_us is not None and LIVE_JOB_PREFIX + "job-1" in model.state.keys
    model.cloud.capacity = 40
    restart_all(model)
    model.run(30)
    assert model.jobs["job-1"].finished == {0}


def test_an_answer_reads_the_unknown_final_states_of_needed_jobs_first(monkeypatch: pytest.MonkeyPatch) -> None:
    """Safety point 18: a user asks before the loop has read the final states of the needed jobs."""
    model = Model(7)
    model.run(3)
    model.submit(submission("job-0", shape="service", pieces=1))
    model.run(1)
    model.submit(submission("job-1", pieces=1, waits_on=["job-0"]))
    model.run(1)
    monkeypatch.setattr(JobStates, "resolve", resolve_nothing)
    # Otherwise a user's question about the cancelled job would read its final state.
    monkeypatch.setattr(model, "_poll", lambda job_id: None)
    model.cancel("job-0")
    while model.jobs["job-0"].cancelled_us is None:
        model.run(0.01)
    restart_all(model)
    # The case is reached: the record of the dependent job was not moved, and no controller has read that the job it
    # needs was cancelled.
    assert LIVE_JOB_PREFIX + "job-1" in model.state.keys
    status, body = ask(model, submission("job-1"), 1)
    assert (status, body["status"]) == (200, "cancelled")


def test_two_equal_allocations_of_a_machine_are_two_in_the_cluster_state() -> None:
    """An allocation object that was there before is reused for one record, not for each equal record."""
    record = AllocationRecord("job-1", 1, "0", "free", 1.0, 0.0, 1.0, 0)
    before = [Allocation(record)]
    allocations = reuse_allocations([record, record], before)
    assert allocations[0] is before[0]
    assert allocations[1] is not before[0] and allocations[1].record == record


def test_a_version_is_not_kept_of_a_record_that_is_gone() -> None:
    cluster_state, key = ClusterState(), LIVE_JOB_PREFIX + "job-1"
    spec = JobSpec("any", "free", "array", 2, 2, 1.0, 0.0, 1.0, "img", 1.0)
    cluster_state.put(key, msgspec.to_builtins(JobRecord(spec, "berth-0", 0)), 3)
    assert cluster_state.version(key) == 3
    cluster_state.remove(key, 4)
    assert cluster_state.version(key) == 0
