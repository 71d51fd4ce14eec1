"""Computes which machines to rent: those that let tasks start so much earlier that this is worth their price.

A forecast places the queued tasks on present and pending machines.  A machine of a kind is added to the demand where
it would let a task start so much earlier that this is worth the price of the kind.
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
"""Limits what is rented for a job that has a latest start time, as a fraction of the cheapest price per task.

A kind whose price per task exceeds the cheapest by more than this fraction is rented only for tasks that would
otherwise start after that time; any other kind also for tasks that would start in the second half of the time left.
"""
MAX_DEMAND = 300
"""The most machines that one forecast requests."""
MIN_HEDGES = 2
HEDGE_DIVISOR = 3
"""At most 1/`HEDGE_DIVISOR` of the pending machines of a kind are left out of the forecast as overdue.

If `MIN_HEDGES` is more than that, it is the limit.  Replacements are requested for the machines left out.
"""


class Candidate(NamedTuple):
    """A machine kind that a job may use.  Candidates sort by price."""

    price: float
    """The price per hour for each task of the job that the machine can run at a time."""
    kind: MachineKind


@dataclass(frozen=True)
class Threshold:
    """If a task would start after `start_us` (time of day, us), a machine of `kind` is worth renting."""

    start_us: int
    kind: MachineKind


@dataclass(frozen=True)
class TaskSubset:
    """Tasks of a job that the forecast places together."""

    request: PlacementRequest
    tasks: int


class DemandForecaster:
    """Computes the demand for machines, and keeps `needed` and `cheapest_for_urgent` for other decisions."""

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

        Machines in `needed` are not returned.  The machines of a gang come up one after the other: if the first ones
        were returned as idle before the last one is up, they would never be present together.
        """
        self.cheapest_for_urgent: dict[str, MachineKind] = {}
        """For each job class with an objective for waiting times, the kind with the lowest price per task."""

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
        # Limits the excess, if the overdue machines boot after all, to about a third more machines than needed.
        hedges = {kind: max(number // HEDGE_DIVISOR, MIN_HEDGES) for kind, number in pending_by_kind.items()}
        for name, pending in self.inventory.pending.items():
            kind = pending.kind
            machine_type: MachineType | None = self.base.cluster_state.types.get(kind.type)
            draining_or_present = name in self.inventory.draining or name in self.base.cluster_state.machines
            if machine_type is None or draining_or_present:
                continue
            remaining_us = self.boot_times.remaining_us(kind, pending.requested_us, self.kernel.now_us)
            if remaining_us is None and hedges[kind] > 0:
                # Left out of the forecast, so that it requests a replacement.  If the overdue machine boots after
                # all, it is used as well.
                hedges[kind] -= 1
                continue
            plan.capacities.append(self._empty_machine(name, kind))
            wait_us = machine_type.boot_us if remaining_us is None else remaining_us
            ready_us[name] = self.kernel.wall_us + wait_us
        return ready_us

    def _empty_machine(self, name: str, kind: MachineKind) -> MachineCapacity:
        """Return the free capacity of a machine that is not present yet: all resources of its type are free."""
        machine_type = self.base.cluster_state.types[kind.type]
        machine = Machine(name, name, kind.type, kind.zone, {"address": "", "spot": kind.spot})
        return MachineCapacity(machine, machine_type, machine_type.cpus, machine_type.gpus, machine_type.memory_gb)

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
        """Place tasks in the forecast, and add to `demand` the machines that are worth renting for them."""
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
        """Return one threshold for each kind that may be rented for the job, the cheapest kind first.

        If all tasks of the job must run in one zone and none is placed yet, this sets the request's zone to that of
        the cheapest kind.
        """
        all_candidates = self._candidates(job.spec)
        cheapest = all_candidates[0] if all_candidates else Candidate(0.0, NO_KIND)
        available_candidates = [
            candidate for candidate in all_candidates if not self.backoff.is_blocked(candidate.kind)
        ]
        if job.spec.job_class in self.job_timing.wait_objectives_s:
            self.cheapest_for_urgent[job.spec.job_class] = cheapest.kind
        if job.spec.same_zone and request.zone is None and available_candidates:
            request.zone = available_candidates[0].kind.zone
        patience_s = self.job_timing.patience_s(job)
        start_by_us = self.job_timing.latest_start_us(job)
        return [
            self._threshold(candidate, cheapest.price, patience_s, start_by_us)
            for candidate in available_candidates
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
        """Return the threshold of a candidate: it is worth its price if a task would otherwise start later than that.

        `patience_s`: how long the job waits to avoid paying an extra amount equal to the cheapest price.
        `start_by_us`: when the job has to start to be done in time (time of day, us); None if no objective says so.
        """
        premium = max(candidate.price / cheapest_price - 1.0, 0.0) if cheapest_price else 0.0
        premium_wait_us = int(patience_s * SECOND_US * premium)
        wall_us = self.kernel.wall_us
        ready_us = wall_us + self.boot_times.expected_us(candidate.kind)
        start_us = ready_us + premium_wait_us + SECOND_US
        if start_by_us is not None:
            # As long as the job can still finish in time, it waits for present machines, because booting a machine
            # for one short task costs more than the task itself.
            start_us = max(start_us, start_by_us if premium > LARGE_PREMIUM else (wall_us + start_by_us) // 2)
        return Threshold(start_us, candidate.kind)


def _kinds(machine_type: MachineType, spec: JobSpec) -> Iterator[MachineKind]:
    """Yield the kinds of a machine type that a job allows."""
    for zone in machine_type.zones:
        if spec.zone in (None, zone):
            if spec.spot:
                yield MachineKind(machine_type.name, zone, True)
            yield MachineKind(machine_type.name, zone, False)
