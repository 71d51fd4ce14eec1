"""Guarantees by amount: what may be stopped of one team's work to give another one its guarantee.

The protocol allows to stop "work that another team runs beyond its own guarantee".  That is an amount of CPUs and
GPUs, not a property of jobs: a team that uses 5 CPUs of a guarantee of 4 runs one CPU beyond it, however large the
array is that they belong to.  So what may be stopped is counted, task by task, against the team's *excess*: its use,
less what is being stopped already, less its guarantee, of CPUs and GPUs both.

Two controllers that decide at once would each stop the same excess.  Nothing else that they commit need conflict, so
each such stop raises the version of a record of the victim's team (`now/claim/TEAM`) in the same transaction, and
guards the version that its cluster state has: the later one conflicts, and sees on its next cluster state what the
first has
stopped, for a stop is marked in the holds themselves.  The record says who claimed what for whom, for people; only
its version counts.  So claims need no end: what they took shows in the holds until it is gone.
"""

from __future__ import annotations

from typing import Any

from ashtray.config.settings import Team
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.machine_groups import Allocation
from ashtray.placement.records import AMOUNT_TOLERANCE
from ashtray.placement.state_keys import CLAIM
from ashtray.store.client import Txn

Amounts = tuple[float, float]
"""CPUs and GPUs."""


def leaving(cluster_state: ClusterState) -> dict[str, Amounts]:
    """By team, what its tasks hold that have been told to stop, and are counted as used until they are gone."""
    found: dict[str, Amounts] = {}
    for holds in cluster_state.allocations.values():
        for hold in holds.values():
            if hold.record.stop_us >= 0:
                team = hold.record.team
                found[team] = plus(found.get(team, (0.0, 0.0)), amounts(hold, len(hold.tasks)))
    return found


def amounts(hold: Allocation, tasks: int) -> Amounts:
    """What so many tasks of an allocation use."""
    return tasks * hold.record.cpus, tasks * hold.record.gpus


def plus(a: Amounts, b: Amounts) -> Amounts:
    """The sum of two amounts."""
    return a[0] + b[0], a[1] + b[1]


class Excess:
    """What each team runs beyond its guarantee, as far as one cluster state shows, and what has been taken of it."""

    def __init__(self, cluster_state: ClusterState, teams: dict[str, Team]) -> None:
        going = leaving(cluster_state)
        self._left: dict[str, Amounts] = {}
        for team in teams.values():
            used, gone = cluster_state.team_usage(team.name), going.get(team.name, (0.0, 0.0))
            self._left[team.name] = used[0] - gone[0] - team.cpus, used[1] - gone[1] - team.gpus

    def any(self, team: str) -> bool:
        """Whether a team runs anything beyond its guarantee."""
        cpus, gpus = self._left.get(team, (0.0, 0.0))
        return cpus > AMOUNT_TOLERANCE or gpus > AMOUNT_TOLERANCE

    def allows(self, taken: dict[str, Amounts]) -> bool:
        """Whether so much of each team may be stopped: of neither CPUs nor GPUs more than it runs beyond."""
        for team, (cpus, gpus) in taken.items():
            left = self._left.get(team, (0.0, 0.0))
            if cpus > max(left[0], 0.0) + AMOUNT_TOLERANCE or gpus > max(left[1], 0.0) + AMOUNT_TOLERANCE:
                return False
        return True


def claim(txn: Txn, cluster_state: ClusterState, taken: dict[str, Amounts], by: str, job: str, wall_us: int) -> None:
    """Put the claims for what a transaction stops into it, so that of two that are made at once one fails."""
    for team, (cpus, gpus) in sorted(taken.items()):
        value: dict[str, Any] = {"by": by, "for": job, "cpus": cpus, "gpus": gpus, "at_us": wall_us}
        txn.guard(CLAIM + team, cluster_state.version(CLAIM + team)).put(CLAIM + team, value)
