"""Compares `docs/architecture.md` with the code: imports, the path of a job, keys and record types."""

from __future__ import annotations

import ast
import re
from collections import defaultdict
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "ashtray"
PAGE = (ROOT / "docs" / "architecture.md").read_text()
MAX_LINES = 120
PREFIXES = {"ashtray", "ashtray/now"}
"""Prefixes of keys that are not keys themselves."""
NOT_LISTED = {"__init__", "__main__"}
"""Modules without code of their own, which the page does not list."""


def section(title: str) -> str:
    """Return the text of the page under a heading."""
    return PAGE.split(f"## {title}\n", 1)[1].split("\n## ", 1)[0]


def rows(title: str) -> list[list[str]]:
    """Return the cells of the table under a heading, without its header."""
    lines = [line for line in section(title).splitlines() if line.startswith("|")]
    return [[cell.strip() for cell in line.strip("|").split("|")] for line in lines[2:]]


def part_of(path: Path) -> str:
    """Return the package of a module, or the module itself if it is in no subpackage."""
    return path.relative_to(PACKAGE).parts[0].removesuffix(".py")


def imported_modules(tree: ast.AST, package: str = "ashtray") -> set[str]:
    """Return the full names of the project's modules that a module imports, also within functions."""
    found = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            assert node.level == 0, "imports are absolute"
            names = {f"{node.module}.{alias.name}" for alias in node.names}
            found |= names if node.module == package else {node.module or ""}
    return {name for name in found if name.startswith(f"{package}.")}


def actual_imports() -> dict[str, set[str]]:
    """Map each package, and each module in no subpackage, to the others that it imports."""
    parts = {part_of(path) for path in PACKAGE.rglob("*.py")}
    found: dict[str, set[str]] = defaultdict(set)
    for path in PACKAGE.rglob("*.py"):
        part = part_of(path)
        names = {module.split(".")[1] for module in imported_modules(ast.parse(path.read_text()))}
        found[part] |= (names & parts) - {part}
    return {part: names for part, names in found.items() if part not in NOT_LISTED}


def keys_in_code() -> set[str]:
    """Return all string constants of the code that are keys, or prefixes of keys, in the state service."""
    constants = (
        node.value
        for path in PACKAGE.rglob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    )
    return {text.rstrip("/") for text in constants if re.fullmatch(r"ashtray/[a-z/]*", text)} - PREFIXES


def test_the_page_is_within_its_line_limit() -> None:
    assert len(PAGE.splitlines()) <= MAX_LINES


def test_the_table_lists_exactly_the_imports_of_the_code() -> None:
    table = {
        part.strip("`"): {name for name in imports.split(", ") if name}
        for part, _, imports in rows("Packages, and what each may import")
    }
    assert table == actual_imports()


def test_the_table_states_the_duty_of_each_package() -> None:
    assert all(duty for _, duty, _ in rows("Packages, and what each may import"))


@pytest.mark.parametrize(
    ("source", "modules"),
    [
        ("import ashtray.store.client", {"ashtray.store.client"}),
        ("from ashtray import runs", {"ashtray.runs"}),
        ("def f():\n    from ashtray.store.client import Txn", {"ashtray.store.client"}),
        ("if TYPE_CHECKING:\n    from ashtray.jobs.model import Job", {"ashtray.jobs.model"}),
        ("import msgspec\nfrom ashtrays.store import Txn", set()),
    ],
)
def test_all_forms_of_imports_are_found(source: str, modules: set[str]) -> None:
    assert imported_modules(ast.parse(source)) == modules


def test_the_path_of_a_job_names_existing_modules() -> None:
    path = section("The path of a submitted job")
    steps = [int(number) for number in re.findall(r"^(\d+)\. ", path, re.MULTILINE)]
    modules = re.findall(r"`([a-z_/]+\.py)`", path)
    assert steps == list(range(1, len(steps) + 1)) and len(modules) > 15
    assert [module for module in modules if not (PACKAGE / module).is_file()] == []


def test_the_table_lists_exactly_the_keys_of_the_code() -> None:
    keys = {
        re.split("[A-Z]", key.strip("`"), maxsplit=1)[0].rstrip("/")
        for key, _, _ in rows("Keys in the state service")
    }
    assert keys == keys_in_code()


def test_the_listed_record_types_exist() -> None:
    types = [name for _, record, _ in rows("Keys in the state service") for name in re.findall(r"`([\w.]+)`", record)]
    assert len(types) >= 5
    for name in types:
        module, _, record = name.rpartition(".")
        tree = ast.parse((PACKAGE / f"{module.replace('.', '/')}.py").read_text())
        assert record in {node.name for node in ast.walk(tree) if isinstance(node, ast.ClassDef)}, name
