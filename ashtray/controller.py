"""The core of a controller: creates and connects its components, turns inputs into outputs, and routes requests."""

from __future__ import annotations

import random
from collections import Counter
from functools import partial
from typing import Any

import msgspec

from ashtray.base import Base
from ashtray.config.operators import OperatorSettings
from ashtray.config.settings import Settings
from ashtray.estimates.estimate_store import EstimateStore
from ashtray.estimates.operators import answer_operator
from ashtray.fleet.fleet_manager import FleetManager
from ashtray.jobs.job_timing import JobTiming
from ashtray.jobs.model import JOB_ID, NOW, ROOT
from ashtray.jobs.service import JobService
from ashtray.kernel import SECOND_US, Coroutine, Kernel, Output, Reply
from ashtray.peers import announcements
from ashtray.peers.announcements import CancellationNotice, CancellationReceipt
from ashtray.peers.presence import Peers, Presence, heartbeat_interval_us
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.minimum_share import MinimumShare
from ashtray.placement.placer import Placer
from ashtray.placement.plan import Planner
from ashtray.placement.queue_order import StatedTimes
from ashtray.standby.failure_detector import FailureDetector
from ashtray.store.client import StoreClient
from ashtray.store.follower import Follower
from ashtray.store.limits import VALUE_SHARE, Limits
from ashtray.teams.grants import Grants
from ashtray.workers.folding import max_deferred_tasks
from ashtray.workers.renewal import RenewalGuard
from ashtray.workers.splitting import Splitter
from ashtray.workers.worker_manager import WorkerManager

CUT_OFF_US = 5 * SECOND_US
"""A controller that has not read the state service for longer than this counts as cut off from it."""
COUNTERS_INTERVAL_US = 10 * SECOND_US
"""How often the counters are logged."""


