"""Ownership or leadership changes twice or more while jobs are cancelled, also during an outage of the state service.

The owner of the machines that run a cancelled job changes, and the next owner ends too: while it takes over, within
the time of one read of the state service, or again and again.  However this happens, the tasks must be gone within
`cancel_s` of the confirmation.  A new fleet leader must also know how long a hung machine has been silent, even where
its predecessor led only for seconds.
"""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.meeting_model import FEW_REPORTS_S, STEP_S, Meeting, batch, busiest, some
from tests.model import CANCEL_S, LEASE_S, REPORT_S, SECOND

HANDOVERS = ("hand over", "crash", "refused")
"""How a controller's work changes hands (see `Meeting.change`)."""
AWAY_S = 25.0
"""How long a controller is down or refused after its work has changed hands."""
MAX_HOP_US = 4_000
"""The longest time that a message takes in the model where nothing holds it up."""


def wait_until(model: Meeting, condition: Callable[[], bool], seconds: float) -> None:
    """Let time pass in small steps until a condition is true; raises an error if that takes too long."""
    for _ in range(int(seconds / 0.02)):
        if condition():
            return
        model.run(0.02)
    raise AssertionError(f"it did not happen within {seconds} s")


def owned_by(model: Meeting, number: int) -> set[str]:
    """Return the machines that a controller owns."""
    return {name for name in model.workers if model.owner(name) == number}


def all_told(model: Meeting, ids: list[str]) -> bool:
    """Return whether the users of all these jobs were told that the jobs are cancelled."""
    return all(model.jobs[job_id].told == "cancelled" for job_id in ids)


# Row 5: cancellations during a handover, and the next owner ends too


@pytest.mark.parametrize("moment", ["before", "before the new owner", "after the new owner"])
@pytest.mark.parametrize(
    ("how", "then", "hosts"),
    some(
        [("hand over", "crash", 3), ("crash", "hand over", 5), ("refused", "crash", 3), ("crash", "refused", 7)],
        [(how, then, hosts) for how in HANDOVERS for then in HANDOVERS for hosts in (3, 5, 7)],
    ),
)
def test_cancelled_tasks_are_gone_in_time_though_the_next_owner_ends_too(
    how: str, then: str, hosts: int, moment: str
) -> None:
    model = Meeting(101, hosts)
    model.begin(batch(n) for n in range(6))
    ids = sorted(model.jobs)
    first = busiest(model)
    owned = owned_by(model, first)
    assert owned

    def owners_since() -> set[int]:
        """Return the controllers that have owned the first owner's machines after it."""
        return {number for name in owned for number in model.owners[name][owners_before[name] :]} - {first}

    owners_before = {name: len(model.owners[name]) for name in owned}
    model.nodes = [number for number in range(hosts) if number != first]
    if moment == "before":
        for job_id in ids:
            model.cancel(job_id)
        model.run(0.005)
    began_us = model.now
    model.change(how, first, AWAY_S)
    if moment == "before the new owner":
        model.run(0.3)
        assert not owners_since()
        for job_id in ids:
            model.cancel(job_id)
    wait_until(model, lambda: bool(owners_since()), LEASE_S)
    second = sorted(owners_since())[0]
    if moment == "after the new owner":
        for job_id in ids:
            model.cancel(job_id)
        model.run(0.002)
    second_change_us = model.now
    model.change(then, second, AWAY_S)
    model.nodes = [number for number in range(hosts) if number not in (first, second)] or [second]
    model.run(LEASE_S + 2 * REPORT_S)
    # The case is reached: two owners of the same machines were gone within seconds of the cancellations.
    assert second_change_us - began_us < LEASE_S * SECOND
    assert all_told(model, ids)
    model.run(CANCEL_S)
    assert max(model.gone_s(job_id) for job_id in ids) <= LEASE_S + REPORT_S
    assert not model.late_starts
    model.run(AWAY_S)
    assert not model.on


# Row 5: two handovers during one read of the state service


