"""A leader loses the state service and the other controllers, cancellations go through another, then nobody has it.

Workers and users still reach the leader that is cut off.  What ends the cancelled tasks then is the bound on
renewals, or the peers' statements of cancellations (`docs/design.md`, point 5).  Statements come from peers that are
behind, have been started anew, or stand still between their statement and its answer; clocks run 0.05% apart.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from tests.meeting_model import Meeting, batch, some
from tests.model import CANCEL_S, REPORT_S, SECOND
from tests.test_meetings_handovers import all_told, owned_by, wait_until

DRIFT_PPM = 500
HOSTS = [3, 5, 7]


class Stated(Meeting):
    """The model, with the statements that each controller counts, and what users are told where."""

    def __init__(self, seed: int, hosts: int = 3, drift_ppm: int = 0) -> None:
        self.counted: list[tuple[int, str, int, int]] = []
        """Who counted a statement of whom, from when on, and when it came, in true time."""
        self.drifting = drift_ppm
        super().__init__(seed, hosts)

    def start_host(self, host: Any) -> None:
        """Start a controller, and note the statements that it counts."""
        if self.drifting and not self.drift_ppm:
            self.drift(self.drifting)
        super().start_host(host)
        guard = host.core.renewal
        stated = guard.stated

        def noted(peer: str, asked_us: int) -> None:
            self.counted.append((host.number, peer, self.true_us(host, asked_us), self.now))
            stated(peer, asked_us)

        guard.stated = noted

    def true_us(self, host: Any, steady_us: int) -> int:
        """When a controller's steady clock showed a time."""
        return (steady_us - SECOND) * 10**6 // (10**6 + host.drift_ppm)


def at_work(seed: int, hosts: int, drift_ppm: int = 0) -> tuple[Stated, int, set[str]]:
    """Machines with long tasks; the leader, which keeps the workers that report to it, and those workers."""
    model = Stated(seed, hosts, drift_ppm)
    model.begin(batch(n) for n in range(6))
    leader = max(range(hosts), key=lambda number: len(owned_by(model, number)))
    # Sending workers to others is a hint, on which no rule rests.
    model.hosts[leader].core.desk._foreman = lambda *_: None
    mine = owned_by(model, leader)
    assert mine
    return model, leader, mine


def only_to(model: Meeting, number: int, names: set[str]) -> None:
    """These machines reach one controller alone."""
    for name in names:
        for host in model.hosts:
            if host.number != number:
                model.cut(f"c{host.number}", name, 1000, False)


def cancel_at(model: Meeting, ids: list[str], nodes: list[int]) -> None:
    """Cancel jobs at some of the controllers, and wait for the answers."""
    model.nodes = nodes
    for job_id in ids:
        model.cancel(job_id)
    wait_until(model, lambda: all_told(model, ids), 4)


def jobs_on(model: Meeting, names: set[str]) -> list[str]:
    """The jobs with tasks on some of the machines."""
    return sorted({job_id for (job_id, _), machines in model.on.items() if names & set(machines)})


def out_for_all(model: Meeting, seconds: float) -> None:
    """The state service is out, and the cloud deletes nothing meanwhile."""
    model.state_outage(seconds)
    for host in model.hosts:
        model.cut(f"c{host.number}", "cloud", seconds, False)


# Row 18 and 1: cut off from the state service and from the others


