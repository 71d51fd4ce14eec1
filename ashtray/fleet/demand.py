"""Computes which machines to rent: those without which tasks would wait longer than the price of a machine is worth.

A forecast serves the queue on the machines that are present and pending.  A new machine of some kind is called for
where it would let a task start so much earlier that this is worth the price of the kind.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import NamedTuple

from ashtray.base import Base
from ashtray.fleet.boot_times import BootTimes
from ashtray.fleet.capacity_backoff import CapacityBackoff
from ashtray.fleet.forecast import NEVER_US, Forecast, FutureMachine, future_machines
from ashtray.fleet.machine_inventory import MachineInventory
from ashtray.fleet.machine_kind import NO_KIND, MachineKind
from ashtray.jobs.job_timing import JobTiming
from ashtray.jobs.model import Job, JobSpec
from ashtray.kernel import SECOND_US
from ashtray.placement.machine_groups import Machine
from ashtray.placement.plan import Plan, Planner
from ashtray.placement.records import MachineType
from ashtray.placement.rules import MachineCapacity, PlacementRequest

LARGE_PREMIUM = 0.2
"""A kind whose price exceeds the cheapest by more than this share is rented only when a job is about to be late."""
MAX_DEMAND = 300
"""The most machines that one forecast calls for."""
MIN_HEDGES = 2
HEDGE_DIVISOR = 3
"""One in this many pending machines of a kind, but at least `MIN_HEDGES`, may be replaced while it is overdue."""


class Candidate(NamedTuple):
    """A machine kind that a job may use.  Candidates sort by price."""

    price: float
    """The price per hour for each task of the job that the machine can run at a time."""
    kind: MachineKind


@dataclass(frozen=True)
class Threshold:
    """Calls for a machine of `kind` where a task would start after `start_us` (time of day)."""

    start_us: int
    kind: MachineKind


@dataclass(frozen=True)
class TaskSubset:
    """Tasks of a job that the forecast serves together."""

    request: PlacementRequest
    tasks: int


class DemandForecaster:
    """Computes the demand for machines, and keeps what the decision to return machines depends on."""

    def __init__(
        self,
        base: Base,
        job_timing: JobTiming,
        planner: Planner,
        inventory: MachineInventory,
        boot_times: BootTimes,
        backoff: CapacityBackoff,
    ) -> None:
        self.base = base
        self.kernel = base.kernel
        self.job_timing = job_timing
        self.planner = planner
        self.inventory = inventory
        self.boot_times = boot_times
        self.backoff = backoff
        self.needed: set[str] = set()
        """The machines on which the last forecast placed waiting tasks.

        The machines of a gang come up one after the other.  If the first ones were returned as idle before the last
        one is up, they would never be present together.
        """
        self.cheapest_for_urgent: dict[str, MachineKind] = {}
        """For each job class with an objective for waiting times, the kind that serves it at the lowest price."""

    def compute(self) -> dict[MachineKind, int]:
        """Return how many machines of each kind are to be rented now."""
        wall_us = self.kernel.wall_us
        plan = self.planner.plan()
        jobs, _ = self.planner.queue()
        ready_us = self._add_pending(plan)
        if not jobs:
            self.needed = set()
            return {}
        machines = future_machines(
            self.base.cluster_state, plan.capacities, wall_us, ready_us, self.job_timing.run_us
        )
        forecast = Forecast(machines)
        demand: dict[MachineKind, int] = {}
        for job in jobs:
            tasks = len(plan.wanted(job, wall_us))
            if not tasks:
                continue
            plan.count(job, tasks)
            for subset in self._split_by_zone(plan.request_for(job), tasks):
                self._serve(job, subset, forecast, demand)
        self.needed = {machine.capacity.machine.name for machine in forecast.machines if machine.used}
        return demand

    def _add_pending(self, plan: Plan) -> dict[str, int]:
        """Add the pending machines to a plan, and return when each of them is expected (time of day, us)."""
        ready_us: dict[str, int] = {}
        pending_by_kind = Counter(pending.kind for pending in self.inventory.pending.values())
        # Bounds the cost when overdue machines come up after all: about a third more machines than needed.
        hedges = {kind: max(number // HEDGE_DIVISOR, MIN_HEDGES) for kind, number in pending_by_kind.items()}
        for name, pending in self.inventory.pending.items():
            kind = pending.kind
            machine_type: MachineType | None = self.base.cluster_state.types.get(kind.type)
            leaving = name in self.inventory.draining or name in self.base.cluster_state.machines
            if machine_type is None or leaving:
                continue
            remaining_us = self.boot_times.remaining_us(kind, pending.requested_us, self.kernel.now_us)
            if remaining_us is None and hedges[kind] > 0:
                # Not counted, so the forecast calls for a replacement.  If the machine comes up, it is used, too.
                hedges[kind] -= 1
                continue
            plan.capacities.append(self._empty_machine(name, kind))
            wait_us = machine_type.boot_us if remaining_us is None else remaining_us
            ready_us[name] = self.kernel.wall_us + wait_us
        return ready_us

    def _empty_machine(self, name: str, kind: MachineKind) -> MachineCapacity:
        """Return the free resources of a machine that is not present yet: all of its type's."""
        spec = self.base.cluster_state.types[kind.type]
        machine = Machine(name, name, kind.type, kind.zone, {"address": "", "spot": kind.spot})
        return MachineCapacity(machine, spec, spec.cpus, spec.gpus, spec.memory_gb)

    def _split_by_zone(self, request: PlacementRequest, tasks: int) -> list[TaskSubset]:
        """Split the tasks of a job with `spread` by zone; the tasks of any other job are one subset."""
        cluster = self.base.settings.cluster
        zones = [zone for zone in cluster.zones if request.spec.zone in (None, zone) and request.zone in (None, zone)]
        if not request.spec.spread or len(zones) < 2:
            return [TaskSubset(request, tasks)]
        subsets = []
        for n, zone in enumerate(zones):
            even_share = -(-tasks // (len(zones) - n))
            number = min(even_share, request.zone_allows(zone))
            tasks -= number
            subsets.append(TaskSubset(replace(request, zone=zone), number))
        return [subset for subset in subsets if subset.tasks > 0]

    def _serve(self, job: Job, subset: TaskSubset, forecast: Forecast, demand: dict[MachineKind, int]) -> None:
        """Place tasks in the forecast, and add the machines that they call for to `demand`."""
        request, remaining = subset.request, subset.tasks
        run_us = self.job_timing.run_us(job)
        thresholds = self._thresholds(job, request)
        while remaining > 0 and forecast.remaining_steps > 0:
            start_us = forecast.earliest(request)
            kind = next((threshold.kind for threshold in thresholds if start_us > threshold.start_us), None)
            if kind is not None and sum(demand.values()) < MAX_DEMAND:
                demand[kind] = demand.get(kind, 0) + 1
                capacity = self._empty_machine(f"demand-{len(forecast.machines)}", kind)
                ready_us = self.kernel.wall_us + self.boot_times.expected_us(kind)
                forecast.add(FutureMachine(capacity, ready_us, []), request)
                start_us = forecast.earliest(request)
            if start_us >= NEVER_US:
                break
            remaining -= forecast.take(request, remaining, run_us)
        forecast.finish_job(request)

    def _thresholds(self, job: Job, request: PlacementRequest) -> list[Threshold]:
        """Return the kinds that may be rented for a job with their thresholds, the cheapest first.

        If all tasks of the job must run in one zone and none is placed yet, this chooses the zone.
        """
        suitable = self._candidates(job.spec)
        cheapest = suitable[0] if suitable else Candidate(0.0, NO_KIND)
        candidates = [candidate for candidate in suitable if not self.backoff.is_blocked(candidate.kind)]
        if job.spec.job_class in self.job_timing.wait_objectives_s:
            self.cheapest_for_urgent[job.spec.job_class] = cheapest.kind
        if job.spec.same_zone and request.zone is None and candidates:
            request.zone = candidates[0].kind.zone
        patience_s = self.job_timing.patience_s(job)
        start_by_us = self.job_timing.latest_start_us(job)
        return [
            self._threshold(candidate, cheapest.price, patience_s, start_by_us)
            for candidate in candidates
            if request.zone in (None, candidate.kind.zone) and request.zone_allows(candidate.kind.zone) > 0
        ]

    def _candidates(self, spec: JobSpec) -> list[Candidate]:
        """Return the machine kinds that a job may use, sorted by the price for each task."""
        found = []
        for machine_type in self.base.cluster_state.types.values():
            fits = machine_type.fits(spec.cpus, spec.gpus, spec.memory_gb)
            if not fits or (spec.types and machine_type.name not in spec.types):
                continue
            for kind in _kinds(machine_type, spec):
                price = machine_type.spot_price if kind.spot else machine_type.price
                found.append(Candidate(price / min(fits, spec.tasks), kind))
        return sorted(found)

    def _threshold(
        self, candidate: Candidate, cheapest_price: float, patience_s: float, start_by_us: int | None
    ) -> Threshold:
        """Return from which expected start time on a candidate is worth its price.

        `patience_s`: how long the job waits rather than pay the cheapest price once more.  `start_by_us`: when the
        job has to start to be done in time, if it has an objective for that.
        """
        premium = max(candidate.price / cheapest_price - 1.0, 0.0) if cheapest_price else 0.0
        premium_wait_us = int(patience_s * SECOND_US * premium)
        wall_us = self.kernel.wall_us
        ready_us = wall_us + self.boot_times.expected_us(candidate.kind)
        start_us = ready_us + premium_wait_us + SECOND_US
        if start_by_us is not None:
            # While the job can still be done in time it waits for the present machines: booting a machine for one
            # short task costs more than the task itself.
            start_us = max(start_us, start_by_us if premium > LARGE_PREMIUM else (wall_us + start_by_us) // 2)
        return Threshold(start_us, candidate.kind)


def _kinds(machine_type: MachineType, spec: JobSpec) -> Iterator[MachineKind]:
    """Yield the kinds of a machine type that a job allows."""
    for zone in machine_type.zones:
        if spec.zone in (None, zone):
            if spec.spot:
                yield MachineKind(machine_type.name, zone, True)
            yield MachineKind(machine_type.name, zone, False)
