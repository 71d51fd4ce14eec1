"""An index of machines, allocations and completed tasks, built from the group records.

A changed record is compared with its previous version, and only differences are applied to the index.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ashtray.placement.machine_groups import Allocation, AllocationKey, Group, Machine
from ashtray.placement.team_usage import TeamUsage
from ashtray.runs import decode_runs


class GroupIndex:
    """All groups, with tables across them; the tables are shared with `ClusterState` and changed in place."""

    def __init__(self, job_changed: Callable[[str], None]) -> None:
        """Start without groups; `job_changed` is called with a job's id when its allocations or done tasks change."""
        self.groups: dict[str, Group] = {}
        self.machines: dict[str, Machine] = {}
        """Machines by name; the most recently changed one is the last."""
        self.allocations: dict[str, dict[AllocationKey, Allocation]] = {}
        """By job id, its allocations."""
        self.done: dict[str, dict[str, set[int]]] = {}
        """By job id and group key, the completed tasks that the group's record keeps for the job."""
        self.split_progress: dict[str, tuple[str, str]] = {}
        """For each group that is being split, the last machine and the last job's completed tasks that have moved."""
        self.usage = TeamUsage()
        self._touched: set[str] = set()
        """Names of machines whose record, or whose jobs, changed since the last `take_touched`."""
        self._job_changed = job_changed

    def put_group(self, key: str, value: Any, version: int) -> Group:
        """Apply a group record, in full or in compact form, and return the group."""
        before = self.groups.get(key)
        group = Group(key, value, version, before)
        group.moving = key in self.split_progress
        self._put_machines(group, before.machines if before is not None else {})
        group.done = before.done if before is not None else {}
        known_runs = before.value.get("done", {}) if before is not None else {}
        self._put_done(group, group.value.get("done", {}), known_runs)
        self.groups[key] = group
        return group

    def remove_group(self, key: str) -> None:
        """Drop a group whose record was removed, if it is known."""
        group = self.groups.pop(key, None)
        if group is None:
            return
        for machine in group.machines.values():
            self._drop_machine(machine)
        self._put_done(group, {}, {})

    def put_split(self, key: str, last_moved: tuple[str, str] | None) -> None:
        """Apply how far the group with this key has been split, or None if it is not being split.

        What its record says about machines that have moved to other groups no longer counts.
        """
        if last_moved is None:
            self.split_progress.pop(key, None)
        else:
            self.split_progress[key] = last_moved
        group = self.groups.get(key)
        if group is not None:
            # This drops the size of the compact form.  It is not needed: the record is not written again.
            self.put_group(key, group.value, group.version)

    def touch_machines_of(self, job_id: str) -> None:
        """Mark the machines on which a job has allocations as touched."""
        for name, _ in self.allocations.get(job_id, ()):
            self._touched.add(name)

    def take_touched(self) -> list[str]:
        """Return the names of the machines touched since the last call.

        They are sorted, so that the order of messages to workers does not depend on string hashing.
        """
        touched, self._touched = self._touched, set()
        return sorted(touched)

    def _put_machines(self, group: Group, known: dict[str, Machine]) -> None:
        """Fill in a group's machines; those whose part of the record is unchanged are reused from `known`."""
        moved_up_to = self.split_progress[group.key][0] if group.moving else ""
        for name, raw in group.value["machines"].items():
            if name <= moved_up_to:
                continue
            machine = known.get(name)
            if machine is None or (machine.raw is not raw and machine.raw != raw):
                before = machine
                machine = Machine(name, group.key, group.type, group.zone, raw, before)
                self._put_machine(machine, before)
            group.machines[name] = machine
        for name, machine in known.items():
            if name not in group.machines:
                self._drop_machine(machine)

    def _put_machine(self, machine: Machine, before: Machine | None) -> None:
        """Add or replace a machine; only jobs and teams whose allocations differ from `before` are updated."""
        name = machine.name
        if before is not None and self.machines.get(name) is before:
            # Keeps the most recently changed machine last.
            del self.machines[name]
        self.machines[name] = machine
        self._touched.add(name)
        known = before.holds if before is not None else []
        for n, allocation in enumerate(known):
            self._drop_allocation((name, n), allocation)
        for n, allocation in enumerate(machine.holds):
            self.allocations.setdefault(allocation.job, {})[(name, n)] = allocation
        # Unchanged allocations are the same objects in both versions (`reuse_allocations`).
        for allocation in known:
            if allocation not in machine.holds:
                self._note_allocation(allocation, -1)
        for allocation in machine.holds:
            if allocation not in known:
                self._note_allocation(allocation, 1)

    def _drop_machine(self, machine: Machine) -> None:
        if self.machines.get(machine.name) is machine:
            del self.machines[machine.name]
        self._touched.add(machine.name)
        for n, allocation in enumerate(machine.holds):
            self._drop_allocation((machine.name, n), allocation)
            self._note_allocation(allocation, -1)

    def _drop_allocation(self, key: AllocationKey, allocation: Allocation) -> None:
        """Remove an allocation from its job's, unless another one has its key by now."""
        by_key = self.allocations.get(allocation.job)
        if by_key is not None and by_key.get(key) is allocation:
            del by_key[key]
            if not by_key:
                del self.allocations[allocation.job]

    def _note_allocation(self, allocation: Allocation, sign: int) -> None:
        """Add an allocation to its team's usage, or subtract it with a `sign` of -1."""
        self.usage.add(allocation.record, sign * len(allocation.tasks))
        self._job_changed(allocation.job)

    def _put_done(self, group: Group, runs: dict[str, str], known_runs: dict[str, str]) -> None:
        """Update a group's completed tasks from `known_runs`, the previous version of the record, to `runs`."""
        known, group.done = group.done, {}
        for job_id, text in runs.items():
            same = known_runs.get(job_id) == text and job_id in known
            tasks = group.done[job_id] = known[job_id] if same else decode_runs(text)
            if not same and known.get(job_id) != tasks:
                self.done.setdefault(job_id, {})[group.key] = tasks
                self._job_changed(job_id)
        for job_id in known:
            if job_id not in runs:
                self._drop_done(job_id, group.key)

    def _drop_done(self, job_id: str, group_key: str) -> None:
        by_group = self.done.get(job_id, {})
        by_group.pop(group_key, None)
        if not by_group:
            self.done.pop(job_id, None)
        self._job_changed(job_id)