class Controller:
    """The deterministic core of one controller.

    Each method that takes an input is given the monotonic time and the time of day in microseconds, and returns the
    outputs: requests to send, responses and log lines.
    """

    def __init__(
        self, settings: Settings, operator_settings: OperatorSettings, rng: random.Random, verbose: bool = False
    ) -> None:
        self.settings = settings
        self.operator_settings = operator_settings
        self.teams = {team.name: team for team in settings.cluster.teams}
        self.kernel = Kernel(rng, verbose)
        self.limits = Limits.of(settings.cluster.state)
        self.cluster_state = ClusterState(
            int(self.limits.final_value_bytes * VALUE_SHARE),
            max_deferred_tasks(self.limits),
            lambda: self.kernel.wall_us,
        )
        hosts = [peer.host_name for peer in settings.others]
        self.grants = Grants(settings.host_name, hosts, settings.cluster.teams, self.cluster_state)
        self._seen_changes = -1
        self.ended = False
        """Whether this controller was told to end and has handed its duties over."""
        self.store = StoreClient(
            self.kernel,
            settings.services.state,
            settings.cluster.state,
            nodes=max(settings.cluster.nodes, 1),
            lower_limits_found=lambda: self._on_state_changed(),
        )
        self.follower = Follower(self.kernel, self.store, ROOT, NOW, self.cluster_state, self._on_state_changed)
        base = Base(
            settings,
            operator_settings,
            self.teams,
            self.kernel,
            self.limits,
            self.cluster_state,
            self.store,
            self.follower,
        )
        job_timing = JobTiming(
            settings.cluster.objectives,
            operator_settings.patience_s,
            lambda job_id: self.cluster_state.jobs.get(job_id),
        )
        times = StatedTimes(settings.cluster.objectives, job_timing)
        planner = Planner(base, times, MinimumShare(self.cluster_state, job_timing))
        self.presence = Presence(base, self.grants, FailureDetector(hosts, heartbeat_interval_us(len(hosts))))
        self.renewal = RenewalGuard(settings.cluster.workers, hosts)
        self.peers = Peers(
            base,
            self.presence,
            lambda: self.worker_manager.heard_us(),
            lambda: self._on_duties_changed(),
            self._on_peer_cancellations,
            lambda cancelled: self.worker_manager.delivery.wait_until_launches_void(cancelled),
            lambda job_id, settled: self.worker_manager.delivery.void_unclaimed_launches(job_id, settled),
        )
        self.worker_manager = WorkerManager(base, self.presence, self.peers, job_timing, self.renewal)
        self.placer = Placer(base, self.presence, self.grants, job_timing, planner, self.worker_manager)
        self.jobs = JobService(base, self.presence, self.peers, planner, job_timing.estimates, self.placer.changed)
        self.fleet_manager = FleetManager(base, self.presence, self.peers, job_timing, planner)
        self.splitter = Splitter(base, self.presence)
        self.estimate_store = EstimateStore(base, self.presence, job_timing.estimates)

    def _on_duties_changed(self) -> None:
        """React to a peer that is newly suspected, or no longer suspected.

        This controller takes over some of the peer's duties, or returns them.
        """
        self.kernel.fire(self.placer.wake_signal)
        self.kernel.fire(self.fleet_manager.wake_signal)

    def _note_cancelled_elsewhere(self, job_ids: list[str]) -> None:
        """Record cancellations that a peer knows and this controller may not have read, and end the jobs' tasks."""
        if self.cluster_state.note_cancelled_elsewhere(job_ids):
            self.worker_manager.reconcile_all(self.cluster_state.take_touched())

    def _on_peer_cancellations(self, host: str, asked_us: int, cancelled: list[str]) -> None:
        """Handle a peer's statement of all cancellations that it knows and this controller had not read."""
        self._note_cancelled_elsewhere(cancelled)
        self.renewal.note_statement(host, asked_us)

    def _on_cancellation_notice(self, request_id: int, body: Any) -> None:
        try:
            notice = msgspec.convert(body, CancellationNotice)
        except msgspec.ValidationError as error:
            self.kernel.answer(request_id, 400, {"error": str(error)[:200]})
            return
        if self.follower.loaded:
            # Before the first full read this is not needed: that read happens later than the cancellation.
            self._note_cancelled_elsewhere(notice.cancelled)
        self.kernel.spawn(self._answer_when_settled(request_id, notice.cancelled))

    def _answer_when_settled(self, request_id: int, cancelled: list[str]) -> Coroutine[None]:
        """Answer a peer's notice once no worker that reports here can start tasks of these jobs, or shortly after."""
        settled = yield from self.worker_manager.delivery.wait_until_launches_void(cancelled)
        self.kernel.answer(request_id, 200, msgspec.to_builtins(CancellationReceipt(settled)))

    def _on_state_changed(self) -> None:
        self.limits.refused = self.store.refused
        if not self.limits.all_upgraded and (
            self.presence.upgraded() or self.cluster_state.compact_seen or self.store.refused
        ):
            self.kernel.log("info", "all controllers run this version: records are written in lean form from now on")
            self.limits.all_upgraded = True
        if self.limits.all_upgraded and self.limits.lower_limits_ahead:
            self.kernel.log("info", "the lower limits apply from now on")
            self.limits.apply_lower_limits()
        self.grants.note_read(self.follower.revision)
        self.estimate_store.load_changed()
        if self.cluster_state.changes != self._seen_changes:
            self._seen_changes = self.cluster_state.changes
            self.placer.changed()
            self.worker_manager.reconcile_all(self.cluster_state.take_touched())
        if self.cluster_state.unconfirmed():
            # The next stage of a pipeline may wait for these records.
            self.follower.start_round_now()

    def _log_counters(self) -> Coroutine[None]:
        """Log, at level debug, what the shared request budgets and the working time were spent on."""
        for what, counts in (("state", self.store.counts), ("placer", self.placer.counts)):
            parts = [f"{name} {number}" for name, number in sorted(counts.items())]
            self.kernel.log("debug", f"counters of {COUNTERS_INTERVAL_US // SECOND_US} s, {what}: {', '.join(parts)}")
            counts.clear()
        cluster_state = self.cluster_state
        waiting = sum(len(tasks) for tasks in cluster_state.waiting().values())
        self.kernel.log(
            "debug",
            f"cluster state: {len(cluster_state.machines)} machines, {len(cluster_state.groups)} groups, "
            f"{len(cluster_state.jobs)} jobs, {waiting} tasks wait, {len(self.worker_manager.workers)} workers here",
        )
        by_class: Counter[str] = Counter()
        for job_id, tasks in cluster_state.waiting().items():
            by_class[cluster_state.jobs[job_id].spec.job_class] += len(tasks)
        self.kernel.log("debug", f"waiting: {', '.join(f'{name} {n}' for name, n in by_class.most_common())}")
        for line in self.grants.status_lines(cluster_state.waiting()):
            self.kernel.log("debug", line)
        totals: dict[str, list[float]] = {}
        for machine in cluster_state.machines.values():
            machine_type = cluster_state.types.get(machine.type)
            if machine_type is not None:
                sums = totals.setdefault(f"{'spot ' if machine.record.spot else ''}{machine_type.name}", [0.0] * 6)
                idle = 0.0 if machine.holds else 1.0
                for n, amount in enumerate(
                    (1.0, idle, machine.cpus, machine_type.cpus, machine.gpus, machine_type.gpus)
                ):
                    sums[n] += amount
        for name, (number, idle, cpus, all_cpus, gpus, all_gpus) in sorted(totals.items()):
            self.kernel.log(
                "debug",
                f"held: {number:.0f} {name}, {idle:.0f} idle, {cpus:.0f} of {all_cpus:.0f} CPUs, "
                f"{gpus:.0f} of {all_gpus:.0f} GPUs",
            )
        return
        yield

    def start(self, now_us: int, wall_us: int) -> list[Output]:
        """Start all coroutines; must be called once, before any other input."""
        kernel = self.kernel
        kernel.advance(now_us, wall_us)
        for bucket in (self.store.requests.bucket, self.store.writes.bucket, self.fleet_manager.cloud.bucket):
            bucket.at_us = kernel.now_us
        kernel.spawn_repeating(self.follower.run, 0)
        kernel.spawn_repeating(self.presence.run, 0)
        kernel.spawn_repeating(self.placer.run, 0)
        for peer in self.peers.peers.values():
            kernel.spawn_repeating(partial(self.peers.run, peer), 0)
        kernel.spawn_repeating(self.peers.budget, SECOND_US)
        kernel.spawn_repeating(self.fleet_manager.round, 0)
        kernel.spawn_repeating(self.worker_manager.folds.run, 0)
        kernel.spawn_repeating(self.worker_manager.adoption.run, 0)
        kernel.spawn_repeating(self.worker_manager.completed_jobs.run, SECOND_US)
        kernel.spawn_repeating(self.splitter.run, 0)
        kernel.spawn_repeating(self.estimate_store.run, 0)
        kernel.spawn_repeating(self.jobs.states.resolve, 0)
        kernel.spawn_repeating(self.jobs.cancellation_handler.end_cancelled_dependents, 0)
        kernel.spawn_repeating(self._log_counters, COUNTERS_INTERVAL_US)
        kernel.spawn_repeating(self.worker_manager.forget_silent_workers, 20 * SECOND_US)
        return kernel.run()

    def wake(self, now_us: int, wall_us: int) -> list[Output]:
        """Handle a timer that is due: advance the time to now."""
        self.kernel.advance(now_us, wall_us)
        return self.kernel.run()

    def stop(self, now_us: int, wall_us: int) -> list[Output]:
        """Begin to hand all duties over, because the process is to end.  `ended` is set when that is done."""
        self.kernel.advance(now_us, wall_us)
        if not self.presence.shutting_down:
            self.kernel.log("info", "told to end: handing its duties over")
            self.kernel.spawn(self._hand_over())
        return self.kernel.run()

    def _hand_over(self) -> Coroutine[None]:
        yield from self.presence.leave()
        self.ended = True

    def reply(self, now_us: int, wall_us: int, call_id: int, reply: Reply) -> list[Output]:
        """Handle the reply to a call that the core has sent."""
        self.kernel.advance(now_us, wall_us)
        self.kernel.reply(call_id, reply)
        return self.kernel.run()

    def request(
        self, now_us: int, wall_us: int, request_id: int, method: str, path: str, body: Any, readable: bool = True
    ) -> list[Output]:
        """Handle a request of a user, a worker or a health check; `readable`: its body is valid MessagePack."""
        self.kernel.advance(now_us, wall_us)
        self._route(request_id, method, path, body, readable)
        return self.kernel.run()

    def peer_request(
        self, now_us: int, wall_us: int, request_id: int, method: str, path: str, body: Any, readable: bool = True
    ) -> list[Output]:
        """Handle a request of another controller."""
        self.kernel.advance(now_us, wall_us)
        if path == "/peer/word" and method == "POST":
            self.peers.on_heartbeat(request_id, body)
        elif path == announcements.PATH and method == "POST":
            self._on_cancellation_notice(request_id, body)
        elif path == "/peer/request" and method == "POST":
            self._on_forwarded(request_id, body if readable else None)
        else:
            self.kernel.answer(request_id, 404, {"error": "no such path"})
        return self.kernel.run()

    def _on_forwarded(self, request_id: int, body: Any) -> None:
        """Answer a user's request that a peer has forwarded."""
        if isinstance(body, dict):
            method, path = str(body.get("method")), str(body.get("path"))
            self._route(request_id, method, path, body.get("body"), True, forwarded=True)
        else:
            # The peer would relay 400 or 404 to a user whose job may be known (safety point 6).
            self.kernel.answer(request_id, 503, {"error": "the forwarded request cannot be read"}, 1)

    def operator_request(
        self, now_us: int, wall_us: int, request_id: int, method: str, path: str, body: Any, readable: bool = True
    ) -> list[Output]:
        """Handle a request of an operator, whose token has been checked already."""
        self.kernel.advance(now_us, wall_us)
        status, answer = answer_operator(self.estimate_store.estimates, method, path, body if readable else None)
        self.kernel.answer(request_id, status, answer)
        return self.kernel.run()

    def _route(
        self, request_id: int, method: str, path: str, body: Any, readable: bool, forwarded: bool = False
    ) -> None:
        kernel = self.kernel
        path = path.partition("?")[0]
        parts = path.strip("/").split("/")
        allowed = "POST"
        if path == "/hello" and not forwarded:
            if method == "POST":
                self.worker_manager.on_report(request_id, body if readable else None)
                return
        elif path == "/up" and not forwarded:
            allowed = "GET"
            if method in ("GET", "HEAD"):
                self._answer_health_check(request_id)
                return
        elif path == "/submissions":
            if method == "POST":
                self.jobs.submit(request_id, body if readable else None, forwarded)
                return
        elif parts[0] == "submissions" and (len(parts) == 2 or parts[2:] in (["abort"], ["explain"])):
            allowed = "POST" if parts[2:] == ["abort"] else "GET"
            if method == allowed:
                if not JOB_ID.fullmatch(parts[1]):
                    kernel.answer(request_id, 400, {"error": "a job id consists of job- and digits"})
                elif parts[2:] == ["abort"]:
                    self.jobs.abort(request_id, parts[1], forwarded)
                elif parts[2:] == ["explain"]:
                    self.jobs.explain(request_id, parts[1], forwarded)
                else:
                    self.jobs.poll(request_id, parts[1], forwarded)
                return
        else:
            kernel.answer(request_id, 404, {"error": "no such path"})
            return
        kernel.answer(request_id, 405, {"error": f"use {allowed}"})

    def _answer_health_check(self, request_id: int) -> None:
        """Answer 200 if this controller can serve users, and 503 otherwise.

        503 means that it has not read the state service yet, has no session, or is shutting down.  It also means that
        it has been cut off from the state service for longer than `CUT_OFF_US` while a peer is better connected or no
        peer can be reached.
        """
        ready = self.follower.loaded or self.follower.read_us > 0
        cut_us = self.kernel.now_us - self.follower.read_us
        if not ready or not self.presence.incarnation:
            self.kernel.answer(request_id, 503, {"error": "starting"}, 1)
        elif self.presence.shutting_down:
            self.kernel.answer(request_id, 503, {"error": "ending"}, 1)
        elif cut_us > CUT_OFF_US and (self.peers.better_connected() is not None or self.peers.isolated(CUT_OFF_US)):
            self.kernel.answer(request_id, 503, {"error": "cut off from the state service"}, 1)
        else:
            self.kernel.answer(request_id, 200, {"status": "up"})
