"""Machine kinds: a machine type in a zone, on demand or as a spot machine."""

from __future__ import annotations

from typing import NamedTuple


class MachineKind(NamedTuple):
    """A kind of machine that the cloud rents.  Kinds sort by their fields, in this order."""

    type: str
    """The name of the machine type."""
    zone: str
    spot: bool
    """A spot machine: cheaper, but the cloud may take it back at any time."""

    def describe(self) -> str:
        """Return the kind as log lines show it, such as `spot small in a`."""
        return f"{'spot ' if self.spot else ''}{self.type} in {self.zone}"


NO_KIND = MachineKind("", "", False)
"""A placeholder that equals no kind that the cloud offers."""
