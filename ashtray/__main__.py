"""`python -m ashtray`: the command line."""

from ashtray.cli import entry

entry()
