"""The copy of the records under ``now/`` that every controller decides on; it is a little late.

`ClusterState` applies changes, one record at a time.  `GroupIndex` and `TaskIndex` keep up to date what is asked for
often, by what changed: the work must grow with the changes, not with the machines or the queue.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from ashtray.jobs.cancellations import CancellationLog
from ashtray.jobs.dependencies import Dependencies
from ashtray.jobs.model import LIVE, MOST_LATER, OVER, UNLIMITED, Job
from ashtray.placement.group_index import GroupIndex
from ashtray.placement.machine_groups import Allocation, Machine
from ashtray.placement.machine_health import machine_blame
from ashtray.placement.records import MachineType
from ashtray.placement.state_keys import (
    CLAIM,
    CONTROLLER,
    ESTIMATE,
    FLEET,
    GROUP,
    RENTALS,
    SPLIT,
    TEAM,
    TYPES,
)
from ashtray.placement.task_index import TaskIndex

UNREAD = 1 << 62
"""The revision up to which a copy that nobody follows counts as read."""
MAX_OVER = 20_000
"""So many final states of jobs are kept."""
MAX_ABSENT = 20_000
"""So many ids of jobs that have no final state are kept."""


def _no_clock() -> int:
    return 0


class ClusterState:
    """The state of the cluster as of the follower's last round, plus this controller's own commits."""

    def __init__(
        self, job_bytes: int = UNLIMITED, most_later: int = MOST_LATER, clock: Callable[[], int] = _no_clock
    ) -> None:
        """Begin with nothing.

        `job_bytes` is what a job's record may take.  Jobs of up to `most_later` tasks count as done before their
        records are moved.  `clock` returns the time of day in microseconds.
        """
        self._most_later = most_later
        self._clock = clock
        self.loads = 0
        """How often it was begun anew."""
        self.upto = UNREAD
        """The revision up to which all changes are in it; later ones only where they are this process's own."""
        self.lean = False
        """Whether a record in compact form was seen: then no controller of the version before is about."""
        self.over: dict[str, Any] = {}
        """Final states of jobs that were read or seen lately, by job id; they never change."""
        self.cancellations = CancellationLog()
        """The cancellations that were seen lately, for peers that cannot read the state service."""
        self.job_bytes = job_bytes
        self.clear()

    def clear(self) -> None:
        """Forget all records but the final states of jobs, to be read anew."""
        self.loads += 1
        self.changes = 0
        """How many changes were taken in."""
        self.jobs: dict[str, Job] = {}
        """The live jobs, by id."""
        self.absent: dict[str, None] = {}
        """Ids of which no final state was found since all was read: one written later would be seen."""
        self.cancelled_elsewhere: set[str] = set()
        """Jobs that are cancelled by the word of a peer, while this controller has not read so itself.

        Some may be unknown here: accepted, placed and cancelled since the last read.
        """
        self._clear_tables()
        self._clear_indexes()
        self._versions: dict[str, int] = {}
        """The version of each record, by key."""
        self._gone: dict[str, int] = {}
        """For keys that this process removed, later than what was read, the version of that: older changes of them
        may still come in."""

    def _clear_tables(self) -> None:
        """Forget the records that are neither jobs nor groups."""
        self.controllers: dict[str, Any] = {}
        """By host name.  Each change makes a new table, so what was derived from an old one is known to be old."""
        self.fleet: tuple[Any, int] | None = None
        """The record of the controller that runs the fleet, and its version."""
        self.rentals: Any = None
        self.claims: dict[str, Any] = {}
        """By team, what was last stopped of its work for another one's guarantee."""
        self.shares: dict[str, dict[str, tuple[float, float]]] = {}
        """For each team with a limit, and each controller, the CPUs and GPUs that it may use."""
        self.types: dict[str, MachineType] = {}
        """By name."""
        self._types: dict[str, dict[str, MachineType]] = {}
        """By the keys of the records that they are in."""
        self.estimates: dict[str, Any] = {}
        """The records of learnt run times, by key."""

    def _clear_indexes(self) -> None:
        self.dependencies = Dependencies(self.jobs)
        self._tasks = TaskIndex(self.jobs, self.dependencies, self._is_confirmed, self._clock, self._most_later)
        self._groups = GroupIndex(self._tasks.job_changed)
        self._tasks.follow(self._groups.allocations, self._groups.done)
        self.groups = self._groups.groups
        """By key."""
        self.machines = self._groups.machines
        """By name; the one that changed last is the last."""
        self.allocations = self._groups.allocations
        """For each job its allocations."""
        self.moved = self._groups.moved
        """For each group that is being split, up to which machine and which job's completed tasks it has been."""

    # Changes

    def read(self, revision: int) -> None:
        """Note that all changes up to a revision have been put or removed."""
        self.upto = revision
        if self._gone:
            self._gone = {key: version for key, version in self._gone.items() if version > revision}
        if self._tasks.confirm():
            self.changes += 1

    def put(self, key: str, value: Any, version: int) -> None:
        """Take in a record as of a version; one that is not newer than what is known is passed over."""
        if key.startswith(OVER):
            self.note_final_state(key[len(OVER) :], value, version)
            return
        if max(self._versions.get(key, 0), self._gone.get(key, 0)) >= version:
            return
        self._versions[key] = version
        self.changes += 1
        if key.startswith(GROUP):
            group = self._groups.put_group(key, value, version)
            self.lean = self.lean or group.packed is not None
        elif key.startswith(LIVE):
            self._put_job(key[len(LIVE) :], value, version)
        elif key.startswith(SPLIT):
            self._groups.put_split(GROUP + key[len(SPLIT) :], (value["machine"], value["job"]))
        else:
            self._put_in_table(key, value, version)

    def _put_job(self, job_id: str, value: Any, version: int) -> None:
        job = Job(job_id, value, version, self.job_bytes)
        self.jobs[job_id] = job
        self._tasks.readiness_changed(self.dependencies.put(job, self.over))
        self._job_changed(job_id)

    def _put_in_table(self, key: str, value: Any, version: int) -> None:
        """Take in a record that is neither a job's nor a group's; one of an unknown key is passed over."""
        if key.startswith(CONTROLLER):
            self.controllers = {**self.controllers, key[len(CONTROLLER) :]: value}
        elif key.startswith(TEAM):
            self.shares[key[len(TEAM) :]] = {host: (share[0], share[1]) for host, share in value.items()}
        elif key == FLEET:
            self.fleet = (value, version)
        elif key == RENTALS:
            self.rentals = value
        elif key.startswith(CLAIM):
            self.claims[key[len(CLAIM) :]] = value
        elif key == TYPES or key.startswith(TYPES + "/"):
            self._types[key] = {name: msgspec.convert(record, MachineType) for name, record in value.items()}
            self._types_changed()
        elif key.startswith(ESTIMATE):
            self.estimates[key] = value

    def remove(self, key: str, version: int) -> None:
        """Take in the removal of a record by the change of revision `version`; an old one is passed over."""
        if self._versions.get(key, 0) >= version:
            return
        self._versions.pop(key, None)
        if version > self.upto:
            self._gone[key] = version
        self.changes += 1
        if key.startswith(GROUP):
            self._groups.remove_group(key)
        elif key.startswith(LIVE):
            self._remove_job(key[len(LIVE) :])
        elif key.startswith(SPLIT):
            self._groups.put_split(GROUP + key[len(SPLIT) :], None)
        else:
            self._remove_from_table(key)

    def _remove_job(self, job_id: str) -> None:
        self.jobs.pop(job_id, None)
        self.dependencies.remove(job_id)
        self._job_changed(job_id)

    def _remove_from_table(self, key: str) -> None:
        """Drop a record that is neither a job's nor a group's.  What a team's work was stopped for is kept."""
        if key.startswith(CONTROLLER):
            removed = key[len(CONTROLLER) :]
            self.controllers = {host: value for host, value in self.controllers.items() if host != removed}
        elif key.startswith(TEAM):
            self.shares.pop(key[len(TEAM) :], None)
        elif key == FLEET:
            self.fleet = None
        elif key == RENTALS:
            self.rentals = None
        elif key in self._types:
            del self._types[key]
            self._types_changed()
        elif key.startswith(ESTIMATE):
            self.estimates.pop(key, None)

    @property
    def types_complete(self) -> bool:
        """Whether all machine types are known: where each has a record of its own, `TYPES` is written last."""
        return TYPES in self._types

    def type_records(self) -> dict[str, dict[str, MachineType]]:
        """The machine types by the records that they are in."""
        return dict(self._types)

    def _types_changed(self) -> None:
        self.types = {name: kind for key in sorted(self._types) for name, kind in self._types[key].items()}

    def _job_changed(self, job_id: str) -> None:
        self._tasks.job_changed(job_id)
        self._groups.touch_machines_of(job_id)

    # What is known of jobs

    def note_final_state(self, job_id: str, state: Any, version: int) -> None:
        """Take in a job's final state, written by the change of revision `version`."""
        if job_id not in self.over and state["status"] == "cancelled":
            self.cancellations.note(version, job_id)
        self.over[job_id] = state
        self.cancelled_elsewhere.discard(job_id)
        self.absent.pop(job_id, None)
        dependents = self.dependencies.over(job_id, state)
        if dependents:
            self._tasks.readiness_changed(dependents)
            self.changes += 1
        if len(self.over) > MAX_OVER:
            del self.over[next(iter(self.over))]

    def note_absent(self, job_id: str) -> None:
        """Note that a final state was looked for and is not there: it will be seen once it is."""
        if job_id in self.over:
            return
        self.absent[job_id] = None
        if len(self.absent) > MAX_ABSENT:
            del self.absent[next(iter(self.absent))]

    def note_cancelled_elsewhere(self, job_ids: Iterable[str]) -> bool:
        """Take a peer's word that jobs are cancelled; returns whether that is news.

        None of their tasks may run any more.  Their records are read once the state service can be.
        """
        news = {job_id for job_id in job_ids if job_id not in self.over} - self.cancelled_elsewhere
        self.cancelled_elsewhere |= news
        for job_id in sorted(news):
            self._groups.touch_machines_of(job_id)
        return bool(news)

    def knows(self, job_id: str) -> bool:
        """Return whether a job is surely accepted: its record or its final state was seen."""
        return job_id in self.jobs or job_id in self.over

    def is_live(self, job_id: str) -> bool:
        """Return whether a job's record is known, so it was not over when that was read."""
        return job_id in self.jobs

    def is_over(self, job_id: str) -> bool:
        """Return whether a job is known to be over; one that is merely not known yet is not."""
        if job_id in self.cancelled_elsewhere:
            return True
        return job_id not in self.jobs and (job_id in self.over or job_id in self.allocations)

    def _is_confirmed(self, job: Job) -> bool:
        """Return whether all that is shown of a job's tasks was also read, with everything before it (point 13).

        This process's own changes are shown at once, and what others wrote just before them need not be.  Found on a
        simulated day and by the model test: a fold came after a cancellation which its controller had not read yet,
        so a cancelled job counted as done there, and the jobs after it ran.
        """
        groups = self.groups
        holding = self._groups.done.get(job.id, ())
        return job.version <= self.upto and all(groups[key].version <= self.upto for key in holding)

    # What is asked for often

    def version(self, key: str) -> int:
        """Return the version of a record, 0 if there is none."""
        return self._versions.get(key, 0)

    def waiting(self) -> dict[str, list[int]]:
        """Return the ready jobs with tasks that have no place, and these tasks, lowest first."""
        return self._tasks.waiting()

    def completed(self) -> set[str]:
        """Return the live jobs all of whose tasks are done; small ones only once that was read with all before it."""
        return self._tasks.completed()

    def unconfirmed(self) -> bool:
        """Return whether the end of a small job waits for what was written before it to be read."""
        return self._tasks.unconfirmed()

    def all_done(self, job: Job) -> bool:
        """Return whether all tasks of a job are done by what is shown, read or not."""
        return self._tasks.all_done(job)

    def leaving(self) -> dict[str, list[tuple[str, Allocation]]]:
        """Return, by job, the allocations whose tasks are about to end, each with the name of its machine."""
        return self._tasks.leaving()

    def placed(self, job_id: str) -> set[int]:
        """Return the tasks of a job that have a place; not to be changed by the caller."""
        return self._tasks.placed(job_id)

    def finished(self, job: Job) -> set[int]:
        """Return the tasks of a job that are done, by its own record and by those of groups."""
        return self._tasks.finished(job)

    def blame(self, machine: Machine) -> int:
        """Return how much speaks for a fault of a machine.

        `machine_health.SICK_BLAME` and more will do to return it.
        """
        return machine_blame(machine, self.jobs, self.over, self._tasks.finished)

    def take_touched(self) -> list[str]:
        """Return the machines whose record, or whose jobs, changed since the last call, by name."""
        return self._groups.take_touched()

    def team_usage(self, team: str, by: str | None = None) -> tuple[float, float]:
        """Return the CPUs and GPUs that a team holds, ending tasks included; with `by`, only what that one placed."""
        return self._groups.usage.of(team, by)
