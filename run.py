"""Start one controller: ``python3 run.py --config FILE`` is ``ashtray run --config FILE``."""

import sys
from pathlib import Path

_TARGET = Path(__file__).resolve().parent / "target"
sys.dont_write_bytecode = True
sys.path.insert(0, str(_TARGET / "deps"))

# Libraries have their compiled files beside them.  Imported after the prefix below is set, they would be looked for
# under it and compiled anew at each start, which took two thirds of the time of one.
import argparse  # noqa: E402, F401
import dataclasses  # noqa: E402, F401
import hmac  # noqa: E402, F401
import logging  # noqa: E402, F401
import random  # noqa: E402, F401
import tomllib  # noqa: E402, F401
import traceback  # noqa: E402, F401

import aiohttp.web  # noqa: E402, F401
import msgspec  # noqa: E402, F401
import sexpdata  # noqa: E402, F401
import uvloop  # noqa: E402, F401

# The controllers' disk is read-only: bytecode is compiled by the build step and only read here.
sys.pycache_prefix = str(_TARGET / "pycache")

from ashtray.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main(["run", *sys.argv[1:]]))
