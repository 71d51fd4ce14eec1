"""Exhaustive search over the orders in which a few messages between controllers and the state service arrive.

The controllers are the real cores, but only the follower (which keeps the cluster state up to date) runs by itself:
other traffic would make the search larger.  A schedule chooses each next step: the state service executes a request,
a controller gets an answer, or a user sends a request.  A controller's clock advances only when its follower is idle
and a coroutine waits for it.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import msgspec

from ashtray.config.operators import OperatorSettings
from ashtray.controller import Controller
from ashtray.jobs.messages import parse_submission
from ashtray.jobs.model import LIVE_JOB_PREFIX, JobRecord
from ashtray.kernel import SECOND_US, Answer, Call, Coroutine, Output, Reply, Send
from ashtray.placement.records import AllocationRecord, GroupRecord, MachineRecord
from ashtray.placement.state_keys import GROUP, TYPES
from ashtray.store.rate_limiter import Urgency
from ashtray.store.transaction import Txn
from ashtray.workers.folding import Evidence, Fold
from ashtray.workers.messages import Report, TaskState
from tests.answer_history import UNKNOWN, AnswerHistory, Heard
from tests.fakes.state import State
from tests.model import settings_for, submission

TOKEN = 7
JOB = "job-1"
"""The job of each scenario."""
ELSEWHERE = -1
"""Stands for the number of a controller that only writes, and is not simulated."""
BEGIN_US = 1000 * SECOND_US
SMALL = {
    "name": "small",
    "cpus": 4.0,
    "gpus": 0.0,
    "memory_gb": 16.0,
    "cache_gb": 20.0,
    "fetch_gb_per_s": 1.0,
    "price": 1.0,
    "spot_price": 0.4,
    "boot_us": 5 * SECOND_US,
    "zones": ["a"],
}


@dataclass
class Chooser:
    """Follows a schedule to its end, then takes the first option each time; records the numbers of options."""

    schedule: list[int]
    choices: list[tuple[int, int]] = field(default_factory=list)

    def choose(self, options: int) -> int:
        """The number of the option to take, out of `options`."""
        step = len(self.choices)
        chosen = self.schedule[step] if step < len(self.schedule) else 0
        self.choices.append((chosen, options))
        return chosen

    def next_schedule(self) -> list[int] | None:
        """The schedule after this one, in depth-first order; None after the last."""
        choices = list(self.choices)
        while choices and choices[-1][0] + 1 == choices[-1][1]:
            choices.pop()
        if not choices:
            return None
        return [chosen for chosen, _ in choices[:-1]] + [choices[-1][0] + 1]


@dataclass
class Message:
    """A request to the state service, and its answer once it has been executed."""

    node: int
    call_id: int
    call: Call
    reply: Reply | None = None
    executed: int | None = None
    """A hash that stands for the content of the state service at the execution; None before it."""

    @property
    def is_read(self) -> bool:
        """Whether the request writes nothing."""
        return self.call.path.startswith(("/follow", "/store"))


@dataclass
class Question:
    """A request of a user, and the status of its answer if that told no state."""

    node: int
    kind: str
    job_id: str
    asked: int
    """The request's number: questions and answers are counted together, and the user knew all earlier answers."""
    refused: int = 0


def no_announcement(job_id: str) -> Coroutine[None]:
    """Replaces the announcement of a cancellation to peers: takes no time and sends nothing."""
    return
    yield


class Node:
    """A controller of which only the follower runs by itself."""

    def __init__(self, number: int, hosts: int) -> None:
        self.number = number
        self.now_us = BEGIN_US
        self.core = Controller(settings_for(number, hosts), OperatorSettings(), random.Random(number))
        core = self.core
        core.kernel.strict = True
        core.presence.incarnation = 1
        # No rule depends on announcements of cancellations to peers, and they would make the search larger.
        core.peers.announcer.announce = no_announcement
        core.kernel.advance(self.now_us, self.now_us)
        for limiter in (core.store.requests, core.store.writes):
            # Request and write budgets must not delay a message here.
            limiter.bucket.rate = limiter.bucket.level = 1e9
            limiter.bucket.at_us = self.now_us
        core.kernel.spawn_repeating(core.follower.run, 0)
        self.inputs = 0
        """A hash of all inputs so far, which determine the state of the controller."""

    def note(self, given: Any) -> None:
        """Add an input to the hash of inputs."""
        self.inputs = hash((self.inputs, given))


