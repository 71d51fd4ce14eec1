"""Cancelled tasks on machines that hang, while deletions at the cloud fail and leader and owner change.

A hung machine may resume at any time within its lease, so its tasks count as present until it is deleted.  The tests
guard against cancelled tasks that outlast `CANCEL_S`, start later, or are no longer counted against their team's
limit.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from ashtray.kernel import Reply
from tests.meeting_model import Meeting, batch, some
from tests.model import CANCEL_S, LEASE_S, SECOND, TEAM
from tests.test_meetings_limits import at_the_limit, two_limits

__all__ = ["two_limits"]

HUNG_COUNT = 8
DELETE_PATH = "/rentals/delete"
CLOUD_FAULT_S = 14.0
"""How long deletions fail after the cancellation: longer than the silence after which a machine is given up."""


def drop_answer(status: int, reply: Any) -> None:
    """Drop an answer, as if it was lost on its way."""


class FaultyCloud(Meeting):
    """The model with a cloud that is out, at its rate limit, or loses deletions or the answers to them."""

    def __init__(self, seed: int, hosts: int = 3) -> None:
        self.fault = ""
        self.fault_until_us = 0
        self.failed_deletions = 0
        """How many deletions met the fault."""
        self.deleted_us: dict[str, int] = {}
        super().__init__(seed, hosts)

    def _arrive(
        self,
        source: str,
        target: str,
        method: str,
        path: str,
        body: Any,
        answer: Callable[[int, Any], None],
        finish: Callable[[Reply], None],
    ) -> None:
        affected = target == "cloud" and path == DELETE_PATH and self.now < self.fault_until_us
        if affected:
            self.failed_deletions += 1
        if affected and self.fault == "out":
            answer(503, {"error": "trouble"})
        elif affected and self.fault == "limited":
            answer(429, {"error": "too many requests"})
        elif affected and self.fault == "lost":
            return
        else:
            answer_lost = affected and self.fault == "answer lost"
            super()._arrive(source, target, method, path, body, drop_answer if answer_lost else answer, finish)

    def _machine_ends(self, name: str) -> None:
        self.deleted_us[name] = self.now
        super()._machine_ends(name)


def eight_busy_machines(seed: int, hosts: int) -> FaultyCloud:
    """Return a model of eight jobs whose tasks run on eight or more machines."""
    model = FaultyCloud(seed, hosts)
    model.begin([batch(n) for n in range(HUNG_COUNT)], 40)
    assert len({name for n in range(HUNG_COUNT) for name in model.machines_of(f"job-{n}")}) >= HUNG_COUNT
    return model


def cancel_while_hung(model: Meeting, ids: list[str], names: list[str], hang_s: float) -> None:
    """Cancel jobs whose machines hang, each at two controllers; the first confirmation counts."""
    model.hang_all(names, hang_s)
    for n, job_id in enumerate(ids):
        model.nodes = [n % len(model.hosts)]
        model.cancel(job_id)
        model.nodes = [(n + 1) % len(model.hosts)]
        model.at(SECOND // 10, lambda job_id=job_id: model.cancel(job_id))
    model.nodes = None


@pytest.mark.parametrize("hosts", [3, 5])
@pytest.mark.parametrize("fault", ["out", "limited", "lost", "answer lost"])
@pytest.mark.parametrize("leader_crash_s", some([None, 2.0, 9.0], [0.2, 5.0, 12.0]))
def test_cancelled_tasks_on_eight_hung_machines_are_gone_in_time_though_deletions_fail(
    hosts: int, fault: str, leader_crash_s: float | None
) -> None:
    model = eight_busy_machines(61, hosts)
    ids = [f"job-{n}" for n in range(HUNG_COUNT)]
    names = sorted({name for job_id in ids for name in model.machines_of(job_id)})[:HUNG_COUNT]
    leader = model.runner()
    assert leader is not None
    model.fault, model.fault_until_us = fault, model.now + int(CLOUD_FAULT_S * SECOND)
    cancel_while_hung(model, ids, names, 60)
    if leader_crash_s is not None:
        model.run(leader_crash_s)
        model.nodes = [number for number in range(hosts) if number != leader]
        # The fleet leader crashes; it also owns some of these machines.
        model.crash(leader, 30)
    model.run(CANCEL_S + 5)
    # The case is reached: all cancellations were confirmed and at least one deletion failed before those that worked.
    assert all(model.jobs[job_id].told == "cancelled" for job_id in ids)
    assert model.failed_deletions >= 1
    assert leader_crash_s is None or model.runner() not in (None, leader)
    assert all(model.deleted_us[name] for name in names)
    assert max(model.gone_s(job_id) for job_id in ids) < CANCEL_S
    assert not model.late_starts


@pytest.mark.parametrize(
    "hang_s", some([LEASE_S - 1, LEASE_S + 2.0, LEASE_S + 4.2], [LEASE_S + 0.1, 11.5, 12.5, 13.0])
)
def test_a_machine_that_is_back_a_moment_before_its_deletion_has_ended_its_tasks(hang_s: float) -> None:
    model = eight_busy_machines(62, 3)
    ids = [f"job-{n}" for n in range(HUNG_COUNT)]
    names = sorted({name for job_id in ids for name in model.machines_of(job_id)})[:HUNG_COUNT]
    sessions = {name: model.workers[name].session for name in names}
    cancel_while_hung(model, ids, names, hang_s)
    model.run(hang_s + 0.1)
    # The case is reached: the machines resumed, with a new session where they hung for longer than their lease.
    resumed = [name for name in names if name in model.workers]
    assert hang_s > LEASE_S + 4 or len(resumed) == HUNG_COUNT
    assert hang_s < LEASE_S or all(model.workers[name].session > sessions[name] for name in resumed)
    model.run(CANCEL_S + 5)
    assert max(model.gone_s(job_id) for job_id in ids) < CANCEL_S
    assert not model.late_starts


@pytest.mark.usefixtures("two_limits")
@pytest.mark.parametrize("back_s", [None, 6.0])
def test_room_on_hung_machines_counts_until_they_are_deleted_with_every_team_at_its_limit(
    back_s: float | None,
) -> None:
    model = at_the_limit(82)
    ids = ["job-0", "job-2", "job-10", "job-13"]
    names = sorted({name for job_id in ids for name in model.machines_of(job_id)})[:HUNG_COUNT]
    leader = model.runner()
    use_before = model.use(), model.cards()
    assert use_before == (TEAM["cpus_max"], 8.0) and leader is not None
    model.cloud.down = True
    model.at(int(CLOUD_FAULT_S * SECOND), lambda: setattr(model.cloud, "down", False))
    cancel_while_hung(model, ids, names, 60)
    if back_s is not None:
        model.run(2)
        model.nodes = [number for number in range(3) if number != leader]
        model.crash(leader, back_s)
    model.run(CANCEL_S + 5)
    # The case is reached: the tasks stayed until the cloud was back; the model checks that no limit was exceeded.
    assert CLOUD_FAULT_S - 1 < max(model.gone_s(job_id) for job_id in ids) < CANCEL_S
    assert all(model.jobs[job_id].told == "cancelled" for job_id in ids)
    model.run(60)
    assert (model.use(), model.cards()) == use_before
