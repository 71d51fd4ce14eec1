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

from ashtray.config.operators import Knobs
from ashtray.estimates.keeping import unpack
from ashtray.estimates.model import N
from ashtray.jobs.model import LIVE
from ashtray.placement import lean
from ashtray.placement.picture import CONTROLLER, ESTIMATE, FLEET, GROUP, SPLIT, TEAM, TYPES
from tests.model import SECOND, Model, submission
from tests.model import TEAM as LIMITED_TEAM
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
    """One kind of transaction: the purpose handed to `commit`, and where in the sources that is."""

    module: str
    purpose: str
    builder: str = ""
    key: str = ""
    """A prefix of a key that it writes, where two kinds share their purpose."""

    def matches(self, transaction: Transaction) -> bool:
        """Whether a transaction is of this kind."""
        if transaction.purpose != self.purpose:
            return False
        if self.builder and transaction.builder != self.builder:
            return False
        return not self.key or any(put.startswith(self.key) for put in transaction.puts)


KINDS = {
    "sign in": Kind("peers/presence.py", "sign in"),
    "accept": Kind("jobs/accepting.py", "accept"),
    "cancel": Kind("jobs/service.py", "cancel"),
    "bury": Kind("jobs/service.py", "bury"),
    "place": Kind("placement/placer.py", "place"),
    "preempt": Kind("placement/placer.py", "preempt"),
    "fence of a share": Kind("placement/placer.py", "share", builder="fence"),
    "change of a share": Kind("placement/placer.py", "share", builder="_shares_for"),
    "adopt": Kind("workers/desk.py", "adopt"),
    "fold": Kind("workers/desk.py", "fold"),
    "tidy": Kind("workers/desk.py", "tidy"),
    "split": Kind("workers/splitting.py", "split"),
    "machine types": Kind("fleet/runner.py", "fleet", key=TYPES),
    "term of the fleet": Kind("fleet/runner.py", "fleet", key=FLEET),
    "intent": Kind("fleet/runner.py", "intent"),
    "stop": Kind("fleet/runner.py", "stop"),
    "return": Kind("fleet/runner.py", "return"),
    "remove": Kind("fleet/runner.py", "remove"),
    "estimate": Kind("estimates/keeping.py", "estimate"),
    "open lease": Kind("peers/presence.py", "open_lease"),
    "renew lease": Kind("peers/presence.py", "renew_lease"),
    "close lease": Kind("peers/presence.py", "close_lease"),
}
LEASE_CALLS = ("open_lease", "renew_lease", "close_lease")


# The table is complete


def calls_of(tree: ast.AST) -> list[ast.Call]:
    return [node for node in ast.walk(tree) if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)]


def written_purposes() -> Counter[tuple[str, str]]:
    """The module and the purpose of each call in the sources that changes the state service."""
    found: Counter[tuple[str, str]] = Counter()
    for path in sorted(SOURCES.rglob("*.py")):
        module = path.relative_to(SOURCES).as_posix()
        for call in calls_of(ast.parse(path.read_text())):
            assert isinstance(call.func, ast.Attribute)
            if call.func.attr in LEASE_CALLS:
                found[(module, call.func.attr)] += 1
            elif call.func.attr == "commit" and not module.startswith("store/"):
                purpose = call.args[3]
                assert isinstance(purpose, ast.Constant), f"{module}:{call.lineno}: the purpose is no constant"
                found[(module, str(purpose.value))] += 1
    return found


def test_every_kind_of_transaction_in_the_sources_is_in_the_table() -> None:
    assert written_purposes() == Counter((kind.module, kind.purpose) for kind in KINDS.values())


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
        if not self._strikes(transaction):
            if path == "/txn":
                self._note_newer(source)
            self._arrive(source, target, method, path, body, answer, finish)
            return
        meeting = Meeting(transaction, self.model.now)
        self.meetings.append(meeting)
        if self.fate is Fate.AT_ONCE:
            self._carry_out(meeting)
        else:
            late_us = int(self.rng.uniform(*self.late_s) * SECOND)
            self.model.at(late_us, lambda: self._carry_out(meeting))
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

    def _carry_out(self, meeting: Meeting) -> None:
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
    """How many observations of run times the records hold."""
    records = [value for key, (value, _, _) in model.state.keys.items() if key.startswith(ESTIMATE)]
    rows = [record["rows"].get("") for record in records]
    return float(sum(unpack(row)[N] for row in rows if row))


def check_nothing_is_left(model: Model) -> None:
    """Nothing leaks for ever: leases, presence, jobs, holds, machines, marks of splits, shares."""
    state, now = model.state, model.now
    state.expire(now)
    alive = [host for host in model.hosts if host.core is not None]
    assert len(state.leases) == len(alive)
    present = {key for key in state.keys if key.startswith(CONTROLLER)}
    assert present == {f"{CONTROLLER}berth-{host.number}" for host in alive}
    assert not [key for key in state.keys if key.startswith((LIVE, SPLIT))]
    groups = [lean.unpack(value) for key, (value, _, _) in state.keys.items() if key.startswith(GROUP)]
    assert not [
        hold for group in groups for machine in group["machines"].values() for hold in machine.get("holds", ())
    ]
    known = {name for group in groups for name in group["machines"]}
    assert {machine.name for machine in model.cloud.alive()} == known
    shares = state.keys[TEAM + "crew"][0]
    assert sum(cpus for cpus, _ in shares.values()) <= LIMITED_TEAM["cpus_max"] + 1e-6
    assert sum(host.core.runner.running for host in alive) == 1


PASSED = {"accept": 2, "place": 4, "fold": 6, "renew lease": 15, "adopt": 1, "intent": 1, "change of a share": 1}
"""Of the kinds that are frequent how many pass, for each seed, before one is struck."""
MATRIX = [
    (name, fate, sender)
    for number, name in enumerate(KINDS)
    for turn, fate in enumerate(Fate)
    for which, sender in enumerate(Sender)
    if name not in ("split", "close lease") and (WIDE or (number + turn + which) % 3 == 0)
]


@pytest.mark.parametrize(("name", "fate", "sender"), MATRIX, ids=lambda value: getattr(value, "name", value))
def test_no_rule_breaks_and_nothing_is_left_when_an_answer_is_lost(name: str, fate: Fate, sender: Sender) -> None:
    for seed in range(1, 4 if WIDE else 2):
        model = Model(seed, 3, Knobs(group_size=2))
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
    assert all(lean.size_of(value) <= 2048 for value in records)
    assert not [key for key in model.state.keys if key.startswith(SPLIT)]
    machines = [(name, machine) for value in records for name, machine in lean.unpack(value)["machines"].items()]
    assert len(machines) == len(dict(machines))
    holds = {name: machine.get("holds", []) for name, machine in machines}
    assert holds == {name: machine.get("holds", []) for name, machine in group["machines"].items()}


@pytest.mark.parametrize("fate", Fate)
@pytest.mark.parametrize("back_s", [0.3, 12.0])
def test_a_lease_whose_end_is_not_confirmed_takes_nothing_from_the_next_process(fate: Fate, back_s: float) -> None:
    model = Model(2, 3, Knobs(group_size=2))
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
