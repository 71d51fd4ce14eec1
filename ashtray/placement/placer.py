"""The placer: gives this controller's jobs their places, one conditional transaction each."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass
from functools import partial

from ashtray.base import Base
from ashtray.jobs.model import LIVE, Job
from ashtray.jobs.pace import Pace
from ashtray.kernel import SECOND_US, Fiber, Signal, Sleep, Wait
from ashtray.peers.presence import Presence
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.group_edit import GroupEdit
from ashtray.placement.plan import IMAGE_BYTES, Choice, Plan, Planner, demand
from ashtray.placement.preemption import Right, Victims, choose_victims, stop_for
from ashtray.placement.prospects import Prospects
from ashtray.placement.records import AMOUNT_TOLERANCE, AllocationRecord
from ashtray.placement.state_keys import TEAM
from ashtray.runs import encode_runs
from ashtray.store.client import Limits, Txn, Urgency
from ashtray.teams.grants import URGENT, Grants, Share
from ashtray.workers.desk import Desk
from ashtray.workers.folding import Fold

RETRY_US = SECOND_US // 2
RIPE_US = SECOND_US
OVERRIPE_US = 4 * SECOND_US
RESHARE_US = SECOND_US // 4
MAX_RESHARE_US = SECOND_US
YIELD_US = 6 * RESHARE_US
"""For so long a controller whose share was lowered by another asks for none, unless for urgent jobs or gangs."""
HOLD_BYTES = 160
JOB_BYTES = 600
"""About what a hold, and a job's record, take of a transaction."""
IMAGES_SHARE = 0.05
"""Of a value, what the names of one machine's cached images may take."""
PAUSE_US = 100_000
FENCE_US = 60_000
"""For each live controller, how long one may wait for another's fence."""
MOST_VAIN = 2
PARTIAL_US = 800_000
SCARCE_PARTIAL_US = 3 * SECOND_US
WORTH_PLACES = 4
"""While changes are scarce, a part of an array goes to a group of its own accord with so many places only."""
STALE_US = SECOND_US
"""A plan is followed no longer: jobs that came in meanwhile may go first."""
JOB_VISITS = 30
VISIT_US = 26
"""For each room looked at a round pauses as long again, so that a long queue leaves time for the rest."""


MOST_SHORT = 8
"""So many gangs of a team that its share does not allow are remembered in one round, at the most."""


@dataclass(frozen=True)
class ShortJob:
    """A job that could be placed if its controller's share of the team's limit allowed it."""

    job: Job
    count: int
    """How many of its tasks."""
    turn: int
    """Its place in the queue."""