@pytest.mark.parametrize("drift_ppm", [0, DRIFT_PPM])
@pytest.mark.parametrize("outage_s", some([1.4 * CANCEL_S], [0.6 * CANCEL_S, 2.5 * CANCEL_S]))
@pytest.mark.parametrize(("hosts", "after_s"), some([(3, 0.05), (5, 1.0), (7, 3.0)], [(n, 2.0) for n in HOSTS]))
def test_a_leader_alone_with_its_workers_ends_what_was_cancelled_before_the_outage(
    hosts: int, after_s: float, outage_s: float, drift_ppm: int
) -> None:
    model, leader, mine = at_work(131, hosts, drift_ppm)
    only_to(model, leader, mine)
    cut_us = model.now
    model.cut_from_state_and_peers(leader, after_s + outage_s + 10)
    model.run(after_s)
    ids = jobs_on(model, mine)[:3]
    cancel_at(model, ids, [number for number in range(hosts) if number != leader])
    out_for_all(model, outage_s)
    # The meeting: confirmed elsewhere, with tasks on the leader's machines, which it has gone on renewing.
    assert ids and jobs_on(model, mine)[: len(ids)] == ids
    model.run(6)
    assert any(model.workers[name].renewed_us > cut_us + 3 * SECOND for name in mine)
    assert all(asked_us <= cut_us for number, _, asked_us, _ in model.counted if number == leader)
    # The model's check, each half second, sees what is left `CANCEL_S` after the confirmation.
    model.run(CANCEL_S)
    assert max(model.gone_s(job_id) for job_id in ids) <= CANCEL_S
    assert not model.late_starts
    model.run(outage_s + 30)
    assert {job_id for job_id, _ in model.on} == set(model.jobs) - set(ids)


@pytest.mark.parametrize(("hosts", "then_s"), some([(3, 40.0), (5, 55.0), (7, 30.0)], [(3, 55.0), (7, 55.0)]))
def test_the_gap_twice_with_all_controllers_hearing_one_another(hosts: int, then_s: float) -> None:
    # The leader is refused alone, cancellations are confirmed elsewhere, and then nobody has the state service.
    model, leader, mine = at_work(132, hosts)
    sessions = {name: model.workers[name].session for name in mine}
    gone: list[str] = []
    for _ in range(2):
        ids = jobs_on(model, mine)[:1]
        gone += ids
        model.hosts[leader].refused_until = model.now + int(14 * SECOND)
        model.run(1.0)
        read_us = model.hosts[leader].core.follower.read_us
        cancel_at(model, ids, [number for number in range(hosts) if number != leader])
        model.state_outage(then_s)
        # The meeting: the leader, whose machines ran these jobs, has not read since before the cancellations.
        assert ids and model.hosts[leader].core.follower.read_us == read_us
        model.run(then_s + 20)
        assert max(model.gone_s(job_id) for job_id in ids) <= 4 * REPORT_S + 2
    # Statements made up for the reads: no lease of a machine with work ran out.
    busy = {name for machines in model.on.values() for name in machines}
    assert {name: model.workers[name].session for name in mine & busy} == {n: sessions[n] for n in mine & busy}
    assert {job_id for job_id, _ in model.on} == set(model.jobs) - set(gone)


# Point 5: what a statement is worth


def behind(model: Stated, peer: int) -> None:
    """A peer reads late: each message between it and the state service takes 1.5 s longer."""
    model.far[peer] = (model.now + 60 * SECOND, 1_500_000)


def started_anew(model: Stated, peer: int) -> None:
    """A peer ends, and is back at once as another process, which has followed nothing since before."""
    model.crash(peer, 0.3)
    model.run(1.5)
    assert model.hosts[peer].core.follower.loaded


def halting(model: Stated, peer: int) -> None:
    """A peer stands still for 0.8 s at times, after it has decided an answer and before that goes out."""
    for turn in range(30):
        model.at(turn * SECOND, lambda: setattr(model.hosts[peer], "halts_us", 800_000))


TROUBLES: dict[str, Callable[[Stated, int], None]] = {
    "behind": behind,
    "started anew": started_anew,
    "halting": halting,
}


