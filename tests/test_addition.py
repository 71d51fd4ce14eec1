"""What the users added to the rules: nothing is forgotten, and the troubles that are new, alone and together."""

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from ashtray.config.operators import OperatorSettings
from ashtray.placement import queue_order
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


# A machine whose reports arrive, and that nothing reaches


def at_work(seed: int = 3) -> tuple[Model, str]:
    """A fleet with tasks on it, and a machine that has some."""
    model = Model(seed, 3, OperatorSettings(group_size=2))
    model.checks()
    model.run(3)
    for n in range(8):
        model.submit(submission(f"job-{n}", pieces=4, crew="free", hulls=["small"], expect_s=6.0))
    model.run(14)
    return model, next(name for name in sorted(model.workers) if model.workers[name].tasks)


@pytest.mark.parametrize("held", [False, True])
@pytest.mark.parametrize("seed", [3, 4, 5])
def test_a_machine_that_reports_and_hears_nothing_is_returned_and_its_tasks_run_elsewhere(seed, held):
    model, name = at_work(seed)
    model.deaf[name] = (model.now + 300 * SECOND, held)
    changes = model.state.revision
    model.run(5 * LEASE_S)
    # It was heard by one controller after the other all the time, and is gone as one that is silent would be.
    assert name not in model.workers
    # A token for each report would have been a stream of changes.
    assert model.state.revision - changes < 60
    model.run(60)
    assert {job.told for job in model.jobs.values()} == {"done"}


@pytest.mark.parametrize("seed", [3, 4, 5])
def test_a_machine_that_hears_again_within_its_lease_is_kept(seed):
    model, _ = at_work(seed)
    deaf_until_us = model.now + int(0.6 * LEASE_S * SECOND)
    # One that has work for longer than it is deaf: it would be returned otherwise, as an idle one.
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


def test_a_controller_does_not_count_a_machine_as_heard_that_goes_on_without_the_token_it_was_given():
    model, name = at_work()
    host = next(host for host in model.hosts if name in host.core.desk.workers)
    desk = host.core.desk
    worker = model.workers[name]
    model.deaf[name] = (model.now + 300 * SECOND, False)
    desk.workers[name].token, desk.workers[name].report = 0, None
    heard = []
    for _ in range(6):
        model.copy_arrives(name, host.number, worker.report())
        heard.append(desk.workers[name].heard_us)
        model.run(1)
    # The first time it may be that the token is on its way.
    assert len(set(heard)) == 1


# Copies


def test_a_copy_of_a_report_proves_nothing():
    model, _ = at_work()
    model.submit(submission("job-81", shape="service", pieces=9, crew="free", hulls=["small"]))
    model.run(15)
    # One that is not returned for want of work.
    name = min(name for name, worker in model.workers.items() if "job-81" in {key[0] for key in worker.tasks})
    model.workers[name].tick += 1
    copy = model.workers[name].report()
    sent = copy["shift"], copy["tick"]
    # It reports here and there until each has met it after the copy was made: one that has not cannot tell it apart.
    model.roaming_until = model.now + 60 * SECOND
    for _ in range(120):
        model.run(0.5)
        known = [host.core.desk.workers.get(name) for host in model.hosts]
        if all(worker is not None and worker.newest > sent for worker in known):
            break
    model.roaming_until = 0
    model.run(3 * REPORT_S)
    # Its owner, and whoever has sent it there.
    assert any(host.core.desk.workers[name].token_confirmed for host in model.hosts)
    for host in model.hosts:
        known = host.core.desk.workers[name]
        assert known.newest > sent
        before = known.report, known.heard_us, known.token, dict(known.running_since_us), known.newest
        model.copy_arrives(name, host.number, copy)
        assert (known.report, known.heard_us, known.token, dict(known.running_since_us), known.newest) == before
    # Nor is a machine that was deleted since adopted again.
    model.cloud.end(model.now, name, "deleted")
    model.run(60)
    machines = len(model.hosts[0].core.cluster_state.machines)
    assert name not in model.hosts[0].core.cluster_state.machines
    for host in model.hosts:
        model.copy_arrives(name, host.number, copy)
    model.run(40)
    assert name not in model.hosts[0].core.cluster_state.machines or machines == 0


def test_a_machine_that_is_back_at_once_with_its_session_from_the_start_is_used_again():
    model, name = at_work()
    model.run(2)
    model.bounce(name, 0.1)
    model.run(2.5 * LEASE_S)
    assert name in model.workers or name in model.cloud.deleted
    model.run(60)
    assert {job.told for job in model.jobs.values()} == {"done"}


def test_the_checker_sees_a_job_that_is_forgotten():
    model, _ = at_work()
    model.calm()
    for host in model.hosts:
        poll = host.core.jobs.poll
        host.core.jobs.poll = lambda request, job, handed=False, poll=poll: (
            None if job == "job-1" else poll(request, job, handed)
        )
    with pytest.raises(RuleBroken, match="forgotten: no question about job-1"):
        model.run(90)


# Alone with its workers


def cut_alone(model: Model, number: int, seconds: float) -> None:
    for target in ("state", *(f"c{n}" for n in range(len(model.hosts)) if n != number)):
        model.cut(f"c{number}", target, seconds, False)


def most_heard(model: Model) -> int:
    """The controller that hears the most workers."""
    since = model.hosts[0].core.kernel.now_us - 2 * SECOND
    hears = [sum(us > since for us in host.core.desk.heard_us().values()) for host in model.hosts]
    return hears.index(max(hears))


