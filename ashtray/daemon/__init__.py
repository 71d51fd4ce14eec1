"""The daemon: the only place with sockets, timers and clocks."""
