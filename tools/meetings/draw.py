"""Random draws that are the same for the same seed under every version of Python."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import TypeVar

T = TypeVar("T")


class Draw:
    """A source of random draws.  It only uses `Random.random`, whose sequence Python promises not to change."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def between(self, least: float, most: float) -> float:
        """Draw a number from a range, rounded to one decimal."""
        return round(least + (most - least) * self._random.random(), 1)

    def share(self, least: float, most: float) -> float:
        """Draw a share from a range, rounded to two decimals."""
        return round(least + (most - least) * self._random.random(), 2)

    def count(self, least: int, most: int) -> int:
        """Draw a whole number from a range that includes both ends."""
        return least + int(self._random.random() * (most - least + 1))

    def chance(self, probability: float) -> bool:
        """Return True with the given probability."""
        return self._random.random() < probability

    def pick(self, items: Sequence[T]) -> T:
        """Draw one of the items."""
        return items[int(self._random.random() * len(items))]

    def shuffled(self, items: Sequence[T]) -> list[T]:
        """Return the items in a drawn order."""
        remaining, order = list(items), []
        while remaining:
            order.append(remaining.pop(int(self._random.random() * len(remaining))))
        return order
