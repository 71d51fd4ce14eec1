"""Transactions whose answer is lost, combined with crashes and repeated requests.

The state service may carry out a transaction and lose the answer, or carry it out after newer transactions of the
same controller.  `KINDS` lists each kind of transaction that the project writes, and each is tested in both cases; a
scan of the sources keeps the list complete.  See `docs/design.md`, "Why the rules hold", points 7, 8, 20, 22 and 27.
"""

from __future__ import annotations

import ast
import os
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec
import pytest

from ashtray.config.operators import OperatorSettings
from ashtray.estimates.estimate_store import unpack
from ashtray.estimates.model import WEIGHT, new_row
from ashtray.jobs.model import FINAL_STATE_PREFIX, LIVE_JOB_PREFIX
from ashtray.kernel import Reply
from ashtray.placement import compact_record
from ashtray.placement.records import MachineRecord
from ashtray.placement.state_keys import CONTROLLER, ESTIMATE, FLEET, GROUP, SPLIT, TEAM, TYPES
from ashtray.runs import decode_runs
from ashtray.store.transaction import size_of
from tests.model import SECOND, Model, UserJob, submission
from tests.model import TEAM as LIMITED_TEAM
from tests.test_limits import full_group
from tests.test_model import finish

SOURCES = Path(__file__).resolve().parent.parent / "ashtray"
WIDE = int(os.environ.get("ASHTRAY_MODEL_RUNS", "60")) > 60
"""Whether to run more cases and seeds than the regular checks have time for."""
CRASH_DELAY_US = 20_000
"""How long after a transaction's arrival its sender crashes: before any answer could have come."""
NEVER_S = 10**6


@dataclass(frozen=True)
class Transaction:
    """A request that changes the state service, as it arrives there."""

    source: str
    purpose: str
    builder: str
    """The name of the function that built it: tells two call sites with the same purpose apart."""
    method: str
    path: str
    body: Any

    @property
    def puts(self) -> list[str]:
        """Return the keys that it writes."""
        return [change["put"] for change in (self.body or {}).get("apply", ()) if "put" in change]


@dataclass(frozen=True)
class Kind:
    """The transactions of one call site in the sources: the purpose passed to `commit`, and further conditions."""

    purpose: str
    builder: str = ""
    key: str = ""
    """A prefix of a key that the transaction writes, where two kinds have the same purpose."""
    also: Callable[[Transaction], bool] = lambda transaction: True
    """A further condition."""

    def matches(self, transaction: Transaction) -> bool:
        """Return whether a transaction is of this kind."""
        if transaction.purpose != self.purpose:
            return False
        if self.builder and transaction.builder != self.builder:
            return False
        written = not self.key or any(put.startswith(self.key) for put in transaction.puts)
        return written and self.also(transaction)


KINDS = {
    "sign in": Kind("sign in"),
    "accept": Kind("accept"),
    "cancel": Kind("cancel"),
    "bury": Kind("bury"),
    "place": Kind("place"),
    "preempt": Kind("preempt"),
    "fence of a share": Kind("share", builder="fence"),
    "change of a share": Kind("share", builder="_shares_for"),
    "adopt": Kind("adopt"),
    "fold": Kind("fold"),
    "tidy": Kind("tidy"),
    "split": Kind("split"),
    "machine types": Kind("fleet", key=TYPES),
    "term of the fleet": Kind("fleet", key=FLEET),
    "intent": Kind("intent"),
    "stop": Kind("stop"),
    "return": Kind("return"),
    "remove": Kind("remove"),
    "estimate": Kind("estimate"),
    "open lease": Kind("open_lease"),
    "renew lease": Kind("renew_lease"),
    "close lease": Kind("close_lease"),
}
LEASE_CALLS = ("open_lease", "renew_lease", "close_lease")


# The table of kinds is complete


def method_calls(tree: ast.AST) -> list[ast.Call]:
    return [node for node in ast.walk(tree) if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)]


