"""Direct commands held up on their way that meet cancellations, restarts, limits and other owners.

A command that is held up gets no answer, and the machine executes it once it comes, if token and session still match.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
import pytest

from tests.meeting_model import Meeting, batch, some
from tests.model import CANCEL_S, SECOND, TEAM, submission

FINE_STEP_S = 0.002
ANSWER_S = 1.0
"""Users are to be told of their cancellations well within the 5 s that they wait."""


@dataclass
class HeldCommand:
    """A direct command that is, or was, held up on its way."""

    machine: str
    body: dict[str, Any]
    sent_us: int
    arrived_us: int | None = None
    status: int | None = None
    known: bool | None = None
    """Whether the machine knew its first task when it came."""
    attempts: frozenset[int] = frozenset()
    """The attempts of its first job that were on machines when it came."""


class LateCommands(Meeting):
    """The model with direct commands of a given kind held up."""

    def __init__(self, seed: int, hosts: int = 3) -> None:
        self.allocations: list[HeldCommand] = []
        self.held_at_random = 0
        self.late_s: Callable[[dict[str, Any]], float] = lambda body: 0.0
        """For how long a command is held up, by its body."""
        self.answered_in_s: list[float] = []
        """How long users waited for each answer to a cancellation."""
        super().__init__(seed, hosts)

    def _hold_command(self, name: str, there_us: int, body: Any) -> bool:
        late_s = self.late_s(body)
        if not late_s:
            held = super()._hold_command(name, there_us, body)
            self.held_at_random += held
            return held
        command = HeldCommand(name, body, self.now)
        self.allocations.append(command)

        def executed(status: int, _: Any) -> None:
            command.arrived_us, command.status = self.now, status

        def arrive() -> None:
            tasks = self.workers[name].tasks if name in self.workers else {}
            job_id = body["orders"][0]["piece"].partition("/")[0]
            keys = [key for machines in self.on.values() for key in machines.values()]
            command.attempts = frozenset(key[1] for key in keys if key[0] == job_id)
            command.known = any(f"{key[0]}/{key[2]}" == body["orders"][0]["piece"] for key in tasks)
            self._arrive("late", name, "POST", "/orders", body, executed, lambda _: None)

        self.at(there_us + int(late_s * SECOND), arrive)
        return True

    def _ask(self, method: str, path: str, body: Any, timeout_s: float, then: Any, node: int | None = None) -> None:
        asked_us = self.now

        def answered(reply: Any) -> None:
            if path.endswith("/abort"):
                self.answered_in_s.append((self.now - asked_us) / SECOND)
            then(reply)

        super()._ask(method, path, body, timeout_s, answered, node)

    def hold(self, verb: str, seconds: float, most: int = 1, job_id: str = "") -> None:
        """Hold up the next commands that have an order with this verb, of one job or of any."""

        def late_s(body: dict[str, Any]) -> float:
            named = [order for order in body["orders"] if order["verb"] == verb]
            chosen = any(order["piece"].startswith(f"{job_id}/" if job_id else "job-") for order in named)
            return seconds if chosen and len(self.allocations) < most else 0.0

        self.late_s = late_s


def with_room(seed: int, hosts: int = 3, **over: Any) -> LateCommands:
    """Machines that have the image, and room on them; they are kept, for each has work."""
    model = LateCommands(seed, hosts)
    model.begin(batch(n, **{"pieces": 2, "cpus": 1.0, **over}) for n in range(6))
    for job_id in sorted(model.jobs)[::2]:
        model.cancel(job_id)
    model.run(3)
    return model


def launch_held(model: LateCommands, seconds: float, most: int = 1, **over: Any) -> HeldCommand:
    """Submit job-50, whose first start is held up; returns that command when it has just been sent."""
    model.hold("launch", seconds, most, "job-50")
    model.long.add("job-50")
    model.submit(batch(50, **{"pieces": 1, "cpus": 1.0, **over}))
    for _ in range(int(10 / FINE_STEP_S)):
        model.run(FINE_STEP_S)
        if model.allocations:
            return model.allocations[0]
    raise AssertionError("no start of it was sent directly")


def places(model: Meeting, job_id: str) -> set[str]:
    """The machines that a job's tasks are placed on, as the first controller that runs knows them."""
    core = model.live()[0].core
    assert core is not None
    return {name for name, _ in core.cluster_state.allocations.get(job_id, {})}


def tasks_placed(model: Meeting, job_id: str) -> set[int]:
    """The tasks of a job that have a place."""
    core = model.live()[0].core
    assert core is not None
    return set(core.cluster_state.placed(job_id))


# Starts after a confirmed cancellation

LATE_S = some([0.5, 2.0], [0.1, 0.2, 0.3, 1.0, 1.4, 1.6, 3.0, 9.0])
AFTER_S = some([0.0, 0.04, 1.3], [0.01, 0.2, 0.7, 1.48, 1.55, 1.9])
CANCELLED_UNDER_WAY = [(late_s, after_s) for late_s in LATE_S for after_s in AFTER_S if after_s < late_s]
"""For how long a start is held up, and when its job is cancelled after it was sent."""


