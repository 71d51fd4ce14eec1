"""Which controllers are running: keys under leases in the state service, and heartbeats between the controllers."""

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
from ashtray.kernel import SECOND_US, Call, Coroutine, Reply, Signal, Sleep, Wait
from ashtray.peers.announcements import CancellationAnnouncer
from ashtray.placement.state_keys import CONTROLLER, FLEET
from ashtray.standby.failure_detector import DOUBT_RECIPIENTS, FailureDetector
from ashtray.standby.leader_notes import SUCCESSORS, LeaderNotes
from ashtray.store.rate_limiter import Urgency
from ashtray.store.transaction import Txn
from ashtray.teams.grants import Grants

PROTOCOL_VERSION = 2
"""The protocol version that a controller of this release states in its presence key: what it can read and write."""
DEPENDENCIES_VERSION, INTENTS = 1, 2
"""The versions from which on controllers know jobs that wait on other jobs and groups that are being split, and from
which on they record rental intents."""
MIN_BUDGET_SHARE = 0.2
"""The part of an equal share of the write budget that each controller gets at least, for sudden demand."""
LEASE_US = 6 * SECOND_US
RENEW_US = 1_500_000
MAX_CACHED_OWNERS = 20_000


def rendezvous_weight(host: str, key: str) -> int:
    """Return a host's weight for a key in rendezvous hashing: the live host of the greatest weight owns the key."""
    return int.from_bytes(hashlib.blake2b(f"{host}\0{key}".encode(), digest_size=8).digest(), "big")


def by_weight(hosts: Iterable[str], key: str) -> list[str]:
    """Return the hosts in the order in which they take over a key."""
    return sorted(hosts, key=lambda host: rendezvous_weight(host, key), reverse=True)


