"""All rules of the model under all its troubles together; and tests of the troubles and of the checks themselves."""

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from ashtray.config.operators import OperatorSettings
from tests import nights
from tests.model import CANCEL_S, SECOND, LateStart, Model, RuleBroken, submission
from tests.model_troubles import Refusal
from tests.test_addition import NEW, at_work, trouble
from tests.test_model import FAULT, JOB, RUNS, begin, finish

SHARE, HOST_NUMBER, MACHINE_INDEX = st.floats(0.1, 0.9), st.integers(0, 2), st.integers(0, 11)
ONE_CONTROLLER_OR_ALL = st.sampled_from([None, 0, 1, 2])
TROUBLE = st.one_of(
    st.tuples(st.just("lose_answers"), SHARE, st.floats(2, 20), ONE_CONTROLLER_OR_ALL),
    st.tuples(st.just("write_late"), SHARE, st.floats(2, 20), ONE_CONTROLLER_OR_ALL),
    st.tuples(st.just("report_late"), SHARE, st.floats(5, 40)),
    st.tuples(st.just("keep_reports"), SHARE, st.floats(5, 40)),
    st.tuples(st.just("hold_commands"), SHARE, st.floats(5, 40)),
    st.tuples(st.just("copy_commands"), SHARE, st.floats(5, 40)),
    st.tuples(st.just("mute"), MACHINE_INDEX, st.integers(1, 12), st.floats(3, 30)),
    st.tuples(st.just("cut_from_state_and_peers"), HOST_NUMBER, st.floats(3, 30), st.booleans()),
    st.tuples(st.just("refuse"), HOST_NUMBER, st.floats(3, 30), st.sampled_from(list(Refusal))),
    st.tuples(
        st.just("refused_then_out"), HOST_NUMBER, st.floats(0.2, 5), st.floats(5, 30), st.sampled_from(list(Refusal))
    ),
    st.tuples(st.just("cancel_running"), st.integers(1, 10), st.sampled_from([0.0, 5.0, 11.0, 25.0]), MACHINE_INDEX),
    st.tuples(st.just("cancel_at_end"), SHARE, st.floats(5, 40)),
    st.tuples(st.just("odd_requests"), st.floats(5, 30)),
    st.tuples(st.just("boot_quickly"), st.floats(5, 60)),
    st.tuples(st.just("leaders_change"), st.integers(2, 8), st.floats(0.1, 6)),
)
MODEL_METHODS = {
    "lose_answers",
    "write_late",
    "report_late",
    "keep_reports",
    "hold_commands",
    "copy_commands",
    "cut_from_state_and_peers",
    "refuse",
    "cancel_running",
    "cancel_at_end",
    "odd_requests",
    "boot_quickly",
}
ALL_FAULTS = st.lists(st.tuples(st.floats(5, 60), st.one_of(TROUBLE, TROUBLE, FAULT, NEW)), min_size=8, max_size=18)


def begin_fault(model: Model, fault: tuple) -> None:
    """Begin a fault now; it ends by itself."""
    kind, *rest = fault
    if kind in MODEL_METHODS:
        getattr(model, kind)(*rest)
    elif kind == "mute":
        for name in (sorted(model.workers) * 2)[rest[0] :][: rest[1]]:
            model.mute(name, rest[2])
    elif kind == "refused_then_out":
        # While jobs are cancelled, the state service first refuses one controller, then all.
        number, first_s, out_s, how = rest
        model.refuse(number, first_s + out_s, how)
        model.cancel_running(4)
        model.at(int(first_s * SECOND), lambda: model.state_outage(out_s))
    elif kind == "leaders_change":
        for n in range(rest[0]):
            model.at(int(n * rest[1] * SECOND), lambda: end_leader(model, rest[1]))
    else:
        trouble(model, fault)


def end_leader(model: Model, back_s: float) -> None:
    """End the process of the fleet leader; it starts again after `back_s`."""
    for host in model.hosts:
        if host.core is not None and host.core.fleet_manager.running:
            model.crash(host.number, back_s)


def play(seed: int, jobs: list[dict], faults: list[tuple], hosts: int, group_size: int | None) -> Model:
    model = Model(seed, hosts, OperatorSettings(group_size=group_size))
    begin(model, seed, jobs)
    for at_s, fault in faults:
        model.at(int(at_s * SECOND), lambda fault=fault: begin_fault(model, fault))
    model.run(110)
    model.calm()
    return model


