"""Judging from failed tasks whether a machine is faulty."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from ashtray.jobs.model import Job
from ashtray.placement.machine_groups import Machine

SICK_BLAME = 3
"""The blame from which on a machine is returned: two jobs, one of which at least works elsewhere, or three jobs."""
FULL_BLAME = 2
"""By a job that works elsewhere."""
HALF_BLAME = 1
"""By a job that has not shown yet whether it works elsewhere."""
NO_BLAME = 0


def machine_blame(
    machine: Machine,
    jobs: Mapping[str, Job],
    final_states: Mapping[str, Any],
    finished: Callable[[Job], set[int]],
) -> int:
    """Return how much speaks for a fault of a machine: the sum over the jobs that failed on it.

    `jobs` are the live jobs and `final_states` the known records of those that are over, both by job id; `finished`
    returns the completed tasks of a live job.
    """
    total = 0
    for job_id in machine.record.failed:
        job = jobs.get(job_id)
        if job is None:
            total += blame_by_ended_job(final_states.get(job_id))
        else:
            total += blame_by_live_job(job, finished)
    return total


def blame_by_ended_job(final_state: Any) -> int:
    """Return what a job that is over, and failed on a machine, says against it; None: its final state is not known.

    One that its user cancelled says nothing.
    """
    if final_state is None:
        return NO_BLAME
    return FULL_BLAME if final_state.get("status") == "done" else NO_BLAME


def blame_by_live_job(job: Job, finished: Callable[[Job], set[int]]) -> int:
    """Return what a live job that failed on a machine says against it.

    One that fails elsewhere too says nothing: a few jobs with a mistake in them would condemn every machine that
    tries them.
    """
    if not job.record.errors or finished(job):
        return FULL_BLAME
    return NO_BLAME if job.suspect else HALF_BLAME
