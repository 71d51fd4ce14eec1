"""The one place through which all answers about jobs leave a controller.

Whatever a user asks, the answer is one of the types below, and `AnswerSender.send` alone turns it into a status and a
body.  When each of them may be given is safety point 6 of `docs/design.md`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, assert_never

from ashtray.jobs.messages import state_body
from ashtray.kernel import Kernel

FINAL = ("done", "cancelled")
"""The states that never change."""


@dataclass(frozen=True, slots=True)
class JobState:
    """A job's state: a final one, or one that was read after the question (`JobStates` makes no others)."""

    job_id: str
    status: str
    done: int = 0
    running: int = 0
    waits_on: tuple[str, ...] = ()

    @property
    def is_final(self) -> bool:
        """Whether the job is over."""
        return self.status in FINAL


@dataclass(frozen=True, slots=True)
class NeverAccepted:
    """Nobody had been told that there is such a job when the question came: that was read after it."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """This controller has committed the job's first record."""

    job_id: str


@dataclass(frozen=True, slots=True)
class Ended:
    """The answer to a cancellation: the job's final state."""

    job_id: str
    status: str


@dataclass(frozen=True, slots=True)
class Refused:
    """A submission that is malformed (400) or can never run (422), of a job that nobody has accepted."""

    status: int
    reason: str


@dataclass(frozen=True, slots=True)
class RetryLater:
    """Nothing can be said now; the same request may be sent again."""

    reason: str
    status: int = 503
    after_s: int = 1


@dataclass(frozen=True, slots=True)
class Explanation:
    """Why a live job's tasks wait or run where they do, for operators and users who ask."""

    body: Any


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """What a peer answered to a request that was forwarded to it; the same rules hold there."""

    status: int
    body: Any


UserAnswer = JobState | NeverAccepted | Accepted | Ended | Refused | RetryLater | Explanation | PeerAnswer

UNREADABLE = RetryLater("the state service does not answer")


class AnswerSender:
    """Turns answers into statuses and bodies."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    def send(self, request_id: int, answer: UserAnswer) -> None:
        """Answer a user's request."""
        retry_after_s = answer.after_s if isinstance(answer, RetryLater) else None
        self._kernel.answer(request_id, *_encode(answer), retry_after_s)


def _encode(answer: UserAnswer) -> tuple[int, Any]:
    """The status and the body of an answer."""
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
