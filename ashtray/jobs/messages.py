"""The users' wire: submissions in, states out."""

from __future__ import annotations

import math
from typing import Annotated, Any, Literal

import msgspec

from ashtray.jobs.model import JOB_ID, MAX_TASKS, PRIORITIES, JobSpec
from ashtray.kernel import SECOND_US

MAX_BODY = 64 * 1024
"""The largest body of a request, in bytes."""
_KINDS = {"batch": "array", "gang": "gang", "service": "service"}
_PRIORITIES = {"prod": "production", "urgent": "high", "standard": "normal", "idle": "low"}

Amount = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class Submission(msgspec.Struct):
    """The body of `POST /submissions`, with the names and units of the protocol."""

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
    """A body that is not what the protocol asks for; the text is a short reason."""


def seconds_us(value: float) -> int:
    """Convert seconds to whole microseconds."""
    return round(value * SECOND_US)


def parse_submission(body: Any) -> tuple[str, JobSpec]:
    """Check a decoded body and convert it to a job's id and its description.

    Raises `Malformed` if the body is no map, lacks a field, or has one of a wrong type or out of its range.
    """
    try:
        sub = msgspec.convert(body, Submission)
    except msgspec.ValidationError as error:
        raise Malformed(str(error)[:200]) from None
    for field in sub.__struct_fields__:
        value = getattr(sub, field)
        if isinstance(value, float) and not math.isfinite(value):
            raise Malformed(f"{field} is not a finite number")
    if not JOB_ID.fullmatch(sub.name_id):
        raise Malformed("name_id is not job- and digits")
    needs = list(dict.fromkeys(sub.waits_on or ()))
    if not all(JOB_ID.fullmatch(dependency) for dependency in needs):
        raise Malformed("waits_on holds what is not job- and digits")
    return sub.name_id, JobSpec(
        job_class=sub.lane,
        team=sub.crew,
        kind=_KINDS[sub.shape],
        priority=PRIORITIES.index(_PRIORITIES[sub.urgency]),
        tasks=sub.pieces,
        cpus=float(sub.cpus),
        gpus=float(sub.cards),
        memory_gb=float(sub.memory_gb),
        image=sub.bundle,
        image_gb=float(sub.image_gb),
        types=sub.hulls,
        zone=sub.yard,
        same_zone=sub.same_place,
        spread=sub.spread,
        spot=sub.loaners,
        estimate_us=seconds_us(sub.expect_s),
        checkpoint_us=seconds_us(sub.snapshot_every_s),
        save_us=seconds_us(sub.snapshot_cost_s),
        deadline_us=None if sub.due_s is None else seconds_us(sub.due_s),
        needs=needs,
    )


def state_body(
    job_id: str, status: str, done: int | None = None, running: int | None = None, waits_on: list[str] | None = None
) -> dict[str, Any]:
    """Return the body that tells a job's state; `running` is told only together with `done`."""
    body: dict[str, Any] = {"name_id": job_id, "status": status}
    if done is not None:
        body["done"] = done
        body["running"] = running or 0
    if waits_on:
        body["waits_on"] = waits_on
    return body
