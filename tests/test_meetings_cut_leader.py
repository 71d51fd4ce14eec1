"""A leader is cut off, another controller confirms cancellations, and then no controller reaches the state service.

"The leader" here is the controller that owns the most machines.  It loses the state service and the other
controllers; its workers still reach it.  It does not know of the cancellations, and must not keep the cancelled tasks
alive by renewing the leases of their workers.  They end because of the bound on renewals, or because of the peers'
statements of cancellations (`docs/design.md`, point 5).  Those statements come from peers that read late, have just
restarted, or are paused between making a statement and sending it; clocks run up to 0.05% fast or slow.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from tests.meeting_model import Meeting, batch, some
from tests.model import CANCEL_S, REPORT_S, SECOND
from tests.test_meetings_handovers import all_told, owned_by, wait_until

DRIFT_PPM = 500
"""How much too fast or too slow a clock runs at most, in parts per million."""
HOSTS = [3, 5, 7]


class StatementModel(Meeting):
    """The model with a record of the statements that each controller took into account."""

    def __init__(self, seed: int, hosts: int = 3, drift_ppm: int = 0) -> None:
        self.accepted: list[tuple[int, str, int, int]] = []
        """Of each statement that a controller took into account: that controller, the peer that made it, when it was
        asked for and when it came, both in true time."""
        self.wanted_drift_ppm = drift_ppm
        super().__init__(seed, hosts)

    def start_host(self, host: Any) -> None:
        """Start a controller, and record the statements that it takes into account."""
        if self.wanted_drift_ppm and not self.drift_ppm:
            self.drift(self.wanted_drift_ppm)
        super().start_host(host)
        guard = host.core.renewal
        note_statement = guard.note_statement

        def record_statement(peer: str, asked_us: int) -> None:
            self.accepted.append((host.number, peer, self.true_us(host, asked_us), self.now))
            note_statement(peer, asked_us)

        guard.note_statement = record_statement

    def true_us(self, host: Any, steady_us: int) -> int:
        """Return the true time at which a controller's monotonic clock showed `steady_us`."""
        return (steady_us - SECOND) * 10**6 // (10**6 + host.drift_ppm)


def set_up(seed: int, hosts: int, drift_ppm: int = 0) -> tuple[StatementModel, int, set[str]]:
    """Set up machines with long tasks; return the model, the leader and the machines that it owns.

    The leader does not redirect workers that report to it to other controllers.
    """
    model = StatementModel(seed, hosts, drift_ppm)
    model.begin(batch(n) for n in range(6))
    leader = max(range(hosts), key=lambda number: len(owned_by(model, number)))
    # Redirecting workers to another controller is a hint that may fail, so no rule may rely on it.
    model.hosts[leader].core.worker_manager._redirect_target = lambda *_: None
    owned = owned_by(model, leader)
    assert owned
    return model, leader, owned


def report_only_to(model: Meeting, number: int, names: set[str]) -> None:
    """Let these machines reach only one controller."""
    for name in names:
        for host in model.hosts:
            if host.number != number:
                model.cut(f"c{host.number}", name, 1000, False)


def cancel_at(model: Meeting, ids: list[str], nodes: list[int]) -> None:
    """Cancel jobs at some of the controllers, and wait until their users are told."""
    model.nodes = nodes
    for job_id in ids:
        model.cancel(job_id)
    wait_until(model, lambda: all_told(model, ids), 4)


def jobs_on(model: Meeting, names: set[str]) -> list[str]:
    """Return the jobs with tasks on any of these machines, sorted."""
    return sorted({job_id for (job_id, _), machines in model.on.items() if names & set(machines)})


def outage_for_all(model: Meeting, seconds: float) -> None:
    """The state service is down for all controllers, and none of them can delete machines meanwhile."""
    model.state_outage(seconds)
    for host in model.hosts:
        model.cut(f"c{host.number}", "cloud", seconds, False)


# Rows 18 and 1: a leader cut off from the state service and from the other controllers


