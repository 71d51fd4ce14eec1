"""Loads the version in production from the repository's history, to run it beside the current version."""

from __future__ import annotations

import contextlib
import importlib
import io
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from pathlib import Path
from types import SimpleNamespace

ROOT = Path(__file__).resolve().parent.parent
NAME = "ashtray_production"


def _unpack(source: bytes, folder: Path) -> None:
    """Unpack the sources under the package name `NAME`.

    The folder appears complete or not at all, because test processes that run in parallel unpack it, too.
    """
    folder.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(dir=folder.parent) as scratch:
        unpacked = Path(scratch) / folder.name
        with tarfile.open(fileobj=io.BytesIO(source)) as archive:
            for member in archive.getmembers():
                file = archive.extractfile(member)
                if file is not None and member.name.endswith(".py"):
                    path = unpacked / member.name.replace("ashtray", NAME, 1)
                    path.parent.mkdir(parents=True, exist_ok=True)
                    path.write_text(file.read().decode().replace("from ashtray", f"from {NAME}"))
        with contextlib.suppress(OSError):
            # Another process has created the folder already.
            unpacked.rename(folder)


def load() -> SimpleNamespace | None:
    """Return the production version's controller and settings classes; None if git cannot provide its sources."""
    commit = tomllib.loads((ROOT / "deploy/service.toml").read_text())["production"]
    folder = ROOT / "target" / f"production-{commit}"
    if not (folder / NAME).is_dir():
        done = subprocess.run(["git", "archive", commit, "ashtray"], cwd=ROOT, capture_output=True, check=False)
        if done.returncode != 0:
            return None
        _unpack(done.stdout, folder)
    if str(folder) not in sys.path:
        sys.path.insert(0, str(folder))
    return SimpleNamespace(
        Controller=importlib.import_module(f"{NAME}.controller").Controller,
        Settings=importlib.import_module(f"{NAME}.config.settings").Settings,
        Knobs=importlib.import_module(f"{NAME}.config.operators").Knobs,
    )
