"""Which jobs could be placed once everything but the services has ended.

Services run until they are cancelled, so what does not fit beside them waits for a machine that nobody may ever rent,
or for a cancellation that may never come.  Such a job neither keeps nor asks for a share of its team's limit: the
share would stand idle, while jobs with other controllers have room and wait for it.  It gets its share as soon as the
cluster state shows a machine for it.
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


class Space(NamedTuple):
    """What the services leave of a machine, and where it is: alike on many machines."""

    type: str
    zone: str
    spot: bool
    cpus: float
    gpus: float
    memory_gb: float

    def allowed(self, spec: JobSpec) -> bool:
        """Whether a job may use such a machine."""
        right_type = not spec.types or self.type in spec.types
        right_zone = spec.zone in (None, self.zone)
        return right_type and right_zone and (spec.spot or not self.spot)

    def places(self, spec: JobSpec) -> int:
        """How many tasks of a job it takes, the job's whole number at the most."""
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
    """Judges jobs by the cluster state as it is at the first question."""

    def __init__(self, cluster_state: ClusterState, teams: dict[str, Team]) -> None:
        self._cluster_state = cluster_state
        self._teams = teams
        self._spaces: Counter[Space] | None = None
        self._services: dict[str, tuple[float, float]] = {}
        """CPUs and GPUs of each team's services."""
        self._known: dict[str, bool] = {}

    def any(self, job: Job) -> bool:
        """Whether a job could be placed: one task of it, or all that wait of a gang."""
        found = self._known.get(job.id)
        if found is None:
            found = self._known[job.id] = self._judge(job)
        return found

    def _judge(self, job: Job) -> bool:
        if self._spaces is None:
            self._spaces = self._look()
        count = len(self._cluster_state.waiting().get(job.id, ())) if job.spec.kind == "gang" else 1
        return self._within_limit(job.spec, count) and self._room(job) >= count

    def _within_limit(self, spec: JobSpec, count: int) -> bool:
        team = self._teams.get(spec.team)
        cpus, gpus = self._services.get(spec.team, (0.0, 0.0))
        return team is None or tasks_within(team, cpus, gpus, spec) >= count

    def _room(self, job: Job) -> int:
        """How many tasks of a job the machines take, in the zones that it may use."""
        spec = job.spec
        by_zone: Counter[str] = Counter()
        for space, machines in (self._spaces or Counter()).items():
            if space.allowed(spec):
                by_zone[space.zone] += machines * space.places(spec)
        held: Counter[str] = Counter()
        for (name, _), hold in self._cluster_state.allocations.get(job.id, {}).items():
            held[self._cluster_state.machines[name].zone] += len(hold.tasks)
        if spec.same_zone:
            return max((by_zone[zone] for zone in held or by_zone), default=0)
        if spec.spread:
            most = (spec.tasks + 1) // 2
            return sum(min(places, most - held[zone]) for zone, places in by_zone.items())
        return sum(by_zone.values())

    def _look(self) -> Counter[Space]:
        """The machines by what the services leave of each."""
        taken: dict[str, list[float]] = {}
        cluster_state = self._cluster_state
        for job_id, holds in cluster_state.allocations.items():
            job = cluster_state.jobs.get(job_id)
            if job is None or job.spec.kind != "service":
                continue
            for (name, _), hold in holds.items():
                self._take(taken.setdefault(name, [0.0, 0.0, 0.0]), job.spec, len(hold.tasks))
        return Counter(
            self._space(machine, taken.get(machine.name, [0.0, 0.0, 0.0]))
            for machine in cluster_state.machines.values()
            if machine.type in cluster_state.types and not machine.record.retiring
        )

    def _take(self, taken: list[float], spec: JobSpec, tasks: int) -> None:
        for n, need in enumerate((spec.cpus, spec.gpus, spec.memory_gb)):
            taken[n] += tasks * need
        cpus, gpus = self._services.get(spec.team, (0.0, 0.0))
        self._services[spec.team] = cpus + tasks * spec.cpus, gpus + tasks * spec.gpus

    def _space(self, machine: Machine, taken: list[float]) -> Space:
        kind = self._cluster_state.types[machine.type]
        cpus, gpus, memory_gb = taken
        left = kind.cpus - cpus, kind.gpus - gpus, kind.memory_gb - memory_gb
        return Space(machine.type, machine.zone, machine.record.spot, *left)
