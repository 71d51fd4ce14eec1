"""Requests to the state service, paced so that all controllers together stay within its limits."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from enum import IntEnum
from typing import Any
from urllib.parse import quote

from ashtray.config.settings import StateLimits
from ashtray.kernel import SECOND_US, Call, Fiber, Kernel, Reply, Signal, Sleep

CALL_US = 2 * SECOND_US


class Urgency(IntEnum):
    """Who goes first when the budget is short."""

    KEEP_ALIVE = 0
    CANCEL = 1
    FREE = 2
    ACCEPT = 3
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
        self.level = min(self.rate * self.burst_s, self.level + self.rate * (now_us - self.at_us) / SECOND_US)
        self.at_us = now_us

    def has(self, amount: float) -> bool:
        # A request larger than the whole bucket goes out on a full one and leaves a debt.
        return self.level >= min(amount, self.rate * self.burst_s)

    def wait_us(self, amount: float) -> int:
        short = min(amount, self.rate * self.burst_s) - self.level
        return int(max(short, 0.0) / self.rate * SECOND_US) + 1000


class StoreClient:
    """One controller's way to the state service."""

    def __init__(
        self, kernel: Kernel, address: str, limits: StateLimits, sharers: Callable[[], int], headroom: float = 0.9
    ) -> None:
        self.kernel = kernel
        self.address = address
        self.limits = limits
        self.sharers = sharers
        self.headroom = headroom
        self.requests = Bucket(limits.rps * headroom, 1.0, kernel.now_us)
        self.changes = Bucket(limits.write_rps * headroom, 1.0, kernel.now_us)
        self.waiting: list[tuple[int, int, float, Signal]] = []
        self._seq = itertools.count()
        self._pumping = False
        self.pause_until_us = 0

    def backlog(self) -> int:
        return len(self.waiting)

    def _rates(self) -> None:
        share = self.headroom / max(self.sharers(), 1)
        for bucket, rate in ((self.requests, self.limits.rps), (self.changes, self.limits.write_rps)):
            bucket.refill(self.kernel.now_us)
            bucket.rate = rate * share

    def _free(self, changes: float) -> bool:
        return self.requests.has(1) and (not changes or self.changes.has(changes))

    def _admit(self, urgency: Urgency, changes: float) -> Fiber[None]:
        self._rates()
        held = self.kernel.now_us < self.pause_until_us
        if held or not self._free(changes) or (self.waiting and self.waiting[0][0] <= urgency):
            signal = Signal()
            heapq.heappush(self.waiting, (int(urgency), next(self._seq), changes, signal))
            if not self._pumping:
                self._pumping = True
                self.kernel.spawn(self._pump())
            yield signal
            return
        self.requests.level -= 1
        self.changes.level -= changes

    def _pump(self) -> Fiber[None]:
        while self.waiting:
            self._rates()
            _, _, changes, signal = self.waiting[0]
            pause = self.pause_until_us - self.kernel.now_us
            if pause > 0:
                yield Sleep(pause)
            elif self._free(changes):
                heapq.heappop(self.waiting)
                self.requests.level -= 1
                self.changes.level -= changes
                self.kernel.fire(signal)
            else:
                yield Sleep(max(self.requests.wait_us(1), self.changes.wait_us(changes) if changes else 0))
        self._pumping = False

    def request(
        self, urgency: Urgency, method: str, path: str, body: Any = None, changes: int = 0, tries: int = 3
    ) -> Fiber[Reply]:
        """One request; a 429 is tried again after a pause, for it says that nothing was executed."""
        reply = Reply(0)
        for n in range(tries):
            yield from self._admit(urgency, changes)
            reply = yield Call(self.address, method, path, body, CALL_US)
            if reply.status != 429:
                break
            # The budget is shared with controllers that this one may not know of: hold back for a while.
            pause = int(self.kernel.rng.uniform(0.05, 0.2) * SECOND_US) * (n + 1)
            self.pause_until_us = max(self.pause_until_us, self.kernel.now_us + pause)
        return reply

    def read(self, key: str, urgency: Urgency = Urgency.ACCEPT) -> Fiber[Reply]:
        return (yield from self.request(urgency, "GET", f"/store/{key}"))

    def page(self, prefix: str, after: str | None) -> Fiber[Reply]:
        path = f"/store?under={quote(prefix, safe='')}&page=1000"
        if after is not None:
            path += f"&after={quote(after, safe='')}"
        return (yield from self.request(Urgency.KEEP_ALIVE, "GET", path))

    def follow(self, prefix: str, revision: int) -> Fiber[Reply]:
        path = f"/follow?under={quote(prefix, safe='')}&after={revision}&wait_ms=0"
        return (yield from self.request(Urgency.KEEP_ALIVE, "GET", path, tries=1))

    def commit(self, txn: Txn, urgency: Urgency) -> Fiber[Reply]:
        return (yield from self.request(urgency, "POST", "/txn", txn.body(), changes=txn.changes()))

    def open_lease(self, life_us: int) -> Fiber[Reply]:
        return (yield from self.request(Urgency.KEEP_ALIVE, "POST", "/leases", {"life_ms": life_us // 1000}))

    def renew_lease(self, lease: int) -> Fiber[Reply]:
        return (yield from self.request(Urgency.KEEP_ALIVE, "POST", f"/leases/{lease}/renew", {}))


class Txn:
    """A transaction being put together: versions that must hold, and changes to apply."""

    def __init__(self) -> None:
        self.guards: dict[str, int] = {}
        self.puts: dict[str, Any] = {}
        self.leases: dict[str, int] = {}
        self.removes: list[str] = []

    def guard(self, key: str, version: int) -> Txn:
        self.guards[key] = version
        return self

    def put(self, key: str, value: Any, lease: int | None = None) -> Txn:
        self.puts[key] = value
        if lease is not None:
            self.leases[key] = lease
        return self

    def remove(self, key: str) -> Txn:
        self.removes.append(key)
        return self

    def changes(self) -> int:
        return len(self.puts) + len(self.removes)

    def body(self) -> dict[str, Any]:
        apply: list[dict[str, Any]] = []
        for key, value in self.puts.items():
            change = {"put": key, "value": value}
            if key in self.leases:
                change["permit"] = self.leases[key]
            apply.append(change)
        apply += [{"remove": key} for key in self.removes]
        return {"guards": [{"k": k, "stamp": v} for k, v in self.guards.items()], "apply": apply}
