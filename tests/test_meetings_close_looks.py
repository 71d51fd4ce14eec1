"""Users ask all controllers within milliseconds, repeat and cancel, while controllers restart or cannot read.

In the model with 3, 5 and 7 controllers a fault begins just before or just after the commit of the transaction that
accepts or ends a job, or once a user was told of it.  All orders of a few messages around a reload and a restart are
searched as well.  No answer may tell an older state of a job than an answer given before its question.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable
from enum import Enum
from typing import Any

import pytest

from ashtray.jobs.model import FINAL_STATE_PREFIX, LIVE_JOB_PREFIX
from ashtray.kernel import Call, Reply
from ashtray.store.rate_limiter import Urgency
from tests.answer_history import FINAL, UNKNOWN, Heard, WentBack
from tests.fakes.state import State
from tests.interleavings import (
    ELSEWHERE,
    Action,
    Chooser,
    Node,
    Play,
    cancel_at,
    explore,
    fold_by,
    job_record,
    poll_at,
    put,
    running_job,
    schedules_of,
    submit_at,
    world,
)
from tests.meeting_model import Meeting, some
from tests.model import SECOND, Host, RuleBroken
from tests.model_troubles import Refusal
from tests.test_meetings_answers import CloseUsers, Forgetful, lack_changes, settle, told

FAULTS_S, CALM_S = 10.0, 45.0
"""For how long new faults begin, and how long all jobs then have to end."""
FAULT_PAUSE_US = SECOND // 2
"""The shortest time between the beginnings of two faults."""
PAGE_ITEMS = 4
"""How many records a page holds: few, so that reading all of them takes many requests."""
SLOW_READ_US = 15_000
"""How long each message between a reloading controller and the state service takes."""
JUST_STARTED_US = SECOND
"""For how long a controller counts as just started after it has read all records for the first time."""


FOLLOWED_PROBABILITY = 0.8
"""For every third job: the probability, after each answer, that a job that waits on it is submitted, once."""
FOLLOWER_OFFSET = 1_000
"""The number of such a job is larger than that of the job it waits on by this."""


class Fault(Enum):
    """What happens to a controller."""

    RELOAD = "reads all records again"
    RESTART = "restarts within 0.3 s"
    HANDOVER = "is told to end, and restarts"
    REFUSED = "is the only one that the state service refuses"
    ALONE = "is cut off from the state service and all peers"
    FORWARDED = "is refused, and the peer that it forwards a request to restarts"


class Moment(Enum):
    """When a fault begins, relative to the transaction that accepts or ends a job."""

    BEFORE = "before the commit"
    AFTER = "after the commit"
    TOLD = "a user was told"


class Looked(Meeting):
    """A model in which faults begin at commits, at the deciding controller or at another one."""

    def __init__(self, seed: int, hosts: int, faults: list[Fault]) -> None:
        self.faults = faults
        self.fault_rng = random.Random(seed)
        self.faults_until_us = self.last_fault_us = 0
        self.moments = deque(Moment)
        """The first of these is when the next fault begins."""
        self.lacks_changes: set[int] = set()
        """Controllers whose next request for changes is answered with 410, which makes them reload."""
        self.restart_next_peer_of: set[int] = set()
        """Controllers whose peer restarts when they next forward a request to it."""
        self.loaded_us: dict[int, int] = {}
        """When each controller's process was first seen to have read all records."""
        super().__init__(seed, hosts)

    def start_host(self, host: Host) -> None:
        """Start a controller, which has read nothing yet."""
        self.loaded_us.pop(host.number, None)
        super().start_host(host)

    def condition(self, number: int) -> str:
        """Return the state of a controller that receives a question."""
        core = self.hosts[number].core
        if core is None:
            return "down"
        if core.presence.shutting_down:
            return "handing over"
        if core.follower.loaded:
            self.loaded_us.setdefault(number, self.now)
        if self.now - self.loaded_us.get(number, self.now) < JUST_STARTED_US:
            return "just started" if core.follower.loaded else "starting"
        if not core.follower.loaded:
            return "reading anew"
        return "well" if core.follower.failed_since_us is None else "refused"

    # Where faults begin

    def _reach_state(
        self, number: int, method: str, path: str, body: Any, answer: Callable[[int, Any], None]
    ) -> None:
        if path.startswith("/follow") and number in self.lacks_changes:
            self.lacks_changes.discard(number)
            self.happened["changes lacking"] += 1
            answer(410, {"error": "too old"})
            return
        path = path.replace("page=1000", f"page={PAGE_ITEMS}")
        decides = path == "/txn" and self._decides(body)
        if decides:
            self.maybe_begin_fault(number, Moment.BEFORE)
        super()._reach_state(number, method, path, body, answer)
        if decides:
            self.maybe_begin_fault(number, Moment.AFTER)

    def _decides(self, body: Any) -> bool:
        """Return whether a transaction accepts or ends a job."""
        new = {guard["k"] for guard in body["guards"] if guard["stamp"] == 0}
        puts = [change["put"] for change in body["apply"] if "put" in change]
        return any(
            key.startswith(FINAL_STATE_PREFIX) or (key.startswith(LIVE_JOB_PREFIX) and key in new) for key in puts
        )

    def maybe_begin_fault(self, number: int, moment: Moment) -> None:
        """Sometimes begin a fault: at the controller that decides or answers, or at a random one."""
        rng = self.fault_rng
        if not self.last_fault_us + FAULT_PAUSE_US <= self.now <= self.faults_until_us:
            return
        if moment is not self.moments[0] or rng.random() < 0.5:
            return
        self.last_fault_us = self.now
        self.moments.rotate()
        victim = number if rng.random() < 0.6 else rng.randrange(len(self.hosts))
        fault = rng.choice(self.faults)
        self.happened[moment.value] += 1
        self.happened[fault.value] += 1
        # The fault begins in an event of its own: its effect on the deciding controller must not depend on how far
        # the processing of its request is.
        self.at(0, lambda: self._begin_fault(fault, victim))

    def _begin_fault(self, fault: Fault, victim: int) -> None:
        rng, host = self.fault_rng, self.hosts[victim]
        if host.core is None:
            return
        if fault is Fault.RELOAD:
            self.lacks_changes.add(victim)
            self.far[victim] = (self.now + SECOND // 2, SLOW_READ_US)
        elif fault is Fault.RESTART:
            self.crash(victim, rng.uniform(0.02, 0.3))
        elif fault is Fault.HANDOVER and not host.core.presence.shutting_down:
            self.hand_over(victim, rng.uniform(0.02, 0.3))
        elif fault is Fault.REFUSED:
            self.refuse(victim, rng.uniform(0.2, 1.5), rng.choice(list(Refusal)))
        elif fault is Fault.ALONE:
            self.cut_from_state_and_peers(victim, rng.uniform(0.2, 1.5), hold=rng.random() < 0.5)
        elif fault is Fault.FORWARDED:
            self.refuse(victim, 1.5)
            self.restart_next_peer_of.add(victim)

    def send(self, source: str, call: Call, deliver: Callable[[Reply], None]) -> None:
        """Carry a request; a peer that receives a forwarded one may restart before that or before it answers."""
        super().send(source, call, deliver)
        if call.path == "/peer/request":
            self.happened["forwarded"] += 1
            asker, asked = int(source[1:]), int(call.address.partition(":")[0][1:])
            if asker in self.restart_next_peer_of:
                self.restart_next_peer_of.discard(asker)
                self.happened["asked peer restarted"] += 1
                self.at(self.fault_rng.randrange(1, 12_000), lambda: self.crash(asked, 0.1))

    def _ask(
        self,
        method: str,
        path: str,
        body: Any,
        timeout_s: float,
        then: Callable[[Reply], None],
        node: int | None = None,
    ) -> None:
        asked_us = self.now

        def answered(reply: Reply) -> None:
            if path == "/submissions" and reply.status in (200, 201):
                job = self.jobs[body["name_id"]]
                if reply.status == 201 and job.known_us is not None and asked_us > job.known_us:
                    raise RuleBroken(f"went_back: {body['name_id']} is accepted a second time")
                self.happened[f"submission answered {reply.status}"] += 1
            then(reply)

        super()._ask(method, path, body, timeout_s, answered, node)


class TroubledUsers(CloseUsers):
    """`CloseUsers` who also note the state in which each controller received their questions."""

    def __init__(self, model: Looked, seed: int) -> None:
        super().__init__(model, seed)
        self.faulty_model = model
        self.answers_in: Counter[str] = Counter()
        """How many answers told something about a job, by the state in which the controller received the question."""
        self.with_follower: set[str] = set()
        """Jobs for which another job was submitted that waits on them."""
        self._asked_in: dict[tuple[str, str, int, int], str] = {}

    def request(self, job_id: str, kind: str, node: int) -> None:
        """Send one request; its answer is checked against all answers that came before the request was sent."""
        self._asked_in[job_id, kind, node, self.model.now] = self.faulty_model.condition(node)
        super().request(job_id, kind, node)

    def _hear(self, new: Heard) -> None:
        self.answers_in[self._asked_in[new.job_id, new.kind, new.node, new.asked]] += 1
        super()._hear(new)
        if new.told != UNKNOWN:
            self.faulty_model.maybe_begin_fault(new.node, Moment.TOLD)
            self._submit_follower(new.job_id)

    def _submit_follower(self, job_id: str) -> None:
        """Submit a job that waits on one that was just accepted: no controller may refuse it."""
        if job_id in self.with_follower or self.rng.random() > FOLLOWED_PROBABILITY:
            return
        number = int(job_id.removeprefix("job-"))
        if number % 3 == 2 and number < FOLLOWER_OFFSET and self.model.now < self.faulty_model.faults_until_us:
            self.with_follower.add(job_id)
            over = {"pieces": 1, "cpus": 1.0, "waits_on": [job_id]}
            delay_us = self.rng.randrange(1, 3_000)
            self.model.at(delay_us, lambda: self.submit(f"job-{number + FOLLOWER_OFFSET}", **over))


def run_users_with_faults(seed: int, hosts: int, faults: list[Fault], jobs: int = 30) -> TroubledUsers:
    """Submit four jobs a second, most of one task, while faults begin; then give all jobs the time to end."""
    model = Looked(seed, hosts, faults)
    model.run(4)
    users = TroubledUsers(model, seed)
    model.faults_until_us = model.now + int(FAULTS_S * SECOND)
    for n in range(jobs):
        over = {"pieces": 1 + (n % 3 == 0), "shape": "gang" if n % 6 == 0 else "batch", "cpus": 1.0}
        model.at(n * SECOND // 4, lambda n=n, over=over: users.submit(f"job-{n}", **over))
    model.run(FAULTS_S + CALM_S)
    return users


def assert_all_ended(users: TroubledUsers) -> None:
    """Every job is over, and each controller says so when all is calm again."""
    model = users.model
    assert len(users.with_follower) >= 5
    assert {job.told for job in model.jobs.values()} == set(FINAL)
    for host in model.hosts:
        for job_id in model.jobs:
            users.request(job_id, "poll", host.number)
    asked_us = model.now
    model.run(3)
    for answers in users.answers.heard.values():
        assert {heard.node for heard in answers if heard.asked == asked_us} == set(range(len(model.hosts)))


CONDITIONS = {
    Fault.RELOAD: ("reading anew",),
    Fault.RESTART: ("just started",),
    Fault.HANDOVER: ("handing over", "just started"),
    Fault.REFUSED: ("refused",),
    Fault.ALONE: (),
    Fault.FORWARDED: ("refused", "just started"),
}
"""The states of controllers in which questions must have been answered, by the fault that brings them about."""


@pytest.mark.parametrize("hosts", some([3], [5, 7]))
@pytest.mark.parametrize("seed", some([1], [2, 3, 4, 5, 6]))
@pytest.mark.parametrize("fault", list(Fault), ids=lambda fault: fault.name)
def test_no_answer_goes_back_around_a_trouble_of_one_controller(fault, seed, hosts):
    users = run_users_with_faults(seed, hosts, [fault])
    happened = users.faulty_model.happened
    assert happened[fault.value] >= 5
    assert all(happened[moment.value] >= 1 for moment in Moment), happened
    for condition in CONDITIONS[fault]:
        assert users.answers_in[condition] >= 3, users.answers_in
    if fault is Fault.FORWARDED:
        assert happened["asked peer restarted"] >= 3
    assert_all_ended(users)


@pytest.mark.parametrize("hosts", [3, 5, 7])
@pytest.mark.parametrize("seed", some([11], range(12, 20)))
def test_no_answer_goes_back_around_troubles_of_all_kinds(seed, hosts):
    users = run_users_with_faults(seed, hosts, list(Fault))
    happened = users.faulty_model.happened
    assert sum(happened[fault.value] > 0 for fault in Fault) >= 4, happened
    assert happened["submission answered 200"] >= 20 and happened["forwarded"] >= 3
    assert_all_ended(users)


def test_the_users_see_an_acceptance_that_is_forgotten_by_one_that_restarted():
    model = Looked(1, 3, [Fault.RESTART])
    model.run(4)
    users = TroubledUsers(model, 1)
    model.crash(1, 0.1)
    model.run(0.5)
    core = model.hosts[1].core
    core.jobs.poll = lambda request_id, job_id, forwarded=False: core.kernel.answer(request_id, 404, {"error": "no"})
    users.submit("job-1", pieces=1)
    with pytest.raises(WentBack, match="pending and then unknown"):
        model.run(10)


# All orders of a few messages around a restart and a reload


def restart_by(number: int, ready: Callable[[Play], bool] = lambda play: True) -> Action:
    """A controller's process ends and the next one begins.

    Its reads in flight are dropped, its writes in flight may still be executed, and it gets no answer to either.
    """

    def restart(play: Play) -> None:
        play.history.append(f"restart {number}")
        for message in [message for message in play.pending if message.node == number]:
            if message.is_read or message.reply is not None:
                play.pending.remove(message)
            else:
                message.node, message.call_id = ELSEWHERE, -message.call_id
        play.nodes[number] = fresh = Node(number, len(play.nodes))
        fresh.note("restarted")
        play._carry_out(fresh, fresh.core.kernel.run())

    return Action("restart", number, restart, ready)


def answers_of(found: Any) -> set[str]:
    """Return all answers given in any of the orders, as `kind: told` or `kind: status`."""
    return {answer for ending in found.endings for answer in ending}


@pytest.mark.parametrize(("asker", "restarted"), some([(0, 0)], [(1, 1), (0, 1), (1, 0)]))
def test_an_acceptance_is_known_to_one_that_restarts_in_any_order(asker, restarted):
    actions = [submit_at(0), restart_by(restarted), submit_at(1), poll_at(asker, told("pending"))]
    found = explore(schedules_of(world, 2, actions))
    # The case is reached: some questions came before the new process had read anything, and others after.
    assert (
        {"submit: pending", "poll: pending"}
        <= answers_of(found)
        <= {"submit: pending", "poll: pending", "poll: 503", "submit: 503"}
    )
    assert ("poll: 503" in answers_of(found)) == (asker == restarted)


@pytest.mark.parametrize("asker", some([1], [0]))
def test_a_cancellation_is_known_to_one_that_restarts_in_any_order(asker):
    actions = [
        cancel_at(0),
        restart_by(asker, lambda play: not play.told("cancelled")),
        poll_at(asker, told("cancelled")),
        cancel_at(1),
    ]
    found = explore(schedules_of(lambda: running_job(1, 0), 2, actions))
    assert {"cancel: cancelled", "poll: cancelled", "poll: 503"} <= answers_of(found)
    assert not {"poll: pending", "poll: running", "poll: unknown"} & answers_of(found)


@pytest.mark.parametrize("restarted", some([1], [0]))
def test_an_end_is_known_to_one_that_restarts_in_any_order(restarted):
    actions = [fold_by(0, 1), restart_by(restarted), poll_at(1), poll_at(restarted)]
    found = explore(schedules_of(lambda: running_job(2, 1), 2, actions))
    assert {"poll: done", "poll: running"} <= answers_of(found)


RELOAD_ACTION = Action("lack", 0, lack_changes)
"""The state service no longer has the changes that the controller asks for next, so that it reloads."""


def forgetful(make_state: Callable[[], State]) -> Callable[[], State]:
    """Return the same state in a state service that can be told to have dropped changes."""

    def make_forgetful() -> State:
        state, original = Forgetful(), make_state()
        state.keys, state.log, state.revision = original.keys, original.log, original.revision
        return state

    return make_forgetful


def around_a_reload(make_state: Callable[[], State], *actions: Action) -> set[str]:
    """Return all answers given in any order of these actions and a reload."""
    return answers_of(explore(schedules_of(forgetful(make_state), 2, [RELOAD_ACTION, *actions])))


@pytest.mark.parametrize("accepted_by", some([1], [0]))
def test_an_acceptance_is_known_to_one_that_reads_everything_anew_in_any_order(accepted_by):
    first = poll_at(0) if accepted_by else submit_at(0)
    answers = around_a_reload(world, first, submit_at(1), poll_at(0, told("pending")))
    # A question during the reload is answered with 503; one before the acceptance, that the job is unknown.
    assert {"poll: 503", "poll: pending", "submit: pending"} <= answers
    assert ("poll: unknown" in answers) == (accepted_by == 1)


def test_a_cancellation_is_known_to_one_that_reads_everything_anew_in_any_order():
    answers = around_a_reload(lambda: running_job(1, 0), poll_at(0), cancel_at(1), poll_at(0, told("cancelled")))
    assert answers == {"poll: running", "poll: 503", "cancel: cancelled", "poll: cancelled"}


def test_an_end_is_known_to_one_that_reads_everything_anew_in_any_order():
    answers = around_a_reload(lambda: running_job(2, 1), poll_at(1), fold_by(0, 1), poll_at(1))
    assert answers == {"poll: running", "poll: 503", "poll: done"}


def test_a_final_state_that_was_absent_before_everything_is_read_anew_is_looked_for_again():
    play = Play(forgetful(world)(), 2, [], Chooser([]))
    put(play.state, LIVE_JOB_PREFIX + "job-1", job_record("job-1", pieces=1))
    node = play.nodes[0]
    # The controller looks up the final state of job-1, as it does for a job that another one waits for.  The job is
    # live, so there is none.
    node.core.kernel.spawn(node.core.jobs.states._read_final("job-1", Urgency.PLACE))
    play._carry_out(node, node.core.kernel.run())
    read = play.pending[0]
    play._execute(read)
    assert read.reply is not None and read.reply.status == 404
    lack_changes(play)
    play.ask("poll", 0, "GET", "/submissions/job-2", job_id="job-2")
    play._arrive(play.pending[1])
    assert not node.core.follower.loaded
    # The job ends before the first page is read, so neither the pages nor the changes after them contain its end.
    over = {"put": FINAL_STATE_PREFIX + "job-1", "value": {"status": "done", "done": 1, "at_us": 1}}
    play.state.handle(0, "POST", "/txn", {"apply": [{"remove": LIVE_JOB_PREFIX + "job-1"}, over]})
    play._arrive(read)
    settle(play)
    assert node.core.follower.loaded
    play.ask("poll", 0, "GET", "/submissions/job-1")
    settle(play)
    assert play.ending() == ("poll: done",)
