"""What waits for a core that is behind, in the order in which it is worth taking.

A process that gets less of the processor than its work needs falls behind, and what it takes late is worth nothing:
a report that is answered after its worker has given it up renews no lease, and a question that nobody waits for any
more is work in vain.  So what waits is taken by rank, and what was given up is not looked at any more.  A core
that keeps up has nothing waiting, and takes each input as it comes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from ashtray.kernel import SECOND_US, Call, Output
from ashtray.peers import announcements

FOR_EVER_US = 1 << 62
REPORT_PATIENCE_US = 4 * SECOND_US
"""A worker waits no longer for an answer (protocol, "Workers -> controller nodes")."""
POLL_PATIENCE_US, CHANGE_PATIENCE_US, PROBE_PATIENCE_US = 1_500_000, 4 * SECOND_US, SECOND_US
"""A user's question; a submission or a cancellation, each a little less than its sender waits, so that a refusal is
heard; a health check."""
MOST_WAITING = 500
"""Questions and submissions that wait; whoever comes beyond that is refused at once."""
USERS_TURN = 4
"""Of so many inputs that wait one is a user's, if there is one: behind for long, a controller answers some still."""


class Rank(IntEnum):
    """What is taken first."""

    LEASES = 0
    """Reports, for an answer renews a lease; and what the state service says of this controller's own lease and of
    what has changed, for whoever has not read that lately may renew none (point 5).  They are few, so nothing waits
    long for them."""
    DUTIES = 1
    """Cancellations, health checks, peers' words, answers to this controller's other calls, and timers."""
    USERS = 2
    """Questions and submissions: they are repeated, here or elsewhere."""


def rank_of(path: str) -> tuple[Rank, int]:
    """The rank of a request and how long its sender waits for the answer, in microseconds."""
    if path == "/hello":
        return Rank.LEASES, REPORT_PATIENCE_US
    if path == "/up":
        return Rank.DUTIES, PROBE_PATIENCE_US
    if path.endswith("/abort"):
        return Rank.DUTIES, CHANGE_PATIENCE_US
    if path in ("/peer/word", announcements.PATH):
        return Rank.DUTIES, FOR_EVER_US
    return Rank.USERS, CHANGE_PATIENCE_US if path in ("/submissions", "/peer/request") else POLL_PATIENCE_US


def rank_of_reply(call: Call) -> Rank:
    """The rank of the answer to a call."""
    return Rank.LEASES if call.path.startswith(("/follow", "/leases")) else Rank.DUTIES


@dataclass(slots=True)
class Entry:
    """An input that waits."""

    take: Callable[[], list[Output]]
    """Hands the input to the core."""
    refuse: Callable[[], list[Output]] | None
    """What happens instead to one that came too late; None: it is taken however late it is."""
    until_us: int
    came_us: int


class Inbox:
    """The inputs that wait for the core, by rank and then in the order in which they came."""

    def __init__(self) -> None:
        self._waiting: dict[Rank, deque[Entry]] = {rank: deque() for rank in Rank}
        self._turn = 0
        self._wakes = False
        self.refused = 0
        """How many were refused since somebody last set this to 0."""

    def __bool__(self) -> bool:
        return any(self._waiting.values())

    def behind_us(self, now_us: int) -> int:
        """For how long the oldest input has waited."""
        return max((now_us - queue[0].came_us for queue in self._waiting.values() if queue), default=0)

    def put(
        self,
        now_us: int,
        rank: Rank,
        take: Callable[[], list[Output]],
        refuse: Callable[[], list[Output]] | None = None,
        patience_us: int = FOR_EVER_US,
    ) -> list[Output]:
        """Let an input wait; the outputs are those of one that is refused at once."""
        queue = self._waiting[rank]
        if rank == Rank.USERS and refuse is not None and len(queue) >= MOST_WAITING:
            self.refused += 1
            return refuse()
        queue.append(Entry(take, refuse, now_us + patience_us, now_us))
        return []

    def wake(self, now_us: int, take: Callable[[], list[Output]]) -> None:
        """Let a timer wait: one turn serves all that are due by then, so a second one waits for nothing."""
        if not self._wakes:
            self._wakes = True
            self.put(now_us, Rank.DUTIES, lambda: self._woken(take))

    def _woken(self, take: Callable[[], list[Output]]) -> list[Output]:
        self._wakes = False
        return take()

    def take(self, now_us: int) -> list[Output]:
        """Refuse what has been given up by now, and hand the first of the rest to the core."""
        outputs: list[Output] = []
        for queue in self._waiting.values():
            while queue and (refuse := queue[0].refuse) is not None and now_us > queue[0].until_us:
                queue.popleft()
                self.refused += 1
                outputs += refuse()
        rank = self._next()
        return outputs if rank is None else outputs + self._waiting[rank].popleft().take()

    def _next(self) -> Rank | None:
        waiting = [rank for rank, queue in self._waiting.items() if queue]
        if not waiting or waiting[0] == Rank.LEASES:
            return waiting[0] if waiting else None
        self._turn = (self._turn + 1) % USERS_TURN
        return waiting[0] if self._turn else waiting[-1]
