"""Folding: what a group's owners have learnt of its machines becomes one change of its record."""

from __future__ import annotations

from collections.abc import Container, Iterable, Iterator
from dataclasses import dataclass, field

from ashtray.jobs.model import LIVE, MOST_LATER, OVER, Job
from ashtray.kernel import SECOND_US, Kernel
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.group_edit import GroupEdit
from ashtray.placement.machine_groups import Group, Machine
from ashtray.placement.records import AllocationRecord, MachineRecord, MachineType
from ashtray.placement.state_keys import ADOPTED, GROUP
from ashtray.runs import decode_runs, encode_runs
from ashtray.store.client import Limits, Txn
from ashtray.workers.messages import Report, TaskState

SAVE_LEAD_US = 5 * SECOND_US
"""A report may be three seconds away, and a commit one more."""
DONE_SHARE = 0.125
"""A job whose completed tasks would take more of a group's record has them written into its own."""

NEW_MACHINE_BYTES = 120
FULL_SHARE = 0.6
"""A group that takes this part of a value gets no more machines."""
FULL_FORM_BYTES, COMPACT_FORM_BYTES = (450, 110), (70, 28)
"""What a machine and a hold take of a record, with images and completed tasks: in full and in lean form."""
TOKEN_UPDATE_BYTES = 60
"""What a new token, an address and a flag may add to a machine's part."""
CPUS_PER_ALLOCATION = 16
MAX_REMEMBERED_FAILURES = 6
"""So many jobs that failed on a machine, and machines that a job failed on, are remembered."""
MAX_GROUP_MACHINES = 32
"""In a group, however much a value holds: all controllers write the same records, each change of one is read by all
of them, and all its workers report to one.  Tried on simulated days of 830 machines: 48 and 120 spared changes, but
reading a record of 48 takes 1.0 ms of processor time, and with 120 conflicts took what was spared.
"""
GROUP_SHARE = 0.7
"""Of a value, what a group's machines may be expected to take: estimates of their records' sizes."""
SPILL_SHARE = 0.75
"""Nor does a group whose record takes more than this part of a value keep any more of them."""


@dataclass
class JobFold:
    """What a fold changes in one job's record."""

    finished: set[int] = field(default_factory=set)
    broken: int = 0
    errors: int = 0
    failed_on: set[str] = field(default_factory=set)
    successes: int = 0
    ends: bool = False
    """The job is to be ended now, with all of its tasks known to be done."""
    spilled: bool = False
    """What completed is written into the job's own record, not into the group's."""

    def add(self, other: JobFold) -> None:
        """Add what another fold of the same job says."""
        self.finished |= other.finished
        self.broken = max(self.broken, other.broken)
        self.errors += other.errors
        self.failed_on |= other.failed_on
        self.successes += other.successes
        self.spilled = self.spilled or other.spilled
        self.ends = self.ends or other.ends


def allocation_is_dead(cluster_state: ClusterState, job_id: str, attempt: int, stop_us: int) -> bool:
    """Whether a hold's tasks are not to be started any more."""
    job = cluster_state.jobs.get(job_id)
    if job is None or stop_us >= 0 or attempt <= job.record.broken:
        return True
    return job_id in cluster_state.cancelled_elsewhere


@dataclass
class Evidence:
    """A worker's newest report, heard by its owner.

    `exact` says that it carries exactly this controller's token: no order of an earlier owner can be executed
    after it, so a task that it does not list is surely not there.
    """

    report: Report
    token: int
    proves_absence: bool
    time_left_us: int | None = None
    """The time until the cloud takes the machine away, if it has said so."""


