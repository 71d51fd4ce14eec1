"""The model for tests of coinciding troubles: long tasks, and a record of owners, terms and direct commands."""

from __future__ import annotations

import os
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from ashtray.config.operators import OperatorSettings
from ashtray.kernel import Call, Reply
from tests.fakes.worker import Key
from tests.model import CANCEL_S, REPORT_S, SECOND, Host, Model, RuleBroken, submission

LONG_TASK_S = 600.0
"""How long a task runs that must outlast its test."""
STEP_S = 0.1
"""How often owners, fleet leaders and tasks are recorded."""
FEW_REPORTS_S = 5 * REPORT_S
"""The longest time that a machine may be without an owner where nothing but its controller has failed."""
WIDE = int(os.environ.get("ASHTRAY_MODEL_RUNS", "60")) > 60
"""Whether to run all cases, and not only the few that a check of every change has time for."""


@dataclass
class DeliveredCommand:
    """A direct command that arrived at its machine."""

    at_us: int
    machine: str
    body: dict[str, Any]
    token: int
    """The highest token that the machine had seen before the command."""
    status: int


class Meeting(Model):
    """The model with long tasks, and with a record of owners, fleet leaders, cancellations and direct commands."""

    def __init__(self, seed: int, hosts: int = 3) -> None:
        self.long: set[str] = set()
        """Jobs whose tasks run for LONG_TASK_S."""
        self.last_on_machine_us: dict[str, int] = {}
        """For each cancelled job, when (us) one of its tasks was last on a machine."""
        self.cancelled_at: dict[str, float] = {}
        """For each cancelled job, the CPUs that the limited team used when a user was told of the cancellation."""
        self.sent: list[tuple[str, str, dict[str, Any]]] = []
        """The controller, the machine and the body of each direct command that was sent."""
        self.delivered: list[DeliveredCommand] = []
        self.without_owner: dict[str, int] = {}
        """Since when (us) a machine has had no owner."""
        self.longest_gap_us = 0
        self.owners: dict[str, list[int]] = {}
        """For each machine, its owners one after the other."""
        self.terms: list[tuple[int, int]] = []
        """The fleet leaders one after the other: the controller and its incarnation."""
        self.nodes: list[int] | None = None
        """The controllers that users send requests to; None: all."""
        super().__init__(seed, hosts, OperatorSettings(group_size=2))
        self.cloud.capacity = 40
        self.checks()
        self.watch()

    # Additions to the model

    def _run_us(self, key: Key) -> int:
        return int(LONG_TASK_S * SECOND) if key[0] in self.long else super()._run_us(key)

    def _ask(
        self,
        method: str,
        path: str,
        body: Any,
        timeout_s: float,
        then: Callable[[Reply], None],
        node: int | None = None,
    ) -> None:
        if node is None and self.nodes is not None:
            node = self.rng.choice(self.nodes)
        super()._ask(method, path, body, timeout_s, then, node)

    def _told(self, job_id: str, status: str) -> None:
        super()._told(job_id, status)
        if status == "cancelled":
            self.cancelled_at.setdefault(job_id, self.use())

    def send(self, source: str, call: Call, deliver: Callable[[Reply], None]) -> None:
        """Carry a request, and record direct commands to machines."""
        target = call.address.partition(":")[0]
        if target in self.workers:
            self.sent.append((source, target, call.body))
        super().send(source, call, deliver)

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
        worker = self.workers.get(target)
        if worker is None or target in self.hung:
            super()._arrive(source, target, method, path, body, answer, finish)
            return
        token = worker.token

        def answered(status: int, reply: Any) -> None:
            self.delivered.append(DeliveredCommand(self.now, target, body, token, status))
            answer(status, reply)

        super()._arrive(source, target, method, path, body, answered, finish)

    def watch(self) -> None:
        """Record owners, fleet leaders and the tasks of cancelled jobs, every STEP_S from now on."""
        for job_id, _ in self.on:
            if self.jobs[job_id].cancelled_us is not None:
                self.last_on_machine_us[job_id] = self.now
        for name in self.workers:
            owner = self.owner(name)
            if owner is not None:
                since_us = self.without_owner.pop(name, self.now)
                if self.owners.setdefault(name, [owner])[-1] != owner:
                    self.owners[name].append(owner)
            else:
                since_us = self.without_owner.setdefault(name, self.now)
            self.longest_gap_us = max(self.longest_gap_us, self.now - since_us)
        running = self.runner()
        if running is not None:
            term = running, self.hosts[running].core.presence.incarnation
            if term not in self.terms[-1:]:
                self.terms.append(term)
        self.at(int(STEP_S * SECOND), self.watch)

    # Queries of the present state

    def use(self, team: str = "crew") -> float:
        """The CPUs used by a team's tasks on all machines, reachable or not."""
        tasks = ((job_id, machines) for (job_id, _), machines in self.on.items())
        specs = ((self.jobs[job_id].spec, machines) for job_id, machines in tasks)
        return sum(spec["cpus"] * len(machines) for spec, machines in specs if spec["crew"] == team)

    def owner(self, name: str) -> int | None:
        """The controller that may give orders to a machine: its token is that of the machine and of the group record.

        None if no running, unpaused controller may.
        """
        for host in self.live():
            worker = host.core.desk.workers.get(name)
            machine = host.core.cluster_state.machines.get(name)
            if worker is None or machine is None or worker.token != self.workers[name].token:
                continue
            if host.core.desk._owns(worker, machine) and host.halted_until <= self.now:
                return host.number
        return None

    def runner(self) -> int | None:
        """The fleet leader; None if there is none, or its process is paused."""
        awake = [host for host in self.live() if host.halted_until <= self.now]
        return next((host.number for host in awake if host.core.runner.running), None)

    def live(self) -> list[Host]:
        """The controllers whose processes run."""
        return [host for host in self.hosts if host.core is not None]

    def machines_of(self, job_id: str) -> set[str]:
        """The machines that a job's tasks are on."""
        return self._machines_with(job_id)

    def gone_s(self, job_id: str) -> float:
        """How long (s) after a user was told that a job is cancelled its last task was still on a machine."""
        cancelled_us = self.jobs[job_id].cancelled_us
        assert cancelled_us is not None
        return max(self.last_on_machine_us.get(job_id, 0) - cancelled_us, 0) / SECOND

    # Events

    def begin(self, jobs: Iterable[dict[str, Any]], seconds: float = 25) -> None:
        """Submit jobs with long tasks, each to the next controller, and run until all their tasks are on machines.

        Fails if they are not after `seconds`.
        """
        specs = list(jobs)
        for n, spec in enumerate(specs):
            self.long.add(spec["name_id"])
            self.nodes = [n % len(self.hosts)]
            self.submit(spec)
            self.run(0.1)
        self.nodes = None
        ids = {spec["name_id"] for spec in specs}
        wanted = sum(spec["pieces"] for spec in specs)
        for _ in range(int(seconds / STEP_S)):
            self.run(STEP_S)
            if sum(job_id in ids for job_id, _ in self.on) == wanted:
                break
        assert sum(job_id in ids for job_id, _ in self.on) == wanted, sorted(self.on)
        # Time for each machine to report its tasks to its owner.
        self.run(2 * REPORT_S)

    def cut_off(self, names: Iterable[str], seconds: float, hold: bool = False) -> None:
        """Cut machines off from all controllers, in both directions."""
        for name in names:
            for host in self.hosts:
                self.cut(f"c{host.number}", name, seconds, hold)

    def hang_all(self, names: Iterable[str], seconds: float) -> None:
        """Let machines hang for that many seconds."""
        for name in names:
            self.hang(name, seconds)

    def alone(self, number: int, seconds: float) -> None:
        """Cut a controller off from the state service and all other controllers."""
        for target in ("state", *(f"c{host.number}" for host in self.hosts if host.number != number)):
            self.cut(f"c{number}", target, seconds, False)

    def hand_over(self, number: int, back_s: float) -> None:
        """Let a controller hand over its duties, end after 0.5 s, and start again later."""
        host = self.hosts[number]
        if host.core is not None:
            self.carry_out(host, host.core.stop(*self.clock(host)))
            life = host.life
            self.at(SECOND // 2, lambda: self.crash(number, back_s) if host.life == life else None)

    def change(self, how: str, number: int, seconds: float) -> None:
        """Make other controllers take over the duties of one, in the given way."""
        if how == "crash":
            self.crash(number, seconds)
        elif how == "hand over":
            self.hand_over(number, seconds)
        elif how == "refused":
            self.hosts[number].refused_until = self.now + int(seconds * SECOND)
        elif how == "halt":
            self.hosts[number].halted_until = self.now + int(seconds * SECOND)
        elif how == "alone":
            self.alone(number, seconds)
        else:
            raise ValueError(how)

    def check(self) -> None:
        """Check the rules, and that the tasks of cancelled jobs have left machines that hang in time as well."""
        super().check()
        for (job_id, number), machines in self.on.items():
            cancelled_us = self.jobs[job_id].cancelled_us
            if cancelled_us is not None and self.now - cancelled_us > CANCEL_S * SECOND:
                raise RuleBroken(f"ran_cancelled: {job_id}/{number} is on {sorted(machines)}")


def batch(number: int, **over: Any) -> dict[str, Any]:
    """A submission of independent long tasks of a team without a limit; `over` replaces or adds fields."""
    return submission(
        f"job-{number}", **{"pieces": 4, "hulls": ["small"], "crew": "free", "expect_s": LONG_TASK_S, **over}
    )


def some(few: Sequence[Any], more: Sequence[Any]) -> list[Any]:
    """The values of a test's parameter: `few` in every run, and also `more` in wide runs."""
    return [*few, *(more if WIDE else ())]


def busiest(model: Meeting) -> int:
    """The controller that owns the most machines."""
    owners = [model.owner(name) for name in sorted(model.workers)]
    return max(range(len(model.hosts)), key=owners.count)