@pytest.mark.parametrize("hosts", some([3], [5, 7]))
@pytest.mark.parametrize("how", some(["crash", "hand over"], ["refused"]))
def test_two_handovers_within_one_read_of_the_third_controller(how: str, hosts: int) -> None:
    model = Meeting(102, hosts)
    model.begin(batch(n) for n in range(6))
    ids = sorted(model.jobs)
    first = busiest(model)
    second, *others = (number for number in range(hosts) if number != first)
    # The remaining controllers read slowly: a read takes longer than both handovers.
    for number in others:
        model.far[number] = (model.now + 60 * SECOND, 1_400_000)
    model.run(3)
    began_us = model.now
    model.nodes = [second]
    model.change(how, first, AWAY_S)
    for job_id in ids[::2]:
        model.cancel(job_id)
    wait_until(model, lambda: all_told(model, ids[::2]), 4)
    read_us = [model.hosts[number].core.follower.read_us - SECOND for number in others]
    model.change(how, second, AWAY_S)
    # The case is reached: no read that another controller has begun contains what the second one confirmed.
    assert max(read_us) < began_us
    model.nodes = others
    for job_id in ids[1::2]:
        model.cancel(job_id)
    model.run(CANCEL_S + 10)
    assert all_told(model, ids)
    assert max(model.gone_s(job_id) for job_id in ids) <= CANCEL_S
    # A start that was sent before the cancellation was committed may still be on its way when the user is told.
    assert all(start.after_us <= MAX_HOP_US for start in model.late_starts)
    model.run(AWAY_S)
    assert not model.on


# Row 16: ten changes of leader in two minutes, with cancellations during each


@pytest.mark.parametrize(
    ("how", "outage_s", "hosts"),
    some(
        [("crash", 0.0, 3), ("mixed", 7.0, 5)],
        [(how, s, n) for how in ("crash", "hand over", "mixed") for s in (0.0, 7.0, 14.0) for n in (3, 5, 7)],
    ),
)
def test_jobs_cancelled_in_each_of_ten_changes_of_leader_are_gone_in_time(
    how: str, outage_s: float, hosts: int
) -> None:
    model = Meeting(103, hosts)
    model.begin((batch(n, pieces=1) for n in range(20)), 40)
    ids = [f"job-{n}" for n in range(20)]
    terms = len(model.terms)
    for n in range(10):
        leader = model.leader_number()
        number = model.terms[-1][0] if leader is None else leader
        if outage_s and n % 4 == 2:
            model.state_outage(outage_s)
            model.run(0.5)
        change_kind = HANDOVERS[n % 3] if how == "mixed" else how
        # One cancellation comes just before the change, and one during it.
        model.cancel(ids[2 * n])
        model.run(0.01)
        model.change(change_kind, number, 4.0)
        model.run([0.2, 1.0, 2.5][n % 3])
        model.cancel(ids[2 * n + 1])
        model.run(11.5 - [0.2, 1.0, 2.5][n % 3])
    model.run(LEASE_S + 4)
    # The case is reached: ten terms with cancellations in each, or fewer terms where an outage lasts longer than the
    # time between two changes.
    assert len(model.terms) - terms >= (10 if outage_s < 11.5 else 8)
    # No controller takes the fleet from a leader that lives, but in an outage the leader's lease may expire.
    assert outage_s or len(model.terms) - terms <= 11
    assert all_told(model, ids)
    assert max(model.gone_s(job_id) for job_id in ids) <= (CANCEL_S if outage_s else LEASE_S + REPORT_S)
    assert not model.late_starts
    model.run(AWAY_S)
    assert not model.on


# Row 4: a machine that is silent during two changes of leader


# Five controllers: with seven, a new leader waits longer for its peers' answers than is left of `cancel_s` here.
@pytest.mark.parametrize("how", some(["crash"], ["hand over"]))
@pytest.mark.parametrize(("first_s", "second_s"), some([(6.0, 2.5), (8.0, 1.2)], [(7.0, 1.8), (6.5, 3.0)]))
def test_silence_is_known_to_a_leader_though_the_one_before_led_for_seconds(
    first_s: float, second_s: float, how: str
) -> None:
    # The first leader tells the second one how long the machines have been silent.  The second one leads only for
    # seconds and has to pass this on.  Otherwise the third leader does not know it.
    model = Meeting(104, 5)
    model.begin(batch(n) for n in range(6))
    names = sorted(model.machines_of("job-0"))
    leader = model.leader_number()
    assert leader is not None
    terms = len(model.terms)
    model.hang_all(names, 60)
    model.cancel("job-0")
    model.run(first_s)
    assert model.jobs["job-0"].told == "cancelled" and model.machines_of("job-0") == set(names)
    model.change(how, leader, 60)
    wait_until(model, lambda: model.leader_number() not in (None, leader), LEASE_S)
    model.run(second_s)
    second = model.leader_number()
    assert second is not None and model.machines_of("job-0") == set(names)
    model.change(how, second, 60)
    model.run(CANCEL_S)
    # The case is reached: three controllers have led while the machines were silent.
    assert len(model.terms) - terms >= 2 and model.leader_number() not in (None, leader, second)
    assert model.gone_s("job-0") <= CANCEL_S


