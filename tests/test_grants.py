"""Shares of teams' limits: what the controllers use together never exceeds the limit."""

from typing import Any

import msgspec
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from ashtray.config.settings import Team
from ashtray.jobs.model import LIVE_JOB_PREFIX, JobRecord, JobSpec
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.records import AllocationRecord, MachineRecord
from ashtray.placement.state_keys import GROUP, TEAM
from ashtray.store.transaction import Txn
from ashtray.teams.grants import LAST_TURN, Demand, Grants
from tests.fakes.state import State

HOSTS = ("h0", "h1", "h2")
LIMIT = 24.0
SPEC = JobSpec("any", "crew", "array", 2, 100, 2.0, 0.0, 1.0, "img", 1.0)
GANG = JobSpec("any", "crew", "gang", 2, 12, 2.0, 0.0, 1.0, "img", 1.0)


class Controller:
    """A controller: its cluster state as of the last `sync`, and its grants."""

    def __init__(self, name: str, state: State) -> None:
        self.name = name
        self.state = state
        self.revision = 0
        self.cluster_state = ClusterState()
        self.grants = Grants(name, HOSTS, [Team("crew", cpus_max=LIMIT)], self.cluster_state)
        self.grants.note_sign_in(state.revision)

    def sync(self) -> None:
        status, body = self.state.handle(0, "GET", f"/follow?under=ashtray/now/&after={self.revision}", None)
        assert status == 200
        for change in body["log"]:
            if "put" in change:
                self.cluster_state.put(change["put"], change["value"], change["stamp"])
            else:
                self.cluster_state.remove(change["remove"], change["stamp"])
        self.revision = body["ledger"]
        self.grants.note_read(self.revision)

    def send(self, txn: Txn | None) -> bool:
        if txn is None:
            return False
        status, body = self.state.handle(0, "POST", "/txn", decoded(txn))
        if status == 200:
            for key, value in txn.puts.items():
                self.cluster_state.put(key, value, body["ledger"])
        return status == 200

    def fence(self) -> None:
        self.send(self.grants.fence(["crew"]))
        self.sync()

    def placement(self, slot: int, count: int) -> Txn | None:
        count = min(count, self.grants.allowed("crew", SPEC))
        if count <= 0:
            return None
        key = f"{GROUP}{self.name}.{slot}"
        group = self.cluster_state.groups.get(key)
        holds = [] if group is None else group.machines["m"].record.holds
        hold = AllocationRecord("job-1", 1, f"0-{count - 1}", "crew", 2.0, 0.0, 1.0, 0, by=self.name)
        record = MachineRecord("m:1", holds=[*holds, hold])
        value = {"type": "t", "zone": "a", "machines": {"m": msgspec.to_builtins(record)}}
        txn = Txn().guard(TEAM + "crew", self.cluster_state.version(TEAM + "crew"))
        return txn.guard(key, self.cluster_state.version(key)).put(key, value)

    def free(self, slot: int) -> None:
        key = f"{GROUP}{self.name}.{slot}"
        value = {"type": "t", "zone": "a", "machines": {"m": {"address": "m:1"}}}
        if key in self.cluster_state.groups:
            self.send(Txn().guard(key, self.cluster_state.version(key)).put(key, value))


def decoded(txn: Txn) -> Any:
    return msgspec.msgpack.decode(msgspec.msgpack.encode(txn.body()))


def used(state: State) -> float:
    cluster_state = ClusterState()
    for key, (value, revision, _) in state.keys.items():
        cluster_state.put(key, value, revision)
    return cluster_state.team_usage("crew")[0]


NAMES = ["place", "place", "place", "lost", "arrive", "sync", "fence", "share", "share", "free", "restart"]
OP = st.tuples(st.sampled_from(NAMES), st.integers(0, 2), st.integers(0, 2), st.integers(1, 12), st.booleans())