@pytest.mark.parametrize("drift_ppm", [0, DRIFT_PPM])
@pytest.mark.parametrize("outage_s", some([1.4 * CANCEL_S], [0.6 * CANCEL_S, 2.5 * CANCEL_S]))
@pytest.mark.parametrize(("hosts", "after_s"), some([(3, 0.05), (5, 1.0), (7, 3.0)], [(n, 2.0) for n in HOSTS]))
def test_a_leader_alone_with_its_workers_ends_what_was_cancelled_before_the_outage(
    hosts: int, after_s: float, outage_s: float, drift_ppm: int
) -> None:
    model, leader, owned = set_up(131, hosts, drift_ppm)
    report_only_to(model, leader, owned)
    cut_us = model.now
    model.cut_from_state_and_peers(leader, after_s + outage_s + 10)
    model.run(after_s)
    ids = jobs_on(model, owned)[:3]
    cancel_at(model, ids, [number for number in range(hosts) if number != leader])
    outage_for_all(model, outage_s)
    # The case is reached: the cancellations were confirmed elsewhere, the jobs have tasks on the leader's machines,
    # and the leader has gone on renewing the leases.
    assert ids and jobs_on(model, owned)[: len(ids)] == ids
    model.run(6)
    assert any(model.workers[name].renewed_us > cut_us + 3 * SECOND for name in owned)
    assert all(asked_us <= cut_us for number, _, asked_us, _ in model.accepted if number == leader)
    # The model checks every half second that no task is left `CANCEL_S` after the confirmation.
    model.run(CANCEL_S)
    assert max(model.gone_s(job_id) for job_id in ids) <= CANCEL_S
    assert not model.late_starts
    model.run(outage_s + 30)
    assert {job_id for job_id, _ in model.on} == set(model.jobs) - set(ids)


@pytest.mark.parametrize(("hosts", "outage_s"), some([(3, 40.0), (5, 55.0), (7, 30.0)], [(3, 55.0), (7, 55.0)]))
def test_the_gap_twice_with_all_controllers_hearing_one_another(hosts: int, outage_s: float) -> None:
    # Twice, the state service refuses only the leader, cancellations are confirmed elsewhere, and then the state
    # service is down for all.
    model, leader, owned = set_up(132, hosts)
    sessions = {name: model.workers[name].session for name in owned}
    cancelled: list[str] = []
    for _ in range(2):
        ids = jobs_on(model, owned)[:1]
        cancelled += ids
        model.hosts[leader].refused_until = model.now + int(14 * SECOND)
        model.run(1.0)
        read_us = model.hosts[leader].core.follower.read_us
        cancel_at(model, ids, [number for number in range(hosts) if number != leader])
        model.state_outage(outage_s)
        # The case is reached: the leader, whose machines ran these jobs, has not read since before the cancellations.
        assert ids and model.hosts[leader].core.follower.read_us == read_us
        model.run(outage_s + 20)
        assert max(model.gone_s(job_id) for job_id in ids) <= 4 * REPORT_S + 2
    # Statements made up for the missing reads: no lease of a machine with tasks expired.
    busy = {name for machines in model.on.values() for name in machines}
    assert {name: model.workers[name].session for name in owned & busy} == {n: sessions[n] for n in owned & busy}
    assert {job_id for job_id, _ in model.on} == set(model.jobs) - set(cancelled)


# Safety point 5: statements of peers that are themselves affected by a fault


def reads_late(model: StatementModel, peer: int) -> None:
    """A peer reads late: each message between it and the state service takes 1.5 s longer."""
    model.far[peer] = (model.now + 60 * SECOND, 1_500_000)


def restarts(model: StatementModel, peer: int) -> None:
    """A peer ends and restarts at once; the new process has not followed any changes from before its start."""
    model.crash(peer, 0.3)
    model.run(1.5)
    assert model.hosts[peer].core.follower.loaded


def pauses(model: StatementModel, peer: int) -> None:
    """A peer's process is paused for 0.8 s at a time, between deciding an answer and sending it."""
    for turn in range(30):
        model.at(turn * SECOND, lambda: setattr(model.hosts[peer], "halts_us", 800_000))


FAULTS: dict[str, Callable[[StatementModel, int], None]] = {
    "behind": reads_late,
    "started anew": restarts,
    "halting": pauses,
}


