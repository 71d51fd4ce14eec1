"""Start one controller: ``python3 run.py --config FILE`` does the same as ``ashtray run --config FILE``."""

import importlib
import sys
from pathlib import Path

_TARGET = Path(__file__).resolve().parent / "target"
sys.dont_write_bytecode = True
sys.path.insert(0, str(_TARGET / "deps"))

# The bytecode of libraries lies beside their sources.  If they were imported after the prefix below is set, Python
# would look for their bytecode under it and compile them at each start, which took two thirds of the start-up time.
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

# The controllers' disk is read-only: the build step writes the bytecode of ashtray, and it is only read here.
sys.pycache_prefix = str(_TARGET / "pycache")

from ashtray.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main(["run", *sys.argv[1:]]))
