"""Requests to the cloud, within its request rate and with a pause after an error."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ashtray.base import Base
from ashtray.kernel import SECOND_US, Call, Fiber, Reply, Sleep
from ashtray.store.client import Bucket

TIMEOUT_US = 5 * SECOND_US
RATE_SHARE = 0.8
"""Of the cloud's request rate, what this controller uses."""
TROUBLE = "trouble"
"""The error with which the cloud answers while it is out of order."""
NO_CAPACITY = "no capacity"
"""The error with which the cloud answers when it has no machine of a kind to rent."""


def error_of(reply: Reply) -> str | None:
    """The error that the body of an answer names, or None."""
    error: str | None = (reply.body or {}).get("error")
    return error


class CloudClient:
    """Sends one request after the other; the caller decides what to do about errors."""

    def __init__(self, base: Base) -> None:
        self.base = base
        self.kernel = base.kernel
        self.bucket = Bucket(base.settings.cluster.cloud.rps * RATE_SHARE, 1.0, self.kernel.now_us)
        self.pause_until_us = 0

    def paused(self) -> bool:
        """Whether a request failed so recently that none should be sent yet."""
        return self.kernel.now_us < self.pause_until_us

    def request(
        self, method: str, path: str, body: Any = None, allowed: Callable[[], bool] = lambda: True
    ) -> Fiber[Reply]:
        """Send one request when the rate allows it.

        `allowed` is asked after the wait, immediately before the request is sent; where it says no, the answer is a
        refused reply of status 0.  A reply of status 0 that was not refused means that the effect is unknown.
        """
        yield from self._wait_for_turn()
        if not allowed():
            return Reply(0, refused=True)
        self.bucket.level -= 1
        reply: Reply = yield Call(self.base.settings.services.cloud, method, path, body, TIMEOUT_US)
        if reply.status in (0, 429) or (reply.status == 503 and error_of(reply) == TROUBLE):
            self.pause_until_us = self.kernel.now_us + int(self.kernel.rng.uniform(0.5, 1.5) * SECOND_US)
            self.kernel.log("debug", f"cloud: {method} {path}: {reply.status}")
        return reply

    def _wait_for_turn(self) -> Fiber[None]:
        while True:
            self.bucket.refill(self.kernel.now_us)
            if self.bucket.has(1):
                return
            yield Sleep(self.bucket.wait_us(1))
