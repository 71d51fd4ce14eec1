"""The unused rest of a team's limit while several controllers have urgent jobs of that team."""

import pytest

from tests.model import TEAM, Model, submission


@pytest.mark.parametrize("hosts", [3, 5])
@pytest.mark.parametrize("seed", [1, 2, 4])
def test_the_rest_of_a_limit_is_used_where_several_controllers_have_urgent_jobs(seed, hosts):
    # Otherwise the controllers take it from one another without end, before any of them can place a task with it.
    model = Model(seed, hosts)
    model.checks()
    model.run(3)
    model.submit(submission("job-0", shape="service", pieces=9, cpus=2.0, hulls=["small"]))
    model.run(25)
    assert model._team_uses() == 18.0
    for n in range(1, 3 * hosts):
        model.submit(submission(f"job-{n}", shape="service", pieces=4, cpus=3.0, hulls=["small"], urgency="prod"))
    before = model.state.revision
    model.run(60)
    # The jobs are with several controllers.
    records = model.hosts[0].core.cluster_state.jobs.values()
    assert len({job.record.owner for job in records if job.priority == 0}) > 1
    assert model._team_uses() == TEAM["cpus_max"]
    # Each acceptance, start and change of shares takes a few writes; shares moving back and forth took 312 to 695.
    assert model.state.revision - before < 250
