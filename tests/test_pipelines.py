"""Jobs with dependencies."""

import msgspec
import pytest

from ashtray.config.operators import OperatorSettings
from ashtray.jobs.messages import Malformed, parse_submission
from ashtray.jobs.model import FINAL_STATE_PREFIX, LIVE_JOB_PREFIX, JobRecord, JobSpec
from ashtray.kernel import Reply
from ashtray.placement.cluster_state import ClusterState
from tests.model import Model, submission

SECOND = 1_000_000


def started(hosts: int = 3) -> Model:
    model = Model(7, hosts)
    model.checks()
    model.run(3)
    return model


def ask(model: Model, body: dict, host: int = 0) -> tuple[int, dict]:
    """Submit a job to a controller; returns the status and the body of the answer, whatever they are."""
    found: list[tuple[int, dict]] = []
    model.waiting[10**6] = lambda status, answer: found.append((status, answer))
    controller = model.hosts[host]
    model.carry_out(
        controller, controller.core.request(*model.clock(controller), 10**6, "POST", "/submissions", body)
    )
    model.run(3)
    return found[0]


def test_a_chain_runs_in_order_and_its_stages_follow_at_once():
    model = started()
    model.submit(submission("job-0", pieces=2))
    model.run(0.5)
    model.submit(submission("job-1", pieces=3, waits_on=["job-0"]))
    model.run(0.5)
    model.submit(submission("job-2", pieces=1, shape="gang", waits_on=["job-1", "job-0", "job-1"]))
    model.run(60)
    assert {job.told for job in model.jobs.values()} == {"done"}


def test_a_job_with_an_open_dependency_is_pending_and_has_no_allocations():
    model = started()
    model.submit(submission("job-0", shape="service", pieces=1))
    model.run(1)
    model.submit(submission("job-1", pieces=4, waits_on=["job-0"]))
    model.run(25)
    cluster_state = model.hosts[1].core.cluster_state
    assert model.jobs["job-1"].accepted_us is not None
    assert "job-1" not in cluster_state.waiting()
    assert not cluster_state.placed("job-1")
    assert len(model.workers) == 1
    status, body = ask(model, submission("job-1"))
    assert (status, body["status"]) == (200, "pending")


@pytest.mark.parametrize("needs", [["job-77"], ["job-1"]])
def test_a_dependency_on_the_job_itself_or_on_a_job_not_accepted_yet_is_refused(needs):
    model = started()
    assert ask(model, submission("job-1", waits_on=needs))[0] == 422
    assert ask(model, submission("job-77"))[0] == 201
    assert ask(model, submission("job-1", waits_on=needs), 1)[0] == (201 if needs == ["job-77"] else 422)


def test_a_submission_is_put_off_while_its_dependency_cannot_be_read():
    model = started()
    model.state.down = True
    model.run(1)
    status, _ = ask(model, submission("job-1", waits_on=["job-77"]))
    assert status == 503


def test_a_repeated_submission_gets_the_jobs_state_whatever_dependencies_it_names():
    model = started()
    assert ask(model, submission("job-1"))[0] == 201
    assert ask(model, submission("job-1", waits_on=["job-77"]), 1)[0] == 200


@pytest.mark.parametrize("waits_on", ["job-1", [1], ["job"], [["job-1"]], {"job-1": 1}])
def test_waits_on_that_is_not_a_list_of_job_ids_is_malformed(waits_on):
    with pytest.raises(Malformed):
        parse_submission(submission("job-0", waits_on=waits_on))


def test_more_dependencies_than_a_record_holds_are_refused_with_a_reason():
    model = started()
    status, body = ask(model, submission("job-0", waits_on=[f"job-{n}" for n in range(1, 4000)]))
    assert status == 400
    assert "record" in body["error"]


@pytest.mark.parametrize("waits_on", [None, []])
def test_null_and_an_empty_list_both_mean_no_dependencies(waits_on):
    assert parse_submission(submission("job-0", waits_on=waits_on))[1].needs == []


def test_a_cancellation_reaches_all_transitive_dependents_on_every_controller():
    model = started()
    model.submit(submission("job-0", shape="service", pieces=1))
    model.run(1)
    for n in range(1, 6):
        model.submit(submission(f"job-{n}", waits_on=[f"job-{n - 1}"]))
        model.run(1)
    model.cancel("job-0")
    model.run(1)
    for host in range(3):
        for n in range(6):
            status, body = ask(model, submission(f"job-{n}"), host)
            assert (status, body["status"]) == (200, "cancelled")
    # A job that depends on a cancelled job is accepted, and cancelled with it.
    assert ask(model, submission("job-9", waits_on=["job-5"]))[0] == 201
    assert ask(model, submission("job-9"), 2)[1]["status"] == "cancelled"
    model.run(20)
    assert not [key for key in model.state.keys if key.startswith(LIVE_JOB_PREFIX)]
    assert all(model.state.keys[f"{FINAL_STATE_PREFIX}job-{n}"][0]["status"] == "cancelled" for n in (0, 3, 5, 9))


