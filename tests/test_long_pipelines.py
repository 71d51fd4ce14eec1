"""Pipelines of many jobs: what one record makes a controller compute, and that it computes the right values."""

from __future__ import annotations

import random
import time
from collections.abc import Iterable

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ashtray.jobs.model import FINAL_STATE_PREFIX, LIVE_JOB_PREFIX, JobRecord, JobSpec
from ashtray.kernel import Reply
from ashtray.placement.cluster_state import ClusterState
from ashtray.store.transaction import Txn
from tests.model import Model

SECOND = 1_000_000
MAX_TURN_S = 2.0
"""Users wait this long for the answer to a question: one record must not occupy a controller for longer."""
ANSWERED_S = 60
"""A job about which no question is answered for 75 s counts as forgotten; the start took some of that."""
POLL_S = 5
"""How often users ask about each of their jobs."""


class Pipeline:
    """A cluster state into which a pipeline's records are put, with the longest processor time of one of them."""

    def __init__(self) -> None:
        self.state = ClusterState()
        self.specs: dict[str, JobSpec] = {}
        self.revision = 1
        self.longest_s = 0.0

    def add(
        self,
        number: int,
        needs: Iterable[int] = (),
        estimate_us: int = 60 * SECOND,
        priority: int = 2,
        deadline_us: int | None = None,
    ) -> None:
        """Add a job to the pipeline; `put` puts its record."""
        self.specs[f"job-{number}"] = JobSpec(
            "any", "crew", "array", priority, 1, 1.0, 0.0, 1.0, "img", 1.0,
            estimate_us=estimate_us, deadline_us=deadline_us, needs=[f"job-{need}" for need in needs],
        )  # fmt: skip

    def put(self, job_id: str) -> None:
        """Put a job's record."""
        record = msgspec.to_builtins(JobRecord(self.specs[job_id], "berth-0", 0))
        self.timed(lambda: self.state.put(LIVE_JOB_PREFIX + job_id, record, self.revision))

    def end(self, job_id: str, status: str) -> None:
        """Put a job's final state and remove its record."""
        final_state = {"status": status, "done": 1, "at_us": self.revision * SECOND}
        self.timed(lambda: self.state.put(FINAL_STATE_PREFIX + job_id, final_state, self.revision))
        self.timed(lambda: self.state.remove(LIVE_JOB_PREFIX + job_id, self.revision))

    def read(self) -> None:
        """Note that all changes so far were read."""
        self.timed(lambda: self.state.read(self.revision))

    def timed(self, step) -> None:
        """Carry out a step, and measure its processor time."""
        self.revision += 1
        began_s = time.process_time()
        step()
        self.longest_s = max(self.longest_s, time.process_time() - began_s)

    def values(self) -> dict[str, tuple[int, int | None, int, bool]]:
        """Return the priority, the latest start, the ready time and the readiness of each live job."""
        ready = self.state.dependencies.ready
        return {
            job_id: (job.priority, job.start_by_us, job.ready_us, ready(job))
            for job_id, job in sorted(self.state.jobs.items())
        }


def doubling(stages: int) -> Pipeline:
    """Return a pipeline of two jobs a stage, in which each path from the last job has a length of its own."""
    pipeline = Pipeline()
    for stage in range(stages):
        needs = [2 * stage - 2, 2 * stage - 1] if stage else []
        pipeline.add(2 * stage, needs, 60 * SECOND + 20 * 2**stage)
        pipeline.add(2 * stage + 1, needs)
    pipeline.add(2 * stages, [2 * stages - 2, 2 * stages - 1], priority=1, deadline_us=7200 * SECOND)
    return pipeline


def random_estimates(stages: int, width: int, seed: int) -> Pipeline:
    """Return a pipeline with estimates drawn at random; each job needs all jobs of the stage before it."""
    drawn = random.Random(seed)
    pipeline = Pipeline()
    for stage in range(stages):
        needs = range((stage - 1) * width, stage * width) if stage else ()
        for number in range(stage * width, (stage + 1) * width):
            pipeline.add(number, needs, drawn.randrange(SECOND, 600 * SECOND))
    last = stages * width
    pipeline.add(last, range(last - width, last), priority=1, deadline_us=7200 * SECOND)
    return pipeline


# Guards against forgotten: the last job of a pipeline makes every controller follow each path through it.
def test_the_last_job_of_a_long_pipeline_does_not_make_a_controller_stand_still():
    pipeline = doubling(22)
    for job_id in pipeline.specs:
        pipeline.put(job_id)
    assert pipeline.longest_s < MAX_TURN_S
    assert {job.priority for job in pipeline.state.jobs.values()} == {1}
    assert pipeline.values() == expected(pipeline)


