"""How long machines take to come up at present: at times it is many times what the catalogue says, or never."""

from __future__ import annotations

from ashtray.kernel import SECOND_US
from ashtray.placement.picture import Picture

Kind = tuple[str, str, bool]
"""Type, zone and whether spot."""

WEIGHT = 0.15
LEAST, MOST = 0.5, 6.0
"""The bounds of what is learnt, in boot times of the catalogue."""
UNKNOWN_US = 60 * SECOND_US
SLACK_US = 5 * SECOND_US
LONGER = 3.0
"""A machine is waited for so many times as long while none that was asked for later has come up either."""


class Boots:
    """Boot times as seen lately, by type, zone and kind, over those of the catalogue."""

    def __init__(self, picture: Picture, patience: float) -> None:
        self._picture = picture
        self._patience = patience
        self._ratios: dict[Kind, float] = {}
        self._last: dict[Kind, float] = {}
        """The ratio of the one that came up last."""
        self._latest: dict[Kind, int] = {}
        """When the machine that was asked for last, of those that have come up, was asked for."""

    def _listed_us(self, kind: Kind) -> int:
        """The catalogue's boot time."""
        machine = self._picture.types.get(kind[0])
        return machine.boot_us if machine is not None else UNKNOWN_US

    def came(self, kind: Kind, since_us: int, now_us: int) -> None:
        """A machine has come up that was asked for at that time."""
        ratio = min(max((now_us - since_us) / max(self._listed_us(kind), 1), LEAST), MOST)
        old = self._ratios.get(kind, 1.0)
        self._ratios[kind] = old + WEIGHT * (ratio - old)
        self._last[kind] = ratio
        self._latest[kind] = max(since_us, self._latest.get(kind, 0))

    def ratios(self) -> dict[Kind, float]:
        """How many times the catalogue's boot time each kind takes, as learnt."""
        return dict(self._ratios)

    def told(self, kind: Kind, ratio: float) -> None:
        """Another controller has learnt that."""
        self._ratios[kind] = min(max(ratio, LEAST), MOST)

    def expected_us(self, kind: Kind) -> int:
        """How long a machine that is asked for now may be expected to take."""
        return int(self._listed_us(kind) * self._ratios.get(kind, 1.0))

    def _limit_us(self, kind: Kind) -> int:
        # The first that comes late says at once that others may, too.
        ratio = max(1.0, self._ratios.get(kind, 1.0), self._last.get(kind, 1.0))
        return int(self._listed_us(kind) * ratio * self._patience) + SLACK_US

    def left_us(self, kind: Kind, since_us: int, now_us: int) -> int | None:
        """The time until a machine may be expected; None if it is overdue, and nobody knows."""
        if now_us - since_us > self._limit_us(kind):
            return None
        return max(since_us + self.expected_us(kind) - now_us, self._listed_us(kind) // 4)

    def hopeless(self, kind: Kind, since_us: int, now_us: int) -> bool:
        """Whether a machine is to be given up.

        When all are late, giving each up just before it comes would mean that none ever does; one that others
        asked for later have overtaken will hardly come.
        """
        limit_us = self._limit_us(kind)
        if self._latest.get(kind, -1) < since_us:
            limit_us = int(limit_us * LONGER)
        return now_us - since_us > limit_us
