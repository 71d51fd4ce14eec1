"""Placement: the picture, the ordered rules, commits and the queue."""
