"""Preemption: which tasks are stopped to make room, as far as the protocol allows it."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace

import msgspec

from ashtray.config.settings import Team
from ashtray.jobs.model import Job
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.group_edit import GroupEdit
from ashtray.placement.machine_groups import Allocation
from ashtray.placement.plan import Plan
from ashtray.placement.rules import VALIDATORS, Ask, Room
from ashtray.runs import encode_runs
from ashtray.store.client import Limits, Txn
from ashtray.teams.guarantees import Amounts, Excess, amounts, claim, plus

Victims = dict[str, dict[tuple[str, int], set[int]]]
"""For each machine the tasks to stop, by job and attempt."""


class Right:
    """What may be stopped for a job.

    Tasks of lower priority may be.  So may work of any priority that another team runs beyond its own guarantee, for
    a job within its team's, up to the amount that is beyond (`teams/guarantees.py`).  Gangs are left alone: stopping
    one task would lose them all.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        inside: set[str],
        job: Job,
        excess: Excess,
        spared: frozenset[tuple[str, str]] = frozenset(),
    ) -> None:
        """`spared`: teams and classes whose tasks are not stopped for it (`floor.py`)."""
        self._cluster_state = cluster_state
        self._inside = inside
        self._job = job
        self._excess = excess
        self._spared = spared
        self._allowed: dict[str, bool] = {}

    def allowed(self, hold: Allocation) -> bool:
        """Whether a hold's tasks may be stopped at all: the same for all tasks of a job."""
        return self._job_allowed(hold.job) and hold.record.stop_us < 0

    def _job_allowed(self, job_id: str) -> bool:
        found = self._allowed.get(job_id)
        if found is None:
            found = self._allowed[job_id] = self._may_stop(job_id)
        return found

    def machines(self) -> set[str]:
        """The machines with tasks of jobs that may be stopped, as the cluster state has them."""
        held = self._cluster_state.allocations
        return {name for job_id in held if self._job_allowed(job_id) for name, _ in held[job_id]}

    def _may_stop(self, job_id: str) -> bool:
        job, victim = self._job, self._cluster_state.jobs.get(job_id)
        if victim is None or victim.spec.kind == "gang" or victim.id == job.id:
            return False
        if (victim.spec.team, victim.spec.job_class) in self._spared:
            return False
        if victim.priority > job.priority:
            return True
        if job.id not in self._inside or victim.id in self._inside or victim.spec.team == job.spec.team:
            return False
        return self._excess.any(victim.spec.team)

    def claimed(self, tasks: Iterable[tuple[Allocation, int]]) -> dict[str, Amounts]:
        """By team, what stopping so many tasks of these holds takes of its excess: not what lower priority gives."""
        taken: dict[str, Amounts] = {}
        for hold, number in tasks:
            victim = self._cluster_state.jobs.get(hold.job)
            if victim is not None and victim.priority <= self._job.priority:
                taken[victim.spec.team] = plus(taken.get(victim.spec.team, (0.0, 0.0)), amounts(hold, number))
        return taken

    def covers(self, tasks: Iterable[tuple[Allocation, int]]) -> bool:
        """Whether the tasks may be stopped together within the excess of their teams."""
        return self._excess.allows(self.claimed(tasks))


@dataclass
class Offer:
    """Room for one task, and what must be stopped for it."""

    cost: float
    """The work that is lost, in CPU microseconds."""
    room: Room
    stopped: list[tuple[Allocation, int]]
    """The tasks, each with its hold."""


def choose_victims(
    plan: Plan, job: Job, count: int, right: Right, wall_us: int, image_within_s: float | None
) -> Victims:
    """The tasks whose end costs least and makes room for all of a job's tasks; empty if none will do."""
    ask = plan.ask(job)
    ask.image_within_s = image_within_s
    offers = make_offers(plan, ask, count, right, wall_us)
    # On one machine a later offer needs the earlier ones: the sort is stable and costs only rise there mostly.
    offers.sort(key=lambda offer: offer.cost)
    if job.spec.same_zone and ask.zone is None:
        zones = sorted({offer.room.machine.zone for offer in offers})
        found = [choose_offers(offers, replace(ask, zone=zone), count, right) for zone in zones]
    else:
        found = [choose_offers(offers, ask, count, right)]
    enough = [chosen for chosen in found if len(chosen) == count]
    cheapest = min(enough, key=lambda chosen: sum(offer.cost for offer in chosen), default=[])
    victims: Victims = {}
    for offer in cheapest:
        for hold, task in offer.stopped:
            tasks = victims.setdefault(offer.room.machine.name, {}).setdefault((hold.job, hold.attempt), set())
            tasks.add(task)
    return victims


