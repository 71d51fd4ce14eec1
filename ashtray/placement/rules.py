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
class MachineCapacity:
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
class PlacementRequest:
    """A job's request for machines, with the constraints that its already placed tasks impose."""

    spec: JobSpec
    zone: str | None = None
    """The zone that its tasks must share, once one of them is placed."""
    zone_limits: dict[str, int] | None = None
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
        if self.zone_limits is None:
            return self.spec.tasks
        return self.zone_limits.get(zone, self.spread_most)


@dataclass(frozen=True, slots=True)
class Validator:
    """A rule that decides whether a machine may be used at all."""

    name: str
    reason: str
    """Why a machine is excluded, for `explain`."""
    allows: Callable[[MachineCapacity, PlacementRequest], bool]


@dataclass(frozen=True, slots=True)
class Preference:
    """A rule that scores machines; lower scores are better."""

    name: str
    """The name by which the operators' file orders the rules."""
    reason: str
    """Why a machine has a score above 0, for `explain`."""
    score: Callable[[MachineCapacity, PlacementRequest, OperatorSettings], float]


def fetch_s(capacity: MachineCapacity, request: PlacementRequest) -> float:
    """Return how many seconds the machine takes to fetch the job's image; 0 if it has the image."""
    if request.spec.image in capacity.machine.images:
        return 0.0
    return request.spec.image_gb / max(capacity.type.fetch_gb_per_s, 0.001)


def _image_in_time(capacity: MachineCapacity, request: PlacementRequest) -> bool:
    return request.image_within_s is None or fetch_s(capacity, request) <= request.image_within_s


def _leaves_gpus_usable(capacity: MachineCapacity, request: PlacementRequest) -> bool:
    """While tasks wait for GPUs, other tasks must leave each free GPU its part of the machine's CPUs."""
    if not request.spare_gpus or request.spec.gpus > 0 or capacity.type.gpus <= 0:
        return True
    return (
        capacity.cpus - request.spec.cpus + AMOUNT_TOLERANCE
        >= capacity.gpus * capacity.type.cpus / capacity.type.gpus
    )


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


def _trust(capacity: MachineCapacity, request: PlacementRequest, operator_settings: OperatorSettings) -> float:
    return min(capacity.blame, 3) + (2 if capacity.machine.name in request.failed_on else 0)


def _image(capacity: MachineCapacity, request: PlacementRequest, operator_settings: OperatorSettings) -> float:
    seconds = fetch_s(capacity, request)
    # A fetch can use up all the time that an urgent job may wait; for other jobs, only a long one matters.
    return math.ceil(min(seconds / (3.0 if request.priority <= 1 else 20.0), 6.0))


def _spare_gpu_machines(
    capacity: MachineCapacity, request: PlacementRequest, operator_settings: OperatorSettings
) -> float:
    return 1 if capacity.type.gpus > 0 and request.spec.gpus == 0 else 0


def _spot(capacity: MachineCapacity, request: PlacementRequest, operator_settings: OperatorSettings) -> float:
    return 0 if capacity.machine.record.spot == request.spec.spot else 1


def packing_score(capacity: MachineCapacity, request: PlacementRequest) -> float:
    """Return what one task would leave free, weighted by scarcity and scaled to 0..1 by the size of the machine."""
    remaining = whole = 0.0
    for weight, free, need, size in (
        (request.scarcity[0], capacity.cpus, request.spec.cpus, capacity.type.cpus),
        (request.scarcity[1], capacity.gpus, request.spec.gpus, capacity.type.gpus),
        (request.scarcity[2], capacity.memory_gb, request.spec.memory_gb, capacity.type.memory_gb),
    ):
        if size > 0:
            remaining += weight * max(free - need, 0.0) / size
            whole += weight
    return remaining / whole if whole else 0.0


def _packing(capacity: MachineCapacity, request: PlacementRequest, operator_settings: OperatorSettings) -> float:
    return math.ceil(packing_score(capacity, request) * operator_settings.buckets)


FEW_GROUPS = "few-groups"
"""The preference for groups that can take many of the tasks, so that few records are written."""


def _few_groups(capacity: MachineCapacity, request: PlacementRequest, operator_settings: OperatorSettings) -> float:
    return request.extra_writes.get(capacity.machine.group, 0)


def _scarce_writes(
    capacity: MachineCapacity, request: PlacementRequest, operator_settings: OperatorSettings
) -> float:
    # While writes are scarce, writing few records is worth more than a cached image, except for urgent jobs.
    return (
        request.extra_writes.get(capacity.machine.group, 0) if request.writes_scarce and request.priority > 1 else 0
    )


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


