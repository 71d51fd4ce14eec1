"""Changes of the fleet leader, and controllers that are down or cut off, during cancellations and long tasks.

The tests guard against cancelled tasks that outlast their bound, machines that lose long tasks although they were
away for less than a lease, and leases or writes that accumulate with each change of leader.
"""

from __future__ import annotations

import pytest

from ashtray.kernel import Reply
from tests.meeting_model import FEW_REPORTS_S, Meeting, batch, some
from tests.model import CANCEL_S, LEASE_S, REPORT_S, SECOND, TEAM

TEAM_KEY = "ashtray/now/team/crew"


# Row 14 of docs/meetings.md: all controllers are down for longer than the lease


@pytest.mark.parametrize("seed", some([8], [9, 10, 11]))
@pytest.mark.parametrize("back_s", [0.5 * LEASE_S, 1.3 * LEASE_S, 3 * LEASE_S])
def test_all_controllers_away_for_longer_than_the_lease(seed: int, back_s: float) -> None:
    model = Meeting(seed)
    model.begin(batch(n) for n in range(6))
    for n in range(20, 24):
        model.submit(batch(n, pieces=3, expect_s=6.0, shape="gang" if n % 2 else "batch"))
    model.run(3)
    ids = sorted(model.jobs)[:3]
    for job_id in ids:
        model.cancel(job_id)
    while any(model.jobs[job_id].told != "cancelled" for job_id in ids):
        model.run(0.02)
    for host in model.hosts:
        model.crash(host.number, back_s + 0.4 * host.number)
    sessions = {name: model.workers[name].session for machines in model.on.values() for name in machines}
    model.run(back_s - 0.1)
    assert not model.live()
    restarted = [name for name in sessions if name in model.workers and model.workers[name].session > sessions[name]]
    # The case is reached: the leases of all machines ended, or none did.
    assert len(restarted) == (len(sessions) if back_s > LEASE_S + 2 else 0)
    model.longest_gap_us = 0
    model.without_owner.clear()
    model.run(40)
    assert all(model.gone_s(job_id) < LEASE_S + REPORT_S for job_id in ids)
    assert not model.late_starts
    assert model.longest_gap_us < FEW_REPORTS_S * SECOND
    # What ran before the crash runs again; the model checks that each task runs only once.
    running = {job_id for job_id, _ in model.on}
    assert running >= {f"job-{n}" for n in range(6)} - set(ids)
    model.run(40)
    assert all(model.jobs[f"job-{n}"].told == "done" for n in range(20, 24))


# Row 16 of docs/meetings.md: ten changes of leader in two minutes


def count_leases(model: Meeting) -> int:
    """Return how many leases the state service holds now."""
    model.state.expire(model.now)
    return len(model.state.leases)


@pytest.mark.parametrize(
    ("how", "outage"),
    some([("hand over", False), ("mixed", True)], [("crash", True), ("blink", False), ("blink", True)]),
)
def test_ten_changes_of_leader_in_two_minutes(how: str, outage: bool) -> None:
    model = Meeting(41, 4)
    model.begin(batch(n) for n in range(4))
    model.begin(batch(n, crew="crew", pieces=3) for n in range(10, 14))
    assert model.use() == TEAM["cpus_max"]
    sessions = {name: worker.session for name, worker in model.workers.items()}
    model.longest_gap_us, max_leases, share_writes = 0, 0, 0
    share_revision = model.state.keys[TEAM_KEY][1]
    terms = len(model.terms)
    ids = sorted(model.jobs)
    for n in range(10):
        number = model.runner()
        if number is None:
            number = model.terms[-1][0]
        change = ["crash", "hand over", "blink"][n % 3] if how == "mixed" else how
        if outage and n in (3, 6):
            model.state_outage(7)
            model.run(1)
        if change == "hand over":
            model.hand_over(number, 3)
        else:
            model.crash(number, 0.4 if change == "blink" else 4)
        model.run(0.5)
        if n < 6:
            model.cancel(ids[n])
        for _ in range(11):
            model.run(1)
            max_leases = max(max_leases, count_leases(model))
            share_writes += model.state.keys[TEAM_KEY][1] != share_revision
            share_revision = model.state.keys[TEAM_KEY][1]
    # The case is reached: ten or more terms began, with cancellations between them.
    assert len(model.terms) - terms >= 10
    assert all(model.jobs[job_id].told == "cancelled" for job_id in ids[:6])
    # One lease for each live controller, and those that recently ended processes have left until they expire.
    assert max_leases <= len(model.hosts) + 2
    # A change of leader alone does not rewrite the record of shares.
    assert share_writes <= 4
    gap_s = LEASE_S if outage else FEW_REPORTS_S
    assert model.longest_gap_us < gap_s * SECOND
    assert all(model.workers[name].session == session for name, session in sessions.items() if name in model.workers)
    assert max(model.gone_s(job_id) for job_id in ids[:6]) < FEW_REPORTS_S
    assert not model.late_starts
    model.run(20)
    assert count_leases(model) == len(model.hosts)


