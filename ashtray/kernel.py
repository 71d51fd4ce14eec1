"""The scheduler of a controller's coroutines.  It performs no I/O and reads no clock.

A coroutine (`Coroutine`) is a generator.  It yields what it waits for (a `Call`, a `Sleep`, a `Signal` or a `Wait`)
and is resumed with the result.  The kernel turns inputs (a request, a reply, the current time) into outputs (`Send`,
`Answer`, `Log`), which the daemon or a test carries out.
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
Coroutine = Generator[Any, Any, T]
"""A coroutine that returns a value of type T."""

SECOND_US = 1_000_000
STALL_US = 2 * SECOND_US
"""If a timer fires more than this after it was due, the process counts as having been stalled."""


@dataclass(slots=True)
class Reply:
    """The reply to a `Call`.

    `status` is the HTTP status; 0 means that no reply came, so the effect of the request is unknown.  If `refused` is
    set, no connection was made, so the request certainly had no effect.
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
    """Asks the kernel to resume the coroutine after `us` microseconds."""

    us: int


class Signal:
    """An event that coroutines wait for.  `Kernel.fire` resumes each waiter once, with the fired value."""

    __slots__ = ("waiters",)

    def __init__(self) -> None:
        self.waiters: dict[int, int] = {}
        """Maps a coroutine's id to the number of its wait.  A coroutine whose wait has timed out is not resumed."""


@dataclass(slots=True)
class Wait:
    """Waits for a signal for at most `us` microseconds; on timeout the coroutine is resumed with None."""

    signal: Signal
    us: int


@dataclass(slots=True)
class Send:
    """An output: send a request and pass its reply to `Kernel.reply` with `call_id`."""

    call_id: int
    call: Call


@dataclass(slots=True)
class Answer:
    """An output: the response to a received request."""

    request_id: int
    status: int
    body: Any = None
    retry_after_s: int | None = None


@dataclass(slots=True)
class Log:
    """An output: one log line."""

    level: str
    line: str


Output = Send | Answer | Log


