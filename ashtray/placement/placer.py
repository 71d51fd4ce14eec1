"""The placer assigns machines to the waiting jobs of this controller, in one conditional transaction per batch.

A fold is the transaction that writes what workers' reports said into group records.  A placement also writes those
pending reports about its groups that change nothing but the groups' records.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from functools import partial

from ashtray.base import Base
from ashtray.jobs.job_timing import JobTiming
from ashtray.jobs.model import LIVE_JOB_PREFIX, Job
from ashtray.kernel import SECOND_US, Coroutine, Signal, Sleep, Wait
from ashtray.peers.presence import Presence
from ashtray.placement.batch import Batch, BatchItem, split_placement
from ashtray.placement.draft import Draft, attempt_of
from ashtray.placement.plan import Choice, Plan, Planner, demand
from ashtray.placement.preemption import PreemptionRules, Victims, choose_victims, stop_for
from ashtray.placement.prospects import Prospects
from ashtray.placement.records import AMOUNT_TOLERANCE
from ashtray.placement.state_keys import TEAM
from ashtray.store.limits import Limits
from ashtray.store.rate_limiter import Urgency
from ashtray.store.refusals import SetAside
from ashtray.store.transaction import CommitOutcome, Txn
from ashtray.teams.grants import URGENT_PRIORITY, Grants, Share
from ashtray.workers.worker_manager import WorkerManager

RETRY_US = SECOND_US // 2
"""The longest pause between rounds without a wake-up signal."""
DEFER_AFTER_US = SECOND_US
DEFER_UNTIL_US = 4 * SECOND_US
"""While an urgent job of another controller has had capacity for a time between these two, other jobs give way."""
RESHARE_PAUSE_US = SECOND_US // 4
MAX_RESHARE_PAUSE_US = SECOND_US
"""The shortest and the longest pause between two changes of a team's shares."""
SHARE_YIELD_US = 6 * RESHARE_PAUSE_US
"""How long a controller does not ask for a share that another one has lowered, unless for urgent jobs or gangs."""
ROUND_PAUSE_US = 100_000
"""The shortest pause after a round; idle rounds in a row double it up to `MAX_IDLE_ROUNDS` times."""
FENCE_DELAY_US = 60_000
"""Per live controller, the upper bound of the random delay before writing a fence."""
MAX_IDLE_ROUNDS = 2
PARTIAL_PAUSE_US = 800_000
SCARCE_PARTIAL_PAUSE_US = 3 * SECOND_US
"""The pause between two placements of parts of the same array; the longer one while writes are scarce."""
MIN_TASKS_PER_WRITE = 4
"""While writes are scarce, a part of an array causes a write to a group's record only if it places this many
tasks."""
MAX_PLAN_AGE_US = SECOND_US
"""The maximum age of a plan: jobs that arrived since it was made may have to go first."""
JOB_COST = 30
"""A job in the queue counts as this many checked machines."""
VISIT_PAUSE_US = 26
"""The pause after a round for each machine that it checked.  It is about as long as the check took, so that a long
queue leaves processor time for other work."""


PURPOSE = "place"
"""The purpose of the transactions that place tasks, in the counts of the state service's client."""
MAX_SHORT_GANGS = 8
"""The maximum number of gangs per team, beyond its share of the limit, that one round remembers."""


class GroupFull(Exception):
    """Raised where the record of a group cannot take what is to be placed there."""

    def __init__(self, key: str) -> None:
        super().__init__(key)
        self.key = key


@dataclass
class BuiltPlacement:
    """A transaction that places the tasks of some batch items."""

    txn: Txn = field(default_factory=Txn)
    items: list[BatchItem] = field(default_factory=list)
    teams: list[str] = field(default_factory=list)
    """The teams with a limit whose tasks it places."""
    folded: set[str] = field(default_factory=set)
    """The machines whose reports it folds into its group records."""
    lines: list[str] = field(default_factory=list)
    """A line for the log for each item."""


@dataclass(frozen=True)
class ShortJob:
    """A job that needs a larger share of its team's limit for its controller before it can be placed."""

    job: Job
    count: int
    """The number of its tasks to place."""
    turn: int
    """Its position in the queue."""


