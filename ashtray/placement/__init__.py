"""Placement of tasks: the cluster state, the queue, the placement rules and the transactions that place tasks."""
