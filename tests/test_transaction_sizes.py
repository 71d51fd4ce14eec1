"""Transactions stay within the size that the state service accepts, however long the descriptions of the jobs are."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from hypothesis import HealthCheck, Phase, example, given, settings
from hypothesis import strategies as st

from ashtray.config.operators import OperatorSettings
from ashtray.config.settings import StateLimits, Team
from ashtray.controller import Controller
from ashtray.jobs.model import LIVE_JOB_PREFIX, JobRecord, JobSpec
from ashtray.kernel import Call, Kernel, Reply
from ashtray.placement import compact_record
from ashtray.placement.batch import Batch, BatchItem, split_placement
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.preemption import stop_for, stop_victims
from ashtray.placement.records import AllocationRecord, GroupRecord, MachineRecord
from ashtray.placement.state_keys import GROUP
from ashtray.store.limits import MAX_TXN_BYTES, Limits
from ashtray.store.refusals import REFUSAL_RECOVERY_US, RefusalBackoff
from ashtray.store.transaction import Txn, guarded_write_size, size_of
from ashtray.workers.adoption import adoption
from ashtray.workers.folding import Evidence, Fold
from ashtray.workers.messages import Report, TaskState
from tests.model import Model, settings_for, submission
from tests.test_model import FAULTS, JOB, RUNS, begin, finish, strike

LONG_NAMES = [f"standard-16cpu-64gb-rack-generation-{n:03}" for n in range(400)]
LONG_TYPE_LIST = ["small", *LONG_NAMES[:150]]
"""Allowed machine types whose names take some 6 KB of a description."""
KEY = st.text(st.characters(exclude_categories=["Cs"]), min_size=1, max_size=40)
VERSION = st.integers(0, 2**64 - 1)
VALUE = st.recursive(st.integers() | st.text() | st.booleans(), lambda v: st.lists(v) | st.dictionaries(st.text(), v))


def long_job(job_id: str, **over: Any) -> dict[str, Any]:
    """Return a submission of one small task with a description of some 6 KB."""
    short = {"pieces": 1, "cpus": 0.1, "memory_gb": 0.1, "expect_s": 2.0, "hulls": LONG_TYPE_LIST}
    return submission(job_id, **{**short, **over})


class Cluster:
    """A cluster state with one-task jobs on machines, for the transactions that are built from it."""

    def __init__(self, description_bytes: int) -> None:
        """`description_bytes` is about how many bytes the description of each job takes."""
        self.state = ClusterState()
        self.types = ["small", *("t" * 97 for _ in range(description_bytes // 100))]
        self._jobs = 0

    def add_group(self, group: str, machines: int, jobs: int) -> None:
        """Add a group of machines, each with so many jobs of one task."""
        names = [f"vm-{group}-{n}" for n in range(machines)]
        self.add_machines(group, {name: [self.allocate("array", "crew", 1) for _ in range(jobs)] for name in names})

    def add_machines(self, group: str, holds: dict[str, list[AllocationRecord]]) -> None:
        """Add a group of machines with these allocations."""
        machines = {name: MachineRecord("10.1.0.2:9000", token=7, holds=held) for name, held in holds.items()}
        self.state.put(GROUP + group, msgspec.to_builtins(GroupRecord("small", "a", machines)), 5)

    def allocate(self, kind: str, team: str, tasks: int) -> AllocationRecord:
        """Add a job, and return an allocation of all of its tasks."""
        self._jobs += 1
        job_id = f"job-{self._jobs:06}"
        spec = JobSpec("any", team, kind, 2, tasks, 1.0, 0.0, 1.0, "img", 1.0, types=self.types)
        self.state.put(LIVE_JOB_PREFIX + job_id, msgspec.to_builtins(JobRecord(spec, "berth-0", 0, 1)), 3)
        return AllocationRecord(job_id, 1, f"0-{tasks - 1}", team, 1.0, 0.0, 1.0, 0, by="berth-0")

    def failures(self, group: str) -> dict[str, Evidence]:
        """Return reports by which all tasks on the machines of a group have failed."""
        found = {}
        for name, machine in self.state.groups[GROUP + group].machines.items():
            tasks = {(a.job, a.attempt, task): TaskState("ended", "error") for a in machine.holds for task in a.tasks}
            found[name] = Evidence(Report(name, "10.1.0.2:9000", "small", "a", False, 1, 9, 7, None, tasks), 7, True)
        return found

    def apply(self, txn: Txn, version: int) -> None:
        """Apply a transaction's puts and removals."""
        for key, value in txn.puts.items():
            self.state.put(key, value, version)
        for key in txn.removes:
            self.state.remove(key, version)