@pytest.mark.parametrize("by_owner", [True, False])
@pytest.mark.parametrize(("late_s", "after_s"), CANCELLED_UNDER_WAY)
def test_a_held_start_is_void_before_its_job_s_cancellation_is_confirmed(
    late_s: float, after_s: float, by_owner: bool
) -> None:
    model = with_room(41)
    command = launch_held(model, late_s)
    owner = model.owner(command.machine)
    assert owner is not None
    model.run(after_s)
    model.nodes = [number for number in range(3) if (number == owner) == by_owner]
    model.answered_in_s.clear()
    asked_us = model.now
    model.cancel("job-50")
    model.run(late_s + 3)
    cancelled_us = model.jobs["job-50"].cancelled_us
    assert cancelled_us is not None and command.arrived_us is not None
    # The meeting: the start came after its job's cancellation was asked for; most often after it was confirmed.
    assert command.arrived_us > asked_us
    if command.arrived_us > cancelled_us:
        assert command.status == 409
    assert not model.late_starts
    assert max(model.answered_in_s) < ANSWER_S


@pytest.mark.parametrize("hosts", some([3, 5], [7]))
@pytest.mark.parametrize("seed", some([1, 2], range(3, 20)))
def test_no_start_follows_a_confirmed_cancellation_while_commands_are_held_up(hosts: int, seed: int) -> None:
    model = with_room(seed, hosts)
    model.hold_commands(0.3, 60)
    model.answered_in_s.clear()
    ids = [f"job-{n}" for n in range(100, 140)]
    for n, job_id in enumerate(ids):
        model.long.add(job_id)
        model.submit(batch(100 + n, pieces=1, cpus=0.5))
        model.at(int(model.rng.uniform(0.05, 1.2) * SECOND), lambda job_id=job_id: model.cancel(job_id))
        model.run(0.25)
    model.run(20)
    # The meeting: commands were held up.
    assert model.held_at_random >= 1
    told = [model.jobs[job_id].cancelled_us for job_id in ids]
    assert sum(at is not None for at in told) > 30
    assert not model.late_starts
    assert max(model.answered_in_s) < ANSWER_S


def fetching(model: Meeting, job_id: str) -> str:
    """Wait until a task of a job fetches its image; its machine."""
    for _ in range(1000):
        model.run(0.01)
        for name, worker in model.workers.items():
            if any(key[0] == job_id and task.state == "fetching" for key, task in worker.tasks.items()):
                return name
    raise AssertionError("no task of it fetches")


def test_a_task_that_fetches_where_orders_go_out_in_answers_is_ended_before_the_confirmation() -> None:
    model = with_room(48)
    model.long.add("job-50")
    for host in model.live():
        assert host.core is not None
        for worker in host.core.desk.workers.values():
            # As after an order without an answer.
            worker.direct_backoff_until_us = host.core.kernel.now_us + 30 * SECOND
    for worker in model.workers.values():
        worker.fetch_us = 10 * SECOND
    model.submit(batch(50, pieces=1, cpus=1.0, bundle="img-2"))
    name = fetching(model, "job-50")
    tick = model.workers[name].tick
    while model.workers[name].tick == tick:
        model.run(0.01)
    # Its owner has just heard that it fetches; it has its image before the next report.
    model.run(0.02)
    for task in model.workers[name].tasks.values():
        if task.state == "fetching":
            task.ready_us = model.now + SECOND // 2
    model.cancel("job-50")
    model.run(0.45)
    # The meeting: it fetched when it was cancelled, and the next report is three quarters of REPORT_S away at least.
    assert model.jobs["job-50"].told == "cancelled"
    model.run(3)
    assert not model.late_starts and "job-50" not in model.job_starts


@pytest.mark.parametrize("late_s", [2.0, 6.0])
def test_a_held_kill_is_replaced_before_its_task_has_its_image(late_s: float) -> None:
    model = with_room(42)
    model.long.add("job-50")
    # An image that no machine has: the fetch takes a second.
    model.submit(batch(50, pieces=2, cpus=1.0, bundle="img-2"))
    fetching(model, "job-50")
    model.run(0.05)
    model.hold("kill", late_s, 1, "job-50")
    model.cancel("job-50")
    model.run(late_s + 2)
    # The meeting: a kill of it came when its task would have had its image for long.
    cancelled_us = model.jobs["job-50"].cancelled_us
    assert cancelled_us is not None and model.allocations
    assert all(command.arrived_us and command.arrived_us > cancelled_us + SECOND for command in model.allocations)
    assert {command.status for command in model.allocations} == {409}
    assert not model.late_starts and "job-50" not in model.job_starts


