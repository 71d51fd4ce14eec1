"""Keeps the machine types in the state service equal to the cloud's."""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial

import msgspec

from ashtray.base import Base
from ashtray.fleet.cloud_client import CloudClient
from ashtray.fleet.messages import parse_types
from ashtray.kernel import SECOND_US, Fiber
from ashtray.placement import compact_record
from ashtray.placement.records import MachineType
from ashtray.placement.state_keys import TYPES
from ashtray.store.client import Txn, Urgency

Types = dict[str, MachineType]
"""Machine types by their names."""
RecordWrite = tuple[str, Types | None]
"""A key and its new record; None: the key is removed."""
REFRESH_US = 60 * SECOND_US
WRITE_RETRY_US = 5 * SECOND_US
"""The cloud is asked again so soon where the answer could not be written down."""


class TypeCatalogue:
    """The machine types that the cloud rents, written down for controllers that start while it does not answer."""

    def __init__(self, base: Base, cloud: CloudClient) -> None:
        self.base = base
        self.kernel = base.kernel
        self.cloud = cloud
        self._read_us = -REFRESH_US
        self._unwritten: Types | None = None
        """What could not be written down when it was read last."""

    def refresh(self, running: bool) -> Fiber[None]:
        """Ask the cloud for its types once a minute if this controller runs the fleet or knows none at all."""
        if self._unwritten is not None and self._is_written(self._unwritten):
            # By another controller: where all start together, all ask the cloud, and one writes.
            self._unwritten = None
        pause_us = REFRESH_US if self._unwritten is None else WRITE_RETRY_US
        due = self.kernel.now_us - self._read_us >= pause_us
        wanted = running or not self.base.cluster_state.types
        if not (self.base.follower.loaded and due and wanted):
            return
        reply = yield from self.cloud.request("GET", "/machine_types")
        if reply.status != 200:
            return
        try:
            types = parse_types(reply.body)
        except (msgspec.ValidationError, KeyError, TypeError):
            self.kernel.log("error", "the cloud's machine types cannot be read")
            return
        self._read_us = self.kernel.now_us
        written = self._is_written(types) or (yield from self._write(types))
        self._unwritten = None if written else types

    def _is_written(self, types: Types) -> bool:
        """Whether the cluster state shows that these types, and no others, are written down."""
        return types == self.base.cluster_state.types and self.base.cluster_state.types_complete

    def _write(self, types: Types) -> Fiber[bool]:
        """Write the records that differ, `TYPES` last; False: some are not written, or may not be."""
        records = self._records(types)
        known = self.base.cluster_state.type_records()
        # An empty record of all types says that each has one of its own, and that all of these are written: until
        # then nobody may be refused because no type fits.
        own = sorted(key for key in records if key != TYPES and records[key] != known.get(key))
        if not (yield from self._commit({key: records[key] for key in own}, ())):
            return False
        removed_keys = sorted(key for key in known if key not in records)
        changed = {TYPES: records[TYPES]} if records[TYPES] != known.get(TYPES) else {}
        return (yield from self._commit(changed, removed_keys))

    def _records(self, types: Types) -> dict[str, Types]:
        """The records that say which types there are: one, or where that would be too large one for each as well."""
        size = compact_record.size_of(msgspec.to_builtins(types))
        if self.base.limits.takes(size):
            return {TYPES: types}
        return {TYPES: {}, **{f"{TYPES}/{name}": {name: machine_type} for name, machine_type in types.items()}}

    def _commit(self, puts: dict[str, Types], removes: Iterable[str]) -> Fiber[bool]:
        """Write and remove records, as many in a transaction as it takes; False: one of them failed."""
        remaining: list[RecordWrite] = [*puts.items(), *((key, None) for key in removes)]
        while remaining:
            txn = self._transaction(remaining)
            remaining = remaining[txn.changes() :]
            build = partial(lambda txn: txn, txn)
            if not (yield from self.base.follower.commit(build, txn.changes(), Urgency.BOOKKEEPING, "fleet")):
                return False
        return True

    def _transaction(self, changes: list[RecordWrite]) -> Txn:
        """The first of some changes, as many as fit into one transaction and at least one."""
        txn, free_bytes = Txn(), self.base.limits.txn_bytes
        for key, record in changes[: self.base.limits.ops]:
            value = None if record is None else msgspec.to_builtins(record)
            free_bytes -= 0 if value is None else compact_record.size_of(value)
            if free_bytes < 0 and txn.changes():
                break
            txn.guard(key, self.base.cluster_state.version(key))
            if value is None:
                txn.remove(key)
            else:
                txn.put(key, value)
        return txn
