"""Invalid requests, sent to every controller in every stage of a start, an outage and a reload: none is accepted.

The requests are: submissions that lack a field or have an invalid one, that can never run, or that wait on an unknown
job; repeated submissions of accepted jobs; questions about and cancellations of unknown and finished jobs.  Some
tests use so many machine types that these do not fit into one value of the state service.
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

INVALID_AMOUNTS = ("2", None, -1.0, float("nan"), float("inf"), 1e13, [1.0], {}, True)
INVALID_NAMES = (1, None, "", "x" * 201, ["x"], {}, b"x")
INVALID_FLAGS = (1, "yes", None, 0.0, [])
INVALID_VALUES: dict[str, tuple[Any, ...]] = {
    "name_id": (1, None, "", "task-1", "job-", "job-1a", "job-1\n", "JOB-1", ["job-1"], b"job-1"),
    "lane": INVALID_NAMES,
    "crew": INVALID_NAMES,
    "bundle": INVALID_NAMES,
    "shape": ("heap", "", 1, None, ["batch"]),
    "urgency": ("now", "", 1, None, ["idle"]),
    "pieces": (0, -1, 100_001, 1.5, "3", None, True, [3]),
    **dict.fromkeys(("cpus", "cards", "memory_gb", "image_gb", "expect_s"), INVALID_AMOUNTS),
    **dict.fromkeys(("snapshot_every_s", "snapshot_cost_s"), INVALID_AMOUNTS),
    **dict.fromkeys(("same_place", "spread", "loaners"), INVALID_FLAGS),
    "hulls": ("small", 1, [1], [None], [""], {"small": 1}),
    "yard": (1, "", ["a"], True),
    "due_s": ("soon", -1.0, float("nan"), [1.0]),
    "waits_on": ("job-1", 1, [1], ["task-1"], [None], {"job-1": 1}),
}
"""For each field of a submission, invalid values."""
OPTIONAL_FIELDS = ("hulls", "yard", "due_s", "waits_on")
INVALID_BODIES: tuple[Any, ...] = (None, 1, 0.5, "job-1", b"job-1", True, [], [submission("job-1")], {}, {1: 2})


@dataclass(frozen=True)
class InvalidSubmission:
    """A submission that no controller may accept."""

    name: str
    status: int
    """The status of the answer that refuses it for good."""
    body: Any


def malformed() -> list[InvalidSubmission]:
    """Return bodies that are no submissions: every controller answers 400 in every state."""
    cases = [InvalidSubmission(f"body {body!r:.20}", 400, body) for body in INVALID_BODIES]
    for field in submission("job-1"):
        if field not in OPTIONAL_FIELDS:
            lacking = submission(f"job-{700_000 + len(cases)}")
            del lacking[field]
            cases.append(InvalidSubmission(f"without {field}", 400, lacking))
    for field, values in INVALID_VALUES.items():
        for value in values:
            body = submission(f"job-{700_000 + len(cases)}")
            cases.append(InvalidSubmission(f"{field}: {value!r:.20}", 400, {**body, field: value}))
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


def impossible() -> list[InvalidSubmission]:
    """Return jobs that can never run: answered with 422, or with 503 by a controller that cannot decide yet."""
    cases = []
    for n, (name, over) in enumerate(IMPOSSIBLE.items()):
        job_id = f"job-{800_000 + n}"
        if "waits_on" in over:
            over = {"waits_on": [job_id if need == "job-ITSELF" else need for need in over["waits_on"]]}
        cases.append(InvalidSubmission(name, 422, submission(job_id, **over)))
    return cases


@pytest.mark.parametrize("case", malformed(), ids=lambda case: case.name)
def test_no_body_that_lacks_a_field_or_has_a_wrong_one_is_taken_for_a_submission(case):
    with pytest.raises(Malformed):
        parse_submission(case.body)


class UsersOfInvalidRequests:
    """Users who send all controllers invalid requests for a while, check the answers and count them."""

    def __init__(self, model: Looked, seed: int, accepted: list[str], final: dict[str, str]) -> None:
        """`accepted`: jobs to be submitted again; `final`: the final states of those that have ended."""
        self.model = model
        self.rng = random.Random(seed)
        self.accepted = accepted
        self.final = final
        self.cases = [*malformed(), *impossible()]
        self.statuses: dict[str, Counter[int]] = {}
        """By the name of the request, how often each status was answered."""
        self.answered_in: Counter[tuple[int, str]] = Counter()
        """How many invalid submissions were answered, by controller and its state when it received them."""

    def send(self, seconds: float, every_s: float = 0.01) -> None:
        """Send requests of all kinds to the controllers in turn, for some seconds from now on."""
        bodies, jobs = malformed(), impossible()
        for n in range(int(seconds / every_s)):
            controller = n % len(self.model.hosts)
            round_number = n // len(self.model.hosts) + controller
            self.model.at(
                int(n * every_s * SECOND),
                lambda controller=controller, round_number=round_number: self._send_round(
                    bodies, jobs, controller, round_number
                ),
            )

    def _send_round(
        self, bodies: list[InvalidSubmission], jobs: list[InvalidSubmission], controller: int, round_number: int
    ) -> None:
        for n in range(3 * round_number, 3 * round_number + 3):
            self._submit(bodies[n % len(bodies)], controller)
        self._submit(jobs[round_number % len(jobs)], controller)
        if round_number % 4 == 0:
            self._repeat(self.rng.choice(self.accepted), controller)
            self._ask_unknown(controller)
            self._cancel_again(self.rng.choice(sorted(self.final)), controller)

    def _submit(self, case: InvalidSubmission, controller: int) -> None:
        condition = self.model.condition(controller)

        def answered(reply: Any) -> None:
            self.statuses.setdefault(case.name, Counter())[reply.status] += 1
            allowed = (0, 400) if case.status == 400 else (0, 422, 429, 503)
            assert reply.status in allowed, (case, condition, reply)
            if reply.status:
                self.answered_in[controller, condition] += 1

        self.model._ask("POST", "/submissions", case.body, 5, answered, controller)

    def _repeat(self, job_id: str, controller: int) -> None:
        def answered(reply: Any) -> None:
            assert reply.status in (0, 200, 429, 503), (job_id, reply)
            self.statuses.setdefault("repeat", Counter())[reply.status] += 1
            if reply.status == 200 and job_id in self.final:
                assert reply.body["status"] == self.final[job_id]

        self.model._ask("POST", "/submissions", self.model.jobs[job_id].spec, 5, answered, controller)

    def _ask_unknown(self, controller: int) -> None:
        def answered(reply: Any) -> None:
            assert reply.status in (0, 404, 429, 503), reply
            self.statuses.setdefault("unknown", Counter())[reply.status] += 1

        job_id = f"job-{900_000 + self.rng.randrange(20)}"
        self.model._ask("GET", f"/submissions/{job_id}", None, 2, answered, controller)
        self.model._ask("POST", f"/submissions/{job_id}/abort", None, 5, answered, controller)

    def _cancel_again(self, job_id: str, controller: int) -> None:
        def answered(reply: Any) -> None:
            assert reply.status in (0, 200, 429, 503), (job_id, reply)
            if reply.status == 200:
                assert reply.body == {"name_id": job_id, "status": self.final[job_id]}
                self.statuses.setdefault("cancelled again", Counter())[200] += 1

        self.model._ask("POST", f"/submissions/{job_id}/abort", None, 5, answered, controller)


def users_with_jobs(seed: int, hosts: int, offered: list[dict[str, Any]] = OFFERED) -> UsersOfInvalidRequests:
    """Return users of a model with done, cancelled and running jobs; `offered` are the cloud's machine types."""
    model = Looked(seed, hosts, [])
    model.cloud.types = offered
    model.run(4)
    users = TroubledUsers(model, seed)
    users.at_end_share = 0.0
    for n in range(8):
        # Every other job is cancelled at once; the others run to their end.
        users.cancelled_share = float(n % 2)
        users.submit(f"job-{n}", pieces=1, cpus=1.0)
        model.run(0.5)
    users.cancelled_share = 0.0
    model.run(20)
    final = {job_id: job.told for job_id, job in model.jobs.items() if job.told}
    assert set(final.values()) == set(FINAL)
    users.submit("job-8", pieces=2, expect_s=600.0, shape="service")
    model.run(2)
    return UsersOfInvalidRequests(model, seed, sorted(model.jobs), final)


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


