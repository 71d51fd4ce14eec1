"""Sets of task numbers as text: ranges of consecutive numbers (runs), such as ``0-17,19``."""

from __future__ import annotations

from collections.abc import Iterable


def encode_runs(numbers: Iterable[int]) -> str:
    """Encode a set of numbers as sorted, comma-separated runs."""
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
    """Decode the text that `encode_runs` returned."""
    numbers: set[int] = set()
    for part in text.split(",") if text else ():
        first, _, last = part.partition("-")
        numbers.update(range(int(first), int(last or first) + 1))
    return numbers


def longest_runs(text: str, max_length: int) -> str:
    """Return the longest of the given runs, in their order, that together fit into `max_length` characters."""
    parts = text.split(",")
    sizes = {}
    for part in parts:
        first, _, last = part.partition("-")
        sizes[part] = int(last or first) - int(first) + 1
    kept: set[str] = set()
    for part in sorted(parts, key=lambda part: -sizes[part]):
        max_length -= len(part) + 1
        if max_length < 0:
            break
        kept.add(part)
    return ",".join(part for part in parts if part in kept)
