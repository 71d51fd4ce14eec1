"""A plan: the queue in order, each job given the room that the rules choose."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import replace
from itertools import islice

from ashtray.config.operators import Knobs
from ashtray.config.settings import Team
from ashtray.jobs.model import Job
from ashtray.kernel import SECOND_US
from ashtray.placement.picture import Picture
from ashtray.placement.rules import Ask, Room, rank
from ashtray.teams.limits import tasks_within, within_guarantee

Choice = tuple[Room, int]
"""A machine and how many tasks it gets."""


def queue(picture: Picture, teams: dict[str, Team]) -> tuple[list[Job], set[str]]:
    """All live jobs, the first to be served first: priority, guarantee, deadline or age.

    Also the names of those that are within their team's guarantee.
    """
    by_age = sorted(picture.jobs.values(), key=lambda job: (job.record.accepted_us, job.id))
    inside: set[str] = set()
    for team in teams.values():
        inside |= within_guarantee(team, (job for job in by_age if job.spec.team == team.name))

    def rank(job: Job) -> tuple[int, int, int, int, str]:
        due = job.record.accepted_us
        if job.spec.deadline_us is not None:
            # The latest start that still meets the deadline, if the estimate holds.
            due = min(due, due + job.spec.deadline_us - 2 * job.spec.estimate_us)
        return job.spec.priority, job.id not in inside, due, job.record.accepted_us, job.id

    return sorted(by_age, key=rank), inside


def back_off_us(job: Job) -> int:
    """How long a job that failed everywhere waits before it is tried again."""
    if job.record.errors < 3:
        return 0
    return min(1 << (job.record.errors - 2), 60) * SECOND_US


class Plan:
    """Room and limits that are left while jobs are given places, in the queue's order."""

    def __init__(
        self, picture: Picture, teams: dict[str, Team], knobs: Knobs, rng: random.Random, most_open: int
    ) -> None:
        self.picture = picture
        self.teams = teams
        self.knobs = knobs
        self.rng = rng
        self.most_open = most_open
        """How many tasks of an array may hold room at once.

        Tasks are placed lowest first, so the runs of finished tasks in the job's record are no more than those
        that are open: this keeps the record of 100,000 tasks within the state service's limit for a value.
        """
        self.rooms: list[Room] = []
        for machine in picture.machines.values():
            kind = picture.types.get(machine.type)
            if kind is not None and not machine.record.retiring:
                self.rooms.append(
                    Room(
                        machine, kind, kind.cpus - machine.cpus, kind.gpus - machine.gpus,
                        kind.memory_gb - machine.memory_gb,
                    )  # fmt: skip
                )
        self.usage = {name: picture.team_usage(name) for name in teams}
        self.scarcity = self._scarcity()

    def _scarcity(self) -> tuple[float, float, float]:
        """The share of each resource that is in use: what is scarce weighs more."""
        whole = [0.0, 0.0, 0.0]
        free = [0.0, 0.0, 0.0]
        for room in self.rooms:
            for n, (size, left) in enumerate(
                ((room.type.cpus, room.cpus), (room.type.gpus, room.gpus), (room.type.memory_gb, room.memory_gb))
            ):
                whole[n] += size
                free[n] += left
        c, g, m = (
            weight * (1.1 - f / w if w else 1.0)
            for weight, f, w in zip(self.knobs.weights, free, whole, strict=True)
        )  # fmt: skip
        return c, g, m

    def wanted(self, job: Job, wall_us: int) -> list[int]:
        """The tasks that are to be given a place now, lowest first."""
        spec = job.spec
        if job.record.errors and wall_us - job.record.error_us < back_off_us(job):
            return []
        placed = self.picture.placed(job.id)
        if spec.kind == "gang":
            if placed:
                return []
            return list(range(spec.tasks))
        free = (n for n in range(spec.tasks) if n not in placed and n not in job.finished)
        left = list(islice(free, max(self.most_open - len(placed), 0)))
        team = self.teams.get(spec.team)
        if team is not None:
            left = left[: tasks_within(team, *self.usage[team.name], spec)]
        return left

    def ask(self, job: Job) -> Ask:
        spec = job.spec
        ask = Ask(spec, scarcity=self.scarcity)
        holds = self.picture.held.get(job.id, {})
        if spec.spread:
            ask.spread_most = (spec.tasks + 1) // 2
            ask.zone_room = {}
        for (name, _), hold in holds.items():
            zone = self.picture.machines[name].zone
            if spec.same_zone:
                ask.zone = zone
            if ask.zone_room is not None:
                ask.zone_room[zone] = ask.zone_room.get(zone, ask.spread_most) - len(hold.tasks)
        return ask

    def zones(self) -> list[str]:
        return sorted({room.machine.zone for room in self.rooms})

    def place(
        self, job: Job, count: int, max_groups: int, widen: float, image_within_s: float | None = None
    ) -> list[Choice]:
        """Choose room for tasks of a job and take it; for a gang all of it or none."""
        spec = job.spec
        if spec.kind == "gang" and not self._team_allows(job, count):
            return []
        ask = self.ask(job)
        ask.image_within_s = image_within_s
        if spec.same_zone and ask.zone is None and len(self.zones()) > 1:
            best: list[Choice] = []
            for zone in self.zones():
                ask.zone = zone
                choices = self._choose(ask, count, max_groups, widen)
                if sum(n for _, n in choices) > sum(n for _, n in best):
                    best = choices
            choices = best
        else:
            choices = self._choose(ask, count, max_groups, widen)
        if spec.kind == "gang" and sum(n for _, n in choices) < count:
            return []
        self.take(job, choices)
        return choices

    def _team_allows(self, job: Job, count: int) -> bool:
        team = self.teams.get(job.spec.team)
        return team is None or tasks_within(team, *self.usage[team.name], job.spec) >= count

    def keep_soon(self, job: Job, count: int, image_within_s: float | None = None) -> bool:
        """Keep the room that stopping tasks will leave for a job that fits then; says whether it does.

        Without this, jobs further back would take such room piece by piece, and a gang would wait for ever.
        """
        if not self._team_allows(job, count):
            return False
        soon: dict[int, Room] = {}
        rooms = []
        for room in self.rooms:
            c, g, m = self._stopping(room)
            later = Room(room.machine, room.type, room.cpus + c, room.gpus + g, room.memory_gb + m)
            soon[id(later)] = room
            rooms.append(later)
        ask = self.ask(job)
        ask.image_within_s = image_within_s
        choices = self._choose(ask, count, 10_000, 0.0, rooms)
        if sum(n for _, n in choices) < count:
            return False
        self.take(job, [(soon[id(room)], n) for room, n in choices])
        return True

    def _stopping(self, room: Room) -> tuple[float, float, float]:
        """The room of tasks that are about to leave a machine."""
        cpus = gpus = memory = 0.0
        for hold in room.machine.holds:
            job = self.picture.jobs.get(hold.job)
            if hold.record.stop_us >= 0 or job is None or hold.attempt <= job.record.broken:
                n = len(hold.tasks)
                cpus += n * hold.record.cpus
                gpus += n * hold.record.gpus
                memory += n * hold.record.memory_gb
        return cpus, gpus, memory

    def _choose(
        self, ask: Ask, count: int, max_groups: int, widen: float, among: list[Room] | None = None
    ) -> list[Choice]:
        """The best machines, or, seldom, a random one of the best few, until all tasks have room.

        A job's own tasks do not change how the machines that are left rank, so they are ranked once.
        """
        spec = ask.spec
        zone_room = dict(ask.zone_room) if ask.zone_room is not None else None
        trial = replace(ask, zone_room=zone_room)
        rooms = rank([room for room in (among or self.rooms) if room.fits(spec) > 0], trial, self.knobs, self.rng)
        groups: set[str] = set()
        choices: list[Choice] = []
        while count > 0 and rooms:
            pick = 0
            if widen > 0 and self.rng.random() < widen:
                pick = self.rng.randrange(min(self.knobs.top, len(rooms)))
            room = rooms.pop(pick)
            zone = room.machine.zone
            n = min(count, room.fits(spec), trial.zone_allows(zone))
            if n <= 0 or trial.zone not in (None, zone):
                continue
            if room.machine.group not in groups and len(groups) >= max_groups:
                continue
            choices.append((room, n))
            count -= n
            groups.add(room.machine.group)
            if spec.same_zone:
                trial.zone = zone
            if trial.zone_room is not None:
                trial.zone_room[zone] = trial.zone_allows(zone) - n
        return choices

    def take(self, job: Job, choices: Iterable[Choice]) -> None:
        for room, n in choices:
            room.take(job.spec, n)
        self.count(job, sum(n for _, n in choices))

    def count(self, job: Job, total: int) -> None:
        """Count tasks of a job against its team's limit."""
        if job.spec.team in self.usage:
            cpus, gpus = self.usage[job.spec.team]
            self.usage[job.spec.team] = (cpus + total * job.spec.cpus, gpus + total * job.spec.gpus)