@dataclass(slots=True)
class Kernel:
    """Holds the time, the random generator and the running coroutines.

    `now_us` is the monotonic time.  `wall_us` is the time of day, as accurate as the platform guarantees.
    """

    rng: random.Random
    verbose: bool = False
    strict: bool = False
    """Raise unexpected exceptions instead of logging them.  Tests set this."""
    now_us: int = 0
    wall_us: int = 0
    not_stalled_since_us: int = 0
    """The monotonic time since which this process has not been stalled.  A message that did not arrive before this
    time proves nothing about its sender."""
    input_delay_us: int = 0
    """How long inputs wait before they are processed.  Work that is not urgent is done less often by as much."""
    out: list[Output] = field(default_factory=list)
    _ids: itertools.count[int] = field(default_factory=lambda: itertools.count(1))
    _coroutines: dict[int, Coroutine[Any]] = field(default_factory=dict)
    _calls: dict[int, int] = field(default_factory=dict)
    _timers: list[tuple[int, int, int]] = field(default_factory=list)
    _waits: dict[int, int] = field(default_factory=dict)
    _ready: list[tuple[int, Any]] = field(default_factory=list)

    def spawn(self, coroutine: Coroutine[Any]) -> None:
        """Start a coroutine; it first runs when the current one next waits."""
        coroutine_id = next(self._ids)
        self._coroutines[coroutine_id] = coroutine
        self._ready.append((coroutine_id, None))

    def spawn_repeating(self, create: Callable[[], Coroutine[Any]], every_us: int) -> None:
        """Start a coroutine that runs `create()` repeatedly, with a pause of `every_us` after each run."""

        def loop() -> Coroutine[None]:
            while True:
                try:
                    yield from create()
                except Exception:
                    # An unexpected exception in one component must not stop the other components, and must not stop
                    # this component permanently.
                    self.log_unexpected_exception()
                    yield Sleep(SECOND_US)
                yield Sleep(every_us)

        self.spawn(loop())

    def fire(self, signal: Signal, value: Any = True) -> None:
        """Resume all coroutines that wait for a signal, each with `value`, when the current one next waits."""
        waiters, signal.waiters = signal.waiters, {}
        for coroutine_id, wait in waiters.items():
            if self._waits.get(coroutine_id) == wait:
                del self._waits[coroutine_id]
                self._ready.append((coroutine_id, value))

    def log(self, level: str, line: str) -> None:
        """Emit a log line of level error, info or debug.  Debug lines are dropped unless the kernel is verbose."""
        if level != "debug" or self.verbose:
            self.out.append(Log(level, line))

    def log_unexpected_exception(self) -> None:
        """Log the exception being handled, which is a fault in this program; raise it again if `strict` is set."""
        if self.strict:
            raise  # noqa: PLE0704
        self.log("error", "unforeseen: " + traceback.format_exc().strip().replace("\n", " | "))

    def answer(self, request_id: int, status: int, body: Any = None, retry_after_s: int | None = None) -> None:
        """Emit the response to a request; `retry_after_s` asks the sender to retry after so many seconds."""
        self.out.append(Answer(request_id, status, body, retry_after_s))

    def reply(self, call_id: int, reply: Reply) -> None:
        """Resume the coroutine that waits for the reply to a call, if there is one."""
        coroutine_id = self._calls.pop(call_id, None)
        if coroutine_id is not None:
            self._ready.append((coroutine_id, reply))

    def advance(self, now_us: int, wall_us: int) -> None:
        """Set the current times and make the coroutines ready whose timers are due."""
        due_us = self.next_wake_us()
        self.now_us = max(self.now_us, now_us)
        if due_us is None or self.now_us - due_us > STALL_US:
            if due_us is not None:
                self.log("info", f"stood still for {(self.now_us - due_us) / SECOND_US:.1f} s")
            self.not_stalled_since_us = self.now_us
        self.wall_us = wall_us
        while self._timers and self._timers[0][0] <= self.now_us:
            _, timer_id, coroutine_id = heapq.heappop(self._timers)
            if self._waits.get(coroutine_id) == timer_id:
                del self._waits[coroutine_id]
                self._ready.append((coroutine_id, None))

    def next_wake_us(self) -> int | None:
        """Return the monotonic time at which the next timer is due; None if no timer is set."""
        while self._timers and self._waits.get(self._timers[0][2]) != self._timers[0][1]:
            heapq.heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def run(self) -> list[Output]:
        """Run all ready coroutines until each waits again, and return the outputs."""
        while self._ready:
            batch, self._ready = self._ready, []
            for coroutine_id, value in batch:
                self._resume(coroutine_id, value)
        out, self.out = self.out, []
        return out

    def _resume(self, coroutine_id: int, value: Any) -> None:
        coroutine = self._coroutines.get(coroutine_id)
        if coroutine is None:
            return
        try:
            awaited = coroutine.send(value)
        except StopIteration:
            del self._coroutines[coroutine_id]
            return
        except Exception:
            del self._coroutines[coroutine_id]
            self.log_unexpected_exception()
            return
        if isinstance(awaited, Call):
            call_id = next(self._ids)
            self._calls[call_id] = coroutine_id
            self.out.append(Send(call_id, awaited))
        elif isinstance(awaited, Sleep):
            self._start_timer(coroutine_id, awaited.us)
        elif isinstance(awaited, Wait):
            self._start_timer(coroutine_id, awaited.us)
            awaited.signal.waiters[coroutine_id] = self._waits[coroutine_id]
        elif isinstance(awaited, Signal):
            self._waits[coroutine_id] = next(self._ids)
            awaited.waiters[coroutine_id] = self._waits[coroutine_id]
        else:
            raise TypeError(f"a coroutine yielded {awaited!r}, which cannot be waited for")

    def _start_timer(self, coroutine_id: int, us: int) -> None:
        timer_id = next(self._ids)
        self._waits[coroutine_id] = timer_id
        heapq.heappush(self._timers, (self.now_us + max(us, 0), timer_id, coroutine_id))
