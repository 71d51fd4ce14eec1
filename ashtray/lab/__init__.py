"""Experiments on ashtray's own parts, in virtual time.  An extra: `pip install .[lab]`."""
