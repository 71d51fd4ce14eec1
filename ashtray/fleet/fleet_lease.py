"""The fleet lease, which decides which controller is the fleet leader.

The fleet key in the state service is attached to the session lease of the leader, so it disappears when that lease
expires; the key's version is the term.  The leader's transactions are conditional on the term, so they fail once
another controller has taken the key (safety points 22 and 23 of `docs/design.md`).  Two leaders at once would only
cost money: no safety point depends on there being a single one.
"""

from __future__ import annotations

from dataclasses import dataclass

from ashtray.base import Base
from ashtray.kernel import SECOND_US, Coroutine
from ashtray.peers.presence import Presence
from ashtray.placement.state_keys import FLEET
from ashtray.store.rate_limiter import Urgency
from ashtray.store.transaction import Txn

MAX_READ_AGE_US = 3 * SECOND_US
"""The key is taken only if the cluster state was last read less than this time ago."""
OTHER_SUCCESSORS_DELAY_US = 2 * SECOND_US
"""How long the key must have been absent before a controller other than the first successor may take it."""


@dataclass(frozen=True)
class NewTerm:
    """A term that has begun.  Another controller may have led the fleet in between."""

    previous: int
    """The last term of this controller, 0 if there was none."""
    term: int


class FleetLease:
    """Acquires the fleet key, and starts and ends this controller's leadership (`running`, `term`) accordingly."""

    def __init__(self, base: Base, presence: Presence) -> None:
        self.base = base
        self.kernel = base.kernel
        self.presence = presence
        self.running = False
        self.term = 0
        """The version of the key under which this controller leads the fleet, or last did."""
        self._free_since_us: int | None = None
        """When this controller first read that the key is absent; None while it is present."""

    def holds(self) -> bool:
        """Return whether this process has the key, under a lease that cannot have expired (safety points 12, 27)."""
        fleet = self.base.cluster_state.fleet
        is_own_key = fleet is not None and fleet[0].get("incarnation") == self.presence.incarnation
        return is_own_key and self.presence.signed_in()

    def under_term(self, txn: Txn) -> Txn:
        """Guard a transaction by the term, so that it fails if another controller has taken the fleet key; return it.

        This is safety point 22.
        """
        return txn.guard(FLEET, self.term)

    def update(self) -> Coroutine[NewTerm | None]:
        """Stop leading the fleet if the key is lost, and take the key if it is this controller's turn.

        Returns the new term if one has begun; None otherwise, including when this controller resumes its previous
        term.
        """
        now_us = self.kernel.now_us
        if self.running and not self.holds():
            # Safety point 12: after a pause of this process another controller may lead the fleet already.
            self.running = False
            self.kernel.log("info", "no longer runs the fleet")
        recently_read = now_us - self.base.follower.read_us < MAX_READ_AGE_US
        if not self.holds() and self.presence.signed_in() and recently_read and self._may_acquire_key(now_us):
            yield from self._acquire_key()
        fleet = self.base.cluster_state.fleet
        if not self.holds() or self.running or fleet is None:
            return None
        self.running = True
        self._free_since_us = None
        previous, self.term = self.term, fleet[1]
        # If the term is unchanged, no other controller has led the fleet: what is known here is still valid.
        return None if previous == self.term else NewTerm(previous, self.term)

    def _acquire_key(self) -> Coroutine[None]:
        # The guard on the version of the key lets only one of several controllers take it.
        txn = Txn().guard(FLEET, self.base.cluster_state.version(FLEET))
        value = {"host": self.base.settings.host_name, "incarnation": self.presence.incarnation}
        txn.put(FLEET, value, self.presence.lease)
        yield from self.base.follower.commit(lambda: txn, 1, Urgency.CANCEL, "fleet")

    def _may_acquire_key(self, now_us: int) -> bool:
        """Return whether this controller may take the key now.

        An absent key may be taken by the first successor at once, and by any other controller after
        `OTHER_SUCCESSORS_DELAY_US`.  A key of this host may be taken at once; a key of another controller only by
        the first successor, while that controller is unavailable.
        """
        fleet = self.base.cluster_state.fleet
        is_first_successor = self.presence.responsible_controller(FLEET) == self.base.settings.host_name
        if fleet is None:
            if self._free_since_us is None:
                self._free_since_us = now_us
            return is_first_successor or now_us - self._free_since_us > OTHER_SUCCESSORS_DELAY_US
        self._free_since_us = None
        holder = fleet[0].get("host")
        # A controller takes a key with its own host name again, because after a restart its process does not know
        # that it led the fleet (safety point 27).
        is_own_host = holder == self.base.settings.host_name
        return is_own_host or (is_first_successor and holder in self.presence.failure_detector.unavailable)