# Rows 14 and 19: controllers that are down or cut off for longer than a worker's lease


def running(model: Meeting) -> set[str]:
    """Return the jobs with tasks on machines."""
    return {job_id for job_id, _ in model.on}


@pytest.mark.parametrize("hosts", some([3], [5, 7]))
@pytest.mark.parametrize("all_at_once", [False, True])
def test_all_away_beyond_the_lease_one_back_within_a_second_and_then_all(hosts: int, all_at_once: bool) -> None:
    model = Meeting(105, hosts)
    model.begin(batch(n) for n in range(6))
    sessions = {name: worker.session for name, worker in model.workers.items()}
    tokens = {name: worker.token for name, worker in model.workers.items()}
    ids = sorted(model.jobs)[:3]
    for job_id in ids:
        model.cancel(job_id)
    wait_until(model, lambda: all_told(model, ids), 3)
    used_machines = {name for machines in model.on.values() for name in machines}
    down_s = LEASE_S + 4
    for number in range(hosts):
        model.crash(number, down_s + (0 if number == 0 or all_at_once else 0.7 + 0.1 * number))
    model.run(down_s - 0.1)
    # The case is reached: the workers have begun new sessions, and their machines' records still name the old ones.
    assert not model.live()
    assert all(worker.session > sessions[name] for name, worker in model.workers.items())
    assert {name: worker.token for name, worker in model.workers.items()} == tokens
    model.run(0.6)
    assert len(model.live()) == (hosts if all_at_once else 1)
    starts = model.starts
    model.run(30)
    assert len(model.live()) == hosts
    assert running(model) == set(model.jobs) - set(ids)
    # While all controllers are down no machine counts as silent: those with tasks of live jobs are kept.
    assert used_machines and used_machines <= set(model.workers)
    # Each task was started once in the new sessions; the model would report a second start beside the first.
    assert model.starts - starts == 12
    assert not model.late_starts
    assert max(model.gone_s(job_id) for job_id in ids) < LEASE_S + REPORT_S


@pytest.mark.parametrize("hosts", some([3], [5, 7]))
def test_machines_met_by_two_that_are_back_are_adopted_once(hosts: int) -> None:
    model = Meeting(106, hosts)
    model.run(3)
    model.boot_quickly(60)
    model.long |= {f"job-{n}" for n in range(6)}
    for n in range(6):
        model.submit(batch(n))
    # New machines are up, and no group record contains them yet.
    wait_until(model, lambda: len(model.workers) >= 2, 10)
    unknown = sorted(set(model.workers) - set(model.hosts[0].core.cluster_state.machines))
    assert unknown
    for number in range(hosts):
        model.crash(number, LEASE_S + 2 + (0.05 * number))
    model.run(LEASE_S + 1)
    # The case is reached: the machines are unknown to all returning controllers, and report to any of them.
    assert not model.live() and set(unknown) <= set(model.workers)
    model.roaming_until = model.now + 6 * SECOND
    model.run(40)
    records = [value for key, (value, _, _) in model.state.keys.items() if key.startswith("ashtray/now/group/")]
    recorded = [name for record in records for name in record["machines"]]
    # Each machine is in one group record, and every controller knows the same machines.
    assert recorded and len(recorded) == len(set(recorded))
    assert all(set(host.core.cluster_state.machines) == set(recorded) for host in model.hosts)
    assert set(recorded) <= set(model.workers)
    assert running(model) == set(model.jobs)


