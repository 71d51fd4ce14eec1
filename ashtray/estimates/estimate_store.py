"""The learnt run times in the state service: a few records of bounded size, shared by all controllers.

Each controller adds its own observations to the records; one such addition is called a fold.  A record names the last
fold of each controller that it contains, so that a fold whose transaction got no answer is counted exactly once
(safety point 20 of `docs/design.md`): a later version of the record shows whether the fold was applied, and until
there is a later version the same fold is sent again.  All its transactions guard the same version of the record, so
at most one of them is applied.  The keys of the records begin with `now/`, so a controller that starts has read the
records with its first cluster state, before its first placement.
"""

from __future__ import annotations

import base64
import struct
from array import array
from dataclasses import dataclass
from typing import Any

import msgspec

from ashtray.base import Base
from ashtray.estimates.learned import Estimates
from ashtray.estimates.model import BINS, MOMENT_COUNT, ROW_LENGTH, WEIGHT, merge
from ashtray.kernel import SECOND_US, Coroutine, Sleep
from ashtray.peers.presence import Presence
from ashtray.placement.state_keys import ESTIMATE
from ashtray.store.rate_limiter import Urgency
from ashtray.store.transaction import Txn, size_of

FORM = 1
SHARD_COUNT = 4
CHECK_INTERVAL_US = SECOND_US
MIN_FOLD_INTERVAL_US = 20 * SECOND_US
"""The shortest interval between two folds of a controller."""
WRITE_SHARE = 0.01
"""The share of the write budget that the folds of all controllers together may use."""
_ROW = struct.Struct(f"<{MOMENT_COUNT}f{BINS}e")
MAX_BIN_COUNT = 60_000.0
"""Counts of the histogram are limited to this, because a half-precision float holds at most 65,504."""


class EstimateRecord(msgspec.Struct):
    """The value of one record.

    `rows` maps each level to its encoded row; `applied` maps each controller to its incarnation and the number of its
    last fold in this record.
    """

    form: int
    applied: dict[str, tuple[int, int]]
    rows: dict[str, str]


class UnreadableRecord(Exception):
    """A record is damaged or of a later form than this version reads; the message says what is wrong."""


@dataclass(frozen=True)
class UnansweredFold:
    """A fold whose transaction got no answer; it may have been applied, or may be applied later."""

    fold: tuple[int, int]
    rows: dict[str, array[float]]
    version: int
    """The version of the record that the transaction guards.  A later version either contains the fold, or the fold
    can no longer be applied."""


def pack(row: array[float]) -> str:
    """Encode a row as text for a record."""
    counts = [min(count, MAX_BIN_COUNT) for count in row[MOMENT_COUNT:]]
    return base64.b64encode(_ROW.pack(*row[:MOMENT_COUNT], *counts)).decode("ascii")


def unpack(text: str) -> array[float]:
    """Decode a row; raises `UnreadableRecord` if the text is damaged."""
    try:
        numbers = _ROW.unpack(base64.b64decode(text, validate=True))
    except (ValueError, struct.error) as error:
        raise UnreadableRecord(f"a row cannot be decoded: {error}") from None
    if len(numbers) != ROW_LENGTH or any(number != number or abs(number) > 1e9 for number in numbers):
        raise UnreadableRecord("a row contains an invalid number")
    return array("f", numbers)


def parse_record(value: Any) -> EstimateRecord:
    """Convert the value of a key to a record; raises `UnreadableRecord` if it is damaged or of a later form."""
    try:
        record = msgspec.convert(value, EstimateRecord)
    except msgspec.ValidationError as error:
        raise UnreadableRecord(str(error)) from None
    if record.form > FORM:
        raise UnreadableRecord(f"its form is {record.form}, and this version reads forms up to {FORM}")
    return record


def shard_of(key: str) -> int:
    """Return the shard of a level.  All levels of a job class are in one shard."""
    total = 0
    for byte in key.partition("/")[0].encode():
        total = (total * 31 + byte) % 65_521
    return total % SHARD_COUNT


def folded(
    record: EstimateRecord | None, host: str, fold: tuple[int, int], rows: dict[str, array[float]], max_bytes: int
) -> EstimateRecord:
    """Return a record with one controller's fold added.

    Where it would exceed `max_bytes`, the levels with the least data are left out; the widest one always stays.
    """
    old = record or EstimateRecord(FORM, {}, {})
    found = {key: unpack(text) for key, text in old.rows.items()}
    for key, row in rows.items():
        found[key] = merge(found[key], row) if key in found else row
    new = EstimateRecord(FORM, {**old.applied, host: fold}, {key: pack(row) for key, row in found.items()})
    size = size_of(new)
    for key, _ in sorted(found.items(), key=lambda entry: (entry[0] != "", entry[1][WEIGHT])):
        if size <= max_bytes:
            break
        if key:
            size -= size_of(key) + len(new.rows.pop(key)) + 4
    return new


