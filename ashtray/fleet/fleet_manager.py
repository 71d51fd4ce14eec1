"""Runs the fleet: one controller at a time, the fleet leader, rents and returns machines.

This module connects the components: the fleet lease (`fleet_lease.py`), the checks of a new leader (`handover.py`),
the knowledge about machines (`machine_inventory.py`), renting (`demand.py`, `provisioning.py`) and returning
(`machine_review.py`, `decommissioning.py`).
"""

from __future__ import annotations

from ashtray.base import Base
from ashtray.fleet.boot_times import BootTimes
from ashtray.fleet.capacity_backoff import CapacityBackoff
from ashtray.fleet.cloud_client import CloudClient
from ashtray.fleet.decommissioning import Decommissioning
from ashtray.fleet.demand import DemandForecaster
from ashtray.fleet.fleet_lease import FleetLease
from ashtray.fleet.handover import Handover
from ashtray.fleet.machine_inventory import MachineInventory
from ashtray.fleet.machine_review import MachineReview
from ashtray.fleet.provisioning import Provisioning
from ashtray.fleet.type_catalogue import TypeCatalogue
from ashtray.jobs.job_timing import JobTiming
from ashtray.kernel import SECOND_US, Coroutine, Signal, Wait
from ashtray.peers.presence import Peers, Presence
from ashtray.placement.plan import Planner

ROUND_US = SECOND_US // 2
"""The longest pause between two rounds."""


class FleetManager:
    """Runs in each controller: leads the fleet, or takes the fleet lease when it is this controller's turn."""

    def __init__(self, base: Base, presence: Presence, peers: Peers, job_timing: JobTiming, planner: Planner) -> None:
        self.base = base
        self.presence = presence
        self.wake_signal = Signal()
        """A wake-up signal: begins a round at once."""
        boot_times = BootTimes(base.cluster_state, base.operator_settings.boot_patience)
        backoff = CapacityBackoff(base.kernel)
        self.cloud = CloudClient(base)
        self.lease = FleetLease(base, presence)
        self.types = TypeCatalogue(base, self.cloud)
        self.inventory = MachineInventory(base, presence, peers, self.cloud)
        forecaster = DemandForecaster(base, job_timing, planner, self.inventory, boot_times, backoff)
        self.provisioning = Provisioning(base, self.lease, self.cloud, self.inventory, forecaster, backoff)
        review = MachineReview(base, self.inventory, forecaster, boot_times, backoff)
        self.decommissioning = Decommissioning(base, self.lease, self.cloud, self.inventory, review)
        self.handover = Handover(base, peers, self.lease, self.inventory, self.provisioning, boot_times, backoff)

    @property
    def running(self) -> bool:
        """Return whether this controller is the fleet leader."""
        return self.lease.running

    def round(self) -> Coroutine[None]:
        """Wait for the next round, then update the fleet lease and, as the leader, rent and return machines."""
        yield Wait(self.wake_signal, ROUND_US)
        if not self.base.follower.loaded or not self.presence.incarnation:
            return
        new_term = yield from self.lease.update()
        if new_term is not None:
            self.handover.begin(new_term)
        if not self.cloud.paused():
            yield from self.types.refresh(self.running)
        if not self.running or self.cloud.paused():
            return
        # Safety point 24: no decision before all checks of this term have passed.
        if not self.handover.takeover.ready():
            yield from self.handover.run_checks()
            if not self.handover.takeover.ready():
                return
        yield from self._decide()

    def _decide(self) -> Coroutine[None]:
        if self.inventory.list_due():
            yield from self.inventory.read_list()
        if not self.inventory.listed_us:
            return
        if not self.handover.takeover.decided:
            # Renting comes first, as demand has waited since the predecessor failed: draining and deleting can take
            # seconds when the write or request budget is short.
            yield from self.provisioning.run(self.handover.takeover)
        yield from self.decommissioning.drain_lost()
        yield from self.decommissioning.delete_drained()
        if not self.cloud.paused():
            yield from self.provisioning.run(self.handover.takeover)
