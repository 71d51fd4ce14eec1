"""Failure detection: which peers are suspected of having failed before their lease in the state service ends.

Only the expiry of a controller's lease proves that it has stopped.  Duties that need this proof, such as shares of
limits and of budgets, wait for the expiry.  Most duties are safe while two controllers perform them, since placements
guard versions, workers obey the highest token, and the fleet lease is replaced under its version.  For these a
suspicion is enough:

- A controller *doubts* a peer on its own evidence: a call was refused and no heartbeat came for `REFUSED_INTERVALS`
  intervals, or a call got no answer and none came for `SILENT_INTERVALS`.  A refused connection alone proves
  nothing, since a node without free sockets refuses connections and still sends its own heartbeats.
- It *suspects* a peer that it doubts and that `CONFIRMATIONS` other live controllers doubt too (all others if there
  are fewer).  This is the indirect probe of SWIM (Das and others, 2002) with messages that are sent anyway.  A
  controller that is isolated from all others hears of no doubts and suspects no peer.
- A peer *cannot read* if its own heartbeats say that it has not read the state service for `UNREADABLE_US`, while
  this controller has.

Doubts travel with the heartbeats.  A new doubt is sent at once to the `DOUBT_RECIPIENTS` controllers that come first
among the successors of the doubted one, so that a crash is noticed within about one and a half intervals.  An accrual
detector (Hayashibara and others, 2004) would learn the distribution of the intervals, which is known here.

A suspicion ends with the second heartbeat that shows the peer reading the state service.  It also ends after
`MAX_SUSPICION_US` if the peer has held its lease all that time: then the peer is only cut off from other controllers,
and is not suspected again until it has sent a heartbeat.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ashtray.kernel import SECOND_US

REFUSED_INTERVALS = 1.1
"""Intervals without a heartbeat after which a refused call is evidence."""
SILENT_INTERVALS = 2.6
"""Intervals without a heartbeat after which a call without an answer is evidence."""
REFUSED_SLACK_US = 200_000
"""Added to the intervals after a refused call: time for a heartbeat to arrive."""
CONFIRMATIONS = 2
"""Other controllers that must doubt a peer before it is suspected."""
DOUBT_RECIPIENTS = 4
"""Controllers that are told of a new doubt at once."""
DOUBT_LIFETIME_US = 4 * SECOND_US
"""How long another controller's doubt counts after the heartbeat that stated it."""
NEVER_US = 1 << 62
"""A time that is never reached."""
RECOVERY_HEARTBEATS = 2
"""Heartbeats from a peer that reads the state service which end a suspicion."""
MAX_SUSPICION_US = 12 * SECOND_US
"""The longest suspicion of a peer that holds its lease."""
UNREADABLE_US = 2_500_000
"""A controller that has not read the state service for this long cannot decide anything."""
OWN_READ_US = 1_500_000
"""The largest age of this controller's own last read at which it may conclude that others cannot read."""
PLAUSIBLE_AGE_US = 3600 * SECOND_US
"""A heartbeat that states an older read comes from a controller that has never read the state service."""


@dataclass
class PeerEvidence:
    """What is known of one peer."""

    heartbeat_us: int
    """When its last heartbeat came; 0: none has come."""
    heard: bool = False
    """A heartbeat has come since the peer was last suspected; without one it cannot be suspected again."""
    refused: bool = False
    """The last call to it was refused."""
    unanswered: bool = False
    """The last call to it got no answer."""
    read_age_us: int = 0
    """How old its last read of the state service was, by its last heartbeat."""
    read_stated_us: int = 0
    """When that heartbeat came; 0: never."""
    suspected_since_us: int | None = None
    lease_since_us: int | None = None
    """Since when this controller has seen it hold a lease."""
    recovered: int = 0
    """The number of heartbeats since it was suspected that show it reading the state service."""
    doubted_by: dict[str, int] = field(default_factory=dict)
    """The controllers that doubt it, and when each last said so."""


