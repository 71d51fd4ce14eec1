"""Cancelled tasks on machines that hang, while the cloud that could delete them fares ill and duties change hands.

A machine that hangs may go on at any time within its lease; until it is deleted, what is on it counts as there.
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

MOST_HUNG = 8
DELETE = "/rentals/delete"
CLOUD_TROUBLE_S = 14.0
"""The cloud fares ill for so long after the cancellation: past the silence after which a machine is given up."""


def to_nobody(status: int, reply: Any) -> None:
    """An answer that is lost."""


class Hung(Meeting):
    """The model with a cloud that is out, at its rate limit, or whose answers to deletions are lost."""

    def __init__(self, seed: int, hosts: int = 3) -> None:
        self.trouble = ""
        self.trouble_until_us = 0
        self.troubled = 0
        """Deletions that fared ill."""
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
        struck = target == "cloud" and path == DELETE and self.now < self.trouble_until_us
        if struck:
            self.troubled += 1
        if struck and self.trouble == "out":
            answer(503, {"error": "trouble"})
        elif struck and self.trouble == "limited":
            answer(429, {"error": "too many requests"})
        elif struck and self.trouble == "lost":
            return
        else:
            unheard = struck and self.trouble == "answer lost"
            super()._arrive(source, target, method, path, body, to_nobody if unheard else answer, finish)

    def _machine_ends(self, name: str) -> None:
        self.deleted_us[name] = self.now
        super()._machine_ends(name)


def eight_at_work(seed: int, hosts: int) -> Hung:
    """Eight machines and more, each with tasks of a job of its own."""
    model = Hung(seed, hosts)
    model.begin([batch(n) for n in range(MOST_HUNG)], 40)
    assert len({name for n in range(MOST_HUNG) for name in model.machines_of(f"job-{n}")}) >= MOST_HUNG
    return model


def cancel_all_hung(model: Meeting, ids: list[str], names: list[str], hang_s: float) -> None:
    """Call jobs off while their machines hang, each at two controllers: the first confirmation counts."""
    model.hang_all(names, hang_s)
    for n, job_id in enumerate(ids):
        model.nodes = [n % len(model.hosts)]
        model.cancel(job_id)
        model.nodes = [(n + 1) % len(model.hosts)]
        model.at(SECOND // 10, lambda job_id=job_id: model.cancel(job_id))
    model.nodes = None


@pytest.mark.parametrize("hosts", [3, 5])
@pytest.mark.parametrize("trouble", ["out", "limited", "lost", "answer lost"])
@pytest.mark.parametrize("change_s", some([None, 2.0, 9.0], [0.2, 5.0, 12.0]))
def test_cancelled_tasks_on_eight_hung_machines_are_gone_in_time_though_deletions_fail(
    hosts: int, trouble: str, change_s: float | None
) -> None:
    model = eight_at_work(61, hosts)
    ids = [f"job-{n}" for n in range(MOST_HUNG)]
    names = sorted({name for job_id in ids for name in model.machines_of(job_id)})[:MOST_HUNG]
    runner = model.runner()
    assert runner is not None
    model.trouble, model.trouble_until_us = trouble, model.now + int(CLOUD_TROUBLE_S * SECOND)
    cancel_all_hung(model, ids, names, 60)
    if change_s is not None:
        model.run(change_s)
        model.nodes = [number for number in range(hosts) if number != runner]
        # The runner of the fleet ends, and with it the owner of some of these machines.
        model.crash(runner, 30)
    model.run(CANCEL_S + 5)
    # The meeting: all were confirmed, the machines hung, and a deletion fared ill before the one that counted.
    assert all(model.jobs[job_id].told == "cancelled" for job_id in ids)
    assert model.troubled >= 1
    assert change_s is None or model.runner() not in (None, runner)
    assert all(model.deleted_us[name] for name in names)
    assert max(model.gone_s(job_id) for job_id in ids) < CANCEL_S
    assert not model.late_starts


@pytest.mark.parametrize(
    "hang_s", some([LEASE_S - 1, LEASE_S + 2.0, LEASE_S + 4.2], [LEASE_S + 0.1, 11.5, 12.5, 13.0])
)
def test_a_machine_that_is_back_a_moment_before_its_deletion_has_ended_its_tasks(hang_s: float) -> None:
    model = eight_at_work(62, 3)
    ids = [f"job-{n}" for n in range(MOST_HUNG)]
    names = sorted({name for job_id in ids for name in model.machines_of(job_id)})[:MOST_HUNG]
    sessions = {name: model.workers[name].session for name in names}
    cancel_all_hung(model, ids, names, hang_s)
    model.run(hang_s + 0.1)
    # The meeting: they went on, after the end of their leases where they hung for longer.
    on = [name for name in names if name in model.workers]
    assert hang_s > LEASE_S + 4 or len(on) == MOST_HUNG
    assert hang_s < LEASE_S or all(model.workers[name].session > sessions[name] for name in on)
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
    names = sorted({name for job_id in ids for name in model.machines_of(job_id)})[:MOST_HUNG]
    runner = model.runner()
    full = model.use(), model.cards()
    assert full == (TEAM["cpus_max"], 8.0) and runner is not None
    model.cloud.down = True
    model.at(int(CLOUD_TROUBLE_S * SECOND), lambda: setattr(model.cloud, "down", False))
    cancel_all_hung(model, ids, names, 60)
    if back_s is not None:
        model.run(2)
        model.nodes = [number for number in range(3) if number != runner]
        model.crash(runner, back_s)
    model.run(CANCEL_S + 5)
    # The meeting: the tasks lingered until the cloud was back; no limit was overdrawn meanwhile.
    assert CLOUD_TROUBLE_S - 1 < max(model.gone_s(job_id) for job_id in ids) < CANCEL_S
    assert all(model.jobs[job_id].told == "cancelled" for job_id in ids)
    model.run(60)
    assert (model.use(), model.cards()) == full
