"""Returns machines: drains them, deletes them in the cloud, and frees their allocations.

This order keeps safety points 1 and 2 of `docs/design.md`: first a machine is marked in its group record, so that no
task is placed on it any more; then it is deleted; only once the cloud has confirmed the deletion are its tasks placed
elsewhere.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial

from ashtray.base import Base
from ashtray.fleet.cloud_client import CloudClient
from ashtray.fleet.fleet_lease import FleetLease
from ashtray.fleet.group_edits import GroupEdits
from ashtray.fleet.machine_inventory import MachineInventory
from ashtray.fleet.machine_review import MachineReview
from ashtray.fleet.messages import deletion
from ashtray.jobs.model import LIVE_JOB_PREFIX, Job
from ashtray.kernel import Coroutine
from ashtray.placement.machine_groups import Machine
from ashtray.placement.preemption import Victims, can_checkpoint, stop_victims
from ashtray.store.limits import Cost, Limits
from ashtray.store.rate_limiter import Urgency
from ashtray.store.transaction import CommitOutcome, Txn

MAX_COMMITS = 12
"""The most commits in a row for one step; the remaining machines wait for the next round."""
MAX_DELETED = 100
"""The most machines deleted with one request."""
MAX_EXPECTED_WRITES = 8
"""The most writes for which a removal waits in the write budget before it is built."""


class Decommissioning:
    """Takes machines out of service.  `inventory.draining` holds the machines that are to be deleted."""

    def __init__(
        self,
        base: Base,
        lease: FleetLease,
        cloud: CloudClient,
        inventory: MachineInventory,
        review: MachineReview,
    ) -> None:
        self.base = base
        self.kernel = base.kernel
        self.lease = lease
        self.cloud = cloud
        self.inventory = inventory
        self.review = review

    # Draining

    def drain_lost(self) -> Coroutine[None]:
        """Begin to return machines that never came up, fell silent, failed or are idle."""
        lost = self.review.lost_pending() + self.review.lost_or_idle()
        yield from self._checkpoint_gangs()
        machines = self.base.cluster_state.machines
        self.inventory.draining.update(name for name in lost if name not in machines)
        yield from self._drain([name for name in lost if name in machines])

    def _checkpoint_gangs(self) -> Coroutine[None]:
        """Preempt the gangs that are about to lose a machine: all tasks at once, so that they write a checkpoint.

        A gang that cannot be stopped in one transaction goes on and falls back to its last checkpoint: stopping only
        some of its tasks would lose the progress of all.
        """
        cluster_state = self.base.cluster_state
        seen: set[str] = set()
        for machine in list(cluster_state.machines.values()):
            if not machine.record.retiring or machine.name in self.inventory.draining:
                continue
            for allocation in machine.holds:
                job = cluster_state.jobs.get(allocation.job)
                if job is None or job.id in seen or not can_checkpoint(job, allocation):
                    continue
                seen.add(job.id)
                yield from self._preempt_gang(job, machine)

    def _preempt_gang(self, job: Job, machine: Machine) -> Coroutine[None]:
        victims: Victims = {}
        for (name, _), allocation in self.base.cluster_state.allocations[job.id].items():
            victims.setdefault(name, {}).setdefault((job.id, allocation.attempt), set()).update(allocation.tasks)
        build = partial(stop_victims, self.base.cluster_state, victims, self.base.limits_for("stop"), whole=True)
        outcome = yield from self.base.follower.commit(build, len(victims), Urgency.FOLD, "stop")
        if outcome is CommitOutcome.COMMITTED:
            self.kernel.log("info", f"{job.id} is stopped with a checkpoint: {machine.name} is being returned")

    def _drain(self, names: list[str]) -> Coroutine[None]:
        """Mark machines as being returned, one write for each group, so that nothing is placed on them any more."""
        marked: list[str] = []
        draining = self.inventory.draining
        remaining = [name for name in names if name not in draining]
        for _ in range(MAX_COMMITS):
            machines = self.base.cluster_state.machines
            draining.update(name for name in remaining if name in machines and machines[name].record.retiring)
            remaining = [name for name in remaining if name in machines and not machines[name].record.retiring]
            if not remaining:
                break
            idle = {name for name in remaining if not machines[name].holds}
            build = partial(self._drain_transaction, remaining, idle, marked)
            groups = min(len({machines[name].group for name in remaining}), self.base.limits.ops)
            outcome = yield from self.base.follower.commit(build, groups, Urgency.PLACE, "return")
            if outcome is CommitOutcome.COMMITTED:
                for name in marked:
                    self.kernel.log("info", f"{name} is to be returned")
                draining.update(marked)
                remaining = [name for name in remaining if name not in marked]
            elif outcome is CommitOutcome.NOTHING or not (yield from self.base.follower.barrier()):
                break

    def _drain_transaction(self, names: list[str], idle: set[str], marked: list[str]) -> Txn | None:
        """Build the transaction that marks machines as being returned, and put their names into `marked`.

        A machine in `idle` that has got tasks since it was chosen is not marked.  Returns None if nothing is to be
        marked or this controller does not hold the fleet lease.
        """
        marked.clear()
        if not self.lease.holds():
            return None
        edits = GroupEdits(self.base, self.base.limits_for("return"))
        for name in names:
            machine = self.base.cluster_state.machines.get(name)
            if machine is None or machine.record.retiring or (name in idle and machine.holds):
                continue
            if not edits.can_add(machine, Cost()):
                continue
            # Safety point 1: placement on the machine ends before the machine is deleted.
            edits.edit_of(machine).machine(name).retiring = True
            marked.append(name)
        return edits.write(self.lease.under_term(Txn()), marked)

    # Deletion

    def delete_drained(self) -> Coroutine[None]:
        """Delete the drained machines; once the cloud has confirmed that, free their allocations."""
        self._keep_adopted()
        names = sorted(self.inventory.draining)[:MAX_DELETED]
        if not names:
            return
        # Safety point 1: nothing is freed before the cloud has confirmed the deletion.
        reply = yield from self.cloud.request("POST", "/rentals/delete", deletion(names))
        if reply.status != 200:
            return
        self.inventory.note_deleted(names)
        yield from self._remove_deleted(names)
        self.inventory.forget_deleted()

    def _keep_adopted(self) -> None:
        """Keep machines that were given up before they had a record, but came up before they were deleted.

        Tasks may have been placed on them, and only a marked machine may be deleted (safety point 1).
        """
        machines = self.base.cluster_state.machines
        draining = self.inventory.draining
        adopted = [name for name in draining if name in machines and not machines[name].record.retiring]
        for name in adopted:
            self.kernel.log("info", f"{name} came up after it was given up: it is kept")
        draining.difference_update(adopted)

    # Freeing

    def _remove_deleted(self, names: list[str]) -> Coroutine[None]:
        """Remove machines whose deletion is confirmed from their group records, with their allocations."""
        draining = self.inventory.draining
        machines = self.base.cluster_state.machines
        removed: list[str] = []
        for _ in range(MAX_COMMITS):
            remaining = [name for name in names if name in machines]
            if not remaining:
                break
            yield from self._drain_unmarked(remaining)
            build = partial(self._removal_transaction, remaining, removed)
            groups = {machines[name].group for name in remaining if name in machines}
            expected_writes = min(len(groups) + 1, MAX_EXPECTED_WRITES)
            outcome = yield from self.base.follower.commit(build, expected_writes, Urgency.FOLD, "remove")
            if outcome is CommitOutcome.COMMITTED:
                self._note_removed(removed)
            elif outcome is CommitOutcome.NOTHING or not (yield from self.base.follower.barrier()):
                break
            machines = self.base.cluster_state.machines
        machines = self.base.cluster_state.machines
        draining.difference_update(name for name in names if name not in machines)

    def _drain_unmarked(self, names: list[str]) -> Coroutine[None]:
        """Mark deleted machines that got a record after they were given up: placement on them must stop first."""
        machines = self.base.cluster_state.machines
        unmarked = [name for name in names if not machines[name].record.retiring]
        if unmarked:
            self.inventory.draining.difference_update(unmarked)
            yield from self._drain(unmarked)

    def _note_removed(self, names: list[str]) -> None:
        for name in names:
            self.inventory.known_since.pop(name, None)
            self.kernel.log("info", f"{name} is deleted and removed from its group")

    def _removal_transaction(self, names: list[str], removed: list[str]) -> Txn | None:
        """Build the transaction that removes machines, and put their names into `removed`; None without changes."""
        limits = self.base.limits_for("remove")
        edits = GroupEdits(self.base, limits)
        broken: dict[str, int] = {}
        removed.clear()
        for name in names:
            machine = self.base.cluster_state.machines.get(name)
            if machine is None or not machine.record.retiring:
                continue
            gangs = {**broken, **self._broken_gangs(machine)}
            fits = edits.can_add(machine, self._cost(gangs))
            if not fits and not edits:
                # More gangs than fit into a transaction: mark some as broken, and remove the machine in a later one.
                broken = self._first_that_fit(gangs, limits)
                break
            if not fits:
                continue
            edits.edit_of(machine).remove(name)
            broken = gangs
            removed.append(name)
        txn = Txn()
        for job_id, attempt in broken.items():
            job = self.base.cluster_state.jobs[job_id]
            txn.guard(LIVE_JOB_PREFIX + job_id, job.version).put(
                LIVE_JOB_PREFIX + job_id, job.updated_record(broken=attempt)
            )
        return edits.write(txn, removed)

    def _cost(self, gangs: Iterable[str]) -> Cost:
        """Return what writing the records of these gangs takes of a transaction."""
        jobs = self.base.cluster_state.jobs
        sizes = [jobs[job_id].write_size() for job_id in gangs]
        return Cost(len(sizes), sum(sizes))

    def _first_that_fit(self, gangs: dict[str, int], limits: Limits) -> dict[str, int]:
        """Return the first of these gangs, as many as fit into a transaction and at least one."""
        found: dict[str, int] = {}
        for job_id, attempt in gangs.items():
            if found and not self._cost([*found, job_id]).within(limits):
                break
            found[job_id] = attempt
        return found

    def _broken_gangs(self, machine: Machine) -> dict[str, int]:
        """Return the gangs that lose tasks with a machine, each with the attempt that ends."""
        broken = {}
        for allocation in machine.holds:
            job = self.base.cluster_state.jobs.get(allocation.job)
            if job is not None and job.spec.kind == "gang" and allocation.attempt > job.record.broken:
                broken[job.id] = allocation.attempt
        return broken
