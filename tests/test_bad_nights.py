"""Failures met in operation: paused processes, silent workers, floods of requests, faulty jobs, late boots."""

import random

import msgspec
import pytest

from ashtray.config.operators import OperatorSettings
from ashtray.fleet.boot_times import BootTimes
from ashtray.fleet.machine_kind import MachineKind
from ashtray.jobs.model import FINAL_STATE_PREFIX, LIVE_JOB_PREFIX, JobRecord, JobSpec
from ashtray.kernel import Answer
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.machine_health import FAULTY_BLAME
from ashtray.placement.plan import Plan, back_off_us, queue
from ashtray.placement.records import AllocationRecord, GroupRecord, MachineRecord, MachineType
from ashtray.placement.state_keys import GROUP, SPLIT
from ashtray.store.limits import Limits
from tests.model import LEASE_S, Model, submission

SECOND = 1_000_000


def service_model(seed: int = 5) -> Model:
    model = Model(seed)
    model.checks()
    model.run(3)
    model.submit(submission("job-0", pieces=4, cpus=3.0, shape="service", crew="free"))
    model.run(25)
    assert len(model.on) == 4
    return model


def leader_of(model: Model):
    return next(host for host in model.hosts if host.core.fleet_manager.running)


@pytest.mark.parametrize("seconds", [9, 20, 40])
def test_a_paused_fleet_leader_deletes_no_healthy_machine(seconds):
    # Otherwise a leader that resumes after a pause takes healthy machines for silent and deletes them, as it once
    # did with nine at a time.
    model = service_model()
    before = set(model.workers)
    host = leader_of(model)
    host.halts_us = seconds * SECOND
    model.run(seconds + 15)
    assert set(model.workers) == before
    assert sum(h.core.fleet_manager.running for h in model.hosts) == 1
    assert host.core.presence.signed_in()


def test_workers_of_a_live_peer_that_gives_no_word_are_not_silent():
    model = service_model()
    before = set(model.workers)
    leader = leader_of(model).number
    for other in range(3):
        if other != leader:
            model.cut(f"c{leader}", f"c{other}", 90, False)
    model.run(75)
    assert set(model.workers) == before


def test_a_machine_that_falls_silent_is_deleted():
    model = service_model()
    name = next(iter(next(iter(model.on.values()))))
    model.hung.add(name)
    model.run(LEASE_S + 15)
    assert name not in model.workers


def test_running_the_fleet_ends_with_the_lease():
    model = service_model()
    host = leader_of(model)
    host.refused_until = model.now + 30 * SECOND
    model.run(12)
    assert not host.core.fleet_manager.running
    assert sum(h.core.fleet_manager.running for h in model.hosts) == 1


@pytest.mark.parametrize(
    "heartbeat",
    [
        {"state_age_us": -1},
        {"state_age_us": "x"},
        {"need": -1.0},
        {"need": float("nan")},
        {"need": float("inf")},
        {"heard": {"vm-1": -5}},
        {"heard": {"vm-1": 10**30}},
        {"heard": [1]},
        {"state_age_us": None},
    ],
)
def test_an_invalid_heartbeat_is_refused_without_effect(heartbeat):
    core = Model(1).hosts[0].core
    before = repr(core.peers.peers)
    core.peers.on_heartbeat(7, {"host": "berth-1", **heartbeat})
    answers = [out for out in core.kernel.out if isinstance(out, Answer)]
    assert [answer.status for answer in answers] == [400]
    assert repr(core.peers.peers) == before


@pytest.mark.parametrize("rate", [20, 200])
def test_requests_to_the_state_service_do_not_grow_with_the_questions(rate):
    model = service_model()
    model.submit(submission("job-1", pieces=1))
    model.run(30)
    assert model.jobs["job-1"].told == "done"
    # A restarted controller does not know which jobs ended before: it has to read each of them once.
    model.crash(0, 1)
    model.run(10)
    model.state_requests = 0
    model.run(10)
    baseline = model.state_requests
    model.state_requests = 0
    model.storm(10, rate, ("job-0", "job-1", "job-999999", "job-999998"))
    model.run(10)
    # Each controller reads each job that is not live at most once.
    assert model.state_requests <= baseline * 1.1 + 3 * 3


def test_a_forwarded_status_request_does_not_hang_on_one_silent_peer():
    model = service_model()
    core = model.hosts[0].core
    model.hosts[0].refused_until = model.now + 30 * SECOND
    model.run(1)
    first = core.peers.connected()[0]
    model.cut("c0", "c" + first.removeprefix("berth-"), 30, False)
    request, answers = next(model._requests), []
    model.waiting[request] = lambda status, body: answers.append((model.now, status))
    asked = model.now
    outputs = core.request(*model.clock(model.hosts[0]), request, "GET", "/submissions/job-0", None)
    model.carry_out(model.hosts[0], outputs)
    model.run(2)
    assert answers and answers[0][1] == 200 and answers[0][0] - asked < 2 * SECOND


