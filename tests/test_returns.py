"""Controllers that restart within a fraction of a second: the new process must not take its predecessor's state."""

import asyncio
import logging
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from ashtray.config.operators import OperatorSettings
from ashtray.daemon.server import Daemon
from ashtray.standby.takeover import Check
from tests.model import SECOND, Model, settings_for, submission
from tests.test_model import FAULTS, JOB, RUNS, begin, finish, strike

ROOT = Path(__file__).resolve().parent.parent
HOSTS = 4
CONTROLLER = "ashtray/now/controller/"


def busy_model(seed: int, hosts: int = HOSTS) -> Model:
    """Return a model of a small fleet that runs gangs and arrays under a team limit that is used up."""
    model = Model(seed, hosts)
    model.checks()
    model.run(3)
    for n in range(8):
        over = {"shape": "gang", "urgency": "urgent", "pieces": 2} if n % 3 == 0 else {"pieces": 4}
        model.submit(submission(f"job-{n}", crew="crew" if n % 2 else "free", **over))
    model.run(12)
    assert model.on
    return model


def signed_in(model: Model) -> list[bool]:
    return [host.core is not None and bool(host.core.presence.incarnation) for host in model.hosts]


@pytest.mark.parametrize("back_s", [0.02, 0.3])
@pytest.mark.parametrize("seed", [1, 2])
def test_ten_restarts_in_twenty_seconds_lose_nothing_and_leave_no_unused_leases(seed: int, back_s: float) -> None:
    model = busy_model(seed)
    most = 0
    for n in range(10):
        for number in range(HOSTS) if n % 3 == 2 else (n % HOSTS,):
            model.crash(number, back_s)
        model.run(2)
        model.state.expire(model.now)
        most = max(most, len(model.state.leases))
    finish(model, 120)
    assert all(signed_in(model))
    # One lease for each process that started within the life of a lease, and one for each that runs.
    assert most <= HOSTS * (2 + 3)
    model.run(8)
    model.state.expire(model.now)
    assert len(model.state.leases) == HOSTS
    presence_leases = {key: lease for key, (_, _, lease) in model.state.keys.items() if key.startswith(CONTROLLER)}
    assert len(presence_leases) == HOSTS and set(presence_leases.values()) == set(model.state.leases)


def test_failed_sign_ins_use_the_same_lease() -> None:
    model = busy_model(4)
    handle, opened = model.state.handle, []

    def refuse_writes(now_us, method, path, body):
        if path == "/leases" and method == "POST":
            opened.append(path)
        if path == "/txn":
            return 503, {"error": "trouble"}
        return handle(now_us, method, path, body)

    model.state.handle = refuse_writes
    model.crash(0, 0.05)
    model.run(12)
    # A lease is used for half of its life: about four in twelve seconds.  A lease for each try would be two a second.
    assert 1 <= len(opened) <= 5
    model.state.handle = handle
    finish(model, 90)


@pytest.mark.parametrize("step_s", [0.0, 0.012, 0.03, 0.08, 0.3, 1.0])
def test_a_crash_during_each_step_of_a_start(step_s: float) -> None:
    model = busy_model(5)
    for _ in range(4):
        for number in range(HOSTS):
            model.crash(number, 0.02)
        model.run(0.02 + step_s)
    finish(model, 120)
    assert all(signed_in(model))


@pytest.mark.parametrize("seed", range(2))
def test_late_messages_of_the_old_process_arrive_after_the_new_one_has_signed_in(seed: int) -> None:
    model = busy_model(20 + seed)
    old = {}
    for n in range(6):
        # All messages that this controller sends now arrive up to half a minute late.
        model.far[n % HOSTS] = (model.now + 2 * SECOND, int((3 + 2 * n) * SECOND))
        model.submit(submission(f"job-{30 + n}", crew="crew", pieces=5))
        model.run(0.8)
        old[n % HOSTS] = model.hosts[n % HOSTS].core.presence.incarnation
        del model.far[n % HOSTS]
        model.crash(n % HOSTS, 0.05)
        model.run(1.5)
    for number, incarnation in old.items():
        assert model.hosts[number].core.presence.incarnation > incarnation
    finish(model, 150)


def test_a_leader_that_restarts_within_its_term_passes_all_checks() -> None:
    model = busy_model(6)
    number = next(n for n, host in enumerate(model.hosts) if host.core.fleet_manager.running)
    term = model.hosts[number].core.fleet_manager.lease.term
    model.crash(number, 0.05)
    model.run(6)
    core = next(host.core for host in model.hosts if host.core.fleet_manager.running)
    assert core.fleet_manager.lease.term > term
    assert all(check in core.fleet_manager.handover.takeover.passed for check in Check)
    # The fleet lease is the new process's, not its predecessor's.
    fleet, _ = core.cluster_state.fleet
    assert fleet["incarnation"] == core.presence.incarnation


