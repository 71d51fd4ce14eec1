"""Mutants: each replaces one guard of the code, and some test must fail with it.

Each module of this package states `MUTANTS`, from a mutant's name to the file, the text that stands there exactly
once and what replaces it, and `TESTS`, the test files that are run against its mutants. It may state `FIRST`, from a
mutant's name to the test files, or tests as pytest names them, that are run before the others: a mutant is done with
once a test has failed.
"""

from __future__ import annotations

import importlib
import pkgutil
from dataclasses import dataclass


@dataclass(frozen=True)
class Mutant:
    """One guard to be replaced, and the tests that are run against it."""

    name: str
    file: str
    original: str
    replacement: str
    first: tuple[str, ...]
    """Test files, or tests as pytest names them, that are run before the others."""
    tests: tuple[str, ...]


def load_mutants() -> dict[str, Mutant]:
    """Collect the mutants of all modules of this package by name; a name that is used twice is a ValueError."""
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
