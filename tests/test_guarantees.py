"""Guarantees as amounts, and controllers that preempt work for them at the same time."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ashtray.config.operators import OperatorSettings
from ashtray.config.settings import Team
from ashtray.jobs.model import LIVE_JOB_PREFIX, JobRecord, JobSpec
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.plan import Plan, queue
from ashtray.placement.preemption import PreemptionRules, choose_victims, stop_for
from ashtray.placement.records import AMOUNT_TOLERANCE, AllocationRecord, GroupRecord, MachineRecord, MachineType
from ashtray.placement.state_keys import CLAIM, GROUP, TYPES
from ashtray.runs import decode_runs, encode_runs
from ashtray.store.limits import Limits
from ashtray.store.transaction import Txn
from ashtray.teams.guarantees import Excess
from tests.fakes.state import State
from tests.model import SECOND, Model, submission

TEAMS = {team.name: team for team in (Team("a", cpus=10.0), Team("b", cpus=4.0), Team("c"))}
ZONES = ("y", "z")
LIMITS = Limits(16, 50_000, 32 * 1024)


def job_record(
    team: str, tasks: int, cpus: float = 1.0, priority: int = 2, at_us: int = 0, zone: str | None = None
) -> Any:
    spec = JobSpec("any", team, "array", priority, tasks, cpus, 0.0, 0.0, "img", 0.0, zone=zone)
    return msgspec.to_builtins(JobRecord(spec, "berth-0", at_us))


def machine_type(cpus: float) -> Any:
    kind = MachineType("m", cpus, 0.0, 100.0, 10.0, 1.0, 1.0, 0.3, 1, ZONES)
    return {"m": msgspec.to_builtins(kind)}


class World:
    """The state service with some machines full of work, from which cluster states are read."""

    def __init__(self, holds: dict[str, list[AllocationRecord]], cpus: float) -> None:
        self.state = State()
        self.put({TYPES: machine_type(cpus)})
        for n, (name, record) in enumerate(holds.items()):
            machines = {name: MachineRecord("x", holds=record)}
            self.put({f"{GROUP}{name}": msgspec.to_builtins(GroupRecord("m", ZONES[n % 2], machines))})

    def put(self, values: dict[str, Any]) -> None:
        txn = Txn()
        for key, value in values.items():
            txn.put(key, value)
        assert self.apply(txn)

    def apply(self, txn: Txn) -> bool:
        return self.state.handle(0, "POST", "/txn", txn.body())[0] == 200

    def cluster_state(self) -> ClusterState:
        cluster_state = ClusterState()
        for key, (value, version, _) in self.state.keys.items():
            cluster_state.put(key, value, version)
        return cluster_state

    def stopping(self, cluster_state: ClusterState, job_id: str, count: int, by: str = "berth-0") -> Txn | None:
        """Return what a controller would commit on its cluster state to free resources for `count` tasks of a job."""
        _, inside = queue(cluster_state, TEAMS)
        plan = Plan(cluster_state, TEAMS, OperatorSettings(), random.Random(1), LIMITS)
        job = cluster_state.jobs[job_id]
        victims = choose_victims(
            plan, job, count, PreemptionRules(cluster_state, inside, job, plan.excess()), 10**9, None
        )
        return stop_for(cluster_state, TEAMS, inside, job, victims, LIMITS, by, 10**9) if victims else None


def stopped(cluster_state: ClusterState, team: str) -> float:
    return sum(
        len(hold.tasks) * hold.record.cpus
        for holds in cluster_state.allocations.values()
        for hold in holds.values()
        if hold.record.stop_us >= 0 and hold.record.team == team
    )


def hold(job: str, tasks: set[int], team: str, cpus: float = 1.0) -> AllocationRecord:
    return AllocationRecord(job, 1, encode_runs(tasks), team, cpus, 0.0, 0.0, 0)


def team_beyond_guarantee(machines: int = 1) -> World:
    """Team b has a guarantee of 4 CPUs and an array of 8 tasks of which 5 run; team a has a guarantee of 10."""
    each = -(-5 // machines)
    holds = {f"vm-{n}": [hold("job-1", set(range(n * each, min((n + 1) * each, 5))), "b")] for n in range(machines)}
    world = World(holds, float(each))
    world.put({LIVE_JOB_PREFIX + "job-1": job_record("b", 8)})
    return world


def test_a_team_is_not_taken_below_its_guarantee() -> None:
    world = team_beyond_guarantee()
    world.put({LIVE_JOB_PREFIX + "job-2": job_record("a", 5)})
    cluster_state = world.cluster_state()
    assert world.stopping(cluster_state, "job-2", 5) is None
    txn = world.stopping(cluster_state, "job-2", 1)
    assert txn is not None and world.apply(txn)
    assert stopped(world.cluster_state(), "b") == 1.0
    # Team b runs nothing beyond its guarantee now, though the stopped task still has its allocation.
    assert world.stopping(world.cluster_state(), "job-2", 1) is None


def test_two_controllers_that_decide_at_once_do_not_stop_the_same_excess() -> None:
    world = team_beyond_guarantee(machines=5)
    # The victims are on different machines, so nothing but the claim conflicts.
    world.put(
        {
            LIVE_JOB_PREFIX + "job-2": job_record("a", 1, zone="y"),
            LIVE_JOB_PREFIX + "job-3": job_record("a", 1, zone="z"),
        }
    )
    cluster_states = world.cluster_state(), world.cluster_state()
    first = world.stopping(cluster_states[0], "job-2", 1, "berth-0")
    second = world.stopping(cluster_states[1], "job-3", 1, "berth-1")
    assert first is not None and second is not None
    assert CLAIM + "b" in first.puts
    assert [world.apply(first), world.apply(second)] == [True, False]
    assert stopped(world.cluster_state(), "b") == 1.0


def test_a_task_that_ended_after_the_plan_lowers_the_excess_at_the_commit() -> None:
    world = team_beyond_guarantee()
    world.put({LIVE_JOB_PREFIX + "job-2": job_record("a", 1)})
    cluster_state = world.cluster_state()
    _, inside = queue(cluster_state, TEAMS)
    plan = Plan(cluster_state, TEAMS, OperatorSettings(), random.Random(1), LIMITS)
    job = cluster_state.jobs["job-2"]
    victims = choose_victims(plan, job, 1, PreemptionRules(cluster_state, inside, job, plan.excess()), 10**9, None)
    assert victims
    machine = MachineRecord("x", holds=[hold("job-1", {0, 1, 2, 3}, "b")])
    world.put({f"{GROUP}vm-0": msgspec.to_builtins(GroupRecord("m", "y", {"vm-0": machine}))})
    later = world.cluster_state()
    assert stop_for(later, TEAMS, inside, later.jobs["job-2"], victims, LIMITS, "berth-0", 10**9) is None


def test_stopping_a_lower_priority_needs_no_claim() -> None:
    world = team_beyond_guarantee()
    world.put({LIVE_JOB_PREFIX + "job-2": job_record("c", 5, priority=1)})
    txn = world.stopping(world.cluster_state(), "job-2", 5)
    assert txn is not None and not any(key.startswith(CLAIM) for key in txn.puts)


def test_all_tasks_of_a_team_without_a_guarantee_may_be_stopped() -> None:
    world = World({"vm-0": [hold("job-1", {0, 1, 2}, "c")]}, 3.0)
    world.put({LIVE_JOB_PREFIX + "job-1": job_record("c", 3), LIVE_JOB_PREFIX + "job-2": job_record("a", 3)})
    txn = world.stopping(world.cluster_state(), "job-2", 3)
    assert txn is not None and world.apply(txn)
    assert stopped(world.cluster_state(), "c") == 3.0


def test_nothing_is_stopped_for_a_job_that_waits_for_its_teams_limit() -> None:
    # Otherwise urgent gangs at a binding limit stop hundreds of tasks for resources that they may not use.
    model = Model(31)
    model.cloud.capacity = 8
    model._run_us = lambda key: 900 * SECOND  # type: ignore[method-assign]
    model.checks()
    model.run(3)
    model.submit(submission("job-1", pieces=12, shape="service", urgency="urgent", loaners=False))
    model.run(20)
    model.submit(submission("job-2", crew="free", urgency="idle", pieces=16))
    model.run(30)
    before = {task: dict(machines) for task, machines in model.on.items()}
    assert sum(job == "job-1" for job, _ in before) == 12
    assert sum(job == "job-2" for job, _ in before) == 4
    model.submit(submission("job-3", shape="gang", urgency="urgent", pieces=2))
    model.run(20)
    assert {task: dict(machines) for task, machines in model.on.items()} == before


USES = st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 4), st.integers(1, 2)), min_size=1, max_size=6)
ASKS = st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 3), st.booleans()), min_size=1, max_size=8)


@given(USES, ASKS, st.randoms(use_true_random=False))
def test_no_order_of_deciding_and_applying_takes_more_than_the_excess(
    uses: list[tuple[str, int, int]], asks: list[tuple[str, int, bool]], rng: random.Random
) -> None:
    """Controllers decide on cluster states of different age; each commits at once, late, twice, or never."""
    holds: dict[str, list[AllocationRecord]] = {}
    values: dict[str, Any] = {}
    for n, (team, tasks, cpus) in enumerate(uses):
        holds[f"vm-{n}"] = [hold(f"job-{n}", set(range(tasks)), team, float(cpus))]
        values[LIVE_JOB_PREFIX + f"job-{n}"] = job_record(team, tasks + 3, float(cpus), at_us=n)
    world = World(holds, 8.0)
    world.put(values)
    before = Excess(world.cluster_state(), TEAMS)
    cluster_states = [world.cluster_state()]
    late: list[Txn] = []
    for n, (team, tasks, fresh) in enumerate(asks):
        name = f"job-{100 + n}"
        record = job_record(team, tasks, 1.0, at_us=100 + n, zone=rng.choice([None, *ZONES]))
        world.put({LIVE_JOB_PREFIX + name: record})
        if fresh:
            cluster_states.append(world.cluster_state())
        cluster_state = rng.choice(cluster_states)
        cluster_state.put(LIVE_JOB_PREFIX + name, record, world.state.revision)
        txn = world.stopping(cluster_state, name, tasks, f"berth-{n}")
        if txn is not None:
            late.append(txn)
        rng.shuffle(late)
        for txn in [txn for txn in late if rng.random() < 0.6]:
            world.apply(txn)
    now = world.cluster_state()
    for team in TEAMS:
        taken = stopped(now, team)
        assert before.allows({team: (taken, 0.0)}) or taken < AMOUNT_TOLERANCE
    assert all(decode_runs(h.record.tasks) for hs in now.allocations.values() for h in hs.values())


@pytest.mark.parametrize("machines", [100, 1_000])
def test_a_full_fleet_is_scanned_only_where_something_may_be_stopped(machines: int, monkeypatch: Any) -> None:
    # Scanning the tasks of every machine took a seventh of a controller's time.
    holds = {f"vm-{n:04}": [hold(f"job-{n % 2}", {n}, "b", 4.0)] for n in range(machines)}
    holds["vm-0007"] = [hold("job-9", {0, 1}, "b", 2.0)]
    world = World(holds, 4.0)
    world.put(
        {
            LIVE_JOB_PREFIX + "job-0": job_record("b", machines, 4.0, 1),
            LIVE_JOB_PREFIX + "job-1": job_record("b", machines, 4.0, 1),
        }
    )
    world.put(
        {LIVE_JOB_PREFIX + "job-9": job_record("b", 2, 2.0, 3), LIVE_JOB_PREFIX + "job-2": job_record("c", 1, 2.0, 2)}
    )
    cluster_state = world.cluster_state()
    asked: list[str] = []
    allowed = PreemptionRules.allowed
    monkeypatch.setattr(PreemptionRules, "allowed", lambda self, held: asked.append(held.job) or allowed(self, held))
    txn = world.stopping(cluster_state, "job-2", 1)
    assert asked == ["job-9"]
    assert txn is not None and world.apply(txn) and stopped(world.cluster_state(), "b") == 2.0
