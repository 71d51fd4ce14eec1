"""Machines that boot within two seconds, while writes are late, deletions fail and the fleet leader crashes.

A machine is adopted by a transaction that may be late, so it can report for longer than a lease before any record
contains it.  Such a machine must not be deleted as unknown by one controller while another uses it, nor be rented
twice, nor be forgotten.
"""

from __future__ import annotations

import random
from typing import Any

import pytest

from ashtray.config.operators import OperatorSettings
from tests.meeting_model import some
from tests.model import LEASE_S, SECOND, Model, submission
from tests.test_meetings_transactions import FREE, KINDS, Fate, Troubles, check_nothing_is_left, settle

LONG_RUN_US = 600 * SECOND
"""How long a task runs that outlasts its test."""
QUICK_BOOTS_S = 120.0
"""For how long newly rented machines boot within two seconds."""
LATE_BOOT_FACTOR = 15.0
"""The usual boot time is multiplied by this, so that a machine is given up before it has booted."""


class DeletionLog:
    """Records which machines the cloud deleted although they had tasks or reported; can refuse deletions."""

    def __init__(self, model: Model) -> None:
        self.model = model
        self.with_tasks: list[str] = []
        self.heard_unrecorded: list[str] = []
        """Deleted machines that a controller had heard within the last lease and that were in no group record."""
        self.refuse = False
        self.refused: set[str] = set()
        """Machines whose deletion was refused."""
        self._handle = model.cloud.handle
        model.cloud.handle = self._on_request  # type: ignore[method-assign]

    def _on_request(self, now_us: int, method: str, path: str, body: Any) -> tuple[int, Any]:
        if path == "/rentals/delete":
            if self.refuse:
                self.refused.update(body["berths"])
                return 503, {"error": "trouble"}
            for name in body["berths"]:
                self._note(name)
        return self._handle(now_us, method, path, body)

    def _note(self, name: str) -> None:
        if any(name in machines for machines in self.model.on.values()):
            self.with_tasks.append(name)
        cores = [host.core for host in self.model.hosts if host.core is not None]
        last_us = max((core.desk.heard_us().get(name, 0) for core in cores), default=0)
        recorded = any(name in core.cluster_state.machines for core in cores)
        if not recorded and self.model.now + SECOND - last_us < LEASE_S * SECOND:
            self.heard_unrecorded.append(name)


def longest_unrecorded_s(model: Model) -> float:
    """Return the longest time, in seconds, that a booted machine has been in no group record."""
    known = {name for host in model.hosts if host.core is not None for name in host.core.cluster_state.machines}
    machines = [model.cloud.machines[name] for name in model.workers if name not in known]
    return max((model.now - machine.since_us - machine.boot_us for machine in machines), default=0) / SECOND


@pytest.mark.parametrize("hosts", [3, 5, 7])
@pytest.mark.parametrize("seed", some([1], range(2, 6)))
def test_a_machine_that_reports_is_not_given_up_while_its_adoption_is_late(hosts: int, seed: int) -> None:
    # Otherwise machines are deleted one after the other while they report, and others are rented instead.
    model = Model(seed, hosts, OperatorSettings(group_size=2))
    model.checks()
    model._run_us = lambda key: LONG_RUN_US  # type: ignore[method-assign]
    model.boot_quickly(QUICK_BOOTS_S)
    deletions = DeletionLog(model)
    troubles = Troubles(model, KINDS["adopt"], Fate.LATE, count=200, late_s=(10.0, 12.0), rng=random.Random(seed))
    model.run(3)
    for n in range(4):
        job = submission(f"job-{n}", pieces=1, cpus=4.0, expect_s=600.0, **FREE)
        model.at(4 * n * SECOND, lambda job=job: model.submit(job))
    longest_s = 0.0
    while len(model.on) < 4 and model.now < 60 * SECOND:
        model.run(0.5)
        longest_s = max(longest_s, longest_unrecorded_s(model))
    # The case is reached: a machine reported for more than a lease before it was in a group record.
    assert troubles.meetings
    assert longest_s > LEASE_S
    assert deletions.heard_unrecorded == []
    assert len(model.on) == 4
    assert len(model.cloud.machines) == 4


