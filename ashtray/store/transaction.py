"""Transactions: the versions that must hold, the writes to apply, their size, and what becomes of them."""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec

from ashtray.kernel import Reply

GUARD_BYTES = len('{"k":,"stamp":},')
PUT_BYTES = len('{"put":,"value":},')
REMOVE_BYTES = len('{"remove":},')
LEASE_BYTES = len(',"permit":')
"""Bytes of a guard, a put, a removal and a lease in a transaction, without keys, values and numbers."""
FRAME_BYTES = len('{"guards":[],"apply":[]}')
NO_SUCH_LEASE = "no such lease"
"""The error of a reply of status 400 that says nothing about the transaction's size."""
MAX_VERSION_BYTES = len(str(2**64))


class CommitOutcome(Enum):
    """What became of a transaction, as far as its caller has to tell it apart."""

    COMMITTED = "committed"
    NOTHING = "there was nothing to commit"
    FAILED = "a guard did not hold, the service was not available, or the outcome is unknown"
    """The same change may be tried again once newer records have been read."""
    REFUSED = "larger than the state service accepts"
    """Nothing was applied.  Sent again unchanged it would be refused again: it has to be made smaller."""

    @classmethod
    def of(cls, reply: Reply) -> CommitOutcome:
        """Return the outcome of a transaction from the reply to it."""
        if reply.status == 200:
            return cls.COMMITTED
        if reply.status == 400 and (reply.body or {}).get("error") != NO_SUCH_LEASE:
            return cls.REFUSED
        return cls.FAILED


def size_of(value: Any) -> int:
    """Return the bytes of a value as JSON, which is how the state service counts them."""
    return len(msgspec.json.encode(value))


def guarded_write_size(key: str, value_bytes: int = 0) -> int:
    """Return at most how many bytes a put of a key, or its removal, takes in a transaction that guards the key."""
    return 2 * size_of(key) + GUARD_BYTES + MAX_VERSION_BYTES + PUT_BYTES + value_bytes


class Txn:
    """A transaction under construction: the versions that must hold and the writes to apply."""

    def __init__(self) -> None:
        self.guards: dict[str, int] = {}
        self.puts: dict[str, Any] = {}
        self._value_sizes: dict[str, int] = {}
        """The bytes of the values to put, where they are known."""
        self.leases: dict[str, int] = {}
        self.removes: list[str] = []
        self.outcome_unknown = False
        """The outcome is unknown: the transaction may have been applied, or may still be."""

    def guard(self, key: str, version: int) -> Txn:
        """Make the transaction fail unless the key has this version; 0 stands for an absent key."""
        self.guards[key] = version
        return self

    def put(self, key: str, value: Any, lease: int | None = None, size: int | None = None) -> Txn:
        """Write a record, attached to a lease if one is given; `size` is the value's size if the caller knows it."""
        self.puts[key] = value
        if size is not None:
            self._value_sizes[key] = size
        if lease is not None:
            self.leases[key] = lease
        return self

    def remove(self, key: str) -> Txn:
        """Remove a record."""
        self.removes.append(key)
        return self

    def include(self, other: Txn) -> None:
        """Add the guards and writes of another transaction."""
        self.guards.update(other.guards)
        self.puts.update(other.puts)
        self._value_sizes.update(other._value_sizes)
        self.leases.update(other.leases)
        self.removes += other.removes

    def write_count(self) -> int:
        """Return the number of writes: puts and removals."""
        return len(self.puts) + len(self.removes)

    def value_sizes(self) -> dict[str, int]:
        """Return the bytes of each value to put, by key."""
        for key, value in self.puts.items():
            if key not in self._value_sizes:
                self._value_sizes[key] = size_of(value)
        return self._value_sizes

    def size(self) -> int:
        """Return the bytes of the whole request as JSON, which is how the state service counts them."""
        guards = sum(GUARD_BYTES + size_of(key) + len(str(version)) for key, version in self.guards.items())
        puts = sum(PUT_BYTES + size_of(key) + size for key, size in self.value_sizes().items())
        leases = sum(LEASE_BYTES + len(str(lease)) for lease in self.leases.values())
        removes = sum(REMOVE_BYTES + size_of(key) for key in self.removes)
        commas_too_many = bool(self.guards) + bool(self.write_count())
        return FRAME_BYTES + guards + puts + leases + removes - commas_too_many

    def describe_size(self) -> str:
        """Return what the state service limits, for the log: writes, guards, and bytes in all and of one value."""
        largest = max(self.value_sizes().values(), default=0)
        return (
            f"{self.write_count()} writes, {len(self.guards)} guards, {self.size()} bytes, "
            f"largest value {largest} bytes"
        )

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