# Guards against forgotten after a restart: the records of a pipeline arrive in any order.
@pytest.mark.parametrize("order", ["accepted", "by key", "reversed", "shuffled"])
@pytest.mark.parametrize(
    "make", [lambda: doubling(22), lambda: random_estimates(16, 16, 1)], ids=["doubling", "wide"]
)
def test_a_controller_that_reads_a_long_pipeline_in_any_order_does_not_stand_still(make, order):
    pipeline = make()
    ids = list(pipeline.specs)
    if order == "by key":
        ids.sort()
    elif order == "reversed":
        ids.reverse()
    elif order == "shuffled":
        random.Random(3).shuffle(ids)
    for job_id in ids:
        pipeline.put(job_id)
    pipeline.read()
    assert pipeline.longest_s < MAX_TURN_S
    assert pipeline.values() == expected(pipeline)


# Guards against the same in the middle of a pipeline: ends and cancellations of jobs that hundreds of others name.
@pytest.mark.parametrize("status", ["done", "cancelled"])
def test_the_ends_of_a_wide_stage_do_not_make_a_controller_stand_still(status):
    pipeline = random_estimates(3, 300, 2)
    for job_id in pipeline.specs:
        pipeline.put(job_id)
    began_s = time.process_time()
    for number in range(300):
        pipeline.end(f"job-{number}", status)
        pipeline.state.waiting()
    assert time.process_time() - began_s < MAX_TURN_S
    if status == "done":
        assert pipeline.values() == expected(pipeline, {f"job-{n}" for n in range(300)})
        assert set(pipeline.state.waiting()) == {f"job-{n}" for n in range(300, 600)}
    else:
        assert set(pipeline.state.dependencies.cancelled_by) == set(pipeline.state.jobs)
        # The cancelled jobs of the next stages are removed one after the other.
        for number in range(300, 901):
            pipeline.end(f"job-{number}", "cancelled")
        assert not pipeline.state.jobs and not pipeline.state.dependencies.dependents
        assert pipeline.longest_s < MAX_TURN_S


class TimedModel(Model):
    """The model, with a check that no input occupies a controller for longer than a user waits."""

    def _input(self, *args) -> None:
        began_s = time.process_time()
        super()._input(*args)
        assert time.process_time() - began_s < MAX_TURN_S


def restart_all_after_first_stage(model: Model, pipeline: Pipeline, width: int) -> list[str]:
    """Restart all controllers with a pipeline whose first stage is done; returns the ids of its live jobs."""
    for number, (job_id, spec) in enumerate(pipeline.specs.items()):
        if number < width:
            key, value = FINAL_STATE_PREFIX + job_id, {"status": "done", "done": 1, "at_us": SECOND}
        else:
            accepting_host = f"berth-{number % len(model.hosts)}"
            key, value = LIVE_JOB_PREFIX + job_id, msgspec.to_builtins(JobRecord(spec, accepting_host, 0))
        model.state.handle(model.now, "POST", "/txn", Txn().put(key, value).body())
    for host in model.hosts:
        model.crash(host.number, 0.1)
    model.run(0.5)
    return list(pipeline.specs)[width:]


