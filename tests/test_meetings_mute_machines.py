"""Mute or deaf machines, with a change of owner, an outage, a limit, a stream of jobs, or an unreachable cloud.

A mute machine's reports reach no controller, while direct commands reach it and are answered.  A deaf machine's
reports arrive, while answers and direct commands to it are lost.  After a lease without an answer to a report the
worker ends its tasks.  Each test first asserts that its case is reached, and then checks what must hold.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

import pytest

from ashtray.fleet.machine_review import SILENT_US, UNSURE_LEASES
from ashtray.kernel import Call, Reply
from tests.fakes.worker import Key
from tests.meeting_model import STEP_S, Meeting, batch, some
from tests.model import CANCEL_S, LEASE_S, REPORT_S, SECOND, TEAM, submission
from tests.test_meetings_limits import RENDER, Limited, two_limits

__all__ = ["two_limits"]

MUTE, DEAF = "mute", "deaf"
SILENT_AFTER_S = LEASE_S + SILENT_US / SECOND
"""A worker that has not been heard for longer is silent."""
DELETION_S = 4.0
"""The longest time from a worker's silence to its machine's deletion: the mark, its commit and the cloud's answer."""
DEAF_KEPT_S = 6 * LEASE_S
"""The longest time for which a deaf machine is kept: it shows its token until an order gets no answer, and each
controller may meet it once as if it were new."""
WHOLE_TEST_S = 1000.0
"""Longer than any test."""
MINUTE_US = 60 * SECOND
MAX_QUIET_COMMANDS = 2
"""The most direct commands to a mute machine in a minute in which one of its jobs is cancelled and nothing placed."""
MAX_STREAM_COMMANDS = 12
"""The same where four jobs are submitted each second, some of which are placed on it until it is silent."""


@dataclass(frozen=True)
class Command:
    """A direct command that a controller has sent."""

    at_us: int
    source: str
    machine: str
    verbs: tuple[str, ...]


class SilentModel(Meeting):
    """The model with mute and deaf machines, and with a record of direct commands, task starts and deletions."""

    def __init__(self, seed: int, hosts: int = 3) -> None:
        self.commands: list[Command] = []
        self.task_starts: Counter[tuple[str, int]] = Counter()
        self.refusing: set[str] = set()
        """Machines that refuse direct commands."""
        self.run_s: dict[str, float] = {}
        """By job, how long its tasks run, in seconds, where a test sets it."""
        self.affected_since_us = 0
        self.affected: list[str] = []
        """The machines that the test made mute or deaf."""
        self.sessions: dict[str, int] = {}
        """The last known session of each affected machine."""
        self.deleted_us: dict[str, int] = {}
        """When each affected machine was first seen to be deleted."""
        super().__init__(seed, hosts)

    def _run_us(self, key: Key) -> int:
        return int(self.run_s[key[0]] * SECOND) if key[0] in self.run_s else super()._run_us(key)

    def _started(self, machine: str, key: Key) -> None:
        super()._started(machine, key)
        self.task_starts[(key[0], key[2])] += 1

    def send(self, source: str, call: Call, deliver: Callable[[Reply], None]) -> None:
        """Carry a request; record direct commands, and refuse some of them."""
        if call.path == "/orders":
            verbs = tuple(order["verb"] for order in call.body["orders"])
            self.commands.append(Command(self.now, source, call.address.partition(":")[0], verbs))
            if self.commands[-1].machine in self.refusing:
                self.at(self.hop(), lambda: deliver(Reply(0, refused=True)))
                return
        super().send(source, call, deliver)

    def watch(self) -> None:
        """Follow the sessions and deletions of the affected machines as well."""
        for name in self.affected:
            if name in self.workers:
                self.sessions[name] = self.workers[name].session
            else:
                self.deleted_us.setdefault(name, self.now)
        super().watch()

    def begin_fault(self, fault: str, names: list[str], seconds: float) -> None:
        """Make machines mute or deaf for some time."""
        self.affected, self.affected_since_us = names, self.now
        for name in names:
            if fault == MUTE:
                self.mute(name, seconds)
            else:
                self.deaf[name] = (self.now + int(seconds * SECOND), False)

    def commands_to(self, name: str, since_us: int = 0) -> list[Command]:
        """Return the direct commands that were sent to a machine since then."""
        return [sent for sent in self.commands if sent.machine == name and sent.at_us >= since_us]

    def most_in_a_minute(self) -> int:
        """Return the highest number of direct commands that an affected machine was sent within a minute."""
        most = 0
        for name in self.affected:
            sent_us = [sent.at_us for sent in self.commands_to(name, self.affected_since_us)]
            most = max([most, *(sum(0 <= at - since < MINUTE_US for at in sent_us) for since in sent_us)])
        return most

    def gone_after_s(self) -> list[float]:
        """Return after how many seconds of the fault each deleted machine was deleted."""
        return [(at_us - self.affected_since_us) / SECOND for at_us in self.deleted_us.values()]

    def until(self, happened: Callable[[], bool], seconds: float) -> bool:
        """Run until a condition holds; return False if it does not in that time."""
        for _ in range(int(seconds / STEP_S)):
            if happened():
                return True
            self.run(STEP_S)
        return happened()


