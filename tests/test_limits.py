"""Records and transactions when the limits are lowered: none may be too large to be written, split or removed."""

import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ashtray.config.operators import OperatorSettings
from ashtray.jobs.model import LIVE_JOB_PREFIX, Job, JobRecord, JobSpec
from ashtray.kernel import Kernel
from ashtray.placement import compact_record
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.plan import Plan
from ashtray.placement.records import AllocationRecord, GroupRecord, MachineRecord, MachineType
from ashtray.placement.state_keys import GROUP, SPLIT
from ashtray.runs import decode_runs, encode_runs
from ashtray.store.limits import Limits
from ashtray.store.rate_limiter import Urgency
from ashtray.store.transaction import Txn, size_of
from ashtray.workers.folding import Evidence, Fold
from ashtray.workers.messages import Report, TaskState
from tests.model import Model, submission

SECOND = 1_000_000
HOLD = st.builds(
    AllocationRecord,
    st.integers(0, 10**9).map("job-{:06}".format),
    st.integers(1, 99),
    st.sets(st.integers(0, 300), min_size=1, max_size=9).map(encode_runs),
    st.sampled_from(["crew", "free"]),
    st.sampled_from([0.5, 1.0, 15.0]),
    st.sampled_from([0.0, 1.0]),
    st.sampled_from([3.2, 51.0]),
    st.integers(0, 10**9).map(lambda s: s * SECOND),
    st.sampled_from([-1, -1, 0, 5 * SECOND]),
    st.sampled_from(["berth-0", "berth-1"]),
)
MACHINE = st.builds(
    MachineRecord,
    st.just("10.1.0.232:9000"),
    st.booleans(),
    st.booleans(),
    st.integers(0, 2**60),
    st.lists(st.integers(0, 99).map("job-{}".format), max_size=6),
    st.lists(st.tuples(st.sampled_from(["img-1", "img-2", "img-3"]), st.sampled_from([0.5, 2.25])), max_size=4),
    st.lists(HOLD, max_size=6),
)


@given(
    st.dictionaries(st.integers(0, 999).map("vm-{:06}".format), MACHINE, max_size=8),
    st.dictionaries(st.integers(0, 99).map("job-{}".format), st.just("0-3,7"), max_size=3),
)
def test_the_compact_form_keeps_all_values(machines, done):
    whole = msgspec.to_builtins(GroupRecord("small", "a", machines, done))
    packed = msgspec.json.decode(msgspec.json.encode(compact_record.pack(whole)))
    again = compact_record.unpack(packed)
    assert msgspec.convert(again, GroupRecord) == msgspec.convert(whole, GroupRecord)
    assert compact_record.unpack(again) is again


def full_group(machines: int, holds: int) -> tuple[dict, dict]:
    """Return a group record as the previous version writes it, and the records of the jobs in it."""
    jobs, record = {}, GroupRecord("small", "a", {})
    for n in range(machines):
        machine = record.machines[f"vm-{n:06}"] = MachineRecord(f"10.1.0.{n}:9000", token=n + 1)
        machine.images = [("img-1", 1.25)]
        for h in range(holds):
            job = f"job-{n}{h:03}"
            spec = JobSpec("any", "free", "service", 2, 2, 0.01, 0.0, 0.01, "img", 1.0)
            jobs[job] = JobRecord(spec, "berth-0", 0, 1)
            machine.holds.append(AllocationRecord(job, 1, "0-1", "free", 0.01, 0.0, 0.01, 0, by="berth-0"))
    for n in range(60):
        job = f"job-9{n:05}"
        jobs[job] = JobRecord(JobSpec("any", "free", "array", 2, 900, 1.0, 0.0, 1.0, "img", 1.0), "berth-0", 0, 1)
        record.done[job] = encode_runs(range(n, 30 + n, 2))
    return msgspec.to_builtins(record), {job: msgspec.to_builtins(value) for job, value in jobs.items()}


@pytest.mark.parametrize(("machines", "holds"), [(60, 4), (20, 14), (220, 0)])
@pytest.mark.parametrize("crash", [None, 0.4, 0.9])
def test_a_group_full_to_32_kib_is_split_under_the_lower_limits_without_losing_an_allocation(machines, holds, crash):
    group, jobs = full_group(machines, holds)
    assert 16 * 1024 < size_of(group) < 32 * 1024
    model = Model(3, following=(2.0, 5))
    model.limits_fall()
    model.cloud.down = True
    key = GROUP + "small.a.vm-000000"
    model.state.keys[key] = (group, 5, None)
    for job, value in jobs.items():
        model.state.keys[LIVE_JOB_PREFIX + job] = (value, 4, None)
    model.state.revision = 6
    if crash is not None:
        # The controller that splits the group may crash in the middle; another one continues.
        for host in range(2):
            model.at(int((1 + crash) * SECOND), lambda host=host: model.crash(host, 3))
    model.run(12)
    assert not model.state.refused
    records = {k: v for k, (v, _, _) in model.state.keys.items() if k.startswith(GROUP)}
    assert all(size_of(value) <= 2048 for value in records.values())
    assert not [k for k in model.state.keys if k.startswith(SPLIT)]
    found: dict[str, list] = {}
    done: dict[str, set[int]] = {}
    for value in map(compact_record.unpack, records.values()):
        for name, machine in value["machines"].items():
            assert name not in found
            found[name] = machine.get("holds", [])
        for job, runs in value.get("done", {}).items():
            done.setdefault(job, set()).update(decode_runs(runs))
    assert found == {name: machine.get("holds", []) for name, machine in group["machines"].items()}
    assert done == {job: decode_runs(runs) for job, runs in group["done"].items()}


