"""Transactions whose answer is lost, carried out at once or seconds late, met by crashes and repeated requests.

The state service may carry out a transaction and lose the answer, or carry it out after newer transactions of the
same controller.  Each kind of transaction that the project writes is listed in `KINDS` and meets both; a scan of the
sources keeps the list complete.  See `docs/design.md`, "Why the rules hold", points 7, 8, 20, 22 and 27.
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
from ashtray.controller import Controller
from ashtray.estimates.estimate_store import unpack
from ashtray.estimates.model import WEIGHT, new_row
from ashtray.fleet.messages import parse_types
from ashtray.jobs.model import LIVE, OVER
from ashtray.kernel import Answer, Call, Output, Reply, Send
from ashtray.placement import compact_record
from ashtray.placement.records import MachineRecord
from ashtray.placement.state_keys import CONTROLLER, ESTIMATE, FLEET, GROUP, SPLIT, TEAM, TYPES
from ashtray.runs import decode_runs
from ashtray.store.client import Txn
from tests.fakes.state import State
from tests.model import SECOND, Model, UserJob, settings_for, submission
from tests.model import TEAM as LIMITED_TEAM
from tests.model import TYPES as MACHINE_TYPES
from tests.test_limits import full_group
from tests.test_model import finish

SOURCES = Path(__file__).resolve().parent.parent / "ashtray"
WIDE = int(os.environ.get("ASHTRAY_MODEL_RUNS", "60")) > 60
"""Run more seeds than the checks have time for."""
SOON_US = 20_000
"""How long after a transaction's arrival its sender ends: before any answer could have come."""
NEVER_S = 10**6


@dataclass(frozen=True)
class Transaction:
    """A request that changes the state service, as it arrives there."""

    source: str
    purpose: str
    builder: str
    """The name of the function that made it: tells two call sites of one purpose apart."""
    method: str
    path: str
    body: Any

    @property
    def puts(self) -> list[str]:
        """The keys that it writes."""
        return [change["put"] for change in (self.body or {}).get("apply", ()) if "put" in change]


@dataclass(frozen=True)
class Kind:
    """The transactions of one call site in the sources: the purpose handed to `commit`, and what else tells them."""

    purpose: str
    builder: str = ""
    key: str = ""
    """A prefix of a key that it writes, where two kinds share their purpose."""
    also: Callable[[Transaction], bool] = lambda transaction: True
    """What else must hold."""

    def matches(self, transaction: Transaction) -> bool:
        """Whether a transaction is of this kind."""
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


# The table is complete


def calls_of(tree: ast.AST) -> list[ast.Call]:
    return [node for node in ast.walk(tree) if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)]


def written_purposes() -> Counter[str]:
    """The purpose of each call in the sources that changes the state service."""
    found: Counter[str] = Counter()
    for path in sorted(SOURCES.rglob("*.py")):
        module = path.relative_to(SOURCES).as_posix()
        for call in calls_of(ast.parse(path.read_text())):
            assert isinstance(call.func, ast.Attribute)
            if call.func.attr in LEASE_CALLS:
                found[call.func.attr] += 1
            elif call.func.attr == "commit" and not module.startswith("store/"):
                purpose = call.args[3]
                assert isinstance(purpose, ast.Constant), f"{module}:{call.lineno}: the purpose is no constant"
                found[str(purpose.value)] += 1
    return found


def test_every_kind_of_transaction_in_the_sources_is_in_the_table() -> None:
    # One entry for each call site, wherever it stands: a second one with a known purpose is a new kind, too.
    assert written_purposes() == Counter(kind.purpose for kind in KINDS.values())


def test_only_the_client_of_the_state_service_sends_transactions() -> None:
    paths = ("/txn", "/leases")
    # The inbox names them too, for it ranks their answers.
    found = {
        path.relative_to(SOURCES).as_posix()
        for path in SOURCES.rglob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Constant) and isinstance(node.value, str) and node.value.startswith(paths)
    }
    assert found == {"store/client.py", "inbox.py"}


# Troubles


class Fate(Enum):
    """What becomes of a transaction without an answer."""

    AT_ONCE = "carried out at once"
    LATE = "carried out 2 to 12 s late"


