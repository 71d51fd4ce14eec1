"""Handling of workers' reports: ownership of workers, orders to them, and writing what they report.

A *fold* is the transaction that writes what workers reported into the records of their groups.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from ashtray.base import Base
from ashtray.jobs.job_timing import JobTiming
from ashtray.jobs.model import Job
from ashtray.kernel import SECOND_US, Coroutine, Signal, Sleep, Wait
from ashtray.peers.presence import Peers, Presence
from ashtray.placement.machine_groups import Group, Machine
from ashtray.store.rate_limiter import Urgency
from ashtray.store.refusals import SetAside
from ashtray.store.transaction import CommitOutcome, Txn
from ashtray.workers import messages
from ashtray.workers.folding import Evidence, Fold, adoption, allocation_is_dead, may_defer_move, must_save_now
from ashtray.workers.messages import Report, TaskKey, parse_report
from ashtray.workers.order_delivery import OrderDelivery, note_outstanding
from ashtray.workers.renewal import RenewalGuard
from ashtray.workers.worker import Worker

TOKEN_SHIFT = 34
"""The bits of an ownership token below its counter, which hold the incarnation of the process that issued it.

Tokens have 64 bits.  At 30 writes a second revisions need 34 bits after 18 years; at 10 new tokens a second the
counter needs the other 30 bits after three years, counted from the oldest machine.
"""
FOLD_DELAY_US = 150_000
SCARCE_FOLD_DELAY_US = 500_000
"""How long a fold waits for more reports to write together, and the same while the write budget is scarce."""
MAX_FOLD_INTERVAL_US = 1_700_000
SCARCE_MAX_FOLD_INTERVAL_US, LOW_SCARCE_MAX_FOLD_INTERVAL_US = 4 * SECOND_US, 20 * SECOND_US
"""The longest time between folds that are not urgent; the latter two while the write budget is scarce.

The ends of jobs and failures are urgent, because a job's end has to be visible within 3 s.
"""
MAX_TASKS_TO_CHECK, MAX_TIMED_TASKS_TO_CHECK = 40, 400
"""A job with more placed tasks is not checked at each report for whether all have ended.

