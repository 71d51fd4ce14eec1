"""ashtray: a cluster scheduler whose controllers keep their whole state in a small, consistent state service."""

__version__ = "0.1.0"
