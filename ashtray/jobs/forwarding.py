"""Requests of users that this controller cannot answer without the state service are forwarded to a peer that can."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ashtray.base import Base
from ashtray.jobs.answers import STATE_UNREADABLE, AnswerSender, PeerAnswer
from ashtray.kernel import Call, Fiber, Reply
from ashtray.peers.presence import Peers, Presence

FORWARD_US = 850_000
"""How long one peer is waited for: users wait 2 s, and two peers are asked."""
MAX_FORWARDED = 100
"""Requests that are with a peer at one time: more are answered at once."""
RELAYED = (200, 201, 400, 404, 422)
"""What a peer says for certain."""


@dataclass(frozen=True, slots=True)
class UserRequest:
    """What a user asked, as it is passed on."""

    method: str
    path: str
    body: Any = None


class Forwarder:
    """Passes requests on to peers while this controller cannot read the state service."""

    def __init__(self, base: Base, presence: Presence, peers: Peers, sender: AnswerSender) -> None:
        self.base = base
        self.presence = presence
        self.peers = peers
        self.sender = sender
        self._forwarded = 0

    def ready(self) -> bool:
        """Whether this controller has read the state, can read it still, and has signed in."""
        follower = self.base.follower
        return follower.loaded and follower.failed_since_us is None and bool(self.presence.incarnation)

    def forward(self, request_id: int, request: UserRequest, forwarded: bool) -> None:
        """Ask a peer that has the state service, or say when to come back; no request is forwarded twice."""
        # It is done at the first failure: it costs little, unlike sending workers to and fro.
        peers = [] if forwarded else self.peers.connected()
        if not peers or self._forwarded >= MAX_FORWARDED:
            self.sender.send(request_id, STATE_UNREADABLE)
        else:
            self.base.kernel.spawn(self._forward(request_id, peers[:2], request))

    def _forward(self, request_id: int, peers: list[str], request: UserRequest) -> Fiber[None]:
        """Ask the peers heard of last, one after the other: one may have fallen silent since, and users wait 2 s."""
        body = {"method": request.method, "path": request.path, "body": request.body}
        self._forwarded += 1
        for peer in peers:
            reply: Reply = yield Call(self.peers.peers[peer].address, "POST", "/peer/request", body, FORWARD_US)
            if reply.status in RELAYED:
                # The peer takes up the question after it came here, so its barrier begins later still (point 6).
                self.sender.send(request_id, PeerAnswer(reply.status, reply.body))
                break
        else:
            self.sender.send(request_id, STATE_UNREADABLE)
        self._forwarded -= 1
