"""A fake of the cloud."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

Answer = tuple[int, Any]


@dataclass
class Rented:
    """A rented machine, kept after its end too."""

    name: str
    type: str
    zone: str
    spot: bool
    since_us: int
    boot_us: int
    status: str = "starting"
    ended_us: int | None = None


@dataclass
class Cloud:
    """A cloud in memory: rents up to `capacity` machines, and lists them as they were `lag_us` ago.

    `boot` returns a new machine's boot time (us); `on_delete` is told of each machine that ends; `address` gives the
    address of a machine's worker.  With `down` every request is answered with 503.
    """

    types: list[dict[str, Any]]
    capacity: int = 12
    lag_us: int = 3_000_000
    boot: Callable[[Rented], int] = lambda machine: 5_000_000
    on_delete: Callable[[str], None] = lambda name: None
    address: Callable[[str], str] = lambda name: name
    down: bool = False
    machines: dict[str, Rented] = field(default_factory=dict)
    requests: dict[str, list[str]] = field(default_factory=dict)
    deleted: set[str] = field(default_factory=set)

    def alive(self) -> list[Rented]:
        """The machines that have not ended."""
        return [m for m in self.machines.values() if m.ended_us is None]

    def handle(self, now_us: int, method: str, path: str, body: Any) -> Answer:
        """Handle a request; return the status and the body of the answer."""
        if self.down:
            return 503, {"error": "trouble"}
        url = urlsplit(path)
        if url.path == "/machine_types":
            return 200, {"hulls": self.types}
        if url.path == "/rentals/delete":
            for name in body["berths"]:
                machine = self.machines.get(name)
                if machine is not None:
                    self.end(now_us, name, "deleted")
                    self.deleted.add(name)
            return 200, {}
        if url.path == "/rentals" and method == "POST":
            return self._rent(now_us, body)
        if url.path == "/rentals":
            return self._list(now_us, {k: v[0] for k, v in parse_qs(url.query).items()})
        return 400, {"error": "malformed"}

    def end(self, now_us: int, name: str, status: str) -> None:
        """End a machine; lists show it with this status from then on."""
        machine = self.machines[name]
        if machine.ended_us is None:
            machine.ended_us = now_us
            self.on_delete(name)
        machine.status = status

    def _rent(self, now_us: int, body: Any) -> Answer:
        request = body["hire"]
        if request in self.requests:
            return 200, {"berths": self.requests[request]}
        number = min(body["number"], self.capacity - len(self.alive()))
        if number <= 0:
            return 503, {"error": "no capacity"}
        names = []
        for _ in range(number):
            name = f"vm-{len(self.machines):06d}"
            machine = Rented(name, body["hull"], body["yard"], body["loaners"], now_us, 0)
            machine.boot_us = self.boot(machine)
            self.machines[name] = machine
            names.append(name)
        self.requests[request] = names
        return 200, {"berths": names}

    def _list(self, now_us: int, query: dict[str, str]) -> Answer:
        then_us = now_us - self.lag_us
        berths = []
        for name in sorted(self.machines):
            machine = self.machines[name]
            gone = machine.ended_us is not None and machine.ended_us <= then_us and machine.status != "failed"
            if name <= query.get("after", "") or machine.since_us > then_us or gone:
                continue
            up = machine.since_us + machine.boot_us <= then_us
            status = machine.status if machine.status == "failed" else "running" if up else "starting"
            berths.append(
                {
                    "name_id": name,
                    "endpoint": self.address(name),
                    "hull": machine.type,
                    "yard": machine.zone,
                    "loaners": machine.spot,
                    "status": status,
                    "age_s": (then_us - machine.since_us) / 1e6,
                }
            )
        return 200, {"berths": berths, "truncated": False}
