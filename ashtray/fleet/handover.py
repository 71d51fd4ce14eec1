"""Takes the fleet over from a predecessor, and tells successors what the state service does not store."""

from __future__ import annotations

from ashtray.base import Base
from ashtray.fleet.boot_times import BootTimes
from ashtray.fleet.capacity_backoff import CapacityBackoff, Refusal
from ashtray.fleet.fleet_lease import FleetLease, NewTerm
from ashtray.fleet.machine_inventory import MachineInventory
from ashtray.fleet.machine_kind import MachineKind
from ashtray.fleet.provisioning import Provisioning
from ashtray.kernel import Coroutine
from ashtray.peers.presence import INTENTS, Peers
from ashtray.standby.leader_notes import MAX_NOTES_AGE_US, LeaderNotes, youngest_entries
from ashtray.standby.takeover import Check, Takeover


class Handover:
    """Makes the checks before the first decision of a term (safety point 24), and exchanges the leader's notes.

    The notes (`LeaderNotes`) hold what a leader has learnt and the records do not say.
    """

    def __init__(
        self,
        base: Base,
        peers: Peers,
        lease: FleetLease,
        inventory: MachineInventory,
        provisioning: Provisioning,
        boot_times: BootTimes,
        backoff: CapacityBackoff,
    ) -> None:
        self.base = base
        self.kernel = base.kernel
        self.peers = peers
        self.lease = lease
        self.inventory = inventory
        self.provisioning = provisioning
        self.boot_times = boot_times
        self.backoff = backoff
        self.takeover = Takeover(0)
        self._began_us = 0
        """When this controller began its term."""
        peers.make_leader_notes = self.make_leader_notes

    def begin(self, term: NewTerm) -> None:
        """Begin a term: only the records, the predecessor's notes and the cloud's list are relied on."""
        now_us = self.kernel.now_us
        self._began_us = now_us
        self.takeover = Takeover(now_us)
        self.takeover.pass_check(Check.TERM, now_us)
        self.inventory.begin_term()
        self.kernel.log("info", "runs the fleet")
        self._read_notes(term)

    # Knowledge passed to successors

    def make_leader_notes(self) -> LeaderNotes | None:
        """Return what a successor cannot read from the records; None if this controller does not lead the fleet."""
        if not self.lease.running or not self.takeover.ready():
            return None
        now_us = self.kernel.now_us
        return LeaderNotes(
            self.lease.term,
            youngest_entries({name: now_us - at_us for name, at_us in self.inventory.deleted.items()}),
            youngest_entries({name: now_us - at_us for name, at_us in self.inventory.idle_since.items()}),
            [
                (*kind, refusal.until_us - now_us, refusal.times)
                for kind, refusal in self.backoff.refusals.items()
                if refusal.until_us > now_us
            ],
            [(*kind, ratio) for kind, ratio in sorted(self.boot_times.ratios().items())],
            youngest_entries(self.inventory.quiet()),
        )

    def _read_notes(self, term: NewTerm) -> None:
        """Adopt the predecessor's notes, unless they are old or were not written between this controller's terms."""
        if self.peers.leader_notes is None or self.kernel.now_us - self.peers.leader_notes[1] > MAX_NOTES_AGE_US:
            return
        notes, at_us = self.peers.leader_notes
        if not term.previous < notes.term < term.term:
            return
        self.inventory.deleted.update((name, at_us - age_us) for name, age_us in notes.gone.items())
        self.inventory.idle_since.update((name, at_us - age_us) for name, age_us in notes.idle.items())
        # Otherwise each term would count the silence of a machine from its own beginning, and tasks of a cancelled
        # job would stay on a silent machine for longer than `cancel_s`.
        self.inventory.predecessor_heard_us.update((name, at_us - age_us) for name, age_us in notes.silent.items())
        for name, zone, spot, pause_us, times in notes.blocked:
            self.backoff.refusals[MachineKind(name, zone, spot)] = Refusal(at_us + pause_us, times)
        for name, zone, spot, ratio in notes.boots:
            self.boot_times.set_ratio(MachineKind(name, zone, spot), ratio)

    # The checks

    def run_checks(self) -> Coroutine[None]:
        """Make the missing checks in order, up to the first one that does not pass yet: see `standby/takeover.py`."""
        takeover = self.takeover
        if takeover.missing(Check.READ):
            # Safety point 22: this read begins after the term, so it includes all that the predecessor committed.
            if not (yield from self.base.follower.barrier()):
                return
            takeover.pass_check(Check.READ, self.kernel.now_us)
            # Silence counts from here, for the other checks can wait for the cloud for long.  Otherwise tasks of a
            # cancelled job would stay on a silent machine for that time.
            self.inventory.note_known_machines()
        if takeover.missing(Check.INTENTS):
            if not (yield from self._repeat_intents()):
                return
            takeover.pass_check(Check.INTENTS, self.kernel.now_us)
        if takeover.missing(Check.LIST):
            yield from self.inventory.read_list()
            if not self.inventory.listed_us or not self._list_complete():
                return
            takeover.pass_check(Check.LIST, self.kernel.now_us)
        if self.kernel.not_stalled_since_us > takeover.began_us or not self.lease.holds():
            self._restart_checks()
            return
        takeover.pass_check(Check.AWAKE, self.kernel.now_us)
        self.kernel.log("info", f"the fleet was taken over: {takeover.stages()} s")

    def _restart_checks(self) -> None:
        """Reset all checks: the process was paused, or the key was lost."""
        self.takeover.restart(self.kernel.now_us)
        self.takeover.pass_check(Check.TERM, self.kernel.now_us)
        self.inventory.listed_us = 0

    def _list_complete(self) -> bool:
        """Return whether the cloud's list shows all machines that no intent records.

        Older versions write no intents.  If one of them may have led the fleet, the list is complete only once its
        lag has passed since the term began.  Where there are no machines at all there is nothing to wait for.
        """
        others = self.base.cluster_state.machines or self.inventory.listed
        written = self.provisioning.intents.all or self.lease.presence.upgraded(INTENTS)
        caught_up = self.kernel.now_us - self._began_us >= self.inventory.list_lag_us()
        return bool(written or not others or caught_up)

    def _repeat_intents(self) -> Coroutine[bool]:
        """Repeat the predecessor's unanswered requests under their names, and expect its machines (safety point 22).

        Returns False if the cloud does not answer.
        """
        intents = self.provisioning.intents
        if not intents.load(self.base.cluster_state.rentals):
            self.kernel.log("error", "the record of rentals cannot be read: waiting for the cloud's list instead")
            intents.all = False
            return True
        self.provisioning.settle(self.base.cluster_state.machines)
        repeated = len(intents.unanswered())
        if not (yield from self.provisioning.request_unanswered()):
            return False
        for intent in intents.open.values():
            self.inventory.expect_machines(intent, intent.names or ())
        if repeated:
            self.kernel.log("info", f"repeated {repeated} unanswered rental requests of the predecessor")
        return True