class Placer:
    """Serves the queue of jobs that wait: plans, commits placements, and sees to the shares of limits."""

    def __init__(
        self, base: Base, presence: Presence, grants: Grants, pace: Pace, planner: Planner, desk: Desk
    ) -> None:
        self.base = base
        self.presence = presence
        self.grants = grants
        self.pace = pace
        self.planner = planner
        self.desk = desk
        self.window: deque[bool] = deque(maxlen=base.knobs.window)
        """For the last commits, whether each failed."""
        self.kick = Signal()
        self._seen = -1
        self._partial_us: dict[str, int] = {}
        self._ripe: dict[str, int] = {}
        """Since when urgent jobs of other controllers have had room in the plan."""
        self.counts: Counter[str] = Counter()
        """What the work went into since the last report."""
        self._hurry = False
        self._commits = self._vain = 0
        """Commits tried, and rounds in a row that came to none though there was something to place."""
        self._sent: tuple[Txn, list[str]] = (Txn(), [])
        """The last commit, and the teams with a limit that it placed for."""
        self._folds: set[str] = set()
        """The machines whose reports went with it."""
        self._short: dict[str, list[ShortJob]] = {}
        """By team, the first jobs that this controller's share of the limit does not allow, in their order."""
        self._queue: list[Job] = []
        """As it was last served."""
        self._reshared: dict[str, tuple[int, int]] = {}
        """When a team's shares were last changed here, and how long to wait before they are again."""
        self._own_shares: dict[str, Share] = {}
        """This controller's share of each team's limit when it last saw to it."""

    def widen(self) -> float:
        """The chance of a pick among the best few: it rises with conflicts, up to a cap."""
        if not self.window:
            return 0.0
        return min(sum(self.window) / len(self.window), self.base.knobs.widen_cap)

    def run(self) -> Fiber[None]:
        """Serve the queue again and again: after changes, or after a pause."""
        while True:
            if not self._hurry:
                yield Wait(self.kick, RETRY_US)
            self._hurry = False
            if self.base.follower.loaded and self.presence.incarnation:
                self._seen = self.base.cluster_state.changes
                commits = self._commits
                work_us = VISIT_US * (yield from self._round())
                # In a full fleet round after round finds no room: each of them makes the next one later.
                self._vain = 0 if commits != self._commits or not work_us else min(self._vain + 1, MOST_VAIN)
                # One that is behind plans seldomer: what it has decided would come late, and reports with it.
                yield Sleep(PAUSE_US * 2**self._vain + work_us + self.base.kernel.behind_us)

    def changed(self) -> None:
        """Wake the loop if the cluster state has changed since the last round."""
        if self.base.cluster_state.changes != self._seen:
            self.base.kernel.fire(self.kick)

    def _round(self) -> Fiber[int]:
        """Serve the queue once; returns how many jobs and rooms were looked at."""
        base = self.base
        cluster_state = base.cluster_state
        if not any(self.presence.mine(cluster_state.jobs[job_id]) for job_id in cluster_state.waiting()):
            return 0
        yield from self._fence()
        self.counts["rounds"] += 1
        plan = self.planner.plan()
        plan.add_freed(self.desk.light().freed)
        plan.due = self.desk.due()
        plan.sparing = base.store.changes.scarce()
        jobs, inside = self.planner.queue()
        self._queue = list(jobs)
        while jobs and not self.presence.mine(jobs[-1]):
            jobs.pop()
        self._partial_us = {j: at for j, at in self._partial_us.items() if j in cluster_state.jobs}
        try:
            yield from self._serve(plan, jobs, inside)
        finally:
            self.counts["jobs looked at"] += len(jobs)
            self.counts["rooms looked at"] += plan.visits
        return plan.visits + JOB_VISITS * len(jobs)

    def _fence(self) -> Fiber[None]:
        """See that nothing of this controller is on its way for teams with a limit, before placing for them.

        When all controllers start together, one's fence serves all of them: who sees it in time writes none.
        """
        base = self.base
        jobs = base.cluster_state.jobs
        waits = {
            jobs[job_id].spec.team for job_id in base.cluster_state.waiting() if self.presence.mine(jobs[job_id])
        }
        teams = sorted(team for team in waits if self.grants.limited(team) and not self.grants.ready(team))
        if teams:
            yield Sleep(int(base.kernel.rng.random() * FENCE_US * len(self.presence.live())))
            build = partial(self.grants.fence, teams)
            yield from base.follower.commit(build, len(teams), Urgency.ACCEPT, "share")
            # What was placed before the fence, by this process or one before it, is in the cluster state then.
            yield from base.follower.barrier()

    def _serve(self, plan: Plan, jobs: list[Job], inside: set[str]) -> Fiber[None]:
        base = self.base
        began_us = base.kernel.now_us
        batch = Batch(base.cluster_state, base.limits)
        freed = {id(room) for room in plan.freed}
        ripe: dict[str, int] = {}
        theirs: dict[tuple[str, str], Share] = {}
        for turn, job in enumerate(jobs):
            if base.kernel.now_us - began_us > STALE_US:
                self._again()
                break
            mine = self.presence.mine(job)
            # What a share allows is this controller's to use, whoever comes first in the queue elsewhere: counted on
            # the plan, it stood idle until it had been moved to them.
            shared = mine and self.grants.limited(job.spec.team)
            tasks = plan.wanted(job, base.kernel.wall_us, shared)
            urgent = job.priority <= URGENT and not job.suspect
            if not mine and not urgent:
                tasks = self._placeable(job, tasks, theirs)
            if not tasks:
                continue
            begins = job.id in self.planner.times.begins and job.spec.kind != "gang"
            if plan.sparing and not mine and not urgent:
                # It waits for its controller's changes rather than for room: found by a profile, planning for the
                # others' jobs took half of the processor time, and their places were not taken for a long time.
                continue
            widen = self.widen() if mine else 0.0
            need = len(tasks) if job.spec.kind == "gang" else 1
            if shared and not self._share_allows(plan, job, need, batch, turn):
                continue
            choices: list[Choice] = []
            # A class with an aim on waiting first looks where its image is there in time.
            aim_s = self.pace.urgent.get(job.spec.job_class)
            for within_s in (None,) if aim_s is None else (0.8 * aim_s, None):
                # Room that only this controller knows of yet is for its own jobs, or for urgent ones: the others
                # could not be placed there, and it would stand empty until a fold shows it.
                choices = plan.place(job, len(tasks), widen, within_s, freed=mine, shared=shared)
                if not choices and not mine and urgent and plan.freed:
                    # Only where there is no other: under scarce changes each such fold is a placement less.
                    choices = plan.place(job, len(tasks), widen, within_s, freed=True)
                if begins:
                    # It goes first only to begin, on one machine: one task alone would cost as many changes.
                    for room, n in choices[1:]:
                        plan.give_back(job, room, n)
                    del choices[1:]
                if choices:
                    if not mine and urgent:
                        ripe.setdefault(job.id, self._ripe.get(job.id, began_us))
                        if any(id(room) in freed for room, _ in choices):
                            self.desk.hurry()
                    break
                if not job.suspect and ((job.spec.kind == "gang" and urgent) or job.id in inside):
                    if plan.keep_soon(job, need, within_s):
                        self.counts["urgent jobs wait for stops"] += 1
                        break
                    if not mine:
                        continue
                    victims = self._victims(job, plan, need, inside, within_s)
                    if victims:
                        if not batch.items or (yield from self._commit(batch)):
                            yield from self._stop(job, victims, inside)
                        # This plan does not know yet which room is being made: jobs further back would take it.
                        return self._again()
            if not choices or not mine:
                self.counts["urgent jobs without room"] += mine and urgent
                continue
            if not urgent and any(RIPE_US < began_us - since_us < OVERRIPE_US for since_us in ripe.values()):
                # An urgent job elsewhere has room but no commit yet: it may want the changes that this one would use.
                # Not for long: its controller may see less room, or be gone.
                continue
            if job.spec.kind != "gang" and not begins and sum(n for _, n in choices) < len(tasks):
                # Room for a few of many tasks: several such commits are made one, for each costs changes.  While
                # these are scarce, the job at the head would otherwise use them all up on room as it is freed, and
                # jobs behind it that could go elsewhere would never come to their turn.
                scarce = plan.sparing or base.store.changes.scarce()
                pause_us = SCARCE_PARTIAL_US if scarce else PARTIAL_US
                if base.kernel.now_us - self._partial_us.get(job.id, 0) < pause_us:
                    continue
                if scarce and not urgent:
                    choices = self._worthwhile(plan, job, choices)
                    if not choices:
                        continue
                self._partial_us[job.id] = base.kernel.now_us
            if self.grants.limited(job.spec.team):
                choices = self._granted(plan, job, choices, batch, turn)
                if not choices:
                    continue
            for item in portions(job, tasks, choices, base.cluster_state, base.limits):
                if not batch.takes(item):
                    if not (yield from self._commit(batch)):
                        # The cluster state was too late: start anew on the fresh one.
                        return self._again()
                    batch = Batch(base.cluster_state, base.limits)
                batch.add(item)
                plan.due |= item.groups()
        if batch.items and not (yield from self._commit(batch)):
            self._again()
        self._ripe = ripe
        yield from self._reshare()

    def _placeable(self, job: Job, tasks: list[int], theirs: dict[tuple[str, str], Share]) -> list[int]:
        """The tasks of another controller's job that its share of the team's limit allows, counted in `theirs`.

        The others cannot be placed now: room left to them would stand empty, while the share that allows their
        place stays with controllers whose jobs come after them.  A gang collects share and room as a whole.
        """
        team, spec = job.spec.team, job.spec
        if not self.grants.limited(team) or spec.kind == "gang":
            return tasks
        owner = self._owner(job)
        cpus, gpus = theirs.get((team, owner), (0.0, 0.0))
        tasks = tasks[: self.grants.allowed_to(owner, team, spec, cpus, gpus)]
        theirs[(team, owner)] = (cpus + len(tasks) * spec.cpus, gpus + len(tasks) * spec.gpus)
        return tasks

    def _worthwhile(self, plan: Plan, job: Job, choices: list[Choice]) -> list[Choice]:
        """Of the room for a part of an array, that in groups to be written anyway or with some places in each.

        While changes are scarce, a change for one task is a change that would have started several: room is left
        until more of it comes together, or until its own controller takes it along.
        """
        places: Counter[str] = Counter()
        for room, n in choices:
            places[room.machine.group] += n
        kept: list[Choice] = []
        for room, n in choices:
            if room.machine.group in plan.due or places[room.machine.group] >= WORTH_PLACES:
                kept.append((room, n))
            else:
                plan.give_back(job, room, n)
        return kept

    def _allowed(self, job: Job, batch: Batch) -> int:
        """How many tasks this controller's share of the team's limit allows, besides those of the batch."""
        return self.grants.allowed(job.spec.team, job.spec, *batch.used.get(job.spec.team, (0.0, 0.0)))

    def _share_allows(self, plan: Plan, job: Job, count: int, batch: Batch, turn: int) -> bool:
        """Whether so many tasks are within this controller's share; else note that more of it is wanted.

        Before room is looked for, or made: found on a day with a binding limit, urgent gangs stopped hundreds of
        tasks for room that they could not use.  What no machine could take, even if all but the services ended, asks
        for no share.
        """
        if self._allowed(job, batch) >= count:
            return True
        if plan.prospects.any(job):
            self._note_short(ShortJob(job, count, turn))
        return False

    def _granted(self, plan: Plan, job: Job, choices: list[Choice], batch: Batch, turn: int) -> list[Choice]:
        """The choices that this controller's share of the team's limit allows; note what more is wanted."""
        count = sum(n for _, n in choices)
        allowed = self._allowed(job, batch)
        if allowed >= count:
            return choices
        self._note_short(ShortJob(job, count, turn))
        cut: list[Choice] = []
        for room, n in choices:
            kept = 0 if job.spec.kind == "gang" else min(n, allowed)
            if kept:
                cut.append((room, kept))
            if n > kept:
                plan.give_back(job, room, n - kept)
            allowed -= kept
        return cut

    def _reshare(self) -> Fiber[None]:
        """See to the shares of teams whose jobs could not be placed for want of one."""
        base = self.base
        short, self._short = self._short, {}
        for team, jobs in short.items():
            if not self.grants.ready(team):
                # After a doubt: fenced at the beginning of the next round.
                self._again()
                continue
            at_us, pause_us = self._reshared.get(team, (0, 0))
            if base.kernel.now_us < at_us + pause_us or self._yields_share(team, jobs):
                continue
            build = partial(self._shares_for, team, jobs)
            good = yield from base.follower.commit(build, 1, Urgency.PLACE, "share")
            # While it does not help it is tried ever more seldom: the limit itself may bind.
            pause_us = RESHARE_US if good else min(max(2 * pause_us, RESHARE_US), MAX_RESHARE_US)
            self._reshared[team] = (base.kernel.now_us, pause_us)
            self._own_shares[team] = self.grants.own_share(team)
            if good and (yield from base.follower.barrier()):
                self._again()

    def _yields_share(self, team: str, jobs: list[ShortJob]) -> bool:
        """Whether another controller has lowered this one's share of a limit and is to have the time to take that.

        It may raise its own only by a later change (safety point 8).  Found by the model: until then this controller
        had taken back what was in nobody's share, too early for either to place a task with it, without end.
        """
        own, before = self.grants.own_share(team), self._own_shares.get(team, (0.0, 0.0))
        lowered = any(own[n] < before[n] - AMOUNT_TOLERANCE for n in (0, 1))
        self._own_shares[team] = own
        if not lowered or any(short.job.priority <= URGENT or short.job.spec.kind == "gang" for short in jobs):
            return False
        self._reshared[team] = (self.base.kernel.now_us, YIELD_US)
        return True

    def _note_short(self, short: ShortJob) -> None:
        """Remember a job to ask a share for: the first of its team, and the one behind gangs, which may fit nowhere.

        Asking for more of them moved shares to and fro between controllers that all had use for them.
        """
        jobs = self._short.setdefault(short.job.spec.team, [])
        behind_gangs = all(known.job.spec.kind == "gang" for known in jobs)
        if behind_gangs and len(jobs) < MOST_SHORT:
            jobs.append(short)

    def _shares_for(self, team: str, jobs: list[ShortJob]) -> Txn | None:
        """More of a team's limit for the first of some jobs that can get any; None where none can.

        A gang that does not fit into what is left of the limit must not keep the jobs behind it from asking.
        """
        prospects = Prospects(self.base.cluster_state, self.base.teams)
        wants = self.grants.wants(team, self._queue, self._owner, self.presence.able(), prospects.any)
        for short in jobs:
            job = short.job
            txn = self.grants.reshare(team, job.spec, short.count, wants, short.turn, job.priority <= URGENT)
            if txn is not None:
                return txn
        return None

    def _owner(self, job: Job) -> str:
        return self.presence.owner_of(job.id, job.record.owner)

    def _again(self) -> None:
        self._hurry = True

    def _victims(self, job: Job, plan: Plan, count: int, inside: set[str], within_s: float | None) -> Victims:
        """Work that may be stopped where that makes room for a job.

        Where there is none for so many tasks, there is none for as many alike in this plan: found by a profile, in a
        full fleet nearly all processor time went into looking for it again for each gang that waited.
        """
        spec = job.spec
        # How a job that is spread may go on depends on where its own tasks are; one of a single zone is bound to it.
        alone = (spec.spread and job.id, plan.ask(job).zone)
        spared = self.planner.floor.spared(job)
        alike = (*demand(spec), job.priority, spec.team, job.id in inside, alone, spared)
        # What is nowhere is not where the image is in time, either.
        for image in (None, spec.image) if within_s is not None else (None,):
            if plan.no_victims.get((alike, image), count + 1) <= count:
                return {}
        self.counts["looks for work to stop"] += 1
        right = Right(self.base.cluster_state, inside, job, plan.excess(), spared)
        victims = choose_victims(plan, job, count, right, self.base.kernel.wall_us, within_s)
        if not victims:
            plan.no_victims[(alike, None if within_s is None else spec.image)] = count
        return victims

    def _stop(self, job: Job, victims: Victims, inside: set[str]) -> Fiber[None]:
        base = self.base
        build = partial(
            stop_for,
            base.cluster_state,
            base.teams,
            inside,
            job,
            victims,
            base.limits,
            base.settings.host_name,
            base.kernel.wall_us,
        )
        if (yield from base.follower.commit(build, len(victims), Urgency.PLACE, "preempt")):
            number = sum(len(tasks) for held in victims.values() for tasks in held.values())
            base.kernel.log("info", f"{job.id} stops {number} tasks on {', '.join(sorted(victims))}")

    def _commit(self, batch: Batch) -> Fiber[bool]:
        base = self.base
        for retry in range(base.knobs.retries):
            lines: list[str] = []
            build = partial(self._transaction, batch, lines)
            # What is urgent takes its turn with the folds: a controller with many workers never came to place.
            urgency = Urgency.FREE if batch.urgent else Urgency.PLACE
            good = yield from base.follower.commit(build, batch.changes(), urgency, "place")
            if good is None:
                return False
            txn, teams = self._sent
            if txn.doubt:
                self.grants.doubt(teams)
            self.window.append(not good)
            self._commits += 1
            if good:
                for line in lines:
                    base.kernel.log("info", line)
                self.desk.folded(self._folds)
                return len(lines) == len(batch.items)
            yield Sleep(int(base.kernel.rng.uniform(0.0, 0.02) * min(2**retry, 16) * SECOND_US))
            if not (yield from base.follower.barrier()):
                return False
        return False

    def _transaction(self, batch: Batch, lines: list[str]) -> Txn | None:
        """The commit for a batch, each job checked against the versions that it will be guarded by.

        A job that does not fit any more is left out.
        """
        full: set[str] = set()
        for _ in range(len(batch.groups) + 1):
            found = self._draft(batch, lines, full)
            if not isinstance(found, str):
                return found
            # What is planned there would not fit into its record any more.
            self.counts["groups found full"] += 1
            full.add(found)
        return None

    def _draft(self, batch: Batch, lines: list[str], full: set[str]) -> Txn | str | None:
        """The transaction without some groups; the name of another one that would be too large."""
        base = self.base
        cluster_state = base.cluster_state
        txn = Txn()
        lines.clear()
        fold = self.desk.light(batch.groups - full)
        draft = Draft(cluster_state, self.grants, fold, base.limits)
        for item in batch.items:
            job = cluster_state.jobs.get(item.job_id)
            if job is None or full & item.groups() or not draft.allows(job, item):
                continue
            # The limits may have fallen since this was planned.
            if len(lines) + 1 + len(draft.edits.keys() | item.groups()) > base.limits.ops:
                continue
            number = attempt_of(job)
            draft.add(job, item, number, base.kernel.wall_us, base.settings.host_name)
            placed = job.portion + item.count
            portion = placed if job.spec.kind == "gang" and placed < job.spec.tasks else 0
            txn.guard(LIVE + job.id, job.version).put(LIVE + job.id, job.value(attempt=number, portion=portion))
            where = ", ".join(f"{n} on {room.machine.name}" for room, n in item.choices)
            lines.append(f"{job.id} attempt {number}: {where}")
        if not lines:
            return None
        for name in draft.usage:
            txn.guard(TEAM + name, cluster_state.version(TEAM + name))
        for key, edit in draft.edits.items():
            if not edit.write(txn, base.limits, cluster_state.is_live):
                return key
        self._sent = txn, list(draft.usage)
        self._folds = {name for name in fold.taken if cluster_state.machines[name].group in draft.edits}
        return txn