FAULTS: dict[str, tuple[Callable[[Looked], None], tuple[str, ...]]] = {
    "reload": (reload_all, ("reading anew",)),
    "start of all": (restart_all, ("down", "starting", "just started")),
    "start of one": (restart_one, ("starting", "just started")),
    "handover": (hand_over_one, ("handing over",)),
    "refused alone": (refuse_one, ("refused",)),
    "outage": (outage, ("refused",)),
}
"""Faults during invalid requests, and the states of controllers in which such requests are then answered."""


@pytest.mark.parametrize("hosts", some([3], [5, 7]))
@pytest.mark.parametrize("seed", some([1], [2, 3]))
@pytest.mark.parametrize("fault", list(FAULTS))
def test_what_must_be_refused_is_accepted_nowhere_while(fault, seed, hosts):
    users = users_with_jobs(seed, hosts)
    begin_fault, conditions = FAULTS[fault]
    users.send(6.0)
    users.model.at(SECOND, lambda: begin_fault(users.model))
    users.model.run(12)
    assert_answered_in(users, conditions, range(hosts) if fault in ("reload", "start of all", "outage") else (1,))
    assert_refused(users)


@pytest.mark.parametrize("hosts", [5, 7])
def test_what_must_be_refused_is_accepted_nowhere_in_one_trouble_after_the_other(hosts):
    users = users_with_jobs(3, hosts)
    users.send(14.0, every_s=0.015)
    for n, (begin_fault, _) in enumerate(FAULTS.values()):
        users.model.at((1 + 2 * n) * SECOND, lambda begin_fault=begin_fault: begin_fault(users.model))
    users.model.run(22)
    assert_answered_in(users, ("reading anew", "starting", "just started", "refused"), (1,))
    assert_refused(users)


