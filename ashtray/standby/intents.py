"""Rental intents: what the fleet leader is about to rent, recorded in the state service before the cloud is asked.

A request to the cloud cannot be made conditional, and its answer can be lost with the process that sent it.  But the
cloud rents only once for each request name.  So the name is committed first, guarded by the leader's term.  The next
leader repeats the open requests and learns from the answers which machines are coming.  Without this record, a
successor would have to wait until the cloud's list, which lags, is certain to show what its predecessor rented.

An intent is settled once the list shows its machines, or once it is so old that the list must show them.  Settled
intents are dropped with the next write of the record, so a batch of rentals costs one write.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from typing import Any

import msgspec

from ashtray.fleet.machine_kind import MachineKind
from ashtray.store.transaction import size_of


class Intent(msgspec.Struct, array_like=True, frozen=True):
    """One request for machines.  It is stored by position: new fields may only be added at the end."""

    request: str
    """The name of the request to the cloud, never used for another one."""
    type: str
    zone: str
    spot: bool
    number: int
    at_us: int
    """When it was recorded, by the time of day."""
    names: list[str] | None = None
    """The names of the machines that the cloud rented; None: no answer is known."""

    @property
    def kind(self) -> MachineKind:
        """The kind of machine that is requested."""
        return MachineKind(self.type, self.zone, self.spot)


class IntentsRecord(msgspec.Struct, omit_defaults=True):
    """The record with the key `now/rentals`."""

    by: str
    """The controller that wrote it last."""
    all: bool = False
    """All controllers record their rentals, so no others can be coming."""
    open: list[Intent] = []
    """The intents that are not settled."""


class Intents:
    """The fleet leader's copy of the record: the intents that are not settled, and what to write next."""

    def __init__(self) -> None:
        self.open: dict[str, Intent] = {}
        self.all = False

    def load(self, value: Any) -> bool:
        """Replace the intents with those of the record; return False, with no intents, if it is malformed."""
        self.open.clear()
        if value is None:
            return True
        try:
            record = msgspec.convert(value, IntentsRecord)
        except msgspec.ValidationError:
            return False
        self.all = self.all or record.all
        self.open = {intent.request: intent for intent in record.open}
        return True

    def begin(self, batch: Iterable[Intent]) -> None:
        """Add a batch that has been recorded, so that its requests may be sent."""
        self.open.update((intent.request, intent) for intent in batch)

    def answered(self, request: str, names: list[str]) -> None:
        """Note the names of the machines that the cloud rented for a request."""
        intent = self.open.get(request)
        if intent is not None:
            self.open[request] = msgspec.structs.replace(intent, names=names)

    def refused(self, request: str) -> None:
        """Drop a request that the cloud refused: it rents nothing for it unless it is sent again."""
        self.open.pop(request, None)

    def unanswered(self) -> list[Intent]:
        """Return the intents without a known answer, the oldest first."""
        return [intent for intent in self.open.values() if intent.names is None]

    def settle(self, seen: Container[str], before_us: int) -> None:
        """Drop the intents recorded before `before_us` (time of day) and those whose machines are all in `seen`."""
        for request, intent in list(self.open.items()):
            all_seen = intent.names is not None and all(name in seen for name in intent.names)
            if intent.at_us < before_us or all_seen:
                del self.open[request]

    def value(self, by: str, max_bytes: float, batch: Iterable[Intent] = ()) -> Any:
        """Return the record to write with a new batch, of at most `max_bytes`.

        A record that would be larger loses the machine names first, beginning with the oldest intent, since repeating
        a request gives them again.  Then it loses whole intents, the oldest first, as the list shows their machines
        soonest.
        """
        kept = [*self.open.values(), *batch]
        sizes = [size_of(intent) + 1 for intent in kept]
        size = size_of(IntentsRecord(by, self.all)) + 16 + sum(sizes)
        for n, intent in enumerate(kept):
            if size > max_bytes and intent.names is not None:
                shortened = msgspec.structs.replace(intent, names=None)
                size += size_of(shortened) + 1 - sizes[n]
                kept[n], sizes[n] = shortened, size_of(shortened) + 1
        while kept and size > max_bytes:
            size -= sizes.pop(0)
            kept.pop(0)
        return msgspec.to_builtins(IntentsRecord(by, self.all, kept))
