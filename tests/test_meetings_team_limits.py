"""All teams at their limits, cancelled tasks out of reach, and every duty of a controller changes hands.

The fleet's runner and the owner of the machines change together, or all controllers at once, so nobody remembers what
lingers: its room within the limits has to be in the records.  Shares of the limits move in that spell.  The rules are
`quota`, `ran_cancelled`, and that nothing waits for 90 s beside room under a limit afterwards.
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
from tests.test_meetings_limits import RENDER, Limited, out_of_reach

CREW_JOBS, RENDER_JOBS = range(3), range(10, 14)
WAITING_JOBS = range(20, 26)
AWAY_S = 30.0
"""How long machines and controllers are out of reach."""


class TeamLimits(Limited):
    """The model with two limited teams, which compares what is on machines with what the records say is used."""

    def __init__(self, seed: int, hosts: int = 3) -> None:
        self.shares_moved_us: list[int] = []
        """When the record of a team's shares was changed."""
        self._shares: dict[str, Any] = {}
        super().__init__(seed, hosts)
        self.compare_records()

    def recorded(self) -> ClusterState:
        """What somebody who remembers nothing reads in the state service now."""
        cluster_state = ClusterState()
        for key, (value, revision, _) in sorted(self.state.keys.items()):
            if key.startswith("ashtray/now/"):
                cluster_state.put(key, value, revision)
        return cluster_state

    def compare_records(self) -> None:
        """Four times a second: all that is on machines is counted as used in the records, for each team."""
        cluster_state = self.recorded()
        crew, render = cluster_state.team_usage("crew")[0], cluster_state.team_usage(RENDER.name)[1]
        if crew < self.use() or render < self.cards():
            used = f"{self.use()} CPUs and {self.cards()} GPUs"
            raise RuleBroken(f"uncounted: {used} on machines, {crew} and {render} in the records")
        shares = {key: value for key, (value, _, _) in self.state.keys.items() if key.startswith(TEAM_KEY)}
        if shares != self._shares:
            self._shares = shares
            self.shares_moved_us.append(self.now)
        self.at(SECOND // 4, self.compare_records)

    def _room_for(self, job_id: str) -> str | None:
        """As for the first team, a job of the second one may only wait for its limit."""
        spec = self.jobs[job_id].spec
        if spec["crew"] == RENDER.name and self._cards_taken() + spec["cards"] > RENDER.gpus_max:
            return None
        return super()._room_for(job_id)

    def _cards_taken(self) -> float:
        """The GPUs of the second team's tasks, those on their way to a machine too."""
        tasks = [
            key for worker in self.workers.values() for key, task in worker.tasks.items() if task.state != "ended"
        ]
        specs = [self.jobs[job_id].spec for job_id, _, _ in tasks]
        return sum(spec["cards"] for spec in specs if spec["crew"] == RENDER.name)


@pytest.fixture(autouse=True)
def two_teams(monkeypatch: pytest.MonkeyPatch) -> None:
    """Both teams of these tests have a limit."""
    settings_for = models.settings_for

    def with_render(*args: Any) -> Any:
        settings = settings_for(*args)
        settings.cluster.teams.append(RENDER)
        return settings

    monkeypatch.setattr(models, "settings_for", with_render)


def render_job(number: int, **over: Any) -> dict[str, Any]:
    """A job of the team with a limit of GPUs."""
    return batch(number, **{"crew": "render", "pieces": 2, "cpus": 1.0, "cards": 1.0, "hulls": ["big"], **over})


def all_at_the_limit(seed: int, hosts: int) -> TeamLimits:
    """Both teams use all that they may, on machines of several groups, and as much again waits."""
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
    """The groups of some machines."""
    machines = model.recorded().machines
    return {machines[name].group for name in names}


def duties(model: Meeting) -> list[int]:
    """The fleet's runner and the owner of the most machines."""
    runner = model.runner()
    assert runner is not None
    return sorted({runner, busiest(model)})


@contextmanager
def neglect_watched(model: TeamLimits) -> Iterator[None]:
    """From the end of the block on no job may be left waiting beside room, nor be forgotten."""
    yield
    model.calm()
    model.run(NEGLECTED_S + SETTLED_S + 2)


def lingered(model: TeamLimits, ids: list[str], names: set[str]) -> bool:
    """Whether tasks of each cancelled job are on machines out of reach still, and count in the records."""
    held = model.recorded().allocations
    return all(model.machines_of(job_id) & names and job_id in held for job_id in ids)


@pytest.mark.parametrize(
    ("trouble", "how", "hosts", "order"),
    some(
        [
            ("cut", "crash", 3, "during"),
            ("hang", "hand over", 5, "before"),
            ("deaf", "refused", 3, "after"),
            ("held", "alone", 5, "during"),
        ],
        [
            (trouble, how, hosts, order)
            for trouble in ("cut", "hang", "deaf", "held")
            for how in ("crash", "hand over", "refused", "alone")
            for hosts in (3, 5, 7)
            for order in ("before", "during", "after")
        ],
    ),
)
def test_room_of_what_lingers_is_counted_while_runner_and_owner_change(
    trouble: str, how: str, hosts: int, order: str
) -> None:
    model = all_at_the_limit(91, hosts)
    ids = ["job-0", "job-2", "job-10", "job-13"]
    names = {name for job_id in ids for name in model.machines_of(job_id)}
    former = duties(model)
    former = former[: (hosts - 1) // 2]
    model.nodes = [number for number in range(hosts) if number not in former]
    full = model.use(), model.cards()
    assert len(groups_of(model, names)) >= 2

    def change() -> None:
        for number in former:
            model.change(how, number, AWAY_S)

    if order == "before":
        change()
        model.run(0.4)
    out_of_reach(model, trouble, sorted(names), AWAY_S)
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
    # The meeting: both limits are used up by what nobody can reach, and all who remember it are gone.
    assert full == (TEAM["cpus_max"], RENDER.gpus_max)
    assert lingered(model, ids, names) or trouble == "hang"
    for _ in range(24):
        # Where those that are left agree on nobody, the former runner's lease has to end first.
        if model.runner() not in (None, *former):
            break
        model.run(0.25)
    assert model.runner() not in (None, *former)
    with neglect_watched(model):
        model.run(AWAY_S)
    # Shares moved in that spell and after it, for those who waited had to get at what the lost controllers held.
    assert [at_us for at_us in model.shares_moved_us if at_us > began_us]
    assert max(model.gone_s(job_id) for job_id in ids) <= (CANCEL_S if trouble == "hang" else LEASE_S + REPORT_S)
    assert not model.late_starts
    assert (model.use(), model.cards()) == full


@pytest.mark.parametrize(
    ("hosts", "trouble", "back_s"),
    some(
        [(3, "cut", 0.3), (5, "hang", LEASE_S + 3)],
        [(n, how, s) for n in (3, 5, 7) for how in ("cut", "hang", "deaf", "held") for s in (0.3, LEASE_S + 3)],
    ),
)
def test_room_of_what_lingers_is_counted_though_every_controller_has_forgotten_it(
    hosts: int, trouble: str, back_s: float
) -> None:
    model = all_at_the_limit(92, hosts)
    ids = ["job-1", "job-11", "job-12"]
    names = {name for job_id in ids for name in model.machines_of(job_id)}
    out_of_reach(model, trouble, sorted(names), 2 * LEASE_S)
    for job_id in ids:
        model.cancel(job_id)
    while any(model.jobs[job_id].told != "cancelled" for job_id in ids):
        model.run(0.02)
    # Jobs that take any room that seems free come at the moment at which nobody remembers anything.
    for number in range(hosts):
        model.crash(number, back_s + 0.1 * number)
    assert not model.live() and lingered(model, ids, names)
    starts = model.starts
    model.run(back_s + 2.5)
    # The meeting: new processes have read the records while cancelled tasks were on their machines, or after that.
    assert len(model.live()) == hosts
    assert lingered(model, ids, names) == (back_s < 1 or trouble == "hang")
    assert model.starts == starts or back_s > LEASE_S
    with neglect_watched(model):
        model.run(2 * LEASE_S)
    assert max(model.gone_s(job_id) for job_id in ids) <= CANCEL_S
    assert not model.late_starts
    assert (model.use(), model.cards()) == (TEAM["cpus_max"], RENDER.gpus_max)


@pytest.mark.parametrize("how", some([None, "crash"], ["hand over", "refused", "halt"]))
@pytest.mark.parametrize("hosts", some([3], [5, 7]))
def test_cancelled_tasks_are_gone_in_time_though_most_of_the_fleet_hangs(hosts: int, how: str | None) -> None:
    # Found here: where most machines were silent, all were waited for three leases, which was more than `cancel_s`.
    model = Meeting(93, hosts)
    model.begin(batch(n) for n in range(6))
    ids = [f"job-{n}" for n in range(5)]
    names = {name for job_id in ids for name in model.machines_of(job_id)}
    bystanders = sorted(set(model.workers) - names)
    leader = model.runner()
    assert leader is not None
    model.nodes = [number for number in range(hosts) if number != leader]
    model.hang_all(sorted(names), 60)
    for job_id in ids:
        model.cancel(job_id)
    model.run(1)
    # The meeting: most machines hang, all tasks that they have are cancelled, and then the leader changes.
    assert 2 * len(names) > len(model.workers) and bystanders
    assert all(model.jobs[job_id].told == "cancelled" and model.machines_of(job_id) for job_id in ids)
    if how is not None:
        model.change(how, leader, 60)
    # The model's check, each half second, would see what is left after `CANCEL_S`.
    model.run(CANCEL_S + 5)
    assert how is None or model.runner() not in (None, leader)
    assert max(model.gone_s(job_id) for job_id in ids) <= CANCEL_S
    assert set(bystanders) <= set(model.workers)


def test_most_of_the_fleet_that_hangs_with_work_that_goes_on_is_waited_for() -> None:
    # Where nothing on them is cancelled, a fault on the controllers' side is still the likelier one.
    model = Meeting(93)
    model.begin(batch(n) for n in range(6))
    # Those without tasks may be returned at any time.
    names = sorted({name for machines in model.on.values() for name in machines})[1:]
    model.hang_all(names, 2.5 * LEASE_S)
    model.run(2.5 * LEASE_S + 2)
    assert 2 * len(names) > len(model.workers)
    # Those that fell silent before most of the others had are returned.
    assert 2 * len(set(names) & set(model.workers)) > len(names)
