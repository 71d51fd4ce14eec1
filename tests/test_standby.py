"""Several machines that fail: what an heir of the fleet's runner does, and how a fall is noticed."""

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
"""What the job of these tests needs."""
POINTS = ["before the intent", "after the intent", "before the request", "after the request", "at the answer"]


def need(model: Model) -> None:
    """A job that needs exactly so many machines, for ever."""
    job = submission("job-0", pieces=MACHINES, cpus=4.0, shape="service", crew="free", loaners=False)
    model.submit(job)


def rented(model: Model) -> int:
    return sum(len(names) for names in model.cloud.requests.values())


def runners(model: Model) -> list[Host]:
    return [host for host in model.hosts if host.core is not None and host.core.runner.running]


def aim(model: Model, point: str, act: Callable[[Host], None]) -> list[int]:
    """Do something to the controller that is at that point of renting, the first time that one is."""
    send = model.send
    hits: list[int] = []

    def aimed(source: str, call: Call, deliver: Callable[[Reply], None]) -> None:
        asks = call.method == "POST" and call.path == "/rentals"
        writes = call.path == "/txn" and any(change.get("put") == RENTALS for change in call.body["apply"])
        stage, when = point.split(" the ")
        wanted = writes if when == "intent" else asks
        if not wanted or hits or source[0] != "c":
            send(source, call, deliver)
            return
        hits.append(model.now)
        host = model.hosts[int(source[1:])]
        if stage == "before":
            # It falls, or stands still, with the request in its hands.
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

    model.send = aimed  # type: ignore[method-assign]
    return hits


def halt(model: Model, seconds: float) -> Callable[[Host], None]:
    def act(host: Host) -> None:
        host.halted_until = model.now + int(seconds * SECOND)

    return act


@pytest.mark.parametrize("point", POINTS)
@pytest.mark.parametrize("hosts", [3, 5])
def test_a_runner_that_ends_at_any_point_rents_nothing_twice(point: str, hosts: int) -> None:
    model = Model(11, hosts=hosts)
    model.checks()
    model.run(8)
    hits = aim(model, point, lambda host: model.crash(host.number, 30))
    need(model)
    model.run(30)
    assert hits and len(runners(model)) == 1
    assert rented(model) == MACHINES
    assert len(model.on) == MACHINES


@pytest.mark.parametrize("point", POINTS)
@pytest.mark.parametrize("seconds", [3, 8, 25])
def test_a_runner_that_stands_still_at_any_point_rents_nothing_twice(point: str, seconds: float) -> None:
    model = Model(12, hosts=5)
    model.checks()
    model.run(8)
    hits = aim(model, point, halt(model, seconds))
    need(model)
    model.run(seconds + 25)
    assert hits and len(runners(model)) == 1
    assert rented(model) == MACHINES
    assert len(model.on) == MACHINES


@pytest.mark.parametrize("second", POINTS[2:])
def test_the_heir_ends_too(second: str) -> None:
    model = Model(13, hosts=5)
    model.checks()
    model.run(8)

    def fall(host: Host) -> None:
        model.crash(host.number, 40)
        aim(model, second, lambda heir: model.crash(heir.number, 40))

    aim(model, "before the request", fall)
    need(model)
    model.run(40)
    assert rented(model) == MACHINES and len(model.on) == MACHINES
    assert sum(host.core is None for host in model.hosts) == 2


