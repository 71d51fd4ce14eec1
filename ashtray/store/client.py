"""The client of the state service: paces requests so that all controllers together stay within its rate limits."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any
from urllib.parse import quote

from ashtray.config.settings import StateLimits
from ashtray.kernel import SECOND_US, Call, Coroutine, Kernel, Reply
from ashtray.store.limits import MAX_TXN_BYTES
from ashtray.store.rate_limiter import Bucket, RateLimiter, Urgency
from ashtray.store.refusals import RefusalBackoff
from ashtray.store.transaction import CommitOutcome, Txn

CALL_TIMEOUT_US = 1_200_000
REQUEST_OVERDRAFT = 0.2
"""How far urgent requests may overdraw the request budget, as a part of the budget of one second."""
WRITE_OVERDRAFT = 0.8
"""The same for writes: the debt of one large commit takes a controller seconds to repay, and users must not wait for
that."""
THROTTLE_WINDOW_US = 5 * SECOND_US
"""Two 429 answers to writes within this time show that the lower rate is in force."""
LOW_RATE_US, MAX_LOW_RATE_US = 30 * SECOND_US, 240 * SECOND_US
"""For how long the lower rate is kept before the normal one is tried again: the first time, and at most."""
KNOWN_OUTCOMES = (200, 400, 409, 429, 503)
"""Statuses that tell whether a transaction was applied; after any other one it may have been, or may still be."""
OUTCOME_NAMES = {0: "unanswered", 200: "good", 404: "good", 409: "conflicted"}


class StoreClient:
    """Sends one controller's requests and transactions to the state service."""

    def __init__(
        self,
        kernel: Kernel,
        address: str,
        limits: StateLimits,
        headroom: float = 0.96,
        nodes: int = 1,
        lower_limits_found: Callable[[], None] = lambda: None,
    ) -> None:
        """Create a client whose share of the limits is that of one of `nodes` controllers.

        A process that starts must assume that all controllers start and use the limits at once.  `headroom` is the
        part of the share that is used.  `lower_limits_found` is called when a refusal shows that the lower limits
        hold, before another transaction can be built.
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
        self._lower_limits_found = lower_limits_found
        self.refusals = RefusalBackoff()
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
        returns None, nothing is sent, and the result is None with a reply of status 0.  A 429 is retried.  For a
        transaction that is too large the reply has status 400; it is not sent, because a refusal costs writes.
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
            if txn.size() > MAX_TXN_BYTES:
                self.writes.bucket.level += writes
                self.counts[f"{purpose} not sent"] += 1
                self.refusals.note_refusal(purpose, self.kernel.now_us)
                self.kernel.log("error", f"a transaction is too large to be sent ({purpose}, {txn.describe_size()})")
                return txn, Reply(400)
            self.writes.bucket.level -= txn.write_count() - writes
            self.requests.bucket.level -= 1
            self.used += txn.write_count()
            reply = yield Call(self.address, "POST", "/txn", txn.body(), CALL_TIMEOUT_US)
            outcome = OUTCOME_NAMES.get(reply.status, "refused")
            self.counts[f"{purpose} {outcome}"] += 1
            self.counts[f"{purpose} {outcome} changes"] += txn.write_count()
            txn.outcome_unknown = reply.status not in KNOWN_OUTCOMES
            if CommitOutcome.of(reply) is CommitOutcome.REFUSED:
                self._note_refusal(txn, reply, purpose)
            if reply.status != 429:
                break
            self.note_write_throttled()
            self.writes.note_throttled(n)
        self._log_slow_or_failed("POST", f"/txn of {txn.write_count() if txn else 0}", reply, asked_us)
        return txn, reply

    def _note_refusal(self, txn: Txn, reply: Reply, purpose: str) -> None:
        """Reduce the limits for the next transaction of this purpose: the same one must not be built again.

        If it exceeds the lower limits, these are in force now, and reduce it by themselves.  Any other refusal says
        nothing about them or about peers of the previous version.
        """
        if self._exceeds_next_limits(txn) and not self.refused:
            self.refused = True
            self._lower_limits_found()
        else:
            self.refusals.note_refusal(purpose, self.kernel.now_us)
        size = txn.describe_size()
        self.kernel.log("error", f"the state service refuses a transaction ({purpose}, {size}): {reply.body}")

    def _exceeds_next_limits(self, txn: Txn) -> bool:
        next_limits = self.limits.next
        if next_limits is None:
            return False
        return (
            txn.write_count() > next_limits.txn_ops
            or len(txn.guards) > 4 * next_limits.txn_ops
            or max(txn.value_sizes().values(), default=0) > next_limits.value_kb * 1024
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
