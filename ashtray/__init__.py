"""ashtray: a cluster scheduler whose controllers keep all they know in a small consistent store."""

__version__ = "0.1.0"
