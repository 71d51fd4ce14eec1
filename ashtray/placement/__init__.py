"""Placement: the cluster state, the ordered rules, commits and the queue."""
