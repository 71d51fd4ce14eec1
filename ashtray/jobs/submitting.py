"""Submissions: what can never run is refused, everything else is written down before it is answered."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ashtray.base import Base
from ashtray.jobs.accepting import AcceptanceBatcher
from ashtray.jobs.answers import Accepted, AnswerSender, NeverAccepted, Refused, RetryLater, UserAnswer
from ashtray.jobs.model import LIVE, SHORT_RUNS_BYTES, SPARE_BYTES, JobRecord, JobSpec
from ashtray.jobs.states import JobStates
from ashtray.kernel import Fiber
from ashtray.peers.presence import Presence
from ashtray.store.client import VALUE_SHARE
from ashtray.teams.limits import can_ever_run

Objection = Refused | RetryLater
"""Why a job is not accepted: for good, or for now."""
NO_TYPE_FITS = "no allowed machine type fits a task"


class Submitting:
    """Accepts jobs."""

    def __init__(
        self,
        base: Base,
        presence: Presence,
        states: JobStates,
        sender: AnswerSender,
        job_accepted: Callable[[], None],
    ) -> None:
        """`job_accepted` is told of each job that is new."""
        self.base = base
        self.kernel = base.kernel
        self.presence = presence
        self.states = states
        self.sender = sender
        self.accepting = AcceptanceBatcher(base.kernel, base.store, base.limits, base.cluster_state.knows)
        self._job_accepted = job_accepted

    def submit(self, request_id: int, job_id: str, spec: JobSpec) -> Fiber[None]:
        """Accept a job, or say why not; one that is known already gets its state."""
        # What could be known when the question came decides: while the look-up waits, the types may come in,
        # and a job that could not be judged must not be refused then.
        record = JobRecord(spec, self.base.settings.host_name, self.kernel.wall_us)
        value = msgspec.to_builtins(record)
        objection = self._judge(spec, value) or (yield from self._judge_needs(spec))
        if objection is not None:
            answer = yield from self._known_or(job_id, objection)
            if answer is objection:
                self.kernel.log("info", f"{job_id} refused: {objection.reason}")
        else:
            answer = yield from self._accept(job_id, spec, value)
        self.sender.send(request_id, answer)
        if isinstance(answer, Accepted):
            self._job_accepted()

    def _known_or(self, job_id: str, otherwise: Objection) -> Fiber[UserAnswer]:
        """The state of a job that is known already, whatever would be said of it now (point 6)."""
        answer = yield from self.states.look_up(job_id)
        return otherwise if isinstance(answer, NeverAccepted) else answer

    def _accept(self, job_id: str, spec: JobSpec, value: Any) -> Fiber[UserAnswer]:
        base = self.base
        if base.cluster_state.knows(job_id):
            # Sent again: it would only conflict, and hold up what is written down with it.
            status, revision = 409, 0
        else:
            status, revision = yield from self.accepting.accept(job_id, value)
        if status == 200:
            base.follower.show({LIVE + job_id: value}, (), revision)
            what = f"{spec.kind} of {spec.tasks}, {spec.job_class}, {spec.team}"
            self.kernel.log("info", f"{job_id} accepted ({what})")
            return Accepted(job_id)
        if status == 409:
            return (yield from self._known_or(job_id, RetryLater("no such job")))
        # It may have been accepted all the same: the retry will find out.
        return RetryLater("not accepted yet", 429 if status == 429 else 503)

    def refusal(self, spec: JobSpec) -> str | None:
        """Why a job can never run, if so, as far as the machine types are known."""
        team = self.base.teams.get(spec.team)
        if team is None:
            return f"unknown team {spec.team}"
        if not can_ever_run(team, spec):
            return f"over the limit of team {spec.team}"
        return None if self._fits_a_type(spec) else NO_TYPE_FITS

    def _fits_a_type(self, spec: JobSpec) -> bool:
        """Whether a task fits an empty machine of some allowed type that is known, in an allowed zone."""
        zones = set(self.base.settings.cluster.zones)
        for kind in self.base.cluster_state.types.values():
            allowed = not spec.types or kind.name in spec.types
            there = spec.zone is None or spec.zone in kind.zones or (not kind.zones and spec.zone in zones)
            if allowed and there and kind.fits(spec.cpus, spec.gpus, spec.memory_gb):
                return True
        return False

    def _judge(self, spec: JobSpec, value: Any) -> Objection | None:
        """The objection that the job itself gives reason for."""
        room = int(self.base.limits.least_value_bytes * VALUE_SHARE) - SPARE_BYTES - SHORT_RUNS_BYTES
        size = len(msgspec.json.encode(value))
        if size > room:
            # It could be accepted, but never be written again.
            return Refused(400, f"the description takes {size} bytes of its record, which has room for {room}")
        if not self.base.cluster_state.types:
            return RetryLater("the machine types are not known yet")
        reason = self.refusal(spec)
        if reason == NO_TYPE_FITS and not self.base.cluster_state.types_complete:
            # It may fit a type that is not written down yet, and 422 is for good (safety point 6).
            return RetryLater("not all machine types are known yet")
        return None if reason is None else Refused(422, reason)

    def _judge_needs(self, spec: JobSpec) -> Fiber[Objection | None]:
        """The objection that the jobs give reason for on which it waits."""
        cluster_state = self.base.cluster_state
        older = self.presence.older() if spec.needs else []
        if older:
            # It would drop what it does not know when it writes the job's record anew.
            return RetryLater(f"{', '.join(older)} does not know of jobs that wait on others yet")
        for dependency in spec.needs:
            if dependency in cluster_state.jobs or dependency in cluster_state.over:
                continue
            state = yield from self.states.look_up(dependency)
            if isinstance(state, NeverAccepted):
                # Only what is surely not there is refused.
                return Refused(422, f"{dependency} was never accepted")
            if isinstance(state, RetryLater):
                return RetryLater(f"{dependency} cannot be looked up")
        return None
