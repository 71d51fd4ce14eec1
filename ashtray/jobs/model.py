"""Jobs and their records in the state service."""

from __future__ import annotations

import re
from typing import Any

import msgspec

from ashtray.runs import decode_runs, encode_runs, longest_runs
from ashtray.store.transaction import guarded_write_size, size_of

ROOT = "ashtray/"
NOW = "ashtray/now/"
LIVE_JOB_PREFIX = "ashtray/now/job/"
"""Prefix of the keys of live jobs' records."""
FINAL_STATE_PREFIX = "ashtray/over/"
"""Prefix of the keys of final states, which are kept for ever."""
MAX_TASKS = 100_000
"""Most tasks of a job."""
JOB_ID = re.compile(r"job-[0-9]{1,60}")
PRIORITIES = ("production", "high", "normal", "low")
"""The most urgent first; a job's priority is an index into this tuple."""

MAX_DEFERRED_TASKS = 16
"""Jobs of at most so many tasks count as done once their group records say so, before their own records are moved."""
UNLIMITED = 1 << 30
SHORT_RUNS_BYTES = 100
"""Runs of finished tasks that take no more than this always fit into a job's record, and are not checked."""
MAX_OPEN_TASKS = 1280
"""Most tasks of an array that may have allocations at a time, if the runs of all its tasks may not fit its record."""
FINAL_STATE_BYTES = 100
"""Most bytes of a final state."""
SPARE_BYTES = 150
"""Bytes of a job's record kept free for machines on which the job fails and for counters that grow."""


class JobSpec(msgspec.Struct, omit_defaults=True):
    """The description of a job, as its user submitted it."""

    job_class: str
    team: str
    kind: str
    """`array`, `gang` or `service`."""
    priority: int
    tasks: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    types: list[str] | None = None
    """Allowed machine types; None: all."""
    zone: str | None = None
    same_zone: bool = False
    spread: bool = False
    spot: bool = False
    estimate_us: int = 0
    """The user's estimate of a task's run time."""
    checkpoint_us: int = 0
    """The interval between checkpoints."""
    save_us: int = 0
    """How long it takes to save a checkpoint."""
    deadline_us: int | None = None
    """The time from acceptance by which the job should be done."""
    needs: list[str] = []
    """Ids of the jobs that must be done before any task of this job starts."""


class JobRecord(msgspec.Struct, omit_defaults=True):
    """The record of a live job."""

    spec: JobSpec
    owner: str
    """The controller that accepted the job."""
    accepted_us: int
    attempt: int = 0
    """The last attempt number that was assigned."""
    finished: str = ""
    """The finished tasks, as runs (`ashtray.runs`)."""
    broken: int = 0
    """A gang's attempts up to this number have failed; their remaining tasks are to be stopped."""
    errors: int = 0
    """Task failures since a task last completed."""
    error_us: int = 0
    """When a task last failed, in microseconds of the time of day."""
    failed_on: list[str] = []
    """Machines on which tasks failed since a task last completed, the latest last."""
    portion: int = 0
    """For a gang that is placed in portions, all of one attempt: the tasks below this number have been placed."""


class Job:
    """A live job in the cluster state."""

    __slots__ = ("id", "record", "spec", "version", "finished", "max_bytes", "priority", "ready_us", "start_by_us")

    def __init__(self, job_id: str, value: Any, version: int, max_bytes: int = UNLIMITED) -> None:
        self.id = job_id
        self.max_bytes = max_bytes
        """Most bytes that the job's record may take."""
        self.record = msgspec.convert(value, JobRecord)
        self.spec = self.record.spec
        self.version = version
        self.priority: int
        """The job's own priority, or that of a more urgent job that depends on it."""
        self.ready_us = self.record.accepted_us
        """When the job was accepted or its last dependency was done, in microseconds of the time of day."""
        self.start_by_us: int | None
        """When the job must start to meet its own deadline and those of its dependents; None if there are none."""
        self.set_own_urgency()
        self.finished = decode_runs(self.record.finished)

    def set_own_urgency(self) -> None:
        """Set the priority and the latest start that the job has without dependents."""
        spec = self.spec
        self.priority, self.start_by_us = spec.priority, None
        if spec.deadline_us is not None:
            self.start_by_us = self.record.accepted_us + spec.deadline_us - 2 * spec.estimate_us

    @property
    def fails_on_several_machines(self) -> bool:
        """Return whether the job failed on two machines or more: the fault is then likely its own, not theirs."""
        return len(self.record.failed_on) >= 2

    @property
    def portion(self) -> int:
        """Return how many tasks of a gang that is being placed in portions have been placed; 0 for any other job."""
        return self.record.portion if self.record.attempt > self.record.broken else 0

    def updated_record(
        self,
        *,
        finished: set[int] | None = None,
        attempt: int | None = None,
        broken: int | None = None,
        errors: int | None = None,
        error_us: int | None = None,
        portion: int | None = None,
        failed_on: list[str] | None = None,
    ) -> Any:
        """Return the record with some fields replaced, ready to be written."""
        old = self.record
        runs = old.finished if finished is None else encode_runs(finished)
        record = JobRecord(
            old.spec,
            old.owner,
            old.accepted_us,
            old.attempt if attempt is None else attempt,
            runs,
            old.broken if broken is None else broken,
            old.errors if errors is None else errors,
            old.error_us if error_us is None else error_us,
            old.failed_on if failed_on is None else failed_on,
            old.portion if portion is None else portion,
        )
        if len(runs) > SHORT_RUNS_BYTES:
            max_bytes = self.max_bytes - (size_of(record) - len(runs))
            if len(runs) > max_bytes:
                # A finished task that is dropped here is started again and ends at once, because its result is kept.
                # A record that is too large to be written would block the whole job.
                record.finished = longest_runs(runs, max_bytes)
        return msgspec.to_builtins(record)

    def write_size(self, finished: set[int] | None = None) -> int:
        """Return at most how many bytes a write of the job's record takes in a transaction.

        `finished` are tasks that it adds to the record's finished ones.
        """
        more = len(encode_runs(finished)) if finished else 0
        return guarded_write_size(LIVE_JOB_PREFIX + self.id, size_of(self.record) + SPARE_BYTES + more)

    def end_size(self) -> int:
        """Return at most how many bytes the move of the job's record to the final states takes in a transaction."""
        final_bytes = guarded_write_size(FINAL_STATE_PREFIX + self.id, FINAL_STATE_BYTES)
        return guarded_write_size(LIVE_JOB_PREFIX + self.id) + final_bytes

    @property
    def max_open_tasks(self) -> int:
        """Return how many tasks of an array may have allocations at a time.

        The bound keeps the runs of finished tasks small enough for the job's record.  Tasks are placed lowest first,
        so there are hardly more runs of finished tasks than open tasks.
        """
        tasks = self.spec.tasks
        digits = len(str(tasks))
        if self.max_bytes >= tasks * (digits + 1):
            return tasks
        other_bytes = size_of(self.record) - len(self.record.finished) + SPARE_BYTES
        return max(min((self.max_bytes - other_bytes) // (digits + 1), MAX_OPEN_TASKS), 1)

    def final_state(self, status: str, done: int, at_us: int) -> Any:
        """Return the job's final state, which is kept for ever; `at_us` is when the job ended, by the time of day."""
        return {"status": status, "done": done, "at_us": at_us}
