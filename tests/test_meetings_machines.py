"""Meetings of troubles at machines: fast boots, old reports, far ends, no way to a controller, one zone only.

Each test brings its meeting about, asserts that it happened, and only then that the rules held.
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
from ashtray.jobs.model import LIVE, Job, JobRecord, JobSpec
from ashtray.kernel import Call, Reply
from ashtray.placement import compact_record
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.plan import Plan
from ashtray.placement.preemption import PreemptionRules, Victims, choose_victims
from ashtray.placement.records import AllocationRecord, GroupRecord, MachineRecord, MachineType
from ashtray.placement.state_keys import ADOPTED, GROUP
from ashtray.runs import decode_runs
from ashtray.store.client import Limits
from tests.fakes.cloud import Rented
from tests.fakes.worker import Key
from tests.model import CANCEL_S, LEASE_S, SECOND, Host, Model, RuleBroken, submission
from tests.test_model import RUNS

LOST, LATE = "lost", "late"
"""What may become of a transaction: carried out without an answer, at once or 2 to 12 s later."""
CRASH_BACK_S = 5.0
SEEDS = range(1, 2 + RUNS // 60)
"""Two by default; more with ASHTRAY_MODEL_RUNS."""
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
    """What the state service would have answered, once it was carried out."""


@dataclass
class Start:
    """A task that came to be on a machine."""

    at_us: int
    machine: str
    attempt: int


class MeetingModel(Model):
    """The model, with the troubles that only these meetings need, and with a record of what happened."""

    def __init__(self, seed: int, hosts: int = 3, knobs: OperatorSettings | None = None) -> None:
        self.fate_of: Callable[[dict[str, Any]], str | None] = lambda body: None
        """What becomes of a transaction; None: it is carried out and answered as ever."""
        self.unanswered: list[Unanswered] = []
        self.mute: dict[str, int] = {}
        """Workers that can open no connection, and until when."""
        self.refused_connections = 0
        self.direct: list[tuple[int, str, list[dict[str, Any]]]] = []
        """Orders that were sent straight to workers: when, to whom, and which."""
        self.reports: dict[str, list[dict[str, Any]]] = {}
        """By machine, the reports that it has sent."""
        self.task_starts: dict[tuple[str, int], list[Start]] = {}
        self.signed: set[tuple[str, int]] = set()
        """Machines and the tokens that were ever committed in their records."""
        self.boot_s = (3.0, 7.0)
        self.run_s: Callable[[Key], float] | None = None
        """How long a task runs, where the test says so."""
        self.fetch_s = 1.0
        super().__init__(seed, hosts, knobs)
        self._handle = self.state.handle
        self.state.handle = self._watch_state  # type: ignore[method-assign]

    # The state service

    def _watch_state(self, now_us: int, method: str, path: str, body: Any) -> tuple[int, Any]:
        status, answer = self._handle(now_us, method, path, body)
        if path == "/txn" and status == 200:
            for change in body.get("apply", ()):
                if change.get("put", "").startswith(GROUP):
                    machines = compact_record.unpack(change["value"])["machines"]
                    self.signed.update((name, raw.get("token", 0)) for name, raw in machines.items())
        return status, answer

    def send(self, source: str, call: Call, deliver: Callable[[Reply], None]) -> None:
        """Carry a request as ever, but for those that one of these troubles strikes."""
        target = call.address.partition(":")[0]
        if source in self.workers and call.path == "/hello":
            self.reports.setdefault(source, []).append(copy.deepcopy(call.body))
            if self.mute.get(source, 0) > self.now:
                self.refused_connections += 1
                self.at(SECOND // 1000, lambda: deliver(Reply(0, refused=True)))
                return
        if call.path == "/orders":
            self.direct.append((self.now, target, call.body["orders"]))
        fate = self.fate_of(call.body) if target == "state" and call.path == "/txn" else None
        if fate is None:
            super().send(source, call, deliver)
            return
        lost = Unanswered(source, fate, copy.deepcopy(call.body), self.now)
        self.unanswered.append(lost)

        def carry_out() -> None:
            lost.status, _ = self.state.handle(self.now, "POST", "/txn", lost.body)

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
            if launches and (worker.name, worker.token) not in self.signed:
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
        """Ask until the job is over, as users do; what it cost is not to grow with what was asked before."""
        if self.jobs[job_id].told not in ("done", "cancelled"):
            super()._poll(job_id)

    # What tests ask

    def leader(self) -> Host | None:
        """The controller that runs the fleet, if one does."""
        return next((host for host in self.hosts if host.core is not None and host.core.runner.running), None)

    def owner(self, name: str) -> Host | None:
        """The controller that gives a machine's orders, if one does."""
        for host in self.hosts:
            worker = host.core.desk.workers.get(name) if host.core is not None else None
            if worker is not None and worker.token_confirmed and (name, worker.token) in self.signed:
                return host
        return None

    def groups_of(self, name: str) -> list[str]:
        """The records in the state service that a machine is in."""
        return [
            key
            for key, (value, _, _) in self.state.keys.items()
            if key.startswith(GROUP) and name in compact_record.unpack(value)["machines"]
        ]

    def until(self, happened: Callable[[], bool], seconds: float, step_s: float = 0.05) -> bool:
        """Run until something has happened; False if it has not in that time."""
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            if happened():
                return True
            self.run(step_s)
        return happened()

    def copy_to(self, number: int, name: str, report: dict[str, Any]) -> list[int]:
        """Let a copy of a report arrive at a controller; the status of its answer, once it is there."""
        body = msgspec.msgpack.decode(msgspec.msgpack.encode(report))
        answers: list[int] = []
        self._arrive(name, f"c{number}", "POST", "/hello", body, lambda s, _: answers.append(s), lambda _: None)
        return answers

    def all_done(self) -> bool:
        return {job.told for job in self.jobs.values()} <= {"done", "cancelled"}