def test_final_states_of_dependencies_are_read_again_after_all_controllers_restart():
    model = started()
    model.submit(submission("job-0", pieces=1))
    model.submit(submission("job-1", shape="service", pieces=1))
    model.run(30)
    model.submit(submission("job-2", pieces=2, waits_on=["job-0", "job-1"]))
    model.submit(submission("job-3", pieces=2, waits_on=["job-0"]))
    model.run(0.3)
    for host in range(3):
        model.crash(host, 2)
    model.run(45)
    assert model.jobs["job-3"].told == "done"
    model.cancel("job-1")
    model.run(10)
    for host in range(3):
        model.crash(host, 2)
    model.run(15)
    assert ask(model, submission("job-2"), 1)[1]["status"] == "cancelled"


def test_dependencies_have_the_urgency_of_their_most_urgent_live_dependent():
    cluster_state = ClusterState()
    put(cluster_state, "job-1", 3, estimate_us=SECOND)
    put(cluster_state, "job-2", 3, needs=["job-1"], estimate_us=SECOND)
    put(cluster_state, "job-3", 1, needs=["job-2"], deadline_us=100 * SECOND, estimate_us=10 * SECOND)
    jobs = cluster_state.jobs
    assert [jobs[f"job-{n}"].priority for n in (1, 2, 3)] == [1, 1, 1]
    assert jobs["job-1"].start_by_us < jobs["job-2"].start_by_us < jobs["job-3"].start_by_us
    put(cluster_state, "job-1", 3, version=9)
    assert jobs["job-1"].priority == 1
    cluster_state.remove(LIVE_JOB_PREFIX + "job-3", 10)
    assert [jobs[f"job-{n}"].priority for n in (1, 2)] == [3, 3]
    assert jobs["job-1"].start_by_us is None


def test_a_job_is_ready_from_the_moment_when_its_last_dependency_was_done():
    cluster_state = ClusterState()
    put(cluster_state, "job-1", 2)
    put(cluster_state, "job-2", 2, needs=["job-1", "job-0"])
    cluster_state.put(FINAL_STATE_PREFIX + "job-0", {"status": "done", "done": 1}, 5)
    assert not cluster_state.dependencies.ready(cluster_state.jobs["job-2"])
    cluster_state.put(FINAL_STATE_PREFIX + "job-1", {"status": "done", "done": 1, "at_us": 77 * SECOND}, 6)
    cluster_state.remove(LIVE_JOB_PREFIX + "job-1", 6)
    assert cluster_state.dependencies.ready(cluster_state.jobs["job-2"])
    assert cluster_state.jobs["job-2"].ready_us == 77 * SECOND
    assert cluster_state.waiting() == {"job-2": [0]}


def put(cluster_state, job_id: str, priority: int, version: int = 3, **fields) -> None:
    spec = JobSpec("any", "crew", "array", priority, 1, 1.0, 0.0, 1.0, "img", 1.0, **fields)
    cluster_state.put(LIVE_JOB_PREFIX + job_id, msgspec.to_builtins(JobRecord(spec, "berth-0", 0)), version)


def test_the_next_stage_does_not_wait_for_delayed_folds():
    # When a job's last workers report to different controllers, no controller knows from its own reports that the job
    # is done.  With folds delayed because writes are scarce, its dependents waited up to 20 s.
    model = Model(7, operator_settings=OperatorSettings(group_size=1), following=(2.0, 5))
    model.run(3)
    for host in model.hosts:
        host.core.store.writes.scarce = lambda: True
        host.core.worker_manager.folds._fold_interval_us = lambda: 60 * SECOND
        host.core.worker_manager.folds._last_fold_us = model.now + SECOND
    model.submit(submission("job-0", pieces=18, cpus=4.0, crew="free", urgency="urgent", hulls=["small"]))
    model.run(1)
    model.submit(submission("job-1", pieces=1, crew="free", waits_on=["job-0"], due_s=300.0))
    for _ in range(400):
        model.run(0.25)
        if len(model.jobs["job-0"].finished) == 18:
            break
    workers_reporting = [
        sum(bool(w.heard_us) for w in host.core.worker_manager.workers.values()) for host in model.hosts
    ]
    assert sum(n > 0 for n in workers_reporting) > 1
    before = model.starts
    model.run(6)
    assert model.starts == before + 1


def test_a_whole_chain_counts_as_cancelled_with_its_first_job_before_any_record_is_moved():
    cluster_state = ClusterState()
    put(cluster_state, "job-0", 2)
    for n in range(1, 5):
        put(cluster_state, f"job-{n}", 2, needs=[f"job-{n - 1}"])
    cluster_state.put(FINAL_STATE_PREFIX + "job-0", {"status": "cancelled", "done": 0}, 5)
    cluster_state.remove(LIVE_JOB_PREFIX + "job-0", 5)
    assert set(cluster_state.dependencies.cancelled_by) == {"job-1", "job-2", "job-3", "job-4"}


