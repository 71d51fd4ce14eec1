"""The daemon: the only package that uses sockets, timers and clocks."""
