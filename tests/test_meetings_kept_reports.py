"""Old reports that are kept meet every controller as a new leader begins, or arrive more than a lease late.

A copy may show the highest session that anybody has heard of a machine, though that session is over: the machine was
out of reach, was started anew, or is gone.  A controller that has just started compares it with nothing.  Even where
it answers 200, the copy frees nothing, ends no task that lives, renews no lease and teaches no run time, and the
machine's own reports are heard again afterwards.
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
BACK_S = 0.3
"""How long a process is away that is started anew at once."""


class Copying(Meeting):
    """The model, with all reports that were sent, and what was answered to copies of them."""

    def __init__(self, seed: int, hosts: int = 3) -> None:
        self.reports: dict[str, list[dict[str, Any]]] = {}
        self.learnt: list[int] = []
        """The run times that any controller has learnt."""
        super().__init__(seed, hosts)

    def start_host(self, host: Any) -> None:
        """Start a controller, and note the run times that it learns."""
        super().start_host(host)
        estimates = host.core.desk.pace.estimates
        ran = estimates.ran

        def noted(job: Any, run_us: int, machine: Any) -> Any:
            self.learnt.append(run_us)
            return ran(job, run_us, machine)

        estimates.ran = noted

    def _copy_late(self, name: str, report: dict[str, Any]) -> None:
        self.reports.setdefault(name, []).append(report)
        super()._copy_late(name, report)

    def copy_to(self, number: int, name: str, report: dict[str, Any]) -> list[tuple[int, Any]]:
        """Give a controller a copy; the list gets status and body of the answer, which never reaches the machine."""
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

    def to_all(self, report: dict[str, Any]) -> dict[int, list[tuple[int, Any]]]:
        """Give a copy to every controller that is there, each twice."""
        numbers = [host.number for host in self.live()]
        found = {number: self.copy_to(number, report["berth"], report) for number in numbers}
        for number in numbers:
            self.copy_to(number, report["berth"], report)
        return found

    def ready(self) -> list[int]:
        """The controllers that take reports."""
        cores = [(host.number, host.core) for host in self.live()]
        return [number for number, core in cores if core.follower.loaded and core.presence.incarnation]

    def records(self, prefix: str) -> dict[str, Any]:
        """The records under a prefix of the state service."""
        return {key: value for key, (value, _, _) in self.state.keys.items() if key.startswith(prefix)}

    def held_tasks(self, name: str) -> set[tuple[str, int]]:
        """The tasks that the newest cluster state of any controller lists on a machine."""
        cluster_states = [host.core.cluster_state for host in self.live() if host.core.follower.loaded]
        machine = max(cluster_states, key=lambda cluster_state: cluster_state.upto).machines.get(name)
        return {(hold.job, task) for hold in machine.holds for task in hold.tasks} if machine is not None else set()

    def restart_all(self) -> None:
        """End all controllers at one moment; all are back at once and remember nothing."""
        for host in self.hosts:
            self.crash(host.number, BACK_S)
        self.until(lambda: len(self.ready()) == len(self.hosts), 6)

    def until(self, met: Callable[[], bool], seconds: float) -> None:
        """Let time pass in small steps until something has happened."""
        for _ in range(int(seconds / 0.01)):
            if met():
                return
            self.run(0.01)
        raise AssertionError(f"it did not happen within {seconds} s")


def at_work(seed: int, hosts: int = 3) -> Copying:
    """Machines with long tasks, whose first tasks have taught something already."""
    model = Copying(seed, hosts)
    model.begin(batch(n) for n in range(4))
    model.run(3)
    return model


def keep_away(model: Meeting, name: str, seconds: float) -> None:
    """No report of a machine reaches any controller, nor any order the machine."""
    for host in model.hosts:
        model.cut(f"c{host.number}", name, seconds, False)


def ended_session(model: Copying, name: str) -> dict[str, Any]:
    """The last report of a session that is over, and of which nobody has heard that it is."""
    report = model.reports[name][-1]
    keep_away(model, name, LEASE_S + 2.5)
    session = model.workers[name].session
    model.until(lambda: model.workers[name].session > session, LEASE_S + 2)
    return report


def bounced(model: Copying, name: str) -> dict[str, Any]:
    """The last report of a machine that was started anew within a second, and counts from the beginning."""
    report = model.reports[name][-1]
    model.bounce(name, BACK_S)
    model.run(BACK_S + 0.01)
    assert (model.workers[name].session, model.workers[name].tick) < (report["shift"], report["tick"])
    return report


WAYS = {"ended session": ended_session, "bounced": bounced}


@pytest.mark.parametrize("hosts", some([3], [5, 7]))
@pytest.mark.parametrize("heard", ["copy first", "machine first"])
@pytest.mark.parametrize("way", list(WAYS))
def test_the_highest_session_heard_so_far_may_be_over(way: str, heard: str, hosts: int) -> None:
    model = at_work(111, hosts)
    (name, *_) = sorted(model.machines_of("job-1"))
    report = WAYS[way](model, name)
    running = {piece["piece"] for piece in report["pieces"] if piece["status"] == "running"}
    leader = model.runner()
    if heard == "copy first":
        keep_away(model, name, 1.5)
    model.restart_all()
    if heard == "machine first":
        before = len(model.reports[name])
        keep_away(model, name, 0)
        model.until(lambda: len(model.reports[name]) > before + 1, 12)
    # The meeting: nobody remembers the machine, or somebody has just met it, and the copy claims tasks that are gone.
    learnt, held = len(model.learnt), model.held_tasks(name)
    answers = model.to_all(report)
    model.run(0.005)
    statuses = {status for given in answers.values() for status, _ in given}
    assert running and leader is not None and len(answers) == hosts
    assert heard == "machine first" or statuses <= {200, 421}
    assert all(order["verb"] != "kill" for given in answers.values() for _, body in given for order in orders(body))
    model.run(0.4)
    # It frees nothing and teaches nothing.
    assert held and model.held_tasks(name) == held
    assert len(model.learnt) == learnt
    # What it claimed runs again, on that machine or another one, each task once.
    model.run(45)
    assert len(model.on) == 16
    assert not model.late_starts
    assert all(model.owner(machine) is not None for machine in model.workers)


def orders(body: Any) -> list[dict[str, Any]]:
    """The orders in the answer to a report."""
    return body.get("orders", []) if isinstance(body, dict) else []


@pytest.mark.parametrize("hosts", some([3], [5, 7]))
@pytest.mark.parametrize("after_s", [0.0, 1.5 * LEASE_S])
def test_a_copy_of_a_cancelled_job_s_machine_renews_no_lease_and_starts_nothing(hosts: int, after_s: float) -> None:
    model = at_work(112, hosts)
    names = sorted(model.machines_of("job-2"))
    reports = [model.reports[name][-1] for name in names]
    leader = model.runner()
    assert leader is not None
    # The machines are out of reach with a cancelled job, and only copies of their reports come.
    for name in names:
        keep_away(model, name, 60)
    model.cancel("job-2")
    model.run(0.5)
    assert model.jobs["job-2"].told == "cancelled" and model.machines_of("job-2") == set(names)
    model.change("crash", leader, BACK_S)
    model.run(after_s)
    renewed_us = {name: model.workers[name].renewed_us for name in names if name in model.workers}
    deleted = [name for name in names if name not in model.workers]
    answered: list[int] = []
    for _ in range(12):
        for report in reports:
            given = model.to_all(report)
            model.run(0.005)
            answered += [status for found in given.values() for status, _ in found]
        model.run(1)
    # The meeting: some copies were taken for reports after the change of leader.
    assert 200 in answered or 503 in answered
    assert all(model.workers[name].renewed_us >= at_us for name, at_us in renewed_us.items() if name in model.workers)
    model.run(CANCEL_S)
    assert model.gone_s("job-2") <= LEASE_S + REPORT_S
    # Copies keep no machine alive that nobody hears.
    assert not set(names) & set(model.workers), deleted
    assert not set(names) & {machine for host in model.hosts for machine in host.core.cluster_state.machines}


@pytest.mark.parametrize("hosts", some([3], [5, 7]))
def test_copies_that_lack_a_cancelled_task_free_nothing_while_it_lingers(hosts: int) -> None:
    model = at_work(114, hosts)
    model.cancel("job-0")
    model.run(3)
    model.begin([batch(30)])
    (name, *_) = sorted(model.machines_of("job-30"))
    before = [report for report in model.reports[name] if "job-30" not in str(report["pieces"])]
    lingering = {
        ("job-30", number) for (job, number), machines in model.on.items() if job == "job-30" and name in machines
    }
    keep_away(model, name, 60)
    model.cancel("job-30")
    model.until(lambda: model.jobs["job-30"].told == "cancelled", 3)
    model.restart_all()
    answered: list[int] = []
    for report in before[-12:]:
        given = model.to_all(report)
        model.run(0.3)
        answered += [status for found in given.values() for status, _ in found]
        if name in model.machines_of("job-30"):
            assert model.held_tasks(name) >= lingering
    # The meeting: copies of reports from before the start, each newer than the one before, were taken for reports.
    assert lingering and answered.count(200) > 3
    model.run(CANCEL_S)
    assert model.gone_s("job-30") <= LEASE_S + REPORT_S


@pytest.mark.parametrize("token", ["first report", "later report"])
def test_a_copy_from_a_machine_that_is_gone_leaves_no_work_waiting_on_it(token: str) -> None:
    model = at_work(113)
    (name, *_) = sorted(model.machines_of("job-3"))
    report = next(report for report in model.reports[name] if (report["baton"] == 0) == (token == "first report"))
    model.cloud.end(model.now, name, "taken")
    model.until(lambda: not any(name in group["machines"] for group in model.records(GROUPS).values()), 60)
    model.run(20)
    model.restart_all()
    answers = model.to_all(report)
    model.run(0.01)
    # The meeting: nobody remembers the machine, and somebody takes the copy for a report.
    assert any(status == 200 for given in answers.values() for status, _ in given)
    model.long.add("job-20")
    model.submit(batch(20))
    model.run(2)
    # A first report shows no token, so it can't be told from that of a new machine; what is adopted then is returned.
    assert token == "first report" or not any(name in group["machines"] for group in model.records(GROUPS).values())
    model.run(40)
    assert not any(name in group["machines"] for group in model.records(GROUPS).values())
    assert sum(job_id == "job-20" for job_id, _ in model.on) == 4 and len(model.on) == 20


@pytest.mark.parametrize("hosts", some([3], [5, 7]))
@pytest.mark.parametrize("seed", some([114, 115], range(116, 124)))
def test_kept_and_late_copies_of_most_reports_over_changes_of_leader_and_restarts(seed: int, hosts: int) -> None:
    model = Copying(seed, hosts)
    model.begin(batch(n) for n in range(4))
    for n in range(20, 24):
        model.submit(batch(n, pieces=3, expect_s=6.0, shape="gang" if n % 2 else "batch"))
    model.keep_reports(0.7, 60)
    model.report_late(0.3, 60)
    for turn, how in zip(range(4), itertools.cycle(["crash", "hand over"])):
        model.run(4)
        names = sorted(model.workers)
        if turn == 1:
            keep_away(model, names[0], LEASE_S + 3)
        elif turn == 2:
            model.bounce(names[-1], BACK_S)
        leader = model.runner()
        if leader is not None:
            model.cancel(f"job-{turn}" if turn < 2 else f"job-{18 + turn}")
            model.change(how, leader, BACK_S if turn % 2 else 3.0)
        model.run(6)
    # The meeting: kept copies came to new leaders, others late, over several terms.
    assert model.happened["report kept for the next leader"] > 5
    assert model.happened["report copied late"] > 5
    assert len(model.terms) >= 3
    model.run(3 * LEASE_S)
    model.calm()
    model.run(60)
    assert {job_id for job_id, _ in model.on} == {"job-2", "job-3"} and len(model.on) == 8
    assert all(job.told in ("done", "cancelled") for n in range(20, 24) for job in [model.jobs[f"job-{n}"]])
    # The tasks with an end take 2 to 10 s; nothing shorter or longer than that, but for a look, is learnt.
    assert model.learnt and all(run_us <= 12 * SECOND for run_us in model.learnt), model.learnt


@pytest.mark.parametrize("order", list(itertools.permutations(["copy", "machine", "answer"])))
def test_a_token_given_for_a_copy_is_the_machine_s_in_every_order_of_copy_report_and_answer(
    order: tuple[str, ...],
) -> None:
    model = at_work(124)
    (name, *_) = sorted(model.machines_of("job-0"))
    report = model.reports[name][-1]
    session, tasks = model.workers[name].session, set(model.workers[name].tasks)
    model.restart_all()
    met = [number for number in model.ready() if name not in model.hosts[number].core.desk.workers]
    assert met
    held: list[Callable[[], None]] = []
    send = model.send

    def holding(source: str, call: Call, deliver: Callable[[Reply], None]) -> None:
        """The machine's reports arrive; their answers wait."""
        if source == name:
            send(source, call, lambda reply: held.append(lambda: deliver(reply)))
        else:
            send(source, call, deliver)

    model.send = holding  # type: ignore[method-assign]
    for what in order:
        if what == "copy":
            model.to_all(report)
            model.run(0.01)
        elif what == "machine":
            sent = len(model.reports[name])
            model.until(lambda sent=sent: len(model.reports[name]) > sent or bool(held), 6)
            model.run(0.01)
        else:
            model.send = send  # type: ignore[method-assign]
            for deliver in held:
                deliver()
    model.send = send  # type: ignore[method-assign]
    for deliver in held if order[-1] != "answer" else []:
        deliver()
    model.run(4 * REPORT_S + 4)
    # The meeting: a process that remembered nothing of the machine met it, and the machine goes on with its tasks.
    assert model.owner(name) is not None
    assert model.workers[name].session == session and set(model.workers[name].tasks) == tasks
