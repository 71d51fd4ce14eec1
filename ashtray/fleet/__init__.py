"""Machines: renting, returning and giving up on them."""
