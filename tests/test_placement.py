"""The picture, the plan and preemption."""

import msgspec

from ashtray.placement.picture import GROUP, GroupRecord, HoldRecord, MachineRecord, Picture


def hold(tasks: str, stop_us: int = -1, job: str = "job-1", attempt: int = 1) -> HoldRecord:
    return HoldRecord(job, attempt, tasks, "crew", 1.0, 0.0, 1.0, 0, stop_us)


def picture_with(*holds: HoldRecord) -> Picture:
    picture = Picture()
    record = GroupRecord("small", "a", {"vm-1": MachineRecord("vm-1:1", holds=list(holds))})
    picture.put(GROUP + "g", msgspec.to_builtins(record), 5)
    return picture


def test_tasks_stopped_one_after_the_other_all_count_as_placed():
    # Found on a simulated day: two holds of one attempt with the same time to save hid one another.
    picture = picture_with(hold("0"), hold("1", stop_us=0), hold("2", stop_us=0))
    assert picture.placed("job-1") == {0, 1, 2}
    picture.put(GROUP + "g", msgspec.to_builtins(GroupRecord("small", "a")), 6)
    assert picture.placed("job-1") == set()
    assert not picture.held


def test_an_older_version_does_not_replace_a_newer_one():
    picture = picture_with(hold("0-3"))
    picture.put(GROUP + "g", msgspec.to_builtins(GroupRecord("small", "a")), 4)
    assert picture.placed("job-1") == {0, 1, 2, 3}
