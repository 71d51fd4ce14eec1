"""Who is there: a key under a lease in the state service, and word from the peers themselves."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from typing import Annotated, Any

import msgspec

from ashtray.base import Base
from ashtray.jobs.cancellations import CancellationStatement
from ashtray.jobs.model import Job
from ashtray.kernel import SECOND_US, Call, Fiber, Reply, Signal, Sleep, Wait
from ashtray.peers.announcements import CancellationAnnouncer
from ashtray.placement.state_keys import CONTROLLER, FLEET
from ashtray.standby.book import HEIRS, Book
from ashtray.standby.failure_detector import DOUBT_RECIPIENTS, FailureDetector
from ashtray.store.client import Txn, Urgency
from ashtray.teams.grants import Grants

FORM = 2
"""Stands in the presence of controllers of this version: what they read, write and can be told."""
WAITS, INTENTS = 1, 2
"""From which form on they know of jobs that wait on others and of groups being split; write down what they rent."""
FLOOR = 0.2
"""The part of an equal share of the changes that a controller may make at least, for what comes up of a sudden."""
LEASE_US = 6 * SECOND_US
RENEW_US = 1_500_000
MAX_FOREMEN = 20_000


def weight(host: str, key: str) -> int:
    """Rendezvous hashing: the live host of the greatest weight looks after a key."""
    return int.from_bytes(hashlib.blake2b(f"{host}\0{key}".encode(), digest_size=8).digest(), "big")


def by_weight(hosts: Iterable[str], key: str) -> list[str]:
    """Hosts in the order in which a key falls to them."""
    return sorted(hosts, key=lambda host: weight(host, key), reverse=True)


class Presence:
    """This controller's own key, and whom it takes for alive."""

    def __init__(self, base: Base, grants: Grants, failure_detector: FailureDetector) -> None:
        self.base = base
        self.grants = grants
        self.failure_detector = failure_detector
        self.incarnation = 0
        """The state service's revision at which this process signed in: no other process has the same."""
        self.lease: int | None = None
        self.until_us = 0
        """Up to when the lease is surely there."""
        self._signed_at = 0
        """The revision at which the key was last written."""
        self._live_of: dict[str, Any] | None = None
        self._live: list[str] = []
        self._able_of: tuple[list[str], frozenset[str]] | None = None
        self._able: list[str] = []
        self._foremen: dict[str, str] = {}
        self._upgraded = 0
        self.leaving = False
        """This process has been told to end: nothing is its duty any more."""

    def run(self) -> Fiber[None]:
        """Keep this controller signed in: open a lease, write the key under it, renew it, and open the next."""
        base = self.base
        key = CONTROLLER + base.settings.host_name
        opened: tuple[int, int] | None = None
        while not self.leaving:
            if self.lease is None:
                if opened is None or base.kernel.now_us - opened[1] > LEASE_US // 2:
                    # One that a sign-in failed on is used again: new ones would pile up in the state service.
                    at_us = base.kernel.now_us
                    asked: Reply = yield from base.store.open_lease(LEASE_US)
                    opened = (asked.body["permit"], at_us) if asked.status == 200 else None
                if opened is not None:
                    lease, asked_us = opened
                    host = {"host": base.settings.host_name, "form": FORM}
                    sign_in = partial(Txn().put, key, host, lease)
                    _, reply = yield from base.store.commit(sign_in, 1, Urgency.KEEP_ALIVE, "sign in")
                    if reply.status in (200, 400):
                        opened = None
                    if reply.status == 200:
                        self.lease = lease
                        self.until_us = asked_us + LEASE_US
                        self._signed_at = reply.body["ledger"]
                        if not self.incarnation:
                            self.incarnation = reply.body["ledger"]
                            self.grants.begin(self.incarnation)
                            base.kernel.log("info", f"signed in as {base.settings.host_name}")
                if self.lease is None:
                    yield Sleep(SECOND_US // 2)
                    continue
            yield Sleep(RENEW_US)
            if self.lease is None:
                continue
            asked_us = base.kernel.now_us
            renewed: Reply = yield from base.store.renew_lease(self.lease)
            if renewed.status == 200:
                self.until_us = asked_us + LEASE_US
                if self._unseen():
                    # Written once more under the same lease.
                    opened, self.lease = (self.lease, asked_us), None
            elif renewed.status == 404:
                self.lease = None
        yield Sleep(SECOND_US)

    def _unseen(self) -> bool:
        """Whether the key is gone though its lease is there.

        An earlier sign-in, of this process or the one before it, may be carried out late: it attaches the key to an
        older lease, and the end of that lease removes it.
        """
        follower = self.base.follower
        read = follower.loaded and follower.revision >= self._signed_at
        return read and self.base.settings.host_name not in self.base.cluster_state.controllers

    def leave(self) -> Fiber[None]:
        """Give the lease up, with all that hangs on it, so that others need not wait for its end."""
        self.leaving = True
        self._able_of = None
        lease, self.lease = self.lease, None
        if lease is not None:
            yield from self.base.store.close_lease(lease)

    def signed_in(self) -> bool:
        """Whether the lease, with all that hangs on it, is surely there still."""
        return self.lease is not None and self.base.kernel.now_us < self.until_us

    def upgraded(self, form: int = WAITS) -> bool:
        """Whether all controllers of the settings have been seen to be of that form at least, at one time.

        From then on none of an older one is about, for nothing brings one back.
        """
        if self._upgraded < form:
            seen = self.base.cluster_state.controllers
            hosts = [self.base.settings.host_name, *(peer.host_name for peer in self.base.settings.others)]
            self._upgraded = max(self._upgraded, min(seen.get(host, {}).get("form", 0) for host in hosts))
        return self._upgraded >= form

    def older(self) -> list[str]:
        """Live controllers of an older version: they drop what they do not know when they write a record anew."""
        return [host for host, value in self.base.cluster_state.controllers.items() if value.get("form", 0) < WAITS]

    def live(self) -> list[str]:
        """Who holds a lease: what must not be done by two at once goes by this."""
        if self._live_of is not self.base.cluster_state.controllers:
            self._live_of = self.base.cluster_state.controllers
            self._live = sorted({*self._live_of, self.base.settings.host_name})
        return self._live

    def able(self) -> list[str]:
        """Who holds a lease and is not suspected: what is safe with two at it goes by this."""
        live, away = self.live(), self.failure_detector.away
        if self._able_of is None or self._able_of[0] is not live or self._able_of[1] is not away:
            self._able_of = live, away
            own = self.base.settings.host_name
            self._able = [host for host in live if host not in away or host == own]
            if self.leaving and len(self._able) > 1:
                self._able.remove(own)
            self._foremen.clear()
        return self._able

    def foreman(self, key: str) -> str:
        """The live controller that looks after a key, by rendezvous hashing."""
        able = self.able()
        found = self._foremen.get(key)
        if found is None:
            if len(self._foremen) > MAX_FOREMEN:
                self._foremen.clear()
            found = self._foremen[key] = max(able, key=lambda host: weight(host, key))
        return found

    def heirs(self, key: str, number: int) -> list[str]:
        """The first that a duty falls to when this controller is gone."""
        own = self.base.settings.host_name
        return by_weight((host for host in self.able() if host != own), key)[:number]

    def owner_of(self, job_id: str, owner: str) -> str:
        """Who places a job: the controller that accepted it, or an heir when that one is gone."""
        return owner if owner in self.able() else self.foreman(job_id)

    def mine(self, job: Job) -> bool:
        """Whether this controller places a job."""
        return self.owner_of(job.id, job.record.owner) == self.base.settings.host_name


REPORT_US = 60 * SECOND_US
"""Older reports are not told of."""
MUTE_WORDS = 4
"""A live peer that has missed so many words gives none: nobody knows which workers it hears."""
MOST_US = 10**15
NUDGE_US = 50_000
GONE_US = 3 * SECOND_US // 2
"""Until so long after the end of its lease others may take a controller for alive: it ends late, and is read of."""


def word_us(others: int) -> int:
    """The pause between two words: they cost both sides a request, so the more peers, the seldomer each hears one."""
    return max(others * SECOND_US // 3, SECOND_US)


def part_of(total: float, mine: float, others: Iterable[float]) -> float:
    """What one gets of a budget that all share by need: its max-min fair part (Bertsekas and Gallager, 1992).

    Nobody gets more than it needs before all have what they need, or an equal part of the rest; what is left over
    then is shared out equally, for what comes up of a sudden.  In proportion to the needs, which are seen by what was
    used, one that had begun with little stayed with little: found on a simulated day, one change of a controller that
    had just started waited for 36 s, while a third of all was left unused.
    """
    needs = sorted([mine, *others])
    left, own = total, 0.0
    for n, need in enumerate(needs):
        part = min(need, left / (len(needs) - n))
        left -= part
        if need == mine:
            own = part
    return own + left / len(needs)


class Word(msgspec.Struct):
    """What controllers tell one another."""

    host: str
    state_age_us: Annotated[int, msgspec.Meta(ge=0, le=MOST_US)] = MOST_US
    need: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 0.0
    heard: dict[str, Annotated[int, msgspec.Meta(ge=0, le=MOST_US)]] = {}
    """The age of the last report of each worker that it hears."""
    doubts: list[str] = []
    """Whom it doubts, by evidence of its own: see `standby/failure_detector.py`."""
    revision: Annotated[int, msgspec.Meta(ge=0)] | None = None
    """Up to which revision of the state service it has read; the answer states the cancellations beyond it."""
    book: Book | None = None
    """What the fleet's runner knows, for its heirs: see `standby/book.py`."""


@dataclass
class PeerState:
    """What is known of one peer, by its own heartbeats and by the calls to it."""

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

    def __init__(
        self,
        base: Base,
        presence: Presence,
        reports: Callable[[], dict[str, int]],
        moved: Callable[[], None] = lambda: None,
        stated: Callable[[str, int, list[str]], None] = lambda host, asked_us, cancelled: None,
        settle: Callable[[list[str]], Fiber[list[str]]] | None = None,
        void_elsewhere: Callable[[str, set[str]], Fiber[None]] | None = None,
    ) -> None:
        """Tell peers what this controller knows, and take in what they say.

        `reports` tells when each worker that reports here was last heard.  `moved` is called when duties move.
        `stated` is called with each complete statement of cancellations: by whom, when it was asked, and the jobs.
        """
        self.base = base
        self.presence = presence
        self.failure_detector = presence.failure_detector
        self.write_book: Callable[[], Book | None] = lambda: None
        """What the runner of the fleet tells its heirs."""
        self.book: tuple[Book, int] | None = None
        """The last that came, and when."""
        self._moved = moved
        self._stated = stated
        self._reports = reports
        self.peers = {p.host_name: PeerState(p.host_name, p.peer_addr) for p in base.settings.others}
        addresses = [peer.address for peer in self.peers.values()]
        self.announcer = CancellationAnnouncer(base.kernel, addresses, settle, void_elsewhere)
        self.word_us = self.failure_detector.heartbeat_interval_us
        self._doubts: set[str] = set()
        """Whom this controller doubted when it last looked."""
        self._nudges = {host: Signal() for host in self.peers}
        self._used = 0
        self._need = base.settings.cluster.state.write_rps / max(base.settings.cluster.nodes, 1)
        """Changes a second that it would like to make; one that has just started has many to make."""

    def run(self, peer: PeerState) -> Fiber[None]:
        """Send a peer this controller's heartbeats, and take in its answers."""
        kernel = self.base.kernel
        while True:
            asked_us = kernel.now_us
            reply = yield from self._send(peer, self._word(peer.host))
            self._take_statement(peer.host, asked_us, reply)
            self.failure_detector.called(peer.host, reply.refused, reply.status != 0)
            self.judge()
            # One that refuses is asked again as soon as that would show something.
            doubt_us = self.failure_detector.until_doubt_us(peer.host, kernel.now_us, kernel.awake_us)
            pause_us = min(doubt_us + NUDGE_US, self.word_us) if reply.refused and doubt_us else self.word_us
            yield Wait(self._nudges[peer.host], pause_us)
            # Two that nudge each other must not chatter.
            yield Sleep(NUDGE_US)

    def _near(self, host: str) -> list[str]:
        """The peers that are the first to inherit from one."""
        return by_weight((other for other in self.peers if other != host), host)[:DOUBT_RECIPIENTS]

    def _nudge(self, hosts: Iterable[str]) -> None:
        for host in hosts:
            self.base.kernel.fire(self._nudges[host])

    def judge(self) -> None:
        """See who is away: suspected, or unable to read the state service by its own word."""
        kernel = self.base.kernel
        doubts = set(self.failure_detector.doubts(kernel.now_us, kernel.awake_us))
        for host in doubts - self._doubts:
            # Told at once, so that others look for themselves.
            self._nudge(self._near(host))
        self._doubts = doubts
        before = self.failure_detector.away
        own_age_us = kernel.now_us - self.base.follower.read_us
        away = self.failure_detector.judge(kernel.now_us, kernel.awake_us, self.presence.live(), own_age_us)
        if away is before:
            return
        for host in sorted(away - before):
            kernel.log("info", f"{host} gives no sign, or cannot read: its duties move")
        for host in sorted(before - away):
            kernel.log("info", f"{host} is no longer suspected")
        self._moved()

    def _word(self, host: str) -> dict[str, Any]:
        base = self.base
        # Only who runs the fleet has any use for the ages of reports, of each worker that there is.
        runner = base.cluster_state.fleet[0].get("host") if base.cluster_state.fleet is not None else None
        now = base.kernel.now_us
        ages = {name: now - at_us for name, at_us in self._reports().items()} if host == runner else {}
        doubts = self.failure_detector.doubts(now, base.kernel.awake_us)
        word: dict[str, Any] = {"doubts": doubts} if doubts else {}
        if runner == base.settings.host_name and host in self.presence.heirs(FLEET, HEIRS):
            book = self.write_book()
            if book is not None:
                word["book"] = msgspec.to_builtins(book)
        if base.follower.loaded:
            word["revision"] = base.follower.revision
        return word | {
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
            # Until the cluster state is read, assume that everybody is there.
            each = 1 / max(base.settings.cluster.nodes, 1)
            base.store.share(each, each)
            return
        live = self.presence.live()
        write_rps = base.settings.cluster.state.write_rps
        floor = FLOOR * write_rps / len(live)
        needs = [max(self.peers[host].need, floor) for host in live if host in self.peers]
        base.store.share(1 / len(live), part_of(write_rps, max(self._need, floor), needs) / write_rps)
        return
        yield

    def _send(self, peer: PeerState, body: Any) -> Fiber[Reply]:
        reply: Reply = yield Call(peer.address, "POST", "/peer/word", body, SECOND_US)
        return reply

    def _take_statement(self, host: str, asked_us: int, reply: Reply) -> None:
        """Take in a peer's answer to a word; a version without statements answers with none."""
        if reply.status != 200:
            return
        try:
            statement = msgspec.convert(reply.body, CancellationStatement)
        except msgspec.ValidationError:
            return
        if statement.complete:
            self._stated(host, asked_us, statement.cancelled)

    def _statement(self, beyond: int | None) -> CancellationStatement:
        """The cancellations beyond a revision that users may have been told of by this controller."""
        follower = self.base.follower
        followed_from = follower.followed_from if follower.loaded else None
        return self.base.cluster_state.cancellations.statement(followed_from, beyond)

    def on_word(self, request_id: int, body: Any) -> None:
        """Answer a peer's heartbeat, and note what it says; 400 if it is malformed or its sender unknown."""
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
        # What it heard stays true when it hears the worker no longer, or is a process that has just begun: found on
        # simulated days, a controller that was back at once had heard nobody, and 204 healthy machines were deleted.
        since_us = kernel.now_us - REPORT_US
        heard = {name: at_us for name, at_us in peer.heard.items() if at_us > since_us}
        for name, age_us in word.heard.items():
            heard[name] = max(heard.get(name, 0), kernel.now_us - age_us)
        peer.heard = heard
        if word.book is not None:
            self.book = word.book, kernel.now_us
        self.failure_detector.heartbeat(peer.host, kernel.now_us, word.state_age_us, word.doubts)
        self._nudge(self.failure_detector.peers_to_probe(kernel.now_us))
        self.judge()
        kernel.answer(request_id, 200, msgspec.to_builtins(self._statement(word.revision)))

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

    def alone(self, after_us: int) -> bool:
        """Whether neither the state service nor any peer has answered or been heard for so long.

        In an outage of the state service peers still give word, so this one has lost them all: it cannot know that,
        but only what is safe if they have all ended may follow from it.
        """
        since_us = self.base.kernel.now_us - after_us
        last_us = max((peer.word_us for peer in self.peers.values()), default=since_us)
        return last_us < since_us and self.base.follower.read_us < since_us

    def given_up(self, key: str) -> str | None:
        """Who looks after a key once this controller's lease has ended, if it is alone; others take it over then."""
        kernel = self.base.kernel
        if kernel.now_us < self.presence.until_us + GONE_US or not self.alone(GONE_US):
            return None
        return next(iter(self.presence.heirs(key, 1)), None)

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
