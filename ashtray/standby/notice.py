"""How a fall is noticed before its lease ends: a suspicion, never a verdict.

A lease of seconds is the only proof that a controller does nothing more, and what rests on that proof waits for it:
shares of limits and budgets.  But most of what a controller does is safe with two at it: a job's placement guards the
job's version, a worker obeys the higher token, and the fleet's key is replaced under its version.  For these, waiting
out the lease is time lost.  So each controller watches the words of the others:

- *doubt*: one controller's own evidence about another.  A call to it was refused and none of its words came for a
  word's pause; or a call got no answer and none came for `SILENT` pauses.  A refused connection alone does not show
  that a node is dead: one that has no free sockets still sends its own words.
- *suspicion*: doubt, and the doubts of `CONFIRM` others heard lately (all others where they are fewer): the indirect
  probe of SWIM (Das and others, 2002) with probes that are there already.  Whoever is cut off alone hears no doubts.
- *lame*: by its own word, it cannot read from the state service, while this controller can.  It can decide nothing.

Doubts ride on the words.  A new one is told at once to the best-placed `TELL` others, which then look for themselves,
so a crash is noticed within about a pause and a half.  An accrual detector (Hayashibara and
others, 2004) would learn the pauses' distribution; they are this program's own here, and known.

A suspicion ends with the second word that shows it reading the state service again, so that a controller which has
just started takes its duties back warm.  It also ends after `MOST_US` where the lease says all that time that the
other lives: it is cut off from its peers alone then, and is not suspected again until it has been heard.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ashtray.kernel import SECOND_US

PAUSES = 1.1
"""So many pauses between words without one, when a call was refused."""
SILENT = 2.6
"""The same when calls get no answer."""
SHORT_US = 200_000
CONFIRM = 2
TELL = 4
HEARSAY_US = 4 * SECOND_US
"""Another's doubt counts for so long."""
NEVER_US = 1 << 62
WORDS_BACK = 2
MOST_US = 12 * SECOND_US
LAME_US = 2_500_000
"""One that has not read from the state service for so long decides nothing."""
READS_US = 1_500_000
"""This controller's own last read may be so old for that judgement."""


@dataclass
class Watched:
    """What is known of one peer."""

    word_us: int
    """When its last word came, or since when one was waited for."""
    heard: bool = False
    """A word has come since it was last suspected: without one nothing speaks of a change."""
    refused: bool = False
    """The last call to it was refused."""
    unanswered: bool = False
    """The last call to it got no answer."""
    state_age_us: int = 0
    state_us: int = 0
    """When it said so."""
    since_us: int | None = None
    """Since when it is suspected."""
    live_us: int | None = None
    """Since when it has held a lease, as far as was seen."""
    back: int = 0
    """Words that came since."""
    doubted_by: dict[str, int] = field(default_factory=dict)
    """Who else doubts it, and when that was heard."""


class Notice:
    """Whom this controller doubts and suspects.  Pure: time is handed in, nothing is sent from here."""

    def __init__(self, hosts: Iterable[str], word_us: int) -> None:
        self.word_us = word_us
        self.peers = {host: Watched(0) for host in sorted(hosts)}
        self._away: frozenset[str] = frozenset()
        self.suspected = 0
        """How often one came to be suspected."""

    # What happens

    def word(self, host: str, now_us: int, state_age_us: int, doubts: Iterable[str]) -> None:
        """A word came: its sender lives, and tells whom it doubts."""
        peer = self.peers.get(host)
        if peer is None:
            return
        peer.word_us = now_us
        peer.state_age_us, peer.state_us = state_age_us, now_us
        peer.refused = peer.unanswered = False
        peer.doubted_by.clear()
        if peer.since_us is not None and state_age_us < LAME_US:
            peer.back += 1
            if peer.back >= WORDS_BACK:
                peer.since_us = None
        if peer.since_us is None:
            peer.heard = True
        told = set(doubts)
        for other, watched in self.peers.items():
            if other in told:
                watched.doubted_by[host] = now_us
            else:
                watched.doubted_by.pop(host, None)

    def called(self, host: str, refused: bool, answered: bool) -> None:
        """How a call to a peer ended."""
        peer = self.peers[host]
        peer.refused = refused
        peer.unanswered = not answered and not refused

    # What follows

    def doubts(self, now_us: int, awake_us: int) -> list[str]:
        """The peers of which this controller has evidence of its own."""
        return [host for host in self.peers if self.until_doubt_us(host, now_us, awake_us) == 0]

    def until_doubt_us(self, host: str, now_us: int, awake_us: int) -> int:
        """How long until a peer is doubted if calls to it go on as the last one did; 0 if it is."""
        peer = self.peers[host]
        # What came while this process stood still it has not read yet.
        quiet_us = now_us - max(peer.word_us, awake_us)
        if peer.refused:
            return max(int(PAUSES * self.word_us) + SHORT_US - quiet_us, 0)
        return max(int(SILENT * self.word_us) - quiet_us, 0) if peer.unanswered else NEVER_US

    def wants_a_look(self, now_us: int) -> list[str]:
        """Peers that others doubt and that no call has told anything of here."""
        since_us = now_us - HEARSAY_US
        return [
            host
            for host, peer in self.peers.items()
            if not peer.refused and not peer.unanswered and any(at > since_us for at in peer.doubted_by.values())
        ]

    def judge(self, now_us: int, awake_us: int, live: list[str], own_age_us: int) -> frozenset[str]:
        """Who is away, of those that hold a lease or held one: suspected or lame."""
        away = set()
        for host, peer in self.peers.items():
            if host not in live:
                peer.live_us = None
            elif peer.live_us is None:
                peer.live_us = now_us
            elif peer.since_us is not None and now_us - max(peer.since_us, peer.live_us) > MOST_US:
                peer.since_us, peer.heard = None, False
            doubted = self.until_doubt_us(host, now_us, awake_us) == 0
            if peer.since_us is None and peer.heard and host in live and doubted:
                others = [h for h in live if h != host and h in self.peers and self.peers[h].since_us is None]
                since_us = now_us - HEARSAY_US
                agree = sum(peer.doubted_by.get(other, -NEVER_US) > since_us for other in others)
                if others and agree >= min(CONFIRM, len(others)):
                    peer.since_us, peer.back, peer.heard = now_us, 0, False
                    self.suspected += 1
            if peer.since_us is not None or (own_age_us < READS_US and self._lame(peer, now_us)):
                away.add(host)
        if away != self._away:
            self._away = frozenset(away)
        return self._away

    def _lame(self, peer: Watched, now_us: int) -> bool:
        fresh = now_us - peer.state_us < int(SILENT * self.word_us)
        return peer.state_us > 0 and fresh and LAME_US < peer.state_age_us < 3600 * SECOND_US

    @property
    def away(self) -> frozenset[str]:
        """As last judged."""
        return self._away
