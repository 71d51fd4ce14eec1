"""Sizes and counts at 100, 1,000 and 10,000 machines: none grows faster than the fleet.

Also: the shortcuts that save work (comparisons, caches, ranking in bulk, incremental indexes) give the same results
as the plain way.
"""

import math
import random

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ashtray.config.operators import OperatorSettings
from ashtray.jobs.model import LIVE_JOB_PREFIX, JobRecord, JobSpec
from ashtray.placement import compact_record
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.machine_groups import Machine
from ashtray.placement.records import AllocationRecord, GroupRecord, MachineRecord, MachineType
from ashtray.placement.rules import FEW_GROUPS, PREFERENCES, MachineCapacity, PlacementRequest, rank, valid
from ashtray.placement.state_keys import GROUP
from ashtray.standby.intents import Intent, Intents
from ashtray.standby.leader_notes import youngest_entries
from ashtray.store.limits import Limits
from ashtray.store.transaction import size_of
from ashtray.workers.adoption import adoption, group_size
from ashtray.workers.messages import Report, parse_report, parse_task
from tests.model import Model, submission

SIZES = (100, 1_000, 10_000)
KIND = MachineType("big", 96.0, 8.0, 384.0, 80.0, 0.6, 27.0, 7.0, 25_000_000, ("a",))


def machine_names(number: int) -> list[str]:
    return [f"vm-{n:06}" for n in range(number)]


def assert_proportional(counts: list[float]) -> None:
    """Assert that ten times as many machines give at most ten times as much, with a margin for a constant part."""
    for less, more in zip(counts, counts[1:], strict=False):
        assert more <= 10.5 * less, counts


def test_a_heartbeat_grows_with_the_machines_that_report_to_its_sender() -> None:
    core = Model(1, hosts=3).hosts[0].core
    core.cluster_state.fleet = ({"host": "berth-1"}, 1)
    sizes = []
    for number in SIZES:
        now = core.kernel.now_us
        core.peers._reports = lambda number=number, now=now: dict.fromkeys(machine_names(number), now)
        to_leader = len(msgspec.msgpack.encode(core.peers._heartbeat("berth-1")))
        # Only the fleet leader needs the list of machines.
        assert len(msgspec.msgpack.encode(core.peers._heartbeat("berth-2"))) < 200
        sizes.append(to_leader)
    assert_proportional(sizes)
    assert sizes[-1] <= 20 * SIZES[-1]


def test_the_last_reports_known_from_a_peer_expire() -> None:
    model = Model(1, hosts=2)
    core = model.hosts[0].core
    peer = core.peers.peers["berth-1"]
    for n in range(400):
        model.now += 1_000_000
        core.kernel.advance(*model.clock(model.hosts[0]))
        model.waiting[10**6 + n] = lambda status, body: None
        word = {"host": "berth-1", "state_age_us": 0, "need": 0.0, "heard": {f"vm-{n:06}": 0}}
        core.peers.on_heartbeat(10**6 + n, word)
    assert len(peer.heard) <= 61


@pytest.mark.parametrize("all_upgraded", [False, True])
def test_groups_grow_with_the_machines_and_their_records_do_not(all_upgraded: bool) -> None:
    limits = Limits(16, 55_000, 32_768, all_upgraded=all_upgraded)
    groups = [math.ceil(number / group_size(KIND, limits)) for number in SIZES]
    assert_proportional([float(number) for number in groups])
    assert groups[1] <= (32 if all_upgraded else 50)
    # A full group: each machine has one allocation for each GPU, and all jobs and images differ.
    machines = {
        name: MachineRecord(
            "10.100.100.100:9000",
            True,
            False,
            2**62,
            images=[(f"image-{n}-{k}", 5.25) for k in range(6)],
            holds=[
                AllocationRecord(
                    f"job-{8 * n + k:06}", 3, "0-2,5", "reader-app", 9.5, 1.0, 36.0, 10**15, by="berth-3"
                )
                for k in range(8)
            ],
        )
        for n, name in enumerate(machine_names(group_size(KIND, limits)))
    }
    value = msgspec.to_builtins(GroupRecord("big", "a", machines))
    assert size_of(compact_record.pack(value) if all_upgraded else value) <= limits.value_bytes


