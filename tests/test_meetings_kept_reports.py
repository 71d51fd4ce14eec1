"""Copies of old reports reach every controller as a new fleet leader begins, or arrive more than a lease late.

A copy may show the highest session that any controller knows of a machine although that session is over, because the
machine was out of reach, restarted or deleted.  A controller that has just started has nothing to compare it with.
Even if the controller answers 200, the copy must not free an allocation, end a live task, renew a lease or add a run
time to the estimates, and the machine's own reports must be accepted afterwards.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Any

import pytest

from ashtray.kernel import Call, Reply
from tests.meeting_model import Meeting, batch, some
from tests.model import CANCEL_S, LEASE_S, REPORT_S, SECOND

GROUPS = "ashtray/now/group/"
RESTART_S = 0.3
"""How long a process is gone when it restarts at once."""


class CopiedReports(Meeting):
    """The model, which records all reports sent and all run times learnt, and can deliver copies of reports."""

    def __init__(self, seed: int, hosts: int = 3) -> None:
        self.sent_reports: dict[str, list[dict[str, Any]]] = {}
        self.learnt_us: list[int] = []
        """The run times in microseconds that any controller has learnt."""
        super().__init__(seed, hosts)

    def start_host(self, host: Any) -> None:
        """Start a controller and record the run times that it learns."""
        super().start_host(host)
        estimates = host.core.desk.pace.estimates
        ran = estimates.ran

        def recorded(job: Any, run_us: int, machine: Any) -> Any:
            self.learnt_us.append(run_us)
            return ran(job, run_us, machine)

        estimates.ran = recorded

    def _copy_late(self, name: str, report: dict[str, Any]) -> None:
        self.sent_reports.setdefault(name, []).append(report)
        super()._copy_late(name, report)

    def send_copy(self, number: int, name: str, report: dict[str, Any]) -> list[tuple[int, Any]]:
        """Send a copy to a controller; return a list to which its answer, withheld from the machine, is added."""
        answers: list[tuple[int, Any]] = []
        self._arrive(
            name,
            f"c{number}",
            "POST",
            "/hello",
            report,
            lambda status, body: answers.append((status, body)),
            lambda _: None,
        )
        return answers

    def send_copies_to_all(self, report: dict[str, Any]) -> dict[int, list[tuple[int, Any]]]:
        """Send a copy twice to every running controller; return the answers to the first copies by controller."""
        numbers = [host.number for host in self.live()]
        first_answers = {number: self.send_copy(number, report["berth"], report) for number in numbers}
        for number in numbers:
            self.send_copy(number, report["berth"], report)
        return first_answers

    def ready(self) -> list[int]:
        """Return the numbers of the controllers that accept reports."""
        cores = [(host.number, host.core) for host in self.live()]
        return [number for number, core in cores if core.follower.loaded and core.presence.incarnation]

    def records(self, prefix: str) -> dict[str, Any]:
        """Return the records of the state service under a prefix."""
        return {key: value for key, (value, _, _) in self.state.keys.items() if key.startswith(prefix)}

    def allocated_tasks(self, name: str) -> set[tuple[str, int]]:
        """Return the tasks allocated on a machine in the newest cluster state of any controller, as (job, task)."""
        cluster_states = [host.core.cluster_state for host in self.live() if host.core.follower.loaded]
        machine = max(cluster_states, key=lambda cluster_state: cluster_state.upto).machines.get(name)
        return (
            {(allocation.job, task) for allocation in machine.holds for task in allocation.tasks}
            if machine is not None
            else set()
        )

    def restart_all(self) -> None:
        """Crash all controllers at once and wait until all accept reports again; none remembers anything."""
        for host in self.hosts:
            self.crash(host.number, RESTART_S)
        self.run_until(lambda: len(self.ready()) == len(self.hosts), 6)

    def run_until(self, condition: Callable[[], bool], seconds: float) -> None:
        """Run in steps of 10 ms until a condition is met; raise AssertionError after the given time."""
        for _ in range(int(seconds / 0.01)):
            if condition():
                return
            self.run(0.01)
        raise AssertionError(f"the condition was not met within {seconds} s")


def busy_model(seed: int, hosts: int = 3) -> CopiedReports:
    """Return a model of four jobs whose long tasks run on machines."""
    model = CopiedReports(seed, hosts)
    model.begin(batch(n) for n in range(4))
    model.run(3)
    return model


def isolate(model: Meeting, name: str, seconds: float) -> None:
    """Cut a machine off: none of its reports reaches a controller and no order reaches the machine."""
    for host in model.hosts:
        model.cut(f"c{host.number}", name, seconds, False)


def report_of_ended_session(model: CopiedReports, name: str) -> dict[str, Any]:
    """Return the last report of a session that has ended without any controller knowing."""
    report = model.sent_reports[name][-1]
    isolate(model, name, LEASE_S + 2.5)
    session = model.workers[name].session
    model.run_until(lambda: model.workers[name].session > session, LEASE_S + 2)
    return report


def report_before_restart(model: CopiedReports, name: str) -> dict[str, Any]:
    """Return the last report of a machine before its restart, after which session and tick begin anew."""
    report = model.sent_reports[name][-1]
    model.bounce(name, RESTART_S)
    model.run(RESTART_S + 0.01)
    assert (model.workers[name].session, model.workers[name].tick) < (report["shift"], report["tick"])
    return report


LAST_REPORTS = {"ended session": report_of_ended_session, "bounced": report_before_restart}


@pytest.mark.parametrize("hosts", some([3], [5, 7]))
@pytest.mark.parametrize("first_arrival", ["copy first", "machine first"])
@pytest.mark.parametrize("session_end", list(LAST_REPORTS))
def test_the_highest_session_heard_so_far_may_be_over(session_end: str, first_arrival: str, hosts: int) -> None:
    model = busy_model(111, hosts)
    (name, *_) = sorted(model.machines_of("job-1"))
    report = LAST_REPORTS[session_end](model, name)
    running = {task["piece"] for task in report["pieces"] if task["status"] == "running"}
    leader = model.runner()
    if first_arrival == "copy first":
        isolate(model, name, 1.5)
    model.restart_all()
    if first_arrival == "machine first":
        sent_before = len(model.sent_reports[name])
        isolate(model, name, 0)
        model.run_until(lambda: len(model.sent_reports[name]) > sent_before + 1, 12)
    # The case is reached: the copy claims tasks that are gone, and only controllers to which the machine has reported
    # since they restarted know the machine.
    learnt_before, allocated = len(model.learnt_us), model.allocated_tasks(name)
    answers = model.send_copies_to_all(report)
    model.run(0.005)
    statuses = {status for replies in answers.values() for status, _ in replies}
    assert running and leader is not None and len(answers) == hosts
    assert first_arrival == "machine first" or statuses <= {200, 421}
    assert all(
        order["verb"] != "kill" for replies in answers.values() for _, body in replies for order in orders(body)
    )
    model.run(0.4)
    # The copy frees no allocation and adds no run time.
    assert allocated and model.allocated_tasks(name) == allocated
    assert len(model.learnt_us) == learnt_before
    # The tasks it claimed run again, each once, on that machine or another one.
    model.run(45)
    assert len(model.on) == 16
    assert not model.late_starts
    assert all(model.owner(machine) is not None for machine in model.workers)


def orders(body: Any) -> list[dict[str, Any]]:
    """Return the orders in the answer to a report."""
    return body.get("orders", []) if isinstance(body, dict) else []


@pytest.mark.parametrize("hosts", some([3], [5, 7]))
@pytest.mark.parametrize("after_s", [0.0, 1.5 * LEASE_S])
def test_a_copy_of_a_cancelled_job_s_machine_renews_no_lease_and_starts_nothing(hosts: int, after_s: float) -> None:
    model = busy_model(112, hosts)
    names = sorted(model.machines_of("job-2"))
    reports = [model.sent_reports[name][-1] for name in names]
    leader = model.runner()
    assert leader is not None
    # The machines of a cancelled job are out of reach, and only copies of their reports arrive.
    for name in names:
        isolate(model, name, 60)
    model.cancel("job-2")
    model.run(0.5)
    assert model.jobs["job-2"].told == "cancelled" and model.machines_of("job-2") == set(names)
    model.change("crash", leader, RESTART_S)
    model.run(after_s)
    renewed_us = {name: model.workers[name].renewed_us for name in names if name in model.workers}
    deleted = [name for name in names if name not in model.workers]
    statuses: list[int] = []
    for _ in range(12):
        for report in reports:
            answers = model.send_copies_to_all(report)
            model.run(0.005)
            statuses += [status for replies in answers.values() for status, _ in replies]
        model.run(1)
    # The case is reached: some copies were accepted as reports after the change of leader.
    assert 200 in statuses or 503 in statuses
    assert all(model.workers[name].renewed_us >= at_us for name, at_us in renewed_us.items() if name in model.workers)
    model.run(CANCEL_S)
    assert model.gone_s("job-2") <= LEASE_S + REPORT_S
    # Copies of reports do not keep a machine that no controller hears from.
    assert not set(names) & set(model.workers), deleted
    assert not set(names) & {machine for host in model.hosts for machine in host.core.cluster_state.machines}


@pytest.mark.parametrize("hosts", some([3], [5, 7]))
def test_copies_that_lack_a_cancelled_task_free_nothing_while_it_lingers(hosts: int) -> None:
    model = busy_model(114, hosts)
    model.cancel("job-0")
    model.run(3)
    model.begin([batch(30)])
    (name, *_) = sorted(model.machines_of("job-30"))
    earlier = [report for report in model.sent_reports[name] if "job-30" not in str(report["pieces"])]
    lingering = {
        ("job-30", number) for (job, number), machines in model.on.items() if job == "job-30" and name in machines
    }
    isolate(model, name, 60)
    model.cancel("job-30")
    model.run_until(lambda: model.jobs["job-30"].told == "cancelled", 3)
    model.restart_all()
    statuses: list[int] = []
    for report in earlier[-12:]:
        answers = model.send_copies_to_all(report)
        model.run(0.3)
        statuses += [status for replies in answers.values() for status, _ in replies]
        if name in model.machines_of("job-30"):
            assert model.allocated_tasks(name) >= lingering
    # The case is reached: copies of reports from before the tasks started, in their order, were accepted as reports.
    assert lingering and statuses.count(200) > 3
    model.run(CANCEL_S)
    assert model.gone_s("job-30") <= LEASE_S + REPORT_S


@pytest.mark.parametrize("token", ["first report", "later report"])
def test_a_copy_from_a_machine_that_is_gone_leaves_no_work_waiting_on_it(token: str) -> None:
    model = busy_model(113)
    (name, *_) = sorted(model.machines_of("job-3"))
    report = next(
        report for report in model.sent_reports[name] if (report["baton"] == 0) == (token == "first report")
    )
    model.cloud.end(model.now, name, "taken")
    model.run_until(lambda: not any(name in group["machines"] for group in model.records(GROUPS).values()), 60)
    model.run(20)
    model.restart_all()
    answers = model.send_copies_to_all(report)
    model.run(0.01)
    # The case is reached: no controller remembers the machine, and at least one accepts the copy as a report.
    assert any(status == 200 for replies in answers.values() for status, _ in replies)
    model.long.add("job-20")
    model.submit(batch(20))
    model.run(2)
    # A first report carries no token and looks like that of a new machine: its machine may be adopted, then returned.
    assert token == "first report" or not any(name in group["machines"] for group in model.records(GROUPS).values())
    model.run(40)
    assert not any(name in group["machines"] for group in model.records(GROUPS).values())
    assert sum(job_id == "job-20" for job_id, _ in model.on) == 4 and len(model.on) == 20


@pytest.mark.parametrize("hosts", some([3], [5, 7]))
@pytest.mark.parametrize("seed", some([114, 115], range(116, 124)))
def test_kept_and_late_copies_of_most_reports_over_changes_of_leader_and_restarts(seed: int, hosts: int) -> None:
    model = CopiedReports(seed, hosts)
    model.begin(batch(n) for n in range(4))
    for n in range(20, 24):
        model.submit(batch(n, pieces=3, expect_s=6.0, shape="gang" if n % 2 else "batch"))
    model.keep_reports(0.7, 60)
    model.report_late(0.3, 60)
    for turn, how in zip(range(4), itertools.cycle(["crash", "hand over"])):
        model.run(4)
        names = sorted(model.workers)
        if turn == 1:
            isolate(model, names[0], LEASE_S + 3)
        elif turn == 2:
            model.bounce(names[-1], RESTART_S)
        leader = model.runner()
        if leader is not None:
            model.cancel(f"job-{turn}" if turn < 2 else f"job-{18 + turn}")
            model.change(how, leader, RESTART_S if turn % 2 else 3.0)
        model.run(6)
    # The case is reached: over several terms, kept copies reached new leaders and other copies arrived late.
    assert model.happened["report kept for the next leader"] > 5
    assert model.happened["report copied late"] > 5
    assert len(model.terms) >= 3
    model.run(3 * LEASE_S)
    model.calm()
    model.run(60)
    assert {job_id for job_id, _ in model.on} == {"job-2", "job-3"} and len(model.on) == 8
    assert all(job.told in ("done", "cancelled") for n in range(20, 24) for job in [model.jobs[f"job-{n}"]])
    # The finite tasks take 2 to 10 s; no run time is learnt that is longer, apart from the delay until it is noticed.
    assert model.learnt_us and all(run_us <= 12 * SECOND for run_us in model.learnt_us), model.learnt_us


@pytest.mark.parametrize("order", list(itertools.permutations(["copy", "machine", "answer"])))
def test_a_token_given_for_a_copy_is_the_machine_s_in_every_order_of_copy_report_and_answer(
    order: tuple[str, ...],
) -> None:
    model = busy_model(124)
    (name, *_) = sorted(model.machines_of("job-0"))
    report = model.sent_reports[name][-1]
    session, tasks = model.workers[name].session, set(model.workers[name].tasks)
    model.restart_all()
    unaware = [number for number in model.ready() if name not in model.hosts[number].core.desk.workers]
    assert unaware
    held_answers: list[Callable[[], None]] = []
    send = model.send

    def hold_answers(source: str, call: Call, deliver: Callable[[Reply], None]) -> None:
        """Let the machine's reports arrive and hold back their answers."""
        if source == name:
            send(source, call, lambda reply: held_answers.append(lambda: deliver(reply)))
        else:
            send(source, call, deliver)

    model.send = hold_answers  # type: ignore[method-assign]
    for event in order:
        if event == "copy":
            model.send_copies_to_all(report)
            model.run(0.01)
        elif event == "machine":
            sent_before = len(model.sent_reports[name])
            model.run_until(
                lambda sent_before=sent_before: len(model.sent_reports[name]) > sent_before or bool(held_answers), 6
            )
            model.run(0.01)
        else:
            model.send = send  # type: ignore[method-assign]
            for deliver in held_answers:
                deliver()
    model.send = send  # type: ignore[method-assign]
    for deliver in held_answers if order[-1] != "answer" else []:
        deliver()
    model.run(4 * REPORT_S + 4)
    # Controllers that did not know the machine give it an owner, and it keeps its session and its tasks.
    assert model.owner(name) is not None
    assert model.workers[name].session == session and set(model.workers[name].tasks) == tasks
