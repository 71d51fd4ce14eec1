"""Direct commands that were executed and answered, and of which the network delivers a copy much later.

A worker executes a copy as long as its token and session still match.  All orders may be repeated but one: a launch
starts its task again once the worker has been told to forget the attempt by a `clear`.  The tests guard against such
a second start of a task that has ended and was placed elsewhere, completed or cancelled meanwhile.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from ashtray.kernel import Call, Reply
from tests.fakes.cloud import Rented
from tests.fakes.worker import Key, Task
from tests.meeting_model import Meeting, batch, some
from tests.model import SECOND, RuleBroken, submission

STEP_S = 0.05
START_DELAY_S = 0.5
"""The longest time from a task's placement to its start: shorter than any time between two reports of a machine."""


class RepeatedCommands(Meeting):
    """The model, with a check that no task is cleared under the token of the direct order that launched it."""

    def __init__(self, seed: int, hosts: int = 3) -> None:
        self.launch_tokens: dict[tuple[str, int, Key], int] = {}
        """By machine, session and task, the highest token of a direct order that launched it."""
        self.launch_bodies: dict[tuple[str, Key], dict[str, Any]] = {}
        """By machine and task, the body of the direct command that launched it."""
        self.cleared: set[tuple[str, Key]] = set()
        super().__init__(seed, hosts)

    def send(self, source: str, call: Call, deliver: Callable[[Reply], None]) -> None:
        """Carry a request, and remember the direct command that launches each task."""
        target = call.address.partition(":")[0]
        for verb, key in keys_of(call.body) if target in self.workers else ():
            if verb == "launch":
                session = target, call.body["shift"], key
                self.launch_tokens[session] = max(call.body["baton"], self.launch_tokens.get(session, 0))
                self.launch_bodies[target, key] = call.body
        super().send(source, call, deliver)

    def _worker_starts(self, machine: Rented) -> None:
        super()._worker_starts(machine)
        worker = self.workers.get(machine.name)
        if worker is None:
            return
        execute = worker.execute

        def checked(now_us: int, orders: list[dict[str, Any]]) -> None:
            for verb, key in keys_of({"orders": orders}):
                if verb == "clear":
                    self.cleared.add((worker.name, key))
                    if self.launch_tokens.get((worker.name, worker.session, key), 0) >= worker.token:
                        raise RuleBroken(f"{key} was cleared on {worker.name} under the token that launched it")
            execute(now_us, orders)

        worker.execute = checked  # type: ignore[method-assign]

    def run_until(self, what: str, condition: Callable[[], object], limit_s: float = 30.0) -> None:
        """Run until a condition holds; fails if it does not within `limit_s` seconds."""
        for _ in range(int(limit_s / STEP_S)):
            if condition():
                return
            self.run(STEP_S)
        raise AssertionError(f"not reached: {what}")

    def machine_of(self, job_id: str) -> str | None:
        """Return the machine that the only task of a job is on; None if it is on none."""
        return next(iter(self.on.get((job_id, 0), ())), None)

    def is_placed(self, job_id: str) -> bool:
        """Return whether a job has an allocation in the cluster state of the first running controller."""
        return bool(self.live()[0].core.cluster_state.placed(job_id))


def keys_of(body: Any) -> list[tuple[str, Key]]:
    """Return the verb and the task of each order in a message."""
    found = []
    for order in body.get("orders", ()) if isinstance(body, dict) else ():
        job, _, number = order["piece"].partition("/")
        found.append((order["verb"], (job, order["try"], int(number))))
    return found


def one_task(number: int, **fields: Any) -> dict[str, Any]:
    """Return the submission of a job whose only task takes most of a small machine."""
    shared = {"pieces": 1, "cpus": 3.0, "crew": "free", "hulls": ["small"], "yard": "a", "loaners": False}
    return submission(f"job-{number}", **{**shared, **fields})


def with_two_full_machines(model: RepeatedCommands) -> None:
    """Start job-1 and job-2 on the only two machines; job-2 gives way to urgent jobs."""
    model.cloud.capacity = 2
    model.long |= {"job-1", "job-2"}
    model.run(3)
    for number, urgency in ((1, "standard"), (2, "idle")):
        model.submit(one_task(number, urgency=urgency, expect_s=600.0))
        model.run_until(f"job-{number} runs", lambda number=number: model.machine_of(f"job-{number}"))


# Guards against ran_twice: a repeated start order starts a task that was stopped, cleared and placed elsewhere.
@pytest.mark.parametrize("hosts", some([3], [5, 7]))
@pytest.mark.parametrize("seed", some([61, 62], range(63, 75)))
def test_a_repeated_start_order_does_not_start_a_task_that_runs_elsewhere_by_now(seed: int, hosts: int) -> None:
    model = RepeatedCommands(seed, hosts)
    with_two_full_machines(model)
    other, left = model.machine_of("job-1"), model.machine_of("job-2")
    assert other is not None and left is not None
    session = model.workers[left].session
    copy = model.launch_bodies[left, ("job-2", 1, 0)]
    model.submit(one_task(3, urgency="urgent", expect_s=4.0, crew="crew"))
    model.run_until("job-3 took the place of job-2", lambda: model.machine_of("job-3") == left)
    for task in model.workers[other].tasks.values():
        task.end_us = model.now
    model.run_until("job-2 runs elsewhere", lambda: model.machine_of("job-2") == other)
    model.run_until("job-2 is cleared", lambda: (left, ("job-2", 1, 0)) in model.cleared)
    model.run_until("job-3 is done", lambda: model.machine_of("job-3") is None)
    assert model.workers[left].session == session
    starts = model.starts
    model.repeat_command(left, copy)
    model.run(10)
    # The case is reached: the copy arrived in the session in which its original was executed.
    assert model.happened["copy of a command refused"] == 1
    assert model.starts == starts and model.machine_of("job-2") == other


