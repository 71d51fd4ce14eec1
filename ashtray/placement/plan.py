"""A plan: the queue in order, each job given the room that the rules choose."""

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
from ashtray.placement.rules import Ask, Room, rank
from ashtray.store.client import Limits
from ashtray.teams.guarantees import Excess
from ashtray.teams.limits import tasks_within, within_guarantee

FULL_SHARE = 0.8
"""Nothing more is placed in a group whose record takes this part of a value."""
HOLD_BYTES, LEAN_HOLD_BYTES = 75, 45
IMAGE_BYTES = 12
FEW_RUNS = 4
ALIKE_LOOKS = 40
"""Machines of a shared ranking that one task looks at."""
Demand = tuple[Any, ...]
Choice = tuple[Room, int]
"""A machine and how many tasks it gets."""


def queue(
    cluster_state: ClusterState,
    teams: dict[str, Team],
    times: StatedTimes | None = None,
    wall_us: int = 0,
    floor: MinimumShare | None = None,
) -> tuple[list[Job], set[str]]:
    """The jobs with tasks that wait, the first to be served first: priority, guarantee, deadline or age.

    Under overload what can still make its next stated time goes first (`order.py`), and a class of which too little
    was served goes before what is too late (`floor.py`).

    Also the names of all live jobs that are within their team's guarantee.
    """
    inside: set[str] = set()
    by_team: dict[str, list[Job]] = {team.name: [] for team in teams.values() if team.cpus or team.gpus}
    if by_team:
        for job in cluster_state.jobs.values():
            if job.spec.team in by_team and cluster_state.dependencies.ready(job):
                by_team[job.spec.team].append(job)
        for name, jobs in by_team.items():
            jobs.sort(key=lambda job: (job.ready_us, job.id))
            inside |= within_guarantee(teams[name], ((job, len(cluster_state.finished(job))) for job in jobs))

    def rank(job: Job) -> tuple[int, int, int, int, str]:
        # The latest start that still meets the deadline, if the estimates hold.
        due = job.ready_us if job.latest_us is None else min(job.ready_us, job.latest_us)
        # What fails everywhere delays nobody.
        priority = len(PRIORITIES) if job.suspect else job.priority
        return priority, job.id not in inside, due, job.ready_us, job.id

    jobs = sorted((cluster_state.jobs[job_id] for job_id in cluster_state.waiting()), key=rank)
    if times is None:
        return jobs, inside
    jobs, too_late = times.arrange(jobs, inside, cluster_state, wall_us)
    return jobs if floor is None else floor.lift(jobs, too_late, wall_us), inside


def back_off_us(job: Job) -> int:
    """How long a job that failed waits before it is tried again: longer once it has failed on several machines."""
    errors = job.record.errors
    if job.suspect:
        return min(2 << min(errors, 10), 120) * SECOND_US
    return 0 if errors < 3 else min(1 << min(errors - 2, 10), 60) * SECOND_US


def demand(spec: JobSpec) -> Demand:
    """What a task takes, its first three parts, and where it may go."""
    places = (spec.zone, spec.spot, spec.same_zone, spec.spread, tuple(spec.types or ()))
    return (spec.cpus, spec.gpus, spec.memory_gb, *places)


def _hold_bytes(base: int, spec: JobSpec, room: Room, count: int) -> int:
    """What a hold for so many tasks of a job takes of a record: their numbers are mostly a few runs."""
    image = 0 if spec.image in room.machine.images else len(spec.image) + IMAGE_BYTES
    return base + image + len(str(spec.tasks)) * min(count, FEW_RUNS)


class Planner:
    """Makes queues and plans on the cluster state as it is when asked."""

    def __init__(self, base: Base, times: StatedTimes, floor: MinimumShare) -> None:
        self._base = base
        self.times = times
        self.floor = floor

    def plan(self) -> Plan:
        """A plan of the cluster state as it is now."""
        base = self._base
        return Plan(base.cluster_state, base.teams, base.knobs, base.kernel.rng, base.limits)

    def queue(self) -> tuple[list[Job], set[str]]:
        """The jobs that wait, in their order, and those within their team's guarantee."""
        return queue(self._base.cluster_state, self._base.teams, self.times, self._base.kernel.wall_us, self.floor)


