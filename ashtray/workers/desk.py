"""The desk where workers report: who owns them, what they are told and what is learnt from them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from ashtray.base import Base
from ashtray.jobs.model import Job
from ashtray.jobs.pace import Pace
from ashtray.kernel import SECOND_US, Fiber, Signal, Sleep, Wait
from ashtray.peers.presence import Peers, Presence
from ashtray.placement.machine_groups import Group, Machine
from ashtray.store.client import Txn, Urgency
from ashtray.workers import messages
from ashtray.workers.folding import Evidence, Fold, adoption, allocation_is_dead, ends_later, must_save_now
from ashtray.workers.messages import Report, TaskKey, parse_report
from ashtray.workers.order_delivery import OrderDelivery, note_outstanding
from ashtray.workers.renewal import RenewalGuard
from ashtray.workers.worker import Worker

TOKEN_SHIFT = 40
FOLD_DELAY_US = 150_000
SCARCE_FOLD_DELAY_US = 500_000
MAX_FOLD_INTERVAL_US = 1_700_000
SCARCE_MAX_FOLD_INTERVAL_US, LOW_SCARCE_MAX_FOLD_INTERVAL_US = 4 * SECOND_US, 20 * SECOND_US
"""A fold waits no longer for company, the latter when commits wait for their budget.

