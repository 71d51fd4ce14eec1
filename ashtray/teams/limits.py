"""Checks of jobs against the limit and the guarantee of their team."""

from __future__ import annotations

from collections.abc import Iterable

from ashtray.config.settings import Team
from ashtray.jobs.model import Job, JobSpec
from ashtray.placement.records import AMOUNT_TOLERANCE


def has_limit(team: Team) -> bool:
    """Return whether a team has a limit of CPUs or of GPUs."""
    return team.cpus_max > 0 or team.gpus_max > 0


def tasks_within(team: Team, cpus: float, gpus: float, spec: JobSpec) -> int:
    """Return how many tasks of a job the team's limit allows, when the team uses `cpus` and `gpus` already."""
    count = spec.tasks
    for limit, used, need in ((team.cpus_max, cpus, spec.cpus), (team.gpus_max, gpus, spec.gpus)):
        if limit > 0 and need > 0:
            count = min(count, int((limit - used + AMOUNT_TOLERANCE) // need))
    return max(count, 0)


def can_ever_run(team: Team, spec: JobSpec) -> bool:
    """Return whether a job can run within its team's limit: an array task by task, any other job as a whole."""
    return tasks_within(team, 0.0, 0.0, spec) >= (1 if spec.kind == "array" else spec.tasks)


def within_guarantee(team: Team, jobs: Iterable[tuple[Job, int]]) -> set[str]:
    """Return the ids of the jobs that fit into the team's guarantee together with all jobs before them.

    `jobs` are in order of acceptance, each with the number of its tasks that are done.
    """
    cpus = gpus = 0.0
    inside: set[str] = set()
    for job, done in jobs:
        left = job.spec.tasks - done
        cpus += left * job.spec.cpus
        gpus += left * job.spec.gpus
        if cpus <= team.cpus + AMOUNT_TOLERANCE and gpus <= team.gpus + AMOUNT_TOLERANCE:
            inside.add(job.id)
    return inside
