"""Tests of the run-time estimates: their accuracy, merging, the records, and that nothing is counted twice."""

from __future__ import annotations

import math
import random
import statistics
from array import array
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ashtray.config.operators import OperatorSettings, load_token
from ashtray.config.settings import SettingsError
from ashtray.estimates.estimate_store import (
    SHARD_COUNT,
    EstimateRecord,
    UnreadableRecord,
    folded,
    pack,
    parse_record,
    shard_of,
    unpack,
)
from ashtray.estimates.learned import MAX_LEVELS, Estimates, levels
from ashtray.estimates.model import MAX_WEIGHT, WEIGHT, merge, new_row
from ashtray.estimates.operators import answer_operator
from ashtray.estimates.run_observer import RunObserver
from ashtray.kernel import SECOND_US
from ashtray.lab import replay, traces
from ashtray.placement.state_keys import ESTIMATE
from ashtray.workers.messages import TaskState
from tests.model import Model, submission


def run_of(**over: Any) -> traces.Run:
    values = {
        "job": "job-1",
        "job_class": "pages",
        "team": "studio",
        "image": "img",
        "machine": "m",
        "expect_s": 100.0,
        "run_s": 100.0,
        "best_s": 100.0,
        "best_p90_s": 100.0,
    }
    return traces.Run(**{**values, **over})


@pytest.mark.parametrize("kind", ["steady", "biased", "blind", "two-kinds"])
def test_after_thirty_completions_the_median_and_the_p90_are_right(kind: str) -> None:
    found = [replay.judge(traces.make(kind, seed, 120), replay.Learnt())[30] for seed in range(24)]
    assert sorted(error for error, _ in found)[12] < 0.10
    assert 0.87 < statistics.fmean(within for _, within in found) < 0.94


def test_a_threefold_shift_is_followed_after_twenty_completions() -> None:
    found = sorted(replay.judge(traces.make("shifted", seed, 240), replay.Learnt())[180][0] for seed in range(24))
    assert found[12] < 0.15
    owners = replay.judge(traces.make("shifted", 0, 240), replay.Owner())[180][0]
    assert owners > 1.0


def test_a_slow_machine_is_distinguished_from_its_peers() -> None:
    found = replay.accused(seeds=12, tasks=20)
    assert found["slow found"] > 0.8
    assert found["healthy accused"] < 0.01


def test_one_large_job_does_not_outweigh_the_others() -> None:
    estimates = Estimates()
    for n in range(10):
        estimates.add_run(replay.job_of(run_of(job=f"job-{n}")), 100 * SECOND_US)
    for _ in range(20_000):
        estimates.add_run(replay.job_of(run_of(job="job-large", expect_s=100.0)), 20 * SECOND_US)
    assert estimates.rows[""][WEIGHT] < 40
    assert estimates.median_us(replay.job_of(run_of())) > 25 * SECOND_US


@given(
    st.lists(st.tuples(st.floats(1e-6, 1e9), st.floats(0, 1e9), st.booleans(), st.sampled_from("abc")), max_size=60),
    st.floats(0, 1e6),
)
def test_any_observations_give_finite_ordered_estimates(
    seen: list[tuple[float, float, bool, str]], ran_s: float
) -> None:
    estimates = Estimates()
    for run_s, expect_s, ended, name in seen:
        job = replay.job_of(run_of(job_class=name, expect_s=expect_s))
        learn = estimates.add_run if ended else (lambda job, us, _: estimates.add_lower_bound(job, us))
        learn(job, int(run_s * SECOND_US), "m")
    for name in "abd":
        job = replay.job_of(run_of(job_class=name, expect_s=30.0))
        found = estimates.estimate(job)
        assert 0 < found.p10_us <= found.median_us <= found.p90_us <= found.p95_us < 1 << 62
        ran_us = int(ran_s * SECOND_US)
        chances = [estimates.chance(job, ran_us, us) for us in (0, SECOND_US, 60 * SECOND_US, 1 << 50)]
        assert chances == sorted(chances) and chances[0] >= 0.0 and chances[-1] <= 1.0
    assert all(math.isfinite(number) for row in estimates.rows.values() for number in row)


