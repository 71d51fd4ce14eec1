"""Transactions that are executed at once, whose answer is lost, and that peers read before the sender knows of them.

The sender's retry finds its own first write, peers act on that write, and the sender is refused, hands over or
crashes meanwhile.  The tests guard against writes that take effect twice or are lost.  They cover every kind of
transaction, and those that several jobs share.
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
"""After this time all peers have read the write, and the sender still waits for its answer (microseconds)."""


class Then(Enum):
    """What happens to the sender after the transaction was executed."""

    GOES_ON = "goes on"
    REFUSED = "is refused by the state service alone"
    HANDS_OVER = "is told to end, and hands over"
    ENDS = "ends and is back at once"


@dataclass
class LostAnswers:
    """Loses the answers to some transactions of one kind and applies `then` to their senders."""

    model: Model
    kind: Kind
    then: Then = Then.GOES_ON
    skip: int = 0
    count: int = 1
    troubles: Troubles = field(init=False)
    read_by_others: list[bool] = field(default_factory=list)
    """For each of these transactions, whether all peers had read it before its sender gave up on it."""

    def __post_init__(self) -> None:
        self.troubles = Troubles(self.model, self.kind, Fate.AT_ONCE, skip=self.skip, count=self.count)
        carry_out = self.troubles.carry_out

        def carried_out(meeting: Any) -> None:
            carry_out(meeting)
            self._after(int(meeting.transaction.source[1:]))

        self.troubles.carry_out = carried_out  # type: ignore[method-assign]

    def _after(self, number: int) -> None:
        model, revision = self.model, self.model.state.revision
        model.at(READ_US, lambda: self._check_read(number, revision))
        if self.then is Then.REFUSED:
            model.hosts[number].refused_until = model.now + 8 * SECOND
        elif self.then is Then.HANDS_OVER:
            host = model.hosts[number]
            life = host.life
            # The transaction arrives while the controller handles an input, so it is told to end with its next input.
            model.at(1, lambda: model.carry_out(host, host.core.stop(*model.clock(host))) if host.core else None)
            model.at(SECOND // 2, lambda: model.crash(number, 3.0) if host.life == life else None)
        elif self.then is Then.ENDS:
            model.at(1, lambda: model.crash(number, 0.3))

    def _check_read(self, number: int, revision: int) -> None:
        others = [host.core for host in self.model.hosts if host.number != number and host.core is not None]
        self.read_by_others.append(all(core.follower.revision >= revision for core in others))

    def check(self) -> None:
        """Check that the case was reached: a transaction was executed and peers read it before its sender knew."""
        self.troubles.check()
        assert any(meeting.status == 200 for meeting in self.troubles.meetings)
        assert any(self.read_by_others)


# Every kind of transaction


def cases() -> list[Any]:
    """Return each kind with one number of controllers and one fate of its sender; all combinations in wide runs."""
    names = [name for name in KINDS if name not in ("split", "close lease", "open lease", "renew lease")]
    all_cases = [(name, hosts, then) for name in names for hosts in (3, 5, 7) for then in Then]
    few_cases = [(name, (3, 5, 3, 7)[n % 4], list(Then)[n % 3]) for n, name in enumerate(names)]
    return some(few_cases, [case for case in all_cases if case not in few_cases])


@pytest.mark.parametrize(("name", "hosts", "then"), cases(), ids=lambda value: getattr(value, "name", value))
def test_what_others_have_read_is_neither_done_twice_nor_lost(name: str, hosts: int, then: Then) -> None:
    model = Model(hosts, hosts, OperatorSettings(group_size=2))
    model.checks()
    only_once = name == "term of the fleet" or then is Then.REFUSED
    lost_answers = LostAnswers(model, KINDS[name], then, PASSED.get(name, 0), 1 if only_once else 2)
    work(model)
    model.run(30)
    settle(model, 90)
    lost_answers.check()
    check_nothing_is_left(model)


@pytest.mark.parametrize(("hosts", "then"), some([(5, Then.REFUSED), (7, Then.HANDS_OVER)], [(3, Then.ENDS)]))
def test_a_third_of_all_answers_is_lost_while_controllers_change(hosts: int, then: Then) -> None:
    model = Model(11, hosts, OperatorSettings(group_size=2))
    model.checks()
    work(model)
    model.lose_answers(0.35, 25.0)
    for n in range(4):
        model.at((4 + 5 * n) * SECOND, lambda n=n: LostAnswers._after(_SenderFate(model, then), n % hosts))
    model.run(30)
    settle(model, 120)
    # The case is reached: dozens of answers were lost, among them refusals of retries that found the first write.
    assert model.happened["answer lost"] > 20
    assert model.happened["refusal lost"] > 0
    check_nothing_is_left(model)


class _SenderFate(LostAnswers):
    """Applies `then` to a sender without losing answers."""

    def __init__(self, model: Model, then: Then) -> None:
        self.model, self.then = model, then
        self.read_by_others = []


# Several jobs in one transaction


def jobs_in(transaction: Transaction, prefix: str = LIVE) -> set[str]:
    """Return the jobs whose records a transaction writes."""
    return {put.removeprefix(prefix) for put in transaction.puts if put.startswith(prefix)}


SENDER_CASES = some(
    [(3, Then.GOES_ON), (5, Then.ENDS), (7, Then.REFUSED)],
    [(7, Then.GOES_ON), (3, Then.ENDS), (5, Then.REFUSED), (3, Then.HANDS_OVER), (7, Then.HANDS_OVER)],
)


def job_writes(purpose: str, min_jobs: int, prefix: str = LIVE) -> Kind:
    """Return the kind of the transactions of a purpose that write the records of at least so many jobs."""
    return Kind(purpose, also=lambda transaction: len(jobs_in(transaction, prefix)) >= min_jobs)


def submit_to(model: Model, node: int, spec: dict[str, Any]) -> list[Reply]:
    """Submit a job once to one controller; return a list to which the answer is added when it comes."""
    replies: list[Reply] = []
    model.jobs[spec["name_id"]] = UserJob(spec)
    model._ask("POST", "/submissions", spec, 5, replies.append, node)
    return replies


def ask_all_controllers(model: Model, method: str, job_id: str, path: str = "/submissions") -> list[Reply]:
    """Ask all controllers within milliseconds; return a list to which the answers are added when they come."""
    replies: list[Reply] = []
    body = model.jobs[job_id].spec if method == "POST" else None
    for node in range(len(model.hosts)):
        model._ask(method, path if method == "POST" else f"{path}/{job_id}", body, 5, replies.append, node)
    return replies


@pytest.mark.parametrize(("hosts", "after_ms"), some([(3, 5), (5, 400), (7, 1_400)], [(7, 5), (3, 400), (5, 1_400)]))
def test_each_job_of_a_shared_acceptance_is_known_everywhere_and_accepted_once(hosts: int, after_ms: int) -> None:
    model = Model(2, hosts)
    model.checks()
    model.run(3)
    lost_answers = LostAnswers(model, job_writes("accept", 4))
    jobs = {f"job-{n}": submission(f"job-{n}", shape="service", pieces=1, **FREE) for n in range(24)}
    first_replies: dict[str, list[Reply]] = {}
    for job_id, spec in jobs.items():
        first_replies[job_id] = submit_to(model, 0, spec)
    while not lost_answers.troubles.meetings:
        model.run(0.001)
    members = jobs_in(lost_answers.troubles.meetings[0].transaction)
    accepted_us = {job_id: model.state.keys[LIVE + job_id][0]["accepted_us"] for job_id in members}
    model.run(after_ms / 1000)
    retries = {job_id: ask_all_controllers(model, "POST", job_id) for job_id in members}
    model.run(6)
    poll_replies = {job_id: ask_all_controllers(model, "GET", job_id) for job_id in jobs}
    model.run(3)
    lost_answers.check()
    for job_id in members:
        # The sender does not know the outcome and answers 503; controllers that have read the write know the job.
        assert [reply.status for reply in first_replies[job_id]] == [503]
        assert {reply.status for reply in retries[job_id]} <= {200, 503}
        assert 200 in {reply.status for reply in retries[job_id]}
        assert model.state.keys[LIVE + job_id][0]["accepted_us"] == accepted_us[job_id]
    for job_id, replies in poll_replies.items():
        assert [reply.status for reply in replies] == [200] * hosts, job_id
    others = jobs.keys() - members
    assert all([reply.status for reply in first_replies[job_id]] == [201] for job_id in others)


@pytest.mark.parametrize(("hosts", "then"), SENDER_CASES)
def test_each_job_of_a_shared_placement_is_placed_once(hosts: int, then: Then) -> None:
    model = Model(3, hosts, OperatorSettings(group_size=4))
    model.checks()
    model.run(3)
    model.submit(submission("job-99", pieces=12, cpus=1.0, **FREE))
    model.run(25)
    lost_answers = LostAnswers(model, job_writes("place", 3), then)
    for n in range(6):
        # The jobs are neighbours in the queue of one controller, and small: a retry would find capacity on the same
        # machines.
        submit_to(model, 0, submission(f"job-{n}", pieces=2, cpus=0.25, memory_gb=0.5, **FREE))
    while not lost_answers.troubles.meetings and model.now < 60 * SECOND:
        model.run(0.01)
    members = jobs_in(lost_answers.troubles.meetings[0].transaction)
    model.run(30)
    lost_answers.check()
    assert len(members) >= 3
    assert {job_id: model.job_starts[job_id] for job_id in members} == dict.fromkeys(members, 2)
    # No job was placed a second time.
    last_values = {key: value[0] for _, key, value in model.state.log if value is not None}
    assert {last_values[LIVE + job_id]["attempt"] for job_id in members} == {1}


@pytest.mark.parametrize(("hosts", "then"), SENDER_CASES)
def test_each_job_that_ends_in_a_shared_transaction_is_done_everywhere_at_once(hosts: int, then: Then) -> None:
    model = Model(4, hosts, OperatorSettings(group_size=4))
    model.checks()
    model.run(3)
    model._run_us = lambda key: 6 * SECOND  # type: ignore[method-assign]
    model.submit(submission("job-99", pieces=16, cpus=1.0, **FREE))
    model.run(20)
    lost_answers = LostAnswers(model, job_writes("tidy", 2, OVER), then)
    for n in range(8):
        submit_to(model, 0, submission(f"job-{n}", pieces=2, cpus=1.0, **FREE))
    while not lost_answers.troubles.meetings and model.now < 120 * SECOND:
        model.run(0.01)
    members = jobs_in(lost_answers.troubles.meetings[0].transaction, OVER)
    ended = {job_id: model.state.keys[OVER + job_id] for job_id in members}
    rounds = []
    for pause_s in (0.002, 0.3, 1.0, 3.0):
        model.run(pause_s)
        rounds += [reply for job_id in members for reply in [ask_all_controllers(model, "GET", job_id)]]
    retries = [ask_all_controllers(model, "POST", job_id) for job_id in members]
    model.run(8)
    lost_answers.check()
    statuses = [reply.body["status"] for replies in [*rounds, *retries] for reply in replies if reply.status == 200]
    assert len(statuses) > 3 * len(members)
    assert set(statuses) == {"done"}
    # The end of each job was written once, by any controller.
    assert {job_id: model.state.keys[OVER + job_id] for job_id in members} == ended
    settle(model, 60)
    check_nothing_is_left(model)