def meeting(seed: int, hosts: int = 3, group_size: int | None = 2) -> MeetingModel:
    model = MeetingModel(seed, hosts, OperatorSettings(group_size=group_size))
    model.checks()
    model.run(3)
    return model


def settle(model: MeetingModel, seconds: float = 90) -> None:
    """The troubles are over: within this time every job has to be done."""
    model.fate_of = lambda body: None
    model.mute.clear()
    model.calm()
    model.until(model.all_done, seconds, 1.0)
    assert {job_id: job.told for job_id, job in model.jobs.items() if job.told not in ("done", "cancelled")} == {}


def adopts(body: dict[str, Any]) -> bool:
    return any(guard["k"].startswith(ADOPTED) for guard in body["guards"])


def writes_group(body: dict[str, Any]) -> bool:
    return any(change.get("put", "").startswith(GROUP) for change in body["apply"])


def places(body: dict[str, Any]) -> bool:
    return writes_group(body) and any(change.get("put", "").startswith(LIVE) for change in body["apply"])


# Machines up within two seconds that get work at once, while writes lag and the leader ends (row 6)

WRITES = {"adoption": adopts, "placement": places, "any": writes_group}


@pytest.mark.parametrize("seed", FEW_SEEDS)
@pytest.mark.parametrize("who", ["runner", "owner"])
@pytest.mark.parametrize("fate", [LOST, LATE])
@pytest.mark.parametrize("struck", list(WRITES))
def test_fast_machines_get_their_work_once_though_writes_lag_and_the_leader_ends(seed, who, fate, struck):
    model = meeting(seed)
    model.boot_s = (0.3, 1.9)
    luck = random.Random(seed)
    model.fate_of = lambda body: fate if WRITES[struck](body) and luck.random() < 0.6 else None
    for n in range(6):
        model.submit(submission(f"job-{n}", pieces=3, crew="free", hulls=["small"]))
    assert model.until(lambda: any(lost.source and model.workers for lost in model.unanswered), 30)
    up = next(iter(model.workers))
    assert model.cloud.machines[up].boot_us < 2 * SECOND
    model.run(luck.uniform(0, 1.5))
    sender = model.hosts[int(model.unanswered[0].source[1:])]
    ended = sender if who == "owner" else model.leader()
    assert ended is not None
    term = model.hosts[(ended.number + 1) % 3].core.cluster_state.fleet
    model.crash(ended.number, CRASH_BACK_S)
    model.run(8)
    # The meeting: writes were struck before and while another controller took over.
    assert model.unanswered
    if who == "runner":
        leader = model.leader()
        assert leader is not None and leader.core.cluster_state.fleet != term
    busy = {start.machine for starts in model.task_starts.values() for start in starts}
    settle(model)
    assert all(len(model.groups_of(name)) <= 1 for name in model.workers)
    assert busy or model.task_starts
    if fate == LOST:
        assert any(lost.status == 200 for lost in model.unanswered)


@pytest.mark.parametrize("seed", SEEDS)
def test_an_heir_whose_list_lacks_a_machine_takes_it_for_neither_idle_nor_a_stranger(seed):
    model = meeting(seed)
    model.boot_s = (0.3, 1.9)
    model.cloud.lag_us = 6 * SECOND
    model.run_s = lambda key: 15.0
    model.submit(submission("job-0", pieces=6, crew="free", hulls=["small"], expect_s=15.0))
    assert model.until(lambda: bool(model.on), 20)
    leader = model.leader()
    assert leader is not None
    model.crash(leader.number, CRASH_BACK_S)
    assert model.until(lambda: (heir := model.leader()) is not None and heir.core.runner.inventory.listed_us > 0, 10)
    heir = model.leader()
    there = {machine for machines in model.on.values() for machine in machines}
    # The meeting: the heir has read its list, and what works is not in it.
    assert there - set(heir.core.runner.inventory.listed)
    settle(model)
    assert all(len(starts) == 1 for starts in model.task_starts.values())


