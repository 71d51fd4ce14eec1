"""Copies the cloud's machine types to the state service."""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial

import msgspec

from ashtray.base import Base
from ashtray.fleet.cloud_client import CloudClient
from ashtray.fleet.messages import parse_types
from ashtray.kernel import SECOND_US, Coroutine
from ashtray.placement.records import MachineType
from ashtray.placement.state_keys import TYPES
from ashtray.store.limits import Cost
from ashtray.store.rate_limiter import Urgency
from ashtray.store.transaction import CommitOutcome, Txn, guarded_write_size, size_of

Types = dict[str, MachineType]
"""Machine types by name."""
RecordWrite = tuple[str, Types | None]
"""A key and its new record, or None if the key is to be removed."""
REFRESH_US = 60 * SECOND_US
"""The pause between two requests for the cloud's types."""
WRITE_RETRY_US = 5 * SECOND_US
"""The pause before the next request if the types could not be written."""


class TypeCatalogue:
    """Stores the cloud's machine types, so that controllers can start while the cloud does not answer."""

    def __init__(self, base: Base, cloud: CloudClient) -> None:
        self.base = base
        self.kernel = base.kernel
        self.cloud = cloud
        self._read_us = -REFRESH_US
        self._unwritten: Types | None = None
        """The types that were read last, if they could not be written."""

    def refresh(self, running: bool) -> Coroutine[None]:
        """Request the cloud's types once a minute if this controller leads the fleet or knows no types at all."""
        if self._unwritten is not None and self._is_written(self._unwritten):
            # Another controller has written them: when all start together, each of them requests the types.
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
        """Return whether the cluster state has exactly these types, completely written."""
        return types == self.base.cluster_state.types and self.base.cluster_state.types_complete

    def _write(self, types: Types) -> Coroutine[bool]:
        """Write the records that differ, `TYPES` last.  Returns False if some may not have been written."""
        records = self._records(types)
        known = self.base.cluster_state.type_records()
        # An empty `TYPES` record says that each type has a record of its own and that all of them are written.  Until
        # then no job may be refused because no type fits.
        own = sorted(key for key in records if key != TYPES and records[key] != known.get(key))
        if not (yield from self._commit({key: records[key] for key in own}, ())):
            return False
        removed_keys = sorted(key for key in known if key not in records)
        changed = {TYPES: records[TYPES]} if records[TYPES] != known.get(TYPES) else {}
        return (yield from self._commit(changed, removed_keys))

    def _records(self, types: Types) -> dict[str, Types]:
        """Return the records to store: one with all types, or if that is too large an empty one and one for each."""
        size = size_of(msgspec.to_builtins(types))
        if self.base.limits.takes(size):
            return {TYPES: types}
        return {TYPES: {}, **{f"{TYPES}/{name}": {name: machine_type} for name, machine_type in types.items()}}

    def _commit(self, puts: dict[str, Types], removes: Iterable[str]) -> Coroutine[bool]:
        """Write and remove records, with as many in a transaction as fit.  Returns False if a transaction failed."""
        remaining: list[RecordWrite] = [*puts.items(), *((key, None) for key in removes)]
        while remaining:
            txn = self._transaction(remaining)
            remaining = remaining[txn.write_count() :]
            build = partial(lambda txn: txn, txn)
            writes = txn.write_count()
            outcome = yield from self.base.follower.commit(build, writes, Urgency.BOOKKEEPING, "fleet")
            if outcome is not CommitOutcome.COMMITTED:
                return False
        return True

    def _transaction(self, changes: list[RecordWrite]) -> Txn:
        """Build a transaction of the first changes, as many as fit and at least one."""
        txn, cost, limits = Txn(), Cost(), self.base.limits_for("fleet")
        for key, record in changes:
            value = None if record is None else msgspec.to_builtins(record)
            cost = cost.plus(Cost(1, guarded_write_size(key, 0 if value is None else size_of(value))))
            if txn.write_count() and not cost.within(limits):
                break
            txn.guard(key, self.base.cluster_state.version(key))
            if value is None:
                txn.remove(key)
            else:
                txn.put(key, value)
        return txn
