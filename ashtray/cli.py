"""The command line."""

from __future__ import annotations

import argparse
import logging
import os
import sys
from collections.abc import Sequence

from ashtray import __version__
from ashtray.config.operators import Knobs
from ashtray.config.settings import SettingsError, load_settings

EXIT_OK, EXIT_FAILED, EXIT_USAGE = 0, 1, 2


def _logging() -> None:
    level = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        stream=sys.stderr, level={"error": "ERROR", "debug": "DEBUG"}.get(level, "INFO"),
        format="%(levelname)s %(message)s",
    )  # fmt: skip
    for noisy in ("asyncio", "aiohttp"):
        logging.getLogger(noisy).setLevel(logging.ERROR)


def _run(args: argparse.Namespace) -> int:
    settings = load_settings(args.config)
    _logging()
    from ashtray.daemon.server import run

    run(settings, Knobs())
    return EXIT_OK


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(prog="ashtray", description="A cluster scheduler.")
    top.add_argument("--version", action="version", version=f"ashtray {__version__}")
    commands = top.add_subparsers(dest="command", required=True)
    run = commands.add_parser("run", help="run one controller")
    run.add_argument("--config", required=True, metavar="FILE", help="the settings file (TOML)")
    run.set_defaults(call=_run)
    return top


def main(argv: Sequence[str] | None = None) -> int:
    args = parser().parse_args(argv)
    try:
        return int(args.call(args))
    except SettingsError as error:
        print(f"ashtray: {error}", file=sys.stderr)
        return EXIT_USAGE
    except KeyboardInterrupt:
        return EXIT_FAILED


def entry() -> None:
    sys.exit(main())
