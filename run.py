"""Start one controller: ``python3 run.py --config FILE`` is ``ashtray run --config FILE``."""

import sys
from pathlib import Path

_TARGET = Path(__file__).resolve().parent / "target"
# The controllers' disk is read-only: bytecode is compiled by the build step and only read here.
sys.pycache_prefix = str(_TARGET / "pycache")
sys.dont_write_bytecode = True
sys.path.insert(0, str(_TARGET / "deps"))

from ashtray.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main(["run", *sys.argv[1:]]))
