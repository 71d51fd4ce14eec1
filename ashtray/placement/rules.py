"""The ordered rules of placement: validators drop machines, preferences rank the others.  Lower scores are better."""

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
    """A machine with the room that remains on it in the plan being made."""

    machine: Machine
    type: MachineType
    cpus: float
    gpus: float
    memory_gb: float
    blame: int = 0
    """How much speaks for a fault of the machine: see `machine_health.machine_blame`."""

    def fits(self, spec: JobSpec) -> int:
        """Return how many tasks of a job fit, at most as many as it has."""
        # Asked for each machine and job: plain comparisons take half the time that `min` takes.
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
        """Take the room for so many tasks of a job."""
        self.cpus -= count * spec.cpus
        self.gpus -= count * spec.gpus
        self.memory_gb -= count * spec.memory_gb


@dataclass(slots=True)
class Ask:
    """One job's request for machines, with what its other tasks already settle."""

    spec: JobSpec
    zone: str | None = None
    """The zone that its tasks must share, when one of them has a place."""
    zone_room: dict[str, int] | None = None
    """With `spread`: how many more of its tasks each zone may take; others take `spread_most`."""
    spread_most: int = 0
    image_within_s: float | None = None
    """Only machines that have the image, or fetch it within this time, will do."""
    scarcity: tuple[float, float, float] = (1.0, 1.0, 1.0)
    """How scarce CPUs, GPUs and memory are, as weights."""
    spare_gpus: bool = False
    """Whether tasks that are as urgent wait for GPUs."""
    failed_on: frozenset[str] = frozenset()
    """Machines on which the job has failed."""
    priority: int = 2
    """0 is the most urgent."""
    hold_bytes: int = 0
    """What an allocation for it takes of a record."""
    sparing: bool = False
    """Whether changes of the state service are scarce."""
    due: set[str] = field(default_factory=set)
    """Groups whose records will be written anyway."""
    few: dict[str, int] = field(default_factory=dict)
    """For each group how many records would have to be written more if all were like it: 0 for those that are due."""

    def zone_allows(self, zone: str) -> int:
        """Return how many more of the job's tasks a zone may take."""
        if self.zone_room is None:
            return self.spec.tasks
        return self.zone_room.get(zone, self.spread_most)


@dataclass(frozen=True, slots=True)
class Validator:
    """A rule that says whether a machine will do at all."""

    name: str
    reason: str
    """Why a machine will not do, for `explain`."""
    holds: Callable[[Room, Ask], bool]


@dataclass(frozen=True, slots=True)
class Preference:
    """A rule that scores machines; the lower the better."""

    name: str
    """By which the operators' file orders the rules."""
    reason: str
    """Why a machine has a score above 0, for `explain`."""
    score: Callable[[Room, Ask, OperatorSettings], float]


def fetch_s(room: Room, ask: Ask) -> float:
    """Return how many seconds the machine would take to fetch the job's image."""
    if ask.spec.image in room.machine.images:
        return 0.0
    return ask.spec.image_gb / max(room.type.fetch_gb_per_s, 0.001)


def _image_in_time(room: Room, ask: Ask) -> bool:
    return ask.image_within_s is None or fetch_s(room, ask) <= ask.image_within_s


def _leaves_gpus_usable(room: Room, ask: Ask) -> bool:
    """While tasks wait for GPUs, others leave each free GPU its part of the machine's CPUs."""
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


def _trust(room: Room, ask: Ask, knobs: OperatorSettings) -> float:
    return min(room.blame, 3) + (2 if room.machine.name in ask.failed_on else 0)


def _image(room: Room, ask: Ask, knobs: OperatorSettings) -> float:
    seconds = fetch_s(room, ask)
    # A fetch can eat an urgent job's whole wait; to the others it matters only when it is long.
    return math.ceil(min(seconds / (3.0 if ask.priority <= 1 else 20.0), 6.0))


def _scarce(room: Room, ask: Ask, knobs: OperatorSettings) -> float:
    return 1 if room.type.gpus > 0 and ask.spec.gpus == 0 else 0


def _spot(room: Room, ask: Ask, knobs: OperatorSettings) -> float:
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


def _packing(room: Room, ask: Ask, knobs: OperatorSettings) -> float:
    return math.ceil(packing_score(room, ask) * knobs.buckets)


FEW_GROUPS = "few-groups"
"""The preference for groups that can take many of the tasks, so that few records are written."""