def test_ownership_tokens_of_a_host_differ_between_its_processes() -> None:
    model = busy_model(7)
    given_out = set()
    for _ in range(5):
        worker_manager = model.hosts[1].core.worker_manager
        given_out |= {worker_manager._next_token(above) for above in (0, 0, 7 << 40)}
        model.crash(1, 0.02)
        model.run(2.5)
    assert len(given_out) == 15


def test_late_heartbeats_of_the_old_process_cause_no_suspicion() -> None:
    model = busy_model(8)
    for _ in range(4):
        heartbeat = model.hosts[2].core.peers._heartbeat("berth-0")
        model.crash(2, 0.05)
        model.run(1.2)
        host = model.hosts[0]
        # The old process's last heartbeat is late and says that it has not read the state service for long.
        late = {**heartbeat, "state_age_us": 30 * SECOND}
        model.waiting[10**9] = lambda status, body: None
        model.carry_out(host, host.core.peer_request(*model.clock(host), 10**9, "POST", "/peer/word", late))
        model.run(4)
        assert "berth-2" in host.core.presence.available()


def test_a_restarted_controller_uses_a_limit_share_only_after_its_own_fence() -> None:
    model = busy_model(9)
    model.crash(0, 0.02)
    while not model.hosts[0].core or not model.hosts[0].core.presence.incarnation:
        model.run(0.01)
    core = model.hosts[0].core
    assert not core.grants.is_fenced("crew")
    assert core.grants.allowed("crew", next(iter(core.cluster_state.jobs.values())).spec) == 0


@settings(
    max_examples=max(RUNS // 4, 10), phases=[Phase.explicit, Phase.generate], suppress_health_check=list(HealthCheck)
)
@given(
    st.integers(0, 10**6),
    st.lists(JOB, min_size=3, max_size=8),
    FAULTS,
    st.lists(st.tuples(st.floats(4, 75), st.integers(0, 4), st.floats(0.01, 0.9)), min_size=4, max_size=20),
)
def test_no_rule_breaks_when_processes_are_back_at_once(seed, jobs, faults, ends) -> None:
    model = Model(seed, 3, OperatorSettings())
    begin(model, seed, jobs)
    strike(model, faults[:5])
    for at_s, number, back_s in ends:
        # 3 and 4: all of them.
        for one in range(3) if number >= 3 else (number,):
            model.at(int(at_s * SECOND), lambda one=one, back_s=back_s: model.crash(one, back_s))
    model.run(90)
    finish(model, 150)


def test_a_start_waits_for_an_address_in_use(caplog: pytest.LogCaptureFixture) -> None:
    async def play() -> None:
        daemon = Daemon(settings_for(0, 1), OperatorSettings())
        listener = socket.socket()
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        port = listener.getsockname()[1]
        listening = asyncio.ensure_future(daemon._listen(asyncio.Protocol, "127.0.0.1", port))
        while not any("in use still" in record.message for record in caplog.records):
            assert not listening.done()
            await asyncio.sleep(0)
        listener.close()
        await listening
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.close()
        await daemon.client.close()

    caplog.set_level(logging.INFO, "ashtray")
    asyncio.run(play())


def test_a_start_compiles_only_files_of_the_package() -> None:
    # Otherwise libraries are looked up under the prefix of the package's compiled files and compiled at each start.
    command = [sys.executable, "-v", "run.py", "--help"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True)
    lines = [line for line in done.stderr.splitlines() if line.startswith("# code object from ")]
    # Code from a compiled file is shown in quotes, with that file's name.
    compiled = {line.removeprefix("# code object from ") for line in lines if line.endswith(".py")}
    own = {path for path in compiled if Path(path).is_relative_to(ROOT / "ashtray")}
    assert len(lines) > 200 and sorted(compiled - own) == []


@pytest.mark.parametrize("back_s", [0.02, 0.3, 1.0])
def test_a_quick_restart_deletes_no_healthy_machine(back_s: float) -> None:
    # The new process has heard no worker yet.  Its first heartbeat must not replace its predecessor's report times.
    # Otherwise healthy machines count as silent and are deleted.
    model = Model(10, HOSTS)
    model.cloud.capacity = 30
    model._run_us = lambda key: 600 * SECOND  # type: ignore[method-assign]
    model.checks()
    model.run(3)
    for n in range(12):
        model.submit(submission(f"job-{n}", crew="free", pieces=8, expect_s=600.0))
    # Run for longer than a machine may be silent.
    model.run(60)
    there = set(model.workers)
    assert len(there) >= 20
    for number in range(HOSTS):
        if not model.hosts[number].core.fleet_manager.running:
            model.crash(number, back_s)
            model.run(12)
    assert there <= set(model.workers)
