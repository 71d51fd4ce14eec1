"""Forwards users' requests to peers while this controller cannot read the state service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ashtray.base import Base
from ashtray.jobs.answers import STATE_UNREADABLE, AnswerSender, PeerAnswer
from ashtray.kernel import Call, Coroutine, Reply
from ashtray.peers.presence import Peers, Presence

FORWARD_TIMEOUT_US = 850_000
"""How long to wait for a peer's answer.  Users wait 2 s, and up to two peers are asked."""
MAX_FORWARDED = 100
"""Most forwarded requests in flight at a time; any more are answered with 503 at once."""
RELAYED = (200, 201, 400, 404, 422)
"""Statuses of peers' answers that are passed on to users; after any other, the next peer is asked."""


@dataclass(frozen=True, slots=True)
class UserRequest:
    """A user's request, as it is forwarded."""

    method: str
    path: str
    body: Any = None


class Forwarder:
    """Forwards users' requests to peers."""

    def __init__(self, base: Base, presence: Presence, peers: Peers, sender: AnswerSender) -> None:
        self.base = base
        self.presence = presence
        self.peers = peers
        self.sender = sender
        self._forwarded = 0

    def ready(self) -> bool:
        """Return whether this controller can answer: it has read all records, can still read, and has signed in."""
        follower = self.base.follower
        return follower.loaded and follower.failed_since_us is None and bool(self.presence.incarnation)

    def forward(self, request_id: int, request: UserRequest, forwarded: bool) -> None:
        """Forward a request to a peer, or tell the user to retry if that is not possible.

        A request that was `forwarded` by a peer is not forwarded again.
        """
        # The first failed read is enough to forward: that costs little, unlike moving workers to a peer and back.
        peers = [] if forwarded else self.peers.connected()
        if not peers or self._forwarded >= MAX_FORWARDED:
            self.sender.send(request_id, STATE_UNREADABLE)
        else:
            self.base.kernel.spawn(self._forward(request_id, peers[:2], request))

    def _forward(self, request_id: int, peers: list[str], request: UserRequest) -> Coroutine[None]:
        """Ask peers one after the other, and pass on the first answer with a status in `RELAYED`.

        The peers are those that were heard from last, but one may be unreachable by now, and users wait 2 s.
        """
        body = {"method": request.method, "path": request.path, "body": request.body}
        self._forwarded += 1
        for peer in peers:
            reply: Reply = yield Call(
                self.peers.peers[peer].address, "POST", "/peer/request", body, FORWARD_TIMEOUT_US
            )
            if reply.status in RELAYED:
                # The peer got the request after this controller, so its barrier began after that, too (point 6).
                self.sender.send(request_id, PeerAnswer(reply.status, reply.body))
                break
        else:
            self.sender.send(request_id, STATE_UNREADABLE)
        self._forwarded -= 1
