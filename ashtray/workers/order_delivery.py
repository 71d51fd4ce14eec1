"""Sends orders directly to workers, and voids orders that get no answer.

A worker may execute an unanswered order at any later time, as long as it knows no higher token (safety point 4 in
`docs/design.md`).  Therefore, when an order gets no answer, the controller at once claims the worker with a higher
token.  The worker learns the token from the answer to its next report or, before a cancellation is confirmed, from a
direct message that contains at most kills.  From then on it executes no orders with an older token.  Until a report
shows that the worker has the new token, no resources on its machine are freed.

An answered order may arrive once more as well, because the network may deliver a copy.  That is harmless as long as
the worker knows the attempts that the order launches.  So `Worker.direct_launches` remembers them, and they are
cleared only in messages with a higher token.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from ashtray.base import Base
from ashtray.kernel import SECOND_US, Call, Coroutine, Reply, Signal, Wait
from ashtray.placement.machine_groups import Machine
from ashtray.workers import messages
from ashtray.workers.messages import Report, TaskKey
from ashtray.workers.worker import OutstandingOrders, Worker

ANSWER_TIMEOUT_US = 1_500_000
"""Timeout of a direct message with orders."""
DIRECT_BACKOFF_US = 10 * SECOND_US
"""After a direct message has failed: how long orders are sent only in answers to reports."""
SETTLE_GRACE_US = 50_000
"""How long a cancellation waits for answers before it voids outstanding orders, or announces a token again."""
ANNOUNCEMENT_ROUNDS = 3
"""How often a cancellation announces tokens at most; in the first round those that were not confirmed before."""
SETTLE_TIMEOUT_US = 250_000
"""The longest time that a cancellation waits until no worker that reports here can start a task of its job.