The latter is for jobs that others wait for and, under the lower limits, for jobs with a stated time.
"""
TIDY_DELAY_US, SCARCE_TIDY_DELAY_US = 30 * SECOND_US, 240 * SECOND_US
"""How long moving the records of completed jobs may be put off, and the same while the write budget is scarce."""
MAX_UNMOVED_JOBS = 300
"""With so many completed jobs their records are moved even while the write budget is scarce."""
ADOPTION_DELAY_US = 200_000
"""How long machines that are in no group wait for others that can be added in the same transaction."""
KEEP_WORKER_US = 30 * SECOND_US
"""How long a worker is kept here that comes back after it was redirected."""
MAX_READ_AGE_US = 3 * SECOND_US
"""Tasks are launched only if the state service was read within this time."""
MAX_ORDERS = 400
"""How many orders go into one message."""


class WorkerManager:
    """Takes workers' reports, owns workers, sends them orders, and folds what they report into group records."""

    def __init__(
        self, base: Base, presence: Presence, peers: Peers, job_timing: JobTiming, renewal: RenewalGuard
    ) -> None:
        self.base = base
        self.renewal = renewal
        self.kernel = base.kernel
        self.presence = presence
        self.peers = peers
        self.job_timing = job_timing
        self.workers: dict[str, Worker] = {}
        self.delivery = OrderDelivery(base, self.workers, self._next_token, self._on_order_answer)
        self._counter = 0
        self._fold_signal = Signal()
        self._dirty: dict[str, set[str]] = {}
        """For each group, the machines with something to fold."""
        self._urgent: set[str] = set()
        """Groups that are folded at once.  The others still wait, because each group costs a write."""
        self._fold_all = False
        """Whether the next fold takes all groups, not only the urgent ones."""
        self._set_aside = SetAside()
        """The groups whose fold was refused as too large even by itself, by key."""
        self._last_fold: Fold | None = None
        self._last_fold_us = 0
        """When the last fold of all groups was committed."""
        self._last_fold_writes = 0
        """How many writes that fold took."""
        self._failed_folds = 0
        """How many folds in a row have failed, up to 5."""
        self._completed_us: dict[str, int] = {}
        """When the completion of each job was first noticed whose record is still to be moved."""
        self._unknown_machines: dict[str, Report] = {}
        """The reports of machines that are in no group, to be added to one."""
        self._adopt_signal = Signal()

    # Reports

    def on_report(self, request_id: int, body: Any) -> None:
        """Answer a report.

        The status is 200 with a token and orders, 421 with the name of a better controller, 400 for a malformed
        report, or 503 if this controller cannot act on it.
        """
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
            # A delayed report or a copy, whose sender has given up on its answer.
            self.kernel.answer(request_id, 503, {"error": "old report"})
            return
        worker.newest = report.session, report.tick
        redirect_target = self._redirect_target(worker, report)
        if redirect_target is not None:
            worker.redirected_us = self.kernel.now_us
            worker.claim(0)
            worker.report = None
            worker.running_since_us.clear()
            self.kernel.answer(request_id, 421, {"foreman": redirect_target})
            return
        if not self.renewal.may_renew(self.kernel.now_us, self.base.follower.read_us):
            # Safety point 5: a peer may have confirmed cancellations that this controller does not know of.
            self.kernel.answer(request_id, 503, {"error": "cut off from the state service"})
            return
        newly_claimed = worker.token == 0
        self._take_report(worker, report)
        if newly_claimed or worker.token_confirmed:
            # A worker that keeps reporting without its token receives no answers or orders.  It counts as silent, so
            # its machine is returned like a silent one (point 28).
            worker.heard_us = self.kernel.now_us
        # An answer that renews the lease also kills tasks of jobs known to be over, whoever owns the worker.
        # Otherwise a new owner that cannot write its token into the record would keep a cancelled job's tasks alive.
        orders = self.delivery.kills_for(report)
        machine = self.base.cluster_state.machines.get(worker.name)
        if machine is None:
            # A machine is added only when it reports, not when its record disappears.  Otherwise deleted machines are
            # added again when their removal is noticed, because their last reports are still known.
            if report.token == 0 or worker.token_confirmed:
                # A machine that was owned before may be gone.  Only a report with this process's token is not old.
                self._unknown_machines[worker.name] = report
                self.kernel.fire(self._adopt_signal)
        elif not worker.reconciling and self._owns(worker, machine):
            due_orders = self._compute_orders(worker, machine)
            if due_orders and self.kernel.now_us < worker.direct_backoff_until_us:
                orders = due_orders
                worker.answered_report = (report.session, report.tick)
                note_outstanding(worker, due_orders)
            orders = with_clears(worker, orders)
        self.kernel.answer(request_id, 200, messages.report_answer(worker.token, orders[:MAX_ORDERS]))
        self.reconcile(worker)

    def _redirect_target(self, worker: Worker, report: Report) -> str | None:
        """Return the controller that this worker should report to instead, or None; safety does not depend on it."""
        now = self.kernel.now_us
        if now < worker.keep_until_us:
            return self.peers.better_connected()
        machine = self.base.cluster_state.machines.get(worker.name)
        # New machines of a type and zone report to the same controller, which can add them to groups together.
        key = machine.group if machine is not None else f"{report.type}.{report.zone}"
        redirect_target = self.presence.responsible_controller(key)
        if redirect_target == self.base.settings.host_name:
            elsewhere = self.peers.successor_if_isolated(key)
            if elsewhere is not None:
                # A controller cut off from its peers redirects its workers once others own them.  Workers that come
                # back are kept.
                worker.keep_until_us = now + KEEP_WORKER_US
            return self.peers.better_connected() or elsewhere
        if SECOND_US // 2 < now - worker.redirected_us < 20 * SECOND_US:
            # The worker was redirected there a moment ago and is back, so it cannot reach that controller.
            worker.keep_until_us = now + KEEP_WORKER_US
            return None
        return redirect_target

    def _take_report(self, worker: Worker, report: Report, direct: bool = False) -> None:
        """Update what is known of a worker from its newest report, and claim it with a new token where needed.

        `direct` says that the report came in the answer to a direct order.
        """
        stale_fold = self._stale_fold_possible(worker, report)
        self._observe_tasks(worker, report)
        worker.report = report
        if report.token >= 1 << 64:
            return
        machine = self.base.cluster_state.machines.get(worker.name)
        recorded_token = machine.record.token if machine is not None else 0
        worker.note_recorded_token(recorded_token)
        # A restarted machine has forgotten its token, and a restarted controller knows of none.  A token below that
        # in the record could never be written there, and the machine's allocations would never be freed (point 3).
        if worker.token == 0 or stale_fold or max(report.token, recorded_token) > worker.token:
            worker.claim(self._next_token(max(report.token, worker.token, recorded_token)))
        else:
            worker.confirm_token(report.token)
        if (
            worker.answered_report is not None
            and not direct
            and (report.session, report.tick) > worker.answered_report
        ):
            # The worker sends a later report only once it has processed or given up the answer to that report.
            worker.answered_report = worker.outstanding = None
        if worker.outstanding is not None and worker.outstanding.superseded_by(report):
            worker.outstanding = None
        self.kernel.fire(self.delivery.worker_updated)
        if report.notice_us is not None:
            self._record_notice(worker, report.notice_us)

    def _stale_fold_possible(self, worker: Worker, report: Report) -> bool:
        """Return whether a fold that was built before may free tasks that a restarted machine is told to start again.

        Safety point 3: this is so if tasks that its last report listed as ended still have allocations here.  The
        worker then needs a new token.  That token has to be written into the record before any order is sent, and
        this write makes the earlier fold fail, because the record's version has changed.
        """
        last = worker.report
        machine = self.base.cluster_state.machines.get(worker.name)
        if last is None or machine is None:
            return False
        # A restarted machine has forgotten its token and counts its sessions from the start.
        if report.session == last.session and report.token >= last.token:
            return False
        return any(
            (seen := last.tasks.get((allocation.job, allocation.attempt, task))) is not None and seen.state == "ended"
            for allocation in machine.holds
            for task in allocation.tasks
        )

    def _record_notice(self, worker: Worker, notice_us: int) -> None:
        """Note when the cloud takes a machine away; the earliest time counts, because a report may come late."""
        until_us = self.kernel.now_us + notice_us
        if worker.terminates_us is None:
            self.kernel.log("info", f"{worker.name} will be taken away by the cloud in {notice_us / SECOND_US:.0f} s")
            worker.terminates_us = until_us
        worker.terminates_us = min(worker.terminates_us, until_us)

    def _observe_tasks(self, worker: Worker, report: Report) -> None:
        """Learn run times of tasks from what has changed since the last report."""
        # Only a last report with this process's token is certain to be recent.  After any other, a task that runs now
        # may have begun at any time.
        old = worker.report.tasks if worker.report is not None and worker.obeys else None
        started = self.job_timing.run_observer.report(
            worker.name, worker.running_since_us, old, report.tasks, self.kernel.now_us
        )
        machine = self.base.cluster_state.machines.get(worker.name)
        holds = machine.holds if machine is not None else []
        for job_id, attempt, _ in started:
            job = self.base.cluster_state.jobs.get(job_id)
            allocation = next((h for h in holds if (h.job, h.attempt) == (job_id, attempt)), None)
            if job is not None and allocation is not None:
                self.job_timing.run_observer.started(job, self.kernel.wall_us - allocation.record.placed_us)

    def _next_token(self, above: int) -> int:
        """Return a new ownership token that is higher than `above`."""
        # The low bits identify this process and its counter only grows, so no token is issued twice, not even when a
        # delayed report carries an older token.
        self._counter = max(self._counter, above >> TOKEN_SHIFT) + 1
        return self._counter << TOKEN_SHIFT | self.presence.incarnation

    # Reconciliation: compare reports with records, fold the reports and send orders

    def reconcile(self, worker: Worker) -> None:
        """Compare a worker's report with its machine's record, and send the orders that follow."""
        worker.reconcile_again = True
        if not worker.reconciling and self._needs_orders(worker):
            self.kernel.spawn(self._reconcile_worker(worker))

    def reconcile_all(self, names: Iterable[str]) -> None:
        """Reconcile the workers of machines whose part of the cluster state has changed."""
        for name in names:
            worker = self.workers.get(name)
            if worker is not None:
                worker.in_sync = worker.in_sync_and_folded = None
                machine = self.base.cluster_state.machines.get(name)
                if machine is not None:
                    worker.note_recorded_token(machine.record.token)
                if worker.token and worker.report is not None:
                    self.reconcile(worker)

    def _needs_orders(self, worker: Worker) -> bool:
        """Compare report and record, and mark the machine for a fold; returns whether to send orders directly."""
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
            # Nearly all reports say nothing new.  A machine with a notice is always compared, because its remaining
            # time decides when tasks save.
            return False
        needs_fold = self._mark_for_fold(worker, machine, report)
        if not self._owns(worker, machine):
            return False
        direct = self.kernel.now_us >= worker.direct_backoff_until_us and worker.answered_report is None
        if not direct:
            return False
        # A token that a fold has recorded is announced at once: until it is confirmed, nothing is folded.
        has_orders = bool(self._compute_orders(worker, machine)) or not worker.token_confirmed
        if not has_orders and not needs_fold:
            worker.in_sync_and_folded = worker.in_sync
        return has_orders

    def _owns(self, worker: Worker, machine: Machine) -> bool:
        """Return whether this controller may give orders: its token is in the record, and the worker obeys it."""
        return worker.obeys and machine.record.token == worker.token

    def _reconcile_worker(self, worker: Worker) -> Coroutine[None]:
        """Send a worker its orders, and again if something has changed meanwhile, up to four times."""
        if worker.reconciling:
            return
        worker.reconciling = True
        try:
            for _ in range(4):
                worker.reconcile_again = False
                if self._needs_orders(worker):
                    orders = self._compute_orders(worker, self.base.cluster_state.machines[worker.name])
                    yield from self.delivery.deliver(worker, with_clears(worker, orders))
                if not worker.reconcile_again:
                    break
        finally:
            worker.reconciling = False

    def _mark_for_fold(self, worker: Worker, machine: Machine, report: Report) -> bool:
        """Mark a machine for a fold if its report adds anything to its record; returns whether it does."""
        if not worker.token_confirmed:
            return False
        cluster_state = self.base.cluster_state
        record = machine.record
        unrecorded = record.token < worker.token
        notice = report.notice_us is not None and not record.retiring
        needs_fold = unrecorded or notice or worker.has_repeatable_clears()
        # No order may be sent before the token is in the record.  After a restart of all controllers each group needs
        # many such writes, so for machines whose tasks just keep running the token is written with other reports.
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
                    # Failures, and the ends of jobs below, do not wait for other reports.
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
                    # The first completed task of a gang completes the job; reports of the others can wait.
                    urgent = urgent or owning_job.spec.kind == "gang" or self._all_ended(owning_job)
        # Tasks without an allocation also have to be killed, which takes an order.
        urgent = urgent or (unrecorded and unallocated > 0)
        if needs_fold:
            self.schedule_fold(machine, urgent)
        return needs_fold

    def _all_ended(self, job: Job) -> bool:
        """Return whether, by the reports that came here, all unfinished tasks of a job have ended.

        For a job that others wait for, only the tasks on workers that report here count: no other controller gets
        these reports, and a fold that waits would delay the next stage.  Under the lower limits, where such waits are
        long, the same holds for all jobs with a stated time.
        """
        cluster_state = self.base.cluster_state
        needs_all_reports = not (
            job.id in cluster_state.dependencies.dependents
            or (self.base.limits.lowered and self.job_timing.has_time_objective(job))
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
        """Return the orders that bring a worker in line with its record; clears go to `worker.clears`."""
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
                # Its allocation is freed: the worker may forget an ended task, and must kill any other.
                if seen.state != "ended":
                    kills.append(messages.kill(key, 0))
                elif key not in worker.direct_launches:
                    worker.clears.append(messages.clear(key))
        orders = (kills + launches)[:MAX_ORDERS]
        if not orders and recently_read:
            worker.in_sync = (machine, report)
        return orders

    def _on_order_answer(self, worker: Worker, report: Report) -> None:
        """Process the report in the answer to a direct order.

        Such a report does not show whether the worker has received orders that went out in an answer to a report.
        """
        self._take_report(worker, report, direct=True)
        worker.reconcile_again = True
        if not worker.reconciling:
            self.reconcile(worker)

    def adopt(self) -> Coroutine[None]:
        """Wait for machines that are in no group, and add those of one type and zone to groups."""
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
            group_size, limits = self.base.operator_settings.group_size, self.base.limits_for("adopt")
            txn, adopted[:] = adoption(self.base.cluster_state, largest, group_size, limits)
            return txn

        if (yield from self.base.follower.commit(build, 2, Urgency.FOLD, "adopt")) is CommitOutcome.COMMITTED:
            for name in adopted:
                report = self._unknown_machines.pop(name)
                self.kernel.log("info", f"{name} ({report.type}, {report.zone}) is up")
        else:
            # Machines that another controller has added meanwhile, or that are gone, do not report here again.
            self._unknown_machines.clear()
            yield Sleep(int(self.kernel.rng.uniform(0.02, 0.2) * SECOND_US))

    # Folding

    def fold_now(self) -> None:
        """Fold all marked machines at once, because a job waits for capacity that their reports have freed."""
        self._urgent.update(self._dirty)
        self.kernel.fire(self._fold_signal)

    def schedule_fold(self, machine: Machine, urgent: bool) -> None:
        """Mark a machine whose report is to be folded into its group's record, at once if it is urgent."""
        self._dirty.setdefault(machine.group, set()).add(machine.name)
        if urgent:
            self._urgent.add(machine.group)
        self.kernel.fire(self._fold_signal)

    def _evidence(self, group: Group) -> dict[str, Evidence]:
        """Return the reports, by machine, of those marked machines of a group whose token is confirmed."""
        evidence = {}
        # In order, so that new tokens do not depend on the hashes of names.
        for name in sorted(self._dirty.get(group.key, group.machines)):
            worker = self.workers.get(name)
            if worker is not None and worker.token and worker.report is not None and worker.token_confirmed:
                # While orders are on their way, a task that is not listed may be about to start.
                busy = worker.in_flight or worker.answered_report is not None
                next_token = self._token_to_record(worker) if worker.has_repeatable_clears() else 0
                evidence[name] = Evidence(
                    worker.report, worker.token, not busy, self._time_left_us(worker), next_token
                )
        return evidence

    def _token_to_record(self, worker: Worker) -> int:
        """Return the token that a fold records in place of a worker's current one.

        It stays the same until the record has it, because the outcome of an earlier fold may be unknown.
        """
        if not worker.next_token:
            worker.next_token = self._next_token(worker.token)
        return worker.next_token

    def _time_left_us(self, worker: Worker) -> int | None:
        """Return the time until the cloud takes a worker's machine away; None if it has given no notice."""
        return None if worker.terminates_us is None else worker.terminates_us - self.kernel.now_us

    def _fold(self) -> Txn | None:
        """Return the transaction that folds all groups or the urgent ones; None if there is nothing to write."""
        cluster_state = self.base.cluster_state
        fold = Fold(self.kernel, cluster_state, self.base.limits_for("fold"))
        for job in self._completed_jobs(deferrable=False):
            fold.end(job)
        # Groups that were marked first come first, because not all may fit.
        for key, names in list(self._dirty.items()):
            if not self._fold_all and key not in self._urgent or self._set_aside.has(key, self.kernel.now_us):
                continue
            group = cluster_state.groups.get(key)
            if group is not None:
                fold.add(group, names, self._evidence(group))
            self._unmark(key, names if group is None else fold.unchanged)
        self._last_fold = fold
        return fold.transaction()

    def group_only_fold(self, groups: Iterable[str] | None = None) -> Fold:
        """Return the fold of reports that change group records only, for a placement to write with its own changes.

        It covers the given groups, by default all that have marked machines.
        """
        fold = Fold(self.kernel, self.base.cluster_state, self.base.limits)
        for key in list(self._dirty) if groups is None else groups:
            group = self.base.cluster_state.groups.get(key)
            if group is not None and key in self._dirty:
                fold.add_group_only(group, self._dirty[key], self._evidence(group))
        return fold

    def mark_folded(self, names: set[str]) -> None:
        """Unmark machines whose reports are in their records now."""
        for key in list(self._dirty):
            self._unmark(key, names)

    def groups_to_fold(self) -> set[str]:
        """Return the groups with marked machines, whose records are to be written anyway."""
        return set(self._dirty)

    def _unmark(self, group: str, names: set[str]) -> None:
        self._dirty[group] = self._dirty[group] - names
        if not self._dirty[group]:
            del self._dirty[group]
            self._urgent.discard(group)

    def _fold_interval_us(self) -> int:
        """Return the time between folds of all groups, in microseconds, which bounds their part of the write budget.

        Folds may take half of this controller's writes, or a quarter while writes are scarce.  Under the lower limits
        a fold covers few groups and a job needs more writes, so the part is a tenth.  Jobs that need capacity ask for
        a fold, and placements write the freed capacity of the groups that they change.
        """
        writes = self.base.store.writes
        scarce = (
            (10, LOW_SCARCE_MAX_FOLD_INTERVAL_US) if self.base.limits.lowered else (4, SCARCE_MAX_FOLD_INTERVAL_US)
        )
        divisor, max_us = scarce if writes.scarce() else (2, MAX_FOLD_INTERVAL_US)
        return min(int(divisor * self._last_fold_writes / max(writes.bucket.rate, 0.1) * SECOND_US), max_us)

    def fold(self) -> Coroutine[None]:
        """Wait until there is something to fold, and fold it."""
        completed = self._completed_jobs(deferrable=False)
        if not self._dirty and not completed:
            yield Wait(self._fold_signal, SECOND_US // 4)
            return
        # The end of a job may wait for others while writes are scarce, but has to be visible within 3 s.
        yield Sleep(SCARCE_FOLD_DELAY_US if self.base.store.writes.scarce() else FOLD_DELAY_US)
        while (
            not self._urgent and not completed and self.kernel.now_us < self._last_fold_us + self._fold_interval_us()
        ):
            yield Wait(self._fold_signal, self._last_fold_us + self._fold_interval_us() - self.kernel.now_us)
        self._fold_all = self.kernel.now_us >= self._last_fold_us + self._fold_interval_us()
        expected_writes = min(len(self._dirty if self._fold_all else self._urgent) + 1, self.base.limits.ops)
        outcome = yield from self.base.follower.commit(self._fold, expected_writes, Urgency.FOLD, "fold")
        last_fold = self._last_fold
        if outcome is CommitOutcome.COMMITTED and last_fold is not None:
            self._failed_folds = 0
            if self._fold_all:
                self._last_fold_us = self.kernel.now_us
                self._last_fold_writes = expected_writes
            for line in last_fold.lines:
                self.kernel.log("info", line)
            for key in last_fold.edits:
                self._set_aside.remove(key)
            self.mark_folded(last_fold.taken)
        elif outcome is CommitOutcome.REFUSED and last_fold is not None:
            self._after_refusal(last_fold)
        elif outcome is not CommitOutcome.NOTHING:
            self._failed_folds = min(self._failed_folds + 1, 5)
            yield Sleep(int(self.kernel.rng.uniform(0.0, 0.03) * 2**self._failed_folds * SECOND_US))
            yield from self.base.follower.barrier()

    def _after_refusal(self, fold: Fold) -> None:
        """Set a group aside if its fold was refused though it had the transaction for itself.

        A group that cannot be folded must not hold up the others.
        """
        if len(fold.edits) != 1:
            return
        for key in fold.edits:
            pause_s = self._set_aside.add(key, self.kernel.now_us) // SECOND_US
            self.kernel.log("error", f"{key} is not folded for {pause_s} s: refused though it was alone")

    def _completed_jobs(self, deferrable: bool) -> list[Job]:
        """Return this controller's jobs whose tasks are all done.

        `deferrable` selects the jobs whose records may be moved later, otherwise those to be ended at once.
        """
        cluster_state = self.base.cluster_state
        jobs = (cluster_state.jobs[job_id] for job_id in sorted(cluster_state.completed()))
        return [
            job for job in jobs if may_defer_move(job, self.base.limits) == deferrable and self.presence.mine(job)
        ]

    def move_completed_jobs(self) -> Coroutine[None]:
        """Move the records of jobs that already count as done, if there is little else to write or they are late."""
        jobs, now = self._completed_jobs(deferrable=True), self.kernel.now_us
        for job in jobs:
            if job.id not in self._completed_us:
                self.kernel.log("info", f"{job.id} is done")
        self._completed_us = {job.id: self._completed_us.get(job.id, now) for job in jobs}
        if not jobs:
            return
        jobs.sort(key=lambda job: self._completed_us[job.id])
        writes = self.base.store.writes
        scarce = writes.scarce()
        # Completed tasks that group records keep take space there, but moving a job's record costs two writes.
        late = now - self._completed_us[jobs[0].id] > (SCARCE_TIDY_DELAY_US if scarce else TIDY_DELAY_US)
        if scarce and not late and len(jobs) < MAX_UNMOVED_JOBS:
            return
        # Folds always go first, because one write makes the ends of many jobs visible.
        urgency = Urgency.PLACE if late else Urgency.BOOKKEEPING
        jobs = jobs[: self.base.limits.ops // 2]
        # At most a full token bucket of writes at once.  Otherwise ends of jobs, which have to be visible within 3 s,
        # would wait until the bucket is out of debt.
        batch_size = max(int(writes.bucket.rate * writes.bucket.burst_s) // 2, 1)
        for first in range(0, len(jobs), batch_size):
            yield from self._move(jobs[first : first + batch_size], urgency)

    def _move(self, jobs: list[Job], urgency: Urgency) -> Coroutine[None]:
        """Move the records of jobs that count as done, with two writes for each."""

        def build() -> Txn | None:
            fold = Fold(self.kernel, self.base.cluster_state, self.base.limits_for("tidy"))
            for job in jobs:
                if job.id in self.base.cluster_state.completed():
                    fold.end(self.base.cluster_state.jobs[job.id])
            return fold.transaction()

        yield from self.base.follower.commit(build, min(2 * len(jobs), self.base.limits.ops), urgency, "tidy")

    def heard_us(self) -> dict[str, int]:
        """Return when each worker that reports here was last heard."""
        return {worker.name: worker.heard_us for worker in self.workers.values() if worker.heard_us}

    def forget_silent_workers(self) -> Coroutine[None]:
        """Forget workers that have neither reported nor been redirected for 120 s."""
        limit = 120 * SECOND_US
        since_us = self.kernel.now_us - limit
        for name in [w.name for w in self.workers.values() if max(w.heard_us, w.redirected_us) < since_us]:
            if not self.workers[name].reconciling:
                del self.workers[name]
        return
        yield


def with_clears(worker: Worker, orders: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return orders and, after them, as many of a worker's clears as one message takes.

    Clears are not noted as outstanding: their attempts have no allocation and are never launched again.
    """
    return (orders + worker.clears)[:MAX_ORDERS]