def ran(model: Model) -> set[str]:
    """Return the ids of the jobs of which a task has completed."""
    return {job_id for job_id, job in model.jobs.items() if job.finished}


def written_jobs(body: dict[str, Any]) -> set[str]:
    """Return the ids of the jobs whose records a transaction writes."""
    keys = (change.get("put", "") for change in body.get("apply", ()))
    return {key.rpartition("/")[2] for key in keys if "/now/job/" in key}


def watch_refusals(model: Model) -> list[str]:
    """Return a list to which the purpose of each transaction that is refused, or not sent, is added from now on."""
    found: list[str] = []
    for host in model.hosts:
        watch_controller(host.core, found)
    return found


def watch_controller(core: Controller, found: list[str]) -> None:
    """Add the purpose of each transaction of a controller that is refused, or not sent, to a list."""
    note_refusal = core.store.refusals.note_refusal

    def note(purpose: str, now_us: int) -> None:
        found.append(purpose)
        note_refusal(purpose, now_us)

    core.store.refusals.note_refusal = note


# What a transaction takes


@given(
    st.dictionaries(KEY, VERSION, max_size=4),
    st.dictionaries(KEY, st.tuples(VALUE, st.none() | VERSION), max_size=4),
    st.lists(KEY, max_size=3),
)
def test_the_size_of_a_transaction_is_that_of_its_request(guards, puts, removes) -> None:
    # Guards against a size that lacks a part of the request, so that a transaction at the limit is refused.
    txn = Txn()
    for key, version in guards.items():
        txn.guard(key, version)
    for key, (value, lease) in puts.items():
        txn.put(key, value, lease)
    for key in removes:
        txn.remove(key)
    assert txn.size() == len(msgspec.json.encode(txn.body()))


@given(KEY, VERSION, VALUE)
def test_a_guarded_write_takes_no_more_than_it_is_counted_with(key, version, value) -> None:
    # Guards against batches that count less for a write than it takes.
    put = Txn().guard(key, version).put(key, value)
    removal = Txn().guard(key, version).remove(key)
    empty = Txn().size()
    assert put.size() - empty <= guarded_write_size(key, size_of(value))
    assert removal.size() - empty <= guarded_write_size(key)


def test_refusals_halve_the_limits_until_none_has_come_for_a_while() -> None:
    # Guards against transactions that are as large after a refusal as before.
    limits, refusals = Limits(16, 50_000, 32_768), RefusalBackoff()
    refusals.note_refusal("place", 5)
    refusals.note_refusal("place", 9)
    reduced = refusals.reduced(limits, "place", 10)
    assert (reduced.ops, reduced.txn_bytes, reduced.value_bytes) == (4, 12_500, 32_768)
    assert refusals.reduced(limits, "fold", 10) is limits
    assert refusals.reduced(limits, "place", 9 + REFUSAL_RECOVERY_US) is limits


# Placement


def test_jobs_with_long_descriptions_run_and_hold_up_no_other_team() -> None:
    # Guards against placements that are refused as too large and sent again without end: a batch counted 600 bytes
    # for each job's record, whatever its size.
    model = Model(1, hosts=1)
    refusals = watch_refusals(model)
    model.run(3)
    for n in range(24):
        model.submit(long_job(f"job-{n}"))
    model.run(1)
    model.submit(submission("job-900", crew="free", pieces=1))
    model.run(60)
    assert not refusals
    assert ran(model) == set(model.jobs)


