"""Records what users were told of jobs, and checks that no answer contradicts an earlier one."""

from __future__ import annotations

from dataclasses import dataclass, field

ACCEPTED, FINAL, UNKNOWN = ("pending", "running"), ("done", "cancelled"), "unknown"


class WentBack(AssertionError):
    """An answer tells an older state of a job than an answer that was given before its request."""


@dataclass(frozen=True)
class Heard:
    """The answer to one request about a job.  `asked` and `answered` are times of any clock, the same for all."""

    job_id: str
    kind: str
    node: int
    asked: int
    answered: int
    told: str
    """The state told, as in the protocol, or `UNKNOWN` for a 404."""


@dataclass
class AnswerHistory:
    """All answers so far, by job id."""

    heard: dict[str, list[Heard]] = field(default_factory=dict)

    def add(self, latest: Heard) -> None:
        """Record an answer; raises `WentBack` if it tells an older state than an answer given before its request.

        `done` and `cancelled` exclude each other, whatever the order of requests and answers.
        """
        answers = self.heard.setdefault(latest.job_id, [])
        for earlier in answers:
            in_order = earlier.answered < latest.asked
            taken_back = earlier.told in FINAL and latest.told != earlier.told and (in_order or latest.told in FINAL)
            forgotten = in_order and earlier.told != UNKNOWN and latest.told == UNKNOWN
            if taken_back or forgotten:
                raise WentBack(f"{earlier.told} and then {latest.told}: {earlier}, {latest}")
        answers.append(latest)

    def told(self, job_id: str, *states: str) -> bool:
        """Return whether a user was told one of these states of a job."""
        return any(answer.told in states for answer in self.heard.get(job_id, ()))