def test_a_start_reads_live_keys_only_and_adopts_machines_group_by_group() -> None:
    pages, changes = [], []
    for number in SIZES[:2]:
        cluster_state, limits = ClusterState(), Limits(16, 55_000, 32_768, all_upgraded=True)
        cluster_state._types["t"] = {"big": KIND}
        cluster_state._types_changed()
        left = {
            name: Report(name, "10.1.0.1:9000", "big", "a", False, 1, 1, 0, None, {})
            for name in machine_names(number)
        }
        version = spent = 0
        while left:
            txn, taken = adoption(cluster_state, left, OperatorSettings().group_size, limits)
            assert taken
            version += 1
            spent += txn.write_count()
            for key, value in txn.puts.items():
                cluster_state.put(key, value, version)
            for name in taken:
                del left[name]
        changes.append(spent)
        pages.append(math.ceil(sum(key.startswith(GROUP) for key in cluster_state.groups) / 1000))
    assert_proportional([float(spent) for spent in changes])
    assert changes[1] <= 75 and pages == [1, 1]


def test_what_the_fleet_leader_stores_for_its_successor_is_bounded() -> None:
    assert len(youngest_entries(dict.fromkeys(machine_names(10_000), 5))) <= 1_000
    intents = Intents()
    batch = [Intent(f"r-{n}", "big", "a", True, 50, n, machine_names(50)) for n in range(2_000)]
    intents.begin(batch)
    assert len(msgspec.json.encode(intents.value("berth-0", 16_384.0))) <= 16_384


def test_only_reports_with_changes_are_compared_with_the_records() -> None:
    model = Model(3, hosts=1)
    model.run(3)
    model.submit(submission("job-0", pieces=4, shape="service", crew="free"))
    model.run(20)
    worker_manager = model.hosts[0].core.worker_manager
    compared: list[str] = []
    original = worker_manager._mark_for_fold
    worker_manager._mark_for_fold = lambda worker, *args: compared.append(worker.name) or original(worker, *args)
    before = {name: worker.tick for name, worker in model.workers.items()}
    model.run(10)
    assert all(worker.tick > before[name] + 3 for name, worker in model.workers.items())
    assert not compared
    # A report in which a task has ended is compared at once.
    name = next(name for name, worker in model.workers.items() if worker.tasks)
    model.workers[name].fails = True
    model.run(3)
    assert name in compared


def test_task_names_are_parsed_once_however_often_they_are_reported() -> None:
    parse_task.cache_clear()
    pieces = [{"piece": f"job-{n}/{n}", "try": 1, "status": "running"} for n in range(200)]
    report = {
        "berth": "vm-1",
        "endpoint": "x:1",
        "hull": "big",
        "yard": "a",
        "loaners": False,
        "shift": 1,
        "tick": 1,
        "baton": 0,
        "pieces": pieces,
    }
    found = [parse_report({**report, "tick": n}) for n in range(10)]
    assert all(one is not None and one.tasks == found[0].tasks for one in found if found[0] is not None)
    assert parse_task.cache_info().misses == 200
    assert parse_report({**report, "pieces": [{**pieces[0], "piece": "job-1"}]}) is None


