"""The limits of the state service for one transaction and one value."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from ashtray.config.settings import StateLimits

MAX_TXN_BYTES = 64 * 1024
"""The largest transaction that the state service accepts, in bytes."""
TXN_SHARE = 0.85
"""The part of `MAX_TXN_BYTES` that transactions of several items are planned with, because items may grow until they
are written."""
VALUE_SHARE = 0.95
"""The part of the size limit for a value that a record may use."""


@dataclass
class Limits:
    """The limits for one transaction and one value.

    Any two records, such as a job's and that of the group in which it is placed, fit into one transaction.

    The settings may name lower limits that come into force later, without notice.  They are obeyed as soon as no
    controller of the previous version runs any more.  Otherwise a record that is too large when they come into force
    could not even be rewritten to be smaller.
    """

    ops: int
    txn_bytes: int
    value_bytes: int
    final_ops: int = 0
    final_value_bytes: int = 0
    """The lower limits that will hold in the end, or the present ones if none are to come."""
    lowered: bool = False
    """The lower limits are obeyed."""
    all_upgraded: bool = False
    """All controllers are of this version."""
    refused: bool = False
    """A transaction was refused as too large: the lower limits are in force."""
    initial_value_bytes: int = 0
    """The size limit for a value before the lower limits were obeyed."""

    @classmethod
    def of(cls, limits: StateLimits) -> Limits:
        """Return the limits that the settings state, with the lower ones that are to come."""
        ops, value_kb = limits.txn_ops, limits.value_kb
        if limits.next is not None:
            ops, value_kb = min(ops, limits.next.txn_ops), min(value_kb, limits.next.value_kb)
        max_value_bytes = MAX_TXN_BYTES // 2
        value_bytes, final_value_bytes = (min(int(kb * 1024), max_value_bytes) for kb in (limits.value_kb, value_kb))
        return cls(limits.txn_ops, int(MAX_TXN_BYTES * TXN_SHARE), value_bytes, ops, final_value_bytes)

    @property
    def compact(self) -> bool:
        """Whether group records are written in the compact form: every controller that runs can read it."""
        return self.lowered or self.all_upgraded

    @property
    def lower_limits_ahead(self) -> bool:
        """Whether lower limits are to come and are not obeyed yet."""
        return not self.lowered and (self.final_ops < self.ops or self.final_value_bytes < self.value_bytes)

    def apply_lower_limits(self) -> None:
        """Obey the lower limits from now on."""
        self.lowered = True
        self.initial_value_bytes = self.value_bytes
        self.ops, self.value_bytes = self.final_ops, self.final_value_bytes

    def takes(self, size: int, alone: bool = False) -> bool:
        """Whether a record of `size` bytes may be written.

        A group record of a single machine (`alone`) cannot be split.  It may exceed the lower limit until the state
        service has refused a transaction as too large.
        """
        if alone and not self.refused and size > self.value_bytes:
            return size <= self.initial_value_bytes * VALUE_SHARE
        return size <= self.value_bytes * VALUE_SHARE

    @property
    def guards(self) -> int:
        """The number of versions that a transaction may depend on."""
        return 4 * self.ops

    @property
    def final_guards(self) -> int:
        """`guards` under the lower limits, for rules that all controllers must agree on at any time."""
        return 4 * (self.final_ops or self.ops)


class Cost(NamedTuple):
    """What a change takes of a transaction."""

    ops: int = 0
    bytes: int = 0

    def plus(self, other: Cost) -> Cost:
        """Return the sum of two costs."""
        return Cost(self.ops + other.ops, self.bytes + other.bytes)

    def minus(self, other: Cost) -> Cost:
        """Return what this cost is beyond another one."""
        return Cost(self.ops - other.ops, self.bytes - other.bytes)

    def within(self, limits: Limits) -> bool:
        """Return whether a transaction may take this much."""
        return self.ops <= limits.ops and self.bytes <= limits.txn_bytes