def test_first_decision_after_a_fall() -> None:
    """From a runner's end to the first rental, in the model's time: over all, not once."""
    waits = []
    for seed in range(8):
        model = Model(seed, hosts=5)
        model.checks()
        model.run(12)
        (runner,) = runners(model)
        model.crash(runner.number, 60)
        began = model.now
        need(model)
        while not model.cloud.requests:
            model.run(0.1)
            assert model.now - began < 20 * SECOND
        waits.append((model.now - began) / SECOND)
    waits.sort()
    assert waits[len(waits) // 2] <= 4.0
    assert waits[-1] <= 8.0


@pytest.mark.parametrize("record", [{"by": 3}, ["x"], {"by": "berth-9", "open": [["r-1"]]}])
def test_a_record_that_cannot_be_read_delays_and_stops_nobody(record: object) -> None:
    model = Model(14)
    model.checks()
    model.run(8)
    model.state.revision += 1
    model.state.keys[RENTALS] = (record, model.state.revision, None)
    model.state.log.append((model.state.revision, RENTALS, (record,)))
    (runner,) = runners(model)
    model.crash(runner.number, 30)
    need(model)
    model.run(40)
    assert rented(model) == MACHINES and len(model.on) == MACHINES


def test_while_an_older_version_may_run_the_fleet_an_heir_waits_for_the_list() -> None:
    model = Model(15)
    model.checks()
    model.run(8)
    for host in model.hosts:
        host.core.runner.provisioning.intents.all = False
        host.core.presence._upgraded = 1
        for seen in host.core.cluster_state.controllers.values():
            seen["form"] = 1
    model.state.keys.pop(RENTALS, None)
    need(model)
    model.run(12)
    (runner,) = runners(model)
    model.crash(runner.number, 60)
    model.submit(submission("job-1", pieces=2, cpus=4.0, shape="service", crew="free", loaners=False))
    began = model.now
    while rented(model) == MACHINES:
        model.run(0.2)
        assert model.now - began < 40 * SECOND
    assert model.now - began > 9 * SECOND


def test_an_heir_counts_what_is_coming_and_not_listed_yet() -> None:
    # The second batch's record names the machines of the first, which the list does not show for a while.
    model = Model(17, hosts=5)
    model.cloud.lag_us = 8 * SECOND
    model.boot_factor = 2.0
    model.checks()
    model.run(8)
    need(model)
    while rented(model) < MACHINES:
        model.run(0.1)
    model.run(0.7)
    aim(model, "after the request", lambda host: model.crash(host.number, 40))
    model.submit(submission("job-1", pieces=1, cpus=4.0, shape="service", crew="free", loaners=False))
    model.run(40)
    assert rented(model) == MACHINES + 1 and len(model.on) == MACHINES + 1


def test_what_the_former_wrote_last_is_read_after_the_term_was_taken(monkeypatch: pytest.MonkeyPatch) -> None:
    # Pictures are two seconds late here, later than a fall is noticed.
    monkeypatch.setattr("ashtray.store.follower.FOLLOW_SHARE", 0.012)
    for seed in range(6):
        model = Model(seed, hosts=5)
        model.cloud.lag_us = 8 * SECOND
        model.boot_factor = 2.0
        model.checks()
        model.run(15)
        hits = aim(model, "after the request", lambda host, model=model: model.crash(host.number, 40))
        need(model)
        model.run(40)
        assert hits and rented(model) == MACHINES


def test_one_relieved_while_it_stood_still_writes_nothing_down_any_more() -> None:
    model = Model(18, hosts=5)
    model.checks()
    model.run(8)
    (former,) = runners(model)
    aim(model, "before the intent", halt(model, 9))
    need(model)
    model.run(2)
    # Nobody needs it any more when it goes on.
    model.cancel("job-0")
    model.run(30)
    assert runners(model) and not rented(model)
    record = model.state.keys.get(RENTALS, ({"by": ""},))[0]
    assert record["by"] != f"berth-{former.number}"


def test_all_fall_in_turns_and_the_fleet_is_run_again_each_time() -> None:
    model = Model(16, hosts=5)
    model.checks()
    model.run(10)
    need(model)
    for _ in range(8):
        for host in runners(model):
            model.crash(host.number, 6)
        model.run(8)
        assert len(runners(model)) == 1
    model.run(10)
    assert rented(model) == MACHINES and len(model.on) == MACHINES


def test_one_told_to_end_is_missed_by_nobody() -> None:
    model = Model(19, hosts=5)
    model.checks()
    model.run(10)
    for _ in range(5):
        (runner,) = runners(model)
        model.carry_out(runner, runner.core.stop(*model.clock(runner)))
        model.run(0.3)
        assert runner.core.ended and f"{CONTROLLER}berth-{runner.number}" not in model.state.keys
        model.crash(runner.number, 4)
        model.run(1.2)
        # Before it would even be suspected.
        assert len(runners(model)) == 1
        model.run(8)


# How a fall is noticed


def test_one_that_fell_is_suspected_long_before_its_lease_ends() -> None:
    model = Model(21, hosts=5)
    model.run(10)
    model.crash(2, 60)
    model.run(2.5)
    others = [host for host in model.hosts if host.core is not None]
    assert all("berth-2" not in host.core.presence.able() for host in others)
    # What must not be done by two at once waits for the lease.
    assert all("berth-2" in host.core.presence.live() for host in others)
    assert CONTROLLER + "berth-2" in model.state.keys


def test_one_that_only_some_cannot_reach_is_not_suspected() -> None:
    model = Model(22, hosts=5)
    model.run(10)
    model.cut("c2", "c0", 8, False)
    for _ in range(60):
        model.run(0.2)
        assert all("berth-2" in host.core.presence.able() for host in model.hosts)


def test_one_cut_off_from_its_peers_alone_takes_its_duties_back() -> None:
    model = Model(23, hosts=5)
    model.run(10)
    for other in (0, 1, 3, 4):
        model.cut("c2", f"c{other}", 60, False)
    model.run(8)
    assert "berth-2" not in model.hosts[0].core.presence.able()
    model.run(MAX_SUSPICION_US / SECOND + 2)
    assert all("berth-2" in host.core.presence.able() for host in model.hosts)


def test_a_runner_that_cannot_read_is_relieved_before_its_lease_ends() -> None:
    model = Model(24, hosts=5)
    model.run(10)
    (runner,) = runners(model)
    runner.refused_until = model.now + 30 * SECOND
    term = model.state.keys[FLEET][1]
    model.run(5)
    assert model.state.keys[FLEET][1] != term
    assert [host for host in runners(model) if host is not runner]


def test_healthy_controllers_are_not_suspected() -> None:
    """With one message in fifty late by seconds, and halts of under a second."""
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


def test_what_it_did_not_hear_while_it_stood_still_is_no_evidence() -> None:
    detector = FailureDetector(["a", "b"], SECOND)
    detector.heartbeat("a", SECOND, 0, ())
    detector.called("a", False, False)
    assert detector.doubts(9 * SECOND, 8 * SECOND) == []
    assert detector.doubts(12 * SECOND, 8 * SECOND) == ["a"]


def test_takeover_misses_no_check() -> None:
    takeover = Takeover(0)
    for check in Check:
        assert not takeover.ready()
        takeover.ok(check, 1_000)
    assert takeover.ready() and takeover.stages().startswith("term 0.00")
    takeover.again(2_000)
    assert not takeover.ready() and all(takeover.missing(check) for check in Check)


HOSTS = ["a", "b", "c", "d"]
EVENTS = st.one_of(
    st.tuples(st.just("word"), st.sampled_from(HOSTS), st.sets(st.sampled_from(HOSTS), max_size=2)),
    st.tuples(st.just("refused"), st.sampled_from(HOSTS), st.just(set())),
    st.tuples(st.just("unanswered"), st.sampled_from(HOSTS), st.just(set())),
)


@given(st.lists(st.tuples(st.integers(1, 3 * SECOND), EVENTS), max_size=60))
def test_nobody_is_suspected_without_own_evidence_and_that_of_others(
    events: list[tuple[int, tuple[str, str, set[str]]]],
) -> None:
    detector = FailureDetector(HOSTS, SECOND)
    live = ["me", *HOSTS]
    now = SECOND
    for pause, (what, host, doubts) in events:
        now += pause
        before = detector.away
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
    # Whoever speaks again is taken back.
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
        # Names may be left out, for they can be asked for again; nothing else changes.
        assert intent in (known[request], msgspec.structs.replace(known[request], names=None))
    # What has no answer is the last to go.
    if any(intent.request not in read.open for intent in batch[-1:]):
        assert not read.open


def test_a_later_version_of_the_record_is_read_as_far_as_it_is_known() -> None:
    value = {"by": "berth-1", "all": True, "open": [["r-1", "small", "a", False, 3, 5, None, "more"]], "later": {}}
    intents = Intents()
    assert intents.load(value) and intents.all
    assert list(intents.open.values()) == [Intent("r-1", "small", "a", False, 3, 5)]
    assert msgspec.convert(value, IntentsRecord).by == "berth-1"
