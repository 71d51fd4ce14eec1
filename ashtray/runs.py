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


def longest_runs(text: str, room: int) -> str:
    """The longest of some runs, as many as fit into so many characters."""
    parts = text.split(",")
    sizes = {}
    for part in parts:
        first, _, last = part.partition("-")
        sizes[part] = int(last or first) - int(first) + 1
    kept: set[str] = set()
    for part in sorted(parts, key=lambda part: -sizes[part]):
        room -= len(part) + 1
        if room < 0:
            break
        kept.add(part)
    return ",".join(part for part in parts if part in kept)
