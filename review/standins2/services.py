"""Stand-ins of the state service and of the cloud.  They do I/O-free work: a request and the time go in."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import msgspec

Answer = tuple[int, Any]
SECOND = 1_000_000
MAX_TXN_BYTES = 64 * 1024
KEPT_CHANGES = 10_000


class Bucket:
    """A rate limit that allows bursts of `burst_s` seconds' worth."""

    def __init__(self, rate: float, burst_s: float) -> None:
        self.rate, self.most = rate, rate * burst_s
        self.level, self.at_us = self.most, 0

    def take(self, now_us: int, amount: float) -> bool:
        """Take an amount if it is there."""
        if self.at_us:
            self.level = min(self.most, self.level + self.rate * (now_us - self.at_us) / SECOND)
        self.at_us = now_us
        if self.level < amount:
            return False
        self.level -= amount
        return True


def bad_key(key: Any) -> bool:
    """Return whether a key is not a string of 1 to 200 bytes with no spaces."""
    return not isinstance(key, str) or not 1 <= len(key.encode()) <= 200 or any(c.isspace() for c in key)


class StateService:
    """The state service of the page "Controller nodes -> state service"."""

    def __init__(self, rps: float, write_rps: float, value_kb: float, txn_ops: int) -> None:
        self.requests, self.writes = Bucket(rps, 1.0), Bucket(write_rps, 1.0)
        self.value_bytes, self.txn_ops = int(value_kb * 1024), txn_ops
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        """Value, version and lease of each key."""
        self.log: list[tuple[int, str, Any]] = []
        self.first_kept = 0
        """Changes up to this revision are no longer kept."""
        self.revision = 1
        self.leases: dict[int, tuple[int, int]] = {}
        self.next_lease = 1
        self.malformed: list[str] = []
        """A description of each request that was answered with 400."""

    def lower(self, write_rps: float, value_kb: float, txn_ops: int) -> None:
        """Have lower limits from now on; what is stored stays readable."""
        self.writes, self.value_bytes, self.txn_ops = Bucket(write_rps, 1.0), int(value_kb * 1024), txn_ops

    def handle(self, now_us: int, method: str, path: str, body: Any) -> Answer:
        """Answer a request."""
        self.expire(now_us)
        url = urlsplit(path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if not self.requests.take(now_us, 1):
            return 429, {"error": "too many requests"}
        parts = url.path.strip("/").split("/")
        if url.path == "/store" and method == "GET":
            return self._page(query)
        if url.path.startswith("/store/") and method == "GET":
            key = unquote(url.path[len("/store/") :])
            found = self.keys.get(key)
            if found is None:
                return 404, {"ledger": self.revision}
            return 200, {"k": key, "value": found[0], "stamp": found[1], "permit": found[2]}
        if url.path == "/follow" and method == "GET":
            return self._follow(query)
        if url.path == "/txn" and method == "POST" and isinstance(body, dict):
            return self._txn(now_us, body)
        if parts[0] == "leases" and method in ("POST", "DELETE"):
            return self._lease(now_us, method, parts, body)
        return 400, {"error": "malformed"}

    def expire(self, now_us: int) -> None:
        """End the leases that were not renewed, and remove the keys that are attached to them."""
        for lease in [n for n, (_, until_us) in self.leases.items() if until_us <= now_us]:
            del self.leases[lease]
            gone = [k for k, (_, _, held) in self.keys.items() if held == lease]
            if gone:
                self.revision += 1
            for key in gone:
                del self.keys[key]
                self._note(key, None)

    def _note(self, key: str, value: Any) -> None:
        self.log.append((self.revision, key, value))
        if len(self.log) > KEPT_CHANGES:
            self.first_kept = self.log[-KEPT_CHANGES - 1][0]
            del self.log[:-KEPT_CHANGES]

    def _page(self, query: dict[str, str]) -> Answer:
        prefix, after = query.get("under", ""), query.get("after", "")
        found = sorted(k for k in self.keys if k.startswith(prefix) and k > after)
        items: list[Any] = []
        size = 0
        for key in found[: min(int(query.get("page", "1000")), 1000)]:
            item = {"k": key, "value": self.keys[key][0], "stamp": self.keys[key][1]}
            size += len(msgspec.json.encode(item))
            if items and size > 512 * 1024:
                break
            items.append(item)
        return 200, {"items": items, "truncated": len(items) < len(found), "ledger": self.revision}

    def _follow(self, query: dict[str, str]) -> Answer:
        # The controllers ask with `wait_ms=0`, so nothing waits here.
        after = int(query["after"])
        if after < self.first_kept:
            return 410, {"error": "too old"}
        log = []
        for revision, key, value in self.log:
            if revision > after and key.startswith(query.get("under", "")):
                change = {"remove": key} if value is None else {"put": key, "value": value[0]}
                log.append({**change, "stamp": revision})
        return 200, {"ledger": self.revision, "log": log}

    def _bad(self, why: str) -> Answer:
        self.malformed.append(why)
        return 400, {"error": why}

    def _txn(self, now_us: int, body: dict[str, Any]) -> Answer:
        apply, guards = body.get("apply") or [], body.get("guards") or []
        for key in [g["k"] for g in guards] + [c.get("put", c.get("remove")) for c in apply]:
            if bad_key(key):
                return self._bad(f"malformed: the key {key!r} is not a string of 1 to 200 bytes with no spaces")
        if len(apply) > self.txn_ops or len(guards) > 4 * self.txn_ops:
            return self._bad("too many changes or conditions")
        if any(len(msgspec.json.encode(c["value"])) > self.value_bytes for c in apply if "put" in c):
            return self._bad("a value is too large")
        if len(msgspec.json.encode(body)) > MAX_TXN_BYTES:
            return self._bad("the transaction is too large")
        if not self.writes.take(now_us, len(apply)):
            return 429, {"error": "too many changes"}
        if any(c.get("permit") is not None and c["permit"] not in self.leases for c in apply):
            return 400, {"error": "no such lease"}
        failed = [g["k"] for g in guards if self.keys.get(g["k"], (None, 0))[1] != g["stamp"]]
        if failed:
            return 409, {"failed": failed, "ledger": self.revision}
        if apply:
            self.revision += 1
        for change in apply:
            if "put" in change:
                self.keys[change["put"]] = (change["value"], self.revision, change.get("permit"))
                self._note(change["put"], (change["value"],))
            elif self.keys.pop(change["remove"], None) is not None:
                self._note(change["remove"], None)
        return 200, {"ledger": self.revision}

    def _lease(self, now_us: int, method: str, parts: list[str], body: Any) -> Answer:
        if len(parts) == 1:
            lease, life = self.next_lease, int(body["life_ms"]) * 1000
            self.next_lease += 1
            self.leases[lease] = (life, now_us + life)
            return 200, {"permit": lease}
        lease = int(parts[1])
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        life = 0 if method == "DELETE" else self.leases[lease][0]
        self.leases[lease] = (life, now_us + life)
        self.expire(now_us)
        return 200, {"permit": lease}


@dataclass
class Rented:
    """A rented machine."""

    name: str
    hull: str
    yard: str
    loaners: bool
    since_us: int
    gone_us: int | None = None


class Cloud:
    """The cloud of the page "Controller nodes -> cloud": machines are up `boot_us` after their rental."""

    def __init__(self, types: list[dict[str, Any]], capacity: int, rps: float, lag_us: int, boot_us: int) -> None:
        self.types, self.capacity, self.lag_us, self.boot_us = types, capacity, lag_us, boot_us
        self.requests = Bucket(rps, 2.0)
        self.machines: dict[str, Rented] = {}
        self.hires: dict[str, list[str]] = {}
        self.address = lambda name: ""
        self.on_rented = lambda machine: None
        self.on_gone = lambda name: None

    def handle(self, now_us: int, method: str, path: str, body: Any) -> Answer:
        """Answer a request."""
        url = urlsplit(path)
        if not self.requests.take(now_us, 1):
            return 429, {"error": "too many requests"}
        if url.path == "/machine_types" and method == "GET":
            return 200, {"hulls": self.types}
        if url.path == "/rentals/delete" and method == "POST":
            for name in body["berths"]:
                machine = self.machines.get(name)
                if machine is not None and machine.gone_us is None:
                    machine.gone_us = now_us
                    self.on_gone(name)
            return 200, {}
        if url.path == "/rentals" and method == "POST":
            return self._rent(now_us, body)
        if url.path == "/rentals" and method == "GET":
            return self._list(now_us, {k: v[0] for k, v in parse_qs(url.query).items()})
        return 400, {"error": "malformed"}

    def _rent(self, now_us: int, body: Any) -> Answer:
        if body["hire"] in self.hires:
            return 200, {"berths": self.hires[body["hire"]]}
        there = sum(m.gone_us is None for m in self.machines.values())
        number = min(body["number"], 50, self.capacity - there)
        if number <= 0:
            return 503, {"error": "no capacity"}
        names = []
        for _ in range(number):
            name = f"vm-{len(self.machines):06d}"
            self.machines[name] = Rented(name, body["hull"], body["yard"], body["loaners"], now_us)
            names.append(name)
            self.on_rented(self.machines[name])
        self.hires[body["hire"]] = names
        return 200, {"berths": names}

    def _list(self, now_us: int, query: dict[str, str]) -> Answer:
        then_us = now_us - self.lag_us
        found = [
            {
                "name_id": m.name,
                "endpoint": self.address(m.name),
                "hull": m.hull,
                "yard": m.yard,
                "loaners": m.loaners,
                "status": "running" if m.since_us + self.boot_us <= then_us else "starting",
                "age_s": (then_us - m.since_us) / 1e6,
            }
            for name, m in sorted(self.machines.items())
            if name > query.get("after", "") and m.since_us <= then_us and (m.gone_us is None or m.gone_us > then_us)
        ]
        page = int(query.get("page", "500"))
        return 200, {"berths": found[:page], "truncated": len(found) > page}
