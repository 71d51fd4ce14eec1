"""The users' protocol: parses submissions and builds bodies that tell states."""

from __future__ import annotations

import math
from typing import Annotated, Any, Literal

import msgspec

from ashtray.jobs.model import JOB_ID, MAX_TASKS, PRIORITIES, JobSpec
from ashtray.kernel import SECOND_US

MAX_BODY = 64 * 1024
"""Largest size of a request's body, in bytes."""
_KINDS = {"batch": "array", "gang": "gang", "service": "service"}
_PRIORITIES = {"prod": "production", "urgent": "high", "standard": "normal", "idle": "low"}

Amount = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class Submission(msgspec.Struct):
    """The body of `POST /submissions`, with the protocol's names and units (seconds, GB)."""

    name_id: str
    lane: Name
    crew: Name
    shape: Literal["batch", "gang", "service"]
    urgency: Literal["prod", "urgent", "standard", "idle"]
    pieces: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS)]
    cpus: Amount
    cards: Amount
    memory_gb: Amount
    bundle: Name
    image_gb: Amount
    same_place: bool
    spread: bool
    loaners: bool
    expect_s: Amount
    snapshot_every_s: Amount
    snapshot_cost_s: Amount
    hulls: list[Name] | None = None
    yard: Name | None = None
    due_s: Amount | None = None
    waits_on: list[str] | None = None


class Malformed(Exception):
    """Raised for a body that violates the protocol; the text is a short reason."""


def seconds_us(value: float) -> int:
    """Convert seconds to whole microseconds."""
    return round(value * SECOND_US)


def parse_submission(body: Any) -> tuple[str, JobSpec]:
    """Validate a decoded body and convert it to a job's id and its description.

    Raises `Malformed` if the body is not a map, lacks a field, or has a field of a wrong type or out of its range.
    """
    try:
        submission = msgspec.convert(body, Submission)
    except msgspec.ValidationError as error:
        raise Malformed(str(error)[:200]) from None
    for field in submission.__struct_fields__:
        value = getattr(submission, field)
        if isinstance(value, float) and not math.isfinite(value):
            raise Malformed(f"{field} is not a finite number")
    if not JOB_ID.fullmatch(submission.name_id):
        raise Malformed("name_id is not `job-` followed by 1 to 60 digits")
    needs = list(dict.fromkeys(submission.waits_on or ()))
    if not all(JOB_ID.fullmatch(dependency) for dependency in needs):
        raise Malformed("waits_on holds an id that is not `job-` followed by 1 to 60 digits")
    return submission.name_id, JobSpec(
        job_class=submission.lane,
        team=submission.crew,
        kind=_KINDS[submission.shape],
        priority=PRIORITIES.index(_PRIORITIES[submission.urgency]),
        tasks=submission.pieces,
        cpus=float(submission.cpus),
        gpus=float(submission.cards),
        memory_gb=float(submission.memory_gb),
        image=submission.bundle,
        image_gb=float(submission.image_gb),
        types=submission.hulls,
        zone=submission.yard,
        same_zone=submission.same_place,
        spread=submission.spread,
        spot=submission.loaners,
        estimate_us=seconds_us(submission.expect_s),
        checkpoint_us=seconds_us(submission.snapshot_every_s),
        save_us=seconds_us(submission.snapshot_cost_s),
        deadline_us=None if submission.due_s is None else seconds_us(submission.due_s),
        needs=needs,
    )


def state_body(
    job_id: str, status: str, done: int | None = None, running: int | None = None, waits_on: list[str] | None = None
) -> dict[str, Any]:
    """Return the body that tells a job's state; without `done`, `running` is left out as well."""
    body: dict[str, Any] = {"name_id": job_id, "status": status}
    if done is not None:
        body["done"] = done
        body["running"] = running or 0
    if waits_on:
        body["waits_on"] = waits_on
    return body
