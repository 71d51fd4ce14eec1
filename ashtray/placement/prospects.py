"""Decides which jobs could be placed once everything but the services has ended.

Services run until they are cancelled.  So a job that does not fit beside them waits for a machine that may never be
rented, or for a cancellation that may never come.  Such a job neither keeps nor requests a share of its team's limit:
the share would stay unused while jobs of other controllers have capacity and wait for it.  The job gets its share as
soon as the cluster state shows a machine for it.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from ashtray.config.settings import Team
from ashtray.jobs.model import Job, JobSpec
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.machine_groups import Machine
from ashtray.placement.records import AMOUNT_TOLERANCE
from ashtray.teams.limits import tasks_within


class RemainingCapacity(NamedTuple):
    """The type and zone of a machine and the capacity that services leave free on it; equal for many machines."""

    type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float

    def allowed(self, spec: JobSpec) -> bool:
        """Return whether a job may use such a machine."""
        right_type = not spec.types or self.type in spec.types
        right_zone = spec.zone in (None, self.zone)
        return right_type and right_zone and (spec.spot or not self.spot)

    def fits(self, spec: JobSpec) -> int:
        """Return how many tasks of a job fit, at most the job's number of tasks."""
        count = spec.tasks
        for have, need in (
            (self.cpus, spec.cpus),
            (self.gpus, spec.gpus),
            (self.memory_gb, spec.memory_gb),
        ):
            if need > 0:
                count = min(count, int((have + AMOUNT_TOLERANCE) // need))
        return max(count, 0)


class Prospects:
    """Answers, for one cluster state, whether jobs could be placed; machines are read at the first call."""

    def __init__(self, cluster_state: ClusterState, teams: dict[str, Team]) -> None:
        self._cluster_state = cluster_state
        self._teams = teams
        self._machine_counts: Counter[RemainingCapacity] | None = None
        self._services: dict[str, tuple[float, float]] = {}
        """CPUs and GPUs that each team's services use."""
        self._known: dict[str, bool] = {}

    def can_be_placed(self, job: Job) -> bool:
        """Return whether a job could be placed: one of its tasks, or all waiting tasks of a gang."""
        found = self._known.get(job.id)
        if found is None:
            found = self._known[job.id] = self._evaluate(job)
        return found

    def _evaluate(self, job: Job) -> bool:
        if self._machine_counts is None:
            self._machine_counts = self._count_machines()
        count = len(self._cluster_state.waiting().get(job.id, ())) if job.spec.kind == "gang" else 1
        return self._within_limit(job.spec, count) and self._fitting_tasks(job) >= count

    def _within_limit(self, spec: JobSpec, count: int) -> bool:
        team = self._teams.get(spec.team)
        cpus, gpus = self._services.get(spec.team, (0.0, 0.0))
        return team is None or tasks_within(team, cpus, gpus, spec) >= count

    def _fitting_tasks(self, job: Job) -> int:
        """Return how many tasks of a job fit on the machines, in the zones that it may use."""
        spec = job.spec
        by_zone: Counter[str] = Counter()
        for capacity, machines in (self._machine_counts or Counter()).items():
            if capacity.allowed(spec):
                by_zone[capacity.zone] += machines * capacity.fits(spec)
        tasks_by_zone: Counter[str] = Counter()
        for (name, _), allocation in self._cluster_state.allocations.get(job.id, {}).items():
            tasks_by_zone[self._cluster_state.machines[name].zone] += len(allocation.tasks)
        if spec.same_zone:
            return max((by_zone[zone] for zone in tasks_by_zone or by_zone), default=0)
        if spec.spread:
            most = (spec.tasks + 1) // 2
            return sum(min(fits, most - tasks_by_zone[zone]) for zone, fits in by_zone.items())
        return sum(by_zone.values())

    def _count_machines(self) -> Counter[RemainingCapacity]:
        """Count the machines by the capacity that services leave on them; also sums up the usage of the services."""
        taken: dict[str, list[float]] = {}
        cluster_state = self._cluster_state
        for job_id, allocations_by_machine in cluster_state.allocations.items():
            job = cluster_state.jobs.get(job_id)
            if job is None or job.spec.kind != "service":
                continue
            for (name, _), allocation in allocations_by_machine.items():
                self._add_usage(taken.setdefault(name, [0.0, 0.0, 0.0]), job.spec, len(allocation.tasks))
        return Counter(
            self._remaining_capacity(machine, taken.get(machine.name, [0.0, 0.0, 0.0]))
            for machine in cluster_state.machines.values()
            if machine.type in cluster_state.types and not machine.record.retiring
        )

    def _add_usage(self, taken: list[float], spec: JobSpec, tasks: int) -> None:
        for n, need in enumerate((spec.cpus, spec.gpus, spec.memory_gb)):
            taken[n] += tasks * need
        cpus, gpus = self._services.get(spec.team, (0.0, 0.0))
        self._services[spec.team] = cpus + tasks * spec.cpus, gpus + tasks * spec.gpus

    def _remaining_capacity(self, machine: Machine, taken: list[float]) -> RemainingCapacity:
        kind = self._cluster_state.types[machine.type]
        cpus, gpus, memory_gb = taken
        left = kind.cpus - cpus, kind.gpus - gpus, kind.memory_gb - memory_gb
        return RemainingCapacity(machine.type, machine.zone, machine.record.spot, *left)
