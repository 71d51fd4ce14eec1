"""Changes of a group's record on their way into a transaction."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ashtray.placement import compact_record
from ashtray.placement.machine_groups import Group
from ashtray.placement.records import MachineRecord
from ashtray.placement.state_keys import split_key
from ashtray.runs import decode_runs, encode_runs
from ashtray.store.client import Limits, Txn


class GroupEdit:
    """A group's record being changed: the machines that are asked for are copied, the others are shared."""

    def __init__(self, group: Group) -> None:
        self.group = group
        self.machines: dict[str, Any] = dict(group.value["machines"])
        """By name, each machine's part of the record as it was read."""
        self.done: dict[str, str] = dict(group.value.get("done", {}))
        """For each job its completed tasks, as runs."""
        self._changed: dict[str, MachineRecord] = {}

    def machine(self, name: str) -> MachineRecord:
        """Return a copy to be changed, the same one each time; a KeyError if the group has no such machine."""
        if name not in self._changed:
            self._changed[name] = self.copy_of(name)
        return self._changed[name]

    def copy_of(self, name: str) -> MachineRecord:
        """Return a copy that counts only once it is put back with `replace`."""
        return msgspec.convert(self.machines[name], MachineRecord)

    def replace(self, name: str, record: MachineRecord) -> None:
        """Put a machine's record in place of what the group has of it."""
        self._changed[name] = record

    def remove(self, name: str) -> None:
        """Take a machine out of the group; a KeyError if it has none of that name."""
        self._changed.pop(name, None)
        del self.machines[name]

    def with_done(self, job_id: str, tasks: set[int]) -> str:
        """Return, as runs, the completed tasks that the record would keep of a job with these added."""
        return encode_runs(tasks | decode_runs(self.done.get(job_id, "")))

    def add_done(self, job_id: str, tasks: set[int]) -> None:
        """Add completed tasks of a job."""
        self.done[job_id] = self.with_done(job_id, tasks)

    def size_with(self, name: str, record: MachineRecord, done: dict[str, str], limits: Limits) -> int:
        """Return the bytes of the record if one more machine were changed, with `done` as the completed tasks."""
        edit = GroupEdit(self.group)
        edit.machines = dict(self.machines)
        edit.done = done
        edit._changed = {**self._changed, name: record}
        return compact_record.size_of(edit._packed(edit.value(lambda job_id: True), limits))

    def value(self, live: Callable[[str], bool]) -> dict[str, Any]:
        """Return the record in full form; completed tasks are kept for jobs that are still live."""
        for name, record in self._changed.items():
            self.machines[name] = msgspec.to_builtins(record)
        value = {"type": self.group.type, "zone": self.group.zone, "machines": self.machines}
        done = {job: runs for job, runs in self.done.items() if live(job)}
        if done:
            value["done"] = done
        return value

    def write(self, txn: Txn, limits: Limits, live: Callable[[str], bool]) -> bool:
        """Add the changed record to a transaction, or its removal if nothing is left in it.

        Returns False, with the transaction as it was, if the record is too large or must not be written any more.
        """
        group = self.group
        value = self._packed(self.value(live), limits)
        size = compact_record.size_of(value)
        alone = len(group.machines) == 1 and size < group.size
        if group.moving or not limits.takes(size, alone):
            return False
        txn.guard(group.key, group.version)
        if group.size > limits.value_bytes:
            # Another controller may begin to split the group, which does not change its version (point 16).
            txn.guard(split_key(group.key), 0)
        if value["machines"] or "done" in value:
            txn.put(group.key, value)
        elif group.version:
            txn.remove(group.key)
        return True

    def _packed(self, value: dict[str, Any], limits: Limits) -> dict[str, Any]:
        """Return a record in the form in which it is to be written."""
        if limits.lean or self.group.packed is not None:
            return compact_record.pack(value, self.group.packed, self._changed)
        return value
