"""Exponential backoff for requests of machine kinds for which the cloud had no capacity."""

from __future__ import annotations

from dataclasses import dataclass

from ashtray.fleet.machine_kind import MachineKind
from ashtray.kernel import SECOND_US, Kernel

FIRST_PAUSE_S = 5
"""Doubled with each refusal in a row, the first one included."""
MAX_DOUBLINGS = 4
MAX_PAUSE_S = 40


@dataclass
class Refusal:
    """The consecutive refusals of one kind."""

    until_us: int
    """When the kind may be requested again."""
    times: int
    """The number of consecutive refusals."""


class CapacityBackoff:
    """Keeps a pause for each refused kind.  Refusals lengthen it exponentially; a successful request ends it."""

    def __init__(self, kernel: Kernel) -> None:
        self.kernel = kernel
        self.refusals: dict[MachineKind, Refusal] = {}

    def is_blocked(self, kind: MachineKind) -> bool:
        """Return whether the pause of a kind is not over yet."""
        refusal = self.refusals.get(kind)
        return refusal is not None and refusal.until_us > self.kernel.now_us

    def record_refusal(self, kind: MachineKind) -> None:
        """Record that the cloud had too few machines of a kind."""
        before = self.refusals.get(kind)
        times = 1 if before is None else before.times + 1
        pause_s = min(FIRST_PAUSE_S * 2 ** min(times, MAX_DOUBLINGS), MAX_PAUSE_S)
        self.refusals[kind] = Refusal(self.kernel.now_us + pause_s * SECOND_US, times)

    def clear(self, kind: MachineKind) -> None:
        """End the pause of a kind; its next refusal counts as the first."""
        self.refusals.pop(kind, None)
