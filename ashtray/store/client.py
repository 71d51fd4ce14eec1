"""Requests to the state service, paced so that all controllers together stay within its limits."""

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
from ashtray.kernel import SECOND_US, Call, Fiber, Kernel, Reply, Signal, Sleep, Wait

CALL_US = 1_200_000
OVERDRAFT = 0.2
"""The part of a second's budget that urgent requests may overdraw."""
CHANGES_OVERDRAFT = 0.8
"""The same for changes: a commit leaves a debt of seconds for one controller, of which users must see nothing."""
SCARCE_US = 2 * SECOND_US
EAGER_US = 12 * SECOND_US
"""After that the overdraft is made use of in full again."""
AGAIN_US = SECOND_US // 4
"""What waits for its budget looks again after that: rates change every second."""
PINCH_US = 5 * SECOND_US
LOW_US, MOST_LOW_US = 30 * SECOND_US, 240 * SECOND_US
SURE = (200, 400, 409, 429, 503)
OUTCOMES = {0: "unanswered", 200: "good", 404: "good", 409: "conflicted"}


class Urgency(IntEnum):
    """Who goes first when the budget is short."""

    KEEP_ALIVE = 0
    CANCEL = 1
    ACCEPT = 2
    FREE = 3
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
        """Add what has come in since the last time."""
        self.level = min(self.rate * self.burst_s, self.level + self.rate * (now_us - self.at_us) / SECOND_US)
        self.at_us = now_us

    def has(self, amount: float, overdraft: float = 0.0) -> bool:
        """Whether so much may be taken now, with an overdraft."""
        # A request larger than the whole bucket goes out on a full one and leaves a debt.
        return self.level + overdraft >= min(amount, self.rate * self.burst_s)

    def wait_us(self, amount: float, overdraft: float = 0.0) -> int:
        """How long until so much may be taken, if nothing else is taken meanwhile."""
        short = min(amount, self.rate * self.burst_s) - self.level - overdraft
        return int(max(short, 0.0) / self.rate * SECOND_US) + 1000


class Lane:
    """Requests of one sort that wait for their budget, the most urgent first.

    What a user or a lease waits for may overdraw it a little: large commits leave debts, and a submission would
    wait for seconds until one is paid.
    """

    def __init__(self, kernel: Kernel, bucket: Bucket, overdraft: float) -> None:
        self.kernel = kernel
        self.bucket = bucket
        self.overdraft = overdraft
        self.waiting: list[tuple[int, int, float, Signal]] = []
        self.hold_until_us = 0
        self._eager = 0.0
        """The part of the overdraft that is made use of: none at first, for others may begin as well; cut by each
        429, and back after some seconds."""
        self._eager_us = kernel.now_us
        self.throttled = False
        """Something had to wait since this was last looked at."""
        self._short_us = -SCARCE_US
        self._seq = itertools.count()
        self._pumping = False
        self._news = Signal()

    def _overdraft(self, urgency: int) -> float:
        if urgency > Urgency.ACCEPT:
            return 0.0
        now = self.kernel.now_us
        self._eager, self._eager_us = min(self._eager + (now - self._eager_us) / EAGER_US, 1.0), now
        return self.overdraft * self._eager

    def spare(self, urgency: Urgency) -> int:
        """How much more could be admitted at once."""
        self.bucket.refill(self.kernel.now_us)
        return max(int(self.bucket.level + self._overdraft(urgency)), 0)

    def refused(self, n: int) -> None:
        """A 429: others overdraw as well, or are not known of.  Hold back for a while, and overdraw by less."""
        pause_us = int(self.kernel.rng.uniform(0.05, 0.2) * SECOND_US) * (n + 1)
        self.hold_until_us = max(self.hold_until_us, self.kernel.now_us + pause_us)
        self._overdraft(Urgency.KEEP_ALIVE)
        self._eager /= 4

    def admit(self, urgency: Urgency, amount: float) -> Fiber[None]:
        """Return once a request of this amount may be sent."""
        self.bucket.refill(self.kernel.now_us)
        first = not self.waiting or self.waiting[0][0] > urgency
        has = self.bucket.has(amount, self._overdraft(urgency))
        if not first or self.kernel.now_us < self.hold_until_us or not has:
            self.throttled = True
            self._short_us = self.kernel.now_us
            signal = Signal()
            heapq.heappush(self.waiting, (int(urgency), next(self._seq), amount, signal))
            if not self._pumping:
                self._pumping = True
                self.kernel.spawn(self._pump())
            self.kernel.fire(self._news)
            yield signal
        else:
            self.bucket.level -= amount

    def scarce(self) -> bool:
        """Whether requests have had to wait for their budget lately."""
        return bool(self.waiting) or self.kernel.now_us - self._short_us < SCARCE_US

    def _pump(self) -> Fiber[None]:
        while self.waiting:
            self.bucket.refill(self.kernel.now_us)
            urgency, _, amount, signal = self.waiting[0]
            overdraft = self._overdraft(urgency)
            if self.kernel.now_us < self.hold_until_us:
                yield Sleep(self.hold_until_us - self.kernel.now_us)
            elif self.bucket.has(amount, overdraft):
                heapq.heappop(self.waiting)
                self.bucket.level -= amount
                self._short_us = self.kernel.now_us
                self.kernel.fire(signal)
            else:
                # Something more urgent may come meanwhile, or the rate may be raised.
                yield Wait(self._news, min(self.bucket.wait_us(amount, overdraft), AGAIN_US))
        self._pumping = False


