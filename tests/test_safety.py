"""Tests of safety points (`docs/design.md`) that generated faults seldom exercise, each tested directly."""

import msgspec
import pytest

from ashtray.kernel import Call, Kernel, Reply
from ashtray.placement import compact_record
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.records import AllocationRecord, GroupRecord, MachineRecord
from ashtray.placement.state_keys import GROUP
from ashtray.store.limits import Limits
from ashtray.workers.adoption import adoption
from ashtray.workers.folding import Evidence, Fold
from ashtray.workers.messages import Report
from tests.fakes.state import State
from tests.model import CANCEL_S, LEASE_S, Model, submission


def fold_empty_report(record_token: int, own_token: int, proves_absence: bool):
    """Fold an empty report of a machine whose record contains a task of an ended job.

    Returns the machine's allocations after the fold, or None if there is nothing to write.
    """
    cluster_state = ClusterState()
    allocation = AllocationRecord("job-1", 1, "0", "crew", 1.0, 0.0, 1.0, 0)
    machine = MachineRecord("vm-1:1", token=record_token, holds=[allocation])
    cluster_state.put(GROUP + "g", msgspec.to_builtins(GroupRecord("small", "a", {"vm-1": machine})), 5)
    report = Report("vm-1", "vm-1:1", "small", "a", False, 1, 9, own_token, None, {})
    evidence = {"vm-1": Evidence(report, own_token, proves_absence)}
    fold = Fold(Kernel(None), cluster_state, Limits(16, 60_000, 32_768))
    fold.add(cluster_state.groups[GROUP + "g"], ["vm-1"], evidence)
    txn = fold.transaction()
    return None if txn is None else txn.puts[GROUP + "g"]["machines"]["vm-1"].get("holds", [])


def test_a_task_missing_from_the_report_to_its_owner_is_freed():
    assert fold_empty_report(record_token=7, own_token=7, proves_absence=True) == []


def test_absence_proves_nothing_while_orders_are_on_their_way():
    assert fold_empty_report(record_token=7, own_token=7, proves_absence=False) is None


def test_absence_proves_nothing_once_a_later_owner_has_recorded_its_token():
    assert fold_empty_report(record_token=8, own_token=7, proves_absence=True) is None


def model_with_running_service(seed: int = 5) -> Model:
    model = Model(seed)
    model.run(3)
    model.submit(submission("job-0", pieces=2, shape="service"))
    model.run(20)
    assert any(model.on)
    return model


def owners(model: Model, name: str):
    return [
        h.core.worker_manager.workers[name] for h in model.hosts if h.core and name in h.core.worker_manager.workers
    ]


def test_no_two_processes_give_out_the_same_token():
    model = model_with_running_service()
    managers = [host.core.worker_manager for host in model.hosts]
    model.crash(0, 1)
    model.run(6)
    managers.append(model.hosts[0].core.worker_manager)
    tokens = [manager._next_token(above) for manager in managers for above in (0, 0, 5 << 40)]
    assert len(set(tokens)) == len(tokens)
    assert all(token > 5 << 40 for token in tokens[2::3])


def test_an_order_without_an_answer_voids_the_token():
    model = model_with_running_service()
    name = next(iter(model.workers))
    # Orders to the machine are delayed by 20 s, so the kill sent for the cancellation gets no answer in time.
    model.held_orders[name] = model.now + 20_000_000
    before = max(w.token for w in owners(model, name))
    model.cancel("job-0")
    model.run(4)
    assert max(w.token for w in owners(model, name)) > before


def test_a_report_proves_no_absence_while_its_owner_has_orders_on_their_way():
    model = model_with_running_service()
    name = next(n for machines in model.on.values() for n in machines)
    core = next(
        h.core
        for h in model.hosts
        if h.core.worker_manager.workers.get(name) and h.core.worker_manager.workers[name].token_confirmed
    )
    group = core.cluster_state.groups[core.cluster_state.machines[name].group]
    core.worker_manager.workers[name].in_flight = True
    assert not core.worker_manager.folds._evidence(group)[name].proves_absence
    core.worker_manager.workers[name].in_flight = False
    assert core.worker_manager.folds._evidence(group)[name].proves_absence


def test_every_change_of_a_shared_record_is_guarded_by_its_version():
    model = Model(6)
    seen = []
    handle = model.state.handle

    def watch(now_us, method, path, body):
        if path == "/txn":
            seen.append(body)
        return handle(now_us, method, path, body)

    model.state.handle = watch
    model.run(2)
    model.submit(submission("job-0"))
    model.run(25)
    prefixes = ("ashtray/now/job/", "ashtray/now/group/", "ashtray/now/team/")
    placements = [
        b
        for b in seen
        if any(
            "job-0" in str(compact_record.unpack(c["value"])["machines"])
            for c in b["apply"]
            if str(c.get("put", "")).startswith("ashtray/now/group/")
        )
    ]
    assert placements and "ashtray/now/team/crew" in {g["k"] for g in placements[0]["guards"]}
    touched = [
        (key, body)
        for body in seen
        for c in body["apply"]
        if (key := c.get("put") or c["remove"]).startswith(prefixes)
    ]
    assert {key[:16] for key, _ in touched} == {prefix[:16] for prefix in prefixes}
    for key, body in touched:
        assert key in {g["k"] for g in body["guards"]}