@settings(
    max_examples=max(RUNS // 15, 4), phases=[Phase.explicit, Phase.generate], suppress_health_check=list(HealthCheck)
)
@given(
    st.integers(0, 10**6),
    st.lists(JOB, min_size=8, max_size=14),
    ALL_FAULTS,
    st.sampled_from([3, 3, 5]),
    st.sampled_from([None, 1, 2]),
)
def test_no_rule_breaks_under_all_troubles_together(seed, jobs, faults, hosts, group_size):
    finish(play(seed, jobs, faults, hosts, group_size), 150)


@pytest.mark.parametrize("seed", range(1, 1 + max(RUNS // 30, 2)))
def test_no_rule_breaks_in_a_run_with_coinciding_troubles(seed):
    nights.play(seed)


# Each trouble has its effect

SERVICE = {"shape": "service", "pieces": 6, "crew": "free", "hulls": ["small"]}


def busy_model(seed: int = 3, close_looks: bool = True) -> Model:
    """A model with running tasks and more jobs to be submitted; with `close_looks`, users query closely."""
    model, _ = at_work(seed)
    if close_looks:
        model.look_closely()
    for n in range(20, 40):
        spec = submission(f"job-{n}", pieces=2, crew="free", hulls=["small"], expect_s=6.0)
        model.at((n - 20) * SECOND // 2, lambda spec=spec: model.submit(spec))
    return model


@pytest.mark.parametrize(
    ("begin_trouble", "happened"),
    [
        (lambda model: model.lose_answers(0.5, 10), {"answer lost"}),
        (lambda model: model.lose_answers(0.9, 10, 1), {"answer lost"}),
        (lambda model: model.write_late(0.5, 10), {"written late", "refused late"}),
        (lambda model: model.report_late(0.5, 10), {"report copied late"}),
        (lambda model: model.hold_commands(0.5, 10), {"late command refused"}),
        (lambda model: model.copy_commands(0.5, 10), {"copy of a command refused"}),
        (lambda model: model.mute(next(iter(sorted(model.workers))), 5), {"mute"}),
        (lambda model: model.refuse(0, 10), {"refused by 503"}),
        (lambda model: model.refuse(0, 10, Refusal.SILENCE), {"refused by silence"}),
        (lambda model: model.refuse(0, 10, Refusal.HELD), {"refused by held"}),
        (lambda model: model.cancel_running(6, 5), {"running jobs cancelled"}),
        (lambda model: model.cancel_at_end(0.8, 15), {"cancelled at its end"}),
    ],
    ids=lambda value: "-".join(sorted(value)).replace(" ", "_") if isinstance(value, set) else "",
)
def test_a_trouble_comes_about_and_no_rule_breaks(begin_trouble, happened):
    model = busy_model()
    begin_trouble(model)
    model.run(35)
    assert happened <= set(model.happened), model.happened
    model.calm()
    finish(model, 60)


@pytest.mark.parametrize("seed", [3, 4, 5])
def test_a_command_that_is_held_up_is_executed_late_where_the_machine_has_heard_nothing_newer(seed):
    model = busy_model(seed)
    model.hold_commands(1.0, 12)
    for at_s in (1, 5, 9):
        for name in sorted(model.workers):
            model.at(at_s * SECOND, lambda name=name: model.mute(name, 3.5))
    model.run(30)
    assert model.happened["command executed late"]
    model.calm()
    finish(model, 60)


def test_kept_reports_come_as_a_new_leader_begins_and_as_a_machine_gets_a_new_owner():
    model = busy_model()
    model.keep_reports(0.5, 30)
    model.run(3)
    end_leader(model, 3)
    model.roaming_until = model.now + 10 * SECOND
    model.run(30)
    assert {"report kept for the next owner", "report kept for the next leader"} <= set(model.happened)
    model.calm()
    finish(model, 60)


def test_odd_requests_are_refused_in_each_stage_of_a_start():
    model = busy_model()
    model.odd_requests(25)
    for number in range(3):
        model.crash(number, 1 + number)
    model.run(30)
    assert {"odd request answered 400", "odd request answered 422"} <= set(model.happened)
    # A controller that has just started can't check the submission yet.
    assert "odd request answered 503" in model.happened
    finish(model, 60)


def test_machines_are_up_within_two_seconds():
    model = Model(3)
    model.checks()
    model.boot_quickly(60)
    model.run(3)
    model.submit(submission("job-0", **SERVICE))
    model.run(12)
    assert model.cloud.machines
    assert all(machine.boot_us <= 2 * SECOND for machine in model.cloud.machines.values())
    assert model.on


def test_a_mute_machine_is_told_directly():
    model, name = at_work()
    model.mute(name, 6)
    renewed_us = model.workers[name].renewed_us
    taken = model.workers[name].tick
    model.run(5)
    assert model.workers[name].renewed_us <= renewed_us + SECOND
    body = {"baton": model.workers[name].token, "shift": model.workers[name].session, "orders": []}
    answers: list[int] = []
    model._arrive("c0", name, "POST", "/orders", body, lambda status, _: answers.append(status), lambda _: None)
    assert answers == [200]
    assert model.workers[name].tick > taken


def test_one_cut_from_state_and_peers_still_hears_workers_and_users():
    model, _ = at_work()
    model.cut_from_state_and_peers(0, 20)
    assert model._path("c0", "state") is None
    assert model._path("c0", "c1") is None
    assert model._path("user", "c0") is not None
    assert model._path(next(iter(model.workers)), "c0") is not None


# Each check detects a fault


def skip_barriers(model: Model, number: int) -> None:
    """Let a controller answer from its cluster state without bringing it up to date."""
    follower = model.hosts[number].core.follower

    def barrier(patient: bool = False):
        return True
        yield

    follower.barrier = barrier


@pytest.mark.parametrize("seed", [3, 4])
def test_close_looks_detect_a_controller_that_answers_from_an_outdated_cluster_state(seed):
    # Polls every two seconds alone don't detect it.
    model = busy_model(seed, close_looks=False)
    skip_barriers(model, 1)
    model.run(20)
    model = busy_model(seed)
    skip_barriers(model, 1)
    with pytest.raises(RuleBroken, match="forgotten: .* gets 404|went_back"):
        model.run(20)


@pytest.mark.parametrize("state", ["pending", "cancelled"])
def test_close_looks_detect_a_controller_that_tells_another_state_of_a_done_job(state):
    model = busy_model()
    jobs = model.hosts[2].core.jobs
    poll = jobs.poll

    def lie(request_id: int, job_id: str, forwarded: bool = False) -> None:
        if model.jobs[job_id].told == "done":
            jobs.kernel.answer(request_id, 200, {"name_id": job_id, "status": state, "done": 0, "running": 0})
        else:
            poll(request_id, job_id, forwarded)

    jobs.poll = lie
    with pytest.raises(RuleBroken, match=f"went_back: .* from done to {state}"):
        model.run(20)


def test_close_looks_detect_a_controller_that_accepts_a_known_job_as_new():
    model = busy_model()
    jobs = model.hosts[2].core.jobs
    jobs.submit = lambda request_id, body, forwarded=False: jobs.kernel.answer(
        request_id, 201, {"name_id": body["name_id"], "status": "pending"}
    )
    with pytest.raises(RuleBroken, match="went_back: .* is accepted anew"):
        model.run(20)


def prevent_kills(model: Model) -> None:
    """Prevent all controllers from killing tasks."""
    for host in model.hosts:
        worker_manager = host.core.worker_manager
        host.core.cluster_state.is_over = lambda job_id: False
        review = worker_manager._compute_orders
        worker_manager._compute_orders = lambda worker, machine, review=review: [
            order for order in review(worker, machine) if order["verb"] != "kill"
        ]


def model_with_service(seed: int = 3) -> Model:
    """A model with a running service, and only the checks that are always on."""
    model = Model(seed)
    model.run(3)
    model.submit(submission("job-0", **SERVICE))
    model.run(20)
    assert len(model.on) == SERVICE["pieces"]
    return model


def test_a_task_of_a_cancelled_job_is_detected_at_the_time_limit():
    model = model_with_service()
    prevent_kills(model)
    model.cancel("job-0")
    with pytest.raises(RuleBroken, match="ran_cancelled: job-0 is on"):
        model.run(CANCEL_S + 5)
    assert model.now - model.jobs["job-0"].cancelled_us == CANCEL_S * SECOND + 1


def test_a_task_of_a_cancelled_job_that_resumes_after_its_machine_hung_is_detected():
    model = model_with_service()
    prevent_kills(model)
    model.cancel("job-0")
    model.run(CANCEL_S - 1)
    assert model.jobs["job-0"].told == "cancelled"
    for name in sorted(model.workers):
        model.hang(name, 3)
    with pytest.raises(RuleBroken, match="ran_cancelled: job-0/. goes on after vm-.* hung"):
        model.run(5)


def test_a_machine_that_hung_beyond_its_lease_resumes_without_tasks():
    model = model_with_service()
    model.cloud.down = True
    for name in sorted(model.workers):
        model.hang(name, CANCEL_S + 5)
    model.run(1)
    model.cancel("job-0")
    model.run(CANCEL_S + 8)
    assert model.jobs["job-0"].told == "cancelled"
    assert not model.on


def test_starts_after_a_confirmed_cancellation_are_counted():
    model = Model(3)
    model.run(3)
    model.submit(submission("job-0", **SERVICE))
    for host in model.hosts:
        jobs = host.core.jobs
        jobs.abort = lambda request_id, job_id, forwarded=False, jobs=jobs: jobs.kernel.answer(
            request_id, 200, {"name_id": job_id, "status": "cancelled"}
        )
        jobs.poll = lambda request_id, job_id, forwarded=False, jobs=jobs: jobs.kernel.answer(request_id, 503, {})
    while not any(worker.tasks for worker in model.workers.values()):
        model.run(0.1)
    model.cancel("job-0")
    model.run(0.1)
    told_us = model.jobs["job-0"].cancelled_us
    assert told_us is not None
    assert not model.late_starts
    model.run(3)
    first = model.late_starts[0]
    assert first == LateStart("job-0", first.task, first.machine, first.after_us)
    assert first.machine in model.on["job-0", first.task]
    assert 0 < first.after_us <= model.now - told_us
    assert first.way.endswith("sent before and executed before the confirmation")


# Neglect


def prevent_placement(model: Model, *names: str) -> None:
    """Prevent all controllers from placing these jobs."""
    for host in model.hosts:
        presence = host.core.presence
        mine = presence.mine
        presence.mine = lambda job, mine=mine: job.id not in names and mine(job)


def submit_unplaced(model: Model, **changes) -> None:
    """Submit a job that no controller places, and end the troubles."""
    prevent_placement(model, "job-90")
    model.submit(submission("job-90", **{"crew": "free", "hulls": ["small"], **changes}))
    model.run(1)
    model.calm()


@pytest.mark.parametrize("shape", ["batch", "gang"])
def test_a_job_that_waits_beside_free_capacity_is_detected(shape):
    model = model_with_service()
    submit_unplaced(model, shape=shape, pieces=2, cpus=1.0)
    with pytest.raises(RuleBroken, match="neglected: job-90 has waited for 90 s with free capacity on vm-"):
        model.run(110)


@pytest.mark.parametrize(
    "changes",
    [
        {"hulls": ["big"]},
        {"cpus": 3.5},
        {"shape": "gang", "pieces": 40},
        {"yard": "b", "hulls": ["big"]},
        {"shape": "batch", "loaners": True, "memory_gb": 15.0},
    ],
    ids=str,
)
def test_a_job_without_free_capacity_does_not_count_as_neglected(changes):
    model = model_with_service()
    model.cloud.capacity = len(model.cloud.alive())
    submit_unplaced(model, **{"cpus": 1.0, **changes})
    model.run(110)


def test_a_job_whose_team_is_at_its_limit_does_not_count_as_neglected():
    model = model_with_service()
    model.submit(submission("job-1", shape="service", pieces=12, cpus=2.0, hulls=["small"]))
    model.run(20)
    assert model._team_uses() == 24.0
    submit_unplaced(model, crew="crew", cpus=1.0)
    model.run(110)


def test_acceptance_of_a_job_that_can_never_run_is_detected():
    model = busy_model()
    for host in model.hosts:
        host.core.jobs.submission_handler.refusal = lambda spec: None
    model.odd_requests(5)
    with pytest.raises(RuleBroken, match="accepted: 201 instead of 422"):
        model.run(5)


def test_acceptance_of_a_job_that_lacks_a_field_is_detected():
    model = busy_model()
    for host in model.hosts:
        jobs = host.core.jobs
        submit = jobs.submit
        jobs.submit = lambda request_id, body, forwarded=False, submit=submit: submit(
            request_id, {**submission("job-1"), **body}, forwarded
        )
    model.odd_requests(5)
    with pytest.raises(RuleBroken, match="accepted: 20. instead of 4"):
        model.run(5)
