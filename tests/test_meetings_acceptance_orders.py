"""All orders of the events around an acceptance whose answer is lost, its repetition and a cancellation.

The search replays each order of a user's requests at two controllers, of the arrivals of their calls, and of lost
answers, and checks at every answer that no user is told anything older than before.
"""

from __future__ import annotations

import os
import random
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ashtray.config.operators import OperatorSettings
from ashtray.controller import Controller
from ashtray.fleet.messages import parse_types
from ashtray.jobs.model import FINAL_STATE_PREFIX, LIVE_JOB_PREFIX
from ashtray.kernel import Answer, Call, Output, Reply, Send
from ashtray.placement.state_keys import TYPES
from ashtray.store.transaction import Txn
from tests.fakes.state import State
from tests.model import SECOND, settings_for, submission
from tests.model import TYPES as MACHINE_TYPES

JOB = "job-1"
PEER_REQUEST = 1
MAX_LOST_ANSWERS = int(os.environ.get("ASHTRAY_ACCEPTANCE_TROUBLES", "1"))
"""How many transactions in one order may lose their answer: with one there are 1,822 states, with two 5,945."""
MAX_IDLE_READS = int(os.environ.get("ASHTRAY_ACCEPTANCE_LOOKS", "0"))
"""How often each controller reads the state service on its own initiative, while no user waits for an answer."""


@dataclass
class SearchedController:
    """A controller of which only the components that answer users run, and none that place tasks or take reports."""

    core: Controller
    calls: dict[int, Call] = field(default_factory=dict)
    """Calls that have no answer yet, by their number."""
    inputs: list[str] = field(default_factory=list)
    """All its inputs, in order; they determine its state."""
    open_requests: set[int] = field(default_factory=set)
    """The user's requests that it has not answered."""
    idle_reads: int = 0
    """How often it has read the state service while no user waited."""

    def call(self, *prefixes: str) -> int | None:
        """Return the number of its oldest call whose path has one of these prefixes, if there is one."""
        return next((number for number, call in self.calls.items() if call.path.startswith(prefixes)), None)


