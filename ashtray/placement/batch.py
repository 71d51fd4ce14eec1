"""Batches: which placements, one after the other in the queue, share a transaction."""

from __future__ import annotations

from dataclasses import dataclass

from ashtray.jobs.model import Job
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.plan import Choice
from ashtray.runs import encode_runs
from ashtray.store.limits import Limits
from ashtray.store.transaction import guarded_write_size
from ashtray.teams.grants import URGENT_PRIORITY

ALLOCATION_BYTES = 160
"""Estimated bytes that an allocation adds to a group's record, without its image and its task numbers."""


@dataclass
class BatchItem:
    """Some tasks of a job and the machines chosen for them, which one transaction places as a whole."""

    job_id: str
    tasks: list[int]
    choices: list[Choice]
    portion: int
    """For a gang that is placed in portions, how many of its tasks earlier portions place."""
    count: int = 0

    def __post_init__(self) -> None:
        self.count = len(self.tasks)

    def groups(self) -> set[str]:
        """Return the keys of the groups in which this item places tasks."""
        return {capacity.machine.group for capacity, _ in self.choices}


def split_placement(
    job: Job, tasks: list[int], choices: list[Choice], cluster_state: ClusterState, limits: Limits
) -> list[BatchItem]:
    """Split a job's placement into as many transactions as it needs, which is mostly one."""
    cut: list[list[Choice]] = [[]]
    groups: set[str] = set()
    allocation_bytes = ALLOCATION_BYTES + len(job.spec.image)
    # Each transaction writes the job's record; all of the task numbers may be in one of them.
    job_bytes = job.write_size() + len(encode_runs(tasks))
    size = job_bytes
    for capacity, n in choices:
        group = capacity.machine.group
        group_bytes = guarded_write_size(group, cluster_state.groups[group].size)
        more = allocation_bytes + (0 if group in groups else group_bytes)
        if cut[-1] and (len(groups | {group}) > limits.ops - 1 or size + more > limits.txn_bytes):
            cut.append([])
            groups, size, more = set(), job_bytes, allocation_bytes + group_bytes
        groups.add(group)
        size += more
        cut[-1].append((capacity, n))
    items = []
    done = 0
    for part in cut:
        count = sum(n for _, n in part)
        portion = job.portion + done if job.spec.kind == "gang" else 0
        items.append(BatchItem(job.id, tasks[done : done + count], part, portion))
        done += count
    return items


class Batch:
    """Consecutive jobs of the queue that share a transaction, so that each group in it costs only one write."""

    def __init__(self, cluster_state: ClusterState, limits: Limits) -> None:
        self.cluster_state = cluster_state
        self.limits = limits
        self.items: list[BatchItem] = []
        self.used: dict[str, tuple[float, float]] = {}
        """CPUs and GPUs that its tasks take, by team."""
        self._jobs: set[str] = set()
        self.groups: set[str] = set()
        self.urgent = False
        """Whether one of its jobs is urgent."""
        self._bytes = 0

    def writes(self) -> int:
        """Return how many writes the transaction makes: one for each job and group."""
        return len(self.items) + len(self.groups)

    def _size(self, item: BatchItem) -> int:
        """Return how many bytes an item adds to the transaction."""
        job = self.cluster_state.jobs[item.job_id]
        groups = self.cluster_state.groups
        allocations = len(encode_runs(item.tasks)) + (ALLOCATION_BYTES + len(job.spec.image)) * len(item.choices)
        new_groups = (key for key in item.groups() - self.groups if key in groups)
        return job.write_size() + allocations + sum(guarded_write_size(key, groups[key].size) for key in new_groups)

    def fits(self, item: BatchItem) -> bool:
        """Return whether an item fits into the transaction; the first one always does."""
        if not self.items:
            return True
        job = self.cluster_state.jobs.get(item.job_id)
        if job is None or item.job_id in self._jobs:
            return False
        writes = len(self.items) + 1 + len(self.groups | item.groups())
        return writes <= self.limits.ops and self._bytes + self._size(item) <= self.limits.txn_bytes

    def add(self, item: BatchItem) -> None:
        """Add an item to the batch, unless its job is no longer live."""
        job = self.cluster_state.jobs.get(item.job_id)
        if job is None:
            return
        self._bytes += self._size(item)
        self.items.append(item)
        self._jobs.add(item.job_id)
        self.urgent = self.urgent or (job.priority <= URGENT_PRIORITY and not job.fails_on_several_machines)
        self.groups |= item.groups()
        cpus, gpus = self.used.get(job.spec.team, (0.0, 0.0))
        self.used[job.spec.team] = (cpus + item.count * job.spec.cpus, gpus + item.count * job.spec.gpus)