def job(tasks: int = 4, kind: str = "array", **fields) -> dict:
    spec = JobSpec("any", "crew", kind, 2, tasks, 1.0, 0.0, 1.0, "img", 1.0)
    return msgspec.to_builtins(JobRecord(spec, "berth-0", 1, **fields))


def blame_on_one_machine(**jobs) -> int:
    """Return the blame of a machine on which all these jobs failed."""
    cluster_state = ClusterState()
    for name, value in jobs.items():
        key = name.replace("_", "-")
        cluster_state.put((FINAL_STATE_PREFIX if "status" in value else LIVE_JOB_PREFIX) + key, value, 1)
    failed = [name.replace("_", "-") for name in jobs]
    record = GroupRecord("small", "a", {"vm-1": MachineRecord("vm-1:1", failed=failed)})
    cluster_state.put(GROUP + "g", msgspec.to_builtins(record), 2)
    return cluster_state.blame(cluster_state.machines["vm-1"])


def test_jobs_with_a_mistake_condemn_no_machine_and_sick_machines_are_found_all_the_same():
    broken = job(errors=3, failed_on=["vm-1", "vm-2"])
    cancelled = {"status": "cancelled", "done": 0}
    assert blame_on_one_machine(job_1=broken, job_2=broken, job_3=broken, job_4=cancelled, job_5=cancelled) == 0
    # The jobs have failed on no other machine yet: two of them are not enough.
    fresh = job(errors=1, failed_on=["vm-1"])
    assert (
        blame_on_one_machine(job_1=fresh, job_2=fresh)
        < FAULTY_BLAME
        <= blame_on_one_machine(job_1=fresh, job_2=fresh, job_3=fresh)
    )
    # A job that works on other machines adds more blame.
    works = job(errors=1, failed_on=["vm-1"], finished="0")
    done = {"status": "done", "done": 4}
    assert blame_on_one_machine(job_1=works, job_2=broken, job_3=done) >= FAULTY_BLAME


def test_a_job_that_fails_everywhere_backs_off_tries_one_task_and_goes_last():
    cluster_state = ClusterState()
    cluster_state.types = {"small": MachineType("small", 8.0, 0.0, 16.0, 20.0, 1.0, 1.0, 0.4, 5, ("a",))}
    cluster_state.put(LIVE_JOB_PREFIX + "job-1", job(errors=4, failed_on=["vm-1", "vm-2"], error_us=0), 1)
    cluster_state.put(LIVE_JOB_PREFIX + "job-2", job(), 2)
    plan = Plan(cluster_state, {}, OperatorSettings(), random.Random(1), Limits(16, 60_000, 32_768))
    bad = cluster_state.jobs["job-1"]
    assert plan.wanted(bad, 10 * SECOND) == [] and back_off_us(bad) > 10 * SECOND
    assert plan.wanted(bad, 100 * SECOND) == [0]
    assert [j.id for j in queue(cluster_state, {})[0]] == ["job-2", "job-1"]


def test_no_machine_is_returned_for_faulty_jobs_and_they_can_be_cancelled():
    model = service_model(8)
    before = set(model.workers)
    for n in range(1, 5):
        model.mistaken.add(f"job-{n}")
        model.submit(submission(f"job-{n}", pieces=2, cpus=1.0, crew="free"))
    model.run(30)
    assert before <= set(model.workers)
    for n in range(1, 5):
        model.cancel(f"job-{n}")
    model.run(10)
    assert {model.jobs[f"job-{n}"].told for n in range(1, 5)} == {"cancelled"}


def test_machines_that_are_late_together_are_waited_for_and_one_that_was_overtaken_is_not():
    cluster_state = ClusterState()
    cluster_state.types = {"small": MachineType("small", 8.0, 0.0, 16.0, 20.0, 1.0, 1.0, 0.4, 20 * SECOND, ("a",))}
    kind = MachineKind("small", "a", False)
    boot_times = BootTimes(cluster_state, 2.5)
    late = 70 * SECOND
    assert boot_times.remaining_us(kind, 0, late) is None and not boot_times.should_give_up(kind, 0, late)
    # After a longer time it is given up all the same.
    assert boot_times.should_give_up(kind, 0, 4 * late)
    # A machine that was requested later has come up at the usual speed.
    boot_times.record(kind, 40 * SECOND, 60 * SECOND)
    assert boot_times.should_give_up(kind, 0, late)
    # Long boot times are learnt, and so are short ones after them.
    for n in range(20):
        boot_times.record(kind, n * SECOND, (n + 80) * SECOND)
    assert boot_times.expected_us(kind) > 60 * SECOND
    for n in range(40):
        boot_times.record(kind, n * SECOND, (n + 20) * SECOND)
    assert boot_times.expected_us(kind) < 25 * SECOND


