"""The lean form of a group's record: what its machines and holds have in common is said once.

The version before cannot read it, so it is written only once none of that is about.  It takes about a third of the
room, and each group that a job touches costs a change.
"""

from __future__ import annotations

from typing import Any

import msgspec

from ashtray.kernel import SECOND_US

FORM = "form"
SPOT, RETIRING = 1, 2


def _number(value: float) -> float:
    """Whole numbers without their fraction."""
    return int(value) if value == int(value) else value


def pack(value: dict[str, Any]) -> dict[str, Any]:
    """Write a group's record in lean form.  When tasks were placed is kept to the second."""
    machines: dict[str, Any] = value["machines"]
    since = min((h[7] for m in machines.values() for h in m.get("holds", ())), default=0) // SECOND_US
    kinds: dict[tuple[Any, ...], int] = {}
    images: dict[tuple[str, float], int] = {}
    rows: dict[str, Any] = {}
    for name, machine in machines.items():
        holds = []
        for job, attempt, tasks, team, cpus, gpus, memory_gb, placed_us, stop_us, by in machine.get("holds", ()):
            kind = kinds.setdefault((team, _number(cpus), _number(gpus), _number(memory_gb), by), len(kinds))
            hold = [job[4:], attempt, tasks, kind, placed_us // SECOND_US - since]
            holds.append(hold if stop_us < 0 else [*hold, stop_us])
        cached = [
            images.setdefault((image, round(size, 2)), len(images)) for image, size in machine.get("images", ())
        ]
        flags = (SPOT if machine.get("spot") else 0) | (RETIRING if machine.get("retiring") else 0)
        row = [machine["address"], flags, machine.get("token", 0), cached, holds]
        failed = machine.get("failed")
        rows[name] = [*row, failed] if failed else row
    packed = {
        FORM: 2, "type": value["type"], "zone": value["zone"], "since": since, "kinds": list(kinds),
        "images": list(images), "machines": rows,
    }  # fmt: skip
    if value.get("done"):
        packed["done"] = value["done"]
    return packed


def unpack(value: dict[str, Any]) -> dict[str, Any]:
    """A group's record as `GroupRecord` has it, from either form."""
    if FORM not in value:
        return value
    since, kinds, images = value["since"], value["kinds"], value["images"]
    machines: dict[str, Any] = {}
    for name, (address, flags, token, cached, holds, *failed) in value["machines"].items():
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
                    f"job-{job}", attempt, tasks, *kinds[kind][:4], (since + age) * SECOND_US,
                    stop[0] if stop else -1, kinds[kind][4],
                ]
                for job, attempt, tasks, kind, age, *stop in holds
            ]  # fmt: skip
        machines[name] = machine
    whole = {"type": value["type"], "zone": value["zone"], "machines": machines}
    if "done" in value:
        whole["done"] = value["done"]
    return whole


def size_of(value: dict[str, Any]) -> int:
    """What a record takes, as the state service counts it."""
    return len(msgspec.json.encode(value))
