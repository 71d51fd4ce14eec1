"""Requests that must be refused, sent to every controller in every stage of a start, an outage and a reload.

Jobs that lack a field or have one of a wrong type, that can never run, or that wait on a job nobody accepted; repeats
of accepted jobs; questions and cancellations of unknown and of finished jobs.  In the last part there are so many
machine types that they do not fit into one value.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import pytest

from ashtray.jobs.forwarding import RELAYED
from ashtray.jobs.messages import Malformed, parse_submission
from ashtray.kernel import Answer
from ashtray.placement.state_keys import TYPES
from tests.answer_history import FINAL
from tests.meeting_model import some
from tests.model import SECOND, UserJob, submission
from tests.model import TYPES as OFFERED
from tests.model_troubles import Refusal
from tests.test_meetings_close_looks import Looked, TroubledUsers

NOT_AMOUNTS = ("2", None, -1.0, float("nan"), float("inf"), 1e13, [1.0], {}, True)
NOT_NAMES = (1, None, "", "x" * 201, ["x"], {}, b"x")
NOT_FLAGS = (1, "yes", None, 0.0, [])
WRONG: dict[str, tuple[Any, ...]] = {
    "name_id": (1, None, "", "task-1", "job-", "job-1a", "job-1\n", "JOB-1", ["job-1"], b"job-1"),
    "lane": NOT_NAMES,
    "crew": NOT_NAMES,
    "bundle": NOT_NAMES,
    "shape": ("heap", "", 1, None, ["batch"]),
    "urgency": ("now", "", 1, None, ["idle"]),
    "pieces": (0, -1, 100_001, 1.5, "3", None, True, [3]),
    **dict.fromkeys(("cpus", "cards", "memory_gb", "image_gb", "expect_s"), NOT_AMOUNTS),
    **dict.fromkeys(("snapshot_every_s", "snapshot_cost_s"), NOT_AMOUNTS),
    **dict.fromkeys(("same_place", "spread", "loaners"), NOT_FLAGS),
    "hulls": ("small", 1, [1], [None], [""], {"small": 1}),
    "yard": (1, "", ["a"], True),
    "due_s": ("soon", -1.0, float("nan"), [1.0]),
    "waits_on": ("job-1", 1, [1], ["task-1"], [None], {"job-1": 1}),
}
"""For each field of a submission, values that it may not have."""
NULLABLE = ("hulls", "yard", "due_s", "waits_on")
NOT_MAPS: tuple[Any, ...] = (None, 1, 0.5, "job-1", b"job-1", True, [], [submission("job-1")], {}, {1: 2})


@dataclass(frozen=True)
class Odd:
    """A submission that must never be accepted."""

    name: str
    status: int
    """What says so for good."""
    body: Any


def malformed() -> list[Odd]:
    """Bodies that are no submissions: 400 wherever and whenever they come."""
    cases = [Odd(f"body {body!r:.20}", 400, body) for body in NOT_MAPS]
    for field in submission("job-1"):
        if field not in NULLABLE:
            lacking = submission(f"job-{700_000 + len(cases)}")
            del lacking[field]
            cases.append(Odd(f"without {field}", 400, lacking))
    for field, values in WRONG.items():
        for value in values:
            body = submission(f"job-{700_000 + len(cases)}")
            cases.append(Odd(f"{field}: {value!r:.20}", 400, {**body, field: value}))
    return cases


IMPOSSIBLE: dict[str, dict[str, Any]] = {
    "unknown team": {"crew": "nobody"},
    "too many CPUs": {"cpus": 64.0},
    "too many GPUs": {"cards": 3.0},
    "too much memory": {"memory_gb": 33.0},
    "fits one type by its CPUs and another by its memory": {"hulls": ["small"], "memory_gb": 17.0},
    "type that is not there": {"hulls": ["huge"]},
    "zone that is not there": {"yard": "z"},
    "type that is not in that zone": {"hulls": ["big"], "yard": "b"},
    "gang over its team's limit": {"shape": "gang", "pieces": 13, "cpus": 2.0},
    "service over its team's limit": {"shape": "service", "pieces": 13, "cpus": 2.0},
    "array of which one task is over the limit": {"cpus": 25.0},
    "waits on a job that nobody accepted": {"waits_on": ["job-888888"]},
    "waits on itself": {"waits_on": ["job-ITSELF"]},
}


def impossible() -> list[Odd]:
    """Jobs that can never run: 422, or 503 from whoever cannot tell."""
    cases = []
    for n, (name, over) in enumerate(IMPOSSIBLE.items()):
        job_id = f"job-{800_000 + n}"
        if "waits_on" in over:
            over = {"waits_on": [job_id if need == "job-ITSELF" else need for need in over["waits_on"]]}
        cases.append(Odd(name, 422, submission(job_id, **over)))
    return cases


@pytest.mark.parametrize("odd", malformed(), ids=lambda odd: odd.name)
def test_no_body_that_lacks_a_field_or_has_a_wrong_one_is_taken_for_a_submission(odd):
    with pytest.raises(Malformed):
        parse_submission(odd.body)


class OddUsers:
    """Users who send every controller what must be refused, again and again, and note what they are answered."""

    def __init__(self, model: Looked, seed: int, accepted: list[str], over: dict[str, str]) -> None:
        """`accepted`: jobs to be submitted again; `over`: the final states of some."""
        self.model = model
        self.rng = random.Random(seed)
        self.accepted = accepted
        self.over = over
        self.cases = [*malformed(), *impossible()]
        self.statuses: dict[str, Counter[int]] = {}
        """By what was wrong, how often each status was answered."""
        self.met: Counter[tuple[int, str]] = Counter()
        """Odd submissions that were answered, by controller and the state in which it was asked."""

    def send(self, seconds: float, every_s: float = 0.01) -> None:
        """From now on a malformed body, an impossible job, a repeat and questions go to the controllers in turn."""
        bodies, jobs = malformed(), impossible()
        for n in range(int(seconds / every_s)):
            node = n % len(self.model.hosts)
            turn = n // len(self.model.hosts) + node
            self.model.at(
                int(n * every_s * SECOND), lambda node=node, turn=turn: self._turn(bodies, jobs, node, turn)
            )

    def _turn(self, bodies: list[Odd], jobs: list[Odd], node: int, turn: int) -> None:
        for n in range(3 * turn, 3 * turn + 3):
            self._submit(bodies[n % len(bodies)], node)
        self._submit(jobs[turn % len(jobs)], node)
        if turn % 4 == 0:
            self._repeat(self.rng.choice(self.accepted), node)
            self._ask_unknown(node)
            self._cancel_again(self.rng.choice(sorted(self.over)), node)

    def _submit(self, odd: Odd, node: int) -> None:
        condition = self.model.condition(node)

        def answered(reply: Any) -> None:
            self.statuses.setdefault(odd.name, Counter())[reply.status] += 1
            allowed = (0, 400) if odd.status == 400 else (0, 422, 429, 503)
            assert reply.status in allowed, (odd, condition, reply)
            if reply.status:
                self.met[node, condition] += 1

        self.model._ask("POST", "/submissions", odd.body, 5, answered, node)

    def _repeat(self, job_id: str, node: int) -> None:
        def answered(reply: Any) -> None:
            assert reply.status in (0, 200, 429, 503), (job_id, reply)
            self.statuses.setdefault("repeat", Counter())[reply.status] += 1
            if reply.status == 200 and job_id in self.over:
                assert reply.body["status"] == self.over[job_id]

        self.model._ask("POST", "/submissions", self.model.jobs[job_id].spec, 5, answered, node)

    def _ask_unknown(self, node: int) -> None:
        def answered(reply: Any) -> None:
            assert reply.status in (0, 404, 429, 503), reply
            self.statuses.setdefault("unknown", Counter())[reply.status] += 1

        job_id = f"job-{900_000 + self.rng.randrange(20)}"
        self.model._ask("GET", f"/submissions/{job_id}", None, 2, answered, node)
        self.model._ask("POST", f"/submissions/{job_id}/abort", None, 5, answered, node)

    def _cancel_again(self, job_id: str, node: int) -> None:
        def answered(reply: Any) -> None:
            assert reply.status in (0, 200, 429, 503), (job_id, reply)
            if reply.status == 200:
                assert reply.body == {"name_id": job_id, "status": self.over[job_id]}
                self.statuses.setdefault("cancelled again", Counter())[200] += 1

        self.model._ask("POST", f"/submissions/{job_id}/abort", None, 5, answered, node)


def begin(seed: int, hosts: int, offered: list[dict[str, Any]] = OFFERED) -> OddUsers:
    """A model with jobs that are done, cancelled, running and waiting; `offered` are the cloud's machine types."""
    model = Looked(seed, hosts, [])
    model.cloud.types = offered
    model.run(4)
    users = TroubledUsers(model, seed)
    users.at_end_share = 0.0
    for n in range(8):
        # Half of them are cancelled at once, the others are left to end.
        users.cancelled_share = float(n % 2)
        users.submit(f"job-{n}", pieces=1, cpus=1.0)
        model.run(0.5)
    users.cancelled_share = 0.0
    model.run(20)
    over = {job_id: job.told for job_id, job in model.jobs.items() if job.told}
    assert set(over.values()) == set(FINAL)
    users.submit("job-8", pieces=2, expect_s=600.0, shape="service")
    model.run(2)
    return OddUsers(model, seed, sorted(model.jobs), over)