What ends a job, or failed, is folded at once: a job's end is to show within 3 s.
"""
MAX_TASKS_TO_CHECK, MAX_TIMED_TASKS_TO_CHECK = 40, 400
"""With more open tasks than these a job is not looked at for its end at each report."""
TIDY_DELAY_US, SCARCE_TIDY_DELAY_US = 30 * SECOND_US, 240 * SECOND_US
MAX_UNMOVED_JOBS = 300
ADOPTION_DELAY_US = 200_000
KEEP_WORKER_US = 30 * SECOND_US
MAX_READ_AGE_US = 3 * SECOND_US
MAX_ORDERS = 400


class Desk:
    """Takes the reports of workers, owns workers, gives them orders, and folds what they report into records."""

    def __init__(self, base: Base, presence: Presence, peers: Peers, pace: Pace, renewal: RenewalGuard) -> None:
        self.base = base
        self.renewal = renewal
        self.kernel = base.kernel
        self.presence = presence
        self.peers = peers
        self.pace = pace
        self.workers: dict[str, Worker] = {}
        self.delivery = OrderDelivery(base, self.workers, self._next_token, self._on_order_answer)
        self._counter = 0
        self._fold_signal = Signal()
        self._dirty: dict[str, set[str]] = {}
        """For each group the machines with something to fold."""
        self._urgent: set[str] = set()
        """Groups whose fold does not wait for company; the others then wait on, for each costs a change."""
        self._fold_all = False
        self._last_fold: Fold | None = None
        self._last_fold_us = 0
        """When the last fold was committed, and how many changes it took."""
        self._last_fold_writes = 0
        self._failed_folds = 0
        self._completed_us: dict[str, int] = {}
        """Since when jobs have been known to be done whose records are to be moved."""
        self._unknown_machines: dict[str, Report] = {}
        self._adopt_signal = Signal()

    # Reports

    def on_report(self, request_id: int, body: Any) -> None:
        """Answer a report: 200 with a token and orders, 421 to send it elsewhere, 400, or 503 if unable to act."""
        report = parse_report(body)
        if report is None:
            self.kernel.answer(request_id, 400, {"error": "malformed report"})
            return
        if not self.base.follower.loaded or not self.presence.incarnation:
            self.kernel.answer(request_id, 503, {"error": "not ready"}, 1)
            return
        worker = self.workers.get(report.machine)
        if worker is None:
            worker = self.workers[report.machine] = Worker(report.machine)
        if (report.session, report.tick) <= worker.newest:
            # A report that was held back on its way, or a copy: its sender gave it up long ago.
            self.kernel.answer(request_id, 503, {"error": "old report"})
            return
        worker.newest = report.session, report.tick
        foreman = self._foreman(worker, report)
        if foreman is not None:
            worker.redirected_us = self.kernel.now_us
            worker.token, worker.token_confirmed = 0, False
            worker.report = None
            worker.running_since_us.clear()
            self.kernel.answer(request_id, 421, {"foreman": foreman})
            return
        if not self.renewal.may_renew(self.kernel.now_us, self.base.follower.read_us):
            # Safety point 5: cancellations may have been confirmed elsewhere that this controller does not know of.
            self.kernel.answer(request_id, 503, {"error": "cut off from the state service"})
            return
        newly_claimed = worker.token == 0
        self._take_report(worker, report)
        if newly_claimed or worker.token_confirmed:
            # One that goes on without the token that it was given does not hear: its reports come, and no answer or
            # order reaches it.  It is as good as silent, and is returned like one that is (point 28).
            worker.heard_us = self.kernel.now_us
        # An answer that renews the lease also ends what is known to be over, whoever owns the worker: found by the
        # model test, a new owner that could not sign the record kept a cancelled job's tasks alive.
        orders = self.delivery.kills_for(report)
        machine = self.base.cluster_state.machines.get(worker.name)
        if machine is None:
            # Only what reports is added: found on a simulated day, machines just deleted were added again when
            # their removal was noticed, for their last reports were still known.
            if report.token == 0 or worker.token_confirmed:
                # One that has been owned may be gone by now: only a report with this process's token is no old one.
                self._unknown_machines[worker.name] = report
                self.kernel.fire(self._adopt_signal)
        elif not worker.reconciling and self._owns(worker, machine):
            due_orders = self._compute_orders(worker, machine)
            if due_orders and self.kernel.now_us < worker.direct_backoff_until_us:
                orders = due_orders
                worker.answered_report = (report.session, report.tick)
                note_outstanding(worker, due_orders)
            # A clear needs no such care: the attempt that it ends has no hold, and will never be launched again.
            orders = orders + worker.clears
        self.kernel.answer(request_id, 200, messages.report_answer(worker.token, orders[:MAX_ORDERS]))
        self.reconcile(worker)

    def _foreman(self, worker: Worker, report: Report) -> str | None:
        """Another controller that this worker had better report to; a hint, never relied on."""
        now = self.kernel.now_us
        if now < worker.keep_until_us:
            return self.peers.better_connected()
        machine = self.base.cluster_state.machines.get(worker.name)
        # Machines that are new report to one controller for each type, so that one adopts them together.
        key = machine.group if machine is not None else f"{report.type}.{report.zone}"
        foreman = self.presence.foreman(key)
        if foreman == self.base.settings.host_name:
            elsewhere = self.peers.given_up(key)
            if elsewhere is not None:
                # Alone with its workers it sends them on once others tend them: one that is back stays.
                worker.keep_until_us = now + KEEP_WORKER_US
            return self.peers.better_connected() or elsewhere
        if SECOND_US // 2 < now - worker.redirected_us < 20 * SECOND_US:
            # It was sent there a moment ago and is back: it cannot reach that controller.
            worker.keep_until_us = now + KEEP_WORKER_US
            return None
        return foreman

    def _take_report(self, worker: Worker, report: Report, direct: bool = False) -> None:
        stale_fold = self._stale_fold_possible(worker, report)
        self._observe_tasks(worker, report)
        worker.report = report
        if report.token >= 1 << 64:
            return
        machine = self.base.cluster_state.machines.get(worker.name)
        recorded_token = machine.record.token if machine is not None else 0
        # A machine that ended and is back has forgotten its token, and a controller that has started since knows of
        # none: one below the record's could never be signed, and what the machine holds would stand for ever (3).
        if worker.token == 0 or stale_fold or max(report.token, recorded_token) > worker.token:
            worker.token = self._next_token(max(report.token, worker.token, recorded_token))
            worker.token_confirmed = False
        else:
            worker.token_confirmed = report.token == worker.token
        if (
            worker.answered_report is not None
            and not direct
            and (report.session, report.tick) > worker.answered_report
        ):
            # The worker sends its next report once it has taken or given up the answer to this one.
            worker.answered_report = worker.outstanding = None
        if worker.outstanding is not None and worker.outstanding.superseded_by(report):
            worker.outstanding = None
        self.kernel.fire(self.delivery.worker_updated)
        if report.notice_us is not None:
            self._record_notice(worker, report.notice_us)

    def _stale_fold_possible(self, worker: Worker, report: Report) -> bool:
        """Whether a fold that is on its way may free what a machine that has begun anew would be told to start again.

        Safety point 3: the tasks that its last report listed as ended still have their places here.  A new token has
        to be written into the record before any order, and a fold that was built before fails by version then.
        """
        last = worker.report
        machine = self.base.cluster_state.machines.get(worker.name)
        if last is None or machine is None:
            return False
        # A machine that ended and is back has forgotten its token, and counts its sessions from the start.
        if report.session == last.session and report.token >= last.token:
            return False
        return any(
            (seen := last.tasks.get((allocation.job, allocation.attempt, task))) is not None and seen.state == "ended"
            for allocation in machine.holds
            for task in allocation.tasks
        )

    def _record_notice(self, worker: Worker, notice_us: int) -> None:
        """Note when the cloud takes a machine; the earliest time counts, for a report may have come late."""
        until_us = self.kernel.now_us + notice_us
        if worker.terminates_us is None:
            self.kernel.log("info", f"{worker.name} goes in {notice_us / SECOND_US:.0f} s")
            worker.terminates_us = until_us
        worker.terminates_us = min(worker.terminates_us, until_us)

    def _observe_tasks(self, worker: Worker, report: Report) -> None:
        """Learn run times from what has changed since the last report."""
        # Only a report that carried this process's token was surely no old one: after any other, what runs by now may
        # have begun at any time.
        old = worker.report.tasks if worker.report is not None and worker.token_confirmed else None
        started = self.pace.watch.report(worker.name, worker.running_since_us, old, report.tasks, self.kernel.now_us)
        machine = self.base.cluster_state.machines.get(worker.name)
        holds = machine.holds if machine is not None else []
        for job_id, attempt, _ in started:
            job = self.base.cluster_state.jobs.get(job_id)
            allocation = next((h for h in holds if (h.job, h.attempt) == (job_id, attempt)), None)
            if job is not None and allocation is not None:
                self.pace.watch.started(job, self.kernel.wall_us - allocation.record.placed_us)

    def _next_token(self, above: int) -> int:
        # The low digits are this process's own and its counter only rises, so no token is given out twice,
        # not even when a report that was held back shows one from before.
        self._counter = max(self._counter, above >> TOKEN_SHIFT) + 1
        return self._counter << TOKEN_SHIFT | self.presence.incarnation

    # Tending: fold what is learnt, tell what is to do

    def reconcile(self, worker: Worker) -> None:
        """See to a worker: compare its report with its record, and send the orders that follow."""
        worker.reconcile_again = True
        if not worker.reconciling and self._needs_orders(worker):
            self.kernel.spawn(self._reconcile_worker(worker))

    def tend_all(self, names: Iterable[str]) -> None:
        """These machines' part of the cluster state has changed: see to their workers."""
        for name in names:
            worker = self.workers.get(name)
            if worker is not None:
                worker.in_sync = worker.in_sync_and_folded = None
                if worker.token and worker.report is not None:
                    self.reconcile(worker)

    def _needs_orders(self, worker: Worker) -> bool:
        """Compare report and record; says whether there is anything to tell the worker directly."""
        report = worker.report
        if not worker.token or report is None:
            return False
        if self.kernel.now_us - worker.heard_us > int(self.base.settings.cluster.workers.lease_s * SECOND_US):
            return False
        machine = self.base.cluster_state.machines.get(worker.name)
        if machine is None:
            return False
        unchanged = worker.in_sync_and_folded if report.notice_us is None else None
        if (
            unchanged
            and unchanged[0] is machine
            and self._owns(worker, machine)
            and unchanged[1].tasks == report.tasks
        ):
            # It says nothing new, as nearly all reports do; a notice runs out even so.
            return False
        needs_fold = self._mark_for_fold(worker, machine, report)
        if not self._owns(worker, machine):
            return False
        direct = self.kernel.now_us >= worker.direct_backoff_until_us and worker.answered_report is None
        if not direct:
            return False
        has_orders = bool(self._compute_orders(worker, machine))
        if not has_orders and not needs_fold:
            worker.in_sync_and_folded = worker.in_sync
        return has_orders

    def _owns(self, worker: Worker, machine: Machine) -> bool:
        return worker.token_confirmed and machine.record.token == worker.token

    def _reconcile_worker(self, worker: Worker) -> Fiber[None]:
        if worker.reconciling:
            return
        worker.reconciling = True
        try:
            for _ in range(4):
                worker.reconcile_again = False
                if self._needs_orders(worker):
                    orders = self._compute_orders(worker, self.base.cluster_state.machines[worker.name])
                    yield from self.delivery.deliver(worker, orders)
                if not worker.reconcile_again:
                    break
        finally:
            worker.reconciling = False

    def _mark_for_fold(self, worker: Worker, machine: Machine, report: Report) -> bool:
        """Mark a machine whose record is to be folded; says whether there is anything to fold."""
        if not worker.token_confirmed:
            return False
        cluster_state = self.base.cluster_state
        record = machine.record
        unrecorded = record.token < worker.token
        notice = report.notice_us is not None and not record.retiring
        needs_fold = unrecorded or notice
        # No order may be given before the token is in the record.  After all controllers have ended that is a change
        # for each group, many times over: what runs on undisturbed is signed when there is company.
        urgent = notice or (unrecorded and not machine.holds)
        time_left_us = self._time_left_us(worker)
        absence_is_proof = record.token == worker.token and not worker.in_flight and worker.answered_report is None
        unallocated = sum(seen.state != "ended" for seen in report.tasks.values())
        for allocation in machine.holds:
            ended = 0
            dead = allocation_is_dead(cluster_state, allocation.job, allocation.attempt, allocation.record.stop_us)
            for task in allocation.tasks:
                seen = report.tasks.get((allocation.job, allocation.attempt, task))
                if seen is None:
                    needs_fold = needs_fold or (absence_is_proof and dead)
                    urgent = urgent or (unrecorded and not dead)
                elif seen.state == "ended":
                    ended += 1
                    # A failure and the end of a job are not kept waiting for company.
                    urgent = urgent or seen.cause != "done"
                else:
                    unallocated -= 1
                    urgent = urgent or (unrecorded and dead)
            owning_job = cluster_state.jobs.get(allocation.job)
            if (
                time_left_us is not None
                and owning_job is not None
                and must_save_now(owning_job, allocation.record.stop_us, time_left_us)
            ):
                needs_fold = urgent = True
            if ended:
                needs_fold = True
                if owning_job is not None and not cluster_state.all_done(owning_job):
                    # One task that is done speaks for its gang: those heard of after it can wait for company.
                    urgent = urgent or owning_job.spec.kind == "gang" or self._all_ended(owning_job)
        # What is there without a hold waits for an order as well.
        urgent = urgent or (unrecorded and unallocated > 0)
        if needs_fold:
            self.schedule_fold(machine, urgent)
        return needs_fold

    def _all_ended(self, job: Job) -> bool:
        """Whether the workers that report here say that all that is left of a job has ended.

        For a job that others wait for, all that is left of it here: nobody else hears of that, and a lazy fold would
        hold up the next stage.  Under the lower limits lazy folds are rare, and all that have a time are such jobs.
        """
        cluster_state = self.base.cluster_state
        needs_all_reports = not (
            job.id in cluster_state.dependencies.dependents or (self.base.limits.low and self.pace.timed(job))
        )
        max_tasks = MAX_TASKS_TO_CHECK if needs_all_reports else MAX_TIMED_TASKS_TO_CHECK
        if job.id in cluster_state.waiting() or len(cluster_state.placed(job.id)) > max_tasks:
            return False
        for (name, _), allocation in cluster_state.allocations.get(job.id, {}).items():
            worker = self.workers.get(name)
            if worker is None or worker.report is None:
                if needs_all_reports:
                    return False
                continue
            for task in allocation.tasks:
                seen = worker.report.tasks.get((job.id, allocation.attempt, task))
                if seen is None or seen.state != "ended":
                    return False
        return True

    def _compute_orders(self, worker: Worker, machine: Machine) -> list[dict[str, Any]]:
        """The orders that bring a worker in line with the record of its machine; ended tasks go to `clears`."""
        report = worker.report
        assert report is not None
        if worker.in_sync is not None and worker.in_sync[0] is machine and worker.in_sync[1].tasks == report.tasks:
            return []
        cluster_state = self.base.cluster_state
        kills: list[dict[str, Any]] = []
        launches: list[dict[str, Any]] = []
        allocated: set[TaskKey] = set()
        recently_read = self.kernel.now_us - self.base.follower.read_us < MAX_READ_AGE_US
        for allocation in machine.holds:
            dead = allocation_is_dead(cluster_state, allocation.job, allocation.attempt, allocation.record.stop_us)
            job_is_over = cluster_state.is_over(allocation.job)
            for task in allocation.tasks:
                key = (allocation.job, allocation.attempt, task)
                allocated.add(key)
                seen = report.tasks.get(key)
                if seen is None:
                    if not dead and recently_read:
                        launches.append(messages.launch(key))
                elif dead and seen.state in ("fetching", "waiting", "running"):
                    grace = 0 if job_is_over or allocation.record.stop_us < 0 else allocation.record.stop_us
                    kills.append(messages.kill(key, grace))
                elif job_is_over and seen.state == "saving":
                    kills.append(messages.kill(key, 0))
        worker.clears = []
        for key, seen in report.tasks.items():
            if key not in allocated:
                # Freed before: an ended task may be forgotten now, and anything else has no right to be there.
                if seen.state == "ended":
                    worker.clears.append(messages.clear(key))
                else:
                    kills.append(messages.kill(key, 0))
        orders = (kills + launches)[:MAX_ORDERS]
        if not orders and recently_read:
            worker.in_sync = (machine, report)
        return orders

    def _on_order_answer(self, worker: Worker, report: Report) -> None:
        """Learn from the report in the answer to a direct order, which tells nothing of what went out in answers."""
        self._take_report(worker, report, direct=True)
        worker.reconcile_again = True
        if not worker.reconciling:
            self.reconcile(worker)

    def adopt(self) -> Fiber[None]:
        """Wait for machines that are in no group, and add them, those of one type together."""
        if not self._unknown_machines:
            yield self._adopt_signal
        yield Sleep(ADOPTION_DELAY_US)
        if not (yield from self.base.follower.barrier()):
            return
        adopted: list[str] = []

        def build() -> Txn | None:
            known = self.base.cluster_state.machines
            self._unknown_machines = {
                name: report for name, report in self._unknown_machines.items() if name not in known
            }
            kinds: dict[tuple[str, str], dict[str, Report]] = {}
            for name, report in self._unknown_machines.items():
                kinds.setdefault((report.type, report.zone), {})[name] = report
            if not kinds:
                return None
            largest = max(kinds.values(), key=len)
            txn, adopted[:] = adoption(self.base.cluster_state, largest, self.base.knobs.group_size, self.base.limits)
            return txn

        if (yield from self.base.follower.commit(build, 2, Urgency.FREE, "adopt")):
            for name in adopted:
                report = self._unknown_machines.pop(name)
                self.kernel.log("info", f"{name} ({report.type}, {report.zone}) is up")
        else:
            # Those that another controller adopts meanwhile, or that are gone, do not report here again.
            self._unknown_machines.clear()
            yield Sleep(int(self.kernel.rng.uniform(0.02, 0.2) * SECOND_US))

    # Folding

    def hurry(self) -> None:
        """Somebody waits for the room that reports have freed here."""
        self._urgent.update(self._dirty)
        self.kernel.fire(self._fold_signal)

    def schedule_fold(self, machine: Machine, urgent: bool) -> None:
        """Note that a machine's report is to be folded into its group's record, at once if it is urgent."""
        self._dirty.setdefault(machine.group, set()).add(machine.name)
        if urgent:
            self._urgent.add(machine.group)
        self.kernel.fire(self._fold_signal)

    def _evidence(self, group: Group) -> dict[str, Evidence]:
        evidence = {}
        for name in self._dirty.get(group.key, group.machines):
            worker = self.workers.get(name)
            if worker is not None and worker.token and worker.report is not None and worker.token_confirmed:
                # While orders are on their way, what is not listed may be about to start.
                busy = worker.in_flight or worker.answered_report is not None
                evidence[name] = Evidence(worker.report, worker.token, not busy, self._time_left_us(worker))
        return evidence

    def _time_left_us(self, worker: Worker) -> int | None:
        return None if worker.terminates_us is None else worker.terminates_us - self.kernel.now_us

    def _fold(self) -> Txn | None:
        cluster_state = self.base.cluster_state
        fold = Fold(self.kernel, cluster_state, self.base.limits)
        for job in self._completed_jobs(deferrable=False):
            fold.end(job)
        # Those that were marked first come first, for not all may fit.
        for key, names in list(self._dirty.items()):
            if not self._fold_all and key not in self._urgent:
                continue
            group = cluster_state.groups.get(key)
            if group is not None:
                fold.add(group, names, self._evidence(group))
            self._unmark(key, names if group is None else fold.unchanged)
        self._last_fold = fold
        return fold.transaction()

    def light(self, groups: Iterable[str] | None = None) -> Fold:
        """What reports have freed here and no commit has yet: a placement in the same groups takes it along."""
        fold = Fold(self.kernel, self.base.cluster_state, self.base.limits)
        for key in list(self._dirty) if groups is None else groups:
            group = self.base.cluster_state.groups.get(key)
            if group is not None and key in self._dirty:
                fold.add_light(group, self._dirty[key], self._evidence(group))
        return fold

    def folded(self, names: set[str]) -> None:
        """The reports of these machines are in their records now."""
        for key in list(self._dirty):
            self._unmark(key, names)

    def due(self) -> set[str]:
        """Groups whose records are to be written anyway, for their machines have something to fold."""
        return set(self._dirty)

    def _unmark(self, group: str, names: set[str]) -> None:
        self._dirty[group] = self._dirty[group] - names
        if not self._dirty[group]:
            del self._dirty[group]
            self._urgent.discard(group)

    def _fold_interval_us(self) -> int:
        """How long to wait for company: folds may take half of this controller's changes, a quarter when scarce.

        Under the lower limits a fold takes few groups and a job more changes, so it is a tenth: who needs room asks
        for it, and placements take along what is free where they go.
        """
        changes = self.base.store.changes
        scarce = (10, LOW_SCARCE_MAX_FOLD_INTERVAL_US) if self.base.limits.low else (4, SCARCE_MAX_FOLD_INTERVAL_US)
        divisor, max_us = scarce if changes.scarce() else (2, MAX_FOLD_INTERVAL_US)
        return min(int(divisor * self._last_fold_writes / max(changes.bucket.rate, 0.1) * SECOND_US), max_us)

    def fold(self) -> Fiber[None]:
        """Wait until there is something to fold, and fold it."""
        completed = self._completed_jobs(deferrable=False)
        if not self._dirty and not completed:
            yield Wait(self._fold_signal, SECOND_US // 4)
            return
        # A job's end may wait for others while changes are scarce, but it is to show within 3 s.
        yield Sleep(SCARCE_FOLD_DELAY_US if self.base.store.changes.scarce() else FOLD_DELAY_US)
        while (
            not self._urgent and not completed and self.kernel.now_us < self._last_fold_us + self._fold_interval_us()
        ):
            yield Wait(self._fold_signal, self._last_fold_us + self._fold_interval_us() - self.kernel.now_us)
        self._fold_all = self.kernel.now_us >= self._last_fold_us + self._fold_interval_us()
        changes = min(len(self._dirty if self._fold_all else self._urgent) + 1, self.base.limits.ops)
        committed = yield from self.base.follower.commit(self._fold, changes, Urgency.FREE, "fold")
        last_fold = self._last_fold
        if committed and last_fold is not None:
            self._failed_folds = 0
            if self._fold_all:
                self._last_fold_us = self.kernel.now_us
                self._last_fold_writes = changes
            for line in last_fold.lines:
                self.kernel.log("info", line)
            self.folded(last_fold.taken)
        elif committed is False:
            self._failed_folds = min(self._failed_folds + 1, 5)
            yield Sleep(int(self.kernel.rng.uniform(0.0, 0.03) * 2**self._failed_folds * SECOND_US))
            yield from self.base.follower.barrier()

    def _completed_jobs(self, deferrable: bool) -> list[Job]:
        """This controller's jobs all of whose tasks are done: those whose records may wait, or those that may not."""
        cluster_state = self.base.cluster_state
        jobs = (cluster_state.jobs[job_id] for job_id in sorted(cluster_state.completed()))
        return [job for job in jobs if ends_later(job, self.base.limits) == deferrable and self.presence.mine(job)]

    def tidy(self) -> Fiber[None]:
        """Move the records of jobs that count as done already, when there is little else to do, or at last."""
        jobs, now = self._completed_jobs(deferrable=True), self.kernel.now_us
        for job in jobs:
            if job.id not in self._completed_us:
                self.kernel.log("info", f"{job.id} is done")
        self._completed_us = {job.id: self._completed_us.get(job.id, now) for job in jobs}
        if not jobs:
            return
        jobs.sort(key=lambda job: self._completed_us[job.id])
        changes = self.base.store.changes
        scarce = changes.scarce()
        # What is kept in groups takes room there, but moving it costs two changes a job.
        late = now - self._completed_us[jobs[0].id] > (SCARCE_TIDY_DELAY_US if scarce else TIDY_DELAY_US)
        if scarce and not late and len(jobs) < MAX_UNMOVED_JOBS:
            return
        # Never before a fold, which shows the ends of many jobs with one change.
        urgency = Urgency.PLACE if late else Urgency.BOOKKEEPING
        jobs = jobs[: self.base.limits.ops // 2]
        # No more at once than a full bucket: ends that are to show within 3 s would wait until a debt is paid.
        batch_size = max(int(changes.bucket.rate * changes.bucket.burst_s) // 2, 1)
        for first in range(0, len(jobs), batch_size):
            yield from self._move(jobs[first : first + batch_size], urgency)

    def _move(self, jobs: list[Job], urgency: Urgency) -> Fiber[None]:
        """Move the records of jobs that count as done, two changes each."""

        def build() -> Txn | None:
            fold = Fold(self.kernel, self.base.cluster_state, self.base.limits)
            for job in jobs:
                if job.id in self.base.cluster_state.completed():
                    fold.end(self.base.cluster_state.jobs[job.id])
            return fold.transaction()

        yield from self.base.follower.commit(build, min(2 * len(jobs), self.base.limits.ops), urgency, "tidy")

    def heard_us(self) -> dict[str, int]:
        """When each worker that reports here was last heard."""
        return {worker.name: worker.heard_us for worker in self.workers.values() if worker.heard_us}

    def sweep(self) -> Fiber[None]:
        """Forget workers that have long been silent."""
        limit = 120 * SECOND_US
        since_us = self.kernel.now_us - limit
        for name in [w.name for w in self.workers.values() if max(w.heard_us, w.redirected_us) < since_us]:
            if not self.workers[name].reconciling:
                del self.workers[name]
        return
        yield
