"""The placement rules: validators exclude machines, preferences rank the others.  Lower scores are better."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import chain, groupby
from typing import Any

from ashtray.config.operators import OperatorSettings
from ashtray.jobs.model import JobSpec
from ashtray.placement.machine_groups import Machine
from ashtray.placement.records import AMOUNT_TOLERANCE, MachineType


@dataclass(slots=True)
class Room:
    """A machine with the capacity that is still free on it in the current plan."""

    machine: Machine
    type: MachineType
    cpus: float
    gpus: float
    memory_gb: float
    blame: int = 0
    """The strength of the evidence for a fault of the machine: see `machine_health.machine_blame`."""

    def fits(self, spec: JobSpec) -> int:
        """Return how many tasks of a job fit, at most the job's number of tasks."""
        # Called for each machine and job: plain comparisons take half the time that `min` takes.
        most: float = spec.tasks
        if spec.cpus > 0:
            number = (self.cpus + AMOUNT_TOLERANCE) // spec.cpus
            if number < most:
                most = number
        if spec.gpus > 0:
            number = (self.gpus + AMOUNT_TOLERANCE) // spec.gpus
            if number < most:
                most = number
        if spec.memory_gb > 0:
            number = (self.memory_gb + AMOUNT_TOLERANCE) // spec.memory_gb
            if number < most:
                most = number
        return int(most)

    def take(self, spec: JobSpec, count: int) -> None:
        """Subtract the resources of `count` tasks of a job from the free capacity."""
        self.cpus -= count * spec.cpus
        self.gpus -= count * spec.gpus
        self.memory_gb -= count * spec.memory_gb


@dataclass(slots=True)
class Ask:
    """A job's request for machines, with the constraints that its already placed tasks impose."""

    spec: JobSpec
    zone: str | None = None
    """The zone that its tasks must share, once one of them is placed."""
    zone_room: dict[str, int] | None = None
    """With `spread`: how many more of its tasks each zone may take; `spread_most` for zones not in it."""
    spread_most: int = 0
    image_within_s: float | None = None
    """If given, only machines that have the image, or fetch it within this many seconds, are allowed."""
    scarcity: tuple[float, float, float] = (1.0, 1.0, 1.0)
    """The scarcity of CPUs, GPUs and memory, as weights."""
    spare_gpus: bool = False
    """Whether CPUs must be left for free GPUs, because tasks at least as urgent wait for GPUs."""
    failed_on: frozenset[str] = frozenset()
    """Machines on which the job has failed."""
    priority: int = 2
    """0 is the most urgent."""
    allocation_bytes: int = 0
    """Estimated bytes that an allocation of this job takes in a group record."""
    writes_scarce: bool = False
    """Whether writes to the state service are scarce."""
    due_groups: set[str] = field(default_factory=set)
    """Groups whose records are written anyway."""
    extra_writes: dict[str, int] = field(default_factory=dict)
    """By group, how many records would have to be written if all groups were like it; 0 for `due_groups`."""

    def zone_allows(self, zone: str) -> int:
        """Return how many more of the job's tasks a zone may take."""
        if self.zone_room is None:
            return self.spec.tasks
        return self.zone_room.get(zone, self.spread_most)


@dataclass(frozen=True, slots=True)
class Validator:
    """A rule that decides whether a machine may be used at all."""

    name: str
    reason: str
    """Why a machine is excluded, for `explain`."""
    allows: Callable[[Room, Ask], bool]


@dataclass(frozen=True, slots=True)
class Preference:
    """A rule that scores machines; lower scores are better."""

    name: str
    """The name by which the operators' file orders the rules."""
    reason: str
    """Why a machine has a score above 0, for `explain`."""
    score: Callable[[Room, Ask, OperatorSettings], float]


def fetch_s(room: Room, ask: Ask) -> float:
    """Return how many seconds the machine takes to fetch the job's image; 0 if it has the image."""
    if ask.spec.image in room.machine.images:
        return 0.0
    return ask.spec.image_gb / max(room.type.fetch_gb_per_s, 0.001)


def _image_in_time(room: Room, ask: Ask) -> bool:
    return ask.image_within_s is None or fetch_s(room, ask) <= ask.image_within_s


