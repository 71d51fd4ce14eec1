"""What users were told of jobs, and the check that no answer goes back."""

from __future__ import annotations

from dataclasses import dataclass, field

ACCEPTED, FINAL, UNKNOWN = ("pending", "running"), ("done", "cancelled"), "unknown"


class WentBack(AssertionError):
    """A controller answered something older than what a user had been told before."""


@dataclass(frozen=True)
class Heard:
    """What one request about a job was answered, and when: at moments of one clock, whichever that is."""

    job_id: str
    kind: str
    node: int
    asked: int
    answered: int
    told: str
    """A state of the protocol, or `UNKNOWN` for a 404."""


@dataclass
class AnswerHistory:
    """All answers so far; times of questions and answers say which user could know what."""

    heard: dict[str, list[Heard]] = field(default_factory=dict)

    def add(self, new: Heard) -> None:
        """Note an answer; raises `WentBack` if it is older than one that was given before its question was asked.

        `done` and `cancelled` exclude each other whatever the order of question and answer.
        """
        answers = self.heard.setdefault(new.job_id, [])
        for old in answers:
            before = old.answered < new.asked
            taken_back = old.told in FINAL and new.told != old.told and (before or new.told in FINAL)
            forgotten = before and old.told != UNKNOWN and new.told == UNKNOWN
            if taken_back or forgotten:
                raise WentBack(f"{old.told} and then {new.told}: {old}, {new}")
        answers.append(new)

    def told(self, job_id: str, *states: str) -> bool:
        """Whether a user was told one of these states of a job."""
        return any(heard.told in states for heard in self.heard.get(job_id, ()))
