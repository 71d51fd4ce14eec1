"""Folding: what a group's owners have learnt of its machines becomes one change of its record."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from ashtray.jobs.model import LIVE, OVER, Job
from ashtray.kernel import Kernel
from ashtray.placement.picture import GROUP, MEMBER, Group, GroupRecord, MachineRecord, Picture
from ashtray.runs import encode_runs
from ashtray.store.client import Txn
from ashtray.workers.messages import Report, TaskState


@dataclass
class JobFold:
    """What a fold changes in one job's record."""

    finished: set[int] = field(default_factory=set)
    broken: int = 0
    errors: int = 0
    successes: int = 0
    placed_us: int = 0
    """When the last task that completed was placed."""

    def add(self, other: JobFold) -> None:
        self.finished |= other.finished
        self.broken = max(self.broken, other.broken)
        self.errors += other.errors
        self.successes += other.successes
        self.placed_us = max(self.placed_us, other.placed_us)

    def changes_record(self) -> bool:
        return bool(self.finished or self.broken or self.errors)


def hold_is_dead(picture: Picture, job_id: str, attempt: int, stop_us: int) -> bool:
    """Whether a hold's tasks are not to be started any more."""
    job = picture.jobs.get(job_id)
    return job is None or stop_us >= 0 or attempt <= job.record.broken


@dataclass
class Evidence:
    """A worker's newest report, heard by its owner.

    `exact` says that it carries exactly this controller's token: no order of an earlier owner can be executed
    after it, so a task that it does not list is surely not there.
    """

    report: Report
    token: int
    exact: bool


def fold_machine(
    picture: Picture, group: Group, name: str, record: MachineRecord, evidence: Evidence, folds: dict[str, JobFold]
) -> bool:
    """Apply a report to a machine's record; says whether anything changed."""
    changed = False
    report = evidence.report
    if evidence.exact and record.token < evidence.token:
        record.token = evidence.token
        record.address = report.address
        changed = True
    if report.notice_us is not None and not record.retiring:
        record.retiring = True
        changed = True
    # A later owner may already have launched what this report does not list: absence is then no evidence.
    sure = evidence.exact and record.token == evidence.token
    kept = []
    for hold, known in zip(record.holds, group.machines[name].holds, strict=True):
        tasks = known.tasks
        dead = hold_is_dead(picture, hold.job, hold.attempt, hold.stop_us)
        left = set()
        for task in tasks:
            seen: TaskState | None = report.tasks.get((hold.job, hold.attempt, task))
            if seen is not None and seen.state == "ended":
                note_end(picture, record, hold.job, hold.attempt, task, seen.cause, folds)
                if seen.cause == "done" and hold.job in folds:
                    folds[hold.job].placed_us = hold.placed_us
            elif seen is None and dead and sure:
                note_end(picture, record, hold.job, hold.attempt, task, "absent", folds)
            else:
                left.add(task)
        if len(left) < len(tasks):
            changed = True
            hold.tasks = encode_runs(left)
        if left:
            kept.append(hold)
    record.holds = kept
    return changed


def note_end(
    picture: Picture, record: MachineRecord, job_id: str, attempt: int, task: int, cause: str | None,
    folds: dict[str, JobFold],
) -> None:
    """Account for one task that has left its machine."""
    job = picture.jobs.get(job_id)
    if cause == "done":
        record.errors = 0
    elif cause == "error":
        record.errors += 1
    if job is None:
        return
    fold = folds.setdefault(job_id, JobFold())
    if cause == "done":
        fold.successes += 1
        # The tasks of a gang complete together, so one that is done speaks for all.
        fold.finished |= set(range(job.spec.tasks)) if job.spec.kind == "gang" else {task}
    else:
        if cause == "error":
            fold.errors += 1
        if job.spec.kind == "gang":
            fold.broken = max(fold.broken, attempt)


def put_job(kernel: Kernel, txn: Txn, job: Job, fold: JobFold) -> bool:
    """Add a job's change to a transaction; says whether the job is done with it."""
    txn.guard(LIVE + job.id, job.version)
    finished = job.finished | fold.finished
    if job.spec.kind != "service" and len(finished) >= job.spec.tasks:
        txn.remove(LIVE + job.id).put(OVER + job.id, job.over("done", job.spec.tasks))
        return True
    errors = job.record.errors
    if fold.successes:
        errors = 0
    elif fold.errors:
        errors += 1
    txn.put(
        LIVE + job.id,
        job.value(
            finished=finished if job.spec.kind != "service" else job.finished,
            broken=max(job.record.broken, fold.broken),
            errors=errors,
            error_us=kernel.wall_us if fold.errors else job.record.error_us,
        ),
    )
    return False


def build_fold(
    kernel: Kernel, picture: Picture, groups: Iterable[Group], evidence: dict[str, Evidence], max_ops: int
) -> tuple[Txn, list[str], list[tuple[Job, int]]] | None:
    """One transaction that folds as much as fits of what is known of some groups' machines."""
    txn = Txn()
    folds: dict[str, JobFold] = {}
    lines: list[str] = []
    ops = 0
    for group in groups:
        record = group.copy()
        changed = False
        for name in group.machines:
            if name not in evidence:
                continue
            machine = msgspec.convert(msgspec.to_builtins(record.machines[name]), MachineRecord)
            trial: dict[str, JobFold] = {}
            if not fold_machine(picture, group, name, machine, evidence[name], trial):
                continue
            # A job that ends takes two changes, its short record and the removal of the long one.
            news = sum(2 for j, f in trial.items() if f.changes_record() and not _writes(folds, j))
            if ops + (not changed) + news > max_ops and ops:
                continue
            ops += (not changed) + news
            changed = True
            record.machines[name] = machine
            for job_id, fold in trial.items():
                folds.setdefault(job_id, JobFold()).add(fold)
        if changed:
            txn.guard(group.key, group.version).put(group.key, msgspec.to_builtins(record))
    if not ops:
        return None
    for job_id, fold in folds.items():
        if fold.changes_record():
            if put_job(kernel, txn, picture.jobs[job_id], fold):
                lines.append(f"{job_id} is done")
            elif fold.broken or fold.errors:
                lines.append(f"{job_id} lost tasks: gang attempt {fold.broken}, errors {fold.errors}")
    paces = [(picture.jobs[job_id], fold.placed_us) for job_id, fold in folds.items() if fold.placed_us]
    return txn, lines, paces


def _writes(folds: dict[str, JobFold], job_id: str) -> bool:
    return job_id in folds and folds[job_id].changes_record()


def adoption(picture: Picture, report: Report, token: int, size: int) -> Txn:
    """Add an unknown machine to a group of its type and zone that has room, or to a new one."""
    machine = MachineRecord(address=report.address, spot=report.spot, token=token)
    txn = Txn().guard(MEMBER + report.machine, 0)
    for key in sorted(picture.groups):
        group = picture.groups[key]
        if (group.record.type, group.record.zone) == (report.type, report.zone) and len(group.machines) < size:
            record = group.copy()
            record.machines[report.machine] = machine
            txn.guard(key, group.version)
            break
    else:
        key = f"{GROUP}{report.type}.{report.zone}.{report.machine}"
        record = GroupRecord(report.type, report.zone, {report.machine: machine})
        txn.guard(key, 0)
    return txn.put(key, msgspec.to_builtins(record)).put(MEMBER + report.machine, key)
