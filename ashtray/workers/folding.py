"""Folds: transactions that write what workers reported into group records.

A fold applies the reports of a group's machines to the group's record: it frees the resources of ended tasks, notes
completed tasks and failures, and records ownership tokens.  Where needed it also writes the records of the jobs.
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Iterator
from dataclasses import dataclass, field

from ashtray.jobs.model import FINAL_STATE_PREFIX, LIVE_JOB_PREFIX, MAX_DEFERRED_TASKS, Job
from ashtray.kernel import SECOND_US, Kernel
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.group_edit import GroupEdit
from ashtray.placement.machine_groups import Group, Machine
from ashtray.placement.records import AllocationRecord, MachineRecord
from ashtray.runs import decode_runs, encode_runs
from ashtray.store.limits import Cost, Limits
from ashtray.store.transaction import Txn, guarded_write_size
from ashtray.workers.messages import Report, TaskState

SAVE_LEAD_US = 5 * SECOND_US
"""How much earlier than necessary a save is ordered: a report may be three seconds away, and a commit one more."""
DONE_SHARE = 0.125
"""If a job's completed tasks take more than this part of the value size limit, they go into the job's own record."""

TOKEN_UPDATE_BYTES = 60
"""What a new token, an address and a flag may add to a machine's part of a record."""
MAX_REMEMBERED_FAILURES = 6
"""How many jobs that failed on a machine, and how many machines that a job failed on, are remembered."""
SPILL_SHARE = 0.75
"""If a group's record takes more than this part of the value size limit, completed tasks go into jobs' records."""


@dataclass
class JobFold:
    """What a fold changes in one job's record, or adds to the job's completed tasks in a group's record."""

    finished: set[int] = field(default_factory=set)
    broken: int = 0
    """The last attempt of a gang that has lost a task; 0 if none has."""
    errors: int = 0
    failed_on: set[str] = field(default_factory=set)
    successes: int = 0
    ends: bool = False
    """Whether the job is to be ended now, because all of its tasks are known to be done."""
    spilled: bool = False
    """Whether completed tasks are written into the job's own record instead of the group's."""

    def add(self, other: JobFold) -> None:
        """Add the changes of another fold of the same job."""
        self.finished |= other.finished
        self.broken = max(self.broken, other.broken)
        self.errors += other.errors
        self.failed_on |= other.failed_on
        self.successes += other.successes
        self.spilled = self.spilled or other.spilled
        self.ends = self.ends or other.ends


def allocation_is_dead(cluster_state: ClusterState, job_id: str, attempt: int, stop_us: int) -> bool:
    """Return whether the tasks of an allocation must not be started any more."""
    job = cluster_state.jobs.get(job_id)
    if job is None or stop_us >= 0 or attempt <= job.record.broken:
        return True
    return job_id in cluster_state.cancelled_elsewhere


@dataclass
class Evidence:
    """A worker's newest report, which carries the token of the controller that received it.

    The worker executes no orders of earlier owners after such a report.  `proves_absence` says that this controller
    has no orders outstanding either, so a task that the report does not list is not on the machine.
    """

    report: Report
    token: int
    proves_absence: bool
    time_left_us: int | None = None
    """Microseconds until the cloud takes the machine away, if it has given notice."""
    next_token: int = 0
    """The token to record in place of `token`, because ended tasks are cleared only with a higher one; 0: none."""


def fold_machine(
    cluster_state: ClusterState,
    machine: Machine,
    record: MachineRecord,
    evidence: Evidence,
    folds: dict[str, JobFold],
    deferred_jobs: Container[str] = (),
) -> bool:
    """Apply a report to a copy of a machine's record, but for `deferred_jobs`; returns whether anything changed."""
    if record.token > evidence.token:
        # A later owner has recorded its token (safety point 3).  In the worker's next session it may have started
        # tasks again, under the same attempt, that this report lists as ended.
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
    # While orders are on their way, a task that is not listed may be about to start, and the token is not written.
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
    if evidence.next_token and record.token == evidence.token:
        # Safety point 4: copies of the orders that launched the ended tasks are void before these are cleared.
        record.token = evidence.next_token
        changed = True
    return changed


def must_save_now(job: Job, stop_us: int, time_left_us: int | None) -> bool:
    """Return whether tasks must save a checkpoint now because the cloud takes their machine away.

    This is as late as there is still time for the order, the checkpoint and the report.  A gang has to be stopped as
    a whole, which the owner of one machine cannot do; the fleet leader does it.
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
    """Record the end of one task in its machine's record and in the fold of its job."""
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
        # The tasks of a gang complete together, so all are done when one is.
        fold.finished |= set(range(job.spec.tasks)) if job.spec.kind == "gang" else {task}
    else:
        if cause == "error":
            fold.errors += 1
            fold.failed_on.add(name)
        if job.spec.kind == "gang":
            fold.broken = max(fold.broken, attempt)


