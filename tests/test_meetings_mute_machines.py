"""Machines that are mute or deaf, with a change of owner, an outage, a limit, a stream of jobs, or no cloud.

A mute machine's reports reach no controller, while direct commands reach it and are answered.  A deaf one's reports
arrive, while answers and direct commands are lost.  Each test asserts that its meeting happened before the rules.
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
SILENT_S = LEASE_S + SILENT_US / SECOND
"""A worker that was not heard for longer is silent."""
RETURN_S = 4.0
"""From silence to the machine's deletion: the mark, its commit and the cloud's answer."""
DEAF_S = 6 * LEASE_S
"""A deaf machine shows its token until an order gets no answer, and each controller meets it once."""
FOR_EVER_S = 1000.0
MINUTE_US = 60 * SECOND
QUIET_COMMANDS = 2
"""Direct commands to a mute machine in a minute in which nothing is placed on it and one of its jobs is cancelled."""
STREAM_COMMANDS = 12
"""The same where four jobs come each second, some of which are placed on it until it is silent."""


@dataclass(frozen=True)
class Command:
    """A direct command that a controller has sent."""

    at_us: int
    source: str
    machine: str
    verbs: tuple[str, ...]


class Silent(Meeting):
    """The model with a record of direct commands by time, of starts by task, and of when machines were struck."""

    def __init__(self, seed: int, hosts: int = 3) -> None:
        self.commands: list[Command] = []
        self.task_starts: Counter[tuple[str, int]] = Counter()
        self.refusing: set[str] = set()
        """Machines that refuse connections."""
        self.run_s: dict[str, float] = {}
        """How long the tasks of a job run, where a test says so."""
        self.struck_us = 0
        self.struck: list[str] = []
        self.sessions: dict[str, int] = {}
        """The last session that each struck machine was seen in."""
        self.deleted_us: dict[str, int] = {}
        """When each struck machine was first seen to be gone."""
        super().__init__(seed, hosts)

    def _run_us(self, key: Key) -> int:
        return int(self.run_s[key[0]] * SECOND) if key[0] in self.run_s else super()._run_us(key)

    def _started(self, machine: str, key: Key) -> None:
        super()._started(machine, key)
        self.task_starts[(key[0], key[2])] += 1

    def send(self, source: str, call: Call, deliver: Callable[[Reply], None]) -> None:
        """Carry a request, and note direct commands."""
        if call.path == "/orders":
            verbs = tuple(order["verb"] for order in call.body["orders"])
            self.commands.append(Command(self.now, source, call.address.partition(":")[0], verbs))
            if self.commands[-1].machine in self.refusing:
                self.at(self.hop(), lambda: deliver(Reply(0, refused=True)))
                return
        super().send(source, call, deliver)

    def watch(self) -> None:
        """Follow the struck machines as well."""
        for name in self.struck:
            if name in self.workers:
                self.sessions[name] = self.workers[name].session
            else:
                self.deleted_us.setdefault(name, self.now)
        super().watch()

    def strike(self, trouble: str, names: list[str], seconds: float) -> None:
        """Make machines mute or deaf."""
        self.struck, self.struck_us = names, self.now
        for name in names:
            if trouble == MUTE:
                self.mute(name, seconds)
            else:
                self.deaf[name] = (self.now + int(seconds * SECOND), False)

    def commands_to(self, name: str, since_us: int = 0) -> list[Command]:
        """The direct commands that were sent to a machine since a moment."""
        return [sent for sent in self.commands if sent.machine == name and sent.at_us >= since_us]

    def most_in_a_minute(self) -> int:
        """The most direct commands that any struck machine was sent within a minute, since it was struck."""
        most = 0
        for name in self.struck:
            sent_us = [sent.at_us for sent in self.commands_to(name, self.struck_us)]
            most = max([most, *(sum(0 <= at - since < MINUTE_US for at in sent_us) for since in sent_us)])
        return most

    def gone_after_s(self) -> list[float]:
        """How long after the strike each struck machine that is gone was seen to be gone."""
        return [(at_us - self.struck_us) / SECOND for at_us in self.deleted_us.values()]

    def until(self, happened: Callable[[], bool], seconds: float) -> bool:
        """Run until something has happened; False if it has not in that time."""
        for _ in range(int(seconds / STEP_S)):
            if happened():
                return True
            self.run(STEP_S)
        return happened()


class SilentAtLimits(Silent, Limited):
    """The same with two teams that have a limit each."""


def at_work(seed: int, hosts: int = 3, jobs: int = 6, cpus: float = 2.0) -> Silent:
    """Small machines of both zones with two long tasks each; with 2 CPUs a task, they are full."""
    model = Silent(seed, hosts)
    model.begin([batch(n, yard="ab"[n % 2], cpus=cpus) for n in range(jobs)], 40)
    return model


def chosen(model: Silent, which: str) -> list[str]:
    """Two machines, those of one zone, or all."""
    names = sorted(model.workers)
    if which == "two":
        return names[:2]
    return [name for name in names if which == "all" or model.workers[name].zone == "b"]


def every(*values: Sequence[Any]) -> list[tuple[Any, ...]]:
    """All cases of several parameters, for wide runs."""
    return list(itertools.product(*values))


def tasks_on(model: Silent, names: list[str]) -> set[tuple[str, int]]:
    return {task for task, machines in model.on.items() if set(machines) & set(names)}


# What becomes of the machine and of its tasks


@pytest.mark.parametrize(
    ("trouble", "which", "hosts"),
    some(
        [(MUTE, "two", 3), (MUTE, "zone", 5), (MUTE, "all", 3), (DEAF, "two", 7), (DEAF, "zone", 3)],
        every([MUTE, DEAF], ["two", "zone", "all"], [1, 2, 3, 5, 7]),
    ),
)
def test_a_machine_out_of_touch_is_returned_and_its_long_tasks_run_elsewhere_once(
    trouble: str, which: str, hosts: int
) -> None:
    model = at_work(91, hosts)
    names = chosen(model, which)
    before = tasks_on(model, names)
    sessions = {name: model.workers[name].session for name in names}
    reports = model.happened["mute"]
    model.strike(trouble, names, FOR_EVER_S)
    limit_s = UNSURE_LEASES * LEASE_S if which == "all" else SILENT_S
    model.run((DEAF_S if trouble == DEAF else limit_s) + RETURN_S)
    # The meeting: the reports of machines at work were lost, or their answers; their leases ended before they did.
    assert before and (trouble == DEAF or model.happened["mute"] >= reports + len(names))
    assert all(model.sessions[name] > sessions[name] for name in names)
    # None is kept, and none is ordered in vain.
    assert not set(names) & set(model.workers)
    assert min(model.gone_after_s()) > LEASE_S
    assert model.most_in_a_minute() <= (1 if trouble == DEAF else 0)
    assert model.until(lambda: len(model.on) == 24, 60)
    # What was elsewhere was not disturbed, what was there began once more.
    assert {task for task, starts in model.task_starts.items() if starts == 2} == before
    assert set(model.task_starts.values()) <= {1, 2}


@pytest.mark.parametrize(
    ("how", "hosts"),
    some([(None, 3), ("crash", 5), ("refused", 3)], every([None, "crash", "hand over", "refused"], [1, 3, 5, 7])),
)
def test_a_mute_machine_that_cannot_be_deleted_is_not_ordered_for_ever(how: str | None, hosts: int) -> None:
    model = at_work(92, hosts)
    names = chosen(model, "two")
    before = tasks_on(model, names)
    owner = model.owner(names[0])
    assert owner is not None
    model.strike(MUTE, names, FOR_EVER_S)
    out_s = 70.0
    model.cloud.down = True
    model.at(int(out_s * SECOND), lambda: setattr(model.cloud, "down", False))
    model.run(1.0)
    cancelled = sorted({job_id for job_id, _ in before})[0]
    model.cancel(cancelled)
    model.run(2.0)
    if how is not None:
        model.change(how, owner, 20)
    model.run(out_s - 4)
    # The meeting: one session after the other ends on machines that nobody can delete, and orders came through first.
    assert all(model.sessions[name] >= 6 for name in names)
    assert any("kill" in sent.verbs for name in names for sent in model.commands_to(name, model.struck_us))
    # Nobody orders what has not been heard for a lease, and what was there runs nowhere else yet.
    heard_us = model.struck_us + int(LEASE_S * SECOND)
    assert not any(model.commands_to(name, heard_us) for name in names)
    assert model.most_in_a_minute() <= QUIET_COMMANDS
    left = {task for task in before if task[0] != cancelled}
    assert left and not left & set(model.on)
    assert model.until(lambda: not set(names) & set(model.workers) and left <= set(model.on), 60)


@pytest.mark.parametrize(
    ("trouble", "how", "over_s"),
    some(
        [(MUTE, None, -3.0), (MUTE, None, 3.0), (MUTE, "crash", 1.0), (DEAF, None, 1.0)],
        every([MUTE, DEAF], [None, "crash"], [-3.0, -1.0, 0.0, 1.0, 2.0, 3.0, 4.0, 5.0, 8.0]),
    ),
)
def test_a_machine_that_is_back_before_or_after_its_lease_is_used_or_returned(
    trouble: str, how: str | None, over_s: float
) -> None:
    model = at_work(93)
    names = chosen(model, "zone")
    before = tasks_on(model, names)
    sessions = {name: model.workers[name].session for name in names}
    owner = model.owner(names[0])
    assert owner is not None
    model.strike(trouble, names, LEASE_S + over_s)
    model.run(2.0)
    if how is not None:
        model.change(how, owner, 30)
    model.run(LEASE_S + over_s - 2.0)
    lost = {name for name in names if name not in model.workers or model.workers[name].session > sessions[name]}
    # The meeting: leases end, or do not, before the machines are back.
    assert not lost if over_s < -2 else lost if over_s > 0 else True
    model.run(SILENT_S)
    assert model.until(lambda: len(model.on) == 24, 2 * DEAF_S)
    again = {task for task, starts in model.task_starts.items() if starts > 1}
    assert again <= before and (again or over_s < 0)
    # A machine that is back is ordered anew; the stream ends with that.
    assert model.most_in_a_minute() <= 8


# What is known of its tasks


@pytest.mark.parametrize(
    ("verb", "hosts"), some([("kill", 3), ("launch", 3), ("kill", 7)], every(["kill", "launch"], [1, 5, 7]))
)
def test_what_has_ended_on_a_mute_machine_is_known_by_the_answer_to_an_order(verb: str, hosts: int) -> None:
    model = at_work(94, hosts, jobs=4, cpus=1.5)
    model.cloud.capacity = len(model.workers)
    model.run_s["job-50"] = 4.0
    model.submit(batch(50, pieces=1, cpus=0.5, memory_gb=1.0, expect_s=4.0))
    assert model.until(lambda: ("job-50", 0) in model.on, 10)
    name = next(iter(model.on[("job-50", 0)]))
    others = sorted({job_id for job_id, _ in tasks_on(model, [name])} - {"job-50"})
    model.run(0.3)
    model.strike(MUTE, [name], FOR_EVER_S)
    assert model.until(lambda: model.jobs["job-50"].finished == {0}, 6)
    ended_us = model.now
    if verb == "kill":
        model.cancel(others[0])
    else:
        # As many tasks as there is room for, so that the mute machine gets one as well.
        model.long.add("job-51")
        model.submit(batch(51, pieces=2 * len(model.workers) - 1, cpus=0.5, memory_gb=1.0))
    assert model.until(lambda: bool(model.commands_to(name, ended_us)), 4)
    # The meeting: the end was reported to nobody, and an order of another task reached the machine.
    heard = [found for found in model.delivered if found.machine == name and found.at_us >= ended_us]
    assert model.until(lambda: model.jobs["job-50"].told == "done", 5)
    heard = [found for found in model.delivered if found.machine == name and found.at_us >= ended_us]
    assert verb in {order["verb"] for found in heard for order in found.body["orders"]}
    assert name in model.workers and model.workers[name].session == 1
    assert model.now - ended_us < (LEASE_S - 4) * SECOND + 4 * SECOND
    model.run(60)
    assert model.task_starts[("job-50", 0)] == 1


@pytest.mark.parametrize(
    ("trouble", "which", "hosts", "late_s"),
    some(
        [(MUTE, "two", 3, 0.5), (MUTE, "zone", 5, 5.0), (MUTE, "two", 3, 9.0), (DEAF, "zone", 3, 0.5)],
        every([MUTE, DEAF], ["two", "zone"], [3, 5, 7], [0.5, 2.0, 5.0, 9.0, 11.0]),
    ),
)
def test_cancelled_tasks_of_machines_out_of_touch_end_by_an_order_or_by_the_lease(
    trouble: str, which: str, hosts: int, late_s: float
) -> None:
    model = at_work(95, hosts)
    names = chosen(model, which)
    jobs = sorted({job_id for job_id, _ in tasks_on(model, names)})[:3]
    renewed_us = {name: model.workers[name].renewed_us for name in names}
    sessions = {name: model.workers[name].session for name in names}
    model.strike(trouble, names, FOR_EVER_S)
    model.run(late_s)
    there = set(names) & {name for job_id in jobs for name in model.machines_of(job_id)}
    for job_id in jobs:
        model.cancel(job_id)
    model.run(2.0)
    ordered = {name for name in names if any("kill" in s.verbs for s in model.commands_to(name, model.struck_us))}
    # The meeting: the cancellations are confirmed, with tasks on machines whose leases still run, or ended just now.
    assert all(model.jobs[job_id].told == "cancelled" for job_id in jobs)
    assert bool(there) == (late_s < LEASE_S)
    if late_s < LEASE_S - 2:
        assert ordered
        # A mute one ends them at once; no order renews a lease.
        assert trouble == DEAF or not {name for job_id in jobs for name in model.machines_of(job_id)}
    for name in (there & ordered) & set(model.workers):
        worker = model.workers[name]
        assert worker.session > sessions[name] or worker.renewed_us <= renewed_us[name] + REPORT_S * SECOND
    model.run(CANCEL_S)
    assert max(model.gone_s(job_id) for job_id in jobs) <= LEASE_S
    assert model.most_in_a_minute() <= QUIET_COMMANDS
    assert not model.late_starts


# In company


@pytest.mark.parametrize(
    ("trouble", "how", "offset_s"),
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
        every([MUTE, DEAF], ["crash", "hand over", "refused", "halt", "alone"], [-4.0, -1.0, 0.0, 0.3, 3.0, 6.0]),
    ),
)
def test_cancelled_tasks_are_gone_in_time_though_the_owner_changes(trouble: str, how: str, offset_s: float) -> None:
    """The owner changes so long after the cancellations, or before them."""
    model = at_work(96, 5 if how == "hand over" else 3)
    names = chosen(model, "zone")
    jobs = sorted({job_id for job_id, _ in tasks_on(model, names)})[:3]
    owner = max(range(len(model.hosts)), key=[model.owner(name) for name in names].count)
    model.nodes = [host.number for host in model.hosts if host.number != owner]
    mine = [name for name in names if model.owner(name) == owner]
    model.strike(trouble, names, 40)
    model.run(0.5)
    if offset_s < 0:
        model.change(how, owner, 30)
        model.run(-offset_s)
    there = {name for job_id in jobs for name in model.machines_of(job_id)} & set(names)
    for job_id in jobs:
        model.cancel(job_id)
    if offset_s >= 0:
        model.run(offset_s)
        model.change(how, owner, 30)
    model.run(CANCEL_S + 2)
    # The meeting: tasks were on machines of the controller that changed, and all jobs are confirmed as cancelled.
    assert there and mine and all(model.jobs[job_id].told == "cancelled" for job_id in jobs)
    assert max(model.gone_s(job_id) for job_id in jobs) <= CANCEL_S
    assert model.most_in_a_minute() <= 3 * QUIET_COMMANDS
    left = set(model.jobs) - set(jobs)
    assert model.until(lambda: len(model.on) == 4 * len(left), 100)
    assert {job_id for job_id, _ in model.on} == left


@pytest.mark.parametrize(
    ("trouble", "hosts", "out_at_s"),
    some(
        [(MUTE, 3, 0.15), (MUTE, 7, 1.0), (DEAF, 5, 4.0)],
        every([MUTE, DEAF], [3, 5, 7], [0.15, 0.4, 1.0, 2.0, 4.0, 7.0]),
    ),
)
def test_cancelled_tasks_are_gone_in_time_though_the_state_is_out(trouble: str, hosts: int, out_at_s: float) -> None:
    """The state service is out for all, beyond `cancel_s`, so long after the cancellations were asked for."""
    model = at_work(97, hosts)
    names = chosen(model, "zone")
    jobs = sorted({job_id for job_id, _ in tasks_on(model, names)})[:3]
    model.strike(trouble, names, 2 * CANCEL_S)
    model.run(0.5)
    there = tasks_on(model, names)
    for job_id in jobs:
        model.cancel(job_id)
    model.run(out_at_s)
    confirmed = [job_id for job_id in jobs if model.jobs[job_id].cancelled_us is not None]
    model.state_outage(CANCEL_S + 12)
    model.run(CANCEL_S + 1)
    # The meeting: machines were out of touch when cancellations were confirmed, and then nobody could read.
    assert {job_id for job_id, _ in there} >= set(jobs) and confirmed and model.state.down
    assert max(model.gone_s(job_id) for job_id in confirmed) <= CANCEL_S
    assert not model.late_starts
    assert model.most_in_a_minute() <= 2 * QUIET_COMMANDS
    left = set(model.jobs) - set(jobs)
    assert model.until(lambda: len(model.on) == 4 * len(left), 110)
    assert {job_id for job_id, _ in model.on} == left


@pytest.mark.usefixtures("two_limits")
@pytest.mark.parametrize(
    ("trouble", "how", "back_s"),
    some(
        [(MUTE, None, 60.0), (MUTE, "crash", LEASE_S + 1), (DEAF, "halt", LEASE_S + 1)],
        every([MUTE, DEAF], [None, "crash", "halt"], [6.0, LEASE_S + 1, LEASE_S + 3, 60.0]),
    ),
)
def test_limits_of_all_teams_hold_while_machines_are_out_of_touch_and_work_waits(
    trouble: str, how: str | None, back_s: float
) -> None:
    model = SilentAtLimits(98)
    gpus = {"crew": RENDER.name, "cpus": 1.0, "cards": 1.0, "hulls": ["big"]}
    model.begin(
        [*(batch(n, crew="crew") for n in range(3)), *(batch(n, **gpus, pieces=2) for n in range(10, 14))],
        40,
    )
    full = model.use(), model.cards()
    for n in range(20, 26):
        model.long.add(f"job-{n}")
        model.submit(batch(n, **({"crew": "crew"} if n % 2 else gpus)))
    model.run(3)
    names = sorted(model.machines_of("job-0") | model.machines_of("job-1") | model.machines_of("job-10"))
    leader = model.runner()
    assert leader is not None
    model.nodes = [host.number for host in model.hosts if host.number != leader]
    model.strike(trouble, names, back_s)
    model.run(0.5)
    for job_id in ("job-0", "job-10"):
        model.cancel(job_id)
    model.run(1.0)
    if how is not None:
        model.change(how, leader, 30)
    model.run(CANCEL_S)
    # The meeting: both limits were used up when the cancellations were confirmed, with another leader then.
    assert full == (TEAM["cpus_max"], RENDER.gpus_max)
    assert model.jobs["job-0"].told == model.jobs["job-10"].told == "cancelled"
    assert how is None or model.runner() not in (None, leader)
    assert max(model.gone_s("job-0"), model.gone_s("job-10")) <= LEASE_S
    # Nothing of the limits is lost: what waited for them takes the places.
    assert model.until(lambda: (model.use(), model.cards()) == full, 90)
    assert {job_id for job_id, _ in model.on} >= {"job-1", "job-2", "job-11", "job-12", "job-13"}


# What a steady stream of orders costs


@pytest.mark.parametrize(("cloud_s", "hosts"), some([(0.0, 3), (45.0, 5)], every([0.0, 45.0], [3, 5, 7])))
def test_a_stream_of_small_jobs_costs_a_mute_machine_a_bounded_number_of_commands(cloud_s: float, hosts: int) -> None:
    """Four one-task jobs come each second, a quarter of them are cancelled, and the fleet gets no more machines."""
    model = at_work(99, hosts, jobs=4, cpus=1.5)
    model.cloud.capacity = len(model.workers)
    names = chosen(model, "two")
    ids = [f"job-{n}" for n in range(100, 220)]
    for n, job_id in enumerate(ids):
        model.run_s[job_id] = 1.5
        job = submission(job_id, pieces=1, cpus=0.5, memory_gb=1.0, crew="free", hulls=["small"], expect_s=1.5)
        model.at(n * SECOND // 4, lambda job=job: model.submit(job))
        if n % 4 == 0:
            model.at(n * SECOND // 4 + SECOND, lambda job_id=job_id: model.cancel(job_id))
    model.run(3)
    model.strike(MUTE, names, FOR_EVER_S)
    if cloud_s:
        model.cloud.down = True
        model.at(int(cloud_s * SECOND), lambda: setattr(model.cloud, "down", False))
    model.run(30)
    sent = [sent for name in names for sent in model.commands_to(name, model.struck_us)]
    # The meeting: tasks were started on mute machines by direct commands, while the stream went on.
    assert model.happened["mute"] and any("launch" in one.verbs for one in sent)
    # Far fewer than the jobs that come, and none once it was not heard for a lease.
    assert model.most_in_a_minute() <= STREAM_COMMANDS
    assert not [one for one in sent if one.at_us > model.struck_us + (LEASE_S + REPORT_S) * SECOND]
    model.run(cloud_s)
    assert model.until(lambda: {model.jobs[job_id].told for job_id in ids} == {"done", "cancelled"}, 60)
    assert model.most_in_a_minute() <= STREAM_COMMANDS


@pytest.mark.parametrize("hosts", some([3], [1, 5, 7]))
def test_machines_that_refuse_connections_get_their_orders_with_answers_and_few_calls(hosts: int) -> None:
    """The reverse: reports and answers come through, and direct commands do not."""
    model = at_work(100, hosts, jobs=4, cpus=1.5)
    model.cloud.capacity = len(model.workers)
    model.strike(MUTE, sorted(model.workers), 0)
    model.refusing = set(model.workers)
    model.long |= {f"job-{n}" for n in range(50, 58)}
    for n in range(50, 58):
        model.at((n - 50) * 5 * SECOND, lambda n=n: model.submit(batch(n, pieces=2, cpus=0.5, memory_gb=1.0)))
        model.at((n - 47) * 5 * SECOND, lambda n=n: model.cancel(f"job-{n}"))
    model.run(12)
    # The meeting: orders were refused, and are carried out all the same.
    assert sum(len(model.commands_to(name, model.struck_us)) for name in model.refusing) >= 2
    assert model.until(lambda: ("job-50", 0) in model.on or model.task_starts[("job-50", 0)] == 1, 4)
    model.run(50)
    assert all(model.task_starts[(f"job-{n}", task)] == 1 for n in range(50, 58) for task in range(2))
    assert max(model.gone_s(f"job-{n}") for n in range(50, 58)) < 2 * REPORT_S + 1
    # One call in the ten seconds in which the answers carry the orders.
    assert model.most_in_a_minute() <= 6
