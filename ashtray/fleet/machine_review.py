"""Decides which machines to return: those that never came up, fell silent, failed or are idle."""

from __future__ import annotations

from enum import Enum

from ashtray.base import Base
from ashtray.fleet.boot_times import BootTimes
from ashtray.fleet.capacity_backoff import CapacityBackoff
from ashtray.fleet.demand import DemandForecaster
from ashtray.fleet.machine_inventory import FAILED, MachineInventory, PendingMachine
from ashtray.fleet.machine_kind import MachineKind
from ashtray.kernel import SECOND_US
from ashtray.placement.machine_groups import Machine
from ashtray.placement.machine_health import FAULTY_BLAME

SILENT_US = 4 * SECOND_US
"""A worker is silent once it has not been heard for its lease and this margin."""
MISSING_US = 6 * SECOND_US
"""A machine that the list lacks counts as missing only once its worker has not been heard for this time."""
FEW_MACHINES = 2
"""Up to this many silent machines are never taken for a fault of this controller."""
UNSURE_LEASES = 3
"""For how many leases a machine must be silent to be given up while most of the fleet is silent."""
URGENT_IDLE_FACTOR = 6
"""Idle machines of the cheapest kind for an urgent class are kept this many times as long."""
UNKNOWN_BOOT_US = 30 * SECOND_US
"""The boot time assumed for a machine type that is not in the catalogue."""


class Loss(Enum):
    """Why a machine that had come up is given up.  The log shows the values."""

    FAILED = "failed"
    MISSING = "missing"
    SILENT = "silent"


