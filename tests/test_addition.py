"""Tests of later requirements (for example that no job is forgotten) and of the kinds of faults added with them."""

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from ashtray.config.operators import OperatorSettings
from ashtray.placement import queue_order
from ashtray.workers.worker_manager import TOKEN_SHIFT
from tests.model import LEASE_S, REPORT_S, Model, RuleBroken, submission
from tests.test_model import JOB, RUNS, apply, begin, finish

SECOND = 1_000_000
NEW = st.one_of(
    st.tuples(st.just("deaf"), st.integers(0, 11), st.floats(2, 40), st.booleans()),
    st.tuples(st.just("deaf"), st.integers(0, 11), st.floats(2, 40), st.booleans()),
    st.tuples(st.just("copies"), st.floats(5, 40)),
    st.tuples(st.just("alone"), st.integers(0, 2), st.floats(3, 40), st.booleans()),
    st.tuples(st.just("blink"), st.integers(0, 2), st.floats(0.02, 0.8)),
    st.tuples(st.just("blink_all"), st.floats(0.02, 0.8), st.floats(0.0, 1.0)),
    st.tuples(st.just("bounce"), st.integers(0, 11), st.floats(0.02, 0.8)),
    st.tuples(st.just("crash"), st.integers(0, 2), st.floats(1, 8)),
    st.tuples(st.just("state_down"), st.floats(1, 14)),
    st.tuples(st.just("state_slow"), st.floats(0.05, 0.3), st.floats(2, 15)),
    st.tuples(st.just("cut_worker"), st.integers(0, 11), st.integers(0, 3), st.floats(1, 25), st.booleans()),
    st.tuples(st.just("hold_orders"), st.integers(0, 11), st.floats(0.3, 12)),
    st.tuples(st.just("roam"), st.floats(5, 30)),
    st.tuples(st.just("cancel"), st.integers(0, 9)),
    st.tuples(st.just("lose"), st.integers(0, 11)),
)
TROUBLES = st.lists(st.tuples(st.floats(8, 60), NEW), min_size=3, max_size=14)


def strike_anew(model: Model, faults: list[tuple]) -> None:
    for at_s, fault in faults:
        model.at(int(at_s * SECOND), lambda fault=fault: trouble(model, fault))


def trouble(model: Model, fault: tuple) -> None:
    kind, *rest = fault
    names = sorted(model.workers)
    if kind == "deaf":
        if names:
            model.deaf[names[rest[0] % len(names)]] = (model.now + int(rest[1] * SECOND), rest[2])
    elif kind == "copies":
        model.copies_until = model.now + int(rest[0] * SECOND)
    elif kind == "alone":
        for target in ("state", *(f"c{n}" for n in range(len(model.hosts)) if n != rest[0])):
            model.cut(f"c{rest[0]}", target, rest[1], rest[2])
        for job_id in sorted(model.jobs)[::2]:
            model.at(2 * SECOND, lambda job_id=job_id: model.cancel(job_id))
    elif kind == "blink":
        model.crash(rest[0], rest[1])
    elif kind == "blink_all":
        for number in range(len(model.hosts)):
            model.at(int(number * rest[1] * SECOND), lambda number=number: model.crash(number, rest[0]))
    elif kind == "bounce":
        if names:
            model.bounce(names[rest[0] % len(names)], rest[1])
    else:
        apply(model, fault)


def play_anew(seed: int, jobs: list[dict], faults: list[tuple], hosts: int) -> Model:
    model = Model(seed, hosts)
    begin(model, seed, jobs)
    strike_anew(model, faults)
    model.run(100)
    model.calm()
    return model