class SilentModelWithLimits(SilentModel, Limited):
    """`SilentModel` with two teams that have a limit each."""


def model_at_work(seed: int, hosts: int = 3, jobs: int = 6, cpus: float = 2.0) -> SilentModel:
    """Return a model with small machines in both zones; each runs two long tasks, and is full with 2 CPUs a task."""
    model = SilentModel(seed, hosts)
    model.begin([batch(n, yard="ab"[n % 2], cpus=cpus) for n in range(jobs)], 40)
    return model


def choose(model: SilentModel, which: str) -> list[str]:
    """Return two machines, those of one zone, or all."""
    names = sorted(model.workers)
    if which == "two":
        return names[:2]
    return [name for name in names if which == "all" or model.workers[name].zone == "b"]


def all_combinations(*values: Sequence[Any]) -> list[tuple[Any, ...]]:
    """Return all combinations of several parameters, for wide runs."""
    return list(itertools.product(*values))


def tasks_on(model: SilentModel, names: list[str]) -> set[tuple[str, int]]:
    """Return the tasks that run on some machines, as (job, number)."""
    return {task for task, machines in model.on.items() if set(machines) & set(names)}


# Mute and deaf machines are deleted or used again, and their tasks run elsewhere


@pytest.mark.parametrize(
    ("fault", "which", "hosts"),
    some(
        [(MUTE, "two", 3), (MUTE, "zone", 5), (MUTE, "all", 3), (DEAF, "two", 7), (DEAF, "zone", 3)],
        all_combinations([MUTE, DEAF], ["two", "zone", "all"], [1, 2, 3, 5, 7]),
    ),
)
def test_a_machine_out_of_touch_is_returned_and_its_long_tasks_run_elsewhere_once(
    fault: str, which: str, hosts: int
) -> None:
    model = model_at_work(91, hosts)
    names = choose(model, which)
    before = tasks_on(model, names)
    sessions = {name: model.workers[name].session for name in names}
    reports = model.happened["mute"]
    model.begin_fault(fault, names, WHOLE_TEST_S)
    limit_s = UNSURE_LEASES * LEASE_S if which == "all" else SILENT_AFTER_S
    model.run((DEAF_KEPT_S if fault == DEAF else limit_s) + DELETION_S)
    # The case is reached: machines with tasks were mute or deaf, and their leases ended before they were deleted.
    assert before and (fault == DEAF or model.happened["mute"] >= reports + len(names))
    assert all(model.sessions[name] > sessions[name] for name in names)
    # No machine is kept, and orders that cannot arrive are not repeated.
    assert not set(names) & set(model.workers)
    assert min(model.gone_after_s()) > LEASE_S
    assert model.most_in_a_minute() <= (1 if fault == DEAF else 0)
    assert model.until(lambda: len(model.on) == 24, 60)
    # The tasks of these machines were started once more, those of other machines were not.
    assert {task for task, starts in model.task_starts.items() if starts == 2} == before
    assert set(model.task_starts.values()) <= {1, 2}


