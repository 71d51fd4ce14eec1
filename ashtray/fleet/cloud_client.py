"""Sends requests to the cloud, within its rate limit and with a pause after an error."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ashtray.base import Base
from ashtray.kernel import SECOND_US, Call, Coroutine, Reply, Sleep
from ashtray.store.rate_limiter import Bucket

TIMEOUT_US = 5 * SECOND_US
RATE_SHARE = 0.8
"""The share of the cloud's rate limit that this controller uses."""
TROUBLE = "trouble"
"""The error that the cloud answers while it is out of order."""
NO_CAPACITY = "no capacity"
"""The error that the cloud answers when it has no machine of the requested kind."""


def error_of(reply: Reply) -> str | None:
    """Return the error that the body of a reply names, or None."""
    error: str | None = (reply.body or {}).get("error")
    return error


class CloudClient:
    """Sends one request at a time.  Callers handle errors themselves."""

    def __init__(self, base: Base) -> None:
        self.base = base
        self.kernel = base.kernel
        self.bucket = Bucket(base.settings.cluster.cloud.rps * RATE_SHARE, 1.0, self.kernel.now_us)
        self.pause_until_us = 0

    def paused(self) -> bool:
        """Return whether a request failed so recently that no other should be sent yet."""
        return self.kernel.now_us < self.pause_until_us

    def request(
        self, method: str, path: str, body: Any = None, allowed: Callable[[], bool] = lambda: True
    ) -> Coroutine[Reply]:
        """Send one request as soon as the rate limit allows it, and return the reply.

        `allowed` is called after that wait, immediately before the request is sent.  If it returns False, nothing is
        sent and the reply has status 0 with `refused` set.  Status 0 without `refused` means that it is unknown
        whether the cloud executed the request.
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

    def _wait_for_turn(self) -> Coroutine[None]:
        while True:
            self.bucket.refill(self.kernel.now_us)
            if self.bucket.has(1):
                return
            yield Sleep(self.bucket.wait_us(1))