@given(st.integers(0, 28_000), st.integers(1, 16))
def test_a_batch_takes_no_more_jobs_than_fit_into_a_transaction(description_bytes: int, groups: int) -> None:
    # Guards against batches that count an estimate for a job's record: the last items of each had to be left out.
    cluster = Cluster(description_bytes)
    for n in range(groups):
        cluster.add_group(str(n), 1, 1)
    limits = Limits(16, 55_000, 32_768)
    batch = Batch(cluster.state, limits)
    txn = Txn()
    for job_id, machine in zip(cluster.state.jobs, cluster.state.machines.values(), strict=True):
        item = BatchItem(job_id, [0], [(SimpleNamespace(machine=machine), 1)], 0)
        if not batch.fits(item):
            break
        batch.add(item)
        job, group = cluster.state.jobs[job_id], cluster.state.groups[machine.group]
        txn.guard(LIVE_JOB_PREFIX + job_id, job.version).put(LIVE_JOB_PREFIX + job_id, job.updated_record())
        txn.guard(group.key, group.version).put(group.key, group.value)
    assert txn.write_count() <= limits.ops
    assert len(batch.items) == 1 or txn.size() <= limits.txn_bytes


@given(st.integers(0, 28_000), st.integers(1, 40))
@example(28_000, 20)
def test_a_gang_over_many_groups_is_placed_in_portions_that_fit(description_bytes: int, groups: int) -> None:
    # Guards against a split of a placement by the bytes of its groups alone: each portion writes the job's record.
    cluster = Cluster(description_bytes)
    for n in range(groups):
        cluster.add_group(str(n), 1, 40)
    job = cluster.state.jobs[cluster.allocate("gang", "crew", groups).job]
    choices = [(SimpleNamespace(machine=machine), 1) for machine in cluster.state.machines.values()]
    limits = Limits(16, 55_000, 32_768)
    items = split_placement(job, list(range(groups)), choices, cluster.state, limits)
    assert [task for item in items for task in item.tasks] == list(range(groups))
    for item in items:
        txn = Txn().guard(LIVE_JOB_PREFIX + job.id, job.version).put(LIVE_JOB_PREFIX + job.id, job.updated_record())
        for key in item.groups():
            txn.guard(key, 5).put(key, cluster.state.groups[key].value)
        assert txn.write_count() <= limits.ops
        assert len(item.groups()) == 1 or txn.size() <= limits.txn_bytes


def test_a_job_whose_placement_is_always_refused_holds_up_no_other() -> None:
    # Guards against a refused placement that is sent again and again before all others.
    model = Model(1, hosts=1)
    handle, refused = model.state.handle, []

    def refuse_first(now_us: int, method: str, path: str, body: Any) -> Any:
        first = "job-0" in written_jobs(body or {}) if path == "/txn" else False
        if first and any("/now/group/" in change.get("put", "") for change in body["apply"]):
            refused.append(len(body["apply"]))
            return 400, {"error": "too large"}
        return handle(now_us, method, path, body)

    model.state.handle = refuse_first
    model.run(3)
    for n in range(12):
        model.submit(long_job(f"job-{n}", crew="free"))
    model.run(90)
    assert ran(model) == set(model.jobs) - {"job-0"}
    assert refused[-1] == 2 and len(refused) < 15


def test_a_transaction_that_is_too_large_is_not_sent() -> None:
    # Guards against refusals that use up the write budget which all controllers share.
    model = Model(1, hosts=1)
    model.run(3)
    core = model.hosts[0].core
    txn = Txn().put("ashtray/a", "x" * MAX_TXN_BYTES)
    replies = []

    def commit() -> Any:
        replies.append((yield from core.store.commit(lambda: txn, 1, 0, "test")))

    core.kernel.spawn(commit())
    model.carry_out(model.hosts[0], core.wake(*model.clock(model.hosts[0])))
    model.run(1)
    assert [reply.status for _, reply in replies] == [400]
    assert not model.state.refused and core.store.counts["test not sent"] == 1
    assert core.store.refusals.reduced(core.limits, "test", core.kernel.now_us).txn_bytes < core.limits.txn_bytes


# Folds


