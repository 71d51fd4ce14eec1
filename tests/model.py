"""The model: the cores of several controllers run in memory among simulated services, and every rule is checked.

The state service, the cloud, the workers and the users are simulated; the controllers run the real sources.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec

from ashtray.config.operators import OperatorSettings
from ashtray.controller import Controller
from ashtray.inbox import NO_TIMEOUT_US, Inbox, Rank, rank_of, rank_of_reply
from ashtray.kernel import Answer, Call, Output, Reply
from tests.fakes.cloud import Cloud, Rented
from tests.fakes.state import State
from tests.fakes.worker import Key, Worker
from tests.fakes.worker import World as WorkerWorld
from tests.model_basis import (
    CANCEL_S,
    GANG_PEER_S,
    GANG_WAIT_S,
    LEASE_S,
    REPORT_S,
    SECOND,
    TEAM,
    TYPES,
    Host,
    LateStart,
    Next,
    RuleBroken,
    UserJob,
    settings_for,
    submission,
)
from tests.model_checks import Checks
from tests.model_neglect import Neglect
from tests.model_troubles import Troubles
from tests.model_users import Users

__all__ = [
    "CANCEL_S",
    "GANG_PEER_S",
    "GANG_WAIT_S",
    "LEASE_S",
    "REPORT_S",
    "SECOND",
    "TEAM",
    "TYPES",
    "Host",
    "LateStart",
    "Model",
    "RuleBroken",
    "UserJob",
    "settings_for",
    "submission",
]

MILLION = 10**6


class Model(Users, Checks, Neglect, Troubles):
    """A small deployment, simulated event by event.  All random choices come from one seed."""

    def __init__(
        self,
        seed: int,
        hosts: int = 3,
        operator_settings: OperatorSettings | None = None,
        following: Next | None = None,
        before: Any = None,
    ) -> None:
        """Begin with all controllers started.

        `following`: the limits of the state service that were announced for later; `before`: the package of the
        previous version, which all controllers run at first.
        """
        self.operator_settings = operator_settings or OperatorSettings()
        self.following = following
        self.before = before
        self.rng = random.Random(seed)
        self.now = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._seq = itertools.count()
        self._requests = itertools.count(1)
        self.waiting: dict[int, Callable[[int, Any], None]] = {}
        """For each request that a controller has not answered yet, the callback for the answer."""
        self.state = State(txn_ops=12)
        self.cloud = Cloud(TYPES, boot=self._boot, on_delete=self._machine_ends, lag_us=2 * SECOND)
        self.workers: dict[str, Worker] = {}
        self.hung: set[str] = set()
        self.jobs: dict[str, UserJob] = {}
        self.on: dict[tuple[str, int], dict[str, Key]] = {}
        """For each task that is on a machine, the machines and the task's key there."""
        self.gangs: dict[tuple[str, int], dict[str, Any]] = {}
        """For each attempt of a gang, the machines of its tasks, whether it ran, and why it is over, if it is."""
        self.cuts: dict[frozenset[str], tuple[int, bool]] = {}
        """For each pair of hosts that is cut: until when (us), and whether messages are held rather than lost."""
        self.held_orders: dict[str, int] = {}
        """For each machine, until when (us) direct commands to it are delayed."""
        self.far: dict[int, tuple[int, int]] = {}
        """Controllers far from the state service: until when (us), and the added delay of a message to it (us)."""
        self.deaf: dict[str, tuple[int, bool]] = {}
        """Machines whose reports arrive, while answers and commands don't reach them: until when (us), and whether
        these are delayed until then (True) or lost (False)."""
        self.copies_until = 0
        """Until when (us) reports are duplicated, and the copies arrive late at any controller."""
        self.roaming_until = self.all_place_until = 0
        """Until when (us) workers report to random controllers, and until when every controller places all jobs."""
        self.starts = 0
        self.allowed_refusals = 0
        """How many transactions the state service may refuse as too large without breaking a rule."""
        self.asked_us = 0
        """When (us) the request was sent whose answer is being checked."""
        self.late_starts: list[LateStart] = []
        self.launch_orders_sent: dict[tuple[str, Key], tuple[str, int]] = {}
        """For each start order to a machine, how and when (us) it was first sent."""
        self.late_share = 0.0
        """The share of messages that are delayed by 0.5 to 6 s."""
        self.boot_fail = False
        """Whether half of the new machines never boot."""
        self.boot_factor = 1.0
        """By how much boots take longer than usual."""
        self.mistaken: set[str] = set()
        """Jobs that fail on every machine, because their users submitted them with a mistake."""
        self.state_requests = 0
        self.refusals: dict[str, str] = {}
        """For each job whose submission was refused, the error."""
        self.drift_ppm = 0
        """By how much the monotonic clocks of machines and controllers may be fast or slow (ppm)."""
        self._begin_users()
        self._begin_neglect()
        self._begin_troubles()
        self.hosts = [Host(n, time_of_day_offset_us=n * 50_000, old=before is not None) for n in range(hosts)]
        for host in self.hosts:
            self.start_host(host)

    # Time

    def at(self, delay_us: int, event: Callable[[], None]) -> None:
        """Schedule an event after a delay (us)."""
        heapq.heappush(self._events, (self.now + max(delay_us, 0), next(self._seq), event))

    def run(self, seconds: float) -> None:
        """Advance the simulated time by that many seconds and carry out the events that fall due."""
        end = self.now + int(seconds * SECOND)
        while self._events and self._events[0][0] <= end:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = end

    # Controllers

    def start_host(self, host: Host) -> None:
        """Start a controller's process."""
        host.life += 1
        rng = random.Random(self.rng.random())
        if host.old:
            settings = settings_for(host.number, len(self.hosts), self.following, self.before.Settings)
            host.core = self.before.Controller(settings, self.before.Knobs(**self._operator_settings_given()), rng)
            # The version in production has the former names of these components.
            host.core.worker_manager, host.core.fleet_manager = host.core.desk, host.core.runner
        else:
            settings = settings_for(host.number, len(self.hosts), self.following)
            host.core = Controller(settings, self.operator_settings, rng)
        core = host.core
        core.kernel.strict = True
        # Where a worker is redirected to and which controller places a job are hints: no rule may depend on them.
        redirect_name = "_foreman" if host.old else "_redirect_target"
        redirect_target = getattr(core.worker_manager, redirect_name)
        placing = core.placer if host.old else core.presence
        mine = placing.mine

        def redirect(*args: Any) -> Any:
            return None if self.now < self.roaming_until else redirect_target(*args)

        setattr(core.worker_manager, redirect_name, redirect)
        placing.mine = lambda job: self.now < self.all_place_until or mine(job)
        self.carry_out(host, host.core.start(*self.clock(host)))
        self._controller_starts(host)

    def _operator_settings_given(self) -> dict[str, Any]:
        return {"group_size": self.operator_settings.group_size}

    def limits_fall(self) -> None:
        """Put the announced limits into force, without notice.

        Where a controller has been unreachable since its version was replaced, no controller can know that all run
        the new version: then each learns the new limits from its first refused transaction, so one refusal for each
        controller is allowed.
        """
        assert self.following is not None
        keys = (f"ashtray/now/controller/berth-{host.number}" for host in self.hosts)
        known = all(key in self.state.keys and self.state.keys[key][0].get("form") for key in keys)
        self.allowed_refusals = 0 if known or self.before is None else len(self.hosts)
        self.state.value_kb, self.state.txn_ops = self.following

    def clock(self, host: Host) -> tuple[int, int]:
        """A controller's monotonic clock and its time of day (us)."""
        steady_us = self.now + self.now * host.drift_ppm // MILLION
        return steady_us + SECOND, self.now + 10**12 + host.time_of_day_offset_us

    def drift(self, max_ppm: int) -> None:
        """Let all monotonic clocks run fast or slow by up to that much; only before the first event."""
        assert self.now == 0
        self.drift_ppm = max_ppm
        for host in self.hosts:
            host.drift_ppm = self.rng.choice((-max_ppm, 0, max_ppm))

    def crash(self, number: int, back_s: float) -> None:
        """End a controller's process without a signal, and start it again after that many seconds."""
        host = self.hosts[number]
        host.core, host.inbox, host.busy = None, Inbox(), False
        host.life += 1
        life = host.life
        self.at(int(back_s * SECOND), lambda: self.start_host(host) if host.life == life else None)

    def carry_out(self, host: Host, outputs: list[Output]) -> None:
        """Carry out the outputs of a core, and schedule its next timer."""
        core = host.core
        assert core is not None
        for output in outputs:
            # Compared by name, because the previous version has classes of its own.
            kind = type(output).__name__
            if kind == "Send":
                self.send(f"c{host.number}", output.call, self._to_core(host, host.life, output))
            elif kind == "Answer":
                answer = self.waiting.pop(output.request_id, None)
                if answer is not None:
                    answer(output.status, output.body)
        self._send_reports_to_new_leader(host)
        wake = core.kernel.next_wake_us()
        if wake is not None:
            # The first moment at which the controller's own clock shows that time.
            due = -((SECOND - wake) * MILLION // (MILLION + host.drift_ppm))
            if host.timer_us is None or due < host.timer_us or host.timer_us <= self.now:
                host.timer_us = due
                life = host.life
                self.at(due - self.now, lambda: self._wake(host, life, due))

    def _wake(self, host: Host, life: int, due: int) -> None:
        def wake(core: Controller) -> list[Output]:
            if host.timer_us == due:
                host.timer_us = None
            return core.wake(*self.clock(host))

        if host.slow_us and host.life == life and host.halted_until <= self.now:
            host.inbox.wake(self.now, lambda: self._taken(host, life, wake))
            self._drain_soon(host)
        else:
            self._input(host, life, wake)

    def _to_core(self, host: Host, life: int, sent: Any) -> Callable[[Reply], None]:
        rank = rank_of_reply(sent.call)

        def deliver(reply: Reply) -> None:
            self._input(host, life, lambda core: core.reply(*self.clock(host), sent.call_id, reply), rank)

        return deliver

    def _input(
        self,
        host: Host,
        life: int,
        take: Callable[[Controller], list[Output]],
        rank: Rank = Rank.DUTIES,
        patience_us: int = NO_TIMEOUT_US,
        refuse: Callable[[], list[Output]] | None = None,
    ) -> None:
        """Give a core an input: at once, through its inbox where it is slow, or later if its process is paused."""
        if host.core is None or host.life != life:
            return
        if host.halted_until > self.now:
            again = self._input
            self.at(host.halted_until - self.now, lambda: again(host, life, take, rank, patience_us, refuse))
        elif host.slow_us or host.inbox:
            late = host.inbox.put(self.now, rank, lambda: self._taken(host, life, take), refuse, patience_us)
            if late:
                self.carry_out(host, late)
            self._drain_soon(host)
        else:
            self.carry_out(host, self._taken(host, life, take))

    def _drain_soon(self, host: Host) -> None:
        life = host.life
        if not host.busy:
            host.busy = True
            self.at(host.slow_us, lambda: self._drain(host, life))

    def _drain(self, host: Host, life: int) -> None:
        """Let a slow controller take one input from its inbox."""
        if host.core is None or host.life != life:
            return
        delay_name = "behind_us" if host.old else "input_delay_us"
        setattr(host.core.kernel, delay_name, host.inbox.input_delay_us(self.now))
        self.carry_out(host, host.inbox.take(self.now))
        host.busy = False
        if host.inbox:
            self._drain_soon(host)

    def _taken(self, host: Host, life: int, take: Callable[[Controller], list[Output]]) -> list[Output]:
        if host.core is None or host.life != life:
            return []
        outputs = take(host.core)
        if host.halts_us:
            # The outputs were decided before the process paused, but are sent only after the pause.
            host.halted_until, host.halts_us = self.now + host.halts_us, 0
            late = host.halted_until - self.now
            self.at(late, lambda: self.carry_out(host, outputs) if host.life == life and host.core else None)
            return []
        return outputs

    # Network

    def hop(self) -> int:
        """A random delay of a message between two hosts (us)."""
        return int(self.rng.uniform(0.0002, 0.004) * SECOND)

    def cut(self, a: str, b: str, seconds: float, hold: bool) -> None:
        """Cut the connection between two hosts; messages are lost, or delayed until the cut is over with `hold`."""
        self.cuts[frozenset((a, b))] = (self.now + int(seconds * SECOND), hold)

    def _path(self, a: str, b: str) -> int | None:
        """The delay of a message sent now (us); None if the message is lost."""
        delay = self.hop()
        until, hold = self.cuts.get(frozenset((a, b)), (0, False))
        if until > self.now:
            return until - self.now + delay if hold else None
        if b == "state" and self.far.get(int(a[1:]), (0, 0))[0] > self.now:
            delay += self.far[int(a[1:])][1]
        if self.late_share and self.rng.random() < self.late_share:
            return int(self.rng.uniform(0.5, 6.0) * SECOND)
        return delay

    def send(self, source: str, call: Call, deliver: Callable[[Reply], None]) -> None:
        """Carry a request to its host and the answer back; the network may delay or lose either."""
        over = [False]

        def finish(reply: Reply) -> None:
            if not over[0]:
                over[0] = True
                deliver(reply)

        self.at(call.timeout_us, lambda: finish(Reply(0)))
        target = call.address.partition(":")[0]
        if target in self.workers:
            self._record_launch_orders(target, "direct command", call.body)
        there = self._path(source, target.replace("p", "c") if target[0] == "p" else target)
        if there is None:
            return

        if self._loses_request_of(source):
            return
        deaf_until, held = self.deaf.get(target, (0, False))
        if deaf_until > self.now:
            if not held:
                return
            there = max(there, deaf_until - self.now)

        def answered(status: int, body: Any) -> None:
            if source in self.workers:
                self._record_launch_orders(source, "answer to a report", body)
            back = self._path(source, target.replace("p", "c") if target[0] == "p" else target)
            if self.deaf.get(source, (0, False))[0] > self.now:
                # By the time a delayed answer arrives, the worker has timed out or is about to.
                until_us, held = self.deaf[source]
                back = until_us - self.now if held else None
            if back is not None:
                copy = msgspec.msgpack.decode(msgspec.msgpack.encode(body))
                self.at(back, lambda: finish(Reply(status, copy)))

        there = max(there, self.held_orders.get(target, 0) - self.now)
        body = msgspec.msgpack.decode(msgspec.msgpack.encode(call.body))
        if target in self.workers and call.path == "/orders":
            self._copy_command(target, body)
            if self._hold_command(target, there, body):
                return
        self.at(there, lambda: self._arrive(source, target, call.method, call.path, body, answered, finish))

    def _arrive(
        self,
        source: str,
        target: str,
        method: str,
        path: str,
        body: Any,
        answer: Callable[[int, Any], None],
        finish: Callable[[Reply], None],
    ) -> None:
        if target == "state":
            self.state_requests += 1
            self._reach_state(int(source[1:]), method, path, body, answer)
        elif target == "cloud":
            answer(*self.cloud.handle(self.now, method, path, body))
        elif target[0] in "cp":
            host = self.hosts[int(target[1:])]
            if host.core is None:
                finish(Reply(0, refused=True))
                return
            request = next(self._requests)
            self.waiting[request] = answer

            def take(core: Controller) -> list[Output]:
                handle = core.request if target[0] == "c" else core.peer_request
                return handle(*self.clock(host), request, method, path, body)

            rank, patience_us = rank_of(path)
            refusal: list[Output] = [Answer(request, 503, {"error": "behind"}, 1)]
            self._input(host, host.life, take, rank, patience_us, lambda: refusal)
        else:
            worker = self.workers.get(target)
            if worker is None:
                return
            if target in self.hung:
                self.at(SECOND // 2, lambda: self._arrive(source, target, method, path, body, answer, finish))
            else:
                answer(*worker.orders(self.now, body))

    # Workers

    def _boot(self, machine: Rented) -> int:
        if self.boot_fail and self.rng.random() < 0.5:
            return 10**12
        boot = int(self.rng.uniform(3.0, 7.0) * self.boot_factor * SECOND)
        if self._boots_quickly():
            boot = int(self.rng.uniform(0.1, 2.0) * SECOND)
        self.at(boot, lambda: self._worker_starts(machine))
        return boot

    def _worker_starts(self, machine: Rented) -> None:
        if machine.ended_us is not None:
            return
        world = WorkerWorld(
            lambda job: self.jobs[job].spec if job in self.jobs else None,
            self._run_us,
            self._started,
            self._left,
            self._gang_ready,
            self._gang_ended,
            self.mistaken.__contains__,
        )
        name = machine.name
        worker = Worker(
            name,
            machine.type,
            machine.zone,
            machine.spot,
            name,
            self._lease_us(),
            int(GANG_WAIT_S * SECOND),
            world,
            renewed_us=self.now,
        )
        self.workers[name] = worker
        self._advance_loop(worker)
        self._report_loop(worker, self.rng.randrange(len(self.hosts)))

    def _lease_us(self) -> int:
        """The length of a lease by the clock of a machine, which may be fast or slow (us)."""
        drift_ppm = self.rng.choice((-self.drift_ppm, self.drift_ppm)) if self.drift_ppm else 0
        return int(LEASE_S * (MILLION - drift_ppm))

    def _advance_loop(self, worker: Worker) -> None:
        """Advance a worker's time five times a second, unless its machine hangs."""
        if self.workers.get(worker.name) is worker:
            if worker.name not in self.hung:
                worker.advance(self.now)
            self.at(SECOND // 5, lambda: self._advance_loop(worker))

    def _report_loop(self, worker: Worker, node: int) -> None:
        if self.workers.get(worker.name) is not worker:
            return
        if worker.name in self.hung:
            self.at(SECOND // 2, lambda: self._report_loop(worker, node))
            return
        worker.advance(self.now)
        report = worker.report()
        sent = (worker.session, worker.tick)
        sent_us = self.now
        call = Call(f"c{node}:1", "POST", "/hello", report, 4 * SECOND)

        def answered(reply: Reply) -> None:
            if self.workers.get(worker.name) is not worker:
                # Otherwise a machine that has ended completes a task when its last answer arrives.
                return
            if worker.name in self.hung:
                kept = reply if self.now - sent_us < 4 * SECOND else Reply(0)
                self.at(SECOND // 2, lambda: answered(kept))
                return
            pause, following = int(REPORT_S * SECOND * self.rng.uniform(0.75, 1.25)), node
            if reply.status == 200:
                worker.advance(self.now)
                if worker.take_answer(self.now, sent, sent_us, reply.body):
                    pause = SECOND // 2
                    self._send_reports_to_new_owner(worker.name)
            elif reply.status == 421 and reply.body.get("foreman") in {f"berth-{h.number}" for h in self.hosts}:
                following = int(reply.body["foreman"].removeprefix("berth-"))
                pause = int(self.rng.uniform(0, 0.5) * SECOND)
            else:
                following, pause = (node + 1) % len(self.hosts), SECOND
            if self.now < self.roaming_until and self.rng.random() < 0.5:
                following = self.rng.randrange(len(self.hosts))
            self.at(pause, lambda: self._report_loop(worker, following))

        self.send(worker.name, call, answered)
        self._copy_late(worker.name, report)
        if self.now < self.copies_until:
            for _ in range(self.rng.randrange(3)):
                late_us = int(self.rng.uniform(0.2, 2.5 * LEASE_S) * SECOND)
                to = self.rng.randrange(len(self.hosts))
                self.at(late_us, lambda to=to: self.copy_arrives(worker.name, to, report))

    def copy_arrives(self, name: str, number: int, report: dict[str, Any]) -> None:
        """Deliver a copy of a report to a controller; nobody waits for the answer."""
        body = msgspec.msgpack.decode(msgspec.msgpack.encode(report))
        self._arrive(name, f"c{number}", "POST", "/hello", body, lambda *_: None, lambda _: None)

    def bounce(self, name: str, back_s: float) -> None:
        """End a machine with all its tasks; it comes back under the same name, with its session counted from 1."""
        old = self.workers.pop(name, None)
        if old is None:
            return
        for machines in list(self.on.values()):
            if name in machines:
                self._left(name, machines[name])

        def back() -> None:
            if self.cloud.machines[name].ended_us is None:
                new = self.workers[name] = replace(
                    old, session=1, tick=0, token=0, renewed_us=self.now, notice_us=None, tasks={}, cached=set()
                )
                self._advance_loop(new)
                self._report_loop(new, self.rng.randrange(len(self.hosts)))

        self.at(int(back_s * SECOND), back)

    def _machine_ends(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        for task, machines in list(self.on.items()):
            if name in machines:
                self._left(name, machines[name])
                assert task not in self.on or name not in self.on[task]
        del worker

    def wake(self, name: str) -> None:
        """Let a machine that hung go on; it first notices whether its lease has expired."""
        self.hung.discard(name)
        if name in self.workers:
            self.workers[name].advance(self.now)
            self.check_woken(name)

    def lose_machine(self, index: int) -> None:
        """Let the cloud take one of the machines away without notice."""
        alive = sorted(self.workers)
        if alive:
            self.cloud.end(self.now, alive[index % len(alive)], "taken")
