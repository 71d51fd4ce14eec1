"""Which controller runs the fleet: a key under the lease of that controller's presence, and the term that it gives.

Two controllers that run the fleet at once would cost money only: no safety point depends on there being one.  The
term is the version of the key.  What the runner commits guards the term, so it fails once another one has taken the
key (safety points 22 and 23 of `docs/design.md`).
"""

from __future__ import annotations

from dataclasses import dataclass

from ashtray.base import Base
from ashtray.kernel import SECOND_US, Fiber
from ashtray.peers.presence import Presence
from ashtray.placement.state_keys import FLEET
from ashtray.store.client import Txn, Urgency

MAX_READ_AGE_US = 3 * SECOND_US
"""The key is taken only on a cluster state that was read so recently."""
OTHER_SUCCESSORS_DELAY_US = 2 * SECOND_US
"""How long the other controllers leave a free key to the first successor."""


@dataclass(frozen=True)
class NewTerm:
    """A term that has begun: another controller may have run the fleet since this one last did."""

    previous: int
    """The last term of this controller, 0 if there was none."""
    term: int


class FleetLease:
    """This controller's view of the fleet's key."""

    def __init__(self, base: Base, presence: Presence) -> None:
        self.base = base
        self.kernel = base.kernel
        self.presence = presence
        self.running = False
        self.term = 0
        """The version of the key under which this controller runs the fleet, or last did."""
        self._free_since_us: int | None = None
        """Since when the key has been absent, as far as was observed."""

    def holds(self) -> bool:
        """Whether the key is this process's, under a lease that is surely valid (safety points 12 and 27)."""
        fleet = self.base.cluster_state.fleet
        own = fleet is not None and fleet[0].get("incarnation") == self.presence.incarnation
        return own and self.presence.signed_in()

    def under_term(self, txn: Txn) -> Txn:
        """Make a transaction fail if the fleet has been taken over since (safety point 22)."""
        return txn.guard(FLEET, self.term)

    def update(self) -> Fiber[NewTerm | None]:
        """Stop running without the key, or take the key where this controller may.

        Returns the new term if one has begun; None also where this controller got back the term that it had.
        """
        now_us = self.kernel.now_us
        if self.running and not self.holds():
            # Point 12: running ends with the lease, noticed or not; after a halt another one may run the fleet.
            self.running = False
            self.kernel.log("info", "no longer runs the fleet")
        fresh = now_us - self.base.follower.read_us < MAX_READ_AGE_US
        if not self.holds() and self.presence.signed_in() and fresh and self._may_take(now_us):
            yield from self._take()
        fleet = self.base.cluster_state.fleet
        if not self.holds() or self.running or fleet is None:
            return None
        self.running = True
        self._free_since_us = None
        previous, self.term = self.term, fleet[1]
        # With the term unchanged, nobody else has run the fleet meanwhile: what was known still holds.
        return None if previous == self.term else NewTerm(previous, self.term)

    def _take(self) -> Fiber[None]:
        # The key is replaced under its version: of two controllers that try, one takes it.
        txn = Txn().guard(FLEET, self.base.cluster_state.version(FLEET))
        value = {"host": self.base.settings.host_name, "incarnation": self.presence.incarnation}
        txn.put(FLEET, value, self.presence.lease)
        yield from self.base.follower.commit(lambda: txn, 1, Urgency.CANCEL, "fleet")

    def _may_take(self, now_us: int) -> bool:
        """Whether the key is free, or its holder suspected, and it is this controller's turn to take it."""
        fleet = self.base.cluster_state.fleet
        first = self.presence.foreman(FLEET) == self.base.settings.host_name
        if fleet is None:
            if self._free_since_us is None:
                self._free_since_us = now_us
            return first or now_us - self._free_since_us > OTHER_SUCCESSORS_DELAY_US
        self._free_since_us = None
        holder = fleet[0].get("host")
        # A process that was started anew does not know that its host ran the fleet (safety point 27).
        is_own_host = holder == self.base.settings.host_name
        return is_own_host or (first and holder in self.presence.failure_detector.away)
