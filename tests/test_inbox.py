"""Tests of the input queue of a controller that is overloaded.

They check in which order it processes inputs, which ones it refuses, and that every input is answered.
"""

import asyncio
from types import SimpleNamespace

import pytest
import uvloop
from hypothesis import given
from hypothesis import strategies as st

from ashtray.daemon import server
from ashtray.daemon.server import LOG_INTERVAL_US, TURN_S, Daemon, Lateness
from ashtray.inbox import MAX_WAITING_USERS, NO_TIMEOUT_US, USERS_EVERY, Inbox, Rank, rank_of
from ashtray.kernel import Answer, Output
from tests.model import Model, submission

SECOND = 1_000_000


def answered(number: int, status: int) -> list[Output]:
    return [Answer(number, status)]


def put(inbox: Inbox, now_us: int, number: int, rank: Rank, timeout_us: int = NO_TIMEOUT_US) -> list[Output]:
    return inbox.put(now_us, rank, lambda: answered(number, 200), lambda: answered(number, 503), timeout_us)


INPUT = st.tuples(st.sampled_from(list(Rank)), st.integers(0, 3 * SECOND), st.integers(0, 5 * SECOND), st.booleans())
"""An input: its rank, the pause before it (us), its timeout (us), and whether one input is taken after it arrives."""


@given(st.lists(INPUT, max_size=40), st.integers(1, SECOND))
def test_each_input_is_answered_once_by_rank_and_in_order_of_arrival(inputs, step_us):
    inbox, now_us, seen = Inbox(), 0, []
    sent = {}
    for number, (rank, pause_us, timeout_us, takes) in enumerate(inputs):
        now_us += pause_us
        sent[number] = (rank, now_us + timeout_us)
        seen += [(answer, now_us) for answer in put(inbox, now_us, number, rank, timeout_us)]
        if takes:
            seen += [(answer, now_us) for answer in inbox.take(now_us)]
    while inbox:
        now_us += step_us
        waiting_ranks = {
            rank for rank, queue in inbox._waiting.items() if any(entry.deadline_us >= now_us for entry in queue)
        }
        answers = inbox.take(now_us)
        seen += [(answer, now_us) for answer in answers]
        served = [sent[answer.request_id][0] for answer in answers if answer.status == 200]
        assert len(served) <= 1
        if Rank.LEASES in waiting_ranks and served:
            assert served == [Rank.LEASES]
    assert sorted(answer.request_id for answer, _ in seen) == list(range(len(inputs)))
    for answer, at_us in seen:
        # An input is refused if and only if its deadline has passed.
        assert (answer.status == 200) == (at_us <= sent[answer.request_id][1])
    for rank in Rank:
        order = [a.request_id for a, _ in seen if a.status == 200 and sent[a.request_id][0] == rank]
        assert order == sorted(order)


def test_users_get_their_share_and_the_number_of_waiting_users_is_bounded():
    inbox = Inbox()
    for number in range(MAX_WAITING_USERS):
        assert not put(inbox, 0, number, Rank.USERS)
    assert put(inbox, 0, MAX_WAITING_USERS, Rank.USERS)[0].status == 503
    for number in range(1000, 1040):
        put(inbox, 0, number, Rank.DUTIES)
    taken = [inbox.take(0)[0].request_id for _ in range(40)]
    assert sum(number < MAX_WAITING_USERS for number in taken) == 40 // USERS_EVERY
    # An input without a `refuse` callback is processed however late it is.
    inbox.put(0, Rank.DUTIES, lambda: answered(5000, 200))
    while inbox:
        last = inbox.take(3600 * SECOND)
    assert last


@pytest.mark.parametrize(
    "path, rank",
    [
        ("/hello", Rank.LEASES),
        ("/up", Rank.DUTIES),
        ("/submissions/job-1/abort", Rank.DUTIES),
        ("/peer/word", Rank.DUTIES),
        ("/submissions", Rank.USERS),
        ("/submissions/job-1", Rank.USERS),
        ("/peer/request", Rank.USERS),
        ("/nothing", Rank.USERS),
    ],
)
def test_the_rank_of_a_request(path, rank):
    assert rank_of(path)[0] == rank