@pytest.mark.parametrize(
    ("owner_change", "hosts"),
    some(
        [(None, 3), ("crash", 5), ("refused", 3)],
        all_combinations([None, "crash", "hand over", "refused"], [1, 3, 5, 7]),
    ),
)
def test_a_mute_machine_that_cannot_be_deleted_is_not_ordered_for_ever(owner_change: str | None, hosts: int) -> None:
    model = model_at_work(92, hosts)
    names = choose(model, "two")
    before = tasks_on(model, names)
    owner = model.owner(names[0])
    assert owner is not None
    model.begin_fault(MUTE, names, WHOLE_TEST_S)
    out_s = 70.0
    model.cloud.down = True
    model.at(int(out_s * SECOND), lambda: setattr(model.cloud, "down", False))
    model.run(1.0)
    cancelled = sorted({job_id for job_id, _ in before})[0]
    model.cancel(cancelled)
    model.run(2.0)
    if owner_change is not None:
        model.change(owner_change, owner, 20)
    model.run(out_s - 4)
    # The case is reached: sessions end again and again on machines that cannot be deleted, and orders arrived first.
    assert all(model.sessions[name] >= 6 for name in names)
    assert any("kill" in sent.verbs for name in names for sent in model.commands_to(name, model.affected_since_us))
    # No orders go to a machine not heard for a lease, and its tasks run nowhere else before its deletion.
    lease_end_us = model.affected_since_us + int(LEASE_S * SECOND)
    assert not any(model.commands_to(name, lease_end_us) for name in names)
    assert model.most_in_a_minute() <= MAX_QUIET_COMMANDS
    left = {task for task in before if task[0] != cancelled}
    assert left and not left & set(model.on)
    assert model.until(lambda: not set(names) & set(model.workers) and left <= set(model.on), 60)


@pytest.mark.parametrize(
    ("fault", "owner_change", "beyond_lease_s"),
    some(
        [(MUTE, None, -3.0), (MUTE, None, 3.0), (MUTE, "crash", 1.0), (DEAF, None, 1.0)],
        all_combinations([MUTE, DEAF], [None, "crash"], [-3.0, -1.0, 0.0, 1.0, 2.0, 3.0, 4.0, 5.0, 8.0]),
    ),
)
def test_a_machine_that_is_back_before_or_after_its_lease_is_used_or_returned(
    fault: str, owner_change: str | None, beyond_lease_s: float
) -> None:
    model = model_at_work(93)
    names = choose(model, "zone")
    before = tasks_on(model, names)
    sessions = {name: model.workers[name].session for name in names}
    owner = model.owner(names[0])
    assert owner is not None
    model.begin_fault(fault, names, LEASE_S + beyond_lease_s)
    model.run(2.0)
    if owner_change is not None:
        model.change(owner_change, owner, 30)
    model.run(LEASE_S + beyond_lease_s - 2.0)
    lost = {name for name in names if name not in model.workers or model.workers[name].session > sessions[name]}
    # The case is reached: leases ended before the machines were back, or they did not.
    assert not lost if beyond_lease_s < -2 else lost if beyond_lease_s > 0 else True
    model.run(SILENT_AFTER_S)
    assert model.until(lambda: len(model.on) == 24, 2 * DEAF_KEPT_S)
    again = {task for task, starts in model.task_starts.items() if starts > 1}
    assert again <= before and (again or beyond_lease_s < 0)
    # A machine that is back gets new orders; after these the commands stop.
    assert model.most_in_a_minute() <= 8


# Ends of tasks and cancellations of jobs at mute and deaf machines


@pytest.mark.parametrize(
    ("verb", "hosts"),
    some([("kill", 3), ("launch", 3), ("kill", 7)], all_combinations(["kill", "launch"], [1, 5, 7])),
)
def test_what_has_ended_on_a_mute_machine_is_known_by_the_answer_to_an_order(verb: str, hosts: int) -> None:
    model = model_at_work(94, hosts, jobs=4, cpus=1.5)
    model.cloud.capacity = len(model.workers)
    model.run_s["job-50"] = 4.0
    model.submit(batch(50, pieces=1, cpus=0.5, memory_gb=1.0, expect_s=4.0))
    assert model.until(lambda: ("job-50", 0) in model.on, 10)
    name = next(iter(model.on[("job-50", 0)]))
    others = sorted({job_id for job_id, _ in tasks_on(model, [name])} - {"job-50"})
    model.run(0.3)
    model.begin_fault(MUTE, [name], WHOLE_TEST_S)
    assert model.until(lambda: model.jobs["job-50"].finished == {0}, 6)
    ended_us = model.now
    if verb == "kill":
        model.cancel(others[0])
    else:
        # As many tasks as fit, so that the mute machine gets one as well.
        model.long.add("job-51")
        model.submit(batch(51, pieces=2 * len(model.workers) - 1, cpus=0.5, memory_gb=1.0))
    assert model.until(lambda: bool(model.commands_to(name, ended_us)), 4)
    # The case is reached: no report told of the end, and an order for another task reached the machine.
    arrived = [command for command in model.delivered if command.machine == name and command.at_us >= ended_us]
    assert model.until(lambda: model.jobs["job-50"].told == "done", 5)
    arrived = [command for command in model.delivered if command.machine == name and command.at_us >= ended_us]
    assert verb in {order["verb"] for command in arrived for order in command.body["orders"]}
    assert name in model.workers and model.workers[name].session == 1
    assert model.now - ended_us < (LEASE_S - 4) * SECOND + 4 * SECOND
    model.run(60)
    assert model.task_starts[("job-50", 0)] == 1