def written_purposes() -> Counter[str]:
    """Count the calls in the sources that write to the state service, by their purpose."""
    found: Counter[str] = Counter()
    for path in sorted(SOURCES.rglob("*.py")):
        module = path.relative_to(SOURCES).as_posix()
        for call in method_calls(ast.parse(path.read_text())):
            assert isinstance(call.func, ast.Attribute)
            if call.func.attr in LEASE_CALLS:
                found[call.func.attr] += 1
            elif call.func.attr == "commit" and not module.startswith("store/"):
                purpose = call.args[3]
                assert isinstance(purpose, ast.Constant), f"{module}:{call.lineno}: the purpose is not a constant"
                found[str(purpose.value)] += 1
    return found


def test_every_kind_of_transaction_in_the_sources_is_in_the_table() -> None:
    # One entry for each call site: a second call site with a known purpose is a new kind, too.
    assert written_purposes() == Counter(kind.purpose for kind in KINDS.values())


def test_only_the_client_of_the_state_service_sends_transactions() -> None:
    paths = ("/txn", "/leases")
    # The inbox names the paths too, because it ranks the answers by them.
    found = {
        path.relative_to(SOURCES).as_posix()
        for path in SOURCES.rglob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Constant) and isinstance(node.value, str) and node.value.startswith(paths)
    }
    assert found == {"store/client.py", "inbox.py"}


# Lost answers


class Fate(Enum):
    """What happens to a transaction whose answer is lost."""

    AT_ONCE = "carried out at once"
    LATE = "carried out 2 to 12 s late"


class Sender(Enum):
    """What happens to the controller that sent it: in how many seconds after its crash it is back, if it crashes."""

    ALIVE = None
    BACK = 0.3
    GONE = NEVER_S


@dataclass
class UnansweredTransaction:
    """A transaction whose answer was lost."""

    transaction: Transaction
    sent_us: int
    carried_out_us: int | None = None
    status: int = 0
    newer: int = 0
    """How many newer transactions of the same controller were carried out before it."""


