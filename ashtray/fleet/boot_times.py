"""Learns how long machines of each kind take to boot: the times in the catalogue can be wrong by a large factor."""

from __future__ import annotations

from ashtray.fleet.machine_kind import MachineKind
from ashtray.kernel import SECOND_US
from ashtray.placement.cluster_state import ClusterState

NEWEST_WEIGHT = 0.15
"""The weight of the newest boot in the exponential average."""
MIN_RATIO, MAX_RATIO = 0.5, 6.0
"""The bounds of a learnt boot time, as multiples of the catalogue's boot time."""
DEFAULT_BOOT_US = 60 * SECOND_US
"""The boot time assumed for a machine type that is not in the catalogue."""
OVERDUE_MARGIN_US = 5 * SECOND_US
"""Added to the time after which a machine is overdue."""
NOT_OVERTAKEN_FACTOR = 3.0
"""How many times as long to wait for a machine while no machine of its kind that was requested later is up."""


class BootTimes:
    """Boot times by machine kind, kept as ratios to the catalogue's boot times.  All times are in microseconds."""

    def __init__(self, cluster_state: ClusterState, patience: float) -> None:
        """Start with the catalogue's boot times.  A machine is overdue after `patience` expected boot times."""
        self._cluster_state = cluster_state
        self._patience = patience
        self._ratios: dict[MachineKind, float] = {}
        self._last_ratios: dict[MachineKind, float] = {}
        """For each kind, the ratio of the machine that came up last."""
        self._latest_requested_us: dict[MachineKind, int] = {}
        """For each kind, the latest request time among the machines that have come up."""

    def _catalogue_us(self, kind: MachineKind) -> int:
        machine_type = self._cluster_state.types.get(kind.type)
        return machine_type.boot_us if machine_type is not None else DEFAULT_BOOT_US

    def record(self, kind: MachineKind, requested_us: int, now_us: int) -> None:
        """Record that a machine requested at `requested_us` has come up."""
        ratio = (now_us - requested_us) / max(self._catalogue_us(kind), 1)
        ratio = min(max(ratio, MIN_RATIO), MAX_RATIO)
        average = self._ratios.get(kind, 1.0)
        self._ratios[kind] = average + NEWEST_WEIGHT * (ratio - average)
        self._last_ratios[kind] = ratio
        self._latest_requested_us[kind] = max(requested_us, self._latest_requested_us.get(kind, 0))

    def ratios(self) -> dict[MachineKind, float]:
        """Return the learnt boot time of each kind as a multiple of the catalogue's."""
        return dict(self._ratios)

    def set_ratio(self, kind: MachineKind, ratio: float) -> None:
        """Adopt the ratio that another controller has learnt for a kind."""
        self._ratios[kind] = min(max(ratio, MIN_RATIO), MAX_RATIO)

    def expected_us(self, kind: MachineKind) -> int:
        """Return the expected boot time of a machine that is requested now."""
        return int(self._catalogue_us(kind) * self._ratios.get(kind, 1.0))

    def _overdue_after_us(self, kind: MachineKind) -> int:
        # The last ratio counts at once: when one machine is late, others probably are, too.
        ratio = max(1.0, self._ratios.get(kind, 1.0), self._last_ratios.get(kind, 1.0))
        return int(self._catalogue_us(kind) * ratio * self._patience) + OVERDUE_MARGIN_US

    def remaining_us(self, kind: MachineKind, requested_us: int, now_us: int) -> int | None:
        """Return the expected time until a machine is up, or None if it is overdue."""
        if now_us - requested_us > self._overdue_after_us(kind):
            return None
        return max(requested_us + self.expected_us(kind) - now_us, self._catalogue_us(kind) // 4)

    def should_give_up(self, kind: MachineKind, requested_us: int, now_us: int) -> bool:
        """Return whether to stop waiting for a machine.

        Where all machines are late, each would be given up just before it comes up, so they are waited for longer.  A
        machine is unlikely to come up once one that was requested later has.
        """
        limit_us = self._overdue_after_us(kind)
        if self._latest_requested_us.get(kind, -1) < requested_us:
            limit_us = int(limit_us * NOT_OVERTAKEN_FACTOR)
        return now_us - requested_us > limit_us