# Guards against ran_cancelled and a second run: a repeated start order starts a task that has ended and was cleared.
@pytest.mark.parametrize("ending", ["done", "cancelled"])
def test_a_repeated_start_order_does_not_start_a_task_whose_job_is_over(ending: str) -> None:
    model = RepeatedCommands(65)
    with_two_full_machines(model)
    name = model.machine_of("job-2")
    assert name is not None
    if ending == "cancelled":
        model.cancel("job-2")
    else:
        for task in model.workers[name].tasks.values():
            task.end_us = model.now
    model.run_until("job-2 is over", lambda: model.jobs["job-2"].told == ending)
    model.run_until("job-2 is cleared", lambda: (name, ("job-2", 1, 0)) in model.cleared)
    session = model.workers[name].session
    model.repeat_command(name, model.launch_bodies[name, ("job-2", 1, 0)])
    model.run(10)
    assert model.workers.get(name) is None or model.workers[name].session == session
    assert model.happened["copy of a command refused"] == 1
    assert model.job_starts["job-2"] == 1 and not model.late_starts


# Guards against ran_twice on all other paths: copies of any direct command, while owners change and orders are lost.
@pytest.mark.parametrize("hosts", some([3], [5]))
@pytest.mark.parametrize("seed", some([1, 2, 3], range(4, 40)))
@pytest.mark.parametrize("change", ["none", "crash", "hand over", "lose answers", "hold commands"])
def test_no_rule_breaks_while_copies_of_commands_arrive(change: str, seed: int, hosts: int) -> None:
    model = RepeatedCommands(seed, hosts)
    model.cloud.capacity = 4
    model.run(3)
    model.copy_commands(0.6, 90)
    if change == "lose answers":
        model.lose_answers(0.3, 60)
    elif change == "hold commands":
        model.hold_commands(0.2, 60)
    for number in range(36):
        urgency = model.rng.choice(["urgent", "standard", "idle"])
        model.submit(batch(number, pieces=2, cpus=1.0, urgency=urgency, crew="free", expect_s=4.0))
        model.run(1.5)
        if number % 12 == 6 and change in ("crash", "hand over"):
            model.change(change, number // 12, 4)
        if number % 9 == 5:
            model.cancel(f"job-{number - 2}")
    model.run(60)
    assert model.happened["copy of a command refused"] >= 10
    assert {job.told for job in model.jobs.values() if job.accepted_us is not None} <= {"done", "cancelled"}


# Guards against the price of the fix: a machine whose token has just been raised starts its next task at once.
def test_a_raised_token_does_not_delay_the_next_start_on_a_machine() -> None:
    model = RepeatedCommands(66)
    with_two_full_machines(model)
    name = model.machine_of("job-2")
    assert name is not None
    for number in range(10, 16):
        token = model.workers[name].token
        model.cancel(f"job-{number - 1}" if number > 10 else "job-2")
        model.long.add(f"job-{number}")
        model.submit(one_task(number, urgency="idle", expect_s=600.0))
        model.run_until("the next job is placed", lambda number=number: model.is_placed(f"job-{number}"))
        placed_us = model.now
        model.run_until("the next job runs there", lambda number=number: model.machine_of(f"job-{number}") == name)
        assert model.now - placed_us < START_DELAY_S * SECOND
        # The case is reached: the job before was cleared, so the machine has got a higher token.
        model.run_until("the job before is cleared", lambda: len(model.workers[name].tasks) == 1)
        assert model.workers[name].token > token


# Guards against ends that are folded late: a token that a fold has recorded is announced without waiting for a
# report.
def test_a_token_that_replaces_another_is_announced_by_a_direct_command() -> None:
    model = RepeatedCommands(67)
    with_two_full_machines(model)
    name = model.machine_of("job-2")
    assert name is not None
    token = model.workers[name].token
    model.cancel("job-2")
    model.run_until("job-2 is freed", lambda: not model.is_placed("job-2"))
    model.run_until("job-2 is cleared", lambda: not model.workers[name].tasks, START_DELAY_S)
    assert model.workers[name].token > token
    assert ("clear", ("job-2", 1, 0)) in {order for _, target, body in model.sent for order in keys_of(body)}


# Guards against ran_twice where no fold frees the task: a task without an allocation is not cleared before its launch
# is void either.
def test_a_task_without_an_allocation_is_cleared_only_under_a_higher_token() -> None:
    model = RepeatedCommands(68)
    with_two_full_machines(model)
    name = model.machine_of("job-2")
    owner = None if name is None else model.owner(name)
    assert name is not None and owner is not None
    key = ("job-1", 9, 0)
    machine, worker = model.workers[name], model.hosts[owner].core.worker_manager.workers[name]
    machine.tasks[key] = Task(key, "ended", "in_use")
    worker.direct_launches.add(key)
    model.launch_tokens[name, machine.session, key] = machine.token
    model.run_until("it is cleared", lambda: key not in machine.tasks)
