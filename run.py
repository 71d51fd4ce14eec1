"""Start one controller: ``python3 run.py --config FILE`` is ``ashtray run --config FILE``."""

import importlib
import sys
from pathlib import Path

_TARGET = Path(__file__).resolve().parent / "target"
sys.dont_write_bytecode = True
sys.path.insert(0, str(_TARGET / "deps"))

# Libraries have their compiled files beside them.  Imported after the prefix below is set, they would be looked for
# under it and compiled anew at each start, which took two thirds of the time of one.
for _name in (
    "argparse",
    "dataclasses",
    "hmac",
    "logging",
    "random",
    "tomllib",
    "traceback",
    "aiohttp.web",
    "msgspec",
    "sexpdata",
    "uvloop",
):
    importlib.import_module(_name)

# The controllers' disk is read-only: bytecode is compiled by the build step and only read here.
sys.pycache_prefix = str(_TARGET / "pycache")

from ashtray.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main(["run", *sys.argv[1:]]))
