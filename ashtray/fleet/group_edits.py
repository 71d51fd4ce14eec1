"""Collects changes to group records for one transaction, up to the size of a transaction."""

from __future__ import annotations

from ashtray.base import Base
from ashtray.placement.group_edit import GroupEdit
from ashtray.placement.machine_groups import Machine
from ashtray.store.limits import Cost, Limits
from ashtray.store.transaction import Txn, guarded_write_size


class GroupEdits:
    """The group records that a transaction changes.  Each record is written whole."""

    def __init__(self, base: Base, limits: Limits) -> None:
        self.limits = limits
        self.cluster_state = base.cluster_state
        self._edits: dict[str, GroupEdit] = {}

    def __bool__(self) -> bool:
        return bool(self._edits)

    def can_add(self, machine: Machine, others: Cost) -> bool:
        """Return whether a machine's group still fits beside other changes; the first one fits beside one record."""
        groups = self._edits.keys() | {machine.group}
        sizes = (guarded_write_size(key, self.cluster_state.groups[key].size) for key in groups)
        alone = not self._edits and others.ops <= 1
        return alone or others.plus(Cost(len(groups), sum(sizes))).within(self.limits)

    def edit_of(self, machine: Machine) -> GroupEdit:
        """Return the edit of a machine's group record; begin one if there is none."""
        return self._edits.setdefault(machine.group, GroupEdit(self.cluster_state.groups[machine.group]))

    def write(self, txn: Txn, names: list[str]) -> Txn | None:
        """Add the changed records to a transaction and return it, or None if it changes nothing.

        A record that is too large cannot be written before its group is split (safety point 16): the machines of such
        groups are removed from `names`.
        """
        for key, edit in self._edits.items():
            if not edit.write(txn, self.limits, self.cluster_state.is_live):
                names[:] = [name for name in names if name not in self.cluster_state.groups[key].machines]
        return txn if txn.write_count() else None
