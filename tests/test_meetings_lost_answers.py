"""Transactions that are carried out at once, whose answer is lost, and that others read before the sender knows.

The sender's second try meets its own first, others go on from what it wrote, and the sender is refused, hands over or
ends meanwhile.  Covers every kind of transaction, and those in which several jobs share one.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import pytest

from ashtray.config.operators import OperatorSettings
from ashtray.jobs.model import LIVE, OVER
from ashtray.kernel import Reply
from tests.meeting_model import some
from tests.model import SECOND, Model, UserJob, submission
from tests.test_meetings_transactions import (
    FREE,
    KINDS,
    PASSED,
    Fate,
    Kind,
    Transaction,
    Troubles,
    check_nothing_is_left,
    settle,
    work,
)

READ_US = 1_100_000
"""By then all others have read what was written; the sender waits for its answer still."""


class Then(Enum):
    """What becomes of the sender once the transaction has been carried out."""

    GOES_ON = "goes on"
    REFUSED = "is refused by the state service alone"
    HANDS_OVER = "is told to end, and hands over"
    ENDS = "ends and is back at once"


@dataclass
class LostAnswers:
    """Lets the answers to some transactions of one kind get lost, and something become of their senders."""

    model: Model
    kind: Kind
    then: Then = Then.GOES_ON
    skip: int = 0
    count: int = 1
    troubles: Troubles = field(init=False)
    read_by_others: list[bool] = field(default_factory=list)
    """For each of them whether all other controllers had read it before its sender gave it up."""

    def __post_init__(self) -> None:
        self.troubles = Troubles(self.model, self.kind, Fate.AT_ONCE, skip=self.skip, count=self.count)
        carry_out = self.troubles.carry_out

        def carried_out(meeting: Any) -> None:
            carry_out(meeting)
            self._after(int(meeting.transaction.source[1:]))

        self.troubles.carry_out = carried_out  # type: ignore[method-assign]

    def _after(self, number: int) -> None:
        model, revision = self.model, self.model.state.revision
        model.at(READ_US, lambda: self._look(number, revision))
        if self.then is Then.REFUSED:
            model.hosts[number].refused_until = model.now + 8 * SECOND
        elif self.then is Then.HANDS_OVER:
            host = model.hosts[number]
            life = host.life
            # Its transactions arrive while it takes an input: it is told with the next one.
            model.at(1, lambda: model.carry_out(host, host.core.stop(*model.clock(host))) if host.core else None)
            model.at(SECOND // 2, lambda: model.crash(number, 3.0) if host.life == life else None)
        elif self.then is Then.ENDS:
            model.at(1, lambda: model.crash(number, 0.3))

    def _look(self, number: int, revision: int) -> None:
        others = [host.core for host in self.model.hosts if host.number != number and host.core is not None]
        self.read_by_others.append(all(core.follower.revision >= revision for core in others))

    def check(self) -> None:
        """The meeting took place."""
        self.troubles.check()
        assert any(meeting.status == 200 for meeting in self.troubles.meetings)
        assert any(self.read_by_others)


# Every kind


def cases() -> list[Any]:
    """For each kind a number of controllers and what becomes of the sender, all of them in wide runs."""
    names = [name for name in KINDS if name not in ("split", "close lease", "open lease", "renew lease")]
    every = [(name, hosts, then) for name in names for hosts in (3, 5, 7) for then in Then]
    few = [(name, (3, 5, 3, 7)[n % 4], list(Then)[n % 3]) for n, name in enumerate(names)]
    return some(few, [case for case in every if case not in few])


@pytest.mark.parametrize(("name", "hosts", "then"), cases(), ids=lambda value: getattr(value, "name", value))
def test_what_others_have_read_is_neither_done_twice_nor_lost(name: str, hosts: int, then: Then) -> None:
    model = Model(hosts, hosts, OperatorSettings(group_size=2))
    model.checks()
    once = name == "term of the fleet" or then is Then.REFUSED
    lost = LostAnswers(model, KINDS[name], then, PASSED.get(name, 0), 1 if once else 2)
    work(model)
    model.run(30)
    settle(model, 90)
    lost.check()
    check_nothing_is_left(model)


@pytest.mark.parametrize(("hosts", "then"), some([(5, Then.REFUSED), (7, Then.HANDS_OVER)], [(3, Then.ENDS)]))
def test_a_third_of_all_answers_is_lost_while_controllers_change(hosts: int, then: Then) -> None:
    model = Model(11, hosts, OperatorSettings(group_size=2))
    model.checks()
    work(model)
    model.lose_answers(0.35, 25.0)
    for n in range(4):
        model.at((4 + 5 * n) * SECOND, lambda n=n: LostAnswers._after(_Sender(model, then), n % hosts))
    model.run(30)
    settle(model, 120)
    # The meeting: dozens of answers were lost, and some second tries met what the first ones had written.
    assert model.happened["answer lost"] > 20
    assert model.happened["refusal lost"] > 0
    check_nothing_is_left(model)


class _Sender(LostAnswers):
    """Only what becomes of a sender."""

    def __init__(self, model: Model, then: Then) -> None:
        self.model, self.then = model, then
        self.read_by_others = []


# Several jobs in one transaction


def jobs_in(transaction: Transaction, prefix: str = LIVE) -> set[str]:
    """The jobs whose records a transaction writes."""
    return {put.removeprefix(prefix) for put in transaction.puts if put.startswith(prefix)}


SENDERS = some(
    [(3, Then.GOES_ON), (5, Then.ENDS), (7, Then.REFUSED)],
    [(7, Then.GOES_ON), (3, Then.ENDS), (5, Then.REFUSED), (3, Then.HANDS_OVER), (7, Then.HANDS_OVER)],
)


def shared(purpose: str, least: int, prefix: str = LIVE) -> Kind:
    """The transactions of a purpose that write at least so many jobs' records."""
    return Kind(purpose, also=lambda transaction: len(jobs_in(transaction, prefix)) >= least)


