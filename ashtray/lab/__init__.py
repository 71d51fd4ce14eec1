"""Offline experiments with parts of ashtray, in virtual time.  Needs the extra: `pip install .[lab]`."""
