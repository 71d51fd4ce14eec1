"""Splitting groups whose records exceed the state service's limits, or will exceed the lower limits to come.

Another version, or other settings, may have written records up to a limit that no longer holds.  Such a record can
be read and removed, but it cannot be replaced by a smaller one that is still too large.  Until it is split, no
allocation on its machines can be freed, and none of its machines can get another owner or be returned.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ashtray.base import Base
from ashtray.kernel import SECOND_US, Coroutine, Sleep
from ashtray.peers.presence import Presence
from ashtray.placement import compact_record
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.machine_groups import Group
from ashtray.placement.state_keys import GROUP, split_key
from ashtray.runs import encode_runs
from ashtray.store.limits import Cost, Limits
from ashtray.store.rate_limiter import Urgency
from ashtray.store.transaction import CommitOutcome, Txn, guarded_write_size, size_of
from ashtray.workers.adoption import MAX_RECORD_SHARE_TO_GROW, group_size

CHECK_INTERVAL_US = SECOND_US // 4
"""The pause between two checks for groups to be split."""
MAX_KEYS_TRIED = 200
"""How many keys are tried for a new group to find one that this controller is responsible for."""
SPLIT_SHARE = 0.8
"""A group that takes more than this part of the value size limit is split.

No tasks are placed on so large a group, and reports must still fit when they are folded into it.
"""
SPLIT_PROGRESS_BYTES = 400
"""Most bytes of the record that says how far a group is split: a machine and a job."""
KEY_SUFFIX_BYTES = 100
"""How many bytes longer the key and the guard of a new group may be than those of the group that is split."""
RUNS_SHARE = 0.5
"""The part of the value size limit that one job's completed tasks may take in a record; more is written in parts."""


@dataclass
class GroupPart:
    """The part of a group that goes into one new record."""

    group: Group
    machines: dict[str, Any] = field(default_factory=dict)
    """Each machine's part of the group's record by name, in full form."""
    done: dict[str, str] = field(default_factory=dict)
    """The completed tasks of each job, as runs."""

    def value(self) -> dict[str, Any]:
        """Return the new record, in compact form."""
        value: dict[str, Any] = {"type": self.group.type, "zone": self.group.zone, "machines": self.machines}
        if self.done:
            value["done"] = self.done
        return compact_record.pack(value)


def _done_parts(job_id: str, tasks: set[int], max_bytes: int) -> list[str]:
    """Return a job's completed tasks as texts of runs, each of at most `max_bytes` or of a single run."""
    texts: list[str] = []
    text: list[str] = []
    size = 0
    for run in encode_runs(tasks).split(","):
        if text and size + len(run) + 1 > max_bytes:
            texts.append(",".join(text))
            text, size = [], 0
        text.append(run)
        size += len(run) + 1
    return [*texts, ",".join(text)]


def parts_of_group(cluster_state: ClusterState, group: Group, limits: Limits) -> list[GroupPart]:
    """Return a group cut into parts that fit: first the completed tasks, job by job, then its machines by name.

    A machine that is too large by itself gets a record of its own, which is written once enough of its tasks have
    ended.
    """
    parts = [GroupPart(group)]
    _cut_done(parts, cluster_state, limits)
    _cut_machines(parts, cluster_state, limits)
    return [part for part in parts if part.machines or part.done]


def _cut_done(parts: list[GroupPart], cluster_state: ClusterState, limits: Limits) -> None:
    """Add the completed tasks of live jobs that were not moved yet to the last part, and to new parts after it."""
    group = parts[-1].group
    max_bytes = int(limits.value_bytes * MAX_RECORD_SHARE_TO_GROW)
    max_job_bytes = int(limits.value_bytes * RUNS_SHARE)
    last_moved_job = cluster_state.split_progress.get(group.key, ("", ""))[1]
    for job_id, tasks in sorted(group.done.items()):
        if job_id <= last_moved_job or not cluster_state.is_live(job_id):
            continue
        for runs in _done_parts(job_id, tasks, max_job_bytes):
            if job_id in parts[-1].done:
                parts.append(GroupPart(group))
            parts[-1].done[job_id] = runs
            if size_of(parts[-1].value()) > max_bytes and len(parts[-1].done) > 1:
                del parts[-1].done[job_id]
                parts.append(GroupPart(group, done={job_id: runs}))


def _cut_machines(parts: list[GroupPart], cluster_state: ClusterState, limits: Limits) -> None:
    """Add the machines to the last part, and to new parts after it."""
    group = parts[-1].group
    max_bytes = int(limits.value_bytes * MAX_RECORD_SHARE_TO_GROW)
    count = group_size(cluster_state.types.get(group.type), limits)
    for name in sorted(group.machines):
        raw = group.machines[name].raw
        parts[-1].machines[name] = raw
        too_large = len(parts[-1].machines) > count or size_of(parts[-1].value()) > max_bytes
        if too_large and (len(parts[-1].machines) > 1 or parts[-1].done):
            del parts[-1].machines[name]
            parts.append(GroupPart(group, {name: raw}))


def split_progress(moved: list[GroupPart], remaining: list[GroupPart], previous: tuple[str, str]) -> dict[str, str]:
    """Return the record that says how far a group is split once the parts `moved` have records of their own.

    `remaining` are the parts that follow, and `previous` is the machine and the job up to which the group has been
    split so far.
    """
    machines = [name for part in moved for name in part.machines]
    jobs = [job_id for part in moved for job_id in part.done]
    previous_machine, previous_job = previous
    last_job = max(jobs, default=previous_job)
    if not machines and remaining and last_job in remaining[0].done:
        # The next step moves the rest of this job's completed tasks.  Tasks that both records list do no harm.
        last_job = max((job for job in jobs if job != last_job), default=previous_job)
    return {"machine": max(machines, default=previous_machine), "job": last_job}