# Guards against forgotten after a restart: each question about a pipeline whose first stage was done before followed
# all paths through it, again after each final state that was read.
def test_questions_while_final_states_are_read_do_not_make_a_controller_stand_still():
    width = 180
    model = TimedModel(4)
    model.cloud.capacity = 0
    model.run(3)
    live = restart_all_after_first_stage(model, random_estimates(6, width, 4), width)
    told: dict[str, str] = {}

    def ask(job_id: str) -> None:
        def answered(reply: Reply) -> None:
            if reply.status == 200:
                told[job_id] = reply.body["status"]

        model._ask("GET", f"/submissions/{job_id}", None, 2, answered)

    for _ in range(ANSWERED_S // POLL_S):
        for job_id in live:
            ask(job_id)
        model.run(POLL_S)
    assert told == dict.fromkeys(live, "pending")


def expected(pipeline: Pipeline, done: set[str] = frozenset()) -> dict[str, tuple[int, int | None, int, bool]]:  # type: ignore[assignment]
    """Return what `Pipeline.values` must return for a pipeline none of whose live jobs is cancelled."""
    live = pipeline.state.jobs
    found: dict[str, tuple[int, int | None, int, bool]] = {}
    for job_id in sorted(live, key=lambda job_id: int(job_id[4:]), reverse=True):
        spec = pipeline.specs[job_id]
        starts = [] if spec.deadline_us is None else [spec.deadline_us - 2 * spec.estimate_us]
        above = [found[other] for other in found if job_id in pipeline.specs[other].needs]
        starts += [start_by_us - 2 * spec.estimate_us for _, start_by_us, _, _ in above if start_by_us is not None]
        ends_us = [pipeline.state.final_states[need]["at_us"] for need in spec.needs if need in done]
        found[job_id] = (
            min([spec.priority, *(priority for priority, *_ in above)]),
            min(starts, default=None),
            max(ends_us, default=0),
            done >= set(spec.needs),
        )
    return dict(sorted(found.items()))


JOBS = st.lists(
    st.tuples(
        st.sets(st.integers(1, 12), max_size=4),
        st.integers(1, 50),
        st.integers(0, 3),
        st.one_of(st.none(), st.integers(100, 900)),
    ),
    min_size=1,
    max_size=12,
)
"""For each job how many jobs before it the jobs that it needs are, its estimate, its priority and its deadline."""


@given(JOBS, st.randoms(use_true_random=False), st.booleans())
def test_urgency_and_readiness_follow_from_the_graph_whatever_the_order_of_its_records(jobs, drawn, in_order):
    pipeline = Pipeline()
    for number, (distances, estimate_s, priority, deadline_s) in enumerate(jobs):
        needs = sorted({number - distance for distance in distances if distance <= number})
        deadline_us = None if deadline_s is None else deadline_s * SECOND
        pipeline.add(number, needs, estimate_s * SECOND, priority, deadline_us)
    ids = list(pipeline.specs)
    if not in_order:
        drawn.shuffle(ids)
    for job_id in ids:
        pipeline.put(job_id)
    pipeline.read()
    assert pipeline.values() == expected(pipeline)
    done: set[str] = set()
    for _ in range(len(ids)):
        job_id = drawn.choice(ids)
        needs = set(pipeline.specs[job_id].needs)
        if job_id in pipeline.state.jobs and drawn.random() < 0.7 and needs <= done:
            pipeline.end(job_id, "done")
            done.add(job_id)
        elif job_id in pipeline.state.jobs:
            pipeline.put(job_id)
        assert pipeline.values() == expected(pipeline, done)
    # The last jobs are cancelled by their users, so the jobs before them become less urgent.
    for job_id in sorted(pipeline.state.jobs, key=lambda job_id: int(job_id[4:]), reverse=True):
        pipeline.end(job_id, "cancelled")
        assert pipeline.values() == expected(pipeline, done)


@given(JOBS, st.randoms(use_true_random=False))
def test_each_unknown_dependency_is_found_once_below_a_job(jobs, drawn):
    pipeline = Pipeline()
    for number, (distances, *_) in enumerate(jobs):
        pipeline.add(number, sorted({number - distance for distance in distances if distance <= number}))
    ids = list(pipeline.specs)
    ended = {job_id for job_id in ids if drawn.random() < 0.3}
    drawn.shuffle(ids)
    for job_id in ids:
        if job_id not in ended:
            pipeline.put(job_id)
    dependencies = pipeline.state.dependencies
    for job_id in ids:
        assert set(dependencies.unknown()) == unknown_below(pipeline, pipeline.state.jobs)
        job = pipeline.state.jobs.get(job_id)
        if job is None:
            continue
        wanted, found = unknown_below(pipeline, [job_id]), []
        # Another question waits for its first final state meanwhile, or gave up because that could not be read.
        next(dependencies.unknown_of(job), None)
        for dependency in dependencies.unknown_of(job):
            assert dependencies.is_unknown(dependency)
            found.append(dependency)
            # A read may find the final state of this one, or the follower may have brought some others meanwhile.
            for known in {dependency, *(other for other in wanted if drawn.random() < 0.2)}:
                wanted.discard(known)
                pipeline.end(known, "done")
        assert not wanted and len(found) == len(set(found))
        assert not unknown_below(pipeline, [job_id]) and not list(dependencies.unknown_of(job))
        if drawn.random() < 0.3:
            pipeline.end(job_id, drawn.choice(["done", "cancelled"]))


def unknown_below(pipeline: Pipeline, job_ids: Iterable[str]) -> set[str]:
    """Return the transitive dependencies of live jobs that are neither live nor over, by a plain search."""
    state, found, remaining = pipeline.state, set(), list(job_ids)
    seen = set(remaining)
    while remaining:
        for need in pipeline.specs[remaining.pop()].needs:
            if need in state.jobs:
                if need not in seen:
                    seen.add(need)
                    remaining.append(need)
            elif need not in state.final_states:
                found.add(need)
    return found