def rank_one_by_one(
    capacities: list[MachineCapacity],
    request: PlacementRequest,
    count: int,
    operator_settings: OperatorSettings,
    rng: random.Random,
) -> list[MachineCapacity]:
    """The result that `rank` must give, with each machine scored by itself."""
    rules = [PREFERENCES[name] for name in operator_settings.rules]
    rule_count = operator_settings.rules.index(FEW_GROUPS) + 1 if FEW_GROUPS in operator_settings.rules else 0
    fitting = [capacity for capacity in capacities if valid(capacity, request)]
    fits: dict[str, int] = {}
    for capacity in fitting:
        fits[capacity.machine.group] = fits.get(capacity.machine.group, 0) + capacity.fits(request.spec)
    request.extra_writes = {
        group: 0 if group in request.due_groups else -(-count // min(fit, count)) for group, fit in fits.items()
    }
    scored = [
        (tuple(rule.score(capacity, request, operator_settings) for rule in rules), rng.random(), capacity)
        for capacity in fitting
    ]
    scored.sort(key=lambda entry: entry[:2])
    if not rule_count:
        return [capacity for _, _, capacity in scored]
    by_group: dict[tuple[tuple[float, ...], str], list[MachineCapacity]] = {}
    for score, _, capacity in scored:
        by_group.setdefault((score[:rule_count], capacity.machine.group), []).append(capacity)
    return [capacity for group_capacities in by_group.values() for capacity in group_capacities]


@given(st.integers(0, 10**6), st.integers(1, 12), st.booleans(), st.sampled_from([0, 1, 3]), st.booleans())
def test_machines_judged_together_rank_as_if_each_were_judged_by_itself(
    seed: int, count: int, gang: bool, priority: int, writes_scarce: bool
) -> None:
    draw = random.Random(seed)
    kinds = {"big": KIND, "flat": MachineType("flat", 16.0, 0.0, 64.0, 60.0, 0.2, 1.0, 0.2, 20_000_000, ("a", "b"))}
    capacities = []
    for n in range(draw.randrange(40)):
        kind = draw.choice(list(kinds.values()))
        record = MachineRecord(
            "x:1", draw.random() < 0.3, draw.random() < 0.1, images=[("img", 1.0)] if draw.random() < 0.4 else []
        )
        machine = Machine(
            f"vm-{n}", f"group-{draw.randrange(4)}", kind.name, draw.choice("ab"), msgspec.to_builtins(record)
        )
        free = draw.choice([0.0, 0.25, 0.5, 1.0])
        blame = draw.choice([0, 0, 0, 2])
        capacities.append(
            MachineCapacity(machine, kind, kind.cpus * free, kind.gpus * free, kind.memory_gb * free, blame)
        )
    cpus, gpus = draw.choice([0.0, 2.0, 3.5]), draw.choice([0.0, 0.0, 1.0])
    kind_of = "gang" if gang else "array"
    spec = JobSpec("any", "crew", kind_of, priority, count, cpus, gpus, 8.0, "img", 3.0, spot=draw.random() < 0.5)
    operator_settings = (
        OperatorSettings() if draw.random() < 0.7 else OperatorSettings(rules=("trust", "image", "packing"))
    )
    request = PlacementRequest(
        spec,
        priority=priority,
        writes_scarce=writes_scarce,
        due_groups={"group-1"},
        failed_on=frozenset({"vm-1", "vm-2"}),
    )
    plain = PlacementRequest(
        spec,
        priority=priority,
        writes_scarce=writes_scarce,
        due_groups={"group-1"},
        failed_on=frozenset({"vm-1", "vm-2"}),
    )
    found = rank(list(capacities), request, count, operator_settings, random.Random(seed))
    assert found == rank_one_by_one(capacities, plain, count, operator_settings, random.Random(seed))
    assert request.extra_writes == plain.extra_writes


TEAM_JOB = JobSpec("any", "crew", "array", 2, 9, 2.0, 1.0, 3.0, "img", 1.0)


def draw_group(draw: random.Random, vm_names: list[str]) -> dict:
    """A random group record of these machines, each with allocations of a few jobs."""
    machines = {}
    for name in vm_names:
        holds = [
            AllocationRecord(
                f"job-{draw.randrange(4)}",
                draw.choice([1, 1, 2]),
                draw.choice(["0-2", "3", "5,7", "8"]),
                draw.choice(["crew", "free"]),
                2.0,
                1.0,
                3.0,
                draw.choice([10, 20]) * 1_000_000,
                draw.choice([-1, -1, 0, 5]),
                draw.choice(["berth-0", "berth-1"]),
            )
            for _ in range(draw.randrange(4))
        ]
        machines[name] = MachineRecord("x:1", retiring=draw.random() < 0.1, holds=holds)
    done = {f"job-{draw.randrange(4)}": draw.choice(["0-8", "0-3", "4-8"]) for _ in range(draw.randrange(3))}
    return msgspec.to_builtins(GroupRecord("big", "a", machines, done))


def draw_changed_group(draw: random.Random, value: dict, group: int) -> dict:
    """The group record with one machine changed, removed or added, and sometimes other completed tasks."""
    value = msgspec.msgpack.decode(msgspec.msgpack.encode(value))
    machines, new = value["machines"], draw_group(draw, [f"vm-{group}-{draw.randrange(5)}"])
    name, record = next(iter(new["machines"].items()))
    if draw.random() < 0.2:
        machines.pop(name, None)
    elif name in machines and machines[name].get("holds") and draw.random() < 0.6:
        # The changes that a fold (the transaction that records reports), a placement or a preemption makes.
        holds = machines[name]["holds"]
        draw.choice([lambda: holds.pop(0), lambda: holds.extend(record.get("holds", ())), holds.reverse])()
    else:
        machines[name] = record
    if draw.random() < 0.3:
        value["done"] = new.get("done", {})
    return value


def contents(cluster_state: ClusterState) -> dict:
    """What a cluster state holds about allocations, usage and jobs, independent of their order."""
    holds = {
        job: {key: (hold.record, hold.tasks) for key, hold in held.items()}
        for job, held in cluster_state.allocations.items()
    }
    teams = ["crew", "free"]
    ending = {}
    for job, held in cluster_state.allocations.items():
        live = cluster_state.jobs.get(job)
        ends = [
            (name, id(hold))
            for (name, _), hold in held.items()
            if live is None or hold.record.stop_us >= 0 or hold.attempt <= live.record.broken
        ]
        if ends:
            ending[job] = sorted(ends)
    assert {
        job: sorted((name, id(h)) for name, h in held) for job, held in cluster_state.ending_allocations().items()
    } == ending
    return {
        "machines": {name: (machine.raw, machine.group) for name, machine in cluster_state.machines.items()},
        "holds": holds,
        "usage": {
            (name, by): cluster_state.team_usage(name, by) for name in teams for by in (None, "berth-0", "berth-1")
        },
        "waiting": dict(cluster_state.waiting()),
        "completed": set(cluster_state.completed()),
        "placed": {job_id: cluster_state.placed(job_id) for job_id in cluster_state.jobs},
        "finished": {job.id: cluster_state.finished(job) for job in cluster_state.jobs.values()},
    }


@given(st.integers(0, 10**6), st.booleans())
def test_a_picture_that_followed_changes_shows_what_one_read_anew_does(seed: int, packed: bool) -> None:
    draw = random.Random(seed)
    cluster_state = ClusterState()
    stored: dict[str, tuple[dict, int]] = {}
    plain: dict[str, dict] = {}
    for version in range(1, 25):
        kind = draw.random()
        if kind < 0.25:
            key = f"{LIVE_JOB_PREFIX}job-{draw.randrange(4)}"
            record = JobRecord(TEAM_JOB, "berth-0", 5, draw.choice([0, 1, 2]), "", draw.choice([0, 0, 1]))
            value = None if draw.random() < 0.2 else msgspec.to_builtins(record)
        else:
            group = draw.randrange(2)
            key = f"{GROUP}big.{group}"
            plain[key] = draw_changed_group(draw, plain.get(key) or draw_group(draw, []), group)
            value = plain[key]
            if packed:
                before = stored.get(key)
                value = compact_record.pack(value, before and before[0], set(value["machines"]))
        if value is None:
            stored.pop(key, None)
            cluster_state.remove(key, version)
        else:
            stored[key] = value, version
            cluster_state.put(key, value, version)
        if draw.random() < 0.5:
            contents(cluster_state)
    rebuilt = ClusterState()
    for key, (value, version) in stored.items():
        rebuilt.put(key, value, version)
    assert contents(cluster_state) == contents(rebuilt)