def block_reads(model: Model, number: int) -> list[bool]:
    """Keep a controller from learning of other controllers' writes, while the returned flag is set.

    Its reads of changes time out, and so do its heartbeats, whose answers state cancellations, and its peers'
    announcements of cancellations.  Its commits go through.
    """
    blocked = [True]
    send = model.send

    def dropping(source, call, deliver):
        is_query = source == f"c{number}" and call.path.startswith(("/follow", "/peer/word"))
        is_announcement = call.address.startswith(f"p{number}:") and call.path == "/peer/cancelled"
        if blocked[0] and (is_query or is_announcement):
            model.at(call.timeout_us, lambda: deliver(Reply(0)))
        else:
            send(source, call, deliver)

    model.send = dropping
    return blocked


@pytest.mark.parametrize(("shape", "pieces"), [("gang", 2), ("batch", 1)])
def test_a_fold_after_an_unread_cancellation_does_not_make_a_job_done(shape, pieces):
    # A controller folds the end of a job that another controller has just cancelled.  If it counted the job as done
    # by its own write, without the cancellation before it, it would tell users for ever that the dependents are
    # pending, and run them.
    model = Model(7, operator_settings=OperatorSettings(group_size=4))
    model.checks()
    model.run(3)
    model.submit(submission("job-0", pieces=pieces, shape=shape, crew="free", cpus=1.0, hulls=["small"]))
    model.run(1)
    model.submit(submission("job-1", crew="free", waits_on=["job-0"]))
    while sum(task.state == "running" for w in model.workers.values() for task in w.tasks.values()) < pieces:
        model.run(0.1)
    folding_host = next(
        host for host in model.hosts if any(w.heard_us for w in host.core.worker_manager.workers.values())
    )
    ends_us = min(task.end_us for w in model.workers.values() for task in w.tasks.values())
    model.run(max((ends_us - model.now) / SECOND - 0.8, 0.0))
    # Reads are blocked only just before the tasks end, because workers of a controller that cannot read soon move.
    blocked = block_reads(model, folding_host.number)
    model.run(0.3)
    assert abort(model, "job-0", (folding_host.number + 1) % 3) == (200, {"name_id": "job-0", "status": "cancelled"})
    for _ in range(100):
        model.run(0.1)
        groups = [value for key, (value, *_) in model.state.keys.items() if key.startswith("ashtray/now/group/")]
        if any("job-0" in value.get("done", {}) for value in groups):
            break
    else:
        raise AssertionError("nothing was folded")
    blocked[0] = False
    model.run(3)
    told = {ask(model, submission(job), host)[1]["status"] for host in range(3) for job in ("job-0", "job-1")}
    assert told == {"cancelled"}


def abort(model: Model, job_id: str, host: int) -> tuple[int, dict]:
    found: list[tuple[int, dict]] = []
    if job_id in model.jobs:
        model.jobs[job_id].cancel_asked = True
    model.waiting[10**6 + 1] = lambda status, answer: found.append((status, answer))
    controller = model.hosts[host]
    model.carry_out(
        controller,
        controller.core.request(*model.clock(controller), 10**6 + 1, "POST", f"/submissions/{job_id}/abort", None),
    )
    # The controller waits up to 0.3 s for peers that do not answer its announcement.
    model.run(0.4)
    return found[0]


def test_a_late_answer_to_an_acceptance_does_not_bring_a_cancelled_job_back():
    # The answer comes after the cancellation of the job was read.  If it were shown then, the job would stay in the
    # cluster state for ever and be placed again and again.
    model = started()
    late_replies: list = []
    send = model.send

    def delaying(source, call, deliver):
        txn = call.body["apply"] if call.path == "/txn" else []
        accepts = any(change.get("put") == f"{LIVE_JOB_PREFIX}job-1" for change in txn)
        send(source, call, (lambda reply: late_replies.append((deliver, reply))) if accepts else deliver)

    model.send = delaying
    controller = model.hosts[0]
    model.carry_out(
        controller,
        controller.core.request(*model.clock(controller), 10**6, "POST", "/submissions", submission("job-1")),
    )
    model.run(0.3)
    model.send = send
    assert abort(model, "job-1", 1)[1]["status"] == "cancelled"
    model.run(0.4)
    deliver, reply = late_replies[0]
    assert reply.status == 200
    deliver(reply)
    model.run(0.3)
    assert not controller.core.cluster_state.jobs


def test_a_removed_job_does_not_come_back_with_an_older_round_of_reads():
    cluster_state = ClusterState()
    cluster_state.read(3)
    put(cluster_state, "job-1", 2, version=4)
    cluster_state.remove(LIVE_JOB_PREFIX + "job-1", 6)
    put(cluster_state, "job-1", 2, version=5)
    assert not cluster_state.jobs
    cluster_state.read(6)
    put(cluster_state, "job-1", 2, version=7)
    assert list(cluster_state.jobs) == ["job-1"]
