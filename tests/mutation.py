"""Mutation check: replaces one guard at a time in a scratch copy, and runs the tests that must then fail.

python -m tests.mutation [--runs N] [--jobs N] [NAME ...]
"""

from __future__ import annotations

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from tests import production
from tests.mutants import Mutant, load_mutants

ROOT = Path(__file__).resolve().parent.parent


def run_mutant(mutant: Mutant, runs: int) -> str:
    """Run a mutant's tests in a scratch copy; returns the verdict, `caught by TEST: REASON` if a test failed."""
    with tempfile.TemporaryDirectory() as scratch:
        for part in ("ashtray", "tests", "deploy", "pyproject.toml"):
            source = ROOT / part
            copy = shutil.copytree if source.is_dir() else shutil.copy
            copy(source, Path(scratch) / part)
        for before in (ROOT / "target").glob("production-*"):
            # The scratch copy has no git history to take the production version from.
            shutil.copytree(before, Path(scratch) / "target" / before.name)
        mutated = Path(scratch) / mutant.file
        text = mutated.read_text()
        if text.count(mutant.original) != 1:
            return "the text to replace does not occur exactly once"
        mutated.write_text(text.replace(mutant.original, mutant.replacement))
        environment = {**os.environ, "ASHTRAY_MODEL_RUNS": str(runs), "PYTHONDONTWRITEBYTECODE": "1"}
        # Two runs, because pytest keeps the order of tests within a file, whatever the order of its arguments.
        for tests in filter(None, (mutant.first, mutant.tests)):
            command = [sys.executable, "-m", "pytest", "-q", "-x", *tests]
            done = subprocess.run(command, cwd=scratch, env=environment, capture_output=True, text=True, check=False)
            if done.returncode != 0:
                break
        if done.returncode == 0:
            return "NOT caught"
        if done.returncode != 1:
            return f"not run: pytest ended with {done.returncode}"
        return f"caught by {_failed_test(done.stdout)}: {_reason(done.stdout)}"


def _failed_test(output: str) -> str:
    """Return the first failed test in pytest's summary, without the folder."""
    failed = [line.split()[1] for line in output.splitlines() if line.startswith(("FAILED ", "ERROR "))]
    return failed[0].removeprefix("tests/") if failed else "a test without a name"


def _reason(output: str) -> str:
    """Return the first error that pytest shows, limited to 150 characters."""
    lines = output.splitlines()
    reasons = [line for line in lines if line.startswith("E   ") and "Error" in line]
    reasons = reasons or [line for line in lines if "RuleBroken" in line]
    return (reasons[0][4:].strip() if reasons else "failed")[:150]


def main() -> int:
    """Run the chosen mutants, by default all; returns 1 if any was not caught."""
    mutants = load_mutants()
    parser = argparse.ArgumentParser(description="Replace safety guards one at a time and see which tests fail.")
    parser.add_argument("--runs", type=int, default=300, help="generated runs for each mutant")
    parser.add_argument("--jobs", type=int, default=os.cpu_count(), help="mutants run in parallel")
    parser.add_argument("names", nargs="*", default=list(mutants))
    options = parser.parse_args()
    unknown = [name for name in options.names if name not in mutants]
    if unknown:
        parser.error(f"unknown mutants: {', '.join(unknown)}")
    production.load()
    uncaught = 0
    with ThreadPoolExecutor(options.jobs) as pool:
        verdicts = pool.map(lambda name: run_mutant(mutants[name], options.runs), options.names)
        for name, verdict in zip(options.names, verdicts, strict=True):
            uncaught += not verdict.startswith("caught")
            print(f"{name:34} {verdict}", flush=True)
    return 1 if uncaught else 0


if __name__ == "__main__":
    sys.exit(main())