def test_a_machine_that_only_the_list_shows_is_put_into_no_group():
    model = meeting(4)
    model.boot_s = (0.3, 1.0)
    worker_starts = model._worker_starts

    def deaf_from_the_start(machine: Rented) -> None:
        model.mute[machine.name] = model.now + 12 * SECOND
        worker_starts(machine)

    model._worker_starts = deaf_from_the_start
    model.submit(submission("job-0", pieces=2, crew="free", hulls=["small"]))
    assert model.until(lambda: bool(model.workers), 20)
    name = next(iter(model.workers))
    model.run(5)
    # The meeting: it is listed as running, and has reported to nobody.
    assert model.leader().core.runner.inventory.listed.get(name) == "running" and model.refused_connections
    assert model.groups_of(name) == []
    settle(model)
    assert all(len(model.groups_of(name)) <= 1 for name in model.workers)


# An old report at every controller just as a new leader begins, also of an earlier session or attempt (row 7)


def working(seed: int, run_s: float = 25.0) -> tuple[MeetingModel, str]:
    """Machines at work on arrays, a gang and a service, and one of them that has some of it."""
    model = meeting(seed)
    model.run_s = lambda key: run_s if key[2] else 4.0
    for n in range(4):
        model.submit(submission(f"job-{n}", pieces=3, crew="free", hulls=["small"], expect_s=run_s))
    model.submit(submission("job-4", shape="gang", pieces=3, crew="free", hulls=["small"], expect_s=run_s))
    model.submit(submission("job-5", shape="service", pieces=3, cpus=1.0, crew="free", hulls=["small"]))
    assert model.until(lambda: sum(map(len, model.on.values())) >= 12, 40)
    model.run(1)
    name = max(sorted(model.workers), key=lambda name: len(model.workers[name].tasks))
    return model, name


def end_of_leader(model: MeetingModel, back_s: float = CRASH_BACK_S) -> tuple[int, int]:
    """End the leader, and run until another process leads: the numbers of their controllers."""
    former = model.leader()
    assert former is not None
    process = former.core
    model.crash(former.number, back_s)
    assert model.until(lambda: model.leader() is not None, 20, 0.01)
    heir = model.leader()
    assert heir is not None and heir.core is not process
    return former.number, heir.number


def ready(host: Host) -> bool:
    """Whether a controller is there and takes reports."""
    return host.core is not None and host.core.follower.loaded and host.core.presence.incarnation > 0


def an_old_report(model: MeetingModel, name: str, what: str) -> dict[str, Any]:
    """A copy of a report of the named sort, and whatever makes it an old one."""
    if what == "of tasks that have ended since":
        assert model.until(lambda: any(p["status"] == "running" for p in model.reports[name][-1]["pieces"]), 20)
        report = model.reports[name][-1]
        running = {p["piece"] for p in report["pieces"] if p["status"] == "running"}
        assert model.until(lambda: not running <= {f"{job}/{n}" for job, n in model.on}, 60)
        model.run(2)
    elif what == "of endings that were cleared":
        assert model.until(lambda: any(p["status"] == "ended" for p in model.reports[name][-1]["pieces"]), 30)
        report = model.reports[name][-1]
        assert model.until(lambda: all(p["status"] != "ended" for p in model.reports[name][-1]["pieces"]), 30)
    elif what == "of an earlier session":
        assert model.until(lambda: bool(model.reports[name][-1]["pieces"]), 20)
        report = model.reports[name][-1]
        session = model.workers[name].session
        for number in range(len(model.hosts)):
            model.cut(f"c{number}", name, LEASE_S + 1, False)
        assert model.until(lambda: model.workers[name].session > session, LEASE_S + 3)
        model.run(2)
    elif what == "of an earlier attempt":
        job = "job-4"
        machines = {m for (j, _), ms in model.on.items() if j == job for m in ms}
        assert len(machines) > 1
        report = next(model.reports[m][-1] for m in sorted(machines) if m != min(machines))
        model.cloud.end(model.now, min(machines), "taken")
        attempt = next(p["try"] for p in report["pieces"] if p["piece"].startswith(f"{job}/"))
        assert model.until(lambda: any(s.attempt > attempt for s in model.task_starts[(job, 0)]), 60)
    else:
        assert what == "of a machine that is gone"
        report = model.reports[name][-1]
        model.cloud.end(model.now, name, "taken")
        assert model.until(lambda: not model.groups_of(name), 60)
    newer = model.reports[report["berth"]][-1]
    if what != "of a machine that is gone":
        assert (report["shift"], report["tick"]) < (newer["shift"], newer["tick"])
    return report


