"""Transactions that are executed seconds late, after newer ones of the same sender, or without an answer.

The tests cover what protects each kind of transaction when it arrives late, keys that are absent both when it is sent
and when it arrives, and a fold (the transaction that writes what reports said into group records) that frees a task
which its sender has started again in the machine's next session.
"""

from __future__ import annotations

import ast
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec
import pytest

from ashtray.config.operators import OperatorSettings
from ashtray.jobs.model import FINAL_STATE_PREFIX, LIVE_JOB_PREFIX
from ashtray.kernel import Reply
from ashtray.placement import compact_record
from ashtray.placement.records import MachineRecord
from ashtray.placement.state_keys import ADOPTED, CONTROLLER, FLEET, GROUP, SPLIT
from ashtray.runs import decode_runs
from ashtray.store.transaction import Txn
from ashtray.workers.folding import end_job
from tests.fakes.worker import Key
from tests.interleavings import (
    ELSEWHERE,
    Action,
    Chooser,
    Message,
    Play,
    explore,
    submit_at,
    world,
)
from tests.interleavings import JOB as SEARCHED_JOB
from tests.meeting_model import some
from tests.model import LEASE_S, SECOND, Model, RuleBroken, UserJob, submission
from tests.test_meetings_transactions import (
    KINDS,
    NEVER_S,
    Fate,
    Kind,
    Transaction,
    Troubles,
    check_nothing_is_left,
    settle,
    work,
)

JOB = "job-0"
SOON_S = 0.01
"""How many seconds after the arrival of a fold the lease of its machine ends."""


class AllocationChecks:
    """Checks that each task on a machine has its allocation in the machine's record (safety point 1)."""

    def __init__(self, model: Model) -> None:
        self.model = model
        self.checked = 0
        self._started, self._handle = model._started, model.state.handle
        model._started = self._on_start  # type: ignore[method-assign]
        model.state.handle = self._on_request  # type: ignore[method-assign]

    def _on_start(self, machine: str, key: Key) -> None:
        self._started(machine, key)
        self._check(machine, key)

    def _on_request(self, now_us: int, method: str, path: str, body: Any) -> tuple[int, Any]:
        status, answer = self._handle(now_us, method, path, body)
        if path == "/txn" and status == 200:
            for machines in list(self.model.on.values()):
                for machine, key in machines.items():
                    self._check(machine, key)
        return status, answer

    def _check(self, machine: str, key: Key) -> None:
        self.checked += 1
        job, attempt, task = key
        if self.model.jobs[job].cancel_asked:
            return
        for allocation in allocations_of(self.model, machine):
            if (allocation.job, allocation.attempt) == (job, attempt) and task in decode_runs(allocation.tasks):
                return
        raise RuleBroken(f"freed though it is there: {job}/{task}, attempt {attempt}, on {machine}")


def allocations_of(model: Model, machine: str) -> list[Any]:
    """Return the allocations in a machine's record; none if there is no record."""
    for key, (value, _, _) in model.state.keys.items():
        if key.startswith(GROUP):
            record = compact_record.unpack(value)["machines"].get(machine)
            if record is not None:
                return list(msgspec.convert(record, MachineRecord).holds)
    return []


class Anew(Enum):
    """Why a machine starts over without its tasks."""

    LEASE = "its lease ended"
    RESTART = "it was started anew"