def reload_all(model: Looked) -> None:
    model.lacks_changes |= set(range(len(model.hosts)))
    for host in model.hosts:
        model.far[host.number] = (model.now + SECOND, 15_000)


def restart_all(model: Looked) -> None:
    for host in model.hosts:
        model.far[host.number] = (model.now + 3 * SECOND, 60_000)
        model.crash(host.number, 0.1 + 0.05 * host.number)


def restart_one(model: Looked) -> None:
    model.far[1] = (model.now + 3 * SECOND, 60_000)
    model.crash(1, 0.3)


def hand_over_one(model: Looked) -> None:
    model.hand_over(1, 0.2)


def refuse_one(model: Looked) -> None:
    model.refuse(1, 2.5, Refusal.UNAVAILABLE)


def outage(model: Looked) -> None:
    model.state_outage(2.5)


TROUBLES: dict[str, tuple[Callable[[Looked], None], tuple[str, ...]]] = {
    "reload": (reload_all, ("reading anew",)),
    "start of all": (restart_all, ("down", "starting", "just started")),
    "start of one": (restart_one, ("starting", "just started")),
    "handover": (hand_over_one, ("handing over",)),
    "refused alone": (refuse_one, ("refused",)),
    "outage": (outage, ("refused",)),
}
"""What happens while odd requests come, and the states of controllers in which they are answered then."""


