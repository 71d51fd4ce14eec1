"""Collects changes to group records for one transaction, up to the size of a transaction."""

from __future__ import annotations

from ashtray.base import Base
from ashtray.placement.group_edit import GroupEdit
from ashtray.placement.machine_groups import Machine
from ashtray.store.transaction import Txn


class GroupEdits:
    """The group records that a transaction changes.  Each record is written whole."""

    def __init__(self, base: Base) -> None:
        self.base = base
        self.cluster_state = base.cluster_state
        self._edits: dict[str, GroupEdit] = {}

    def __bool__(self) -> bool:
        return bool(self._edits)

    def can_add(self, machine: Machine, other_changes: int) -> bool:
        """Return whether a machine's group still fits beside `other_changes` writes; the first group always fits."""
        limits = self.base.limits
        if machine.group in self._edits:
            return len(self._edits) + other_changes <= limits.ops
        size = self.cluster_state.groups[machine.group].size + sum(edit.group.size for edit in self._edits.values())
        fits = len(self._edits) + 1 + other_changes <= limits.ops and size <= limits.txn_bytes
        return fits or not self._edits

    def edit_of(self, machine: Machine) -> GroupEdit:
        """Return the edit of a machine's group record; begin one if there is none."""
        return self._edits.setdefault(machine.group, GroupEdit(self.cluster_state.groups[machine.group]))

    def write(self, txn: Txn, names: list[str]) -> Txn | None:
        """Add the changed records to a transaction and return it, or None if it changes nothing.

        A record that is too large cannot be written before its group is split (safety point 16): the machines of such
        groups are removed from `names`.
        """
        for key, edit in self._edits.items():
            if not edit.write(txn, self.base.limits, self.cluster_state.is_live):
                names[:] = [name for name in names if name not in self.cluster_state.groups[key].machines]
        return txn if txn.write_count() else None