class MachineStartsOver:
    """A task is stopped, the fold that frees it gets no answer, and the machine starts over without its tasks."""

    def __init__(self, model: Model, fate: Fate) -> None:
        self.model = model
        self.allocated_at_report = False
        """Whether the sender's cluster state still had the allocation when the machine reported anew."""
        self.allocation_checks = AllocationChecks(model)
        self.troubles = Troubles(model, Kind("fold", also=self._frees), fate, armed=False, late_s=(5.0, 8.0))
        self.newer = submission("job-2", pieces=1, crew="free", hulls=["big"])
        model.jobs["job-2"] = UserJob(self.newer)
        model._run_us = lambda key: 600 * SECOND  # type: ignore[method-assign]
        model.checks()
        model.run(3)
        # Two machines: one loses its job, so that the task can be placed there next.
        for n in range(2):
            model.submit(submission(f"job-{n}", pieces=1, cpus=4.0, crew="free", hulls=["small"]))
        while len(model.on) < 2:
            model.run(0.2)
        model.run(4)
        model.cancel("job-1")
        model.run(2)
        ((self.machine, self.key),) = model.on[(JOB, 0)].items()
        self.troubles.armed = True

    def _frees(self, transaction: Transaction) -> bool:
        """Return whether a transaction frees the allocations on the task's machine."""
        for change in transaction.body["apply"]:
            if change.get("put", "").startswith(GROUP):
                machines = compact_record.unpack(change["value"])["machines"]
                if self.machine in machines and not machines[self.machine].get("holds"):
                    return True
        return False

    def play(self, anew: Anew) -> None:
        """End the task, and let the machine start over as soon as the fold is on its way."""
        worker = self.model.workers[self.machine]
        # The effect of a kill that was delayed on its way.
        worker._end(worker.tasks[self.key], "stopped")
        while not self.troubles.meetings:
            self.model.run(SOON_S / 10)
        self.model.run(SOON_S)
        if anew is Anew.LEASE:
            # All answers to its reports were lost for the length of a lease.
            worker.renewed_us = self.model.now - int(LEASE_S * SECOND) - 1
            worker.advance(self.model.now)
        else:
            # The machine restarted and has sent as many reports as before, which other controllers did not answer.
            worker.tasks.clear()
            worker.token = 0
        sender = self.model.hosts[int(self.troubles.meetings[0].transaction.source[1:])]
        allocations = sender.core.cluster_state.machines[self.machine].holds
        self.allocated_at_report = any(allocation.job == JOB for allocation in allocations)
        self.model.copy_arrives(self.machine, sender.number, worker.report())
        # This makes the sender commit a newer transaction.
        self.model._ask("POST", "/submissions", self.newer, 5, lambda reply: None, sender.number)


@pytest.mark.parametrize("hosts", [3, 5, 7])
@pytest.mark.parametrize(("fate", "anew"), [(Fate.AT_ONCE, Anew.LEASE), *((Fate.LATE, anew) for anew in Anew)])
@pytest.mark.parametrize("seed", some([1], range(2, 8)))
def test_a_fold_without_an_answer_frees_no_task_that_its_sender_has_started_again(fate, anew, hosts, seed):
    # Otherwise order and fold, which carry the same token and the same version of the record, would both be accepted.
    model = Model(seed, hosts, OperatorSettings(group_size=1))
    case = MachineStartsOver(model, fate)
    case.play(anew)
    assert case.allocated_at_report
    model.run(20)
    case.troubles.check()
    assert case.allocation_checks.checked >= 5
    assert len(model.on[(JOB, 0)]) == 1
    if fate is Fate.AT_ONCE:
        assert case.troubles.meetings[0].status == 200


# What protects each kind of transaction when it is executed late


class Guard(Enum):
    """Why a transaction that is executed late or twice changes nothing that it must not change."""

    VERSION = "it guards a version that it raises, or a record that it removes and that never comes back"
    FINAL_STATE = "the final state that it guards as absent is kept for ever"
    TERM = "it guards the version of the fleet's key, which each term raises"
    LEASE = "it attaches its key to a lease that is gone, or that is its sender's"
    TYPE_KEY = "it guards and raises the version of the type's key, which is never removed"


