"""What the fleet's runner is about to rent, written down before the cloud hears of it.

A request to the cloud cannot be guarded, and its answer can be lost with the process that asked.  But the cloud rents
nothing twice for one request name.  So the name is committed first, under the runner's term; whoever holds the term
after it repeats what is unsettled, and learns from the answers which machines are on their way.  Without this record
an heir has to wait until the cloud's list, which lags, surely shows what the former rented.

An intent is settled once the list shows its machines, or is old enough that it must.  Settled ones are dropped with
the next change that is made anyway, so a batch of rentals costs one change.
"""

from __future__ import annotations

from collections.abc import Container, Iterable
from typing import Any

import msgspec

from ashtray.fleet.machine_kind import MachineKind


class Intent(msgspec.Struct, array_like=True, frozen=True):
    """One request for machines.  The record is positional: it may grow at its end."""

    request: str
    """The name under which the cloud hears of it, never used for anything else."""
    type: str
    zone: str
    spot: bool
    number: int
    at_us: int
    """When it was written down, by the time of day."""
    names: list[str] | None = None
    """The machines that the cloud answered; None: no answer is known."""

    @property
    def kind(self) -> MachineKind:
        """The kind of machine that is requested."""
        return MachineKind(self.type, self.zone, self.spot)


class IntentsRecord(msgspec.Struct, omit_defaults=True):
    """The value of `now/rentals`."""

    by: str
    """The controller that wrote it last."""
    all: bool = False
    """All controllers write down what they rent: nothing else can be on its way."""
    open: list[Intent] = []


class Intents:
    """The runner's own view of the record: what of it is open, and what the next change will say."""

    def __init__(self) -> None:
        self.open: dict[str, Intent] = {}
        self.all = False

    def load(self, value: Any) -> bool:
        """Take over what the record says; False if it cannot be read, and nothing is known then."""
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
        """Requests have been written down: they may be sent now."""
        self.open.update((intent.request, intent) for intent in batch)

    def answered(self, request: str, names: list[str]) -> None:
        """The cloud has rented these."""
        intent = self.open.get(request)
        if intent is not None:
            self.open[request] = msgspec.structs.replace(intent, names=names)

    def refused(self, request: str) -> None:
        """The cloud has rented nothing and never will for that request unless it is sent again."""
        self.open.pop(request, None)

    def unanswered(self) -> list[Intent]:
        """The requests of which no answer is known, the oldest first."""
        return [intent for intent in self.open.values() if intent.names is None]

    def settle(self, seen: Container[str], before_us: int) -> None:
        """Drop what was written down before that time of day, and all whose machines were seen."""
        for request, intent in list(self.open.items()):
            all_seen = intent.names is not None and all(name in seen for name in intent.names)
            if intent.at_us < before_us or all_seen:
                del self.open[request]

    def value(self, by: str, most_bytes: float, batch: Iterable[Intent] = ()) -> Any:
        """The record to write with a new batch, of so many bytes at the most.

        Where it would be larger, the names of machines go first, the oldest first, for they can be asked for again;
        then the oldest answered ones, which the list will show soonest.
        """
        kept = [*self.open.values(), *batch]
        sizes = [len(msgspec.json.encode(intent)) + 1 for intent in kept]
        size = len(msgspec.json.encode(IntentsRecord(by, self.all))) + 16 + sum(sizes)
        for n, intent in enumerate(kept):
            if size > most_bytes and intent.names is not None:
                short = msgspec.structs.replace(intent, names=None)
                size += len(msgspec.json.encode(short)) + 1 - sizes[n]
                kept[n], sizes[n] = short, len(msgspec.json.encode(short)) + 1
        while kept and size > most_bytes:
            size -= sizes.pop(0)
            kept.pop(0)
        return msgspec.to_builtins(IntentsRecord(by, self.all, kept))