@pytest.mark.parametrize(
    ("hosts", "cut_s", "redirected"),
    some(
        [(3, 3.2 * LEASE_S, False), (5, 1.5 * LEASE_S, True)],
        [
            (n, factor * LEASE_S, redirected)
            for n in (3, 5, 7)
            for factor in (0.8, 1.5, 3.2, 6)
            for redirected in (False, True)
        ],
    ),
)
def test_a_zone_with_a_controller_cut_off_beyond_the_lease_and_back(
    hosts: int, cut_s: float, redirected: bool
) -> None:
    model = Meeting(107, hosts)
    model.begin(batch(n, yard=["a", "b"][n % 2]) for n in range(6))
    # Two arrays must be spread over the zones; a third must be in one zone, but does not say which.
    model.begin([batch(10, pieces=5, spread=True), batch(11, pieces=5, spread=True), batch(12, same_place=True)])
    in_zone_b = {name for name, worker in model.workers.items() if worker.zone == "b"}
    machines_to_cancel = model.machines_of("job-1") | model.machines_of("job-3")
    isolated = max(range(hosts), key=lambda number: len(owned_by(model, number) & machines_to_cancel))
    owned_with_cancelled = owned_by(model, isolated) & machines_to_cancel
    others = [number for number in range(hosts) if number != isolated]
    if not redirected:
        # Redirecting its workers to others is a hint that may fail, so no rule may rely on it.  The others cannot
        # reach the cloud either, so they delete no machine.
        model.hosts[isolated].core.worker_manager._redirect_target = lambda *_: None
        for number in others:
            model.cut(f"c{number}", "cloud", cut_s, False)
    for target in ("state", "cloud", "user", *(f"c{n}" for n in others), *(set(model.workers) - in_zone_b)):
        model.cut(f"c{isolated}", target, cut_s, False)
    for name in in_zone_b:
        for number in others:
            model.cut(f"c{number}", name, cut_s, False)
    cut_us = model.now
    model.nodes = others
    model.run(0.5)
    ids = ["job-0", "job-1", "job-3", "job-10"]
    for job_id in ids:
        model.cancel(job_id)
    model.run(min(cut_s - 1, CANCEL_S - LEASE_S - 2))
    # The case is reached: the zone's own controller has read nothing since the cut, and has renewed the leases of
    # machines with tasks of jobs whose users were told of their cancellation.
    assert model.hosts[isolated].core.follower.read_us - SECOND <= cut_us + STEP_S * SECOND
    assert all_told(model, ids) and owned_with_cancelled
    assert any(model.workers[name].renewed_us > cut_us + 2 * SECOND for name in owned_with_cancelled)
    model.run(max(cut_s - CANCEL_S + LEASE_S + 1, 0))
    model.run(CANCEL_S)
    assert max(model.gone_s(job_id) for job_id in ids) <= CANCEL_S
    assert not model.late_starts
    model.run(50)
    # The model checks the rule `wrong_place` at each start, against the tasks on machines of both zones.
    assert running(model) == set(model.jobs) - set(ids)
    tasks = {job_id: sum(job == job_id for job, _ in model.on) for job_id in ("job-11", "job-12")}
    assert tasks == {"job-11": 5, "job-12": 4}
    assert FEW_REPORTS_S < LEASE_S


# Row 15: arrays that are spread over the zones or bound to one zone lose machines when the leader ends


@pytest.mark.parametrize("hosts", some([3], [5, 7]))
@pytest.mark.parametrize("loss", ["taken", "hangs", "cut off"])
@pytest.mark.parametrize("shape", ["spread", "same_place"])
def test_arrays_of_one_zone_or_spread_that_lose_machines_as_the_leader_ends(
    shape: str, loss: str, hosts: int
) -> None:
    model = Meeting(108, hosts)
    model.begin([batch(n, pieces=9, **{shape: True}) for n in range(2)], 40)
    model.run(2)
    # Lose all machines of the first array that are in one zone.
    zone = min(model.workers[name].zone for name in model.machines_of("job-0"))
    lost = [name for name in sorted(model.machines_of("job-0")) if model.workers[name].zone == zone]
    starts, loss_s = model.starts, 1.4 * LEASE_S
    unreachable: set[str] = set()
    for name in lost:
        if loss == "taken":
            model.cloud.end(model.now, name, "taken")
        elif loss == "hangs":
            model.hang_all([name], loss_s)
        else:
            model.cut_off([name], loss_s)
    leader = model.leader_number()
    assert leader is not None
    model.change("crash", leader, 5)
    for _ in range(40):
        model.run(1)
        unreachable |= model.machines_of("job-0") & set(lost)
    # The case is reached: tasks were started again under another leader, while unreachable ones stayed.
    assert lost and model.terms[-1][0] != leader
    assert (loss == "taken") == (not unreachable)
    assert model.starts > starts
    # The model checked `wrong_place` at each of these starts, against the tasks on machines at that moment.
    assert {job_id: sum(job == job_id for job, _ in model.on) for job_id in model.jobs} == {"job-0": 9, "job-1": 9}
    zones = [model.workers[name].zone for machines in model.on.values() for name in machines]
    assert set(zones) <= {"a", "b"}
    for job_id in model.jobs:
        placed = [model.workers[name].zone for (job, _), on in model.on.items() if job == job_id for name in on]
        most = max(placed.count("a"), placed.count("b"))
        assert most <= 5 if shape == "spread" else most == 9