@dataclass
class Item:
    """Some tasks of a job and the places chosen for them: what goes into one transaction whole."""

    job_id: str
    tasks: list[int]
    choices: list[Choice]
    portion: int
    """For a gang that is placed in portions, how many of its tasks come before."""
    count: int = 0

    def __post_init__(self) -> None:
        self.count = len(self.tasks)

    def groups(self) -> set[str]:
        """The keys of the groups in which this places tasks."""
        return {room.machine.group for room, _ in self.choices}


def portions(
    job: Job, tasks: list[int], choices: list[Choice], cluster_state: ClusterState, limits: Limits
) -> list[Item]:
    """Cut a job's placement into as many transactions as it needs: mostly one."""
    cut: list[list[Choice]] = [[]]
    groups: set[str] = set()
    size = 0
    for room, n in choices:
        group = room.machine.group
        more = HOLD_BYTES + (0 if group in groups else cluster_state.groups[group].size)
        if cut[-1] and (len(groups | {group}) > limits.ops - 1 or size + more > limits.txn_bytes):
            cut.append([])
            groups, size, more = set(), 0, HOLD_BYTES + cluster_state.groups[group].size
        groups.add(group)
        size += more
        cut[-1].append((room, n))
    items = []
    done = 0
    for part in cut:
        count = sum(n for _, n in part)
        portion = job.portion + done if job.spec.kind == "gang" else 0
        items.append(Item(job.id, tasks[done : done + count], part, portion))
        done += count
    return items