class MachineReview:
    """Checks every machine once a round."""

    def __init__(
        self,
        base: Base,
        inventory: MachineInventory,
        forecaster: DemandForecaster,
        boot_times: BootTimes,
        backoff: CapacityBackoff,
    ) -> None:
        self.base = base
        self.kernel = base.kernel
        self.inventory = inventory
        self.forecaster = forecaster
        self.boot_times = boot_times
        self.backoff = backoff
        self._lease_us = int(base.settings.cluster.workers.lease_s * SECOND_US)

    def lost_pending(self) -> list[str]:
        """Return the pending machines to give up.  Machines that have a record by now stop being pending."""
        now_us = self.kernel.now_us
        pending_machines = self.inventory.pending
        heard = self.inventory.heard_within(self._lease_us) if pending_machines else set()
        lost: list[str] = []
        unblocked: set[MachineKind] = set()
        for name, pending in list(pending_machines.items()):
            if name in self.base.cluster_state.machines:
                self.boot_times.record(pending.kind, pending.requested_us, now_us)
                del pending_machines[name]
                continue
            late = self.boot_times.should_give_up(pending.kind, pending.requested_us, now_us)
            if not late and name not in heard and pending.kind not in unblocked and self._blocks_replacement(pending):
                late = True
                unblocked.add(pending.kind)
            if not self._given_up(name, pending, late, name in heard):
                continue
            self.kernel.log("info", f"{name} never reported: given up")
            lost.append(name)
            if pending.kind in unblocked:
                # The cloud has capacity for this kind again once the machine is deleted.
                self.backoff.clear(pending.kind)
        return lost

    def _given_up(self, name: str, pending: PendingMachine, late: bool, heard: bool) -> bool:
        """Return whether a pending machine is too late, runs without reporting, vanished or failed in the cloud.

        A machine that some controller hears is up, even if the transaction that gives it a record is late: it is
        given up only if the cloud's list shows that it failed.
        """
        if heard:
            return self.inventory.listed.get(name) == FAILED
        now_us = self.kernel.now_us
        too_late = late and not pending.running
        unheard = pending.running and now_us - pending.running_us > self._lease_us
        old = now_us - pending.requested_us > self.inventory.list_lag_us()
        vanished = self.inventory.unlisted(name) and old
        return too_late or unheard or vanished or self.inventory.listed.get(name) == FAILED

    def _blocks_replacement(self, pending: PendingMachine) -> bool:
        """Return whether an overdue machine takes the capacity that its replacement needs.

        Otherwise an urgent gang waits for minutes for the only machine of a type if that machine never comes up.
        This holds only while no machine of the kind is up: a machine that is a little late comes up sooner than its
        replacement, and if others are up, no job depends on this one alone.
        """
        kind = pending.kind
        overdue = self.boot_times.remaining_us(kind, pending.requested_us, self.kernel.now_us) is None
        if not overdue or pending.running or not self.backoff.is_blocked(kind):
            return False
        machines = self.base.cluster_state.machines.values()
        return kind not in (MachineKind(m.type, m.zone, m.record.spot) for m in machines)

    def lost_or_idle(self) -> list[str]:
        """Return the machines with a record that are to be returned."""
        silence_us = self.inventory.silences()
        silent = self._silent(silence_us)
        lost: list[str] = []
        for name, machine in self.base.cluster_state.machines.items():
            if self._fails_tasks(machine) and not machine.record.retiring:
                self.kernel.log("info", f"{name} is returned: tasks of several jobs failed on it")
                lost.append(name)
                continue
            loss = self._loss(name, silence_us[name], name in silent)
            if loss is not None:
                if name not in self.inventory.draining:
                    self.kernel.log("info", f"{name} is {loss.value}")
                lost.append(name)
            elif self._idle_too_long(machine):
                lost.append(name)
        return lost

    def _silent(self, silence_us: dict[str, int]) -> set[str]:
        """Return the machines whose workers are silent, unless that is more likely a fault of this controller."""
        silent = {name for name, us in silence_us.items() if us > self._lease_us + SILENT_US}
        # If most of the fleet falls silent at once, a fault of this controller is the more likely cause.
        if len(silent) > max(FEW_MACHINES, len(self.base.cluster_state.machines) // 2):
            unsure_us = UNSURE_LEASES * self._lease_us
            return {name for name in silent if silence_us[name] > unsure_us or self._holds_cancelled_tasks(name)}
        return silent

    def _holds_cancelled_tasks(self, name: str) -> bool:
        """Return whether a machine has allocations of jobs that are over.

        Only deleting the machine is sure to end their tasks if it hangs, and `cancel_s` may be shorter than the
        `UNSURE_LEASES` leases for which other machines are waited (safety points 1 and 5).
        """
        cluster_state = self.base.cluster_state
        return any(cluster_state.is_over(allocation.job) for allocation in cluster_state.machines[name].holds)

    def _fails_tasks(self, machine: Machine) -> bool:
        return bool(machine.record.failed) and self.base.cluster_state.blame(machine) >= FAULTY_BLAME

    def _loss(self, name: str, silence_us: int, silent: bool) -> Loss | None:
        """Return why a machine is given up, or None if it is kept."""
        if self.inventory.listed.get(name) == FAILED:
            return Loss.FAILED
        known_us = self.kernel.now_us - self.inventory.known_since[name]
        unlisted = self.inventory.unlisted(name) and known_us > self.inventory.list_lag_us()
        if unlisted and silence_us > MISSING_US:
            return Loss.MISSING
        return Loss.SILENT if silent else None

    def _idle_too_long(self, machine: Machine) -> bool:
        """Return whether a machine is idle, and for too long or being returned; note when it became idle."""
        retiring = machine.record.retiring
        idle = not machine.holds and (machine.name not in self.forecaster.needed or retiring)
        if not idle:
            self.inventory.idle_since.pop(machine.name, None)
            return False
        since_us = self.inventory.idle_since.setdefault(machine.name, self.kernel.now_us)
        return retiring or self.kernel.now_us - since_us > self._idle_limit_us(machine)

    def _idle_limit_us(self, machine: Machine) -> int:
        """Return how long (us) an idle machine is kept: about what booting another one would take.

        The cheapest kind for a class with an objective for waiting times is kept longer, because a machine that is
        rented when such a job arrives does not come up in time.
        """
        machine_type = self.base.cluster_state.types.get(machine.type)
        boot_us = machine_type.boot_us if machine_type is not None else UNKNOWN_BOOT_US
        boots = self.base.operator_settings.idle_boots
        cheapest = self.forecaster.cheapest_for_urgent.values()
        if any(machine.type == kind.type and machine.record.spot == kind.spot for kind in cheapest):
            boots *= URGENT_IDLE_FACTOR
        return int(boot_us * boots)
