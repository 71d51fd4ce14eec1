"""Guarantees as amounts: how much of one team's work may be preempted to give another team its guarantee.

The protocol allows to stop "work that another team runs beyond its own guarantee".  That is an amount of CPUs and
GPUs, not a property of jobs: a team that uses 5 CPUs of a guarantee of 4 runs one CPU beyond it, however large the
array is that these CPUs belong to.  So each victim task counts against its team's *excess*, in CPUs and in GPUs: the
team's usage, less what is being stopped already, less its guarantee.

Two controllers that decide at the same time could both preempt the same excess, as nothing else in their transactions
need conflict.  So each such transaction also guards and writes a claim, a record of the victims' team
(`now/claim/TEAM`).  The later transaction conflicts.  Its controller then sees in its next cluster state what the
first one stopped, because a stop is marked in the allocations.  Only the claim's version counts; its content tells
operators who stopped how much for which job.  Claims are never removed, and need not be: the allocations show what
was stopped until its tasks are gone.
"""

from __future__ import annotations

from typing import Any

from ashtray.config.settings import Team
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.machine_groups import Allocation
from ashtray.placement.records import AMOUNT_TOLERANCE
from ashtray.placement.state_keys import CLAIM
from ashtray.store.transaction import Txn

Amounts = tuple[float, float]
"""CPUs and GPUs."""


def ending_usage(cluster_state: ClusterState) -> dict[str, Amounts]:
    """Return, by team, what the tasks use that were told to stop.

    The team's usage in the cluster state includes it until these tasks are gone.
    """
    found: dict[str, Amounts] = {}
    for by_key in cluster_state.allocations.values():
        for allocation in by_key.values():
            if allocation.record.stop_us >= 0:
                team = allocation.record.team
                found[team] = add_amounts(found.get(team, (0.0, 0.0)), amounts_of(allocation, len(allocation.tasks)))
    return found


def amounts_of(allocation: Allocation, tasks: int) -> Amounts:
    """Return what so many tasks of an allocation use."""
    return tasks * allocation.record.cpus, tasks * allocation.record.gpus


def add_amounts(a: Amounts, b: Amounts) -> Amounts:
    """Return the sum of two amounts."""
    return a[0] + b[0], a[1] + b[1]


class Excess:
    """What each team runs beyond its guarantee, as a cluster state shows it."""

    def __init__(self, cluster_state: ClusterState, teams: dict[str, Team]) -> None:
        ending_by_team = ending_usage(cluster_state)
        self._left: dict[str, Amounts] = {}
        for team in teams.values():
            used, ending = cluster_state.team_usage(team.name), ending_by_team.get(team.name, (0.0, 0.0))
            self._left[team.name] = used[0] - ending[0] - team.cpus, used[1] - ending[1] - team.gpus

    def any(self, team: str) -> bool:
        """Return whether a team runs anything beyond its guarantee."""
        cpus, gpus = self._left.get(team, (0.0, 0.0))
        return cpus > AMOUNT_TOLERANCE or gpus > AMOUNT_TOLERANCE

    def allows(self, taken: dict[str, Amounts]) -> bool:
        """Return whether these amounts may be stopped: each within its team's excess of CPUs and of GPUs."""
        for team, (cpus, gpus) in taken.items():
            left = self._left.get(team, (0.0, 0.0))
            if cpus > max(left[0], 0.0) + AMOUNT_TOLERANCE or gpus > max(left[1], 0.0) + AMOUNT_TOLERANCE:
                return False
        return True


def claim(txn: Txn, cluster_state: ClusterState, taken: dict[str, Amounts], by: str, job: str, wall_us: int) -> None:
    """Add a claim on each team in `taken` to a transaction that stops these amounts of their work.

    Of two such transactions that are made at the same time, one then fails.  `by` is the controller, `job` the id of
    the job that the tasks are stopped for.
    """
    for team, (cpus, gpus) in sorted(taken.items()):
        value: dict[str, Any] = {"by": by, "for": job, "cpus": cpus, "gpus": gpus, "at_us": wall_us}
        txn.guard(CLAIM + team, cluster_state.version(CLAIM + team)).put(CLAIM + team, value)
