"""Typed records of machines and of what is placed on them, as the state service keeps them.

Fields may be added with a default, but not renamed, moved or removed: controllers of an older version read the same
records.  `compact_record` writes a `GroupRecord` in fewer bytes.
"""

from __future__ import annotations

import msgspec

AMOUNT_TOLERANCE = 1e-6
"""Tolerance, in CPUs, GPUs or GB, when sums of amounts are compared."""
UNBOUNDED_TASKS = 1_000_000
"""How many tasks fit where they need nothing."""


class AllocationRecord(msgspec.Struct, array_like=True):
    """An allocation: the room that some tasks of one attempt of a job take on a machine."""

    job: str
    attempt: int
    tasks: str
    """The task numbers as runs, such as ``0-17,19``."""
    team: str
    cpus: float
    """Of one task, like the two amounts that follow."""
    gpus: float
    memory_gb: float
    placed_us: int
    """When it was placed, by the time of day in microseconds."""
    stop_us: int = -1
    """The time that the tasks get to save before they are stopped, in microseconds; -1: they are not to stop."""
    by: str = ""
    """The controller that placed it: the allocation counts on its share of the team's limit."""


class MachineRecord(msgspec.Struct, omit_defaults=True):
    """A machine of a group, with its allocations."""

    address: str
    """Host and port of its worker."""
    spot: bool = False
    retiring: bool = False
    """Whether it is draining: nothing is placed on it any more."""
    token: int = 0
    """The ownership token under which its worker takes orders at present."""
    failed: list[str] = []
    """Jobs with tasks that failed here since one of their tasks last completed here."""
    images: list[tuple[str, float]] = []
    """The cached images and their sizes in GB."""
    holds: list[AllocationRecord] = []


class GroupRecord(msgspec.Struct, omit_defaults=True):
    """Machines of one type and zone that share a record, by name."""

    type: str
    zone: str
    machines: dict[str, MachineRecord]
    done: dict[str, str] = {}
    """For each live array the tasks, as runs, that completed here and are not in the job's own record yet.

    So the end of tasks of many jobs changes this one record, not one more for each of these jobs.
    """


class MachineType(msgspec.Struct, frozen=True):
    """A machine type that the cloud rents."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    cache_gb: float
    """Room for images."""
    fetch_gb_per_s: float
    """How fast images are fetched."""
    price: float
    """Of a machine on demand; `spot_price` is that of a spot machine."""
    spot_price: float
    boot_us: int
    """How long a machine takes to start, in microseconds, as the cloud states it."""
    zones: tuple[str, ...]

    def fits(self, cpus: float, gpus: float, memory_gb: float) -> int:
        """Return how many tasks with these needs an empty machine takes."""
        amounts = ((self.cpus, cpus), (self.gpus, gpus), (self.memory_gb, memory_gb))
        counts = [int((available + AMOUNT_TOLERANCE) // need) for available, need in amounts if need > 0]
        return min(counts, default=UNBOUNDED_TASKS)
