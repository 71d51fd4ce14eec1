"""When the queue would be served by the machines that are there or coming, and what renting would change."""

from __future__ import annotations

import heapq
from bisect import insort
from collections.abc import Callable, Iterable
from typing import Any

from ashtray.jobs.model import Job, JobSpec
from ashtray.kernel import SECOND_US
from ashtray.placement.picture import Hold, Picture
from ashtray.placement.rules import Ask, Room

NEVER_US = 1 << 62
MAX_STEPS = 4000
"""Machines looked at in one forecast: more is left for the next one."""


class Future:
    """A machine with the room that is free on it, from when on, and what will be freed later."""

    __slots__ = ("room", "from_us", "releases", "used")

    def __init__(self, room: Room, from_us: int, releases: list[tuple[int, float, float, float]]) -> None:
        self.room = room
        self.from_us = from_us
        self.releases = sorted(releases)
        self.used = False
        """Whether tasks that wait were put here."""

    def earliest_us(self, spec: JobSpec) -> int:
        """When a task of this size fits."""
        if self.room.fits(spec):
            return self.from_us
        cpus, gpus, memory = self.room.cpus, self.room.gpus, self.room.memory_gb
        eps = 1e-6
        for at_us, c, g, m in self.releases:
            cpus, gpus, memory = cpus + c, gpus + g, memory + m
            if cpus + eps >= spec.cpus and gpus + eps >= spec.gpus and memory + eps >= spec.memory_gb:
                return max(at_us, self.from_us)
        return NEVER_US

    def take(self, spec: JobSpec, at_us: int, most: int, run_us: int) -> int:
        """Put tasks here at that time; what is put later starts no earlier."""
        self.from_us = max(self.from_us, at_us)
        while self.releases and self.releases[0][0] <= at_us:
            _, c, g, m = self.releases.pop(0)
            self.room.cpus += c
            self.room.gpus += g
            self.room.memory_gb += m
        count = min(most, self.room.fits(spec))
        self.room.take(spec, count)
        if count:
            self.used = True
            freed = (at_us + run_us, count * spec.cpus, count * spec.gpus, count * spec.memory_gb)
            insort(self.releases, freed)
        return count


def hold_ends_us(picture: Picture, hold: Hold, wall_us: int, run_us: Callable[[Job], int]) -> int:
    """When the tasks of a hold may be expected to end, as the time of day."""
    job = picture.jobs.get(hold.job)
    if job is None or hold.record.stop_us >= 0:
        return wall_us + 2 * SECOND_US
    if job.spec.kind == "service":
        return NEVER_US
    end_us = hold.record.placed_us + run_us(job)
    # One that runs over its estimate is as likely to go on for a part of what it has run.
    return max(end_us, wall_us + (wall_us - hold.record.placed_us) // 4 + SECOND_US)


def futures(
    picture: Picture, rooms: Iterable[Room], wall_us: int, ready_us: dict[str, int], run_us: Callable[[Job], int]
) -> list[Future]:
    found = []
    for room in rooms:
        releases = []
        for hold in room.machine.holds:
            n = len(hold.tasks)
            r = hold.record
            at_us = hold_ends_us(picture, hold, wall_us, run_us)
            releases.append((at_us, n * r.cpus, n * r.gpus, n * r.memory_gb))
        found.append(Future(room, ready_us.get(room.machine.name, wall_us), releases))
    return found


class Forecast:
    """The queue served in order on what is there, what is coming and what is wished for.

    Jobs of one class that may use the same machines share one heap of these by the earliest time that they have
    room; an entry that another job has made too early is put back when it comes up.
    """

    def __init__(self, fleet: list[Future]) -> None:
        self.fleet = fleet
        self.steps = MAX_STEPS
        self._heaps: dict[tuple[Any, ...], list[tuple[int, int]]] = {}
        self._taken: list[tuple[int, int]] = []

    def _heap(self, ask: Ask) -> list[tuple[int, int]]:
        spec = ask.spec
        zone = ask.zone or spec.zone
        key = (spec.job_class, tuple(spec.types or ()), zone, spec.spot)
        heap = self._heaps.get(key)
        if heap is None:
            heap = self._heaps[key] = [
                (at_us, n)
                for n, future in enumerate(self.fleet)
                if may_use(future, spec, zone) and (at_us := future.earliest_us(spec)) < NEVER_US
            ]
            heapq.heapify(heap)
        return heap

    def earliest(self, ask: Ask) -> int:
        """When the next task of a job would have room."""
        heap = self._heap(ask)
        while heap:
            at_us, n = heap[0]
            again_us = self.fleet[n].earliest_us(ask.spec)
            if again_us <= at_us:
                return at_us
            heapq.heappop(heap)
            if again_us < NEVER_US:
                heapq.heappush(heap, (again_us, n))
        return NEVER_US

    def take(self, ask: Ask, most: int, run_us: int) -> int:
        """Put tasks where `earliest` found room; returns how many."""
        self.steps -= 1
        heap = self._heap(ask)
        at_us, n = heapq.heappop(heap)
        got = self.fleet[n].take(ask.spec, at_us, most, run_us)
        again_us = self.fleet[n].earliest_us(ask.spec)
        if again_us < NEVER_US and (got or again_us > at_us):
            if ask.spec.kind == "gang":
                self._taken.append((again_us, n))
            else:
                heapq.heappush(heap, (again_us, n))
        return got

    def served(self, ask: Ask) -> None:
        """A job's tasks have their places: what its gang took may be taken again after it.

        Not before, for its tasks run at the same time: found by the model test, a gang waited for ever for a
        second machine because the forecast ran half of it after the other half.
        """
        heap = self._heap(ask)
        for entry in self._taken:
            heapq.heappush(heap, entry)
        self._taken.clear()

    def add(self, future: Future, ask: Ask) -> None:
        """A machine that is wished for: this job may use it, and so may others that it suits."""
        n = len(self.fleet)
        self.fleet.append(future)
        self._heap(ask)
        for (_, types, zone, spot), heap in self._heaps.items():
            machine = future.room.machine
            if (
                (not types or machine.type in types)
                and zone in (None, machine.zone)
                and (spot or not machine.record.spot)
            ):
                heapq.heappush(heap, (future.from_us, n))


def may_use(future: Future, spec: JobSpec, zone: str | None) -> bool:
    machine = future.room.machine
    kind = future.room.type
    return (
        (not spec.types or machine.type in spec.types)
        and zone in (None, machine.zone)
        and (spec.spot or not machine.record.spot)
        and kind.fits(spec.cpus, spec.gpus, spec.memory_gb) > 0
    )