ROWS = st.lists(st.lists(st.floats(1.0, 5000.0), min_size=1, max_size=6), min_size=3, max_size=3)


@given(ROWS)
def test_merging_in_any_order_gives_the_same(runs: list[list[float]]) -> None:
    def row(values: list[float]) -> array[float]:
        estimates = Estimates()
        for n, run_s in enumerate(values):
            estimates.add_run(
                replay.job_of(run_of(job=f"job-{n}", expect_s=run_s * (1 + n / 3))), int(run_s * SECOND_US)
            )
        return estimates.rows[""]

    a, b, c = (row(values) for values in runs)
    for left, right in ((merge(a, b), merge(b, a)), (merge(merge(a, b), c), merge(a, merge(b, c)))):
        assert list(left) == pytest.approx(list(right), rel=1e-3, abs=1e-3)
    later = array("f", a)
    later[10] += 1
    assert merge(later, b) == merge(b, later) == later


@given(st.lists(st.tuples(st.text(max_size=1200), st.text(max_size=40)), max_size=60), st.integers(1500, 8000))
def test_records_stay_within_their_size_limit_for_any_names(names: list[tuple[str, str]], most: int) -> None:
    estimates = Estimates()
    for name, image in names:
        estimates.add_run(replay.job_of(run_of(job_class=name, image=image)), 7 * SECOND_US)
    record = folded(None, "berth-0", (3, 1), estimates.fresh, most)
    assert len(msgspec.json.encode(record)) <= most
    assert parse_record(msgspec.to_builtins(record)) == record


def test_the_number_of_levels_is_bounded() -> None:
    estimates = Estimates()
    for n in range(MAX_LEVELS):
        estimates.add_run(replay.job_of(run_of(job=f"job-{n}", job_class=f"class-{n}")), SECOND_US)
    assert len(estimates.rows) == MAX_LEVELS and len(estimates.fresh) <= MAX_LEVELS
    # Levels in use are kept.
    assert "" in estimates.rows and levels(replay.job_of(run_of(job_class=f"class-{MAX_LEVELS - 1}")).spec)[3]


@pytest.mark.parametrize(
    "value",
    [None, {"form": 1}, {"form": 9, "applied": {}, "rows": {}}, {"form": 1, "applied": {}, "rows": {"": "AAAA"}}],
)
def test_an_unreadable_record_is_not_overwritten(value: Any) -> None:
    model = Model(1)
    key = f"{ESTIMATE}0"
    model.state.revision += 1
    model.state.keys[key] = (value, model.state.revision, None)
    model.submit(submission("job-1", crew="free"))
    model.run(90)
    assert model.jobs["job-1"].told == "done"
    assert model.state.keys[key][0] == value


def test_only_complete_runs_count_as_run_times() -> None:
    jobs = {"job-1": replay.job_of(run_of(expect_s=10.0))}
    estimates = Estimates()
    observer = RunObserver(estimates, jobs.get)

    def compare_reports(*states: tuple[str, str | None]) -> None:
        began: dict[Any, int] = {}
        old: dict[Any, TaskState] = {}
        for n, (state, cause) in enumerate(states):
            new = {("job-1", 1, 0): TaskState(state, cause)} if state else {}
            observer.report("m", began, old, new, n * 50 * SECOND_US)
            old = new

    compare_reports(("fetching", None), ("running", None), ("ended", "error"))
    assert not estimates.rows
    compare_reports(("running", None), ("ended", "stopped"))
    assert estimates.median_us(jobs["job-1"]) > 10 * SECOND_US
    compare_reports(("waiting", None), ("running", None), ("ended", "done"))
    assert estimates.estimate(jobs["job-1"]).weight > 0.9
    before = estimates.rows[""][WEIGHT]
    # The task was running when its worker came from another controller, so its start time is unknown.
    began: dict[Any, int] = {}
    observer.report("m", began, None, {("job-1", 1, 0): TaskState("running", None)}, 0)
    observer.report("m", began, {}, {("job-1", 1, 0): TaskState("ended", "done")}, SECOND_US)
    assert estimates.rows[""][WEIGHT] == before


