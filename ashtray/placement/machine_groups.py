"""Groups, machines and allocations in a controller's memory, built from the group records.

A new version of a record builds a new `Group`.  Parts that did not change are the same objects as in the previous
`Group`, so the cost of a change grows with what it changes.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from ashtray.placement import compact_record
from ashtray.placement.records import AllocationRecord, MachineRecord
from ashtray.runs import decode_runs
from ashtray.store.transaction import size_of

AllocationKey = tuple[str, int]
"""The name of a machine, and the index of one of its allocations.

The attempt cannot be the key, because tasks of one attempt that are stopped one after the other have several
allocations.  Otherwise one of them would hide the others, and a task would be placed again while it runs.
"""


class Allocation:
    """An allocation, with its task numbers as a set; `tasks` is never changed in place."""

    __slots__ = ("record", "tasks", "job", "attempt")

    def __init__(self, record: AllocationRecord) -> None:
        self.record = record
        self.job = record.job
        self.attempt = record.attempt
        self.tasks = decode_runs(record.tasks)


def reuse_allocations(records: Iterable[AllocationRecord], known: Iterable[Allocation]) -> list[Allocation]:
    """Return an allocation for each record, in order, reusing those of `known` whose record is equal.

    Each of `known` is reused at most once, so two equal records stay two allocations.
    """
    allocations: list[Allocation] = []
    remaining = list(known)
    for record in records:
        for allocation in remaining:
            if allocation.record == record:
                remaining.remove(allocation)
                allocations.append(allocation)
                break
        else:
            allocations.append(Allocation(record))
    return allocations


class Machine:
    """A machine; `cpus`, `gpus` and `memory_gb` are the sums over its allocations."""

    __slots__ = (
        "name",
        "group",
        "type",
        "zone",
        "raw",
        "record",
        "sort",
        "holds",
        "cpus",
        "gpus",
        "memory_gb",
        "images",
    )

    def __init__(self, name: str, group: str, kind: str, zone: str, raw: Any, before: Machine | None = None) -> None:
        """Build a machine from `raw`, its part of the group record in full form.

        `group` is the group's key, `kind` the machine type and `before` the machine's previous version, if any.
        """
        self.name = name
        self.group = group
        self.type = kind
        self.zone = zone
        self.raw = raw
        self.record = msgspec.convert(raw, MachineRecord)
        self.sort = (kind, zone, self.record.spot, self.record.retiring)
        """The values that placement rules compare and that do not depend on the allocations.

        They cannot become outdated: a change of the record makes a new `Machine`.
        """
        self.holds: list[Allocation] = reuse_allocations(
            self.record.holds, before.holds if before is not None else ()
        )
        self.images = {image for image, _ in self.record.images}
        self.cpus = self.gpus = self.memory_gb = 0.0
        for allocation in self.holds:
            count = len(allocation.tasks)
            self.cpus += count * allocation.record.cpus
            self.gpus += count * allocation.record.gpus
            self.memory_gb += count * allocation.record.memory_gb


class Group:
    """A group of machines, with its record and the record's version."""

    __slots__ = ("key", "version", "value", "type", "zone", "machines", "done", "size", "moving", "packed")

    def __init__(self, key: str, value: Any, version: int, before: Group | None = None) -> None:
        """Decode the record `value`, in full or in compact form; `GroupIndex` fills in `machines` and `done`.

        `before` is the group's previous version, if any.
        """
        self.key = key
        self.version = version
        self.packed: dict[str, Any] | None = value if compact_record.FORM in value else None
        """The record, if it is in compact form."""
        self.size = size_of(value)
        """The size of the record in bytes, in the form in which it was read."""
        known_packed = before.packed if before is not None else None
        known_machines = before.value["machines"] if before is not None else None
        self.value: dict[str, Any] = compact_record.unpack(value, known_packed, known_machines)
        """The record in full form."""
        self.type: str = self.value["type"]
        self.zone: str = self.value["zone"]
        self.machines: dict[str, Machine] = {}
        self.done: dict[str, set[int]] = {}
        """By job id, the completed tasks that the record keeps."""
        self.moving = False
        """Whether its machines are being moved to other groups; its record must not be written any more."""