OLD = [
    "of tasks that have ended since",
    "of endings that were cleared",
    "of an earlier session",
    "of an earlier attempt",
    "of a machine that is gone",
]


@pytest.mark.parametrize("seed", FEW_SEEDS)
@pytest.mark.parametrize("when", ["as the leader begins", "after it has decided", "at one that has just started"])
@pytest.mark.parametrize("what", OLD)
def test_an_old_report_that_reaches_every_controller_as_a_new_leader_begins_changes_nothing(seed, when, what):
    model, name = working(seed)
    report = an_old_report(model, name, what)
    at_once = when == "at one that has just started"
    if at_once:
        # The machine itself does not come there before the copy does.
        model.cut(f"c{model.leader().number}", report["berth"], 4, False)
    former, heir = end_of_leader(model, back_s=1.0 if at_once else CRASH_BACK_S)
    if when == "after it has decided":
        assert model.until(lambda: model.hosts[heir].core.runner.handover.takeover.decided, 20)
    elif at_once:
        assert model.until(lambda: ready(model.hosts[former]), 20)
    there = [host.number for host in model.hosts if host.core is not None]
    met = [number for number in there if report["berth"] not in model.hosts[number].core.desk.workers]
    answers = {number: model.copy_to(number, report["berth"], report) for number in there}
    model.run(0.01)
    # The meeting: another process leads, and the copy has reached all there are.
    assert model.leader() is not None and model.leader().number == heir
    assert all(answers.values())
    if at_once:
        assert former in met
    for number in set(there) - set(met):
        worker = model.hosts[number].core.desk.workers[report["berth"]]
        if worker.newest > (report["shift"], report["tick"]):
            assert answers[number] == [503]
    for _ in range(3):
        model.run(2)
        for host in model.hosts:
            if host.core is not None:
                model.copy_to(host.number, report["berth"], report)
    model.cancel("job-5")
    settle(model, 120)


@pytest.mark.parametrize("seed", SEEDS)
def test_reports_held_for_the_next_leader_come_in_any_order_and_prove_nothing(seed):
    model, name = working(seed)
    luck = random.Random(seed)
    model.run(6)
    kept = {machine: list(reports) for machine, reports in model.reports.items()}
    _, heir = end_of_leader(model)
    core = model.hosts[heir].core
    late = [(machine, report) for machine in sorted(kept) for report in kept[machine][-12:]]
    luck.shuffle(late)
    refused = 0
    for machine, report in late:
        known = core.desk.workers.get(machine)
        newer = known is not None and known.newest >= (report["shift"], report["tick"])
        before = None if known is None else (known.report, known.token, known.token_confirmed, known.heard_us)
        answer = model.copy_to(heir, machine, report)
        if known is None:
            # It shows no token that this process has given out, so it is no proof.
            met = core.desk.workers.get(machine)
            assert met is None or not met.token_confirmed
        elif newer:
            refused += 1
            assert answer == [503]
            assert (known.report, known.token, known.token_confirmed, known.heard_us) == before
    # The meeting: some of them came after newer ones.
    assert refused > 10
    model.cancel("job-5")
    settle(model, 120)


def last_report_of_the_dead(model: MeetingModel, name: str) -> dict[str, Any]:
    """End a machine without a word, and see its record emptied; the last report that it sent."""
    report = model.reports[name][-1]
    model.cloud.end(model.now, name, "taken")
    assert model.until(lambda: not model.groups_of(name), 60)
    return report


@pytest.mark.parametrize("seed", SEEDS)
def test_copies_keep_no_dead_machine_alive(seed):
    model, name = working(seed)
    model.run(20)
    reports = list(model.reports[name])
    assert len(reports) > 15
    model.cloud.end(model.now, name, "taken")
    end_of_leader(model, back_s=1.0)
    ended_us = model.now
    # Each copy is newer than the one before, and reaches every controller that there is.
    for report in reports:
        for host in model.hosts:
            if host.core is not None:
                model.copy_to(host.number, name, report)
        model.run(1.5)
        if not model.groups_of(name):
            break
    assert model.until(lambda: not model.groups_of(name), 3 * LEASE_S)
    # One lease and four seconds of silence; each controller may have met it once, by the first copy.
    assert model.now - ended_us < (LEASE_S + 4 + LEASE_S) * SECOND
    model.cancel("job-5")
    settle(model, 120)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_token_chosen_above_an_old_one_costs_no_lease(seed):
    model, name = working(seed)
    report = model.reports[name][-1]
    # Owners change now and then, and its token rises.
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
    model.copy_to(0, name, report)
    met = model.hosts[0].core.desk.workers[name]
    # The meeting: it remembers nothing but the copy, and may have chosen a token below the worker's.
    assert met.report is not None or met.redirected_us > 0
    model.run(2 * LEASE_S)
    assert name not in model.workers or model.workers[name].session == session
    model.cancel("job-5")
    settle(model, 120)