@settings(
    max_examples=max(RUNS // 4, 10), phases=[Phase.explicit, Phase.generate], suppress_health_check=list(HealthCheck)
)
@given(st.integers(0, 10**6), st.lists(JOB, min_size=3, max_size=10), TROUBLES, st.sampled_from([3, 3, 5]))
def test_no_rule_breaks_and_nothing_is_forgotten_under_the_troubles_that_are_new(seed, jobs, faults, hosts):
    finish(play_anew(seed, jobs, faults, hosts), 150)


# A machine whose reports arrive, but which receives nothing


def at_work(seed: int = 3) -> tuple[Model, str]:
    """Return a model whose fleet runs tasks, and the name of a machine with tasks."""
    model = Model(seed, 3, OperatorSettings(group_size=2))
    model.checks()
    model.run(3)
    for n in range(8):
        model.submit(submission(f"job-{n}", pieces=4, crew="free", hulls=["small"], expect_s=6.0))
    model.run(14)
    return model, next(name for name in sorted(model.workers) if model.workers[name].tasks)


@pytest.mark.parametrize("held", [False, True])
@pytest.mark.parametrize("seed", [3, 4, 5])
def test_a_machine_that_reports_but_receives_nothing_is_returned_and_its_tasks_run_elsewhere(seed, held):
    model, name = at_work(seed)
    model.deaf[name] = (model.now + 300 * SECOND, held)
    changes = model.state.revision
    model.run(5 * LEASE_S)
    # Its reports reached one controller after another all along; it is returned all the same, like a machine that
    # sends none.
    assert name not in model.workers
    # A new token for each report would have caused a stream of writes.
    assert model.state.revision - changes < 60
    model.run(60)
    assert {job.told for job in model.jobs.values()} == {"done"}


@pytest.mark.parametrize("seed", [3, 4, 5])
def test_a_machine_that_receives_again_within_its_lease_is_kept(seed):
    model, _ = at_work(seed)
    deaf_until_us = model.now + int(0.6 * LEASE_S * SECOND)
    # Choose a machine whose tasks run for longer than the machine receives nothing: an idle one would be returned.
    busy = [
        name
        for name, worker in sorted(model.workers.items())
        if any(task.state == "running" and task.end_us > deaf_until_us + SECOND for task in worker.tasks.values())
    ]
    name = busy[0]
    model.deaf[name] = (deaf_until_us, False)
    model.run(0.6 * LEASE_S)
    session = model.workers[name].session
    model.submit(submission("job-90", pieces=12, crew="free", hulls=["small"]))
    model.run(20)
    assert name not in model.cloud.deleted or not model.workers
    assert name not in model.workers or model.workers[name].session == session
    model.run(60)
    assert {job.told for job in model.jobs.values()} == {"done"}


def test_a_machine_that_reports_without_the_token_it_was_given_does_not_count_as_heard():
    model, name = at_work()
    host = next(host for host in model.hosts if name in host.core.worker_manager.workers)
    worker_manager = host.core.worker_manager
    worker = model.workers[name]
    model.deaf[name] = (model.now + 300 * SECOND, False)
    worker_manager.workers[name].token, worker_manager.workers[name].report = 0, None
    heard = []
    for _ in range(6):
        model.copy_arrives(name, host.number, worker.report())
        heard.append(worker_manager.workers[name].heard_us)
        model.run(1)
    # At the first report the token may not have reached the machine yet, so that report counts; later ones do not.
    assert len(set(heard)) == 1


# Copies


def test_a_copy_of_a_report_proves_nothing():
    model, _ = at_work()
    model.submit(submission("job-81", shape="service", pieces=9, crew="free", hulls=["small"]))
    model.run(15)
    # Choose a machine that is not returned as idle.
    name = min(name for name, worker in model.workers.items() if "job-81" in {key[0] for key in worker.tasks})
    model.workers[name].tick += 1
    copy = model.workers[name].report()
    sent = copy["shift"], copy["tick"]
    # The machine reports to changing controllers until every controller has received a report newer than the copy.
    # A controller that has not received one cannot recognize the copy as old.
    model.roaming_until = model.now + 60 * SECOND
    for _ in range(120):
        model.run(0.5)
        known = [host.core.worker_manager.workers.get(name) for host in model.hosts]
        if all(worker is not None and worker.newest > sent for worker in known):
            break
    model.roaming_until = 0
    model.run(3 * REPORT_S)
    # At least the controller that owns the machine has received a report with the token that this controller issued.
    assert any(host.core.worker_manager.workers[name].token_confirmed for host in model.hosts)
    for host in model.hosts:
        known = host.core.worker_manager.workers[name]
        assert known.newest > sent
        before = known.report, known.heard_us, known.token, dict(known.running_since_us), known.newest
        model.copy_arrives(name, host.number, copy)
        assert (known.report, known.heard_us, known.token, dict(known.running_since_us), known.newest) == before
    # A machine that has been deleted in the meantime is not adopted again.
    model.cloud.end(model.now, name, "deleted")
    model.run(60)
    machines = len(model.hosts[0].core.cluster_state.machines)
    assert name not in model.hosts[0].core.cluster_state.machines
    for host in model.hosts:
        model.copy_arrives(name, host.number, copy)
    model.run(40)
    assert name not in model.hosts[0].core.cluster_state.machines or machines == 0


def test_a_machine_that_restarts_at_once_is_used_again():
    model, name = at_work()
    model.run(2)
    model.bounce(name, 0.1)
    model.run(2.5 * LEASE_S)
    assert name in model.workers or name in model.cloud.deleted
    model.run(60)
    assert {job.told for job in model.jobs.values()} == {"done"}


def test_the_checker_detects_a_forgotten_job():
    model, _ = at_work()
    model.calm()
    for host in model.hosts:
        poll = host.core.jobs.poll
        host.core.jobs.poll = lambda request, job, forwarded=False, poll=poll: (
            None if job == "job-1" else poll(request, job, forwarded)
        )
    with pytest.raises(RuleBroken, match="forgotten: no question about job-1"):
        model.run(90)


# A controller cut off with its workers


def cut_alone(model: Model, number: int, seconds: float) -> None:
    for target in ("state", *(f"c{n}" for n in range(len(model.hosts)) if n != number)):
        model.cut(f"c{number}", target, seconds, False)


def most_heard(model: Model) -> int:
    """Return the number of the controller that hears the most workers."""
    since = model.hosts[0].core.kernel.now_us - 2 * SECOND
    hears = [sum(us > since for us in host.core.worker_manager.heard_us().values()) for host in model.hosts]
    return hears.index(max(hears))


def up(model: Model, number: int) -> int:
    found: list[int] = []
    model.waiting[10**6] = lambda status, body: found.append(status)
    host = model.hosts[number]
    model.carry_out(host, host.core.request(*model.clock(host), 10**6, "GET", "/up", None))
    return found[0]


@pytest.mark.parametrize("seed", [3, 4, 5])
def test_a_controller_cut_off_with_its_workers_redirects_them_once_others_serve_them(seed):
    model, name = at_work(seed)
    model.run(2)
    number = most_heard(model)
    sessions = {name: worker.session for name, worker in model.workers.items()}
    cut_alone(model, number, 30)
    model.run(6.5)
    assert up(model, number) == 503
    assert all(up(model, n) == 200 for n in range(3) if n != number)
    model.run(3.5)
    now = model.hosts[0].core.kernel.now_us
    # Without the redirect the workers would stay with the cut-off controller for 11 s, and the ends of their tasks
    # would stay unknown.
    late = [us for us in model.hosts[number].core.worker_manager.heard_us().values() if us > now - SECOND]
    assert not late
    # No machine lost its lease.
    assert all(model.workers[name].session == n for name, n in sessions.items() if name in model.workers)
    model.run(60)
    assert {job.told for job in model.jobs.values()} == {"done"}


def test_a_controller_that_only_seems_to_be_cut_off_keeps_its_workers():
    # The state service is down and all other controllers have crashed: workers that were sent on find no other
    # controller, come back, and their leases last.
    model, name = at_work(3)
    model.submit(submission("job-80", shape="service", pieces=9, crew="free", hulls=["small"]))
    model.run(8)
    left = most_heard(model)
    sessions = {name: worker.session for name, worker in model.workers.items() if worker.tasks}
    model.state.down = True
    for number in {0, 1, 2} - {left}:
        model.crash(number, 60)
    # The controller renews leases for up to 11 s after its last read, and then stops.  Leases that were last renewed
    # at 7 s would have expired by now.
    model.run(16.5)
    assert sessions and {name: model.workers[name].session for name in sessions} == sessions


@pytest.mark.parametrize("seed", [3, 4, 5])
def test_a_machine_restarted_without_its_token_is_owned_again_after_all_controllers_crashed(seed):
    # Otherwise the record keeps a token higher than any that controllers issue, so no controller owns the machine,
    # and the gang whose two tasks it ran waits forever.
    model = Model(seed, 3, OperatorSettings(group_size=2))
    model.checks()
    for host in model.hosts:
        # The token counter, set to a value that it has after many handovers.
        host.core.worker_manager._counter = 50
    model.run(3)
    # Only one machine, so that no other report tells the controllers about high tokens.
    model.submit(submission("job-0", shape="gang", pieces=2, cpus=2.0, crew="free", hulls=["small"], expect_s=6.0))
    while not any(worker.tasks and worker.token >> TOKEN_SHIFT > 50 for worker in model.workers.values()):
        model.run(0.2)
    (name,) = model.workers
    model.bounce(name, 0.1)
    for number in range(3):
        model.crash(number, 0.3)
    model.run(100)
    assert {job.told for job in model.jobs.values()} == {"done"}


# The start of the largest jobs


def test_the_largest_job_starts_on_one_machine_and_leaves_the_capacity_to_the_others(monkeypatch):
    monkeypatch.setattr(queue_order, "START_WITHIN_US", 8 * SECOND)
    model = Model(5, 3)
    model.checks()
    for host in model.hosts:
        # As if the settings had time objectives for some job classes, but for none of these.
        host.core.placer.job_timing._all_timed = False
    model.run(3)
    # After this service the fleet (twelve machines) has capacity for only two more tasks.
    model.submit(submission("job-0", shape="service", pieces=22, crew="free", hulls=["small"], urgency="urgent"))
    model.run(25)
    idle = {"crew": "free", "hulls": ["small"], "urgency": "idle", "expect_s": 20.0}
    cluster_state = model.hosts[0].core.cluster_state
    for n in range(2, 60):
        # The third job, job-4, finds no free capacity.  The fourth is job-1, the largest.
        job = submission(f"job-{n if n != 5 else 1}", pieces=1 if n != 5 else 40, **idle)
        model.at((n - 2) * SECOND, lambda job=job: model.submit(job))
    for _ in range(300):
        model.run(0.2)
        if cluster_state.placed("job-1"):
            break
    assert len({name for name, _ in cluster_state.allocations["job-1"]}) == 1
    # Smaller jobs, which the order by remaining work puts first, still wait.
    assert set(cluster_state.waiting()) - {"job-1"}


# Slow controllers


def slow(model: Model, numbers: tuple[int, ...], ms: int) -> None:
    for number in numbers:
        model.hosts[number].slow_us = ms * 1000


def stall(model: Model, number: int, times: int) -> None:
    """Stall a controller's process for 3 s, `times` times, once every 10 s."""
    for n in range(times):
        model.at(n * 10 * SECOND, lambda: setattr(model.hosts[number], "halts_us", 3 * SECOND))


@pytest.mark.parametrize("seed", [3, 4])
@pytest.mark.parametrize(
    "slow_down",
    [
        lambda model: slow(model, (0,), 60),
        lambda model: slow(model, (0, 1, 2), 15),
        lambda model: slow(model, (0, 1, 2), 130),
        lambda model: stall(model, 1, 6),
    ],
    ids=["one at a fraction of its speed", "all slower", "all far too slow", "one is stalled for 3 s every 10 s"],
)
def test_slow_controllers_lose_no_lease_and_no_job(seed, slow_down):
    model, _ = at_work(seed)
    sessions = {name: worker.session for name, worker in model.workers.items()}
    before = model.state.revision
    slow_down(model)
    for n in range(20, 50):
        model.submit(submission(f"job-{n}", pieces=3, crew="free", hulls=["small"]))
        model.run(2)
    assert all(model.workers[name].session == session for name, session in sessions.items() if name in model.workers)
    # If duties moved back and forth between controllers, there would be far more writes than the jobs need.
    assert model.state.revision - before < 30 * 12
    slow(model, (0, 1, 2), 0)
    model.calm()
    finish(model, 90)
