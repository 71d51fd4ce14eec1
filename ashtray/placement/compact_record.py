"""The compact form of a group's record: what machines and allocations have in common is written once.

The full form is a map by field names, as `GroupRecord` has it.  The compact form, called lean form in log lines and
on other pages, has tables of the kinds of allocations (team, amounts, controller) and of images, and rows of machines
that point into them.  It takes about a third of the bytes, so each job changes fewer records.  A version before it
cannot read it: it is written only once no controller of such a version is left.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from ashtray.kernel import SECOND_US
from ashtray.placement.records import AllocationRecord

FORM = "form"
"""The field by which a record in compact form is recognized."""
SPOT, RETIRING = 1, 2
"""Bits of a machine's flags."""
PLACED_US = AllocationRecord.__struct_fields__.index("placed_us")
"""Where an allocation, which is written as a list, says when it was placed."""
JOB_PREFIX = "job-"
"""What all job ids begin with; it is left out."""
JOB_PREFIX_CHARS = len(JOB_PREFIX)
SPARE_ENTRIES = 16
"""Entries of the tables that may be unused, beside a quarter of those that are used."""


@dataclass(slots=True)
class _Tables:
    """What rows of machines point into, each entry with its number."""

    since_s: int
    """What times of placement count from: seconds of the time of day."""
    kinds: dict[tuple[Any, ...], int]
    """Team, CPUs, GPUs, memory in GB and placing controller of allocations."""
    images: dict[tuple[str, float], int]
    """Names and sizes in GB."""

    @classmethod
    def of_record(cls, packed: dict[str, Any]) -> _Tables:
        """Take over the tables of a compact record."""
        kinds = {tuple(kind): n for n, kind in enumerate(packed["kinds"])}
        images = {(image, size): n for n, (image, size) in enumerate(packed["images"])}
        return cls(packed["since"], kinds, images)

    @classmethod
    def empty(cls, machines: dict[str, Any]) -> _Tables:
        """Begin with empty tables, for machines in full form: times count from the earliest placement."""
        placed_us = (hold[PLACED_US] for machine in machines.values() for hold in machine.get("holds", ()))
        return cls(min(placed_us, default=0) // SECOND_US, {}, {})

    def are_wasteful(self, rows: dict[str, Any]) -> bool:
        """Return whether too much of the tables is of tasks long gone: that takes room in the record, and time."""
        used_kinds = {hold[3] for row in rows.values() for hold in row[4]}
        used_images = {n for row in rows.values() for n in row[3]}
        used = len(used_kinds) + len(used_images)
        return len(self.kinds) + len(self.images) > used + used // 4 + SPARE_ENTRIES


def pack(value: dict[str, Any], before: dict[str, Any] | None = None, changed: Container[str] = ()) -> dict[str, Any]:
    """Return a group's record, given in full form, in compact form.  When tasks were placed is kept to the second.

    `before` is the compact record that this one replaces: rows of machines that are not `changed` are taken over as
    they are, with the tables that they point into, so writing and reading cost only what has changed.
    """
    machines: dict[str, Any] = value["machines"]
    tables = _Tables.empty(machines) if before is None else _Tables.of_record(before)
    known: dict[str, Any] = {} if before is None else before["machines"]
    rows: dict[str, Any] = {}
    for name, machine in machines.items():
        row = None if name in changed else known.get(name)
        rows[name] = _pack_machine(machine, tables) if row is None else row
    if before is not None and tables.are_wasteful(rows):
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
    """Return the row of a machine: address, flags, token, images, allocations and, where there are any, failed jobs.

    What is new is added to the tables.
    """
    holds = _pack_holds(machine.get("holds", ()), tables)
    images = tables.images
    cached = [images.setdefault((image, round(size, 2)), len(images)) for image, size in machine.get("images", ())]
    flags = (SPOT if machine.get("spot") else 0) | (RETIRING if machine.get("retiring") else 0)
    row = [machine["address"], flags, machine.get("token", 0), cached, holds]
    failed = machine.get("failed")
    return [*row, failed] if failed else row


def _pack_holds(holds: Iterable[Sequence[Any]], tables: _Tables) -> list[list[Any]]:
    """Return the rows of allocations; one has a sixth entry only where its tasks are to be stopped."""
    since_s, kinds = tables.since_s, tables.kinds
    rows = []
    for job, attempt, tasks, team, cpus, gpus, memory_gb, placed_us, stop_us, by in holds:
        kind = kinds.setdefault((team, _number(cpus), _number(gpus), _number(memory_gb), by), len(kinds))
        row = [job[JOB_PREFIX_CHARS:], attempt, tasks, kind, placed_us // SECOND_US - since_s]
        rows.append(row if stop_us < 0 else [*row, stop_us])
    return rows


def _number(value: float) -> float:
    """Return whole numbers without their fraction, which takes fewer bytes."""
    return int(value) if value == int(value) else value


def unpack(
    value: dict[str, Any], before: dict[str, Any] | None = None, known: Mapping[str, Any] | None = None
) -> dict[str, Any]:
    """Return a group's record, given in either form, in full form.

    `before` is a compact record that was read earlier, and `known` its machines in full form: rows that are the same
    are not read again, and the very same objects stand for them.
    """
    if FORM not in value:
        return value
    same: dict[str, Any] = {}
    if before is not None and known is not None and _follows(value, before):
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
    address, flags, token, cached, holds, *failed = row
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
    if holds:
        machine["holds"] = _unpack_holds(holds, packed["kinds"], packed["since"])
    return machine


def _unpack_holds(rows: list[Any], kinds: list[Any], since_s: int) -> list[list[Any]]:
    """Return allocations as `AllocationRecord` is written, from their rows."""
    holds = []
    for job, attempt, tasks, kind, age_s, *stop in rows:
        team, cpus, gpus, memory_gb, by = kinds[kind]
        placed_us = (since_s + age_s) * SECOND_US
        stop_us = stop[0] if stop else -1
        holds.append([JOB_PREFIX + job, attempt, tasks, team, cpus, gpus, memory_gb, placed_us, stop_us, by])
    return holds


def _follows(value: dict[str, Any], before: dict[str, Any]) -> bool:
    """Return whether what rows point into is the same as it was, but for what was added at the end."""
    if FORM not in before or value["since"] != before["since"]:
        return False
    return all(value[table][: len(before[table])] == before[table] for table in ("kinds", "images"))


def size_of(value: dict[str, Any]) -> int:
    """Return the bytes of a record in either form, as the state service counts them."""
    return len(msgspec.json.encode(value))
