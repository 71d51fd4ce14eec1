"""Jobs that wait although machines have free resources and their team is under its limit.

In each test here, one controller has an idle share of the team's limit, held there by a job that cannot be placed.
Another controller has a job that fits on a machine but has no share left.
"""

from __future__ import annotations

from typing import Any

import pytest

from tests.meeting_model import Meeting, batch, some
from tests.model import TEAM, submission

SERVICES_PER_SHARE = 4
"""This many services of one task use up a controller's equal share of the limit."""
PLACED_WITHIN_S = 10.0
"""A job that fits on a machine and whose team is under its limit is placed within this time."""
HOLDERS: dict[str, dict[str, Any]] = {
    "its machines cannot be had": {"hulls": ["big"], "urgency": "prod"},
    "its gang's machines cannot be had": {"shape": "gang", "hulls": ["big"], "urgency": "prod"},
    "its zone has no machines": {"shape": "gang", "yard": "b", "hulls": ["small"], "urgency": "prod"},
    "it must be in two zones": {"shape": "gang", "spread": True, "hulls": ["small"], "urgency": "urgent"},
    "it is too large beside services": {"shape": "gang", "pieces": 11, "hulls": ["small"], "urgency": "prod"},
}
"""Jobs that hold an idle share, each with the reason why it cannot be placed."""


def submit_to(model: Meeting, controller: int, spec: dict[str, Any]) -> None:
    """Submit a job to a controller, which places it."""
    model.nodes = [controller]
    model.submit(spec)
    model.run(0.2)
    model.nodes = None


def service(number: int, **fields: Any) -> dict[str, Any]:
    """A service of one task on a small machine in zone a."""
    base = {"shape": "service", "pieces": 1, "hulls": ["small"], "yard": "a", "expect_s": 0.0}
    return submission(f"job-{number}", **{**base, **fields})


def use_shares(hosts: int) -> tuple[Meeting, float, list[str]]:
    """Let all controllers but the first use their shares of the limit, on all machines that the cloud has.

    Two machines have free resources for one more task at least.  Returns the model, the CPUs of each task, and the
    ids of the services that use the shares.
    """
    model = Meeting(91, hosts)
    cpus = TEAM["cpus_max"] / hosts / SERVICES_PER_SHARE
    model.cloud.capacity = 15
    model.run(3)
    # These tasks fill their machines, and will end.
    model.long.add("job-90")
    submit_to(model, 0, batch(90, pieces=5, cpus=4.0, yard="a"))
    ids = []
    for n in range((hosts - 1) * SERVICES_PER_SHARE):
        spec = service(n, cpus=cpus)
        ids.append(spec["name_id"])
        submit_to(model, 1 + n % (hosts - 1), spec)
    model.run(15)
    for n in range(2):
        submit_to(model, 0, service(100 + n, crew="free", cpus=1.0, memory_gb=9.0))
    model.run(15)
    model.cloud.capacity = len(model.cloud.alive())
    return model, cpus, ids


@pytest.mark.parametrize("hosts", some([3], [5, 7]))
@pytest.mark.parametrize("holder", HOLDERS)
def test_a_job_that_fits_nowhere_keeps_no_share_from_a_job_that_fits(holder: str, hosts: int) -> None:
    # An urgent job for machines that the cloud did not have kept 7 of 24 CPUs idle for 90 s (night 107).
    model, cpus, ids = use_shares(hosts)
    own_share = SERVICES_PER_SHARE * cpus
    submit_to(model, 0, submission("job-50", **{"pieces": SERVICES_PER_SHARE, "cpus": cpus, **HOLDERS[holder]}))
    model.run(5)
    grants = model.hosts[1].core.grants
    shares = {name: grants._shares("crew")[name][0] for name in grants.hosts}
    waiting_jobs = set(model.hosts[1].core.cluster_state.waiting())
    used = model.use()
    model.long.add("job-60")
    submit_to(model, 1, batch(60, crew="crew", pieces=2, cpus=cpus, memory_gb=0.5, yard="a"))
    # The situation: all of the limit but the first controller's idle share is in use, and a job waits there.
    assert shares == pytest.approx(dict.fromkeys(grants.hosts, own_share))
    assert used == pytest.approx(TEAM["cpus_max"] - own_share) and waiting_jobs == {"job-50"}
    model.run(PLACED_WITHIN_S)
    assert {task for task in model.on if task[0] == "job-60"} == {("job-60", 0), ("job-60", 1)}
    # Shares do not move back and forth.
    changes = model.state.revision
    model.run(15)
    assert model.state.revision - changes < 15
    # The waiting job starts once there are machines for it and the team is far enough below its limit.
    model.cloud.capacity += 12
    for job_id in [*ids, "job-60"]:
        model.cancel(job_id)
    model.run(40)
    assert model.job_starts.get("job-50", 0) >= SERVICES_PER_SHARE