def test_orders_are_given_only_once_the_record_carries_the_token():
    model = model_with_running_service()
    name = next(n for machines in model.on.values() for n in machines)
    worker_manager = next(
        h.core.worker_manager
        for h in model.hosts
        if h.core.worker_manager.workers.get(name) and h.core.worker_manager.workers[name].token_confirmed
    )
    machine = worker_manager.base.cluster_state.machines[name]
    assert worker_manager._owns(worker_manager.workers[name], machine)
    machine.record.token += 1
    assert not worker_manager._owns(worker_manager.workers[name], machine)


def renews(model: Model, number: int) -> bool:
    core = model.hosts[number].core
    return core.renewal.may_renew(model.clock(model.hosts[number])[0], core.follower.read_us)


@pytest.mark.parametrize("peers_in_reach", [0, 1])
def test_leases_are_not_renewed_for_ever_without_the_state_service(peers_in_reach):
    model = model_with_running_service()
    assert renews(model, 0)
    model.cut("c0", "state", 60, False)
    for peer in range(1, 3 - peers_in_reach):
        model.cut("c0", f"c{peer}", 60, False)
    # Until `CANCEL_S - LEASE_S` leases are renewed, so that short outages kill no tasks.  After that, a cancellation
    # confirmed by another controller could be missed.
    model.run(CANCEL_S - LEASE_S - 3)
    assert renews(model, 0)
    model.run(3)
    assert not renews(model, 0)


def test_leases_are_renewed_while_all_peers_state_the_cancellations_that_they_know():
    model = model_with_running_service()
    model.cut("c0", "state", 200, False)
    model.run(3 * CANCEL_S)
    assert renews(model, 0)
    # An unreachable peer may have confirmed a cancellation since it was last heard.
    model.cut("c0", "c2", 200, False)
    model.run(CANCEL_S - LEASE_S - 4)
    assert renews(model, 0)
    model.run(4)
    assert not renews(model, 0)


def test_a_machine_that_two_controllers_adopt_at_once_gets_into_one_group():
    state = State()
    reports = {"vm-1": Report("vm-1", "vm-1:1", "small", "a", False, 1, 1, 0, None, {})}
    first_view, second_view = ClusterState(), ClusterState()
    limits = Limits(16, 60_000, 32_768)
    # The second controller knows a group that the first does not, so they choose different groups.
    other = msgspec.to_builtins(GroupRecord("small", "a", {"vm-0": MachineRecord("vm-0:1")}))
    second_view.put(GROUP + "other", other, 1)
    state.keys[GROUP + "other"] = (other, 1, None)
    answers = []
    for cluster_state in (first_view, second_view):
        txn, adopted = adoption(cluster_state, reports, None, limits)
        assert adopted == ["vm-1"]
        answers.append(state.handle(0, "POST", "/txn", txn.body())[0])
    assert answers == [200, 409]


def test_nothing_is_placed_on_records_read_at_different_moments():
    # If a job is read later than the groups that hold its tasks, none of its tasks would seem to be placed.
    model = model_with_running_service()
    follower = model.hosts[0].core.follower
    follower.loaded = follower._paged = False
    load = follower._load()
    reply = None
    while True:
        try:
            request = load.send(reply)
        except StopIteration as stop:
            assert stop.value is True
            break
        if isinstance(request, Call):
            reply = Reply(*model.state.handle(model.now, request.method, request.path, request.body))
        else:
            reply = True
    assert not follower.loaded


def tasks_that_save_after_notice(kind: str, spot_notice_s: float = 9.0) -> tuple[Model, set[int]]:
    """Run a job of three tasks on three machines, give notice to one machine, and run for 12 s more.

    Returns the model and the numbers of the tasks that save.
    """
    model = Model(21)
    model.checks()
    model.run(3)
    model.submit(
        submission(
            "job-0",
            shape=kind,
            pieces=3,
            cpus=3.0,
            crew="free",
            hulls=["small"],
            yard="a",
            snapshot_every_s=2.0,
            snapshot_cost_s=1.0,
            expect_s=40.0,
        )
    )
    model._run_us = lambda key: 40 * 10**6
    model.run(20)
    on = {n: next(iter(machines)) for (_, n), machines in model.on.items()}
    assert len(on) == 3
    for worker in model.workers.values():
        worker.world.run_us = model._run_us
    model.workers[on[0]].notice_us = int(spot_notice_s * 10**6)
    saving: set[int] = set()
    for _ in range(60):
        model.run(0.2)
        for worker in model.workers.values():
            if worker.notice_us is not None:
                worker.notice_us = max(worker.notice_us - 200_000, 0)
            saving |= {key[2] for key, task in worker.tasks.items() if task.state == "saving"}
    return model, saving


def test_a_task_saves_before_its_machine_goes():
    assert tasks_that_save_after_notice("batch")[1] == {0}


def test_a_gang_is_stopped_as_a_whole_before_it_loses_a_machine():
    assert tasks_that_save_after_notice("gang")[1] == {0, 1, 2}