@pytest.mark.parametrize("drift_ppm", some([DRIFT_PPM], [0]))
@pytest.mark.parametrize("by", ["the peer", "another"])
@pytest.mark.parametrize(
    ("trouble", "hosts"),
    some(
        [("behind", 3), ("started anew", 5), ("halting", 3), ("started anew", 3)],
        [(trouble, hosts) for trouble in TROUBLES for hosts in HOSTS],
    ),
)
def test_statements_of_a_peer_in_trouble_keep_no_cancelled_task(
    trouble: str, hosts: int, by: str, drift_ppm: int
) -> None:
    model, leader, mine = at_work(133, hosts, drift_ppm)
    peer, other = (leader + 1) % hosts, (leader + 2) % hosts
    only_to(model, leader, mine)
    # The leader alone loses the state service; it hears its peers' statements, but no announcement of a cancellation.
    model.hosts[leader].refused_until = model.now + 200 * SECOND
    lose_announcements(model)
    model.run(0.5)
    life = model.hosts[peer].life
    ids = jobs_on(model, mine)[:3]
    assert ids
    if trouble != "started anew":
        TROUBLES[trouble](model, peer)
    cancel_at(model, ids, [peer if by == "the peer" else other])
    told_us = [model.jobs[job_id].cancelled_us for job_id in ids]
    before = len(model.counted)
    if trouble == "started anew":
        TROUBLES[trouble](model, peer)
    out_for_all(model, 2 * CANCEL_S)
    model.run(CANCEL_S + 2)
    assert max(model.gone_s(job_id) for job_id in ids) <= CANCEL_S
    assert not model.late_starts
    # The meeting: statements that were asked for after the confirmation came, but for those of a process that began
    # after it, which can't be complete: it has followed nothing since the leader last read.
    late = {
        who for number, who, asked_us, _ in model.counted[before:] if number == leader and asked_us > max(told_us)
    }
    assert (f"berth-{peer}" in late) == (trouble != "started anew")
    assert f"berth-{other}" in late
    assert (model.hosts[peer].life > life) == (trouble == "started anew")
    model.run(2 * CANCEL_S)


def lose_announcements(model: Stated) -> None:
    """No controller hears of a cancellation from the one that confirms it, but by its statements."""
    send = model.send

    def losing(source: str, call: Any, deliver: Callable[[Any], None]) -> None:
        if call.path != "/peer/cancelled":
            send(source, call, deliver)

    model.send = losing  # type: ignore[method-assign]


@pytest.mark.parametrize("drift_ppm", some([DRIFT_PPM], [0]))
@pytest.mark.parametrize("hosts", some([3], [5, 7]))
@pytest.mark.parametrize("late_s", some([0.02, 0.4], [0.2, 0.8]))
def test_a_peer_that_confirms_a_cancellation_just_after_its_statement(
    late_s: float, hosts: int, drift_ppm: int
) -> None:
    model, leader, mine = at_work(134, hosts, drift_ppm)
    peer = (leader + 1) % hosts
    only_to(model, leader, mine)
    model.hosts[leader].refused_until = model.now + 200 * SECOND
    lose_announcements(model)
    model.run(1)
    seen = len(model.counted)

    def stated() -> bool:
        return any(number == leader and who == f"berth-{peer}" for number, who, _, _ in model.counted[seen:])

    # A statement has just come; the confirmation follows it, and nothing more is heard of that peer, nor of any.
    wait_until(model, stated, 5)
    model.run(late_s)
    ids = jobs_on(model, mine)[:3]
    cut_us = model.now
    model.cut_from_state_and_peers(leader, 3 * CANCEL_S)
    cancel_at(model, ids, [peer])
    out_for_all(model, 2 * CANCEL_S)
    told_us = min(model.jobs[job_id].cancelled_us or 0 for job_id in ids)
    assert ids and jobs_on(model, mine)[: len(ids)] == ids and told_us >= cut_us
    renewed_us: list[int] = []
    for _ in range(int(CANCEL_S)):
        model.run(1)
        renewed_us += [model.workers[name].renewed_us for name in mine if name in model.workers]
    model.run(1)
    # The meeting: the leader went on renewing on the strength of statements from before the confirmation.
    asked = [asked_us for number, _, asked_us, _ in model.counted if number == leader]
    assert max(asked) <= told_us < max(renewed_us)
    assert max(model.gone_s(job_id) for job_id in ids) <= CANCEL_S
    assert not model.late_starts