def fold_machine(
    cluster_state: ClusterState,
    machine: Machine,
    record: MachineRecord,
    evidence: Evidence,
    folds: dict[str, JobFold],
    deferred_jobs: Container[str] = (),
) -> bool:
    """Apply a report to a copy of a machine's record, but for some jobs; says whether anything changed."""
    if record.token > evidence.token:
        # A later owner has signed since (safety, point 3).  In the machine's next session it may have started anew,
        # under the same attempt, what this report lists as ended.
        return False
    changed = False
    report = evidence.report
    if evidence.proves_absence and record.token < evidence.token:
        record.token = evidence.token
        record.address = report.address
        changed = True
    if report.notice_us is not None and not record.retiring:
        record.retiring = True
        changed = True
    # While orders are on their way, absence is no evidence, and the token is not written either.
    absence_is_proof = evidence.proves_absence and record.token == evidence.token
    kept = []
    for allocation, current in zip(record.holds, machine.holds, strict=True):
        if allocation.job in deferred_jobs:
            kept.append(allocation)
            continue
        tasks = current.tasks
        dead = allocation_is_dead(cluster_state, allocation.job, allocation.attempt, allocation.stop_us)
        remaining = set()
        for task in tasks:
            seen: TaskState | None = report.tasks.get((allocation.job, allocation.attempt, task))
            if seen is not None and seen.state == "ended":
                record_task_end(cluster_state, machine.name, record, allocation, task, seen.cause, folds)
            elif seen is None and dead and absence_is_proof:
                record_task_end(cluster_state, machine.name, record, allocation, task, "absent", folds)
            else:
                remaining.add(task)
        if len(remaining) < len(tasks):
            changed = True
            allocation.tasks = encode_runs(remaining)
        if remaining:
            job = cluster_state.jobs.get(allocation.job)
            if job is not None and must_save_now(job, allocation.stop_us, evidence.time_left_us):
                allocation.stop_us = job.spec.save_us
                changed = True
            kept.append(allocation)
    record.holds = kept
    return changed


def must_save_now(job: Job, stop_us: int, time_left_us: int | None) -> bool:
    """Whether tasks are to save now because their machine goes: as late as it can be told, saved and reported.

    A gang is stopped as a whole, which one machine's owner cannot do: the fleet's runner sees to it.
    """
    spec = job.spec
    if time_left_us is None or stop_us >= 0 or not spec.checkpoint_us or spec.kind == "gang":
        return False
    return spec.save_us <= time_left_us <= spec.save_us + SAVE_LEAD_US


def record_task_end(
    cluster_state: ClusterState,
    name: str,
    record: MachineRecord,
    allocation: AllocationRecord,
    task: int,
    cause: str | None,
    folds: dict[str, JobFold],
) -> None:
    """Account for one task that has left its machine."""
    job_id, attempt = allocation.job, allocation.attempt
    job = cluster_state.jobs.get(job_id)
    if cause == "done":
        record.failed = []
    elif cause == "error" and job_id not in record.failed:
        record.failed = [*record.failed, job_id][-MAX_REMEMBERED_FAILURES:]
    if job is None:
        return
    fold = folds.setdefault(job_id, JobFold())
    if cause == "done":
        fold.successes += 1
        if job.spec.kind == "service":
            return
        # The tasks of a gang complete together, so one that is done speaks for all.
        fold.finished |= set(range(job.spec.tasks)) if job.spec.kind == "gang" else {task}
    else:
        if cause == "error":
            fold.errors += 1
            fold.failed_on.add(name)
        if job.spec.kind == "gang":
            fold.broken = max(fold.broken, attempt)


def end_job(txn: Txn, job: Job, status: str, done: int, at_us: int) -> Txn:
    """Move a job's record to where final states are kept."""
    over = job.over(status, done, at_us)
    return txn.guard(LIVE + job.id, job.version).remove(LIVE + job.id).put(OVER + job.id, over)


def put_job(kernel: Kernel, cluster_state: ClusterState, txn: Txn, job: Job, fold: JobFold) -> bool:
    """Add a job's change to a transaction; says whether the job is done with it."""
    if completes_job(cluster_state, job, fold):
        end_job(txn, job, "done", job.spec.tasks, kernel.wall_us)
        return True
    txn.guard(LIVE + job.id, job.version)
    errors, failed_on = job.record.errors, job.record.failed_on
    if fold.successes:
        errors, failed_on = 0, []
    elif fold.errors:
        errors += 1
        failed_on = [name for name in failed_on if name not in fold.failed_on]
        failed_on = [*failed_on, *sorted(fold.failed_on)][-MAX_REMEMBERED_FAILURES:]
    txn.put(
        LIVE + job.id,
        job.value(
            finished=job.finished | fold.finished if fold.spilled else None,
            broken=max(job.record.broken, fold.broken),
            errors=errors,
            error_us=kernel.wall_us if fold.errors else job.record.error_us,
            failed_on=failed_on,
        ),
    )
    return False