@pytest.mark.parametrize("hosts", some([3], [5, 7]))
@pytest.mark.parametrize("seed", some([1], [2, 3]))
@pytest.mark.parametrize("trouble", list(TROUBLES))
def test_what_must_be_refused_is_accepted_nowhere_while(trouble, seed, hosts):
    users = begin(seed, hosts)
    strike, conditions = TROUBLES[trouble]
    users.send(6.0)
    users.model.at(SECOND, lambda: strike(users.model))
    users.model.run(12)
    assert_met(users, conditions, range(hosts) if trouble in ("reload", "start of all", "outage") else (1,))
    assert_refused(users)


@pytest.mark.parametrize("hosts", [5, 7])
def test_what_must_be_refused_is_accepted_nowhere_in_one_trouble_after_the_other(hosts):
    users = begin(3, hosts)
    users.send(14.0, every_s=0.015)
    for n, (strike, _) in enumerate(TROUBLES.values()):
        users.model.at((1 + 2 * n) * SECOND, lambda strike=strike: strike(users.model))
    users.model.run(22)
    assert_met(users, ("reading anew", "starting", "just started", "refused"), (1,))
    assert_refused(users)


def assert_met(users: OddUsers, conditions: tuple[str, ...], nodes: Any) -> None:
    """Odd requests were answered by these controllers in these states."""
    for condition in conditions:
        if condition != "down":
            assert all(users.met[node, condition] >= 3 for node in nodes), (condition, users.met)