def test_a_start_held_up_on_its_way_to_a_mute_machine_is_void_before_the_confirmation() -> None:
    model = with_room(43)
    command = launch_held(model, 5.0)
    model.mute(command.machine, 20)
    model.run(0.1)
    model.cancel("job-50")
    model.run(7)
    # The meeting: no report of the machine came between the command and its arrival.
    assert model.happened["mute"] >= 1
    assert command.status == 409 and model.jobs["job-50"].told == "cancelled"
    assert not model.late_starts


# A start that arrives after its task was placed elsewhere


@pytest.mark.parametrize("late_s", some([2.0, 5.0], [3.0, 8.0, 14.0]))
@pytest.mark.parametrize("crew", ["free", "crew"])
def test_a_held_start_of_a_gang_s_attempt_is_void_before_the_next_attempt_starts(late_s: float, crew: str) -> None:
    model = with_room(44)
    command = launch_held(model, late_s, shape="gang", pieces=6, cpus=4.0, crew=crew, expect_s=600.0)
    # Until all controllers have read where it was placed.
    model.run(0.5)
    # At its limit, the team has room for no second attempt before this one is gone.
    assert crew == "free" or len(tasks_placed(model, "job-50")) * 4.0 == TEAM["cpus_max"]
    other = next(name for name in sorted(places(model, "job-50")) if name != command.machine)
    model.cloud.end(model.now, other, "taken")
    model.run(late_s + 40)
    # The meeting: it came late.  Until its machine has heard the new token its place counts: nothing later starts.
    own = command.body["orders"][0]["try"]
    assert command.arrived_us is not None
    assert command.status == 409 or max(command.attempts, default=own) <= own
    assert late_s < 5 or command.status == 409
    attempts = {key[1] for machines in model.on.values() for key in machines.values() if key[0] == "job-50"}
    assert attempts and min(attempts) > command.body["orders"][0]["try"]
    assert len([key for key in model.on if key[0] == "job-50"]) == 6


# A start that arrives after its task has ended and been cleared


@pytest.mark.parametrize("late_s", [12.0, 15.0])
def test_a_held_start_does_not_repeat_a_task_that_has_ended_and_been_cleared(late_s: float) -> None:
    model = with_room(45)
    model.hold("launch", late_s, 1, "job-50")
    model.submit(submission("job-50", pieces=1, cpus=1.0, crew="free", hulls=["small"]))
    model._run_us = lambda key: SECOND // 2  # type: ignore[method-assign]
    model.run(late_s + 3)
    (command,) = model.allocations
    # The meeting: its task had run under a newer token, was done and forgotten by the machine when it came.
    assert command.arrived_us is not None
    assert model.jobs["job-50"].told == "done" and model.jobs["job-50"].told_us < command.arrived_us
    assert command.known is False
    assert command.status == 409
    assert model.job_starts["job-50"] == 1


def test_an_order_s_answer_does_not_say_that_the_answer_to_a_report_has_come() -> None:
    model = with_room(47)
    name = next(name for name in sorted(model.workers) if model.owner(name) is not None)
    core = model.hosts[model.owner(name) or 0].core
    assert core is not None
    worker = core.desk.workers[name]
    report = worker.report
    assert report is not None
    worker.answered_report = (report.session, report.tick)
    # Executed after the report was sent, before its answer arrives.
    later = msgspec.structs.replace(report, tick=report.tick + 1)
    core.desk._on_order_answer(worker, later)
    assert worker.report is later and worker.answered_report == (report.session, report.tick)
    group = core.cluster_state.groups[core.cluster_state.machines[name].group]
    assert not core.desk._evidence(group)[name].proves_absence
    # Its next report is sent when the answer has come or was given up.
    core.desk._take_report(worker, msgspec.structs.replace(report, tick=report.tick + 2))
    assert worker.answered_report is None


# The sender is gone


@pytest.mark.parametrize("hosts", some([3], [5, 7]))
@pytest.mark.parametrize("how", ["halt", "crash", "hand over"])
@pytest.mark.parametrize("late_s", some([0.7, 2.0], [1.0, 3.0, 5.0]))
def test_a_held_start_whose_sender_is_gone_is_void_before_the_confirmation(
    late_s: float, how: str, hosts: int
) -> None:
    model = with_room(46, hosts)
    command = launch_held(model, late_s)
    owner = model.owner(command.machine)
    assert owner is not None
    model.change(how, owner, 30)
    model.nodes = [number for number in range(hosts) if number != owner]
    model.answered_in_s.clear()
    model.cancel("job-50")
    model.run(CANCEL_S + 10)
    cancelled_us = model.jobs["job-50"].cancelled_us
    # The meeting: the command came after the confirmation, and whoever sent it was gone or is going.
    assert cancelled_us is not None and command.arrived_us is not None and command.arrived_us > cancelled_us
    assert command.status == 409
    assert not model.late_starts
    assert max(model.answered_in_s) < ANSWER_S