class Sender(Enum):
    """What becomes of the controller that sent it: when it is back, in seconds."""

    ALIVE = None
    BACK = 0.3
    GONE = NEVER_S


@dataclass
class Meeting:
    """A transaction that met its fate."""

    transaction: Transaction
    sent_us: int
    carried_out_us: int | None = None
    status: int = 0
    newer: int = 0
    """How many newer transactions of the same controller were carried out before it."""


@dataclass
class Troubles:
    """Strikes the transactions of one kind: their answers are lost, and their senders may end."""

    model: Model
    kind: Kind
    fate: Fate
    sender: Sender = Sender.ALIVE
    skip: int = 0
    """How many transactions of that kind pass before."""
    count: int = 1
    rng: random.Random = field(default_factory=lambda: random.Random(1))
    armed: bool = True
    late_s: tuple[float, float] = (2.0, 12.0)
    meetings: list[Meeting] = field(default_factory=list)
    before: Callable[[Transaction], None] = lambda transaction: None
    """Told of each transaction before it is carried out."""
    sent: Counter[str] = field(default_factory=Counter)
    """Transactions seen, by purpose."""

    def __post_init__(self) -> None:
        self._known: dict[tuple[str, bytes], tuple[str, str]] = {}
        self._arrive = self.model._arrive
        self._start_host = self.model.start_host
        self.model._arrive = self._on_arrival  # type: ignore[method-assign]
        self.model.start_host = self._on_start  # type: ignore[method-assign]
        for host in self.model.hosts:
            self._watch(host)

    def _on_start(self, host: Any) -> None:
        self._start_host(host)
        self._watch(host)

    def _watch(self, host: Any) -> None:
        """Note for each transaction of a controller what it is for."""
        store, source = host.core.store, f"c{host.number}"
        commit = store.commit

        def noted(build: Callable[[], Any], changes: int, urgency: Any, purpose: str, look: Any = None) -> Any:
            def build_noted() -> Any:
                txn = build()
                if txn is not None:
                    builder = getattr(getattr(build, "func", build), "__name__", "")
                    self._known[(source, msgspec.msgpack.encode(txn.body()))] = (purpose, builder)
                return txn

            return commit(build_noted, changes, urgency, purpose, look)

        store.commit = noted

    def _transaction(self, source: str, method: str, path: str, body: Any) -> Transaction | None:
        """What arrives at the state service, if it changes something there."""
        if path == "/txn":
            purpose, builder = self._known[(source, msgspec.msgpack.encode(body))]
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
        if not self._strikes(transaction):
            if path == "/txn":
                self._note_newer(source)
            self._arrive(source, target, method, path, body, answer, finish)
            return
        meeting = Meeting(transaction, self.model.now)
        self.meetings.append(meeting)
        if self.fate is Fate.AT_ONCE:
            self.carry_out(meeting)
        else:
            late_us = int(self.rng.uniform(*self.late_s) * SECOND)
            self.model.at(late_us, lambda: self.carry_out(meeting))
        if self.sender.value is not None:
            number, back_s = int(source[1:]), self.sender.value
            self.model.at(SOON_US, lambda: self.model.crash(number, back_s))

    def _strikes(self, transaction: Transaction) -> bool:
        """Whether a transaction is one of those that are struck."""
        if not self.armed or len(self.meetings) == self.count or not self.kind.matches(transaction):
            return False
        self.skip -= 1
        return self.skip < 0

    def _note_newer(self, source: str) -> None:
        """A newer transaction of a controller overtakes those that are late."""
        for meeting in self.meetings:
            if meeting.transaction.source == source and meeting.carried_out_us is None:
                meeting.newer += 1

    def carry_out(self, meeting: Meeting) -> None:
        """Let the state service carry out a transaction whose answer nobody gets."""
        sent = meeting.transaction

        def lost(status: int, body: Any) -> None:
            meeting.status = status

        self._arrive(sent.source, "state", sent.method, sent.path, sent.body, lost, lambda reply: None)
        meeting.carried_out_us = self.model.now

    def check(self) -> None:
        """The meeting took place: carried out, or judged late by its guards or its lease, and never answered."""
        assert self.meetings, f"no such transaction: {dict(self.sent)}"
        for meeting in self.meetings:
            assert meeting.carried_out_us is not None
            assert meeting.status in (200, 400, 404, 409)
            if self.fate is Fate.AT_ONCE:
                assert meeting.status in (200, 409)
            else:
                assert meeting.carried_out_us - meeting.sent_us >= 2 * SECOND
        if self.fate is Fate.LATE and self.sender is Sender.ALIVE and self.kind.purpose != "close_lease":
            assert any(meeting.newer for meeting in self.meetings), "it was never overtaken"


