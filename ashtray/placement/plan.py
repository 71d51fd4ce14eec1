"""A plan goes through the queue in order and chooses machines for each job by the placement rules."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import replace
from typing import Any

from ashtray.base import Base
from ashtray.config.operators import OperatorSettings
from ashtray.config.settings import Team
from ashtray.jobs.model import PRIORITIES, Job, JobSpec
from ashtray.kernel import SECOND_US
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.minimum_share import MinimumShare
from ashtray.placement.prospects import Prospects
from ashtray.placement.queue_order import StatedTimes
from ashtray.placement.records import AMOUNT_TOLERANCE
from ashtray.placement.rules import MachineCapacity, PlacementRequest, rank
from ashtray.store.limits import Limits
from ashtray.teams.guarantees import Excess
from ashtray.teams.limits import tasks_within, within_guarantee

MAX_RECORD_SHARE = 0.8
"""Nothing more is placed in a group whose record takes up this part of a value's maximum size."""
ALLOCATION_BYTES, COMPACT_ALLOCATION_BYTES = 75, 45
"""Estimated bytes of an allocation in a group record: in full form, without the names of job and team, and in compact
form."""
IMAGE_ENTRY_BYTES = 12
"""Estimated bytes of a cached image in a group record, without its name."""
USUAL_RUNS = 4
"""The number of runs of task numbers that the size estimate of an allocation assumes at most."""
MAX_SHARED_RANKING = 40
"""The maximum number of machines of a shared ranking that one task considers."""
Demand = tuple[Any, ...]
"""What jobs that are alike have in common, as a key."""
Choice = tuple[MachineCapacity, int]
"""A machine and the number of tasks placed on it."""


def queue(
    cluster_state: ClusterState,
    teams: dict[str, Team],
    times: StatedTimes | None = None,
    wall_us: int = 0,
    minimum_share: MinimumShare | None = None,
) -> tuple[list[Job], set[str]]:
    """Return the jobs with waiting tasks in queue order: by priority, guarantee, then deadline or age.

    Under overload, jobs that can still meet their next stated time go first (`queue_order.py`), and a class of which
    too little was served goes before jobs that are too late (`minimum_share.py`).

    Also returns the ids of all live jobs that are within their team's guarantee.
    """
    guaranteed: set[str] = set()
    by_team: dict[str, list[Job]] = {team.name: [] for team in teams.values() if team.cpus or team.gpus}
    if by_team:
        for job in cluster_state.jobs.values():
            if job.spec.team in by_team and cluster_state.dependencies.ready(job):
                by_team[job.spec.team].append(job)
        for name, jobs in by_team.items():
            jobs.sort(key=lambda job: (job.ready_us, job.id))
            guaranteed |= within_guarantee(teams[name], ((job, len(cluster_state.finished(job))) for job in jobs))

    def rank(job: Job) -> tuple[int, int, int, int, str]:
        # The latest start that still meets the deadline, provided that the estimates are right.
        due = job.ready_us if job.start_by_us is None else min(job.ready_us, job.start_by_us)
        # A job that fails on every machine must not delay others.
        priority = len(PRIORITIES) if job.fails_on_several_machines else job.priority
        return priority, job.id not in guaranteed, due, job.ready_us, job.id

    jobs = sorted((cluster_state.jobs[job_id] for job_id in cluster_state.waiting()), key=rank)
    if times is None:
        return jobs, guaranteed
    jobs, too_late = times.arrange(jobs, guaranteed, cluster_state, wall_us)
    return jobs if minimum_share is None else minimum_share.move_up(jobs, too_late, wall_us), guaranteed


def back_off_us(job: Job) -> int:
    """Return how long a failed job waits before its next attempt; longer once it has failed on several machines."""
    errors = job.record.errors
    if job.fails_on_several_machines:
        return min(2 << min(errors, 10), 120) * SECOND_US
    return 0 if errors < 3 else min(1 << min(errors - 2, 10), 60) * SECOND_US


def demand(spec: JobSpec) -> Demand:
    """Return a task's resources, which are the first three elements, and where the job may be placed."""
    places = (spec.zone, spec.spot, spec.same_zone, spec.spread, tuple(spec.types or ()))
    return (spec.cpus, spec.gpus, spec.memory_gb, *places)