class FailureDetector:
    """Decides which peers are doubted and which are suspected.

    It is a pure state machine: times are passed in, in microseconds, and it sends no messages.
    """

    def __init__(self, hosts: Iterable[str], heartbeat_interval_us: int) -> None:
        self.heartbeat_interval_us = heartbeat_interval_us
        self.peers = {host: PeerEvidence(0) for host in sorted(hosts)}
        self._unavailable: frozenset[str] = frozenset()
        self.suspicions = 0
        """How many suspicions have begun."""

    # Evidence

    def heartbeat(self, host: str, now_us: int, read_age_us: int, doubts: Iterable[str]) -> None:
        """Note a heartbeat of a peer, which proves that it runs and names the controllers that it doubts.

        `read_age_us` is how old its last read of the state service is.  Unknown hosts are ignored.
        """
        peer = self.peers.get(host)
        if peer is None:
            return
        peer.heartbeat_us = now_us
        peer.read_age_us = read_age_us
        peer.read_stated_us = now_us
        peer.refused = peer.unanswered = False
        peer.doubted_by.clear()
        if peer.suspected_since_us is not None and read_age_us < UNREADABLE_US:
            self._note_recovery(peer)
        if peer.suspected_since_us is None:
            peer.heard = True
        self._note_doubts(host, set(doubts), now_us)

    def _note_recovery(self, peer: PeerEvidence) -> None:
        peer.recovered += 1
        if peer.recovered >= RECOVERY_HEARTBEATS:
            peer.suspected_since_us = None

    def _note_doubts(self, host: str, doubted: set[str], now_us: int) -> None:
        for other, evidence in self.peers.items():
            if other in doubted:
                evidence.doubted_by[host] = now_us
            else:
                evidence.doubted_by.pop(host, None)

    def called(self, host: str, refused: bool, answered: bool) -> None:
        """Note how a call to a peer ended."""
        peer = self.peers[host]
        peer.refused = refused
        peer.unanswered = not answered and not refused

    # Conclusions

    def doubts(self, now_us: int, not_stalled_since_us: int) -> list[str]:
        """The peers that this controller doubts on its own evidence.

        `not_stalled_since_us` is when this process last resumed after a pause.
        """
        return [host for host in self.peers if self.until_doubt_us(host, now_us, not_stalled_since_us) == 0]

    def until_doubt_us(self, host: str, now_us: int, not_stalled_since_us: int) -> int:
        """Return the time until a peer is doubted if calls to it keep ending as the last one did.

        0 means that it is doubted now, `NEVER_US` that no call to it has failed since its last heartbeat.
        """
        peer = self.peers[host]
        # Heartbeats that came while this process was paused have not been read yet.
        quiet_us = now_us - max(peer.heartbeat_us, not_stalled_since_us)
        if peer.refused:
            return max(int(REFUSED_INTERVALS * self.heartbeat_interval_us) + REFUSED_SLACK_US - quiet_us, 0)
        if peer.unanswered:
            return max(int(SILENT_INTERVALS * self.heartbeat_interval_us) - quiet_us, 0)
        return NEVER_US

    def peers_to_probe(self, now_us: int) -> list[str]:
        """Return the peers that others doubt and of which this controller has no evidence of its own."""
        since_us = now_us - DOUBT_LIFETIME_US
        return [
            host
            for host, peer in self.peers.items()
            if not peer.refused and not peer.unanswered and any(at > since_us for at in peer.doubted_by.values())
        ]

    def evaluate(
        self, now_us: int, not_stalled_since_us: int, live: list[str], own_read_age_us: int
    ) -> frozenset[str]:
        """Return the peers that are unavailable: suspected, or unable to read the state service.

        `live` names the controllers that hold a lease; `own_read_age_us` is the age of this controller's last read.
        The result is the same object as before if it is equal.
        """
        unavailable = set()
        for host, peer in self.peers.items():
            self._follow_lease(peer, host in live, now_us)
            doubted = self.until_doubt_us(host, now_us, not_stalled_since_us) == 0
            if peer.suspected_since_us is None and peer.heard and host in live and doubted:
                self._suspect_if_confirmed(host, live, now_us)
            unreadable = own_read_age_us < OWN_READ_US and self._cannot_read(peer, now_us)
            if peer.suspected_since_us is not None or unreadable:
                unavailable.add(host)
        if unavailable != self._unavailable:
            self._unavailable = frozenset(unavailable)
        return self._unavailable

    def _follow_lease(self, peer: PeerEvidence, holds_lease: bool, now_us: int) -> None:
        """End the suspicion of a peer that has held its lease for `MAX_SUSPICION_US` since it was suspected."""
        if not holds_lease:
            peer.lease_since_us = None
        elif peer.lease_since_us is None:
            peer.lease_since_us = now_us
        elif peer.suspected_since_us is not None:
            since_us = max(peer.suspected_since_us, peer.lease_since_us)
            if now_us - since_us > MAX_SUSPICION_US:
                peer.suspected_since_us = None
                peer.heard = False

    def _suspect_if_confirmed(self, host: str, live: list[str], now_us: int) -> None:
        """Suspect a doubted peer if enough other controllers that are not suspected themselves doubt it."""
        peer = self.peers[host]
        others = [
            other
            for other in live
            if other != host and other in self.peers and self.peers[other].suspected_since_us is None
        ]
        since_us = now_us - DOUBT_LIFETIME_US
        confirmations = sum(peer.doubted_by.get(other, -NEVER_US) > since_us for other in others)
        if others and confirmations >= min(CONFIRMATIONS, len(others)):
            peer.suspected_since_us = now_us
            peer.recovered = 0
            peer.heard = False
            self.suspicions += 1

    def _cannot_read(self, peer: PeerEvidence, now_us: int) -> bool:
        """Whether a recent heartbeat of a peer says that it cannot read the state service."""
        recent = now_us - peer.read_stated_us < int(SILENT_INTERVALS * self.heartbeat_interval_us)
        return peer.read_stated_us > 0 and recent and UNREADABLE_US < peer.read_age_us < PLAUSIBLE_AGE_US

    @property
    def unavailable(self) -> frozenset[str]:
        """The peers that were unavailable at the last evaluation."""
        return self._unavailable