def end_job(txn: Txn, job: Job, status: str, done: int, at_us: int) -> Txn:
    """Add to a transaction the move of a job's record to the final states; returns the transaction."""
    final_state = job.final_state(status, done, at_us)
    return (
        txn.guard(LIVE_JOB_PREFIX + job.id, job.version)
        .remove(LIVE_JOB_PREFIX + job.id)
        .put(FINAL_STATE_PREFIX + job.id, final_state)
    )


def put_job(kernel: Kernel, cluster_state: ClusterState, txn: Txn, job: Job, fold: JobFold) -> bool:
    """Add the changes of a job's record to a transaction; returns whether they complete the job."""
    if completes_job(cluster_state, job, fold):
        end_job(txn, job, "done", job.spec.tasks, kernel.wall_us)
        return True
    txn.guard(LIVE_JOB_PREFIX + job.id, job.version)
    errors, failed_on = job.record.errors, job.record.failed_on
    if fold.successes:
        errors, failed_on = 0, []
    elif fold.errors:
        errors += 1
        failed_on = [name for name in failed_on if name not in fold.failed_on]
        failed_on = [*failed_on, *sorted(fold.failed_on)][-MAX_REMEMBERED_FAILURES:]
    txn.put(
        LIVE_JOB_PREFIX + job.id,
        job.updated_record(
            finished=job.finished | fold.finished if fold.spilled else None,
            broken=max(job.record.broken, fold.broken),
            errors=errors,
            error_us=kernel.wall_us if fold.errors else job.record.error_us,
            failed_on=failed_on,
        ),
    )
    return False


def completes_job(cluster_state: ClusterState, job: Job, fold: JobFold) -> bool:
    """Return whether all tasks of a job are done, including those that the fold adds.

    Completed tasks stay completed, so an outdated cluster state can only make a job end later.
    """
    if job.spec.kind == "service":
        return False
    tasks = job.spec.tasks
    known = cluster_state.finished(job)
    return len(known) + len(fold.finished) >= tasks and len(known | fold.finished) >= tasks


def may_defer_move(job: Job, limits: Limits) -> bool:
    """Return whether a job counts as done once the group records say so, while its own record is moved later.

    Moving the record costs two writes, which can wait.  Until then a cancellation has to guard the groups that have
    the job's tasks, so the job must be small enough for that.
    """
    return job.spec.kind != "service" and job.spec.tasks <= max_deferred_tasks(limits)


def max_deferred_tasks(limits: Limits) -> int:
    """Return how many tasks a job may have at most if its record is moved later."""
    return min(MAX_DEFERRED_TASKS, limits.final_guards - 2)


