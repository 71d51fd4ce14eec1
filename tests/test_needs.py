"""What a job waits for when a controller has just started and does not know what became of the jobs that it needs."""

from __future__ import annotations

import pytest

from ashtray.jobs.model import OVER, Job
from ashtray.placement.picture import Picture
from tests.test_pipelines import put


def child_of(need: str) -> tuple[Picture, Job]:
    """A job that needs one of which neither a live record nor a final state was read."""
    picture = Picture()
    put(picture, "job-1", 2, needs=[need])
    return picture, picture.jobs["job-1"]


def test_a_needed_job_that_is_not_known_counts_as_open_and_is_to_be_read() -> None:
    picture, child = child_of("job-0")
    assert picture.needs.open(child) == ["job-0"]
    assert not picture.needs.ready(child)
    assert picture.needs.unknown() == ["job-0"]


@pytest.mark.parametrize(("status", "ready"), [("done", True), ("cancelled", False)])
def test_once_its_end_was_read_a_job_is_ready_or_cancelled_with_it(status: str, ready: bool) -> None:
    picture, child = child_of("job-0")
    picture.put(OVER + "job-0", {"status": status, "done": 1, "at_us": 5}, 3)
    assert picture.needs.ready(child) == ready
    assert ("job-1" in picture.needs.doomed) == (not ready)
    assert picture.needs.unknown() == []
