"""Cancellations that the owner of the workers cannot read, followed by a long outage of the state service.

The controller that owns some workers (the owner) loses the state service first; another controller confirms
cancellations of jobs that run on these workers; then the service is down for all controllers while the workers keep
reporting to the owner.  The tasks must be gone within `cancel_s` of the confirmation all the same (`docs/design.md`,
point 5).  The tests check this to the microsecond and independently of the controllers' code.  Conversely, an outage
in which all controllers hear one another must end no task of a job that was not cancelled.
"""

import pytest
from hypothesis import HealthCheck, Phase, example, given, settings
from hypothesis import strategies as st

from ashtray.config.settings import WorkerTimes
from ashtray.jobs.cancellations import MAX_ENTRIES, CancellationLog
from ashtray.kernel import Reply
from ashtray.peers.announcements import PATH
from ashtray.workers.renewal import CLOCK_DRIFT, WORKER_DELAY_US, RenewalGuard, renewal_bound_us
from tests.model import CANCEL_S, LEASE_S, REPORT_S, Model, RuleBroken, submission
from tests.test_model import RUNS

SECOND = 1_000_000
HOSTS = 3
REFUSALS = ("503", "silence", "held")


def deploy(seed: int, shape: str = "batch") -> tuple[Model, int]:
    """Set up workers with long tasks; return the model and the controller that owns the most workers."""
    model = Model(seed, HOSTS)
    model.checks()
    model._run_us = lambda key: 600 * SECOND
    check_cancellations_exactly(model)
    model.run(3)
    for n in range(6):
        job = submission(f"job-{n}", pieces=3, crew="free", hulls=["small"], shape=shape, expect_s=600.0)
        model.submit(job)
    model.run(20)
    assert len(model.on) == 18
    owned = [len(workers_of(model, number)) for number in range(HOSTS)]
    return model, owned.index(max(owned))


def check_cancellations_exactly(model: Model) -> None:
    """Check at the moment exactly `cancel_s` after each confirmation that no task is left on a machine that runs."""
    told = model._told

    def check_gone(job_id: str) -> None:
        left = {task: sorted(set(on) - model.hung) for task, on in model.on.items() if task[0] == job_id}
        if any(left.values()):
            raise RuleBroken(f"ran_cancelled: {left} at the end of cancel_s")

    def tell(job_id: str, status: str) -> None:
        known = model.jobs[job_id].cancelled_us
        told(job_id, status)
        if known is None and model.jobs[job_id].cancelled_us is not None:
            model.at(int(CANCEL_S * SECOND), lambda: check_gone(job_id))

    model._told = tell


def workers_of(model: Model, number: int) -> list[str]:
    core = model.hosts[number].core
    if core is None:
        return []
    return [
        name
        for name, worker in core.worker_manager.workers.items()
        if worker.token_confirmed and name in model.workers
    ]


def keep_reporting_to_owner(model: Model, number: int) -> None:
    """The owner's workers go on reporting to it: redirecting them to another controller is a hint that may fail."""
    worker_manager = model.hosts[number].core.worker_manager
    worker_manager._redirect_target = lambda worker, report: None


def refuse(model: Model, number: int, how: str, seconds: float) -> None:
    if how == "503":
        model.hosts[number].refused_until = model.now + int(seconds * SECOND)
    else:
        model.cut(f"c{number}", "state", seconds, how == "held")