LATE_TESTS = {"test_no_transaction_could_be_carried_out_a_second_time", "test_each_record_that_is_written_is_guarded"}
GUARDS: dict[str, tuple[set[Guard], str]] = {
    "sign in": ({Guard.LEASE}, "test_a_late_sign_in_takes_nobodys_presence_for_long"),
    "accept": ({Guard.FINAL_STATE}, "test_no_order_of_a_late_acceptance_and_the_job_s_end_revives_it"),
    "cancel": ({Guard.VERSION}, ""),
    "bury": ({Guard.VERSION}, ""),
    "place": ({Guard.VERSION}, "test_each_job_of_a_shared_placement_is_placed_once"),
    "preempt": ({Guard.VERSION}, "test_a_preemption_without_an_answer_stops_no_more_than_the_job_needs"),
    "share": ({Guard.VERSION}, ""),
    "adopt": ({Guard.TYPE_KEY}, "test_a_machine_that_reports_is_not_given_up_while_its_adoption_is_late"),
    "fold": ({Guard.VERSION}, "test_a_fold_without_an_answer_frees_no_task_that_its_sender_has_started_again"),
    "tidy": ({Guard.VERSION}, "test_each_job_that_ends_in_a_shared_transaction_is_done_everywhere_at_once"),
    "split": ({Guard.VERSION}, "test_a_split_without_an_answer_neither_loses_a_hold_nor_counts_one_twice"),
    "fleet": ({Guard.VERSION, Guard.LEASE}, "test_a_late_taking_of_the_fleet_gives_nobody_a_term_it_does_not_know"),
    "intent": ({Guard.VERSION, Guard.TERM}, "test_an_intent_without_an_answer_is_not_rented_twice"),
    "stop": ({Guard.VERSION}, ""),
    "return": ({Guard.VERSION, Guard.TERM}, ""),
    "remove": ({Guard.VERSION}, ""),
    "estimate": ({Guard.VERSION}, "test_a_fold_of_run_times_without_an_answer_counts_once"),
}
"""By purpose: what protects a late transaction, and its own test beside `LATE_TESTS`, if there is one."""


def test_the_table_of_guards_is_complete_and_names_tests_that_exist() -> None:
    purposes = {kind.purpose for kind in KINDS.values()} - {"open_lease", "renew_lease", "close_lease"}
    assert GUARDS.keys() == purposes
    modules = sorted(Path(__file__).parent.glob("test_meetings_*.py"))
    trees = [ast.parse(module.read_text()) for module in modules]
    tests = {node.name for tree in trees for node in ast.walk(tree) if isinstance(node, ast.FunctionDef)}
    assert LATE_TESTS | {test for _, test in GUARDS.values() if test} <= tests


@dataclass
class SentTransaction:
    """A transaction that reached the state service."""

    purpose: str
    body: Any
    revision: int
    """The revision of the state service when the transaction arrived."""
    status: int = 0