class Placer:
    """Plans and commits placements for the waiting jobs and requests the shares of team limits that they need."""

    def __init__(
        self,
        base: Base,
        presence: Presence,
        grants: Grants,
        job_timing: JobTiming,
        planner: Planner,
        worker_manager: WorkerManager,
    ) -> None:
        self.base = base
        self.presence = presence
        self.grants = grants
        self.job_timing = job_timing
        self.planner = planner
        self.worker_manager = worker_manager
        self._recent_failures: deque[bool] = deque(maxlen=base.operator_settings.window)
        """For each of the last commits, whether it failed."""
        self.wake_signal = Signal()
        self._seen_changes = -1
        self._partial_us: dict[str, int] = {}
        self._urgent_since_us: dict[str, int] = {}
        """By job id, since when, in microseconds, plans have found free capacity for urgent jobs of other
        controllers."""
        self.counts: Counter[str] = Counter()
        """Counters of the work done since they were last logged."""
        self._round_requested = False
        self._commits = self._idle_rounds = 0
        """The number of commits tried, and of consecutive rounds that had work but tried no commit."""
        self._built = BuiltPlacement()
        """The transaction that was built last."""
        self._set_aside = SetAside()
        """The jobs whose placement was refused as too large even by itself, by id."""
        self._short_jobs: dict[str, list[ShortJob]] = {}
        """By team, the first jobs in queue order that need more than this controller's share of the limit."""
        self._queue: list[Job] = []
        """The queue as of the last round."""
        self._reshared: dict[str, tuple[int, int]] = {}
        """By team, when this controller last tried to change the shares, and how long to wait for the next try."""
        self._own_shares: dict[str, Share] = {}
        """This controller's share of each team's limit when `_yields_share` last checked it."""

    def pick_chance(self) -> float:
        """Return the probability of a random choice among the best machines; it rises with conflicts, up to a cap."""
        if not self._recent_failures:
            return 0.0
        return min(sum(self._recent_failures) / len(self._recent_failures), self.base.operator_settings.widen_cap)

    def run(self) -> Coroutine[None]:
        """Run placement rounds forever.

        Each starts after a change of the cluster state, after `RETRY_US`, or at once if requested.
        """
        while True:
            if not self._round_requested:
                yield Wait(self.wake_signal, RETRY_US)
            self._round_requested = False
            if self.base.follower.loaded and self.presence.incarnation:
                self._seen_changes = self.base.cluster_state.changes
                commits = self._commits
                work_us = VISIT_PAUSE_US * (yield from self._round())
                # In a full fleet, round after round finds no free capacity: each such round lengthens the pause.
                self._idle_rounds = (
                    0 if commits != self._commits or not work_us else min(self._idle_rounds + 1, MAX_IDLE_ROUNDS)
                )
                # A controller that lags behind plans less often: otherwise its decisions, and its handling of
                # reports, are late.
                yield Sleep(ROUND_PAUSE_US * 2**self._idle_rounds + work_us + self.base.kernel.input_delay_us)

    def changed(self) -> None:
        """Wake the placement loop if the cluster state has changed since the last round."""
        if self.base.cluster_state.changes != self._seen_changes:
            self.base.kernel.fire(self.wake_signal)

    def _round(self) -> Coroutine[int]:
        """Process the queue once and return the cost, in checked machines; a job counts as `JOB_COST` of them."""
        base = self.base
        cluster_state = base.cluster_state
        if not any(self.presence.mine(cluster_state.jobs[job_id]) for job_id in cluster_state.waiting()):
            return 0
        yield from self._fence()
        self.counts["rounds"] += 1
        plan = self.planner.plan()
        plan.add_freed(self.worker_manager.folds.group_only_fold().freed)
        plan.due_groups = self.worker_manager.folds.groups_to_fold()
        plan.writes_scarce = base.store.writes.scarce()
        jobs, guaranteed = self.planner.queue()
        self._queue = list(jobs)
        while jobs and not self.presence.mine(jobs[-1]):
            jobs.pop()
        self._partial_us = {j: at for j, at in self._partial_us.items() if j in cluster_state.jobs}
        self._set_aside.keep_only(cluster_state.jobs)
        try:
            yield from self._serve(plan, jobs, guaranteed)
        finally:
            self.counts["jobs looked at"] += len(jobs)
            self.counts["rooms looked at"] += plan.visits
        return plan.visits + JOB_COST * len(jobs)

    def _fence(self) -> Coroutine[None]:
        """Fence off this controller's placements with an unknown outcome, for the teams with a limit whose jobs wait.

        When all controllers start together, one fence serves all of them: a controller that sees it in time writes
        none.
        """
        base = self.base
        jobs = base.cluster_state.jobs
        waiting_teams = {
            jobs[job_id].spec.team for job_id in base.cluster_state.waiting() if self.presence.mine(jobs[job_id])
        }
        teams = sorted(
            team for team in waiting_teams if self.grants.has_limit(team) and not self.grants.is_fenced(team)
        )
        if teams:
            yield Sleep(int(base.kernel.rng.random() * FENCE_DELAY_US * len(self.presence.live())))
            max_teams = base.limits_for("share").ops
            for first in range(0, len(teams), max_teams):
                some = teams[first : first + max_teams]
                build = partial(self.grants.fence, some)
                yield from base.follower.commit(build, len(some), Urgency.ACCEPT, "share")
            # After that, the cluster state shows all that this process or its predecessor placed before the fence.
            yield from base.follower.barrier()

    def _serve(self, plan: Plan, jobs: list[Job], guaranteed: set[str]) -> Coroutine[None]:
        base = self.base
        round_began_us = base.kernel.now_us
        batch = Batch(base.cluster_state, base.limits_for(PURPOSE))
        freed = {id(capacity) for capacity in plan.freed}
        urgent_since_us: dict[str, int] = {}
        peer_usage: dict[tuple[str, str], Share] = {}
        for turn, job in enumerate(jobs):
            if base.kernel.now_us - round_began_us > MAX_PLAN_AGE_US:
                self._request_round()
                break
            mine = self.presence.mine(job)
            # This controller may use up its share whatever comes first in the queue of another one.  If the share
            # were counted against the plan's limit, it would stay unused until it had been moved to the other
            # controllers.
            shared = mine and self.grants.has_limit(job.spec.team)
            if mine and self._set_aside.has(job.id, base.kernel.now_us):
                continue
            tasks = plan.wanted(job, base.kernel.wall_us, shared)
            urgent = job.priority <= URGENT_PRIORITY and not job.fails_on_several_machines
            if not mine and not urgent:
                tasks = self._within_owner_share(job, tasks, peer_usage)
            if not tasks:
                continue
            starts_first = job.id in self.planner.times.starts_first and job.spec.kind != "gang"
            if plan.writes_scarce and not mine and not urgent:
                # Its controller lacks writes rather than free capacity.  Otherwise planning for the jobs of other
                # controllers takes half of the processor time, and the capacity reserved for them stays unused for a
                # long time.
                continue
            pick_chance = self.pick_chance() if mine else 0.0
            need = len(tasks) if job.spec.kind == "gang" else 1
            if shared and not self._share_allows(plan, job, need, batch, turn):
                continue
            choices: list[Choice] = []
            # For a class with an objective on waiting time, first try the machines that have its image in time.
            objective_s = self.job_timing.wait_objectives_s.get(job.spec.job_class)
            for within_s in (None,) if objective_s is None else (0.8 * objective_s, None):
                # Capacity that only this controller knows to be free is for its own jobs and for urgent ones.  Other
                # jobs of other controllers could not be placed there, and it would stay unused until a fold shows it.
                choices = plan.place(job, len(tasks), pick_chance, within_s, freed=mine, shared=shared)
                if not choices and not mine and urgent and plan.freed:
                    # Only as a last resort: while writes are scarce, each fold for this purpose costs a placement.
                    choices = plan.place(job, len(tasks), pick_chance, within_s, freed=True)
                if starts_first:
                    # It goes first only so that it begins, so one machine will do; one task costs as many writes as
                    # several on that machine.
                    for capacity, n in choices[1:]:
                        plan.give_back(job, capacity, n)
                    del choices[1:]
                if choices:
                    if not mine and urgent:
                        urgent_since_us.setdefault(job.id, self._urgent_since_us.get(job.id, round_began_us))
                        if any(id(capacity) in freed for capacity, _ in choices):
                            self.worker_manager.folds.fold_now()
                    break
                if not job.fails_on_several_machines and (
                    (job.spec.kind == "gang" and urgent) or job.id in guaranteed
                ):
                    if plan.reserve_stopping_capacity(job, need, within_s):
                        self.counts["urgent jobs wait for stops"] += 1
                        break
                    if not mine:
                        continue
                    victims = self._find_victims(job, plan, need, guaranteed, within_s)
                    if victims:
                        if not batch.items or (yield from self._commit(batch)):
                            yield from self._stop(job, victims, guaranteed)
                        # This plan does not include the capacity being freed: jobs further back would take it.
                        return self._request_round()
            if not choices or not mine:
                self.counts["urgent jobs without room"] += mine and urgent
                continue
            if not urgent and any(
                DEFER_AFTER_US < round_began_us - since_us < DEFER_UNTIL_US for since_us in urgent_since_us.values()
            ):
                # An urgent job of another controller has capacity but no commit yet: leave it the writes that this
                # job would use.  Not for long: its controller may see less free capacity, or be gone.
                continue
            if job.spec.kind != "gang" and not starts_first and sum(n for _, n in choices) < len(tasks):
                # There is capacity for only a few of many tasks.  Such placements are combined into fewer commits,
                # for each costs writes.  While writes are scarce, the first job would otherwise use them all on
                # capacity as it is freed, and jobs behind it that could go elsewhere would never get their turn.
                scarce = plan.writes_scarce or base.store.writes.scarce()
                pause_us = SCARCE_PARTIAL_PAUSE_US if scarce else PARTIAL_PAUSE_US
                if base.kernel.now_us - self._partial_us.get(job.id, 0) < pause_us:
                    continue
                if scarce and not urgent:
                    choices = self._keep_worthwhile(plan, job, choices)
                    if not choices:
                        continue
                self._partial_us[job.id] = base.kernel.now_us
            if self.grants.has_limit(job.spec.team):
                choices = self._cut_to_share(plan, job, choices, batch, turn)
                if not choices:
                    continue
            for item in split_placement(job, tasks, choices, base.cluster_state, base.limits_for(PURPOSE)):
                if not batch.fits(item):
                    if not (yield from self._commit(batch)):
                        # The plan was made on an outdated cluster state: start again with the current one.
                        return self._request_round()
                    batch = Batch(base.cluster_state, base.limits_for(PURPOSE))
                batch.add(item)
                plan.due_groups |= item.groups()
        if batch.items and not (yield from self._commit(batch)):
            self._request_round()
        self._urgent_since_us = urgent_since_us
        yield from self._reshare()

    def _within_owner_share(self, job: Job, tasks: list[int], peer_usage: dict[tuple[str, str], Share]) -> list[int]:
        """Return the tasks of another controller's job that are within its owner's share of the team's limit.

        The remaining tasks cannot be placed now.  Capacity reserved for them would stay unused, while the share that
        would allow them stays with controllers whose jobs come later.  A gang collects share and capacity as a whole,
        so it is not cut.  `peer_usage` sums up what was allowed so far, by team and owner.
        """
        team, spec = job.spec.team, job.spec
        if not self.grants.has_limit(team) or spec.kind == "gang":
            return tasks
        owner = self._owner(job)
        cpus, gpus = peer_usage.get((team, owner), (0.0, 0.0))
        tasks = tasks[: self.grants.allowed_to(owner, team, spec, cpus, gpus)]
        peer_usage[(team, owner)] = (cpus + len(tasks) * spec.cpus, gpus + len(tasks) * spec.gpus)
        return tasks

    def _keep_worthwhile(self, plan: Plan, job: Job, choices: list[Choice]) -> list[Choice]:
        """Return the choices in groups that are written anyway or take `MIN_TASKS_PER_WRITE` tasks; give back the
        rest."""
        places: Counter[str] = Counter()
        for capacity, n in choices:
            places[capacity.machine.group] += n
        kept: list[Choice] = []
        for capacity, n in choices:
            if capacity.machine.group in plan.due_groups or places[capacity.machine.group] >= MIN_TASKS_PER_WRITE:
                kept.append((capacity, n))
            else:
                plan.give_back(job, capacity, n)
        return kept

    def _allowed(self, job: Job, batch: Batch) -> int:
        """Return how many tasks this controller's share of the team's limit allows on top of those in the batch."""
        return self.grants.allowed(job.spec.team, job.spec, *batch.used.get(job.spec.team, (0.0, 0.0)))

    def _share_allows(self, plan: Plan, job: Job, count: int, batch: Batch, turn: int) -> bool:
        """Return whether `count` tasks are within this controller's share; if not, note that it needs more.

        This is checked before capacity is searched or freed.  Otherwise, under a binding limit, urgent gangs stop
        hundreds of tasks for capacity that they may not use.  A job that would not fit even after everything but the
        services has ended asks for no share.
        """
        if self._allowed(job, batch) >= count:
            return True
        if plan.prospects.can_be_placed(job):
            self._note_short(ShortJob(job, count, turn))
        return False

    def _cut_to_share(self, plan: Plan, job: Job, choices: list[Choice], batch: Batch, turn: int) -> list[Choice]:
        """Cut the choices to this controller's share of the team's limit, and note if it needs a larger one."""
        count = sum(n for _, n in choices)
        allowed = self._allowed(job, batch)
        if allowed >= count:
            return choices
        self._note_short(ShortJob(job, count, turn))
        cut: list[Choice] = []
        for capacity, n in choices:
            kept = 0 if job.spec.kind == "gang" else min(n, allowed)
            if kept:
                cut.append((capacity, kept))
            if n > kept:
                plan.give_back(job, capacity, n - kept)
            allowed -= kept
        return cut

    def _reshare(self) -> Coroutine[None]:
        """Try to raise this controller's share of the limit for each team whose jobs it does not allow."""
        base = self.base
        short, self._short_jobs = self._short_jobs, {}
        for team, jobs in short.items():
            if not self.grants.is_fenced(team):
                # A commit had an unknown outcome: the next round begins with a fence.
                self._request_round()
                continue
            at_us, pause_us = self._reshared.get(team, (0, 0))
            if base.kernel.now_us < at_us + pause_us or self._yields_share(team, jobs):
                continue
            build = partial(self._shares_for, team, jobs)
            outcome = yield from base.follower.commit(build, 1, Urgency.PLACE, "share")
            committed = outcome is CommitOutcome.COMMITTED
            # After a failure, wait twice as long before the next attempt: the limit itself may bind.
            pause_us = (
                RESHARE_PAUSE_US if committed else min(max(2 * pause_us, RESHARE_PAUSE_US), MAX_RESHARE_PAUSE_US)
            )
            self._reshared[team] = (base.kernel.now_us, pause_us)
            self._own_shares[team] = self.grants.own_share(team)
            if committed and (yield from base.follower.barrier()):
                self._request_round()

    def _yields_share(self, team: str, jobs: list[ShortJob]) -> bool:
        """Return whether another controller has lowered this one's share and should get time to raise its own.

        The other controller may raise its own share only by a later write (safety point 8).  Otherwise this
        controller takes back what is in no share before either can place a task with it, without end.
        """
        own, before = self.grants.own_share(team), self._own_shares.get(team, (0.0, 0.0))
        lowered = any(own[n] < before[n] - AMOUNT_TOLERANCE for n in (0, 1))
        self._own_shares[team] = own
        if not lowered or any(
            short.job.priority <= URGENT_PRIORITY or short.job.spec.kind == "gang" for short in jobs
        ):
            return False
        self._reshared[team] = (self.base.kernel.now_us, SHARE_YIELD_US)
        return True

    def _note_short(self, short: ShortJob) -> None:
        """Remember a job to request a share for: the first ones of its team, up to the first that is not a gang.

        A gang may fit nowhere, so it must not be the only one.  Requests for more jobs moved shares back and forth
        between controllers that could all use them.
        """
        jobs = self._short_jobs.setdefault(short.job.spec.team, [])
        behind_gangs = all(known.job.spec.kind == "gang" for known in jobs)
        if behind_gangs and len(jobs) < MAX_SHORT_GANGS:
            jobs.append(short)

    def _shares_for(self, team: str, jobs: list[ShortJob]) -> Txn | None:
        """Return the transaction that raises this controller's share for the first job that can get more, or None."""
        prospects = Prospects(self.base.cluster_state, self.base.teams)
        demands = self.grants.demands(
            team, self._queue, self._owner, self.presence.available(), prospects.can_be_placed
        )
        for short in jobs:
            job = short.job
            txn = self.grants.reshare(
                team, job.spec, short.count, demands, short.turn, job.priority <= URGENT_PRIORITY
            )
            if txn is not None:
                return txn
        return None

    def _owner(self, job: Job) -> str:
        return self.presence.owner_of(job.id, job.record.owner)

    def _request_round(self) -> None:
        self._round_requested = True

    def _find_victims(
        self, job: Job, plan: Plan, count: int, guaranteed: set[str], within_s: float | None
    ) -> Victims:
        """Return the tasks to stop so that `count` tasks of a job fit; empty if there are none.

        A failed search is not repeated in the same plan for jobs that are alike and need as many tasks or more.
        Otherwise, in a full fleet, repeating it for each waiting gang takes nearly all processor time.
        """
        spec = job.spec
        # For a job with `spread`, the result depends on where its own tasks are; a job with `same_zone` is bound to
        # its zone.
        alone = (spec.spread and job.id, plan.request_for(job).zone)
        spared = self.planner.minimum_share.spared(job)
        alike = (*demand(spec), job.priority, spec.team, job.id in guaranteed, alone, spared)
        # If no machine will do, none of those that have the image in time will, either.
        for image in (None, spec.image) if within_s is not None else (None,):
            if plan.min_without_victims.get((alike, image), count + 1) <= count:
                return {}
        self.counts["looks for work to stop"] += 1
        rules = PreemptionRules(self.base.cluster_state, guaranteed, job, plan.excess(), spared)
        victims = choose_victims(plan, job, count, rules, self.base.kernel.wall_us, within_s)
        if not victims:
            plan.min_without_victims[(alike, None if within_s is None else spec.image)] = count
        return victims

    def _stop(self, job: Job, victims: Victims, guaranteed: set[str]) -> Coroutine[None]:
        base = self.base
        build = partial(
            stop_for,
            base.cluster_state,
            base.teams,
            guaranteed,
            job,
            victims,
            base.limits_for("preempt"),
            base.settings.host_name,
            base.kernel.wall_us,
        )
        outcome = yield from base.follower.commit(build, len(victims), Urgency.PLACE, "preempt")
        if outcome is CommitOutcome.COMMITTED:
            number = sum(len(tasks) for held in victims.values() for tasks in held.values())
            base.kernel.log("info", f"{job.id} stops {number} tasks on {', '.join(sorted(victims))}")

    def _commit(self, batch: Batch) -> Coroutine[bool]:
        """Commit the placements of a batch; return whether all of them were committed."""
        base = self.base
        for retry in range(base.operator_settings.retries):
            build = partial(self._transaction, batch)
            # Urgent batches share a priority with the folds: otherwise a controller with many workers never gets to
            # place.
            urgency = Urgency.FOLD if batch.urgent else Urgency.PLACE
            outcome = yield from base.follower.commit(build, batch.writes(), urgency, "place")
            if outcome is CommitOutcome.NOTHING:
                return False
            built = self._built
            if built.txn.outcome_unknown:
                self.grants.note_unanswered(built.teams)
            self._commits += 1
            if outcome is CommitOutcome.REFUSED:
                self._after_refusal(built)
                return False
            self._recent_failures.append(outcome is not CommitOutcome.COMMITTED)
            if outcome is CommitOutcome.COMMITTED:
                for line in built.lines:
                    base.kernel.log("info", line)
                for item in built.items:
                    self._set_aside.remove(item.job_id)
                self.worker_manager.folds.mark_folded(built.folded)
                return len(built.items) == len(batch.items)
            yield Sleep(int(base.kernel.rng.uniform(0.0, 0.02) * min(2**retry, 16) * SECOND_US))
            if not (yield from base.follower.barrier()):
                return False
        return False

    def _after_refusal(self, built: BuiltPlacement) -> None:
        """Set a job aside if its placement was refused though it had the transaction for itself.

        Other placements are planned anew, in smaller transactions.  A job that cannot be placed must not hold up the
        jobs behind it, so it is tried again later and later.
        """
        job_ids = {item.job_id for item in built.items}
        groups = {key for item in built.items for key in item.groups()}
        if len(job_ids) > 1 or len(groups) > 1:
            return
        for job_id in job_ids:
            pause_s = self._set_aside.add(job_id, self.base.kernel.now_us) // SECOND_US
            self.base.kernel.log("error", f"{job_id} is not placed for {pause_s} s: refused though it was alone")

    def _transaction(self, batch: Batch) -> Txn | None:
        """Build the transaction for a batch; each job is checked against the record versions that will guard it.

        A job that does not fit any more is left out.  None if nothing is left.
        """
        limits = self.base.limits_for(PURPOSE)
        items = list(batch.items)
        full: set[str] = set()
        while items:
            try:
                built = self._build(items, full, limits)
            except GroupFull as error:
                self.counts["groups found full"] += 1
                full.add(error.key)
                continue
            if built is None:
                return None
            if len(built.items) == 1 or built.txn.size() <= limits.txn_bytes:
                self._built = built
                return built.txn
            # Records have grown since the batch was planned: the last items are planned again.
            items = built.items[: len(built.items) // 2]
        return None

    def _build(self, items: list[BatchItem], full: set[str], limits: Limits) -> BuiltPlacement | None:
        """Build the transaction that places the items which still fit, without the groups in `full`.

        Returns None if no item is left.  Raises `GroupFull` for a group whose record would get too large.
        """
        base = self.base
        cluster_state = base.cluster_state
        built = BuiltPlacement()
        txn = built.txn
        groups = {key for item in items for key in item.groups()}
        fold = self.worker_manager.folds.group_only_fold(groups - full)
        draft = Draft(cluster_state, self.grants, fold, limits)
        for item in items:
            job = cluster_state.jobs.get(item.job_id)
            if job is None or full & item.groups() or not draft.allows(job, item):
                continue
            # The transaction limits may have been lowered since the batch was planned.
            if len(built.items) + 1 + len(draft.edits.keys() | item.groups()) > limits.ops:
                continue
            number = attempt_of(job)
            draft.add(job, item, number, base.kernel.wall_us, base.settings.host_name)
            placed = job.portion + item.count
            portion = placed if job.spec.kind == "gang" and placed < job.spec.tasks else 0
            txn.guard(LIVE_JOB_PREFIX + job.id, job.version).put(
                LIVE_JOB_PREFIX + job.id, job.updated_record(attempt=number, portion=portion)
            )
            where = ", ".join(f"{n} on {capacity.machine.name}" for capacity, n in item.choices)
            built.items.append(item)
            built.lines.append(f"{job.id} attempt {number}: {where}")
        if not built.items:
            return None
        for name in draft.usage:
            txn.guard(TEAM + name, cluster_state.version(TEAM + name))
        for key, edit in draft.edits.items():
            if not edit.write(txn, limits, cluster_state.is_live):
                raise GroupFull(key)
        built.teams = list(draft.usage)
        built.folded = {name for name in fold.taken if cluster_state.machines[name].group in draft.edits}
        return built