@pytest.mark.parametrize("drift_ppm", some([DRIFT_PPM], [0]))
@pytest.mark.parametrize("confirmed_by", ["the peer", "another"])
@pytest.mark.parametrize(
    ("fault", "hosts"),
    some(
        [("behind", 3), ("started anew", 5), ("halting", 3), ("started anew", 3)],
        [(fault, hosts) for fault in FAULTS for hosts in HOSTS],
    ),
)
def test_statements_of_a_peer_in_trouble_keep_no_cancelled_task(
    fault: str, hosts: int, confirmed_by: str, drift_ppm: int
) -> None:
    model, leader, owned = set_up(133, hosts, drift_ppm)
    peer, other = (leader + 1) % hosts, (leader + 2) % hosts
    report_only_to(model, leader, owned)
    # Only the leader loses the state service.  It receives its peers' statements, but no announcements.
    model.hosts[leader].refused_until = model.now + 200 * SECOND
    lose_announcements(model)
    model.run(0.5)
    life = model.hosts[peer].life
    ids = jobs_on(model, owned)[:3]
    assert ids
    if fault != "started anew":
        FAULTS[fault](model, peer)
    cancel_at(model, ids, [peer if confirmed_by == "the peer" else other])
    told_us = [model.jobs[job_id].cancelled_us for job_id in ids]
    accepted_before = len(model.accepted)
    if fault == "started anew":
        FAULTS[fault](model, peer)
    outage_for_all(model, 2 * CANCEL_S)
    model.run(CANCEL_S + 2)
    assert max(model.gone_s(job_id) for job_id in ids) <= CANCEL_S
    assert not model.late_starts
    # The case is reached: the leader accepted statements that it asked for after the confirmation.  It accepted none
    # from a process that began after the confirmation.  Such a statement can't be complete, because the process has
    # not followed all changes since the leader last read.
    peers_heard = {
        peer_name
        for number, peer_name, asked_us, _ in model.accepted[accepted_before:]
        if number == leader and asked_us > max(told_us)
    }
    assert (f"berth-{peer}" in peers_heard) == (fault != "started anew")
    assert f"berth-{other}" in peers_heard
    assert (model.hosts[peer].life > life) == (fault == "started anew")
    model.run(2 * CANCEL_S)


def lose_announcements(model: StatementModel) -> None:
    """Drop all announcements of cancellations: controllers learn of them only from statements."""
    send = model.send

    def send_unless_announcement(source: str, call: Any, deliver: Callable[[Any], None]) -> None:
        if call.path != "/peer/cancelled":
            send(source, call, deliver)

    model.send = send_unless_announcement  # type: ignore[method-assign]


@pytest.mark.parametrize("drift_ppm", some([DRIFT_PPM], [0]))
@pytest.mark.parametrize("hosts", some([3], [5, 7]))
@pytest.mark.parametrize("delay_s", some([0.02, 0.4], [0.2, 0.8]))
def test_a_peer_that_confirms_a_cancellation_just_after_its_statement(
    delay_s: float, hosts: int, drift_ppm: int
) -> None:
    model, leader, owned = set_up(134, hosts, drift_ppm)
    peer = (leader + 1) % hosts
    report_only_to(model, leader, owned)
    model.hosts[leader].refused_until = model.now + 200 * SECOND
    lose_announcements(model)
    model.run(1)
    accepted_before = len(model.accepted)

    def statement_came() -> bool:
        return any(
            number == leader and peer_name == f"berth-{peer}"
            for number, peer_name, _, _ in model.accepted[accepted_before:]
        )

    # The peer's statement has just come.  Then the leader is cut off, and only after that the peer confirms.
    wait_until(model, statement_came, 5)
    model.run(delay_s)
    ids = jobs_on(model, owned)[:3]
    cut_us = model.now
    model.cut_from_state_and_peers(leader, 3 * CANCEL_S)
    cancel_at(model, ids, [peer])
    outage_for_all(model, 2 * CANCEL_S)
    told_us = min(model.jobs[job_id].cancelled_us or 0 for job_id in ids)
    assert ids and jobs_on(model, owned)[: len(ids)] == ids and told_us >= cut_us
    renewed_us: list[int] = []
    for _ in range(int(CANCEL_S)):
        model.run(1)
        renewed_us += [model.workers[name].renewed_us for name in owned if name in model.workers]
    model.run(1)
    # The case is reached: the leader went on renewing because of statements from before the confirmation.
    asked = [asked_us for number, _, asked_us, _ in model.accepted if number == leader]
    assert max(asked) <= told_us < max(renewed_us)
    assert max(model.gone_s(job_id) for job_id in ids) <= CANCEL_S
    assert not model.late_starts
