"""One-task jobs, four a second, a quarter of them cancelled, while the owner or the leader ends, and beside a burst.

At the lower rate of changes of the state service: their users are told of each end within 3 s, but for the seconds
in which the machine that ran it has no owner, and nothing that waits or is kept grows.
"""

from __future__ import annotations

from typing import Any

import pytest

from tests.model import LEASE_S, REPORT_S, SECOND, submission
from tests.test_meetings_load import TOLD_S, LoadModel, set_up_load, small_jobs

LOWER_RPS = 18.0
"""Changes a second that the state service takes, of all controllers together."""
RATE = 4.0
BACK_S = 3.0
"""How long after its end a controller is back."""
BURST = 40
"""Jobs of one task that come at once, beside an array."""
MOST_WAITING = 30
"""Jobs that may wait for a place, and requests for their budget: seven seconds' worth."""


@pytest.fixture(autouse=True)
def lower_rate(monkeypatch: pytest.MonkeyPatch) -> None:
    """The state service takes few changes, and workers report soon after something has changed."""
    set_up_load(monkeypatch.setattr, LOWER_RPS)


def busiest_owner(model: LoadModel) -> int:
    """The controller that owns the most machines."""
    owners = [host.number for name in model.workers if (host := model.owner(name)) is not None]
    return max(range(len(model.hosts)), key=owners.count)


def watch(model: LoadModel, seconds: int) -> tuple[int, int]:
    """Let time pass; returns the most requests that waited for their budget, and jobs for a place."""
    queued = waiting = 0
    for _ in range(seconds):
        model.run(1)
        if all(host.core is not None for host in model.hosts):
            queued = max(queued, model.queues())
            waiting = max(waiting, *(len(host.core.cluster_state.waiting()) for host in model.hosts))
    return queued, waiting


def ends_told_late(model: LoadModel) -> list[float]:
    """When the tasks ended whose users were not told in time, in seconds."""
    return sorted(model.ended_us[job_id] / SECOND for job_id, _ in model.late)


def test_ends_are_told_in_time_at_the_lower_rate() -> None:
    # Found as 82 of 1,282: moving twelve records of what is over left a debt, and the folds waited until it was paid.
    model = small_jobs(1, RATE, 75, LOWER_RPS)
    ends: list[tuple[int, float]] = []
    handle = model.state.handle

    def note(now_us: int, method: str, path: str, body: Any) -> tuple[int, Any]:
        if path == "/txn":
            moved = sum("remove" in change for change in body.get("apply", ()))
            if moved > 1:
                ends.append((moved, now_us / SECOND))
        return handle(now_us, method, path, body)

    model.state.handle = note  # type: ignore[method-assign]
    queued, waiting = watch(model, 75)
    # The meeting: so many came and ended, and what is over was moved.
    assert len(model.ended_us) > 0.5 * RATE * 70 and ends
    share = LOWER_RPS / len(model.hosts)
    assert max(2 * moved for moved, _ in ends) <= share
    assert model.late == [] and model.state.over_rate == 0
    assert queued <= MOST_WAITING and waiting <= MOST_WAITING


@pytest.mark.parametrize("who", ["owner", "leader"])
def test_ends_are_told_in_time_again_soon_after_a_controller_ends(who: str) -> None:
    model = small_jobs(2, RATE, 70, LOWER_RPS)
    watch(model, 30)
    leader = model.leader()
    assert leader is not None
    number = busiest_owner(model) if who == "owner" else leader.number
    ended_s = model.now / SECOND
    model.crash(number, BACK_S)
    queued, waiting = watch(model, 40)
    late = ends_told_late(model)
    assert len(model.ended_us) > 0.4 * RATE * 65
    # Nothing but what ended shortly before, or before the machines had another owner.
    assert all(ended_s - TOLD_S <= at <= ended_s + LEASE_S + REPORT_S for at in late), late
    assert queued <= 2 * MOST_WAITING and waiting <= 2 * MOST_WAITING
    model.run(15)
    assert model.queues() <= 3
    assert all(job.told for job_id, job in model.jobs.items() if job_id in model.ended_us)


def test_ends_are_told_in_time_again_once_a_burst_is_placed() -> None:
    model = small_jobs(3, RATE, 60, LOWER_RPS)
    watch(model, 25)
    burst_s = model.now / SECOND
    for n in range(BURST):
        model.submit(submission(f"job-{5000 + n}", pieces=1, cpus=1.0, crew="free", hulls=["small"]))
    model.submit(submission("job-6000", pieces=60, cpus=1.0, crew="free", hulls=["small"]))
    queued, waiting = watch(model, 35)
    accepted = [job.accepted_us is not None for job_id, job in model.jobs.items() if job_id >= "job-5000"]
    assert all(accepted) and len(model.ended_us) > 0.4 * RATE * 55
    # Each of these jobs takes a change to be accepted and about two to be placed: all that there are for so long.
    all_changes_s = 3 * BURST / LOWER_RPS
    late = ends_told_late(model)
    assert all(burst_s - TOLD_S <= at <= burst_s + all_changes_s for at in late), late
    assert queued <= 3 * MOST_WAITING and waiting <= 3 * MOST_WAITING
    model.run(30)
    assert model.queues() <= 3