class Batch:
    """Jobs that follow one another in the queue and share a transaction, for each group in it costs one change."""

    def __init__(self, cluster_state: ClusterState, limits: Limits) -> None:
        self.cluster_state = cluster_state
        self.limits = limits
        self.items: list[Item] = []
        self.used: dict[str, tuple[float, float]] = {}
        """What its jobs take, by team."""
        self._jobs: set[str] = set()
        self.groups: set[str] = set()
        self.urgent = False
        """One of its jobs is urgent."""
        self._bytes = 0

    def changes(self) -> int:
        """How many changes the transaction makes: one for each job and group."""
        return len(self.items) + len(self.groups)

    def _size(self, item: Item) -> int:
        job = self.cluster_state.jobs[item.job_id]
        groups = self.cluster_state.groups
        size = JOB_BYTES + len(job.record.finished) + HOLD_BYTES * len(item.choices)
        return size + sum(groups[key].size for key in item.groups() - self.groups if key in groups)

    def takes(self, item: Item) -> bool:
        """Whether there is room for one more; the first is always taken."""
        if not self.items:
            return True
        job = self.cluster_state.jobs.get(item.job_id)
        if job is None or item.job_id in self._jobs:
            return False
        changes = len(self.items) + 1 + len(self.groups | item.groups())
        return changes <= self.limits.ops and self._bytes + self._size(item) <= self.limits.txn_bytes

    def add(self, item: Item) -> None:
        """Take an item into the batch, unless its job is gone."""
        job = self.cluster_state.jobs.get(item.job_id)
        if job is None:
            return
        self._bytes += self._size(item)
        self.items.append(item)
        self._jobs.add(item.job_id)
        self.urgent = self.urgent or (job.priority <= URGENT and not job.suspect)
        self.groups |= item.groups()
        cpus, gpus = self.used.get(job.spec.team, (0.0, 0.0))
        self.used[job.spec.team] = (cpus + item.count * job.spec.cpus, gpus + item.count * job.spec.gpus)