@dataclass
class Troubles:
    """Loses the answers to transactions of one kind, and may crash their senders."""

    model: Model
    kind: Kind
    fate: Fate
    sender: Sender = Sender.ALIVE
    skip: int = 0
    """How many transactions of that kind are answered first."""
    count: int = 1
    """How many transactions lose their answer."""
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    armed: bool = True
    """Whether answers are lost now."""
    late_s: tuple[float, float] = (2.0, 12.0)
    """The shortest and the longest delay of a late transaction, in seconds."""
    meetings: list[UnansweredTransaction] = field(default_factory=list)
    before: Callable[[Transaction], None] = lambda transaction: None
    """Called with each transaction before it is carried out."""
    sent: Counter[str] = field(default_factory=Counter)
    """Transactions seen, by purpose."""

    def __post_init__(self) -> None:
        self._purposes: dict[tuple[str, bytes], tuple[str, str]] = {}
        self._arrive = self.model._arrive
        self._start_host = self.model.start_host
        self.model._arrive = self._on_arrival  # type: ignore[method-assign]
        self.model.start_host = self._on_start  # type: ignore[method-assign]
        for host in self.model.hosts:
            self._record_purposes(host)

    def _on_start(self, host: Any) -> None:
        self._start_host(host)
        self._record_purposes(host)

    def _record_purposes(self, host: Any) -> None:
        """Record the purpose and the builder of each transaction that a controller sends."""
        store, source = host.core.store, f"c{host.number}"
        commit = store.commit

        def commit_recorded(
            build: Callable[[], Any], writes: int, urgency: Any, purpose: str, refresh: Any = None
        ) -> Any:
            def build_recorded() -> Any:
                txn = build()
                if txn is not None:
                    builder = getattr(getattr(build, "func", build), "__name__", "")
                    self._purposes[(source, msgspec.msgpack.encode(txn.body()))] = (purpose, builder)
                return txn

            return commit(build_recorded, writes, urgency, purpose, refresh)

        store.commit = commit_recorded

    def _transaction(self, source: str, method: str, path: str, body: Any) -> Transaction | None:
        """Return a request to the state service as a transaction, or None if it writes nothing."""
        if path == "/txn":
            purpose, builder = self._purposes[(source, msgspec.msgpack.encode(body))]
        elif path.startswith("/leases"):
            renews = path.endswith("/renew")
            purpose = "close_lease" if method == "DELETE" else "renew_lease" if renews else "open_lease"
            builder = ""
        else:
            return None
        return Transaction(source, purpose, builder, method, path, body)

    def _on_arrival(
        self, source: str, target: str, method: str, path: str, body: Any, answer: Any, finish: Any
    ) -> None:
        transaction = self._transaction(source, method, path, body) if target == "state" else None
        if transaction is None:
            self._arrive(source, target, method, path, body, answer, finish)
            return
        self.sent[transaction.purpose] += 1
        self.before(transaction)
        if not self._is_selected(transaction):
            if path == "/txn":
                self._count_overtaking(source)
            self._arrive(source, target, method, path, body, answer, finish)
            return
        unanswered = UnansweredTransaction(transaction, self.model.now)
        self.meetings.append(unanswered)
        if self.fate is Fate.AT_ONCE:
            self.carry_out(unanswered)
        else:
            late_us = int(self.rng.uniform(*self.late_s) * SECOND)
            self.model.at(late_us, lambda: self.carry_out(unanswered))
        if self.sender.value is not None:
            number, back_s = int(source[1:]), self.sender.value
            self.model.at(CRASH_DELAY_US, lambda: self.model.crash(number, back_s))

    def _is_selected(self, transaction: Transaction) -> bool:
        """Return whether the answer to a transaction is to be lost."""
        if not self.armed or len(self.meetings) == self.count or not self.kind.matches(transaction):
            return False
        self.skip -= 1
        return self.skip < 0

    def _count_overtaking(self, source: str) -> None:
        """Count a newer transaction of a controller for each of its late ones that it overtakes."""
        for unanswered in self.meetings:
            if unanswered.transaction.source == source and unanswered.carried_out_us is None:
                unanswered.newer += 1

    def carry_out(self, unanswered: UnansweredTransaction) -> None:
        """Let the state service carry out a transaction, and drop the answer."""
        sent = unanswered.transaction

        def lost(status: int, body: Any) -> None:
            unanswered.status = status

        self._arrive(sent.source, "state", sent.method, sent.path, sent.body, lost, lambda reply: None)
        unanswered.carried_out_us = self.model.now

    def check(self) -> None:
        """Check that the case was reached: each transaction was carried out or refused by its guards or its lease."""
        assert self.meetings, f"no such transaction: {dict(self.sent)}"
        for unanswered in self.meetings:
            assert unanswered.carried_out_us is not None
            assert unanswered.status in (200, 400, 404, 409)
            if self.fate is Fate.AT_ONCE:
                assert unanswered.status in (200, 409)
            else:
                assert unanswered.carried_out_us - unanswered.sent_us >= 2 * SECOND
        if self.fate is Fate.LATE and self.sender is Sender.ALIVE and self.kind.purpose != "close_lease":
            assert any(unanswered.newer for unanswered in self.meetings), "no newer transaction overtook a late one"


# The jobs that run while answers are lost


FREE = {"crew": "free", "hulls": ["small"]}


def work(model: Model) -> None:
    """Submit jobs that make controllers send every kind of transaction except a split."""
    jobs = [
        (0.0, submission("job-0", pieces=4, **FREE)),
        (0.1, submission("job-1", pieces=18, cpus=1.0, **FREE)),
        (0.5, submission("job-2", pieces=14, hulls=["small"])),
        (0.6, submission("job-3", pieces=14, hulls=["small"])),
        (1.0, submission("job-4", shape="service", pieces=2, **FREE)),
        (1.5, submission("job-5", pieces=2, waits_on=["job-4"], **FREE)),
        (2.0, submission("job-6", shape="gang", pieces=3, snapshot_every_s=2.0, snapshot_cost_s=0.5, **FREE)),
        (2.5, submission("job-7", pieces=20, cpus=4.0, urgency="idle", expect_s=20.0, **FREE)),
        (16.0, submission("job-9", shape="gang", pieces=4, cpus=4.0, urgency="urgent", **FREE)),
        (18.0, submission("job-10", pieces=5, urgency="urgent")),
    ]
    run_us = model._run_us
    # The gang that takes checkpoints still runs when the reclaim of its machine is announced.
    model._run_us = lambda key: 20 * SECOND if key[0] == "job-6" else run_us(key)  # type: ignore[method-assign]
    for at_s, job in jobs:
        model.at(int(at_s * SECOND), lambda job=job: model.submit(job))
    model.at(13 * SECOND, lambda: model.cancel("job-3"))
    model.at(14 * SECOND, lambda: announce_reclaim(model))
    model.at(15 * SECOND, lambda: model.cancel("job-4"))