Also the timeout of the message that announces a token.
"""
UNOWNED_TIMEOUT_US = 100_000
"""Timeout of each call to a machine that does not report here."""
VOID_TIMEOUT_US = 250_000
"""The longest time that a cancellation spends on voiding orders on machines for which no controller has answered."""
MAX_MACHINES_TO_VOID = 32
"""At most this many such machines are contacted per cancellation."""


class OrderDelivery:
    """Sends orders directly to workers.

    The caller of `deliver` ensures that a worker is sent at most one message with orders at a time.
    """

    def __init__(
        self,
        base: Base,
        workers: dict[str, Worker],
        next_token: Callable[[int], int],
        on_answer: Callable[[Worker, Report], None],
    ) -> None:
        """Create a delivery for the given workers, by machine name.

        `next_token` returns a new token above the given one.  `on_answer` is called with the report contained in the
        answer to orders.
        """
        self.base = base
        self.kernel = base.kernel
        self.workers = workers
        self._next_token = next_token
        self._on_answer = on_answer
        self.worker_updated = Signal()
        """Fired when the state of a worker has changed."""

    def deliver(self, worker: Worker, orders: list[dict[str, Any]]) -> Coroutine[None]:
        """Send orders to a worker and process its answer; if there is none, void its launches and kills.

        Without any, the message only clears tasks or announces the token, and nothing has to be voided.
        """
        report = worker.report
        assert report is not None
        token = worker.token
        if self.kernel.verbose:
            self.kernel.log("debug", f"orders sent to {worker.name}: {orders}")
        worker.in_flight = bool(orders)
        worker.direct_launches.update(messages.launched_tasks(orders))
        in_doubt = note_outstanding(worker, orders)
        body = messages.orders_body(token, report.session, orders)
        timeout_us = ANSWER_TIMEOUT_US if in_doubt else SETTLE_TIMEOUT_US
        reply: Reply = yield Call(report.address, "POST", "/orders", body, timeout_us)
        worker.in_flight = False
        if reply.refused or reply.status in (200, 409):
            # The worker has executed the orders, or has refused them and never will.
            worker.outstanding = None
        if self._take_answer(worker, reply) or not in_doubt:
            return
        if not reply.refused and token in (worker.token, worker.previous_token):
            # Safety point 4: a new token voids the orders before any task they name is freed or placed again.
            self._raise_token(worker)
        worker.direct_backoff_until_us = self.kernel.now_us + DIRECT_BACKOFF_US

    def _take_answer(self, worker: Worker, reply: Reply) -> bool:
        """Process the worker's report if the reply contains one.  Return whether it contained one."""
        report = messages.parse_report(reply.body) if reply.status in (200, 409) else None
        if report is None or report.machine != worker.name:
            return False
        last = worker.report
        if last is None or (report.session, report.tick) > (last.session, last.tick):
            worker.newest = max(worker.newest, (report.session, report.tick))
            self._on_answer(worker, report)
        return True

    def _raise_token(self, worker: Worker) -> None:
        """Claim a worker with a higher token; once the worker knows it, all orders sent before are void."""
        worker.claim(self._next_token(worker.token))

    def _announce_token(self, worker: Worker, job_ids: frozenset[str]) -> Coroutine[None]:
        """Send a worker its current token, and kills of tasks whose jobs are over.

        This is repeated for the same token only while another task of these jobs may start, because a worker that
        does not receive messages would otherwise be sent one after another.
        """
        report, token = worker.report, worker.token
        if worker.token_confirmed or report is None:
            return
        if worker.announced_token == token and not worker.has_unstarted(job_ids):
            return
        worker.announced_token = token
        body = messages.orders_body(token, report.session, self._kills_for_worker(worker, report))
        reply: Reply = yield Call(report.address, "POST", "/orders", body, SETTLE_TIMEOUT_US)
        if worker.token == token:
            self._take_answer(worker, reply)

    def _kills_for_worker(self, worker: Worker, report: Report) -> list[dict[str, Any]]:
        """Return orders that kill tasks of jobs that are over, both reported tasks and those in outstanding orders.

        Any controller that knows that a job is over may give such orders, even if the machine's record does not
        contain that controller's token.
        """
        keys: dict[TaskKey, None] = {key: None for key, seen in report.tasks.items() if seen.state != "ended"}
        if worker.outstanding is not None:
            keys.update(dict.fromkeys(sorted(worker.outstanding.tasks)))
        return self._kills_of_ended_jobs(keys)

    def kills_for(self, report: Report) -> list[dict[str, Any]]:
        """Return orders that kill the tasks in a report whose jobs are over."""
        return self._kills_of_ended_jobs(key for key, seen in report.tasks.items() if seen.state != "ended")

    def _kills_of_ended_jobs(self, keys: Iterable[TaskKey]) -> list[dict[str, Any]]:
        return [messages.kill(key, 0) for key in keys if self.base.cluster_state.is_over(key[0])]

    def wait_until_launches_void(self, cancelled: Iterable[str]) -> Coroutine[list[str]]:
        """Wait until no worker that reports here can start a task of these jobs, for `SETTLE_TIMEOUT_US` at most.

        The kills of these jobs' tasks have been sent by then.  Orders without an answer within `SETTLE_GRACE_US` are
        voided by a higher token, which is announced until it is confirmed.  Returns the machines with allocations of
        these jobs that report here.
        """
        job_ids = frozenset(cancelled)
        names = sorted(set().union(*(self._machines_of(job_id) for job_id in job_ids)))
        claimed = [worker for name in names if (worker := self.workers.get(name)) is not None and worker.token]
        until_us = self.kernel.now_us + SETTLE_TIMEOUT_US
        # These are sent no orders, so their announcements have to contain the kills.
        in_doubt = [worker for worker in claimed if not worker.obeys]
        for _ in range(ANNOUNCEMENT_ROUNDS):
            for worker in in_doubt:
                if worker.obeys:
                    # Safety point 4: outstanding orders must not start a task after the confirmation.
                    self._raise_token(worker)
                self.kernel.spawn(self._announce_token(worker, job_ids))
            round_ends_us = min(self.kernel.now_us + SETTLE_GRACE_US, until_us)
            in_doubt = yield from self._wait_until_none_may_start(claimed, job_ids, round_ends_us)
        yield from self._wait_until_none_may_start(claimed, job_ids, until_us)
        return [worker.name for worker in claimed]

    def void_unclaimed_launches(self, job_id: str, settled: set[str]) -> Coroutine[None]:
        """Void any orders that may still reach the machines of a cancelled job for which no controller has answered.

        The owner of such a machine has ended, is stalled, or has not received a report from it yet.  `settled` are
        the machines for which controllers have answered.  Returns after `VOID_TIMEOUT_US` at most.
        """
        names = sorted(self._machines_of(job_id) - settled)[:MAX_MACHINES_TO_VOID]
        pending, until_us = set(names), self.kernel.now_us + VOID_TIMEOUT_US
        for name in names:
            self.kernel.spawn(self._void_if_unclaimed(name, job_id, pending))
        while pending and self.kernel.now_us < until_us:
            yield Wait(self.worker_updated, until_us - self.kernel.now_us)

    def _machines_of(self, job_id: str) -> set[str]:
        """Return the machines with allocations of a job."""
        return {name for name, _ in self.base.cluster_state.allocations.get(job_id, ())}

    def _void_if_unclaimed(self, name: str, job_id: str, pending: set[str]) -> Coroutine[None]:
        """Void orders to one machine if its worker is not claimed here, and remove the machine from `pending`."""
        worker, machine = self.workers.get(name), self.base.cluster_state.machines.get(name)
        if machine is not None and (worker is None or not worker.token):
            yield from self._void_by_higher_token(machine, job_id)
        pending.discard(name)
        self.kernel.fire(self.worker_updated)

    def _void_by_higher_token(self, machine: Machine, job_id: str) -> Coroutine[None]:
        """Announce a higher token to a machine that does not report here, unless all its tasks of a job have started.

        The controller that it reports to then claims it with a still higher token.
        """
        address = machine.record.address
        # The worker refuses this message because its token is 0.  The refusal contains the worker's session, which
        # the machine's record lacks.
        reply: Reply = yield Call(address, "POST", "/orders", messages.orders_body(0, 0, []), UNOWNED_TIMEOUT_US)
        report = messages.parse_report(reply.body) if reply.status in (200, 409) else None
        if report is None or report.machine != machine.name or all_started(machine, job_id, report):
            return
        # Safety point 4: orders of a previous owner are void once the machine has seen this token.
        token = self._next_token(max(report.token, machine.record.token))
        body = messages.orders_body(token, report.session, self.kills_for(report))
        yield Call(address, "POST", "/orders", body, UNOWNED_TIMEOUT_US)

    def _wait_until_none_may_start(
        self, workers: list[Worker], job_ids: frozenset[str], until_us: int
    ) -> Coroutine[list[Worker]]:
        """Wait until none of these workers can start a task of these jobs, until `until_us` at most.

        Returns the workers that may still do so.
        """
        while True:
            workers = [worker for worker in workers if not worker.obeys or worker.may_start(job_ids)]
            left_us = until_us - self.kernel.now_us
            if not workers or left_us <= 0:
                return workers
            yield Wait(self.worker_updated, left_us)


def all_started(machine: Machine, job_id: str, report: Report) -> bool:
    """Return whether all of a job's tasks that are allocated on a machine have started there, by its report."""
    keys = [
        (allocation.job, allocation.attempt, task)
        for allocation in machine.holds
        if allocation.job == job_id
        for task in allocation.tasks
    ]
    return all(key in report.tasks and report.tasks[key].state != "fetching" for key in keys)


def note_outstanding(worker: Worker, orders: list[dict[str, Any]]) -> bool:
    """Remember which tasks are launched or killed by orders that are now sent to a worker; return whether any are."""
    report = worker.report
    tasks = frozenset(key for order in orders if (key := messages.task_of(order)) is not None)
    if report is None or not tasks:
        return False
    worker.outstanding = OutstandingOrders(worker.token, report.session, tasks)
    return True
