"""Machines up within two seconds of their rental, while writes lag, deletions fail and the fleet's runner ends.

A machine may report before any record says that it exists, and for longer than a lease: its adoption is a transaction
like others.  It must be neither deleted as unknown by one controller while another uses it, nor rented twice, nor
forgotten.
"""

from __future__ import annotations

import random
from typing import Any

import pytest

from ashtray.config.operators import OperatorSettings
from tests.meeting_model import some
from tests.model import LEASE_S, SECOND, Model, submission
from tests.test_meetings_transactions import FREE, KINDS, Fate, Troubles, check_nothing_is_left, settle

LONG_US = 600 * SECOND
QUICK_S = 120.0
LATE_BOOTS = 15.0
"""How many times as long as usual a machine takes that is given up before it comes up."""


class Deletions:
    """What was known of each machine when the cloud deleted it."""

    def __init__(self, model: Model) -> None:
        self.model = model
        self.with_tasks: list[str] = []
        self.heard: list[str] = []
        """Machines that a controller had heard within the last lease, and that no record was of."""
        self.refuses = False
        self.refused: set[str] = set()
        """The machines whose deletion was refused."""
        self._handle = model.cloud.handle
        model.cloud.handle = self._on_request  # type: ignore[method-assign]

    def _on_request(self, now_us: int, method: str, path: str, body: Any) -> tuple[int, Any]:
        if path == "/rentals/delete":
            if self.refuses:
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
            self.heard.append(name)


def unrecorded_s(model: Model) -> float:
    """The longest time since a machine that is up has had no record."""
    known = {name for host in model.hosts if host.core is not None for name in host.core.cluster_state.machines}
    machines = [model.cloud.machines[name] for name in model.workers if name not in known]
    return max((model.now - machine.since_us - machine.boot_us for machine in machines), default=0) / SECOND


@pytest.mark.parametrize("hosts", [3, 5, 7])
@pytest.mark.parametrize("seed", some([1], range(2, 6)))
def test_a_machine_that_reports_is_not_given_up_while_its_adoption_is_late(hosts: int, seed: int) -> None:
    # Found here: machines were deleted one after the other while they reported, and others rented instead.
    model = Model(seed, hosts, OperatorSettings(group_size=2))
    model.checks()
    model._run_us = lambda key: LONG_US  # type: ignore[method-assign]
    model.boot_quickly(QUICK_S)
    deletions = Deletions(model)
    troubles = Troubles(model, KINDS["adopt"], Fate.LATE, count=200, late_s=(10.0, 12.0), rng=random.Random(seed))
    model.run(3)
    for n in range(4):
        job = submission(f"job-{n}", pieces=1, cpus=4.0, expect_s=600.0, **FREE)
        model.at(4 * n * SECOND, lambda job=job: model.submit(job))
    longest_s = 0.0
    while len(model.on) < 4 and model.now < 60 * SECOND:
        model.run(0.5)
        longest_s = max(longest_s, unrecorded_s(model))
    # The meeting: a machine reported for more than a lease before it had a record.
    assert troubles.meetings
    assert longest_s > LEASE_S
    assert deletions.heard == []
    assert len(model.on) == 4
    assert len(model.cloud.machines) == 4


@pytest.mark.parametrize("hosts", [3, 5, 7])
def test_a_machine_that_comes_up_after_it_was_given_up_is_not_deleted_with_its_tasks(hosts: int) -> None:
    # Found here: the name stayed on the list of what is to be deleted, whatever the machine got to do meanwhile.
    model = Model(4, hosts, OperatorSettings(group_size=2))
    model.checks()
    model._run_us = lambda key: LONG_US  # type: ignore[method-assign]
    deletions = Deletions(model)
    model.run(3)
    model.boot_factor = LATE_BOOTS
    deletions.refuses = True
    model.submit(submission("job-0", pieces=3, cpus=4.0, expect_s=600.0, **FREE))
    working: set[str] = set()
    while not working and model.now < 120 * SECOND:
        model.run(0.5)
        working = {name for machines in model.on.values() for name in machines} & deletions.refused
    # The meeting: it works, and its deletion was asked for and refused before.
    assert working
    deletions.refuses = False
    model.run(20)
    assert working <= model.workers.keys()
    assert deletions.with_tasks == []


class Rentals:
    """Loses the answers to requests for machines, which the cloud has carried out."""

    def __init__(self, model: Model, count: int) -> None:
        self.model = model
        self.left = count
        self.lost: list[str] = []
        """The controllers whose requests got no answer."""
        self._arrive = model._arrive
        model._arrive = self._on_arrival  # type: ignore[method-assign]

    def _on_arrival(
        self, source: str, target: str, method: str, path: str, body: Any, answer: Any, finish: Any
    ) -> None:
        if target != "cloud" or (method, path) != ("POST", "/rentals") or not self.left:
            self._arrive(source, target, method, path, body, answer, finish)
            return
        self.left -= 1
        self.lost.append(source)
        self._arrive(source, target, method, path, body, lambda status, reply: None, lambda reply: None)


MOMENTS = {"before the late write": 0.5, "during it": 4.0, "after it": 7.0}
"""When the runner ends, in seconds after the transaction that is carried out 4 s late."""
LATE_S = 4.0
STRUCK = ("intent", "adopt", "fold", "place", "term of the fleet")


@pytest.mark.parametrize("hosts", some([3], [5, 7]))
@pytest.mark.parametrize("moment", MOMENTS)
@pytest.mark.parametrize("fate", Fate)
@pytest.mark.parametrize("name", STRUCK)
def test_machines_up_at_once_are_rented_once_and_returned_though_a_write_lags_and_the_runner_ends(
    name: str, fate: Fate, moment: str, hosts: int
) -> None:
    model = Model(5, hosts, OperatorSettings(group_size=2))
    model.checks()
    model.boot_quickly(QUICK_S)
    rentals = Rentals(model, 2)
    deletions = Deletions(model)
    model._run_us = lambda key: 8 * SECOND  # type: ignore[method-assign]
    if name != "term of the fleet":
        model.run(3)
    troubles = Troubles(model, KINDS[name], fate, late_s=(LATE_S, LATE_S))
    model.at(max(3 * SECOND - model.now, 0), lambda: model.submit(submission("job-0", pieces=4, cpus=4.0, **FREE)))
    while not troubles.meetings or model.now < 4 * SECOND:
        model.run(0.1)
    model.run(max(MOMENTS[moment] - (model.now - troubles.meetings[0].sent_us) / SECOND, 0))
    (runner,) = [host.number for host in model.hosts if host.core is not None and host.core.runner.running]
    model.crash(runner, 5.0)
    model.run(20)
    settle(model, 90)
    model.run(30)
    # The meeting: answers of the cloud and of the state service were lost, and another one runs the fleet.
    assert len(rentals.lost) == 2
    assert troubles.meetings[0].carried_out_us is not None
    assert model.jobs["job-0"].told == "done"
    assert deletions.heard == []
    assert deletions.with_tasks == []
    # What an heir asks for again may be what nobody had asked for: one batch at most.
    spare = 4 if name == "intent" else 0
    assert 4 <= len(model.cloud.machines) <= 4 + spare
    check_nothing_is_left(model)