def announce_reclaim(model: Model) -> None:
    """Announce, as soon as the gang that takes checkpoints runs, that the cloud reclaims one of its machines."""
    machines = next((where for (job_id, _), where in sorted(model.on.items()) if job_id == "job-6"), None)
    if machines is None:
        model.at(SECOND, lambda: announce_reclaim(model))
    else:
        model.workers[min(machines)].notice_us = 20 * SECOND


def settle(model: Model, seconds: int) -> None:
    """Run until all jobs have ended, but no longer than `seconds`, and then until their records are removed."""
    for _ in range(seconds // 5):
        model.run(5)
        if not any(key.startswith(LIVE_JOB_PREFIX) for key in model.state.keys):
            break
    finish(model, 10)


def stored_observations(model: Model) -> float:
    """Return how many observations of run times the records hold for the class to which all jobs belong."""
    records = [value for key, (value, _, _) in model.state.keys.items() if key.startswith(ESTIMATE)]
    rows = [record["rows"].get("any") for record in records]
    return float(sum(unpack(row)[WEIGHT] for row in rows if row))


def check_nothing_is_left(model: Model) -> None:
    """Check that nothing is left over: leases, presence, jobs, allocations, machines, split marks, shares."""
    state, now = model.state, model.now
    state.expire(now)
    alive = [host for host in model.hosts if host.core is not None]
    assert len(state.leases) == len(alive)
    present = {key for key in state.keys if key.startswith(CONTROLLER)}
    assert present == {f"{CONTROLLER}berth-{host.number}" for host in alive}
    assert not [key for key in state.keys if key.startswith((LIVE_JOB_PREFIX, SPLIT))]
    groups = [compact_record.unpack(value) for key, (value, _, _) in state.keys.items() if key.startswith(GROUP)]
    assert not [
        hold for group in groups for machine in group["machines"].values() for hold in machine.get("holds", ())
    ]
    known = {name for group in groups for name in group["machines"]}
    assert {machine.name for machine in model.cloud.alive()} == known
    shares = state.keys[TEAM + "crew"][0] if TEAM + "crew" in state.keys else {}
    assert sum(cpus for cpus, _ in shares.values()) <= LIMITED_TEAM["cpus_max"] + 1e-6
    assert sum(host.core.fleet_manager.running for host in alive) == 1


PASSED = {"accept": 2, "place": 4, "fold": 6, "renew lease": 15, "adopt": 1, "intent": 1, "change of a share": 1}
"""How many transactions of a frequent kind are answered, times the seed, before the first answer is lost."""
CASES = [
    (name, fate, sender)
    for number, name in enumerate(KINDS)
    for fate_number, fate in enumerate(Fate)
    for sender_number, sender in enumerate(Sender)
    if name not in ("split", "close lease") and (WIDE or number % 6 == 3 * fate_number + sender_number)
]


@pytest.mark.parametrize(("name", "fate", "sender"), CASES, ids=lambda value: getattr(value, "name", value))
def test_no_rule_breaks_and_nothing_is_left_when_an_answer_is_lost(name: str, fate: Fate, sender: Sender) -> None:
    # A sender that takes a lost answer for a refusal repeats the work, or never removes what it has written.
    for seed in range(1, 4 if WIDE else 2):
        model = Model(seed, 3, OperatorSettings(group_size=2))
        model.checks()
        skip = PASSED.get(name, 0) * seed
        troubles = Troubles(model, KINDS[name], fate, sender, skip, rng=random.Random(seed))
        work(model)
        model.run(30)
        settle(model, 90)
        troubles.check()
        check_nothing_is_left(model)


@pytest.mark.parametrize("fate", Fate)
@pytest.mark.parametrize("sender", Sender)
@pytest.mark.parametrize("skip", [0, 2])
def test_a_split_without_an_answer_neither_loses_a_hold_nor_counts_one_twice(
    fate: Fate, sender: Sender, skip: int
) -> None:
    # A large group is split in several transactions.  Otherwise a step without an answer is carried out twice.
    group, jobs = full_group(60, 4)
    model = Model(3, following=(2.0, 5))
    model.limits_fall()
    model.cloud.down = True
    key = GROUP + "small.a.vm-000000"
    model.state.keys[key] = (group, 5, None)
    for job, value in jobs.items():
        model.state.keys[LIVE_JOB_PREFIX + job] = (value, 4, None)
    model.state.revision = 6
    troubles = Troubles(model, KINDS["split"], fate, sender, skip)
    model.run(30)
    troubles.check()
    records = [value for key, (value, _, _) in model.state.keys.items() if key.startswith(GROUP)]
    assert all(size_of(value) <= 2048 for value in records)
    assert not [key for key in model.state.keys if key.startswith(SPLIT)]
    groups = [compact_record.unpack(value)["machines"] for value in records]
    machines = [(name, machine) for group in groups for name, machine in group.items()]
    assert len(machines) == len(dict(machines))
    holds = {name: machine.get("holds", []) for name, machine in machines}
    assert holds == {name: machine.get("holds", []) for name, machine in group["machines"].items()}


@pytest.mark.parametrize("fate", Fate)
@pytest.mark.parametrize("back_s", [0.3, 12.0])
def test_a_lease_whose_end_is_not_confirmed_takes_nothing_from_the_next_process(fate: Fate, back_s: float) -> None:
    # The close of the old lease may be carried out when the next process has signed in with a lease of its own.
    model = Model(2, 3, OperatorSettings(group_size=2))
    model.checks()
    troubles = Troubles(model, KINDS["close lease"], fate)
    work(model)
    model.run(15)
    host = model.hosts[0]
    model.carry_out(host, host.core.stop(*model.clock(host)))
    model.run(0.5)
    model.crash(0, back_s)
    model.run(20)
    settle(model, 90)
    troubles.check()
    check_nothing_is_left(model)


# Learned run times


def count_observations(model: Model) -> list[float]:
    """Return a list that gets the weight of each run time that a controller learns from now on."""
    seen: list[float] = []

    def watch(host: Any) -> None:
        estimates = host.core.estimate_store.estimates
        weigh = estimates._weight

        def counted(job_id: str) -> float:
            seen.append(weigh(job_id))
            return seen[-1]

        estimates._weight = counted

    for host in model.hosts:
        watch(host)
    return seen


def submit_steadily(model: Model, seconds: int) -> None:
    for n in range(seconds // 2):
        model.at(2 * n * SECOND, lambda n=n: model.submit(submission(f"job-{n}", pieces=2, **FREE)))


def check_observations(model: Model, seen: list[float]) -> None:
    """Check that the records hold each observation exactly once."""
    waiting = sum(host.core.estimate_store.estimates.fresh.get("any", new_row())[WEIGHT] for host in model.hosts)
    assert waiting == pytest.approx(0.0, abs=0.01)
    assert stored_observations(model) == pytest.approx(sum(seen), rel=0.001)


@pytest.mark.parametrize("fate", Fate)
@pytest.mark.parametrize(("controllers", "skip"), [(1, 0), (1, 2), (3, 1)])
def test_a_fold_of_run_times_without_an_answer_counts_once(fate: Fate, skip: int, controllers: int) -> None:
    # The changed record is read before the wait for the answer times out, when the fold is not yet noted as
    # unanswered.  Otherwise the fold is sent again and its observations count twice.
    model = Model(1 + skip, controllers, OperatorSettings(group_size=2))
    seen = count_observations(model)
    troubles = Troubles(model, KINDS["estimate"], fate, skip=skip, count=3)
    submit_steadily(model, 60)
    model.run(160)
    troubles.check()
    check_observations(model, seen)


def test_a_fold_of_run_times_that_arrives_as_it_is_repeated_counts_once() -> None:
    # Both transactions guard the same version.  The repeated one also holds what was observed since the late one.
    model = Model(2, 1, OperatorSettings(group_size=2))
    seen = count_observations(model)
    troubles = Troubles(model, KINDS["estimate"], Fate.LATE, late_s=(NEVER_S, NEVER_S))
    repeated: list[UnansweredTransaction] = []

    def arrives_first(transaction: Transaction) -> None:
        if not troubles.meetings or troubles.meetings[0].carried_out_us is not None:
            return
        late = troubles.meetings[0]
        same = transaction.source == late.transaction.source and transaction.puts == late.transaction.puts
        if same and KINDS["estimate"].matches(transaction):
            troubles.carry_out(late)
            repeated.append(late)

    troubles.before = arrives_first
    submit_steadily(model, 90)
    model.run(220)
    assert [unanswered.status for unanswered in repeated] == [200]
    check_observations(model, seen)


# Presence


def model_with_late_sign_in(late_s: float) -> tuple[Model, Troubles]:
    """Return a model in which the first sign-in of a controller is carried out late, after its second one."""
    model = Model(1, 3)
    troubles = Troubles(model, KINDS["sign in"], Fate.LATE, late_s=(late_s, late_s))
    model.run(3)
    return model, troubles


@pytest.mark.parametrize("late_s", [3.5, 4.5, 5.5])
@pytest.mark.parametrize("back_s", [0.05, 0.3, None])
def test_a_late_sign_in_takes_nobodys_presence_for_long(late_s: float, back_s: float | None) -> None:
    # Otherwise the late sign-in attaches the key to the lease of an earlier process and is removed with that lease.
    model, troubles = model_with_late_sign_in(late_s)
    number = int(troubles.meetings[0].transaction.source[1:])
    if back_s is not None:
        model.crash(number, back_s)
    model.run(20)
    troubles.check()
    assert troubles.meetings[0].status == 200
    assert f"{CONTROLLER}berth-{number}" in model.state.keys
    assert all(f"berth-{number}" in host.core.presence.live() for host in model.hosts)


# Acceptance


def submit_and_collect_answers(model: Model, job: dict[str, Any], controller: int) -> list[tuple[int, Any]]:
    """Submit a job to one controller; return a list to which its answers are added when they come."""
    found: list[tuple[int, Any]] = []

    def answered(reply: Reply) -> None:
        found.append((reply.status, reply.body))

    model._ask("POST", "/submissions", job, 5, answered, controller)
    return found


@pytest.mark.parametrize("fate", Fate)
@pytest.mark.parametrize("sender", Sender)
def test_a_job_whose_acceptance_was_answered_503_is_accepted_once(fate: Fate, sender: Sender) -> None:
    model = Model(3, 3)
    model.run(3)
    troubles = Troubles(model, KINDS["accept"], fate, sender)
    job = submission("job-7", shape="service", pieces=1, **FREE)
    model.jobs["job-7"] = UserJob(job)
    first = submit_and_collect_answers(model, job, 0)
    model.run(1.5)
    assert first in ([], [(503, {"error": "not accepted yet"})])
    again = [submit_and_collect_answers(model, job, controller) for controller in (1, 2)]
    model.run(0.6)
    statuses = [status for ((status, _),) in again]
    if fate is Fate.AT_ONCE:
        assert statuses == [200, 200]
    else:
        # One of the two writes the job first; the other one finds it, or has the user ask again.
        assert statuses.count(201) == 1 and set(statuses) <= {201, 200, 503}
    accepted_us = model.state.keys[LIVE_JOB_PREFIX + "job-7"][0]["accepted_us"]
    model.run(15)
    troubles.check()
    assert troubles.meetings[0].status == (200 if fate is Fate.AT_ONCE else 409)
    assert model.state.keys[LIVE_JOB_PREFIX + "job-7"][0]["accepted_us"] == accepted_us


@pytest.mark.parametrize("fate", Fate)
@pytest.mark.parametrize("seed", [1, 2])
def test_a_batch_of_acceptances_without_an_answer_holds_up_nobody(fate: Fate, seed: int) -> None:
    model = Model(seed, 3)
    model.checks()
    model.run(3)
    # The first four transactions are sent at once, with one job each; the fifth one is a batch.
    troubles = Troubles(model, KINDS["accept"], fate, skip=4)
    ask = model._ask
    model._ask = lambda *args: ask(*args[:5], 0) if model.now == 3 * SECOND else ask(*args)  # type: ignore[method-assign]
    for n in range(40):
        model.submit(submission(f"job-{n}", pieces=1, **FREE))
    model.run(5)
    assert len(troubles.meetings[0].transaction.puts) > 3
    assert all(job.accepted_us is not None for job in model.jobs.values())
    # The lost answer explains this many: other transactions do not conflict with the unanswered batch for long.
    assert troubles.sent["accept"] < 40
    model.run(15)
    settle(model, 60)
    troubles.check()
    check_nothing_is_left(model)


# Renting and preemption


@pytest.mark.parametrize("fate", Fate)
@pytest.mark.parametrize("sender", Sender)
def test_an_intent_without_an_answer_is_not_rented_twice(fate: Fate, sender: Sender) -> None:
    model = Model(4, 3)
    model.checks()
    model.run(3)
    troubles = Troubles(model, KINDS["intent"], fate, sender)
    # Each task fills a machine.
    model.submit(submission("job-0", shape="gang", pieces=6, cpus=4.0, **FREE))
    model.run(40)
    troubles.check()
    assert len(model.cloud.machines) == 6
    if fate is Fate.LATE and sender is Sender.ALIVE:
        # The next intent has been written by then.
        assert troubles.meetings[0].status == 409
    settle(model, 90)


def stopped_tasks(model: Model) -> set[tuple[str, int, int]]:
    """Return all tasks that were ever told to stop: job, attempt and number."""
    found = set()
    for _, key, value in model.state.log:
        if key.startswith(GROUP) and value is not None:
            for machine in compact_record.unpack(value[0])["machines"].values():
                for hold in msgspec.convert(machine, MachineRecord).holds:
                    if hold.stop_us >= 0:
                        found |= {(hold.job, hold.attempt, task) for task in decode_runs(hold.tasks)}
    return found


@pytest.mark.parametrize("fate", Fate)
@pytest.mark.parametrize("sender", Sender)
def test_a_preemption_without_an_answer_stops_no_more_than_the_job_needs(fate: Fate, sender: Sender) -> None:
    model = Model(6, 3, OperatorSettings(group_size=2))
    model.checks()
    model.run(3)
    model._run_us = lambda key: 60 * SECOND  # type: ignore[method-assign]
    model.submit(submission("job-0", pieces=12, cpus=4.0, urgency="idle", expect_s=60.0, **FREE))
    model.run(25)
    troubles = Troubles(model, KINDS["preempt"], fate, sender)
    model.submit(submission("job-1", shape="gang", pieces=3, cpus=4.0, urgency="urgent", **FREE))
    model.run(18)
    troubles.check()
    assert len([task for task in model.on if task[0] == "job-1"]) == 3
    assert len(stopped_tasks(model)) == 3


# Cancellations and tokens


def answers_about(model: Model, job_id: str) -> set[str]:
    """Return what the controllers that answer say about a job, asked all at once and within a second."""
    answers: set[str] = set()

    def answered(reply: Reply) -> None:
        if reply.status:
            answers.add(reply.body["status"] if reply.status == 200 else str(reply.status))

    for node in range(len(model.hosts)):
        model._ask("GET", f"/submissions/{job_id}", None, 1, answered, node)
    model.run(1)
    return answers


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_cancellation_that_arrives_after_the_end_does_not_take_it_back(seed: int) -> None:
    model = Model(seed, 3, OperatorSettings(group_size=2))
    model.checks()
    model.run(3)
    # With more than `MAX_DEFERRED_TASKS` tasks a job is done only once its own record says so, not by group records.
    model.submit(submission("job-1", pieces=18, cpus=1.0, **FREE))
    model.submit(submission("job-2", pieces=2, **FREE))
    while {job for job, _ in model.on} != {"job-1", "job-2"}:
        model.run(0.2)
    troubles = Troubles(model, KINDS["cancel"], Fate.LATE, Sender.GONE, count=2, late_s=(30.0, 30.0))
    for controller, job in enumerate(("job-1", "job-2")):
        # The user asks once only, and the controller crashes.
        model.jobs[job].cancel_asked = True
        model._ask("POST", f"/submissions/{job}/abort", None, 5, lambda reply: None, controller)
    model.run(25)
    # Both jobs are done before the late cancellations arrive, and each controller that is left says so.
    assert [model.state.keys[FINAL_STATE_PREFIX + job][0]["status"] for job in model.jobs] == ["done", "done"]
    assert {unanswered.status for unanswered in troubles.meetings} == {0}
    assert {job: answers_about(model, job) for job in model.jobs} == {"job-1": {"done"}, "job-2": {"done"}}
    model.run(25)
    assert {job.told for job in model.jobs.values()} == {"done"}
    troubles.check()
    assert [unanswered.status for unanswered in troubles.meetings] == [409, 409]
    assert [model.state.keys[FINAL_STATE_PREFIX + job][0]["status"] for job in model.jobs] == ["done", "done"]


def tokens_in(group: Any) -> dict[str, int]:
    """Return the token of each machine in a group record."""
    return {name: machine.get("token", 0) for name, machine in compact_record.unpack(group)["machines"].items()}


@pytest.mark.parametrize("fate", Fate)
@pytest.mark.parametrize("sender", [Sender.ALIVE, Sender.BACK])
def test_a_token_written_without_an_answer_leaves_one_owner(fate: Fate, sender: Sender) -> None:
    model = Model(5, 3, OperatorSettings(group_size=2))
    model.checks()
    model.run(2)

    def writes_new_token(transaction: Transaction) -> bool:
        """Return whether a transaction replaces the token of a machine."""
        for change in transaction.body["apply"]:
            known = model.state.keys.get(change.get("put", ""))
            if known is not None and change["put"].startswith(GROUP):
                before = tokens_in(known[0])
                after = tokens_in(change["value"])
                if any(token > before.get(name, token) > 0 for name, token in after.items()):
                    return True
        return False

    # Workers change their controllers all the time, and each controller gives them a new token.
    model.roaming_until = 40 * SECOND
    fold = Kind("fold", also=writes_new_token)
    troubles = Troubles(model, fold, fate, sender, count=1 if sender is Sender.BACK else 6)
    work(model)
    model.run(42)
    settle(model, 90)
    troubles.check()
    check_nothing_is_left(model)


# Transactions of any kind


@dataclass
class RandomLostAnswers(Troubles):
    """Loses the answers to a random share of all transactions until some time."""

    share: float = 0.25
    until_us: int = 0

    def _is_selected(self, transaction: Transaction) -> bool:
        if transaction.path != "/txn" or self.model.now > self.until_us or self.rng.random() > self.share:
            return False
        self.fate = self.rng.choice(list(Fate))
        return True


@pytest.mark.parametrize("seed", range(1, 31 if WIDE else 4))
def test_no_rule_breaks_in_a_storm_of_lost_answers_with_controllers_that_end(seed: int) -> None:
    rng = random.Random(seed)
    model = Model(seed, 3, OperatorSettings(group_size=rng.choice([None, 2])))
    model.checks()
    model.run(2)
    lost_answers = RandomLostAnswers(model, KINDS["place"], Fate.LATE, rng=rng, until_us=42 * SECOND)
    work(model)
    model.roaming_until = rng.choice([0, 40]) * SECOND
    model.all_place_until = rng.choice([0, 40]) * SECOND
    for _ in range(3):
        number, back_s = rng.randrange(3), rng.choice([0.05, 0.3, 6.0])
        model.at(int(rng.uniform(5, 40) * SECOND), lambda number=number, back_s=back_s: model.crash(number, back_s))
    for _ in range(6):
        job = f"job-{rng.choice([0, 1, 2, 6, 7, 9, 10])}"
        model.at(int(rng.uniform(8, 40) * SECOND), lambda job=job: job in model.jobs and model._submit(job))
    for job in rng.sample(["job-0", "job-1", "job-2", "job-6", "job-9"], 2):
        model.at(int(rng.uniform(6, 35) * SECOND), lambda job=job: model.cancel(job))
    model.run(45)
    settle(model, 120)
    assert len(lost_answers.meetings) > 10
    assert all(unanswered.carried_out_us is not None for unanswered in lost_answers.meetings)
    check_nothing_is_left(model)