@dataclass
class Action:
    """Something that happens once, at a moment that the search chooses, once `ready` holds."""

    name: str
    node: int
    start: Callable[[Play], None]
    ready: Callable[[Play], bool] = lambda play: True


class Play:
    """A run of a scenario from its beginning, by one schedule."""

    def __init__(self, state: State, hosts: int, actions: list[Action], chooser: Chooser) -> None:
        self.state = state
        self.nodes = [Node(n, hosts) for n in range(hosts)]
        self.actions = list(actions)
        self.chooser = chooser
        self.pending: list[Message] = []
        self.questions: dict[int, Question] = {}
        self.answers = AnswerHistory()
        self.history: list[str] = []
        self.written = 0
        """A hash of the executed transactions in their order; it stands for the state service's content."""
        self._event_count = 0
        self._read_last: Message | None = None
        """The last read whose execution was split from the arrival of its answer: a write has to follow it."""
        for node in self.nodes:
            self._carry_out(node, node.core.kernel.run())
        while self.pending:
            # Every controller begins with an up-to-date cluster state.
            self._arrive(self.pending[0])

    # Used by the actions of scenarios

    def ask(self, kind: str, node: int, method: str, path: str, body: Any = None, job_id: str = JOB) -> None:
        """Let a user's request arrive at a controller."""
        self._event_count += 1
        request_id = len(self.questions) + 1
        self.questions[request_id] = Question(node, kind, job_id, self._event_count)
        self.history.append(f"ask {kind} {node}")
        controller = self.nodes[node]
        controller.note((kind, path))
        self._carry_out(
            controller, controller.core.request(controller.now_us, controller.now_us, request_id, method, path, body)
        )

    def commit(self, node: int, build: Callable[[Controller], Txn | None], urgency: Urgency = Urgency.FOLD) -> None:
        """Let a controller commit the transaction that `build` makes, as its other components do."""
        controller = self.nodes[node]
        controller.note("commit")
        controller.core.kernel.spawn(
            controller.core.follower.commit(lambda: build(controller.core), 1, urgency, "test")
        )
        self._carry_out(controller, controller.core.kernel.run())

    def write_elsewhere(self, key: str, value: Any) -> None:
        """Send a write of a controller that is not simulated; nobody waits for its answer."""
        body = {"guards": [], "apply": [{"put": key, "value": value}]}
        call = Call("state", "POST", "/txn", body)
        self.pending.append(Message(ELSEWHERE, len(self.history), call))
        self.history.append(f"writes {key}")

    def told(self, *states: str) -> bool:
        """Whether a user was told one of these states of the scenario's job."""
        return self.answers.told(JOB, *states)

    def ending(self) -> tuple[str, ...]:
        """What users were told, in the order of the answers, and the statuses of refused requests."""
        told = [f"{heard.kind}: {heard.told}" for heard in self.answers.heard.get(JOB, ())]
        return (*told, *(f"{q.kind}: {q.refused}" for q in self.questions.values() if q.refused))

    # The search

    def run(self, visited: set[Any]) -> None:
        """Run to the end, or to a state that another schedule has visited."""
        while steps := self._steps():
            if len(self.chooser.choices) >= len(self.chooser.schedule):
                mark = self._mark()
                if mark in visited:
                    return
                visited.add(mark)
            steps[self.chooser.choose(len(steps))]()

    def _steps(self) -> list[Callable[[], None]]:
        """All steps that are possible next.

        Reads commute with each other, so a read is executed in a step of its own, before its answer arrives, only
        directly before a write.  Otherwise its execution and the arrival of the answer are one step.
        """
        reads = [message for message in self.pending if message.is_read and message.reply is None]
        writes = [message for message in self.pending if not message.is_read and message.reply is None]
        steps = [partial(self._execute, message) for message in writes]
        if writes:
            steps += [partial(self._read_before_write, message) for message in reads if self._may_read_next(message)]
        if self._read_last is not None:
            return steps
        steps += [partial(self._arrive, message) for message in self.pending if message not in writes]
        return steps + [partial(self._start, action) for action in self.actions if action.ready(self)]

    def _may_read_next(self, message: Message) -> bool:
        last = self._read_last
        return last is None or (message.node, message.call_id) > (last.node, last.call_id)

    def _read_before_write(self, message: Message) -> None:
        self._execute(message)
        self._read_last = message

    def _arrive(self, message: Message) -> None:
        """Let an answer arrive; its request is executed just before if it wasn't yet."""
        if message.reply is None:
            self._execute(message)
        self.pending.remove(message)
        self._deliver(message)

    def _start(self, action: Action) -> None:
        self.actions.remove(action)
        action.start(self)

    def _mark(self) -> Any:
        """A hash of the current state; equal after schedules that differ in the order of independent events only."""
        pending = sorted((m.node, m.call_id, str(m.executed)) for m in self.pending)
        nodes = tuple(node.inputs for node in self.nodes)
        left = tuple(action.name for action in self.actions)
        last = None if self._read_last is None else (self._read_last.node, self._read_last.call_id)
        return hash((nodes, tuple(pending), left, tuple(self.history), self.written, last))

    def _execute(self, message: Message) -> None:
        call = message.call
        status, body = self.state.handle(BEGIN_US, call.method, call.path, call.body)
        message.reply = Reply(status, msgspec.msgpack.decode(msgspec.msgpack.encode(body)))
        if not message.is_read:
            self.written = hash((self.written, message.node, message.call_id, status))
            self._read_last = None
        message.executed = self.written
        if message.node == ELSEWHERE:
            self.pending.remove(message)

    def _deliver(self, message: Message) -> None:
        node = self.nodes[message.node]
        assert message.reply is not None
        node.note((message.call_id, message.executed))
        self._carry_out(node, node.core.reply(node.now_us, node.now_us, message.call_id, message.reply))

    def _carry_out(self, node: Node, outputs: list[Output]) -> None:
        for output in outputs:
            if isinstance(output, Send):
                self.pending.append(Message(node.number, output.call_id, output.call))
            elif isinstance(output, Answer):
                self._answered(output)
        follower = node.core.follower
        following = any(
            m.node == node.number and m.call.path.startswith(("/follow", "/store?")) for m in self.pending
        )
        if follower._waiters and not following:
            # The follower is idle, and a coroutine waits for its next round.
            node.now_us = node.core.kernel.next_wake_us() or node.now_us
            self._carry_out(node, node.core.wake(node.now_us, node.now_us))

    def _answered(self, answer: Answer) -> None:
        self._event_count += 1
        question = self.questions[answer.request_id]
        if answer.status in (200, 201, 404):
            told = UNKNOWN if answer.status == 404 else answer.body["status"]
            heard = Heard(question.job_id, question.kind, question.node, question.asked, self._event_count, told)
            self.history.append(str(heard))
            self.answers.add(heard)
        else:
            question.refused = answer.status
            self.history.append(f"{question} {answer.body}")