def submit_to(model: Model, node: int, spec: dict[str, Any]) -> list[Reply]:
    """Submit a job to one controller, once; the answer is added to the list when it comes."""
    found: list[Reply] = []
    model.jobs[spec["name_id"]] = UserJob(spec)
    model._ask("POST", "/submissions", spec, 5, found.append, node)
    return found


def ask_everybody(model: Model, method: str, job_id: str, path: str = "/submissions") -> list[Reply]:
    """Ask all controllers within milliseconds; the answers are added to the list when they come."""
    found: list[Reply] = []
    body = model.jobs[job_id].spec if method == "POST" else None
    for node in range(len(model.hosts)):
        model._ask(method, path if method == "POST" else f"{path}/{job_id}", body, 5, found.append, node)
    return found


@pytest.mark.parametrize(("hosts", "after_ms"), some([(3, 5), (5, 400), (7, 1_400)], [(7, 5), (3, 400), (5, 1_400)]))
def test_each_job_of_a_shared_acceptance_is_known_everywhere_and_accepted_once(hosts: int, after_ms: int) -> None:
    model = Model(2, hosts)
    model.checks()
    model.run(3)
    lost = LostAnswers(model, shared("accept", 4))
    jobs = {f"job-{n}": submission(f"job-{n}", shape="service", pieces=1, **FREE) for n in range(24)}
    first: dict[str, list[Reply]] = {}
    for job_id, spec in jobs.items():
        first[job_id] = submit_to(model, 0, spec)
    while not lost.troubles.meetings:
        model.run(0.001)
    members = jobs_in(lost.troubles.meetings[0].transaction)
    accepted_us = {job_id: model.state.keys[LIVE + job_id][0]["accepted_us"] for job_id in members}
    model.run(after_ms / 1000)
    again = {job_id: ask_everybody(model, "POST", job_id) for job_id in members}
    model.run(6)
    polls = {job_id: ask_everybody(model, "GET", job_id) for job_id in jobs}
    model.run(3)
    lost.check()
    for job_id in members:
        # The sender knows nothing, and says so; whoever has read it knows the job.
        assert [reply.status for reply in first[job_id]] == [503]
        assert {reply.status for reply in again[job_id]} <= {200, 503}
        assert 200 in {reply.status for reply in again[job_id]}
        assert model.state.keys[LIVE + job_id][0]["accepted_us"] == accepted_us[job_id]
    for job_id, replies in polls.items():
        assert [reply.status for reply in replies] == [200] * hosts, job_id
    others = jobs.keys() - members
    assert all([reply.status for reply in first[job_id]] == [201] for job_id in others)


@pytest.mark.parametrize(("hosts", "then"), SENDERS)
def test_each_job_of_a_shared_placement_is_placed_once(hosts: int, then: Then) -> None:
    model = Model(3, hosts, OperatorSettings(group_size=4))
    model.checks()
    model.run(3)
    model.submit(submission("job-99", pieces=12, cpus=1.0, **FREE))
    model.run(25)
    lost = LostAnswers(model, shared("place", 3), then)
    for n in range(6):
        # They follow one another in the queue of one controller.
        # Small, so that a second try would find room on the same machines.
        submit_to(model, 0, submission(f"job-{n}", pieces=2, cpus=0.25, memory_gb=0.5, **FREE))
    while not lost.troubles.meetings and model.now < 60 * SECOND:
        model.run(0.01)
    members = jobs_in(lost.troubles.meetings[0].transaction)
    model.run(30)
    lost.check()
    assert len(members) >= 3
    assert {job_id: model.job_starts[job_id] for job_id in members} == dict.fromkeys(members, 2)
    # Nor was a place written down for it a second time.
    written = {key: value[0] for _, key, value in model.state.log if value is not None}
    assert {written[LIVE + job_id]["attempt"] for job_id in members} == {1}


@pytest.mark.parametrize(("hosts", "then"), SENDERS)
def test_each_job_that_ends_in_a_shared_transaction_is_done_everywhere_at_once(hosts: int, then: Then) -> None:
    model = Model(4, hosts, OperatorSettings(group_size=4))
    model.checks()
    model.run(3)
    model._run_us = lambda key: 6 * SECOND  # type: ignore[method-assign]
    model.submit(submission("job-99", pieces=16, cpus=1.0, **FREE))
    model.run(20)
    lost = LostAnswers(model, shared("tidy", 2, OVER), then)
    for n in range(8):
        submit_to(model, 0, submission(f"job-{n}", pieces=2, cpus=1.0, **FREE))
    while not lost.troubles.meetings and model.now < 120 * SECOND:
        model.run(0.01)
    members = jobs_in(lost.troubles.meetings[0].transaction, OVER)
    ended = {job_id: model.state.keys[OVER + job_id] for job_id in members}
    rounds = []
    for pause_s in (0.002, 0.3, 1.0, 3.0):
        model.run(pause_s)
        rounds += [reply for job_id in members for reply in [ask_everybody(model, "GET", job_id)]]
    again = [ask_everybody(model, "POST", job_id) for job_id in members]
    model.run(8)
    lost.check()
    told = [reply.body["status"] for replies in [*rounds, *again] for reply in replies if reply.status == 200]
    assert len(told) > 3 * len(members)
    assert set(told) == {"done"}
    # Written once, by whomever.
    assert {job_id: model.state.keys[OVER + job_id] for job_id in members} == ended
    settle(model, 60)
    check_nothing_is_left(model)