@given(st.integers(0, 28_000), st.integers(1, 3), st.integers(1, 3), st.integers(1, 12))
def test_a_fold_of_failures_fits_and_gets_all_of_them_written(description_bytes, groups, machines, jobs) -> None:
    # Guards against folds that count the groups but not the records of the jobs that failed: they were refused as too
    # large, and repeated before all other folds.
    cluster = Cluster(description_bytes)
    names = [str(n) for n in range(groups)]
    for name in names:
        cluster.add_group(name, machines, jobs)
    limits = Limits(16, 55_000, 32_768)
    for version in range(10, 10 + 200):
        fold = Fold(Kernel(None), cluster.state, limits)
        for name in names:
            fold.add(cluster.state.groups[GROUP + name], cluster.failures(name), cluster.failures(name))
        txn = fold.transaction()
        if txn is None:
            break
        assert txn.write_count() <= limits.ops and txn.size() <= MAX_TXN_BYTES
        cluster.apply(txn, version)
    assert not cluster.state.allocations
    assert all(job.record.errors == 1 for job in cluster.state.jobs.values())


def test_a_machine_whose_fold_is_always_refused_holds_up_no_other() -> None:
    # Guards against a refused fold that is sent again and again before those of all other groups.
    model = Model(1, 1, OperatorSettings(group_size=1))
    handle, refused = model.state.handle, []

    def refuse_first(now_us: int, method: str, path: str, body: Any) -> Any:
        changes = body["apply"] if path == "/txn" else ()
        if any(c.get("value", {}).get("errors") for c in changes if c.get("put") == f"{LIVE_JOB_PREFIX}job-0"):
            refused.append(len(changes))
            return 400, {"error": "too large"}
        return handle(now_us, method, path, body)

    model.state.handle = refuse_first
    model.run(3)
    model.mistaken.add("job-0")
    model.submit(submission("job-0", crew="free", pieces=1, cpus=4.0))
    model.run(20)
    for n in range(1, 9):
        model.submit(submission(f"job-{n}", crew="free", pieces=1, cpus=4.0))
    model.run(60)
    assert {job_id for job_id, job in model.jobs.items() if job.told == "done"} == set(model.jobs) - {"job-0"}
    assert 0 < len(refused) < 15


# Removal of machines


def test_a_lost_machine_with_many_gangs_of_long_descriptions_is_removed_and_they_run_again() -> None:
    # Guards against removals that count the groups but not the records of the gangs that lose tasks: the machine was
    # never removed from its group, so its tasks were never placed anywhere else.
    model = Model(2, 1)
    refusals = watch_refusals(model)
    model.run(3)
    for n in range(11):
        model.submit(long_job(f"job-{n}", crew="free", shape="gang", pieces=2))
    while model.starts < 22:
        model.run(0.2)
    assert len(model.workers) == 1 and len(model.on) == 22
    model.lose_machine(0)
    model.run(90)
    assert not refusals
    assert {job_id for job_id, job in model.jobs.items() if job.told == "done"} == set(model.jobs)


# New machines


@given(st.integers(1, 31), st.integers(1, 750))
@example(31, 680)
def test_new_machines_are_adopted_beside_many_allocations(machines: int, allocations: int) -> None:
    # Guards against adoptions that add one group too many: they were refused as too large, and the machines, which
    # reported again and again, were never used.
    limits = Limits.of(StateLimits(rps=100.0, write_rps=25.0, value_kb=32.0, txn_ops=16))
    limits.all_upgraded = True
    state = ClusterState()
    for group in range(6):
        holds = [AllocationRecord(f"job-{n:06}", 1, "0", "crew", 1.0, 0.0, 1.0, 0) for n in range(allocations)]
        there = {
            f"vm-{group}-{n}": MachineRecord("10.1.0.2:9000", token=7, holds=holds[n::machines])
            for n in range(machines)
        }
        record = GroupRecord("small", "a", there)
        state.put(f"{GROUP}{group}", compact_record.pack(msgspec.to_builtins(record)), 5)
    names = [f"vm-new-{n:03}" for n in range(200)]
    new = {name: Report(name, "10.1.0.2:9000", "small", "a", False, 1, 9, 7, None, {}) for name in names}
    txn, adopted = adoption(state, new, 32, limits)
    assert adopted and txn.size() <= MAX_TXN_BYTES


# Limits of teams


