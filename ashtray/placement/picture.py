"""The late picture that every controller places on, built from the records under ``now/``."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from itertools import islice
from typing import Any

import msgspec

from ashtray.jobs.cancellations import CancellationLog
from ashtray.jobs.model import LIVE, MOST_LATER, OVER, UNLIMITED, Job
from ashtray.jobs.needs import Needs
from ashtray.placement import compact_record as lean
from ashtray.runs import decode_runs, encode_runs
from ashtray.store.client import Limits, Txn

GROUP = "ashtray/now/group/"
TEAM = "ashtray/now/team/"
CONTROLLER = "ashtray/now/controller/"
ADOPTED = "ashtray/now/adopted/"
FLEET = "ashtray/now/fleet"
CLAIM = "ashtray/now/claim/"
"""What was last stopped of a team's work for another one's guarantee: see `teams/guarantees.py`."""
RENTALS = "ashtray/now/rentals"
"""What the fleet's runner is about to rent: see `standby/intents.py`."""
TYPES = "ashtray/now/types"
SPLIT = "ashtray/now/split/"
"""For a group that is too large to be written: up to which of its machines have been moved to other groups."""
ESTIMATE = "ashtray/now/estimate/"
"""What was learnt of run times: see `estimates/estimate_store.py`."""
EPS = 1e-6
SICK = 3
"""The blame from which on a machine is returned: two jobs, at least one of which works elsewhere, or three."""
UNREAD = 1 << 62
"""The revision of a picture that nobody follows: all that is put counts as read."""
MAX_OVER = 20_000
MAX_ABSENT = 20_000
MOST_LEAVING_STALE = 100
"""So many changed jobs are kept at the most until somebody asks which tasks are about to leave."""


def split_key(group: str) -> str:
    """The key of the mark of a group that is being split."""
    return SPLIT + group[len(GROUP) :]


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
    by: str = ""
    """The controller that placed it, on whose share of the team's limit it counts."""


class MachineRecord(msgspec.Struct, omit_defaults=True):
    address: str
    spot: bool = False
    retiring: bool = False
    token: int = 0
    """The ownership token under which orders are given at present."""
    failed: list[str] = []
    """Jobs with tasks that failed here since one last completed here."""
    images: list[tuple[str, float]] = []
    holds: list[HoldRecord] = []


class GroupRecord(msgspec.Struct, omit_defaults=True):
    type: str
    zone: str
    machines: dict[str, MachineRecord]
    done: dict[str, str] = {}
    """For each live array the tasks that completed here and are not in its own record yet.

    A fold then changes one record, not one more for each job that had a task end.
    """


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


def _holds(records: list[HoldRecord], before: list[Hold]) -> list[Hold]:
    """The holds of a machine; those that were there `before` are the very same objects."""
    holds: list[Hold] = []
    left = list(before)
    for record in records:
        for known in left:
            if known.record == record:
                left.remove(known)
                holds.append(known)
                break
        else:
            holds.append(Hold(record))
    return holds


class Machine:
    """A machine in the picture, with the room its holds take.  `raw` is its part of the group's value."""

    __slots__ = (
        "name",
        "group",
        "type",
        "zone",
        "raw",
        "record",
        "sort",
        "holds",
        "cpus",
        "gpus",
        "memory_gb",
        "images",
    )

    def __init__(self, name: str, group: str, kind: str, zone: str, raw: Any, before: Machine | None = None) -> None:
        """`before` is the same machine as it was read last, if it was: its holds that are the same are kept."""
        self.name = name
        self.group = group
        self.type = kind
        self.zone = zone
        self.raw = raw
        self.record = msgspec.convert(raw, MachineRecord)
        self.sort = (kind, zone, self.record.spot, self.record.retiring)
        """What the rules go by that does not depend on what is on it.  A change of the record makes a new machine."""
        self.holds: list[Hold] = _holds(self.record.holds, before.holds if before is not None else [])
        self.images = {name for name, _ in self.record.images}
        self.cpus = self.gpus = self.memory_gb = 0.0
        for hold in self.holds:
            n = len(hold.tasks)
            self.cpus += n * hold.record.cpus
            self.gpus += n * hold.record.gpus
            self.memory_gb += n * hold.record.memory_gb