@dataclass
class Found:
    """The result of a search."""

    schedules: int = 0
    endings: set[tuple[str, ...]] = field(default_factory=set)
    """What was told, as `kind: told`, in each schedule that came to its end."""


def explore(begin: Callable[[Chooser], Play], at_most: int = 100_000) -> Found:
    """Play all schedules of a scenario; raises AssertionError if there are more than `at_most`."""
    found = Found()
    visited: set[Any] = set()
    schedule: list[int] | None = []
    while schedule is not None:
        if found.schedules >= at_most:
            raise AssertionError(f"more than {at_most} schedules")
        chooser = Chooser(schedule)
        play = begin(chooser)
        play.run(visited)
        found.schedules += 1
        if not play.pending and not play.actions:
            found.endings.add(play.ending())
        schedule = chooser.next_schedule()
    return found


# The state service's content at the beginning of scenarios


def put(state: State, key: str, value: Any) -> None:
    """Write a record, as a controller would."""
    status, _ = state.handle(BEGIN_US, "POST", "/txn", {"guards": [], "apply": [{"put": key, "value": value}]})
    assert status == 200


def world() -> State:
    """A state service that knows the machine types."""
    state = State()
    put(state, TYPES, {"small": SMALL})
    return state


def job_record(job_id: str, **over: Any) -> Any:
    """The record of a job in its first attempt."""
    _, spec = parse_submission(submission(job_id, **over))
    return msgspec.to_builtins(JobRecord(spec, "berth-0", BEGIN_US, attempt=1))


