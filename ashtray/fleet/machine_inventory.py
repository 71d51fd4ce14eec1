"""Keeps track of the machines of the fleet: pending, listed by the cloud, silent, being deleted."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from ashtray.base import Base
from ashtray.fleet.cloud_client import CloudClient
from ashtray.fleet.machine_kind import MachineKind
from ashtray.fleet.messages import ListedMachine, MachineList
from ashtray.kernel import SECOND_US, Coroutine
from ashtray.peers.presence import Peers, Presence
from ashtray.standby.intents import Intent

LIST_US = 2 * SECOND_US
"""The pause between two reads of the cloud's list."""
PAGE_SIZE = 500
"""Machines on one page of the cloud's list."""
RUNNING, FAILED = "running", "failed"
"""States of a machine in the cloud's list."""
INFORMED_HEARTBEATS = 3
"""After so many heartbeat intervals all peers have told a new fleet leader which workers report to them."""
QUIET_REPORT_INTERVALS = 2.5
"""A machine is quiet after so many report intervals: two reports are missing, each up to a quarter late."""
DELETED_LAGS = 10
"""How long a deleted machine is remembered, in multiples of `list_lag_us()`."""


@dataclass
class PendingMachine:
    """A machine that was rented or listed and has not reported yet."""

    kind: MachineKind
    requested_us: int
    running: bool = False
    """Whether the cloud's list shows the machine as running."""
    running_us: int = 0
    """When the list first showed the machine as running."""


