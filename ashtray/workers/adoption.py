"""Adoption: machines that are up and in no group are added to groups of their type and zone."""

from __future__ import annotations

from ashtray.base import Base
from ashtray.kernel import SECOND_US, Coroutine, Signal, Sleep
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.group_edit import GroupEdit
from ashtray.placement.machine_groups import Group
from ashtray.placement.records import MachineRecord, MachineType
from ashtray.placement.state_keys import ADOPTED, GROUP
from ashtray.store.limits import Cost, Limits
from ashtray.store.rate_limiter import Urgency
from ashtray.store.transaction import MAX_VERSION_BYTES, CommitOutcome, Txn, guarded_write_size
from ashtray.workers.messages import Report

ADOPTION_DELAY_US = 200_000
"""How long machines that are in no group wait for others that can be added in the same transaction."""
NEW_MACHINE_BYTES = 120
"""What a new machine adds to a group's record."""
MAX_RECORD_SHARE_TO_GROW = 0.6
"""A group whose record takes this part of the value size limit gets no more machines."""
FULL_FORM_BYTES, COMPACT_FORM_BYTES = (450, 110), (70, 28)
"""Bytes of a record for each machine and each allocation, with images and completed tasks: full and compact form."""
CPUS_PER_ALLOCATION = 16
"""The CPUs that an allocation is expected to take on average, for estimates of record sizes."""
MAX_GROUP_MACHINES = 32
"""The most machines in a group, however many fit into a value.

All controllers write to the same records and read every change of each record, and all workers of a group report to
one controller.  So larger groups need fewer writes, but each change takes longer to read and conflicts more often.
"""
GROUP_SHARE = 0.7
"""The part of the value size limit that the estimated records of a group's machines may take."""


class MachineAdoption:
    """Adds machines that report here and are in no group to groups."""

    def __init__(self, base: Base) -> None:
        self.base = base
        self._unknown: dict[str, Report] = {}
        """The newest reports of machines that are in no group, by name."""
        self._signal = Signal()

    def note(self, report: Report) -> None:
        """Note that a machine in no group has reported."""
        self._unknown[report.machine] = report
        self.base.kernel.fire(self._signal)

    def run(self) -> Coroutine[None]:
        """Wait for machines that are in no group, and add those of one type and zone to groups."""
        if not self._unknown:
            yield self._signal
        yield Sleep(ADOPTION_DELAY_US)
        if not (yield from self.base.follower.barrier()):
            return
        adopted: list[str] = []

        def build() -> Txn | None:
            known = self.base.cluster_state.machines
            self._unknown = {name: report for name, report in self._unknown.items() if name not in known}
            kinds: dict[tuple[str, str], dict[str, Report]] = {}
            for name, report in self._unknown.items():
                kinds.setdefault((report.type, report.zone), {})[name] = report
            if not kinds:
                return None
            largest = max(kinds.values(), key=len)
            group_size, limits = self.base.operator_settings.group_size, self.base.limits_for("adopt")
            txn, adopted[:] = adoption(self.base.cluster_state, largest, group_size, limits)
            return txn

        if (yield from self.base.follower.commit(build, 2, Urgency.FOLD, "adopt")) is CommitOutcome.COMMITTED:
            for name in adopted:
                report = self._unknown.pop(name)
                self.base.kernel.log("info", f"{name} ({report.type}, {report.zone}) is up")
        else:
            # Machines that another controller has added meanwhile, or that are gone, do not report here again.
            self._unknown.clear()
            yield Sleep(int(self.base.kernel.rng.uniform(0.02, 0.2) * SECOND_US))


def group_size(machine_type: MachineType | None, limits: Limits) -> int:
    """Return how many machines of a type share a record: as many as fit into a value with their likely allocations.

    Fewer and larger groups need fewer writes, because a placement or a fold costs one write for each group.
    """
    allocations = (
        max(machine_type.gpus / 2, machine_type.cpus / CPUS_PER_ALLOCATION, 1.0) if machine_type is not None else 1.0
    )
    machine_bytes, allocation_bytes = FULL_FORM_BYTES
    if limits.compact:
        # A group that fills up is split, so it need not be small from the start.
        machine_bytes, allocation_bytes, allocations = *COMPACT_FORM_BYTES, max(allocations / 2, 1.0)
    fits = int(limits.value_bytes * GROUP_SHARE / (machine_bytes + allocations * allocation_bytes))
    return max(min(fits, MAX_GROUP_MACHINES), 1)


def max_group_size(limits: Limits) -> int:
    """Return how many machines a record can have at most under the lowest value size limit to come."""
    return int(limits.final_value_bytes * MAX_RECORD_SHARE_TO_GROW / NEW_MACHINE_BYTES) + 1


def adoption(
    cluster_state: ClusterState, unknown_machines: dict[str, Report], fixed_size: int | None, limits: Limits
) -> tuple[Txn, list[str]]:
    """Return the transaction that adds unknown machines of one type and zone to groups, and the machines it adds.

    Groups that are not full come first, then new groups.  The transaction guards and raises the version of a key of
    the machines' type and zone.  It succeeds only if the cluster state has all earlier adoptions, so no machine gets
    into two groups.
    """
    first = next(iter(unknown_machines.values()))
    max_machines = fixed_size or group_size(cluster_state.types.get(first.type), limits)
    max_bytes = limits.value_bytes * MAX_RECORD_SHARE_TO_GROW - NEW_MACHINE_BYTES
    type_and_zone = (first.type, first.zone)
    lock = f"{ADOPTED}{first.type}.{first.zone}"
    groups = (group for _, group in sorted(cluster_state.groups.items()) if (group.type, group.zone) == type_and_zone)
    open_groups = [g for g in groups if len(g.machines) < max_machines and g.size < max_bytes and not g.moving]
    txn = Txn().guard(lock, cluster_state.version(lock)).put(lock, cluster_state.version(lock))
    cost = Cost(1, guarded_write_size(lock, MAX_VERSION_BYTES))
    adopted: list[str] = []
    remaining = sorted(unknown_machines)
    while remaining:
        group = open_groups.pop(0) if open_groups else _new_group(cluster_state, first, remaining[0])
        fits = int((max_bytes - group.size) // NEW_MACHINE_BYTES) + 1
        batch = remaining[: min(max_machines - len(group.machines), max(fits, 1))]
        cost = cost.plus(Cost(1, guarded_write_size(group.key, group.size + NEW_MACHINE_BYTES * len(batch))))
        if adopted and not cost.within(limits):
            break
        remaining = remaining[len(batch) :]
        edit = GroupEdit(group)
        for name in batch:
            machine = unknown_machines[name]
            edit.replace(name, MachineRecord(address=machine.address, spot=machine.spot))
        if edit.write(txn, limits, cluster_state.is_live):
            adopted += batch
    return txn, adopted


def _new_group(cluster_state: ClusterState, machine: Report, name: str) -> Group:
    """Return an empty group for machines of the type and in the zone of this one, with a key that no group has."""
    key = f"{GROUP}{machine.type}.{machine.zone}.{name}"
    while cluster_state.version(key):
        key += "+"
    return Group(key, {"type": machine.type, "zone": machine.zone, "machines": {}}, 0)
