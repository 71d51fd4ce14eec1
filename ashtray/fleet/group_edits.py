"""Changes of machines' records for one transaction, as many as it takes."""

from __future__ import annotations

from ashtray.base import Base
from ashtray.placement.group_edit import GroupEdit
from ashtray.placement.machine_groups import Machine
from ashtray.store.client import Txn


class GroupEdits:
    """Records of groups that are being changed, each of which is written whole."""

    def __init__(self, base: Base) -> None:
        self.base = base
        self.cluster_state = base.cluster_state
        self._edits: dict[str, GroupEdit] = {}

    def __bool__(self) -> bool:
        return bool(self._edits)

    def can_add(self, machine: Machine, other_changes: int) -> bool:
        """Whether the transaction has room for a machine's group, beside other changes; the first always has."""
        limits = self.base.limits
        if machine.group in self._edits:
            return len(self._edits) + other_changes <= limits.ops
        size = self.cluster_state.groups[machine.group].size + sum(edit.group.size for edit in self._edits.values())
        fits = len(self._edits) + 1 + other_changes <= limits.ops and size <= limits.txn_bytes
        return fits or not self._edits

    def edit_of(self, machine: Machine) -> GroupEdit:
        """The record of a machine's group, to be changed."""
        return self._edits.setdefault(machine.group, GroupEdit(self.cluster_state.groups[machine.group]))

    def write(self, txn: Txn, names: list[str]) -> Txn | None:
        """Put the changed records into a transaction; None if nothing is changed.

        Takes out of `names` the machines in records that are too large, which cannot be written before they have been
        split (safety point 16).
        """
        for key, edit in self._edits.items():
            if not edit.write(txn, self.base.limits, self.cluster_state.is_live):
                names[:] = [name for name in names if name not in self.cluster_state.groups[key].machines]
        return txn if txn.changes() else None