def group_record(machine: str, holds: dict[str, str], done: dict[str, str] | None = None) -> Any:
    """The record of a group of one machine, with its allocations and completed tasks by job."""
    allocations = [
        AllocationRecord(job_id, 1, tasks, "crew", 2.0, 0.0, 4.0, BEGIN_US) for job_id, tasks in holds.items()
    ]
    record = MachineRecord(f"{machine}:1", token=TOKEN, holds=allocations)
    return msgspec.to_builtins(GroupRecord("small", "a", {machine: record}, done or {}))


def running_job(pieces: int, done: int, **over: Any) -> State:
    """A state service with one job: each task has a machine and group of its own, the first `done` have completed."""
    state = world()
    put(state, LIVE_JOB_PREFIX + JOB, job_record(JOB, pieces=pieces, **over))
    for task in range(pieces):
        ended = task < done
        holds, runs = ({}, {JOB: str(task)}) if ended else ({JOB: str(task)}, {})
        put(state, f"{GROUP}g{task}", group_record(f"vm-{task}", holds, runs))
    return state


def fold_task(core: Controller, task: int) -> Txn | None:
    """The transaction of a machine's owner after a report that the task there is done."""
    name, group = f"vm-{task}", core.cluster_state.groups[f"{GROUP}g{task}"]
    tasks = {(JOB, 1, task): TaskState("ended", "done")}
    report = Report(name, f"{name}:1", "small", "a", False, 1, 9, TOKEN, None, tasks)
    fold = Fold(core.kernel, core.cluster_state, core.limits)
    fold.add(group, [name], {name: Evidence(report, TOKEN, True)})
    return fold.transaction()


def take_over_machine(core: Controller, task: int) -> Txn | None:
    """The transaction of a controller that takes over a machine; it changes nothing about tasks."""
    name, group = f"vm-{task}", core.cluster_state.groups[f"{GROUP}g{task}"]
    report = Report(name, f"{name}:1", "small", "a", False, 1, 9, TOKEN + 1, None, {})
    fold = Fold(core.kernel, core.cluster_state, core.limits)
    fold.add(group, [name], {name: Evidence(report, TOKEN + 1, True)})
    return fold.transaction()


def schedules_of(make_state: Callable[[], State], hosts: int, actions: list[Action]) -> Callable[[Chooser], Play]:
    """A scenario for `explore`: an initial state service, a number of controllers, and actions."""
    return lambda chooser: Play(make_state(), hosts, actions, chooser)


def fold_by(node: int, task: int) -> Action:
    """The owner of a machine records that the task there is done."""
    return Action("fold", node, lambda play: play.commit(node, lambda core: fold_task(core, task)))


def fold_elsewhere(task: int) -> Action:
    """A controller that is not simulated records that the task on a machine is done."""

    value = group_record(f"vm-{task}", {}, {JOB: str(task)})
    return Action("fold", ELSEWHERE, lambda play: play.write_elsewhere(f"{GROUP}g{task}", value))


def sign_by(node: int, task: int) -> Action:
    """A controller takes over a machine."""
    return Action("sign", node, lambda play: play.commit(node, lambda core: take_over_machine(core, task)))


def cancel_at(node: int, ready: Callable[[Play], bool] = lambda play: True) -> Action:
    """A user cancels the job at a controller."""
    return Action("cancel", node, lambda play: play.ask("cancel", node, "POST", f"/submissions/{JOB}/abort"), ready)


def poll_at(node: int, ready: Callable[[Play], bool] = lambda play: True) -> Action:
    """A user queries the job's state at a controller."""
    return Action("poll", node, lambda play: play.ask("poll", node, "GET", f"/submissions/{JOB}"), ready)


def submit_at(node: int, ready: Callable[[Play], bool] = lambda play: True, **over: Any) -> Action:
    """A user submits the job at a controller."""
    body = submission(JOB, **over)
    return Action("submit", node, lambda play: play.ask("submit", node, "POST", "/submissions", body), ready)
