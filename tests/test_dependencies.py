"""A job whose dependency has ended before the controller started, so that its end is not known yet."""

from __future__ import annotations

import pytest

from ashtray.jobs.model import FINAL_STATE_PREFIX, Job
from ashtray.placement.cluster_state import ClusterState
from tests.test_pipelines import put


def dependent_of(dependency: str) -> tuple[ClusterState, Job]:
    """Return a cluster state, and its only job: neither a record nor a final state of its dependency was read."""
    cluster_state = ClusterState()
    put(cluster_state, "job-1", 2, needs=[dependency])
    return cluster_state, cluster_state.jobs["job-1"]


def test_an_unknown_dependency_counts_as_open_and_has_to_be_read() -> None:
    cluster_state, dependent = dependent_of("job-0")
    assert cluster_state.dependencies.open(dependent) == ["job-0"]
    assert not cluster_state.dependencies.ready(dependent)
    assert cluster_state.dependencies.unknown() == ["job-0"]


@pytest.mark.parametrize(("status", "ready"), [("done", True), ("cancelled", False)])
def test_a_job_is_ready_or_cancelled_once_the_end_of_its_dependency_is_read(status: str, ready: bool) -> None:
    cluster_state, dependent = dependent_of("job-0")
    cluster_state.put(FINAL_STATE_PREFIX + "job-0", {"status": status, "done": 1, "at_us": 5}, 3)
    assert cluster_state.dependencies.ready(dependent) == ready
    assert ("job-1" in cluster_state.dependencies.cancelled_by) == (not ready)
    assert cluster_state.dependencies.unknown() == []
