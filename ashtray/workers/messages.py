"""Messages between controllers and workers: reports come in, tokens and orders go out.

The fields of `WireReport` and `WireTaskState` and the keys of orders have the names that the protocol defines.
"""

from __future__ import annotations

import re
from functools import lru_cache
from typing import Annotated, Any, Literal

import msgspec

from ashtray.kernel import SECOND_US

U64 = Annotated[int, msgspec.Meta(ge=0)]
_TASK = re.compile(r"(job-[0-9]{1,60})/([0-9]{1,6})")
TASK_NAME_CACHE_SIZE = 16_384
"""How many parsed task names are cached: those of some hundred machines."""


class WireTaskState(msgspec.Struct):
    """The state of one task as it stands in a report, with the field names of the protocol."""

    piece: str
    attempt: U64 = msgspec.field(name="try")
    status: Literal["fetching", "waiting", "running", "saving", "ended"]
    cause: str | None = None
    stored: bool | None = None


class WireReport(msgspec.Struct):
    """A worker's report as it is received, with the field names of the protocol."""

    berth: Annotated[str, msgspec.Meta(min_length=1, max_length=100, pattern="^[!-~]+$")]
    endpoint: Annotated[str, msgspec.Meta(max_length=100)]
    hull: Annotated[str, msgspec.Meta(min_length=1, max_length=80, pattern="^[!-~]+$")]
    yard: Annotated[str, msgspec.Meta(min_length=1, max_length=80, pattern="^[!-~]+$")]
    loaners: bool
    shift: U64
    tick: U64
    baton: U64
    pieces: list[WireTaskState]
    warning_s: Annotated[float, msgspec.Meta(ge=0)] | None = None


class TaskState(msgspec.Struct):
    """The state of one task as its worker reports it."""

    state: str
    cause: str | None


TaskKey = tuple[str, int, int]
"""Job, attempt and task number."""


class Report(msgspec.Struct):
    """A validated report of the worker on one machine."""

    machine: str
    address: str
    type: str
    zone: str
    spot: bool
    session: int
    """Starts at 1 and is increased each time the worker's lease expires."""
    tick: int
    """Increases with each report and each answer to a controller's request: within a session the larger is newer."""
    token: int
    """The highest ownership token that the worker has seen."""
    notice_us: int | None
    """Microseconds until the cloud takes the machine away; None if it has given no notice."""
    tasks: dict[TaskKey, TaskState]


@lru_cache(TASK_NAME_CACHE_SIZE)
def parse_task(name: str) -> tuple[str, int] | None:
    """Return the job and the task number that a task name on the wire stands for; None if it is not a task name.

    Results are cached, because a worker names the same tasks in each report.
    """
    match = _TASK.fullmatch(name)
    return None if match is None else (match[1], int(match[2]))


def parse_report(body: Any) -> Report | None:
    """Validate a decoded report; returns None if it is malformed."""
    try:
        wire_report = msgspec.convert(body, WireReport)
    except msgspec.ValidationError:
        return None
    tasks: dict[TaskKey, TaskState] = {}
    for piece in wire_report.pieces:
        task = parse_task(piece.piece)
        if task is None:
            return None
        tasks[(task[0], piece.attempt, task[1])] = TaskState(piece.status, piece.cause)
    notice_s = wire_report.warning_s
    return Report(
        wire_report.berth,
        wire_report.endpoint,
        wire_report.hull,
        wire_report.yard,
        wire_report.loaners,
        wire_report.shift,
        wire_report.tick,
        wire_report.baton,
        None if notice_s is None else int(min(notice_s, 1e9) * SECOND_US),
        tasks,
    )


def launch(key: TaskKey) -> dict[str, Any]:
    """Return the order to start a task."""
    return {"verb": "launch", "piece": f"{key[0]}/{key[2]}", "try": key[1]}


def kill(key: TaskKey, grace_us: int) -> dict[str, Any]:
    """Return the order to stop a task, which gets `grace_us` microseconds to save a checkpoint."""
    return {"verb": "kill", "piece": f"{key[0]}/{key[2]}", "try": key[1], "wind_down_s": grace_us / SECOND_US}


def clear(key: TaskKey) -> dict[str, Any]:
    """Return the order to leave an ended task out of future reports."""
    return {"verb": "clear", "piece": f"{key[0]}/{key[2]}", "try": key[1]}


def orders_body(token: int, session: int, orders: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a direct message with orders.

    The worker executes it only in this session, and only if it has seen no higher token.
    """
    return {"baton": token, "shift": session, "orders": orders}


def report_answer(token: int, orders: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the answer to a report, with the orders for its worker."""
    return {"baton": token, "orders": orders}


def launched_tasks(orders: list[dict[str, Any]]) -> list[TaskKey]:
    """Return the tasks that orders launch."""
    return [key for order in orders if order["verb"] == "launch" and (key := task_of(order)) is not None]


def task_of(order: dict[str, Any]) -> TaskKey | None:
    """Return the task that an order launches or kills; None for a `clear`."""
    task = parse_task(order["piece"])
    return None if task is None or order["verb"] == "clear" else (task[0], order["try"], task[1])
