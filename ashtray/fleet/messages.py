"""The cloud's wire."""

from __future__ import annotations

from typing import Any

import msgspec

from ashtray.kernel import SECOND_US
from ashtray.placement.picture import MachineType


class Hull(msgspec.Struct):
    name: str
    cpus: float
    cards: float
    memory_gb: float
    rate: float
    spot_price: float
    ready_s: float
    yards: list[str]
    local_gb: float = 0.0
    pull_gb_per_s: float = 1.0


class Berth(msgspec.Struct):
    name_id: str
    hull: str
    yard: str
    loaners: bool
    status: str
    age_s: float
    endpoint: str = ""


class BerthList(msgspec.Struct):
    berths: list[Berth]
    truncated: bool = False


def parse_types(body: Any) -> dict[str, MachineType]:
    hulls = msgspec.convert(body["hulls"], list[Hull])
    return {
        h.name: MachineType(
            h.name,
            h.cpus,
            h.cards,
            h.memory_gb,
            h.local_gb,
            h.pull_gb_per_s,
            h.rate,
            h.spot_price,
            int(h.ready_s * SECOND_US),
            tuple(h.yards),
        )
        for h in hulls
    }


def rental(request: str, kind: str, zone: str, spot: bool, number: int) -> dict[str, Any]:
    return {"hire": request, "hull": kind, "yard": zone, "loaners": spot, "number": number}


def deletion(names: list[str]) -> dict[str, Any]:
    return {"berths": names}