# Row 17 of docs/meetings.md: the leader ends while machines with long tasks are out of reach or get no answers


@pytest.mark.parametrize("offset_s", some([-2.0, 1.0], [0.0, 2.0, 3.5]))
@pytest.mark.parametrize("fault", ["cut", "deaf", "hang"])
def test_machines_that_are_back_within_their_lease_are_kept_by_the_heir(
    fault: str, offset_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The lease of a large site: two reports that are given up after 4 s fit into the lease.
    lease_s, cancel_s = 14.0, 34.0
    for module in ("model", "model_basis", "model_checks", "meeting_model"):
        monkeypatch.setattr(f"tests.{module}.LEASE_S", lease_s, raising=False)
        monkeypatch.setattr(f"tests.{module}.CANCEL_S", cancel_s, raising=False)
    model = Meeting(51)
    model.begin(batch(n) for n in range(6))
    model.run(5)
    names = sorted(model.workers)[::2]
    sessions = {name: model.workers[name].session for name in names}
    tasks = {name: set(model.workers[name].tasks) for name in names}
    away_s = (0.55 if fault == "hang" else 0.3) * lease_s
    leader = model.runner()
    assert leader is not None and all(tasks.values())

    def inject_fault() -> None:
        if fault == "cut":
            model.cut_off(names, away_s)
        elif fault == "hang":
            model.hang_all(names, away_s)
        else:
            for name in names:
                model.deaf[name] = (model.now + int(away_s * SECOND), False)

    if offset_s <= 0:
        inject_fault()
        model.run(-offset_s)
        model.crash(leader, 40)
    else:
        model.crash(leader, 40)
        model.run(offset_s)
        inject_fault()
    model.run(4 * lease_s)
    # The case is reached: another controller is the fleet leader, and every machine that was away has an owner.
    assert model.runner() not in (None, leader)
    assert all(model.owner(name) is not None for name in names)
    assert {name: model.workers[name].session for name in names} == sessions
    assert {name: set(model.workers[name].tasks) for name in names} == tasks


@pytest.mark.parametrize("fault", ["cut", "deaf"])
def test_machines_that_stay_away_are_returned_by_the_heir_and_their_tasks_run_elsewhere(fault: str) -> None:
    model = Meeting(52)
    model.begin(batch(n) for n in range(6))
    model.run(5)
    names = sorted(model.workers)[:2]
    leader = model.runner()
    assert leader is not None
    if fault == "cut":
        model.cut_off(names, 200)
    else:
        for name in names:
            model.deaf[name] = (model.now + 200 * SECOND, False)
    model.run(6)
    model.crash(leader, 100)
    model.run(60)
    assert not set(names) & set(model.workers)
    assert len(model.on) == 24


# Row 18 of docs/meetings.md: a leader is cut off from the state service and its peers, not from workers and users


@pytest.mark.parametrize("hold", [False, True])
@pytest.mark.parametrize("seed", some([61], range(62, 70)))
def test_cancellations_elsewhere_while_the_leader_is_alone_with_its_workers(seed: int, hold: bool) -> None:
    model = Meeting(seed)
    model.begin(batch(n) for n in range(6))
    model.run(2)
    leader = model.runner()
    assert leader is not None
    leader_machines = [name for name in model.workers if model.owner(name) == leader]
    for target in ("state", *(f"c{host.number}" for host in model.hosts if host.number != leader)):
        model.cut(f"c{leader}", target, 40, hold)
    others = [host.number for host in model.hosts if host.number != leader]
    ids = sorted(model.jobs)
    answers: list[tuple[int, int, str]] = []

    def ask(job_id: str) -> None:
        """Ask the isolated leader for a job's status twice a second; the model checks that no answer is outdated."""
        asked_us = model.now

        def answered(reply: Reply) -> None:
            if reply.status == 200:
                answers.append((asked_us, model.now, job_id))
                model.asked_us = asked_us
                model._told(job_id, reply.body["status"])

        model._ask("GET", f"/submissions/{job_id}", None, 2, answered, leader)
        model.at(SECOND // 2, lambda: ask(job_id))

    for job_id in ids:
        ask(job_id)
    model.run(0.7)
    model.nodes = others
    for job_id in ids[::2]:
        model.cancel(job_id)
    model.run(CANCEL_S + 12)
    assert all(model.jobs[job_id].told == "cancelled" for job_id in ids[::2])
    # The case is reached: other controllers own all its machines, and its cluster state is older than theirs.
    assert leader_machines and all(model.owners[name][-1] != leader for name in leader_machines)
    assert model.hosts[leader].core.follower.read_us < model.hosts[others[0]].core.follower.read_us
    assert max(model.gone_s(job_id) for job_id in ids[::2]) < 2 * LEASE_S
    assert not model.late_starts
    model.run(30)
    assert answers and {job_id for job_id, _ in model.on} == set(ids[1::2])


# Row 19 of docs/meetings.md: a zone with workers and a controller is cut off, for less or more than the lease


@pytest.mark.parametrize("seconds", [0.7 * LEASE_S, 1.5 * LEASE_S, 5 * LEASE_S])
@pytest.mark.parametrize("seed", some([71], range(72, 80)))
def test_a_zone_with_workers_and_a_controller_cut_off(seed: int, seconds: float) -> None:
    model = Meeting(seed)
    model.begin(batch(n, yard=["a", "b"][n % 2]) for n in range(6))
    model.begin(batch(n, crew="crew", pieces=4, yard=["a", "b"][n % 2]) for n in range(10, 13))
    model.long.add("job-13")
    model.submit(batch(13, crew="crew", pieces=4))
    model.run(4)
    assert model.use() == TEAM["cpus_max"]
    inside = [name for name, worker in model.workers.items() if worker.zone == "b"]
    outside = [name for name in model.workers if name not in inside]
    owned_inside = [name for name in inside if model.owner(name) == 2]
    cut_us = model.now
    for target in ("state", "cloud", "user", "c0", "c1", *outside):
        model.cut("c2", target, seconds, False)
    for name in inside:
        for number in (0, 1):
            model.cut(f"c{number}", name, seconds, False)
    model.run(0.5)
    model.nodes = [0, 1]
    ids = ["job-0", "job-1", "job-10", "job-11"]
    for job_id in ids:
        model.cancel(job_id)
    model.run(4.5)
    # The case is reached: the zone's controller still renews leases and has not read the cancellations.
    still_owned = [name for name in owned_inside if model.owner(name) == 2]
    assert still_owned and all(model.workers[name].renewed_us > cut_us + 2 * SECOND for name in still_owned)
    assert model.hosts[2].core.cluster_state.jobs.keys() >= set(ids)
    model.run(LEASE_S)
    model.run(max(seconds, CANCEL_S))
    assert all(model.jobs[job_id].told == "cancelled" for job_id in ids)
    assert max(model.gone_s(job_id) for job_id in ids) <= CANCEL_S
    assert not model.late_starts
    model.run(60)
    # Jobs that were not cancelled run, including the one that waited for the limit.
    assert {job_id for job_id, _ in model.on} == set(model.jobs) - set(ids)
    assert model.use() == TEAM["cpus_max"] - 8
