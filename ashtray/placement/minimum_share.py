"""A minimum share of service for every class of jobs, also under overload.

Under overload the queue serves urgent jobs, and a class of low priority gets the rest, which at times is nothing.
Users count a day as lost if less than half of the jobs of any class are served.  So one strict rule overrides the
queue order: if less than `SHARE` of a class's jobs were served, its first jobs, as many as restore the share, go
before jobs that have missed *all* the times stated for them, whatever the priorities.  They stay behind jobs that can
still meet a time.  They are earlier in turn for capacity that is or becomes free, and for rented machines.  They
preempt no tasks that they may not preempt otherwise, and their tasks are not preempted for jobs that have missed all
their times.

Jobs count from the time when this process first read the cluster state.  Final states of earlier jobs are not read at
a start, so counting earlier jobs would make every class look unserved.  A job counts as arrived once it has waited
`GRACE_RUNS` times as long as one of its tasks runs, and as served while all its tasks are placed or done.  Cancelled
jobs and jobs that fail wherever they are tried do not count.  After a start of all controllers the rule has no effect
until enough jobs have arrived.

Nothing is stored or sent to peers: each controller counts on its own copy of the cluster state, and the copies differ
by a second or two.
"""

from __future__ import annotations

import math
from collections import Counter

from ashtray.jobs.job_timing import JobTiming
from ashtray.jobs.model import Job
from ashtray.kernel import SECOND_US
from ashtray.placement.cluster_state import ClusterState

SHARE = 0.6
"""The part of a class's jobs that should be served."""
GRACE_RUNS = 2
"""How many times as long as one of its tasks runs a job may wait before it counts as arrived."""
COUNT_PAUSE_US = 2 * SECOND_US
"""The pause between two counts of the cluster state."""
MAX_SERVED = 20_000
"""The maximum number of served jobs that are remembered; the oldest are dropped."""
Class = tuple[str, str]
"""A team and one of its job classes."""


class MinimumShare:
    """Counts the jobs that arrived and were served, by team and class, since the cluster state was first read."""

    def __init__(self, cluster_state: ClusterState, job_timing: JobTiming) -> None:
        self._cluster_state = cluster_state
        self._job_timing = job_timing
        self._load_count = -1
        self._since_us = 0
        self._counted_us = -COUNT_PAUSE_US
        self._live: dict[str, Class] = {}
        """The class of each live job that is counted, by job id."""
        self._served: dict[str, Class] = {}
        """The class of each job all of whose tasks are placed or done, by job id."""
        self._due: dict[Class, int] = {}
        self.shares: dict[Class, float] = {}
        """The served share of each class below the minimum share."""
        self.too_late: set[str] = set()
        """The ids of the jobs that have missed all the times stated for them, as of the last call of `move_up`."""

    def due(self, wall_us: int) -> dict[Class, int]:
        """Return how many jobs would restore the minimum share of each class below it, the least served class
        first."""
        if self._load_count != self._cluster_state.load_count:
            # The cluster state was read again from scratch: the jobs that ended meanwhile are unknown.
            self._load_count, self._since_us = self._cluster_state.load_count, wall_us
            self._live.clear()
            self._served.clear()
            self._counted_us = wall_us - COUNT_PAUSE_US
        if wall_us - self._counted_us >= COUNT_PAUSE_US:
            self._counted_us = wall_us
            self._count(wall_us)
        return self._due

    def _count(self, wall_us: int) -> None:
        cluster_state = self._cluster_state
        waiting = cluster_state.waiting()
        for job_id, name in list(self._live.items()):
            if job_id not in cluster_state.jobs:
                del self._live[job_id]
                if cluster_state.final_states.get(job_id, {}).get("status") == "done":
                    self._served[job_id] = name
                else:
                    self._served.pop(job_id, None)
        overdue: Counter[Class] = Counter()
        for job in cluster_state.jobs.values():
            if (
                job.ready_us < self._since_us
                or job.fails_on_several_machines
                or not cluster_state.dependencies.ready(job)
            ):
                continue
            name = job.spec.team, job.spec.job_class
            self._live[job.id] = name
            if job.id not in waiting:
                self._served[job.id] = name
                continue
            # A job whose tasks lost their machines or were stopped waits again.
            self._served.pop(job.id, None)
            if wall_us - job.ready_us > GRACE_RUNS * self._job_timing.run_us(job):
                overdue[name] += 1
        while len(self._served) > MAX_SERVED:
            del self._served[next(iter(self._served))]
        served = Counter(self._served.values())
        self.shares = {name: served[name] / (served[name] + n) for name, n in overdue.items()}
        self.shares = {name: share for name, share in self.shares.items() if share < SHARE}
        below_minimum = sorted(self.shares, key=lambda name: (self.shares[name], name))
        self._due = {name: math.ceil(SHARE * (served[name] + overdue[name])) - served[name] for name in below_minimum}

    def move_up(self, jobs: list[Job], too_late: set[str], wall_us: int) -> list[Job]:
        """Return the queue with the jobs that restore the minimum shares moved before the first job that is too late.

        The least served class goes first.  A class with jobs that are too late may itself be below the minimum share;
        it is treated like the others.
        """
        due = self.due(wall_us)
        self.too_late = too_late
        first = next((n for n, job in enumerate(jobs) if job.id in too_late), None)
        if not due or first is None:
            return jobs
        by_class: dict[Class, list[Job]] = {name: [] for name in due}
        for job in jobs[first:]:
            found = by_class.get((job.spec.team, job.spec.job_class))
            if found is not None and not job.fails_on_several_machines:
                found.append(job)
        moved = [job for name, found in by_class.items() for job in found[: due[name]]]
        names = {job.id for job in moved}
        return [*jobs[:first], *moved, *(job for job in jobs[first:] if job.id not in names)]

    def spared(self, job: Job) -> frozenset[Class]:
        """Return the classes whose tasks may not be stopped for a job: for one that is too late, those below the
        minimum share."""
        return frozenset(self.shares) if job.id in self.too_late else frozenset()