# No shrinking: it would take minutes after a failure.
@settings(max_examples=200, phases=[Phase.explicit, Phase.generate])
@given(st.lists(OP, min_size=40, max_size=80))
def test_controllers_together_stay_within_a_teams_limit(ops: list[tuple[str, int, int, int, bool]]) -> None:
    state = State()
    hosts = [Controller(name, state) for name in HOSTS]
    for host in hosts:
        host.sync()
        host.fence()
    unanswered: list[Any] = []
    for op, n, slot, count, late in ops:
        host = hosts[n]
        if not late:
            host.sync()
        if op == "place":
            host.send(host.placement(slot, count))
        elif op == "lost":
            txn = host.placement(slot, count)
            if txn is not None:
                unanswered.append(decoded(txn))
                host.grants.note_unanswered(["crew"])
        elif op == "arrive" and unanswered:
            # A transaction that got no answer is applied after all, after any delay.
            state.handle(0, "POST", "/txn", unanswered.pop(count % len(unanswered)))
        elif op == "fence":
            host.fence()
        elif op == "share":
            # A controller missing in `wants` counts as gone: all its share may be taken.  One with waiting tasks
            # gives up what these could use only to a job that may ask for it.
            wants = dict.fromkeys(HOSTS[slot % 2 :], Demand(2.0 * count * (slot == 1)))
            host.send(host.grants.reshare("crew", SPEC, count, wants, 3 * slot + n, slot < 2))
        elif op == "free":
            host.free(slot)
        elif op == "restart":
            hosts[n] = Controller(host.name, state)
            hosts[n].sync()
        assert used(state) <= LIMIT + 1e-6


def test_one_controller_gets_the_whole_limit_when_nobody_else_uses_it() -> None:
    state = State()
    hosts = [Controller(name, state) for name in HOSTS]
    for host in hosts:
        host.sync()
        host.fence()
    for _ in range(8):
        hosts[0].sync()
        if hosts[0].grants.allowed("crew", GANG) >= GANG.tasks:
            break
        hosts[0].send(hosts[0].grants.reshare("crew", GANG, GANG.tasks, dict.fromkeys(HOSTS, Demand())))
    assert hosts[0].grants.allowed("crew", GANG) == GANG.tasks


def settled() -> tuple[State, list[Controller]]:
    state = State()
    hosts = [Controller(name, state) for name in HOSTS]
    for host in hosts:
        host.sync()
        host.fence()
    return state, hosts


def test_two_changes_of_the_shares_need_a_read_between_them() -> None:
    # Otherwise a controller that has only its own change in its cluster state counts what a peer placed before that
    # change as free.
    state, hosts = settled()
    for host in hosts:
        host.sync()
    assert hosts[1].send(hosts[1].placement(0, 4))
    wants = {"h0": Demand(24.0), "h1": Demand(), "h2": Demand()}
    assert hosts[0].send(hosts[0].grants.reshare("crew", SPEC, 12, wants))
    assert hosts[0].grants.reshare("crew", SPEC, 12, wants) is None
    hosts[0].sync()
    assert hosts[0].send(hosts[0].grants.reshare("crew", SPEC, 12, wants))
    assert hosts[0].send(hosts[0].placement(1, 12))
    assert used(state) <= LIMIT


def test_a_dead_controllers_share_is_used_by_peers_once_its_tasks_end() -> None:
    state, hosts = settled()
    assert hosts[2].send(hosts[2].placement(0, 4))
    hosts[0].sync()
    wants = {"h0": Demand(20.0), "h1": Demand(20.0)}
    # It dies while its tasks use its whole share.
    assert hosts[0].send(hosts[0].grants.reshare("crew", SPEC, 10, wants)) is False
    hosts[2].free(0)
    hosts[0].sync()
    assert hosts[0].send(hosts[0].grants.reshare("crew", SPEC, 10, wants))
    assert hosts[0].cluster_state.shares["crew"]["h2"] == (0.0, 0.0)
    hosts[0].sync()
    assert hosts[0].send(hosts[0].grants.reshare("crew", SPEC, 10, wants))
    assert hosts[0].grants.allowed("crew", SPEC) == 8


def test_what_peers_have_use_for_is_not_moved_back_and_forth() -> None:
    state, hosts = settled()
    for host in hosts:
        host.sync()
        host.send(host.placement(0, 4))
    # One task of each controller ends.
    for host in hosts:
        host.sync()
        host.free(0)
        host.send(host.placement(0, 3))
    before = state.revision
    wants = dict.fromkeys(HOSTS, Demand(50.0))
    for _ in range(5):
        for host in hosts:
            host.sync()
            host.send(host.grants.reshare("crew", SPEC, 10, wants))
    assert state.revision == before
    # An urgent job gets what is unused nevertheless.
    assert hosts[0].send(hosts[0].grants.reshare("crew", SPEC, 10, wants, 0, True))


def test_two_gangs_that_collect_do_not_take_from_each_other() -> None:
    # Each needs the whole limit: the first one in the queue gets it, even if the other one asks more often.
    state, hosts = settled()
    turns = {"h0": 5, "h1": 9}
    wants = {host: Demand(24.0, 0.0, turns.get(host, LAST_TURN)) for host in HOSTS}
    for n in range(12):
        host = hosts[1] if n % 3 else hosts[0]
        host.sync()
        host.send(host.grants.reshare("crew", GANG, GANG.tasks, wants, turns[host.name]))
        if hosts[0].grants.allowed("crew", GANG) >= GANG.tasks:
            break
    hosts[0].sync()
    assert hosts[0].grants.allowed("crew", GANG) == GANG.tasks


