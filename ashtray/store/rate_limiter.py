"""Token buckets that pace requests, and the order in which waiting requests are admitted."""

from __future__ import annotations

import heapq
import itertools
from enum import IntEnum

from ashtray.kernel import SECOND_US, Coroutine, Kernel, Signal, Sleep, Wait

SCARCE_US = 2 * SECOND_US
"""For how long after a request had to wait the budget counts as scarce."""
OVERDRAFT_RECOVERY_US = 12 * SECOND_US
"""The time after which the full overdraft is allowed again."""
BUDGET_RECHECK_US = SECOND_US // 4
"""The longest time between two checks of the budget by a waiting request: rates change every second."""


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