def _allocation_bytes(base: int, spec: JobSpec, capacity: MachineCapacity, count: int) -> int:
    """Estimate the bytes that an allocation adds to a group record; task numbers are mostly a few runs."""
    image = 0 if spec.image in capacity.machine.images else len(spec.image) + IMAGE_ENTRY_BYTES
    return base + image + len(str(spec.tasks)) * min(count, USUAL_RUNS)


class Planner:
    """Creates queues and plans from the current cluster state."""

    def __init__(self, base: Base, times: StatedTimes, minimum_share: MinimumShare) -> None:
        self._base = base
        self.times = times
        self.minimum_share = minimum_share

    def plan(self) -> Plan:
        """Return a new plan of the current cluster state."""
        base = self._base
        return Plan(base.cluster_state, base.teams, base.operator_settings, base.kernel.rng, base.limits)

    def queue(self) -> tuple[list[Job], set[str]]:
        """Return the waiting jobs in queue order, and the ids of the live jobs within their team's guarantee."""
        return queue(
            self._base.cluster_state, self._base.teams, self.times, self._base.kernel.wall_us, self.minimum_share
        )


class Plan:
    """The free capacity and team limits that remain while jobs are placed in queue order."""

    def __init__(
        self,
        cluster_state: ClusterState,
        teams: dict[str, Team],
        operator_settings: OperatorSettings,
        rng: random.Random,
        limits: Limits,
    ) -> None:
        self.cluster_state = cluster_state
        self.teams = teams
        self.operator_settings = operator_settings
        self.rng = rng
        self.capacities: list[MachineCapacity] = []
        kinds = cluster_state.types
        self.compact = limits.compact
        self._bytes_left = {
            key: -1.0 if group.moving else MAX_RECORD_SHARE * limits.value_bytes - group.size
            for key, group in cluster_state.groups.items()
        }
        """Bytes that placements may still add to each group's record; a reserve is kept for writes that cannot be
        avoided."""
        # Nothing more is placed in a group whose record has nearly reached a value's maximum size.
        full = {key for key, left in self._bytes_left.items() if left < ALLOCATION_BYTES}
        for machine in cluster_state.machines.values():
            kind = kinds.get(machine.type)
            record = machine.record
            if kind is None or record.retiring:
                continue
            blame = cluster_state.blame(machine) if record.failed else 0
            if machine.group in full:
                self.capacities.append(MachineCapacity(machine, kind, -1.0, -1.0, -1.0, blame))
                continue
            cpus, gpus, memory_gb = (
                kind.cpus - machine.cpus,
                kind.gpus - machine.gpus,
                kind.memory_gb - machine.memory_gb,
            )
            self.capacities.append(MachineCapacity(machine, kind, cpus, gpus, memory_gb, blame))
        self.freed: list[MachineCapacity] = []
        """Capacity that reports have freed, but no commit has yet: only this controller knows of it."""
        self.min_without_victims: dict[Demand, int] = {}
        """By kind of job, the smallest number of tasks for which stopping others does not free enough capacity."""
        self.writes_scarce = False
        """Whether writes to the state service are scarce."""
        self.due_groups: set[str] = set()
        """Groups whose records are written anyway, so that a placement there costs no additional write."""
        self._ranked: dict[Demand, list[MachineCapacity]] = {}
        """For single tasks of about the same size, the remaining machines in order, the best last."""
        self.on_demand = [capacity for capacity in self.capacities if not capacity.machine.record.spot]
        self.usage = {name: cluster_state.team_usage(name) for name in teams}
        self.scarcity = self._scarcity()
        waiting_jobs = (cluster_state.jobs[job_id] for job_id in cluster_state.waiting())
        self.gpu_wait_priority = min(
            (job.priority for job in waiting_jobs if job.spec.gpus > 0), default=len(PRIORITIES)
        )
        """The most urgent priority among the jobs with tasks that wait for GPUs."""
        self._max_placeable: dict[Demand, int] = {}
        """For demands that could not be met in full, the number of tasks that fit at most.  Capacity only shrinks."""
        self._unplaceable_sizes: dict[Demand, list[tuple[float, float, float]]] = {}
        self._stopping_capacity: dict[str, tuple[float, float, float]] | None = None
        self._min_unreservable: dict[Demand, int] = {}
        """For demands, the smallest number of tasks that did not fit even with the capacity being freed."""
        self._excess: Excess | None = None
        self.prospects = Prospects(cluster_state, teams)
        self.visits = 0
        """The number of machines that were ranked: the processor time of a plan grows with it."""

    def add_freed(self, freed: dict[str, tuple[float, float, float]]) -> None:
        """Add the CPUs, GPUs and GB, by machine, that reports have freed but no commit has yet."""
        for name, (cpus, gpus, memory) in freed.items():
            machine = self.cluster_state.machines[name]
            kind = self.cluster_state.types.get(machine.type)
            if kind is not None and not machine.record.retiring:
                self.freed.append(MachineCapacity(machine, kind, cpus, gpus, memory))

    def _scarcity(self) -> tuple[float, float, float]:
        """Return the weights of CPUs, GPUs and memory: the larger the part in use, the larger the weight."""
        whole_c = whole_g = whole_m = free_c = free_g = free_m = 0.0
        for capacity in self.capacities:
            kind = capacity.type
            whole_c += kind.cpus
            whole_g += kind.gpus
            whole_m += kind.memory_gb
            free_c += capacity.cpus
            free_g += capacity.gpus
            free_m += capacity.memory_gb
        whole, free = (whole_c, whole_g, whole_m), (free_c, free_g, free_m)
        c, g, m = (
            weight * (1.1 - f / w if w else 1.0)
            for weight, f, w in zip(self.operator_settings.weights, free, whole, strict=True)
        )
        return c, g, m

    def wanted(self, job: Job, wall_us: int, shared: bool = False) -> list[int]:
        """Return the tasks of a job to place now, lowest first.

        With `shared`, the team's limit is ignored, because the caller checks its own share of it.
        """
        if job.record.errors and wall_us - job.record.error_us < back_off_us(job):
            return []
        left = self.cluster_state.waiting().get(job.id, [])
        if job.fails_on_several_machines and job.spec.kind != "gang":
            # One task is enough to find out whether the job still fails.
            left = [] if self.cluster_state.placed(job.id) else left[:1]
        team = self.teams.get(job.spec.team)
        if team is not None and job.spec.kind != "gang" and not shared:
            left = left[: tasks_within(team, *self.usage[team.name], job.spec)]
        return left

    def _base_bytes(self, job: Job) -> int:
        return COMPACT_ALLOCATION_BYTES if self.compact else ALLOCATION_BYTES + len(job.id) + len(job.spec.team)

    def request_for(self, job: Job) -> PlacementRequest:
        """Return the request for a job's tasks that the rules evaluate."""
        spec = job.spec
        request = PlacementRequest(
            spec, scarcity=self.scarcity, spare_gpus=self._must_leave_cpus(job), priority=job.priority
        )
        request.allocation_bytes = self._base_bytes(job)
        request.failed_on = frozenset(job.record.failed_on)
        job_allocations = self.cluster_state.allocations.get(job.id, {})
        if spec.spread:
            request.spread_most = (spec.tasks + 1) // 2
            request.zone_limits = {}
        for (name, _), allocation in job_allocations.items():
            zone = self.cluster_state.machines[name].zone
            if spec.same_zone:
                request.zone = zone
            if request.zone_limits is not None:
                request.zone_limits[zone] = request.zone_limits.get(zone, request.spread_most) - len(allocation.tasks)
        return request

    def _must_leave_cpus(self, job: Job) -> bool:
        """Return whether a job must leave CPUs for free GPUs, because tasks at least as urgent wait for GPUs."""
        return job.spec.gpus == 0 and self.gpu_wait_priority <= job.priority

    def zones(self) -> list[str]:
        """Return the sorted names of the zones that have machines."""
        return sorted({capacity.machine.zone for capacity in self.capacities})

    def place(
        self,
        job: Job,
        count: int,
        pick_chance: float,
        image_within_s: float | None = None,
        freed: bool = False,
        shared: bool = False,
    ) -> list[Choice]:
        """Choose machines for up to `count` tasks of a job and take the capacity; for a gang, all tasks or none.

        With `freed`, machines whose capacity only this controller knows to be free are included.  `shared`: see
        `wanted`.  `image_within_s` admits only machines that have the image or fetch it within this many seconds.
        """
        spec = job.spec
        gang = spec.kind == "gang"
        if gang and not shared and not self._team_allows(job, count):
            return []
        request = self.request_for(job)
        request.image_within_s = image_within_s
        # A job that already has a task placed and must stay in that zone tells nothing about the other zones.
        request_key = (*demand(spec), image_within_s and spec.image, freed, self._must_leave_cpus(job), request.zone)
        most = self._max_placeable.get(request_key, count)
        if most < (count if gang else 1):
            return []
        # If nothing fitted, nothing larger fits that may use the same machines by the same rules.  Tasks that must
        # leave CPUs for free GPUs are kept apart: otherwise small ones hide the free capacity from tasks that need
        # GPUs.
        sizes = self._unplaceable_sizes.setdefault(request_key[3:], [])
        if any(c <= spec.cpus and g <= spec.gpus and m <= spec.memory_gb for c, g, m in sizes):
            return []
        choices = self._choose_in_zone(request, count, pick_chance, self.freed if freed else [])
        total = sum(n for _, n in choices)
        if total < count and not spec.spread:
            self._max_placeable[request_key] = total if gang else 0
            if not gang or not total:
                sizes.append((spec.cpus, spec.gpus, spec.memory_gb))
        if gang and total < count:
            return []
        self.take(job, choices)
        return choices

    def _choose_in_zone(
        self, request: PlacementRequest, count: int, pick_chance: float, freed: list[MachineCapacity]
    ) -> list[Choice]:
        if not request.spec.same_zone or request.zone is not None or len(self.zones()) < 2:
            return self._choose(request, count, pick_chance, freed=freed)
        found = []
        for zone in self.zones():
            found.append(self._choose(replace(request, zone=zone), count, pick_chance, freed=freed))
        return max(found, key=lambda choices: sum(n for _, n in choices))

    def _team_allows(self, job: Job, count: int) -> bool:
        team = self.teams.get(job.spec.team)
        return team is None or tasks_within(team, *self.usage[team.name], job.spec) >= count

    def reserve_stopping_capacity(self, job: Job, count: int, image_within_s: float | None = None) -> bool:
        """Reserve the capacity that stopping tasks will free for a job that fits then; return whether it does.

        Otherwise jobs further back would take this capacity bit by bit, and a gang would wait forever.
        """
        if not self._team_allows(job, count):
            return False
        if self._stopping_capacity is None:
            self._stopping_capacity = self._capacity_of_stopping()
        if not self._stopping_capacity:
            return False
        # If a job did not fit, no similar job with as many tasks or more does: capacity only shrinks while a plan is
        # made.
        spec = job.spec
        alone = (spec.same_zone or spec.spread) and job.id
        request_key = (*demand(spec), image_within_s and spec.image, self._must_leave_cpus(job), alone)
        if count >= self._min_unreservable.get(request_key, count + 1):
            return False
        originals: dict[int, MachineCapacity] = {}
        capacities = []
        for capacity in self.capacities:
            extra = self._stopping_capacity.get(capacity.machine.name)
            if extra is not None:
                c, g, m = extra
                original, capacity = (
                    capacity,
                    replace(
                        capacity, cpus=capacity.cpus + c, gpus=capacity.gpus + g, memory_gb=capacity.memory_gb + m
                    ),
                )
                originals[id(capacity)] = original
            capacities.append(capacity)
        request = self.request_for(job)
        request.image_within_s = image_within_s
        choices = self._choose(request, count, 0.0, capacities)
        if sum(n for _, n in choices) < count:
            self._min_unreservable[request_key] = count
            return False
        self.take(job, [(originals.get(id(capacity), capacity), n) for capacity, n in choices])
        return True

    def excess(self) -> Excess:
        """Return what each team runs beyond its guarantee, computed once per plan."""
        if self._excess is None:
            self._excess = Excess(self.cluster_state, self.teams)
        return self._excess

    def _capacity_of_stopping(self) -> dict[str, tuple[float, float, float]]:
        """Return the CPUs, GPUs and GB, by machine, that tasks about to end will free."""
        found: dict[str, tuple[float, float, float]] = {}
        for job_allocations in self.cluster_state.ending_allocations().values():
            for name, allocation in job_allocations:
                n = len(allocation.tasks)
                c, g, m = found.get(name, (0.0, 0.0, 0.0))
                r = allocation.record
                found[name] = (c + n * r.cpus, g + n * r.gpus, m + n * r.memory_gb)
        return found

    def _choose(
        self,
        request: PlacementRequest,
        count: int,
        pick_chance: float,
        among: list[MachineCapacity] | None = None,
        freed: Sequence[MachineCapacity] = (),
    ) -> list[Choice]:
        """Choose machines for up to `count` tasks: the best ones, or sometimes a random one of the best few.

        `pick_chance` is the probability of a random choice.  Placing one of a job's tasks does not change how the
        remaining machines rank, so they are ranked once.
        """
        spec = request.spec
        zone_limits = dict(request.zone_limits) if request.zone_limits is not None else None
        current_request = replace(request, zone_limits=zone_limits)
        cpus, gpus, memory = (
            spec.cpus - AMOUNT_TOLERANCE,
            spec.gpus - AMOUNT_TOLERANCE,
            spec.memory_gb - AMOUNT_TOLERANCE,
        )
        ranking_key = self._ranking_key(request, count) if among is None else None
        ranked = self._ranked.get(ranking_key) if ranking_key is not None else None
        if ranked is None:
            candidates = among if among is not None else [*(self.capacities if spec.spot else self.on_demand), *freed]
            capacities = [r for r in candidates if r.cpus >= cpus and r.gpus >= gpus and r.memory_gb >= memory]
            self.visits += len(capacities)
            current_request.due_groups, current_request.writes_scarce = self.due_groups, self.writes_scarce
            ranked = rank(capacities, current_request, count, self.operator_settings, self.rng)
            ranked.reverse()
            if ranking_key is not None:
                self._ranked[ranking_key] = ranked
        elif ranked and pick_chance <= 0.0:
            # Earlier jobs have filled up the best machines.
            while ranked and not ranked[-1].fits(spec):
                ranked.pop()
        choices: list[Choice] = []
        spent: dict[str, float] = {}
        if ranking_key is not None:
            ranked = ranked[-MAX_SHARED_RANKING:]
        while count > 0 and ranked:
            pick = 0
            if pick_chance > 0 and self.rng.random() < pick_chance:
                pick = self.rng.randrange(min(self.operator_settings.top, len(ranked)))
            capacity = ranked.pop(-1 - pick)
            zone = capacity.machine.zone
            n = min(count, capacity.fits(spec), current_request.zone_allows(zone))
            if request.spare_gpus and capacity.type.gpus > 0:
                spare = capacity.cpus - capacity.gpus * capacity.type.cpus / capacity.type.gpus
                n = min(n, int((spare + AMOUNT_TOLERANCE) // spec.cpus)) if spec.cpus > 0 else n
            if n <= 0 or current_request.zone not in (None, zone):
                continue
            group = capacity.machine.group
            more = spent.get(group, 0.0) + _allocation_bytes(request.allocation_bytes, spec, capacity, n)
            if among is None and more > self._bytes_left.get(group, more):
                # The group's record cannot take another allocation.
                continue
            spent[group] = more
            choices.append((capacity, n))
            count -= n
            if spec.same_zone:
                current_request.zone = zone
            if current_request.zone_limits is not None:
                current_request.zone_limits[zone] = current_request.zone_allows(zone) - n
        return choices

    def _ranking_key(self, request: PlacementRequest, count: int) -> Demand | None:
        """Return a key for single tasks that may share a ranking; None for any other request.

        Some users submit hundreds of small jobs, and ranking the whole fleet for each would use up the processor.
        """
        spec = request.spec
        if count != 1 or spec.tasks != 1 or spec.spread or request.zone is not None or request.failed_on:
            return None
        size = tuple(int(math.log2(x)) if x > 0 else None for x in (spec.cpus, spec.memory_gb))
        return (
            *size,
            spec.gpus,
            spec.image,
            spec.zone,
            spec.spot,
            tuple(spec.types or ()),
            request.image_within_s,
            request.spare_gpus,
            request.priority <= 1,
        )

    def take(self, job: Job, choices: Iterable[Choice]) -> None:
        """Take the chosen capacity from the machines and count the tasks against the team's limit."""
        base = self._base_bytes(job)
        for capacity, n in choices:
            capacity.take(job.spec, n)
            if capacity.machine.group in self._bytes_left:
                self._bytes_left[capacity.machine.group] -= _allocation_bytes(base, job.spec, capacity, n)
        self.count(job, sum(n for _, n in choices))

    def give_back(self, job: Job, capacity: MachineCapacity, count: int) -> None:
        """Return the capacity of a choice that is not used."""
        capacity.take(job.spec, -count)
        self.count(job, -count)

    def count(self, job: Job, total: int) -> None:
        """Add tasks of a job to its team's usage; a negative number subtracts them."""
        if job.spec.team in self.usage:
            cpus, gpus = self.usage[job.spec.team]
            self.usage[job.spec.team] = (cpus + total * job.spec.cpus, gpus + total * job.spec.gpus)