class Group:
    __slots__ = ("key", "version", "value", "type", "zone", "machines", "done", "size", "moving", "packed")

    def __init__(self, key: str, value: Any, version: int, before: Group | None = None) -> None:
        """`before` is the same group as it was read last, if it was."""
        self.key = key
        self.version = version
        self.packed: dict[str, Any] | None = value if lean.FORM in value else None
        """Its record, if that is in lean form."""
        self.size = lean.size_of(value)
        """Bytes of its record."""
        last, known = (before.packed, before.value["machines"]) if before is not None else (None, None)
        self.value: dict[str, Any] = lean.unpack(value, last, known)
        value = self.value
        self.type: str = value["type"]
        self.zone: str = value["zone"]
        self.machines: dict[str, Machine] = {}
        self.done: dict[str, set[int]] = {}
        self.moving = False
        """Its machines are being moved to other groups: its record is not to be written any more."""


class Edit:
    """A group's record being changed: only the machines asked for are copied, the others are shared."""

    def __init__(self, group: Group) -> None:
        self.group = group
        self.machines: dict[str, Any] = dict(group.value["machines"])
        self.done: dict[str, str] = dict(group.value.get("done", {}))
        self._changed: dict[str, MachineRecord] = {}

    def machine(self, name: str) -> MachineRecord:
        """A copy to change; the same one each time."""
        if name not in self._changed:
            self._changed[name] = self.copy_of(name)
        return self._changed[name]

    def copy_of(self, name: str) -> MachineRecord:
        """A copy that counts only once it is put back with `replace`."""
        return msgspec.convert(self.machines[name], MachineRecord)

    def _packed(self, value: dict[str, Any], limits: Limits) -> dict[str, Any]:
        """A record in the form in which it is to be written."""
        if limits.lean or self.group.packed is not None:
            return lean.pack(value, self.group.packed, self._changed)
        return value

    def size_with(self, name: str, record: MachineRecord, done: dict[str, str], limits: Limits) -> int:
        """What the record would take with one more machine changed, and these completed tasks."""
        edit = Edit(self.group)
        edit.machines, edit.done = dict(self.machines), done
        edit._changed = {**self._changed, name: record}
        return lean.size_of(edit._packed(edit.value(lambda job_id: True), limits))

    def replace(self, name: str, record: MachineRecord) -> None:
        self._changed[name] = record

    def with_done(self, job_id: str, tasks: set[int]) -> str:
        """The completed tasks of a job that the record would keep with these."""
        return encode_runs(tasks | decode_runs(self.done.get(job_id, "")))

    def add_done(self, job_id: str, tasks: set[int]) -> None:
        self.done[job_id] = self.with_done(job_id, tasks)

    def remove(self, name: str) -> None:
        self._changed.pop(name, None)
        del self.machines[name]

    def value(self, live: Callable[[str], bool]) -> dict[str, Any]:
        """What to write; completed tasks are kept for jobs that are still live."""
        for name, record in self._changed.items():
            self.machines[name] = msgspec.to_builtins(record)
        value = {"type": self.group.type, "zone": self.group.zone, "machines": self.machines}
        done = {job: runs for job, runs in self.done.items() if live(job)}
        if done:
            value["done"] = done
        return value

    def write(self, txn: Txn, limits: Limits, live: Callable[[str], bool]) -> bool:
        """Put the changed record into a transaction, or remove it when it is empty; False if it is too large."""
        group = self.group
        value = self._packed(self.value(live), limits)
        size = lean.size_of(value)
        alone = len(group.machines) == 1 and size < group.size
        if group.moving or not limits.takes(size, alone):
            return False
        txn.guard(group.key, group.version)
        if group.size > limits.value_bytes:
            # Somebody may begin to move its machines, which does not change its version.
            txn.guard(split_key(group.key), 0)
        if value["machines"] or "done" in value:
            txn.put(group.key, value)
        elif group.version:
            txn.remove(group.key)
        return True


NOBODY: set[int] = set()
NO_USAGE = (0, 0)
MICRO = 1_000_000


