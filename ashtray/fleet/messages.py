"""The messages of the cloud's API.  Its field names appear in this module only."""

from __future__ import annotations

from typing import Any

import msgspec

from ashtray.fleet.machine_kind import MachineKind
from ashtray.kernel import SECOND_US
from ashtray.placement.records import MachineType


class OfferedType(msgspec.Struct, rename={"gpus": "cards", "price": "rate", "boot_s": "ready_s", "zones": "yards"}):
    """A machine type that the cloud rents; prices are by the hour."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    price: float
    spot_price: float
    boot_s: float
    zones: list[str]
    local_gb: float = 0.0
    """The disk for images, in GB."""
    pull_gb_per_s: float = 1.0


class ListedMachine(
    msgspec.Struct, rename={"name": "name_id", "type": "hull", "zone": "yard", "spot": "loaners", "state": "status"}
):
    """A rented machine in the cloud's list."""

    name: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float
    """How long ago it was requested."""
    endpoint: str = ""

    @property
    def kind(self) -> MachineKind:
        """The kind as which it was rented."""
        return MachineKind(self.type, self.zone, self.spot)


class MachineList(msgspec.Struct, rename={"machines": "berths"}):
    """One page of the cloud's list, in the order of names."""

    machines: list[ListedMachine]
    truncated: bool = False
    """More pages follow."""


def parse_types(body: Any) -> dict[str, MachineType]:
    """Read the answer to a request for the machine types.

    Raises msgspec.ValidationError, KeyError or TypeError for a body of another form.
    """
    types = msgspec.convert(body["hulls"], list[OfferedType])
    return {offered.name: _machine_type(offered) for offered in types}


def _machine_type(offered: OfferedType) -> MachineType:
    return MachineType(
        offered.name,
        offered.cpus,
        offered.gpus,
        offered.memory_gb,
        offered.local_gb,
        offered.pull_gb_per_s,
        offered.price,
        offered.spot_price,
        int(offered.boot_s * SECOND_US),
        tuple(offered.zones),
    )


def rental(request: str, kind: MachineKind, number: int) -> dict[str, Any]:
    """The body of a request for machines; the cloud rents nothing twice for one request name."""
    return {"hire": request, "hull": kind.type, "yard": kind.zone, "loaners": kind.spot, "number": number}


def rented_names(body: Any) -> list[str]:
    """The names of the machines that the cloud has rented for a request."""
    names: list[str] = body.get("berths", [])
    return names


def deletion(names: list[str]) -> dict[str, Any]:
    """The body of a request to delete machines."""
    return {"berths": names}
