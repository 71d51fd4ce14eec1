"""A fake of the state service."""

from __future__ import annotations

import bisect
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec

Answer = tuple[int, Any]
MAX_TXN_BYTES = 64 * 1024
"""The largest transaction that is accepted, as JSON, with its guards and keys."""


class State:
    """A state service in memory: keys with revisions, transactions, leases, and a log of writes to follow."""

    def __init__(self, value_kb: float = 32.0, txn_ops: int = 16) -> None:
        self.value_kb = value_kb
        self.txn_ops = txn_ops
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        """The value, the revision and the lease of each key."""
        self.log: list[tuple[int, str, Any]] = []
        """The revision, the key and the value of each write; the value is in a tuple, or None for a removal."""
        self.revision = 1
        self.leases: dict[int, tuple[int, int]] = {}
        """The length and the expiry of each lease (us)."""
        self.next_lease = 1
        self.down = False
        self.refused: list[str] = []
        """A description of each transaction that was refused as too large."""
        self.write_rps: float | None = None
        """The write rate limit (puts and deletes a second; bursts of up to one second's worth); None: no limit."""
        self._level, self._level_us = 0.0, -1
        self.asked = self.over_rate = 0
        """Writes that were requested, and those of them that the rate limit refused."""

    def handle(self, now_us: int, method: str, path: str, body: Any) -> Answer:
        """Handle a request; return the status and the body of the answer."""
        if self.down:
            return 503, {"error": "trouble"}
        self.expire(now_us)
        url = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if url.path == "/store":
            return self._page(query)
        if url.path.startswith("/store/"):
            found = self.keys.get(unquote(url.path[len("/store/") :]))
            if found is None:
                return 404, {"ledger": self.revision}
            return 200, {"k": url.path[len("/store/") :], "value": found[0], "stamp": found[1]}
        if url.path == "/follow":
            return self._follow(query)
        if url.path == "/txn":
            return (429, {"error": "too many changes"}) if self._over_rate(now_us, body) else self._txn(body)
        parts = url.path.strip("/").split("/")
        if parts[0] == "leases" and method in ("POST", "DELETE"):
            return self._lease(now_us, method, parts, body)
        return 400, {"error": "malformed"}

    def _over_rate(self, now_us: int, body: Any) -> bool:
        if self.write_rps is None:
            return False
        if self._level_us < 0:
            self._level, self._level_us = self.write_rps, now_us
        self._level = min(self.write_rps, self._level + self.write_rps * (now_us - self._level_us) / 1_000_000)
        self._level_us = now_us
        changes = len(body.get("apply", ()))
        self.asked += changes
        if changes > self._level:
            self.over_rate += changes
            return True
        self._level -= changes
        return False

    def expire(self, now_us: int) -> None:
        """Remove the expired leases and the keys that are bound to them."""
        for lease in [n for n, (_, until_us) in self.leases.items() if until_us <= now_us]:
            del self.leases[lease]
            gone = [k for k, (_, _, held) in self.keys.items() if held == lease]
            if gone:
                self.revision += 1
            for key in gone:
                del self.keys[key]
                self.log.append((self.revision, key, None))

    def refresh_leases(self, now_us: int) -> None:
        """Renew every lease, as at the end of an outage."""
        self.leases = {n: (life, now_us + life) for n, (life, _) in self.leases.items()}

    def _page(self, query: dict[str, str]) -> Answer:
        prefix, after = query.get("under", ""), query.get("after", "")
        found = sorted(k for k in self.keys if k.startswith(prefix) and k > after)
        page = found[: int(query.get("page", "1000"))]
        items = [{"k": k, "value": self.keys[k][0], "stamp": self.keys[k][1]} for k in page]
        return 200, {"items": items, "truncated": len(page) < len(found), "ledger": self.revision}

    def _follow(self, query: dict[str, str]) -> Answer:
        after = int(query["after"])
        log = []
        first = bisect.bisect_right(self.log, after, key=lambda change: change[0])
        for revision, key, value in self.log[first:]:
            if key.startswith(query["under"]):
                change = {"remove": key} if value is None else {"put": key, "value": value[0]}
                log.append({**change, "stamp": revision})
        return 200, {"ledger": self.revision, "log": log}

    def _txn(self, body: Any) -> Answer:
        apply = body.get("apply", [])
        sizes = [len(msgspec.json.encode(change["value"])) for change in apply if "put" in change]
        too_large = len(apply) > self.txn_ops or len(body.get("guards", [])) > 4 * self.txn_ops
        total = len(msgspec.json.encode(body))
        if too_large or any(size > self.value_kb * 1024 for size in sizes) or total > MAX_TXN_BYTES:
            self.refused.append(f"{len(apply)} changes, values of {max(sizes, default=0)} bytes, {total} in all")
            return 400, {"error": "too large"}
        failed = [g["k"] for g in body.get("guards", []) if self.keys.get(g["k"], (None, 0))[1] != g["stamp"]]
        if any(c.get("permit") is not None and c["permit"] not in self.leases for c in apply):
            return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        if apply:
            self.revision += 1
        for change in apply:
            if "put" in change:
                self.keys[change["put"]] = (change["value"], self.revision, change.get("permit"))
                self.log.append((self.revision, change["put"], (change["value"],)))
            elif self.keys.pop(change["remove"], None) is not None:
                self.log.append((self.revision, change["remove"], None))
        return 200, {"ledger": self.revision}

    def _lease(self, now_us: int, method: str, parts: list[str], body: Any) -> Answer:
        if len(parts) == 1:
            lease = self.next_lease
            self.next_lease += 1
            self.leases[lease] = (body["life_ms"] * 1000, now_us + body["life_ms"] * 1000)
            return 200, {"permit": lease}
        lease = int(parts[1])
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self.leases[lease] = (0, now_us)
            self.expire(now_us)
            return 200, {}
        life = self.leases[lease][0]
        self.leases[lease] = (life, now_us + life)
        return 200, {"permit": lease}