def completes_job(cluster_state: ClusterState, job: Job, fold: JobFold) -> bool:
    """Whether all tasks of a job are done.

    Tasks once done stay done, so a late cluster state can only make a job end later.
    """
    if job.spec.kind == "service":
        return False
    tasks = job.spec.tasks
    known = cluster_state.finished(job)
    return len(known) + len(fold.finished) >= tasks and len(known | fold.finished) >= tasks


def ends_later(job: Job, limits: Limits) -> bool:
    """Whether a job counts as done once its groups say so, though its record is moved only later.

    Moving it costs two changes, and for nothing but tidiness.  A cancellation meanwhile has to guard the groups with
    the job's tasks, so the job must be small enough for that.
    """
    return job.spec.kind != "service" and job.spec.tasks <= most_later(limits)


def most_later(limits: Limits) -> int:
    """Of how many tasks such a job may be."""
    return min(MOST_LATER, limits.least_guards - 2)


class Fold:
    """One transaction that folds as much as fits of what is known of some machines."""

    def __init__(self, kernel: Kernel, cluster_state: ClusterState, limits: Limits) -> None:
        self.kernel = kernel
        self.cluster_state = cluster_state
        self.limits = limits
        self.jobs: dict[str, JobFold] = {}
        self.lines: list[str] = []
        self.unchanged: set[str] = set()
        """Machines whose reports say nothing that their records do not."""
        self.taken: set[str] = set()
        self.freed: dict[str, tuple[float, float, float]] = {}
        """The room that light folds free, by machine."""
        self.edits: dict[str, GroupEdit] = {}
        self._ops = 0
        self._bytes = 0
        self._sizes: dict[str, int] = {}

    def add(self, group: Group, names: Iterable[str], evidence: dict[str, Evidence]) -> None:
        """Fold the reports of some of a group's machines, as far as there is room for the changes."""
        edit = GroupEdit(group)
        for name, machine, machine_evidence in self._with_reports(group, names, evidence):
            for force_spill in (False, True):
                # Where what completed would make the record too large, it goes into the jobs' own.
                spills = force_spill or self._nearly_full(group)
                record = edit.copy_of(name)
                job_folds: dict[str, JobFold] = {}
                if not fold_machine(self.cluster_state, machine, record, machine_evidence, job_folds):
                    self.unchanged.add(name)
                    break
                # A job that ends may cost two changes: more than a transaction takes are folded in turns.
                costly = [job_id for job_id, fold in job_folds.items() if self._extra_ops(job_id, fold, edit, spills)]
                deferred = set(costly[max((self.limits.ops - 1) // 2, 1) :])
                if deferred:
                    record, job_folds = edit.copy_of(name), {}
                    fold_machine(self.cluster_state, machine, record, machine_evidence, job_folds, deferred)
                ops = sum(self._extra_ops(j, fold, edit, spills) for j, fold in job_folds.items())
                after = self._size_after(edit, machine, record, job_folds)
                if not self.limits.takes(after, len(group.machines) == 1 and after < group.size):
                    continue
                ops += group.key not in self.edits
                size = 0 if group.key in self.edits else group.size
                if self._ops and (self._ops + ops > self.limits.ops or self._bytes + size > self.limits.txn_bytes):
                    break
                self._ops += ops
                self._bytes += size
                self._include(edit, name, record, job_folds, after)
                break

    def add_light(self, group: Group, names: Iterable[str], evidence: dict[str, Evidence]) -> None:
        """Fold those reports that change their group's record only."""
        edit = GroupEdit(group)
        for name, machine, machine_evidence in self._with_reports(group, names, evidence):
            record = edit.copy_of(name)
            job_folds: dict[str, JobFold] = {}
            if not fold_machine(self.cluster_state, machine, record, machine_evidence, job_folds):
                continue
            if any(
                self._extra_ops(job_id, fold, edit, self._nearly_full(group)) for job_id, fold in job_folds.items()
            ):
                continue
            after = self._size_after(edit, machine, record, job_folds)
            if not self.limits.takes(after):
                continue
            self._include(edit, name, record, job_folds, after)
            kept = [len(decode_runs(allocation.tasks)) for allocation in record.holds]
            self.freed[name] = (
                machine.cpus - sum(n * allocation.cpus for n, allocation in zip(kept, record.holds, strict=True)),
                machine.gpus - sum(n * allocation.gpus for n, allocation in zip(kept, record.holds, strict=True)),
                machine.memory_gb
                - sum(n * allocation.memory_gb for n, allocation in zip(kept, record.holds, strict=True)),
            )

    def _with_reports(
        self, group: Group, names: Iterable[str], evidence: dict[str, Evidence]
    ) -> Iterator[tuple[str, Machine, Evidence]]:
        """The machines with something to fold; none of a group that is being moved, for its record is not written."""
        if group.moving:
            return
        for name in sorted(names):
            machine, machine_evidence = group.machines.get(name), evidence.get(name)
            if machine is None or machine_evidence is None:
                self.unchanged.add(name)
            else:
                yield name, machine, machine_evidence

    def _size(self, group: Group) -> int:
        """What a group's record will take, so far."""
        return self._sizes.get(group.key, group.size)

    def _nearly_full(self, group: Group) -> bool:
        return self._size(group) > self.limits.value_bytes * SPILL_SHARE

    def _size_after(self, edit: GroupEdit, machine: Machine, record: MachineRecord, folds: dict[str, JobFold]) -> int:
        """What a group's record takes with one machine's report; while there is room, more rather than less."""
        done = dict(edit.done)
        upper_bound = (
            self._size(edit.group) + TOKEN_UPDATE_BYTES + sum(len(allocation.tasks) for allocation in record.holds)
        )
        for job_id, fold in folds.items():
            if fold.spilled:
                done.pop(job_id, None)
            elif fold.finished:
                done[job_id] = edit.with_done(job_id, fold.finished)
                upper_bound += len(job_id) + len(done[job_id]) + 6
            upper_bound += len(job_id) + 6 if fold.errors else 0
        if self.limits.takes(upper_bound):
            return upper_bound
        return edit.size_with(machine.name, record, done, self.limits)

    def _include(
        self, edit: GroupEdit, name: str, record: MachineRecord, folds: dict[str, JobFold], size: int
    ) -> None:
        """Make what a machine's report says a part of this transaction."""
        edit.replace(name, record)
        self.edits[edit.group.key] = edit
        self._sizes[edit.group.key] = size
        self.taken.add(name)
        for job_id, fold in folds.items():
            self.jobs.setdefault(job_id, JobFold()).add(fold)
            if fold.spilled:
                edit.done.pop(job_id, None)
            elif fold.finished:
                edit.add_done(job_id, fold.finished)

    def _extra_ops(self, job_id: str, fold: JobFold, edit: GroupEdit, nearly_full: bool) -> int:
        """How many more changes a job's part costs; the end of one, its short record and its removal, costs two."""
        job = self.cluster_state.jobs[job_id]
        combined = JobFold()
        previous = self.jobs.get(job_id)
        if previous is not None:
            combined.add(previous)
        combined.add(fold)
        # What completed goes into the job's own record, with what the group kept of it, where it fills the group's.
        if fold.finished and job.spec.kind != "gang":
            large = len(edit.with_done(job_id, fold.finished)) > self.limits.value_bytes * DONE_SHARE
            fold.spilled = combined.spilled or large or nearly_full
        if fold.spilled:
            fold.finished |= decode_runs(edit.done.get(job_id, ""))
            combined.finished |= fold.finished
            combined.spilled = True
        return self._op_count(job, combined) - (self._op_count(job, previous) if previous is not None else 0)

    def _op_count(self, job: Job, fold: JobFold) -> int:
        writes = self._changes_job_record(job, fold)
        if completes_job(self.cluster_state, job, fold) and (writes or fold.ends or not ends_later(job, self.limits)):
            return 2
        return 1 if writes else 0

    def _changes_job_record(self, job: Job, fold: JobFold) -> bool:
        return bool(fold.spilled or fold.broken or fold.errors or (fold.successes and job.record.errors))

    def end(self, job: Job) -> None:
        """End a job all of whose tasks are known to be done: their groups may have been folded apart."""
        if job.id not in self.jobs and self._ops + 2 <= self.limits.ops:
            self._ops += 2
            self.jobs[job.id] = JobFold(ends=True)

    def transaction(self) -> Txn | None:
        """The transaction that writes all that was added; None if there is nothing to write."""
        if not self._ops:
            return None
        txn = Txn()
        ended: set[str] = set()
        for job_id, fold in self.jobs.items():
            job = self.cluster_state.jobs[job_id]
            if self._op_count(job, fold):
                if put_job(self.kernel, self.cluster_state, txn, job, fold):
                    ended.add(job_id)
                    self.lines.append(f"{job_id} is done")
                elif fold.broken or fold.errors:
                    self.lines.append(f"{job_id} lost tasks: gang attempt {fold.broken}, errors {fold.errors}")

        def remains_live(job_id: str) -> bool:
            return self.cluster_state.is_live(job_id) and job_id not in ended

        for edit in self.edits.values():
            if not edit.write(txn, self.limits, remains_live):
                # Its size was worked out before: this is a fault, and must not be tried again and again.
                raise AssertionError(f"{edit.group.key} grew over its limit")
        return txn


def group_size(kind: MachineType | None, limits: Limits) -> int:
    """How many machines of a type share a record: as many as a value holds with the holds that they may take.

    Fewer, larger groups mean fewer changes, for a placement or a fold costs one for each group.
    """
    allocations = max(kind.gpus / 2, kind.cpus / CPUS_PER_ALLOCATION, 1.0) if kind is not None else 1.0
    machine_bytes, allocation_bytes = FULL_FORM_BYTES
    if limits.lean:
        # One that fills up is split: it need not be small from the start.
        machine_bytes, allocation_bytes, allocations = *COMPACT_FORM_BYTES, max(allocations / 2, 1.0)
    fits = int(limits.value_bytes * GROUP_SHARE / (machine_bytes + allocations * allocation_bytes))
    return max(min(fits, MAX_GROUP_MACHINES), 1)


def most_group_size(limits: Limits) -> int:
    """How many machines a record can be given at most, by the least value that is to come."""
    return int(limits.least_value_bytes * FULL_SHARE / NEW_MACHINE_BYTES) + 1


def adoption(
    cluster_state: ClusterState, unknown_machines: dict[str, Report], fixed_size: int | None, limits: Limits
) -> tuple[Txn, list[str]]:
    """Add unknown machines of one type and zone to groups that have room, or to new ones.

    The version of their type's key is guarded and raised: who passes has seen all earlier adoptions, so no machine
    gets into two groups.
    """
    first = next(iter(unknown_machines.values()))
    max_machines = fixed_size or group_size(cluster_state.types.get(first.type), limits)
    max_bytes = limits.value_bytes * FULL_SHARE - NEW_MACHINE_BYTES
    kind = (first.type, first.zone)
    lock = f"{ADOPTED}{first.type}.{first.zone}"
    groups = (group for _, group in sorted(cluster_state.groups.items()) if (group.type, group.zone) == kind)
    open_groups = [g for g in groups if len(g.machines) < max_machines and g.size < max_bytes and not g.moving]
    txn = Txn().guard(lock, cluster_state.version(lock)).put(lock, cluster_state.version(lock))
    adopted: list[str] = []
    remaining = sorted(unknown_machines)
    bytes_left = limits.txn_bytes
    for _ in range(limits.ops - 1):
        if not remaining or bytes_left <= 0:
            break
        if open_groups:
            group = open_groups.pop(0)
        else:
            key = f"{GROUP}{first.type}.{first.zone}.{remaining[0]}"
            while cluster_state.version(key):
                key += "+"
            group = Group(key, {"type": first.type, "zone": first.zone, "machines": {}}, 0)
        edit = GroupEdit(group)
        fits = int((max_bytes - group.size) // NEW_MACHINE_BYTES) + 1
        batch = remaining[: min(max_machines - len(group.machines), max(fits, 1))]
        remaining = remaining[len(batch) :]
        for name in batch:
            edit.replace(
                name, MachineRecord(address=unknown_machines[name].address, spot=unknown_machines[name].spot)
            )
        bytes_left -= group.size + NEW_MACHINE_BYTES * len(batch)
        if edit.write(txn, limits, cluster_state.is_live):
            adopted += batch
    return txn, adopted