class Fold:
    """One transaction that writes as many reports of some machines as fit into their records."""

    def __init__(self, kernel: Kernel, cluster_state: ClusterState, limits: Limits) -> None:
        self.kernel = kernel
        self.cluster_state = cluster_state
        self.limits = limits
        self.jobs: dict[str, JobFold] = {}
        self.lines: list[str] = []
        self.unchanged: set[str] = set()
        """Machines whose reports add nothing to their records."""
        self.taken: set[str] = set()
        """Machines whose reports are part of this transaction."""
        self.freed: dict[str, tuple[float, float, float]] = {}
        """The CPUs, GPUs and GB of memory that folds of group records alone free on each machine."""
        self.edits: dict[str, GroupEdit] = {}
        self._cost = Cost()
        """What the groups and jobs that were added take of the transaction."""
        self._sizes: dict[str, int] = {}

    def add(self, group: Group, names: Iterable[str], evidence: dict[str, Evidence]) -> None:
        """Fold the reports of some of a group's machines, as far as the changes fit into the transaction."""
        edit = GroupEdit(group)
        for name, machine, machine_evidence in self._with_reports(group, names, evidence):
            for force_spill in (False, True):
                # If completed tasks would make the group's record too large, they go into the jobs' own records.
                spills = force_spill or self._nearly_full(group)
                record = edit.copy_of(name)
                job_folds: dict[str, JobFold] = {}
                if not fold_machine(self.cluster_state, machine, record, machine_evidence, job_folds):
                    self.unchanged.add(name)
                    break
                deferred = self._jobs_for_later(group, job_folds, edit, spills)
                if deferred:
                    record, job_folds = edit.copy_of(name), {}
                    fold_machine(self.cluster_state, machine, record, machine_evidence, job_folds, deferred)
                after = self._size_after(edit, machine, record, job_folds)
                if not self.limits.takes(after, len(group.machines) == 1 and after < group.size):
                    continue
                cost = self._cost.plus(self._extra_group_cost(group, after))
                for job_id, fold in job_folds.items():
                    cost = cost.plus(self._extra_cost(job_id, fold, edit, spills))
                if self._cost.ops and not cost.within(self.limits):
                    break
                self._cost = cost
                self._include(edit, name, record, job_folds, after)
                break

    def _jobs_for_later(
        self, group: Group, folds: dict[str, JobFold], edit: GroupEdit, nearly_full: bool
    ) -> set[str]:
        """Return the jobs of a machine that do not fit into one transaction with its group; one job always does."""
        total = self._group_cost(group, self._size(group))
        later: set[str] = set()
        for job_id, fold in folds.items():
            cost = self._extra_cost(job_id, fold, edit, nearly_full)
            if cost.ops and total.ops > 1 and (later or not total.plus(cost).within(self.limits)):
                later.add(job_id)
            else:
                total = total.plus(cost)
        return later

    def _group_cost(self, group: Group, size: int) -> Cost:
        return Cost(1, guarded_write_size(group.key, size))

    def _extra_group_cost(self, group: Group, size: int) -> Cost:
        """Return what writing a group's record of `size` bytes adds to what is counted for the group already."""
        cost = self._group_cost(group, size)
        return cost.minus(self._group_cost(group, self._size(group))) if group.key in self.edits else cost

    def add_group_only(self, group: Group, names: Iterable[str], evidence: dict[str, Evidence]) -> None:
        """Fold the reports that change only the group's record, not that of any job."""
        edit = GroupEdit(group)
        for name, machine, machine_evidence in self._with_reports(group, names, evidence):
            record = edit.copy_of(name)
            job_folds: dict[str, JobFold] = {}
            if not fold_machine(self.cluster_state, machine, record, machine_evidence, job_folds):
                continue
            if any(
                self._extra_cost(job_id, fold, edit, self._nearly_full(group)).ops
                for job_id, fold in job_folds.items()
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
        """Yield the machines with a report to fold; none while the group is split, when its record is not written."""
        if group.moving:
            return
        for name in sorted(names):
            machine, machine_evidence = group.machines.get(name), evidence.get(name)
            if machine is None or machine_evidence is None:
                self.unchanged.add(name)
            else:
                yield name, machine, machine_evidence

    def _size(self, group: Group) -> int:
        """Return the bytes of a group's record with what was folded into it so far."""
        return self._sizes.get(group.key, group.size)

    def _nearly_full(self, group: Group) -> bool:
        return self._size(group) > self.limits.value_bytes * SPILL_SHARE

    def _size_after(self, edit: GroupEdit, machine: Machine, record: MachineRecord, folds: dict[str, JobFold]) -> int:
        """Return the bytes of a group's record with one machine's report, or an upper bound if that fits."""
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
        """Make one machine's report a part of this transaction."""
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

    def _extra_cost(self, job_id: str, fold: JobFold, edit: GroupEdit, nearly_full: bool) -> Cost:
        """Return what a job adds to the transaction; the end of a job is two writes, its final state and a removal.

        Marks the fold as spilled where completed tasks have to go into the job's own record.
        """
        job = self.cluster_state.jobs[job_id]
        combined = JobFold()
        previous = self.jobs.get(job_id)
        if previous is not None:
            combined.add(previous)
        combined.add(fold)
        # If completed tasks take too much of the group's record, all those that it has go into the job's own record.
        if fold.finished and job.spec.kind != "gang":
            large = len(edit.with_done(job_id, fold.finished)) > self.limits.value_bytes * DONE_SHARE
            fold.spilled = combined.spilled or large or nearly_full
        if fold.spilled:
            fold.finished |= decode_runs(edit.done.get(job_id, ""))
            combined.finished |= fold.finished
            combined.spilled = True
        cost = self._job_cost(job, combined)
        return cost if previous is None else cost.minus(self._job_cost(job, previous))

    def _job_cost(self, job: Job, fold: JobFold) -> Cost:
        writes = self._changes_job_record(job, fold)
        if completes_job(self.cluster_state, job, fold) and (
            writes or fold.ends or not may_defer_move(job, self.limits)
        ):
            return Cost(2, job.end_size())
        return Cost(1, job.write_size(fold.finished if fold.spilled else None)) if writes else Cost()

    def _changes_job_record(self, job: Job, fold: JobFold) -> bool:
        return bool(fold.spilled or fold.broken or fold.errors or (fold.successes and job.record.errors))

    def end(self, job: Job) -> None:
        """End a job whose tasks are all known to be done, as when several folds wrote the ends of its tasks."""
        cost = self._cost.plus(Cost(2, job.end_size()))
        if job.id not in self.jobs and cost.within(self.limits):
            self._cost = cost
            self.jobs[job.id] = JobFold(ends=True)

    def transaction(self) -> Txn | None:
        """Return the transaction that writes all that was added; None if there is nothing to write."""
        if not self._cost.ops:
            return None
        txn = Txn()
        ended: set[str] = set()
        for job_id, fold in self.jobs.items():
            job = self.cluster_state.jobs[job_id]
            if self._job_cost(job, fold).ops:
                if put_job(self.kernel, self.cluster_state, txn, job, fold):
                    ended.add(job_id)
                    self.lines.append(f"{job_id} is done")
                elif fold.broken or fold.errors:
                    self.lines.append(
                        f"{job_id} lost tasks: failed gang attempt {fold.broken}, {fold.errors} task errors"
                    )

        def remains_live(job_id: str) -> bool:
            return self.cluster_state.is_live(job_id) and job_id not in ended

        for edit in self.edits.values():
            if not edit.write(txn, self.limits, remains_live):
                # The size was checked before, so this is a fault of the program, which a retry would only repeat.
                raise AssertionError(f"the record of {edit.group.key} exceeds its size limit")
        return txn