def make_offers(plan: Plan, ask: Ask, count: int, right: Right, wall_us: int) -> list[Offer]:
    """What each machine could offer for so many tasks at the most: the youngest tasks are stopped first."""
    spec = ask.spec
    checks = [rule for rule in VALIDATORS if rule.name != "room"]
    offers: list[Offer] = []
    # Most machines of a full fleet have neither room nor anything that may be stopped: not looked at any closer.
    busy = right.machines()
    for room in plan.rooms:
        fits = room.fits(spec) > 0
        if not fits and room.machine.name not in busy:
            continue
        stoppable = [hold for hold in room.machine.holds if right.allowed(hold)]
        if not (fits or stoppable) or not all(rule.allows(room, ask) for rule in checks):
            continue
        candidates = [(wall_us - hold.record.placed_us, hold, task) for hold in stoppable for task in hold.tasks]
        candidates.sort(key=lambda c: (c[0], c[1].job, c[2]))
        free = Room(room.machine, room.type, room.cpus, room.gpus, room.memory_gb)
        taken = 0
        lost = 0.0
        stopped: list[tuple[Allocation, int]] = []
        while taken < count:
            if free.fits(spec) > 0:
                free.take(spec, 1)
                taken += 1
                offers.append(Offer(lost, room, stopped))
                lost, stopped = 0.0, []
                continue
            if not candidates:
                break
            age, hold, task = candidates.pop(0)
            free.cpus += hold.record.cpus
            free.gpus += hold.record.gpus
            free.memory_gb += hold.record.memory_gb
            lost += (age + 1) * (1.0 + hold.record.cpus)
            stopped.append((hold, task))
    return offers


def choose_offers(offers: list[Offer], ask: Ask, count: int, right: Right) -> list[Offer]:
    """The first of some offers that a job's tasks may take together; fewer than `count` if there are no more.

    Together they keep to its zone and to its zones' shares, as its placement will have to: work that is stopped where
    only some of the tasks may go is stopped for nothing.
    """
    chosen: list[Offer] = []
    claimed: list[tuple[Allocation, int]] = []
    left_out: set[str] = set()
    in_zone: Counter[str] = Counter()
    for offer in offers:
        if len(chosen) == count:
            break
        machine = offer.room.machine
        allowed = ask.zone in (None, machine.zone) and in_zone[machine.zone] < ask.zone_allows(machine.zone)
        more = [(hold, 1) for hold, _ in offer.stopped]
        if not allowed or machine.name in left_out or (more and not right.covers([*claimed, *more])):
            left_out.add(machine.name)
            continue
        claimed += more
        in_zone[machine.zone] += 1
        chosen.append(offer)
    return chosen


def stop_for(
    cluster_state: ClusterState,
    teams: dict[str, Team],
    inside: set[str],
    job: Job,
    victims: Victims,
    limits: Limits,
    by: str,
    wall_us: int,
) -> Txn | None:
    """The transaction that stops victims for a job, with the claims on their teams' excess as it is now.

    None where the excess does not allow it any more: others have stopped some of it, or it has ended by itself.
    """
    excess = Excess(cluster_state, teams)
    right = Right(cluster_state, inside, job, excess)
    stopped = []
    for name, tasks in victims.items():
        machine = cluster_state.machines.get(name)
        for hold in machine.holds if machine is not None else ():
            number = len(hold.tasks & tasks.get((hold.job, hold.attempt), set()))
            if number and hold.record.stop_us < 0:
                stopped.append((hold, number))
    taken = right.claimed(stopped)
    if not excess.allows(taken):
        return None
    # The claims take changes of their own.  Where not all fits into one transaction, the rest is for the next one.
    txn = stop_victims(cluster_state, victims, replace(limits, ops=limits.ops - len(taken)))
    if txn is not None:
        claim(txn, cluster_state, taken, by, job.id, wall_us)
    return txn


def orderly(job: Job, hold: Allocation) -> bool:
    """Whether a hold is part of a gang that could save if all of it were told to stop."""
    spec = job.spec
    going = hold.record.stop_us < 0 and hold.attempt > job.record.broken and not job.portion
    return spec.kind == "gang" and spec.checkpoint_us > 0 and going


def stop_victims(cluster_state: ClusterState, victims: Victims, limits: Limits, whole: bool = False) -> Txn | None:
    """The transaction that marks the victims to be stopped; all of them or none, if so asked."""
    edits: dict[str, GroupEdit] = {}
    txn = Txn()
    size = 0
    for name, tasks in victims.items():
        machine = cluster_state.machines.get(name)
        if machine is None:
            return None
        group = cluster_state.groups[machine.group]
        if group.key not in edits:
            size += group.size
            if edits and (len(edits) >= limits.ops or size > limits.txn_bytes):
                if whole:
                    return None
                break
            edits[group.key] = GroupEdit(group)
        record = edits[group.key].machine(name)
        kept = []
        for hold, known in zip(record.holds, machine.holds, strict=True):
            stop = known.tasks & tasks.get((hold.job, hold.attempt), set())
            job = cluster_state.jobs.get(hold.job)
            if not stop or hold.stop_us >= 0 or job is None:
                kept.append(hold)
                continue
            if known.tasks - stop:
                kept.append(msgspec.structs.replace(hold, tasks=encode_runs(known.tasks - stop)))
            grace_us = job.spec.save_us if job.spec.checkpoint_us else 0
            kept.append(msgspec.structs.replace(hold, tasks=encode_runs(stop), stop_us=grace_us))
        record.holds = kept
    for edit in edits.values():
        if not edit.write(txn, limits, cluster_state.is_live) and whole:
            return None
    return txn if txn.changes() else None