def valid(capacity: MachineCapacity, request: PlacementRequest) -> bool:
    """Return whether all validators allow a machine."""
    return all(rule.allows(capacity, request) for rule in VALIDATORS)


class _EqualCapacities:
    """Machines of one ranking that differ, as far as the rules see, only in their groups."""

    __slots__ = ("example", "fits", "by_extra_writes")

    def __init__(self, example: MachineCapacity, request: PlacementRequest) -> None:
        self.example = example
        self.fits = example.fits(request.spec) if valid(example, request) else 0
        """How many tasks each of them takes; 0 if they may not be used."""
        self.by_extra_writes: dict[int, list[tuple[float, MachineCapacity]]] = {}
        """By the number of additional records to write: the list of all machines with the same score, these
        included."""


def rank(
    capacities: list[MachineCapacity],
    request: PlacementRequest,
    count: int,
    operator_settings: OperatorSettings,
    rng: random.Random,
) -> list[MachineCapacity]:
    """Return the machines that may be used, the best first; among equals the order is random.

    `count` is the number of tasks to place.  `request.extra_writes` is filled in.  Equal machines are evaluated only
    once.  Each machine is followed by those of its group that the rules up to `few-groups` rate equally, because a
    commit costs one write for each group.
    """
    valid_capacities, fits = _evaluate(capacities, request)
    extra_writes = request.extra_writes = {
        group: 0 if group in request.due_groups else -(-count // min(fit, count)) for group, fit in fits.items()
    }
    rules = [PREFERENCES[name] for name in operator_settings.rules]
    by_score: dict[tuple[float, ...], list[tuple[float, MachineCapacity]]] = {}
    for capacity, equals in valid_capacities:
        number = extra_writes[capacity.machine.group]
        same_score = equals.by_extra_writes.get(number)
        if same_score is None:
            score = tuple(rule.score(capacity, request, operator_settings) for rule in rules)
            same_score = equals.by_extra_writes[number] = by_score.setdefault(score, [])
        same_score.append((rng.random(), capacity))
    prefix = operator_settings.rules.index(FEW_GROUPS) + 1 if FEW_GROUPS in operator_settings.rules else 0
    return _in_order(by_score, prefix)


def _evaluate(
    capacities: list[MachineCapacity], request: PlacementRequest
) -> tuple[list[tuple[MachineCapacity, _EqualCapacities]], dict[str, int]]:
    """Return the machines that may be used, each with its equals, and how many tasks fit into each group."""
    by_key: dict[Any, _EqualCapacities] = {}
    image, failed_on = request.spec.image, request.failed_on
    fits: dict[str, int] = {}
    valid_capacities: list[tuple[MachineCapacity, _EqualCapacities]] = []
    for capacity in capacities:
        machine = capacity.machine
        key = (
            machine.sort,
            capacity.blame,
            machine.name in failed_on,
            image in machine.images,
            capacity.cpus,
            capacity.gpus,
            capacity.memory_gb,
        )
        equals = by_key.get(key)
        if equals is None:
            equals = by_key[key] = _EqualCapacities(capacity, request)
        if equals.fits:
            valid_capacities.append((capacity, equals))
            fits[machine.group] = fits.get(machine.group, 0) + equals.fits
    return valid_capacities, fits


def _in_order(
    by_score: dict[tuple[float, ...], list[tuple[float, MachineCapacity]]], prefix: int
) -> list[MachineCapacity]:
    """Return the machines by score, and among equals by their random numbers.

    With `prefix` above 0, machines whose first `prefix` scores are equal are ordered group by group.
    """
    ranked: list[MachineCapacity] = []
    # Sorting puts scores with the same prefix next to each other.
    for _, scores in groupby(sorted(by_score), key=lambda score: score[:prefix] if prefix else score):
        entries = [entry for score in scores for entry in sorted(by_score[score], key=_random_number)]
        if prefix:
            # Groups are ordered by their first machine, because a dict keeps its order.
            by_group: dict[str, list[MachineCapacity]] = {}
            for _, capacity in entries:
                by_group.setdefault(capacity.machine.group, []).append(capacity)
            ranked += chain.from_iterable(by_group.values())
        else:
            ranked += [capacity for _, capacity in entries]
    return ranked


def _random_number(entry: tuple[float, MachineCapacity]) -> float:
    return entry[0]
