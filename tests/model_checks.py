"""The rules that the model checks at each start of a task and as time passes."""

from __future__ import annotations

import random
from typing import Any

from tests.fakes.worker import Key
from tests.model_basis import CANCEL_S, SECOND, TEAM, LateStart, RuleBroken


class Checks:
    """The part of the model that tracks which machines each task is on and checks whether it may be there."""

    def _run_us(self, key: Key) -> int:
        """How long a task runs (us): random, but the same in each attempt and for each seed."""
        return int(random.Random(f"{key[0]}/{key[2]}").uniform(2.0, 10.0) * SECOND)

    def _started(self, machine: str, key: Key) -> None:
        """A task starts on a machine: check the rules that a start can break."""
        job_id, attempt, number = key
        self.starts += 1
        self.job_starts[job_id] = self.job_starts.get(job_id, 0) + 1
        job = self.jobs[job_id]
        for dependency in job.spec.get("waits_on") or ():
            if len(self.jobs[dependency].finished) < self.jobs[dependency].spec["pieces"]:
                raise RuleBroken(f"too_early: {job_id}/{number} before {dependency} is done")
        worker = self.workers[machine]
        spec = job.spec
        where = self.on.setdefault((job_id, number), {})
        if where:
            raise RuleBroken(f"ran_twice: {job_id}/{number} on {machine} and {sorted(where)} at {self.now / SECOND}")
        where[machine] = key
        if job.cancelled_us is not None and self.now - job.cancelled_us > CANCEL_S * SECOND:
            raise RuleBroken(f"ran_cancelled: {job_id}/{number} started")
        if job.cancelled_us is not None:
            way = self._describe_launch_order(machine, key, job.cancelled_us)
            self.late_starts.append(LateStart(job_id, number, machine, self.now - job.cancelled_us, way))
        if spec["hulls"] and worker.type not in spec["hulls"]:
            raise RuleBroken("wrong_place: type")
        if spec["yard"] not in (None, worker.zone) or (worker.spot and not spec["loaners"]):
            raise RuleBroken("wrong_place: zone or spot machine")
        zones = [self.cloud.machines[m].zone for (j, _), ms in self.on.items() if j == job_id for m in ms]
        if spec["same_place"] and len(set(zones)) > 1:
            raise RuleBroken(f"wrong_place: {job_id} in {set(zones)}")
        if spec["spread"] and max(zones.count(z) for z in zones) > (spec["pieces"] + 1) // 2:
            raise RuleBroken(f"wrong_place: {job_id} not spread")
        used = sum(
            len(ms) * self.jobs[j].spec["cpus"]
            for (j, _), ms in self.on.items()
            if self.jobs[j].spec["crew"] == "crew"
        )
        if used > TEAM["cpus_max"] + 1e-6:
            raise RuleBroken(f"quota: {used}")
        if spec["shape"] == "gang":
            gang = self.gangs.setdefault((job_id, attempt), {"at": {}, "ran": False, "over": None})
            gang["at"][number] = machine

    def _record_launch_orders(self, machine: str, how: str, body: Any) -> None:
        """Record when each start order in a message was first sent to the machine, and how."""
        for order in body.get("orders", ()) if isinstance(body, dict) else ():
            if order["verb"] == "launch":
                job_id, _, number = order["piece"].partition("/")
                self.launch_orders_sent.setdefault((machine, (job_id, order["try"], int(number))), (how, self.now))

    def _describe_launch_order(self, machine: str, key: Key, cancelled_us: int) -> str:
        """How a task's start order was sent, and whether it was sent and executed before the cancellation.

        `cancelled_us`: when a user was first told of the cancellation.
        """
        how, sent_us = self.launch_orders_sent.get((machine, key), ("unknown", 0))
        sent = "after" if sent_us > cancelled_us else "before"
        arrived = "after" if self.workers[machine].tasks[key].launched_us > cancelled_us else "before"
        return f"by {how}, sent {sent} and executed {arrived} the confirmation"

    def _left(self, machine: str, key: Key) -> None:
        """A task has left a machine: record whether it, or its whole gang, completed."""
        job_id, attempt, number = key
        where = self.on.get((job_id, number), {})
        where.pop(machine, None)
        if not where:
            self.on.pop((job_id, number), None)
        worker = self.workers.get(machine)
        task = worker.tasks.get(key) if worker is not None else None
        job = self.jobs[job_id]
        gang = self.gangs.get((job_id, attempt))
        if gang is not None:
            gang["at"].pop(number, None)
            if gang["ran"] and gang["over"] is None:
                finished = task is not None and task.state == "running" and self.now >= task.end_us
                finished = finished and job_id not in self.mistaken
                if finished:
                    gang["over"] = "done"
                    job.finished = set(range(job.spec["pieces"]))
                    self._job_ended(job_id)
                else:
                    gang["over"] = "mates_gone"
        elif (
            task is not None
            and task.state == "running"
            and self.now >= task.end_us
            and not (worker.fails or job_id in self.mistaken)
        ):
            ended = len(job.finished) == job.spec["pieces"]
            job.finished.add(number)
            if len(job.finished) == job.spec["pieces"] and not ended:
                self._job_ended(job_id)

    def _gang_ready(self, job: str, attempt: int) -> bool:
        gang = self.gangs.get((job, attempt))
        if gang is None or gang["over"] is not None:
            return False
        if len(gang["at"]) == self.jobs[job].spec["pieces"]:
            gang["ran"] = True
        return bool(gang["ran"])

    def _gang_ended(self, job: str, attempt: int) -> str | None:
        gang = self.gangs.get((job, attempt))
        return None if gang is None else gang["over"]

    def check(self) -> None:
        """Check the rules that can be broken by the passing of time alone."""
        for job_id in sorted({job_id for job_id, _ in self.on}):
            self.check_cancelled(job_id)

    def check_cancelled(self, job_id: str) -> None:
        """Check that no task of a cancelled job is on a machine after the time limit of a cancellation.

        Tasks on hung machines don't count: nobody can end them where the cloud can't delete the machine either.
        """
        cancelled = self.jobs[job_id].cancelled_us
        if cancelled is None or self.now - cancelled <= CANCEL_S * SECOND:
            return
        for name in sorted(self._machines_with(job_id) - self.hung):
            # A machine's own time goes on between two steps of the model: its lease may have expired by now.
            if name in self.workers:
                self.workers[name].advance(self.now)
        there = self._machines_with(job_id) - self.hung
        if there:
            late_ms = (self.now - cancelled - CANCEL_S * SECOND) / 1000
            raise RuleBroken(f"ran_cancelled: {job_id} is on {sorted(there)} {late_ms} ms after its time limit")

    def _machines_with(self, job_id: str) -> set[str]:
        return {name for (job, _), machines in self.on.items() if job == job_id for name in machines}

    def check_woken(self, name: str) -> None:
        """Check that a machine that hung doesn't resume tasks whose cancellation has passed its time limit."""
        for (job_id, number), machines in self.on.items():
            cancelled = self.jobs[job_id].cancelled_us
            if name in machines and cancelled is not None and self.now - cancelled > CANCEL_S * SECOND:
                raise RuleBroken(f"ran_cancelled: {job_id}/{number} goes on after {name} hung")

    def checks(self) -> None:
        """Check now, and twice a second from now on."""
        self.check()
        self.at(SECOND // 2, self.checks)