def assert_refused(users: OddUsers) -> None:
    """Nothing was accepted, and whatever could be decided was decided at some time."""
    state = users.model.state
    assert not any(key.rpartition("/")[2].startswith(("job-7000", "job-7001", "job-8000")) for key in state.keys)
    for odd in users.cases:
        assert users.statuses[odd.name][odd.status] >= 1, (odd.name, users.statuses[odd.name])
    assert users.statuses["repeat"][200] >= 20 and users.statuses["unknown"][404] >= 20
    assert users.statuses["cancelled again"][200] >= 20


# Machine types that do not fit into one value

NUMBER = 80
"""So many types have a record each: with their long names they take some 40 KB, and a value may have 32."""
LARGE = f"kind-{NUMBER - 1:03}-{'x' * 150}"
"""The one with the last name, and so the last to be written; the only one that has 16 CPUs."""


def many_types() -> list[dict[str, Any]]:
    """The usual types and many others, of which the last alone takes a job of 16 CPUs."""
    names = [f"kind-{n:03}-{'x' * 150}" for n in range(NUMBER)]
    return [*OFFERED, *({**OFFERED[0], "name": name, "cpus": 16.0 if name == LARGE else 4.0} for name in names)]


class Catalogue:
    """Users who submit jobs that fit only the last type, only the first one, or none, at all controllers."""

    def __init__(self, hosts: int, offered: list[dict[str, Any]]) -> None:
        self.model = Looked(5, hosts, [])
        self.model.cloud.types = offered
        self.statuses: Counter[tuple[str, int, str, int]] = Counter()
        """By what a job fits, controller, how much of the types that controller knew, and status."""
        self._sent = 0

    def known(self, number: int) -> str:
        """How much a controller knows of the types."""
        core = self.model.hosts[number].core
        if core is None or not core.cluster_state.types:
            return "none"
        return "all" if TYPES in core.cluster_state._types else "some"

    def send(self, seconds: float, every_s: float = 0.01) -> None:
        """Submit jobs of all three sorts to all controllers from now on."""
        for n in range(int(seconds / every_s)):
            self.model.at(int(n * every_s * SECOND), self._turn)

    def _turn(self) -> None:
        for number in range(len(self.model.hosts)):
            for fits, over in (("last", {"cpus": 16.0}), ("first", {"hulls": ["big"]}), ("none", {"cpus": 17.0})):
                self._submit(fits, number, over)

    def _submit(self, fits: str, number: int, over: dict[str, Any]) -> None:
        self._sent += 1
        known = self.known(number)
        body = submission(f"job-{100_000 + self._sent}", pieces=1, **over)
        self.model.jobs[body["name_id"]] = UserJob(body)

        def answered(reply: Any) -> None:
            self.statuses[fits, number, known, reply.status] += 1
            right = (0, 422, 429, 503) if fits == "none" else (0, 201, 429, 503)
            assert reply.status in right, (fits, known, number, reply)

        self.model._ask("POST", "/submissions", body, 5, answered, number)

    def answered(self, fits: str, known: str, status: int) -> set[int]:
        """The controllers that have answered so."""
        return {n for (f, n, k, s), count in self.statuses.items() if (f, k, s) == (fits, known, status) and count}