def test_while_a_group_is_being_split_its_moved_machines_count_once():
    group, jobs = full_group(10, 2)
    cluster_state = ClusterState()
    for job, value in jobs.items():
        cluster_state.put(LIVE_JOB_PREFIX + job, value, 3)
    cluster_state.put(GROUP + "g", group, 5)
    usage = cluster_state.team_usage("free")
    part = {**group, "machines": {n: m for n, m in group["machines"].items() if n <= "vm-000003"}, "done": {}}
    cluster_state.put(GROUP + "h", compact_record.pack(part), 6)
    cluster_state.put(SPLIT + "g", {"machine": "vm-000003", "job": ""}, 6)
    assert cluster_state.machines["vm-000003"].group == GROUP + "h"
    assert cluster_state.machines["vm-000004"].group == GROUP + "g"
    assert cluster_state.team_usage("free") == usage
    # A delayed transaction of the previous version changes the old record, which no longer counts.
    late = {**group, "machines": {**group["machines"], "vm-000003": {"address": "x"}}}
    cluster_state.put(GROUP + "g", late, 7)
    assert cluster_state.machines["vm-000003"].group == GROUP + "h"
    assert cluster_state.team_usage("free") == usage
    cluster_state.remove(GROUP + "g", 8)
    cluster_state.remove(SPLIT + "g", 8)
    assert sorted(cluster_state.machines) == sorted(part["machines"])


@given(st.integers(1, 100_000), st.sets(st.integers(0, 99_999), max_size=600), st.integers(900, 4000))
def test_a_jobs_record_never_exceeds_its_limit_and_forgets_only_completed_tasks(tasks, finished, limit):
    spec = JobSpec("any", "crew", "array", 2, tasks, 1.0, 0.0, 1.0, "img", 1.0)
    job = Job("job-1", msgspec.to_builtins(JobRecord(spec, "berth-0", 0)), 3, limit)
    done = {n for n in finished if n < tasks}
    value = job.updated_record(finished=done, attempt=10**6, failed_on=[f"vm-{n:06}" for n in range(6)])
    assert len(msgspec.json.encode(value)) <= limit
    assert decode_runs(value.get("finished", "")) <= done
    assert 0 < job.max_open_tasks <= max(tasks, 1)


def test_folds_never_grow_a_record_over_its_limit():
    # The tasks of many arrays end in random order: runs of task numbers get long, in allocations and in `done`.
    limits = Limits(5, 50_000, 2048, lowered=True)
    cluster_state = ClusterState(1900)
    holds = []
    for n in range(14):
        spec = JobSpec("any", "crew", "array", 2, 400, 1.0, 0.0, 1.0, "img", 1.0)
        cluster_state.put(f"{LIVE_JOB_PREFIX}job-{n}", msgspec.to_builtins(JobRecord(spec, "berth-0", 0, 1)), 3)
        holds.append(AllocationRecord(f"job-{n}", 1, f"{100 + n}-{139 + n}", "crew", 1.0, 0.0, 1.0, 0, by="berth-0"))
    names = ["vm-0", "vm-1"]
    record = GroupRecord(
        "small", "a", {name: MachineRecord("x:1", token=7, holds=holds[k::2]) for k, name in enumerate(names)}
    )
    version = 5
    cluster_state.put(GROUP + "0", compact_record.pack(msgspec.to_builtins(record)), version)
    rng = random.Random(3)
    tasks = [(h.job, t, name) for k, name in enumerate(names) for h in holds[k::2] for t in decode_runs(h.tasks)]
    rng.shuffle(tasks)
    ended: dict[str, dict] = {name: {} for name in names}
    while tasks:
        for job, task, name in tasks[:25]:
            ended[name][(job, 1, task)] = TaskState("ended", "done")
        del tasks[:25]
        for _ in range(20):
            group = cluster_state.groups[GROUP + "0"]
            evidence = {}
            for name in names:
                there = group.machines[name].holds
                seen = {(h.job, 1, t): TaskState("running", None) for h in there for t in h.tasks} | ended[name]
                report = Report(name, "x:1", "small", "a", False, 1, version, 7, None, seen)
                evidence[name] = Evidence(report, 7, True)
            fold = Fold(Kernel(None), cluster_state, limits)
            fold.add(group, names, evidence)
            txn = fold.transaction()
            if txn is None:
                break
            version += 1
            assert txn.write_count() <= 5
            for key, value in txn.puts.items():
                assert size_of(value) <= 2048
                cluster_state.put(key, value, version)
            for key in txn.removes:
                cluster_state.remove(key, version)
    assert not cluster_state.groups[GROUP + "0"].machines["vm-0"].holds
    assert all(len(cluster_state.finished(job)) == 40 for job in cluster_state.jobs.values())