class StoreClient:
    """One controller's way to the state service."""

    def __init__(
        self, kernel: Kernel, address: str, limits: StateLimits, headroom: float = 0.96, nodes: int = 1
    ) -> None:
        """`nodes`: how many may share the limits; a process that begins must think that all of them do at once."""
        self.kernel = kernel
        self.address = address
        self.limits = limits
        self.headroom = headroom
        self.requests = Lane(kernel, Bucket(limits.rps, 1.0, kernel.now_us), limits.rps * OVERDRAFT)
        self.changes = Lane(
            kernel, Bucket(limits.write_rps, 1.0, kernel.now_us), limits.write_rps * CHANGES_OVERDRAFT
        )
        self.refused = False
        """A transaction was too large: lower limits are in force."""
        self._pinched_us: list[int] = []
        self._low_until_us = 0
        self._low_us = LOW_US
        self.used = 0
        """Changes sent since the start: peers share the budget by need."""
        self.counts: Counter[str] = Counter()
        """What the budgets went to since the last report, by purpose and outcome."""
        self.share(1 / nodes, 1 / nodes)

    def pinch(self) -> None:
        """A 429: two of them soon after one another say that the lower rate is in force.

        That is kept to for a while and then tried again, ever more seldom while it does not help.
        """
        now = self.kernel.now_us
        if self.limits.next is None or now < self._low_until_us:
            return
        self._pinched_us = [at for at in self._pinched_us if now - at < PINCH_US] + [now]
        again = now - self._low_until_us < PINCH_US
        if len(self._pinched_us) > 1 or again:
            self._low_us = min(2 * self._low_us, MOST_LOW_US) if again else LOW_US
            self._low_until_us = now + self._low_us
            self._pinched_us = []
            low_s = self._low_us // SECOND_US
            self.kernel.log("info", f"the state service takes fewer changes: at the lower rate for {low_s} s")
            self.changes.bucket.rate = min(
                self.changes.bucket.rate,
                self.changes.bucket.rate * self.limits.next.write_rps / self.limits.write_rps,
            )

    def backlog(self) -> int:
        """How many requests wait for their budgets."""
        return len(self.requests.waiting) + len(self.changes.waiting)

    def share(self, requests: float, changes: float) -> None:
        """Set this controller's share of the budgets that all controllers have together."""
        write_rps = self.limits.write_rps
        if self.limits.next is not None and self.kernel.now_us < self._low_until_us:
            write_rps = min(write_rps, self.limits.next.write_rps)
        for lane, rate in ((self.requests, self.limits.rps * requests), (self.changes, write_rps * changes)):
            lane.bucket.refill(self.kernel.now_us)
            lane.bucket.rate = rate * self.headroom

    def request(
        self, urgency: Urgency, method: str, path: str, body: Any = None, tries: int = 3, purpose: str = "read"
    ) -> Fiber[Reply]:
        """One request; a 429 is tried again after a pause, for it says that nothing was executed."""
        reply = Reply(0)
        asked_us = self.kernel.now_us
        for n in range(tries):
            yield from self.requests.admit(urgency, 1)
            reply = yield Call(self.address, method, path, body, CALL_US)
            self.counts[f"{purpose} {OUTCOMES.get(reply.status, 'refused')}"] += 1
            if reply.status != 429:
                break
            self.requests.refused(n)
        self._note(method, path, reply, asked_us)
        return reply

    def _note(self, method: str, path: str, reply: Reply, asked_us: int) -> None:
        if self.kernel.verbose:
            ms = (self.kernel.now_us - asked_us) // 1000
            if ms > 300 or reply.status not in (200, 404):
                self.kernel.log("debug", f"state: {method} {path}: {reply.status} after {ms} ms")

    def read(self, key: str, urgency: Urgency = Urgency.ACCEPT) -> Fiber[Reply]:
        """Read one key: 200 with its value and version, or 404."""
        return (yield from self.request(urgency, "GET", f"/store/{key}"))

    def page(self, prefix: str, after: str | None) -> Fiber[Reply]:
        """Read the next page of the keys under a prefix, after a key."""
        path = f"/store?under={quote(prefix, safe='')}&page=1000"
        if after is not None:
            path += f"&after={quote(after, safe='')}"
        return (yield from self.request(Urgency.KEEP_ALIVE, "GET", path, purpose="load"))

    def follow(self, prefix: str, revision: int) -> Fiber[Reply]:
        """Read what has changed under a prefix since a revision, without waiting for changes."""
        path = f"/follow?under={quote(prefix, safe='')}&after={revision}&wait_ms=0"
        return (yield from self.request(Urgency.KEEP_ALIVE, "GET", path, tries=1, purpose="follow"))

    def commit(
        self,
        build: Callable[[], Txn | None],
        changes: int,
        urgency: Urgency,
        purpose: str,
        look: Callable[[], Fiber[None]] | None = None,
    ) -> Fiber[tuple[Txn | None, Reply]]:
        """Commit what `build` makes.  It is called once the budget for about so many changes is there, not
        before, and after a `look` at what has changed, so that what waits for its turn does not grow stale."""
        asked_us = self.kernel.now_us
        txn: Txn | None = None
        reply = Reply(0)
        for n in range(3):
            yield from self.changes.admit(urgency, changes)
            if look is not None:
                yield from look()
            txn = build()
            if txn is None:
                self.changes.bucket.level += changes
                return None, Reply(0)
            self.changes.bucket.level -= txn.changes() - changes
            self.requests.bucket.level -= 1
            self.used += txn.changes()
            reply = yield Call(self.address, "POST", "/txn", txn.body(), CALL_US)
            outcome = OUTCOMES.get(reply.status, "refused")
            self.counts[f"{purpose} {outcome}"] += 1
            self.counts[f"{purpose} {outcome} changes"] += txn.changes()
            txn.doubt = reply.status not in SURE
            if reply.status == 400 and (reply.body or {}).get("error") != "no such lease":
                # Never the same again: if that was too large for the lower limits, they hold from now on.
                # Any other refusal says nothing of them, or of the version before.
                self.refused = self.refused or self._over_the_next(txn)
                self.kernel.log("error", f"the state service refuses a transaction ({purpose}): {reply.body}")
            if reply.status != 429:
                break
            self.pinch()
            self.changes.refused(n)
        self._note("POST", f"/txn of {txn.changes() if txn else 0}", reply, asked_us)
        return txn, reply

    def _over_the_next(self, txn: Txn) -> bool:
        following = self.limits.next
        if following is None:
            return False
        sizes = [len(msgspec.json.encode(value)) for value in txn.puts.values()]
        return (
            txn.changes() > following.txn_ops
            or len(txn.guards) > 4 * following.txn_ops
            or max(sizes, default=0) > following.value_kb * 1024
        )

    def open_lease(self, life_us: int) -> Fiber[Reply]:
        """Open a lease that ends by itself after so long (us)."""
        body = {"life_ms": life_us // 1000}
        return (yield from self.request(Urgency.KEEP_ALIVE, "POST", "/leases", body, purpose="lease"))

    def renew_lease(self, lease: int) -> Fiber[Reply]:
        """Renew a lease; 404 if it has ended."""
        path = f"/leases/{lease}/renew"
        return (yield from self.request(Urgency.KEEP_ALIVE, "POST", path, {}, purpose="lease"))

    def close_lease(self, lease: int) -> Fiber[Reply]:
        """End a lease at once, with the keys attached to it."""
        return (yield from self.request(Urgency.KEEP_ALIVE, "DELETE", f"/leases/{lease}", purpose="lease"))


TXN_BYTES = 64 * 1024
"""What the state service takes in one transaction, in all."""


VALUE_SHARE = 0.95
"""Of the limit for a value what a record may take."""


@dataclass
class Limits:
    """How much may go into one transaction and one value; sizes are estimates, so a part is kept in reserve.

    Where the settings name lower limits that are to come, these hold from the moment when no controller of the
    version before is about any more: they come after that, without notice, and what is too large then could not even
    be made smaller.
    """

    ops: int
    txn_bytes: int
    value_bytes: int
    least_ops: int = 0
    least_value_bytes: int = 0
    """What will hold at last."""
    low: bool = False
    alike: bool = False
    """All controllers are of this version."""
    refused: bool = False
    """A transaction was too large: the lower limits are there."""
    first_value_bytes: int = 0

    @classmethod
    def of(cls, limits: StateLimits) -> Limits:
        """The limits that the settings state, with the lower ones that are to come."""
        ops, value_kb = limits.txn_ops, limits.value_kb
        if limits.next is not None:
            ops, value_kb = min(ops, limits.next.txn_ops), min(value_kb, limits.next.value_kb)
        txn_bytes = int(TXN_BYTES * 0.85)
        return cls(limits.txn_ops, txn_bytes, int(limits.value_kb * 1024), ops, int(value_kb * 1024))

    @property
    def lean(self) -> bool:
        """Whether groups' records are written in lean form: no controller that cannot read it is about."""
        return self.low or self.alike

    @property
    def fall(self) -> bool:
        """Whether lower limits are to come."""
        return not self.low and (self.least_ops < self.ops or self.least_value_bytes < self.value_bytes)

    def lower(self) -> None:
        """Go over to the lower limits."""
        self.low = True
        self.first_value_bytes = self.value_bytes
        self.ops, self.value_bytes = self.least_ops, self.least_value_bytes

    def takes(self, size: int, alone: bool = False) -> bool:
        """Whether a record of so many bytes may be written.

        A machine that is too large `alone` cannot be split: its record may stay so while nothing has been refused.
        """
        if alone and not self.refused and size > self.value_bytes:
            return size <= self.first_value_bytes * VALUE_SHARE
        return size <= self.value_bytes * VALUE_SHARE

    @property
    def guards(self) -> int:
        """How many versions a transaction may depend on."""
        return 4 * self.ops

    @property
    def least_guards(self) -> int:
        """The same at last: what all controllers must agree on does not change with the limits."""
        return 4 * (self.least_ops or self.ops)


class Txn:
    """A transaction being put together: versions that must hold, and changes to apply."""

    def __init__(self) -> None:
        self.guards: dict[str, int] = {}
        self.puts: dict[str, Any] = {}
        self.leases: dict[str, int] = {}
        self.removes: list[str] = []
        self.doubt = False
        """It got no answer: it may have been applied, or may still be."""

    def guard(self, key: str, version: int) -> Txn:
        """Let the transaction fail unless the key has this version; 0: unless it is absent."""
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

    def changes(self) -> int:
        """How many puts and removals there are."""
        return len(self.puts) + len(self.removes)

    def body(self) -> dict[str, Any]:
        """The request's body, in the words of the state service."""
        apply: list[dict[str, Any]] = []
        for key, value in self.puts.items():
            change = {"put": key, "value": value}
            if key in self.leases:
                change["permit"] = self.leases[key]
            apply.append(change)
        apply += [{"remove": key} for key in self.removes]
        return {"guards": [{"k": k, "stamp": v} for k, v in self.guards.items()], "apply": apply}
