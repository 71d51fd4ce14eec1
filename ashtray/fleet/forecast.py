"""Forecasts when the present and pending machines would serve the queue, and what renting more would change."""

from __future__ import annotations

import heapq
from bisect import insort
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from ashtray.jobs.model import Job, JobSpec
from ashtray.kernel import SECOND_US
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.machine_groups import Allocation
from ashtray.placement.rules import MachineCapacity, PlacementRequest

NEVER_US = 1 << 62
"""The start time of a task that no machine of the forecast can run."""
MAX_STEPS = 4000
"""The most placements in one forecast; the rest of the queue waits for the next one."""
EPSILON = 1e-6
"""The tolerance for rounding errors when resources are compared."""
STOPPING_US = 2 * SECOND_US
"""How long tasks that are being stopped are expected to keep their resources."""


class Release(NamedTuple):
    """Resources that tasks free on a machine at a time of day.  Releases sort by time."""

    at_us: int
    cpus: float
    gpus: float
    memory_gb: float


class FutureMachine:
    """A machine with its free resources, the time from which they are free, and the releases after that."""

    __slots__ = ("capacity", "from_us", "releases", "used")

    def __init__(self, capacity: MachineCapacity, from_us: int, releases: list[Release]) -> None:
        self.capacity = capacity
        self.from_us = from_us
        """The time of day from which tasks can start on the machine."""
        self.releases = sorted(releases)
        self.used = False
        """Whether the forecast has placed waiting tasks on the machine."""

    def earliest_us(self, spec: JobSpec) -> int:
        """Return the time of day from which a task of the job fits, or `NEVER_US`."""
        if self.capacity.fits(spec):
            return self.from_us
        cpus, gpus, memory_gb = self.capacity.cpus, self.capacity.gpus, self.capacity.memory_gb
        for release in self.releases:
            cpus += release.cpus
            gpus += release.gpus
            memory_gb += release.memory_gb
            enough_memory = memory_gb + EPSILON >= spec.memory_gb
            if cpus + EPSILON >= spec.cpus and gpus + EPSILON >= spec.gpus and enough_memory:
                return max(release.at_us, self.from_us)
        return NEVER_US

    def take(self, spec: JobSpec, at_us: int, most: int, run_us: int) -> int:
        """Place up to `most` tasks at `at_us`, and return how many fit.  Later placements start no earlier."""
        self.from_us = max(self.from_us, at_us)
        while self.releases and self.releases[0].at_us <= at_us:
            release = self.releases.pop(0)
            self.capacity.cpus += release.cpus
            self.capacity.gpus += release.gpus
            self.capacity.memory_gb += release.memory_gb
        count = min(most, self.capacity.fits(spec))
        self.capacity.take(spec, count)
        if count:
            self.used = True
            freed = Release(at_us + run_us, count * spec.cpus, count * spec.gpus, count * spec.memory_gb)
            insort(self.releases, freed)
        return count


