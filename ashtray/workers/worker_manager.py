"""Handling of workers' reports: ownership of workers, orders to them, and which reports are to be folded.

A *fold* is the transaction that writes what workers reported into the records of their groups.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from ashtray.base import Base
from ashtray.jobs.job_timing import JobTiming
from ashtray.jobs.model import Job
from ashtray.kernel import SECOND_US, Coroutine
from ashtray.peers.presence import Peers, Presence
from ashtray.placement.machine_groups import Machine
from ashtray.workers import messages
from ashtray.workers.adoption import MachineAdoption
from ashtray.workers.completed_jobs import CompletedJobs
from ashtray.workers.fold_scheduler import FoldScheduler
from ashtray.workers.folding import allocation_is_dead, must_save_now
from ashtray.workers.messages import Report, TaskKey, parse_report
from ashtray.workers.order_delivery import OrderDelivery, note_outstanding
from ashtray.workers.renewal import RenewalGuard
from ashtray.workers.worker import Worker

TOKEN_SHIFT = 34
"""The bits of an ownership token below its counter, which hold the incarnation of the process that issued it.

Tokens have 64 bits.  At 30 writes a second revisions need 34 bits after 18 years; at 10 new tokens a second the
counter needs the other 30 bits after three years, counted from the oldest machine.
"""
MAX_TASKS_TO_CHECK, MAX_TIMED_TASKS_TO_CHECK = 40, 400
"""A job with more placed tasks is not checked at each report for whether all have ended.

The latter is for jobs that others wait for and, under the lower limits, for jobs with a stated time.
"""
KEEP_WORKER_US = 30 * SECOND_US
"""How long a worker is kept here that comes back after it was redirected."""
MAX_READ_AGE_US = 3 * SECOND_US
"""Tasks are launched only if the state service was read within this time."""
MAX_ORDERS = 400
"""How many orders go into one message."""


class WorkerManager:
    """Takes workers' reports, owns workers, sends them orders, and marks what is to be folded into group records."""

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
        self.completed_jobs = CompletedJobs(base, presence)
        self.folds = FoldScheduler(base, self.workers, self.completed_jobs, self._next_token)
        self.adoption = MachineAdoption(base)

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
                self.adoption.note(report)
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
        time_left_us = worker.time_left_us(self.kernel.now_us)
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
            self.folds.schedule(machine, urgent)
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
