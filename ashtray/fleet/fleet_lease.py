"""The fleet lease, which decides which controller is the fleet leader.

The fleet lease is a key in the state service, attached to the lease of the leader's session; the version of the key
is the term.  The leader's transactions guard the term, so they fail once another controller has taken the key (safety
points 22 and 23 of `docs/design.md`).  Two leaders at once would only cost money: no safety point depends on there
being a single one.
"""

from __future__ import annotations

from dataclasses import dataclass

from ashtray.base import Base
from ashtray.kernel import SECOND_US, Coroutine
from ashtray.peers.presence import Presence
from ashtray.placement.state_keys import FLEET
from ashtray.store.client import Txn, Urgency

MAX_READ_AGE_US = 3 * SECOND_US
"""The key is taken only on a cluster state that was read within this time."""
OTHER_SUCCESSORS_DELAY_US = 2 * SECOND_US
"""How long the other controllers leave a free key to the first successor before they take it."""


@dataclass(frozen=True)
class NewTerm:
    """A term that has begun.  Another controller may have led the fleet since this one last did."""

    previous: int
    """The last term of this controller, 0 if there was none."""
    term: int


class FleetLease:
    """Takes the fleet's key, and tells whether this controller holds it."""

    def __init__(self, base: Base, presence: Presence) -> None:
        self.base = base
        self.kernel = base.kernel
        self.presence = presence
        self.running = False
        self.term = 0
        """The version of the key under which this controller leads the fleet, or last did."""
        self._free_since_us: int | None = None
        """When this controller first saw that the key is absent; None while it is present."""

    def holds(self) -> bool:
        """Return whether this process has the key, under a lease that cannot have expired (safety points 12, 27)."""
        fleet = self.base.cluster_state.fleet
        own = fleet is not None and fleet[0].get("incarnation") == self.presence.incarnation
        return own and self.presence.signed_in()

    def under_term(self, txn: Txn) -> Txn:
        """Make a transaction fail if another controller has taken the fleet over (safety point 22); return it."""
        return txn.guard(FLEET, self.term)

    def update(self) -> Coroutine[NewTerm | None]:
        """Stop leading the fleet if the key is lost, and take the key if it is this controller's turn.

        Returns the new term if one has begun, otherwise None, also if this controller got its former term back.
        """
        now_us = self.kernel.now_us
        if self.running and not self.holds():
            # Safety point 12: after a pause of this process another controller may lead the fleet already.
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
        # If the term is unchanged, no other controller has led the fleet: what is known here is still valid.
        return None if previous == self.term else NewTerm(previous, self.term)

    def _take(self) -> Coroutine[None]:
        # The guard on the version of the key lets only one of several controllers take it.
        txn = Txn().guard(FLEET, self.base.cluster_state.version(FLEET))
        value = {"host": self.base.settings.host_name, "incarnation": self.presence.incarnation}
        txn.put(FLEET, value, self.presence.lease)
        yield from self.base.follower.commit(lambda: txn, 1, Urgency.CANCEL, "fleet")

    def _may_take(self, now_us: int) -> bool:
        """Return whether the key is free or its holder suspected, and it is this controller's turn to take it."""
        fleet = self.base.cluster_state.fleet
        first = self.presence.responsible_controller(FLEET) == self.base.settings.host_name
        if fleet is None:
            if self._free_since_us is None:
                self._free_since_us = now_us
            return first or now_us - self._free_since_us > OTHER_SUCCESSORS_DELAY_US
        self._free_since_us = None
        holder = fleet[0].get("host")
        # Its own key is taken again: a restarted process does not know that it led the fleet (safety point 27).
        is_own_host = holder == self.base.settings.host_name
        return is_own_host or (first and holder in self.presence.failure_detector.unavailable)
