"""The check that no job is left waiting while there is free capacity for it."""

from __future__ import annotations

from dataclasses import dataclass

from tests.fakes.worker import Worker
from tests.model_basis import SECOND, TEAM, TYPES, RuleBroken, UserJob

NEGLECTED_S = 90
"""How long (s) a job may wait while there is free capacity for it, counted only after all injected faults ended."""
SETTLED_S = 10
"""Capacity counts as free only after this many seconds; before that it may already be assigned to another job."""
CAPACITY = {kind["name"]: (kind["cpus"], kind["cards"], kind["memory_gb"]) for kind in TYPES}
"""The CPUs, GPUs and GB of memory of a machine, by machine type."""


@dataclass
class WaitingJob:
    """A job that is waiting although there is free capacity for it."""

    since_us: int
    starts: int
    """How many times tasks of the job had been started by `since_us`.  A new start restarts the wait."""


class Neglect:
    """The part of the model that checks for jobs that wait while there is free capacity for them."""

    def _begin_neglect(self) -> None:
        self._waiting_with_capacity: dict[str, WaitingJob] = {}
        self._capacity_since: dict[tuple[str, str], int] = {}
        """For each waiting job and machine, since when (us) the machine has had capacity for a task of the job."""
        self.job_starts: dict[str, int] = {}

    def _check_neglect(self) -> None:
        """Check all waiting jobs, once a second; raise RuleBroken if one waited too long while capacity was free."""
        waiting = self.waiting_jobs()
        for job_id in [known for known in self._waiting_with_capacity if known not in waiting]:
            del self._waiting_with_capacity[job_id]
        for key in [key for key in self._capacity_since if key[0] not in waiting]:
            del self._capacity_since[key]
        for job_id in sorted(waiting):
            self._check_waiting_job(job_id)
        self.at(SECOND, self._check_neglect)

    def waiting_jobs(self) -> set[str]:
        """Accepted, unfinished jobs that have tasks to start and lack only free capacity."""
        return {job_id for job_id, job in self.jobs.items() if self._is_ready_to_run(job_id, job)}

    def _check_waiting_job(self, job_id: str) -> None:
        starts = self.job_starts.get(job_id, 0)
        machine = self._machine_with_capacity_for(job_id)
        known = self._waiting_with_capacity.get(job_id)
        if machine is None:
            self._waiting_with_capacity.pop(job_id, None)
        elif known is None or known.starts != starts:
            self._waiting_with_capacity[job_id] = WaitingJob(self.now, starts)
        elif self.now - known.since_us > NEGLECTED_S * SECOND:
            raise RuleBroken(f"neglected: {job_id} has waited for {NEGLECTED_S} s with free capacity on {machine}")

    def _is_ready_to_run(self, job_id: str, job: UserJob) -> bool:
        """Whether the job is accepted and unfinished, has tasks to start and lacks only free capacity."""
        if job.accepted_us is None or job.told is not None or job.cancel_asked or job_id in self.mistaken:
            return False
        if len(job.finished) == job.spec["pieces"] or not self._waiting_tasks(job_id):
            return False
        dependencies = [self.jobs[dependency] for dependency in job.spec.get("waits_on") or ()]
        return all(dependency.told == "done" for dependency in dependencies)

    def _waiting_tasks(self, job_id: str) -> set[int]:
        """The tasks that are neither completed nor present on a machine in a state other than `ended`."""
        present_tasks = {
            key[2]
            for worker in self.workers.values()
            for key, task in worker.tasks.items()
            if key[0] == job_id and task.state != "ended"
        }
        job = self.jobs[job_id]
        return set(range(job.spec["pieces"])) - job.finished - present_tasks

    def _machine_with_capacity_for(self, job_id: str) -> str | None:
        """A machine that has had free capacity for the job for SETTLED_S; None if there is none.

        A gang needs capacity for all its waiting tasks; any other job for one task.
        """
        spec = self.jobs[job_id].spec
        tasks = len(self._waiting_tasks(job_id)) if spec["shape"] == "gang" else 1
        if spec["crew"] == TEAM["name"] and self._team_uses() + tasks * spec["cpus"] > TEAM["cpus_max"] + 1e-6:
            return None
        usable_capacity = {}
        for name, worker in sorted(self.workers.items()):
            fit_count = self._tasks_that_fit(worker, job_id)
            if fit_count < 1:
                self._capacity_since.pop((job_id, name), None)
                continue
            since = self._capacity_since.setdefault((job_id, name), self.now)
            if self.now - since >= SETTLED_S * SECOND:
                usable_capacity[name] = fit_count
        for zones in self._allowed_zone_sets(spec):
            total_fit = sum(self._tasks_that_fit_in_zone(zone, usable_capacity, job_id) for zone in zones)
            if total_fit >= tasks:
                return next(name for name in usable_capacity if self.workers[name].zone in zones)
        return None

    def _allowed_zone_sets(self, spec: dict) -> list[tuple[str, ...]]:
        """The alternative sets of zones: all tasks of the job must run within one of them."""
        zones = sorted({worker.zone for worker in self.workers.values()})
        return [(zone,) for zone in zones] if spec["same_place"] else [tuple(zones)]

    def _tasks_that_fit_in_zone(self, zone: str, usable_capacity: dict[str, int], job_id: str) -> int:
        """How many more tasks of the job may run in a zone, on machines with capacity free for SETTLED_S."""
        spec = self.jobs[job_id].spec
        fit_count = sum(n for name, n in usable_capacity.items() if self.workers[name].zone == zone)
        zones = [self.workers[name].zone for name in self._machines_with(job_id) if name in self.workers]
        if spec["same_place"] and any(other != zone for other in zones):
            return 0
        if spec["spread"]:
            tasks_in_zone = [
                key
                for worker in self.workers.values()
                for key, task in worker.tasks.items()
                if worker.zone == zone and key[0] == job_id and task.state != "ended"
            ]
            fit_count = min(fit_count, (spec["pieces"] + 1) // 2 - len(tasks_in_zone))
        return max(fit_count, 0)

    def _tasks_that_fit(self, worker: Worker, job_id: str) -> int:
        """How many tasks of the job fit into a machine's free capacity; 0 if the machine must not run them."""
        spec = self.jobs[job_id].spec
        unusable = worker.name in self.hung or worker.fails or worker.notice_us is not None
        not_allowed = spec["yard"] not in (None, worker.zone) or (worker.spot and not spec["loaners"])
        if unusable or not_allowed or (spec["hulls"] and worker.type not in spec["hulls"]):
            return 0
        needs = (spec["cpus"], spec["cards"], spec["memory_gb"])
        free = list(CAPACITY[worker.type])
        for (other, _, _), task in worker.tasks.items():
            if task.state != "ended":
                other_spec = self.jobs[other].spec
                for n, name in enumerate(("cpus", "cards", "memory_gb")):
                    free[n] -= other_spec[name]
        return int(min((amount + 1e-6) // need for amount, need in zip(free, needs, strict=True) if need > 0))

    def _team_uses(self) -> float:
        """The CPUs of all tasks of the limited team on machines, including tasks still fetching their image."""
        return sum(
            self.jobs[key[0]].spec["cpus"]
            for worker in self.workers.values()
            for key, task in worker.tasks.items()
            if task.state != "ended" and self.jobs[key[0]].spec["crew"] == TEAM["name"]
        )