class Picture:
    """Everything that is going on, as of the follower's last round plus this controller's own commits.

    What is asked for often (free room, usage, the tasks that wait) is brought up to date by what changed, never
    by going through everything: the work must grow with the changes, not with the machines or the queue.
    """

    def __init__(
        self, job_bytes: int = UNLIMITED, most_later: int = MOST_LATER, clock: Callable[[], int] = lambda: 0
    ) -> None:
        self._most_later = most_later
        self._clock = clock
        """The time of day."""
        self.loads = 0
        """How often it was begun anew."""
        self.upto = UNREAD
        """The revision up to which all changes are in it; later ones are there only where they are this process's."""
        self.lean = False
        """Whether a record in lean form was seen: then no controller of the version before is about."""
        self.over: dict[str, Any] = {}
        """Final states of jobs, read or seen lately; they never change."""
        self.cancellations = CancellationLog()
        """The cancellations that were seen lately, for peers that cannot read the state service."""
        self.job_bytes = job_bytes
        """What a job's record may take."""
        self.clear()

    def clear(self) -> None:
        self.loads += 1
        self.jobs: dict[str, Job] = {}
        self.needs = Needs(self.jobs)
        self.groups: dict[str, Group] = {}
        self.machines: dict[str, Machine] = {}
        self.held: dict[str, dict[HoldKey, Hold]] = {}
        """For each job its holds."""
        self.done: dict[str, dict[str, set[int]]] = {}
        """For each job the completed tasks that groups keep for it."""
        self.controllers: dict[str, Any] = {}
        self.fleet: tuple[Any, int] | None = None
        self.rentals: Any = None
        self.claims: dict[str, Any] = {}
        """By team, what was last stopped of its work for another one's guarantee."""
        self.types: dict[str, MachineType] = {}
        self._types: dict[str, dict[str, MachineType]] = {}
        """By the records that they are in."""
        self.estimates: dict[str, Any] = {}
        """The records of learnt run times, by key."""
        self.touched: set[str] = set()
        """Machines whose record, or whose jobs, changed since somebody last looked and emptied this."""
        self.complete: set[str] = set()
        """Live jobs all of whose tasks are done."""
        self.changes = 0
        self._versions: dict[str, int] = {}
        self.moved: dict[str, tuple[str, str]] = {}
        """For each group that is being split, up to which machine, and which job's completed tasks, it is."""
        self.absent: dict[str, None] = {}
        """Ids of which no final state was found since the picture was read: one written later would be seen."""
        self.shares: dict[str, dict[str, tuple[float, float]]] = {}
        """For each team with a limit, what each controller may use of it."""
        self._usage: dict[str, tuple[int, int]] = {}
        self._usage_by: dict[tuple[str, str], tuple[int, int]] = {}
        self._placed: dict[str, set[int]] = {}
        self._finished: dict[str, set[int]] = {}
        self._waiting: dict[str, list[int]] = {}
        self._stale: set[str] = set()
        self._leaving: dict[str, list[tuple[str, Hold]]] = {}
        """For each job, and the machines they are on, its holds whose tasks are about to end.

        True of all jobs but those in `_leaving_stale`: of these a hold or the record has changed since.
        """
        self._leaving_stale: set[str] = set()
        self._unsure: set[str] = set()
        """Jobs all of whose tasks are done by changes that are later than what was read."""
        self.cancelled_elsewhere: set[str] = set()
        """Jobs that are cancelled by the word of a peer, while this controller has not read so itself.

        Some may be unknown here: accepted, placed and cancelled since the last read.
        """
        self._gone: dict[str, int] = {}
        """What this process has removed itself, later than what was read: older changes of it may still come in."""

    def read(self, revision: int) -> None:
        """All changes up to a revision have been put or removed."""
        self.upto = revision
        if self._gone:
            self._gone = {key: version for key, version in self._gone.items() if version > revision}
        if self._unsure:
            self._stale |= self._unsure
            self._unsure = set()
            self.changes += 1

    def put(self, key: str, value: Any, version: int) -> None:
        if key.startswith(OVER):
            self.note_over(key[len(OVER) :], value, version)
            return
        if max(self._versions.get(key, 0), self._gone.get(key, 0)) >= version:
            return
        self._versions[key] = version
        self.changes += 1
        if key.startswith(GROUP):
            self._put_group(key, value, version)
        elif key.startswith(LIVE):
            job_id = key[len(LIVE) :]
            job = self.jobs[job_id] = Job(job_id, value, version, self.job_bytes)
            self._stale |= self.needs.put(job, self.over)
            self._job_changed(job_id)
        elif key.startswith(CONTROLLER):
            # A new dict each time, so that what was worked out from the old one is known to be old.
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
            self._types[key] = {name: msgspec.convert(t, MachineType) for name, t in value.items()}
            self._types_changed()
        elif key.startswith(SPLIT):
            self._note_moved(GROUP + key[len(SPLIT) :], (value["machine"], value["job"]))
        elif key.startswith(ESTIMATE):
            self.estimates[key] = value

    def remove(self, key: str, version: int) -> None:
        if self._versions.get(key, 0) >= version:
            return
        self._versions.pop(key, None)
        if version > self.upto:
            self._gone[key] = version
        self.changes += 1
        if key.startswith(GROUP):
            group = self.groups.pop(key, None)
            if group is not None:
                for machine in group.machines.values():
                    self._drop_machine(machine)
                self._note_done(group, {}, {})
        elif key.startswith(LIVE):
            job_id = key[len(LIVE) :]
            self.jobs.pop(job_id, None)
            self.needs.remove(job_id)
            self._job_changed(job_id)
        elif key.startswith(CONTROLLER):
            self.controllers = {host: v for host, v in self.controllers.items() if host != key[len(CONTROLLER) :]}
        elif key.startswith(TEAM):
            self.shares.pop(key[len(TEAM) :], None)
        elif key == FLEET:
            self.fleet = None
        elif key == RENTALS:
            self.rentals = None
        elif key in self._types:
            del self._types[key]
            self._types_changed()
        elif key.startswith(SPLIT):
            self._note_moved(GROUP + key[len(SPLIT) :], None)
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

    def _note_moved(self, key: str, upto: tuple[str, str] | None) -> None:
        """Some machines of a group are in others now: what its record says of them no longer counts."""
        if upto is None:
            self.moved.pop(key, None)
        else:
            self.moved[key] = upto
        group = self.groups.get(key)
        if group is not None:
            # Its size is of no more use: it is not written again.
            self._put_group(key, group.value, group.version)

    def note_over(self, job_id: str, state: Any, version: int) -> None:
        """Take in a job's final state, written by the change of revision `version`."""
        if job_id not in self.over and state["status"] == "cancelled":
            self.cancellations.note(version, job_id)
        self.over[job_id] = state
        self.cancelled_elsewhere.discard(job_id)
        self.absent.pop(job_id, None)
        after = self.needs.over(job_id, state)
        if after:
            self._stale |= after
            self.changes += 1
        if len(self.over) > MAX_OVER:
            del self.over[next(iter(self.over))]

    def note_absent(self, job_id: str) -> None:
        """The final state was looked for and is not there: it will be seen once it is."""
        if job_id in self.over:
            return
        self.absent[job_id] = None
        if len(self.absent) > MAX_ABSENT:
            del self.absent[next(iter(self.absent))]

    def _put_group(self, key: str, value: Any, version: int) -> None:
        old = self.groups.get(key)
        group = Group(key, value, version, old)
        value = group.value
        self.lean = self.lean or group.packed is not None
        was = old.machines if old is not None else {}
        group.moving = key in self.moved
        upto = self.moved[key][0] if group.moving else ""
        for name, raw in value["machines"].items():
            if name <= upto:
                continue
            machine = was.get(name)
            if machine is None or (machine.raw is not raw and machine.raw != raw):
                before, machine = machine, Machine(name, key, group.type, group.zone, raw, machine)
                self._put_machine(machine, before)
            group.machines[name] = machine
        for name, machine in was.items():
            if name not in group.machines:
                self._drop_machine(machine)
        group.done = old.done if old is not None else {}
        self._note_done(group, value.get("done", {}), old.value.get("done", {}) if old is not None else {})
        self.groups[key] = group

    def _note_done(self, group: Group, runs: dict[str, str], before: dict[str, str]) -> None:
        """`before`: the runs that `group.done` was read from."""
        old, group.done = group.done, {}
        for job_id, text in runs.items():
            same = before.get(job_id) == text and job_id in old
            tasks = group.done[job_id] = old[job_id] if same else decode_runs(text)
            if not same and old.get(job_id) != tasks:
                self.done.setdefault(job_id, {})[group.key] = tasks
                self._holds_changed(job_id)
        for job_id in old:
            if job_id not in runs:
                by_group = self.done.get(job_id, {})
                by_group.pop(group.key, None)
                if not by_group:
                    self.done.pop(job_id, None)
                self._holds_changed(job_id)

    def _put_machine(self, machine: Machine, before: Machine | None) -> None:
        """Show a machine; what jobs and teams hold is worked out anew only where its holds differ from `before`."""
        name = machine.name
        if before is not None and self.machines.get(name) is before:
            # The machine that changed last stands last.
            del self.machines[name]
        self.machines[name] = machine
        self.touched.add(name)
        old = before.holds if before is not None else []
        for n, hold in enumerate(old):
            self._drop_hold((name, n), hold)
        for n, hold in enumerate(machine.holds):
            self.held.setdefault(hold.job, {})[(name, n)] = hold
        # Those that are the same on both sides are the same objects (`_holds`).
        for hold in old:
            if hold not in machine.holds:
                self._note_hold(hold, -1)
        for hold in machine.holds:
            if hold not in old:
                self._note_hold(hold, 1)

    def _drop_machine(self, machine: Machine) -> None:
        if self.machines.get(machine.name) is machine:
            del self.machines[machine.name]
        self.touched.add(machine.name)
        for n, hold in enumerate(machine.holds):
            self._drop_hold((machine.name, n), hold)
            self._note_hold(hold, -1)

    def _drop_hold(self, key: HoldKey, hold: Hold) -> None:
        holds = self.held.get(hold.job)
        if holds is not None and holds.get(key) is hold:
            del holds[key]
            if not holds:
                del self.held[hold.job]

    def _note_hold(self, hold: Hold, sign: int) -> None:
        """Add a hold to its team's usage, in millionths, so that sums stay exact, and note that its job's changed."""
        record = hold.record
        n = sign * len(hold.tasks)
        more = n * round(record.cpus * MICRO), n * round(record.gpus * MICRO)
        cpus, gpus = self._usage.get(record.team, NO_USAGE)
        self._usage[record.team] = (cpus + more[0], gpus + more[1])
        cpus, gpus = self._usage_by.get((record.team, record.by), NO_USAGE)
        self._usage_by[(record.team, record.by)] = (cpus + more[0], gpus + more[1])
        self._holds_changed(hold.job)

    def _holds_changed(self, job_id: str) -> None:
        self._placed.pop(job_id, None)
        self._finished.pop(job_id, None)
        self._stale.add(job_id)
        self._leaving_stale.add(job_id)

    def _job_changed(self, job_id: str) -> None:
        self._holds_changed(job_id)
        for name, _ in self.held.get(job_id, ()):
            self.touched.add(name)

    def _settle(self) -> None:
        """Work out anew what waits, for the jobs that something changed for."""
        while self._stale:
            stale, self._stale = self._stale, set()
            for job_id in sorted(stale):
                self.complete.discard(job_id)
                self._waiting.pop(job_id, None)
                job = self.jobs.get(job_id)
                if job is None or not self.needs.ready(job):
                    continue
                tasks = self._unplaced(job)
                if tasks:
                    self._waiting[job_id] = tasks
                elif self.all_done(job):
                    small = job.spec.tasks <= self._most_later
                    if small and not self._sure(job):
                        self._unsure.add(job_id)
                        continue
                    self.complete.add(job_id)
                    if small:
                        self._stale |= self.needs.completed(job_id, self._clock())
        if len(self._leaving_stale) > MOST_LEAVING_STALE:
            # Where nobody looks for room that is being made they would pile up for ever.
            self.leaving()

    def _sure(self, job: Job) -> bool:
        """Whether all that is said of a job's tasks was also read, with everything before it.

        This process's own changes are shown at once, and what others wrote just before them need not be: found on a
        simulated day and by the model test, a fold that came after a cancellation which its controller had not read
        of yet made a cancelled job count as done there, and the jobs after it run (point 13).
        """
        groups = self.groups
        return job.version <= self.upto and all(groups[key].version <= self.upto for key in self.done.get(job.id, ()))

    def _unplaced(self, job: Job) -> list[int]:
        spec = job.spec
        placed = self.placed(job.id)
        if spec.kind == "gang":
            finished = self.finished(job)
            if len(finished) >= spec.tasks:
                return []
            if not placed:
                return list(range(spec.tasks))
            # One that is placed in portions: the rest gets the same attempt number.
            return list(range(job.portion, spec.tasks)) if job.portion else []
        finished = self.finished(job)
        if len(placed) + len(finished) >= spec.tasks and len(placed | finished) >= spec.tasks:
            return []
        free = (n for n in range(spec.tasks) if n not in placed and n not in finished)
        return list(islice(free, max(job.most_open - len(placed), 0)))

    def waiting(self) -> dict[str, list[int]]:
        """The jobs with tasks that have no place, and these tasks, lowest first."""
        if self._stale:
            self._settle()
        return self._waiting

    def completed(self) -> set[str]:
        """The live jobs all of whose tasks are done; small ones only once that was read with all before it."""
        if self._stale:
            self._settle()
        return self.complete

    def unsure(self) -> bool:
        """Whether a small job's end waits for what was written before it to be read."""
        if self._stale:
            self._settle()
        return bool(self._unsure)

    def all_done(self, job: Job) -> bool:
        """Whether all tasks of a job are done by what is shown, read or not."""
        return job.spec.kind != "service" and len(self.finished(job)) >= job.spec.tasks

    def leaving(self) -> dict[str, list[tuple[str, Hold]]]:
        """By job, the holds whose tasks were told to stop or are not to be started any more, and their machines."""
        if self._leaving_stale:
            stale, self._leaving_stale = self._leaving_stale, set()
            for job_id in sorted(stale):
                job = self.jobs.get(job_id)
                broken = UNLIMITED if job is None else job.record.broken
                found = [
                    (name, hold)
                    for (name, _), hold in self.held.get(job_id, {}).items()
                    if hold.record.stop_us >= 0 or hold.attempt <= broken
                ]
                if found:
                    self._leaving[job_id] = found
                else:
                    self._leaving.pop(job_id, None)
        return self._leaving

    def version(self, key: str) -> int:
        return self._versions.get(key, 0)

    def knows(self, job_id: str) -> bool:
        """Whether a job is surely accepted: its record or its final state was seen."""
        return job_id in self.jobs or job_id in self.over

    def is_live(self, job_id: str) -> bool:
        return job_id in self.jobs

    def is_over(self, job_id: str) -> bool:
        """Whether a job is known to be over; one that is merely not known yet is not."""
        if job_id in self.cancelled_elsewhere:
            return True
        return job_id not in self.jobs and (job_id in self.over or job_id in self.held)

    def note_cancelled_elsewhere(self, job_ids: Iterable[str]) -> bool:
        """Take a peer's word that jobs are cancelled; says whether that is news.

        None of their tasks may run any more.  Their records are read once the state service can be.
        """
        news = {job_id for job_id in job_ids if job_id not in self.over} - self.cancelled_elsewhere
        self.cancelled_elsewhere |= news
        for job_id in sorted(news):
            self.touched |= {machine for machine, _ in self.held.get(job_id, ())}
        return bool(news)

    def placed(self, job_id: str) -> set[int]:
        """The tasks of a job that hold room somewhere."""
        tasks = self._placed.get(job_id)
        if tasks is None:
            holds = self.held.get(job_id)
            tasks = set().union(*(hold.tasks for hold in holds.values())) if holds else NOBODY
            if holds:
                self._placed[job_id] = tasks
        return tasks

    def finished(self, job: Job) -> set[int]:
        """The tasks of a job that are done, by its own record and by those of groups."""
        by_group = self.done.get(job.id)
        if not by_group:
            return job.finished
        tasks = self._finished.get(job.id)
        if tasks is None:
            tasks = self._finished[job.id] = job.finished.union(*by_group.values())
        return tasks

    def blame(self, machine: Machine) -> int:
        """How much speaks for a fault of a machine, by the jobs that failed on it: `SICK` and more will do.

        A job that works elsewhere counts in full.  One that fails elsewhere too, or that its user has cancelled,
        counts for nothing: a few jobs with a mistake in them would condemn every machine that tries them.
        """
        total = 0
        for job_id in machine.record.failed:
            job = self.jobs.get(job_id)
            if job is None:
                total += 2 if self.over.get(job_id, {}).get("status") == "done" else 0
            elif not job.record.errors or self.finished(job):
                total += 2
            else:
                total += 0 if job.suspect else 1
        return total

    def take_touched(self) -> list[str]:
        # In an order that does not hang on how strings are hashed: workers are told in this one.
        touched, self.touched = self.touched, set()
        return sorted(touched)

    def team_usage(self, team: str, by: str | None = None) -> tuple[float, float]:
        """CPUs and GPUs held by a team, lingering tasks included; if asked so, only what one controller placed."""
        cpus, gpus = self._usage.get(team, NO_USAGE) if by is None else self._usage_by.get((team, by), NO_USAGE)
        return cpus / MICRO, gpus / MICRO
