"""Users ask all controllers within milliseconds, repeat and cancel, while controllers restart or cannot read.

In the model with 3, 5 and 7 controllers a trouble strikes just before, just after or once a user was told of the
transaction that accepts or ends a job.  Small orders around a reload and a restart are searched exhaustively.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable
from enum import Enum
from typing import Any

import pytest

from ashtray.jobs.model import LIVE, OVER
from ashtray.kernel import Call, Reply
from ashtray.store.client import Urgency
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

TROUBLED_S, CALM_S = 10.0, 45.0
"""How long troubles strike, and how long everything then has to end."""
STRIKE_PAUSE_US = SECOND // 2
"""Two troubles begin no sooner after one another."""
PAGE_ITEMS = 4
"""So many records fit into a page: reading everything takes many requests."""
SLOW_READ_US = 15_000
JUST_STARTED_US = SECOND
"""For so long a controller that has read everything for the first time counts as just started."""


FOLLOWED_SHARE = 0.8
"""After each answer about a job one that waits on it is submitted with this chance, once, for each third job."""
FOLLOWERS = 1_000
"""What the number of such a job is larger by."""


class Trouble(Enum):
    """What happens to a controller."""

    RELOAD = "reads everything anew"
    RESTART = "restarts within 0.3 s"
    HANDOVER = "is told to end, and is back"
    REFUSED = "is refused by the state service alone"
    ALONE = "is cut from the state service and all peers"
    FORWARDED = "is refused, and the peer that it asks restarts"


class Moment(Enum):
    """When it happens: around the transaction that accepts or ends a job."""

    BEFORE = "before the commit"
    AFTER = "after the commit"
    TOLD = "a user was told"


class Looked(Meeting):
    """A model in which troubles strike at the moments of commits."""

    def __init__(self, seed: int, hosts: int, troubles: list[Trouble]) -> None:
        self.troubles = troubles
        self.strikes_rng = random.Random(seed)
        self.strikes_until_us = self.struck_us = 0
        self.moments = deque(Moment)
        """When the next trouble strikes is the first of these."""
        self.lacks_changes: set[int] = set()
        """Controllers whose next question for changes is answered with 410."""
        self.restarts_asked: set[int] = set()
        """Controllers of which the next peer that they forward a request to restarts."""
        self.loaded_us: dict[int, int] = {}
        """When each controller's process was first seen to have read everything."""
        super().__init__(seed, hosts)

    def start_host(self, host: Host) -> None:
        """Start a controller, which has read nothing yet."""
        self.loaded_us.pop(host.number, None)
        super().start_host(host)

    def condition(self, number: int) -> str:
        """In what state a controller takes a question."""
        core = self.hosts[number].core
        if core is None:
            return "down"
        if core.presence.leaving:
            return "handing over"
        if core.follower.loaded:
            self.loaded_us.setdefault(number, self.now)
        if self.now - self.loaded_us.get(number, self.now) < JUST_STARTED_US:
            return "just started" if core.follower.loaded else "starting"
        if not core.follower.loaded:
            return "reading anew"
        return "well" if core.follower.failed_since_us is None else "refused"

    # Where troubles strike

    def _reach_state(
        self, number: int, method: str, path: str, body: Any, answer: Callable[[int, Any], None]
    ) -> None:
        if path.startswith("/follow") and number in self.lacks_changes:
            self.lacks_changes.discard(number)
            self.happened["changes lacking"] += 1
            answer(410, {"error": "too old"})
            return
        path = path.replace("page=1000", f"page={PAGE_ITEMS}")
        commits = path == "/txn" and self._decides(body)
        if commits:
            self.strike(number, Moment.BEFORE)
        super()._reach_state(number, method, path, body, answer)
        if commits:
            self.strike(number, Moment.AFTER)

    def _decides(self, body: Any) -> bool:
        """Whether a transaction accepts a job or ends one."""
        new = {guard["k"] for guard in body["guards"] if guard["stamp"] == 0}
        puts = [change["put"] for change in body["apply"] if "put" in change]
        return any(key.startswith(OVER) or (key.startswith(LIVE) and key in new) for key in puts)

    def strike(self, number: int, moment: Moment) -> None:
        """Let one trouble begin, now and then: at the controller that decides, or at one that is asked."""
        rng = self.strikes_rng
        if not self.struck_us + STRIKE_PAUSE_US <= self.now <= self.strikes_until_us:
            return
        if moment is not self.moments[0] or rng.random() < 0.5:
            return
        self.struck_us = self.now
        self.moments.rotate()
        victim = number if rng.random() < 0.6 else rng.randrange(len(self.hosts))
        trouble = rng.choice(self.troubles)
        self.happened[moment.value] += 1
        self.happened[trouble.value] += 1
        # What it does to the deciding controller's own answer must not depend on the moment's call stack.
        self.at(0, lambda: self._begin(trouble, victim))

    def _begin(self, trouble: Trouble, victim: int) -> None:
        rng, host = self.strikes_rng, self.hosts[victim]
        if host.core is None:
            return
        if trouble is Trouble.RELOAD:
            self.lacks_changes.add(victim)
            self.far[victim] = (self.now + SECOND // 2, SLOW_READ_US)
        elif trouble is Trouble.RESTART:
            self.crash(victim, rng.uniform(0.02, 0.3))
        elif trouble is Trouble.HANDOVER and not host.core.presence.leaving:
            self.hand_over(victim, rng.uniform(0.02, 0.3))
        elif trouble is Trouble.REFUSED:
            self.refuse(victim, rng.uniform(0.2, 1.5), rng.choice(list(Refusal)))
        elif trouble is Trouble.ALONE:
            self.cut_from_state_and_peers(victim, rng.uniform(0.2, 1.5), hold=rng.random() < 0.5)
        elif trouble is Trouble.FORWARDED:
            self.refuse(victim, 1.5)
            self.restarts_asked.add(victim)

    def send(self, source: str, call: Call, deliver: Callable[[Reply], None]) -> None:
        """Carry a request; a peer that one is forwarded to may restart before it comes, or before it answers."""
        super().send(source, call, deliver)
        if call.path == "/peer/request":
            self.happened["forwarded"] += 1
            asker, asked = int(source[1:]), int(call.address.partition(":")[0][1:])
            if asker in self.restarts_asked:
                self.restarts_asked.discard(asker)
                self.happened["asked peer restarted"] += 1
                self.at(self.strikes_rng.randrange(1, 12_000), lambda: self.crash(asked, 0.1))

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
                    raise RuleBroken(f"went_back: {body['name_id']} is accepted anew")
                self.happened[f"submission answered {reply.status}"] += 1
            then(reply)

        super()._ask(method, path, body, timeout_s, answered, node)


class TroubledUsers(CloseUsers):
    """Users who look closely, and note in what state of a controller their question was asked and answered."""

    def __init__(self, model: Looked, seed: int) -> None:
        super().__init__(model, seed)
        self.looked_at = model
        self.met: Counter[str] = Counter()
        """The answers that said something of a job, by the state in which the controller was when it was asked."""
        self.followed_up: set[str] = set()
        """Jobs on which another one waits."""
        self._asked_in: dict[tuple[str, str, int, int], str] = {}

    def request(self, job_id: str, kind: str, node: int) -> None:
        """One request; its answer is checked against all that were heard before it was asked."""
        self._asked_in[job_id, kind, node, self.model.now] = self.looked_at.condition(node)
        super().request(job_id, kind, node)

    def _hear(self, new: Heard) -> None:
        self.met[self._asked_in[new.job_id, new.kind, new.node, new.asked]] += 1
        super()._hear(new)
        if new.told != UNKNOWN:
            self.looked_at.strike(new.node, Moment.TOLD)
            self._follow_up(new.job_id)

    def _follow_up(self, job_id: str) -> None:
        """Submit a job that waits on one that was accepted a moment ago: it must not be refused anywhere."""
        if job_id in self.followed_up or self.rng.random() > FOLLOWED_SHARE:
            return
        number = int(job_id.removeprefix("job-"))
        if number % 3 == 2 and number < FOLLOWERS and self.model.now < self.looked_at.strikes_until_us:
            self.followed_up.add(job_id)
            over = {"pieces": 1, "cpus": 1.0, "waits_on": [job_id]}
            late_us = self.rng.randrange(1, 3_000)
            self.model.at(late_us, lambda: self.submit(f"job-{number + FOLLOWERS}", **over))


def look_in_trouble(seed: int, hosts: int, troubles: list[Trouble], jobs: int = 30) -> TroubledUsers:
    """Four jobs a second, most of one task, while troubles strike; then all have time to end."""
    model = Looked(seed, hosts, troubles)
    model.run(4)
    users = TroubledUsers(model, seed)
    model.strikes_until_us = model.now + int(TROUBLED_S * SECOND)
    for n in range(jobs):
        over = {"pieces": 1 + (n % 3 == 0), "shape": "gang" if n % 6 == 0 else "batch", "cpus": 1.0}
        model.at(n * SECOND // 4, lambda n=n, over=over: users.submit(f"job-{n}", **over))
    model.run(TROUBLED_S + CALM_S)
    return users


def assert_all_ended(users: TroubledUsers) -> None:
    """Every job is over, and each controller says so at last."""
    model = users.model
    assert len(users.followed_up) >= 5
    assert {job.told for job in model.jobs.values()} == set(FINAL)
    for host in model.hosts:
        for job_id in model.jobs:
            users.request(job_id, "poll", host.number)
    asked_us = model.now
    model.run(3)
    for answers in users.answers.heard.values():
        assert {heard.node for heard in answers if heard.asked == asked_us} == set(range(len(model.hosts)))


MET = {
    Trouble.RELOAD: ("reading anew",),
    Trouble.RESTART: ("just started",),
    Trouble.HANDOVER: ("handing over", "just started"),
    Trouble.REFUSED: ("refused",),
    Trouble.ALONE: (),
    Trouble.FORWARDED: ("refused", "just started"),
}
"""The states of controllers in which each trouble lets questions be answered."""


@pytest.mark.parametrize("hosts", some([3], [5, 7]))
@pytest.mark.parametrize("seed", some([1], [2, 3, 4, 5, 6]))
@pytest.mark.parametrize("trouble", list(Trouble), ids=lambda trouble: trouble.name)
def test_no_answer_goes_back_around_a_trouble_of_one_controller(trouble, seed, hosts):
    users = look_in_trouble(seed, hosts, [trouble])
    happened = users.looked_at.happened
    assert happened[trouble.value] >= 5
    assert all(happened[moment.value] >= 1 for moment in Moment), happened
    for condition in MET[trouble]:
        assert users.met[condition] >= 3, users.met
    if trouble is Trouble.FORWARDED:
        assert happened["asked peer restarted"] >= 3
    assert_all_ended(users)


@pytest.mark.parametrize("hosts", [3, 5, 7])
@pytest.mark.parametrize("seed", some([11], range(12, 20)))
def test_no_answer_goes_back_around_troubles_of_all_kinds(seed, hosts):
    users = look_in_trouble(seed, hosts, list(Trouble))
    happened = users.looked_at.happened
    assert sum(happened[trouble.value] > 0 for trouble in Trouble) >= 4, happened
    assert happened["submission answered 200"] >= 20 and happened["forwarded"] >= 3
    assert_all_ended(users)


def test_the_users_see_an_acceptance_that_is_forgotten_by_one_that_restarted():
    model = Looked(1, 3, [Trouble.RESTART])
    model.run(4)
    users = TroubledUsers(model, 1)
    model.crash(1, 0.1)
    model.run(0.5)
    core = model.hosts[1].core
    core.jobs.poll = lambda request_id, job_id, forwarded=False: core.kernel.answer(request_id, 404, {"error": "no"})
    users.submit("job-1", pieces=1)
    with pytest.raises(WentBack, match="pending and then unknown"):
        model.run(10)


# All orders of a few messages around a restart and around a reload


def restart_by(number: int, ready: Callable[[Play], bool] = lambda play: True) -> Action:
    """A controller's process ends and the next one begins: what is on its way may be executed, answers are lost."""

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


def ever(found: Any) -> set[str]:
    """Everything that was answered in some order, as `kind: told` or `kind: status`."""
    return {answer for ending in found.endings for answer in ending}


@pytest.mark.parametrize(("asker", "restarts"), some([(0, 0)], [(1, 1), (0, 1), (1, 0)]))
def test_an_acceptance_is_known_to_one_that_restarts_in_any_order(asker, restarts):
    actions = [submit_at(0), restart_by(restarts), submit_at(1), poll_at(asker, told("pending"))]
    found = explore(schedules_of(world, 2, actions))
    # Some questions came before the new process had read anything, others after.
    assert (
        {"submit: pending", "poll: pending"}
        <= ever(found)
        <= {"submit: pending", "poll: pending", "poll: 503", "submit: 503"}
    )
    assert ("poll: 503" in ever(found)) == (asker == restarts)


@pytest.mark.parametrize("asker", some([1], [0]))
def test_a_cancellation_is_known_to_one_that_restarts_in_any_order(asker):
    actions = [
        cancel_at(0),
        restart_by(asker, lambda play: not play.told("cancelled")),
        poll_at(asker, told("cancelled")),
        cancel_at(1),
    ]
    found = explore(schedules_of(lambda: running_job(1, 0), 2, actions))
    assert {"cancel: cancelled", "poll: cancelled", "poll: 503"} <= ever(found)
    assert not {"poll: pending", "poll: running", "poll: unknown"} & ever(found)


@pytest.mark.parametrize("restarts", some([1], [0]))
def test_an_end_is_known_to_one_that_restarts_in_any_order(restarts):
    actions = [fold_by(0, 1), restart_by(restarts), poll_at(1), poll_at(restarts)]
    found = explore(schedules_of(lambda: running_job(2, 1), 2, actions))
    assert {"poll: done", "poll: running"} <= ever(found)


LACK = Action("lack", 0, lack_changes)
"""The state service no longer has the changes that the controller asks for next: it reads everything anew."""


def forgetful(begin: Callable[[], State]) -> Callable[[], State]:
    """The same world with a state service that can lack changes."""

    def make() -> State:
        state, begun = Forgetful(), begin()
        state.keys, state.log, state.revision = begun.keys, begun.log, begun.revision
        return state

    return make


def around_a_reload(begin: Callable[[], State], *actions: Action) -> set[str]:
    """All answers in all orders of these actions and a reload."""
    return ever(explore(schedules_of(forgetful(begin), 2, [LACK, *actions])))


@pytest.mark.parametrize("accepted_by", some([1], [0]))
def test_an_acceptance_is_known_to_one_that_reads_everything_anew_in_any_order(accepted_by):
    first = poll_at(0) if accepted_by else submit_at(0)
    answers = around_a_reload(world, first, submit_at(1), poll_at(0, told("pending")))
    # Asked while the pages are read, it says that it cannot tell; before the acceptance, that there is none.
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
    put(play.state, LIVE + "job-1", job_record("job-1", pieces=1))
    node = play.nodes[0]
    # As one that looks for the jobs before another one: the job is live, so there is no final state.
    node.core.kernel.spawn(node.core.jobs.states._read_final("job-1", Urgency.PLACE))
    play._carry_out(node, node.core.kernel.run())
    read = play.pending[0]
    play._execute(read)
    assert read.reply is not None and read.reply.status == 404
    lack_changes(play)
    play.ask("poll", 0, "GET", "/submissions/job-2", job_id="job-2")
    play._arrive(play.pending[1])
    assert not node.core.follower.loaded
    # The job ends before the first page is read: neither the pages nor the changes after them have its end.
    over = {"put": OVER + "job-1", "value": {"status": "done", "done": 1, "at_us": 1}}
    play.state.handle(0, "POST", "/txn", {"apply": [{"remove": LIVE + "job-1"}, over]})
    play._arrive(read)
    settle(play)
    assert node.core.follower.loaded
    play.ask("poll", 0, "GET", "/submissions/job-1")
    settle(play)
    assert play.ending() == ("poll: done",)
