"""Entry points for users' requests: answers them, or forwards them while this controller cannot read."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ashtray.base import Base
from ashtray.estimates.learned import Estimates
from ashtray.jobs.answers import AnswerSender, Explanation, JobState, Refused, RetryLater, UserAnswer
from ashtray.jobs.cancelling import CancellationHandler
from ashtray.jobs.forwarding import Forwarder, UserRequest
from ashtray.jobs.messages import Malformed, parse_submission
from ashtray.jobs.model import Job
from ashtray.jobs.states import JobStates
from ashtray.jobs.submitting import SubmissionHandler
from ashtray.kernel import Coroutine
from ashtray.peers.presence import Peers, Presence
from ashtray.placement.explain import explain
from ashtray.placement.plan import Planner
from ashtray.store.rate_limiter import Urgency

MAX_BACKLOG = 150
"""New submissions are answered 429 while so many submissions and requests to the state service are waiting."""
BUSY = RetryLater("too many requests are waiting", 429, 2)


class JobService:
    """Answers submissions, polls, cancellations and requests to explain why a job waits.

    A request that a peer has `forwarded` is answered here and not forwarded again.
    """

    def __init__(
        self,
        base: Base,
        presence: Presence,
        peers: Peers,
        planner: Planner,
        estimates: Estimates,
        on_placeable: Callable[[], None],
    ) -> None:
        """`on_placeable` is called when there may be something new to place."""
        self.base = base
        self.kernel = base.kernel
        self.presence = presence
        self.planner = planner
        self.estimates = estimates
        self.sender = AnswerSender(base.kernel)
        self.states = JobStates(base, on_placeable)
        self.forwarder = Forwarder(base, presence, peers, self.sender)
        self.submission_handler = SubmissionHandler(base, presence, self.states, self.sender, on_placeable)
        self.cancellation_handler = CancellationHandler(base, presence, peers, self.states, self.sender)

    def submit(self, request_id: int, body: Any, forwarded: bool = False) -> None:
        """Handle a submission; `body` is the decoded body, None if it could not be decoded."""
        try:
            job_id, spec = parse_submission(body)
        except Malformed as error:
            self.sender.send(request_id, Refused(400, str(error)))
            return
        if not self.forwarder.ready():
            self.forwarder.forward(request_id, UserRequest("POST", "/submissions", body), forwarded)
        elif self.base.store.backlog() + self.submission_handler.accepting.waiting() >= MAX_BACKLOG:
            self.sender.send(request_id, BUSY)
        else:
            self.kernel.spawn(self.submission_handler.submit(request_id, job_id, spec))

    def poll(self, request_id: int, job_id: str, forwarded: bool = False) -> None:
        """Answer a job's state."""
        final = self.states.final(job_id)
        if final is not None:
            self.sender.send(request_id, final)
        elif not self.forwarder.ready():
            self.forwarder.forward(request_id, UserRequest("GET", f"/submissions/{job_id}"), forwarded)
        else:
            self.kernel.spawn(self._poll(request_id, job_id))

    def _poll(self, request_id: int, job_id: str) -> Coroutine[None]:
        self.sender.send(request_id, (yield from self.states.look_up(job_id, Urgency.FOLD)))

    def abort(self, request_id: int, job_id: str, forwarded: bool = False) -> None:
        """Cancel a job."""
        if not self.forwarder.ready():
            self.forwarder.forward(request_id, UserRequest("POST", f"/submissions/{job_id}/abort"), forwarded)
        else:
            self.kernel.spawn(self.cancellation_handler.cancel(request_id, job_id))

    def explain(self, request_id: int, job_id: str, forwarded: bool = False) -> None:
        """Answer why a job's tasks wait or run where they do; for a job that is over, answer its state."""
        if not self.forwarder.ready():
            self.forwarder.forward(request_id, UserRequest("GET", f"/submissions/{job_id}/explain"), forwarded)
        else:
            self.kernel.spawn(self._explain(request_id, job_id))

    def _explain(self, request_id: int, job_id: str) -> Coroutine[None]:
        answer: UserAnswer = yield from self.states.look_up(job_id)
        job = self.base.cluster_state.jobs.get(job_id)
        if isinstance(answer, JobState) and job is not None:
            answer = Explanation(self._explanation(job))
        self.sender.send(request_id, answer)

    def _explanation(self, job: Job) -> Any:
        base = self.base
        plan = self.planner.plan()
        owner = self.presence.owner_of(job.id, job.record.owner)
        standing = self.planner.times.standing(job, base.cluster_state, self.kernel.wall_us)
        run_time = self.estimates.estimate(job)
        minimum_share = self.planner.minimum_share.shares.get((job.spec.team, job.spec.job_class))
        return explain(plan, job, self.kernel.wall_us, owner, standing, run_time, minimum_share)
