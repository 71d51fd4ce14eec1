"""The queue of inputs that an overloaded controller has not processed yet.

A process that gets less CPU time than its work needs falls behind, and processing an input too late is useless: a
report that is answered after its worker has given up waiting renews no lease, and an answer to a user who no longer
waits for it is wasted work.  So inputs are taken by rank, and an input whose sender has given up is refused without
being processed.  While the core keeps up, the queue is empty and each input is processed as it arrives.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from ashtray.kernel import SECOND_US, Call, Output
from ashtray.peers import announcements

NO_TIMEOUT_US = 1 << 62
REPORT_TIMEOUT_US = 4 * SECOND_US
"""How long a worker waits for the answer to a report (protocol, "Workers -> controller nodes")."""
QUERY_TIMEOUT_US, SUBMISSION_TIMEOUT_US, HEALTH_CHECK_TIMEOUT_US = 1_500_000, 4 * SECOND_US, SECOND_US
"""The limits for a user's query, for a submission or a cancellation, and for a health check.  A user's client waits a
little longer than this, so that a refusal still reaches it."""
MAX_WAITING_USERS = 500
"""The number of queries and submissions that may wait; further ones are refused at once."""
USERS_EVERY = 4
"""One in this many inputs is a user's request, if one waits and no input of rank LEASES does.  Otherwise a controller
that stays behind would answer no users."""


class Rank(IntEnum):
    """The priority of an input; the lowest value is taken first."""

    LEASES = 0
    """Reports, because the answer to a report renews a lease.  Replies of the state service about this controller's
    own lease and about changed records, because a controller that has not read these recently may renew no lease
    (point 5).  These inputs are few, so they do not delay the others for long."""
    DUTIES = 1
    """Cancellations, health checks, heartbeats and notices of peers, replies to this controller's other calls, and
    timers."""
    USERS = 2
    """Queries and submissions.  Their senders repeat them, here or at another controller."""


def rank_of(path: str) -> tuple[Rank, int]:
    """Return the rank of a request and how long its sender waits for the answer, in microseconds."""
    if path == "/hello":
        return Rank.LEASES, REPORT_TIMEOUT_US
    if path == "/up":
        return Rank.DUTIES, HEALTH_CHECK_TIMEOUT_US
    if path.endswith("/abort"):
        return Rank.DUTIES, SUBMISSION_TIMEOUT_US
    if path in ("/peer/word", announcements.PATH):
        return Rank.DUTIES, NO_TIMEOUT_US
    return Rank.USERS, SUBMISSION_TIMEOUT_US if path in ("/submissions", "/peer/request") else QUERY_TIMEOUT_US


def rank_of_reply(call: Call) -> Rank:
    """Return the rank of the reply to a call."""
    return Rank.LEASES if call.path.startswith(("/follow", "/leases")) else Rank.DUTIES


@dataclass(slots=True)
class Entry:
    """A waiting input.  The times are monotonic, in microseconds."""

    take: Callable[[], list[Output]]
    """Passes the input to the core and returns the core's outputs."""
    refuse: Callable[[], list[Output]] | None
    """Called instead of `take` after the deadline.  If it is None, the input is taken however late it is."""
    deadline_us: int
    arrived_us: int


class Inbox:
    """The inputs that wait for the core, ordered by rank and then by arrival."""

    def __init__(self) -> None:
        self._waiting: dict[Rank, deque[Entry]] = {rank: deque() for rank in Rank}
        self._turns = 0
        self._timer_queued = False
        self.refused = 0
        """The number of refused inputs since the reader of this counter last set it to 0."""

    def __bool__(self) -> bool:
        return any(self._waiting.values())

    def input_delay_us(self, now_us: int) -> int:
        """Return for how many microseconds the oldest input has waited; 0 if none waits."""
        return max((now_us - queue[0].arrived_us for queue in self._waiting.values() if queue), default=0)

    def put(
        self,
        now_us: int,
        rank: Rank,
        take: Callable[[], list[Output]],
        refuse: Callable[[], list[Output]] | None = None,
        timeout_us: int = NO_TIMEOUT_US,
    ) -> list[Output]:
        """Queue an input.  Returns the outputs of its refusal if it is refused at once, otherwise an empty list."""
        queue = self._waiting[rank]
        if rank == Rank.USERS and refuse is not None and len(queue) >= MAX_WAITING_USERS:
            self.refused += 1
            return refuse()
        queue.append(Entry(take, refuse, now_us + timeout_us, now_us))
        return []

    def wake(self, now_us: int, take: Callable[[], list[Output]]) -> None:
        """Queue a run of the due timers unless one is queued already; one run serves all timers due by then."""
        if not self._timer_queued:
            self._timer_queued = True
            self.put(now_us, Rank.DUTIES, lambda: self._run_timers(take))

    def _run_timers(self, take: Callable[[], list[Output]]) -> list[Output]:
        self._timer_queued = False
        return take()

    def take(self, now_us: int) -> list[Output]:
        """Refuse the inputs whose deadline has passed, and pass the next one of the others to the core."""
        outputs: list[Output] = []
        for queue in self._waiting.values():
            while queue and (refuse := queue[0].refuse) is not None and now_us > queue[0].deadline_us:
                queue.popleft()
                self.refused += 1
                outputs += refuse()
        rank = self._next_rank()
        return outputs if rank is None else outputs + self._waiting[rank].popleft().take()

    def _next_rank(self) -> Rank | None:
        waiting = [rank for rank, queue in self._waiting.items() if queue]
        if not waiting or waiting[0] == Rank.LEASES:
            return waiting[0] if waiting else None
        self._turns = (self._turns + 1) % USERS_EVERY
        return waiting[0] if self._turns else waiting[-1]