def cancel_at(model: Model, job_id: str, number: int) -> None:
    """Cancel a job at one controller; repeat the request until it is answered with 200."""
    model.jobs[job_id].cancel_asked = True

    def answered(reply) -> None:
        if reply.status == 200:
            model._told(job_id, reply.body["status"])
        else:
            model.at(SECOND // 5, lambda: cancel_at(model, job_id, number))

    model._ask("POST", f"/submissions/{job_id}/abort", None, 5, answered, number)


def cut_from_peers(model: Model, number: int) -> None:
    """Cut one controller off from all its peers for longer than any of these tests takes."""
    for other in range(HOSTS):
        if other != number:
            model.cut(f"c{number}", f"c{other}", 1000, False)


def meet(
    model: Model, owner: int, how: str = "503", cancel_after_s: float = 1.0, outage_s: float = 2 * CANCEL_S
) -> list[str]:
    """Let the state service refuse the owner, cancel half of the jobs at the others, then begin an outage for all.

    Returns the cancelled jobs.  Asserts that some of them had tasks on the owner's workers, and that the owner read
    nothing while the cancellations were confirmed.
    """
    keep_reporting_to_owner(model, owner)
    refuse(model, owner, how, cancel_after_s + outage_s + 3)
    model.run(cancel_after_s)
    read_us = model.hosts[owner].core.follower.read_us
    mine = set(workers_of(model, owner))
    cancelled = [f"job-{n}" for n in range(3)]
    on_owner = {job for (job, _), machines in model.on.items() if mine & set(machines)}
    assert on_owner & set(cancelled)
    others = [number for number in range(HOSTS) if number != owner]
    for n, job_id in enumerate(cancelled):
        cancel_at(model, job_id, others[n % 2])
    while any(model.jobs[job_id].cancelled_us is None for job_id in cancelled):
        model.run(0.05)
    model.state_outage(outage_s)
    assert model.hosts[owner].core.follower.read_us == read_us
    return cancelled


def tasks_left(model: Model, cancelled: list[str]) -> list[tuple[str, int]]:
    return sorted(task for task in model.on if task[0] in cancelled)


@pytest.mark.parametrize("how", REFUSALS)
@pytest.mark.parametrize("outage_s", [0.5 * CANCEL_S, CANCEL_S, 2 * CANCEL_S])
@pytest.mark.parametrize("shape", ["batch", "gang", "service"])
def test_tasks_of_jobs_cancelled_elsewhere_are_gone_in_time_without_any_word_from_peers(how, outage_s, shape):
    model, owner = deploy(3, shape)
    cut_from_peers(model, owner)
    cancelled = meet(model, owner, how, 1.0, outage_s)
    assert tasks_left(model, cancelled)
    model.run(CANCEL_S)
    assert not tasks_left(model, cancelled)
    model.run(outage_s + 60)


@pytest.mark.parametrize("how", REFUSALS)
@pytest.mark.parametrize("cancel_after_s", [0.0, 0.4, 1.5, 3.0])
@pytest.mark.parametrize("seed", [3, 4])
def test_with_word_from_peers_they_are_gone_within_seconds_and_all_others_live(how, cancel_after_s, seed):
    model, owner = deploy(seed)
    cancelled = meet(model, owner, how, cancel_after_s)
    sessions = {name: model.workers[name].session for name in workers_of(model, owner)}
    model.run(2 + 2 * REPORT_S)
    assert sessions and not tasks_left(model, cancelled)
    running = set(model.on)
    assert len(running) == 9
    model.run(2 * CANCEL_S - 10)
    # No lease has expired, and no task of a job that was not cancelled has ended.
    assert model.state.down
    assert {name: model.workers[name].session for name in sessions} == sessions
    assert set(model.on) == running
    model.run(40)
    assert {job.told for job_id, job in model.jobs.items() if job_id in cancelled} == {"cancelled"}
    assert set(model.on) >= running


def test_a_bound_that_is_longer_breaks_the_rule():
    model, owner = deploy(3)
    cut_from_peers(model, owner)
    # The reserves that the bound contains, plus twice the longest time between two reports.
    spare_us = WORKER_DELAY_US + int(2 * CLOCK_DRIFT * CANCEL_S * SECOND) + 2 * int(1.25 * REPORT_S * SECOND)
    model.hosts[owner].core.renewal.bound_us += spare_us
    meet(model, owner, cancel_after_s=0.0)
    with pytest.raises(RuleBroken, match="ran_cancelled"):
        model.run(CANCEL_S + 1)


def test_one_peer_that_says_nothing_may_have_confirmed_a_cancellation():
    # If the statement of one peer is missing, those of the others do not help: the missing one has confirmed a
    # cancellation.
    model, owner = deploy(3)
    silent, third = (owner + 1) % HOSTS, (owner + 2) % HOSTS
    model.cut(f"c{owner}", f"c{silent}", 1000, False)
    model.cut(f"c{silent}", f"c{third}", 1000, False)
    keep_reporting_to_owner(model, owner)
    refuse(model, owner, "503", 200)
    refuse(model, third, "503", 200)
    cancel_at(model, "job-0", silent)
    while model.jobs["job-0"].cancelled_us is None:
        model.run(0.05)
    model.state_outage(2 * CANCEL_S)
    assert tasks_left(model, ["job-0"])
    model.run(CANCEL_S)
    assert not tasks_left(model, ["job-0"])


def test_a_task_that_the_controller_never_heard_of_is_ended_as_well():
    # The job is accepted, placed and cancelled while the controller cannot read; then the worker reports to it.
    model, owner = deploy(3)
    keep_reporting_to_owner(model, owner)
    refuse(model, owner, "503", 1000)
    model.run(1.0)
    spec = submission("job-50", pieces=30, crew="free", hulls=["small"], expect_s=600.0)
    model.submit(spec)
    for _ in range(200):
        model.run(0.1)
        machines = sorted({name for (job, _), on in model.on.items() if job == "job-50" for name in on})
        machines = [name for name in machines if name not in workers_of(model, owner)]
        if machines:
            break
    assert machines and "job-50" not in model.hosts[owner].core.cluster_state.jobs
    cancel_at(model, "job-50", (owner + 1) % HOSTS)
    while model.jobs["job-50"].cancelled_us is None:
        # Delay the orders that would end its tasks at once, and let no report be answered.
        for name in machines:
            model.held_orders[name] = model.now + 100 * SECOND
            model.mute(name, 0.02)
        model.run(0.01)
    model.state_outage(2 * CANCEL_S)
    report_only_to(model, owner)
    assert tasks_left(model, ["job-50"])
    seen_by_owner = []
    while tasks_left(model, ["job-50"]):
        model.run(0.1)
        seen_by_owner += [name for name in machines if model.hosts[owner].core.worker_manager.workers.get(name)]
    assert seen_by_owner


def report_only_to(model: Model, owner: int) -> None:
    """Cut all workers off from all controllers but the owner."""
    for number in range(HOSTS):
        if number != owner:
            for name in model.workers:
                model.cut(f"c{number}", name, 1000, False)


@pytest.mark.parametrize("seed", [3, 4])
def test_an_owner_that_is_back_at_once_renews_nothing_that_it_does_not_know(seed):
    model, owner = deploy(seed)
    cancelled = meet(model, owner)
    model.crash(owner, 0.3)
    model.run(CANCEL_S)
    assert not tasks_left(model, cancelled)
    model.run(2 * CANCEL_S + 40)
    assert all(model.jobs[job_id].told == "cancelled" for job_id in cancelled)


@pytest.mark.parametrize("without_peers", [False, True])
def test_an_owner_that_stands_still_between_its_check_and_its_answer(without_peers):
    model, owner = deploy(3)
    if without_peers:
        cut_from_peers(model, owner)
    cancelled = meet(model, owner)
    for n in range(12):
        model.at(n * 3 * SECOND, lambda: setattr(model.hosts[owner], "halts_us", 3 * SECOND))
    model.run(CANCEL_S)
    assert not tasks_left(model, cancelled)


@pytest.mark.parametrize("hang_s", [LEASE_S - 1, LEASE_S + 2, CANCEL_S - 2])
def test_a_machine_that_hangs_over_the_bound_has_nothing_left_when_it_goes_on(hang_s):
    model, owner = deploy(3)
    cut_from_peers(model, owner)
    cancelled = meet(model, owner, cancel_after_s=0.0)
    bound_s = model.hosts[owner].core.renewal.bound_us / SECOND
    hung = sorted({name for (job, _), on in model.on.items() if job in cancelled for name in on})
    # The machines hang after their last renewal, one second before the bound.
    model.run(bound_s - 1)
    model.hung.update(hung)
    model.run(hang_s)
    for name in hung:
        model.wake(name)
    model.run(max(CANCEL_S - bound_s + 1 - hang_s, 0) + 0.5)
    assert not tasks_left(model, cancelled)


@pytest.mark.parametrize("delay_s", [0.2, 1.0])
def test_workers_that_change_hands_just_before_the_outage(delay_s):
    model, owner = deploy(4)
    refuse(model, owner, "503", 200)
    model.run(delay_s)
    model.roaming_until = model.now + int(1.5 * SECOND)
    for n in range(3):
        cancel_at(model, f"job-{n}", (owner + 1 + n % 2) % HOSTS)
    while any(model.jobs[f"job-{n}"].cancelled_us is None for n in range(3)):
        model.run(0.05)
    workers_before = workers_of(model, owner)
    model.state_outage(2 * CANCEL_S)
    model.run(CANCEL_S)
    assert workers_before != workers_of(model, owner)
    assert not tasks_left(model, ["job-0", "job-1", "job-2"])


@settings(
    max_examples=max(RUNS // 6, 5), phases=[Phase.explicit, Phase.generate], suppress_health_check=list(HealthCheck)
)
@given(
    st.integers(0, 10**6),
    st.sampled_from(REFUSALS),
    st.floats(0, 3),
    st.sampled_from([0.5, 1.0, 2.0]),
    st.lists(st.tuples(st.integers(0, 2), st.integers(0, 2), st.floats(0, 30)), max_size=2),
    st.sampled_from([None, "back", "halt", "hang", "deaf"]),
    st.sampled_from(["batch", "gang", "service"]),
    st.floats(0, 25),
)
def test_no_order_of_these_troubles_keeps_a_cancelled_task(seed, how, after_s, factor, cuts, extra, shape, extra_s):
    model, owner = deploy(seed, shape)
    for one, other, seconds in cuts:
        if one != other:
            model.cut(f"c{one}", f"c{other}", seconds, False)
    meet(model, owner, how, after_s, factor * CANCEL_S)

    def strike() -> None:
        names = sorted(model.workers)
        if extra == "back":
            model.crash(owner, 0.3)
        elif extra == "halt":
            model.hosts[owner].halts_us = 3 * SECOND
        elif extra == "hang" and names:
            for name in names[::2]:
                model.hung.add(name)
                model.at(int(0.9 * LEASE_S * SECOND), lambda name=name: model.wake(name))
        elif extra == "deaf" and names:
            for name in names[::2]:
                model.deaf[name] = (model.now + 10 * SECOND, True)

    model.at(int(extra_s * SECOND), strike)
    model.run(factor * CANCEL_S + CANCEL_S + 30)


# Unit tests of the bound and of the statements


@given(
    st.floats(10, 60),
    st.floats(4, 30),
    st.floats(-1, 1),
    st.floats(-1, 1),
    st.floats(0, 1),
    st.floats(0, 1),
)
@example(43.0, 18.0, -1.0, -1.0, 1.0, 1.0)
def test_the_sum_holds_with_clocks_that_drift(cancel_s, lease_s, controller, worker, sent, noticed):
    times = WorkerTimes(2.5, lease_s, 30.0, 4.0, cancel_s)
    bound_us = renewal_bound_us(times)
    if bound_us < 0:
        return
    # True time since `informed`, up to which the controller knows all cancellations.  The one that it misses is
    # confirmed at 0, which is the earliest possible time.
    decided = bound_us / (1 + controller * CLOCK_DRIFT)
    sent_at = decided * sent
    lease_ends = sent_at + lease_s * SECOND / (1 + worker * CLOCK_DRIFT)
    assert lease_ends + noticed * WORKER_DELAY_US <= cancel_s * SECOND


def test_no_lease_is_renewed_where_cancel_s_leaves_no_time_for_it():
    guard = RenewalGuard(WorkerTimes(2.5, 20.0, 30.0, 4.0, 20.5), ["b"])
    assert not guard.may_renew(10 * SECOND, 10 * SECOND)


def test_what_is_known_is_as_old_as_the_oldest_statement_or_the_last_read():
    guard = RenewalGuard(WorkerTimes(2.5, 18.0, 30.0, 4.0, 43.0), ["b", "c"])
    assert guard.informed_us(90, 10) == 10
    guard.note_statement("b", 40)
    assert guard.informed_us(90, 10) == 10
    guard.note_statement("c", 60)
    assert guard.informed_us(90, 10) == 40
    # A late answer to an earlier request does not make the information older.
    guard.note_statement("b", 30)
    assert guard.informed_us(90, 10) == 40
    assert guard.informed_us(90, 70) == 70
    assert RenewalGuard(WorkerTimes(2.5, 18.0, 30.0, 4.0, 43.0), []).informed_us(90, 10) == 90


def test_a_statement_is_complete_only_where_all_changes_since_were_followed():
    log = CancellationLog()
    log.note(12, "job-1")
    log.note(20, "job-2")
    assert log.statement(10, 11).cancelled == ["job-1", "job-2"]
    assert log.statement(10, 12).cancelled == ["job-2"]
    assert log.statement(10, 12).complete
    assert not log.statement(13, 12).complete
    assert not log.statement(None, 12).complete
    assert not log.statement(10, None).complete
    for n in range(MAX_ENTRIES):
        log.note(30 + n, f"job-{n}")
    # The log has dropped its oldest entries, so that a statement that begins before them is not complete.
    assert not log.statement(10, 12).complete
    assert log.statement(10, 20).complete


# No task starts after a confirmed cancellation


@pytest.mark.parametrize("seed", [3, 4, 5])
def test_no_task_starts_once_its_user_was_told_of_the_cancellation(seed):
    model, _ = deploy(seed)
    # These cancellations make resources free on machines that have the image, so that later tasks start at once.
    model.cancel("job-0")
    model.cancel("job-1")
    # The machines that have become idle are not returned yet.
    model.run(1)
    starts_before = model.starts
    for n in range(100, 180):
        model.submit(submission(f"job-{n}", pieces=1, cpus=0.1, crew="free", hulls=["small"], expect_s=60.0))
        model.at((n - 100) * 25_000, lambda n=n: cancel_at(model, f"job-{n}", n % HOSTS))
        model.run(0.15)
    model.run(5)
    told = [model.jobs[f"job-{n}"].cancelled_us for n in range(100, 180)]
    # The case is reached: some jobs had started when they were cancelled, and some had not.
    assert all(told) and 10 < model.starts - starts_before < 80
    assert model.late_starts == []


def test_a_statement_counts_from_when_it_was_asked_for(monkeypatch):
    model = Model(3, HOSTS)
    # A message between controllers takes 0.3 s, so that an answer takes most of the sender's timeout.
    path = model._path
    monkeypatch.setattr(model, "_path", lambda a, b: 300_000 if a[0] == b[0] == "c" else path(a, b))
    made_us_of: dict[str, int] = {}
    counted: list[tuple[int, int]] = []
    for host in model.hosts:
        peers, name = host.core.peers, host.core.settings.host_name
        statement = peers._statement

        def make_statement(beyond, statement=statement, name=name):
            made_us_of[name] = model.now
            return statement(beyond)

        monkeypatch.setattr(peers, "_statement", make_statement)
    core = model.hosts[0].core
    note_statement = core.renewal.note_statement

    def count_statement(peer, asked_us):
        counted.append((asked_us - SECOND, made_us_of[peer]))
        note_statement(peer, asked_us)

    monkeypatch.setattr(core.renewal, "note_statement", count_statement)
    model.run(20)
    assert len(counted) > 10
    # A statement does not contain what the peer confirmed between making it and its arrival.
    assert all(asked_us < made_us < model.now for asked_us, made_us in counted)
    assert min(made_us - asked_us for asked_us, made_us in counted) >= 300_000


@pytest.mark.parametrize("how", REFUSALS)
def test_statements_alone_end_the_tasks_where_every_announcement_is_lost(how):
    model, owner = deploy(3)
    send = model.send
    lost = []

    def lose_announcements(source, call, deliver):
        if call.path == PATH:
            lost.append(call.body["cancelled"])
            model.at(call.timeout_us, lambda: deliver(Reply(0)))
        else:
            send(source, call, deliver)

    model.send = lose_announcements
    cancelled = meet(model, owner, how)
    model.run(2 + 2 * REPORT_S)
    assert lost and not tasks_left(model, cancelled)
    assert len(model.on) == 9
