"""The messages of the cloud's API.  Only this module uses the API's own field names."""

from __future__ import annotations

from typing import Any

import msgspec

from ashtray.fleet.machine_kind import MachineKind
from ashtray.kernel import SECOND_US
from ashtray.placement.records import MachineType


class OfferedType(msgspec.Struct, rename={"gpus": "cards", "price": "rate", "boot_s": "ready_s", "zones": "yards"}):
    """A machine type that the cloud rents.  Prices are per hour, `boot_s` is in seconds."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    price: float
    spot_price: float
    boot_s: float
    zones: list[str]
    local_gb: float = 0.0
    """The size of the local disk that holds images, in GB."""
    pull_gb_per_s: float = 1.0
    """How fast a machine fetches images."""


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
    """How long ago the machine was requested."""
    endpoint: str = ""

    @property
    def kind(self) -> MachineKind:
        """Return the kind under which the machine was rented."""
        return MachineKind(self.type, self.zone, self.spot)


class MachineList(msgspec.Struct, rename={"machines": "berths"}):
    """One page of the cloud's list, sorted by name."""

    machines: list[ListedMachine]
    truncated: bool = False
    """Whether more pages follow."""


def parse_types(body: Any) -> dict[str, MachineType]:
    """Parse the reply to a request for the machine types, and return them by name.

    Raises msgspec.ValidationError, KeyError or TypeError if the body does not have the expected form.
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
    """Return the body of a request for machines.  The cloud executes each request name at most once."""
    return {"hire": request, "hull": kind.type, "yard": kind.zone, "loaners": kind.spot, "number": number}


def rented_names(body: Any) -> list[str]:
    """Return the names of the machines in the reply to a request for machines."""
    names: list[str] = body.get("berths", [])
    return names


def deletion(names: list[str]) -> dict[str, Any]:
    """Return the body of a request to delete machines."""
    return {"berths": names}