def _leaves_gpus_usable(room: Room, ask: Ask) -> bool:
    """While tasks wait for GPUs, other tasks must leave each free GPU its part of the machine's CPUs."""
    if not ask.spare_gpus or ask.spec.gpus > 0 or room.type.gpus <= 0:
        return True
    return room.cpus - ask.spec.cpus + AMOUNT_TOLERANCE >= room.gpus * room.type.cpus / room.type.gpus


VALIDATORS = [
    Validator("staying", "the machine is being returned", lambda r, a: not r.machine.record.retiring),
    Validator("type", "its type is not allowed", lambda r, a: not a.spec.types or r.type.name in a.spec.types),
    Validator("zone", "its zone is not allowed", lambda r, a: a.spec.zone in (None, r.machine.zone)),
    Validator("kind", "the job may not use spot machines", lambda r, a: a.spec.spot or not r.machine.record.spot),
    Validator("same-zone", "other tasks are in another zone", lambda r, a: a.zone in (None, r.machine.zone)),
    Validator("spread", "half of the tasks are there", lambda r, a: a.zone_allows(r.machine.zone) > 0),
    Validator("gpu-share", "its CPUs are kept for jobs that need its GPUs", _leaves_gpus_usable),
    Validator("image-in-time", "its image would come too late", _image_in_time),
    Validator("room", "too little room", lambda r, a: r.fits(a.spec) > 0),
]


def _trust(room: Room, ask: Ask, operator_settings: OperatorSettings) -> float:
    return min(room.blame, 3) + (2 if room.machine.name in ask.failed_on else 0)


def _image(room: Room, ask: Ask, operator_settings: OperatorSettings) -> float:
    seconds = fetch_s(room, ask)
    # A fetch can use up all the time that an urgent job may wait; for other jobs, only a long one matters.
    return math.ceil(min(seconds / (3.0 if ask.priority <= 1 else 20.0), 6.0))


def _spare_gpu_machines(room: Room, ask: Ask, operator_settings: OperatorSettings) -> float:
    return 1 if room.type.gpus > 0 and ask.spec.gpus == 0 else 0


def _spot(room: Room, ask: Ask, operator_settings: OperatorSettings) -> float:
    return 0 if room.machine.record.spot == ask.spec.spot else 1


def packing_score(room: Room, ask: Ask) -> float:
    """Return what one task would leave free, weighted by scarcity and scaled to 0..1 by the size of the machine."""
    remaining = whole = 0.0
    for weight, free, need, size in (
        (ask.scarcity[0], room.cpus, ask.spec.cpus, room.type.cpus),
        (ask.scarcity[1], room.gpus, ask.spec.gpus, room.type.gpus),
        (ask.scarcity[2], room.memory_gb, ask.spec.memory_gb, room.type.memory_gb),
    ):
        if size > 0:
            remaining += weight * max(free - need, 0.0) / size
            whole += weight
    return remaining / whole if whole else 0.0


def _packing(room: Room, ask: Ask, operator_settings: OperatorSettings) -> float:
    return math.ceil(packing_score(room, ask) * operator_settings.buckets)


FEW_GROUPS = "few-groups"
"""The preference for groups that can take many of the tasks, so that few records are written."""


def _few_groups(room: Room, ask: Ask, operator_settings: OperatorSettings) -> float:
    return ask.extra_writes.get(room.machine.group, 0)


def _scarce_writes(room: Room, ask: Ask, operator_settings: OperatorSettings) -> float:
    # While writes are scarce, writing few records is worth more than a cached image, except for urgent jobs.
    return ask.extra_writes.get(room.machine.group, 0) if ask.writes_scarce and ask.priority > 1 else 0


PREFERENCES = {
    rule.name: rule
    for rule in (
        Preference("trust", "tasks failed there lately", _trust),
        Preference("changes", "more records would have to be written, and writes are scarce", _scarce_writes),
        Preference("image", "it would have to fetch the image", _image),
        Preference("scarce", "its GPUs are kept for jobs that need them", _spare_gpu_machines),
        Preference("spot", "cheap machines are for the jobs that may use them", _spot),
        Preference(FEW_GROUPS, "more records would have to be written", _few_groups),
        Preference("packing", "it would leave more room unused", _packing),
    )
}


