"""The compact form of a group's record: what machines and holds have in common is written once.

The full form is a map by field names, as `GroupRecord` has it.  The compact form, called lean form in log lines and
on other pages, has tables of the kinds of holds (team, amounts, controller) and of images, and rows of machines that
point into them.  It takes about a third of the bytes, so each job changes fewer records.  A version before it cannot
read it: it is written only once no controller of such a version is left.
"""

from __future__ import annotations

from collections.abc import Container, Mapping
from typing import Any

import msgspec

from ashtray.kernel import SECOND_US

FORM = "form"
SPOT, RETIRING = 1, 2
SPARE = 16
"""Entries of the tables that may be unused, beside a quarter of those that are used."""


def _number(value: float) -> float:
    """Whole numbers without their fraction."""
    return int(value) if value == int(value) else value


def pack(value: dict[str, Any], before: dict[str, Any] | None = None, changed: Container[str] = ()) -> dict[str, Any]:
    """Write a group's record in compact form.  When tasks were placed is kept to the second.

    `before` is the compact record that this one replaces: rows of machines that are not `changed` are taken over as
    they are, with the tables that they point into, so writing and reading cost only what has changed.
    """
    machines: dict[str, Any] = value["machines"]
    if before is None:
        since = min((h[7] for m in machines.values() for h in m.get("holds", ())), default=0) // SECOND_US
        kinds: dict[tuple[Any, ...], int] = {}
        images: dict[tuple[str, float], int] = {}
        kept: dict[str, Any] = {}
    else:
        since = before["since"]
        kinds = {tuple(kind): n for n, kind in enumerate(before["kinds"])}
        images = {(image, size): n for n, (image, size) in enumerate(before["images"])}
        kept = before["machines"]
    rows: dict[str, Any] = {}
    for name, machine in machines.items():
        row = None if name in changed else kept.get(name)
        rows[name] = _row(machine, since, kinds, images) if row is None else row
    if before is not None:
        used = len({hold[3] for row in rows.values() for hold in row[4]})
        used += len({n for row in rows.values() for n in row[3]})
        if len(kinds) + len(images) > used + used // 4 + SPARE:
            # Too much of what the tables say is of tasks long gone: it takes room in the record, and time of all.
            return pack(value)
    packed = {
        FORM: 2,
        "type": value["type"],
        "zone": value["zone"],
        "since": since,
        "kinds": [list(kind) for kind in kinds],
        "images": [list(image) for image in images],
        "machines": rows,
    }
    if value.get("done"):
        packed["done"] = value["done"]
    return packed


def _row(
    machine: dict[str, Any], since: int, kinds: dict[tuple[Any, ...], int], images: dict[tuple[str, float], int]
) -> list[Any]:
    """One machine, pointing into the tables, to which what is new is added."""
    holds = []
    for job, attempt, tasks, team, cpus, gpus, memory_gb, placed_us, stop_us, by in machine.get("holds", ()):
        kind = kinds.setdefault((team, _number(cpus), _number(gpus), _number(memory_gb), by), len(kinds))
        hold = [job[4:], attempt, tasks, kind, placed_us // SECOND_US - since]
        holds.append(hold if stop_us < 0 else [*hold, stop_us])
    cached = [images.setdefault((image, round(size, 2)), len(images)) for image, size in machine.get("images", ())]
    flags = (SPOT if machine.get("spot") else 0) | (RETIRING if machine.get("retiring") else 0)
    row = [machine["address"], flags, machine.get("token", 0), cached, holds]
    failed = machine.get("failed")
    return [*row, failed] if failed else row


def unpack(
    value: dict[str, Any], before: dict[str, Any] | None = None, known: Mapping[str, Any] | None = None
) -> dict[str, Any]:
    """A group's record as `GroupRecord` has it, from either form.

    `before` is a compact record that was read earlier, and `known` what its machines said: rows that are the same are
    not read again, and the very same objects stand for them.
    """
    if FORM not in value:
        return value
    since, kinds, images = value["since"], value["kinds"], value["images"]
    same: dict[str, Any] = {}
    if before is not None and known is not None and _follows(value, before):
        same = before["machines"]
    machines: dict[str, Any] = {}
    for name, row in value["machines"].items():
        if name in same and known is not None and same[name] == row and name in known:
            machines[name] = known[name]
            continue
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
            machine["images"] = [images[n] for n in cached]
        if holds:
            machine["holds"] = [
                [
                    f"job-{job}",
                    attempt,
                    tasks,
                    *kinds[kind][:4],
                    (since + age) * SECOND_US,
                    stop[0] if stop else -1,
                    kinds[kind][4],
                ]
                for job, attempt, tasks, kind, age, *stop in holds
            ]
        machines[name] = machine
    whole = {"type": value["type"], "zone": value["zone"], "machines": machines}
    if "done" in value:
        whole["done"] = value["done"]
    return whole


def _follows(value: dict[str, Any], before: dict[str, Any]) -> bool:
    """Whether what rows point into is the same as it was, but for what was added at the end."""
    if FORM not in before or value["since"] != before["since"]:
        return False
    return all(value[table][: len(before[table])] == before[table] for table in ("kinds", "images"))


def size_of(value: dict[str, Any]) -> int:
    """The bytes of a record, as the state service counts them."""
    return len(msgspec.json.encode(value))
