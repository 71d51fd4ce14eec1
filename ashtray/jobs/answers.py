"""The answers to users' requests about jobs, and their conversion to HTTP statuses and bodies.

Every answer is one of the types below, and only `AnswerSender.send` sends one.  Safety point 6 of `docs/design.md`
says when each of them may be given.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, assert_never

from ashtray.jobs.messages import state_body
from ashtray.kernel import Kernel

FINAL_STATES = ("done", "cancelled")
"""The states that a job never leaves."""


@dataclass(frozen=True, slots=True)
class JobState:
    """A job's state, which is final or was read after the request came in.

    Only `JobStates` creates instances, so both hold for each of them.
    """

    job_id: str
    status: str
    done: int = 0
    running: int = 0
    waits_on: tuple[str, ...] = ()

    @property
    def is_final(self) -> bool:
        """Return whether the job is done or cancelled."""
        return self.status in FINAL_STATES


@dataclass(frozen=True, slots=True)
class NeverAccepted:
    """No user had been told of such a job before the request came in, by a read that began after that."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The answer to a submission: this controller has committed the job's first record."""

    job_id: str


@dataclass(frozen=True, slots=True)
class Ended:
    """The answer to a cancellation: the job is over, with its final state."""

    job_id: str
    status: str


@dataclass(frozen=True, slots=True)
class Refused:
    """A submission that is malformed (400) or can never run (422), for a job that no controller has accepted."""

    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class RetryLater:
    """The request cannot be answered now; the user may send it again after `after_s` seconds."""

    reason: str
    status: int = 503
    after_s: int = 1


@dataclass(frozen=True, slots=True)
class Explanation:
    """Why a live job's tasks wait or run where they do."""

    body: Any


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """A peer's answer to a forwarded request; the peer gave it by the same rules."""

    status: int
    body: Any


UserAnswer = JobState | NeverAccepted | Accepted | Ended | Refused | RetryLater | Explanation | PeerAnswer

STATE_UNREADABLE = RetryLater("the state service does not answer")


class AnswerSender:
    """Sends answers to users as HTTP responses."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    def send(self, request_id: int, answer: UserAnswer) -> None:
        """Send an answer to a user's request."""
        retry_after_s = answer.after_s if isinstance(answer, RetryLater) else None
        self._kernel.answer(request_id, *_encode(answer), retry_after_s)


def _encode(answer: UserAnswer) -> tuple[int, Any]:
    """Return the HTTP status and the body of an answer."""
    match answer:
        case JobState(job_id, status, done, running, waits_on):
            return 200, state_body(job_id, status, done, running, list(waits_on))
        case NeverAccepted():
            return 404, {"error": "no such job"}
        case Accepted(job_id):
            return 201, state_body(job_id, "pending")
        case Ended(job_id, status):
            return 200, state_body(job_id, status)
        case Refused(status=code, reason=reason) | RetryLater(status=code, reason=reason):
            return code, {"error": reason}
        case Explanation(body):
            return 200, body
        case PeerAnswer(code, body):
            return code, body
    assert_never(answer)