@pytest.mark.parametrize(
    ("fault", "which", "hosts", "cancelled_at_s"),
    some(
        [(MUTE, "two", 3, 0.5), (MUTE, "zone", 5, 5.0), (MUTE, "two", 3, 9.0), (DEAF, "zone", 3, 0.5)],
        all_combinations([MUTE, DEAF], ["two", "zone"], [3, 5, 7], [0.5, 2.0, 5.0, 9.0, 11.0]),
    ),
)
def test_cancelled_tasks_of_machines_out_of_touch_end_by_an_order_or_by_the_lease(
    fault: str, which: str, hosts: int, cancelled_at_s: float
) -> None:
    model = model_at_work(95, hosts)
    names = choose(model, which)
    jobs = sorted({job_id for job_id, _ in tasks_on(model, names)})[:3]
    renewed_us = {name: model.workers[name].renewed_us for name in names}
    sessions = {name: model.workers[name].session for name in names}
    model.begin_fault(fault, names, WHOLE_TEST_S)
    model.run(cancelled_at_s)
    machines_with_tasks = set(names) & {name for job_id in jobs for name in model.machines_of(job_id)}
    for job_id in jobs:
        model.cancel(job_id)
    model.run(2.0)
    ordered = {
        name
        for name in names
        if any("kill" in command.verbs for command in model.commands_to(name, model.affected_since_us))
    }
    # The case is reached: the cancellations are confirmed, and the leases of the machines run or have just ended.
    assert all(model.jobs[job_id].told == "cancelled" for job_id in jobs)
    assert bool(machines_with_tasks) == (cancelled_at_s < LEASE_S)
    if cancelled_at_s < LEASE_S - 2:
        assert ordered
        # A mute machine ends them at once, as direct commands reach it; no order renews its lease.
        assert fault == DEAF or not {name for job_id in jobs for name in model.machines_of(job_id)}
    for name in (machines_with_tasks & ordered) & set(model.workers):
        worker = model.workers[name]
        assert worker.session > sessions[name] or worker.renewed_us <= renewed_us[name] + REPORT_S * SECOND
    model.run(CANCEL_S)
    assert max(model.gone_s(job_id) for job_id in jobs) <= LEASE_S
    assert model.most_in_a_minute() <= MAX_QUIET_COMMANDS
    assert not model.late_starts


# Together with another fault or a limit


@pytest.mark.parametrize(
    ("fault", "owner_change", "offset_s"),
    some(
        [
            (MUTE, "crash", -1.0),
            (MUTE, "hand over", 0.0),
            (MUTE, "refused", 3.0),
            (MUTE, "halt", -1.0),
            (MUTE, "alone", 0.0),
            (DEAF, "crash", 3.0),
            (DEAF, "halt", 0.0),
        ],
        all_combinations(
            [MUTE, DEAF], ["crash", "hand over", "refused", "halt", "alone"], [-4.0, -1.0, 0.0, 0.3, 3.0, 6.0]
        ),
    ),
)
def test_cancelled_tasks_are_gone_in_time_though_the_owner_changes(
    fault: str, owner_change: str, offset_s: float
) -> None:
    """`offset_s`: how long after the cancellations the owner changes; before them if negative."""
    model = model_at_work(96, 5 if owner_change == "hand over" else 3)
    names = choose(model, "zone")
    jobs = sorted({job_id for job_id, _ in tasks_on(model, names)})[:3]
    owner = max(range(len(model.hosts)), key=[model.owner(name) for name in names].count)
    model.nodes = [host.number for host in model.hosts if host.number != owner]
    owned = [name for name in names if model.owner(name) == owner]
    model.begin_fault(fault, names, 40)
    model.run(0.5)
    if offset_s < 0:
        model.change(owner_change, owner, 30)
        model.run(-offset_s)
    machines_with_tasks = {name for job_id in jobs for name in model.machines_of(job_id)} & set(names)
    for job_id in jobs:
        model.cancel(job_id)
    if offset_s >= 0:
        model.run(offset_s)
        model.change(owner_change, owner, 30)
    model.run(CANCEL_S + 2)
    # The case is reached: the changed owner's machines had tasks, and all cancellations are confirmed.
    assert machines_with_tasks and owned and all(model.jobs[job_id].told == "cancelled" for job_id in jobs)
    assert max(model.gone_s(job_id) for job_id in jobs) <= CANCEL_S
    assert model.most_in_a_minute() <= 3 * MAX_QUIET_COMMANDS
    left = set(model.jobs) - set(jobs)
    assert model.until(lambda: len(model.on) == 4 * len(left), 100)
    assert {job_id for job_id, _ in model.on} == left


