"""A machine's owner changes while jobs are cancelled, or while commands, answers or reports are held up."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from ashtray.kernel import Call, Reply
from ashtray.workers.worker_manager import TOKEN_SHIFT
from tests.meeting_model import STEP_S, Meeting, batch, busiest, some
from tests.model import CANCEL_S, LEASE_S, REPORT_S, SECOND

INCARNATION = (1 << TOKEN_SHIFT) - 1
"""The bits of a token that identify the process that issued it."""
CONFIRMED_S = 9.0
"""By when users are told of their cancellations, whatever becomes of the owner."""
CHANGES = ["crash", "hand over", "refused", "halt", "alone"]


# Row 5: cancellations in the seconds in which other controllers take over one controller's machines


@pytest.mark.parametrize("after_s", some([-0.02, 1.0], [-0.5, 0.2, 0.5, 2.0, 3.0, 4.5]))
@pytest.mark.parametrize("how", CHANGES)
def test_tasks_cancelled_while_their_owner_changes_are_gone_in_time(how: str, after_s: float) -> None:
    model = Meeting(31)
    model.begin(batch(n) for n in range(6))
    predecessor = busiest(model)
    owned = {name for name in model.workers if model.owner(name) == predecessor}
    assert owned
    model.nodes = [host.number for host in model.hosts if host.number != predecessor]
    ids = sorted(model.jobs)
    if after_s >= 0:
        model.change(how, predecessor, 25)
        model.run(after_s)
    for job_id in ids:
        model.cancel(job_id)
    if after_s < 0:
        model.run(-after_s)
        model.change(how, predecessor, 25)
    model.run(CONFIRMED_S)
    assert {model.jobs[job_id].told for job_id in ids} == {"cancelled"}
    # One that is alone sends its workers on after a lease, and their next owner needs a second report of theirs.
    model.run(LEASE_S + 2.5 * REPORT_S - CONFIRMED_S)
    # The case is reached: the predecessor's machines, all with tasks of these jobs, got another owner.
    moved = [name for name in owned if model.owners[name][-1] != predecessor]
    assert moved and owned - set(moved) <= owned - set(model.workers)
    # A paused or unreachable controller is detected within a few seconds, and an answer to a report can carry kills.
    assert max(model.gone_s(job_id) for job_id in ids) < LEASE_S + REPORT_S
    assert not model.late_starts
    assert model.longest_gap_us < LEASE_S * SECOND
    model.run(CANCEL_S)


# Row 10: commands and answers that are held up


def held_up_launch(model: Meeting, late_s: float) -> tuple[int, str]:
    """Submit a job and hold up the launches that are sent directly; returns sender and machine of one launch."""
    for name in model.workers:
        model.held_orders[name] = model.now + int(late_s * SECOND)
    model.long.add("job-50")
    model.submit(batch(50, pieces=12, cpus=1.0))
    for _ in range(100):
        model.run(STEP_S)
        for source, name, body in model.sent:
            if any(order["verb"] == "launch" and order["piece"].startswith("job-50/") for order in body["orders"]):
                return int(source[1:]), name
    raise AssertionError("no launch of the job was sent directly")


@pytest.mark.parametrize("how", ["crash", "hand over", "alone", "halt"])
@pytest.mark.parametrize("late_s", some([7.0], [10.0, 14.0]))
def test_a_command_of_a_former_owner_that_comes_after_the_new_owner_s_does_nothing(how: str, late_s: float) -> None:
    model = Meeting(32)
    model.begin(batch(n, pieces=2, cpus=1.0) for n in range(6))
    for job_id in sorted(model.jobs)[::2]:
        # This frees capacity for the next job on machines that are up.
        model.cancel(job_id)
    model.run(0.6)
    predecessor, name = held_up_launch(model, late_s)
    issuer = model.hosts[predecessor].core.presence.incarnation
    model.change(how, predecessor, 30)
    model.run(late_s + 12)
    sent = [
        found
        for found in model.delivered
        # Messages without orders only announce a token, which the machine may already have from an answer.
        if found.machine == name and found.body["baton"] & INCARNATION == issuer and found.body["orders"]
    ]
    # The case is reached: the predecessor's last command arrived when the machine had seen a newer token.
    assert sent and sent[-1].token > sent[-1].body["baton"]
    assert sent[-1].status == 409
    # All tasks have started where they are placed now.
    assert len([key for key in model.on if key[0] == "job-50"]) == 12


@pytest.mark.parametrize(
    ("how", "late_s"),
    # If no controller is paused, the machine is empty and returned after some 6.4 s.
    [*(("crash", late_s) for late_s in (0.9, 1.2, 2.0, 6.0)), *(("halt", late_s) for late_s in (0.9, 1.2, 2.0, 9.0))],
)
def test_a_start_under_way_when_its_job_is_cancelled_and_its_owner_changes_is_undone_in_time(
    how: str, late_s: float
) -> None:
    model = Meeting(33)
    model.begin(batch(n, pieces=2, cpus=1.0) for n in range(6))
    for job_id in sorted(model.jobs)[::2]:
        model.cancel(job_id)
    model.run(0.6)
    predecessor, name = held_up_launch(model, late_s)
    issuer = model.hosts[predecessor].core.presence.incarnation
    model.change(how, predecessor, 30)
    model.nodes = [number for number in range(3) if number != predecessor]
    model.cancel("job-50")
    model.run(CANCEL_S + 10)
    assert model.jobs["job-50"].told == "cancelled"
    # The case is reached: the command arrived after the cancellation.
    cancelled_us = model.jobs["job-50"].cancelled_us
    sent = [
        found for found in model.delivered if found.machine == name and found.body["baton"] & INCARNATION == issuer
    ]
    assert cancelled_us is not None and sent[-1].at_us > cancelled_us
    # The predecessor's token is valid until the machine has received the new one: always up to 1.2 s, and never after
    # three reports.
    still_matches = sent[-1].token <= sent[-1].body["baton"]
    assert sent[-1].status == (200 if still_matches else 409)
    assert late_s > 1.2 or still_matches
    assert late_s < 3 * REPORT_S or not still_matches
    # Once the machine has seen a new owner's token, the launch is void; before, an answer to a report kills the task.
    assert all(start.after_us <= 4 * SECOND for start in model.late_starts)
    assert model.gone_s("job-50") < LEASE_S + REPORT_S


def hold_back_reports(model: Meeting, name: str, number: int) -> list[dict[str, Any]]:
    """Stop all messages between a machine and one controller; returns the list of the machine's stopped reports."""
    kept: list[dict[str, Any]] = []
    send = model.send

    def keeping(source: str, call: Call, deliver: Callable[[Reply], None]) -> None:
        ends = {source, call.address.partition(":")[0]}
        if ends != {name, f"c{number}"}:
            send(source, call, deliver)
            return
        if source == name:
            kept.append(call.body)
        model.at(call.timeout_us, lambda: deliver(Reply(0)))

    model.send = keeping  # type: ignore[method-assign]
    return kept


