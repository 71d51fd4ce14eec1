"""Handles submissions: refuses jobs that can never run, and writes any other job before it answers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from ashtray.base import Base
from ashtray.jobs.accepting import AcceptanceBatcher
from ashtray.jobs.answers import Accepted, AnswerSender, NeverAccepted, Refused, RetryLater, UserAnswer
from ashtray.jobs.model import LIVE_JOB_PREFIX, SHORT_RUNS_BYTES, SPARE_BYTES, JobRecord, JobSpec
from ashtray.jobs.states import JobStates
from ashtray.kernel import Coroutine
from ashtray.peers.presence import Presence
from ashtray.store.limits import VALUE_SHARE
from ashtray.store.transaction import size_of
from ashtray.teams.limits import can_ever_run

Objection = Refused | RetryLater
"""Why a job is not accepted: for good (`Refused`), or for now (`RetryLater`)."""
NO_TYPE_FITS = "no allowed machine type fits a task"


class SubmissionHandler:
    """Accepts or refuses submitted jobs."""

    def __init__(
        self,
        base: Base,
        presence: Presence,
        states: JobStates,
        sender: AnswerSender,
        on_accepted: Callable[[], None],
    ) -> None:
        """`on_accepted` is called after each acceptance of a new job."""
        self.base = base
        self.kernel = base.kernel
        self.presence = presence
        self.states = states
        self.sender = sender
        self.accepting = AcceptanceBatcher(
            base.kernel, base.store, lambda: base.limits_for("accept"), base.cluster_state.knows
        )
        self._on_accepted = on_accepted

    def submit(self, request_id: int, job_id: str, spec: JobSpec) -> Coroutine[None]:
        """Accept a job and answer, or answer why not; for a job that was accepted before, answer its state."""
        # The job is checked before the lookup, by what is known when the request comes in.  Otherwise the machine
        # types could come in during the lookup, and a job that could not be checked before it would be refused.
        record = JobRecord(spec, self.base.settings.host_name, self.kernel.wall_us)
        value = msgspec.to_builtins(record)
        objection = self._check_job(spec, value) or (yield from self._check_dependencies(spec))
        if objection is not None:
            answer = yield from self._state_or(job_id, objection)
            if answer is objection:
                self.kernel.log("info", f"{job_id} refused: {objection.reason}")
        else:
            answer = yield from self._accept(job_id, spec, value)
        self.sender.send(request_id, answer)
        if isinstance(answer, Accepted):
            self._on_accepted()

    def _state_or(self, job_id: str, otherwise: Objection) -> Coroutine[UserAnswer]:
        """Return the state of a job that was accepted before, whatever the objection to it is now (point 6)."""
        answer = yield from self.states.look_up(job_id)
        return otherwise if isinstance(answer, NeverAccepted) else answer

    def _accept(self, job_id: str, spec: JobSpec, value: Any) -> Coroutine[UserAnswer]:
        base = self.base
        if base.cluster_state.knows(job_id):
            # A repeated submission would conflict and delay the other jobs of its transaction.
            status, revision = 409, 0
        else:
            status, revision = yield from self.accepting.accept(job_id, value)
        if status == 200:
            base.follower.show({LIVE_JOB_PREFIX + job_id: value}, (), revision)
            summary = f"{spec.kind} of {spec.tasks}, {spec.job_class}, {spec.team}"
            self.kernel.log("info", f"{job_id} accepted ({summary})")
            return Accepted(job_id)
        if status == 409:
            return (yield from self._state_or(job_id, RetryLater("the job's state is not known yet")))
        # The job may have been accepted all the same; the user's retry will tell.
        return RetryLater("not accepted yet", 429 if status == 429 else 503)

    def refusal(self, spec: JobSpec) -> str | None:
        """Return why a job can never run, by the machine types that are known; None: it may run."""
        team = self.base.teams.get(spec.team)
        if team is None:
            return f"unknown team {spec.team}"
        if not can_ever_run(team, spec):
            return f"over the limit of team {spec.team}"
        return None if self._fits_a_type(spec) else NO_TYPE_FITS

    def _fits_a_type(self, spec: JobSpec) -> bool:
        """Return whether a task fits an empty machine of a known and allowed type, in an allowed zone."""
        zones = set(self.base.settings.cluster.zones)
        for offered in self.base.cluster_state.types.values():
            allowed = not spec.types or offered.name in spec.types
            in_zone = spec.zone is None or spec.zone in offered.zones or (not offered.zones and spec.zone in zones)
            if allowed and in_zone and offered.fits(spec.cpus, spec.gpus, spec.memory_gb):
                return True
        return False

    def _check_job(self, spec: JobSpec, value: Any) -> Objection | None:
        """Return the objection to a job that its own description gives rise to."""
        max_bytes = int(self.base.limits.final_value_bytes * VALUE_SHARE) - SPARE_BYTES - SHORT_RUNS_BYTES
        size = size_of(value)
        if size > max_bytes:
            # The first record could be written, but not the larger ones that follow.
            return Refused(400, f"the description takes {size} bytes of the job's record, which may hold {max_bytes}")
        if not self.base.cluster_state.types:
            return RetryLater("the machine types are not known yet")
        reason = self.refusal(spec)
        if reason == NO_TYPE_FITS and not self.base.cluster_state.types_complete:
            # The job may fit a type that is not in the state service yet, and 422 is for good (safety point 6).
            return RetryLater("not all machine types are known yet")
        return None if reason is None else Refused(422, reason)

    def _check_dependencies(self, spec: JobSpec) -> Coroutine[Objection | None]:
        """Return the objection to a job that its dependencies give rise to."""
        cluster_state = self.base.cluster_state
        old_peers = self.presence.outdated_peers() if spec.needs else []
        if old_peers:
            # A peer of an older version drops fields that it does not know when it rewrites the job's record.
            return RetryLater(f"not all controllers support jobs with dependencies yet: {', '.join(old_peers)}")
        for dependency in spec.needs:
            if dependency in cluster_state.jobs or dependency in cluster_state.final_states:
                continue
            state = yield from self.states.look_up(dependency)
            if isinstance(state, NeverAccepted):
                # This is certain: a lookup that fails returns `RetryLater`.
                return Refused(422, f"{dependency} was never accepted")
            if isinstance(state, RetryLater):
                return RetryLater(f"the state of {dependency} cannot be read")
        return None
