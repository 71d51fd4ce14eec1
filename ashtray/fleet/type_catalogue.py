"""Keeps the machine types in the state service equal to the cloud's."""

from __future__ import annotations

from typing import Any

import msgspec

from ashtray.base import Base
from ashtray.fleet.cloud_client import CloudClient
from ashtray.fleet.messages import parse_types
from ashtray.kernel import SECOND_US, Fiber
from ashtray.placement import compact_record
from ashtray.placement.records import MachineType
from ashtray.placement.state_keys import TYPES
from ashtray.store.client import Txn, Urgency

REFRESH_US = 60 * SECOND_US


class TypeCatalogue:
    """The machine types that the cloud rents, written down for controllers that start while it does not answer."""

    def __init__(self, base: Base, cloud: CloudClient) -> None:
        self.base = base
        self.kernel = base.kernel
        self.cloud = cloud
        self._read_us = -REFRESH_US

    def refresh(self, running: bool) -> Fiber[None]:
        """Ask the cloud for its types once a minute if this controller runs the fleet or knows none at all."""
        due = self.kernel.now_us - self._read_us >= REFRESH_US
        wanted = running or not self.base.picture.types
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
        if types != self.base.picture.types:
            yield from self._write(types)

    def _write(self, types: dict[str, MachineType]) -> Fiber[None]:
        known = self.base.picture.types
        value = {name: msgspec.to_builtins(machine_type) for name, machine_type in types.items()}
        if self.base.limits.takes(compact_record.size_of(value)):
            yield from self._put(TYPES, value)
            return
        # Larger than a value may be: each type has a record of its own.  An old record of all types is still read.
        for name, fields in value.items():
            if types[name] != known.get(name):
                yield from self._put(f"{TYPES}/{name}", {name: fields})

    def _put(self, key: str, value: dict[str, Any]) -> Fiber[None]:
        txn = Txn().guard(key, self.base.picture.version(key)).put(key, value)
        yield from self.base.follower.commit(lambda: txn, 1, Urgency.BOOKKEEPING, "fleet")
