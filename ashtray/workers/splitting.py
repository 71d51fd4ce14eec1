"""Groups whose records are too large are split, before lower limits of the state service come or after.

Another version, or other settings, may have written records up to a limit that no longer holds.  Such a record can
be read and removed, but not written: not even a smaller one, as long as what is left is too large.  Until it is split
nothing on its machines can be folded, signed or returned.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ashtray.base import Base
from ashtray.kernel import SECOND_US, Fiber, Sleep
from ashtray.peers.presence import Presence
from ashtray.placement import compact_record as lean
from ashtray.placement.cluster_state import Picture
from ashtray.placement.machine_groups import Group
from ashtray.placement.state_keys import GROUP, split_key
from ashtray.runs import encode_runs
from ashtray.store.client import Limits, Txn, Urgency
from ashtray.workers.folding import FULL_SHARE, group_size

LOOK_US = SECOND_US // 4
SPLIT_SHARE = 0.8
"""A group that takes more of a value is split: nothing more is placed there, and there is to be room to fold."""
RUNS_SHARE = 0.5
"""Of a value, what one job's completed tasks may take of a record: more is written in parts."""


@dataclass
class Piece:
    """What goes into one new record."""

    group: Group
    machines: dict[str, Any] = field(default_factory=dict)
    done: dict[str, str] = field(default_factory=dict)

    def value(self) -> dict[str, Any]:
        value: dict[str, Any] = {"type": self.group.type, "zone": self.group.zone, "machines": self.machines}
        if self.done:
            value["done"] = self.done
        return lean.pack(value)


def _done_parts(job_id: str, tasks: set[int], most: int) -> list[str]:
    """A job's completed tasks as runs of so many bytes at most."""
    parts: list[str] = []
    part: list[str] = []
    size = 0
    for run in encode_runs(tasks).split(","):
        if part and size + len(run) + 1 > most:
            parts.append(",".join(part))
            part, size = [], 0
        part.append(run)
        size += len(run) + 1
    return [*parts, ",".join(part)]


def pieces(picture: Picture, group: Group, limits: Limits) -> list[Piece]:
    """A group cut into what fits: first the completed tasks, job by job, then its machines by name.

    A machine that is too large by itself gets a record of its own, to be written once enough of it has ended.
    """
    most = int(limits.value_bytes * FULL_SHARE)
    count = group_size(picture.types.get(group.type), limits)
    cut = [Piece(group)]
    upto = picture.moved.get(group.key, ("", ""))[1]
    for job_id, tasks in sorted(group.done.items()):
        if job_id <= upto or not picture.is_live(job_id):
            continue
        for runs in _done_parts(job_id, tasks, int(limits.value_bytes * RUNS_SHARE)):
            if job_id in cut[-1].done:
                cut.append(Piece(group))
            cut[-1].done[job_id] = runs
            if lean.size_of(cut[-1].value()) > most and len(cut[-1].done) > 1:
                del cut[-1].done[job_id]
                cut.append(Piece(group, done={job_id: runs}))
    for name in sorted(group.machines):
        raw = group.machines[name].raw
        cut[-1].machines[name] = raw
        crowded = len(cut[-1].machines) > count or lean.size_of(cut[-1].value()) > most
        if crowded and (len(cut[-1].machines) > 1 or cut[-1].done):
            del cut[-1].machines[name]
            cut.append(Piece(group, {name: raw}))
    return [piece for piece in cut if piece.machines or piece.done]


class Splitter:
    """Splits the groups that this controller looks after."""

    def __init__(self, base: Base, presence: Presence) -> None:
        self.base = base
        self.kernel = base.kernel
        self.presence = presence

    def run(self) -> Fiber[None]:
        base = self.base
        if not base.limits.lean or not base.follower.loaded or not self.presence.incarnation:
            yield Sleep(LOOK_US)
            return
        for group in self.due():
            number = min(len(pieces(base.picture, group, base.limits)), base.limits.ops)

            def build(key: str = group.key) -> Txn | None:
                return self.split(key)

            # Nothing else can be done with its machines meanwhile.
            if (yield from base.follower.commit(build, number, Urgency.CANCEL, "split")):
                self.kernel.log("info", f"{group.key} ({group.size} bytes) is split")
            elif not (yield from base.follower.barrier()):
                break
        yield Sleep(LOOK_US)

    def due(self) -> list[Group]:
        """The groups to be split, those begun first, then the largest."""
        base = self.base
        most = base.limits.value_bytes * SPLIT_SHARE
        groups = [
            group
            for group in base.picture.groups.values()
            if (group.moving or (group.size > most and (len(group.machines) > 1 or group.packed is None)))
            and self.presence.foreman(group.key) == base.settings.host_name
        ]
        return sorted(groups, key=lambda group: (not group.moving, -group.size))

    def _key(self, base: str, taken: set[str]) -> str:
        """The key of a new group, such that its workers stay with this controller: another one would have to sign
        each of them."""
        presence, picture = self.presence, self.base.picture
        key = base
        for n in range(200):
            key = f"{base}+{n}"
            if key in taken or picture.version(key):
                continue
            if presence.foreman(key) == self.base.settings.host_name:
                break
        return key

    def split(self, key: str) -> Txn | None:
        """One step: all at once where a transaction takes it, else as many machines as it takes.

        In the latter case another record says up to which machine that is; the old one stays as it is until it can be
        removed.  Machines that were moved count in their new groups only.  See `docs/design.md`, safety, point 16.
        """
        picture, limits = self.base.picture, self.base.limits
        group = picture.groups.get(key)
        if group is None or not self.base.limits.lean:
            return None
        cut = pieces(picture, group, limits)
        ops = limits.ops
        txn = Txn().guard(key, group.version)
        lock = split_key(key)
        base = f"{GROUP}{group.type}.{group.zone}."
        if not group.moving and len(cut) <= ops:
            # The record keeps the last piece; in lean form that may be all of it.
            *others, last = cut
            txn.guard(lock, 0).put(key, last.value())
            if not limits.takes(lean.size_of(last.value()), len(last.machines) == 1):
                return None
        elif len(cut) <= ops - 2:
            others = cut
            txn.guard(lock, picture.version(lock)).remove(key)
            if group.moving:
                txn.remove(lock)
        else:
            others = cut[: ops - 1]
            machines = [name for piece in others for name in piece.machines]
            jobs = [job_id for piece in others for job_id in piece.done]
            known = picture.moved.get(key, ("", ""))
            last_job = max(jobs, default=known[1])
            if not machines and len(cut) > len(others) and last_job in cut[len(others)].done:
                # The rest of this job's completed tasks comes with the next step: what is said twice stays true.
                last_job = max((job for job in jobs if job != last_job), default=known[1])
            mark = {"machine": max(machines, default=known[0]), "job": last_job}
            txn.guard(lock, picture.version(lock)).put(lock, mark)
        taken: set[str] = set()
        for piece in others:
            if not limits.takes(lean.size_of(piece.value()), len(piece.machines) == 1):
                # One machine that is too large alone: it has to wait until enough has ended there.
                return None
            new = self._key(base + next(iter(piece.machines), key.rpartition(".")[2]), taken)
            taken.add(new)
            txn.guard(new, 0).put(new, piece.value())
        return txn
