"""All teams at their limits, cancelled tasks out of reach, and a change of both the fleet leader and the owner.

The fleet leader and the owner of the machines fail together, or all controllers at once, so that no controller
remembers the cancelled tasks that are still on machines: only the records can count them against the limits.  Shares
of the limits move meanwhile.  The model checks the rules `quota` and `ran_cancelled`, and that afterwards no job
waits for 90 s although there is free capacity for it under its limit.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.state_keys import TEAM as TEAM_KEY
from tests import model as models
from tests.meeting_model import Meeting, batch, busiest, some
from tests.model import CANCEL_S, LEASE_S, REPORT_S, SECOND, TEAM, RuleBroken
from tests.model_neglect import NEGLECTED_S, SETTLED_S
from tests.test_meetings_limits import RENDER, Limited, make_unreachable

CREW_JOBS, RENDER_JOBS = range(3), range(10, 14)
WAITING_JOBS = range(20, 26)
AWAY_S = 30.0
"""How many seconds machines and controllers are out of reach."""


class TeamLimits(Limited):
    """The model with two limited teams; it compares the use on machines with the use that the records count."""

    def __init__(self, seed: int, hosts: int = 3) -> None:
        self.share_changes_us: list[int] = []
        """The times at which the record of a team's shares changed."""
        self._shares: dict[str, Any] = {}
        super().__init__(seed, hosts)
        self.compare_records()

    def state_from_records(self) -> ClusterState:
        """Return the cluster state that a newly started controller would read now."""
        cluster_state = ClusterState()
        for key, (value, revision, _) in sorted(self.state.keys.items()):
            if key.startswith("ashtray/now/"):
                cluster_state.put(key, value, revision)
        return cluster_state

    def compare_records(self) -> None:
        """Check four times a second that the records count all use on machines; raise RuleBroken otherwise."""
        cluster_state = self.state_from_records()
        crew_cpus, render_gpus = cluster_state.team_usage("crew")[0], cluster_state.team_usage(RENDER.name)[1]
        if crew_cpus < self.use() or render_gpus < self.cards():
            used = f"{self.use()} CPUs and {self.cards()} GPUs"
            raise RuleBroken(f"uncounted: {used} on machines, {crew_cpus} and {render_gpus} in the records")
        shares = {key: value for key, (value, _, _) in self.state.keys.items() if key.startswith(TEAM_KEY)}
        if shares != self._shares:
            self._shares = shares
            self.share_changes_us.append(self.now)
        self.at(SECOND // 4, self.compare_records)

    def _machine_with_capacity_for(self, job_id: str) -> str | None:
        """Return a machine with free capacity for the job, or None; also None if the second team is at its limit."""
        spec = self.jobs[job_id].spec
        if spec["crew"] == RENDER.name and self._gpus_of_workers() + spec["cards"] > RENDER.gpus_max:
            return None
        return super()._machine_with_capacity_for(job_id)

    def _gpus_of_workers(self) -> float:
        """Return the GPUs of the second team's tasks that workers have, including tasks that do not run yet."""
        tasks = [
            key for worker in self.workers.values() for key, task in worker.tasks.items() if task.state != "ended"
        ]
        specs = [self.jobs[job_id].spec for job_id, _, _ in tasks]
        return sum(spec["cards"] for spec in specs if spec["crew"] == RENDER.name)


@pytest.fixture(autouse=True)
def two_teams(monkeypatch: pytest.MonkeyPatch) -> None:
    """Add the second team with a limit to the settings of the cluster."""
    settings_for = models.settings_for

    def with_render(*args: Any) -> Any:
        settings = settings_for(*args)
        settings.cluster.teams.append(RENDER)
        return settings

    monkeypatch.setattr(models, "settings_for", with_render)


def render_job(number: int, **overrides: Any) -> dict[str, Any]:
    """Return the submission of a job of the team with a limit of GPUs."""
    return batch(number, **{"crew": "render", "pieces": 2, "cpus": 1.0, "cards": 1.0, "hulls": ["big"], **overrides})


def all_at_the_limit(seed: int, hosts: int) -> TeamLimits:
    """Return a model in which both teams use their whole limits and further jobs of both wait."""
    model = TeamLimits(seed, hosts)
    jobs = [batch(n, crew="crew", pieces=4) for n in CREW_JOBS]
    model.begin([*jobs, *(render_job(n) for n in RENDER_JOBS)], 40)
    for n in WAITING_JOBS:
        model.long.add(f"job-{n}")
        model.submit(batch(n, crew="crew", pieces=4) if n % 2 else render_job(n))
    model.run(3)
    assert model.use() == TEAM["cpus_max"] and model.cards() == RENDER.gpus_max
    return model


def groups_of(model: TeamLimits, names: set[str]) -> set[str]:
    """Return the groups of some machines."""
    machines = model.state_from_records().machines
    return {machines[name].group for name in names}


def leader_and_main_owner(model: Meeting) -> list[int]:
    """Return the fleet leader and the controller that owns the most machines; they may be the same."""
    leader = model.leader_number()
    assert leader is not None
    return sorted({leader, busiest(model)})


@contextmanager
def check_neglect_after(model: TeamLimits) -> Iterator[None]:
    """After the block, run until the model would report a job that waits too long despite free capacity for it."""
    yield
    model.calm()
    model.run(NEGLECTED_S + SETTLED_S + 2)


def still_counted(model: TeamLimits, ids: list[str], names: set[str]) -> bool:
    """Return whether each cancelled job still has tasks on unreachable machines and allocations in the records."""
    held = model.state_from_records().allocations
    return all(model.machines_of(job_id) & names and job_id in held for job_id in ids)


@pytest.mark.parametrize(
    ("fault", "how", "hosts", "order"),
    some(
        [
            ("cut", "crash", 3, "during"),
            ("hang", "hand over", 5, "before"),
            ("deaf", "refused", 3, "after"),
            ("held", "alone", 5, "during"),
        ],
        [
            (fault, how, hosts, order)
            for fault in ("cut", "hang", "deaf", "held")
            for how in ("crash", "hand over", "refused", "alone")
            for hosts in (3, 5, 7)
            for order in ("before", "during", "after")
        ],
    ),
)
def test_room_of_what_lingers_is_counted_while_runner_and_owner_change(
    fault: str, how: str, hosts: int, order: str
) -> None:
    model = all_at_the_limit(91, hosts)
    ids = ["job-0", "job-2", "job-10", "job-13"]
    names = {name for job_id in ids for name in model.machines_of(job_id)}
    failed = leader_and_main_owner(model)
    failed = failed[: (hosts - 1) // 2]
    model.nodes = [number for number in range(hosts) if number not in failed]
    use_before = model.use(), model.cards()
    assert len(groups_of(model, names)) >= 2

    def change() -> None:
        for number in failed:
            model.change(how, number, AWAY_S)

    if order == "before":
        change()
        model.run(0.4)
    make_unreachable(model, fault, sorted(names), AWAY_S)
    for job_id in ids:
        model.cancel(job_id)
    if order == "during":
        model.run(0.01)
        change()
    while any(model.jobs[job_id].told != "cancelled" for job_id in ids):
        model.run(0.05)
    began_us = model.now
    if order == "after":
        change()
    model.run(4)
    # The case is reached: both limits were used up, the unreachable tasks still count, and the leader has failed.
    assert use_before == (TEAM["cpus_max"], RENDER.gpus_max)
    assert still_counted(model, ids, names) or fault == "hang"
    for _ in range(24):
        # If the other controllers agree on no successor, one begins only after the former leader's lease has ended.
        if model.leader_number() not in (None, *failed):
            break
        model.run(0.25)
    assert model.leader_number() not in (None, *failed)
    with check_neglect_after(model):
        model.run(AWAY_S)
    # Shares moved meanwhile or later, because the waiting jobs needed the shares of the lost controllers.
    assert [at_us for at_us in model.share_changes_us if at_us > began_us]
    assert max(model.gone_s(job_id) for job_id in ids) <= (CANCEL_S if fault == "hang" else LEASE_S + REPORT_S)
    assert not model.late_starts
    assert (model.use(), model.cards()) == use_before


@pytest.mark.parametrize(
    ("hosts", "fault", "back_s"),
    some(
        [(3, "cut", 0.3), (5, "hang", LEASE_S + 3)],
        [(n, how, s) for n in (3, 5, 7) for how in ("cut", "hang", "deaf", "held") for s in (0.3, LEASE_S + 3)],
    ),
)
def test_room_of_what_lingers_is_counted_though_every_controller_has_forgotten_it(
    hosts: int, fault: str, back_s: float
) -> None:
    model = all_at_the_limit(92, hosts)
    ids = ["job-1", "job-11", "job-12"]
    names = {name for job_id in ids for name in model.machines_of(job_id)}
    make_unreachable(model, fault, sorted(names), 2 * LEASE_S)
    for job_id in ids:
        model.cancel(job_id)
    while any(model.jobs[job_id].told != "cancelled" for job_id in ids):
        model.run(0.02)
    # All controllers crash while waiting jobs would take any capacity that wrongly seems free.
    for number in range(hosts):
        model.crash(number, back_s + 0.1 * number)
    assert not model.live() and still_counted(model, ids, names)
    starts = model.starts
    model.run(back_s + 2.5)
    # The case is reached: new processes read the records while cancelled tasks were still on machines, or after that.
    assert len(model.live()) == hosts
    assert still_counted(model, ids, names) == (back_s < 1 or fault == "hang")
    assert model.starts == starts or back_s > LEASE_S
    with check_neglect_after(model):
        model.run(2 * LEASE_S)
    assert max(model.gone_s(job_id) for job_id in ids) <= CANCEL_S
    assert not model.late_starts
    assert (model.use(), model.cards()) == (TEAM["cpus_max"], RENDER.gpus_max)


@pytest.mark.parametrize("how", some([None, "crash"], ["hand over", "refused", "halt"]))
@pytest.mark.parametrize("hosts", some([3], [5, 7]))
def test_cancelled_tasks_are_gone_in_time_though_most_of_the_fleet_hangs(hosts: int, how: str | None) -> None:
    # Otherwise all are waited for during three leases, more than `cancel_s`, where most machines are silent.
    model = Meeting(93, hosts)
    model.begin(batch(n) for n in range(6))
    ids = [f"job-{n}" for n in range(5)]
    names = {name for job_id in ids for name in model.machines_of(job_id)}
    bystanders = sorted(set(model.workers) - names)
    leader = model.leader_number()
    assert leader is not None
    model.nodes = [number for number in range(hosts) if number != leader]
    model.hang_all(sorted(names), 60)
    for job_id in ids:
        model.cancel(job_id)
    model.run(1)
    # The case is reached: most machines hang and all their tasks are cancelled; then the leader changes.
    assert 2 * len(names) > len(model.workers) and bystanders
    assert all(model.jobs[job_id].told == "cancelled" and model.machines_of(job_id) for job_id in ids)
    if how is not None:
        model.change(how, leader, 60)
    # The model checks twice a second that no cancelled task is left after `CANCEL_S`.
    model.run(CANCEL_S + 5)
    assert how is None or model.leader_number() not in (None, leader)
    assert max(model.gone_s(job_id) for job_id in ids) <= CANCEL_S
    assert set(bystanders) <= set(model.workers)


def test_most_of_the_fleet_that_hangs_with_work_that_goes_on_is_waited_for() -> None:
    # If none of their tasks is cancelled, a fault of the controllers is more likely than one of most machines.
    model = Meeting(93)
    model.begin(batch(n) for n in range(6))
    # Only machines with tasks count: the others may be returned at any time.
    names = sorted({name for machines in model.on.values() for name in machines})[1:]
    model.hang_all(names, 2.5 * LEASE_S)
    model.run(2.5 * LEASE_S + 2)
    assert 2 * len(names) > len(model.workers)
    # Only machines that fell silent before most of the others are returned.
    assert 2 * len(set(names) & set(model.workers)) > len(names)