class Draft:
    """The records that a batch would write, so far."""

    def __init__(self, cluster_state: ClusterState, grants: Grants, fold: Fold, limits: Limits) -> None:
        self.image_bytes = limits.value_bytes * IMAGES_SHARE
        self.cluster_state = cluster_state
        self.grants = grants
        self.fold = fold
        self.edits: dict[str, GroupEdit] = {}
        self.usage: dict[str, tuple[float, float]] = {}
        """For each team with a limit what the batch adds to its use."""
        self._added = {name: (-cpus, -gpus, -memory) for name, (cpus, gpus, memory) in fold.freed.items()}

    def allows(self, job: Job, item: Item) -> bool:
        """Whether a job's tasks may go where they were planned, as far as the cluster state shows now."""
        spec, cluster_state = job.spec, self.cluster_state
        tasks = set(item.tasks)
        if not cluster_state.dependencies.ready(job):
            return False
        if cluster_state.finished(job) & tasks or cluster_state.placed(job.id) & tasks:
            return False
        if spec.kind == "gang" and (
            job.portion != item.portion or (job.id in cluster_state.allocations and not job.portion)
        ):
            return False
        more = self.usage.get(spec.team, (0.0, 0.0))
        if self.grants.limited(spec.team) and self.grants.allowed(spec.team, spec, *more) < item.count:
            return False
        zones: dict[str, int] = {}
        for (name, _), hold in cluster_state.allocations.get(job.id, {}).items():
            zones[cluster_state.machines[name].zone] = zones.get(cluster_state.machines[name].zone, 0) + len(
                hold.tasks
            )
        for room, n in item.choices:
            machine = cluster_state.machines.get(room.machine.name)
            if machine is None or machine.record.retiring:
                return False
            cpus, gpus, memory = self._added.get(machine.name, (0.0, 0.0, 0.0))
            kind = room.type
            if (
                machine.cpus + cpus + n * spec.cpus > kind.cpus + AMOUNT_TOLERANCE
                or machine.gpus + gpus + n * spec.gpus > kind.gpus + AMOUNT_TOLERANCE
                or machine.memory_gb + memory + n * spec.memory_gb > kind.memory_gb + AMOUNT_TOLERANCE
            ):
                return False
            zones[machine.zone] = zones.get(machine.zone, 0) + n
        if spec.same_zone and len(zones) > 1:
            return False
        return not spec.spread or max(zones.values()) <= (spec.tasks + 1) // 2

    def add(self, job: Job, item: Item, number: int, wall_us: int, host: str) -> None:
        """Add the allocations of one item to the edits of its groups, and the job's attempt to its record."""
        spec = job.spec
        left = list(item.tasks)
        for room, n in item.choices:
            machine = self.cluster_state.machines[room.machine.name]
            edit = self.edits.get(machine.group)
            if edit is None:
                group = self.cluster_state.groups[machine.group]
                edit = self.edits[machine.group] = self.fold.edits.get(machine.group) or GroupEdit(group)
            record = edit.machine(machine.name)
            record.holds.append(
                AllocationRecord(
                    job.id,
                    number,
                    encode_runs(left[:n]),
                    spec.team,
                    spec.cpus,
                    spec.gpus,
                    spec.memory_gb,
                    wall_us,
                    by=host,
                )
            )
            del left[:n]
            record.images = cached(record.images, spec.image, spec.image_gb, room.type.cache_gb, self.image_bytes)
            cpus, gpus, memory = self._added.get(machine.name, (0.0, 0.0, 0.0))
            self._added[machine.name] = (cpus + n * spec.cpus, gpus + n * spec.gpus, memory + n * spec.memory_gb)
        if self.grants.limited(spec.team):
            cpus, gpus = self.usage.get(spec.team, (0.0, 0.0))
            self.usage[spec.team] = (cpus + item.count * spec.cpus, gpus + item.count * spec.gpus)


def attempt_of(job: Job) -> int:
    """The attempt number of the next placement: a gang's portions all have the same one."""
    return job.record.attempt if job.portion else job.record.attempt + 1


def cached(
    images: list[tuple[str, float]], image: str, size: float, cache_gb: float, most_bytes: float
) -> list[tuple[str, float]]:
    """A machine's cached images after it has used one, the latest last; as many as its record has room for."""
    kept = [*(entry for entry in images if entry[0] != image), (image, size)]
    while len(kept) > 1 and (
        sum(gb for _, gb in kept) > cache_gb or sum(len(name) + IMAGE_BYTES for name, _ in kept) > most_bytes
    ):
        kept.pop(0)
    return kept
