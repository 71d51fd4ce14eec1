"""Typed records of machines and of the allocations on them, as the state service stores them.

Fields may be added with a default, but not renamed, moved or removed: controllers of an older version read the same
records.  `compact_record` encodes a `GroupRecord` in fewer bytes.
"""

from __future__ import annotations

import msgspec

AMOUNT_TOLERANCE = 1e-6
"""Tolerance, in CPUs, GPUs or GB, when sums of amounts are compared."""
UNBOUNDED_TASKS = 1_000_000
"""How many tasks fit on a machine if they need no resources."""


class AllocationRecord(msgspec.Struct, array_like=True):
    """An allocation: the resources of a machine taken by tasks of one attempt of a job."""

    job: str
    attempt: int
    tasks: str
    """The task numbers as runs, such as ``0-17,19``."""
    team: str
    cpus: float
    """Needed by each task, like `gpus` and `memory_gb`."""
    gpus: float
    memory_gb: float
    placed_us: int
    """When the tasks were placed: the time of day in microseconds."""
    stop_us: int = -1
    """How long the tasks may checkpoint before they are stopped, in microseconds; -1 if they are not to stop."""
    by: str = ""
    """The controller that placed the tasks, and whose share of the team's limit they use."""


class MachineRecord(msgspec.Struct, omit_defaults=True):
    """A machine of a group, with its allocations."""

    address: str
    """Host and port of the worker."""
    spot: bool = False
    retiring: bool = False
    """Whether it is draining: nothing is placed on it any more."""
    token: int = 0
    """The ownership token that the worker's orders must carry now."""
    failed: list[str] = []
    """Ids of jobs with tasks that failed here since one of their tasks last completed here."""
    images: list[tuple[str, float]] = []
    """The names of the cached images and their sizes in GB."""
    holds: list[AllocationRecord] = []


class GroupRecord(msgspec.Struct, omit_defaults=True):
    """A group: machines of one type and zone that share a record, by machine name."""

    type: str
    zone: str
    machines: dict[str, MachineRecord]
    done: dict[str, str] = {}
    """By id of a live array, the tasks, as runs, that completed here and are not in the job's own record yet.

    So when tasks of many jobs end, only this record is written, not also one for each job.
    """


class MachineType(msgspec.Struct, frozen=True):
    """A machine type that the cloud rents."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    cache_gb: float
    """Space for images, in GB."""
    fetch_gb_per_s: float
    """How fast images are fetched, in GB per second."""
    price: float
    """The price of an on-demand machine; `spot_price` is that of a spot machine."""
    spot_price: float
    boot_us: int
    """How long a machine takes to boot, in microseconds, as stated by the cloud."""
    zones: tuple[str, ...]

    def fits(self, cpus: float, gpus: float, memory_gb: float) -> int:
        """Return how many tasks with these needs an empty machine takes."""
        amounts = ((self.cpus, cpus), (self.gpus, gpus), (self.memory_gb, memory_gb))
        counts = [int((available + AMOUNT_TOLERANCE) // need) for available, need in amounts if need > 0]
        return min(counts, default=UNBOUNDED_TASKS)
