"""Draw a day on which two or three meetings overlap, for `fleetbench run SITE FILE`.

    python tools/meeting_days.py [--seed N] [--site SITE.toml] [--out FILE] [--size 1.5] [--back-s 0.3]
    python tools/meeting_days.py --list

A meeting is a scenario in which several faults coincide.  The first meeting is drawn from those that broke the most
rules in earlier runs (`FIRST` in `tools/meetings/catalogue.py`), the others from all; `--list` prints them.  The same
seed, site and size give the same file, byte for byte; without `--seed` a seed is drawn.  The seed is printed to
standard error with the names of the meetings; the day goes to FILE or to standard output.  Without `--site` the day
names no job class, team or zone, and can be run on any site.

With `--size` the faults hit that many times as many machines; with `--back-s` a process that ended is started again
after that many seconds.  Both need a changed site: with `--site` and `--out`, a changed copy of the site (made as
`tools/accept.py` does) is written beside FILE as STEM.SITE.toml, where STEM is FILE's name without its extension.
The file of messages that the site names is copied beside it.

Exit codes: 0 written, 2 the command line or a file cannot be used.
"""

from __future__ import annotations

import argparse
import math
import random
import shutil
import sys
import tomllib
from pathlib import Path
from typing import NoReturn

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from tools.accept import Row, site_text  # noqa: E402
from tools.meetings.catalogue import MEETINGS  # noqa: E402
from tools.meetings.day import make_day  # noqa: E402
from tools.meetings.site import SiteError, any_site, read_site  # noqa: E402

SEEDS = 2**31
"""Seeds are less than this number."""
SIZE_RANGE = (0.1, 10.0)
"""The least and the greatest factor of `--size`."""
MAX_BACK_S = 600.0


class Parser(argparse.ArgumentParser):
    """A parser that reports an error of the command line in one line."""

    def error(self, message: str) -> NoReturn:
        """Print the message without the usage and exit with 2."""
        self.exit(2, f"meeting_days: {message}\n")


def seed_of(text: str) -> int:
    """Parse a seed.  Raises ArgumentTypeError."""
    if not (text.isascii() and text.isdigit() and int(text) < SEEDS):
        raise argparse.ArgumentTypeError(f"{text!r} is not a whole number from 0 to {SEEDS - 1}")
    return int(text)


def number_of(text: str, least: float, most: float) -> float:
    """Parse a number within bounds.  Raises ArgumentTypeError."""
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if not least <= number <= most:
        raise argparse.ArgumentTypeError(f"{text!r} is not a number from {least} to {most}")
    return number


def size_of(text: str) -> float:
    """Parse the factor of a site's size."""
    return number_of(text, *SIZE_RANGE)


def restart_delay_of(text: str) -> float:
    """Parse the seconds until a process that ended is started again."""
    return number_of(text, 0.0, MAX_BACK_S)


def write_site(site: Path, out: Path, size: float, back_s: float | None) -> Path:
    """Write a changed copy of a site and its messages beside a day's file; return its path.  Raises SiteError."""
    text = site.read_text(encoding="utf-8")
    try:
        changed = site_text(text, Row(out.stem, out.name, size=size, back_s=back_s))
    except (KeyError, IndexError, TypeError, ValueError) as error:
        raise SiteError(f"site {site}: no changed copy can be made of it: {error!r}") from None
    copy = out.with_name(f"{out.stem}.{site.name}")
    copy.write_text(changed, encoding="utf-8")
    wire = tomllib.loads(text).get("wire")
    if wire and (site.parent / wire).resolve() != (out.parent / wire).resolve():
        shutil.copy(site.parent / wire, out.parent / wire)
    return copy


def arguments() -> argparse.Namespace:
    """Parse the command line; exits with 2 if it cannot be used."""
    parser = Parser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=seed_of, help="the seed of the day (default: drawn and printed)")
    parser.add_argument("--site", type=Path, help="the site file (default: a day for any site)")
    parser.add_argument("--out", type=Path, help="the file for the day (default: standard output)")
    parser.add_argument("--size", type=size_of, default=1.0, help="a factor for machines and work (default: 1.0)")
    parser.add_argument(
        "--back-s",
        type=restart_delay_of,
        help="seconds until an ended process is started again (default: the site's)",
    )
    parser.add_argument("--list", action="store_true", help="print the meetings and draw no day")
    return parser.parse_args()


def main() -> int:
    """Draw a day and write it; returns the exit code."""
    args = arguments()
    if args.list:
        print("\n".join(f"{meeting.name}: {meeting.sentence}" for meeting in MEETINGS))
        return 0
    seed = random.SystemRandom().randrange(SEEDS) if args.seed is None else args.seed
    try:
        if args.site and args.out and args.site.resolve() == args.out.resolve():
            raise SiteError(f"site {args.site}: --out would overwrite it")
        site = any_site(args.size) if args.site is None else read_site(args.site, args.size)
        day = make_day(seed, site)
        if args.out is None:
            print(day.text(), end="")
        else:
            args.out.write_text(day.text(), encoding="utf-8")
            if args.site is not None and (args.size != 1.0 or args.back_s is not None):
                print(f"site: {write_site(args.site, args.out, args.size, args.back_s)}", file=sys.stderr)
    except SiteError as error:
        print(f"meeting_days: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"meeting_days: {error.filename}: {error.strerror}", file=sys.stderr)
        return 2
    print(f"seed {seed}: {' + '.join(meeting.name for meeting in day.meetings)}", file=sys.stderr)
    return 0


if __name__ == "__main__":
    sys.exit(main())
