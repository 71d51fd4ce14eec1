"""Whether a job is left waiting in the model though there is room for it."""

from __future__ import annotations

from dataclasses import dataclass

from tests.fakes.worker import Worker
from tests.model_basis import SECOND, TEAM, TYPES, RuleBroken, UserJob

NEGLECTED_S = 90
"""So long a job may wait beside free room once all troubles are over."""
SETTLED_S = 10
"""Room that has been free for less may be on its way to another job."""
ROOM = {kind["name"]: (kind["cpus"], kind["cards"], kind["memory_gb"]) for kind in TYPES}


@dataclass
class Waiting:
    """A job that waits beside room, and since when."""

    since_us: int
    starts: int
    """How many of its tasks had been started by then."""


class Neglect:
    """The part of the model that looks for jobs that wait beside free room."""

    def _begin_neglect(self) -> None:
        self._beside_room: dict[str, Waiting] = {}
        self._room_since: dict[tuple[str, str], int] = {}
        """For each job that waits and each machine, since when there has been room for a task of it."""
        self.job_starts: dict[str, int] = {}

    def _look_for_neglect(self) -> None:
        """Once a second: break the test on a job that has been beside room for too long."""
        waiting = self.waiting_jobs()
        for job_id in [known for known in self._beside_room if known not in waiting]:
            del self._beside_room[job_id]
        for key in [key for key in self._room_since if key[0] not in waiting]:
            del self._room_since[key]
        for job_id in sorted(waiting):
            self._judge_waiting(job_id)
        self.at(SECOND, self._look_for_neglect)

    def waiting_jobs(self) -> set[str]:
        """The accepted jobs that have tasks to be started, and need nothing but room for them."""
        return {job_id for job_id, job in self.jobs.items() if self._may_run(job_id, job)}

    def _judge_waiting(self, job_id: str) -> None:
        starts = self.job_starts.get(job_id, 0)
        machine = self._room_for(job_id)
        known = self._beside_room.get(job_id)
        if machine is None:
            self._beside_room.pop(job_id, None)
        elif known is None or known.starts != starts:
            self._beside_room[job_id] = Waiting(self.now, starts)
        elif self.now - known.since_us > NEGLECTED_S * SECOND:
            raise RuleBroken(f"neglected: {job_id} has waited for {NEGLECTED_S} s beside room on {machine}")

    def _may_run(self, job_id: str, job: UserJob) -> bool:
        """Whether some task of it is to be started and nothing but room is needed for it."""
        if job.accepted_us is None or job.told is not None or job.cancel_asked or job_id in self.mistaken:
            return False
        if len(job.finished) == job.spec["pieces"] or not self._waiting_tasks(job_id):
            return False
        needs = [self.jobs[need] for need in job.spec.get("waits_on") or ()]
        return all(need.told == "done" for need in needs)

    def _waiting_tasks(self, job_id: str) -> set[int]:
        """The tasks that are neither done nor on a machine, nor on their way to one."""
        there = {
            key[2]
            for worker in self.workers.values()
            for key, task in worker.tasks.items()
            if key[0] == job_id and task.state != "ended"
        }
        job = self.jobs[job_id]
        return set(range(job.spec["pieces"])) - job.finished - there

    def _room_for(self, job_id: str) -> str | None:
        """A machine that has had room for a task of the job for some time; for a gang, one of those for all tasks."""
        spec = self.jobs[job_id].spec
        tasks = len(self._waiting_tasks(job_id)) if spec["shape"] == "gang" else 1
        if spec["crew"] == TEAM["name"] and self._team_uses() + tasks * spec["cpus"] > TEAM["cpus_max"] + 1e-6:
            return None
        settled = {}
        for name, worker in sorted(self.workers.items()):
            places = self._places(worker, job_id)
            if places < 1:
                self._room_since.pop((job_id, name), None)
                continue
            since = self._room_since.setdefault((job_id, name), self.now)
            if self.now - since >= SETTLED_S * SECOND:
                settled[name] = places
        for zones in self._zones_for(spec):
            taken = sum(self._places_in(zone, settled, job_id) for zone in zones)
            if taken >= tasks:
                return next(name for name in settled if self.workers[name].zone in zones)
        return None

    def _zones_for(self, spec: dict) -> list[tuple[str, ...]]:
        """The sets of zones that may hold all of a job's tasks."""
        zones = sorted({worker.zone for worker in self.workers.values()})
        return [(zone,) for zone in zones] if spec["same_place"] else [tuple(zones)]

    def _places_in(self, zone: str, settled: dict[str, int], job_id: str) -> int:
        """How many more tasks of the job may be in a zone, on machines whose room is settled."""
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

    def _places(self, worker: Worker, job_id: str) -> int:
        """How many tasks of the job a machine has room for, none if it is not to run them."""
        spec = self.jobs[job_id].spec
        ill = worker.name in self.hung or worker.fails or worker.notice_us is not None
        elsewhere = spec["yard"] not in (None, worker.zone) or (worker.spot and not spec["loaners"])
        if ill or elsewhere or (spec["hulls"] and worker.type not in spec["hulls"]):
            return 0
        needs = (spec["cpus"], spec["cards"], spec["memory_gb"])
        free = list(ROOM[worker.type])
        for (other, _, _), task in worker.tasks.items():
            if task.state != "ended":
                taken = self.jobs[other].spec
                for n, name in enumerate(("cpus", "cards", "memory_gb")):
                    free[n] -= taken[name]
        return int(min((room + 1e-6) // need for room, need in zip(free, needs, strict=True) if need > 0))

    def _team_uses(self) -> float:
        """The CPUs of all tasks of the limited team, those on their way to a machine too."""
        return sum(
            self.jobs[key[0]].spec["cpus"]
            for worker in self.workers.values()
            for key, task in worker.tasks.items()
            if task.state != "ended" and self.jobs[key[0]].spec["crew"] == TEAM["name"]
        )
