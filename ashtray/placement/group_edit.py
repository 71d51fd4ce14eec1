"""Editing a group's record, and adding the result to a transaction."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ashtray.placement import compact_record
from ashtray.placement.machine_groups import Group
from ashtray.placement.records import MachineRecord
from ashtray.placement.state_keys import split_key
from ashtray.runs import decode_runs, encode_runs
from ashtray.store.limits import Limits
from ashtray.store.transaction import Txn, size_of


class GroupEdit:
    """A group's record that is being edited: requested machines are copied, the others are shared with the group."""

    def __init__(self, group: Group) -> None:
        self.group = group
        self.machines: dict[str, Any] = dict(group.value["machines"])
        """Each machine's part of the record as it was read, by machine name."""
        self.done: dict[str, str] = dict(group.value.get("done", {}))
        """The completed tasks of each job, as runs such as ``0-17,19``."""
        self._changed: dict[str, MachineRecord] = {}

    def machine(self, name: str) -> MachineRecord:
        """Return a machine's record for editing: each call returns the same copy.

        Raises KeyError if the group has no machine of that name.
        """
        if name not in self._changed:
            self._changed[name] = self.copy_of(name)
        return self._changed[name]

    def copy_of(self, name: str) -> MachineRecord:
        """Return a copy of a machine's record; changes of it count only after `replace`."""
        return msgspec.convert(self.machines[name], MachineRecord)

    def replace(self, name: str, record: MachineRecord) -> None:
        """Replace a machine's record, or add the machine."""
        self._changed[name] = record

    def remove(self, name: str) -> None:
        """Remove a machine from the group; raises KeyError if there is none of that name."""
        self._changed.pop(name, None)
        del self.machines[name]

    def with_done(self, job_id: str, tasks: set[int]) -> str:
        """Return the completed tasks of a job that the record would keep with `tasks` added, as runs."""
        return encode_runs(tasks | decode_runs(self.done.get(job_id, "")))

    def add_done(self, job_id: str, tasks: set[int]) -> None:
        """Add completed tasks of a job."""
        self.done[job_id] = self.with_done(job_id, tasks)

    def size_with(self, name: str, record: MachineRecord, done: dict[str, str], limits: Limits) -> int:
        """Return the record's size in bytes if `record` replaced a machine's, and `done` the completed tasks."""
        edit = GroupEdit(self.group)
        edit.machines = dict(self.machines)
        edit.done = done
        edit._changed = {**self._changed, name: record}
        return size_of(edit._packed(edit.value(lambda job_id: True), limits))

    def value(self, live: Callable[[str], bool]) -> dict[str, Any]:
        """Return the record in full form, without the completed tasks of jobs that are not `live` any more."""
        for name, record in self._changed.items():
            self.machines[name] = msgspec.to_builtins(record)
        value = {"type": self.group.type, "zone": self.group.zone, "machines": self.machines}
        done = {job: runs for job, runs in self.done.items() if live(job)}
        if done:
            value["done"] = done
        return value

    def write(self, txn: Txn, limits: Limits, live: Callable[[str], bool]) -> bool:
        """Add the edited record to a transaction, or its removal if nothing is left in it.

        Returns False and leaves the transaction unchanged if the record is too large, or if it must not be written
        any more because its machines are moving to other groups.
        """
        group = self.group
        value = self._packed(self.value(live), limits)
        size = size_of(value)
        alone = len(group.machines) == 1 and size < group.size
        if group.moving or not limits.takes(size, alone):
            return False
        txn.guard(group.key, group.version)
        if group.size > limits.value_bytes:
            # A peer may begin to split the group, which does not change the version of its record (point 16).
            txn.guard(split_key(group.key), 0)
        if value["machines"] or "done" in value:
            txn.put(group.key, value, size=size)
        elif group.version:
            txn.remove(group.key)
        return True

    def _packed(self, value: dict[str, Any], limits: Limits) -> dict[str, Any]:
        """Return a record, given in full form, in the form in which it is to be written."""
        if limits.compact or self.group.packed is not None:
            return compact_record.pack(value, self.group.packed, self._changed)
        return value