class Splitter:
    """Splits the groups that this controller is responsible for."""

    def __init__(self, base: Base, presence: Presence) -> None:
        self.base = base
        self.kernel = base.kernel
        self.presence = presence

    def run(self) -> Coroutine[None]:
        """Split all groups that need it once, then wait for `CHECK_INTERVAL_US`."""
        base = self.base
        if not base.limits.compact or not base.follower.loaded or not self.presence.incarnation:
            yield Sleep(CHECK_INTERVAL_US)
            return
        for group in self.due():
            number = min(len(parts_of_group(base.cluster_state, group, base.limits)), base.limits_for("split").ops)

            def build(key: str = group.key) -> Txn | None:
                return self.split(key)

            # The write is urgent because nothing else can be done with the group's machines until it is split.
            outcome = yield from base.follower.commit(build, number, Urgency.CANCEL, "split")
            if outcome is CommitOutcome.COMMITTED:
                self.kernel.log("info", f"{group.key} ({group.size} bytes) is split")
            elif not (yield from base.follower.barrier()):
                break
        yield Sleep(CHECK_INTERVAL_US)

    def due(self) -> list[Group]:
        """Return the groups to be split: first those whose splitting has begun, then the largest."""
        base = self.base
        max_bytes = base.limits.value_bytes * SPLIT_SHARE
        groups = []
        for group in base.cluster_state.groups.values():
            too_large = group.size > max_bytes and (len(group.machines) > 1 or group.packed is None)
            if (group.moving or too_large) and self.presence.responsible_controller(
                group.key
            ) == base.settings.host_name:
                groups.append(group)
        return sorted(groups, key=lambda group: (not group.moving, -group.size))

    def _new_group_key(self, base: str, taken: set[str]) -> str:
        """Return the key of a new group, if possible one that this controller is responsible for.

        Otherwise another controller would have to take over each of the group's workers.
        """
        presence, cluster_state = self.presence, self.base.cluster_state
        key = base
        for n in range(MAX_KEYS_TRIED):
            key = f"{base}+{n}"
            if key in taken or cluster_state.version(key):
                continue
            if presence.responsible_controller(key) == self.base.settings.host_name:
                break
        return key

    def split(self, key: str) -> Txn | None:
        """Return the transaction of one step, which moves the whole group or as many machines as a transaction takes.

        In the latter case another record says up to which machine the group is split, and the old record stays as it
        is until it can be removed.  Machines that were moved count in their new groups only.  See `docs/design.md`,
        safety, point 16.  Returns None if there is nothing to split, or if a machine is too large by itself, so that
        splitting has to wait until enough of its tasks have ended.
        """
        cluster_state, limits = self.base.cluster_state, self.base.limits
        group = cluster_state.groups.get(key)
        if group is None or not limits.compact:
            return None
        txn = Txn().guard(key, group.version)
        moved = self._change_old_record(txn, group, parts_of_group(cluster_state, group, limits))
        if moved is None or not self._add_new_records(txn, group, moved):
            return None
        return txn

    def _change_old_record(self, txn: Txn, group: Group, parts: list[GroupPart]) -> list[GroupPart] | None:
        """Add the change of the old record; returns the parts for new records, None if the old would be too large."""
        cluster_state, limits = self.base.cluster_state, self.base.limits_for("split")
        lock = split_key(group.key)
        if not group.moving and _cost_of(parts).within(limits):
            # The record keeps the last part; in compact form that may be the whole group.
            *moved, last = parts
            txn.guard(lock, 0).put(group.key, last.value())
            return moved if _may_be_written(last, limits) else None
        lock_cost = Cost(1, guarded_write_size(lock, SPLIT_PROGRESS_BYTES))
        removals = lock_cost.plus(Cost(1, guarded_write_size(group.key)))
        if _cost_of(parts).plus(removals).within(limits):
            txn.guard(lock, cluster_state.version(lock)).remove(group.key)
            if group.moving:
                txn.remove(lock)
            return parts
        moved = _first_that_fit(parts, lock_cost, limits)
        remaining = parts[len(moved) :]
        progress = split_progress(moved, remaining, cluster_state.split_progress.get(group.key, ("", "")))
        txn.guard(lock, cluster_state.version(lock)).put(lock, progress)
        return moved

    def _add_new_records(self, txn: Txn, group: Group, moved: list[GroupPart]) -> bool:
        """Add new groups for these parts; returns False if one of them is too large."""
        base = f"{GROUP}{group.type}.{group.zone}."
        taken: set[str] = set()
        for part in moved:
            if not _may_be_written(part, self.base.limits):
                return False
            key = self._new_group_key(base + next(iter(part.machines), group.key.rpartition(".")[2]), taken)
            taken.add(key)
            txn.guard(key, 0).put(key, part.value())
        return True


def _cost_of(parts: list[GroupPart]) -> Cost:
    """Return what the records of these parts take of a transaction."""
    sizes = (guarded_write_size(part.group.key, KEY_SUFFIX_BYTES + size_of(part.value())) for part in parts)
    return Cost(len(parts), sum(sizes))


def _first_that_fit(parts: list[GroupPart], other: Cost, limits: Limits) -> list[GroupPart]:
    """Return the first parts, as many as fit into a transaction beside another change and at least one."""
    found: list[GroupPart] = []
    for part in parts:
        other = other.plus(_cost_of([part]))
        if found and not other.within(limits):
            break
        found.append(part)
    return found


def _may_be_written(part: GroupPart, limits: Limits) -> bool:
    return limits.takes(size_of(part.value()), len(part.machines) == 1)