def allocation_ends_us(
    cluster_state: ClusterState, allocation: Allocation, wall_us: int, run_us: Callable[[Job], int]
) -> int:
    """Return when the tasks of an allocation are expected to end (time of day, us)."""
    job = cluster_state.jobs.get(allocation.job)
    if job is None or allocation.record.stop_us >= 0:
        return wall_us + STOPPING_US
    if job.spec.kind == "service":
        return NEVER_US
    end_us = allocation.record.placed_us + run_us(job)
    # A task that has overrun its estimate is expected to go on for a quarter of the time that it has run.
    return max(end_us, wall_us + (wall_us - allocation.record.placed_us) // 4 + SECOND_US)


def future_machines(
    cluster_state: ClusterState,
    capacities: Iterable[MachineCapacity],
    wall_us: int,
    ready_us: dict[str, int],
    run_us: Callable[[Job], int],
) -> list[FutureMachine]:
    """Return the machines of a forecast.  `ready_us`: when each pending machine is expected to be up."""
    found = []
    for capacity in capacities:
        releases = []
        for allocation in capacity.machine.holds:
            number = len(allocation.tasks)
            record = allocation.record
            at_us = allocation_ends_us(cluster_state, allocation, wall_us, run_us)
            releases.append(Release(at_us, number * record.cpus, number * record.gpus, number * record.memory_gb))
        found.append(FutureMachine(capacity, ready_us.get(capacity.machine.name, wall_us), releases))
    return found


class MachineFilter(NamedTuple):
    """The restrictions of a job that decide, beside the size of its tasks, which machines it may use."""

    job_class: str
    types: tuple[str, ...]
    zone: str | None
    spot: bool

    def allows(self, future: FutureMachine) -> bool:
        """Return whether a machine has an allowed type and zone, and is on demand if it must be."""
        machine = future.capacity.machine
        return (
            (not self.types or machine.type in self.types)
            and self.zone in (None, machine.zone)
            and (self.spot or not machine.record.spot)
        )


class HeapEntry(NamedTuple):
    """A machine by its index in the forecast, and when it has free resources.  Entries sort by time."""

    at_us: int
    machine_index: int


class Forecast:
    """Serves the queue in order on machines that are present, pending or called for.

    Jobs of one class that may use the same machines share a heap of these machines, by the earliest time at which a
    task fits.  Placements of other jobs can make an entry too early: it is corrected when it reaches the top.
    """

    def __init__(self, machines: list[FutureMachine]) -> None:
        self.machines = machines
        self.remaining_steps = MAX_STEPS
        """How many more placements this forecast may make."""
        self._heaps: dict[MachineFilter, list[HeapEntry]] = {}
        self._gang_entries: list[HeapEntry] = []

    def _heap(self, request: PlacementRequest) -> list[HeapEntry]:
        spec = request.spec
        machine_filter = MachineFilter(spec.job_class, tuple(spec.types or ()), request.zone or spec.zone, spec.spot)
        heap = self._heaps.get(machine_filter)
        if heap is None:
            heap = self._heaps[machine_filter] = list(self._entries(machine_filter, spec))
            heapq.heapify(heap)
        return heap

    def _entries(self, machine_filter: MachineFilter, spec: JobSpec) -> Iterator[HeapEntry]:
        for number, machine in enumerate(self.machines):
            fits = machine.capacity.type.fits(spec.cpus, spec.gpus, spec.memory_gb) > 0
            if not fits or not machine_filter.allows(machine):
                continue
            at_us = machine.earliest_us(spec)
            if at_us < NEVER_US:
                yield HeapEntry(at_us, number)

    def earliest(self, request: PlacementRequest) -> int:
        """Return the earliest time of day at which the next task of a job can start, or `NEVER_US`."""
        heap = self._heap(request)
        while heap:
            entry = heap[0]
            at_us = self.machines[entry.machine_index].earliest_us(request.spec)
            if at_us <= entry.at_us:
                return entry.at_us
            heapq.heappop(heap)
            if at_us < NEVER_US:
                heapq.heappush(heap, HeapEntry(at_us, entry.machine_index))
        return NEVER_US

    def take(self, request: PlacementRequest, most: int, run_us: int) -> int:
        """Place up to `most` tasks on the machine that `earliest` has found; return how many fit."""
        self.remaining_steps -= 1
        heap = self._heap(request)
        entry = heapq.heappop(heap)
        machine = self.machines[entry.machine_index]
        count = machine.take(request.spec, entry.at_us, most, run_us)
        next_us = machine.earliest_us(request.spec)
        if next_us < NEVER_US and (count or next_us > entry.at_us):
            next_entry = HeapEntry(next_us, entry.machine_index)
            if request.spec.kind == "gang":
                self._gang_entries.append(next_entry)
            else:
                heapq.heappush(heap, next_entry)
        return count

    def finish_job(self, request: PlacementRequest) -> None:
        """End the placement of a job: other jobs may use the machines of its gang after it.

        The gang itself must not, for its tasks run at the same time.  Otherwise the forecast runs one half of the
        gang after the other on one machine, and the gang waits for ever for a second machine.
        """
        heap = self._heap(request)
        for entry in self._gang_entries:
            heapq.heappush(heap, entry)
        self._gang_entries.clear()

    def add(self, machine: FutureMachine, request: PlacementRequest) -> None:
        """Add a machine that is called for a job; other jobs with suitable restrictions may use it, too."""
        number = len(self.machines)
        self.machines.append(machine)
        self._heap(request)
        for machine_filter, heap in self._heaps.items():
            if machine_filter.allows(machine):
                heapq.heappush(heap, HeapEntry(machine.from_us, number))
