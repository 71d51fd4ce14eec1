"""The machines of the fleet: rented, listed by the cloud, heard by controllers, being deleted."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from ashtray.base import Base
from ashtray.fleet.cloud_client import CloudClient
from ashtray.fleet.machine_kind import MachineKind
from ashtray.fleet.messages import ListedMachine, MachineList
from ashtray.kernel import SECOND_US, Fiber
from ashtray.peers.presence import Peers, Presence
from ashtray.standby.intents import Intent

LIST_US = 2 * SECOND_US
"""The pause between two readings of the cloud's list."""
PAGE_SIZE = 500
RUNNING, FAILED = "running", "failed"
"""States of a machine in the cloud's list."""
INFORMED_HEARTBEATS = 3
"""After so many pauses between their words all peers have told a new runner whom they hear."""
QUIET_REPORT_INTERVALS = 2.5
"""A machine is quiet after so many times the interval of reports: two are missing, each up to a quarter late."""
DELETED_LAGS = 10
"""For how many times the list's lag a deleted machine is remembered."""


@dataclass
class PendingMachine:
    """A machine that was rented or listed and has not reported yet."""

    kind: MachineKind
    requested_us: int
    running: bool = False
    """The cloud's list shows it as running."""
    running_us: int = 0
    """When the list first showed that."""


class MachineInventory:
    """What is known of each machine beside the groups' records.  Names sort in the order of creation."""

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
        """When the reading of that list began; 0: none was read in this term."""
        self.deleted: dict[str, int] = {}
        """Machines that were deleted, and when: a late list may still show them."""
        self.draining: set[str] = set()
        """Machines on which nothing is placed any more and which are to be deleted."""
        self.idle_since: dict[str, int] = {}
        self.known_since: dict[str, int] = {}
        """When each machine with a record was first seen in this term."""
        self.predecessor_heard_us: dict[str, int] = {}
        """When machines that had missed reports were last heard, by what the predecessor told."""
        self._term_us = 0
        """When this term began."""
        self._newest = ""
        """The last name that was ever listed."""

    def begin_term(self) -> None:
        """Forget what may have changed while another controller ran the fleet."""
        self.pending.clear()
        self.listed_us = 0
        self.idle_since.clear()
        self.known_since.clear()
        self.predecessor_heard_us.clear()
        self._term_us = self.kernel.now_us

    def note_known_machines(self) -> None:
        """Count the silence of all machines with a record from now on, unless it is counted already."""
        for name in self.base.cluster_state.machines:
            self.known_since.setdefault(name, self.kernel.now_us)

    def list_lag_us(self) -> int:
        """How far the cloud's list may be behind, with a reserve."""
        return int((2 * self.base.settings.cluster.cloud.list_lag_s + 5) * SECOND_US)

    def list_due(self) -> bool:
        """Whether the cloud's list is to be read again."""
        return self.kernel.now_us - self.listed_us >= LIST_US

    def read_list(self) -> Fiber[None]:
        """Read all pages of the cloud's list; without an answer for one of them, the last list stays."""
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
        """Take a listed machine without a record into the pending ones, and note since when it runs."""
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
        """Whether the list should show a machine and does not.

        A list that lags may lack all the newest machines, for longer than the settings say: only a machine older
        than one that was listed counts.
        """
        return name not in self.listed and name < self._newest

    def expect_machines(self, intent: Intent, names: Iterable[str]) -> None:
        """Take machines that were rented for an intent into the pending ones, unless more is known of them."""
        age_us = max(self.kernel.wall_us - intent.at_us, 0)
        for name in names:
            if name not in self.deleted and name not in self.base.cluster_state.machines:
                self.pending.setdefault(name, PendingMachine(intent.kind, self.kernel.now_us - age_us))

    def note_deleted(self, names: Iterable[str]) -> None:
        """The cloud has confirmed the deletion of machines."""
        for name in names:
            self.deleted[name] = self.kernel.now_us
            self.pending.pop(name, None)
            self.idle_since.pop(name, None)

    def forget_deleted(self) -> None:
        """Drop deleted machines that no list can show any more."""
        horizon_us = self.kernel.now_us - DELETED_LAGS * self.list_lag_us()
        self.deleted = {name: at_us for name, at_us in self.deleted.items() if at_us > horizon_us}

    def silences(self) -> dict[str, int]:
        """For how long (us) no controller has heard each worker, as far as this one can tell (safety points 12, 28).

        Silence counts only over time in which this process ran itself and had messages from its peers.  Workers that
        report to a live controller that sends none are not silent: it cannot say that it hears them.
        """
        # Only the runner is told who hears which worker: peers need some time to say so to a new one.
        unheard = self.peers.mute()
        until_us = min(self.kernel.now_us, self.peers.all_word_us(unheard))
        informed = until_us - self._term_us > INFORMED_HEARTBEATS * self.peers.word_us
        return self._silences(unheard, until_us, informed)

    def _silences(self, unheard: set[str], until_us: int, informed: bool) -> dict[str, int]:
        """The silences (us) up to a moment; only where `informed` does what the predecessor told count."""
        now = self.kernel.now_us
        presence = self.presence
        heard = self.peers.last_heard()
        awake_us = self.kernel.awake_us
        found = {}
        for name, machine in self.base.cluster_state.machines.items():
            last = max(heard.get(name, 0), self.known_since.setdefault(name, now), awake_us)
            told_us = self.predecessor_heard_us.get(name)
            if informed and told_us is not None:
                last = max(heard.get(name, 0), told_us, awake_us)
            found[name] = 0 if unheard and presence.foreman(machine.group) in unheard else max(until_us - last, 0)
        return found

    def heard_within(self, limit_us: int) -> set[str]:
        """The machines, with a record or not, that some controller has heard since so long ago (us)."""
        since_us = self.kernel.now_us - limit_us
        return {name for name, at_us in self.peers.last_heard().items() if at_us >= since_us}

    def quiet(self) -> dict[str, int]:
        """The silences (us) of machines that have missed reports, for the successor of this runner.

        What the predecessor told is passed on at once, also where peers have not had the time yet to tell this runner
        whom they hear: a successor waits for their word before it relies on it (safety point 12).
        """
        quiet_us = QUIET_REPORT_INTERVALS * self.base.settings.cluster.workers.report_s * SECOND_US
        unheard = self.peers.mute()
        silences = self._silences(unheard, min(self.kernel.now_us, self.peers.all_word_us(unheard)), informed=True)
        return {name: us for name, us in silences.items() if us > quiet_us}