def slow_writes(model: Looked, late_us: int = 100_000) -> None:
    """Each request to the state service takes so much longer: the records come in one after the other."""
    for host in model.hosts:
        model.far[host.number] = (model.now + 30 * SECOND, late_us)


@pytest.mark.parametrize("hosts", [3, 5, 7])
def test_a_job_that_fits_a_type_not_yet_written_is_put_off_and_not_refused(hosts):
    users = Catalogue(hosts, many_types())
    slow_writes(users.model)
    # Little is asked for while the records come in, so that few submissions are turned away for want of budget.
    users.send(6.0, every_s=0.15)
    users.model.run(20)
    users.send(1.0, every_s=0.25)
    users.model.run(5)
    everybody = set(range(hosts))
    # Each controller was asked while it knew only some types.
    assert users.answered("last", "some", 503) == everybody
    assert users.answered("none", "some", 503) == everybody
    assert users.answered("none", "some", 422) <= users.answered("none", "all", 422) == everybody
    # What fits a type that is known is accepted meanwhile.
    assert users.answered("first", "some", 201)
    assert users.answered("last", "all", 201) == everybody
    assert users.model.state.keys[TYPES][0] == {}
    assert not users.model.state.refused


@pytest.mark.parametrize("cloud_is_out", [False, True])
def test_types_of_which_some_are_written_when_all_controllers_end_are_completed(cloud_is_out):
    users = Catalogue(3, many_types())
    model = users.model
    write_until(model, 20)
    model.cloud.down = cloud_is_out
    for number in range(3):
        model.crash(number, 0.2)
    users.send(12.0, every_s=0.25)
    model.run(12)
    assert bool(users.answered("last", "all", 201)) == (not cloud_is_out)
    assert users.answered("last", "some", 503) and users.answered("first", "some", 201)
    model.cloud.down = False
    model.run(20)
    users.send(1.0, every_s=0.25)
    model.run(3)
    assert users.answered("last", "all", 201) == users.answered("none", "all", 422) == {0, 1, 2}


def write_until(model: Looked, number: int) -> None:
    """Go on until so many types have records of their own, while others have not."""
    slow_writes(model)
    for _ in range(2_000):
        model.run(0.01)
        if sum(key.startswith(TYPES + "/") for key in model.state.keys) >= number:
            break
    written = [key for key in model.state.keys if key.startswith(TYPES)]
    assert number <= len(written) < NUMBER and TYPES not in written


def test_types_of_which_some_could_not_be_written_are_completed_within_seconds():
    users = Catalogue(3, many_types())
    model = users.model
    write_until(model, 20)
    model.lose_answers(1.0, 3.0)
    model.run(3)
    # The writing came to an end before its time.
    assert model.happened["answer lost"] >= 1 and TYPES not in model.state.keys
    model.run(15)
    assert all(host.core.cluster_state.types_complete for host in model.hosts)
    users.send(1.0, every_s=0.25)
    model.run(5)
    assert users.answered("last", "all", 201) == users.answered("none", "all", 422) == {0, 1, 2}


def test_types_that_the_cloud_no_longer_has_are_forgotten_whatever_records_they_were_in():
    model = Looked(2, 3, [])
    model.run(5)
    offered = [OFFERED, many_types(), many_types()[:1] + many_types()[2:], OFFERED[:1]]
    for following in offered:
        model.cloud.types = following
        # They are asked for once a minute.
        model.run(75)
        names = {kind["name"] for kind in following}
        for host in model.hosts:
            assert set(host.core.cluster_state.types) == names and host.core.cluster_state.types_complete
        records = [key for key in model.state.keys if key.startswith(TYPES)]
        assert len(records) == (1 if len(names) < 3 else len(names) + 1)
    assert not model.state.refused


