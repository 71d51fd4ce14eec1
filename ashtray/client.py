"""The HTTP client of the command line."""

from __future__ import annotations

import http.client
import time
from typing import Any

import msgspec


class Unreachable(Exception):
    """No final answer came within the timeout; the message names the last failure."""


class Client:
    """Sends requests to one controller, or to a load balancer in front of several."""

    def __init__(self, server: str, timeout_s: float) -> None:
        host, colon, port = server.rpartition(":")
        if not (colon and host and port.isdigit()):
            raise ValueError(f"expected HOST:PORT, got {server!r}")
        self.host, self.port = host, int(port)
        self.timeout_s = timeout_s

    def ask(self, method: str, path: str, body: Any = None, token: str | None = None) -> tuple[int, Any]:
        """Send a request and return the status and the decoded body of the answer.

        Retries after connection errors and after statuses 429, 503 and 504, as the protocol asks; raises
        `Unreachable` once the next attempt would begin after the timeout.
        """
        deadline = time.monotonic() + self.timeout_s
        data = None if body is None else msgspec.msgpack.encode(body)
        headers = {"Content-Type": "application/msgpack"}
        if token is not None:
            headers["Authorization"] = f"Bearer {token}"
        while True:
            pause, reason = 1.0, ""
            connection = http.client.HTTPConnection(self.host, self.port, timeout=5)
            try:
                connection.request(method, path, data, headers)
                response = connection.getresponse()
                raw = response.read()
                if response.status not in (429, 503, 504):
                    return response.status, msgspec.msgpack.decode(raw) if raw else None
                reason = f"{self.host}:{self.port} answered with status {response.status}"
                retry_after = response.getheader("Retry-After", "1")
                pause = min(float(retry_after), 30.0) if retry_after.isdigit() else 1.0
            except (OSError, http.client.HTTPException, msgspec.DecodeError) as error:
                reason = f"{self.host}:{self.port}: {error}"
            finally:
                connection.close()
            if time.monotonic() + pause > deadline:
                raise Unreachable(reason)
            time.sleep(pause)
