"""What the cloud is asked for: a machine type in a zone, on demand or as a spot machine."""

from __future__ import annotations

from typing import NamedTuple


class MachineKind(NamedTuple):
    """A kind of machine.  Kinds compare and sort by their fields in this order."""

    type: str
    """The name of the machine type."""
    zone: str
    spot: bool
    """The cloud may take the machine back, and rents it for less."""

    def describe(self) -> str:
        """The kind as log lines show it, such as `spot small in a`."""
        return f"{'spot ' if self.spot else ''}{self.type} in {self.zone}"


NO_KIND = MachineKind("", "", False)
"""Stands for a kind that no machine type offers."""
