from ashtray.cli import entry

entry()