@pytest.mark.parametrize("hosts", [3, 5, 7])
def test_a_machine_that_comes_up_after_it_was_given_up_is_not_deleted_with_its_tasks(hosts: int) -> None:
    # Otherwise the machine stays on the list of those to be deleted, although it was given tasks meanwhile.
    model = Model(4, hosts, OperatorSettings(group_size=2))
    model.checks()
    model._run_us = lambda key: LONG_RUN_US  # type: ignore[method-assign]
    deletions = DeletionLog(model)
    model.run(3)
    model.boot_factor = LATE_BOOT_FACTOR
    deletions.refuse = True
    model.submit(submission("job-0", pieces=3, cpus=4.0, expect_s=600.0, **FREE))
    working: set[str] = set()
    while not working and model.now < 120 * SECOND:
        model.run(0.5)
        working = {name for machines in model.on.values() for name in machines} & deletions.refused
    # The case is reached: a machine runs tasks after its deletion was requested and refused.
    assert working
    deletions.refuse = False
    model.run(20)
    assert working <= model.workers.keys()
    assert deletions.with_tasks == []


class LostRentalAnswers:
    """Drops the answers to the first requests for machines, which the cloud carries out."""

    def __init__(self, model: Model, count: int) -> None:
        self.model = model
        self.remaining = count
        self.senders: list[str] = []
        """The controllers that sent these requests."""
        self._arrive = model._arrive
        model._arrive = self._on_arrival  # type: ignore[method-assign]

    def _on_arrival(
        self, source: str, target: str, method: str, path: str, body: Any, answer: Any, finish: Any
    ) -> None:
        if target != "cloud" or (method, path) != ("POST", "/rentals") or not self.remaining:
            self._arrive(source, target, method, path, body, answer, finish)
            return
        self.remaining -= 1
        self.senders.append(source)
        self._arrive(source, target, method, path, body, lambda status, reply: None, lambda reply: None)


CRASH_MOMENTS_S = {"before the late write": 0.5, "during it": 4.0, "after it": 7.0}
"""When the fleet leader crashes, in seconds after the affected transaction was sent."""
LATE_S = 4.0
"""How long after it was sent a late transaction is carried out."""
AFFECTED_KINDS = ("intent", "adopt", "fold", "place", "term of the fleet")


@pytest.mark.parametrize("hosts", some([3], [5, 7]))
@pytest.mark.parametrize("moment", CRASH_MOMENTS_S)
@pytest.mark.parametrize("fate", Fate)
@pytest.mark.parametrize("kind", AFFECTED_KINDS)
def test_machines_up_at_once_are_rented_once_and_returned_though_a_write_lags_and_the_runner_ends(
    kind: str, fate: Fate, moment: str, hosts: int
) -> None:
    model = Model(5, hosts, OperatorSettings(group_size=2))
    model.checks()
    model.boot_quickly(QUICK_BOOTS_S)
    lost_answers = LostRentalAnswers(model, 2)
    deletions = DeletionLog(model)
    model._run_us = lambda key: 8 * SECOND  # type: ignore[method-assign]
    if kind != "term of the fleet":
        model.run(3)
    troubles = Troubles(model, KINDS[kind], fate, late_s=(LATE_S, LATE_S))
    model.at(max(3 * SECOND - model.now, 0), lambda: model.submit(submission("job-0", pieces=4, cpus=4.0, **FREE)))
    while not troubles.meetings or model.now < 4 * SECOND:
        model.run(0.1)
    model.run(max(CRASH_MOMENTS_S[moment] - (model.now - troubles.meetings[0].sent_us) / SECOND, 0))
    (leader,) = [host.number for host in model.hosts if host.core is not None and host.core.runner.running]
    model.crash(leader, 5.0)
    model.run(20)
    settle(model, 90)
    model.run(30)
    # The case is reached: answers of the cloud and of the state service were lost, and the leader had crashed.
    assert len(lost_answers.senders) == 2
    assert troubles.meetings[0].carried_out_us is not None
    assert model.jobs["job-0"].told == "done"
    assert deletions.heard_unrecorded == []
    assert deletions.with_tasks == []
    # A successor repeats the request of a recorded intent, even if its predecessor never sent it: one batch at most.
    extra = 4 if kind == "intent" else 0
    assert 4 <= len(model.cloud.machines) <= 4 + extra
    check_nothing_is_left(model)
