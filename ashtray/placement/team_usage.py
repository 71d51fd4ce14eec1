"""Accounting of the CPUs and GPUs that teams use, in total and by the controller that placed the tasks."""

from __future__ import annotations

from ashtray.placement.records import AllocationRecord

MICRO = 1_000_000
"""Sums are kept in integer millionths: adding and subtracting the same amounts then leaves exactly zero."""
NO_USAGE = (0, 0)


class TeamUsage:
    """Sums over all allocations in the cluster state, including those of ending tasks."""

    def __init__(self) -> None:
        self._by_team: dict[str, tuple[int, int]] = {}
        self._by_controller: dict[tuple[str, str], tuple[int, int]] = {}
        """Millionths of CPUs and GPUs, by team and placing controller."""

    def add(self, record: AllocationRecord, tasks: int) -> None:
        """Add an allocation of `tasks` tasks, or subtract it if `tasks` is negative."""
        cpus = tasks * round(record.cpus * MICRO)
        gpus = tasks * round(record.gpus * MICRO)
        key = (record.team, record.by)
        held_cpus, held_gpus = self._by_team.get(record.team, NO_USAGE)
        self._by_team[record.team] = (held_cpus + cpus, held_gpus + gpus)
        held_cpus, held_gpus = self._by_controller.get(key, NO_USAGE)
        self._by_controller[key] = (held_cpus + cpus, held_gpus + gpus)

    def of(self, team: str, by: str | None = None) -> tuple[float, float]:
        """Return the CPUs and GPUs that a team uses; with `by`, only what that controller placed."""
        if by is None:
            cpus, gpus = self._by_team.get(team, NO_USAGE)
        else:
            cpus, gpus = self._by_controller.get((team, by), NO_USAGE)
        return cpus / MICRO, gpus / MICRO
