"""Mutants: each replaces one guard of the code, and at least one test must then fail.

Each module of this package defines `MUTANTS`, which maps a mutant's name to a file, a text that occurs in it exactly
once, and the replacement, and `TESTS`, the test files that are run against its mutants. It may define `FIRST`, which
maps a mutant's name to test files or pytest node ids that are run before the others: the run of a mutant ends with
the first failed test.
"""

from __future__ import annotations

import importlib
import pkgutil
from dataclasses import dataclass


@dataclass(frozen=True)
class Mutant:
    """One guard to replace, and the tests to run."""

    name: str
    file: str
    original: str
    replacement: str
    first: tuple[str, ...]
    """Test files or pytest node ids that are run before the others."""
    tests: tuple[str, ...]


def load_mutants() -> dict[str, Mutant]:
    """Return the mutants of all modules of this package by name; raises ValueError if a name is used twice."""
    found: dict[str, Mutant] = {}
    for info in pkgutil.iter_modules(__path__):
        module = importlib.import_module(f"{__name__}.{info.name}")
        first_tests: dict[str, list[str]] = getattr(module, "FIRST", {})
        for name, (file, original, replacement) in module.MUTANTS.items():
            if name in found:
                raise ValueError(f"two mutants are named {name}")
            first = tuple(first_tests.get(name, ()))
            found[name] = Mutant(name, file, original, replacement, first, tuple(module.TESTS))
    return found