def test_a_late_list_condemns_nothing_newer_than_what_it_shows():
    inventory = Model(1).hosts[0].core.fleet_manager.inventory
    inventory.listed, inventory._newest = {"vm-000001": "running", "vm-000003": "running"}, "vm-000003"
    assert inventory.unlisted("vm-000002")
    assert not inventory.unlisted("vm-000004")


def test_machines_that_come_up_late_are_used_and_not_rented_again():
    model = Model(9)
    model.boot_factor = 5.0
    model.run(3)
    model.submit(submission("job-0", pieces=2, cpus=3.0, crew="free"))
    model.run(60)
    assert model.jobs["job-0"].told == "done"
    # No machine was given up before it came up; overdue machines may be replaced, up to a bound.
    machines = list(model.cloud.machines.values())
    assert all(m.ended_us is None or m.ended_us >= m.since_us + m.boot_us for m in machines)
    assert len(machines) <= 6


def test_the_cancellation_of_a_small_job_depends_on_the_groups_that_could_end_it():
    model = service_model()
    core = model.hosts[0].core
    model.submit(submission("job-1", pieces=2, crew="free", expect_s=9.0))
    while "job-1" not in core.cluster_state.allocations:
        model.run(0.1)
    txn = core.jobs.cancellation_handler.transaction("job-1")
    groups = {core.cluster_state.machines[name].group for name, _ in core.cluster_state.allocations["job-1"]}
    assert groups and groups <= set(txn.guards)
    # The record of a group that is being split does not change while its machines are moved and changed elsewhere.
    locks = {SPLIT + key[len(GROUP) :] for key in groups}
    assert not locks & set(txn.guards)
    core.limits.value_bytes = 10
    assert locks <= set(core.jobs.cancellation_handler.transaction("job-1").guards)


def test_many_jobs_of_one_task_are_ranked_once():
    cluster_state = ClusterState()
    cluster_state.types = {"small": MachineType("small", 8.0, 0.0, 16.0, 20.0, 1.0, 1.0, 0.4, 5, ("a",))}
    machines = {f"vm-{n}": MachineRecord("x:1") for n in range(50)}
    cluster_state.put(GROUP + "g", msgspec.to_builtins(GroupRecord("small", "a", machines)), 1)
    rng = random.Random(2)
    for n in range(200):
        spec = JobSpec("swarm", "crew", "array", 3, 1, rng.uniform(0.26, 0.49), 0.0, 0.8, "img", 1.0)
        cluster_state.put(f"{LIVE_JOB_PREFIX}job-{n}", msgspec.to_builtins(JobRecord(spec, "berth-0", n)), n + 2)
    plan = Plan(cluster_state, {}, OperatorSettings(), random.Random(1), Limits(16, 60_000, 32_768))
    placed = [plan.place(job, 1, 0.0) for job in queue(cluster_state, {})[0]]
    assert all(placed)
    assert plan.visits <= 2 * 50
    # No machine is overcommitted, and few machines are used.
    assert all(capacity.cpus >= -1e-6 and capacity.memory_gb >= -1e-6 for capacity in plan.capacities)
    assert len({capacity.machine.name for choices in placed for capacity, _ in choices}) <= 20


def test_the_allocation_of_a_job_of_one_task_is_small_enough_for_its_group():
    record = AllocationRecord(
        "job-123456", 1, "0", "archive-guild", 0.25, 0.0, 0.9, 1_764_600_000_000_000, by="berth-0"
    )
    assert len(msgspec.json.encode(record)) < 110


def test_what_was_not_heard_while_this_process_stood_still_is_no_silence():
    core = leader_of(service_model()).core
    later = core.kernel.now_us + 60 * SECOND
    core.kernel.now_us = later
    for peer in core.peers.peers.values():
        peer.heartbeat_us = later
    assert min(core.fleet_manager.inventory.silences().values()) > 50 * SECOND
    core.kernel.not_stalled_since_us = later
    assert max(core.fleet_manager.inventory.silences().values()) == 0


def test_the_only_machine_of_a_type_that_never_comes_up_is_replaced() -> None:
    # Otherwise the machine takes the capacity that its own replacement needs, for four minutes (inc-3c9f).
    model = Model(11)
    model.cloud.capacity = 1
    boot = model._boot
    model.cloud.boot = lambda machine: 10**12 if machine.name == "vm-000000" else boot(machine)
    model.submit(submission("job-1", crew="free", urgency="urgent", shape="gang", pieces=1))
    model.run(50)
    # The boot time is 5 s.  The machine is overdue after 2.5 boot times and 5 s; its replacement boots after that.
    assert "vm-000000" in model.cloud.deleted and len(model.cloud.machines) == 2
    assert model.jobs["job-1"].told == "done"
