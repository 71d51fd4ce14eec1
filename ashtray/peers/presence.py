"""Who is there: a key under a lease in the state service, and word from the peers themselves."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any

from ashtray.kernel import SECOND_US, Call, Fiber, Reply, Sleep
from ashtray.placement.picture import CONTROLLER
from ashtray.store.client import Txn, Urgency

if TYPE_CHECKING:
    from ashtray.controller import Controller

LEASE_US = 6 * SECOND_US
RENEW_US = 1_500_000
WORD_US = SECOND_US


def weight(host: str, key: str) -> int:
    """Rendezvous hashing: the live host of the greatest weight looks after a key."""
    return int.from_bytes(hashlib.blake2b(f"{host}\0{key}".encode(), digest_size=8).digest(), "big")


class Presence:
    """This controller's own key, and whom it takes for alive."""

    def __init__(self, ctl: Controller) -> None:
        self.ctl = ctl
        self.incarnation = 0
        """The state service's revision at which this process signed in: no other process has the same."""
        self.lease: int | None = None

    def run(self) -> Fiber[None]:
        ctl = self.ctl
        key = CONTROLLER + ctl.settings.host_name
        while True:
            if self.lease is None:
                reply: Reply = yield from ctl.store.open_lease(LEASE_US)
                if reply.status == 200:
                    lease = reply.body["permit"]
                    host = {"host": ctl.settings.host_name}
                    sign_in = partial(Txn().put, key, host, lease)
                    _, reply = yield from ctl.store.commit(sign_in, 1, Urgency.KEEP_ALIVE)
                    if reply.status == 200:
                        self.lease = lease
                        if not self.incarnation:
                            self.incarnation = reply.body["ledger"]
                            ctl.kernel.log("info", f"signed in as {ctl.settings.host_name}")
                if self.lease is None:
                    yield Sleep(SECOND_US // 2)
                    continue
            yield Sleep(RENEW_US)
            reply = yield from ctl.store.renew_lease(self.lease)
            if reply.status == 404:
                self.lease = None

    def live(self) -> list[str]:
        hosts = set(self.ctl.picture.controllers)
        hosts.add(self.ctl.settings.host_name)
        return sorted(hosts)

    def foreman(self, key: str) -> str:
        return max(self.live(), key=lambda host: weight(host, key))

    def owner_of(self, job_id: str, owner: str) -> str:
        """Who places a job: the controller that accepted it, or an heir when that one is gone."""
        live = self.live()
        return owner if owner in live else max(live, key=lambda host: weight(host, job_id))

    def better_connected(self, after_us: int = 3 * SECOND_US) -> str | None:
        """A peer that reads from the state service while this controller has not for that long."""
        if self.ctl.kernel.now_us - self.ctl.follower.read_us < after_us:
            return None
        for peer in self.ctl.peers.peers.values():
            if self.ctl.kernel.now_us - peer.word_us < 3 * SECOND_US and peer.state_age_us < 2 * SECOND_US:
                return peer.host
        return None


@dataclass
class PeerState:
    host: str
    address: str
    word_us: int = -(10**15)
    state_age_us: int = 10**15
    need: float = 0.0
    """Changes a second that it would like to make."""
    heard: dict[str, int] = field(default_factory=dict)
    """When it last heard each worker, in this controller's time."""


class Peers:
    """Word between controllers: who hears which worker, who can read, and that something has changed."""

    def __init__(self, ctl: Controller) -> None:
        self.ctl = ctl
        self.peers = {p.host_name: PeerState(p.host_name, p.peer_addr) for p in ctl.settings.others}
        self._hinted = False
        self._used = 0
        self._need = 0.0

    def run(self, peer: PeerState) -> Fiber[None]:
        while True:
            yield from self._send(peer, self._word())
            yield Sleep(WORD_US)

    def _word(self) -> dict[str, Any]:
        ctl = self.ctl
        return {
            "host": ctl.settings.host_name,
            "state_age_us": min(ctl.kernel.now_us - ctl.follower.read_us, 10**15),
            "need": self._need,
            "heard": ctl.desk.heard(),
        }

    def budget(self) -> Fiber[None]:
        """Share the state service's budgets with the other live controllers, the changes by need."""
        ctl = self.ctl
        used, self._used = ctl.store.used - self._used, ctl.store.used
        self._need = 0.6 * self._need + 0.4 * (used + 2 * len(ctl.store.changes.waiting))
        if not ctl.follower.loaded:
            # Until the picture is read, assume that everybody is there.
            each = 1 / max(ctl.settings.cluster.nodes, 1)
            ctl.store.share(each, each)
            return
        live = ctl.presence.live()
        floor = 0.15 * ctl.settings.cluster.state.write_rps
        needs = [max(self.peers[host].need, floor) for host in live if host in self.peers]
        mine = max(self._need, floor)
        ctl.store.share(1 / len(live), mine / (mine + sum(needs)))
        return
        yield

    def _send(self, peer: PeerState, body: Any) -> Fiber[Reply]:
        reply: Reply = yield Call(peer.address, "POST", "/peer/word", body, SECOND_US)
        return reply

    def hint(self) -> None:
        """Tell the peers to look at the state service soon; hints within a few milliseconds are one."""
        if not self._hinted:
            self._hinted = True
            self.ctl.kernel.spawn(self._hint())

    def _hint(self) -> Fiber[None]:
        yield Sleep(5_000)
        self._hinted = False
        for peer in self.peers.values():
            if self.ctl.kernel.now_us - peer.word_us < 5 * SECOND_US:
                self.ctl.kernel.spawn(self._send(peer, {"host": self.ctl.settings.host_name, "hint": True}))

    def on_word(self, request_id: int, body: Any) -> None:
        kernel = self.ctl.kernel
        peer = self.peers.get(str(body.get("host"))) if isinstance(body, dict) else None
        if peer is None:
            kernel.answer(request_id, 400, {"error": "unknown peer"})
            return
        if body.get("hint"):
            self.ctl.follower.hint()
        else:
            peer.word_us = kernel.now_us
            peer.state_age_us = int(body.get("state_age_us", 10**15))
            peer.need = float(body.get("need", 0.0))
            peer.heard = {str(name): kernel.now_us - int(age) for name, age in body.get("heard", {}).items()}
        kernel.answer(request_id, 200, {})

    def last_heard_us(self, machine: str) -> int:
        """When any controller that this one has word of last heard a worker."""
        own = self.ctl.desk.workers.get(machine)
        times = [peer.heard.get(machine, 0) for peer in self.peers.values()]
        return max([own.heard_us if own is not None else 0, *times])

    def all_word_us(self) -> int:
        """Since when there has been no word from some live peer: news may be missing from then on."""
        now = self.ctl.kernel.now_us
        live = self.ctl.presence.live()
        return min([p.word_us for p in self.peers.values() if p.host in live], default=now)
