"""The operators' own settings: S-expressions, every one optional, checked, with a documented default."""

from __future__ import annotations

import msgspec


class Knobs(msgspec.Struct, frozen=True):
    buckets: int = 3
    window: int = 50
    top: int = 100
    widen_cap: float = 0.1
    retries: int = 20
    group_size: int = 4
    rules: tuple[str, ...] = ("trust", "image", "scarce", "spot", "packing")
    boot_patience: float = 2.5
    idle_boots: float = 0.5
    patience_s: float = 6.0
