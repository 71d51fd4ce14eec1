"""Stand-ins for the state service, the cloud and the workers, written from their published protocols.

They are plain state machines: a request and the time go in, an answer comes out.  `serve` puts them on loopback.
"""
