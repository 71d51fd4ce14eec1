"""Combinations of faults at machines: fast boots, old reports, early ends of tasks, no connections, one zone only.

Each test first asserts that its case is reached, and then checks what must hold.
"""

from __future__ import annotations

import copy
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
import pytest

from ashtray.config.operators import OperatorSettings
from ashtray.jobs.model import LIVE_JOB_PREFIX, Job, JobRecord, JobSpec
from ashtray.kernel import Call, Reply
from ashtray.placement import compact_record
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.plan import Plan
from ashtray.placement.preemption import PreemptionRules, Victims, choose_victims
from ashtray.placement.records import AllocationRecord, GroupRecord, MachineRecord, MachineType
from ashtray.placement.state_keys import ADOPTED, GROUP
from ashtray.runs import decode_runs
from ashtray.store.limits import Limits
from tests.fakes.cloud import Rented
from tests.fakes.worker import Key
from tests.model import CANCEL_S, LEASE_S, SECOND, Host, Model, RuleBroken, submission
from tests.test_model import RUNS

LOST, LATE = "lost", "late"
"""What may happen to a transaction: it is carried out at once or 2 to 12 s late, in both cases without an answer."""
RESTART_S = 5.0
"""How long after a crash a controller starts again."""
SEEDS = range(1, 2 + RUNS // 60)
"""Two by default, more with ASHTRAY_MODEL_RUNS."""
FEW_SEEDS = range(1, 1 + max(RUNS // 60, 1))
"""One by default, for tests with many parameters."""


@dataclass
class Unanswered:
    """A transaction that got no answer."""

    source: str
    fate: str
    body: dict[str, Any]
    sent_us: int
    status: int | None = None
    """The status that the state service would have answered; None before the transaction is carried out."""


@dataclass
class Start:
    """The start of a task on a machine."""

    at_us: int
    machine: str
    attempt: int


class MeetingModel(Model):
    """The model with faults that only these tests need, and with a record of starts, reports and direct orders."""

    def __init__(self, seed: int, hosts: int = 3, operator_settings: OperatorSettings | None = None) -> None:
        self.fate_of: Callable[[dict[str, Any]], str | None] = lambda body: None
        """Chooses what happens to a transaction; None: it is carried out and answered."""
        self.unanswered: list[Unanswered] = []
        self.no_connection_until: dict[str, int] = {}
        """By worker, until when it can open no connection."""
        self.refused_connections = 0
        self.direct_orders: list[tuple[int, str, list[dict[str, Any]]]] = []
        """Orders that were sent directly to workers: when, to which worker, and the orders."""
        self.reports: dict[str, list[dict[str, Any]]] = {}
        """By machine, the reports that it has sent."""
        self.task_starts: dict[tuple[str, int], list[Start]] = {}
        self.committed_tokens: set[tuple[str, int]] = set()
        """Machines and the ownership tokens that were ever committed in their records."""
        self.boot_s = (3.0, 7.0)
        self.run_s: Callable[[Key], float] | None = None
        """Returns how long a task runs, in seconds, where a test sets it."""
        self.fetch_s = 1.0
        super().__init__(seed, hosts, operator_settings)
        self._handle_state = self.state.handle
        self.state.handle = self._watch_state  # type: ignore[method-assign]

    # The state service

    def _watch_state(self, now_us: int, method: str, path: str, body: Any) -> tuple[int, Any]:
        status, answer = self._handle_state(now_us, method, path, body)
        if path == "/txn" and status == 200:
            for change in body.get("apply", ()):
                if change.get("put", "").startswith(GROUP):
                    machines = compact_record.unpack(change["value"])["machines"]
                    self.committed_tokens.update((name, raw.get("token", 0)) for name, raw in machines.items())
        return status, answer

    def send(self, source: str, call: Call, deliver: Callable[[Reply], None]) -> None:
        """Carry a request; refuse or delay those that one of the faults of these tests affects."""
        target = call.address.partition(":")[0]
        if source in self.workers and call.path == "/hello":
            self.reports.setdefault(source, []).append(copy.deepcopy(call.body))
            if self.no_connection_until.get(source, 0) > self.now:
                self.refused_connections += 1
                self.at(SECOND // 1000, lambda: deliver(Reply(0, refused=True)))
                return
        if call.path == "/orders":
            self.direct_orders.append((self.now, target, call.body["orders"]))
        fate = self.fate_of(call.body) if target == "state" and call.path == "/txn" else None
        if fate is None:
            super().send(source, call, deliver)
            return
        txn = Unanswered(source, fate, copy.deepcopy(call.body), self.now)
        self.unanswered.append(txn)

        def carry_out() -> None:
            txn.status, _ = self.state.handle(self.now, "POST", "/txn", txn.body)

        self.at(self.hop() if fate == LOST else int(self.rng.uniform(2, 12) * SECOND), carry_out)
        self.at(call.timeout_us, lambda: deliver(Reply(0)))

    # Machines

    def _boot(self, machine: Rented) -> int:
        boot = int(self.rng.uniform(*self.boot_s) * SECOND)
        self.at(boot, lambda: self._worker_starts(machine))
        return boot

    def _worker_starts(self, machine: Rented) -> None:
        super()._worker_starts(machine)
        worker = self.workers.get(machine.name)
        if worker is None:
            return
        worker.fetch_us = int(self.fetch_s * SECOND)
        execute = worker.execute

        def watched(now_us: int, orders: list[dict[str, Any]]) -> None:
            launches = [order for order in orders if order["verb"] == "launch"]
            if launches and (worker.name, worker.token) not in self.committed_tokens:
                raise RuleBroken(f"launched on {worker.name} before its token was in the record: {launches}")
            execute(now_us, orders)

        worker.execute = watched  # type: ignore[method-assign]

    def _run_us(self, key: Key) -> int:
        return int(self.run_s(key) * SECOND) if self.run_s is not None else super()._run_us(key)

    def _started(self, machine: str, key: Key) -> None:
        self.task_starts.setdefault((key[0], key[2]), []).append(Start(self.now, machine, key[1]))
        super()._started(machine, key)

    # Users

    def _poll(self, job_id: str) -> None:
        """Ask until the job has ended, as users do, so that the load does not grow with the number of ended jobs."""
        if self.jobs[job_id].told not in ("done", "cancelled"):
            super()._poll(job_id)

    # Queries of tests

    def leader(self) -> Host | None:
        """Return the fleet leader, or None."""
        return next((host for host in self.hosts if host.core is not None and host.core.fleet_manager.running), None)

    def owner(self, name: str) -> Host | None:
        """Return the controller that owns a machine, or None."""
        for host in self.hosts:
            worker = host.core.worker_manager.workers.get(name) if host.core is not None else None
            if worker is not None and worker.token_confirmed and (name, worker.token) in self.committed_tokens:
                return host
        return None

    def groups_of(self, name: str) -> list[str]:
        """Return the keys of the group records in the state service that contain a machine."""
        return [
            key
            for key, (value, _, _) in self.state.keys.items()
            if key.startswith(GROUP) and name in compact_record.unpack(value)["machines"]
        ]

    def until(self, happened: Callable[[], bool], seconds: float, step_s: float = 0.05) -> bool:
        """Run until a condition holds; return False if it does not in that time."""
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            if happened():
                return True
            self.run(step_s)
        return happened()

    def deliver_copy(self, number: int, name: str, report: dict[str, Any]) -> list[int]:
        """Deliver a copy of a report to a controller; return a list that gets the status of its answer."""
        body = msgspec.msgpack.decode(msgspec.msgpack.encode(report))
        answers: list[int] = []
        self._arrive(name, f"c{number}", "POST", "/hello", body, lambda s, _: answers.append(s), lambda _: None)
        return answers

    def all_done(self) -> bool:
        return {job.told for job in self.jobs.values()} <= {"done", "cancelled"}


def new_model(seed: int, hosts: int = 3, group_size: int | None = 2) -> MeetingModel:
    model = MeetingModel(seed, hosts, OperatorSettings(group_size=group_size))
    model.checks()
    model.run(3)
    return model


def settle(model: MeetingModel, seconds: float = 90) -> None:
    """End all faults; within this time every job must be done or cancelled."""
    model.fate_of = lambda body: None
    model.no_connection_until.clear()
    model.calm()
    model.until(model.all_done, seconds, 1.0)
    assert {job_id: job.told for job_id, job in model.jobs.items() if job.told not in ("done", "cancelled")} == {}


def adopts(body: dict[str, Any]) -> bool:
    return any(guard["k"].startswith(ADOPTED) for guard in body["guards"])


def writes_group(body: dict[str, Any]) -> bool:
    return any(change.get("put", "").startswith(GROUP) for change in body["apply"])


def places(body: dict[str, Any]) -> bool:
    return writes_group(body) and any(change.get("put", "").startswith(LIVE_JOB_PREFIX) for change in body["apply"])


# Machines that boot within two seconds and get tasks at once, while writes are late and the leader crashes (row 6)

WRITE_KINDS = {"adoption": adopts, "placement": places, "any": writes_group}


@pytest.mark.parametrize("seed", FEW_SEEDS)
@pytest.mark.parametrize("crashed", ["leader", "owner"])
@pytest.mark.parametrize("fate", [LOST, LATE])
@pytest.mark.parametrize("affected", list(WRITE_KINDS))
def test_fast_machines_get_their_work_once_though_writes_lag_and_the_leader_ends(seed, crashed, fate, affected):
    model = new_model(seed)
    model.boot_s = (0.3, 1.9)
    rng = random.Random(seed)
    model.fate_of = lambda body: fate if WRITE_KINDS[affected](body) and rng.random() < 0.6 else None
    for n in range(6):
        model.submit(submission(f"job-{n}", pieces=3, crew="free", hulls=["small"]))
    assert model.until(lambda: any(write.source and model.workers for write in model.unanswered), 30)
    booted = next(iter(model.workers))
    assert model.cloud.machines[booted].boot_us < 2 * SECOND
    model.run(rng.uniform(0, 1.5))
    sender = model.hosts[int(model.unanswered[0].source[1:])]
    host = sender if crashed == "owner" else model.leader()
    assert host is not None
    term = model.hosts[(host.number + 1) % 3].core.cluster_state.fleet
    model.crash(host.number, RESTART_S)
    model.run(8)
    # The case is reached: writes got no answers; if the leader crashed, another process leads.
    assert model.unanswered
    if crashed == "leader":
        leader = model.leader()
        assert leader is not None and leader.core.cluster_state.fleet != term
    busy = {start.machine for starts in model.task_starts.values() for start in starts}
    settle(model)
    assert all(len(model.groups_of(name)) <= 1 for name in model.workers)
    assert busy or model.task_starts
    if fate == LOST:
        assert any(write.status == 200 for write in model.unanswered)


@pytest.mark.parametrize("seed", SEEDS)
def test_an_heir_whose_list_lacks_a_machine_takes_it_for_neither_idle_nor_a_stranger(seed):
    model = new_model(seed)
    model.boot_s = (0.3, 1.9)
    model.cloud.lag_us = 6 * SECOND
    model.run_s = lambda key: 15.0
    model.submit(submission("job-0", pieces=6, crew="free", hulls=["small"], expect_s=15.0))
    assert model.until(lambda: bool(model.on), 20)
    leader = model.leader()
    assert leader is not None
    model.crash(leader.number, RESTART_S)
    assert model.until(
        lambda: (successor := model.leader()) is not None and successor.core.fleet_manager.inventory.listed_us > 0, 10
    )
    successor = model.leader()
    with_tasks = {machine for machines in model.on.values() for machine in machines}
    # The case is reached: the successor has listed the machines, and one that runs tasks is not in the list.
    assert with_tasks - set(successor.core.fleet_manager.inventory.listed)
    settle(model)
    assert all(len(starts) == 1 for starts in model.task_starts.values())


def test_a_machine_that_only_the_list_shows_is_put_into_no_group():
    model = new_model(4)
    model.boot_s = (0.3, 1.0)
    worker_starts = model._worker_starts

    def start_without_connections(machine: Rented) -> None:
        model.no_connection_until[machine.name] = model.now + 12 * SECOND
        worker_starts(machine)

    model._worker_starts = start_without_connections
    model.submit(submission("job-0", pieces=2, crew="free", hulls=["small"]))
    assert model.until(lambda: bool(model.workers), 20)
    name = next(iter(model.workers))
    model.run(5)
    # The case is reached: the machine is listed as running, and no controller has received a report of it.
    assert model.leader().core.fleet_manager.inventory.listed.get(name) == "running" and model.refused_connections
    assert model.groups_of(name) == []
    settle(model)
    assert all(len(model.groups_of(name)) <= 1 for name in model.workers)


# An old report arrives at every controller when a new leader begins, also of an earlier session or attempt (row 7)


def model_at_work(seed: int, run_s: float = 25.0) -> tuple[MeetingModel, str]:
    """Return a model whose machines run arrays, a gang and a service, and the name of the one with the most tasks."""
    model = new_model(seed)
    model.run_s = lambda key: run_s if key[2] else 4.0
    for n in range(4):
        model.submit(submission(f"job-{n}", pieces=3, crew="free", hulls=["small"], expect_s=run_s))
    model.submit(submission("job-4", shape="gang", pieces=3, crew="free", hulls=["small"], expect_s=run_s))
    model.submit(submission("job-5", shape="service", pieces=3, cpus=1.0, crew="free", hulls=["small"]))
    assert model.until(lambda: sum(map(len, model.on.values())) >= 12, 40)
    model.run(1)
    name = max(sorted(model.workers), key=lambda name: len(model.workers[name].tasks))
    return model, name


def crash_leader(model: MeetingModel, back_s: float = RESTART_S) -> tuple[int, int]:
    """Crash the leader and run until another process leads; return the numbers of the two controllers."""
    predecessor = model.leader()
    assert predecessor is not None
    process = predecessor.core
    model.crash(predecessor.number, back_s)
    assert model.until(lambda: model.leader() is not None, 20, 0.01)
    successor = model.leader()
    assert successor is not None and successor.core is not process
    return predecessor.number, successor.number


def ready(host: Host) -> bool:
    """Return whether a controller runs and accepts reports."""
    return host.core is not None and host.core.follower.loaded and host.core.presence.incarnation > 0


def old_report(model: MeetingModel, name: str, kind: str) -> dict[str, Any]:
    """Run until a report of the named kind (one of `OLD_REPORTS`) is out of date, and return it."""
    if kind == "of tasks that have ended since":
        assert model.until(lambda: any(p["status"] == "running" for p in model.reports[name][-1]["pieces"]), 20)
        report = model.reports[name][-1]
        running = {p["piece"] for p in report["pieces"] if p["status"] == "running"}
        assert model.until(lambda: not running <= {f"{job}/{n}" for job, n in model.on}, 60)
        model.run(2)
    elif kind == "of endings that were cleared":
        assert model.until(lambda: any(p["status"] == "ended" for p in model.reports[name][-1]["pieces"]), 30)
        report = model.reports[name][-1]
        assert model.until(lambda: all(p["status"] != "ended" for p in model.reports[name][-1]["pieces"]), 30)
    elif kind == "of an earlier session":
        assert model.until(lambda: bool(model.reports[name][-1]["pieces"]), 20)
        report = model.reports[name][-1]
        session = model.workers[name].session
        for number in range(len(model.hosts)):
            model.cut(f"c{number}", name, LEASE_S + 1, False)
        assert model.until(lambda: model.workers[name].session > session, LEASE_S + 3)
        model.run(2)
    elif kind == "of an earlier attempt":
        job = "job-4"
        machines = {m for (j, _), ms in model.on.items() if j == job for m in ms}
        assert len(machines) > 1
        report = next(model.reports[m][-1] for m in sorted(machines) if m != min(machines))
        model.cloud.end(model.now, min(machines), "taken")
        attempt = next(p["try"] for p in report["pieces"] if p["piece"].startswith(f"{job}/"))
        assert model.until(lambda: any(s.attempt > attempt for s in model.task_starts[(job, 0)]), 60)
    else:
        assert kind == "of a machine that is gone"
        report = model.reports[name][-1]
        model.cloud.end(model.now, name, "taken")
        assert model.until(lambda: not model.groups_of(name), 60)
    newer = model.reports[report["berth"]][-1]
    if kind != "of a machine that is gone":
        assert (report["shift"], report["tick"]) < (newer["shift"], newer["tick"])
    return report


OLD_REPORTS = [
    "of tasks that have ended since",
    "of endings that were cleared",
    "of an earlier session",
    "of an earlier attempt",
    "of a machine that is gone",
]


@pytest.mark.parametrize("seed", FEW_SEEDS)
@pytest.mark.parametrize("when", ["as the leader begins", "after it has decided", "at one that has just started"])
@pytest.mark.parametrize("kind", OLD_REPORTS)
def test_an_old_report_that_reaches_every_controller_as_a_new_leader_begins_changes_nothing(seed, when, kind):
    model, name = model_at_work(seed)
    report = old_report(model, name, kind)
    just_started = when == "at one that has just started"
    if just_started:
        # The copy has to reach this controller before a report of the machine itself does.
        model.cut(f"c{model.leader().number}", report["berth"], 4, False)
    predecessor, successor = crash_leader(model, back_s=1.0 if just_started else RESTART_S)
    if when == "after it has decided":
        assert model.until(lambda: model.hosts[successor].core.fleet_manager.handover.takeover.decided, 20)
    elif just_started:
        assert model.until(lambda: ready(model.hosts[predecessor]), 20)
    running = [host.number for host in model.hosts if host.core is not None]
    without_machine = [
        number for number in running if report["berth"] not in model.hosts[number].core.worker_manager.workers
    ]
    answers = {number: model.deliver_copy(number, report["berth"], report) for number in running}
    model.run(0.01)
    # The case is reached: another process leads, and the copy has reached all running controllers.
    assert model.leader() is not None and model.leader().number == successor
    assert all(answers.values())
    if just_started:
        assert predecessor in without_machine
    for number in set(running) - set(without_machine):
        worker = model.hosts[number].core.worker_manager.workers[report["berth"]]
        if worker.newest > (report["shift"], report["tick"]):
            assert answers[number] == [503]
    for _ in range(3):
        model.run(2)
        for host in model.hosts:
            if host.core is not None:
                model.deliver_copy(host.number, report["berth"], report)
    model.cancel("job-5")
    settle(model, 120)


@pytest.mark.parametrize("seed", SEEDS)
def test_reports_held_for_the_next_leader_come_in_any_order_and_prove_nothing(seed):
    model, name = model_at_work(seed)
    rng = random.Random(seed)
    model.run(6)
    kept = {machine: list(reports) for machine, reports in model.reports.items()}
    _, successor = crash_leader(model)
    core = model.hosts[successor].core
    late = [(machine, report) for machine in sorted(kept) for report in kept[machine][-12:]]
    rng.shuffle(late)
    refused = 0
    for machine, report in late:
        known = core.worker_manager.workers.get(machine)
        newer = known is not None and known.newest >= (report["shift"], report["tick"])
        before = None if known is None else (known.report, known.token, known.token_confirmed, known.heard_us)
        answer = model.deliver_copy(successor, machine, report)
        if known is None:
            # This process has not given out the token of the report, so the report confirms no ownership.
            worker = core.worker_manager.workers.get(machine)
            assert worker is None or not worker.token_confirmed
        elif newer:
            refused += 1
            assert answer == [503]
            assert (known.report, known.token, known.token_confirmed, known.heard_us) == before
    # The case is reached: some copies arrived after newer reports.
    assert refused > 10
    model.cancel("job-5")
    settle(model, 120)


def end_machine(model: MeetingModel, name: str) -> dict[str, Any]:
    """End a machine without notice and run until it is in no group record; return the last report that it sent."""
    report = model.reports[name][-1]
    model.cloud.end(model.now, name, "taken")
    assert model.until(lambda: not model.groups_of(name), 60)
    return report


@pytest.mark.parametrize("seed", SEEDS)
def test_copies_keep_no_dead_machine_alive(seed):
    model, name = model_at_work(seed)
    model.run(20)
    reports = list(model.reports[name])
    assert len(reports) > 15
    model.cloud.end(model.now, name, "taken")
    crash_leader(model, back_s=1.0)
    ended_us = model.now
    # Each copy is newer than the one before, and reaches every running controller.
    for report in reports:
        for host in model.hosts:
            if host.core is not None:
                model.deliver_copy(host.number, name, report)
        model.run(1.5)
        if not model.groups_of(name):
            break
    assert model.until(lambda: not model.groups_of(name), 3 * LEASE_S)
    # One lease and 4 s of silence, and one more lease: each controller may accept one copy as a new report.
    assert model.now - ended_us < (LEASE_S + 4 + LEASE_S) * SECOND
    model.cancel("job-5")
    settle(model, 120)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_token_chosen_above_an_old_one_costs_no_lease(seed):
    model, name = model_at_work(seed)
    report = model.reports[name][-1]
    # Controllers crash until the machine has a new owner, and so a higher token.
    token = model.workers[name].token
    for number in range(3):
        owner = model.owner(name)
        if owner is not None and model.workers[name].token > token:
            break
        model.crash(number, 1.0)
        model.run(6)
    assert model.workers[name].token > report["baton"]
    session = model.workers[name].session
    model.cut("c0", name, 2, False)
    model.crash(0, 0.3)
    assert model.until(lambda: ready(model.hosts[0]), 10)
    model.deliver_copy(0, name, report)
    known = model.hosts[0].core.worker_manager.workers[name]
    # The case is reached: the controller knows the machine by the copy only, and may choose too low a token.
    assert known.report is not None or known.redirected_us > 0
    model.run(2 * LEASE_S)
    assert name not in model.workers or model.workers[name].session == session
    model.cancel("job-5")
    settle(model, 120)


# Jobs of two or three tasks that end long after one another, with a change of leader in between (row 11)


@dataclass
class PartlyDone:
    """A job whose first task has ended, while its others run on for long."""

    model: MeetingModel
    job_id: str
    machine: str
    """The machine on which the first task ran."""


def partly_done(seed: int, tasks: int, before_fold: bool) -> PartlyDone:
    """Run such a job until its first task has ended; if not `before_fold`, until a record contains that end, too."""
    model = new_model(seed)
    model.run_s = lambda key: 3.0 if key[2] == 0 else 22.0 + 6 * key[2]
    job_id = "job-0"
    # One task a machine, so that different machines report the ends.
    model.submit(submission(job_id, pieces=tasks, cpus=3.0, crew="free", hulls=["small"], expect_s=20.0))
    model.submit(submission("job-1", shape="service", pieces=1, cpus=1.0, crew="free", hulls=["small"]))
    assert model.until(lambda: 0 in model.jobs[job_id].finished, 40)
    if not before_fold:
        assert model.until(lambda: recorded(model, job_id, 0), 10)
    machine = model.task_starts[(job_id, 0)][-1].machine
    return PartlyDone(model, job_id, machine)


def recorded(model: MeetingModel, job_id: str, task: int) -> bool:
    """Return whether the records in the state service contain the end of a task or of its job."""
    if f"ashtray/over/{job_id}" in model.state.keys:
        return True
    records = [value for key, (value, _, _) in model.state.keys.items() if key.startswith(GROUP)]
    groups = map(compact_record.unpack, records)
    by_groups = (decode_runs(group.get("done", {}).get(job_id, "")) for group in groups)
    return any(task in tasks for tasks in by_groups)


def writes_first_end(job_id: str) -> Callable[[dict[str, Any]], bool]:
    """Return a function that says whether a transaction writes the end of the first task of a job."""

    def writes(body: dict[str, Any]) -> bool:
        puts = (c["value"] for c in body["apply"] if c.get("put", "").startswith(GROUP))
        return any(0 in decode_runs(compact_record.unpack(value).get("done", {}).get(job_id, "")) for value in puts)

    return writes


@pytest.mark.parametrize("seed", FEW_SEEDS)
@pytest.mark.parametrize("tasks", [2, 3])
@pytest.mark.parametrize("moment", ["before the fold", "the fold's answer is lost", "after the fold"])
@pytest.mark.parametrize("crashed", ["owner", "all"])
def test_a_task_that_ended_long_before_the_others_is_not_begun_anew_by_a_new_leader(seed, tasks, moment, crashed):
    case = partly_done(seed, tasks, before_fold=moment != "after the fold")
    model, job_id = case.model, case.job_id
    if moment == "the fold's answer is lost":
        writes = writes_first_end(job_id)
        model.fate_of = lambda body: LOST if writes(body) else None
        assert model.until(lambda: bool(model.unanswered), 10, 0.01)
    owner = model.owner(case.machine)
    assert owner is not None
    if moment != "the fold's answer is lost":
        assert recorded(model, job_id, 0) == (moment == "after the fold")
    for host in model.hosts if crashed == "all" else [owner]:
        model.crash(host.number, RESTART_S if crashed != "all" else 0.5 + host.number / 4)
    model.run(0.1)
    model.fate_of = lambda body: None
    assert model.until(lambda: recorded(model, job_id, 0), 30)
    # The case is reached: the process that received the report of the end is gone, and the other tasks run on.
    assert owner.core is None or owner.life > 1
    assert model.jobs[job_id].finished == {0}
    if moment == "the fold's answer is lost":
        assert model.unanswered[0].status == 200
    assert model.until(lambda: len(model.jobs[job_id].finished) == tasks, 60)
    ended_us = model.now
    assert model.until(lambda: model.jobs[job_id].told == "done", 10)
    assert model.now - ended_us <= 6 * SECOND
    assert {len(model.task_starts[(job_id, task)]) for task in range(tasks)} == {1}
    model.cancel("job-1")
    settle(model)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_first_end_is_known_though_its_machine_is_gone_before_the_last(seed):
    case = partly_done(seed, 3, before_fold=False)
    model, job_id = case.model, case.job_id
    leader = model.leader()
    assert leader is not None
    model.cloud.end(model.now, case.machine, "taken")
    model.crash(leader.number, RESTART_S)
    assert model.until(lambda: not model.groups_of(case.machine), 60)
    # The case is reached: the machine on which it ran is in no record, and the other tasks run on.
    assert model.jobs[job_id].finished == {0}
    model.cancel("job-1")
    settle(model)
    assert len(model.task_starts[(job_id, 0)]) == 1


# Workers that can open no connection to any controller, while direct commands reach them (row 13)


def direct_orders_to(model: MeetingModel, name: str, since_us: int) -> list[list[dict[str, Any]]]:
    return [orders for at_us, to, orders in model.direct_orders if to == name and at_us >= since_us]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("cloud_s", [0, 25])
@pytest.mark.parametrize("handover", [False, True])
def test_machines_that_can_open_no_connection_are_returned_and_renewed_by_nothing(seed, cloud_s, handover):
    model, name = model_at_work(seed, run_s=40.0)
    since_us = model.now
    session = model.workers[name].session
    model.no_connection_until[name] = model.now + 300 * SECOND
    if cloud_s:
        # Machines are deleted before their tasks run elsewhere: while the cloud fails, none of them may do so.
        model.cloud.down = True
        model.at(cloud_s * SECOND, lambda: setattr(model.cloud, "down", False))
    held_tasks = [key for key, task in model.workers[name].tasks.items() if task.on_machine]
    assert held_tasks
    renewed_us = model.workers[name].renewed_us
    # One of its jobs is cancelled: its owner sends it a direct order to end the tasks.
    cancelled = next(key[0] for key in held_tasks if key[0] != "job-5")
    model.run(1.0)
    model.cancel(cancelled)
    assert model.until(
        lambda: any(o["verb"] == "kill" for orders in direct_orders_to(model, name, since_us) for o in orders), 5
    )
    if handover:
        owner = model.leader()
        assert owner is not None
        model.crash(owner.number, RESTART_S)
    # The case is reached: no report arrives, and orders do.
    assert model.refused_connections >= 1
    model.run(1.0)
    worker = model.workers[name]
    assert not any(key[0] == cancelled and task.on_machine for key, task in worker.tasks.items())
    assert worker.renewed_us <= renewed_us + SECOND
    # Its tasks end with its own lease, whatever orders it gets.
    assert model.until(lambda: name not in model.workers or model.workers[name].session > session, LEASE_S + 2)
    orders = len(direct_orders_to(model, name, since_us))
    assert model.until(lambda: name not in model.workers, cloud_s + 3 * LEASE_S)
    assert name in model.cloud.deleted
    # Orders are not repeated without end.
    assert orders < 12 and len(direct_orders_to(model, name, since_us)) - orders < 6
    model.cancel("job-5")
    settle(model, 150)


@pytest.mark.parametrize("seed", SEEDS)
def test_orders_that_reach_a_machine_directly_do_not_make_it_one_that_is_heard(seed):
    model, _ = model_at_work(seed, run_s=60.0)
    # The machine with the fewest tasks has free resources, and no more machines can be rented.
    name = min(sorted(model.workers), key=lambda name: len(model.workers[name].tasks))
    model.cloud.capacity = len(model.workers)
    since_us = model.now
    model.no_connection_until[name] = model.now + 300 * SECOND
    # Four small jobs are submitted each second, and some of them are placed on this machine.
    model.run_s = lambda key: 60.0 if int(key[0].removeprefix("job-")) < 10 else 1.0
    for n in range(80):
        job = submission(f"job-{10 + n}", pieces=1, cpus=0.5, crew="free", hulls=["small"], expect_s=1.0)
        model.at(n * SECOND // 4, lambda job=job: model.submit(job))
    assert model.until(lambda: name not in model.workers, LEASE_S + 4 + 2)
    assert name in model.cloud.deleted
    # The case is reached: direct orders reached the machine, and some of them started tasks.
    orders = [order for sent in direct_orders_to(model, name, since_us) for order in sent]
    assert any(order["verb"] == "launch" for order in orders)
    model.cancel("job-5")
    settle(model, 150)


@pytest.mark.parametrize("seed", SEEDS)
def test_machines_that_can_open_no_connection_for_less_than_a_lease_go_on(seed):
    model, name = model_at_work(seed)
    model.run(1)
    session, tasks = model.workers[name].session, set(model.workers[name].tasks)
    model.no_connection_until[name] = model.now + int(0.55 * LEASE_S * SECOND)
    refused = model.refused_connections
    model.run(LEASE_S)
    assert model.refused_connections > refused
    assert name in model.workers and model.workers[name].session == session
    assert tasks & set(model.workers[name].tasks) or all(model.jobs[key[0]].finished for key in tasks)
    model.cancel("job-5")
    settle(model, 120)


@pytest.mark.parametrize("seed", SEEDS)
def test_half_of_the_machines_can_open_no_connection_and_all_that_was_there_ends_elsewhere(seed):
    model, _ = model_at_work(seed)
    names = sorted(model.workers)[::2]
    for name in names:
        model.no_connection_until[name] = model.now + 40 * SECOND
    for job_id in ("job-0", "job-5"):
        model.at(2 * SECOND, lambda job_id=job_id: model.cancel(job_id))
    model.run(CANCEL_S + 5)
    assert model.refused_connections > len(names)
    model.run(20)
    settle(model, 150)


# Jobs bound to one zone, also arrays, lose machines (row 15)


@pytest.mark.parametrize("seed", FEW_SEEDS)
@pytest.mark.parametrize("shape", ["batch", "gang", "service"])
@pytest.mark.parametrize("loss", ["taken", "hangs", "cut off", "told to end"])
@pytest.mark.parametrize("bound", ["same_place", "yard"])
def test_jobs_bound_to_one_zone_stay_in_it_when_they_lose_machines(seed, shape, loss, bound):
    model = new_model(seed)
    model.run_s = lambda key: 15.0
    where = {"same_place": True} if bound == "same_place" else {"yard": "b"}
    # Free resources are scarce: one task fills a machine, so jobs compete for each machine that becomes free.
    model.cloud.capacity = 9
    specs = [
        submission(f"job-{n}", shape=shape, pieces=3, cpus=3.0, crew="free", hulls=["small"], **where) for n in (0, 1)
    ]
    for spec in specs:
        model.submit(spec)
    model.submit(submission("job-2", pieces=4, cpus=3.0, crew="free", hulls=["small"], same_place=True))
    assert model.until(lambda: {job for job, _ in model.on} >= {"job-0"}, 60)
    assert model.until(lambda: sum(job == "job-0" for job, _ in model.on) == 3, 20)
    machines = sorted({name for (job, _), ms in model.on.items() if job == "job-0" for name in ms})
    zones = {model.cloud.machines[name].zone for name in machines}
    assert len(zones) == 1
    lost = machines[: 1 + seed % 2]
    for name in lost:
        lose_machine(model, name, loss)
    # Other tasks of the job still run in the old zone, so the lost ones must be placed there again.
    assert model.until(lambda: all(name not in model.workers for name in lost), 60)
    starts = {task: len(model.task_starts[("job-0", task)]) for task in range(3)}
    assert sum(starts.values()) >= 3
    if shape == "service":
        assert model.until(lambda: sum(job == "job-0" for job, _ in model.on) == 3, 90)
        for n in (0, 1):
            model.cancel(f"job-{n}")
    settle(model, 200)


def lose_machine(model: MeetingModel, name: str, loss: str) -> None:
    """Make a machine end or become unreachable in the named way."""
    if loss == "taken":
        model.cloud.end(model.now, name, "taken")
    elif loss == "hangs":
        model.hung.add(name)
    elif loss == "cut off":
        for number in range(len(model.hosts)):
            model.cut(f"c{number}", name, 200, False)
    else:
        model.workers[name].notice_us = 8 * SECOND
        model.at(8 * SECOND, lambda: model.cloud.end(model.now, name, "taken"))


def victim_zones(victims: Victims) -> list[str]:
    """Return the zones of the machines with preempted tasks, by the names that `full_zones` gives to machines."""
    return sorted(name[len("vm-")] for name in victims)


def full_zones(gang: dict[str, Any], machines: dict[str, int]) -> tuple[Plan, Job]:
    """Return a plan for a fleet of two zones full of idle tasks, and an urgent gang that waits."""
    cluster_state = ClusterState()
    cluster_state.types = {"small": MachineType("small", 4.0, 0.0, 16.0, 20.0, 1.0, 1.0, 0.4, 5, ("a", "b"))}
    urgent = JobSpec("any", "free", "gang", 1, gang.pop("tasks"), 4.0, 0.0, 1.0, "img", 1.0, **gang)
    idle = JobSpec("any", "free", "array", 3, 20, 4.0, 0.0, 1.0, "img", 1.0)
    for version, (job_id, spec) in enumerate({"job-1": urgent, "job-2": idle}.items(), 1):
        cluster_state.put(LIVE_JOB_PREFIX + job_id, msgspec.to_builtins(JobRecord(spec, "berth-0", version)), version)
    task = 0
    for version, (zone, number) in enumerate(machines.items(), 3):
        records = {}
        for n in range(number):
            # The zone with the younger task, which is cheaper to preempt, alternates from machine to machine.
            placed_us = 10 * n + (n % 2 if zone == "a" else 1 - n % 2)
            allocation = AllocationRecord("job-2", 1, str(task), "free", 4.0, 0.0, 1.0, placed_us)
            records[f"vm-{zone}{n}"] = MachineRecord("x:1", holds=[allocation])
            task += 1
        cluster_state.put(GROUP + zone, msgspec.to_builtins(GroupRecord("small", zone, records)), version)
    plan = Plan(cluster_state, {}, OperatorSettings(), random.Random(1), Limits(16, 60_000, 32_768))
    return plan, cluster_state.jobs["job-1"]


def victims_for(plan: Plan, job: Job) -> Victims:
    """Return the tasks to be preempted for all tasks of a job."""
    rules = PreemptionRules(plan.cluster_state, set(), job, plan.excess())
    return choose_victims(plan, job, job.spec.tasks, rules, 1000, None)


def test_work_is_stopped_in_one_zone_for_a_gang_that_must_share_one():
    plan, job = full_zones({"tasks": 3, "same_zone": True}, {"a": 3, "b": 4})
    assert victim_zones(victims_for(plan, job)) in (["a", "a", "a"], ["b", "b", "b"])
    # No zone has enough idle tasks: none is preempted for only a part of the gang.
    plan, job = full_zones({"tasks": 4, "same_zone": True}, {"a": 3, "b": 3})
    assert victims_for(plan, job) == {}


def test_work_is_stopped_in_both_zones_for_a_gang_that_must_be_spread():
    plan, job = full_zones({"tasks": 4, "spread": True}, {"a": 4, "b": 3})
    assert victim_zones(victims_for(plan, job)) == ["a", "a", "b", "b"]
    plan, job = full_zones({"tasks": 4, "spread": True}, {"a": 4, "b": 1})
    assert victims_for(plan, job) == {}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("where", ["same_place", "spread"])
def test_an_urgent_gang_of_one_zone_or_of_both_begins_in_a_full_fleet(seed, where):
    model = new_model(seed)
    model.run_s = lambda key: 300.0 if key[0] != "job-9" else 5.0
    model.cloud.capacity = 8
    for n, zone in enumerate("abab"):
        idle = {"urgency": "idle", "expect_s": 300.0, "cpus": 4.0, "crew": "free", "hulls": ["small"], "yard": zone}
        model.at(n * SECOND, lambda n=n, idle=idle: model.submit(submission(f"job-{n}", pieces=3, **idle)))
    assert model.until(lambda: sum(map(len, model.on.values())) == 8, 60)
    zones = Counter(model.cloud.machines[name].zone for machines in model.on.values() for name in machines)
    # The case is reached: the fleet is full, with tasks in both zones.
    assert len(zones) == 2
    urgent = {"urgency": "urgent", "cpus": 4.0, "crew": "free", "hulls": ["small"], where: True}
    model.submit(submission("job-9", shape="gang", pieces=2, **urgent))
    assert model.until(lambda: sum(job == "job-9" for job, _ in model.on) == 2, 25)
    for n in range(4):
        model.cancel(f"job-{n}")
    settle(model)


def deliver_to_restarted_owner(model: MeetingModel, name: str, report: dict[str, Any]) -> Host:
    """Restart a machine's owner and deliver a copy of a report to it before the machine reports; return the owner."""
    owner = model.owner(name)
    assert owner is not None
    model.cut(f"c{owner.number}", name, 3, False)
    model.crash(owner.number, 0.3)
    assert model.until(lambda: ready(owner), 10)
    assert model.deliver_copy(owner.number, name, report) == [200]
    assert owner.core.worker_manager.workers[name].report is not None
    return owner


@pytest.mark.parametrize("seed", SEEDS)
def test_no_run_time_is_learnt_from_what_an_old_report_says(seed):
    model = new_model(seed)
    model.fetch_s = 3.0
    model.run_s = lambda key: 20.0
    model.submit(submission("job-0", pieces=3, crew="free", hulls=["small"], expect_s=20.0))

    def fetching_machine() -> str | None:
        latest = ((name, reports[-1]) for name, reports in sorted(model.reports.items()))
        return next((name for name, last in latest if any(p["status"] == "fetching" for p in last["pieces"])), None)

    assert model.until(lambda: fetching_machine() is not None, 30)
    name = fetching_machine()
    assert name is not None
    report = model.reports[name][-1]
    model.run(14)
    assert {task.state for task in model.workers[name].tasks.values()} == {"running"}
    owner = deliver_to_restarted_owner(model, name, report)
    learned: list[int] = []
    estimates = owner.core.worker_manager.job_timing.estimates
    add_run = estimates.add_run
    estimates.add_run = lambda job, run_us, machine: (learned.append(run_us), add_run(job, run_us, machine))
    # The next reports are the machine's own: they say that the tasks run, and later that they have ended.
    assert model.until(lambda: model.all_done(), 60)
    assert all(run_us > 15 * SECOND for run_us in learned), learned


@pytest.mark.parametrize("seed", SEEDS)
def test_a_notice_of_an_old_report_puts_no_machine_s_end_off(seed):
    model, name = model_at_work(seed)
    model.workers[name].notice_us = 30 * SECOND
    sent = len(model.reports[name])
    assert model.until(lambda: len(model.reports[name]) > sent, 5)
    report = model.reports[name][-1]
    model.run(2)
    owner = deliver_to_restarted_owner(model, name, report)
    # The copy, which says 30 s, arrived 20 s late.
    model.workers[name].notice_us = 10 * SECOND
    assert model.deliver_copy(owner.number, name, model.workers[name].report()) == [200]
    leaves_us = owner.core.worker_manager.workers[name].time_left_us(owner.core.kernel.now_us)
    assert leaves_us is not None and leaves_us <= 10 * SECOND


@pytest.mark.parametrize("seed", SEEDS)
def test_an_old_report_of_a_machine_that_is_gone_adds_no_machine(seed):
    model, name = model_at_work(seed)
    report = model.reports[name][-1]
    assert report["baton"] > 0
    end_machine(model, name)
    for host in model.hosts:
        model.crash(host.number, 0.3)
    assert model.until(lambda: all(ready(host) for host in model.hosts), 10)
    # The case is reached: no controller remembers the machine, and one of them accepted the copy.
    assert [200] in [model.deliver_copy(number, name, report) for number in range(len(model.hosts))]
    assert not model.until(lambda: bool(model.groups_of(name)), 10)
    model.cancel("job-5")
    settle(model, 120)


def test_a_job_of_one_zone_is_not_kept_from_the_other_by_one_that_is_bound_to_a_full_zone():
    cluster_state = ClusterState()
    cluster_state.types = {"small": MachineType("small", 4.0, 0.0, 16.0, 20.0, 1.0, 1.0, 0.4, 5, ("a", "b"))}
    spec = JobSpec("any", "free", "array", 2, 3, 4.0, 0.0, 1.0, "img", 1.0, same_zone=True)
    for version, job_id in enumerate(("job-1", "job-2"), 1):
        cluster_state.put(LIVE_JOB_PREFIX + job_id, msgspec.to_builtins(JobRecord(spec, "berth-0", version)), version)
    allocation = AllocationRecord("job-1", 1, "0", "free", 4.0, 0.0, 1.0, 0)
    full = {"vm-a0": MachineRecord("x:1", holds=[allocation])}
    cluster_state.put(GROUP + "a", msgspec.to_builtins(GroupRecord("small", "a", full)), 3)
    cluster_state.put(GROUP + "b", msgspec.to_builtins(GroupRecord("small", "b", {"vm-b0": MachineRecord("x:1")})), 4)
    plan = Plan(cluster_state, {}, OperatorSettings(), random.Random(1), Limits(16, 60_000, 32_768))
    # The first job has a task in the full zone a; the second job has the same specification and no task yet.
    assert plan.place(cluster_state.jobs["job-1"], 2, 0.0) == []
    assert [(free.machine.name, n) for free, n in plan.place(cluster_state.jobs["job-2"], 3, 0.0)] == [("vm-b0", 1)]
