"""Groups, machines and allocations as a controller keeps them in memory, built from the groups' records.

A new version of a record builds a new `Group`.  What did not change is taken over from the version before as the very
same object, so the cost of a change grows with what it changed.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from ashtray.placement import compact_record
from ashtray.placement.records import AllocationRecord, MachineRecord
from ashtray.runs import decode_runs

AllocationKey = tuple[str, int]
"""The name of a machine, and the index of one of its allocations.

Not the attempt: tasks of one attempt that are stopped one after the other are several allocations.  A key by attempt
took them for one, and a task was placed again while it ran.
"""


class Allocation:
    """An allocation; `tasks` is never changed in place."""

    __slots__ = ("record", "tasks", "job", "attempt")

    def __init__(self, record: AllocationRecord) -> None:
        self.record = record
        self.job = record.job
        self.attempt = record.attempt
        self.tasks = decode_runs(record.tasks)


def reuse_allocations(records: Iterable[AllocationRecord], known: Iterable[Allocation]) -> list[Allocation]:
    """Return an allocation for each record, in order; those that equal a record are taken over from `known`.

    Each of `known` is taken over at most once, so two equal records stay two allocations.
    """
    holds: list[Allocation] = []
    remaining = list(known)
    for record in records:
        for hold in remaining:
            if hold.record == record:
                remaining.remove(hold)
                holds.append(hold)
                break
        else:
            holds.append(Allocation(record))
    return holds


class Machine:
    """A machine, with the amounts that its allocations take in sum: `cpus`, `gpus` and `memory_gb`."""

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
        """Build it from `raw`, its part of the group's value, in full form.

        `group` is the group's key, `kind` the machine type and `before` the machine as it was read last, if it was.
        """
        self.name = name
        self.group = group
        self.type = kind
        self.zone = zone
        self.raw = raw
        self.record = msgspec.convert(raw, MachineRecord)
        self.sort = (kind, zone, self.record.spot, self.record.retiring)
        """What placement rules compare that does not depend on the allocations.

        A change of the record makes a new `Machine`, so this cannot grow old.
        """
        self.holds: list[Allocation] = reuse_allocations(
            self.record.holds, before.holds if before is not None else ()
        )
        self.images = {image for image, _ in self.record.images}
        self.cpus = self.gpus = self.memory_gb = 0.0
        for hold in self.holds:
            count = len(hold.tasks)
            self.cpus += count * hold.record.cpus
            self.gpus += count * hold.record.gpus
            self.memory_gb += count * hold.record.memory_gb


class Group:
    """A group of machines, with the version of its record."""

    __slots__ = ("key", "version", "value", "type", "zone", "machines", "done", "size", "moving", "packed")

    def __init__(self, key: str, value: Any, version: int, before: Group | None = None) -> None:
        """Read the record `value`, in full or in compact form; `machines` and `done` are filled in by `GroupIndex`.

        `before` is the group as it was read last, if it was.
        """
        self.key = key
        self.version = version
        self.packed: dict[str, Any] | None = value if compact_record.FORM in value else None
        """Its record, if that is in compact form."""
        self.size = compact_record.size_of(value)
        """Bytes of its record."""
        known_packed = before.packed if before is not None else None
        known_machines = before.value["machines"] if before is not None else None
        self.value: dict[str, Any] = compact_record.unpack(value, known_packed, known_machines)
        """Its record in full form."""
        self.type: str = self.value["type"]
        self.zone: str = self.value["zone"]
        self.machines: dict[str, Machine] = {}
        self.done: dict[str, set[int]] = {}
        """For each job the completed tasks that the record keeps."""
        self.moving = False
        """Whether its machines are being moved to other groups: its record is not to be written any more."""
