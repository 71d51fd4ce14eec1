"""What a job is, and the record kept of it in the state service."""

from __future__ import annotations

import re
from typing import Any

import msgspec

from ashtray.runs import decode_runs, encode_runs, longest_runs

ROOT = "ashtray/"
NOW = "ashtray/now/"
LIVE = "ashtray/now/job/"
OVER = "ashtray/over/"
MAX_TASKS = 100_000
JOB_ID = re.compile(r"job-[0-9]{1,60}")
PRIORITIES = ("production", "high", "normal", "low")


MOST_LATER = 16
"""Jobs of so many tasks count as done before their records are moved."""
UNLIMITED = 1 << 30
FEW_RUNS = 100
MOST_OPEN = 1280
SPARE_BYTES = 150
"""Of a job's record, for machines on which it fails and counters that grow."""


class JobSpec(msgspec.Struct, omit_defaults=True):
    """A job as its user described it."""

    job_class: str
    team: str
    kind: str
    priority: int
    tasks: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    types: list[str] | None = None
    zone: str | None = None
    same_zone: bool = False
    spread: bool = False
    spot: bool = False
    estimate_us: int = 0
    checkpoint_us: int = 0
    save_us: int = 0
    deadline_us: int | None = None
    needs: list[str] = []
    """Jobs that must be done before any task of this one starts."""


class JobRecord(msgspec.Struct, omit_defaults=True):
    """The record of a job that is not over yet."""

    spec: JobSpec
    owner: str
    """The controller that accepted it."""
    accepted_us: int
    attempt: int = 0
    """The last attempt number given out."""
    finished: str = ""
    broken: int = 0
    """A gang's attempts up to this one have failed: what is left of them is to be stopped."""
    errors: int = 0
    """Task failures since a task last completed."""
    error_us: int = 0
    failed_on: list[str] = []
    """Machines on which its tasks failed since one last completed, the latest last."""
    portion: int = 0
    """A gang that is placed in portions, all of one attempt: the tasks below this one have places."""


class Job:
    """A live job in the cluster state."""

    __slots__ = ("id", "record", "spec", "version", "finished", "most_bytes", "priority", "ready_us", "latest_us")

    def __init__(self, job_id: str, value: Any, version: int, most_bytes: int = UNLIMITED) -> None:
        self.id = job_id
        self.most_bytes = most_bytes
        """What its record may take."""
        self.record = msgspec.convert(value, JobRecord)
        self.spec = self.record.spec
        self.version = version
        self.priority = self.spec.priority
        """Its own, or that of a more urgent job that needs it."""
        self.ready_us = self.record.accepted_us
        """Since when nothing that it needs has been missing."""
        self.latest_us: int | None = None
        """When it has to start, if a deadline, its own or that of a job that needs it, is to be met."""
        self.finished = decode_runs(self.record.finished)

    @property
    def suspect(self) -> bool:
        """Whether it fails wherever it is tried: the fault is then likelier its own than the machines'."""
        return len(self.record.failed_on) >= 2

    @property
    def portion(self) -> int:
        """How many tasks of a gang that is being placed in portions have places; 0 when none is under way."""
        return self.record.portion if self.record.attempt > self.record.broken else 0

    def value(
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
        """The record with some fields replaced, ready to be written."""
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
        if len(runs) > FEW_RUNS:
            room = self.most_bytes - (len(msgspec.json.encode(record)) - len(runs))
            if len(runs) > room:
                # A task that is forgotten here is started once more and ends at once, for its result is kept.  A
                # record that cannot be written would hold up the whole job.
                record.finished = longest_runs(runs, room)
        return msgspec.to_builtins(record)

    @property
    def most_open(self) -> int:
        """How many tasks of an array may hold room at once, so that what is finished fits into its record.

        Tasks are placed lowest first, so the runs of finished tasks are hardly more than those that are open.
        """
        tasks = self.spec.tasks
        digits = len(str(tasks))
        if self.most_bytes >= tasks * (digits + 1):
            return tasks
        rest = len(msgspec.json.encode(self.record)) - len(self.record.finished) + SPARE_BYTES
        return max(min((self.most_bytes - rest) // (digits + 1), MOST_OPEN), 1)

    def over(self, status: str, done: int, at_us: int) -> Any:
        """The short record that is kept for ever once the job is over, at that time of day."""
        return {"status": status, "done": done, "at_us": at_us}