def assert_answered_in(users: UsersOfInvalidRequests, conditions: tuple[str, ...], controllers: Any) -> None:
    """Check that each of these controllers answered invalid submissions in each of these states."""
    for condition in conditions:
        if condition != "down":
            assert all(users.answered_in[controller, condition] >= 3 for controller in controllers), (
                condition,
                users.answered_in,
            )


def assert_refused(users: UsersOfInvalidRequests) -> None:
    """Check that no invalid request was accepted, and that each one was refused for good at least once."""
    state = users.model.state
    assert not any(key.rpartition("/")[2].startswith(("job-7000", "job-7001", "job-8000")) for key in state.keys)
    for case in users.cases:
        assert users.statuses[case.name][case.status] >= 1, (case.name, users.statuses[case.name])
    assert users.statuses["repeat"][200] >= 20 and users.statuses["unknown"][404] >= 20
    assert users.statuses["cancelled again"][200] >= 20


# Machine types that do not fit into one value

MORE_TYPES = 80
"""How many more types there are: with their long names they take about 40 KB, and a value may have 32 KB."""
LAST_TYPE = f"kind-{MORE_TYPES - 1:03}-{'x' * 150}"
"""The type that is written last, as types are written by name; no other type has 16 CPUs."""


def many_types() -> list[dict[str, Any]]:
    """Return the usual types and many others; a job of 16 CPUs fits only the last one."""
    names = [f"kind-{n:03}-{'x' * 150}" for n in range(MORE_TYPES)]
    return [*OFFERED, *({**OFFERED[0], "name": name, "cpus": 16.0 if name == LAST_TYPE else 4.0} for name in names)]