class EstimateStore:
    """Loads the records into this controller's estimates, and folds its own observations into the records."""

    def __init__(self, base: Base, presence: Presence, estimates: Estimates) -> None:
        self.base = base
        self.presence = presence
        self.estimates = estimates
        self._loaded_versions: dict[str, int] = {}
        """Maps a record's key to the version that was loaded last."""
        self._unreadable: set[str] = set()
        self._fold_number = 0
        self._unanswered: dict[int, UnansweredFold] = {}
        """Maps a shard to its unanswered fold."""
        self._folded_us = 0

    def key(self, shard: int) -> str:
        """Return the key of a shard's record."""
        return f"{ESTIMATE}{shard}"

    def load_changed(self) -> None:
        """Load the records that have changed in the cluster state; one that cannot be read is logged and skipped."""
        cluster_state = self.base.cluster_state
        for key, value in cluster_state.estimates.items():
            version = cluster_state.version(key)
            if self._loaded_versions.get(key) == version:
                continue
            self._loaded_versions[key] = version
            try:
                record = parse_record(value)
                rows = {name: unpack(text) for name, text in record.rows.items()}
            except UnreadableRecord as error:
                if key not in self._unreadable:
                    self._unreadable.add(key)
                    self.base.kernel.log("error", f"the record {key} cannot be read and is not changed: {error}")
                continue
            self._unreadable.discard(key)
            self._resolve_unanswered(int(key.removeprefix(ESTIMATE)), record)
            self.estimates.load(rows)

    def _resolve_unanswered(self, shard: int, record: EstimateRecord) -> None:
        """Find out from a record whether the unanswered fold of its shard was applied.

        If a version after the guarded one does not contain the fold, no later version can, and the observations are
        returned to the estimates.
        """
        sent = self._unanswered.get(shard)
        if sent is None or self.base.cluster_state.version(self.key(shard)) <= sent.version:
            return
        del self._unanswered[shard]
        if record.applied.get(self.base.settings.host_name) != sent.fold:
            self.estimates.restore(sent.rows)

    def run(self) -> Coroutine[None]:
        """Wait for the check interval, then fold new observations into the record of one shard.

        Nothing is folded before the next fold is due, or while the write budget is scarce.
        """
        base = self.base
        yield Sleep(CHECK_INTERVAL_US)
        if not base.operator_settings.keep_estimates:
            return
        live = max(len(self.presence.live()), 1) if base.follower.loaded else 1
        rate = WRITE_SHARE * base.settings.cluster.state.write_rps
        pause_us = max(MIN_FOLD_INTERVAL_US, int(live / rate * SECOND_US))
        if not base.follower.loaded or not self.presence.incarnation or base.store.writes.scarce():
            return
        if base.kernel.now_us - self._folded_us < pause_us:
            return
        shards: dict[int, list[str]] = {}
        for key in self.estimates.fresh:
            shards.setdefault(shard_of(key), []).append(key)
        open_shards = [shard for shard in shards if self.key(shard) not in self._unreadable]
        if open_shards:
            self._folded_us = base.kernel.now_us
            yield from self._fold(max(open_shards, key=lambda shard: (len(shards[shard]), shard)))

    def _fold(self, shard: int) -> Coroutine[None]:
        """Fold the new observations of one shard into its record, or send its unanswered fold again."""
        base = self.base
        if shard in self._unanswered and not (yield from base.follower.barrier()):
            return
        repeated = self._unanswered.get(shard)
        self._fold_number += 1
        fold = (self.presence.incarnation, self._fold_number) if repeated is None else repeated.fold
        taken: dict[str, array[float]] = {} if repeated is None else dict(repeated.rows)

        def build() -> Txn | None:
            if repeated is None:
                self.estimates.restore(taken)
                taken.clear()
                taken.update(self.estimates.take(lambda name: shard_of(name) == shard))
            elif shard not in self._unanswered:
                # A record that was read in the meantime has shown whether the fold was applied.
                return None
            return self._transaction(shard, fold, taken)

        txn, reply = yield from base.store.commit(build, 1, Urgency.BOOKKEEPING, "estimate")
        if txn is not None and reply.status == 200:
            base.cluster_state.put(self.key(shard), txn.puts[self.key(shard)], reply.body["ledger"])
            self.load_changed()
        elif repeated is not None:
            # An earlier transaction of this fold may still be applied.
            return
        elif txn is not None and txn.outcome_unknown:
            self._unanswered[shard] = UnansweredFold(fold, dict(taken), txn.guards[self.key(shard)])
            if base.cluster_state.version(self.key(shard)) > self._unanswered[shard].version:
                # A later version of the record was read before the wait for the answer timed out.
                self._loaded_versions.pop(self.key(shard), None)
                self.load_changed()
        else:
            self.estimates.restore(taken)

    def _transaction(self, shard: int, fold: tuple[int, int], rows: dict[str, array[float]]) -> Txn | None:
        """Build the transaction that folds these rows into a shard's record; None if the record cannot be read."""
        base, key = self.base, self.key(shard)
        try:
            record = parse_record(base.cluster_state.estimates[key]) if key in base.cluster_state.estimates else None
            max_bytes = int(base.limits.final_value_bytes * 0.9)
            new = folded(record, base.settings.host_name, fold, rows, max_bytes)
        except UnreadableRecord:
            return None
        return Txn().guard(key, base.cluster_state.version(key)).put(key, msgspec.to_builtins(new))