def valid(room: Room, ask: Ask) -> bool:
    """Return whether all validators allow a machine."""
    return all(rule.allows(room, ask) for rule in VALIDATORS)


class _EqualRooms:
    """Machines of one ranking that differ, as far as the rules see, only in their groups."""

    __slots__ = ("example", "fits", "by_extra_writes")

    def __init__(self, example: Room, ask: Ask) -> None:
        self.example = example
        self.fits = example.fits(ask.spec) if valid(example, ask) else 0
        """How many tasks each of them takes; 0 if they may not be used."""
        self.by_extra_writes: dict[int, list[tuple[float, Room]]] = {}
        """By the number of additional records to write: the list of all machines with the same score, these
        included."""


def rank(
    rooms: list[Room], ask: Ask, count: int, operator_settings: OperatorSettings, rng: random.Random
) -> list[Room]:
    """Return the machines that may be used, the best first; among equals the order is random.

    `count` is the number of tasks to place.  `ask.extra_writes` is filled in.  Equal machines are evaluated only
    once.  Each machine is followed by those of its group that the rules up to `few-groups` rate equally, because a
    commit costs one write for each group.
    """
    valid_rooms, fits = _evaluate(rooms, ask)
    extra_writes = ask.extra_writes = {
        group: 0 if group in ask.due_groups else -(-count // min(fit, count)) for group, fit in fits.items()
    }
    rules = [PREFERENCES[name] for name in operator_settings.rules]
    by_score: dict[tuple[float, ...], list[tuple[float, Room]]] = {}
    for room, equals in valid_rooms:
        number = extra_writes[room.machine.group]
        same_score = equals.by_extra_writes.get(number)
        if same_score is None:
            score = tuple(rule.score(room, ask, operator_settings) for rule in rules)
            same_score = equals.by_extra_writes[number] = by_score.setdefault(score, [])
        same_score.append((rng.random(), room))
    prefix = operator_settings.rules.index(FEW_GROUPS) + 1 if FEW_GROUPS in operator_settings.rules else 0
    return _in_order(by_score, prefix)


def _evaluate(rooms: list[Room], ask: Ask) -> tuple[list[tuple[Room, _EqualRooms]], dict[str, int]]:
    """Return the machines that may be used, each with its equals, and how many tasks fit into each group."""
    by_key: dict[Any, _EqualRooms] = {}
    image, failed_on = ask.spec.image, ask.failed_on
    fits: dict[str, int] = {}
    valid_rooms: list[tuple[Room, _EqualRooms]] = []
    for room in rooms:
        machine = room.machine
        key = (
            machine.sort,
            room.blame,
            machine.name in failed_on,
            image in machine.images,
            room.cpus,
            room.gpus,
            room.memory_gb,
        )
        equals = by_key.get(key)
        if equals is None:
            equals = by_key[key] = _EqualRooms(room, ask)
        if equals.fits:
            valid_rooms.append((room, equals))
            fits[machine.group] = fits.get(machine.group, 0) + equals.fits
    return valid_rooms, fits


def _in_order(by_score: dict[tuple[float, ...], list[tuple[float, Room]]], prefix: int) -> list[Room]:
    """Return the machines by score, and among equals by their random numbers.

    With `prefix` above 0, machines whose first `prefix` scores are equal are ordered group by group.
    """
    ranked: list[Room] = []
    # Sorting puts scores with the same prefix next to each other.
    for _, scores in groupby(sorted(by_score), key=lambda score: score[:prefix] if prefix else score):
        entries = [entry for score in scores for entry in sorted(by_score[score], key=_random_number)]
        if prefix:
            # Groups are ordered by their first machine, because a dict keeps its order.
            by_group: dict[str, list[Room]] = {}
            for _, room in entries:
                by_group.setdefault(room.machine.group, []).append(room)
            ranked += chain.from_iterable(by_group.values())
        else:
            ranked += [room for _, room in entries]
    return ranked


def _random_number(entry: tuple[float, Room]) -> float:
    return entry[0]