def test_the_shares_of_more_teams_than_a_transaction_has_writes_are_fenced(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against one fence for all teams at once: with more teams than writes it was refused and repeated without
    # end, and no job of any team with a limit was placed.
    names = [f"crew-{n}" for n in range(14)]

    def settings_with_teams(*args: Any) -> Any:
        settings = settings_for(*args)
        teams = [Team(name=name, cpus_max=8.0) for name in names]
        return msgspec.structs.replace(settings, cluster=msgspec.structs.replace(settings.cluster, teams=teams))

    monkeypatch.setattr("tests.model.settings_for", settings_with_teams)
    model = Model(1, 1)
    for n, name in enumerate(names):
        model.submit(submission(f"job-{n}", crew=name, pieces=1, cpus=0.2, memory_gb=0.1))
    model.run(60)
    assert not model.state.refused
    assert ran(model) == set(model.jobs)


# Preemption


@given(st.integers(1, 12), st.integers(1, 4), st.integers(5, 16), st.integers(1, 500))
@example(8, 1, 5, 1)
@example(2, 4, 16, 500)
def test_work_of_many_teams_is_stopped_step_by_step(teams: int, machines: int, ops: int, tasks: int) -> None:
    # Guards against transactions with a claim on more teams than they have writes: they were refused and repeated
    # without end, and the guaranteed job never got its machines.
    configured = {f"team-{n}": Team(name=f"team-{n}") for n in range(teams)}
    configured["guaranteed"] = Team(name="guaranteed", cpus=100.0)
    cluster = Cluster(0)
    for n in range(machines):
        holds = [cluster.allocate("array", team, tasks) for team in configured if team != "guaranteed"]
        cluster.add_machines(str(n), {f"vm-{n}": holds})
    job_id = cluster.allocate("array", "guaranteed", 1).job
    job = cluster.state.jobs[job_id]
    limits = Limits(ops, 55_000, 32_768)
    for version in range(10, 10 + 60):
        victims = {
            name: {(a.job, a.attempt): set(a.tasks) for a in machine.holds if a.record.stop_us < 0}
            for name, machine in cluster.state.machines.items()
        }
        txn = stop_for(cluster.state, configured, {job_id}, job, victims, limits, "berth-0", 10**9)
        if txn is None:
            break
        assert txn.write_count() <= ops and txn.size() <= MAX_TXN_BYTES
        cluster.apply(txn, version)
    assert all(a.record.stop_us >= 0 for machine in cluster.state.machines.values() for a in machine.holds)


@pytest.mark.parametrize(("groups", "jobs"), [(5, 400), (3, 600), (1, 600), (1, 900)])
def test_many_small_tasks_are_stopped_as_far_as_their_records_can_say_so(groups: int, jobs: int) -> None:
    # Guards against counting groups before their edits: an allocation of which a part is stopped takes twice as much,
    # so the transaction was refused, or nothing at all was stopped where one record could not take it.
    cluster = Cluster(0)
    for n in range(groups):
        holds = [cluster.allocate("array", "free", 3) for _ in range(jobs)]
        machines = {f"vm-{n}": MachineRecord("10.1.0.2:9000", token=7, holds=holds)}
        record = GroupRecord("small", "a", machines)
        cluster.state.put(f"{GROUP}{n}", compact_record.pack(msgspec.to_builtins(record)), 5)
    limits = Limits.of(StateLimits(rps=100.0, write_rps=25.0, value_kb=32.0, txn_ops=16))
    limits.all_upgraded = True
    victims = {
        name: {(a.job, a.attempt): {0} for a in machine.holds} for name, machine in cluster.state.machines.items()
    }
    txn = stop_victims(cluster.state, victims, limits)
    assert txn is not None and txn.size() <= MAX_TXN_BYTES
    all_fit = (groups, jobs) == (1, 600)
    assert (stop_victims(cluster.state, victims, limits, whole=True) is not None) == all_fit
    cluster.apply(txn, 10)
    assert any(a.record.stop_us >= 0 for machine in cluster.state.machines.values() for a in machine.holds)


# Splitting groups


@pytest.mark.parametrize(("machines", "kinds"), [(9, 100), (6, 125), (13, 80)])
def test_a_group_whose_machines_share_large_tables_is_split_in_steps(machines: int, kinds: int) -> None:
    # Guards against splits that count the new records and not their bytes: each new record repeats what the machines
    # shared, so the transaction was larger than 64 KiB, was refused, and was repeated without end.
    model = Model(1, 1)
    model.run(3)
    core = model.hosts[0].core
    core.limits.all_upgraded = True
    holds = [AllocationRecord("job-1", 1, "0", "t" * 100, n + 0.5, 0.0, 1.0, 0, by="berth-0") for n in range(kinds)]
    there = {f"vm-{n}": MachineRecord("10.1.0.2:9000", token=7, holds=holds) for n in range(machines)}
    value = compact_record.pack(msgspec.to_builtins(GroupRecord("small", "a", there)))
    assert 0.8 < size_of(value) / core.limits.value_bytes < 0.95
    core.cluster_state.put(f"{GROUP}0", value, 5)
    version = 10
    while due := core.splitter.due():
        txn = core.splitter.split(due[0].key)
        assert txn is not None and txn.write_count() <= core.limits.ops and txn.size() <= MAX_TXN_BYTES
        version += 1
        for key, record in txn.puts.items():
            core.cluster_state.put(key, record, version)
        for key in txn.removes:
            core.cluster_state.remove(key, version)
    assert sorted(core.cluster_state.machines) == sorted(there)


# Acceptance


def test_jobs_are_accepted_one_by_one_where_a_shared_transaction_is_refused() -> None:
    # Guards against a refused batch of submissions that is taken for an outage: all of its users were told to retry,
    # and their jobs were batched and refused again.
    model = Model(1, 1)
    model.run(3)
    handle, refused = model.state.handle, []

    def refuse_shared(now_us: int, method: str, path: str, body: Any) -> Any:
        if path == "/txn" and len(written_jobs(body)) > 1:
            refused.append(len(written_jobs(body)))
            return 400, {"error": "too large"}
        return handle(now_us, method, path, body)

    model.state.handle = refuse_shared
    model.hosts[0].core.presence.mine = lambda job: False
    for n in range(24):
        model.submit(submission(f"job-{n}", crew="free", pieces=1))
    # A user who is told to retry does so after a second.
    model.run(0.9)
    assert refused
    assert all(job.accepted_us is not None for job in model.jobs.values())


def test_no_transaction_beyond_the_lower_limits_is_sent_once_a_refusal_has_shown_them() -> None:
    # Guards against further transactions of the former size between a refusal and the next read of the state service.
    model = Model(1, 1, following=(2.0, 5))
    core, send = model.hosts[0].core, model.send
    core.presence.upgraded = lambda *form: False
    refusals, writes_since = [], []

    def watch(source: str, call: Call, deliver: Callable[[Reply], None]) -> None:
        if call.path == "/txn" and refusals:
            writes_since.append(len(call.body["apply"]))

        def delivered(reply: Reply) -> None:
            refusals.extend([call] if call.path == "/txn" and reply.status == 400 else [])
            deliver(reply)

        send(source, call, delivered)

    model.send = watch
    model.run(3)
    assert not core.limits.lowered
    model.limits_fall()
    for n in range(30):
        model.submit(submission(f"job-{n}", crew="free", pieces=1))
    model.run(60)
    assert refusals and core.limits.lowered
    assert max(writes_since) <= 5
    assert ran(model) == set(model.jobs)


# All of them together


class WatchedModel(Model):
    """A model that notes each transaction that is refused, or not sent, by any controller."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self.refusals: list[str] = []
        super().__init__(*args, **kwargs)

    def start_host(self, host: Any) -> None:
        """Start a controller's process, and watch its refusals."""
        super().start_host(host)
        watch_controller(host.core, self.refusals)


@settings(max_examples=RUNS // 10, phases=[Phase.explicit, Phase.generate], suppress_health_check=list(HealthCheck))
@given(
    st.integers(0, 10**6),
    st.lists(st.tuples(JOB, st.integers(250, 400)), min_size=16, max_size=24),
    FAULTS,
    st.sampled_from([None, 1]),
)
def test_no_transaction_is_too_large_whatever_the_descriptions_and_faults(seed, jobs, faults, group_size) -> None:
    # Guards against a purpose whose transactions are not measured: descriptions take 10 to 17 KB here.
    small = {"cpus": 0.2, "memory_gb": 0.5}
    model = WatchedModel(seed, 3, OperatorSettings(group_size=group_size))
    specs = [{**job, **small, "hulls": ["small", "big", *LONG_NAMES[:names]]} for job, names in jobs]
    begin(model, seed, specs, within_s=2)
    strike(model, faults)
    model.run(90)
    finish(model, 200)
    assert not model.refusals
