"""The desk where workers report: who owns them, what they are told and what is learnt from them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from ashtray.jobs.model import Job
from ashtray.kernel import SECOND_US, Call, Fiber, Reply, Signal, Sleep
from ashtray.placement.picture import Group, Machine
from ashtray.store.client import Txn, Urgency
from ashtray.workers import messages
from ashtray.workers.folding import Evidence, adoption, build_fold, hold_is_dead
from ashtray.workers.messages import Report, TaskKey, parse_report

if TYPE_CHECKING:
    from ashtray.controller import Controller

TOKEN_SHIFT = 40
FOLD_US = 150_000
DIRECT_US = 1_500_000
STICK_US = 30 * SECOND_US
FRESH_US = 3 * SECOND_US
MAX_ORDERS = 400


@dataclass
class Worker:
    """What this controller knows of a worker at first hand."""

    name: str
    token: int = 0
    """The token that this controller claims the worker with; 0: it does not."""
    exact: bool = False
    report: Report | None = None
    heard_us: int = 0
    sent_away_us: int = -(10**15)
    sticks_until_us: int = 0
    tending: bool = False
    again: bool = False
    in_flight: bool = False
    """Orders sent directly have no answer yet."""
    direct_bad_until_us: int = 0
    answered: tuple[int, int] | None = None
    """Orders went out in the answer to this report: nothing is told directly until a later report."""
    notice_until_us: int | None = None


class Desk:
    def __init__(self, ctl: Controller) -> None:
        self.ctl = ctl
        self.kernel = ctl.kernel
        self.workers: dict[str, Worker] = {}
        self._counter = 0
        self._fold_kick = Signal()
        self._dirty: set[str] = set()
        self._lines: list[str] = []
        self._paces: list[tuple[Job, int]] = []
        self._failures = 0
        self._adopting: set[str] = set()

    # Reports

    def renewing(self) -> bool:
        """Whether leases may be renewed: see `docs/design.md`, cancellation.

        A cancellation that this controller has not read of was accepted after its last good read began.  If no
        lease is renewed later than cancel_s - lease_s after that, all tasks of its workers end in time.
        """
        times = self.ctl.settings.cluster.workers
        margin = 1.0 + 0.002 * times.cancel_s
        limit_us = int(max(times.cancel_s - times.lease_s - margin, 0.5) * SECOND_US)
        return self.kernel.now_us - self.ctl.follower.read_us <= limit_us

    def on_report(self, request_id: int, body: Any) -> None:
        report = parse_report(body)
        if report is None:
            self.kernel.answer(request_id, 400, {"error": "malformed report"})
            return
        if not self.ctl.follower.loaded or not self.ctl.presence.incarnation:
            self.kernel.answer(request_id, 503, {"error": "not ready"}, 1)
            return
        worker = self.workers.get(report.machine)
        if worker is None:
            worker = self.workers[report.machine] = Worker(report.machine)
        last = worker.report
        if last is not None and (report.session, report.tick) <= (last.session, last.tick):
            # A report that was held back on its way: its sender gave it up long ago.
            self.kernel.answer(request_id, 503, {"error": "old report"})
            return
        foreman = self._foreman(worker)
        if foreman is not None:
            worker.sent_away_us = self.kernel.now_us
            worker.token, worker.exact = 0, False
            worker.report = None
            self.kernel.answer(request_id, 421, {"foreman": foreman})
            return
        if not self.renewing():
            self.kernel.answer(request_id, 503, {"error": "cut off from the state service"})
            return
        self._learn(worker, report)
        worker.heard_us = self.kernel.now_us
        # An answer that renews the lease also ends what is known to be over, whoever owns the worker: found by the
        # model test, a new owner that could not sign the record kept a cancelled job's tasks alive.
        orders = [
            messages.kill(key, 0)
            for key, seen in report.tasks.items()
            if seen.state != "ended" and self.ctl.picture.is_over(key[0])
        ]
        if self.kernel.now_us < worker.direct_bad_until_us and not worker.tending:
            machine = self.ctl.picture.machines.get(worker.name)
            if machine is not None and self._owns(worker, machine):
                orders = self._orders(worker, machine)
                if orders:
                    worker.answered = (report.session, report.tick)
        self.kernel.answer(request_id, 200, messages.report_answer(worker.token, orders))
        self.tend(worker)

    def _foreman(self, worker: Worker) -> str | None:
        """Another controller that this worker had better report to; a hint, never relied on."""
        now = self.kernel.now_us
        if now < worker.sticks_until_us:
            return self.ctl.presence.better_connected()
        machine = self.ctl.picture.machines.get(worker.name)
        foreman = self.ctl.presence.foreman(machine.group if machine is not None else worker.name)
        if foreman == self.ctl.settings.host_name:
            return self.ctl.presence.better_connected()
        if SECOND_US // 2 < now - worker.sent_away_us < 20 * SECOND_US:
            # It was sent there a moment ago and is back: it cannot reach that controller.
            worker.sticks_until_us = now + STICK_US
            return None
        return foreman

    def _learn(self, worker: Worker, report: Report) -> None:
        worker.report = report
        if report.token >= 1 << 64:
            return
        if worker.token == 0 or report.token > worker.token:
            worker.token = self._next_token(max(report.token, worker.token))
            worker.exact = False
        else:
            worker.exact = report.token == worker.token
        if worker.answered is not None and (report.session, report.tick) > worker.answered:
            worker.answered = None
        if report.notice_us is not None and worker.notice_until_us is None:
            worker.notice_until_us = self.kernel.now_us + report.notice_us
            self.kernel.log("info", f"{worker.name} goes in {report.notice_us / SECOND_US:.0f} s")

    def _next_token(self, above: int) -> int:
        # The low digits are this process's own and its counter only rises, so no token is given out twice,
        # not even when a report that was held back shows one from before.
        self._counter = max(self._counter, above >> TOKEN_SHIFT) + 1
        return self._counter << TOKEN_SHIFT | self.ctl.presence.incarnation

    # Tending: fold what is learnt, tell what is to do

    def tend(self, worker: Worker) -> None:
        worker.again = True
        if not worker.tending:
            self.kernel.spawn(self._tend(worker))

    def tend_all(self) -> None:
        """The picture has changed: see to the workers whose part of it is not as reported."""
        for worker in self.workers.values():
            if worker.token and worker.report is not None and not worker.tending:
                machine = self.ctl.picture.machines.get(worker.name)
                if machine is not None and self._wants(worker, machine):
                    self.tend(worker)

    def _wants(self, worker: Worker, machine: Machine) -> bool:
        return self._owns(worker, machine) and bool(self._orders(worker, machine, peek=True))

    def _owns(self, worker: Worker, machine: Machine) -> bool:
        return worker.exact and machine.record.token == worker.token

    def _tend(self, worker: Worker) -> Fiber[None]:
        if worker.tending:
            return
        worker.tending = True
        try:
            yield from self._tend_once(worker)
        finally:
            worker.tending = False

    def _tend_once(self, worker: Worker) -> Fiber[None]:
        calls = 0
        while worker.again and worker.token and worker.report is not None and calls < 4:
            worker.again = False
            if self.kernel.now_us - worker.heard_us > int(self.ctl.settings.cluster.workers.lease_s * SECOND_US):
                break
            direct = self.kernel.now_us >= worker.direct_bad_until_us and worker.answered is None
            if not worker.exact:
                if direct:
                    calls += 1
                    yield from self._direct(worker, [])
                continue
            machine = self.ctl.picture.machines.get(worker.name)
            if machine is None:
                if worker.name not in self._adopting:
                    self._adopting.add(worker.name)
                    try:
                        yield from self._adopt(worker)
                    finally:
                        self._adopting.discard(worker.name)
                continue
            self.fold_soon(machine.group)
            if not self._owns(worker, machine):
                continue
            orders = self._orders(worker, machine)
            if orders and direct:
                calls += 1
                yield from self._direct(worker, orders)

    def _orders(self, worker: Worker, machine: Machine, peek: bool = False) -> list[dict[str, Any]]:
        """The orders that bring a worker in line with the record of its machine."""
        report = worker.report
        assert report is not None
        picture = self.ctl.picture
        kills: list[dict[str, Any]] = []
        launches: list[dict[str, Any]] = []
        held: set[TaskKey] = set()
        fresh = self.kernel.now_us - self.ctl.follower.read_us < FRESH_US
        for hold in machine.holds:
            dead = hold_is_dead(picture, hold.job, hold.attempt, hold.record.stop_us)
            over = hold.job not in picture.jobs
            for task in hold.tasks:
                key = (hold.job, hold.attempt, task)
                held.add(key)
                seen = report.tasks.get(key)
                if seen is None:
                    if not dead and fresh:
                        launches.append(messages.launch(key))
                elif dead and seen.state in ("fetching", "waiting", "running"):
                    grace = 0 if over or hold.record.stop_us < 0 else hold.record.stop_us
                    kills.append(messages.kill(key, grace))
                elif over and seen.state == "saving":
                    kills.append(messages.kill(key, 0))
        for key, seen in report.tasks.items():
            if key not in held:
                # Freed before: an ended task may be forgotten now, and anything else has no right to be there.
                kills.append(messages.clear(key) if seen.state == "ended" else messages.kill(key, 0))
        return (kills + launches)[:MAX_ORDERS]

    def _direct(self, worker: Worker, orders: list[dict[str, Any]]) -> Fiber[None]:
        report = worker.report
        assert report is not None
        token = worker.token
        body = messages.orders_body(token, report.session, orders)
        if self.kernel.verbose:
            self.kernel.log("debug", f"{worker.name} told {orders}")
        worker.in_flight = bool(orders)
        reply: Reply = yield Call(report.address, "POST", "/orders", body, DIRECT_US)
        worker.in_flight = False
        heard = parse_report(reply.body) if reply.status in (200, 409) else None
        if heard is not None and heard.machine == worker.name:
            last = worker.report
            if last is None or (heard.session, heard.tick) > (last.session, last.tick):
                self._learn(worker, heard)
                worker.again = True
            return
        if not reply.refused and worker.token == token:
            # The orders may still be executed, at any time: a new token makes them void before anything
            # that they name is freed, cleared or placed anew.
            worker.token = self._next_token(worker.token)
            worker.exact = False
        worker.direct_bad_until_us = self.kernel.now_us + 10 * SECOND_US

    def _adopt(self, worker: Worker) -> Fiber[None]:
        yield from self.ctl.follower.barrier()
        if worker.name in self.ctl.picture.machines or worker.report is None:
            worker.again = True
            return
        report = worker.report

        def build() -> Txn | None:
            if worker.name in self.ctl.picture.machines:
                return None
            return adoption(self.ctl.picture, report, worker.token, self.ctl.knobs.group_size)

        if (yield from self.ctl.follower.commit(build, 2, Urgency.FREE)):
            self.kernel.log("info", f"{worker.name} ({report.type}, {report.zone}) is up")
            worker.again = True
            self.ctl.peers.hint()
        else:
            yield Sleep(int(self.kernel.rng.uniform(0.02, 0.2) * SECOND_US))

    # Folding

    def fold_soon(self, group: str) -> None:
        self._dirty.add(group)
        self.kernel.fire(self._fold_kick)

    def _evidence(self, group: Group) -> dict[str, Evidence]:
        evidence = {}
        for name in group.machines:
            worker = self.workers.get(name)
            if worker is not None and worker.token and worker.report is not None and worker.exact:
                # While orders are on their way, what is not listed may be about to start.
                busy = worker.in_flight or worker.answered is not None
                evidence[name] = Evidence(worker.report, worker.token, not busy)
        return evidence

    def _fold(self) -> Txn | None:
        groups = [g for key in sorted(self._dirty) if (g := self.ctl.picture.groups.get(key)) is not None]
        evidence: dict[str, Evidence] = {}
        for group in groups:
            evidence |= self._evidence(group)
        limits = self.ctl.settings.cluster.state
        fold = build_fold(self.kernel, self.ctl.picture, groups, evidence, limits.txn_ops)
        if fold is None:
            return None
        txn, self._lines, self._paces = fold
        return txn

    def fold(self) -> Fiber[None]:
        """Wait until there is something to fold, and fold it."""
        if not self._dirty:
            yield self._fold_kick
        yield Sleep(FOLD_US)
        changes = min(len(self._dirty) + 1, self.ctl.settings.cluster.state.txn_ops)
        good = yield from self.ctl.follower.commit(self._fold, changes, Urgency.FREE)
        if good is None:
            self._dirty.clear()
            self._failures = 0
        elif good:
            self._failures = 0
            for line in self._lines:
                self.kernel.log("info", line)
            for job, placed_us in self._paces:
                self.ctl.pace.learn(job, placed_us, self.kernel.wall_us)
            self.tend_all()
            self.ctl.peers.hint()
        else:
            self._failures = min(self._failures + 1, 5)
            yield Sleep(int(self.kernel.rng.uniform(0.0, 0.03) * 2**self._failures * SECOND_US))
            yield from self.ctl.follower.barrier()

    def heard(self) -> dict[str, int]:
        """The age of the last report of each worker that reports here."""
        now = self.kernel.now_us
        limit = 60 * SECOND_US
        return {w.name: now - w.heard_us for w in self.workers.values() if w.heard_us and now - w.heard_us < limit}

    def sweep(self) -> Fiber[None]:
        """Forget workers that have long been silent."""
        limit = 120 * SECOND_US
        for name in [w.name for w in self.workers.values() if self.kernel.now_us - w.heard_us > limit]:
            if not self.workers[name].tending:
                del self.workers[name]
        return
        yield


