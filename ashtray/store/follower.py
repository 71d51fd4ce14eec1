"""Keeps the cluster state up to date with the records under a prefix, and tells callers how fresh it is."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from ashtray.kernel import SECOND_US, Coroutine, Kernel, Reply, Signal, Sleep, Wait
from ashtray.store.client import StoreClient
from ashtray.store.rate_limiter import Urgency
from ashtray.store.transaction import CommitOutcome, Txn

FOLLOW_SHARE = 0.15
"""The part of the state service's request rate that all controllers together spend on following while no caller needs
an urgent round.  Each round also costs processor time."""
MIN_ROUND_US = 150_000
"""The least time from the start of one round to the next."""
MAX_DELAY_US = 2 * SECOND_US
"""The longest delay that is added to a pause while this process is behind with its inputs."""
REFRESH_TIMEOUT_US = 500_000
"""How long a commit waits at most for a refresh of the cluster state."""
SHARED_URGENCIES = (Urgency.FOLD, Urgency.PLACE)
"""The urgencies of writes to records that several controllers write."""


class Mirror(Protocol):
    """The store of records that a follower keeps up to date."""

    def clear(self) -> None:
        """Forget all records; they are read again."""

    def put(self, key: str, value: Any, version: int) -> None:
        """Store a record that was written with this version."""

    def remove(self, key: str, version: int) -> None:
        """Delete a record that was removed at this revision."""

    def read(self, revision: int) -> None:
        """Note that all changes up to this revision were passed on, and of the later ones only this process's."""