def test_a_machine_gets_no_more_small_tasks_of_many_jobs_than_fit_into_its_record():
    limits = Limits(5, 50_000, 2048, lowered=True)
    cluster_state = ClusterState(1900)
    cluster_state._types["t"] = {"big": MachineType("big", 96.0, 0.0, 384.0, 60.0, 1.0, 1.0, 0.3, 1, ("a",))}
    cluster_state._types_changed()
    record = GroupRecord("big", "a", {"vm-0": MachineRecord("10.1.0.2:9000", token=2**45)})
    cluster_state.put(GROUP + "0", compact_record.pack(msgspec.to_builtins(record)), 5)
    for n in range(96):
        spec = JobSpec("any", "crew", "array", 2, 1, 1.0, 0.0, 1.0, f"img-{n % 3}", 1.0)
        cluster_state.put(f"{LIVE_JOB_PREFIX}job-{n:06}", msgspec.to_builtins(JobRecord(spec, "berth-0", 0)), 6)
    plan = Plan(cluster_state, {}, OperatorSettings(), random.Random(1), limits)
    machine = record.machines["vm-0"]
    for job in cluster_state.jobs.values():
        for _ in plan.place(job, 1, 0.0):
            machine.holds.append(AllocationRecord(job.id, 1, "0", "crew", 1.0, 0.0, 1.0, 10**15, by="berth-0"))
            machine.images = [(f"img-{k}", 1.0) for k in range(3)]
    assert 20 < len(machine.holds) < 96
    assert size_of(compact_record.pack(msgspec.to_builtins(record))) < 2048 * 0.9


def test_a_job_too_large_for_a_record_is_refused_with_a_reason():
    model = Model(3, following=(2.0, 5))
    model.run(3)
    model.submit(submission("job-0", hulls=["small", *(f"type-{n:04}" for n in range(200))]))
    model.run(2)
    assert "record" in model.refusals["job-0"]


def test_a_lower_rate_is_detected_and_given_up_again():
    model = Model(3, following=(2.0, 5))
    model.run(4)
    store = model.hosts[0].core.store
    rate = store.writes.bucket.rate
    store.note_write_throttled()
    assert store.writes.bucket.rate == rate
    store.note_write_throttled()
    assert store.writes.bucket.rate < 0.8 * rate
    model.run(5)
    assert store.writes.bucket.rate < 0.8 * rate
    model.run(40)
    assert store.writes.bucket.rate == pytest.approx(rate, rel=0.1)


@pytest.mark.parametrize(("changes", "size", "shows"), [(2, 10, False), (6, 10, True), (1, 4000, True)])
def test_only_a_refused_transaction_beyond_the_lower_limits_shows_that_they_hold(changes, size, shows):
    # Otherwise any refusal would start the compact form, which the previous version cannot read.
    model = Model(3, following=(2.0, 5))
    model.run(4)
    host = model.hosts[0]
    model.state.handle, handle = lambda *args: (400, {"error": "no"}), model.state.handle
    txn = Txn()
    for n in range(changes):
        txn.put(f"ashtray/x{n}", "x" * size)
    host.core.kernel.spawn(host.core.store.commit(lambda: txn, changes, Urgency.PLACE, "test"))
    model.carry_out(host, host.core.wake(*model.clock(host)))
    model.run(0.3)
    model.state.handle = handle
    assert host.core.store.refused == shows


def test_a_record_too_small_for_all_runs_keeps_the_longest():
    spec = JobSpec("any", "crew", "array", 2, 90_000, 1.0, 0.0, 1.0, "img", 1.0)
    job = Job("job-1", msgspec.to_builtins(JobRecord(spec, "berth-0", 0)), 3, 1900)
    value = job.updated_record(finished=set(range(50_000)) | set(range(50_001, 60_000, 2)))
    assert len(msgspec.json.encode(value)) <= 1900
    assert set(range(50_000)) <= decode_runs(value["finished"])


def test_the_size_of_a_transaction_is_told_by_each_quantity_that_is_limited():
    # Guards against a log line that does not tell which limit a refused transaction exceeds.
    txn = Txn().guard("ashtray/a", 7).put("ashtray/a", "x" * 100).put("ashtray/b", 1).remove("ashtray/c")
    size = len(msgspec.json.encode(txn.body()))
    assert txn.describe_size() == f"3 writes, 1 guards, {size} bytes, largest value 102 bytes"