class TransactionLog:
    """Records all transactions of a model, and which of them could be executed a second time later."""

    def __init__(self, model: Model) -> None:
        self.model = model
        self.sent: list[SentTransaction] = []
        self.repeatable: list[SentTransaction] = []
        """The transactions whose guards and leases were valid again after other changes."""
        self.check_count = 0
        self.troubles = Troubles(model, Kind("none"), Fate.LATE, armed=False)
        self.troubles.before = self._record_purpose
        self._handle = model.state.handle
        model.state.handle = self._on_request  # type: ignore[method-assign]
        self._purpose = ""
        self._check_regularly()

    def _record_purpose(self, transaction: Transaction) -> None:
        self._purpose = transaction.purpose

    def _on_request(self, now_us: int, method: str, path: str, body: Any) -> tuple[int, Any]:
        revision = self.model.state.revision
        status, answer = self._handle(now_us, method, path, body)
        if path == "/txn" and body["apply"]:
            self.sent.append(SentTransaction(self._purpose, body, revision, status))
        if path == "/txn" or method == "DELETE":
            self._check()
        return status, answer

    def _check_regularly(self) -> None:
        """Check every half second as well, because leases also expire between requests."""
        self.model.state.expire(self.model.now)
        self._check()
        self.model.at(SECOND // 2, self._check_regularly)

    def _check(self) -> None:
        self.check_count += 1
        state = self.model.state
        for sent in self.sent:
            # A transaction refused for another reason may be retried while nothing else has changed.
            late = sent.status == 200 or state.revision > sent.revision
            if late and self._holds(sent.body) and sent not in self.repeatable:
                self.repeatable.append(sent)

    def _holds(self, body: Any) -> bool:
        state = self.model.state
        leases = [change["permit"] for change in body["apply"] if change.get("permit") is not None]
        if not all(lease in state.leases for lease in leases):
            return False
        return all(state.keys.get(guard["k"], (None, 0))[1] == guard["stamp"] for guard in body["guards"])


def play_work(hosts: int, seed: int) -> TransactionLog:
    """Run the usual work with lost answers and crashes of two controllers, and return its transactions."""
    model = Model(seed, hosts, OperatorSettings(group_size=2))
    transaction_log = TransactionLog(model)
    model.checks()
    work(model)
    model.lose_answers(0.2, 25.0)
    model.at(8 * SECOND, lambda: model.crash(0, 4.0))
    model.at(16 * SECOND, lambda: model.crash(1, 0.3))
    model.run(30)
    settle(model, 90)
    check_nothing_is_left(model)
    return transaction_log


@pytest.fixture(scope="module", params=[3, 5, 7])
def transaction_log(request: pytest.FixtureRequest) -> TransactionLog:
    """The transactions of a run of the usual work, with 3, 5 and 7 controllers."""
    return play_work(request.param, request.param)


def test_no_transaction_could_be_carried_out_a_second_time(transaction_log: TransactionLog) -> None:
    """The guards of an executed or refused transaction never hold again after another change."""
    assert transaction_log.model.happened["answer lost"] > 10
    assert transaction_log.check_count > 300
    assert {sent.purpose for sent in transaction_log.sent} >= GUARDS.keys() - {"split", "stop"}
    # Only a presence record may be written again, under the lease of its own process.
    assert {sent.purpose for sent in transaction_log.repeatable} <= {"sign in"}


def test_each_record_that_is_written_is_guarded(transaction_log: TransactionLog) -> None:
    """The guard is the version of the record itself or of the record that it replaces."""
    assert len(transaction_log.sent) > 150
    for sent in transaction_log.sent:
        guards = {guard["k"]: guard["stamp"] for guard in sent.body["guards"]}
        changed = [change.get("put") or change["remove"] for change in sent.body["apply"]]
        for key in changed:
            if key.startswith(CONTROLLER):
                assert sent.purpose == "sign in"
            elif key.startswith(FINAL_STATE_PREFIX):
                assert guards.get(LIVE_JOB_PREFIX + key.removeprefix(FINAL_STATE_PREFIX), 0), sent
            else:
                assert key in guards, sent
                assert guards[key] or protected_while_absent(key, guards, sent.body["apply"]), sent


def protected_while_absent(key: str, guards: dict[str, int], apply: list[Any]) -> bool:
    """Return whether a guard other than its absence keeps a key from being written again after its removal."""
    if key.startswith(LIVE_JOB_PREFIX):
        return guards.get(FINAL_STATE_PREFIX + key.removeprefix(LIVE_JOB_PREFIX)) == 0
    if key.startswith(GROUP):
        other_keys = [other for other in guards if other != key and other.startswith((ADOPTED, GROUP))]
        return any(other in [change.get("put") for change in apply] for other in other_keys)
    if key == FLEET:
        return all(change.get("permit") is not None for change in apply)
    # Keys of all other kinds but splits are never removed.
    return not key.startswith(SPLIT)


# The record of a job is absent before its acceptance and again after its end


class LatePlay(Play):
    """A search in which some transactions get no answer and are executed at once or at any later moment."""

    max_lost = 1

    def __init__(self, *args: Any) -> None:
        self.lost = 0
        self.cases_seen: set[str] = set()
        super().__init__(*args)

    def _steps(self) -> list[Any]:
        steps = super()._steps()
        if self._read_last is None and self.lost < self.max_lost:
            own = [m for m in self.pending if m.node != ELSEWHERE and not m.is_read]
            steps += [lambda m=m: self._lose(m) for m in own]
        return steps

    def _lose(self, message: Message) -> None:
        """Let the sender give up on a transaction that was executed or may still be executed."""
        self.lost += 1
        self.cases_seen.add("late" if message.reply is None else f"lost {message.reply.status}")
        self.pending.remove(message)
        if message.reply is None:
            self.pending.append(Message(ELSEWHERE, -1000 * message.node - message.call_id, message.call))
        message.reply, message.executed = Reply(0), 0
        self._deliver(message)

    def _execute(self, message: Message) -> None:
        super()._execute(message)
        is_live, is_over = (
            LIVE_JOB_PREFIX + SEARCHED_JOB in self.state.keys,
            FINAL_STATE_PREFIX + SEARCHED_JOB in self.state.keys,
        )
        assert not (is_live and is_over), "a job that is over is live again"

    def _mark(self) -> Any:
        return hash((super()._mark(), self.lost))


def end_by(node: int) -> Action:
    """Return the action by which a controller, once it has read the job, ends it as done and moves its record."""

    def has_read_job(play: Play) -> bool:
        return SEARCHED_JOB in play.nodes[node].core.cluster_state.jobs

    def end(play: Play) -> None:
        def build(core: Any) -> Txn | None:
            job = core.cluster_state.jobs.get(SEARCHED_JOB)
            return None if job is None else end_job(Txn(), job, "done", job.spec.tasks, 0)

        play.commit(node, build)

    return Action("end", node, end, has_read_job)


@pytest.mark.parametrize(("resubmitter", "ender", "max_lost"), [(1, 1, 1), (1, 0, 1), *some([], [(1, 1, 2)])])
def test_no_order_of_a_late_acceptance_and_the_job_s_end_revives_it(resubmitter, ender, max_lost):
    plays: list[LatePlay] = []

    def begin(chooser: Chooser) -> Play:
        actions = [submit_at(0), submit_at(resubmitter), end_by(ender)]
        play = LatePlay(world(), 2, actions, chooser)
        play.max_lost = max_lost
        plays.append(play)
        return play

    found = explore(begin)
    cases_seen = set().union(*(play.cases_seen for play in plays))
    assert {"late", "lost 200", "lost 409"} <= cases_seen
    assert found.schedules > 50
    assert any("submit: done" in ending for ending in found.endings)


# The key of the fleet lease is absent after its holder has ended


@pytest.mark.parametrize("hosts", [3, 5, 7])
def test_a_late_taking_of_the_fleet_gives_nobody_a_term_it_does_not_know(hosts: int) -> None:
    model = Model(3, hosts, OperatorSettings(group_size=2))
    model.checks()
    model.run(4)
    # Delay the first write and the retry of the first successor; the second successor takes the key meanwhile.
    troubles = Troubles(model, KINDS["term of the fleet"], Fate.LATE, count=2, late_s=(NEVER_S, NEVER_S))
    stop_controller(model, leader_of(model))
    while model.now < 30 * SECOND and not (len(troubles.meetings) == 2 and leader_of(model) is not None):
        model.run(0.05)
    second = leader_of(model)
    first = int(troubles.meetings[0].transaction.source[1:])
    assert second is not None and second != first
    stop_controller(model, second)
    # The key is absent again, as it was when the delayed transaction was sent.
    while FLEET in model.state.keys and model.now < 60 * SECOND:
        model.run(0.001)
    assert FLEET not in model.state.keys
    troubles.carry_out(troubles.meetings[0])
    assert troubles.meetings[0].status == 200
    for _ in range(100):
        model.run(0.05)
        # A controller that has given up its lease commits nothing under its term, although it may not know yet.
        leases = [host.core.fleet_manager.lease for host in model.hosts if host.core is not None]
        assert sum(lease.running and lease.holds() for lease in leases) <= 1
    core = model.hosts[leader_of(model)].core
    assert core.fleet_manager.lease.term == model.state.keys[FLEET][1]
    # The second delayed transaction of the same sender finds the key taken.
    troubles.carry_out(troubles.meetings[1])
    assert troubles.meetings[1].status == 409
    model.submit(submission("job-0", pieces=4, crew="free", hulls=["small"]))
    settle(model, 60)
    check_nothing_is_left(model)


def leader_of(model: Model) -> int | None:
    """Return the fleet leader, or None."""
    running = [host.number for host in model.hosts if host.core is not None and host.core.fleet_manager.running]
    return running[0] if running else None


def stop_controller(model: Model, number: int | None) -> None:
    """Tell a controller to end: it gives up its lease, ends half a second later and restarts after 3 s."""
    assert number is not None
    host = model.hosts[number]
    model.carry_out(host, host.core.stop(*model.clock(host)))
    model.at(SECOND // 2, lambda: model.crash(number, 3.0))
