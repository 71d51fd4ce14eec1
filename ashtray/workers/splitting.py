"""Groups whose records are too large are split, before lower limits of the state service come or after.

Another version, or other settings, may have written records up to a limit that no longer holds.  Such a record can
be read and removed, but not written: not even a smaller one, as long as what is left is too large.  Until it is split
nothing on its machines can be folded, signed or returned.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from ashtray.kernel import SECOND_US, Fiber, Sleep
from ashtray.placement.picture import GROUP, SPLIT, Edit, Group, Picture, done_bytes, machine_bytes
from ashtray.runs import encode_runs
from ashtray.store.client import Limits, Txn, Urgency
from ashtray.workers.folding import FULL_SHARE, group_size

if TYPE_CHECKING:
    from ashtray.controller import Controller

LOOK_US = SECOND_US // 4
SPLIT_SHARE = 0.9
"""A group of several machines that takes more of a value is split, so that there is always room to fold."""
RUNS_SHARE = 0.5
"""Of a value, what one job's completed tasks may take of a record: more is written in parts."""


@dataclass
class Piece:
    """What goes into one new record."""

    size: int
    machines: dict[str, Any] = field(default_factory=dict)
    done: dict[str, str] = field(default_factory=dict)

    def value(self, group: Group) -> dict[str, Any]:
        value: dict[str, Any] = {"type": group.type, "zone": group.zone, "machines": self.machines}
        if self.done:
            value["done"] = self.done
        return value


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
    frame = Group(group.key, {"type": group.type, "zone": group.zone, "machines": {}}, 0).size
    most = int(limits.value_bytes * FULL_SHARE)
    count = group_size(picture.types.get(group.type), limits.value_bytes)
    cut = [Piece(frame)]
    upto = picture.moved.get(group.key, ("", ""))[1]
    for job_id, tasks in sorted(group.done.items()):
        if job_id <= upto or not picture.is_live(job_id):
            continue
        for runs in _done_parts(job_id, tasks, int(limits.value_bytes * RUNS_SHARE)):
            size = done_bytes(job_id, runs)
            if cut[-1].size + size > most or job_id in cut[-1].done:
                cut.append(Piece(frame))
            cut[-1].done[job_id] = runs
            cut[-1].size += size
    for name in sorted(group.machines):
        raw = group.machines[name].raw
        size = machine_bytes(name, raw)
        if cut[-1].size + size > most or len(cut[-1].machines) >= count:
            cut.append(Piece(frame))
        cut[-1].machines[name] = raw
        cut[-1].size += size
    return [piece for piece in cut if piece.machines or piece.done]


class Splitter:
    """Splits the groups that this controller looks after."""

    def __init__(self, ctl: Controller) -> None:
        self.ctl = ctl
        self.kernel = ctl.kernel

    def run(self) -> Fiber[None]:
        ctl = self.ctl
        limits = ctl.limits
        if not limits.fall or not ctl.follower.loaded or not ctl.presence.incarnation:
            yield Sleep(SECOND_US)
            return
        limits.low = limits.low or ctl.presence.upgraded() or ctl.store.refused
        for group in self.due():
            urgency = Urgency.FREE if limits.low else Urgency.PLACE
            number = min(len(pieces(ctl.picture, group, limits)) + 1, self._ops())

            def build(key: str = group.key) -> Txn | None:
                return self.split(key)

            if (yield from ctl.follower.commit(build, number, urgency, "split")):
                self.kernel.log("info", f"{group.key} ({group.size} bytes) is split")
            elif not (yield from ctl.follower.barrier()):
                break
        yield Sleep(LOOK_US)

    def due(self) -> list[Group]:
        """The groups to be split, those begun first, then the largest."""
        ctl = self.ctl
        most = ctl.limits.value_bytes * SPLIT_SHARE
        groups = [
            group for group in ctl.picture.groups.values()
            if (group.moving or (group.size > most and len(group.machines) > 1))
            and ctl.presence.foreman(group.key) == ctl.settings.host_name
        ]  # fmt: skip
        return sorted(groups, key=lambda group: (not group.moving, -group.size))

    def _ops(self) -> int:
        return self.ctl.limits.ops if self.ctl.limits.low else self.ctl.limits.first_ops

    def _key(self, base: str, taken: set[str]) -> str:
        """The key of a new group, such that its workers stay with this controller: another one would have to sign
        each of them."""
        presence, picture = self.ctl.presence, self.ctl.picture
        key = base
        for n in range(200):
            key = f"{base}+{n}"
            if key in taken or picture.version(key):
                continue
            if presence.foreman(key) == self.ctl.settings.host_name:
                break
        return key

    def split(self, key: str) -> Txn | None:
        """One step: all at once where a transaction takes it, else as many machines as it takes.

        In the latter case another record says up to which machine that is; the old one stays as it is until it can be
        removed.  Machines that were moved count in their new groups only.  See `docs/design.md`, safety, point 16.
        """
        picture, limits = self.ctl.picture, self.ctl.limits
        group = picture.groups.get(key)
        if group is None:
            return None
        cut = pieces(picture, group, limits)
        ops = self._ops()
        txn = Txn().guard(key, group.version)
        lock = SPLIT + key[len(GROUP):]
        base = f"{GROUP}{group.type}.{group.zone}."
        if not group.moving and len(cut) <= ops:
            if len(cut) < 2:
                return None
            # The record keeps the last piece.
            *others, last = cut
            if group.size > limits.value_bytes:
                txn.guard(lock, 0)
            txn.put(key, last.value(group))
        elif not group.moving and not limits.low:
            # The version before knows nothing of a second record: the rest stays, as large as it may still be.
            others = cut[: ops - 1]
            edit = Edit(group)
            for piece in others:
                for name in piece.machines:
                    edit.remove(name)
            # What is completed may be said twice: it stays true.
            if not edit.write(txn, limits, picture.is_live):
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
            new = self._key(base + next(iter(piece.machines), key.rpartition(".")[2]), taken)
            taken.add(new)
            txn.guard(new, 0).put(new, piece.value(group))
        return txn
