"""Until when leases of workers may be renewed: the bound that keeps `cancel_s` (`docs/design.md`, point 5).

All tasks of a cancelled job must be gone `cancel_s` after its user was told.  A controller that does not know of the
cancellation goes on renewing the leases of the workers that report to it, so it has to stop early enough for them to
run out.  In true time, with `informed` the moment up to which it knows of every cancellation told to a user:

    the cancellation that it misses was told         after   informed
    its last renewal is decided                      before  informed + bound * (1 + drift)
    the report that this answers was sent            before  that
    the worker's lease, counted from there, ends     within  lease_s * (1 + drift)
    and the worker has ended its tasks               within  WORKER_DELAY_US

so with `bound + lease_s`, lengthened by the drift, plus `WORKER_DELAY_US` at most `cancel_s`, no task is left.  What
lies between the decision and the worker does not count, for a lease runs from when the answered report was *sent*:
neither a process that stands still before its answer goes out, nor the time that the answer takes, nor a worker that
hangs.  Orders sent directly renew nothing.
"""

from __future__ import annotations

from collections.abc import Iterable

from ashtray.config.settings import WorkerTimes
from ashtray.kernel import SECOND_US

CLOCK_DRIFT = 0.0005
"""By so much of a duration the steady clocks of two machines may differ (protocol, "durations")."""
WORKER_DELAY_US = SECOND_US
"""How late a worker may notice that its lease is over and end its tasks."""
NEVER_US = -(10**15)


def renewal_bound_us(times: WorkerTimes) -> int:
    """For how long after `informed` leases may be renewed, in microseconds; negative: never."""
    drift_us = 2 * CLOCK_DRIFT * times.cancel_s * SECOND_US
    return int((times.cancel_s - times.lease_s) * SECOND_US - drift_us) - WORKER_DELAY_US


class RenewalGuard:
    """Decides whether leases may be renewed, by this controller's reads and by its peers' statements."""

    def __init__(self, times: WorkerTimes, peers: Iterable[str]) -> None:
        """`peers` are all other controllers: each of them may confirm cancellations."""
        self.bound_us = renewal_bound_us(times)
        self._stated_us = dict.fromkeys(peers, NEVER_US)

    def stated(self, peer: str, asked_us: int) -> None:
        """A peer has answered a question that was sent at `asked_us` with a complete statement."""
        self._stated_us[peer] = max(self._stated_us[peer], asked_us)

    def informed_us(self, now_us: int, read_us: int) -> int:
        """Up to when every cancellation told to a user is known, in this controller's steady time.

        `read_us` is when the last read of the state service that succeeded began.  Without other controllers nobody
        but this one confirms cancellations.
        """
        return max(read_us, min(self._stated_us.values(), default=now_us))

    def may_renew(self, now_us: int, read_us: int) -> bool:
        """Whether an answer decided now may renew a worker's lease."""
        return now_us - self.informed_us(now_us, read_us) <= self.bound_us