def test_a_controller_with_a_share_of_zero_gets_its_part_though_all_have_work_waiting() -> None:
    state, hosts = settled()
    txn = Txn().guard(TEAM + "crew", hosts[0].cluster_state.version(TEAM + "crew"))
    txn.put(TEAM + "crew", {"h0": (0.0, 0.0), "h1": (12.0, 0.0), "h2": (12.0, 0.0)})
    for host in hosts:
        host.sync()
    assert hosts[0].send(txn)
    wants = dict.fromkeys(HOSTS, Demand(50.0))
    for _ in range(3):
        hosts[0].sync()
        hosts[0].send(hosts[0].grants.reshare("crew", SPEC, 10, wants))
    assert hosts[0].grants.allowed("crew", SPEC) >= 4


def test_nothing_is_placed_before_the_fence_nor_after_a_doubt() -> None:
    state = State()
    host = Controller("h0", state)
    host.sync()
    assert host.grants.allowed("crew", SPEC) == 0
    host.fence()
    assert host.grants.allowed("crew", SPEC) == 4
    host.grants.note_unanswered(["crew"])
    assert host.grants.allowed("crew", SPEC) == 0


def test_one_fence_serves_all_controllers_that_start_together() -> None:
    state = State()
    hosts = [Controller(name, state) for name in HOSTS]
    hosts[0].fence()
    assert not hosts[1].grants.is_fenced("crew")
    hosts[1].sync()
    assert hosts[1].grants.fence(["crew"]) is None
    assert hosts[1].grants.allowed("crew", SPEC) == 4
    # A controller that starts after the fence needs another one: its predecessor may have guarded that version.
    late = Controller("h2", state)
    late.sync()
    assert late.grants.allowed("crew", SPEC) == 0


def test_a_fence_counts_once_the_cluster_state_is_read_up_to_it() -> None:
    # A change of the shares by this controller is in its cluster state at once; what peers placed before it may still
    # be missing.
    state = State()
    host = Controller("h0", state)
    host.sync()
    host.send(host.grants.fence(["crew"]))
    host.grants.note_read(host.revision)
    assert not host.grants.is_fenced("crew")
    host.sync()
    assert host.grants.is_fenced("crew")


def test_a_rest_too_small_for_any_task_of_its_controller_is_taken_if_another_task_then_fits() -> None:
    # With shares of 4.9 and 5.1 CPUs for tasks of 2, 2 CPUs of the limit would never be used.
    state, hosts = settled()
    txn = Txn().guard(TEAM + "crew", hosts[0].cluster_state.version(TEAM + "crew"))
    txn.put(TEAM + "crew", {"h0": (14.0, 0.0), "h1": (4.9, 0.0), "h2": (5.1, 0.0)})
    for host in hosts:
        host.sync()
    assert hosts[0].send(txn)
    for host, count in zip(hosts, (7, 2, 2), strict=True):
        host.sync()
        assert host.send(host.placement(0, count))
    waiting = dict.fromkeys(HOSTS, Demand(50.0, smallest_task=(2.0, 0.0)))
    for _ in range(3):
        hosts[1].sync()
        hosts[1].send(hosts[1].grants.reshare("crew", SPEC, 1, waiting))
    assert hosts[1].grants.allowed("crew", SPEC) == 1
    # A gang needs what it collects, however little that is.
    collecting = {**waiting, "h1": Demand(50.0, first_gang=3)}
    hosts[2].sync()
    assert hosts[2].grants.reshare("crew", SPEC, 1, collecting) is None


def test_the_smallest_task_that_waits_is_known_by_controller_and_a_gang_needs_all() -> None:
    _, (host, *_) = settled()
    small = msgspec.structs.replace(SPEC, cpus=1.5)
    for n, (spec, owner) in enumerate([(SPEC, "h0"), (small, "h0"), (small, "h1"), (GANG, "h1"), (SPEC, "h1")]):
        host.cluster_state.put(f"{LIVE_JOB_PREFIX}job-{n}", msgspec.to_builtins(JobRecord(spec, owner, n)), n + 1)
    queue = [host.cluster_state.jobs[f"job-{n}"] for n in range(5)]
    wants = host.grants.demands("crew", queue, lambda job: job.record.owner, HOSTS)
    assert [wants[name].smallest_task for name in HOSTS] == [(1.5, 0.0), (0.0, 0.0), (0.0, 0.0)]