def up(model: Model, number: int) -> int:
    found: list[int] = []
    model.waiting[10**6] = lambda status, body: found.append(status)
    host = model.hosts[number]
    model.carry_out(host, host.core.request(*model.clock(host), 10**6, "GET", "/up", None))
    return found[0]


@pytest.mark.parametrize("seed", [3, 4, 5])
def test_a_controller_alone_with_its_workers_sends_them_on_once_others_tend_them(seed):
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
    # Without this they would stay for 11 s, and none of their tasks' ends be known.
    late = [us for us in model.hosts[number].core.desk.heard_us().values() if us > now - SECOND]
    assert not late
    # No lease was lost by it.
    assert all(model.workers[name].session == n for name, n in sessions.items() if name in model.workers)
    model.run(60)
    assert {job.told for job in model.jobs.values()} == {"done"}


def test_one_that_only_seems_to_be_alone_keeps_its_workers():
    # The state service is out and all others have ended: sent on in vain, they come back, and their leases last.
    model, name = at_work(3)
    model.submit(submission("job-80", shape="service", pieces=9, crew="free", hulls=["small"]))
    model.run(8)
    left = most_heard(model)
    sessions = {name: worker.session for name, worker in model.workers.items() if worker.tasks}
    model.state.down = True
    for number in {0, 1, 2} - {left}:
        model.crash(number, 60)
    # It renews for 11 s after its last read, later nobody may. Last renewed at 7 s, the leases would be over by now.
    model.run(16.5)
    assert sessions and {name: model.workers[name].session for name in sessions} == sessions


@pytest.mark.parametrize("seed", [3, 4, 5])
def test_a_machine_that_is_back_without_its_token_is_owned_again_after_all_controllers_ended_as_well(seed):
    # Found by generated runs: the record kept a token that no controller came near any more, so nobody owned the
    # machine, and the gang whose two tasks it had held waited for ever.
    model = Model(seed, 3, OperatorSettings(group_size=2))
    model.checks()
    for host in model.hosts:
        # As after many hand-overs.
        host.core.desk._counter = 50
    model.run(3)
    # One machine, so that no other report tells the controllers of high tokens.
    model.submit(submission("job-0", shape="gang", pieces=2, cpus=2.0, crew="free", hulls=["small"], expect_s=6.0))
    while not any(worker.tasks and worker.token >> 40 > 50 for worker in model.workers.values()):
        model.run(0.2)
    (name,) = model.workers
    model.bounce(name, 0.1)
    for number in range(3):
        model.crash(number, 0.3)
    model.run(100)
    assert {job.told for job in model.jobs.values()} == {"done"}


# The largest jobs


def test_the_largest_begins_on_one_machine_and_leaves_the_room_to_the_others(monkeypatch):
    monkeypatch.setattr(queue_order, "BEGIN_US", 8 * SECOND)
    model = Model(5, 3)
    model.checks()
    for host in model.hosts:
        # Where the settings state a time for some class; for none of these.
        host.core.placer.pace._all_timed = False
    model.run(3)
    # What is left of the fleet of twelve machines are two places.
    model.submit(submission("job-0", shape="service", pieces=22, crew="free", hulls=["small"], urgency="urgent"))
    model.run(25)
    idle = {"crew": "free", "hulls": ["small"], "urgency": "idle", "expect_s": 20.0}
    cluster_state = model.hosts[0].core.cluster_state
    for n in range(2, 60):
        # The third finds no room any more.
        job = submission(f"job-{n if n != 5 else 1}", pieces=1 if n != 5 else 40, **idle)
        model.at((n - 2) * SECOND, lambda job=job: model.submit(job))
    for _ in range(300):
        model.run(0.2)
        if cluster_state.placed("job-1"):
            break
    assert len({name for name, _ in cluster_state.allocations["job-1"]}) == 1
    # Smaller ones, which go first by what they need, wait still.
    assert set(cluster_state.waiting()) - {"job-1"}


# Controllers that are slow


def slow(model: Model, numbers: tuple[int, ...], ms: int) -> None:
    for number in numbers:
        model.hosts[number].slow_us = ms * 1000


def stand_still(model: Model, number: int, times: int) -> None:
    """It stands still for 3 s every 10 s."""
    for n in range(times):
        model.at(n * 10 * SECOND, lambda: setattr(model.hosts[number], "halts_us", 3 * SECOND))


@pytest.mark.parametrize("seed", [3, 4])
@pytest.mark.parametrize(
    "trouble",
    [
        lambda model: slow(model, (0,), 60),
        lambda model: slow(model, (0, 1, 2), 15),
        lambda model: slow(model, (0, 1, 2), 130),
        lambda model: stand_still(model, 1, 6),
    ],
    ids=["one at a fraction of its speed", "all slower", "all far too slow", "one stands still for 3 s every 10 s"],
)
def test_slow_controllers_lose_no_lease_and_no_job(seed, trouble):
    model, _ = at_work(seed)
    sessions = {name: worker.session for name, worker in model.workers.items()}
    before = model.state.revision
    trouble(model)
    for n in range(20, 50):
        model.submit(submission(f"job-{n}", pieces=3, crew="free", hulls=["small"]))
        model.run(2)
    assert all(model.workers[name].session == session for name, session in sessions.items() if name in model.workers)
    # No storm: duties that go to and fro would write far more than the jobs need.
    assert model.state.revision - before < 30 * 12
    slow(model, (0, 1, 2), 0)
    model.calm()
    finish(model, 90)