# Jobs of two or three tasks whose tasks end far apart across a change of leader (row 11)


@dataclass
class FarApart:
    """A job one of whose tasks has ended, while the others go on for long."""

    model: MeetingModel
    job_id: str
    machine: str
    """Where the first task ran."""


def far_apart(seed: int, tasks: int, before_fold: bool) -> FarApart:
    """Run such a job until its first task has ended: just so, or until that is in the records as well."""
    model = meeting(seed)
    model.run_s = lambda key: 3.0 if key[2] == 0 else 22.0 + 6 * key[2]
    job_id = "job-0"
    # One to a machine, so that its ends are told by several.
    model.submit(submission(job_id, pieces=tasks, cpus=3.0, crew="free", hulls=["small"], expect_s=20.0))
    model.submit(submission("job-1", shape="service", pieces=1, cpus=1.0, crew="free", hulls=["small"]))
    assert model.until(lambda: 0 in model.jobs[job_id].finished, 40)
    if not before_fold:
        assert model.until(lambda: noted(model, job_id, 0), 10)
    machine = model.task_starts[(job_id, 0)][-1].machine
    return FarApart(model, job_id, machine)


def noted(model: MeetingModel, job_id: str, task: int) -> bool:
    """Whether the records in the state service say that a task is done, or that its job is."""
    if f"ashtray/over/{job_id}" in model.state.keys:
        return True
    records = [value for key, (value, _, _) in model.state.keys.items() if key.startswith(GROUP)]
    groups = map(compact_record.unpack, records)
    by_groups = (decode_runs(group.get("done", {}).get(job_id, "")) for group in groups)
    return any(task in tasks for tasks in by_groups)


def frees(job_id: str) -> Callable[[dict[str, Any]], bool]:
    """Whether a transaction says that the first task of a job is done."""

    def says(body: dict[str, Any]) -> bool:
        puts = (c["value"] for c in body["apply"] if c.get("put", "").startswith(GROUP))
        return any(0 in decode_runs(compact_record.unpack(value).get("done", {}).get(job_id, "")) for value in puts)

    return says


@pytest.mark.parametrize("seed", FEW_SEEDS)
@pytest.mark.parametrize("tasks", [2, 3])
@pytest.mark.parametrize("moment", ["before the fold", "the fold's answer is lost", "after the fold"])
@pytest.mark.parametrize("who", ["owner", "all"])
def test_a_task_that_ended_long_before_the_others_is_not_begun_anew_by_a_new_leader(seed, tasks, moment, who):
    far = far_apart(seed, tasks, before_fold=moment != "after the fold")
    model, job_id = far.model, far.job_id
    if moment == "the fold's answer is lost":
        says = frees(job_id)
        model.fate_of = lambda body: LOST if says(body) else None
        assert model.until(lambda: bool(model.unanswered), 10, 0.01)
    owner = model.owner(far.machine)
    assert owner is not None
    if moment != "the fold's answer is lost":
        assert noted(model, job_id, 0) == (moment == "after the fold")
    for host in model.hosts if who == "all" else [owner]:
        model.crash(host.number, CRASH_BACK_S if who != "all" else 0.5 + host.number / 4)
    model.run(0.1)
    model.fate_of = lambda body: None
    assert model.until(lambda: noted(model, job_id, 0), 30)
    # The meeting: whoever notes the end, or reads of it, is not the process that heard of it, and others go on.
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
    far = far_apart(seed, 3, before_fold=False)
    model, job_id = far.model, far.job_id
    leader = model.leader()
    assert leader is not None
    model.cloud.end(model.now, far.machine, "taken")
    model.crash(leader.number, CRASH_BACK_S)
    assert model.until(lambda: not model.groups_of(far.machine), 60)
    # The meeting: the record of where it ran is gone while the others go on.
    assert model.jobs[job_id].finished == {0}
    model.cancel("job-1")
    settle(model)
    assert len(model.task_starts[(job_id, 0)]) == 1


# Workers that can open no connection to any controller, while direct commands still reach them (row 13)


def direct_to(model: MeetingModel, name: str, since_us: int) -> list[list[dict[str, Any]]]:
    return [orders for at_us, to, orders in model.direct if to == name and at_us >= since_us]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("cloud_s", [0, 25])
