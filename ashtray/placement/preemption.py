"""Preemption: chooses the tasks to stop so that a job fits, and builds the transaction that stops them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace

import msgspec

from ashtray.config.settings import Team
from ashtray.jobs.model import Job
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.group_edit import GroupEdit
from ashtray.placement.machine_groups import Allocation, Group, Machine
from ashtray.placement.plan import Plan
from ashtray.placement.records import MachineRecord
from ashtray.placement.rules import VALIDATORS, MachineCapacity, PlacementRequest
from ashtray.runs import encode_runs
from ashtray.store.limits import Cost, Limits
from ashtray.store.transaction import Txn
from ashtray.teams.guarantees import Amounts, Excess, add_amounts, amounts_of, claim

Victims = dict[str, dict[tuple[str, int], set[int]]]
"""The tasks to stop: by machine, then by job and attempt."""


MAX_CLAIMS_SHARE = 0.5
"""The part of a transaction's writes that claims may take; the rest is for the groups with the tasks to stop."""


class PreemptionRules:
    """Decides which tasks may be stopped for a job.

    Tasks of lower priority may be stopped.  For a job within its team's guarantee, so may tasks of any priority that
    another team runs beyond its own guarantee, up to that excess (`teams/guarantees.py`).  Gangs are never stopped:
    stopping one task would lose all of them.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        guaranteed: set[str],
        job: Job,
        excess: Excess,
        spared: frozenset[tuple[str, str]] = frozenset(),
    ) -> None:
        """Set up the rules for `job`.

        `guaranteed` holds the ids of the jobs within their team's guarantee, `spared` the teams and classes whose
        tasks are not stopped for this job (`minimum_share.py`).
        """
        self._cluster_state = cluster_state
        self._guaranteed = guaranteed
        self._job = job
        self._excess = excess
        self._spared = spared
        self._allowed: dict[str, bool] = {}

    def allowed(self, allocation: Allocation) -> bool:
        """Return whether the tasks of an allocation may be stopped at all: the same for all tasks of a job."""
        return self._job_allowed(allocation.job) and allocation.record.stop_us < 0

    def _job_allowed(self, job_id: str) -> bool:
        found = self._allowed.get(job_id)
        if found is None:
            found = self._allowed[job_id] = self._may_stop(job_id)
        return found

    def machines(self) -> set[str]:
        """Return the names of the machines with tasks of jobs that may be stopped."""
        allocations_by_job = self._cluster_state.allocations
        return {
            name
            for job_id in allocations_by_job
            if self._job_allowed(job_id)
            for name, _ in allocations_by_job[job_id]
        }

    def _may_stop(self, job_id: str) -> bool:
        job, victim = self._job, self._cluster_state.jobs.get(job_id)
        if victim is None or victim.spec.kind == "gang" or victim.id == job.id:
            return False
        if (victim.spec.team, victim.spec.job_class) in self._spared:
            return False
        if victim.priority > job.priority:
            return True
        if job.id not in self._guaranteed or victim.id in self._guaranteed or victim.spec.team == job.spec.team:
            return False
        return self._excess.any(victim.spec.team)

    def claimed(self, tasks: Iterable[tuple[Allocation, int]]) -> dict[str, Amounts]:
        """Return, by team, the part of its excess that stopping these tasks takes.

        `tasks` gives allocations with the number of tasks to stop.  Tasks of lower priority do not count towards the
        excess.
        """
        taken: dict[str, Amounts] = {}
        for allocation, number in tasks:
            team = self.claimed_team(allocation)
            if team is not None:
                taken[team] = add_amounts(taken.get(team, (0.0, 0.0)), amounts_of(allocation, number))
        return taken

    def claimed_team(self, allocation: Allocation) -> str | None:
        """Return the team whose excess stopping an allocation's tasks takes; None for tasks of lower priority."""
        victim = self._cluster_state.jobs.get(allocation.job)
        if victim is None or victim.priority > self._job.priority:
            return None
        return victim.spec.team

    def covers(self, tasks: Iterable[tuple[Allocation, int]]) -> bool:
        """Return whether the tasks may be stopped together within the excess of their teams."""
        return self._excess.allows(self.claimed(tasks))


@dataclass
class Offer:
    """Capacity for one task on a machine, and the tasks that must be stopped for it."""

    cost: float
    """The work that is lost by stopping them, in CPU microseconds."""
    capacity: MachineCapacity
    stopped: list[tuple[Allocation, int]]
    """The tasks to stop, each with its allocation."""