class Plan:
    """Room and limits that are left while jobs are given places, in the queue's order."""

    def __init__(
        self,
        cluster_state: ClusterState,
        teams: dict[str, Team],
        knobs: OperatorSettings,
        rng: random.Random,
        limits: Limits,
    ) -> None:
        self.cluster_state = cluster_state
        self.teams = teams
        self.knobs = knobs
        self.rng = rng
        self.rooms: list[Room] = []
        kinds = cluster_state.types
        self.lean = limits.lean
        self.left = {
            key: -1.0 if group.moving else FULL_SHARE * limits.value_bytes - group.size
            for key, group in cluster_state.groups.items()
        }
        """Bytes that may still be written into each group's record, with a reserve for what must be."""
        # Nothing more is put into a record that is nearly as large as a value may be.
        full = {key for key, left in self.left.items() if left < HOLD_BYTES}
        for machine in cluster_state.machines.values():
            kind = kinds.get(machine.type)
            record = machine.record
            if kind is None or record.retiring:
                continue
            blame = cluster_state.blame(machine) if record.failed else 0
            if machine.group in full:
                self.rooms.append(Room(machine, kind, -1.0, -1.0, -1.0, blame))
                continue
            cpus, gpus, memory_gb = (
                kind.cpus - machine.cpus,
                kind.gpus - machine.gpus,
                kind.memory_gb - machine.memory_gb,
            )
            self.rooms.append(Room(machine, kind, cpus, gpus, memory_gb, blame))
        self.freed: list[Room] = []
        """Room that reports have freed and no commit has yet: only this controller knows of it."""
        self.no_victims: dict[Demand, int] = {}
        """For jobs alike, how many tasks could not be given room by stopping others; nor can more of them."""
        self.sparing = False
        """Changes of the state service are scarce."""
        self.due: set[str] = set()
        """Groups whose records will be written anyway, so that a placement there costs no change."""
        self._ranked: dict[Demand, list[Room]] = {}
        """For single tasks of about one size, the machines that are left, the best last."""
        self.ordinary = [room for room in self.rooms if not room.machine.record.spot]
        self.usage = {name: cluster_state.team_usage(name) for name in teams}
        self.scarcity = self._scarcity()
        waits = (cluster_state.jobs[job_id] for job_id in cluster_state.waiting())
        self.gpus_wait = min((job.priority for job in waits if job.spec.gpus > 0), default=len(PRIORITIES))
        """The most urgent priority of which tasks wait for GPUs."""
        self._most: dict[Demand, int] = {}
        """For demands that could not be met in full: how much room there was at most.  It only shrinks."""
        self._none: dict[Demand, list[tuple[float, float, float]]] = {}
        self._soon: dict[str, tuple[float, float, float]] | None = None
        self._no_soon: dict[Demand, int] = {}
        """For demands, how many tasks did not even find room that is being made."""
        self._excess: Excess | None = None
        self.prospects = Prospects(cluster_state, teams)
        self.visits = 0
        """Rooms looked at closely: what the work of a plan grows with."""

    def add_freed(self, freed: dict[str, tuple[float, float, float]]) -> None:
        """Count what reports have freed, in CPUs, GPUs and GB by machine, though no commit has yet."""
        for name, (cpus, gpus, memory) in freed.items():
            machine = self.cluster_state.machines[name]
            kind = self.cluster_state.types.get(machine.type)
            if kind is not None and not machine.record.retiring:
                self.freed.append(Room(machine, kind, cpus, gpus, memory))

    def _scarcity(self) -> tuple[float, float, float]:
        """The share of each resource that is in use: what is scarce weighs more."""
        whole_c = whole_g = whole_m = free_c = free_g = free_m = 0.0
        for room in self.rooms:
            kind = room.type
            whole_c += kind.cpus
            whole_g += kind.gpus
            whole_m += kind.memory_gb
            free_c += room.cpus
            free_g += room.gpus
            free_m += room.memory_gb
        whole, free = (whole_c, whole_g, whole_m), (free_c, free_g, free_m)
        c, g, m = (
            weight * (1.1 - f / w if w else 1.0) for weight, f, w in zip(self.knobs.weights, free, whole, strict=True)
        )
        return c, g, m

    def wanted(self, job: Job, wall_us: int, shared: bool = False) -> list[int]:
        """The tasks that are to be given a place now, lowest first.

        `shared`: the team's limit is not looked at, for the caller goes by its own share of it.
        """
        if job.record.errors and wall_us - job.record.error_us < back_off_us(job):
            return []
        left = self.cluster_state.waiting().get(job.id, [])
        if job.suspect and job.spec.kind != "gang":
            # One task shows whether it works by now.
            left = [] if self.cluster_state.placed(job.id) else left[:1]
        team = self.teams.get(job.spec.team)
        if team is not None and job.spec.kind != "gang" and not shared:
            left = left[: tasks_within(team, *self.usage[team.name], job.spec)]
        return left

    def _base_bytes(self, job: Job) -> int:
        return LEAN_HOLD_BYTES if self.lean else HOLD_BYTES + len(job.id) + len(job.spec.team)

    def ask(self, job: Job) -> Ask:
        """What a job asks of a machine, for the rules."""
        spec = job.spec
        ask = Ask(spec, scarcity=self.scarcity, spare_gpus=self._spares_gpus(job), priority=job.priority)
        ask.hold_bytes = self._base_bytes(job)
        ask.failed_on = frozenset(job.record.failed_on)
        holds = self.cluster_state.allocations.get(job.id, {})
        if spec.spread:
            ask.spread_most = (spec.tasks + 1) // 2
            ask.zone_room = {}
        for (name, _), hold in holds.items():
            zone = self.cluster_state.machines[name].zone
            if spec.same_zone:
                ask.zone = zone
            if ask.zone_room is not None:
                ask.zone_room[zone] = ask.zone_room.get(zone, ask.spread_most) - len(hold.tasks)
        return ask

    def _spares_gpus(self, job: Job) -> bool:
        """Whether a job leaves free GPUs their part of the CPUs, for tasks as urgent wait for them."""
        return job.spec.gpus == 0 and self.gpus_wait <= job.priority

    def zones(self) -> list[str]:
        """The names of the zones that have machines, sorted."""
        return sorted({room.machine.zone for room in self.rooms})

    def place(
        self,
        job: Job,
        count: int,
        widen: float,
        image_within_s: float | None = None,
        freed: bool = False,
        shared: bool = False,
    ) -> list[Choice]:
        """Choose room for tasks of a job and take it; for a gang all of it or none.

        `freed`: also the room that only this controller knows of.  `shared`: see `wanted`.
        """
        spec = job.spec
        gang = spec.kind == "gang"
        if gang and not shared and not self._team_allows(job, count):
            return []
        ask = self.ask(job)
        ask.image_within_s = image_within_s
        # One that has a place already and must share its zone says nothing of the other zones.
        wish = (*demand(spec), image_within_s and spec.image, freed, self._spares_gpus(job), ask.zone)
        most = self._most.get(wish, count)
        if most < (count if gang else 1):
            return []
        # What found no room at all leaves none for anything larger that may use the same machines by the same rules:
        # found on simulated days, small tasks that had to spare GPU machines hid all room from tasks for GPUs.
        sizes = self._none.setdefault(wish[3:], [])
        if any(c <= spec.cpus and g <= spec.gpus and m <= spec.memory_gb for c, g, m in sizes):
            return []
        choices = self._in_a_zone(ask, count, widen, self.freed if freed else [])
        total = sum(n for _, n in choices)
        if total < count and not spec.spread:
            self._most[wish] = total if gang else 0
            if not gang or not total:
                sizes.append((spec.cpus, spec.gpus, spec.memory_gb))
        if gang and total < count:
            return []
        self.take(job, choices)
        return choices

    def _in_a_zone(self, ask: Ask, count: int, widen: float, freed: list[Room]) -> list[Choice]:
        if not ask.spec.same_zone or ask.zone is not None or len(self.zones()) < 2:
            return self._choose(ask, count, widen, freed=freed)
        found = []
        for zone in self.zones():
            found.append(self._choose(replace(ask, zone=zone), count, widen, freed=freed))
        return max(found, key=lambda choices: sum(n for _, n in choices))

    def _team_allows(self, job: Job, count: int) -> bool:
        team = self.teams.get(job.spec.team)
        return team is None or tasks_within(team, *self.usage[team.name], job.spec) >= count

    def keep_soon(self, job: Job, count: int, image_within_s: float | None = None) -> bool:
        """Keep the room that stopping tasks will leave for a job that fits then; says whether it does.

        Without this, jobs further back would take such room piece by piece, and a gang would wait for ever.
        """
        if not self._team_allows(job, count):
            return False
        if self._soon is None:
            self._soon = self._stopping()
        if not self._soon:
            return False
        # What does not fit does not fit for as many alike, nor for more: room only shrinks while a plan is made.
        spec = job.spec
        alone = (spec.same_zone or spec.spread) and job.id
        wish = (*demand(spec), image_within_s and spec.image, self._spares_gpus(job), alone)
        if count >= self._no_soon.get(wish, count + 1):
            return False
        later: dict[int, Room] = {}
        rooms = []
        for room in self.rooms:
            extra = self._soon.get(room.machine.name)
            if extra is not None:
                c, g, m = extra
                now, room = room, replace(room, cpus=room.cpus + c, gpus=room.gpus + g, memory_gb=room.memory_gb + m)
                later[id(room)] = now
            rooms.append(room)
        ask = self.ask(job)
        ask.image_within_s = image_within_s
        choices = self._choose(ask, count, 0.0, rooms)
        if sum(n for _, n in choices) < count:
            self._no_soon[wish] = count
            return False
        self.take(job, [(later.get(id(room), room), n) for room, n in choices])
        return True

    def excess(self) -> Excess:
        """What each team runs beyond its guarantee, worked out once in a plan."""
        if self._excess is None:
            self._excess = Excess(self.cluster_state, self.teams)
        return self._excess

    def _stopping(self) -> dict[str, tuple[float, float, float]]:
        """The room of tasks that are about to leave, by machine."""
        found: dict[str, tuple[float, float, float]] = {}
        for holds in self.cluster_state.leaving().values():
            for name, hold in holds:
                n = len(hold.tasks)
                c, g, m = found.get(name, (0.0, 0.0, 0.0))
                r = hold.record
                found[name] = (c + n * r.cpus, g + n * r.gpus, m + n * r.memory_gb)
        return found

    def _choose(
        self, ask: Ask, count: int, widen: float, among: list[Room] | None = None, freed: Sequence[Room] = ()
    ) -> list[Choice]:
        """The best machines, or, seldom, a random one of the best few, until all tasks have room.

        A job's own tasks do not change how the machines that are left rank, so they are ranked once.
        """
        spec = ask.spec
        zone_room = dict(ask.zone_room) if ask.zone_room is not None else None
        trial = replace(ask, zone_room=zone_room)
        cpus, gpus, memory = (
            spec.cpus - AMOUNT_TOLERANCE,
            spec.gpus - AMOUNT_TOLERANCE,
            spec.memory_gb - AMOUNT_TOLERANCE,
        )
        alike = self._alike(ask, count) if among is None else None
        ranked = self._ranked.get(alike) if alike is not None else None
        if ranked is None:
            there = among if among is not None else [*(self.rooms if spec.spot else self.ordinary), *freed]
            rooms = [r for r in there if r.cpus >= cpus and r.gpus >= gpus and r.memory_gb >= memory]
            self.visits += len(rooms)
            trial.due, trial.sparing = self.due, self.sparing
            ranked = rank(rooms, trial, count, self.knobs, self.rng)
            ranked.reverse()
            if alike is not None:
                self._ranked[alike] = ranked
        elif ranked and widen <= 0.0:
            # Whoever came before filled up the best ones.
            while ranked and not ranked[-1].fits(spec):
                ranked.pop()
        choices: list[Choice] = []
        spent: dict[str, float] = {}
        if alike is not None:
            ranked = ranked[-ALIKE_LOOKS:]
        while count > 0 and ranked:
            pick = 0
            if widen > 0 and self.rng.random() < widen:
                pick = self.rng.randrange(min(self.knobs.top, len(ranked)))
            room = ranked.pop(-1 - pick)
            zone = room.machine.zone
            n = min(count, room.fits(spec), trial.zone_allows(zone))
            if ask.spare_gpus and room.type.gpus > 0:
                spare = room.cpus - room.gpus * room.type.cpus / room.type.gpus
                n = min(n, int((spare + AMOUNT_TOLERANCE) // spec.cpus)) if spec.cpus > 0 else n
            if n <= 0 or trial.zone not in (None, zone):
                continue
            group = room.machine.group
            more = spent.get(group, 0.0) + _hold_bytes(ask.hold_bytes, spec, room, n)
            if among is None and more > self.left.get(group, more):
                # Where no more can be written there is no room.
                continue
            spent[group] = more
            choices.append((room, n))
            count -= n
            if spec.same_zone:
                trial.zone = zone
            if trial.zone_room is not None:
                trial.zone_room[zone] = trial.zone_allows(zone) - n
        return choices

    def _alike(self, ask: Ask, count: int) -> Demand | None:
        """What single tasks have in common that may share a ranking; None for any other ask.

        Some guests bring hundreds of small jobs, and ranking the whole fleet for each would hold the processor.
        """
        spec = ask.spec
        if count != 1 or spec.tasks != 1 or spec.spread or ask.zone is not None or ask.failed_on:
            return None
        size = tuple(int(math.log2(x)) if x > 0 else None for x in (spec.cpus, spec.memory_gb))
        return (
            *size,
            spec.gpus,
            spec.image,
            spec.zone,
            spec.spot,
            tuple(spec.types or ()),
            ask.image_within_s,
            ask.spare_gpus,
            ask.priority <= 1,
        )

    def take(self, job: Job, choices: Iterable[Choice]) -> None:
        """Take a job's places out of the free room of their machines."""
        base = self._base_bytes(job)
        for room, n in choices:
            room.take(job.spec, n)
            if room.machine.group in self.left:
                self.left[room.machine.group] -= _hold_bytes(base, job.spec, room, n)
        self.count(job, sum(n for _, n in choices))

    def give_back(self, job: Job, room: Room, count: int) -> None:
        """A choice that is not made after all."""
        room.take(job.spec, -count)
        self.count(job, -count)

    def count(self, job: Job, total: int) -> None:
        """Count tasks of a job against its team's limit."""
        if job.spec.team in self.usage:
            cpus, gpus = self.usage[job.spec.team]
            self.usage[job.spec.team] = (cpus + total * job.spec.cpus, gpus + total * job.spec.gpus)
