"""Drafts: the group records that a batch of placements changes, checked against the current cluster state."""

from __future__ import annotations

from ashtray.jobs.model import Job
from ashtray.placement.batch import BatchItem
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.group_edit import GroupEdit
from ashtray.placement.plan import IMAGE_ENTRY_BYTES
from ashtray.placement.records import AMOUNT_TOLERANCE, AllocationRecord
from ashtray.runs import encode_runs
from ashtray.store.limits import Limits
from ashtray.teams.grants import Grants
from ashtray.workers.folding import Fold

MAX_IMAGES_SHARE = 0.05
"""The part of a value's maximum size that the names of one machine's cached images may take."""


class Draft:
    """The group edits that a batch of placements requires, collected item by item."""

    def __init__(self, cluster_state: ClusterState, grants: Grants, fold: Fold, limits: Limits) -> None:
        self.image_bytes = limits.value_bytes * MAX_IMAGES_SHARE
        self.cluster_state = cluster_state
        self.grants = grants
        self.fold = fold
        self.edits: dict[str, GroupEdit] = {}
        self.usage: dict[str, tuple[float, float]] = {}
        """CPUs and GPUs that the batch adds to the usage of each team with a limit."""
        self._added = {name: (-cpus, -gpus, -memory) for name, (cpus, gpus, memory) in fold.freed.items()}

    def allows(self, job: Job, item: BatchItem) -> bool:
        """Return whether the current cluster state still allows a job's tasks on the machines chosen for them."""
        spec, cluster_state = job.spec, self.cluster_state
        tasks = set(item.tasks)
        if not cluster_state.dependencies.ready(job):
            return False
        if cluster_state.finished(job) & tasks or cluster_state.placed(job.id) & tasks:
            return False
        if spec.kind == "gang" and (
            job.portion != item.portion or (job.id in cluster_state.allocations and not job.portion)
        ):
            return False
        more = self.usage.get(spec.team, (0.0, 0.0))
        if self.grants.has_limit(spec.team) and self.grants.allowed(spec.team, spec, *more) < item.count:
            return False
        zones: dict[str, int] = {}
        for (name, _), allocation in cluster_state.allocations.get(job.id, {}).items():
            zones[cluster_state.machines[name].zone] = zones.get(cluster_state.machines[name].zone, 0) + len(
                allocation.tasks
            )
        for capacity, n in item.choices:
            machine = cluster_state.machines.get(capacity.machine.name)
            if machine is None or machine.record.retiring:
                return False
            cpus, gpus, memory = self._added.get(machine.name, (0.0, 0.0, 0.0))
            kind = capacity.type
            if (
                machine.cpus + cpus + n * spec.cpus > kind.cpus + AMOUNT_TOLERANCE
                or machine.gpus + gpus + n * spec.gpus > kind.gpus + AMOUNT_TOLERANCE
                or machine.memory_gb + memory + n * spec.memory_gb > kind.memory_gb + AMOUNT_TOLERANCE
            ):
                return False
            zones[machine.zone] = zones.get(machine.zone, 0) + n
        if spec.same_zone and len(zones) > 1:
            return False
        return not spec.spread or max(zones.values()) <= (spec.tasks + 1) // 2

    def add(self, job: Job, item: BatchItem, number: int, wall_us: int, host: str) -> None:
        """Add the allocations of one item to the edits of its groups, and its tasks to the usage of its team.

        `number` is the attempt, `host` the name of the controller that places it.
        """
        spec = job.spec
        left = list(item.tasks)
        for capacity, n in item.choices:
            machine = self.cluster_state.machines[capacity.machine.name]
            edit = self.edits.get(machine.group)
            if edit is None:
                group = self.cluster_state.groups[machine.group]
                edit = self.edits[machine.group] = self.fold.edits.get(machine.group) or GroupEdit(group)
            record = edit.machine(machine.name)
            record.holds.append(
                AllocationRecord(
                    job.id,
                    number,
                    encode_runs(left[:n]),
                    spec.team,
                    spec.cpus,
                    spec.gpus,
                    spec.memory_gb,
                    wall_us,
                    by=host,
                )
            )
            del left[:n]
            record.images = cached(record.images, spec.image, spec.image_gb, capacity.type.cache_gb, self.image_bytes)
            cpus, gpus, memory = self._added.get(machine.name, (0.0, 0.0, 0.0))
            self._added[machine.name] = (cpus + n * spec.cpus, gpus + n * spec.gpus, memory + n * spec.memory_gb)
        if self.grants.has_limit(spec.team):
            cpus, gpus = self.usage.get(spec.team, (0.0, 0.0))
            self.usage[spec.team] = (cpus + item.count * spec.cpus, gpus + item.count * spec.gpus)


def attempt_of(job: Job) -> int:
    """Return the attempt number of the next placement; all portions of a gang have the same one."""
    return job.record.attempt if job.portion else job.record.attempt + 1


def cached(
    images: list[tuple[str, float]], image: str, size: float, cache_gb: float, max_bytes: float
) -> list[tuple[str, float]]:
    """Return a machine's cached images after it has used `image`, which goes last.

    The images used longest ago are dropped until the rest fits into the cache and into `max_bytes` of the record.
    """
    kept = [*(entry for entry in images if entry[0] != image), (image, size)]
    while len(kept) > 1 and (
        sum(gb for _, gb in kept) > cache_gb or sum(len(name) + IMAGE_ENTRY_BYTES for name, _ in kept) > max_bytes
    ):
        kept.pop(0)
    return kept
