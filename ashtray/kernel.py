"""The frame in which the slices run: fibers, calls and time, with no I/O and no clock of its own.

A fiber is a generator.  It yields what it waits for (a `Call`, a `Sleep` or a `Signal`) and is resumed
with the outcome.  The kernel turns inputs (a request, a reply, the passing of time) into outputs (`Send`,
`Answer`, `Log`), which the daemon, or a test, carries out.
"""

from __future__ import annotations

import heapq
import itertools
import random
import traceback
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from typing import Any, TypeVar

T = TypeVar("T")
Fiber = Generator[Any, Any, T]
"""A fiber that ends with a value of type T."""

SECOND_US = 1_000_000
HALT_US = 2 * SECOND_US
"""A timer that fires so much later than it was asked for shows that the process stood still."""


@dataclass(slots=True)
class Reply:
    """The answer to a `Call`; `status` 0 means that none came, so its effect is unknown.

    `refused` says that no connection was made: the request surely had no effect.
    """

    status: int
    body: Any = None
    refused: bool = False


@dataclass(slots=True)
class Call:
    """An HTTP request to another process."""

    address: str
    method: str
    path: str
    body: Any = None
    timeout_us: int = 2 * SECOND_US


@dataclass(slots=True)
class Sleep:
    """Wait for so many microseconds."""

    us: int


class Signal:
    """What fibers wait for until somebody fires it.  Each waiter is resumed once, with the fired value."""

    __slots__ = ("waiters",)

    def __init__(self) -> None:
        self.waiters: dict[int, int] = {}
        """For each fiber the number of its wait: one that has given up by now is left alone."""


@dataclass(slots=True)
class Wait:
    """Wait for a signal, for `us` at most; resumed with None when the time ran out."""

    signal: Signal
    us: int


@dataclass(slots=True)
class Send:
    """Output: carry out a call and report its reply under `call_id`."""

    call_id: int
    call: Call


@dataclass(slots=True)
class Answer:
    """Output: answer a request that came in."""

    request_id: int
    status: int
    body: Any = None
    retry_after_s: int | None = None


@dataclass(slots=True)
class Log:
    """Output: one readable line."""

    level: str
    line: str


Output = Send | Answer | Log


@dataclass(slots=True)
class Kernel:
    """Time, randomness and running fibers.  `wall_us` is the time of day, good to the platform's bound."""

    rng: random.Random
    verbose: bool = False
    strict: bool = False
    """Let faults of this program end it, as tests want."""
    now_us: int = 0
    wall_us: int = 0
    awake_us: int = 0
    """Since when this process has run without standing still: what it did not hear before proves nothing."""
    behind_us: int = 0
    """For how long inputs wait before they are taken: what can wait comes that much seldomer."""
    out: list[Output] = field(default_factory=list)
    _ids: itertools.count[int] = field(default_factory=lambda: itertools.count(1))
    _fibers: dict[int, Fiber[Any]] = field(default_factory=dict)
    _calls: dict[int, int] = field(default_factory=dict)
    _timers: list[tuple[int, int, int]] = field(default_factory=list)
    _waits: dict[int, int] = field(default_factory=dict)
    _ready: list[tuple[int, Any]] = field(default_factory=list)

    def spawn(self, fiber: Fiber[Any]) -> None:
        """Start a fiber; it runs when the current one next waits."""
        fid = next(self._ids)
        self._fibers[fid] = fiber
        self._ready.append((fid, None))

    def forever(self, make: Callable[[], Fiber[Any]], every_us: int) -> None:
        """Run a fiber again and again with a pause between."""

        def loop() -> Fiber[None]:
            while True:
                try:
                    yield from make()
                except Exception:
                    # A slice that stumbles over something unforeseen must not stop the others, or itself for good.
                    self.unforeseen()
                    yield Sleep(SECOND_US)
                yield Sleep(every_us)

        self.spawn(loop())

    def fire(self, signal: Signal, value: Any = True) -> None:
        """Resume all fibers that wait for a signal, each with `value`, when the current one next waits."""
        waiters, signal.waiters = signal.waiters, {}
        for fid, wait in waiters.items():
            if self._waits.get(fid) == wait:
                del self._waits[fid]
                self._ready.append((fid, value))

    def log(self, level: str, line: str) -> None:
        """Put out a log line of level error, info or debug; the last only if the kernel is verbose."""
        if level != "debug" or self.verbose:
            self.out.append(Log(level, line))

    def unforeseen(self) -> None:
        """Report the exception being handled, which is a fault in this program."""
        if self.strict:
            raise  # noqa: PLE0704
        self.log("error", "unforeseen: " + traceback.format_exc().strip().replace("\n", " | "))

    def answer(self, request_id: int, status: int, body: Any = None, retry_after_s: int | None = None) -> None:
        """Put out the answer to a request; `retry_after_s` asks its sender to try again."""
        self.out.append(Answer(request_id, status, body, retry_after_s))

    def reply(self, call_id: int, reply: Reply) -> None:
        """Resume the fiber that waits for the reply to a call."""
        fid = self._calls.pop(call_id, None)
        if fid is not None:
            self._ready.append((fid, reply))

    def advance(self, now_us: int, wall_us: int) -> None:
        """Move time on, and make ready what was waiting for it."""
        due_us = self.next_wake_us()
        self.now_us = max(self.now_us, now_us)
        if due_us is None or self.now_us - due_us > HALT_US:
            if due_us is not None:
                self.log("info", f"stood still for {(self.now_us - due_us) / SECOND_US:.1f} s")
            self.awake_us = self.now_us
        self.wall_us = wall_us
        while self._timers and self._timers[0][0] <= self.now_us:
            _, tid, fid = heapq.heappop(self._timers)
            if self._waits.get(fid) == tid:
                del self._waits[fid]
                self._ready.append((fid, None))

    def next_wake_us(self) -> int | None:
        """When the next timer is due, by the monotonic time; None if there is none."""
        while self._timers and self._waits.get(self._timers[0][2]) != self._timers[0][1]:
            heapq.heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def run(self) -> list[Output]:
        """Run all that is ready and hand over the outputs."""
        while self._ready:
            batch, self._ready = self._ready, []
            for fid, value in batch:
                self._resume(fid, value)
        out, self.out = self.out, []
        return out

    def _resume(self, fid: int, value: Any) -> None:
        fiber = self._fibers.get(fid)
        if fiber is None:
            return
        try:
            wish = fiber.send(value)
        except StopIteration:
            del self._fibers[fid]
            return
        except Exception:
            del self._fibers[fid]
            self.unforeseen()
            return
        if isinstance(wish, Call):
            call_id = next(self._ids)
            self._calls[call_id] = fid
            self.out.append(Send(call_id, wish))
        elif isinstance(wish, Sleep):
            self._timer(fid, wish.us)
        elif isinstance(wish, Wait):
            self._timer(fid, wish.us)
            wish.signal.waiters[fid] = self._waits[fid]
        elif isinstance(wish, Signal):
            self._waits[fid] = next(self._ids)
            wish.waiters[fid] = self._waits[fid]
        else:
            raise TypeError(f"a fiber waits for {wish!r}")

    def _timer(self, fid: int, us: int) -> None:
        tid = next(self._ids)
        self._waits[fid] = tid
        heapq.heappush(self._timers, (self.now_us + max(us, 0), tid, fid))
