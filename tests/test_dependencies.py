"""What a job waits on where a controller that has just started does not know how its dependencies ended."""

from __future__ import annotations

import pytest

from ashtray.jobs.model import OVER, Job
from ashtray.placement.cluster_state import ClusterState
from tests.test_pipelines import put


def child_of(need: str) -> tuple[ClusterState, Job]:
    """A job that needs one of which neither a live record nor a final state was read."""
    cluster_state = ClusterState()
    put(cluster_state, "job-1", 2, needs=[need])
    return cluster_state, cluster_state.jobs["job-1"]


def test_a_needed_job_that_is_not_known_counts_as_open_and_is_to_be_read() -> None:
    cluster_state, child = child_of("job-0")
    assert cluster_state.dependencies.open(child) == ["job-0"]
    assert not cluster_state.dependencies.ready(child)
    assert cluster_state.dependencies.unknown() == ["job-0"]


@pytest.mark.parametrize(("status", "ready"), [("done", True), ("cancelled", False)])
def test_once_its_end_was_read_a_job_is_ready_or_cancelled_with_it(status: str, ready: bool) -> None:
    cluster_state, child = child_of("job-0")
    cluster_state.put(OVER + "job-0", {"status": status, "done": 1, "at_us": 5}, 3)
    assert cluster_state.dependencies.ready(child) == ready
    assert ("job-1" in cluster_state.dependencies.cancelled_by) == (not ready)
    assert cluster_state.dependencies.unknown() == []