class Presence:
    """Keeps this controller's presence key, and decides which controllers are live and which of them owns a duty."""

    def __init__(self, base: Base, grants: Grants, failure_detector: FailureDetector) -> None:
        self.base = base
        self.grants = grants
        self.failure_detector = failure_detector
        self.incarnation = 0
        """The state service's revision at which this process first signed in, unique to the process; 0: not yet."""
        self.lease: int | None = None
        self.lease_until_us = 0
        """Until when the lease is certain to be held."""
        self._signed_in_revision = 0
        """The revision at which the presence key was last written."""
        self._live_source: dict[str, Any] | None = None
        self._live: list[str] = []
        self._available_source: tuple[list[str], frozenset[str]] | None = None
        self._available: list[str] = []
        self._responsible: dict[str, str] = {}
        self._upgraded = 0
        self.shutting_down = False
        """This process has been told to end and owns no duty any more."""

    def run(self) -> Coroutine[None]:
        """Keep this controller signed in: open a lease, write the key under it, renew it, and replace a lost one."""
        base = self.base
        key = CONTROLLER + base.settings.host_name
        opened: tuple[int, int] | None = None
        while not self.shutting_down:
            if self.lease is None:
                if opened is None or base.kernel.now_us - opened[1] > LEASE_US // 2:
                    # A lease whose sign-in failed is used again.  Otherwise unused leases pile up in the state
                    # service.
                    at_us = base.kernel.now_us
                    opened_reply: Reply = yield from base.store.open_lease(LEASE_US)
                    opened = (opened_reply.body["permit"], at_us) if opened_reply.status == 200 else None
                if opened is not None:
                    lease, asked_us = opened
                    host = {"host": base.settings.host_name, "form": PROTOCOL_VERSION}
                    sign_in = partial(Txn().put, key, host, lease)
                    _, reply = yield from base.store.commit(sign_in, 1, Urgency.KEEP_ALIVE, "sign in")
                    if reply.status in (200, 400):
                        opened = None
                    if reply.status == 200:
                        self.lease = lease
                        self.lease_until_us = asked_us + LEASE_US
                        self._signed_in_revision = reply.body["ledger"]
                        if not self.incarnation:
                            self.incarnation = reply.body["ledger"]
                            self.grants.note_sign_in(self.incarnation)
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
                self.lease_until_us = asked_us + LEASE_US
                if self._key_lost():
                    # The key is written again under the same lease.
                    opened, self.lease = (self.lease, asked_us), None
            elif renewed.status == 404:
                self.lease = None
        yield Sleep(SECOND_US)

    def _key_lost(self) -> bool:
        """Whether the presence key is missing although its lease is held.

        An earlier sign-in, of this process or of its predecessor, may be carried out late: it attaches the key to an
        older lease, and the end of that lease removes the key.
        """
        follower = self.base.follower
        read = follower.loaded and follower.revision >= self._signed_in_revision
        return read and self.base.settings.host_name not in self.base.cluster_state.controllers

    def leave(self) -> Coroutine[None]:
        """Close the lease, which removes the keys attached to it, so that peers need not wait for its expiry."""
        self.shutting_down = True
        self._available_source = None
        lease, self.lease = self.lease, None
        if lease is not None:
            yield from self.base.store.close_lease(lease)

    def signed_in(self) -> bool:
        """Whether the lease, with the keys attached to it, is certain to be held."""
        return self.lease is not None and self.base.kernel.now_us < self.lease_until_us

    def upgraded(self, version: int = DEPENDENCIES_VERSION) -> bool:
        """Whether all controllers of the settings have been seen at one time with at least a protocol version.

        From then on no controller of an older version runs, since no controller is downgraded.
        """
        if self._upgraded < version:
            seen = self.base.cluster_state.controllers
            hosts = [self.base.settings.host_name, *(peer.host_name for peer in self.base.settings.others)]
            self._upgraded = max(self._upgraded, min(seen.get(host, {}).get("form", 0) for host in hosts))
        return self._upgraded >= version

    def outdated_peers(self) -> list[str]:
        """Return the live controllers older than `DEPENDENCIES_VERSION`.

        When they rewrite a record they drop the fields that they do not know.
        """
        return [
            host
            for host, value in self.base.cluster_state.controllers.items()
            if value.get("form", 0) < DEPENDENCIES_VERSION
        ]

    def live(self) -> list[str]:
        """Return the controllers that hold a lease, this one included.

        Duties that two controllers must not perform at once are assigned by this list.
        """
        if self._live_source is not self.base.cluster_state.controllers:
            self._live_source = self.base.cluster_state.controllers
            self._live = sorted({*self._live_source, self.base.settings.host_name})
        return self._live

    def available(self) -> list[str]:
        """Return the controllers that hold a lease and are neither suspected nor unable to read.

        Duties that two controllers may safely perform at once are assigned by this list.
        """
        live, unavailable = self.live(), self.failure_detector.unavailable
        if (
            self._available_source is None
            or self._available_source[0] is not live
            or self._available_source[1] is not unavailable
        ):
            self._available_source = live, unavailable
            own_host = self.base.settings.host_name
            self._available = [host for host in live if host not in unavailable or host == own_host]
            if self.shutting_down and len(self._available) > 1:
                self._available.remove(own_host)
            self._responsible.clear()
        return self._available

    def responsible_controller(self, key: str) -> str:
        """Return the available controller that owns a key by rendezvous hashing."""
        available = self.available()
        found = self._responsible.get(key)
        if found is None:
            if len(self._responsible) > MAX_CACHED_OWNERS:
                self._responsible.clear()
            found = self._responsible[key] = max(available, key=lambda host: rendezvous_weight(host, key))
        return found

    def successors(self, key: str, number: int) -> list[str]:
        """Return the first `number` controllers that would take over a duty from this one, in order."""
        own_host = self.base.settings.host_name
        return by_weight((host for host in self.available() if host != own_host), key)[:number]

    def owner_of(self, job_id: str, owner: str) -> str:
        """Return the controller that places a job: the one that accepted it, or that one's successor."""
        return owner if owner in self.available() else self.responsible_controller(job_id)

    def mine(self, job: Job) -> bool:
        """Whether this controller places a job."""
        return self.owner_of(job.id, job.record.owner) == self.base.settings.host_name


