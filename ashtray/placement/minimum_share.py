"""A minimum share of service for every class of jobs, also under pressure.

Under pressure the queue serves what is urgent, and a class of low priority gets what is left: at times nothing.  The
users count a day as lost on which less than half of any class is served.  So one strict rule stands above the queue's
order.  Where less than `SHARE` of a class's jobs were served, its first jobs, as many as would restore the share, go
before jobs that have missed *all* the times stated for them, whatever the priorities.  They stay behind jobs that can
still make a time.  They get turns for room that is free or becomes free, and for machines to be rented; they stop no
tasks that they might not stop otherwise, and their tasks are not stopped for jobs that have missed all their times.

*Came* and *served* are counted over the jobs that became ready since this process first read the cluster state:
what was over before is not read at a start, and a count that began at zero for it would call every class unserved.
 A job
counts as having come once it has waited `GRACE` times as long as one of its tasks runs, and as served while all its
tasks have a place or are done.  Cancelled jobs and jobs that fail wherever they are tried are not counted.  After a
start of all controllers the rule has no effect until enough jobs have come.

No record is kept and nothing is sent to others: each controller counts what all of them see, a second or two apart.
"""

from __future__ import annotations

import math
from collections import Counter

from ashtray.jobs.model import Job
from ashtray.jobs.pace import Pace
from ashtray.kernel import SECOND_US
from ashtray.placement.cluster_state import ClusterState

SHARE = 0.6
"""The part of a class's jobs that is to be served."""
GRACE = 2
LOOK_US = 2 * SECOND_US
"""The pause between two counts."""
MOST = 20_000
"""Jobs that are counted; the oldest are dropped."""
Class = tuple[str, str]
"""A team and a class of its jobs."""


class MinimumShare:
    """What came and what was served, by team and class, since this process began to watch."""

    def __init__(self, cluster_state: ClusterState, pace: Pace) -> None:
        self._cluster_state = cluster_state
        self._pace = pace
        self._loads = -1
        self._since_us = 0
        self._looked_us = -LOOK_US
        self._live: dict[str, Class] = {}
        """Jobs that are watched and not over yet."""
        self._served: dict[str, Class] = {}
        """Jobs all of whose tasks have a place or are done."""
        self._due: dict[Class, int] = {}
        self.shares: dict[Class, float] = {}
        """What was served of those below the minimum share."""
        self.too_late: set[str] = set()
        """The jobs that have missed all the times stated for them, as the queue was last made."""

    def due(self, wall_us: int) -> dict[Class, int]:
        """For each class below the minimum share, how many jobs would restore it; the least served first."""
        if self._loads != self._cluster_state.loads:
            # The cluster state was begun anew: what ended meanwhile was not seen.
            self._loads, self._since_us = self._cluster_state.loads, wall_us
            self._live.clear()
            self._served.clear()
            self._looked_us = wall_us - LOOK_US
        if wall_us - self._looked_us >= LOOK_US:
            self._looked_us = wall_us
            self._look(wall_us)
        return self._due

    def _look(self, wall_us: int) -> None:
        cluster_state = self._cluster_state
        waiting = cluster_state.waiting()
        for job_id, name in list(self._live.items()):
            if job_id not in cluster_state.jobs:
                del self._live[job_id]
                if cluster_state.over.get(job_id, {}).get("status") == "done":
                    self._served[job_id] = name
                else:
                    self._served.pop(job_id, None)
        late: Counter[Class] = Counter()
        for job in cluster_state.jobs.values():
            if job.ready_us < self._since_us or job.suspect or not cluster_state.dependencies.ready(job):
                continue
            name = job.spec.team, job.spec.job_class
            self._live[job.id] = name
            if job.id not in waiting:
                self._served[job.id] = name
                continue
            # What lost its places, or was stopped, waits anew.
            self._served.pop(job.id, None)
            if wall_us - job.ready_us > GRACE * self._pace.run_us(job):
                late[name] += 1
        while len(self._served) > MOST:
            del self._served[next(iter(self._served))]
        served = Counter(self._served.values())
        self.shares = {name: served[name] / (served[name] + n) for name, n in late.items()}
        self.shares = {name: share for name, share in self.shares.items() if share < SHARE}
        lacking = sorted(self.shares, key=lambda name: (self.shares[name], name))
        self._due = {name: math.ceil(SHARE * (served[name] + late[name])) - served[name] for name in lacking}

    def lift(self, jobs: list[Job], too_late: set[str], wall_us: int) -> list[Job]:
        """The queue with the jobs that are due before the first that is too late, those of the lowest share first.

        A class whose jobs are too late may be below the minimum share as well: then it takes turns with the others.
        """
        due = self.due(wall_us)
        self.too_late = too_late
        first = next((n for n, job in enumerate(jobs) if job.id in too_late), None)
        if not due or first is None:
            return jobs
        by_class: dict[Class, list[Job]] = {name: [] for name in due}
        for job in jobs[first:]:
            found = by_class.get((job.spec.team, job.spec.job_class))
            if found is not None and not job.suspect:
                found.append(job)
        lifted = [job for name, found in by_class.items() for job in found[: due[name]]]
        names = {job.id for job in lifted}
        return [*jobs[:first], *lifted, *(job for job in jobs[first:] if job.id not in names)]

    def spared(self, job: Job) -> frozenset[Class]:
        """The classes whose tasks are not stopped for a job: for one that is too late, those below the share."""
        return frozenset(self.shares) if job.id in self.too_late else frozenset()
