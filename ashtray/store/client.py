"""The client of the state service: paces requests so that all controllers together stay within its rate limits."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any
from urllib.parse import quote

import msgspec

from ashtray.config.settings import StateLimits
from ashtray.kernel import SECOND_US, Call, Coroutine, Kernel, Reply, Signal, Sleep, Wait

CALL_TIMEOUT_US = 1_200_000
REQUEST_OVERDRAFT = 0.2
"""How far urgent requests may overdraw the request budget, as a part of the budget of one second."""
WRITE_OVERDRAFT = 0.8
"""The same for writes: the debt of one large commit takes a controller seconds to repay, and users must not wait for
that."""
SCARCE_US = 2 * SECOND_US
"""For how long after a request had to wait the budget counts as scarce."""
OVERDRAFT_RECOVERY_US = 12 * SECOND_US
"""The time after which the full overdraft is allowed again."""
BUDGET_RECHECK_US = SECOND_US // 4
"""The longest time between two checks of the budget by a waiting request: rates change every second."""
THROTTLE_WINDOW_US = 5 * SECOND_US
"""Two 429 answers to writes within this time show that the lower rate is in force."""
LOW_RATE_US, MAX_LOW_RATE_US = 30 * SECOND_US, 240 * SECOND_US
"""For how long the lower rate is kept before the normal one is tried again: the first time, and at most."""
KNOWN_OUTCOMES = (200, 400, 409, 429, 503)
"""Statuses that tell whether a transaction was applied; after any other one it may have been, or may still be."""
OUTCOME_NAMES = {0: "unanswered", 200: "good", 404: "good", 409: "conflicted"}


class Urgency(IntEnum):
    """Priorities of requests when the budget is scarce; the lowest number goes first."""

    KEEP_ALIVE = 0
    CANCEL = 1
    ACCEPT = 2
    FOLD = 3
    PLACE = 4
    BOOKKEEPING = 5


class Bucket:
    """A token bucket whose rate may change; it holds `burst_s` worth of tokens."""

    def __init__(self, rate: float, burst_s: float, now_us: int) -> None:
        self.rate = rate
        self.burst_s = burst_s
        self.level = rate * burst_s
        self.at_us = now_us

    def refill(self, now_us: int) -> None:
        """Add the tokens that have accrued since the last call."""
        self.level = min(self.rate * self.burst_s, self.level + self.rate * (now_us - self.at_us) / SECOND_US)
        self.at_us = now_us

    def has(self, amount: float, overdraft: float = 0.0) -> bool:
        """Whether `amount` tokens may be taken now, with an overdraft of so many tokens."""
        # A request larger than the whole bucket is admitted when the bucket is full, and leaves a debt.
        return self.level + overdraft >= min(amount, self.rate * self.burst_s)

    def wait_us(self, amount: float, overdraft: float = 0.0) -> int:
        """Return the time in microseconds until `amount` tokens may be taken, if nothing else is taken meanwhile."""
        missing = min(amount, self.rate * self.burst_s) - self.level - overdraft
        return int(max(missing, 0.0) / self.rate * SECOND_US) + 1000


class RateLimiter:
    """Admits requests of one kind as their token bucket allows; the most urgent of the waiting ones goes first.

    Requests that a user or a lease waits for may overdraw the bucket a little: large commits leave debts, and a
    submission would otherwise wait for seconds until a debt is repaid.
    """

    def __init__(self, kernel: Kernel, bucket: Bucket, overdraft: float) -> None:
        self.kernel = kernel
        self.bucket = bucket
        self.overdraft = overdraft
        self.waiting: list[tuple[int, int, float, Signal]] = []
        self.paused_until_us = 0
        self._overdraft_factor = 0.0
        """The part of the overdraft that may be used: 0 at first, since other controllers may be starting too; each
        429 reduces it, and it recovers in `OVERDRAFT_RECOVERY_US`."""
        self._overdraft_factor_us = kernel.now_us
        self.throttled = False
        """A request had to wait since this flag was last reset."""
        self._last_wait_us = -SCARCE_US
        self._seq = itertools.count()
        self._serving = False
        self._changed = Signal()

    def _overdraft(self, urgency: int) -> float:
        if urgency > Urgency.ACCEPT:
            return 0.0
        now = self.kernel.now_us
        self._overdraft_factor, self._overdraft_factor_us = (
            min(self._overdraft_factor + (now - self._overdraft_factor_us) / OVERDRAFT_RECOVERY_US, 1.0),
            now,
        )
        return self.overdraft * self._overdraft_factor

    def spare(self, urgency: Urgency) -> int:
        """Return how many more tokens requests of this urgency could take at once."""
        self.bucket.refill(self.kernel.now_us)
        return max(int(self.bucket.level + self._overdraft(urgency)), 0)

    def note_throttled(self, n: int) -> None:
        """After a 429 for the `n`-th retry (0: the first try), pause for a while and allow a smaller overdraft.

        Other controllers overdraw as well, or are not known yet.
        """
        pause_us = int(self.kernel.rng.uniform(0.05, 0.2) * SECOND_US) * (n + 1)
        self.paused_until_us = max(self.paused_until_us, self.kernel.now_us + pause_us)
        self._overdraft(Urgency.KEEP_ALIVE)
        self._overdraft_factor /= 4

    def admit(self, urgency: Urgency, amount: float) -> Coroutine[None]:
        """Take `amount` tokens, and return once the request may be sent."""
        self.bucket.refill(self.kernel.now_us)
        first = not self.waiting or self.waiting[0][0] > urgency
        has = self.bucket.has(amount, self._overdraft(urgency))
        if not first or self.kernel.now_us < self.paused_until_us or not has:
            self.throttled = True
            self._last_wait_us = self.kernel.now_us
            signal = Signal()
            heapq.heappush(self.waiting, (int(urgency), next(self._seq), amount, signal))
            if not self._serving:
                self._serving = True
                self.kernel.spawn(self._serve_waiting())
            self.kernel.fire(self._changed)
            yield signal
        else:
            self.bucket.level -= amount

    def scarce(self) -> bool:
        """Whether requests wait for the budget now, or have waited within `SCARCE_US`."""
        return bool(self.waiting) or self.kernel.now_us - self._last_wait_us < SCARCE_US

    def _serve_waiting(self) -> Coroutine[None]:
        while self.waiting:
            self.bucket.refill(self.kernel.now_us)
            urgency, _, amount, signal = self.waiting[0]
            overdraft = self._overdraft(urgency)
            if self.kernel.now_us < self.paused_until_us:
                yield Sleep(self.paused_until_us - self.kernel.now_us)
            elif self.bucket.has(amount, overdraft):
                heapq.heappop(self.waiting)
                self.bucket.level -= amount
                self._last_wait_us = self.kernel.now_us
                self.kernel.fire(signal)
            else:
                # A more urgent request may come meanwhile, or the rate may be raised.
                yield Wait(self._changed, min(self.bucket.wait_us(amount, overdraft), BUDGET_RECHECK_US))
        self._serving = False


class StoreClient:
    """Sends one controller's requests and transactions to the state service."""

    def __init__(
        self, kernel: Kernel, address: str, limits: StateLimits, headroom: float = 0.96, nodes: int = 1
    ) -> None:
        """Create a client whose share of the limits is that of one of `nodes` controllers.

        A process that starts must assume that all controllers start and use the limits at once.  `headroom` is the
        part of the share that is used.
        """
        self.kernel = kernel
        self.address = address
        self.limits = limits
        self.headroom = headroom
        self.requests = RateLimiter(kernel, Bucket(limits.rps, 1.0, kernel.now_us), limits.rps * REQUEST_OVERDRAFT)
        self.writes = RateLimiter(
            kernel, Bucket(limits.write_rps, 1.0, kernel.now_us), limits.write_rps * WRITE_OVERDRAFT
        )
        self.refused = False
        """A transaction was refused as too large: the lower limits are in force."""
        self._throttled_us: list[int] = []
        """When writes got a 429, within the last `THROTTLE_WINDOW_US`."""
        self._low_rate_until_us = 0
        self._low_rate_us = LOW_RATE_US
        self.used = 0
        """Writes sent since the start, from which this controller's demand is estimated."""
        self.counts: Counter[str] = Counter()
        """Requests and writes since the counters were last logged, by purpose and outcome."""
        self.share(1 / nodes, 1 / nodes)

    def note_write_throttled(self) -> None:
        """Take in a 429 for a write: two within `THROTTLE_WINDOW_US` show that the lower rate is in force.

        The lower rate is kept for a while before the normal one is tried again, each time twice as long while the
        normal rate still gets a 429.
        """
        now = self.kernel.now_us
        if self.limits.next is None or now < self._low_rate_until_us:
            return
        self._throttled_us = [at for at in self._throttled_us if now - at < THROTTLE_WINDOW_US] + [now]
        repeated = now - self._low_rate_until_us < THROTTLE_WINDOW_US
        if len(self._throttled_us) > 1 or repeated:
            self._low_rate_us = min(2 * self._low_rate_us, MAX_LOW_RATE_US) if repeated else LOW_RATE_US
            self._low_rate_until_us = now + self._low_rate_us
            self._throttled_us = []
            low_s = self._low_rate_us // SECOND_US
            self.kernel.log("info", f"the state service throttles writes: writing at the lower rate for {low_s} s")
            self.writes.bucket.rate = min(
                self.writes.bucket.rate,
                self.writes.bucket.rate * self.limits.next.write_rps / self.limits.write_rps,
            )

    def backlog(self) -> int:
        """Return how many requests and transactions wait for their budgets."""
        return len(self.requests.waiting) + len(self.writes.waiting)

    def share(self, requests: float, writes: float) -> None:
        """Set this controller's shares, from 0 to 1, of the request and write budgets of all controllers."""
        write_rps = self.limits.write_rps
        if self.limits.next is not None and self.kernel.now_us < self._low_rate_until_us:
            write_rps = min(write_rps, self.limits.next.write_rps)
        for limiter, rate in ((self.requests, self.limits.rps * requests), (self.writes, write_rps * writes)):
            limiter.bucket.refill(self.kernel.now_us)
            limiter.bucket.rate = rate * self.headroom

    def request(
        self, urgency: Urgency, method: str, path: str, body: Any = None, tries: int = 3, purpose: str = "read"
    ) -> Coroutine[Reply]:
        """Send a request and return the reply; retry after a 429, which means that nothing was executed."""
        reply = Reply(0)
        asked_us = self.kernel.now_us
        for n in range(tries):
            yield from self.requests.admit(urgency, 1)
            reply = yield Call(self.address, method, path, body, CALL_TIMEOUT_US)
            self.counts[f"{purpose} {OUTCOME_NAMES.get(reply.status, 'refused')}"] += 1
            if reply.status != 429:
                break
            self.requests.note_throttled(n)
        self._log_slow_or_failed(method, path, reply, asked_us)
        return reply

    def _log_slow_or_failed(self, method: str, path: str, reply: Reply, asked_us: int) -> None:
        if self.kernel.verbose:
            ms = (self.kernel.now_us - asked_us) // 1000
            if ms > 300 or reply.status not in (200, 404):
                self.kernel.log("debug", f"state: {method} {path}: {reply.status} after {ms} ms")

    def read(self, key: str, urgency: Urgency = Urgency.ACCEPT) -> Coroutine[Reply]:
        """Read one key; the reply is 200 with its value and version, or 404."""
        return (yield from self.request(urgency, "GET", f"/store/{key}"))

    def page(self, prefix: str, after: str | None) -> Coroutine[Reply]:
        """Read one page of the records under a prefix: those after the key `after`, or the first ones."""
        path = f"/store?under={quote(prefix, safe='')}&page=1000"
        if after is not None:
            path += f"&after={quote(after, safe='')}"
        return (yield from self.request(Urgency.KEEP_ALIVE, "GET", path, purpose="load"))

    def follow(self, prefix: str, revision: int) -> Coroutine[Reply]:
        """Read the changes under a prefix after a revision, without waiting for new ones."""
        path = f"/follow?under={quote(prefix, safe='')}&after={revision}&wait_ms=0"
        return (yield from self.request(Urgency.KEEP_ALIVE, "GET", path, tries=1, purpose="follow"))

    def commit(
        self,
        build: Callable[[], Txn | None],
        writes: int,
        urgency: Urgency,
        purpose: str,
        refresh: Callable[[], Coroutine[None]] | None = None,
    ) -> Coroutine[tuple[Txn | None, Reply]]:
        """Commit the transaction that `build` returns; return the transaction and its reply.

        `build` is called only when the budget for about that many `writes` is there, and after `refresh` has read the
        latest changes, so that a transaction does not become outdated while it waits for the budget.  If `build`
        returns None, nothing is sent, and the result is None with a reply of status 0.  A 429 is retried.
        """
        asked_us = self.kernel.now_us
        txn: Txn | None = None
        reply = Reply(0)
        for n in range(3):
            yield from self.writes.admit(urgency, writes)
            if refresh is not None:
                yield from refresh()
            txn = build()
            if txn is None:
                self.writes.bucket.level += writes
                return None, Reply(0)
            self.writes.bucket.level -= txn.write_count() - writes
            self.requests.bucket.level -= 1
            self.used += txn.write_count()
            reply = yield Call(self.address, "POST", "/txn", txn.body(), CALL_TIMEOUT_US)
            outcome = OUTCOME_NAMES.get(reply.status, "refused")
            self.counts[f"{purpose} {outcome}"] += 1
            self.counts[f"{purpose} {outcome} changes"] += txn.write_count()
            txn.outcome_unknown = reply.status not in KNOWN_OUTCOMES
            if reply.status == 400 and (reply.body or {}).get("error") != "no such lease":
                # The same transaction must not be sent again.  If it exceeds the lower limits, they are in force now;
                # any other refusal says nothing about the limits or about peers of the previous version.
                self.refused = self.refused or self._exceeds_next_limits(txn)
                size = txn.describe_size()
                self.kernel.log("error", f"the state service refuses a transaction ({purpose}, {size}): {reply.body}")
            if reply.status != 429:
                break
            self.note_write_throttled()
            self.writes.note_throttled(n)
        self._log_slow_or_failed("POST", f"/txn of {txn.write_count() if txn else 0}", reply, asked_us)
        return txn, reply

    def _exceeds_next_limits(self, txn: Txn) -> bool:
        next_limits = self.limits.next
        if next_limits is None:
            return False
        sizes = [len(msgspec.json.encode(value)) for value in txn.puts.values()]
        return (
            txn.write_count() > next_limits.txn_ops
            or len(txn.guards) > 4 * next_limits.txn_ops
            or max(sizes, default=0) > next_limits.value_kb * 1024
        )

    def open_lease(self, life_us: int) -> Coroutine[Reply]:
        """Open a lease that expires after `life_us` unless it is renewed."""
        body = {"life_ms": life_us // 1000}
        return (yield from self.request(Urgency.KEEP_ALIVE, "POST", "/leases", body, purpose="lease"))

    def renew_lease(self, lease: int) -> Coroutine[Reply]:
        """Renew a lease; the reply is 404 if it has ended."""
        path = f"/leases/{lease}/renew"
        return (yield from self.request(Urgency.KEEP_ALIVE, "POST", path, {}, purpose="lease"))

    def close_lease(self, lease: int) -> Coroutine[Reply]:
        """End a lease at once and remove the keys attached to it."""
        return (yield from self.request(Urgency.KEEP_ALIVE, "DELETE", f"/leases/{lease}", purpose="lease"))


TXN_BYTES = 64 * 1024
"""The largest transaction that the state service accepts, in bytes."""


VALUE_SHARE = 0.95
"""The part of the size limit for a value that a record may use."""


@dataclass
class Limits:
    """The limits for one transaction and one value; sizes are estimates, so a part is kept in reserve.

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
        txn_bytes = int(TXN_BYTES * 0.85)
        return cls(limits.txn_ops, txn_bytes, int(limits.value_kb * 1024), ops, int(value_kb * 1024))

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
        total = len(msgspec.json.encode(self.body()))
        largest = max((len(msgspec.json.encode(value)) for value in self.puts.values()), default=0)
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
