"""Preemption: which tasks are stopped to make room, as far as the protocol allows it."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from ashtray.config.settings import Team
from ashtray.jobs.model import Job
from ashtray.placement.picture import EPS, Edit, Hold, Picture
from ashtray.placement.plan import Plan
from ashtray.placement.rules import VALIDATORS, Room
from ashtray.runs import encode_runs
from ashtray.store.client import Limits, Txn

Victims = dict[str, dict[tuple[str, int], set[int]]]
"""For each machine the tasks to stop, by job and attempt."""


def may_stop(picture: Picture, teams: dict[str, Team], inside: set[str], job: Job) -> Callable[[Hold], bool]:
    """Whether a hold's tasks may be stopped for a job.

    Lower priority may be; so may work of another team beyond its guarantee, for a job within its own.
    Gangs are left alone: stopping one task would lose them all.
    """
    beyond: set[str] = set()
    if job.id in inside:
        for team in teams.values():
            cpus, gpus = picture.team_usage(team.name)
            if team.name != job.spec.team and (cpus > team.cpus + EPS or gpus > team.gpus + EPS):
                beyond.add(team.name)

    def allowed(hold: Hold) -> bool:
        victim = picture.jobs.get(hold.job)
        if victim is None or hold.record.stop_us >= 0 or victim.spec.kind == "gang" or victim.id == job.id:
            return False
        if victim.priority > job.priority:
            return True
        return victim.spec.team in beyond and victim.id not in inside

    return allowed


def choose_victims(
    plan: Plan, job: Job, count: int, allowed: Callable[[Hold], bool], wall_us: int, image_within_s: float | None
) -> Victims:
    """The tasks whose end costs least and makes room for all of a job's tasks; empty if none will do."""
    spec = job.spec
    ask = plan.ask(job)
    ask.image_within_s = image_within_s
    checks = [rule for rule in VALIDATORS if rule.name != "room"]
    offers: list[tuple[float, Room, list[tuple[Hold, int]]]] = []
    loose = plan.loose()
    for room in plan.rooms:
        holds = loose.get(room.machine.name, ())
        # Most machines of a full fleet have neither room nor anything that may be stopped.
        fits = room.fits(spec) > 0
        stoppable = [hold for hold in holds if allowed(hold)]
        if not (fits or stoppable) or not all(rule.holds(room, ask) for rule in checks):
            continue
        candidates = [
            (wall_us - hold.record.placed_us, hold, task) for hold in stoppable for task in hold.tasks
        ]  # fmt: skip
        candidates.sort(key=lambda c: (c[0], c[1].job, c[2]))
        free = Room(room.machine, room.type, room.cpus, room.gpus, room.memory_gb)
        taken = 0
        lost = 0.0
        stopped: list[tuple[Hold, int]] = []
        while taken < count:
            if free.fits(spec) > 0:
                free.take(spec, 1)
                taken += 1
                offers.append((lost, room, stopped))
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
    # On one machine a later offer needs the earlier ones: the sort is stable and costs only rise there mostly.
    offers.sort(key=lambda offer: offer[0])
    if len(offers) < count or (spec.same_zone and len({o[1].machine.zone for o in offers[:count]}) > 1):
        return {}
    victims: Victims = {}
    for _, room, stopped in offers[:count]:
        for hold, task in stopped:
            tasks = victims.setdefault(room.machine.name, {}).setdefault((hold.job, hold.attempt), set())
            tasks.add(task)
    return victims


def orderly(job: Job, hold: Hold) -> bool:
    """Whether a hold is part of a gang that could save if all of it were told to stop."""
    spec = job.spec
    going = hold.record.stop_us < 0 and hold.attempt > job.record.broken and not job.portion
    return spec.kind == "gang" and spec.checkpoint_us > 0 and going


def stop_victims(picture: Picture, victims: Victims, limits: Limits, whole: bool = False) -> Txn | None:
    """The transaction that marks the victims to be stopped; all of them or none, if so asked."""
    edits: dict[str, Edit] = {}
    txn = Txn()
    size = 0
    for name, tasks in victims.items():
        machine = picture.machines.get(name)
        if machine is None:
            return None
        group = picture.groups[machine.group]
        if group.key not in edits:
            size += group.size
            if edits and (len(edits) >= limits.ops or size > limits.txn_bytes):
                if whole:
                    return None
                break
            edits[group.key] = Edit(group)
        record = edits[group.key].machine(name)
        kept = []
        for hold, known in zip(record.holds, machine.holds, strict=True):
            stop = known.tasks & tasks.get((hold.job, hold.attempt), set())
            job = picture.jobs.get(hold.job)
            if not stop or hold.stop_us >= 0 or job is None:
                kept.append(hold)
                continue
            if known.tasks - stop:
                kept.append(msgspec.structs.replace(hold, tasks=encode_runs(known.tasks - stop)))
            grace_us = job.spec.save_us if job.spec.checkpoint_us else 0
            kept.append(msgspec.structs.replace(hold, tasks=encode_runs(stop), stop_us=grace_us))
        record.holds = kept
    for edit in edits.values():
        if not edit.write(txn, limits, picture.is_live) and whole:
            return None
    return txn if txn.changes() else None