def choose_victims(
    plan: Plan, job: Job, count: int, rules: PreemptionRules, wall_us: int, image_within_s: float | None
) -> Victims:
    """Return the cheapest tasks whose end frees capacity for all `count` tasks of a job; empty if there are none."""
    request = plan.request_for(job)
    request.image_within_s = image_within_s
    offers = make_offers(plan, request, count, rules, wall_us)
    # A machine's later offers require its earlier ones.  The sort is stable and costs mostly rise on a machine, so
    # their order is mostly kept.
    offers.sort(key=lambda offer: offer.cost)
    if job.spec.same_zone and request.zone is None:
        zones = sorted({offer.capacity.machine.zone for offer in offers})
        found = [choose_offers(offers, replace(request, zone=zone), count, rules) for zone in zones]
    else:
        found = [choose_offers(offers, request, count, rules)]
    enough = [chosen for chosen in found if len(chosen) == count]
    cheapest = min(enough, key=lambda chosen: sum(offer.cost for offer in chosen), default=[])
    victims: Victims = {}
    for offer in cheapest:
        for allocation, task in offer.stopped:
            tasks = victims.setdefault(offer.capacity.machine.name, {}).setdefault(
                (allocation.job, allocation.attempt), set()
            )
            tasks.add(task)
    return victims


def make_offers(
    plan: Plan, request: PlacementRequest, count: int, rules: PreemptionRules, wall_us: int
) -> list[Offer]:
    """Return the offers of each machine for up to `count` tasks; its youngest tasks are stopped first."""
    spec = request.spec
    checks = [rule for rule in VALIDATORS if rule.name != "room"]
    offers: list[Offer] = []
    # Most machines of a full fleet have neither free capacity nor tasks that may be stopped: skip them early.
    busy = rules.machines()
    for capacity in plan.capacities:
        fits = capacity.fits(spec) > 0
        if not fits and capacity.machine.name not in busy:
            continue
        stoppable = [allocation for allocation in capacity.machine.holds if rules.allowed(allocation)]
        if not (fits or stoppable) or not all(rule.allows(capacity, request) for rule in checks):
            continue
        candidates = [
            (wall_us - allocation.record.placed_us, allocation, task)
            for allocation in stoppable
            for task in allocation.tasks
        ]
        candidates.sort(key=lambda c: (c[0], c[1].job, c[2]))
        free = MachineCapacity(capacity.machine, capacity.type, capacity.cpus, capacity.gpus, capacity.memory_gb)
        taken = 0
        lost = 0.0
        stopped: list[tuple[Allocation, int]] = []
        while taken < count:
            if free.fits(spec) > 0:
                free.take(spec, 1)
                taken += 1
                offers.append(Offer(lost, capacity, stopped))
                lost, stopped = 0.0, []
                continue
            if not candidates:
                break
            age, allocation, task = candidates.pop(0)
            free.cpus += allocation.record.cpus
            free.gpus += allocation.record.gpus
            free.memory_gb += allocation.record.memory_gb
            lost += (age + 1) * (1.0 + allocation.record.cpus)
            stopped.append((allocation, task))
    return offers


def choose_offers(offers: list[Offer], request: PlacementRequest, count: int, rules: PreemptionRules) -> list[Offer]:
    """Return the first `count` offers that may be taken together; fewer if there are not enough.

    Together they keep to the job's zone and to its limits per zone, as its placement must: otherwise tasks would be
    stopped although the job does not fit.
    """
    chosen: list[Offer] = []
    claimed: list[tuple[Allocation, int]] = []
    skipped_machines: set[str] = set()
    in_zone: Counter[str] = Counter()
    for offer in offers:
        if len(chosen) == count:
            break
        machine = offer.capacity.machine
        allowed = request.zone in (None, machine.zone) and in_zone[machine.zone] < request.zone_allows(machine.zone)
        more = [(allocation, 1) for allocation, _ in offer.stopped]
        if not allowed or machine.name in skipped_machines or (more and not rules.covers([*claimed, *more])):
            skipped_machines.add(machine.name)
            continue
        claimed += more
        in_zone[machine.zone] += 1
        chosen.append(offer)
    return chosen