class UsersOfManyTypes:
    """Users who submit jobs to all controllers that fit only the last type, only type `big`, or no type."""

    def __init__(self, hosts: int, offered: list[dict[str, Any]]) -> None:
        self.model = Looked(5, hosts, [])
        self.model.cloud.types = offered
        self.statuses: Counter[tuple[str, int, str, int]] = Counter()
        """Counts answers by which type the job fits, controller, how many types it knew, and status."""
        self._sent = 0

    def known(self, number: int) -> str:
        """Return how many of the types a controller knows: `all`, `some` or `none`."""
        core = self.model.hosts[number].core
        if core is None or not core.cluster_state.types:
            return "none"
        return "all" if TYPES in core.cluster_state._types else "some"

    def send(self, seconds: float, every_s: float = 0.01) -> None:
        """Submit jobs of the three kinds to all controllers, for some seconds from now on."""
        for n in range(int(seconds / every_s)):
            self.model.at(int(n * every_s * SECOND), self._send_round)

    def _send_round(self) -> None:
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
            allowed = (0, 422, 429, 503) if fits == "none" else (0, 201, 429, 503)
            assert reply.status in allowed, (fits, known, number, reply)

        self.model._ask("POST", "/submissions", body, 5, answered, number)

    def answered(self, fits: str, known: str, status: int) -> set[int]:
        """Return the controllers that have given such an answer."""
        return {n for (f, n, k, s), count in self.statuses.items() if (f, k, s) == (fits, known, status) and count}


def slow_writes(model: Looked, late_us: int = 100_000) -> None:
    """Delay each request to the state service, so that the records of the types appear one after the other."""
    for host in model.hosts:
        model.far[host.number] = (model.now + 30 * SECOND, late_us)


@pytest.mark.parametrize("hosts", [3, 5, 7])
def test_a_job_that_fits_a_type_not_yet_written_is_put_off_and_not_refused(hosts):
    users = UsersOfManyTypes(hosts, many_types())
    slow_writes(users.model)
    # Few jobs are submitted while the records are written, so that the request budget rejects few of them.
    users.send(6.0, every_s=0.15)
    users.model.run(20)
    users.send(1.0, every_s=0.25)
    users.model.run(5)
    all_controllers = set(range(hosts))
    # The case is reached: each controller received submissions while it knew only some types.
    assert users.answered("last", "some", 503) == all_controllers
    assert users.answered("none", "some", 503) == all_controllers
    assert users.answered("none", "some", 422) <= users.answered("none", "all", 422) == all_controllers
    # A job that fits a known type is accepted meanwhile.
    assert users.answered("first", "some", 201)
    assert users.answered("last", "all", 201) == all_controllers
    assert users.model.state.keys[TYPES][0] == {}
    assert not users.model.state.refused


@pytest.mark.parametrize("cloud_is_out", [False, True])
def test_types_of_which_some_are_written_when_all_controllers_end_are_completed(cloud_is_out):
    users = UsersOfManyTypes(3, many_types())
    model = users.model
    run_until_written(model, 20)
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


def run_until_written(model: Looked, number: int) -> None:
    """Run until `number` types have been written and others have not."""
    slow_writes(model)
    for _ in range(2_000):
        model.run(0.01)
        if sum(key.startswith(TYPES + "/") for key in model.state.keys) >= number:
            break
    written = [key for key in model.state.keys if key.startswith(TYPES)]
    assert number <= len(written) < MORE_TYPES and TYPES not in written


def test_types_of_which_some_could_not_be_written_are_completed_within_seconds():
    users = UsersOfManyTypes(3, many_types())
    model = users.model
    run_until_written(model, 20)
    model.lose_answers(1.0, 3.0)
    model.run(3)
    # The case is reached: an answer was lost, and the writing stopped before all types were written.
    assert model.happened["answer lost"] >= 1 and TYPES not in model.state.keys
    model.run(15)
    assert all(host.core.cluster_state.types_complete for host in model.hosts)
    users.send(1.0, every_s=0.25)
    model.run(5)
    assert users.answered("last", "all", 201) == users.answered("none", "all", 422) == {0, 1, 2}


