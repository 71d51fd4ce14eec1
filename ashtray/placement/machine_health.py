"""Scores from failed tasks that tell whether a machine is faulty."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from ashtray.jobs.model import Job
from ashtray.placement.machine_groups import Machine

FAULTY_BLAME = 3
"""A machine with at least this blame is returned: two failed jobs, one of which works elsewhere, or three."""
FULL_BLAME = 2
"""Blame by a failed job that works elsewhere."""
HALF_BLAME = 1
"""Blame by a failed job of which it is not known yet whether it works elsewhere."""
NO_BLAME = 0


def machine_blame(
    machine: Machine,
    jobs: Mapping[str, Job],
    final_states: Mapping[str, Any],
    finished: Callable[[Job], set[int]],
) -> int:
    """Return the blame of a machine: the sum over the jobs that failed on it.

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
    """Return the blame by a job that failed on a machine and is over; `final_state` is None if it is not known.

    A cancelled job puts no blame on a machine.
    """
    if final_state is None:
        return NO_BLAME
    return FULL_BLAME if final_state.get("status") == "done" else NO_BLAME


def blame_by_live_job(job: Job, finished: Callable[[Job], set[int]]) -> int:
    """Return the blame by a live job that failed on a machine.

    A job that fails elsewhere too puts no blame on a machine: otherwise a few faulty jobs would have every machine
    returned that runs them.
    """
    if not job.record.errors or finished(job):
        return FULL_BLAME
    return NO_BLAME if job.fails_on_several_machines else HALF_BLAME
