"""Sets of task numbers written as runs, such as ``0-17,19``."""

from __future__ import annotations

from collections.abc import Iterable


def encode_runs(numbers: Iterable[int]) -> str:
    """Write a set of numbers as sorted runs."""
    parts: list[str] = []
    first = last = -2
    for n in [*sorted(numbers), -1]:
        if n == last + 1:
            last = n
            continue
        if first >= 0:
            parts.append(str(first) if first == last else f"{first}-{last}")
        first = last = n
    return ",".join(parts)


def decode_runs(text: str) -> set[int]:
    """Read what `encode_runs` wrote."""
    numbers: set[int] = set()
    for part in text.split(",") if text else ():
        first, _, last = part.partition("-")
        numbers.update(range(int(first), int(last or first) + 1))
    return numbers
