"""Tests of upgrades, of job pipelines, and of state-service limits that are lowered without notice.

During an upgrade both versions work on the same data.  A pipeline consists of jobs with dependencies.
"""

import os

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from ashtray.config.operators import OperatorSettings
from tests import production
from tests.model import Model, submission
from tests.test_model import FAULT, JOB, begin, finish, strike

SECOND = 1_000_000
RUNS = int(os.environ.get("ASHTRAY_MODEL_RUNS", "30"))
"""The number of generated examples."""
LOWER_LIMITS = st.sampled_from([(2.0, 5), (2.0, 6), (1.5, 5), (4.0, 4)])
"""The limits of the state service after they are lowered: value size in KiB, operations per transaction."""
PIPELINE = st.lists(
    st.tuples(JOB.filter(lambda job: job["shape"] != "service"), st.sets(st.integers(1, 4), max_size=3)),
    min_size=2,
    max_size=8,
)
"""Each job with the offsets, counted backwards in the list, of the jobs that it depends on."""


def pipeline(model: Model, jobs: list[tuple], first: int, at_s: float, pace_s: float) -> None:
    """Submit the jobs in order; each is submitted after the jobs it depends on have been accepted."""

    def submit(n: int) -> None:
        spec, back = jobs[n]
        needs = sorted(f"job-{first + n - b}" for b in back if b <= n)
        if all(model.jobs[need].accepted_us is not None for need in needs):
            model.submit(submission(f"job-{first + n}", **spec, waits_on=needs))
            if n + 1 < len(jobs):
                model.at(int(pace_s * SECOND), lambda: submit(n + 1))
        else:
            model.at(SECOND // 2, lambda: submit(n))

    model.at(int(at_s * SECOND), lambda: submit(0))


@settings(max_examples=RUNS, phases=[Phase.explicit, Phase.generate], suppress_health_check=list(HealthCheck))
@given(
    st.integers(0, 10**6),
    PIPELINE,
    PIPELINE,
    st.floats(0.1, 8),
    st.lists(st.tuples(st.floats(5, 60), FAULT), max_size=10),
    st.lists(st.tuples(st.floats(8, 70), st.integers(0, 15)), max_size=3),
    LOWER_LIMITS,
    st.floats(3, 60),
)
def test_pipelines_keep_every_rule_while_limits_fall(seed, one, other, pace_s, faults, cancels, following, fall_s):
    model = Model(seed, following=following)
    model.checks()
    model.ask_unknown()
    pipeline(model, one, 0, 4, pace_s)
    pipeline(model, other, len(one), 12, pace_s)
    strike(model, faults)
    for at_s, number in cancels:
        model.at(int(at_s * SECOND), lambda number=number: model.cancel(f"job-{number}"))
    model.at(int(fall_s * SECOND), model.limits_fall)
    model.run(80)
    assert not model.refusals
    finish(model, 160)


@pytest.fixture(scope="module")
def before():
    package = production.load()
    if package is None:
        pytest.skip("git cannot provide the sources of the production version")
    return package


def upgrade(model: Model, order: list[int], every_s: float, crashes: list[tuple[float, int]]) -> float:
    """Restart the controllers with the new version in the given order, from 20 s on.

    `crashes` restart them at other times with the version that they run at that time.  Returns the time in seconds
    by which all controllers run the new version.
    """

    def restart_upgraded(number: int) -> None:
        model.hosts[number].old = False
        model.crash(number, 1.5)

    for at_s, number in crashes:
        model.at(int(at_s * SECOND), lambda number=number: model.crash(number, 1.5))
    for n, number in enumerate(order):
        model.at(int((20 + n * every_s) * SECOND), lambda number=number: restart_upgraded(number))
    return 20 + len(order) * every_s + 4


# These runs execute both versions and are slower, so there are fewer than above.
@settings(
    max_examples=max(RUNS // 2, 1), phases=[Phase.explicit, Phase.generate], suppress_health_check=list(HealthCheck)
)
@given(
    st.integers(0, 10**6),
    st.lists(JOB, min_size=4, max_size=12),
    PIPELINE,
    st.permutations([0, 1, 2]),
    st.floats(2, 10),
    st.lists(st.tuples(st.floats(5, 40), st.integers(0, 2)), max_size=3),
    st.lists(st.tuples(st.floats(5, 60), FAULT), max_size=8),
    st.one_of(LOWER_LIMITS, st.none()),
    st.floats(4, 30),
)
def test_both_versions_serve_side_by_side_until_all_are_new(
    before, seed, jobs, stages, order, every_s, crashes, faults, following, fall_s
):
    model = Model(seed, operator_settings=OperatorSettings(), following=following, before=before)
    begin(model, seed, jobs, 60)
    over_s = upgrade(model, order, every_s, crashes)
    # A long pause of a controller would bring in the new form while a controller of the old version still runs.
    strike(model, [(at_s, fault) for at_s, fault in faults if fault[0] not in ("halt",) or at_s < 15])
    pipeline(model, stages, 20, over_s + 12, 0.5)
    if following is not None:
        # Without lower limits to come, the compact form is still used once all controllers are upgraded.
        model.at(int((over_s + fall_s) * SECOND), model.limits_fall)
    model.run(over_s + 60)
    assert all(not host.old for host in model.hosts)
    assert following is not None or any(host.core and host.core.limits.compact for host in model.hosts)
    assert not model.refusals
    finish(model, 160)