MAX_REPORT_AGE_US = 60 * SECOND_US
"""Reports of workers that are older are left out of heartbeats."""
SILENT_PEER_INTERVALS = 4
"""Heartbeat intervals after which a live peer without a heartbeat counts as silent: which workers report to it is
unknown."""
MAX_AGE_US = 10**15
"""The largest age that a heartbeat may state; it also stands for "never read"."""
MIN_HEARTBEAT_PAUSE_US = 50_000
"""The least time between two heartbeats to a peer, also when one is sent early."""
LEASE_END_MARGIN_US = 3 * SECOND_US // 2
"""For how long after the computed expiry of a controller's lease its peers may still see it as live: the state
service may end the lease late, and the peers read of the end with a delay."""


def heartbeat_interval_us(others: int) -> int:
    """Return the interval between two heartbeats to one peer, in microseconds.

    Each heartbeat costs both sides a request, so the interval grows with the number of peers.
    """
    return max(others * SECOND_US // 3, SECOND_US)


def fair_share(total: float, mine: float, others: Iterable[float]) -> float:
    """Return one controller's max-min fair share of a budget (Bertsekas and Gallager, 1992).

    No controller gets more than its demand until every other one has its own demand or an equal share of the rest.
    What is then left over is divided equally, for sudden demand.

    Shares in proportion to demand would be wrong: demand is estimated from use, so a controller that starts with a
    small share would keep it.  A single write of a controller that has just started would wait for 36 s while a third
    of the budget is unused.
    """
    needs = sorted([mine, *others])
    left, own_share = total, 0.0
    for n, need in enumerate(needs):
        share = min(need, left / (len(needs) - n))
        left -= share
        if need == mine:
            own_share = share
    return own_share + left / len(needs)


class Heartbeat(msgspec.Struct):
    """The message that controllers send each other periodically."""

    host: str
    state_age_us: Annotated[int, msgspec.Meta(ge=0, le=MAX_AGE_US)] = MAX_AGE_US
    need: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 0.0
    heard: dict[str, Annotated[int, msgspec.Meta(ge=0, le=MAX_AGE_US)]] = {}
    """The age of the last report of each worker that reports to the sender."""
    doubts: list[str] = []
    """The peers that the sender doubts on its own evidence: see `standby/failure_detector.py`."""
    revision: Annotated[int, msgspec.Meta(ge=0)] | None = None
    """Up to which revision the sender has read the state service; the answer states the later cancellations."""
    book: LeaderNotes | None = None
    """What the fleet leader knows, sent to its successors: see `standby/leader_notes.py`."""


@dataclass
class PeerState:
    """What the heartbeats of one peer have told."""

    host: str
    address: str
    heartbeat_us: int = -(10**15)
    """When its last heartbeat came."""
    state_age_us: int = 10**15
    """How old its last read of the state service was at that time."""
    need: float = 0.0
    """The writes per second that it wants to make."""
    heard: dict[str, int] = field(default_factory=dict)
    """When each worker last reported to it, by this controller's clock."""


class Peers:
    """Sends heartbeats to the peers and takes in theirs.

    Heartbeats tell which workers report to whom, who can read the state service, who doubts whom, and how much write
    budget each controller wants.
    """

    def __init__(
        self,
        base: Base,
        presence: Presence,
        reports: Callable[[], dict[str, int]],
        on_duties_moved: Callable[[], None] = lambda: None,
        on_statement: Callable[[str, int, list[str]], None] = lambda host, asked_us, cancelled: None,
        wait_until_launches_void: Callable[[list[str]], Coroutine[list[str]]] | None = None,
        void_unclaimed_launches: Callable[[str, set[str]], Coroutine[None]] | None = None,
    ) -> None:
        """Create the exchange with the peers of the settings.

        `reports` returns when each worker that reports to this controller last did so.  `on_duties_moved` is called
        when duties change their owner.  `on_statement` is called with each complete statement of cancellations: the
        peer, when it was asked, and the job ids.  `wait_until_launches_void` and `void_unclaimed_launches` are those
        of `CancellationAnnouncer`.
        """
        self.base = base
        self.presence = presence
        self.failure_detector = presence.failure_detector
        self.make_leader_notes: Callable[[], LeaderNotes | None] = lambda: None
        """Returns what the fleet leader tells its successors; None if this controller is not the leader."""
        self.leader_notes: tuple[LeaderNotes, int] | None = None
        """The last notes that came, and when."""
        self._on_duties_moved = on_duties_moved
        self._on_statement = on_statement
        self._reports = reports
        self.peers = {p.host_name: PeerState(p.host_name, p.peer_addr) for p in base.settings.others}
        addresses = [peer.address for peer in self.peers.values()]
        self.announcer = CancellationAnnouncer(
            base.kernel, addresses, wait_until_launches_void, void_unclaimed_launches
        )
        self.heartbeat_interval_us = self.failure_detector.heartbeat_interval_us
        self._last_doubts: set[str] = set()
        """The peers that this controller doubted at the last evaluation."""
        self._wake_signals = {host: Signal() for host in self.peers}
        self._last_used = 0
        self._write_demand = base.settings.cluster.state.write_rps / max(base.settings.cluster.nodes, 1)
        """The writes per second that this controller wants; at first an equal share, since a start needs many."""

    def run(self, peer: PeerState) -> Coroutine[None]:
        """Send heartbeats to a peer indefinitely, and take in its answers."""
        kernel = self.base.kernel
        while True:
            asked_us = kernel.now_us
            reply = yield from self._send(peer, self._heartbeat(peer.host))
            self._take_statement(peer.host, asked_us, reply)
            self.failure_detector.called(peer.host, reply.refused, reply.status != 0)
            self.evaluate()
            # A peer that refused the connection is called again as soon as another refusal would be evidence.
            doubt_us = self.failure_detector.until_doubt_us(peer.host, kernel.now_us, kernel.not_stalled_since_us)
            pause_us = (
                min(doubt_us + MIN_HEARTBEAT_PAUSE_US, self.heartbeat_interval_us)
                if reply.refused and doubt_us
                else self.heartbeat_interval_us
            )
            yield Wait(self._wake_signals[peer.host], pause_us)
            # Two controllers that wake each other's sender must not send without pause.
            yield Sleep(MIN_HEARTBEAT_PAUSE_US)

    def _first_successors(self, host: str) -> list[str]:
        """Return the peers that are the first to take over duties of a host."""
        return by_weight((other for other in self.peers if other != host), host)[:DOUBT_RECIPIENTS]

    def _wake_senders(self, hosts: Iterable[str]) -> None:
        for host in hosts:
            self.base.kernel.fire(self._wake_signals[host])

    def evaluate(self) -> None:
        """Re-evaluate which peers are suspected or unable to read the state service; report a change of duties."""
        kernel = self.base.kernel
        doubts = set(self.failure_detector.doubts(kernel.now_us, kernel.not_stalled_since_us))
        for host in doubts - self._last_doubts:
            # New doubts are sent at once, so that these peers probe the host themselves.
            self._wake_senders(self._first_successors(host))
        self._last_doubts = doubts
        before = self.failure_detector.unavailable
        own_age_us = kernel.now_us - self.base.follower.read_us
        unavailable = self.failure_detector.evaluate(
            kernel.now_us, kernel.not_stalled_since_us, self.presence.live(), own_age_us
        )
        if unavailable is before:
            return
        for host in sorted(unavailable - before):
            kernel.log("info", f"{host} gives no sign, or cannot read the state service: others take over its duties")
        for host in sorted(before - unavailable):
            kernel.log("info", f"{host} is no longer suspected")
        self._on_duties_moved()

    def _heartbeat(self, host: str) -> dict[str, Any]:
        base = self.base
        # Only the fleet leader needs the report ages of all workers.
        leader = base.cluster_state.fleet[0].get("host") if base.cluster_state.fleet is not None else None
        now = base.kernel.now_us
        ages = {name: now - at_us for name, at_us in self._reports().items()} if host == leader else {}
        doubts = self.failure_detector.doubts(now, base.kernel.not_stalled_since_us)
        heartbeat: dict[str, Any] = {"doubts": doubts} if doubts else {}
        if leader == base.settings.host_name and host in self.presence.successors(FLEET, SUCCESSORS):
            notes = self.make_leader_notes()
            if notes is not None:
                heartbeat["book"] = msgspec.to_builtins(notes)
        if base.follower.loaded:
            heartbeat["revision"] = base.follower.revision
        return heartbeat | {
            "host": base.settings.host_name,
            "state_age_us": min(base.kernel.now_us - base.follower.read_us, MAX_AGE_US),
            "need": self._write_demand,
            "heard": {name: age_us for name, age_us in ages.items() if age_us < MAX_REPORT_AGE_US},
        }

    def budget(self) -> Coroutine[None]:
        """Divide the state service's budgets among the live controllers: requests equally, writes by demand.

        Is called once a second.
        """
        base = self.base
        base.follower.controllers = len(self.presence.live()) if base.follower.loaded else base.settings.cluster.nodes
        used, self._last_used = base.store.used - self._last_used, base.store.used
        # A controller that had to wait could have written more: its estimated demand doubles every second.
        demand = used + sum(amount for _, _, amount, _ in base.store.writes.waiting)
        if base.store.writes.throttled:
            base.store.writes.throttled = False
            demand += used
        self._write_demand = 0.5 * self._write_demand + 0.5 * demand
        if not base.follower.loaded:
            # Until the cluster state has been read, assume that all controllers are live.
            equal_share = 1 / max(base.settings.cluster.nodes, 1)
            base.store.share(equal_share, equal_share)
            return
        live = self.presence.live()
        write_rps = base.settings.cluster.state.write_rps
        least = MIN_BUDGET_SHARE * write_rps / len(live)
        needs = [max(self.peers[host].need, least) for host in live if host in self.peers]
        base.store.share(1 / len(live), fair_share(write_rps, max(self._write_demand, least), needs) / write_rps)
        return
        yield

    def _send(self, peer: PeerState, body: Any) -> Coroutine[Reply]:
        reply: Reply = yield Call(peer.address, "POST", "/peer/word", body, SECOND_US)
        return reply

    def _take_statement(self, host: str, asked_us: int, reply: Reply) -> None:
        """Take in the statement in a peer's answer to a heartbeat; peers of an older version send none."""
        if reply.status != 200:
            return
        try:
            statement = msgspec.convert(reply.body, CancellationStatement)
        except msgspec.ValidationError:
            return
        if statement.complete:
            self._on_statement(host, asked_us, statement.cancelled)

    def _statement(self, beyond: int | None) -> CancellationStatement:
        """Return the cancellations after revision `beyond` that this controller may have confirmed to users."""
        follower = self.base.follower
        followed_from = follower.followed_from if follower.loaded else None
        return self.base.cluster_state.cancellations.statement(followed_from, beyond)

    def on_heartbeat(self, request_id: int, body: Any) -> None:
        """Take in a peer's heartbeat and answer it; with 400 if it is malformed or its sender is unknown."""
        kernel = self.base.kernel
        peer = self.peers.get(str(body.get("host"))) if isinstance(body, dict) else None
        if peer is None:
            kernel.answer(request_id, 400, {"error": "unknown peer"})
            return
        try:
            message = msgspec.convert(body, Heartbeat)
        except msgspec.ValidationError as error:
            kernel.answer(request_id, 400, {"error": str(error)[:200]})
            return
        if not math.isfinite(message.need):
            kernel.answer(request_id, 400, {"error": "need is not a finite number"})
            return
        peer.heartbeat_us = kernel.now_us
        peer.state_age_us = message.state_age_us
        peer.need = message.need
        # Earlier report times stay valid when a worker no longer reports to this peer, or when the peer has
        # restarted.  Otherwise a controller that restarts quickly counts as having heard no worker, and healthy
        # machines are deleted (204 on one simulated day).
        since_us = kernel.now_us - MAX_REPORT_AGE_US
        heard = {name: at_us for name, at_us in peer.heard.items() if at_us > since_us}
        for name, age_us in message.heard.items():
            heard[name] = max(heard.get(name, 0), kernel.now_us - age_us)
        peer.heard = heard
        if message.book is not None:
            self.leader_notes = message.book, kernel.now_us
        self.failure_detector.heartbeat(peer.host, kernel.now_us, message.state_age_us, message.doubts)
        self._wake_senders(self.failure_detector.peers_to_probe(kernel.now_us))
        self.evaluate()
        kernel.answer(request_id, 200, msgspec.to_builtins(self._statement(message.revision)))

    def better_connected(self, after_us: int = 3 * SECOND_US) -> str | None:
        """Return a peer that can read the state service, if this controller has not read it for `after_us`."""
        if self.base.kernel.now_us - self.base.follower.read_us < after_us:
            return None
        connected = self.connected()
        return connected[0] if connected else None

    def connected(self) -> list[str]:
        """Return the peers whose heartbeats say that they can read the state service, the latest heartbeat first."""
        since_us = self.base.kernel.now_us - 3 * self.heartbeat_interval_us
        peers = [p for p in self.peers.values() if p.heartbeat_us > since_us and p.state_age_us < 2 * SECOND_US]
        return [peer.host for peer in sorted(peers, key=lambda peer: -peer.heartbeat_us)]

    def isolated(self, after_us: int) -> bool:
        """Whether this controller has neither read the state service nor heard a peer for `after_us`.

        In an outage of the state service alone the peers still send heartbeats, so this controller is cut off, or all
        its peers have ended.  It cannot tell which: the caller may only do what is safe in both cases.
        """
        since_us = self.base.kernel.now_us - after_us
        last_us = max((peer.heartbeat_us for peer in self.peers.values()), default=since_us)
        return last_us < since_us and self.base.follower.read_us < since_us

    def successor_if_isolated(self, key: str) -> str | None:
        """Return the peer that owns a key after the lease of this isolated controller has expired.

        None while the lease may still be seen as held, while this controller is not isolated, or if no peer is left.
        """
        kernel = self.base.kernel
        if kernel.now_us < self.presence.lease_until_us + LEASE_END_MARGIN_US or not self.isolated(
            LEASE_END_MARGIN_US
        ):
            return None
        return next(iter(self.presence.successors(key, 1)), None)

    def last_heard(self) -> dict[str, int]:
        """Return when each worker last reported to any controller, as far as the heartbeats tell."""
        heard = self._reports()
        for peer in self.peers.values():
            for name, at_us in peer.heard.items():
                if at_us > heard.get(name, 0):
                    heard[name] = at_us
        return heard

    def silent_peers(self) -> set[str]:
        """Return the live peers that send no heartbeats; workers may still report to them."""
        since_us = self.base.kernel.now_us - SILENT_PEER_INTERVALS * self.heartbeat_interval_us
        live = self.presence.live()
        return {p.host for p in self.peers.values() if p.host in live and p.heartbeat_us < since_us}

    def all_heard_until_us(self, silent: set[str]) -> int:
        """Return the time up to which all live peers other than the silent ones have sent heartbeats."""
        now = self.base.kernel.now_us
        live = self.presence.live()
        return min(
            [p.heartbeat_us for p in self.peers.values() if p.host in live and p.host not in silent], default=now
        )
