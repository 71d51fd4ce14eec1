"""Sends orders straight to workers, and makes those void that get no answer.

An order without an answer may be executed at any later time, as long as the worker knows no higher token (safety
point 4 in `docs/design.md`).  So a higher token is claimed at once.  The worker learns of it with the answer to its
next report, and before a cancellation is confirmed by a message that launches nothing: a worker that has taken it
executes nothing older.  Until a report shows that it has, nothing of the worker is freed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from ashtray.base import Base
from ashtray.kernel import SECOND_US, Call, Fiber, Reply, Signal, Wait
from ashtray.placement.machine_groups import Machine
from ashtray.workers import messages
from ashtray.workers.messages import Report, TaskKey
from ashtray.workers.worker import OutstandingOrders, Worker

ANSWER_TIMEOUT_US = 1_500_000
"""How long an order waits for its answer."""
DIRECT_BACKOFF_US = 10 * SECOND_US
"""For so long after an order without an answer the next ones go out in answers to reports."""
SETTLE_GRACE_US = 50_000
"""For so long a cancellation waits for answers to what is underway, before that is made void."""
SETTLE_TIMEOUT_US = 250_000
"""A cancellation waits no longer than this until nothing of its job can start here any more."""
UNOWNED_TIMEOUT_US = 100_000
"""How long a machine that does not report here has for each answer."""
VOID_TIMEOUT_US = 250_000
"""A cancellation waits no longer than this for the machines that no controller answers for."""
MAX_MACHINES_TO_VOID = 32
"""So many of them are asked for each cancellation."""


class OrderDelivery:
    """Sends orders to workers, one message to each at a time."""

    def __init__(
        self,
        base: Base,
        workers: dict[str, Worker],
        next_token: Callable[[int], int],
        on_answer: Callable[[Worker, Report], None],
    ) -> None:
        """`next_token` returns a new token above another; `heard` takes the report in an order's answer."""
        self.base = base
        self.kernel = base.kernel
        self.workers = workers
        self._next_token = next_token
        self._on_answer = on_answer
        self.worker_updated = Signal()
        """Fired when something was learnt of a worker."""

    def deliver(self, worker: Worker, orders: list[dict[str, Any]]) -> Fiber[None]:
        """Send orders to a worker and take its answer; without one, make the orders void."""
        report = worker.report
        assert report is not None
        token = worker.token
        if self.kernel.verbose:
            self.kernel.log("debug", f"{worker.name} told {orders}")
        worker.in_flight = bool(orders)
        note_outstanding(worker, orders)
        body = messages.orders_body(token, report.session, orders)
        reply: Reply = yield Call(report.address, "POST", "/orders", body, ANSWER_TIMEOUT_US)
        worker.in_flight = False
        if reply.refused or reply.status in (200, 409):
            # Executed, or never to be.
            worker.outstanding = None
        if self._take_answer(worker, reply):
            return
        if not reply.refused and worker.token == token:
            # Safety point 4: a new token makes them void before anything that they name is freed or placed anew.
            self._raise_token(worker)
        worker.direct_backoff_until_us = self.kernel.now_us + DIRECT_BACKOFF_US

    def _take_answer(self, worker: Worker, reply: Reply) -> bool:
        """Take the worker's report if the reply holds it; says whether it does."""
        report = messages.parse_report(reply.body) if reply.status in (200, 409) else None
        if report is None or report.machine != worker.name:
            return False
        last = worker.report
        if last is None or (report.session, report.tick) > (last.session, last.tick):
            worker.newest = max(worker.newest, (report.session, report.tick))
            self._on_answer(worker, report)
        return True

    def _raise_token(self, worker: Worker) -> None:
        worker.token = self._next_token(worker.token)
        worker.token_confirmed = False

    def _announce_token(self, worker: Worker) -> Fiber[None]:
        """Tell a worker the token that it is claimed with, once: one that hears nothing must not cost a stream."""
        report, token = worker.report, worker.token
        if worker.token_confirmed or report is None or worker.announced_token == token:
            return
        worker.announced_token = token
        body = messages.orders_body(token, report.session, self._kills_for_worker(worker, report))
        reply: Reply = yield Call(report.address, "POST", "/orders", body, SETTLE_TIMEOUT_US)
        if worker.token == token:
            self._take_answer(worker, reply)

    def _kills_for_worker(self, worker: Worker, report: Report) -> list[dict[str, Any]]:
        """Orders that end what is over: whoever knows that may give them, also without the token in the record."""
        keys: dict[TaskKey, None] = {key: None for key, seen in report.tasks.items() if seen.state != "ended"}
        if worker.outstanding is not None:
            keys.update(dict.fromkeys(sorted(worker.outstanding.tasks)))
        return self._kills_of_ended_jobs(keys)

    def kills_for(self, report: Report) -> list[dict[str, Any]]:
        """Orders that end what a report lists of jobs that are over."""
        return self._kills_of_ended_jobs(key for key, seen in report.tasks.items() if seen.state != "ended")

    def _kills_of_ended_jobs(self, keys: Iterable[TaskKey]) -> list[dict[str, Any]]:
        return [messages.kill(key, 0) for key in keys if self.base.cluster_state.is_over(key[0])]

    def settle(self, cancelled: Iterable[str]) -> Fiber[list[str]]:
        """Wait until no worker that reports here can start a task of these jobs, for `SETTLE_US` at most.

        Kills are on their way by then.  What has no answer within `GRACE_US` is made void by a higher token.  Returns
        the machines with places of these jobs that report here.
        """
        job_ids = frozenset(cancelled)
        names = sorted(set().union(*(self._machines_of(job_id) for job_id in job_ids)))
        owned = [worker for name in names if (worker := self.workers.get(name)) is not None and worker.token]
        until_us = self.kernel.now_us + SETTLE_TIMEOUT_US
        yield from self._wait_until_none_may_start(owned, job_ids, self.kernel.now_us + SETTLE_GRACE_US)
        for worker in owned:
            if worker.token_confirmed and worker.may_start(job_ids):
                # Safety point 4: what is underway may still start a task, and must not after the confirmation.
                self._raise_token(worker)
            self.kernel.spawn(self._announce_token(worker))
        yield from self._wait_until_none_may_start(owned, job_ids, until_us)
        return [worker.name for worker in owned]

    def void_elsewhere(self, job_id: str, settled: set[str]) -> Fiber[None]:
        """Make void what may be on its way to a cancelled job's machines that no controller answers for.

        Their owner has ended, stands still, or has not heard them yet.  Returns after `ELSEWHERE_US` at most.
        """
        names = sorted(self._machines_of(job_id) - settled)[:MAX_MACHINES_TO_VOID]
        pending, until_us = set(names), self.kernel.now_us + VOID_TIMEOUT_US
        for name in names:
            self.kernel.spawn(self._void_on_machine(name, job_id, pending))
        while pending and self.kernel.now_us < until_us:
            yield Wait(self.worker_updated, until_us - self.kernel.now_us)

    def _machines_of(self, job_id: str) -> set[str]:
        """The machines that have places of a job."""
        return {name for name, _ in self.base.cluster_state.allocations.get(job_id, ())}

    def _void_on_machine(self, name: str, job_id: str, pending: set[str]) -> Fiber[None]:
        worker, machine = self.workers.get(name), self.base.cluster_state.machines.get(name)
        if machine is not None and (worker is None or not worker.token):
            yield from self._void_unowned(machine, job_id)
        pending.discard(name)
        self.kernel.fire(self.worker_updated)

    def _void_unowned(self, machine: Machine, job_id: str) -> Fiber[None]:
        """Give a machine that does not report here a higher token, unless all of a job's tasks have started there.

        Whoever it reports to claims it anew.
        """
        address = machine.record.address
        # A message that is refused for its token tells the session, which the record does not.
        reply: Reply = yield Call(address, "POST", "/orders", messages.orders_body(0, 0, []), UNOWNED_TIMEOUT_US)
        report = messages.parse_report(reply.body) if reply.status in (200, 409) else None
        if report is None or report.machine != machine.name or all_started(machine, job_id, report):
            return
        # Safety point 4: whatever an owner before has sent is void once the machine has seen this token.
        token = self._next_token(max(report.token, machine.record.token))
        body = messages.orders_body(token, report.session, self.kills_for(report))
        yield Call(address, "POST", "/orders", body, UNOWNED_TIMEOUT_US)

    def _wait_until_none_may_start(
        self, workers: list[Worker], job_ids: frozenset[str], until_us: int
    ) -> Fiber[None]:
        """Wait until none of these workers can start a task of these jobs."""
        while True:
            workers = [worker for worker in workers if not worker.token_confirmed or worker.may_start(job_ids)]
            left_us = until_us - self.kernel.now_us
            if not workers or left_us <= 0:
                return
            yield Wait(self.worker_updated, left_us)


def all_started(machine: Machine, job_id: str, report: Report) -> bool:
    """Whether all of a job's tasks that have a place on a machine have started there, by its report."""
    keys = [
        (allocation.job, allocation.attempt, task)
        for allocation in machine.holds
        if allocation.job == job_id
        for task in allocation.tasks
    ]
    return all(key in report.tasks and report.tasks[key].state != "fetching" for key in keys)


def note_outstanding(worker: Worker, orders: list[dict[str, Any]]) -> None:
    """Remember which tasks the orders name that go out to a worker now."""
    report = worker.report
    tasks = frozenset(key for order in orders if (key := messages.task_of(order)) is not None)
    if report is not None and tasks:
        worker.outstanding = OutstandingOrders(worker.token, report.session, tasks)
