"""The late picture that every controller places on, built from the records under ``now/``."""

from __future__ import annotations

from typing import Any

import msgspec

from ashtray.jobs.model import LIVE, Job
from ashtray.runs import decode_runs

GROUP = "now/group/"
TEAM = "now/team/"
CONTROLLER = "now/controller/"
MEMBER = "now/at/"
FLEET = "now/fleet"
TYPES = "now/types"
EPS = 1e-6
MAX_ENDED = 5000

HoldKey = tuple[str, int]
"""A machine and the number of one of its holds.

Not the attempt: tasks of one attempt that are stopped one after the other are several holds, and a key that
took them for one let a task be placed again while it ran.
"""


class HoldRecord(msgspec.Struct, array_like=True):
    """Room taken on a machine by some tasks of one attempt of a job."""

    job: str
    attempt: int
    tasks: str
    team: str
    cpus: float
    gpus: float
    memory_gb: float
    placed_us: int
    stop_us: int = -1
    """The time given to save when the tasks are to be stopped; -1: they are not."""


class MachineRecord(msgspec.Struct, omit_defaults=True):
    address: str
    spot: bool = False
    retiring: bool = False
    token: int = 0
    """The ownership token under which orders are given at present."""
    errors: int = 0
    images: list[tuple[str, float]] = []
    holds: list[HoldRecord] = []


class GroupRecord(msgspec.Struct):
    type: str
    zone: str
    machines: dict[str, MachineRecord] = {}


class MachineType(msgspec.Struct, frozen=True):
    name: str
    cpus: float
    gpus: float
    memory_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_us: int
    zones: tuple[str, ...]

    def fits(self, cpus: float, gpus: float, memory_gb: float) -> int:
        """How many tasks of this size an empty machine takes."""
        counts = [
            int((have + EPS) // need)
            for have, need in ((self.cpus, cpus), (self.gpus, gpus), (self.memory_gb, memory_gb))
            if need > 0
        ]
        return min(counts, default=1_000_000)


class Hold:
    """A hold in the picture; `tasks` is never changed in place."""

    __slots__ = ("record", "tasks", "job", "attempt")

    def __init__(self, record: HoldRecord) -> None:
        self.record = record
        self.job = record.job
        self.attempt = record.attempt
        self.tasks = decode_runs(record.tasks)


class Machine:
    """A machine in the picture, with the room its holds take."""

    __slots__ = ("name", "group", "type", "zone", "record", "holds", "cpus", "gpus", "memory_gb", "images")

    def __init__(self, name: str, group: str, kind: str, zone: str, record: MachineRecord) -> None:
        self.name = name
        self.group = group
        self.type = kind
        self.zone = zone
        self.record = record
        self.holds = [Hold(h) for h in record.holds]
        self.images = {name for name, _ in record.images}
        self.cpus = self.gpus = self.memory_gb = 0.0
        for hold in self.holds:
            n = len(hold.tasks)
            self.cpus += n * hold.record.cpus
            self.gpus += n * hold.record.gpus
            self.memory_gb += n * hold.record.memory_gb


class Group:
    __slots__ = ("key", "version", "record", "machines")

    def __init__(self, key: str, value: Any, version: int) -> None:
        self.key = key
        self.version = version
        self.record = msgspec.convert(value, GroupRecord)
        self.machines = {
            name: Machine(name, key, self.record.type, self.record.zone, record)
            for name, record in self.record.machines.items()
        }

    def copy(self) -> GroupRecord:
        """A record to change and commit."""
        return msgspec.convert(msgspec.to_builtins(self.record), GroupRecord)


class Picture:
    """Everything that is going on, as of the follower's last round plus this controller's own commits."""

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.groups: dict[str, Group] = {}
        self.machines: dict[str, Machine] = {}
        self.held: dict[str, dict[HoldKey, Hold]] = {}
        """For each job its holds."""
        self.team_versions: dict[str, int] = {}
        self.controllers: dict[str, Any] = {}
        self.members: dict[str, tuple[str, int]] = {}
        self.fleet: tuple[Any, int] | None = None
        self.types: dict[str, MachineType] = {}
        self._versions: dict[str, int] = {}
        self._ended: dict[str, None] = {}
        self.changes = 0

    def put(self, key: str, value: Any, version: int) -> None:
        if self._versions.get(key, 0) >= version:
            return
        self._versions[key] = version
        self.changes += 1
        if key.startswith(GROUP):
            self._drop_group(key)
            group = Group(key, value, version)
            self.groups[key] = group
            for name, machine in group.machines.items():
                self.machines[name] = machine
                for n, hold in enumerate(machine.holds):
                    self.held.setdefault(hold.job, {})[(name, n)] = hold
        elif key.startswith(LIVE):
            job_id = key[len(LIVE):]
            self.jobs[job_id] = Job(job_id, value, version)
        elif key.startswith(TEAM):
            self.team_versions[key[len(TEAM):]] = version
        elif key.startswith(CONTROLLER):
            self.controllers[key[len(CONTROLLER):]] = value
        elif key.startswith(MEMBER):
            self.members[key[len(MEMBER):]] = (value, version)
        elif key == FLEET:
            self.fleet = (value, version)
        elif key == TYPES:
            self.types = {name: msgspec.convert(t, MachineType) for name, t in value.items()}

    def remove(self, key: str, version: int) -> None:
        if self._versions.get(key, 0) >= version:
            return
        self._versions.pop(key, None)
        self.changes += 1
        if key.startswith(GROUP):
            self._drop_group(key)
        elif key.startswith(LIVE):
            self.jobs.pop(key[len(LIVE):], None)
            self._ended[key[len(LIVE):]] = None
            if len(self._ended) > MAX_ENDED:
                del self._ended[next(iter(self._ended))]
        elif key.startswith(TEAM):
            self.team_versions.pop(key[len(TEAM):], None)
        elif key.startswith(CONTROLLER):
            self.controllers.pop(key[len(CONTROLLER):], None)
        elif key.startswith(MEMBER):
            self.members.pop(key[len(MEMBER):], None)
        elif key == FLEET:
            self.fleet = None
        elif key == TYPES:
            self.types = {}

    def _drop_group(self, key: str) -> None:
        group = self.groups.pop(key, None)
        if group is None:
            return
        for name, machine in group.machines.items():
            if self.machines.get(name) is machine:
                del self.machines[name]
            for n, hold in enumerate(machine.holds):
                holds = self.held.get(hold.job)
                if holds is not None:
                    holds.pop((name, n), None)
                    if not holds:
                        del self.held[hold.job]

    def version(self, key: str) -> int:
        return self._versions.get(key, 0)

    def is_over(self, job_id: str) -> bool:
        """Whether a job is known to be over; one that is merely not known yet is not."""
        return job_id not in self.jobs and (job_id in self._ended or job_id in self.held)

    def placed(self, job_id: str) -> set[int]:
        """The tasks of a job that hold room somewhere."""
        tasks: set[int] = set()
        for hold in self.held.get(job_id, {}).values():
            tasks |= hold.tasks
        return tasks

    def team_usage(self, team: str) -> tuple[float, float]:
        """CPUs and GPUs held by a team, lingering tasks included."""
        cpus = gpus = 0.0
        for machine in self.machines.values():
            for hold in machine.holds:
                if hold.record.team == team:
                    cpus += len(hold.tasks) * hold.record.cpus
                    gpus += len(hold.tasks) * hold.record.gpus
        return cpus, gpus
