"""The cluster state: a controller's slightly late copy of the state service's records under ``now/``.

`ClusterState` applies changes, one record at a time.  `GroupIndex` and `TaskIndex` keep derived tables up to date
incrementally: the cost must grow with the number of changes, not with that of machines or queued jobs.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from ashtray.jobs.cancellations import CancellationLog
from ashtray.jobs.dependencies import Dependencies
from ashtray.jobs.model import FINAL_STATE_PREFIX, LIVE_JOB_PREFIX, MAX_DEFERRED_TASKS, UNLIMITED, Job
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

ALL_REVISIONS = 1 << 62
"""Later than any revision: a cluster state that no follower updates counts as read completely."""
MAX_FINAL_STATES = 20_000
"""How many final states of jobs are kept; the oldest entry is dropped first."""
MAX_ABSENT = 20_000
"""How many ids of jobs without a final state are kept; the oldest entry is dropped first."""


def _no_clock() -> int:
    return 0


class ClusterState:
    """The cluster state as of the follower's last read, plus this controller's own commits."""

    def __init__(
        self,
        job_bytes: int = UNLIMITED,
        max_deferred_tasks: int = MAX_DEFERRED_TASKS,
        clock: Callable[[], int] = _no_clock,
    ) -> None:
        """Start without any records.

        `job_bytes` is the maximum size of a job's record.  Jobs of up to `max_deferred_tasks` tasks count as done
        before their records are moved to the finished jobs.  `clock` returns the time of day in microseconds.
        """
        self._max_deferred_tasks = max_deferred_tasks
        self._clock = clock
        self.load_count = 0
        """How often all records were read from scratch."""
        self.read_revision = ALL_REVISIONS
        """The revision up to which all changes are included; of later ones only this process's own are."""
        self.compact_seen = False
        """Whether a record in compact form was seen: then no controller of the previous version is running."""
        self.final_states: dict[str, Any] = {}
        """Final states of jobs that were read or followed lately, by job id; they never change."""
        self.cancellations = CancellationLog()
        """Recent cancellations, for peers that cannot read the state service."""
        self.job_bytes = job_bytes
        self.clear()

    def clear(self) -> None:
        """Drop all records except the final states of jobs, before they are read from scratch."""
        self.load_count += 1
        self.changes = 0
        """A counter that grows with each change; callers compare it to see whether anything changed."""
        self.jobs: dict[str, Job] = {}
        """The live jobs, by id."""
        self.known_absent: dict[str, None] = {}
        """Ids of jobs whose final state was looked up and not found; the follower sees one that is written later."""
        self.cancelled_elsewhere: set[str] = set()
        """Jobs that a peer reports as cancelled, while this controller has not read their final state itself.

        Some may be unknown here: accepted, placed and cancelled since the last read.
        """
        self._clear_tables()
        self._clear_indexes()
        self._versions: dict[str, int] = {}
        """The version of each record, by key."""
        self._removed_at: dict[str, int] = {}
        """The revisions of this process's own removals that were not read yet, by key.

        Older changes of these keys may still arrive and must not bring the records back.
        """

    def _clear_tables(self) -> None:
        """Forget the records that are neither jobs nor groups."""
        self.controllers: dict[str, Any] = {}
        """By host name.  A change replaces the dict, so users of derived data notice it by comparing identities."""
        self.fleet: tuple[Any, int] | None = None
        """The record of the fleet leader, and its version."""
        self.rentals: Any = None
        self.claims: dict[str, Any] = {}
        """By team, which of its work was last preempted for another team's guarantee."""
        self.shares: dict[str, dict[str, tuple[float, float]]] = {}
        """For each team with a limit, the CPUs and GPUs that each controller may use."""
        self.types: dict[str, MachineType] = {}
        """Machine types by name."""
        self._types: dict[str, dict[str, MachineType]] = {}
        """Machine types by the key of the record that they are in."""
        self.estimates: dict[str, Any] = {}
        """The records of learnt run times, by key."""

    def _clear_indexes(self) -> None:
        self.dependencies = Dependencies(self.jobs)
        self._tasks = TaskIndex(
            self.jobs, self.dependencies, self._is_confirmed, self._clock, self._max_deferred_tasks
        )
        self._groups = GroupIndex(self._tasks.job_changed)
        self._tasks.follow(self._groups.allocations, self._groups.done)
        self.groups = self._groups.groups
        """Groups by key."""
        self.machines = self._groups.machines
        """Machines by name; the most recently changed one is the last."""
        self.allocations = self._groups.allocations
        """By job id, its allocations."""
        self.split_progress = self._groups.split_progress
        """For each group that is being split, the last machine and the last job's completed tasks that have moved."""

    # Changes

    def read(self, revision: int) -> None:
        """Note that all changes up to a revision have been applied."""
        self.read_revision = revision
        self.dependencies.update_urgency()
        if self._removed_at:
            self._removed_at = {key: version for key, version in self._removed_at.items() if version > revision}
        if self._tasks.confirm():
            self.changes += 1

    def put(self, key: str, value: Any, version: int) -> None:
        """Apply a record of the given version; it is ignored unless it is newer than what is known."""
        if key.startswith(FINAL_STATE_PREFIX):
            self.note_final_state(key[len(FINAL_STATE_PREFIX) :], value, version)
            return
        if max(self._versions.get(key, 0), self._removed_at.get(key, 0)) >= version:
            return
        self._versions[key] = version
        self.changes += 1
        if key.startswith(GROUP):
            group = self._groups.put_group(key, value, version)
            self.compact_seen = self.compact_seen or group.packed is not None
        elif key.startswith(LIVE_JOB_PREFIX):
            self._put_job(key[len(LIVE_JOB_PREFIX) :], value, version)
        elif key.startswith(SPLIT):
            self._groups.put_split(GROUP + key[len(SPLIT) :], (value["machine"], value["job"]))
        else:
            self._put_in_table(key, value, version)

    def _put_job(self, job_id: str, value: Any, version: int) -> None:
        job = Job(job_id, value, version, self.job_bytes)
        self.jobs[job_id] = job
        self._tasks.readiness_changed(self.dependencies.put(job, self.final_states))
        self._job_changed(job_id)

    def _put_in_table(self, key: str, value: Any, version: int) -> None:
        """Apply a record that is neither a job's nor a group's; unknown keys are ignored."""
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
        """Apply the removal of a record at revision `version`; it is ignored if a newer record is known."""
        if self._versions.get(key, 0) >= version:
            return
        self._versions.pop(key, None)
        if version > self.read_revision:
            self._removed_at[key] = version
        self.changes += 1
        if key.startswith(GROUP):
            self._groups.remove_group(key)
        elif key.startswith(LIVE_JOB_PREFIX):
            self._remove_job(key[len(LIVE_JOB_PREFIX) :])
        elif key.startswith(SPLIT):
            self._groups.put_split(GROUP + key[len(SPLIT) :], None)
        else:
            self._remove_from_table(key)

    def _remove_job(self, job_id: str) -> None:
        self.jobs.pop(job_id, None)
        self.dependencies.remove(job_id)
        self._job_changed(job_id)

    def _remove_from_table(self, key: str) -> None:
        """Drop a record that is neither a job's nor a group's.  Claims are kept."""
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
        """Whether all machine types are known: if each has its own record, `TYPES` is written after them."""
        return TYPES in self._types

    def type_records(self) -> dict[str, dict[str, MachineType]]:
        """Return the machine types by the key of the record that they are in."""
        return dict(self._types)

    def _types_changed(self) -> None:
        self.types = {name: kind for key in sorted(self._types) for name, kind in self._types[key].items()}

    def _job_changed(self, job_id: str) -> None:
        self._tasks.job_changed(job_id)
        self._groups.touch_machines_of(job_id)

    # What is known of jobs

    def note_final_state(self, job_id: str, state: Any, version: int) -> None:
        """Apply a job's final state, written at revision `version`."""
        if job_id not in self.final_states and state["status"] == "cancelled":
            self.cancellations.note(version, job_id)
        self.final_states[job_id] = state
        self.cancelled_elsewhere.discard(job_id)
        self.known_absent.pop(job_id, None)
        dependents = self.dependencies.note_final_state(job_id, state)
        if dependents:
            self._tasks.readiness_changed(dependents)
            self.changes += 1
        if len(self.final_states) > MAX_FINAL_STATES:
            del self.final_states[next(iter(self.final_states))]

    def note_absent(self, job_id: str) -> None:
        """Note that a job's final state was looked up and does not exist; the follower sees it once it is written."""
        if job_id in self.final_states:
            return
        self.known_absent[job_id] = None
        if len(self.known_absent) > MAX_ABSENT:
            del self.known_absent[next(iter(self.known_absent))]

    def note_cancelled_elsewhere(self, job_ids: Iterable[str]) -> bool:
        """Note that a peer reports these jobs as cancelled; return whether any of that is new.

        None of their tasks may run any more.  Their final states are read once the state service can be reached.
        """
        news = {job_id for job_id in job_ids if job_id not in self.final_states} - self.cancelled_elsewhere
        self.cancelled_elsewhere |= news
        for job_id in sorted(news):
            self._groups.touch_machines_of(job_id)
        return bool(news)

    def knows(self, job_id: str) -> bool:
        """Return whether a job is known to be accepted: its record or its final state was seen."""
        return job_id in self.jobs or job_id in self.final_states

    def is_live(self, job_id: str) -> bool:
        """Return whether a job's record is known, so the job was not over when the record was read."""
        return job_id in self.jobs

    def is_over(self, job_id: str) -> bool:
        """Return whether a job is known to be over; False for a job that this controller does not know yet."""
        if job_id in self.cancelled_elsewhere:
            return True
        return job_id not in self.jobs and (job_id in self.final_states or job_id in self.allocations)

    def _is_confirmed(self, job: Job) -> bool:
        """Return whether all records of a job's tasks are from revisions that were read completely (point 13).

        This process's own changes show at once, while peers' changes just before them may still be missing.
        Otherwise, if this controller's fold (the transaction that writes what workers reported into group records)
        came after a cancellation that it had not read yet, the cancelled job would count as done, and the jobs that
        depend on it would run.
        """
        groups = self.groups
        group_keys = self._groups.done.get(job.id, ())
        return job.version <= self.read_revision and all(
            groups[key].version <= self.read_revision for key in group_keys
        )

    # Queries

    def version(self, key: str) -> int:
        """Return the version of a record, 0 if there is none."""
        return self._versions.get(key, 0)

    def waiting(self) -> dict[str, list[int]]:
        """Return the ready jobs with unplaced tasks, and these tasks, lowest number first."""
        return self._tasks.waiting()

    def completed(self) -> set[str]:
        """Return the live jobs all of whose tasks are done; small jobs only once that is confirmed (point 13)."""
        return self._tasks.completed()

    def unconfirmed(self) -> bool:
        """Return whether a small job is done but not confirmed: earlier changes are still to be read."""
        return self._tasks.unconfirmed()

    def all_done(self, job: Job) -> bool:
        """Return whether all tasks of a job are done, whether that is confirmed or not."""
        return self._tasks.all_done(job)

    def ending_allocations(self) -> dict[str, list[tuple[str, Allocation]]]:
        """Return, by job, the allocations whose tasks are about to end, each with its machine's name."""
        return self._tasks.ending_allocations()

    def placed(self, job_id: str) -> set[int]:
        """Return the placed tasks of a job; the caller must not change the set."""
        return self._tasks.placed(job_id)

    def finished(self, job: Job) -> set[int]:
        """Return the tasks of a job that are done, by its own record and by the group records."""
        return self._tasks.finished(job)

    def blame(self, machine: Machine) -> int:
        """Return how strongly failed tasks suggest that a machine is faulty, in units of `machine_health`.

        From `machine_health.FAULTY_BLAME` on the machine is returned to the cloud.
        """
        return machine_blame(machine, self.jobs, self.final_states, self._tasks.finished)

    def take_touched(self) -> list[str]:
        """Return the names of the machines whose record, or whose jobs, changed since the last call."""
        return self._groups.take_touched()

    def team_usage(self, team: str, by: str | None = None) -> tuple[float, float]:
        """Return the CPUs and GPUs that a team uses, ending tasks included.

        With `by`, only allocations that this controller placed count.
        """
        return self._groups.usage.of(team, by)
