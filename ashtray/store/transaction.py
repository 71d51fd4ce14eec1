"""Transactions: the versions that must hold and the writes to apply."""

from __future__ import annotations

from typing import Any

import msgspec


def size_of(value: Any) -> int:
    """Return the bytes of a value as JSON, which is how the state service counts them."""
    return len(msgspec.json.encode(value))


class Txn:
    """A transaction under construction: the versions that must hold and the writes to apply."""

    def __init__(self) -> None:
        self.guards: dict[str, int] = {}
        self.puts: dict[str, Any] = {}
        self.leases: dict[str, int] = {}
        self.removes: list[str] = []
        self.outcome_unknown = False
        """The outcome is unknown: the transaction may have been applied, or may still be."""

    def guard(self, key: str, version: int) -> Txn:
        """Make the transaction fail unless the key has this version; 0 stands for an absent key."""
        self.guards[key] = version
        return self

    def put(self, key: str, value: Any, lease: int | None = None) -> Txn:
        """Write a record, attached to a lease if one is given."""
        self.puts[key] = value
        if lease is not None:
            self.leases[key] = lease
        return self

    def remove(self, key: str) -> Txn:
        """Remove a record."""
        self.removes.append(key)
        return self

    def write_count(self) -> int:
        """Return the number of writes: puts and removals."""
        return len(self.puts) + len(self.removes)

    def describe_size(self) -> str:
        """Return what the state service limits, for the log: writes, guards, and bytes in all and of one value."""
        total = size_of(self.body())
        largest = max((size_of(value) for value in self.puts.values()), default=0)
        return f"{self.write_count()} writes, {len(self.guards)} guards, {total} bytes, largest value {largest} bytes"

    def body(self) -> dict[str, Any]:
        """Return the body of the request in the state service's format."""
        apply: list[dict[str, Any]] = []
        for key, value in self.puts.items():
            change = {"put": key, "value": value}
            if key in self.leases:
                change["permit"] = self.leases[key]
            apply.append(change)
        apply += [{"remove": key} for key in self.removes]
        return {"guards": [{"k": k, "stamp": v} for k, v in self.guards.items()], "apply": apply}
