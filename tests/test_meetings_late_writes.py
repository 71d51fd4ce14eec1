"""Transactions that are carried out seconds late, after newer ones of the same sender, or without an answer at all.

Covers what guards each kind of transaction when it arrives late, keys that are absent both times, and a fold that
frees a task which its sender has started again in the machine's next session.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

import msgspec
import pytest

from ashtray.config.operators import OperatorSettings
from ashtray.placement import compact_record
from ashtray.placement.records import MachineRecord
from ashtray.placement.state_keys import GROUP
from ashtray.runs import decode_runs
from tests.fakes.worker import Key
from tests.meeting_model import some
from tests.model import LEASE_S, SECOND, Model, RuleBroken, UserJob, submission
from tests.test_meetings_transactions import Fate, Kind, Transaction, Troubles

JOB = "job-0"
SOON_S = 0.01
"""How long after a fold's arrival its machine's lease ends."""


class Places:
    """Checks that each task that is on a machine has its place in the machine's record (safety point 1)."""

    def __init__(self, model: Model) -> None:
        self.model = model
        self.checked = 0
        self._started, self._handle = model._started, model.state.handle
        model._started = self._on_start  # type: ignore[method-assign]
        model.state.handle = self._on_request  # type: ignore[method-assign]

    def _on_start(self, machine: str, key: Key) -> None:
        self._started(machine, key)
        self._check(machine, key)

    def _on_request(self, now_us: int, method: str, path: str, body: Any) -> tuple[int, Any]:
        status, answer = self._handle(now_us, method, path, body)
        if path == "/txn" and status == 200:
            for machines in list(self.model.on.values()):
                for machine, key in machines.items():
                    self._check(machine, key)
        return status, answer

    def _check(self, machine: str, key: Key) -> None:
        self.checked += 1
        job, attempt, task = key
        if self.model.jobs[job].cancel_asked:
            return
        for hold in holds_of(self.model, machine):
            if (hold.job, hold.attempt) == (job, attempt) and task in decode_runs(hold.tasks):
                return
        raise RuleBroken(f"freed though it is there: {job}/{task}, attempt {attempt}, on {machine}")


def holds_of(model: Model, machine: str) -> list[Any]:
    """What a machine's record says is placed there."""
    for key, (value, _, _) in model.state.keys.items():
        if key.startswith(GROUP):
            record = compact_record.unpack(value)["machines"].get(machine)
            if record is not None:
                return list(msgspec.convert(record, MachineRecord).holds)
    return []


class Anew(Enum):
    """Why a machine begins anew without its tasks."""

    LEASE = "its lease ended"
    RESTART = "it was started anew"


class BegunAnew:
    """A task is stopped, the fold that frees it gets no answer, and the machine begins anew without its tasks."""

    def __init__(self, model: Model, fate: Fate) -> None:
        self.model = model
        self.held_when_heard = False
        """Whether the sender's picture still showed the place when it heard of the new beginning."""
        self.places = Places(model)
        self.troubles = Troubles(model, Kind("fold", also=self._frees), fate, armed=False, late_s=(5.0, 8.0))
        self.newer = submission("job-2", pieces=1, crew="free", hulls=["big"])
        model.jobs["job-2"] = UserJob(self.newer)
        model._run_us = lambda key: 600 * SECOND  # type: ignore[method-assign]
        model.checks()
        model.run(3)
        # Two machines; one is left with nothing, for the task to go to.
        for n in range(2):
            model.submit(submission(f"job-{n}", pieces=1, cpus=4.0, crew="free", hulls=["small"]))
        while len(model.on) < 2:
            model.run(0.2)
        model.run(4)
        model.cancel("job-1")
        model.run(2)
        ((self.machine, self.key),) = model.on[(JOB, 0)].items()
        self.troubles.armed = True

    def _frees(self, transaction: Transaction) -> bool:
        """Whether it frees the task's place on its machine."""
        for change in transaction.body["apply"]:
            if change.get("put", "").startswith(GROUP):
                machines = compact_record.unpack(change["value"])["machines"]
                if self.machine in machines and not machines[self.machine].get("holds"):
                    return True
        return False

    def play(self, anew: Anew) -> None:
        """Let the task end, and the machine begin anew as soon as the fold is on its way."""
        worker = self.model.workers[self.machine]
        # As by a kill that was held up on its way.
        worker._end(worker.tasks[self.key], "stopped")
        while not self.troubles.meetings:
            self.model.run(SOON_S / 10)
        self.model.run(SOON_S)
        if anew is Anew.LEASE:
            # The answers to its reports were lost for a lease, that to the last one too.
            worker.renewed_us = self.model.now - int(LEASE_S * SECOND) - 1
            worker.advance(self.model.now)
        else:
            # Its reports are as many by now as those before: other controllers did not answer them.
            worker.tasks.clear()
            worker.token = 0
        sender = self.model.hosts[int(self.troubles.meetings[0].transaction.source[1:])]
        holds = sender.core.picture.machines[self.machine].holds
        self.held_when_heard = any(hold.job == JOB for hold in holds)
        self.model.copy_arrives(self.machine, sender.number, worker.report())
        # A newer transaction of the same sender.
        self.model._ask("POST", "/submissions", self.newer, 5, lambda reply: None, sender.number)


@pytest.mark.parametrize("hosts", [3, 5, 7])
@pytest.mark.parametrize(("fate", "anew"), [(Fate.AT_ONCE, Anew.LEASE), *((Fate.LATE, anew) for anew in Anew)])
@pytest.mark.parametrize("seed", some([1], range(2, 8)))
def test_a_fold_without_an_answer_frees_no_task_that_its_sender_has_started_again(fate, anew, hosts, seed):
    # Found here: the same token and the same version of the record judged the order and the fold alike.
    model = Model(seed, hosts, OperatorSettings(group_size=1))
    meeting = BegunAnew(model, fate)
    meeting.play(anew)
    assert meeting.held_when_heard
    model.run(20)
    meeting.troubles.check()
    assert meeting.places.checked >= 5
    assert len(model.on[(JOB, 0)]) == 1
    if fate is Fate.AT_ONCE:
        assert meeting.troubles.meetings[0].status == 200