@pytest.mark.parametrize("handover", [False, True])
def test_machines_that_can_open_no_connection_are_returned_and_renewed_by_nothing(seed, cloud_s, handover):
    model, name = working(seed, run_s=40.0)
    since_us = model.now
    session = model.workers[name].session
    model.mute[name] = model.now + 300 * SECOND
    if cloud_s:
        # Deletion comes first, and while the cloud is out nothing of what is there may run elsewhere.
        model.cloud.down = True
        model.at(cloud_s * SECOND, lambda: setattr(model.cloud, "down", False))
    held = [key for key, task in model.workers[name].tasks.items() if task.on_machine]
    assert held
    renewed_us = model.workers[name].renewed_us
    # One of its jobs is called off: its owner tells it so straight away.
    cancelled = next(key[0] for key in held if key[0] != "job-5")
    model.run(1.0)
    model.cancel(cancelled)
    assert model.until(
        lambda: any(o["verb"] == "kill" for orders in direct_to(model, name, since_us) for o in orders), 5
    )
    if handover:
        owner = model.leader()
        assert owner is not None
        model.crash(owner.number, CRASH_BACK_S)
    # The meeting: no report comes through, and orders do.
    assert model.refused_connections >= 1
    model.run(1.0)
    worker = model.workers[name]
    assert not any(key[0] == cancelled and task.on_machine for key, task in worker.tasks.items())
    assert worker.renewed_us <= renewed_us + SECOND
    # Its own lease ends its tasks, whatever it is told.
    assert model.until(lambda: name not in model.workers or model.workers[name].session > session, LEASE_S + 2)
    orders = len(direct_to(model, name, since_us))
    assert model.until(lambda: name not in model.workers, cloud_s + 3 * LEASE_S)
    assert name in model.cloud.deleted
    # No stream of orders that nobody carries out.
    assert orders < 12 and len(direct_to(model, name, since_us)) - orders < 6
    model.cancel("job-5")
    settle(model, 150)


