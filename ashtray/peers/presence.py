"""Who is there: a key under a lease in the state service, and word from the peers themselves."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Annotated, Any

import msgspec

from ashtray.base import Base
from ashtray.jobs.model import Job
from ashtray.kernel import SECOND_US, Call, Fiber, Reply, Sleep
from ashtray.placement.picture import CONTROLLER
from ashtray.store.client import Txn, Urgency
from ashtray.teams.grants import Grants

FORM = 1
"""Stands in the presence of controllers that know of jobs that wait on others, and of groups being split."""
LEASE_US = 6 * SECOND_US
RENEW_US = 1_500_000
MAX_FOREMEN = 20_000
FLOOR = 0.04
"""The part of the changes that a controller may make at least, for what comes up of a sudden."""


def weight(host: str, key: str) -> int:
    """Rendezvous hashing: the live host of the greatest weight looks after a key."""
    return int.from_bytes(hashlib.blake2b(f"{host}\0{key}".encode(), digest_size=8).digest(), "big")


class Presence:
    """This controller's own key, and whom it takes for alive."""

    def __init__(self, base: Base, grants: Grants) -> None:
        self.base = base
        self.grants = grants
        self.incarnation = 0
        """The state service's revision at which this process signed in: no other process has the same."""
        self.lease: int | None = None
        self.until_us = 0
        """Up to when the lease is surely there."""
        self._live_of: dict[str, Any] | None = None
        self._live: list[str] = []
        self._foremen: dict[str, str] = {}
        self._upgraded = False

    def run(self) -> Fiber[None]:
        base = self.base
        key = CONTROLLER + base.settings.host_name
        while True:
            if self.lease is None:
                asked_us = base.kernel.now_us
                reply: Reply = yield from base.store.open_lease(LEASE_US)
                if reply.status == 200:
                    lease = reply.body["permit"]
                    host = {"host": base.settings.host_name, "form": FORM}
                    sign_in = partial(Txn().put, key, host, lease)
                    _, reply = yield from base.store.commit(sign_in, 1, Urgency.KEEP_ALIVE, "sign in")
                    if reply.status == 200:
                        self.lease = lease
                        self.until_us = asked_us + LEASE_US
                        if not self.incarnation:
                            self.incarnation = reply.body["ledger"]
                            self.grants.begin(self.incarnation)
                            base.kernel.log("info", f"signed in as {base.settings.host_name}")
                if self.lease is None:
                    yield Sleep(SECOND_US // 2)
                    continue
            yield Sleep(RENEW_US)
            asked_us = base.kernel.now_us
            reply = yield from base.store.renew_lease(self.lease)
            if reply.status == 200:
                self.until_us = asked_us + LEASE_US
            elif reply.status == 404:
                self.lease = None

    def signed_in(self) -> bool:
        """Whether the lease, with all that hangs on it, is surely there still."""
        return self.lease is not None and self.base.kernel.now_us < self.until_us

    def upgraded(self) -> bool:
        """Whether all controllers of the settings have been seen to be of this version, at one time.

        From then on none of an older one is about, for nothing brings one back.
        """
        if not self._upgraded:
            seen = self.base.picture.controllers
            hosts = [self.base.settings.host_name, *(peer.host_name for peer in self.base.settings.others)]
            self._upgraded = all(seen.get(host, {}).get("form", 0) >= FORM for host in hosts)
        return self._upgraded

    def older(self) -> list[str]:
        """Live controllers of an older version: they drop what they do not know when they write a record anew."""
        return [host for host, value in self.base.picture.controllers.items() if value.get("form", 0) < FORM]

    def live(self) -> list[str]:
        if self._live_of is not self.base.picture.controllers:
            self._live_of = self.base.picture.controllers
            self._live = sorted({*self._live_of, self.base.settings.host_name})
            self._foremen.clear()
        return self._live

    def foreman(self, key: str) -> str:
        live = self.live()
        found = self._foremen.get(key)
        if found is None:
            if len(self._foremen) > MAX_FOREMEN:
                self._foremen.clear()
            found = self._foremen[key] = max(live, key=lambda host: weight(host, key))
        return found

    def owner_of(self, job_id: str, owner: str) -> str:
        """Who places a job: the controller that accepted it, or an heir when that one is gone."""
        live = self.live()
        return owner if owner in live else self.foreman(job_id)

    def mine(self, job: Job) -> bool:
        """Whether this controller places a job."""
        return self.owner_of(job.id, job.record.owner) == self.base.settings.host_name


REPORT_US = 60 * SECOND_US
"""Older reports are not told of."""
MUTE_WORDS = 4
"""A live peer that has missed so many words gives none: nobody knows which workers it hears."""
MOST_US = 10**15


class Word(msgspec.Struct):
    """What controllers tell one another."""

    host: str
    state_age_us: Annotated[int, msgspec.Meta(ge=0, le=MOST_US)] = MOST_US
    need: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 0.0
    heard: dict[str, Annotated[int, msgspec.Meta(ge=0, le=MOST_US)]] = {}
    """The age of the last report of each worker that it hears."""


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

    def __init__(self, base: Base, presence: Presence, reports: Callable[[], dict[str, int]]) -> None:
        """`reports` tells when each worker that reports here was last heard."""
        self.base = base
        self.presence = presence
        self._reports = reports
        self.peers = {p.host_name: PeerState(p.host_name, p.peer_addr) for p in base.settings.others}
        # Word costs both sides a request: the more peers there are, the seldomer each hears it.
        self.word_us = max(len(self.peers) * SECOND_US // 3, SECOND_US)
        self._used = 0
        self._need = 0.0

    def run(self, peer: PeerState) -> Fiber[None]:
        while True:
            yield from self._send(peer, self._word(peer.host))
            yield Sleep(self.word_us)

    def _word(self, host: str) -> dict[str, Any]:
        base = self.base
        # Only who runs the fleet has any use for the ages of reports, of each worker that there is.
        runner = base.picture.fleet[0].get("host") if base.picture.fleet is not None else None
        now = base.kernel.now_us
        ages = {name: now - at_us for name, at_us in self._reports().items()} if host == runner else {}
        return {
            "host": base.settings.host_name,
            "state_age_us": min(base.kernel.now_us - base.follower.read_us, MOST_US),
            "need": self._need,
            "heard": {name: age_us for name, age_us in ages.items() if age_us < REPORT_US},
        }

    def budget(self) -> Fiber[None]:
        """Share the state service's budgets with the other live controllers, the changes by need."""
        base = self.base
        base.follower.controllers = len(self.presence.live()) if base.follower.loaded else base.settings.cluster.nodes
        used, self._used = base.store.used - self._used, base.store.used
        # One that had to wait might have made many more: its need is taken to be the double, second by second.
        want = used + sum(amount for _, _, amount, _ in base.store.changes.waiting)
        if base.store.changes.throttled:
            base.store.changes.throttled = False
            want += used
        self._need = 0.5 * self._need + 0.5 * want
        if not base.follower.loaded:
            # Until the picture is read, assume that everybody is there.
            each = 1 / max(base.settings.cluster.nodes, 1)
            base.store.share(each, each)
            return
        live = self.presence.live()
        floor = FLOOR * base.settings.cluster.state.write_rps
        needs = [max(self.peers[host].need, floor) for host in live if host in self.peers]
        mine = max(self._need, floor)
        base.store.share(1 / len(live), mine / (mine + sum(needs)))
        return
        yield

    def _send(self, peer: PeerState, body: Any) -> Fiber[Reply]:
        reply: Reply = yield Call(peer.address, "POST", "/peer/word", body, SECOND_US)
        return reply

    def on_word(self, request_id: int, body: Any) -> None:
        kernel = self.base.kernel
        peer = self.peers.get(str(body.get("host"))) if isinstance(body, dict) else None
        if peer is None:
            kernel.answer(request_id, 400, {"error": "unknown peer"})
            return
        try:
            word = msgspec.convert(body, Word)
        except msgspec.ValidationError as error:
            kernel.answer(request_id, 400, {"error": str(error)[:200]})
            return
        if not math.isfinite(word.need):
            kernel.answer(request_id, 400, {"error": "need is not a finite number"})
            return
        peer.word_us = kernel.now_us
        peer.state_age_us = word.state_age_us
        peer.need = word.need
        peer.heard = {name: kernel.now_us - age_us for name, age_us in word.heard.items()}
        kernel.answer(request_id, 200, {})

    def better_connected(self, after_us: int = 3 * SECOND_US) -> str | None:
        """A peer that reads from the state service while this controller has not for that long."""
        if self.base.kernel.now_us - self.base.follower.read_us < after_us:
            return None
        connected = self.connected()
        return connected[0] if connected else None

    def connected(self) -> list[str]:
        """Peers that read from the state service, by their own word, the latest word first."""
        since_us = self.base.kernel.now_us - 3 * self.word_us
        peers = [p for p in self.peers.values() if p.word_us > since_us and p.state_age_us < 2 * SECOND_US]
        return [peer.host for peer in sorted(peers, key=lambda peer: -peer.word_us)]

    def last_heard(self) -> dict[str, int]:
        """When any controller that this one has word of last heard each worker."""
        heard = self._reports()
        for peer in self.peers.values():
            for name, at_us in peer.heard.items():
                if at_us > heard.get(name, 0):
                    heard[name] = at_us
        return heard

    def mute(self) -> set[str]:
        """Live peers that give no word, though they may well hear workers."""
        since_us = self.base.kernel.now_us - MUTE_WORDS * self.word_us
        live = self.presence.live()
        return {p.host for p in self.peers.values() if p.host in live and p.word_us < since_us}

    def all_word_us(self, mute: set[str]) -> int:
        """Up to when there is word from all live peers, but for the mute ones, that give none at all."""
        now = self.base.kernel.now_us
        live = self.presence.live()
        return min([p.word_us for p in self.peers.values() if p.host in live and p.host not in mute], default=now)