def test_types_that_the_cloud_no_longer_has_are_forgotten_whatever_records_they_were_in():
    model = Looked(2, 3, [])
    model.run(5)
    catalogues = [OFFERED, many_types(), many_types()[:1] + many_types()[2:], OFFERED[:1]]
    for offered in catalogues:
        model.cloud.types = offered
        # The leader requests the types once a minute.
        model.run(75)
        names = {offer["name"] for offer in offered}
        for host in model.hosts:
            assert set(host.core.cluster_state.types) == names and host.core.cluster_state.types_complete
        records = [key for key in model.state.keys if key.startswith(TYPES)]
        assert len(records) == (1 if len(names) < 3 else len(names) + 1)
    assert not model.state.refused


@pytest.mark.parametrize("hosts", [3, 5, 7])
def test_an_accepted_job_is_known_everywhere_when_its_machine_type_is_no_longer_offered(hosts):
    users = UsersOfManyTypes(hosts, many_types())
    model = users.model
    model.run(15)
    large = {"cpus": 16.0, "pieces": 1}
    model.submit(submission("job-1", **large))
    model.run(1)
    assert model.jobs["job-1"].accepted_us is not None
    model.cloud.types = many_types()[:-1]
    model.run(75)
    answers: list[tuple[str, int, int]] = []

    def ask(job_id: str, controller: int) -> None:
        body = submission(job_id, **large)
        model.jobs.setdefault(job_id, UserJob(body))
        model._ask(
            "POST",
            "/submissions",
            body,
            5,
            lambda reply: answers.append((job_id, controller, reply.status)),
            controller,
        )

    for controller in range(hosts):
        assert LAST_TYPE not in model.hosts[controller].core.cluster_state.types
        ask("job-1", controller)
        ask("job-2", controller)
    model.run(5)
    assert sorted(answers) == sorted((j, n, s) for n in range(hosts) for j, s in (("job-1", 200), ("job-2", 422)))


@pytest.mark.parametrize("fault", ["reload", "start of all", *some([], ["outage", "handover"])])
def test_what_must_be_refused_is_accepted_nowhere_with_types_in_many_records(fault):
    users = users_with_jobs(1, 3, many_types())
    assert users.model.state.keys[TYPES][0] == {}
    begin_fault, conditions = FAULTS[fault]
    users.send(6.0)
    users.model.at(SECOND, lambda: begin_fault(users.model))
    users.model.run(14)
    assert_answered_in(users, conditions, range(3) if fault != "handover" else (1,))
    assert_refused(users)


# Requests that cannot be read, and ids that no job can have


@pytest.mark.parametrize("body", [None, [], 1])
def test_a_forwarded_request_that_cannot_be_read_is_not_answered_as_if_its_job_were_unknown(body):
    model = Looked(1, 3, [])
    model.run(4)
    host = model.hosts[1]
    outputs = host.core.peer_request(*model.clock(host), 10**9, "POST", "/peer/request", body, readable=False)
    (answer,) = [output for output in outputs if isinstance(output, Answer)]
    # The forwarding peer would pass 400, 404 and 422 on to the user (`RELAYED`).
    assert answer.status == 503 and answer.status not in RELAYED


@pytest.mark.parametrize("hosts", [3, 5, 7])
@pytest.mark.parametrize("job_id", ["job-", "job-1a", "task-1", "job-%31", "job-1%0A", "7", "job-" + "1" * 61])
def test_an_id_that_no_job_can_have_is_refused_in_every_stage_of_a_start(job_id, hosts):
    model = Looked(1, hosts, [])
    answers: list[tuple[str, int]] = []

    def ask(method: str, path: str, controller: int) -> None:
        model._ask(method, path, None, 2, lambda reply: answers.append((method, reply.status)), controller)

    for controller in range(hosts):
        # During the start, and after it.
        for moment_us in (1, 4 * SECOND):
            for method, path in (("GET", f"/submissions/{job_id}"), ("POST", f"/submissions/{job_id}/abort")):
                model.at(
                    moment_us, lambda method=method, path=path, controller=controller: ask(method, path, controller)
                )
    model.run(8)
    assert Counter(answers) == {("GET", 400): 2 * hosts, ("POST", 400): 2 * hosts}


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
