"""Draws from a seed that come out alike under every version of Python."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import TypeVar

T = TypeVar("T")


class Draw:
    """A source of draws.  It uses `Random.random` alone, whose sequence Python promises to keep."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def between(self, least: float, most: float) -> float:
        """A number from a range, with one decimal."""
        return round(least + (most - least) * self._random.random(), 1)

    def share(self, least: float, most: float) -> float:
        """A share from a range, with two decimals."""
        return round(least + (most - least) * self._random.random(), 2)

    def count(self, least: int, most: int) -> int:
        """A whole number from a range, both ends included."""
        return least + int(self._random.random() * (most - least + 1))

    def chance(self, probability: float) -> bool:
        """True with a probability."""
        return self._random.random() < probability

    def pick(self, items: Sequence[T]) -> T:
        """One of the items."""
        return items[int(self._random.random() * len(items))]

    def shuffled(self, items: Sequence[T]) -> list[T]:
        """The items in any order."""
        remaining, order = list(items), []
        while remaining:
            order.append(remaining.pop(int(self._random.random() * len(remaining))))
        return order