@pytest.mark.parametrize("seed", some([3, 4], range(5, 20)))
def test_an_old_session_s_end_of_a_task_frees_nothing_that_a_later_owner_has_started_again(seed: int) -> None:
    # Otherwise the predecessor, whose cluster state does not have the new owner's token yet, frees the allocation.
    model = Meeting(seed)
    model.begin([batch(0, pieces=1, cpus=3.0), batch(1, pieces=2, cpus=1.0)])
    # This is long enough for a machine that leaves its owner to be redirected back there at first.
    model.run(22)
    (name,) = model.machines_of("job-0")
    predecessor = model.owner(name)
    assert predecessor is not None
    worker = model.workers[name]
    session = worker.session
    old_token = model.hosts[predecessor].core.cluster_state.machines[name].record.token
    kept = hold_back_reports(model, name, predecessor)
    worker.fails = True
    model.at(3 * SECOND, lambda: setattr(worker, "fails", False))
    others = [host.core.cluster_state for host in model.hosts if host.number != predecessor]
    for _ in range(20_000):
        model.run(0.001)
        if any(cluster_state.machines[name].record.token > old_token for cluster_state in others):
            break
    # The case is reached: the new owner has recorded its token, which the predecessor has not read, and the old
    # reports list all tasks as ended.
    assert worker.session == session + 1
    assert model.hosts[predecessor].core.cluster_state.machines[name].record.token == old_token
    assert kept and {piece["status"] for piece in kept[-1]["pieces"]} == {"ended"}
    for report in (kept[0], kept[-1]):
        model.copy_arrives(name, predecessor, report)
    model.run(0.25)
    assert model.machines_of("job-0") == {name}
    # If the allocation were freed, a kill would follow: it must not reach the machine, which would hide the fault.
    model.hang_all([name], 6)
    model.run(20)
    assert model.hosts[predecessor].core.cluster_state.jobs["job-0"].record.attempt == 1
    assert model.machines_of("job-0") == {name}


@pytest.mark.parametrize("seed", some([6], [7, 8, 9]))
@pytest.mark.parametrize("seconds", [3.5, 6.0, 11.0])
def test_answers_and_commands_held_up_for_seconds_meet_cancellations(seed: int, seconds: float) -> None:
    model = Meeting(seed)
    model.begin(batch(n) for n in range(6))
    predecessor = busiest(model)
    held = [name for name in sorted(model.workers) if model.owner(name) == predecessor]
    sessions = {name: model.workers[name].session for name in held}
    for name in held:
        model.cut(f"c{predecessor}", name, seconds, True)
    model.run(0.5)
    for job_id in sorted(model.jobs)[::2]:
        model.cancel(job_id)
    # Small jobs take the capacity that becomes free.
    for n in range(20, 24):
        model.submit(batch(n, pieces=3, expect_s=6.0))
    model.run(seconds + 10)
    # The case is reached: a machine got another owner meanwhile, unless the messages were held up for too short.
    assert seconds < 5 or any(model.owners[name][-1] != predecessor for name in held)
    # A machine that is redirected to a controller that cannot answer waits twice for 4 s, longer than the lease.
    kept = [model.workers[name].session == session for name, session in sessions.items() if name in model.workers]
    assert seconds > 7 or all(kept)
    ids = [job_id for job_id, job in model.jobs.items() if job.cancelled_us is not None]
    assert len(ids) == 3 and max(model.gone_s(job_id) for job_id in ids) < LEASE_S + REPORT_S
    assert not model.late_starts
    model.run(40)
    assert all(model.jobs[f"job-{n}"].told == "done" for n in range(20, 24))
