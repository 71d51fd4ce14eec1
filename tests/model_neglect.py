"""The check that no job is left waiting although machines have free capacity for it."""

from __future__ import annotations

from dataclasses import dataclass

from tests.fakes.worker import Worker
from tests.model_basis import SECOND, TEAM, TYPES, RuleBroken, UserJob

NEGLECTED_S = 90
"""How long a job may wait beside free capacity once all troubles are over."""
SETTLED_S = 10
"""Capacity that has been free for a shorter time may already be assigned to another job."""
CAPACITY = {kind["name"]: (kind["cpus"], kind["cards"], kind["memory_gb"]) for kind in TYPES}


@dataclass
class WaitingJob:
    """Since when a job has waited beside free capacity."""

    since_us: int
    starts: int
    """How many starts of its tasks there had been by then."""


class Neglect:
    """The part of the model that checks for jobs that wait beside free capacity."""

    def _begin_neglect(self) -> None:
        self._waiting_beside_capacity: dict[str, WaitingJob] = {}
        self._capacity_since: dict[tuple[str, str], int] = {}
        """For each waiting job and machine, since when (us) a task of the job has fitted into the machine."""
        self.job_starts: dict[str, int] = {}

    def _check_neglect(self) -> None:
        """Once a second, raise RuleBroken for a job that has waited beside free capacity for too long."""
        waiting = self.waiting_jobs()
        for job_id in [known for known in self._waiting_beside_capacity if known not in waiting]:
            del self._waiting_beside_capacity[job_id]
        for key in [key for key in self._capacity_since if key[0] not in waiting]:
            del self._capacity_since[key]
        for job_id in sorted(waiting):
            self._check_waiting_job(job_id)
        self.at(SECOND, self._check_neglect)

    def waiting_jobs(self) -> set[str]:
        """The accepted jobs with tasks to be started that need nothing but free capacity."""
        return {job_id for job_id, job in self.jobs.items() if self._is_ready_to_run(job_id, job)}

    def _check_waiting_job(self, job_id: str) -> None:
        starts = self.job_starts.get(job_id, 0)
        machine = self._room_for(job_id)
        known = self._waiting_beside_capacity.get(job_id)
        if machine is None:
            self._waiting_beside_capacity.pop(job_id, None)
        elif known is None or known.starts != starts:
            self._waiting_beside_capacity[job_id] = WaitingJob(self.now, starts)
        elif self.now - known.since_us > NEGLECTED_S * SECOND:
            raise RuleBroken(f"neglected: {job_id} has waited for {NEGLECTED_S} s beside free capacity on {machine}")

    def _is_ready_to_run(self, job_id: str, job: UserJob) -> bool:
        """Whether a task of the job is to be started and needs nothing but free capacity."""
        if job.accepted_us is None or job.told is not None or job.cancel_asked or job_id in self.mistaken:
            return False
        if len(job.finished) == job.spec["pieces"] or not self._waiting_tasks(job_id):
            return False
        dependencies = [self.jobs[dependency] for dependency in job.spec.get("waits_on") or ()]
        return all(dependency.told == "done" for dependency in dependencies)

    def _waiting_tasks(self, job_id: str) -> set[int]:
        """The tasks that are neither done nor known to a machine."""
        there = {
            key[2]
            for worker in self.workers.values()
            for key, task in worker.tasks.items()
            if key[0] == job_id and task.state != "ended"
        }
        job = self.jobs[job_id]
        return set(range(job.spec["pieces"])) - job.finished - there

    def _room_for(self, job_id: str) -> str | None:
        """A machine that has had free capacity for the job for SETTLED_S; None if there is none.

        A gang needs capacity for all its tasks, other jobs for one.
        """
        spec = self.jobs[job_id].spec
        tasks = len(self._waiting_tasks(job_id)) if spec["shape"] == "gang" else 1
        if spec["crew"] == TEAM["name"] and self._team_uses() + tasks * spec["cpus"] > TEAM["cpus_max"] + 1e-6:
            return None
        settled = {}
        for name, worker in sorted(self.workers.items()):
            places = self._tasks_that_fit(worker, job_id)
            if places < 1:
                self._capacity_since.pop((job_id, name), None)
                continue
            since = self._capacity_since.setdefault((job_id, name), self.now)
            if self.now - since >= SETTLED_S * SECOND:
                settled[name] = places
        for zones in self._allowed_zone_sets(spec):
            taken = sum(self._tasks_that_fit_in_zone(zone, settled, job_id) for zone in zones)
            if taken >= tasks:
                return next(name for name in settled if self.workers[name].zone in zones)
        return None

    def _allowed_zone_sets(self, spec: dict) -> list[tuple[str, ...]]:
        """The sets of zones that all of a job's tasks together may run in."""
        zones = sorted({worker.zone for worker in self.workers.values()})
        return [(zone,) for zone in zones] if spec["same_place"] else [tuple(zones)]

    def _tasks_that_fit_in_zone(self, zone: str, settled: dict[str, int], job_id: str) -> int:
        """How many more tasks of the job may run in a zone, on machines with capacity free for SETTLED_S."""
        spec = self.jobs[job_id].spec
        places = sum(n for name, n in settled.items() if self.workers[name].zone == zone)
        zones = [self.workers[name].zone for name in self._machines_with(job_id) if name in self.workers]
        if spec["same_place"] and any(other != zone for other in zones):
            return 0
        if spec["spread"]:
            here = [
                key
                for worker in self.workers.values()
                for key, task in worker.tasks.items()
                if worker.zone == zone and key[0] == job_id and task.state != "ended"
            ]
            places = min(places, (spec["pieces"] + 1) // 2 - len(here))
        return max(places, 0)

    def _tasks_that_fit(self, worker: Worker, job_id: str) -> int:
        """How many tasks of the job fit into a machine's free capacity; 0 if the machine must not run them."""
        spec = self.jobs[job_id].spec
        ill = worker.name in self.hung or worker.fails or worker.notice_us is not None
        elsewhere = spec["yard"] not in (None, worker.zone) or (worker.spot and not spec["loaners"])
        if ill or elsewhere or (spec["hulls"] and worker.type not in spec["hulls"]):
            return 0
        needs = (spec["cpus"], spec["cards"], spec["memory_gb"])
        free = list(CAPACITY[worker.type])
        for (other, _, _), task in worker.tasks.items():
            if task.state != "ended":
                taken = self.jobs[other].spec
                for n, name in enumerate(("cpus", "cards", "memory_gb")):
                    free[n] -= taken[name]
        return int(min((room + 1e-6) // need for room, need in zip(free, needs, strict=True) if need > 0))

    def _team_uses(self) -> float:
        """The CPUs of all tasks of the limited team that machines know, those that still fetch their image too."""
        return sum(
            self.jobs[key[0]].spec["cpus"]
            for worker in self.workers.values()
            for key, task in worker.tasks.items()
            if task.state != "ended" and self.jobs[key[0]].spec["crew"] == TEAM["name"]
        )