class Follower:
    """Reads the records under `start` once, then polls the changes under `prefix`.

    `start` lies under `prefix`: records that accumulate with history are never read, but changes to them are seen.

    Each poll is a round.  A round that begins after a caller's request is a barrier for this caller: everything
    committed before the request is in the cluster state afterwards.  One round serves all waiting callers.
    """

    def __init__(
        self,
        kernel: Kernel,
        store: StoreClient,
        prefix: str,
        start: str,
        mirror: Mirror,
        changed: Callable[[], None],
    ) -> None:
        self.kernel = kernel
        self.store = store
        self.prefix = prefix
        self.start = start
        self.mirror = mirror
        self.changed = changed
        self.revision = 0
        self.followed_from = 0
        """The revision from which on every change has been seen, if the cluster state is loaded."""
        self.controllers = 1
        """The number of controllers that follow and share the request budget."""
        self.loaded = False
        """All records and the changes since have been read."""
        self._paged = False
        """All pages under `start` have been read."""
        self.read_us = -(10**15)
        """When the last successful round began."""
        self.failed_since_us: int | None = None
        self._waiters: list[Signal] = []
        self._wake_signal = Signal()
        self._urgent = False
        """A caller waits for the next round and needs it at once."""

    def run(self) -> Coroutine[None]:
        """Run rounds indefinitely; each round wakes the callers that began to wait before it."""
        while True:
            waiters, self._waiters = self._waiters, []
            self._urgent = False
            began_us = self.kernel.now_us
            succeeded = yield from self._round()
            if succeeded:
                self.read_us = began_us
                if self.failed_since_us is not None:
                    self.kernel.log("info", "state service answers again")
                self.failed_since_us = None
                self.changed()
            elif self.failed_since_us is None:
                self.failed_since_us = began_us
                self.kernel.log("error", "state service does not answer")
            for signal in waiters:
                self.kernel.fire(signal, "fresh" if succeeded else "failed")
            if succeeded:
                pause_us = int(
                    max(self.controllers / (FOLLOW_SHARE * self.store.limits.rps) * SECOND_US, MIN_ROUND_US)
                )
                # A process that is behind polls less often: the changes that it reads go before the waiting inputs.
                remaining_us = (
                    pause_us - (self.kernel.now_us - began_us) + min(self.kernel.input_delay_us, MAX_DELAY_US)
                )
                if remaining_us > 0 and not self._urgent:
                    yield Wait(self._wake_signal, remaining_us)
            else:
                yield Sleep(int(self.kernel.rng.uniform(0.2, 0.4) * SECOND_US))

    def _round(self) -> Coroutine[bool]:
        if not self._paged and not (yield from self._load()):
            return False
        reply: Reply = yield from self.store.follow(self.prefix, self.revision)
        if reply.status == 410:
            # The state service no longer has the changes since this revision: read everything again.
            self.loaded = self._paged = False
            return (yield from self._round())
        if reply.status != 200:
            return False
        for change in reply.body["log"]:
            if "put" in change:
                self.mirror.put(change["put"], change["value"], change["stamp"])
            else:
                self.mirror.remove(change["remove"], change["stamp"])
        self.revision = max(self.revision, reply.body["ledger"])
        self.mirror.read(self.revision)
        # The cluster state is not loaded before this point.  Pages are read at different revisions, and a job that is
        # read later than the groups that hold its tasks would be placed twice.
        self.loaded = True
        return True

    def _load(self) -> Coroutine[bool]:
        self.mirror.clear()
        self.mirror.read(0)
        revision: int | None = None
        after: str | None = None
        while True:
            reply = yield from self.store.page(self.start, after)
            if reply.status != 200:
                return False
            # Pages are read at different revisions: following the changes from the first page's revision makes the
            # records consistent.
            revision = reply.body["ledger"] if revision is None else revision
            for item in reply.body["items"]:
                self.mirror.put(item["k"], item["value"], item["stamp"])
                after = item["k"]
            if not reply.body["truncated"] or not reply.body["items"]:
                break
        self.revision = self.followed_from = revision
        self._paged = True
        return True

    def barrier(self, patient: bool = False) -> Coroutine[bool]:
        """Wait for a round that begins after this call; return False if it fails or takes longer than 3 s.

        A `patient` caller does not cause an early round, but shares the next regular one; users' queries do so.
        """
        return (yield from self._next_round(3 * SECOND_US, patient))

    def refresh(self) -> Coroutine[None]:
        """Bring the cluster state up to date before a commit.

        A conflict costs all writes of the commit, a refresh only one request.  So the cluster state is refreshed just
        before a write to records that several controllers write.  If the state service does not answer, the commit is
        sent all the same.
        """
        if self.failed_since_us is None:
            yield from self._next_round(REFRESH_TIMEOUT_US, False)

    def start_round_now(self) -> None:
        """Start the next round at once."""
        self._urgent = True
        self.kernel.fire(self._wake_signal)

    def _next_round(self, timeout_us: int, patient: bool) -> Coroutine[bool]:
        signal = Signal()
        self._waiters.append(signal)
        if not patient:
            self.start_round_now()
        outcome = yield Wait(signal, timeout_us)
        return bool(outcome == "fresh")

    def commit(
        self, build: Callable[[], Txn | None], writes: int, urgency: Urgency, purpose: str
    ) -> Coroutine[CommitOutcome]:
        """Commit the transaction that `build` makes from the latest cluster state.

        After a success the cluster state shows the writes already.
        """
        refresh = self.refresh if urgency in SHARED_URGENCIES else None
        txn, reply = yield from self.store.commit(build, writes, urgency, purpose, refresh)
        if txn is None:
            return CommitOutcome.NOTHING
        outcome = CommitOutcome.of(reply)
        if outcome is not CommitOutcome.COMMITTED:
            return outcome
        self.show(txn.puts, txn.removes, reply.body["ledger"])
        self.changed()
        return outcome

    def show(self, puts: Mapping[str, Any], removes: Iterable[str], version: int) -> None:
        """Apply this process's own writes to the cluster state at once, unless a round has read them already.

        The answer to a write may come after a round that read the write and a later removal of the record by another
        controller.  If the write were applied then, the removed record would stay in the cluster state indefinitely.
        Writes that are answered while the pages are being read again are not applied for the same reason: their
        record may be removed before its page is read, and the pages or the round after them contain the writes.
        Records outside the pages, such as final states, are applied at that time too.
        """
        if version <= self.revision:
            return
        for key, value in puts.items():
            if self._shows(key):
                self.mirror.put(key, value, version)
        for key in removes:
            if self._shows(key):
                self.mirror.remove(key, version)

    def _shows(self, key: str) -> bool:
        """Whether this process's own write of a key is applied to the mirror at once."""
        return key.startswith(self.prefix) and (self._paged or not key.startswith(self.start))
