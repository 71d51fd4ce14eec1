"""Learnt run times in the state service: a few bounded records, to which each controller adds what it has observed.

Such an addition is called a fold.  A record names the last fold of each controller that is in it, so that one whose
commit got no answer counts once (safety point 20 of `docs/design.md`): a later version of the record shows whether it
was applied, and until there is one the same fold is sent again.  All of these guard the same version, so one at most
is applied.  The records lie under `now/`, so a controller that starts has them with its first cluster state,
before its first placement.
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
from ashtray.estimates.model import BINS, MOMENTS, WIDTH, N, merge
from ashtray.kernel import SECOND_US, Fiber, Sleep
from ashtray.peers.presence import Presence
from ashtray.placement.state_keys import ESTIMATE
from ashtray.store.client import Txn, Urgency

FORM = 1
SHARDS = 4
LOOK_US = SECOND_US
LEAST_US = 20 * SECOND_US
CHANGES_SHARE = 0.01
"""Of the changes that there are, what all controllers together may use for this."""
_ROW = struct.Struct(f"<{MOMENTS}f{BINS}e")
MOST_COUNT = 60_000.0


class EstimateRecord(msgspec.Struct):
    """`rows`: for each level its numbers; `applied`: for each controller its incarnation and its last fold here."""

    form: int
    applied: dict[str, tuple[int, int]]
    rows: dict[str, str]


class UnreadableRecord(Exception):
    """A record that this version cannot read, or that is damaged."""


@dataclass(frozen=True)
class Unanswered:
    """A fold whose transaction got no answer: it may have been applied, or may still be."""

    fold: tuple[int, int]
    rows: dict[str, array[float]]
    version: int
    """The version of the record that it guards: in a later one it is, or it never will be."""


def pack(row: array[float]) -> str:
    """The text of a level's numbers in a record."""
    counts = [min(count, MOST_COUNT) for count in row[MOMENTS:]]
    return base64.b64encode(_ROW.pack(*row[:MOMENTS], *counts)).decode("ascii")


def unpack(text: str) -> array[float]:
    """The numbers of a level; raises `UnreadableRecord` where the text is damaged."""
    try:
        numbers = _ROW.unpack(base64.b64decode(text, validate=True))
    except (ValueError, struct.error) as error:
        raise UnreadableRecord(f"a row cannot be read: {error}") from None
    if len(numbers) != WIDTH or any(number != number or abs(number) > 1e9 for number in numbers):
        raise UnreadableRecord("a row holds what is no number")
    return array("f", numbers)


def read(value: Any) -> EstimateRecord:
    """A record from its value; raises `UnreadableRecord` for one that is damaged or of a later form."""
    try:
        record = msgspec.convert(value, EstimateRecord)
    except msgspec.ValidationError as error:
        raise UnreadableRecord(str(error)) from None
    if record.form > FORM:
        raise UnreadableRecord(f"it is of form {record.form}, and this version reads up to {FORM}")
    return record


def shard_of(key: str) -> int:
    """Levels of one class lie together."""
    total = 0
    for byte in key.partition("/")[0].encode():
        total = (total * 31 + byte) % 65_521
    return total % SHARDS


def folded(
    record: EstimateRecord | None, host: str, fold: tuple[int, int], rows: dict[str, array[float]], most_bytes: int
) -> EstimateRecord:
    """A record with one controller's fold added; of too many levels those with the least data give way."""
    old = record or EstimateRecord(FORM, {}, {})
    found = {key: unpack(text) for key, text in old.rows.items()}
    for key, row in rows.items():
        found[key] = merge(found[key], row) if key in found else row
    new = EstimateRecord(FORM, {**old.applied, host: fold}, {key: pack(row) for key, row in found.items()})
    size = len(msgspec.json.encode(new))
    for key, _ in sorted(found.items(), key=lambda entry: (entry[0] != "", entry[1][N])):
        if size <= most_bytes:
            break
        if key:
            size -= len(msgspec.json.encode(key)) + len(new.rows.pop(key)) + 4
    return new


