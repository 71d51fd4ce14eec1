"""Rents machines: the demand is committed as intents, and then requested from the cloud.

Each intent is committed under the term before the cloud gets the request (safety point 22).  So the successor of a
fleet leader that failed repeats the same requests under the same names: see `standby/intents.py`.
"""

from __future__ import annotations

from collections.abc import Container
from functools import partial

from ashtray.base import Base
from ashtray.fleet.capacity_backoff import CapacityBackoff
from ashtray.fleet.cloud_client import NO_CAPACITY, TROUBLE, CloudClient, error_of
from ashtray.fleet.demand import DemandForecaster
from ashtray.fleet.fleet_lease import FleetLease
from ashtray.fleet.machine_inventory import MachineInventory
from ashtray.fleet.machine_kind import MachineKind
from ashtray.fleet.messages import rental, rented_names
from ashtray.kernel import SECOND_US, Coroutine, Reply
from ashtray.peers.presence import INTENTS
from ashtray.placement.state_keys import RENTALS
from ashtray.standby.intents import Intent, Intents
from ashtray.standby.takeover import Takeover
from ashtray.store.limits import VALUE_SHARE
from ashtray.store.rate_limiter import Urgency
from ashtray.store.transaction import CommitOutcome, Txn

FORECAST_PAUSE_PER_MACHINE_US = 3_500
"""The pause between two forecasts, for each machine of the fleet."""
MAX_PER_REQUEST = 50
"""The most machines in one request."""
MAX_RECORD_SHARE = 0.5
"""The share of a value's usable bytes that the record of intents may take."""
MAX_CLOCK_SKEW_US = 2 * SECOND_US
"""How far the clocks of two controllers may differ, with a margin."""


class Provisioning:
    """Rents the machines that the demand calls for.  Each request to the cloud has a unique name."""

    def __init__(
        self,
        base: Base,
        lease: FleetLease,
        cloud: CloudClient,
        inventory: MachineInventory,
        forecaster: DemandForecaster,
        backoff: CapacityBackoff,
    ) -> None:
        self.base = base
        self.kernel = base.kernel
        self.lease = lease
        self.cloud = cloud
        self.inventory = inventory
        self.forecaster = forecaster
        self.backoff = backoff
        self.intents = Intents()
        self._sequence = 0
        """The number of the last request of this process."""
        self._forecast_us = 0
        """When the last forecast was made."""
        self._had_demand = True
        """Whether the last forecast called for machines: then the next one is made sooner."""

    def run(self, takeover: Takeover) -> Coroutine[None]:
        """Compute the demand, if a forecast is due, and rent the machines that it calls for."""
        if takeover.decided and not self._forecast_due():
            return
        self._forecast_us = self.kernel.now_us
        self.settle(())
        if not (yield from self.request_unanswered()):
            # A request without an answer may have been executed: its demand would be met twice (safety point 22).
            return
        demand = self.forecaster.compute()
        self._had_demand = bool(demand)
        if not takeover.decided:
            takeover.decided = True
            self.kernel.log("info", f"first decision of the fleet: {sum(demand.values())} machines are wanted")
        if demand:
            yield from self._rent(demand)

    def _forecast_due(self) -> bool:
        """Return whether a forecast is due: each goes through the whole fleet and queue, too much for every round."""
        pause_us = (
            FORECAST_PAUSE_PER_MACHINE_US * len(self.base.cluster_state.machines) * (1 if self._had_demand else 2)
        )
        return self.kernel.now_us - self._forecast_us >= pause_us

    def _rent(self, demand: dict[MachineKind, int]) -> Coroutine[None]:
        batch: list[Intent] = []
        build = partial(self._intents_transaction, demand, batch)
        # Safety point 22: a request is sent to the cloud only once its name is committed.
        outcome = yield from self.base.follower.commit(build, 1, Urgency.ACCEPT, "intent")
        if outcome is not CommitOutcome.COMMITTED:
            # The intents may have been written all the same.  None is requested, and the next write drops them.
            return
        self.intents.begin(batch)
        yield from self.request_unanswered()

    def _intents_transaction(self, demand: dict[MachineKind, int], batch: list[Intent]) -> Txn | None:
        """Build the transaction that writes the open and the new intents under the term, without the settled ones.

        The new intents are put into `batch`.  Returns None if the fleet's key was lost.
        """
        if not self.lease.holds():
            return None
        batch[:] = [self._intent(kind, number) for kind, number in demand.items()]
        inventory = self.inventory
        self.settle(self.base.cluster_state.machines.keys() | inventory.listed.keys() | inventory.deleted.keys())
        self.intents.all = self.intents.all or self.lease.presence.upgraded(INTENTS)
        max_bytes = self.base.limits.value_bytes * VALUE_SHARE * MAX_RECORD_SHARE
        value = self.intents.value(self.base.settings.host_name, max_bytes, batch)
        txn = Txn().guard(RENTALS, self.base.cluster_state.version(RENTALS)).put(RENTALS, value)
        return self.lease.under_term(txn)

    def _intent(self, kind: MachineKind, number: int) -> Intent:
        """Return an intent with a new, unique request name."""
        self._sequence += 1
        request = f"{self.base.settings.host_name}-{self.lease.presence.incarnation}-{self._sequence}"
        number = min(number, MAX_PER_REQUEST)
        return Intent(request, kind.type, kind.zone, kind.spot, number, self.kernel.wall_us)

    def settle(self, seen: Container[str]) -> None:
        """Drop intents whose machines are all in `seen`, or that are so old that the list must show them."""
        self.intents.settle(seen, self.kernel.wall_us - self.inventory.list_lag_us() - MAX_CLOCK_SKEW_US)

    def request_unanswered(self) -> Coroutine[bool]:
        """Send the requests of all intents without an answer; return False if the cloud does not answer one."""
        for intent in self.intents.unanswered():
            # Repeating a request that the cloud has executed returns the same machines.
            if not (yield from self._request(intent)) and not (yield from self._request(intent)):
                return False
        return True

    def _request(self, intent: Intent) -> Coroutine[bool]:
        """Send the request of an intent; return False without an answer, or if the fleet's key was lost."""
        if not self.lease.holds():
            return False
        body = rental(intent.request, intent.kind, intent.number)
        # Safety point 22: the lease is checked once more, immediately before the request is sent.
        reply = yield from self.cloud.request("POST", "/rentals", body, self.lease.holds)
        if reply.status not in (200, 400, 503) or error_of(reply) == TROUBLE:
            return False
        names = rented_names(reply.body) if reply.status == 200 else []
        if names:
            self.intents.answered(intent.request, names)
        else:
            self.intents.refused(intent.request)
        self.inventory.expect_machines(intent, names)
        self._note_capacity(intent, reply, names)
        return True

    def _note_capacity(self, intent: Intent, reply: Reply, names: list[str]) -> None:
        """Log what the cloud rented, and back off from a kind for which it had too little capacity."""
        kind = intent.kind
        if reply.status == 200:
            self.kernel.log("info", f"rented {len(names)} of {intent.number} {kind.describe()}")
        short = reply.status == 200 and len(names) < intent.number
        if short or (reply.status == 503 and error_of(reply) == NO_CAPACITY):
            self.backoff.record_refusal(kind)
            self.kernel.log("info", f"no capacity for {kind.describe()}")
        elif names:
            self.backoff.clear(kind)
