"""A fake of a worker: one machine with its tasks, its lease and its ownership token."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

Answer = tuple[int, Any]
Key = tuple[str, int, int]
"""Job, attempt, task."""


@dataclass
class Task:
    """A task on a worker."""

    key: Key
    state: str = "fetching"
    cause: str | None = None
    launched_us: int = 0
    """When its start order was executed (us)."""
    ready_us: int = 0
    """When its image has been fetched (us)."""
    end_us: int = 0
    """When (us) it completes, if nothing stops it; in the state `saving`, when its checkpoint is written; in the
    state `waiting`, when it gives up waiting for the other tasks of its gang."""

    @property
    def on_machine(self) -> bool:
        """Whether it has started on the machine and has not ended."""
        return self.state in ("waiting", "running", "saving")


@dataclass
class World:
    """Callbacks of a worker: queries about jobs, and notices of starts and ends of tasks."""

    describe: Callable[[str], dict[str, Any] | None]
    run_us: Callable[[Key], int]
    started: Callable[[str, Key], None] = lambda machine, key: None
    left: Callable[[str, Key], None] = lambda machine, key: None
    gang_ready: Callable[[str, int], bool] = lambda job, attempt: True
    """Whether all tasks of a gang's attempt are waiting or running."""
    gang_ended: Callable[[str, int], str | None] = lambda job, attempt: None
    """Why a gang's running attempt is over: `done` or `mates_gone`; None while it goes on."""
    mistaken: Callable[[str], bool] = lambda job: False
    """Whether a job was submitted with a mistake and therefore fails on every machine."""


@dataclass
class Worker:
    """A worker in memory: reports, executes orders of the newest token, ends its tasks when its lease expires."""

    name: str
    type: str
    zone: str
    spot: bool
    address: str
    lease_us: int
    gang_wait_us: int
    world: World
    fetch_us: int = 1_000_000
    session: int = 1
    tick: int = 0
    token: int = 0
    renewed_us: int = 0
    """From when (us) its lease runs: when the last answered report was sent."""
    notice_us: int | None = None
    """In what time the cloud takes the machine away, once that is announced."""
    fails: bool = False
    """Whether all tasks fail on it."""
    tasks: dict[Key, Task] = field(default_factory=dict)
    done: set[tuple[str, int]] = field(default_factory=set)
    """The tasks that have completed on the machine, as job and number: when started again they are done at once."""
    cached: set[str] = field(default_factory=set)

    def report(self) -> dict[str, Any]:
        """The body of the next report; increases the tick."""
        self.tick += 1
        pieces = []
        for (job, attempt, number), task in self.tasks.items():
            piece: dict[str, Any] = {"piece": f"{job}/{number}", "try": attempt, "status": task.state}
            if task.cause is not None:
                piece["cause"] = task.cause
            pieces.append(piece)
        return {
            "berth": self.name,
            "endpoint": self.address,
            "hull": self.type,
            "yard": self.zone,
            "loaners": self.spot,
            "shift": self.session,
            "tick": self.tick,
            "baton": self.token,
            "warning_s": None if self.notice_us is None else self.notice_us / 1e6,
            "pieces": pieces,
        }

    def advance(self, now_us: int) -> bool:
        """Advance to a time; return whether anything changed."""
        changed = False
        if now_us - self.renewed_us > self.lease_us:
            for task in self.tasks.values():
                if task.on_machine:
                    self.world.left(self.name, task.key)
            self.tasks.clear()
            self.session += 1
            self.renewed_us = now_us
            changed = True
        for task in list(self.tasks.values()):
            changed |= self._step(task, now_us)
        return changed

    def _step(self, task: Task, now_us: int) -> bool:
        job, attempt, number = task.key
        spec = self.world.describe(job)
        gang = spec is not None and spec["shape"] == "gang"
        if task.state == "fetching" and now_us >= task.ready_us:
            self.cached.add(spec["bundle"] if spec else "")
            task.state = "waiting" if gang else "running"
            self.world.started(self.name, task.key)
            task.end_us = now_us + (self.gang_wait_us if gang else self.world.run_us(task.key))
            if (job, number) in self.done:
                self._end(task, "done")
            return True
        if task.state == "waiting":
            if self.world.gang_ready(job, attempt):
                task.state = "running"
                task.end_us = now_us + self.world.run_us(task.key)
                return True
            if now_us >= task.end_us:
                self._end(task, "alone")
                return True
        if task.state == "running":
            if self.fails or self.world.mistaken(job):
                self._end(task, "error")
                return True
            over = self.world.gang_ended(job, attempt) if gang else None
            if over is not None:
                self._end(task, over)
                return True
            service = spec is not None and spec["shape"] == "service"
            if not service and now_us >= task.end_us:
                self._end(task, "done")
                return True
        if task.state == "saving" and now_us >= task.end_us:
            self._end(task, "stopped")
            return True
        return False

    def _end(self, task: Task, cause: str) -> None:
        if task.on_machine:
            self.world.left(self.name, task.key)
        task.state, task.cause = "ended", cause
        if cause == "done":
            self.done.add((task.key[0], task.key[2]))

    def take_answer(self, now_us: int, sent: tuple[int, int], sent_us: int, body: Any) -> bool:
        """Take an answer 200 to a report that was sent at `sent_us` with the session and tick `sent`.

        Returns whether its token was new.  Ignores the answer if the session or the token is outdated.
        """
        if sent[0] != self.session or body.get("baton", -1) < self.token:
            return False
        new = body["baton"] > self.token
        self.token = body["baton"]
        self.renewed_us = max(self.renewed_us, sent_us)
        self.execute(now_us, body.get("orders", []))
        return new

    def orders(self, now_us: int, body: Any) -> Answer:
        """Handle a direct command; return the status and the body of the answer."""
        self.advance(now_us)
        if "baton" not in body or "shift" not in body:
            return 400, {"error": "baton or shift is missing"}
        if body["baton"] < self.token or body["shift"] != self.session:
            return 409, self.report()
        self.token = body["baton"]
        self.execute(now_us, body["orders"])
        return 200, self.report()

    def execute(self, now_us: int, orders: list[dict[str, Any]]) -> None:
        """Launch, kill and clear tasks as ordered."""
        for order in orders:
            job, _, number = order["piece"].partition("/")
            key = (job, order["try"], int(number))
            task = self.tasks.get(key)
            if order["verb"] == "launch" and task is None:
                self._launch(now_us, key)
            elif order["verb"] == "kill" and task is not None and task.state != "ended":
                self._kill(now_us, task, order["wind_down_s"])
            elif order["verb"] == "clear" and task is not None and task.state == "ended":
                del self.tasks[key]

    def _launch(self, now_us: int, key: Key) -> None:
        task = self.tasks[key] = Task(key, launched_us=now_us)
        spec = self.world.describe(key[0])
        if spec is None:
            task.state, task.cause = "ended", "unknown"
        elif any(k != key and (k[0], k[2]) == (key[0], key[2]) and t.state != "ended" for k, t in self.tasks.items()):
            task.state, task.cause = "ended", "in_use"
        else:
            task.ready_us = now_us if spec["bundle"] in self.cached else now_us + self.fetch_us

    def _kill(self, now_us: int, task: Task, grace_s: float) -> None:
        spec = self.world.describe(task.key[0])
        saves = spec is not None and spec["snapshot_every_s"] > 0 and grace_s >= spec["snapshot_cost_s"]
        if task.state == "running" and saves:
            task.state = "saving"
            task.end_us = now_us + int(spec["snapshot_cost_s"] * 1e6)
        elif not (task.state == "saving" and grace_s > 0):
            self._end(task, "stopped")
