"""Fakes of the state service, the cloud and the workers, written from their published protocols.

They are state machines without I/O: a request and the time go in, an answer comes out.  `serve` serves them over HTTP
on the loopback interface.
"""
