"""The compact form of a group record, in which values shared by several machines or allocations are stored once.

The full form is a map by field names, like `GroupRecord`.  The compact form, called lean form in log lines and on
other pages, consists of a table of kinds of allocations (team, amounts, controller), a table of images, and a row for
each machine that refers to table entries by index.  It takes about a third of the bytes, so each job changes fewer
records.  Older versions cannot read it: it is written only once no controller of such a version is left.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from ashtray.kernel import SECOND_US
from ashtray.placement.records import AllocationRecord

FORM = "form"
"""The field that only records in compact form have."""
SPOT, RETIRING = 1, 2
"""Bits of a machine's flags."""
PLACED_US_INDEX = AllocationRecord.__struct_fields__.index("placed_us")
"""The index of the placement time in an allocation, which is encoded as a list."""
JOB_PREFIX = "job-"
"""The prefix of all job ids, which the compact form leaves out."""
JOB_PREFIX_CHARS = len(JOB_PREFIX)
SPARE_ENTRIES = 16
"""How many table entries may be unused, in addition to a quarter of the number of used ones."""


@dataclass(slots=True)
class _Tables:
    """The tables that the rows of machines refer to; each entry maps to its index."""

    since_s: int
    """The time of day, in seconds, from which placement times are counted."""
    kinds: dict[tuple[Any, ...], int]
    """Kinds of allocations: team, CPUs, GPUs, memory in GB and placing controller."""
    images: dict[tuple[str, float], int]
    """Images: name and size in GB."""

    @classmethod
    def of_record(cls, packed: dict[str, Any]) -> _Tables:
        """Return the tables of a compact record."""
        kinds = {tuple(kind): n for n, kind in enumerate(packed["kinds"])}
        images = {(image, size): n for n, (image, size) in enumerate(packed["images"])}
        return cls(packed["since"], kinds, images)

    @classmethod
    def empty(cls, machines: dict[str, Any]) -> _Tables:
        """Return empty tables for machines in full form; times are counted from the earliest placement."""
        placed_us = (
            allocation[PLACED_US_INDEX] for machine in machines.values() for allocation in machine.get("holds", ())
        )
        return cls(min(placed_us, default=0) // SECOND_US, {}, {})

    def need_rebuild(self, rows: dict[str, Any]) -> bool:
        """Return whether so many entries are unused that the record is needlessly large and slow to process."""
        used_kinds = {allocation[3] for row in rows.values() for allocation in row[4]}
        used_images = {n for row in rows.values() for n in row[3]}
        used = len(used_kinds) + len(used_images)
        return len(self.kinds) + len(self.images) > used + used // 4 + SPARE_ENTRIES


def pack(value: dict[str, Any], before: dict[str, Any] | None = None, changed: Container[str] = ()) -> dict[str, Any]:
    """Return a group record, given in full form, in compact form.  Placement times are rounded down to seconds.

    `before` is the compact record that this one replaces.  Its tables, and its rows of machines that are not in
    `changed`, are reused as they are, so writing and reading cost only what has changed.
    """
    machines: dict[str, Any] = value["machines"]
    tables = _Tables.empty(machines) if before is None else _Tables.of_record(before)
    known: dict[str, Any] = {} if before is None else before["machines"]
    rows: dict[str, Any] = {}
    for name, machine in machines.items():
        row = None if name in changed else known.get(name)
        rows[name] = _pack_machine(machine, tables) if row is None else row
    if before is not None and tables.need_rebuild(rows):
        return pack(value)
    packed = {
        FORM: 2,
        "type": value["type"],
        "zone": value["zone"],
        "since": tables.since_s,
        "kinds": [list(kind) for kind in tables.kinds],
        "images": [list(image) for image in tables.images],
        "machines": rows,
    }
    if value.get("done"):
        packed["done"] = value["done"]
    return packed


def _pack_machine(machine: dict[str, Any], tables: _Tables) -> list[Any]:
    """Return the row of a machine: address, flags, token, images, allocations and, if there are any, failed jobs.

    Adds missing entries to the tables.
    """
    allocations = _pack_allocations(machine.get("holds", ()), tables)
    images = tables.images
    cached = [images.setdefault((image, round(size, 2)), len(images)) for image, size in machine.get("images", ())]
    flags = (SPOT if machine.get("spot") else 0) | (RETIRING if machine.get("retiring") else 0)
    row = [machine["address"], flags, machine.get("token", 0), cached, allocations]
    failed = machine.get("failed")
    return [*row, failed] if failed else row


def _pack_allocations(allocations: Iterable[Sequence[Any]], tables: _Tables) -> list[list[Any]]:
    """Return the rows of allocations; a row has a sixth entry only if its tasks are to be stopped."""
    since_s, kinds = tables.since_s, tables.kinds
    rows = []
    for job, attempt, tasks, team, cpus, gpus, memory_gb, placed_us, stop_us, by in allocations:
        kind = kinds.setdefault((team, _number(cpus), _number(gpus), _number(memory_gb), by), len(kinds))
        row = [job[JOB_PREFIX_CHARS:], attempt, tasks, kind, placed_us // SECOND_US - since_s]
        rows.append(row if stop_us < 0 else [*row, stop_us])
    return rows


def _number(value: float) -> float:
    """Return a whole number as an int, which takes fewer bytes than a float."""
    return int(value) if value == int(value) else value


def unpack(
    value: dict[str, Any], before: dict[str, Any] | None = None, known: Mapping[str, Any] | None = None
) -> dict[str, Any]:
    """Return a group record, given in either form, in full form.

    `before` is a compact record that was read earlier, and `known` its machines in full form.  Rows that did not
    change are not decoded again: the result has the same objects as `known`.
    """
    if FORM not in value:
        return value
    same: dict[str, Any] = {}
    if before is not None and known is not None and _extends_tables(value, before):
        same = before["machines"]
    machines: dict[str, Any] = {}
    for name, row in value["machines"].items():
        if name in same and known is not None and same[name] == row and name in known:
            machines[name] = known[name]
        else:
            machines[name] = _unpack_machine(row, value)
    full = {"type": value["type"], "zone": value["zone"], "machines": machines}
    if "done" in value:
        full["done"] = value["done"]
    return full


def _unpack_machine(row: list[Any], packed: dict[str, Any]) -> dict[str, Any]:
    """Return a machine in full form from its row in a compact record."""
    address, flags, token, cached, allocations, *failed = row
    machine: dict[str, Any] = {"address": address}
    if flags & SPOT:
        machine["spot"] = True
    if flags & RETIRING:
        machine["retiring"] = True
    if token:
        machine["token"] = token
    if failed:
        machine["failed"] = failed[0]
    if cached:
        images = packed["images"]
        machine["images"] = [images[n] for n in cached]
    if allocations:
        machine["holds"] = _unpack_allocations(allocations, packed["kinds"], packed["since"])
    return machine


def _unpack_allocations(rows: list[Any], kinds: list[Any], since_s: int) -> list[list[Any]]:
    """Return allocations, encoded like `AllocationRecord`, from their rows."""
    allocations = []
    for job, attempt, tasks, kind, age_s, *stop in rows:
        team, cpus, gpus, memory_gb, by = kinds[kind]
        placed_us = (since_s + age_s) * SECOND_US
        stop_us = stop[0] if stop else -1
        allocations.append([JOB_PREFIX + job, attempt, tasks, team, cpus, gpus, memory_gb, placed_us, stop_us, by])
    return allocations


def _extends_tables(value: dict[str, Any], before: dict[str, Any]) -> bool:
    """Return whether the tables equal those of `before` except for entries added at their ends."""
    if FORM not in before or value["since"] != before["since"]:
        return False
    return all(value[table][: len(before[table])] == before[table] for table in ("kinds", "images"))
