"""How long a controller may renew workers' leases without fresh information (`docs/design.md`, safety point 5).

All tasks of a cancelled job must have ended `cancel_s` after its user was told of the cancellation.  A controller
that does not know of the cancellation keeps renewing the leases of the workers that report to it, so it has to stop
renewing early enough for these leases to expire in time.  In true time, where `informed` is the moment up to which
the controller knows of every cancellation confirmed to a user:

    the cancellation that it misses was confirmed       after   informed
    its last renewal is decided                         before  informed + bound * (1 + drift)
    the report that the renewal answers was sent        before  that decision
    the worker's lease, counted from then, expires      within  lease_s * (1 + drift)
    the worker has ended its tasks                      within  WORKER_DELAY_US

No task is left if `bound + lease_s`, lengthened by the drift, plus `WORKER_DELAY_US` is at most `cancel_s`.  Delays
between the decision and the worker do not matter, because a lease runs from the moment when the answered report was
*sent*: the controller's process may be paused before it sends the answer, the answer may be slow, and the worker may
hang.  Orders sent directly renew no lease.
"""

from __future__ import annotations

from collections.abc import Iterable

from ashtray.config.settings import WorkerTimes
from ashtray.kernel import SECOND_US

CLOCK_DRIFT = 0.0005
"""The relative rate by which the monotonic clocks of two machines may differ (protocol, "durations")."""
WORKER_DELAY_US = SECOND_US
"""How long after its lease expires a worker may take to end its tasks."""
NEVER_US = -(10**15)
"""A time before every other, for peers that have made no statement yet."""


def renewal_bound_us(times: WorkerTimes) -> int:
    """Return for how many microseconds after `informed` leases may be renewed; if negative, they may never be."""
    drift_us = 2 * CLOCK_DRIFT * times.cancel_s * SECOND_US
    return int((times.cancel_s - times.lease_s) * SECOND_US - drift_us) - WORKER_DELAY_US


class RenewalGuard:
    """Decides whether leases may be renewed, from this controller's reads and from its peers' statements."""

    def __init__(self, times: WorkerTimes, peers: Iterable[str]) -> None:
        """`peers` are all other controllers, because each of them may confirm cancellations."""
        self.bound_us = renewal_bound_us(times)
        self._stated_us = dict.fromkeys(peers, NEVER_US)

    def note_statement(self, peer: str, asked_us: int) -> None:
        """Note that a peer answered a request sent at `asked_us` with a complete statement of its cancellations."""
        self._stated_us[peer] = max(self._stated_us[peer], asked_us)

    def informed_us(self, now_us: int, read_us: int) -> int:
        """Return the time up to which this controller knows of every cancellation confirmed to a user.

        Times are those of this controller's monotonic clock.  `read_us` is when the last successful read of the state
        service began.  A controller without peers confirms all cancellations itself.
        """
        return max(read_us, min(self._stated_us.values(), default=now_us))

    def may_renew(self, now_us: int, read_us: int) -> bool:
        """Return whether an answer decided now may renew a worker's lease."""
        return now_us - self.informed_us(now_us, read_us) <= self.bound_us