def test_the_daemon_takes_inputs_at_once_until_its_turn_is_used_up(monkeypatch):
    # This runs on uvloop, as the service does.  uvloop reads its clock again on each call, so the clock does not tell
    # the daemon when a turn of the event loop began.
    taken, calls, now_s = [], [], [100.0]
    clock = SimpleNamespace(monotonic=lambda: now_s[0], monotonic_ns=lambda: int(now_s[0] * 1e9), time_ns=lambda: 0)
    monkeypatch.setattr(server, "time", clock)

    async def play() -> None:
        daemon = Daemon.__new__(Daemon)
        daemon.loop = asyncio.get_running_loop()
        daemon._inbox, daemon._draining, daemon._logged_us, daemon._lateness = Inbox(), False, 0, None
        daemon._core_time_s, daemon._turn_end_scheduled = 0.0, False
        daemon.core = SimpleNamespace(kernel=SimpleNamespace(input_delay_us=0))
        daemon.carry_out = taken.extend

        def busy(number: int, spent_s: float) -> list[Output]:
            calls.append(number)
            now_s[0] += spent_s
            return answered(number, 200)

        # The input uses more than half of a turn, so a callback marks the start of the next turn.
        daemon._input(Rank.USERS, lambda: busy(0, 0.6 * TURN_S))
        await asyncio.sleep(0.001)
        daemon._input(Rank.USERS, lambda: busy(1, 0.6 * TURN_S))
        # The second and third input together use up the turn, so inputs that arrive after them wait and are processed
        # by rank.
        daemon._input(Rank.USERS, lambda: busy(2, 0.6 * TURN_S))
        assert calls == [0, 1, 2]
        for number, rank in ((3, Rank.USERS), (4, Rank.DUTIES), (5, Rank.LEASES)):
            daemon._input(rank, lambda number=number: busy(number, 0.0))
        assert calls == [0, 1, 2]
        while daemon._inbox:
            await asyncio.sleep(0.001)
        # The inbox is empty again, so an input is processed at once.
        daemon._input(Rank.USERS, lambda: busy(6, 0.0))
        assert calls[-1] == 6

    uvloop.run(play())
    assert [answer.request_id for answer in taken] == [0, 1, 2, 5, 4, 3, 6]


def test_inputs_queued_behind_one_that_raises_an_exception_are_still_taken():
    daemon = Daemon.__new__(Daemon)
    later, taken = [], []
    daemon.loop = SimpleNamespace(call_soon=later.append)
    daemon._inbox, daemon._draining, daemon._logged_us, daemon._core_time_s = Inbox(), False, 0, TURN_S
    daemon.core = SimpleNamespace(kernel=SimpleNamespace(input_delay_us=0))
    daemon.carry_out = taken.extend
    daemon._input(Rank.LEASES, lambda: 1 // 0)
    daemon._input(Rank.USERS, lambda: answered(1, 200))
    with pytest.raises(ZeroDivisionError):
        later.pop()()
    later.pop()()
    assert [answer.request_id for answer in taken] == [1] and not later


def test_the_lateness_of_timers_is_logged_and_reset(caplog):
    lateness = Lateness()
    with caplog.at_level("DEBUG", logger="ashtray"):
        for n in range(101):
            lateness.note(n * LOG_INTERVAL_US // 100, n * 1000)
        lateness.note(LOG_INTERVAL_US + 1, -5)
        lateness.note(3 * LOG_INTERVAL_US, 1000)
    assert caplog.messages == [
        "late, in ms: 102 timers median 50.0, 99% 99.0, worst 100.0",
        "late, in ms: 1 timers median 1.0, 99% 1.0, worst 1.0",
    ]


def test_overloaded_controllers_renew_all_leases_and_answer_users():
    model = Model(3, 3)
    model.checks()
    model.run(3)
    for n in range(8):
        model.submit(submission(f"job-{n}", pieces=4, crew="free", hulls=["small"], expect_s=6.0))
    model.run(14)
    sessions = {name: worker.session for name, worker in model.workers.items()}
    for host in model.hosts:
        host.slow_us = 130_000
    statuses = []
    model.send, send = (
        lambda source, call, deliver: send(
            source, call, lambda reply: (statuses.append(reply.status) if source == "user" else None, deliver(reply))
        ),
        model.send,
    )
    for n in range(20, 50):
        model.submit(submission(f"job-{n}", pieces=3, crew="free", hulls=["small"]))
        model.run(2)
    assert sum(host.inbox.refused for host in model.hosts) > 30
    assert all(model.workers[name].session == n for name, n in sessions.items() if name in model.workers)
    # Requests that cannot be processed in time are refused (503).  When inputs were processed in order of arrival, a
    # quarter of all queries got no answer before their timeout.
    assert statuses.count(0) < 100 < statuses.count(503)
    for host in model.hosts:
        host.slow_us = 0
    model.calm()
    model.run(120)
    assert {job.told for job in model.jobs.values()} == {"done"}
