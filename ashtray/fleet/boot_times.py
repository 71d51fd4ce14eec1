"""How long machines take to boot at present, learnt by kind: the catalogue's times can be wrong by many times."""

from __future__ import annotations

from ashtray.fleet.machine_kind import MachineKind
from ashtray.kernel import SECOND_US
from ashtray.placement.cluster_state import ClusterState

NEWEST_WEIGHT = 0.15
"""The weight of the newest boot in the exponential average."""
MIN_RATIO, MAX_RATIO = 0.5, 6.0
"""The bounds of what is learnt, in boot times of the catalogue."""
DEFAULT_BOOT_US = 60 * SECOND_US
"""The boot time of a machine type that the catalogue does not have."""
OVERDUE_MARGIN_US = 5 * SECOND_US
NOT_OVERTAKEN_FACTOR = 3.0
"""A machine is waited for so many times as long while none that was requested later has come up either."""


class BootTimes:
    """Boot times by machine kind, as ratios to those of the catalogue.  All times are microseconds."""

    def __init__(self, cluster_state: ClusterState, patience: float) -> None:
        """`patience`: after how many expected boot times a machine is overdue."""
        self._cluster_state = cluster_state
        self._patience = patience
        self._ratios: dict[MachineKind, float] = {}
        self._last_ratios: dict[MachineKind, float] = {}
        """The ratio of the machine of each kind that came up last."""
        self._latest_requested_us: dict[MachineKind, int] = {}
        """Of the machines of each kind that have come up, when the one requested last was requested."""

    def _catalogue_us(self, kind: MachineKind) -> int:
        machine_type = self._cluster_state.types.get(kind.type)
        return machine_type.boot_us if machine_type is not None else DEFAULT_BOOT_US

    def record(self, kind: MachineKind, requested_us: int, now_us: int) -> None:
        """A machine that was requested at that time has come up."""
        ratio = (now_us - requested_us) / max(self._catalogue_us(kind), 1)
        ratio = min(max(ratio, MIN_RATIO), MAX_RATIO)
        average = self._ratios.get(kind, 1.0)
        self._ratios[kind] = average + NEWEST_WEIGHT * (ratio - average)
        self._last_ratios[kind] = ratio
        self._latest_requested_us[kind] = max(requested_us, self._latest_requested_us.get(kind, 0))

    def ratios(self) -> dict[MachineKind, float]:
        """How many times the catalogue's boot time each kind takes, as learnt."""
        return dict(self._ratios)

    def set_ratio(self, kind: MachineKind, ratio: float) -> None:
        """Take over what another controller has learnt of a kind."""
        self._ratios[kind] = min(max(ratio, MIN_RATIO), MAX_RATIO)

    def expected_us(self, kind: MachineKind) -> int:
        """How long a machine that is requested now may be expected to take."""
        return int(self._catalogue_us(kind) * self._ratios.get(kind, 1.0))

    def _overdue_after_us(self, kind: MachineKind) -> int:
        # The first machine that is late says at once that others may be late, too.
        ratio = max(1.0, self._ratios.get(kind, 1.0), self._last_ratios.get(kind, 1.0))
        return int(self._catalogue_us(kind) * ratio * self._patience) + OVERDUE_MARGIN_US

    def remaining_us(self, kind: MachineKind, requested_us: int, now_us: int) -> int | None:
        """The time until a machine may be expected; None if it is overdue and nobody knows."""
        if now_us - requested_us > self._overdue_after_us(kind):
            return None
        return max(requested_us + self.expected_us(kind) - now_us, self._catalogue_us(kind) // 4)

    def should_give_up(self, kind: MachineKind, requested_us: int, now_us: int) -> bool:
        """Whether a machine is to be given up.

        When all are late, giving each up just before it comes would mean that none ever does; a machine that others,
        requested later, have overtaken will hardly come.
        """
        limit_us = self._overdue_after_us(kind)
        if self._latest_requested_us.get(kind, -1) < requested_us:
            limit_us = int(limit_us * NOT_OVERTAKEN_FACTOR)
        return now_us - requested_us > limit_us
