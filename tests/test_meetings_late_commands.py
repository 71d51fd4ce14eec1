"""Direct commands that are delayed on their way while jobs are cancelled, restarted or limited, or owners change.

The sender gets no answer to a delayed command, and the machine executes the command on arrival if token and session
still match.  The tests guard against a delayed launch that starts a task after the job's confirmed cancellation, in
an old attempt or a second time, and against a confirmation that waits too long for such a launch.
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
CANCEL_ANSWER_S = 1.0
"""Longest wait for the answer to a cancellation: well within the 5 s after which users give up."""


@dataclass
class LateCommand:
    """A direct command that is, or was, delayed on its way."""

    machine: str
    body: dict[str, Any]
    sent_us: int
    arrived_us: int | None = None
    status: int | None = None
    known: bool | None = None
    """Whether the machine knew the task of its first order when it arrived."""
    attempts: frozenset[int] = frozenset()
    """The attempts of the job of its first order that were on machines when it arrived."""


class LateCommands(Meeting):
    """The model, which delays chosen direct commands."""

    def __init__(self, seed: int, hosts: int = 3) -> None:
        self.late_commands: list[LateCommand] = []
        self.randomly_late = 0
        self.late_s: Callable[[dict[str, Any]], float] = lambda body: 0.0
        """Returns the delay of a command in seconds for its body."""
        self.answered_in_s: list[float] = []
        """How many seconds users waited for each answer to a cancellation."""
        super().__init__(seed, hosts)

    def _hold_command(self, name: str, there_us: int, body: Any) -> bool:
        late_s = self.late_s(body)
        if not late_s:
            held = super()._hold_command(name, there_us, body)
            self.randomly_late += held
            return held
        command = LateCommand(name, body, self.now)
        self.late_commands.append(command)

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

    def delay_next(self, verb: str, seconds: float, max_count: int = 1, job_id: str = "") -> None:
        """Delay the next commands, at most so many, that have an order with this verb for one job, or for any job."""

        def late_s(body: dict[str, Any]) -> float:
            matching = [order for order in body["orders"] if order["verb"] == verb]
            chosen = any(order["piece"].startswith(f"{job_id}/" if job_id else "job-") for order in matching)
            return seconds if chosen and len(self.late_commands) < max_count else 0.0

        self.late_s = late_s


def with_free_capacity(seed: int, hosts: int = 3, **overrides: Any) -> LateCommands:
    """Return a model of machines that have the image and free capacity; each has work, so that none is returned."""
    model = LateCommands(seed, hosts)
    model.begin(batch(n, **{"pieces": 2, "cpus": 1.0, **overrides}) for n in range(6))
    for job_id in sorted(model.jobs)[::2]:
        model.cancel(job_id)
    model.run(3)
    return model


def submit_with_late_launch(model: LateCommands, seconds: float, max_count: int = 1, **overrides: Any) -> LateCommand:
    """Submit job-50 and delay its first launches; return the first delayed command as soon as it is sent."""
    model.delay_next("launch", seconds, max_count, "job-50")
    model.long.add("job-50")
    model.submit(batch(50, **{"pieces": 1, "cpus": 1.0, **overrides}))
    for _ in range(int(10 / FINE_STEP_S)):
        model.run(FINE_STEP_S)
        if model.late_commands:
            return model.late_commands[0]
    raise AssertionError("no launch of job-50 was sent directly")


def allocated_machines(model: Meeting, job_id: str) -> set[str]:
    """Return the machines with allocations of a job in the cluster state of the first running controller."""
    core = model.live()[0].core
    assert core is not None
    return {name for name, _ in core.cluster_state.allocations.get(job_id, {})}


def placed_tasks(model: Meeting, job_id: str) -> set[int]:
    """Return the placed tasks of a job in the cluster state of the first running controller."""
    core = model.live()[0].core
    assert core is not None
    return set(core.cluster_state.placed(job_id))


# Launches that arrive after a confirmed cancellation

LATE_S = some([0.5, 2.0], [0.1, 0.2, 0.3, 1.0, 1.4, 1.6, 3.0, 9.0])
CANCEL_AFTER_S = some([0.0, 0.04, 1.3], [0.01, 0.2, 0.7, 1.48, 1.55, 1.9])
DELAY_CANCEL_S = [(late_s, cancel_s) for late_s in LATE_S for cancel_s in CANCEL_AFTER_S if cancel_s < late_s]
"""How long a launch is delayed, and how long after it was sent its job is cancelled, in seconds."""


@pytest.mark.parametrize("by_owner", [True, False])
@pytest.mark.parametrize(("late_s", "cancel_s"), DELAY_CANCEL_S)
def test_a_held_start_is_void_before_its_job_s_cancellation_is_confirmed(
    late_s: float, cancel_s: float, by_owner: bool
) -> None:
    model = with_free_capacity(41)
    command = submit_with_late_launch(model, late_s)
    owner = model.owner(command.machine)
    assert owner is not None
    model.run(cancel_s)
    model.nodes = [number for number in range(3) if (number == owner) == by_owner]
    model.answered_in_s.clear()
    asked_us = model.now
    model.cancel("job-50")
    model.run(late_s + 3)
    cancelled_us = model.jobs["job-50"].cancelled_us
    assert cancelled_us is not None and command.arrived_us is not None
    # The case is reached: the launch arrived after the cancellation was requested, usually after its confirmation.
    assert command.arrived_us > asked_us
    if command.arrived_us > cancelled_us:
        assert command.status == 409
    assert not model.late_starts
    assert max(model.answered_in_s) < CANCEL_ANSWER_S


@pytest.mark.parametrize("hosts", some([3, 5], [7]))
@pytest.mark.parametrize("seed", some([1, 2], range(3, 20)))
def test_no_start_follows_a_confirmed_cancellation_while_commands_are_held_up(hosts: int, seed: int) -> None:
    model = with_free_capacity(seed, hosts)
    model.hold_commands(0.3, 60)
    model.answered_in_s.clear()
    ids = [f"job-{n}" for n in range(100, 140)]
    for n, job_id in enumerate(ids):
        model.long.add(job_id)
        model.submit(batch(100 + n, pieces=1, cpus=0.5))
        model.at(int(model.rng.uniform(0.05, 1.2) * SECOND), lambda job_id=job_id: model.cancel(job_id))
        model.run(0.25)
    model.run(20)
    # The case is reached: commands were delayed.
    assert model.randomly_late >= 1
    confirmed_us = [model.jobs[job_id].cancelled_us for job_id in ids]
    assert sum(at is not None for at in confirmed_us) > 30
    assert not model.late_starts
    assert max(model.answered_in_s) < CANCEL_ANSWER_S


def run_until_fetching(model: Meeting, job_id: str) -> str:
    """Run until a task of a job fetches its image, and return its machine."""
    for _ in range(1000):
        model.run(0.01)
        for name, worker in model.workers.items():
            if any(key[0] == job_id and task.state == "fetching" for key, task in worker.tasks.items()):
                return name
    raise AssertionError("no task of the job fetches its image")


def test_a_task_that_fetches_where_orders_go_out_in_answers_is_ended_before_the_confirmation() -> None:
    model = with_free_capacity(48)
    model.long.add("job-50")
    for host in model.live():
        assert host.core is not None
        for worker in host.core.worker_manager.workers.values():
            # The state after an order without an answer: orders go out only in answers to reports.
            worker.direct_backoff_until_us = host.core.kernel.now_us + 30 * SECOND
    for worker in model.workers.values():
        worker.fetch_us = 10 * SECOND
    model.submit(batch(50, pieces=1, cpus=1.0, bundle="img-2"))
    name = run_until_fetching(model, "job-50")
    tick = model.workers[name].tick
    while model.workers[name].tick == tick:
        model.run(0.01)
    # The owner has just learned that the task fetches; the image will be complete before the next report.
    model.run(0.02)
    for task in model.workers[name].tasks.values():
        if task.state == "fetching":
            task.ready_us = model.now + SECOND // 2
    model.cancel("job-50")
    model.run(0.45)
    # The confirmation came before the next report, which is at least three quarters of REPORT_S away.
    assert model.jobs["job-50"].told == "cancelled"
    model.run(3)
    assert not model.late_starts and "job-50" not in model.job_starts


@pytest.mark.parametrize("late_s", [2.0, 6.0])
def test_a_held_kill_is_replaced_before_its_task_has_its_image(late_s: float) -> None:
    model = with_free_capacity(42)
    model.long.add("job-50")
    # No machine has this image, so the fetch takes a second.
    model.submit(batch(50, pieces=2, cpus=1.0, bundle="img-2"))
    run_until_fetching(model, "job-50")
    model.run(0.05)
    model.delay_next("kill", late_s, 1, "job-50")
    model.cancel("job-50")
    model.run(late_s + 2)
    # The case is reached: a kill arrived long after its task would have had its image.
    cancelled_us = model.jobs["job-50"].cancelled_us
    assert cancelled_us is not None and model.late_commands
    assert all(command.arrived_us and command.arrived_us > cancelled_us + SECOND for command in model.late_commands)
    assert {command.status for command in model.late_commands} == {409}
    assert not model.late_starts and "job-50" not in model.job_starts


def test_a_start_held_up_on_its_way_to_a_mute_machine_is_void_before_the_confirmation() -> None:
    model = with_free_capacity(43)
    command = submit_with_late_launch(model, 5.0)
    model.mute(command.machine, 20)
    model.run(0.1)
    model.cancel("job-50")
    model.run(7)
    # The case is reached: no report of the machine reached a controller between the sending and the arrival.
    assert model.happened["mute"] >= 1
    assert command.status == 409 and model.jobs["job-50"].told == "cancelled"
    assert not model.late_starts


# A launch that arrives after its task was placed elsewhere


@pytest.mark.parametrize("late_s", some([2.0, 5.0], [3.0, 8.0, 14.0]))
@pytest.mark.parametrize("team", ["free", "crew"])
def test_a_held_start_of_a_gang_s_attempt_is_void_before_the_next_attempt_starts(late_s: float, team: str) -> None:
    model = with_free_capacity(44)
    command = submit_with_late_launch(model, late_s, shape="gang", pieces=6, cpus=4.0, crew=team, expect_s=600.0)
    # Let all controllers read the placement.
    model.run(0.5)
    # The team is at its limit, so that no second attempt fits before the first one is gone.
    assert team == "free" or len(placed_tasks(model, "job-50")) * 4.0 == TEAM["cpus_max"]
    other_machine = next(name for name in sorted(allocated_machines(model, "job-50")) if name != command.machine)
    model.cloud.end(model.now, other_machine, "taken")
    model.run(late_s + 40)
    # The case is reached: the launch arrived late.  Until its machine has the new token, its allocation counts and no
    # later attempt starts.
    own_attempt = command.body["orders"][0]["try"]
    assert command.arrived_us is not None
    assert command.status == 409 or max(command.attempts, default=own_attempt) <= own_attempt
    assert late_s < 5 or command.status == 409
    attempts = {key[1] for machines in model.on.values() for key in machines.values() if key[0] == "job-50"}
    assert attempts and min(attempts) > command.body["orders"][0]["try"]
    assert len([key for key in model.on if key[0] == "job-50"]) == 6


# A launch that arrives after its task has ended and been cleared


@pytest.mark.parametrize("late_s", [12.0, 15.0])
def test_a_held_start_does_not_repeat_a_task_that_has_ended_and_been_cleared(late_s: float) -> None:
    model = with_free_capacity(45)
    model.delay_next("launch", late_s, 1, "job-50")
    model.submit(submission("job-50", pieces=1, cpus=1.0, crew="free", hulls=["small"]))
    model._run_us = lambda key: SECOND // 2  # type: ignore[method-assign]
    model.run(late_s + 3)
    (command,) = model.late_commands
    # The case is reached: when the launch arrived, its task had run under a newer token and was done and cleared.
    assert command.arrived_us is not None
    assert model.jobs["job-50"].told == "done" and model.jobs["job-50"].told_us < command.arrived_us
    assert command.known is False
    assert command.status == 409
    assert model.job_starts["job-50"] == 1


def test_an_order_s_answer_does_not_say_that_the_answer_to_a_report_has_come() -> None:
    model = with_free_capacity(47)
    name = next(name for name in sorted(model.workers) if model.owner(name) is not None)
    core = model.hosts[model.owner(name) or 0].core
    assert core is not None
    worker = core.worker_manager.workers[name]
    report = worker.report
    assert report is not None
    worker.answered_report = (report.session, report.tick)
    # The order was executed after the report was sent and before the answer to the report arrives.
    later = msgspec.structs.replace(report, tick=report.tick + 1)
    core.worker_manager._on_order_answer(worker, later)
    assert worker.report is later and worker.answered_report == (report.session, report.tick)
    group = core.cluster_state.groups[core.cluster_state.machines[name].group]
    assert not core.worker_manager.folds._evidence(group)[name].proves_absence
    # The machine sends its next report when it has received the answer or given up on it.
    core.worker_manager._take_report(worker, msgspec.structs.replace(report, tick=report.tick + 2))
    assert worker.answered_report is None


# The sender of the launch ends, pauses or hands over


@pytest.mark.parametrize("hosts", some([3], [5, 7]))
@pytest.mark.parametrize("how", ["halt", "crash", "hand over"])
@pytest.mark.parametrize("late_s", some([0.7, 2.0], [1.0, 3.0, 5.0]))
def test_a_held_start_whose_sender_is_gone_is_void_before_the_confirmation(
    late_s: float, how: str, hosts: int
) -> None:
    model = with_free_capacity(46, hosts)
    command = submit_with_late_launch(model, late_s)
    owner = model.owner(command.machine)
    assert owner is not None
    model.change(how, owner, 30)
    model.nodes = [number for number in range(hosts) if number != owner]
    model.answered_in_s.clear()
    model.cancel("job-50")
    model.run(CANCEL_S + 10)
    cancelled_us = model.jobs["job-50"].cancelled_us
    # The case is reached: the command arrived after the confirmation, and its sender ended, paused or handed over.
    assert cancelled_us is not None and command.arrived_us is not None and command.arrived_us > cancelled_us
    assert command.status == 409
    assert not model.late_starts
    assert max(model.answered_in_s) < CANCEL_ANSWER_S
