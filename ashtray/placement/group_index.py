"""Machines, allocations and completed tasks as the groups' records state them.

A changed record is compared with the one before, and only what differs is brought up to date.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ashtray.placement.machine_groups import Allocation, AllocationKey, Group, Machine
from ashtray.placement.team_usage import TeamUsage
from ashtray.runs import decode_runs


class GroupIndex:
    """All groups, with what is looked up across them; the tables are shared, and changed in place."""

    def __init__(self, job_changed: Callable[[str], None]) -> None:
        """`job_changed` is called with a job's id whenever its allocations or completed tasks have changed."""
        self.groups: dict[str, Group] = {}
        self.machines: dict[str, Machine] = {}
        """By name; the one that changed last is the last."""
        self.allocations: dict[str, dict[AllocationKey, Allocation]] = {}
        """For each job its allocations."""
        self.done: dict[str, dict[str, set[int]]] = {}
        """For each job, and the key of each group that keeps some for it, the completed tasks."""
        self.moved: dict[str, tuple[str, str]] = {}
        """For each group that is being split, up to which machine and which job's completed tasks it has been."""
        self.usage = TeamUsage()
        self._touched: set[str] = set()
        """Machines whose record, or whose jobs, changed since `take_touched`."""
        self._job_changed = job_changed

    def put_group(self, key: str, value: Any, version: int) -> Group:
        """Take in a group's record, in full or in compact form, and return the group."""
        before = self.groups.get(key)
        group = Group(key, value, version, before)
        group.moving = key in self.moved
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

    def put_split(self, key: str, upto: tuple[str, str] | None) -> None:
        """Take in how far the group of this key has been split; None: it is not being split.

        What its record says of machines that are in other groups by now no longer counts.
        """
        if upto is None:
            self.moved.pop(key, None)
        else:
            self.moved[key] = upto
        group = self.groups.get(key)
        if group is not None:
            # This forgets the size of the compact form, which is of no more use: the record is not written again.
            self.put_group(key, group.value, group.version)

    def touch_machines_of(self, job_id: str) -> None:
        """Mark the machines that a job has allocations on as touched."""
        for name, _ in self.allocations.get(job_id, ()):
            self._touched.add(name)

    def take_touched(self) -> list[str]:
        """Return the machines touched since the last call, by name.

        Sorted, so that workers are told in an order that does not depend on how strings are hashed.
        """
        touched, self._touched = self._touched, set()
        return sorted(touched)

    def _put_machines(self, group: Group, known: dict[str, Machine]) -> None:
        """Fill in a group's machines; those whose part of the record is the same are taken over from `known`."""
        moved_upto = self.moved[group.key][0] if group.moving else ""
        for name, raw in group.value["machines"].items():
            if name <= moved_upto:
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
        """Show a machine; of jobs and teams only those change whose allocations differ from `before`."""
        name = machine.name
        if before is not None and self.machines.get(name) is before:
            # The machine that changed last stands last.
            del self.machines[name]
        self.machines[name] = machine
        self._touched.add(name)
        known = before.holds if before is not None else []
        for n, hold in enumerate(known):
            self._drop_hold((name, n), hold)
        for n, hold in enumerate(machine.holds):
            self.allocations.setdefault(hold.job, {})[(name, n)] = hold
        # Those that are the same on both sides are the same objects (`reuse_allocations`).
        for hold in known:
            if hold not in machine.holds:
                self._note_hold(hold, -1)
        for hold in machine.holds:
            if hold not in known:
                self._note_hold(hold, 1)

    def _drop_machine(self, machine: Machine) -> None:
        if self.machines.get(machine.name) is machine:
            del self.machines[machine.name]
        self._touched.add(machine.name)
        for n, hold in enumerate(machine.holds):
            self._drop_hold((machine.name, n), hold)
            self._note_hold(hold, -1)

    def _drop_hold(self, key: AllocationKey, hold: Allocation) -> None:
        """Take an allocation out of its job's, unless another one stands there by now."""
        holds = self.allocations.get(hold.job)
        if holds is not None and holds.get(key) is hold:
            del holds[key]
            if not holds:
                del self.allocations[hold.job]

    def _note_hold(self, hold: Allocation, sign: int) -> None:
        """Add an allocation to its team's usage, or take it away with a `sign` of -1."""
        self.usage.add(hold.record, sign * len(hold.tasks))
        self._job_changed(hold.job)

    def _put_done(self, group: Group, runs: dict[str, str], known_runs: dict[str, str]) -> None:
        """Bring a group's completed tasks up to date with `runs`; they were read from `known_runs` before."""
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