@pytest.mark.parametrize("seed", SEEDS)
def test_orders_that_reach_a_machine_directly_do_not_make_it_one_that_is_heard(seed):
    model, _ = working(seed, run_s=60.0)
    # One with room, in a fleet that gets no more machines.
    name = min(sorted(model.workers), key=lambda name: len(model.workers[name].tasks))
    model.cloud.capacity = len(model.workers)
    since_us = model.now
    model.mute[name] = model.now + 300 * SECOND
    # Small jobs come all the time, and some of them are given room there.
    model.run_s = lambda key: 60.0 if int(key[0].removeprefix("job-")) < 10 else 1.0
    for n in range(80):
        job = submission(f"job-{10 + n}", pieces=1, cpus=0.5, crew="free", hulls=["small"], expect_s=1.0)
        model.at(n * SECOND // 4, lambda job=job: model.submit(job))
    assert model.until(lambda: name not in model.workers, LEASE_S + 4 + 2)
    assert name in model.cloud.deleted
    # The meeting: orders reached it straight, some of them to begin tasks.
    orders = [order for sent in direct_to(model, name, since_us) for order in sent]
    assert any(order["verb"] == "launch" for order in orders)
    model.cancel("job-5")
    settle(model, 150)


@pytest.mark.parametrize("seed", SEEDS)
def test_machines_that_can_open_no_connection_for_less_than_a_lease_go_on(seed):
    model, name = working(seed)
    model.run(1)
    session, tasks = model.workers[name].session, set(model.workers[name].tasks)
    model.mute[name] = model.now + int(0.55 * LEASE_S * SECOND)
    refused = model.refused_connections
    model.run(LEASE_S)
    assert model.refused_connections > refused
    assert name in model.workers and model.workers[name].session == session
    assert tasks & set(model.workers[name].tasks) or all(model.jobs[key[0]].finished for key in tasks)
    model.cancel("job-5")
    settle(model, 120)


@pytest.mark.parametrize("seed", SEEDS)
def test_half_of_the_machines_can_open_no_connection_and_all_that_was_there_ends_elsewhere(seed):
    model, _ = working(seed)
    names = sorted(model.workers)[::2]
    for name in names:
        model.mute[name] = model.now + 40 * SECOND
    for job_id in ("job-0", "job-5"):
        model.at(2 * SECOND, lambda job_id=job_id: model.cancel(job_id))
    model.run(CANCEL_S + 5)
    assert model.refused_connections > len(names)
    model.run(20)
    settle(model, 150)


# Jobs bound to one zone, arrays too, lose machines (row 15)


@pytest.mark.parametrize("seed", FEW_SEEDS)
@pytest.mark.parametrize("shape", ["batch", "gang", "service"])
@pytest.mark.parametrize("loss", ["taken", "hangs", "cut off", "told to end"])
@pytest.mark.parametrize("bound", ["same_place", "yard"])
def test_jobs_bound_to_one_zone_stay_in_it_when_they_lose_machines(seed, shape, loss, bound):
    model = meeting(seed)
    model.run_s = lambda key: 15.0
    where = {"same_place": True} if bound == "same_place" else {"yard": "b"}
    # Little room: one task fills a machine, so others' machines are wanted as soon as they are free.
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
        strike(model, name, loss)
    # The rest goes on, or lingers, in the old zone meanwhile: what is placed anew must be there as well.
    assert model.until(lambda: all(name not in model.workers for name in lost), 60)
    starts = {task: len(model.task_starts[("job-0", task)]) for task in range(3)}
    assert sum(starts.values()) >= 3
    if shape == "service":
        assert model.until(lambda: sum(job == "job-0" for job, _ in model.on) == 3, 90)
        for n in (0, 1):
            model.cancel(f"job-{n}")
    settle(model, 200)


def strike(model: MeetingModel, name: str, loss: str) -> None:
    """Let a machine be lost in the named way."""
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


def zones_of(victims: Victims) -> list[str]:
    """The zones of the machines on which tasks are to be stopped, by the names that `full_zones` gives them."""
    return sorted(name[len("vm-")] for name in victims)


def full_zones(gang: dict[str, Any], machines: dict[str, int]) -> tuple[Plan, Job]:
    """A fleet of two zones full of idle work, and an urgent gang that waits."""
    cluster_state = ClusterState()
    cluster_state.types = {"small": MachineType("small", 4.0, 0.0, 16.0, 20.0, 1.0, 1.0, 0.4, 5, ("a", "b"))}
    wants = JobSpec("any", "free", "gang", 1, gang.pop("tasks"), 4.0, 0.0, 1.0, "img", 1.0, **gang)
    idle = JobSpec("any", "free", "array", 3, 20, 4.0, 0.0, 1.0, "img", 1.0)
    for version, (job_id, spec) in enumerate({"job-1": wants, "job-2": idle}.items(), 1):
        cluster_state.put(LIVE + job_id, msgspec.to_builtins(JobRecord(spec, "berth-0", version)), version)
    task = 0
    for version, (zone, number) in enumerate(machines.items(), 3):
        records = {}
        for n in range(number):
            # Which zone's work is younger, and so costs less, alternates from machine to machine.
            placed_us = 10 * n + (n % 2 if zone == "a" else 1 - n % 2)
            hold = AllocationRecord("job-2", 1, str(task), "free", 4.0, 0.0, 1.0, placed_us)
            records[f"vm-{zone}{n}"] = MachineRecord("x:1", holds=[hold])
            task += 1
        cluster_state.put(GROUP + zone, msgspec.to_builtins(GroupRecord("small", zone, records)), version)
    plan = Plan(cluster_state, {}, OperatorSettings(), random.Random(1), Limits(16, 60_000, 32_768))
    return plan, cluster_state.jobs["job-1"]


def victims_for(plan: Plan, job: Job) -> Victims:
    right = PreemptionRules(plan.cluster_state, set(), job, plan.excess())
    return choose_victims(plan, job, job.spec.tasks, right, 1000, None)


def test_work_is_stopped_in_one_zone_for_a_gang_that_must_share_one():
    plan, job = full_zones({"tasks": 3, "same_zone": True}, {"a": 3, "b": 4})
    assert zones_of(victims_for(plan, job)) in (["a", "a", "a"], ["b", "b", "b"])
    # In no zone is there enough of it: nothing is stopped for a part.
    plan, job = full_zones({"tasks": 4, "same_zone": True}, {"a": 3, "b": 3})
    assert victims_for(plan, job) == {}


def test_work_is_stopped_in_both_zones_for_a_gang_that_must_be_spread():
    plan, job = full_zones({"tasks": 4, "spread": True}, {"a": 4, "b": 3})
    assert zones_of(victims_for(plan, job)) == ["a", "a", "b", "b"]
    plan, job = full_zones({"tasks": 4, "spread": True}, {"a": 4, "b": 1})
    assert victims_for(plan, job) == {}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("where", ["same_place", "spread"])
def test_an_urgent_gang_of_one_zone_or_of_both_begins_in_a_full_fleet(seed, where):
    model = meeting(seed)
    model.run_s = lambda key: 300.0 if key[0] != "job-9" else 5.0
    model.cloud.capacity = 8
    for n, zone in enumerate("abab"):
        idle = {"urgency": "idle", "expect_s": 300.0, "cpus": 4.0, "crew": "free", "hulls": ["small"], "yard": zone}
        model.at(n * SECOND, lambda n=n, idle=idle: model.submit(submission(f"job-{n}", pieces=3, **idle)))
    assert model.until(lambda: sum(map(len, model.on.values())) == 8, 60)
    zones = Counter(model.cloud.machines[name].zone for machines in model.on.values() for name in machines)
    # The meeting: the fleet is full, of work of both zones.
    assert len(zones) == 2
    urgent = {"urgency": "urgent", "cpus": 4.0, "crew": "free", "hulls": ["small"], where: True}
    model.submit(submission("job-9", shape="gang", pieces=2, **urgent))
    assert model.until(lambda: sum(job == "job-9" for job, _ in model.on) == 2, 25)
    for n in range(4):
        model.cancel(f"job-{n}")
    settle(model)


def to_one_that_has_just_started(model: MeetingModel, name: str, report: dict[str, Any]) -> Host:
    """Let a report reach a machine's owner just after that has started anew, and before the machine does."""
    owner = model.owner(name)
    assert owner is not None
    model.cut(f"c{owner.number}", name, 3, False)
    model.crash(owner.number, 0.3)
    assert model.until(lambda: ready(owner), 10)
    assert model.copy_to(owner.number, name, report) == [200]
    assert owner.core.desk.workers[name].report is not None
    return owner


@pytest.mark.parametrize("seed", SEEDS)
def test_no_run_time_is_learnt_from_what_an_old_report_says(seed):
    model = meeting(seed)
    model.fetch_s = 3.0
    model.run_s = lambda key: 20.0
    model.submit(submission("job-0", pieces=3, crew="free", hulls=["small"], expect_s=20.0))

    def fetches() -> str | None:
        latest = ((name, reports[-1]) for name, reports in sorted(model.reports.items()))
        return next((name for name, last in latest if any(p["status"] == "fetching" for p in last["pieces"])), None)

    assert model.until(lambda: fetches() is not None, 30)
    name = fetches()
    assert name is not None
    report = model.reports[name][-1]
    model.run(14)
    assert {task.state for task in model.workers[name].tasks.values()} == {"running"}
    owner = to_one_that_has_just_started(model, name, report)
    learnt: list[int] = []
    estimates = owner.core.desk.pace.estimates
    ran = estimates.ran
    estimates.ran = lambda job, run_us, machine: (learnt.append(run_us), ran(job, run_us, machine))
    # The next report, which shows that they run, is the machine's own, and so are those that show their ends.
    assert model.until(lambda: model.all_done(), 60)
    assert all(run_us > 15 * SECOND for run_us in learnt), learnt


@pytest.mark.parametrize("seed", SEEDS)
def test_a_notice_of_an_old_report_puts_no_machine_s_end_off(seed):
    model, name = working(seed)
    model.workers[name].notice_us = 30 * SECOND
    sent = len(model.reports[name])
    assert model.until(lambda: len(model.reports[name]) > sent, 5)
    report = model.reports[name][-1]
    model.run(2)
    owner = to_one_that_has_just_started(model, name, report)
    # It arrives 20 s late.
    model.workers[name].notice_us = 10 * SECOND
    assert model.copy_to(owner.number, name, model.workers[name].report()) == [200]
    leaves_us = owner.core.desk._time_left_us(owner.core.desk.workers[name])
    assert leaves_us is not None and leaves_us <= 10 * SECOND


@pytest.mark.parametrize("seed", SEEDS)
def test_an_old_report_of_a_machine_that_is_gone_adds_no_machine(seed):
    model, name = working(seed)
    report = model.reports[name][-1]
    assert report["baton"] > 0
    last_report_of_the_dead(model, name)
    for host in model.hosts:
        model.crash(host.number, 0.3)
    assert model.until(lambda: all(ready(host) for host in model.hosts), 10)
    # The meeting: nobody remembers the machine, and one of them took the copy for a report.
    assert [200] in [model.copy_to(number, name, report) for number in range(len(model.hosts))]
    assert not model.until(lambda: bool(model.groups_of(name)), 10)
    model.cancel("job-5")
    settle(model, 120)


def test_a_job_of_one_zone_is_not_kept_from_the_other_by_one_that_is_bound_to_a_full_zone():
    cluster_state = ClusterState()
    cluster_state.types = {"small": MachineType("small", 4.0, 0.0, 16.0, 20.0, 1.0, 1.0, 0.4, 5, ("a", "b"))}
    spec = JobSpec("any", "free", "array", 2, 3, 4.0, 0.0, 1.0, "img", 1.0, same_zone=True)
    for version, job_id in enumerate(("job-1", "job-2"), 1):
        cluster_state.put(LIVE + job_id, msgspec.to_builtins(JobRecord(spec, "berth-0", version)), version)
    hold = AllocationRecord("job-1", 1, "0", "free", 4.0, 0.0, 1.0, 0)
    full = {"vm-a0": MachineRecord("x:1", holds=[hold])}
    cluster_state.put(GROUP + "a", msgspec.to_builtins(GroupRecord("small", "a", full)), 3)
    cluster_state.put(GROUP + "b", msgspec.to_builtins(GroupRecord("small", "b", {"vm-b0": MachineRecord("x:1")})), 4)
    plan = Plan(cluster_state, {}, OperatorSettings(), random.Random(1), Limits(16, 60_000, 32_768))
    # The first has a task in zone a, where there is no room; the second, which is like it, has none yet.
    assert plan.place(cluster_state.jobs["job-1"], 2, 0.0) == []
    assert [(room.machine.name, n) for room, n in plan.place(cluster_state.jobs["job-2"], 3, 0.0)] == [("vm-b0", 1)]