@pytest.mark.parametrize(
    ("fault", "hosts", "out_at_s"),
    some(
        [(MUTE, 3, 0.15), (MUTE, 7, 1.0), (DEAF, 5, 4.0)],
        all_combinations([MUTE, DEAF], [3, 5, 7], [0.15, 0.4, 1.0, 2.0, 4.0, 7.0]),
    ),
)
def test_cancelled_tasks_are_gone_in_time_though_the_state_is_out(fault: str, hosts: int, out_at_s: float) -> None:
    """The state service fails for all, for longer than `cancel_s`; `out_at_s`: how long after the cancellations."""
    model = model_at_work(97, hosts)
    names = choose(model, "zone")
    jobs = sorted({job_id for job_id, _ in tasks_on(model, names)})[:3]
    model.begin_fault(fault, names, 2 * CANCEL_S)
    model.run(0.5)
    running = tasks_on(model, names)
    for job_id in jobs:
        model.cancel(job_id)
    model.run(out_at_s)
    confirmed = [job_id for job_id in jobs if model.jobs[job_id].cancelled_us is not None]
    model.state_outage(CANCEL_S + 12)
    model.run(CANCEL_S + 1)
    # The case is reached: cancellations of unreachable machines' tasks were confirmed, then no controller could read.
    assert {job_id for job_id, _ in running} >= set(jobs) and confirmed and model.state.down
    assert max(model.gone_s(job_id) for job_id in confirmed) <= CANCEL_S
    assert not model.late_starts
    assert model.most_in_a_minute() <= 2 * MAX_QUIET_COMMANDS
    left = set(model.jobs) - set(jobs)
    assert model.until(lambda: len(model.on) == 4 * len(left), 110)
    assert {job_id for job_id, _ in model.on} == left


@pytest.mark.usefixtures("two_limits")
@pytest.mark.parametrize(
    ("fault", "owner_change", "back_s"),
    some(
        [(MUTE, None, 60.0), (MUTE, "crash", LEASE_S + 1), (DEAF, "halt", LEASE_S + 1)],
        all_combinations([MUTE, DEAF], [None, "crash", "halt"], [6.0, LEASE_S + 1, LEASE_S + 3, 60.0]),
    ),
)
def test_limits_of_all_teams_hold_while_machines_are_out_of_touch_and_work_waits(
    fault: str, owner_change: str | None, back_s: float
) -> None:
    model = SilentModelWithLimits(98)
    gpus = {"crew": RENDER.name, "cpus": 1.0, "cards": 1.0, "hulls": ["big"]}
    model.begin(
        [*(batch(n, crew="crew") for n in range(3)), *(batch(n, **gpus, pieces=2) for n in range(10, 14))],
        40,
    )
    full_use = model.use(), model.cards()
    for n in range(20, 26):
        model.long.add(f"job-{n}")
        model.submit(batch(n, **({"crew": "crew"} if n % 2 else gpus)))
    model.run(3)
    names = sorted(model.machines_of("job-0") | model.machines_of("job-1") | model.machines_of("job-10"))
    leader = model.runner()
    assert leader is not None
    model.nodes = [host.number for host in model.hosts if host.number != leader]
    model.begin_fault(fault, names, back_s)
    model.run(0.5)
    for job_id in ("job-0", "job-10"):
        model.cancel(job_id)
    model.run(1.0)
    if owner_change is not None:
        model.change(owner_change, leader, 30)
    model.run(CANCEL_S)
    # The case is reached: both limits were fully used, the cancellations are confirmed, and the leader has changed.
    assert full_use == (TEAM["cpus_max"], RENDER.gpus_max)
    assert model.jobs["job-0"].told == model.jobs["job-10"].told == "cancelled"
    assert owner_change is None or model.runner() not in (None, leader)
    assert max(model.gone_s("job-0"), model.gone_s("job-10")) <= LEASE_S
    # No part of the limits is lost: the waiting jobs use all of it.
    assert model.until(lambda: (model.use(), model.cards()) == full_use, 90)
    assert {job_id for job_id, _ in model.on} >= {"job-1", "job-2", "job-11", "job-12", "job-13"}