class EventOrder:
    """One order of events around one job; the rules are checked at every answer.

    A choice names the next event.  The same choices lead to the same state, so that an order can be replayed.
    """

    def __init__(self) -> None:
        self.state = State()
        kinds = msgspec.to_builtins(parse_types({"hulls": MACHINE_TYPES}))
        self.state.handle(0, "POST", "/txn", Txn().put(TYPES, kinds).body())
        self.controllers = [self._controller(number) for number in range(2)]
        self.delayed: list[Any] = []
        """Transactions that have not arrived yet, although their senders have given up waiting for the answer."""
        self.lost_answers = 0
        self.asked: dict[int, tuple[str, int]] = {}
        """Requests of the user: the choice, and the number of the step in which it was made."""
        self.told: list[tuple[int, str, int, Any]] = []
        self.step = 0
        self.accepted_at: int | None = None
        self.cancelled_at: int | None = None
        self.outcomes: set[str] = set()

    def _controller(self, number: int) -> SearchedController:
        core = Controller(settings_for(number, 2), OperatorSettings(), random.Random(number))
        core.kernel.strict = True
        core.presence.incarnation = 1
        controller = SearchedController(core)
        core.kernel.advance(SECOND, SECOND)
        for bucket in (core.store.requests.bucket, core.store.writes.bucket):
            bucket.at_us = SECOND
        core.kernel.spawn_repeating(core.follower.run, 0)
        self._collect(controller, core.kernel.run())
        while not core.follower.loaded:
            self._answer_read(controller)
        return controller

    # What may happen next

    def choices(self) -> list[str]:
        """Return the events that are possible now."""
        found = []
        for number, controller in enumerate(self.controllers):
            if controller.call("/txn") is not None:
                found.append(f"commit {number}")
                if self.lost_answers < MAX_LOST_ANSWERS:
                    # "arrive" as the very next event stands for a transaction that is carried out at once.
                    found.append(f"delay {number}")
            if controller.call("/peer") is not None:
                found.append(f"tell {number}")
            if controller.call("/follow", "/store") is not None:
                found.append(f"read {number}")
            elif not controller.calls and (controller.open_requests or controller.idle_reads < MAX_IDLE_READS):
                found.append(f"wake {number}")
        found += [f"arrive {n}" for n in range(len(self.delayed))]
        return found + self._requests()

    def _requests(self) -> list[str]:
        """Return what the user may ask now: each request once, in a sensible order."""
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
        """Let one event happen and check the job's records."""
        self.step += 1
        what, number = choice.split()[0], int(choice.split()[1])
        if what == "arrive":
            status, _ = self.state.handle(0, "POST", "/txn", self.delayed.pop(number))
            self.outcomes.add(f"late {status}")
        elif what in ("submit", "again", "abort"):
            self._ask(choice, what, self.controllers[number])
        else:
            controller = self.controllers[number]
            if what == "wake":
                self._wake(controller)
            elif what == "read":
                self._answer_read(controller)
            elif what == "tell":
                self._deliver(controller, self.controllers[1 - number])
            else:
                self._commit(controller, what)
        live, over = LIVE_JOB_PREFIX + JOB in self.state.keys, FINAL_STATE_PREFIX + JOB in self.state.keys
        assert not (live and over), "a job that is over is live again"
        if self.cancelled_at is not None:
            assert over and self.state.keys[FINAL_STATE_PREFIX + JOB][0]["status"] == "cancelled"

    def _ask(self, choice: str, what: str, controller: SearchedController) -> None:
        request = 100 + len(self.asked)
        self.asked[request] = (choice, self.step)
        path = "/submissions" if what != "abort" else f"/submissions/{JOB}/abort"
        body = submission(JOB, hulls=["small"]) if what != "abort" else None
        controller.open_requests.add(request)
        now = controller.core.kernel.now_us
        self._collect(controller, controller.core.request(now, now, request, "POST", path, body), choice)

    def _wake(self, controller: SearchedController) -> None:
        """Let time pass until a controller sends a call or answers a user."""
        controller.idle_reads += not controller.open_requests
        waiting = len(controller.open_requests)
        while not controller.calls and len(controller.open_requests) == waiting:
            due = controller.core.kernel.next_wake_us()
            assert due is not None
            self._collect(controller, controller.core.wake(due, due), "wake")

    def _answer_read(self, controller: SearchedController) -> None:
        """Let the state service answer a controller's oldest read."""
        number = controller.call("/follow", "/store")
        assert number is not None
        call = controller.calls[number]
        self._reply(controller, number, *self.state.handle(0, call.method, call.path, call.body))

    def _deliver(self, controller: SearchedController, peer: SearchedController) -> None:
        """Deliver a controller's oldest message to its peer, and the peer's answer to it."""
        number = controller.call("/peer")
        assert number is not None
        call = controller.calls[number]
        now = peer.core.kernel.now_us
        outputs = peer.core.peer_request(now, now, PEER_REQUEST, call.method, call.path, call.body)
        (answer,) = [out for out in outputs if isinstance(out, Answer) and out.request_id == PEER_REQUEST]
        self._collect(peer, [out for out in outputs if out is not answer], f"{call.path} {call.body}")
        self._reply(controller, number, answer.status, answer.body)

    def _commit(self, controller: SearchedController, what: str) -> None:
        number = controller.call("/txn")
        assert number is not None
        call = controller.calls[number]
        if what == "delay":
            self.delayed.append(call.body)
            self.lost_answers += 1
            self._reply(controller, number, 0, None)
            return
        self._reply(controller, number, *self.state.handle(0, "POST", "/txn", call.body))

    def _reply(self, controller: SearchedController, number: int, status: int, body: Any) -> None:
        del controller.calls[number]
        now = controller.core.kernel.now_us
        self._collect(
            controller, controller.core.reply(now, now, number, Reply(status, body)), f"{number} {status} {body}"
        )

    def _collect(self, controller: SearchedController, outputs: list[Output], heard: str = "") -> None:
        if heard:
            controller.inputs.append(heard)
        for output in outputs:
            if isinstance(output, Send):
                controller.calls[output.call_id] = output.call
            elif isinstance(output, Answer):
                controller.open_requests.remove(output.request_id)
                self._check_answer(output)

    def _check_answer(self, answer: Answer) -> None:
        """Check that an answer to the user contradicts none that the user had got before asking."""
        choice, asked_at = self.asked[answer.request_id]
        status = (answer.body or {}).get("status")
        self.outcomes.add(f"{choice.split()[0]} {answer.status} {status}")
        assert answer.status in (200, 201, 429, 503)
        if self._after_cancellation(asked_at):
            assert answer.status in (429, 503) or status == "cancelled", f"{choice} told {status}"
        if answer.status in (200, 201):
            self.accepted_at = self.accepted_at or self.step
        if status == "cancelled":
            assert any(asked.startswith("abort") for asked, _ in self.asked.values())
            self.cancelled_at = self.cancelled_at or self.step

    def _after_cancellation(self, asked_at: int) -> bool:
        """Return whether the user asked after having been told that the job is cancelled."""
        return self.cancelled_at is not None and asked_at > self.cancelled_at

    def fingerprint(self) -> tuple[Any, ...]:
        """Return a value that is equal for two orders of events that lead to the same state."""
        keys = tuple(sorted((key, stamp) for key, (_, stamp, _) in self.state.keys.items()))
        controllers = tuple((tuple(controller.inputs), controller.idle_reads) for controller in self.controllers)
        delayed = tuple(msgspec.msgpack.encode(body) for body in self.delayed)
        asked = tuple(sorted((what, self._after_cancellation(at)) for what, at in self.asked.values()))
        return keys, controllers, delayed, asked, self.accepted_at is None, self.cancelled_at is None


def replay(choices: tuple[str, ...]) -> EventOrder:
    """Return an order in which these events have happened."""
    order = EventOrder()
    for choice in choices:
        order.do(choice)
    return order


def test_all_orders_of_an_unanswered_acceptance_its_repetition_and_a_cancellation_keep_the_rules() -> None:
    outcomes: set[str] = set()
    seen: set[Any] = set()
    left: list[tuple[str, ...]] = [()]
    ends = 0
    while left:
        choices = left.pop()
        order = replay(choices)
        while (mark := order.fingerprint()) not in seen:
            seen.add(mark)
            outcomes |= order.outcomes
            following = order.choices()
            if not following:
                ends += 1
                break
            left += [(*choices, choice) for choice in following[1:]]
            choices = (*choices, following[0])
            order.do(following[0])
    assert len(seen) > 1500
    assert ends > 100
    assert {"late 200", "late 409", "again 200 cancelled", "submit 200 cancelled", "submit 503 None"} <= outcomes
