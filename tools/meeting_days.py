"""Draw a day on which two or three meetings of troubles fall together, for `fleetbench run SITE FILE`.

    python tools/meeting_days.py [--seed N] [--site SITE.toml] [--out FILE] [--size 1.5] [--back-s 0.3]
    python tools/meeting_days.py --list

The first meeting is drawn from those that most rules broke in (`FIRST` in `tools/meetings/catalogue.py`), the others
from all; `--list` prints them.  The same seed, site and size give the same file, byte for byte; without `--seed` one
is drawn.  The seed is printed to standard error with the names of the meetings; the day goes to FILE or to standard
output.
Without `--site` a day is drawn that names no class, team or zone, and holds for any site.

With `--size` as many more machines are hit; with `--back-s` processes are back after so many seconds. The site has
to be changed with them: given `--site` and `--out`, its changed copy (as `tools/accept.py` makes it) is written
beside FILE as STEM.SITE.toml, STEM being FILE's name without its ending, with the file of messages that the site
names.

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
"""Seeds are below that."""
SIZES = (0.1, 10.0)
MOST_BACK_S = 600.0


class Parser(argparse.ArgumentParser):
    """A parser that says in one line what is wrong."""

    def error(self, message: str) -> NoReturn:
        """Print the message without the usage; the exit code is 2."""
        self.exit(2, f"meeting_days: {message}\n")


def seed_of(text: str) -> int:
    """A seed from the command line."""
    if not (text.isascii() and text.isdigit() and int(text) < SEEDS):
        raise argparse.ArgumentTypeError(f"{text!r} is not a whole number from 0 to {SEEDS - 1}")
    return int(text)


def number_of(text: str, least: float, most: float) -> float:
    """A number within bounds from the command line."""
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if not least <= number <= most:
        raise argparse.ArgumentTypeError(f"{text!r} is not a number from {least} to {most}")
    return number


def size_of(text: str) -> float:
    """A site's size, as a factor."""
    return number_of(text, *SIZES)


def back_of(text: str) -> float:
    """How soon an ended process is back, in seconds."""
    return number_of(text, 0.0, MOST_BACK_S)


def write_site(site: Path, out: Path, size: float, back_s: float | None) -> Path:
    """Write a site's copy of another size beside a day's file, with its messages; its path.  Raises SiteError."""
    text = site.read_text(encoding="utf-8")
    try:
        changed = site_text(text, Row(out.stem, out.name, size=size, back_s=back_s))
    except (KeyError, IndexError, TypeError, ValueError) as error:
        raise SiteError(f"site {site}: no copy of another size can be made of it: {error!r}") from None
    copy = out.with_name(f"{out.stem}.{site.name}")
    copy.write_text(changed, encoding="utf-8")
    wire = tomllib.loads(text).get("wire")
    if wire and (site.parent / wire).resolve() != (out.parent / wire).resolve():
        shutil.copy(site.parent / wire, out.parent / wire)
    return copy


def arguments() -> argparse.Namespace:
    """The command line."""
    parser = Parser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=seed_of, help="what the day is drawn from (default: drawn and printed)")
    parser.add_argument("--site", type=Path, help="the site file (default: a day that holds for any)")
    parser.add_argument("--out", type=Path, help="where the day is written (default: standard output)")
    parser.add_argument("--size", type=size_of, default=1.0, help="machines and work times a factor (default: 1.0)")
    parser.add_argument("--back-s", type=back_of, help="how soon an ended process is back (default: the site's)")
    parser.add_argument("--list", action="store_true", help="print the meetings, and draw nothing")
    return parser.parse_args()


def main() -> int:
    """Draw a day and write it; the exit code."""
    args = arguments()
    if args.list:
        print("\n".join(f"{meeting.name}: {meeting.sentence}" for meeting in MEETINGS))
        return 0
    seed = random.SystemRandom().randrange(SEEDS) if args.seed is None else args.seed
    try:
        if args.site and args.out and args.site.resolve() == args.out.resolve():
            raise SiteError(f"site {args.site}: --out would write over it")
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