# The work during which the troubles come


FREE = {"crew": "free", "hulls": ["small"]}


def work(model: Model) -> None:
    """Jobs that make controllers send every kind of transaction but a split."""
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
    # The gang that can save still runs when its machine is to go.
    model._run_us = lambda key: 20 * SECOND if key[0] == "job-6" else run_us(key)  # type: ignore[method-assign]
    for at_s, job in jobs:
        model.at(int(at_s * SECOND), lambda job=job: model.submit(job))
    model.at(13 * SECOND, lambda: model.cancel("job-3"))
    model.at(14 * SECOND, lambda: spot_notice(model))
    model.at(15 * SECOND, lambda: model.cancel("job-4"))


def spot_notice(model: Model) -> None:
    """The cloud announces, as soon as the gang that can save runs, that it takes one of its machines."""
    machines = next((where for (job_id, _), where in sorted(model.on.items()) if job_id == "job-6"), None)
    if machines is None:
        model.at(SECOND, lambda: spot_notice(model))
    else:
        model.workers[min(machines)].notice_us = 20 * SECOND


def settle(model: Model, seconds: int) -> None:
    """Let all jobs end, and what was written for them be removed."""
    for _ in range(seconds // 5):
        model.run(5)
        if not any(key.startswith(LIVE) for key in model.state.keys):
            break
    finish(model, 10)


def kept_observations(model: Model) -> float:
    """How many observations of run times the records hold, by the level of the class that all jobs are of."""
    records = [value for key, (value, _, _) in model.state.keys.items() if key.startswith(ESTIMATE)]
    rows = [record["rows"].get("any") for record in records]
    return float(sum(unpack(row)[WEIGHT] for row in rows if row))


def check_nothing_is_left(model: Model) -> None:
    """Nothing leaks for ever: leases, presence, jobs, holds, machines, marks of splits, shares."""
    state, now = model.state, model.now
    state.expire(now)
    alive = [host for host in model.hosts if host.core is not None]
    assert len(state.leases) == len(alive)
    present = {key for key in state.keys if key.startswith(CONTROLLER)}
    assert present == {f"{CONTROLLER}berth-{host.number}" for host in alive}
    assert not [key for key in state.keys if key.startswith((LIVE, SPLIT))]
    groups = [compact_record.unpack(value) for key, (value, _, _) in state.keys.items() if key.startswith(GROUP)]
    assert not [
        hold for group in groups for machine in group["machines"].values() for hold in machine.get("holds", ())
    ]
    known = {name for group in groups for name in group["machines"]}
    assert {machine.name for machine in model.cloud.alive()} == known
    shares = state.keys[TEAM + "crew"][0] if TEAM + "crew" in state.keys else {}
    assert sum(cpus for cpus, _ in shares.values()) <= LIMITED_TEAM["cpus_max"] + 1e-6
    assert sum(host.core.runner.running for host in alive) == 1


PASSED = {"accept": 2, "place": 4, "fold": 6, "renew lease": 15, "adopt": 1, "intent": 1, "change of a share": 1}
"""Of the kinds that are frequent how many pass, for each seed, before one is struck."""
MATRIX = [
    (name, fate, sender)
    for number, name in enumerate(KINDS)
    for turn, fate in enumerate(Fate)
    for which, sender in enumerate(Sender)
    if name not in ("split", "close lease") and (WIDE or number % 6 == 3 * turn + which)
]


@pytest.mark.parametrize(("name", "fate", "sender"), MATRIX, ids=lambda value: getattr(value, "name", value))
def test_no_rule_breaks_and_nothing_is_left_when_an_answer_is_lost(name: str, fate: Fate, sender: Sender) -> None:
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
    group, jobs = full_group(60, 4)
    model = Model(3, following=(2.0, 5))
    model.limits_fall()
    model.cloud.down = True
    key = GROUP + "small.a.vm-000000"
    model.state.keys[key] = (group, 5, None)
    for job, value in jobs.items():
        model.state.keys[LIVE + job] = (value, 4, None)
    model.state.revision = 6
    troubles = Troubles(model, KINDS["split"], fate, sender, skip)
    model.run(30)
    troubles.check()
    records = [value for key, (value, _, _) in model.state.keys.items() if key.startswith(GROUP)]
    assert all(compact_record.size_of(value) <= 2048 for value in records)
    assert not [key for key in model.state.keys if key.startswith(SPLIT)]
    groups = [compact_record.unpack(value)["machines"] for value in records]
    machines = [(name, machine) for group in groups for name, machine in group.items()]
    assert len(machines) == len(dict(machines))
    holds = {name: machine.get("holds", []) for name, machine in machines}
    assert holds == {name: machine.get("holds", []) for name, machine in group["machines"].items()}


@pytest.mark.parametrize("fate", Fate)
@pytest.mark.parametrize("back_s", [0.3, 12.0])
def test_a_lease_whose_end_is_not_confirmed_takes_nothing_from_the_next_process(fate: Fate, back_s: float) -> None:
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


# Learnt run times


def count_observations(model: Model) -> list[float]:
    """The weight of each run time that a controller learns from now on."""
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
    """All that was seen is in the records, once."""
    waiting = sum(host.core.estimate_store.estimates.fresh.get("any", new_row())[WEIGHT] for host in model.hosts)
    assert waiting == pytest.approx(0.0, abs=0.01)
    assert kept_observations(model) == pytest.approx(sum(seen), rel=0.001)


@pytest.mark.parametrize("fate", Fate)
@pytest.mark.parametrize(("hosts", "skip"), [(1, 0), (1, 2), (3, 1)])
def test_a_fold_of_run_times_without_an_answer_counts_once(fate: Fate, skip: int, hosts: int) -> None:
    # Found here: the record is read before the answer is given up, so nothing was in doubt yet when it changed.
    model = Model(1 + skip, hosts, OperatorSettings(group_size=2))
    seen = count_observations(model)
    troubles = Troubles(model, KINDS["estimate"], fate, skip=skip, count=3)
    submit_steadily(model, 60)
    model.run(160)
    troubles.check()
    check_observations(model, seen)


def test_a_fold_of_run_times_that_arrives_as_it_is_repeated_counts_once() -> None:
    # Both guard the same version. What the late one held was folded anew with what had come since.
    model = Model(2, 1, OperatorSettings(group_size=2))
    seen = count_observations(model)
    troubles = Troubles(model, KINDS["estimate"], Fate.LATE, late_s=(NEVER_S, NEVER_S))
    repeated: list[Meeting] = []

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
    assert [meeting.status for meeting in repeated] == [200]
    check_observations(model, seen)


# All orders of an acceptance without an answer, its repetition at another controller and a cancellation


JOB = "job-1"
PEER_REQUEST = 1
MOST_TROUBLES = int(os.environ.get("ASHTRAY_ACCEPTANCE_TROUBLES", "1"))
"""How many transactions of one order may lose their answer: with one there are 1,822 states, with two 5,945."""
MOST_LOOKS = int(os.environ.get("ASHTRAY_ACCEPTANCE_LOOKS", "0"))
"""How often each controller looks at the state service of itself, with nobody waiting for it."""


@dataclass
class Node:
    """A controller with the slices that answer users, and nothing that places or reports."""

    core: Controller
    calls: dict[int, Call] = field(default_factory=dict)
    """What it has sent that has no answer yet, by the number of the call."""
    inputs: list[str] = field(default_factory=list)
    """All that it was told, in order: its state follows from it."""
    open_requests: set[int] = field(default_factory=set)
    """The user's requests that it has not answered."""
    looks: int = 0

    def call(self, *prefixes: str) -> int | None:
        """The number of the oldest of its calls whose path begins like this."""
        return next((number for number, call in self.calls.items() if call.path.startswith(prefixes)), None)


class Search:
    """One order of events around one job, with the rules checked at every answer.

    A choice names the next event.  The same choices lead to the same state: each order is explored from its start.
    """

    def __init__(self) -> None:
        self.state = State()
        kinds = msgspec.to_builtins(parse_types({"hulls": MACHINE_TYPES}))
        self.state.handle(0, "POST", "/txn", Txn().put(TYPES, kinds).body())
        self.nodes = [self._node(number) for number in range(2)]
        self.late: list[Any] = []
        """Transactions that are still on their way, though their senders have given them up."""
        self.troubles = 0
        self.asked: dict[int, tuple[str, int]] = {}
        """Requests of the user: what, and when by the number of the choice."""
        self.told: list[tuple[int, str, int, Any]] = []
        self.step = 0
        self.accepted_at: int | None = None
        self.cancelled_at: int | None = None
        self.met: set[str] = set()

    def _node(self, number: int) -> Node:
        core = Controller(settings_for(number, 2), OperatorSettings(), random.Random(number))
        core.kernel.strict = True
        core.presence.incarnation = 1
        node = Node(core)
        core.kernel.advance(SECOND, SECOND)
        for bucket in (core.store.requests.bucket, core.store.changes.bucket):
            bucket.at_us = SECOND
        core.kernel.forever(core.follower.run, 0)
        self._take(node, core.kernel.run())
        while not core.follower.loaded:
            self._serve(node)
        return node

    # What may happen next

    def choices(self) -> list[str]:
        """The events that are possible now."""
        found = []
        for number, node in enumerate(self.nodes):
            if node.call("/txn") is not None:
                found.append(f"commit {number}")
                if self.troubles < MOST_TROUBLES:
                    # Carried out at once without an answer: it arrives before anything else happens.
                    found.append(f"delay {number}")
            if node.call("/peer") is not None:
                found.append(f"tell {number}")
            if node.call("/follow", "/store") is not None:
                found.append(f"read {number}")
            elif not node.calls and (node.open_requests or node.looks < MOST_LOOKS):
                found.append(f"wake {number}")
        found += [f"arrive {n}" for n in range(len(self.late))]
        return found + self._requests()

    def _requests(self) -> list[str]:
        """What the user may ask: once each, in a sensible order."""
        done = {what for what, _ in self.asked.values()}
        found = []
        if "submit 0" not in done:
            return ["submit 0"]
        if "submit 1" not in done:
            found.append("submit 1")
        if self.accepted_at is not None:
            found += [f"abort {n}" for n in range(2) if not done & {"abort 0", "abort 1"}]
        if self.cancelled_at is not None and "again 0" not in done:
            found.append("again 0")
        return found

    def do(self, choice: str) -> None:
        """Let one event happen."""
        self.step += 1
        what, number = choice.split()[0], int(choice.split()[1])
        if what == "arrive":
            status, _ = self.state.handle(0, "POST", "/txn", self.late.pop(number))
            self.met.add(f"late {status}")
        elif what in ("submit", "again", "abort"):
            self._ask(choice, what, self.nodes[number])
        else:
            node = self.nodes[number]
            if what == "wake":
                self._wake(node)
            elif what == "read":
                self._serve(node)
            elif what == "tell":
                self._tell(node, self.nodes[1 - number])
            else:
                self._commit(node, what)
        live, over = LIVE + JOB in self.state.keys, OVER + JOB in self.state.keys
        assert not (live and over), "a job that is over is live again"
        if self.cancelled_at is not None:
            assert over and self.state.keys[OVER + JOB][0]["status"] == "cancelled"

    def _ask(self, choice: str, what: str, node: Node) -> None:
        request = 100 + len(self.asked)
        self.asked[request] = (choice, self.step)
        path = "/submissions" if what != "abort" else f"/submissions/{JOB}/abort"
        body = submission(JOB, hulls=["small"]) if what != "abort" else None
        node.open_requests.add(request)
        now = node.core.kernel.now_us
        self._take(node, node.core.request(now, now, request, "POST", path, body), choice)

    def _wake(self, node: Node) -> None:
        """Time passes until it sends something, or answers."""
        node.looks += not node.open_requests
        waiting = len(node.open_requests)
        while not node.calls and len(node.open_requests) == waiting:
            due = node.core.kernel.next_wake_us()
            assert due is not None
            self._take(node, node.core.wake(due, due), "wake")

    def _serve(self, node: Node) -> None:
        """The state service answers its oldest question."""
        number = node.call("/follow", "/store")
        assert number is not None
        call = node.calls[number]
        self._reply(node, number, *self.state.handle(0, call.method, call.path, call.body))

    def _tell(self, node: Node, peer: Node) -> None:
        """The other controller takes its oldest message, and answers."""
        number = node.call("/peer")
        assert number is not None
        call = node.calls[number]
        now = peer.core.kernel.now_us
        outputs = peer.core.peer_request(now, now, PEER_REQUEST, call.method, call.path, call.body)
        (answer,) = [out for out in outputs if isinstance(out, Answer) and out.request_id == PEER_REQUEST]
        self._take(peer, [out for out in outputs if out is not answer], f"{call.path} {call.body}")
        self._reply(node, number, answer.status, answer.body)

    def _commit(self, node: Node, what: str) -> None:
        number = node.call("/txn")
        assert number is not None
        call = node.calls[number]
        if what == "delay":
            self.late.append(call.body)
            self.troubles += 1
            self._reply(node, number, 0, None)
            return
        self._reply(node, number, *self.state.handle(0, "POST", "/txn", call.body))

    def _reply(self, node: Node, number: int, status: int, body: Any) -> None:
        del node.calls[number]
        now = node.core.kernel.now_us
        self._take(node, node.core.reply(now, now, number, Reply(status, body)), f"{number} {status} {body}")

    def _take(self, node: Node, outputs: list[Output], heard: str = "") -> None:
        if heard:
            node.inputs.append(heard)
        for output in outputs:
            if isinstance(output, Send):
                node.calls[output.call_id] = output.call
            elif isinstance(output, Answer):
                node.open_requests.remove(output.request_id)
                self._answered(output)

    def _answered(self, answer: Answer) -> None:
        """The user is told something: nothing may contradict what was told before the question."""
        choice, asked_at = self.asked[answer.request_id]
        status = (answer.body or {}).get("status")
        self.met.add(f"{choice.split()[0]} {answer.status} {status}")
        assert answer.status in (200, 201, 429, 503)
        if self._after_cancellation(asked_at):
            assert answer.status in (429, 503) or status == "cancelled", f"{choice} told {status}"
        if answer.status in (200, 201):
            self.accepted_at = self.accepted_at or self.step
        if status == "cancelled":
            assert any(asked.startswith("abort") for asked, _ in self.asked.values())
            self.cancelled_at = self.cancelled_at or self.step

    def _after_cancellation(self, asked_at: int) -> bool:
        """Whether the user asked after having been told that the job is cancelled."""
        return self.cancelled_at is not None and asked_at > self.cancelled_at

    def fingerprint(self) -> tuple[Any, ...]:
        """Equal for two orders of events that lead to the same state."""
        keys = tuple(sorted((key, stamp) for key, (_, stamp, _) in self.state.keys.items()))
        nodes = tuple((tuple(node.inputs), node.looks) for node in self.nodes)
        late = tuple(msgspec.msgpack.encode(body) for body in self.late)
        asked = tuple(sorted((what, self._after_cancellation(at)) for what, at in self.asked.values()))
        return keys, nodes, late, asked, self.accepted_at is None, self.cancelled_at is None


def replay(choices: tuple[str, ...]) -> Search:
    """The state after these events."""
    search = Search()
    for choice in choices:
        search.do(choice)
    return search


def test_all_orders_of_an_unanswered_acceptance_its_repetition_and_a_cancellation_keep_the_rules() -> None:
    met: set[str] = set()
    seen: set[Any] = set()
    left: list[tuple[str, ...]] = [()]
    ends = 0
    while left:
        choices = left.pop()
        search = replay(choices)
        while (mark := search.fingerprint()) not in seen:
            seen.add(mark)
            met |= search.met
            following = search.choices()
            if not following:
                ends += 1
                break
            left += [(*choices, choice) for choice in following[1:]]
            choices = (*choices, following[0])
            search.do(following[0])
    assert len(seen) > 1500
    assert ends > 100
    assert {"late 200", "late 409", "again 200 cancelled", "submit 200 cancelled", "submit 503 None"} <= met


# Presence


def signs_in_twice(late_s: float) -> tuple[Model, Troubles]:
    """A controller whose first sign-in is carried out late; it has signed in with its second one since."""
    model = Model(1, 3)
    troubles = Troubles(model, KINDS["sign in"], Fate.LATE, late_s=(late_s, late_s))
    model.run(3)
    return model, troubles


@pytest.mark.parametrize("late_s", [3.5, 4.5, 5.5])
@pytest.mark.parametrize("back_s", [0.05, 0.3, None])
def test_a_late_sign_in_takes_nobodys_presence_for_long(late_s: float, back_s: float | None) -> None:
    # Found here: the late one attached the key to the lease of the process before, and went with that.
    model, troubles = signs_in_twice(late_s)
    number = int(troubles.meetings[0].transaction.source[1:])
    if back_s is not None:
        model.crash(number, back_s)
    model.run(20)
    troubles.check()
    assert troubles.meetings[0].status == 200
    assert f"{CONTROLLER}berth-{number}" in model.state.keys
    assert all(f"berth-{number}" in host.core.presence.live() for host in model.hosts)


# Acceptance


def answers_of(model: Model, job: dict[str, Any], node: int) -> list[tuple[int, Any]]:
    """Submit a job to one controller; its answers are added to the list when they come."""
    found: list[tuple[int, Any]] = []

    def answered(reply: Reply) -> None:
        found.append((reply.status, reply.body))

    model._ask("POST", "/submissions", job, 5, answered, node)
    return found


@pytest.mark.parametrize("fate", Fate)
@pytest.mark.parametrize("sender", Sender)
def test_a_job_whose_acceptance_was_answered_503_is_accepted_once(fate: Fate, sender: Sender) -> None:
    model = Model(3, 3)
    model.run(3)
    troubles = Troubles(model, KINDS["accept"], fate, sender)
    job = submission("job-7", shape="service", pieces=1, **FREE)
    model.jobs["job-7"] = UserJob(job)
    first = answers_of(model, job, 0)
    model.run(1.5)
    assert first in ([], [(503, {"error": "not accepted yet"})])
    again = [answers_of(model, job, node) for node in (1, 2)]
    model.run(0.6)
    statuses = [status for ((status, _),) in again]
    if fate is Fate.AT_ONCE:
        assert statuses == [200, 200]
    else:
        # Whichever writes it down first; the other one finds it, or has the user ask again.
        assert statuses.count(201) == 1 and set(statuses) <= {201, 200, 503}
    accepted_us = model.state.keys[LIVE + "job-7"][0]["accepted_us"]
    model.run(15)
    troubles.check()
    assert troubles.meetings[0].status == (200 if fate is Fate.AT_ONCE else 409)
    assert model.state.keys[LIVE + "job-7"][0]["accepted_us"] == accepted_us


@pytest.mark.parametrize("fate", Fate)
@pytest.mark.parametrize("seed", [1, 2])
def test_a_batch_of_acceptances_without_an_answer_holds_up_nobody(fate: Fate, seed: int) -> None:
    model = Model(seed, 3)
    model.checks()
    model.run(3)
    # The first four go at once, with a job each.
    troubles = Troubles(model, KINDS["accept"], fate, skip=4)
    node = model._ask
    model._ask = lambda *args: node(*args[:5], 0) if model.now == 3 * SECOND else node(*args)  # type: ignore[method-assign]
    for n in range(40):
        model.submit(submission(f"job-{n}", pieces=1, **FREE))
    model.run(5)
    assert len(troubles.meetings[0].transaction.puts) > 3
    assert all(job.accepted_us is not None for job in model.jobs.values())
    # As many transactions as the answers that were lost explain: nobody conflicts with those of the batch for long.
    assert troubles.sent["accept"] < 40
    model.run(15)
    settle(model, 60)
    troubles.check()
    check_nothing_is_left(model)


# Machines rented, and work stopped


@pytest.mark.parametrize("fate", Fate)
@pytest.mark.parametrize("sender", Sender)
def test_an_intent_without_an_answer_is_not_rented_twice(fate: Fate, sender: Sender) -> None:
    model = Model(4, 3)
    model.checks()
    model.run(3)
    troubles = Troubles(model, KINDS["intent"], fate, sender)
    # A machine for each task.
    model.submit(submission("job-0", shape="gang", pieces=6, cpus=4.0, **FREE))
    model.run(40)
    troubles.check()
    assert len(model.cloud.machines) == 6
    if fate is Fate.LATE and sender is Sender.ALIVE:
        # The next one has taken its place.
        assert troubles.meetings[0].status == 409
    settle(model, 90)


def stopped_tasks(model: Model) -> set[tuple[str, int, int]]:
    """All tasks that were ever told to stop: job, attempt and number."""
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


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_cancellation_that_arrives_after_the_end_does_not_take_it_back(seed: int) -> None:
    model = Model(seed, 3, OperatorSettings(group_size=2))
    model.checks()
    model.run(3)
    # More tasks than a job may have that is done by its groups' word.
    model.submit(submission("job-1", pieces=18, cpus=1.0, **FREE))
    model.submit(submission("job-2", pieces=2, **FREE))
    while {job for job, _ in model.on} != {"job-1", "job-2"}:
        model.run(0.2)
    troubles = Troubles(model, KINDS["cancel"], Fate.LATE, Sender.GONE, count=2, late_s=(30.0, 30.0))
    for node, job in enumerate(("job-1", "job-2")):
        # Its user asks once, and the controller ends.
        model.jobs[job].cancel_asked = True
        model._ask("POST", f"/submissions/{job}/abort", None, 5, lambda reply: None, node)
    model.run(25)
    assert {job.told for job in model.jobs.values()} == {"done"}
    model.run(25)
    troubles.check()
    assert [meeting.status for meeting in troubles.meetings] == [409, 409]
    assert [model.state.keys[OVER + job][0]["status"] for job in model.jobs] == ["done", "done"]


def tokens_in(group: Any) -> dict[str, int]:
    """The token of each machine of a group's record."""
    return {name: machine.get("token", 0) for name, machine in compact_record.unpack(group)["machines"].items()}


@pytest.mark.parametrize("fate", Fate)
@pytest.mark.parametrize("sender", [Sender.ALIVE, Sender.BACK])
def test_a_token_written_without_an_answer_leaves_one_owner(fate: Fate, sender: Sender) -> None:
    model = Model(5, 3, OperatorSettings(group_size=2))
    model.checks()
    model.run(2)

    def signs(transaction: Transaction) -> bool:
        """Whether it writes a new token into the record of a machine that has tasks."""
        for change in transaction.body["apply"]:
            known = model.state.keys.get(change.get("put", ""))
            if known is not None and change["put"].startswith(GROUP):
                before = tokens_in(known[0])
                after = tokens_in(change["value"])
                if any(token > before.get(name, token) > 0 for name, token in after.items()):
                    return True
        return False

    # Workers change their controllers all the time, each of which gives them a token of its own.
    model.roaming_until = 40 * SECOND
    fold = Kind("fold", also=signs)
    troubles = Troubles(model, fold, fate, sender, count=1 if sender is Sender.BACK else 6)
    work(model)
    model.run(42)
    settle(model, 90)
    troubles.check()
    check_nothing_is_left(model)


# Any transactions


@dataclass
class Storm(Troubles):
    """Strikes a share of all transactions for a while, whatever they are for."""

    share: float = 0.25
    until_us: int = 0

    def _strikes(self, transaction: Transaction) -> bool:
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
    storm = Storm(model, KINDS["place"], Fate.LATE, rng=rng, until_us=42 * SECOND)
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
    assert len(storm.meetings) > 10
    assert all(meeting.carried_out_us is not None for meeting in storm.meetings)
    check_nothing_is_left(model)
