"""Failover of the fleet leader at every point of a rental, and the detection of failed controllers."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ashtray.kernel import Call, Reply
from ashtray.placement.state_keys import CONTROLLER, FLEET, RENTALS
from ashtray.standby.failure_detector import MAX_SUSPICION_US, RECOVERY_HEARTBEATS, FailureDetector
from ashtray.standby.intents import Intent, Intents, IntentsRecord
from ashtray.standby.takeover import Check, Takeover
from tests.model import SECOND, Host, Model, submission

MACHINES = 6
"""The number of machines that the job of these tests needs."""
POINTS = ["before the intent", "after the intent", "before the request", "after the request", "at the answer"]


def submit_job(model: Model) -> None:
    """Submit a job that needs exactly `MACHINES` machines and never ends."""
    job = submission("job-0", pieces=MACHINES, cpus=4.0, shape="service", crew="free", loaners=False)
    model.submit(job)


def rented_machines(model: Model) -> int:
    return sum(len(names) for names in model.cloud.requests.values())


def leaders(model: Model) -> list[Host]:
    return [host for host in model.hosts if host.core is not None and host.core.fleet_manager.running]


def act_at(model: Model, point: str, act: Callable[[Host], None]) -> list[int]:
    """Call `act` with the first controller that reaches this point of a rental; the list returned gets the time."""
    send = model.send
    hit_times: list[int] = []

    def intercept(source: str, call: Call, deliver: Callable[[Reply], None]) -> None:
        asks = call.method == "POST" and call.path == "/rentals"
        writes = call.path == "/txn" and any(change.get("put") == RENTALS for change in call.body["apply"])
        stage, when = point.split(" the ")
        wanted = writes if when == "intent" else asks
        if not wanted or hit_times or source[0] != "c":
            send(source, call, deliver)
            return
        hit_times.append(model.now)
        host = model.hosts[int(source[1:])]
        if stage == "before":
            # The controller crashes or pauses before it sends the request.
            act(host)
            if host.core is not None:
                model.at(host.halted_until - model.now, lambda: send(source, call, deliver))
        elif stage == "after":
            send(source, call, deliver)
            act(host)
        else:

            def answered(reply: Reply) -> None:
                act(host)
                deliver(reply)

            send(source, call, answered)

    model.send = intercept  # type: ignore[method-assign]
    return hit_times


def pause_for(model: Model, seconds: float) -> Callable[[Host], None]:
    def act(host: Host) -> None:
        host.halted_until = model.now + int(seconds * SECOND)

    return act


@pytest.mark.parametrize("point", POINTS)
@pytest.mark.parametrize("hosts", [3, 5])
def test_a_leader_crash_at_any_point_rents_nothing_twice(point: str, hosts: int) -> None:
    model = Model(11, hosts=hosts)
    model.checks()
    model.run(8)
    hit_times = act_at(model, point, lambda host: model.crash(host.number, 30))
    submit_job(model)
    model.run(30)
    assert hit_times and len(leaders(model)) == 1
    assert rented_machines(model) == MACHINES
    assert len(model.on) == MACHINES


@pytest.mark.parametrize("point", POINTS)
@pytest.mark.parametrize("seconds", [3, 8, 25])
def test_a_pause_of_the_leader_at_any_point_rents_nothing_twice(point: str, seconds: float) -> None:
    model = Model(12, hosts=5)
    model.checks()
    model.run(8)
    hit_times = act_at(model, point, pause_for(model, seconds))
    submit_job(model)
    model.run(seconds + 25)
    assert hit_times and len(leaders(model)) == 1
    assert rented_machines(model) == MACHINES
    assert len(model.on) == MACHINES


@pytest.mark.parametrize("second", POINTS[2:])
def test_the_successor_crashes_too(second: str) -> None:
    model = Model(13, hosts=5)
    model.checks()
    model.run(8)

    def crash_leader(host: Host) -> None:
        model.crash(host.number, 40)
        act_at(model, second, lambda successor: model.crash(successor.number, 40))

    act_at(model, "before the request", crash_leader)
    submit_job(model)
    model.run(40)
    assert rented_machines(model) == MACHINES and len(model.on) == MACHINES
    assert sum(host.core is None for host in model.hosts) == 2


def test_time_from_a_leader_crash_to_the_first_rental() -> None:
    """The median and the longest time over several seeds, in the model's time."""
    waits = []
    for seed in range(8):
        model = Model(seed, hosts=5)
        model.checks()
        model.run(12)
        (leader,) = leaders(model)
        model.crash(leader.number, 60)
        began_us = model.now
        submit_job(model)
        while not model.cloud.requests:
            model.run(0.1)
            assert model.now - began_us < 20 * SECOND
        waits.append((model.now - began_us) / SECOND)
    waits.sort()
    assert waits[len(waits) // 2] <= 4.0
    assert waits[-1] <= 8.0


@pytest.mark.parametrize("record", [{"by": 3}, ["x"], {"by": "berth-9", "open": [["r-1"]]}])
def test_a_malformed_intents_record_stops_no_leader(record: object) -> None:
    model = Model(14)
    model.checks()
    model.run(8)
    model.state.revision += 1
    model.state.keys[RENTALS] = (record, model.state.revision, None)
    model.state.log.append((model.state.revision, RENTALS, (record,)))
    (leader,) = leaders(model)
    model.crash(leader.number, 30)
    submit_job(model)
    model.run(40)
    assert rented_machines(model) == MACHINES and len(model.on) == MACHINES


def test_a_successor_waits_for_the_cloud_list_while_an_older_version_may_lead() -> None:
    model = Model(15)
    model.checks()
    model.run(8)
    for host in model.hosts:
        host.core.fleet_manager.provisioning.intents.all = False
        host.core.presence._upgraded = 1
        for seen in host.core.cluster_state.controllers.values():
            seen["form"] = 1
    model.state.keys.pop(RENTALS, None)
    submit_job(model)
    model.run(12)
    (leader,) = leaders(model)
    model.crash(leader.number, 60)
    model.submit(submission("job-1", pieces=2, cpus=4.0, shape="service", crew="free", loaners=False))
    began_us = model.now
    while rented_machines(model) == MACHINES:
        model.run(0.2)
        assert model.now - began_us < 40 * SECOND
    assert model.now - began_us > 9 * SECOND


def test_a_successor_counts_rented_machines_that_are_not_listed_yet() -> None:
    # The second batch's record names the machines of the first one, which the cloud's list does not show yet.
    model = Model(17, hosts=5)
    model.cloud.lag_us = 8 * SECOND
    model.boot_factor = 2.0
    model.checks()
    model.run(8)
    submit_job(model)
    while rented_machines(model) < MACHINES:
        model.run(0.1)
    model.run(0.7)
    act_at(model, "after the request", lambda host: model.crash(host.number, 40))
    model.submit(submission("job-1", pieces=1, cpus=4.0, shape="service", crew="free", loaners=False))
    model.run(40)
    assert rented_machines(model) == MACHINES + 1 and len(model.on) == MACHINES + 1


def test_a_successor_reads_the_last_intent_after_taking_the_term(monkeypatch: pytest.MonkeyPatch) -> None:
    # The cluster state is two seconds late here, which is longer than the detection of a crash takes.
    monkeypatch.setattr("ashtray.store.follower.FOLLOW_SHARE", 0.012)
    for seed in range(6):
        model = Model(seed, hosts=5)
        model.cloud.lag_us = 8 * SECOND
        model.boot_factor = 2.0
        model.checks()
        model.run(15)
        hit_times = act_at(model, "after the request", lambda host, model=model: model.crash(host.number, 40))
        submit_job(model)
        model.run(40)
        assert hit_times and rented_machines(model) == MACHINES


def test_a_leader_replaced_while_paused_records_no_intent() -> None:
    model = Model(18, hosts=5)
    model.checks()
    model.run(8)
    (predecessor,) = leaders(model)
    act_at(model, "before the intent", pause_for(model, 9))
    submit_job(model)
    model.run(2)
    # When the paused leader resumes, the job no longer needs machines.
    model.cancel("job-0")
    model.run(30)
    assert leaders(model) and not rented_machines(model)
    record = model.state.keys.get(RENTALS, ({"by": ""},))[0]
    assert record["by"] != f"berth-{predecessor.number}"


def test_each_crashed_leader_is_replaced() -> None:
    model = Model(16, hosts=5)
    model.checks()
    model.run(10)
    submit_job(model)
    for _ in range(8):
        for host in leaders(model):
            model.crash(host.number, 6)
        model.run(8)
        assert len(leaders(model)) == 1
    model.run(10)
    assert rented_machines(model) == MACHINES and len(model.on) == MACHINES


def test_a_leader_that_shuts_down_is_replaced_at_once() -> None:
    model = Model(19, hosts=5)
    model.checks()
    model.run(10)
    for _ in range(5):
        (leader,) = leaders(model)
        model.carry_out(leader, leader.core.stop(*model.clock(leader)))
        model.run(0.3)
        assert leader.core.ended and f"{CONTROLLER}berth-{leader.number}" not in model.state.keys
        model.crash(leader.number, 4)
        model.run(1.2)
        # The time is too short for a suspicion.
        assert len(leaders(model)) == 1
        model.run(8)


# Detection of failed controllers


def test_a_crashed_controller_is_suspected_before_its_lease_ends() -> None:
    model = Model(21, hosts=5)
    model.run(10)
    model.crash(2, 60)
    model.run(2.5)
    others = [host for host in model.hosts if host.core is not None]
    assert all("berth-2" not in host.core.presence.available() for host in others)
    # Duties that two controllers must not perform at once wait for the end of the lease.
    assert all("berth-2" in host.core.presence.live() for host in others)
    assert CONTROLLER + "berth-2" in model.state.keys


def test_a_controller_that_one_peer_cannot_reach_is_not_suspected() -> None:
    model = Model(22, hosts=5)
    model.run(10)
    model.cut("c2", "c0", 8, False)
    for _ in range(60):
        model.run(0.2)
        assert all("berth-2" in host.core.presence.available() for host in model.hosts)


def test_a_controller_cut_off_only_from_its_peers_takes_its_duties_back() -> None:
    model = Model(23, hosts=5)
    model.run(10)
    for other in (0, 1, 3, 4):
        model.cut("c2", f"c{other}", 60, False)
    model.run(8)
    assert "berth-2" not in model.hosts[0].core.presence.available()
    model.run(MAX_SUSPICION_US / SECOND + 2)
    assert all("berth-2" in host.core.presence.available() for host in model.hosts)


def test_a_leader_that_cannot_read_is_replaced_before_its_lease_ends() -> None:
    model = Model(24, hosts=5)
    model.run(10)
    (leader,) = leaders(model)
    leader.refused_until = model.now + 30 * SECOND
    term = model.state.keys[FLEET][1]
    model.run(5)
    assert model.state.keys[FLEET][1] != term
    assert [host for host in leaders(model) if host is not leader]


def test_healthy_controllers_are_not_suspected() -> None:
    """One message in fifty is late by seconds, and processes pause for less than a second."""
    suspected = 0
    for seed in range(4):
        model = Model(seed, hosts=5)
        model.run(8)
        model.late_share = 0.02
        for n in range(60):
            if n % 4 == 0:
                model.hosts[(n // 4) % 5].halts_us = SECOND * 9 // 10
            model.run(2)
        suspected += sum(host.core.presence.failure_detector.suspicions for host in model.hosts)
    assert suspected == 0


def test_silence_during_an_own_pause_is_no_evidence() -> None:
    detector = FailureDetector(["a", "b"], SECOND)
    detector.heartbeat("a", SECOND, 0, ())
    detector.called("a", False, False)
    assert detector.doubts(9 * SECOND, 8 * SECOND) == []
    assert detector.doubts(12 * SECOND, 8 * SECOND) == ["a"]


def test_a_takeover_skips_no_check() -> None:
    takeover = Takeover(0)
    for check in Check:
        assert not takeover.ready()
        takeover.pass_check(check, 1_000)
    assert takeover.ready() and takeover.stages().startswith("term 0.00")
    takeover.restart(2_000)
    assert not takeover.ready() and all(takeover.missing(check) for check in Check)


HOSTS = ["a", "b", "c", "d"]
EVENTS = st.one_of(
    st.tuples(st.just("word"), st.sampled_from(HOSTS), st.sets(st.sampled_from(HOSTS), max_size=2)),
    st.tuples(st.just("refused"), st.sampled_from(HOSTS), st.just(set())),
    st.tuples(st.just("unanswered"), st.sampled_from(HOSTS), st.just(set())),
)


@given(st.lists(st.tuples(st.integers(1, 3 * SECOND), EVENTS), max_size=60))
def test_a_suspicion_needs_own_evidence_and_that_of_others(
    events: list[tuple[int, tuple[str, str, set[str]]]],
) -> None:
    detector = FailureDetector(HOSTS, SECOND)
    live = ["me", *HOSTS]
    now = SECOND
    for pause, (what, host, doubts) in events:
        now += pause
        before = detector.unavailable
        if what == "word":
            detector.heartbeat(host, now, 0, doubts)
        else:
            detector.called(host, what == "refused", False)
        unavailable = detector.evaluate(now, 0, live, 0)
        for new in unavailable - before:
            assert new in detector.doubts(now, 0)
            assert len(detector.peers[new].doubted_by) >= 2
        if what == "word" and host in before:
            assert (
                host in unavailable
                or detector.peers[host].recovered >= RECOVERY_HEARTBEATS
                or detector.peers[host].suspected_since_us is None
            )
    # A peer that sends heartbeats again is no longer suspected.
    for _ in range(RECOVERY_HEARTBEATS):
        for host in HOSTS:
            detector.heartbeat(host, now, 0, ())
    assert not detector.evaluate(now, 0, live, 0)


NAMES = st.one_of(st.none(), st.lists(st.integers(0, 999).map(lambda n: f"vm-{n:06d}"), max_size=50, unique=True))
INTENTS = st.lists(
    st.builds(
        Intent,
        st.integers(0, 10**9).map(lambda n: f"berth-1-7-{n}"),
        st.just("small"),
        st.just("a"),
        st.booleans(),
        st.integers(1, 50),
        st.integers(0, 10**15),
        NAMES,
    ),
    max_size=40,
    unique_by=lambda intent: intent.request,
)


@given(INTENTS, st.integers(200, 20_000))
def test_the_record_of_rentals_stays_within_its_bound(batch: list[Intent], most: int) -> None:
    intents = Intents()
    value = intents.value("berth-1", most, batch)
    assert len(msgspec.json.encode(value)) <= most or not value.get("open")
    read = Intents()
    assert read.load(msgspec.json.decode(msgspec.json.encode(value)))
    known = {intent.request: intent for intent in batch}
    for request, intent in read.open.items():
        # Names may be left out, since repeating the request gives them again; nothing else changes.
        assert intent in (known[request], msgspec.structs.replace(known[request], names=None))
    # The newest intent, without an answer, is dropped last.
    if any(intent.request not in read.open for intent in batch[-1:]):
        assert not read.open


def test_a_newer_intents_record_is_read_without_its_unknown_fields() -> None:
    value = {"by": "berth-1", "all": True, "open": [["r-1", "small", "a", False, 3, 5, None, "more"]], "later": {}}
    intents = Intents()
    assert intents.load(value) and intents.all
    assert list(intents.open.values()) == [Intent("r-1", "small", "a", False, 3, 5)]
    assert msgspec.convert(value, IntentsRecord).by == "berth-1"