def _few_groups(room: Room, ask: Ask, knobs: OperatorSettings) -> float:
    return ask.few.get(room.machine.group, 0)


def _changes(room: Room, ask: Ask, knobs: OperatorSettings) -> float:
    # While changes are scarce, room in few records is worth more than a cached image; not to what is urgent.
    return ask.few.get(room.machine.group, 0) if ask.sparing and ask.priority > 1 else 0


PREFERENCES = {
    rule.name: rule
    for rule in (
        Preference("trust", "tasks failed there lately", _trust),
        Preference("changes", "more records would have to be written, and changes are scarce", _changes),
        Preference("image", "it would have to fetch the image", _image),
        Preference("scarce", "its GPUs are kept for jobs that need them", _scarce),
        Preference("spot", "cheap machines are for the jobs that may use them", _spot),
        Preference(FEW_GROUPS, "more records would have to be written", _few_groups),
        Preference("packing", "it would leave more room unused", _packing),
    )
}


def valid(room: Room, ask: Ask) -> bool:
    """Return whether all validators hold for a machine."""
    return all(rule.holds(room, ask) for rule in VALIDATORS)


class _EqualRooms:
    """Machines of one ranking that no rule tells apart, but for the group that each is in."""

    __slots__ = ("example", "fits", "peers")

    def __init__(self, example: Room, ask: Ask) -> None:
        self.example = example
        self.fits = example.fits(ask.spec) if valid(example, ask) else 0
        """How many tasks each takes; 0: none of them will do."""
        self.peers: dict[int, list[tuple[float, Room]]] = {}
        """By how many records would have to be written more, the list of all machines of the same score."""


def rank(rooms: list[Room], ask: Ask, count: int, knobs: OperatorSettings, rng: random.Random) -> list[Room]:
    """Return the machines that will do, the best first; among equals the order is random.

    `count` is how many tasks are to be placed.  `ask.few` is filled in.  Equal machines are judged once.  After each
    machine come first those of its group that no rule up to `few-groups` tells from it: a commit costs a change for
    each group.
    """
    judged, fits = _judge(rooms, ask)
    few = ask.few = {group: 0 if group in ask.due else -(-count // min(fit, count)) for group, fit in fits.items()}
    rules = [PREFERENCES[name] for name in knobs.rules]
    by_score: dict[tuple[float, ...], list[tuple[float, Room]]] = {}
    for room, kind in judged:
        number = few[room.machine.group]
        peers = kind.peers.get(number)
        if peers is None:
            score = tuple(rule.score(room, ask, knobs) for rule in rules)
            peers = kind.peers[number] = by_score.setdefault(score, [])
        peers.append((rng.random(), room))
    upto = knobs.rules.index(FEW_GROUPS) + 1 if FEW_GROUPS in knobs.rules else 0
    return _in_order(by_score, upto)


def _judge(rooms: list[Room], ask: Ask) -> tuple[list[tuple[Room, _EqualRooms]], dict[str, int]]:
    """Return the machines that will do, each with its equals, and how many tasks fit into each group."""
    kinds: dict[Any, _EqualRooms] = {}
    image, failed_on = ask.spec.image, ask.failed_on
    fits: dict[str, int] = {}
    judged: list[tuple[Room, _EqualRooms]] = []
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
        kind = kinds.get(key)
        if kind is None:
            kind = kinds[key] = _EqualRooms(room, ask)
        if kind.fits:
            judged.append((room, kind))
            fits[machine.group] = fits.get(machine.group, 0) + kind.fits
    return judged, fits


def _in_order(by_score: dict[tuple[float, ...], list[tuple[float, Room]]], upto: int) -> list[Room]:
    """Return the machines by score, and among equals by their random numbers.

    With `upto`, those that have the first `upto` scores in common come group by group.
    """
    ranked: list[Room] = []
    # Scores that are alike up to `few-groups` follow one another.
    for _, scores in groupby(sorted(by_score), key=lambda score: score[:upto] if upto else score):
        entries = [entry for score in scores for entry in sorted(by_score[score], key=_chance)]
        if upto:
            # The first of each group stands where it was ranked: a dict keeps its order.
            by_group: dict[str, list[Room]] = {}
            for _, room in entries:
                by_group.setdefault(room.machine.group, []).append(room)
            ranked += chain.from_iterable(by_group.values())
        else:
            ranked += [room for _, room in entries]
    return ranked


def _chance(entry: tuple[float, Room]) -> float:
    return entry[0]