def stop_for(
    cluster_state: ClusterState,
    teams: dict[str, Team],
    guaranteed: set[str],
    job: Job,
    victims: Victims,
    limits: Limits,
    by: str,
    wall_us: int,
) -> Txn | None:
    """Return the transaction that stops victims for a job, with the claims on their teams' excess.

    None if the current excess no longer allows it: others have stopped part of it, or it has ended by itself.
    """
    if not victims.keys() <= cluster_state.machines.keys():
        return None
    excess = Excess(cluster_state, teams)
    rules = PreemptionRules(cluster_state, guaranteed, job, excess)
    # Each claim is a write, too.  If not all fits into one transaction, the next round stops the rest.
    stopped = _with_claims(cluster_state, victims, rules, max(int(limits.ops * MAX_CLAIMS_SHARE), 1))
    taken = rules.claimed((allocation, len(tasks)) for _, allocation, tasks in stopped)
    if not excess.allows(taken):
        return None
    now: Victims = {}
    for name, allocation, tasks in stopped:
        now.setdefault(name, {}).setdefault((allocation.job, allocation.attempt), set()).update(tasks)
    txn = stop_victims(cluster_state, now, replace(limits, ops=limits.ops - len(taken)))
    if txn is not None:
        claim(txn, cluster_state, taken, by, job.id, wall_us)
    return txn


def _with_claims(
    cluster_state: ClusterState, victims: Victims, rules: PreemptionRules, max_claims: int
) -> list[tuple[str, Allocation, set[int]]]:
    """Return the tasks to stop now, by machine and allocation: those of so many teams with a claim at most."""
    found: list[tuple[str, Allocation, set[int]]] = []
    claimed: set[str] = set()
    for name, by_job in victims.items():
        for allocation in cluster_state.machines[name].holds:
            tasks = allocation.tasks & by_job.get((allocation.job, allocation.attempt), set())
            if not tasks or allocation.record.stop_us >= 0:
                continue
            team = rules.claimed_team(allocation)
            if team is not None and len(claimed | {team}) > max_claims:
                continue
            claimed |= {team} if team is not None else set()
            found.append((name, allocation, tasks))
    return found


def can_checkpoint(job: Job, allocation: Allocation) -> bool:
    """Return whether an allocation belongs to a gang that can save a checkpoint if all of it is told to stop."""
    spec = job.spec
    going = allocation.record.stop_us < 0 and allocation.attempt > job.record.broken and not job.portion
    return spec.kind == "gang" and spec.checkpoint_us > 0 and going


def stop_victims(cluster_state: ClusterState, victims: Victims, limits: Limits, whole: bool = False) -> Txn | None:
    """Return the transaction that marks the victims as to be stopped, or None if there is nothing to write.

    With `whole`, all victims or none are marked; otherwise as many as fit into one transaction.
    """
    by_group: dict[str, Victims] = {}
    for name, tasks in victims.items():
        if name not in cluster_state.machines:
            return None
        by_group.setdefault(cluster_state.machines[name].group, {})[name] = tasks
    txn = Txn()
    for key, group_victims in by_group.items():
        part = _stop_in_group(cluster_state, cluster_state.groups[key], group_victims, limits, whole)
        if part is None:
            if whole:
                return None
            continue
        cost = Cost(txn.write_count() + part.write_count(), txn.size() + part.size())
        if txn.write_count() and not cost.within(limits):
            if whole:
                return None
            break
        txn.include(part)
    return txn if txn.write_count() else None


def _stop_in_group(
    cluster_state: ClusterState, group: Group, victims: Victims, limits: Limits, whole: bool
) -> Txn | None:
    """Return the transaction that marks victims in one group, or None if the group's record cannot take it.

    Marked allocations take more bytes.  Unless all must be marked (`whole`), only the first victims are if the record
    would get too large.
    """
    chosen = [(name, key) for name, by_key in victims.items() for key in by_key]
    while chosen and not group.moving:
        edit = GroupEdit(group)
        for name in {name: None for name, _ in chosen}:
            tasks = {key: victims[name][key] for of_machine, key in chosen if of_machine == name}
            _mark_stopped(cluster_state, cluster_state.machines[name], edit.machine(name), tasks)
        txn = Txn()
        if edit.write(txn, limits, cluster_state.is_live):
            return txn
        chosen = [] if whole else chosen[: len(chosen) // 2]
    return None


def _mark_stopped(
    cluster_state: ClusterState, machine: Machine, record: MachineRecord, tasks: dict[tuple[str, int], set[int]]
) -> None:
    """Mark tasks, given by job and attempt, as to be stopped in a copy of their machine's record."""
    kept = []
    for allocation, known in zip(record.holds, machine.holds, strict=True):
        stop = known.tasks & tasks.get((allocation.job, allocation.attempt), set())
        job = cluster_state.jobs.get(allocation.job)
        if not stop or allocation.stop_us >= 0 or job is None:
            kept.append(allocation)
            continue
        if known.tasks - stop:
            kept.append(msgspec.structs.replace(allocation, tasks=encode_runs(known.tasks - stop)))
        grace_us = job.spec.save_us if job.spec.checkpoint_us else 0
        kept.append(msgspec.structs.replace(allocation, tasks=encode_runs(stop), stop_us=grace_us))
    record.holds = kept