class EstimateStore:
    """Reads the records into what this controller knows, and folds into them what it has seen."""

    def __init__(self, base: Base, presence: Presence, estimates: Estimates) -> None:
        self.base = base
        self.presence = presence
        self.estimates = estimates
        self._read: dict[str, int] = {}
        """The versions of the records that are in the estimates."""
        self._broken: set[str] = set()
        self._number = 0
        self._unanswered: dict[int, Unanswered] = {}
        """By shard."""
        self._folded_us = 0

    def key(self, shard: int) -> str:
        """The key of a shard's record."""
        return f"{ESTIMATE}{shard}"

    def changed(self) -> None:
        """Take in records that have changed."""
        cluster_state = self.base.cluster_state
        for key, value in cluster_state.estimates.items():
            version = cluster_state.version(key)
            if self._read.get(key) == version:
                continue
            self._read[key] = version
            try:
                record = read(value)
                rows = {name: unpack(text) for name, text in record.rows.items()}
            except UnreadableRecord as error:
                if key not in self._broken:
                    self._broken.add(key)
                    self.base.kernel.log("error", f"{key} is left alone: {error}")
                continue
            self._broken.discard(key)
            self._settle(int(key.removeprefix(ESTIMATE)), record)
            self.estimates.know(rows)

    def _settle(self, shard: int, record: EstimateRecord) -> None:
        """See in a record whether it holds the fold without an answer; no later version can, if this one does not."""
        sent = self._unanswered.get(shard)
        if sent is None or self.base.cluster_state.version(self.key(shard)) <= sent.version:
            return
        del self._unanswered[shard]
        if record.applied.get(self.base.settings.host_name) != sent.fold:
            self.estimates.unfold(sent.rows)

    def run(self) -> Fiber[None]:
        """Add what was observed to the record of one shard, if it is time for that and changes are not scarce."""
        base = self.base
        yield Sleep(LOOK_US)
        if not base.knobs.keep_estimates:
            return
        live = max(len(self.presence.live()), 1) if base.follower.loaded else 1
        rate = CHANGES_SHARE * base.settings.cluster.state.write_rps
        pause_us = max(LEAST_US, int(live / rate * SECOND_US))
        if not base.follower.loaded or not self.presence.incarnation or base.store.changes.scarce():
            return
        if base.kernel.now_us - self._folded_us < pause_us:
            return
        shards: dict[int, list[str]] = {}
        for key in self.estimates.fresh:
            shards.setdefault(shard_of(key), []).append(key)
        open_shards = [shard for shard in shards if self.key(shard) not in self._broken]
        if open_shards:
            self._folded_us = base.kernel.now_us
            yield from self._fold(max(open_shards, key=lambda shard: (len(shards[shard]), shard)))

    def _fold(self, shard: int) -> Fiber[None]:
        """Fold what is new of one shard into its record, or send the fold again that got no answer."""
        base = self.base
        if shard in self._unanswered and not (yield from base.follower.barrier()):
            return
        again = self._unanswered.get(shard)
        self._number += 1
        fold = (self.presence.incarnation, self._number) if again is None else again.fold
        taken: dict[str, array[float]] = {} if again is None else dict(again.rows)

        def build() -> Txn | None:
            if again is None:
                self.estimates.unfold(taken)
                taken.clear()
                taken.update(self.estimates.take(lambda name: shard_of(name) == shard))
            elif shard not in self._unanswered:
                # A record that was read since has settled it.
                return None
            return self._transaction(shard, fold, taken)

        txn, reply = yield from base.store.commit(build, 1, Urgency.BOOKKEEPING, "estimate")
        if txn is not None and reply.status == 200:
            base.cluster_state.put(self.key(shard), txn.puts[self.key(shard)], reply.body["ledger"])
            self.changed()
        elif again is not None:
            # The first one may be applied still.
            return
        elif txn is not None and txn.doubt:
            self._unanswered[shard] = Unanswered(fold, dict(taken), txn.guards[self.key(shard)])
            if base.cluster_state.version(self.key(shard)) > self._unanswered[shard].version:
                # A later record was read before the answer was given up.
                self._read.pop(self.key(shard), None)
                self.changed()
        else:
            self.estimates.unfold(taken)

    def _transaction(self, shard: int, fold: tuple[int, int], rows: dict[str, array[float]]) -> Txn | None:
        """The change of a shard's record that adds these rows; None where the record cannot be read."""
        base, key = self.base, self.key(shard)
        try:
            record = read(base.cluster_state.estimates[key]) if key in base.cluster_state.estimates else None
            most = int(base.limits.least_value_bytes * 0.9)
            new = folded(record, base.settings.host_name, fold, rows, most)
        except UnreadableRecord:
            return None
        return Txn().guard(key, base.cluster_state.version(key)).put(key, msgspec.to_builtins(new))