class MachineInventory:
    """Keeps what is known of each machine beside the group records.  Machine names sort in the order of creation."""

    def __init__(self, base: Base, presence: Presence, peers: Peers, cloud: CloudClient) -> None:
        self.base = base
        self.kernel = base.kernel
        self.presence = presence
        self.peers = peers
        self.cloud = cloud
        self.pending: dict[str, PendingMachine] = {}
        self.listed: dict[str, str] = {}
        """The state of each machine in the cloud's last list."""
        self.listed_us = 0
        """When the read of that list began; 0 if none was read in this term."""
        self.deleted: dict[str, int] = {}
        """When each deleted machine was deleted.  A list that lags may still show it."""
        self.draining: set[str] = set()
        """Machines that are to be deleted.  Nothing is placed on them any more."""
        self.idle_since: dict[str, int] = {}
        """Since when each idle machine has been idle."""
        self.known_since: dict[str, int] = {}
        """When each machine with a record was first seen in this term."""
        self.predecessor_heard_us: dict[str, int] = {}
        """When machines that had missed reports were last heard, according to the predecessor."""
        self._term_us = 0
        """When this controller's term began."""
        self._newest = ""
        """The greatest name, so the newest machine, that any list has shown."""

    def begin_term(self) -> None:
        """Drop what may have changed while another controller led the fleet."""
        self.pending.clear()
        self.listed_us = 0
        self.idle_since.clear()
        self.known_since.clear()
        self.predecessor_heard_us.clear()
        self._term_us = self.kernel.now_us

    def note_known_machines(self) -> None:
        """Count the silence of machines with a record from now, except those whose silence is counted already."""
        for name in self.base.cluster_state.machines:
            self.known_since.setdefault(name, self.kernel.now_us)

    def list_lag_us(self) -> int:
        """Return how far the cloud's list may lag (us): twice the setting and 5 s as a margin."""
        return int((2 * self.base.settings.cluster.cloud.list_lag_s + 5) * SECOND_US)

    def list_due(self) -> bool:
        """Return whether it is time to read the cloud's list again."""
        return self.kernel.now_us - self.listed_us >= LIST_US

    def read_list(self) -> Coroutine[None]:
        """Read all pages of the cloud's list.  If one page cannot be read, the previous list stays."""
        began_us = self.kernel.now_us
        after = ""
        states: dict[str, str] = {}
        while True:
            reply = yield from self.cloud.request("GET", f"/rentals?after={after}&page={PAGE_SIZE}")
            if reply.status != 200:
                return
            try:
                page = msgspec.convert(reply.body, MachineList)
            except msgspec.ValidationError:
                return
            for machine in page.machines:
                states[machine.name] = machine.state
                after = machine.name
                self._note_listed(machine, began_us)
            if not page.truncated or not page.machines:
                break
        self.listed = states
        self.listed_us = began_us
        self._newest = max(self._newest, max(states, default=""))

    def _note_listed(self, machine: ListedMachine, began_us: int) -> None:
        """Add a listed machine without a record to the pending ones, and note when it was first seen running."""
        name = machine.name
        if name in self.deleted:
            return
        pending = self.pending.get(name)
        if pending is None and name not in self.base.cluster_state.machines:
            pending = PendingMachine(machine.kind, began_us - int(machine.age_s * SECOND_US))
            self.pending[name] = pending
        if pending is not None and machine.state == RUNNING and not pending.running:
            pending.running, pending.running_us = True, began_us

    def unlisted(self, name: str) -> bool:
        """Return whether the list should show a machine but does not.

        The list can lag for longer than the settings say and lack all of the newest machines.  So this is True only
        for machines that are older than a machine that was listed.
        """
        return name not in self.listed and name < self._newest

    def expect_machines(self, intent: Intent, names: Iterable[str]) -> None:
        """Add machines that were rented for an intent to the pending ones, except those with a record or deleted."""
        age_us = max(self.kernel.wall_us - intent.at_us, 0)
        for name in names:
            if name not in self.deleted and name not in self.base.cluster_state.machines:
                self.pending.setdefault(name, PendingMachine(intent.kind, self.kernel.now_us - age_us))

    def note_deleted(self, names: Iterable[str]) -> None:
        """Record that the cloud has confirmed the deletion of machines."""
        for name in names:
            self.deleted[name] = self.kernel.now_us
            self.pending.pop(name, None)
            self.idle_since.pop(name, None)

    def forget_deleted(self) -> None:
        """Drop the deleted machines that no list can show any more."""
        horizon_us = self.kernel.now_us - DELETED_LAGS * self.list_lag_us()
        self.deleted = {name: at_us for name, at_us in self.deleted.items() if at_us > horizon_us}

    def silences(self) -> dict[str, int]:
        """Return for how long (us) no controller has had a report of each machine (safety points 12 and 28).

        Time counts as silence only if this process was running and had heartbeats from its peers.  Machines that
        report to a live controller whose heartbeats are missing count as heard: it cannot say that it hears them.
        """
        # Peers tell only the fleet leader which workers they hear, and need some time to tell a new one.
        unheard = self.peers.silent_peers()
        until_us = min(self.kernel.now_us, self.peers.all_heard_until_us(unheard))
        informed = until_us - self._term_us > INFORMED_HEARTBEATS * self.peers.heartbeat_interval_us
        return self._silences(unheard, until_us, informed)

    def _silences(self, unheard: set[str], until_us: int, informed: bool) -> dict[str, int]:
        """Return the silences (us) up to `until_us`; with `informed`, what the predecessor told counts, too."""
        now = self.kernel.now_us
        presence = self.presence
        heard = self.peers.last_heard()
        not_stalled_since_us = self.kernel.not_stalled_since_us
        found = {}
        for name, machine in self.base.cluster_state.machines.items():
            last = max(heard.get(name, 0), self.known_since.setdefault(name, now), not_stalled_since_us)
            told_us = self.predecessor_heard_us.get(name)
            if informed and told_us is not None:
                last = max(heard.get(name, 0), told_us, not_stalled_since_us)
            found[name] = (
                0
                if unheard and presence.responsible_controller(machine.group) in unheard
                else max(until_us - last, 0)
            )
        return found

    def heard_within(self, limit_us: int) -> set[str]:
        """Return the machines, with or without a record, that some controller has heard within `limit_us`."""
        since_us = self.kernel.now_us - limit_us
        return {name for name, at_us in self.peers.last_heard().items() if at_us >= since_us}

    def quiet(self) -> dict[str, int]:
        """Return the silences (us) of machines that have missed reports, to be told to this leader's successor.

        What the predecessor told is passed on at once, even if the peers have not yet told this leader which workers
        they hear: a successor waits for their heartbeats before it relies on it (safety point 12).
        """
        quiet_us = QUIET_REPORT_INTERVALS * self.base.settings.cluster.workers.report_s * SECOND_US
        unheard = self.peers.silent_peers()
        silences = self._silences(
            unheard, min(self.kernel.now_us, self.peers.all_heard_until_us(unheard)), informed=True
        )
        return {name: us for name, us in silences.items() if us > quiet_us}