@pytest.mark.parametrize("seed", range(4))
def test_nothing_is_counted_twice_through_crashes_and_lost_answers(seed: int) -> None:
    rng = random.Random(seed)
    model = Model(seed)
    weights: list[float] = []
    for host in model.hosts:
        _record_weights(host.core, weights)
    start_unrecorded = model.start_host

    def start_recorded(host: Any) -> None:
        start_unrecorded(host)
        _record_weights(host.core, weights)

    model.start_host = start_recorded  # type: ignore[method-assign]
    for n in range(30):
        model.submit(submission(f"job-{n}", crew="free", pieces=2))
        model.run(2)
        if n % 10 == 5:
            model.crash(rng.randrange(3), 2.0)
        model.late_share = 0.3 if 8 < n < 20 else 0.0
    model.run(150)
    rows = [value["rows"].get("") for key, (value, _, _) in model.state.keys.items() if key.startswith(ESTIMATE)]
    recorded_weight = sum(unpack(text)[WEIGHT] for text in rows if text)
    assert 0 < recorded_weight <= sum(weights) + 0.01 < MAX_WEIGHT
    # By now every observation that was not lost with a process is in a record.
    unwritten = sum(h.core.estimate_store.estimates.fresh.get("", new_row())[WEIGHT] for h in model.hosts)
    assert unwritten == pytest.approx(0.0, abs=0.01)


def _record_weights(core: Any, weights: list[float]) -> None:
    """Append the weight of each observation that the core adds from now on to `weights`."""
    estimates = core.estimate_store.estimates
    weigh = estimates._weight

    def recorded(job_id: str) -> float:
        weights.append(weigh(job_id))
        return weights[-1]

    estimates._weight = recorded


def test_rows_can_be_encoded_and_decoded() -> None:
    estimates = Estimates()
    for n in range(50):
        estimates.add_run(replay.job_of(run_of(job=f"job-{n}")), (60 + n) * SECOND_US)
    for row in estimates.rows.values():
        assert list(unpack(pack(row))) == pytest.approx(list(row), rel=1e-3, abs=1e-3)
    with pytest.raises(UnreadableRecord):
        unpack("not base 64")
    assert {shard_of(key) for key in (f"class-{n}" for n in range(99))} == set(range(SHARD_COUNT))
    assert EstimateRecord(1, {}, {}) == parse_record({"form": 1, "applied": {}, "rows": {}, "later": 3})


def test_operators_can_list_and_forget_estimates() -> None:
    estimates = Estimates()
    for n in range(20):
        estimates.add_run(replay.job_of(run_of(job=f"job-{n}", expect_s=50.0)), 100 * SECOND_US)
    status, body = answer_operator(estimates, "GET", "/operators/estimates/pages", None)
    assert status == 200 and all(1.7 < row["ratio"] < 2.1 for row in body["estimates"])
    assert [row["level"] for row in body["estimates"]] == sorted(
        (key for key in estimates.rows if key), key=lambda key: (-round(estimates.rows[key][WEIGHT], 1), key)
    )
    known = {key: array("f", row) for key, row in estimates.rows.items()}
    for method, path, sent, expected in (
        ("GET", "/operators/estimates/nobody", None, 404),
        ("POST", "/operators/estimates", None, 405),
        ("POST", "/operators/estimates/forget", {"class": 3}, 400),
        ("GET", "/operators/else", None, 404),
        ("POST", "/operators/estimates/forget", {"class": "pages"}, 200),
    ):
        assert answer_operator(estimates, method, path, sent)[0] == expected
    # Neither the old records nor another controller's row bring a forgotten class back.
    estimates.load(known)
    assert answer_operator(estimates, "GET", "/operators/estimates/pages", None)[0] == 404
    assert merge(known["pages"], estimates.fresh["pages"])[WEIGHT] == 0


@pytest.mark.parametrize(
    ("text", "named"), [(None, "No such file"), ("short", "at least 16"), ("two words of it, long", "one word")]
)
def test_an_unusable_operators_token_is_refused(tmp_path: Path, text: str | None, named: str) -> None:
    file = tmp_path / "token"
    if text is not None:
        file.write_text(text)
    with pytest.raises(SettingsError, match=named):
        load_token(OperatorSettings(token_file=str(file)))
    assert load_token(OperatorSettings()) is None
