"""Keeps a cluster state of what is under a prefix, and proves to callers how fresh it is."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from ashtray.kernel import SECOND_US, Fiber, Kernel, Reply, Signal, Sleep, Wait
from ashtray.store.client import StoreClient, Txn, Urgency

SHARE = 0.15
"""Of the requests that the state service takes, the part that all controllers together spend on following when nobody
is in a hurry.  Each round costs processor time, too."""
LEAST_US = 150_000
MOST_LATER_US = 2 * SECOND_US
LOOK_US = 500_000
"""A commit waits no longer than that for a look."""
SHARED = (Urgency.FREE, Urgency.PLACE)
"""What is written with these is written by several controllers."""


class Mirror(Protocol):
    """What a follower fills."""

    def clear(self) -> None:
        """Forget all records: they are read anew."""

    def put(self, key: str, value: Any, version: int) -> None:
        """A record was written with this version."""

    def remove(self, key: str, version: int) -> None:
        """A record was removed at this revision."""

    def read(self, revision: int) -> None:
        """All changes up to that revision have been put or removed; later ones only where they are this process's."""


class Follower:
    """Reads what is under `start` once, then asks again and again what has changed since under `prefix`.

    The former is a part of the latter: what grows with history is never read, and yet its changes are seen.

    A round that begins after a caller asked is that caller's barrier: whatever was true when it asked is in
    the cluster state afterwards.  One round serves all callers that wait.
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
        """The revision from which on every change has been followed, where the cluster state is loaded."""
        self.controllers = 1
        """How many follow: they share the requests."""
        self.loaded = False
        self._paged = False
        self.read_us = -(10**15)
        """When the last round that succeeded began."""
        self.failed_since_us: int | None = None
        self._waiters: list[Signal] = []
        self._kick = Signal()
        self._hurry = False
        """Somebody who is in a hurry waits for the next round: it is not put off."""

    def run(self) -> Fiber[None]:
        """Read what has changed, again and again; a round ends the waits that began before it."""
        while True:
            waiters, self._waiters = self._waiters, []
            self._hurry = False
            began_us = self.kernel.now_us
            good = yield from self._round()
            if good:
                self.read_us = began_us
                if self.failed_since_us is not None:
                    self.kernel.log("info", "state service answers again")
                self.failed_since_us = None
                self.changed()
            elif self.failed_since_us is None:
                self.failed_since_us = began_us
                self.kernel.log("error", "state service does not answer")
            for signal in waiters:
                self.kernel.fire(signal, "fresh" if good else "failed")
            if good:
                pause_us = int(max(self.controllers / (SHARE * self.store.limits.rps) * SECOND_US, LEAST_US))
                # One that is behind reads seldomer: what it reads goes before what waits.
                left_us = pause_us - (self.kernel.now_us - began_us) + min(self.kernel.behind_us, MOST_LATER_US)
                if left_us > 0 and not self._hurry:
                    yield Wait(self._kick, left_us)
            else:
                yield Sleep(int(self.kernel.rng.uniform(0.2, 0.4) * SECOND_US))

    def _round(self) -> Fiber[bool]:
        if not self._paged and not (yield from self._load()):
            return False
        reply: Reply = yield from self.store.follow(self.prefix, self.revision)
        if reply.status == 410:
            # Too far behind: read everything anew.
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
        # Not before: pages are of different moments, and a job read later than the groups that hold its tasks
        # would be placed twice.
        self.loaded = True
        return True

    def _load(self) -> Fiber[bool]:
        self.mirror.clear()
        self.mirror.read(0)
        revision: int | None = None
        after: str | None = None
        while True:
            reply = yield from self.store.page(self.start, after)
            if reply.status != 200:
                return False
            # Pages are read one after the other: following on from the first one's revision mends the rest.
            revision = reply.body["ledger"] if revision is None else revision
            for item in reply.body["items"]:
                self.mirror.put(item["k"], item["value"], item["stamp"])
                after = item["k"]
            if not reply.body["truncated"] or not reply.body["items"]:
                break
        self.revision = self.followed_from = revision
        self._paged = True
        return True

    def barrier(self, patient: bool = False) -> Fiber[bool]:
        """Wait for a round that begins after now; False when it fails.

        The `patient` wait for the next one's turn, which serves all of them: questions of users are such.
        """
        return (yield from self._next_round(3 * SECOND_US, patient))

    def look(self) -> Fiber[None]:
        """See what has changed by now, before a commit.

        One that conflicts costs all of its changes, a look one request: what is written by several controllers is
        looked at just before it is written.  When the service does not answer, the commit goes out all the same.
        """
        if self.failed_since_us is None:
            yield from self._next_round(LOOK_US, False)

    def hurry(self) -> None:
        """Do not put the next round off."""
        self._hurry = True
        self.kernel.fire(self._kick)

    def _next_round(self, most_us: int, patient: bool) -> Fiber[bool]:
        signal = Signal()
        self._waiters.append(signal)
        if not patient:
            self.hurry()
        outcome = yield Wait(signal, most_us)
        return bool(outcome == "fresh")

    def commit(
        self, build: Callable[[], Txn | None], changes: int, urgency: Urgency, purpose: str
    ) -> Fiber[bool | None]:
        """Commit what `build` makes of the cluster state as it is then; on success the cluster state shows it at
        once.

        False: a conflict, a refusal, or the outcome is unknown.  None: there was nothing to commit any more.
        """
        look = self.look if urgency in SHARED else None
        txn, reply = yield from self.store.commit(build, changes, urgency, purpose, look)
        if txn is None:
            return None
        if reply.status != 200:
            return False
        self.show(txn.puts, txn.removes, reply.body["ledger"])
        self.changed()
        return True

    def show(self, puts: Mapping[str, Any], removes: Iterable[str], version: int) -> None:
        """Show a change of this process at once, unless it has been read already.

        Its answer may come after the round that read it, and after another's change that was read with it: a record
        that was removed since would stand in the cluster state for ever.  So would one whose answer comes while
        the pages are read anew, if it is removed before its page is read: the pages, or the round after them, have
        the change.
        What is in no page, such as a final state, is shown all the same.
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
        """Whether an own change of a key goes into the mirror at once."""
        return key.startswith(self.prefix) and (self._paged or not key.startswith(self.start))
