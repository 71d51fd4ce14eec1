"""The placer: gives this controller's jobs their places, one conditional transaction each."""

from __future__ import annotations

from collections import deque
from functools import partial
from typing import TYPE_CHECKING

import msgspec

from ashtray.jobs.model import LIVE, Job
from ashtray.kernel import SECOND_US, Fiber, Signal, Sleep, Wait
from ashtray.placement.picture import EPS, TEAM, HoldRecord
from ashtray.placement.plan import Choice, Plan, queue
from ashtray.placement.preemption import choose_victims, may_stop, stop_victims
from ashtray.runs import encode_runs
from ashtray.store.client import Txn, Urgency
from ashtray.teams.limits import has_limit, tasks_within

if TYPE_CHECKING:
    from ashtray.controller import Controller

RETRY_US = SECOND_US // 2
PARTIAL_US = 800_000


class Placer:
    def __init__(self, ctl: Controller) -> None:
        self.ctl = ctl
        self.window: deque[bool] = deque(maxlen=ctl.knobs.window)
        """For the last commits, whether each failed."""
        self.kick = Signal()
        self._seen = -1
        self._partial_us: dict[str, int] = {}
        self._hurry = False

    def widen(self) -> float:
        """The chance of a pick among the best few: it rises with conflicts, up to a cap."""
        if not self.window:
            return 0.0
        return min(sum(self.window) / len(self.window), self.ctl.knobs.widen_cap)

    def run(self) -> Fiber[None]:
        while True:
            if not self._hurry:
                yield Wait(self.kick, RETRY_US)
            self._hurry = False
            if self.ctl.follower.loaded and self.ctl.presence.incarnation:
                self._seen = self.ctl.picture.changes
                yield from self._round()
                yield Sleep(20_000)

    def changed(self) -> None:
        if self.ctl.picture.changes != self._seen:
            self.ctl.kernel.fire(self.kick)

    def mine(self, job: Job) -> bool:
        return self.ctl.presence.owner_of(job.id, job.record.owner) == self.ctl.settings.host_name

    def _round(self) -> Fiber[None]:
        ctl = self.ctl
        plan = ctl.plan()
        jobs, inside = queue(ctl.picture, ctl.teams)
        while jobs and not self.mine(jobs[-1]):
            jobs.pop()
        self._partial_us = {j: at for j, at in self._partial_us.items() if j in ctl.picture.jobs}
        most = ctl.settings.cluster.state.txn_ops - 2
        for job in jobs:
            tasks = plan.wanted(job, ctl.kernel.wall_us)
            if not tasks:
                continue
            mine = self.mine(job)
            widen = self.widen() if mine else 0.0
            need = len(tasks) if job.spec.kind == "gang" else 1
            choices: list[Choice] = []
            # A class with an aim on waiting first looks where its image is there in time.
            aim_s = ctl.pace.urgent.get(job.spec.job_class)
            for within_s in (None,) if aim_s is None else (0.8 * aim_s, None):
                choices = plan.place(job, len(tasks), most, widen, within_s)
                if choices:
                    break
                if (job.spec.kind == "gang" and job.spec.priority <= 1) or job.id in inside:
                    if plan.keep_soon(job, need, within_s):
                        break
                    if mine and (yield from self._preempt(job, plan, need, inside, within_s)):
                        # This plan does not know yet which room is being made: jobs further back would take it.
                        return self._again()
            if not choices or not mine:
                continue
            if sum(n for _, n in choices) < len(tasks):
                # Room for a few of many tasks: several such commits are made one, for each costs changes.
                if ctl.kernel.now_us - self._partial_us.get(job.id, 0) < PARTIAL_US:
                    continue
                self._partial_us[job.id] = ctl.kernel.now_us
            placed = yield from self._commit(job, tasks, choices)
            if not placed:
                # The picture was too late: start anew on the fresh one.
                return self._again()

    def _again(self) -> None:
        self._hurry = True

    def _preempt(
        self, job: Job, plan: Plan, count: int, inside: set[str], within_s: float | None
    ) -> Fiber[bool]:
        """Stop work that may be stopped where that makes room for a job."""
        ctl = self.ctl
        allowed = may_stop(ctl.picture, ctl.teams, inside, job)
        victims = choose_victims(plan, job, count, allowed, ctl.kernel.wall_us, within_s)
        if not victims:
            return False
        most = ctl.settings.cluster.state.txn_ops
        build = partial(stop_victims, ctl.picture, victims, most)
        if (yield from ctl.follower.commit(build, len(victims), Urgency.PLACE)):
            number = sum(len(tasks) for held in victims.values() for tasks in held.values())
            ctl.kernel.log("info", f"{job.id} stops {number} tasks on {', '.join(sorted(victims))}")
            ctl.peers.hint()
        return True

    def _commit(self, job: Job, tasks: list[int], choices: list[Choice]) -> Fiber[bool]:
        ctl = self.ctl
        changes = 2 + len({room.machine.group for room, _ in choices})
        for attempt in range(ctl.knobs.retries):
            build = partial(self._transaction, job, tasks, choices)
            good = yield from ctl.follower.commit(build, changes, Urgency.PLACE)
            if good is None:
                return False
            self.window.append(not good)
            if good:
                where = ", ".join(f"{n} on {room.machine.name}" for room, n in choices)
                ctl.kernel.log("info", f"{job.id} attempt {job.record.attempt + 1}: {where}")
                ctl.peers.hint()
                return True
            yield Sleep(int(ctl.kernel.rng.uniform(0.0, 0.02) * min(2**attempt, 16) * SECOND_US))
            if not (yield from ctl.follower.barrier()):
                return False
        return False

    def _transaction(self, planned: Job, tasks: list[int], choices: list[Choice]) -> Txn | None:
        """The commit for a choice, checked against the versions that it will be guarded by."""
        ctl = self.ctl
        job = ctl.picture.jobs.get(planned.id)
        if job is None or job.record.attempt != planned.record.attempt:
            return None
        spec = job.spec
        picture = ctl.picture
        if any(n in job.finished for n in tasks) or picture.placed(job.id) & set(tasks):
            return None
        if spec.kind == "gang" and job.id in picture.held:
            return None
        txn = Txn().guard(LIVE + job.id, job.version)
        team = ctl.teams.get(spec.team)
        count = sum(n for _, n in choices)
        if team is not None and has_limit(team):
            cpus, gpus = picture.team_usage(team.name)
            if tasks_within(team, cpus, gpus, spec) < count:
                return None
            usage = {"cpus": cpus + count * spec.cpus, "gpus": gpus + count * spec.gpus}
            txn.guard(TEAM + team.name, picture.version(TEAM + team.name)).put(TEAM + team.name, usage)
        zones: dict[str, int] = {}
        for (name, _), hold in picture.held.get(job.id, {}).items():
            zones[picture.machines[name].zone] = zones.get(picture.machines[name].zone, 0) + len(hold.tasks)
        left = list(tasks)
        records = {}
        for room, n in choices:
            machine = picture.machines.get(room.machine.name)
            if machine is None or machine.record.retiring:
                return None
            kind = room.type
            if (
                machine.cpus + n * spec.cpus > kind.cpus + EPS
                or machine.gpus + n * spec.gpus > kind.gpus + EPS
                or machine.memory_gb + n * spec.memory_gb > kind.memory_gb + EPS
            ):
                return None
            zones[machine.zone] = zones.get(machine.zone, 0) + n
            group = picture.groups[machine.group]
            if group.key not in records:
                records[group.key] = group.copy()
                txn.guard(group.key, group.version)
            record = records[group.key].machines[machine.name]
            record.holds.append(
                HoldRecord(
                    job.id, job.record.attempt + 1, encode_runs(left[:n]), spec.team, spec.cpus, spec.gpus,
                    spec.memory_gb, ctl.kernel.wall_us,
                )  # fmt: skip
            )
            del left[:n]
            record.images = cached(record.images, spec.image, spec.image_gb, kind.cache_gb)
        if spec.same_zone and len(zones) > 1:
            return None
        if spec.spread and max(zones.values()) > (spec.tasks + 1) // 2:
            return None
        txn.put(LIVE + job.id, job.value(attempt=job.record.attempt + 1))
        for key, changed in records.items():
            txn.put(key, msgspec.to_builtins(changed))
        limit = ctl.settings.cluster.state.value_kb * 1024 * 0.95
        if any(len(msgspec.json.encode(value)) > limit for value in txn.puts.values()):
            ctl.kernel.log("error", f"{job.id}: a record would grow over its limit")
            return None
        return txn


def cached(images: list[tuple[str, float]], image: str, size: float, cache_gb: float) -> list[tuple[str, float]]:
    """A machine's cached images after it has used one, the latest last."""
    kept = [*(entry for entry in images if entry[0] != image), (image, size)]
    while len(kept) > 1 and sum(gb for _, gb in kept) > cache_gb:
        kept.pop(0)
    return kept
