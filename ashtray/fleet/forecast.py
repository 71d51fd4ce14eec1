"""When the queue would be served by the machines that are there or coming, and what renting would change."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable

from ashtray.jobs.model import Job, JobSpec
from ashtray.kernel import SECOND_US
from ashtray.placement.picture import Hold, Picture
from ashtray.placement.rules import Ask, Room, valid

NEVER_US = 1 << 62
MAX_STEPS = 400


class Future:
    """A machine with the room that is free on it, from when on, and what will be freed later."""

    __slots__ = ("room", "from_us", "releases", "used")

    def __init__(self, room: Room, from_us: int, releases: list[tuple[int, float, float, float]]) -> None:
        self.room = room
        self.from_us = from_us
        self.releases = sorted(releases)
        self.used = False
        """Whether tasks that wait were put here."""

    def copy(self) -> Future:
        r = self.room
        room = Room(r.machine, r.type, r.cpus, r.gpus, r.memory_gb)
        twin = Future(room, self.from_us, list(self.releases))
        twin.used = self.used
        return twin

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
            heapq.heappush(self.releases, freed)
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


def schedule(fleet: list[Future], ask: Ask, count: int, run_us: int) -> list[tuple[int, int]]:
    """Give a job's tasks the earliest room there is; returns pairs of start time and number of tasks.

    `fleet` is changed.  A gang starts when its last task does.
    """
    spec = ask.spec
    heap = []
    room_ok = Ask(spec, ask.zone, ask.zone_room, ask.spread_most)
    for n, future in enumerate(fleet):
        machine = future.room.machine
        kind = future.room.type
        empty = Room(machine, kind, kind.cpus, kind.gpus, kind.memory_gb)
        if valid(empty, room_ok):
            at_us = future.earliest_us(spec)
            if at_us < NEVER_US:
                heap.append((at_us, n))
    heapq.heapify(heap)
    starts: list[tuple[int, int]] = []
    for _ in range(MAX_STEPS):
        if count <= 0 or not heap:
            break
        at_us, n = heapq.heappop(heap)
        got = fleet[n].take(spec, at_us, count, run_us)
        if got:
            starts.append((at_us, got))
            count -= got
        again_us = fleet[n].earliest_us(spec)
        if again_us < NEVER_US and (got or again_us > at_us):
            heapq.heappush(heap, (again_us, n))
    if count > 0:
        starts.append((NEVER_US, count))
    return starts