@pytest.mark.parametrize("hosts", [3, 5, 7])
def test_an_accepted_job_is_known_everywhere_when_its_machine_type_is_no_longer_offered(hosts):
    users = Catalogue(hosts, many_types())
    model = users.model
    model.run(15)
    large = {"cpus": 16.0, "pieces": 1}
    model.submit(submission("job-1", **large))
    model.run(1)
    assert model.jobs["job-1"].accepted_us is not None
    model.cloud.types = many_types()[:-1]
    model.run(75)
    heard: list[tuple[str, int, int]] = []

    def ask(job_id: str, node: int) -> None:
        body = submission(job_id, **large)
        model.jobs.setdefault(job_id, UserJob(body))
        model._ask("POST", "/submissions", body, 5, lambda reply: heard.append((job_id, node, reply.status)), node)

    for node in range(hosts):
        assert LARGE not in model.hosts[node].core.cluster_state.types
        ask("job-1", node)
        ask("job-2", node)
    model.run(5)
    assert sorted(heard) == sorted((j, n, s) for n in range(hosts) for j, s in (("job-1", 200), ("job-2", 422)))


@pytest.mark.parametrize("trouble", ["reload", "start of all", *some([], ["outage", "handover"])])
def test_what_must_be_refused_is_accepted_nowhere_with_types_in_many_records(trouble):
    users = begin(1, 3, many_types())
    assert users.model.state.keys[TYPES][0] == {}
    strike, conditions = TROUBLES[trouble]
    users.send(6.0)
    users.model.at(SECOND, lambda: strike(users.model))
    users.model.run(14)
    assert_met(users, conditions, range(3) if trouble != "handover" else (1,))
    assert_refused(users)


# What the core is handed


@pytest.mark.parametrize("body", [None, [], 1])
def test_a_forwarded_request_that_cannot_be_read_is_not_answered_as_if_its_job_were_unknown(body):
    model = Looked(1, 3, [])
    model.run(4)
    host = model.hosts[1]
    outputs = host.core.peer_request(*model.clock(host), 10**9, "POST", "/peer/request", body, readable=False)
    (answer,) = [output for output in outputs if isinstance(output, Answer)]
    # 400, 404 and 422 would be passed on to its user (`RELAYED`).
    assert answer.status == 503 and answer.status not in RELAYED


@pytest.mark.parametrize("hosts", [3, 5, 7])
@pytest.mark.parametrize("job_id", ["job-", "job-1a", "task-1", "job-%31", "job-1%0A", "7", "job-" + "1" * 61])
def test_an_id_that_no_job_can_have_is_refused_in_every_stage_of_a_start(job_id, hosts):
    model = Looked(1, hosts, [])
    heard: list[tuple[str, int]] = []

    def ask(method: str, path: str, node: int) -> None:
        model._ask(method, path, None, 2, lambda reply: heard.append((method, reply.status)), node)

    for node in range(hosts):
        # In the first stage of the start, and later.
        for moment_us in (1, 4 * SECOND):
            for method, path in (("GET", f"/submissions/{job_id}"), ("POST", f"/submissions/{job_id}/abort")):
                model.at(moment_us, lambda method=method, path=path, node=node: ask(method, path, node))
    model.run(8)
    assert Counter(heard) == {("GET", 400): 2 * hosts, ("POST", 400): 2 * hosts}


@pytest.mark.parametrize("hosts", [3, 5, 7])
def test_a_body_that_is_not_messagepack_is_malformed_in_every_stage_of_a_start(hosts):
    model = Looked(1, hosts, [])
    stages: set[bool] = set()
    for n in range(40):
        for host in model.hosts:
            stages.add(host.core.follower.loaded)
            outputs = host.core.request(*model.clock(host), 10**9 + n, "POST", "/submissions", None, readable=False)
            assert [output.status for output in outputs if isinstance(output, Answer)] == [400]
            model.carry_out(host, outputs)
        model.run(0.002 if n < 30 else 0.3)
    assert stages == {False, True}