# The number of direct commands under a steady stream of orders


@pytest.mark.parametrize(("cloud_s", "hosts"), some([(0.0, 3), (45.0, 5)], all_combinations([0.0, 45.0], [3, 5, 7])))
def test_a_stream_of_small_jobs_costs_a_mute_machine_a_bounded_number_of_commands(cloud_s: float, hosts: int) -> None:
    """Four one-task jobs are submitted each second, a quarter is cancelled, and no machines can be rented."""
    model = model_at_work(99, hosts, jobs=4, cpus=1.5)
    model.cloud.capacity = len(model.workers)
    names = choose(model, "two")
    ids = [f"job-{n}" for n in range(100, 220)]
    for n, job_id in enumerate(ids):
        model.run_s[job_id] = 1.5
        job = submission(job_id, pieces=1, cpus=0.5, memory_gb=1.0, crew="free", hulls=["small"], expect_s=1.5)
        model.at(n * SECOND // 4, lambda job=job: model.submit(job))
        if n % 4 == 0:
            model.at(n * SECOND // 4 + SECOND, lambda job_id=job_id: model.cancel(job_id))
    model.run(3)
    model.begin_fault(MUTE, names, WHOLE_TEST_S)
    if cloud_s:
        model.cloud.down = True
        model.at(int(cloud_s * SECOND), lambda: setattr(model.cloud, "down", False))
    model.run(30)
    sent = [sent for name in names for sent in model.commands_to(name, model.affected_since_us)]
    # The case is reached: direct commands started tasks on mute machines.
    assert model.happened["mute"] and any("launch" in command.verbs for command in sent)
    # Far fewer commands than jobs, and none to a machine that has not been heard for a lease.
    assert model.most_in_a_minute() <= MAX_STREAM_COMMANDS
    assert not [
        command for command in sent if command.at_us > model.affected_since_us + (LEASE_S + REPORT_S) * SECOND
    ]
    model.run(cloud_s)
    assert model.until(lambda: {model.jobs[job_id].told for job_id in ids} == {"done", "cancelled"}, 60)
    assert model.most_in_a_minute() <= MAX_STREAM_COMMANDS


@pytest.mark.parametrize("hosts", some([3], [1, 5, 7]))
def test_machines_that_refuse_connections_get_their_orders_with_answers_and_few_calls(hosts: int) -> None:
    """The reverse of a mute machine: reports and their answers arrive, and direct commands are refused."""
    model = model_at_work(100, hosts, jobs=4, cpus=1.5)
    model.cloud.capacity = len(model.workers)
    model.begin_fault(MUTE, sorted(model.workers), 0)
    model.refusing = set(model.workers)
    model.long |= {f"job-{n}" for n in range(50, 58)}
    for n in range(50, 58):
        model.at((n - 50) * 5 * SECOND, lambda n=n: model.submit(batch(n, pieces=2, cpus=0.5, memory_gb=1.0)))
        model.at((n - 47) * 5 * SECOND, lambda n=n: model.cancel(f"job-{n}"))
    model.run(12)
    # The case is reached: direct commands were refused; the answers to reports carry the orders all the same.
    assert sum(len(model.commands_to(name, model.affected_since_us)) for name in model.refusing) >= 2
    assert model.until(lambda: ("job-50", 0) in model.on or model.task_starts[("job-50", 0)] == 1, 4)
    model.run(50)
    assert all(model.task_starts[(f"job-{n}", task)] == 1 for n in range(50, 58) for task in range(2))
    assert max(model.gone_s(f"job-{n}") for n in range(50, 58)) < 2 * REPORT_S + 1
    # One direct command in ten seconds; in between only the answers to reports carry the orders.
    assert model.most_in_a_minute() <= 6
