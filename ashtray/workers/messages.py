"""The workers' wire: reports in, tokens and orders out."""

from __future__ import annotations

import re
from functools import lru_cache
from typing import Annotated, Any, Literal

import msgspec

from ashtray.kernel import SECOND_US

U64 = Annotated[int, msgspec.Meta(ge=0)]
_TASK = re.compile(r"(job-[0-9]{1,60})/([0-9]{1,6})")
KNOWN_TASKS = 16_384
"""Names of tasks that are not read anew: some hundred machines' worth."""


class PieceState(msgspec.Struct):
    piece: str
    attempt: U64 = msgspec.field(name="try")
    status: Literal["fetching", "waiting", "running", "saving", "ended"]
    cause: str | None = None
    stored: bool | None = None


class Hello(msgspec.Struct):
    berth: Annotated[str, msgspec.Meta(min_length=1, max_length=100, pattern="^[!-~]+$")]
    endpoint: Annotated[str, msgspec.Meta(max_length=100)]
    hull: Annotated[str, msgspec.Meta(min_length=1, max_length=80, pattern="^[!-~]+$")]
    yard: Annotated[str, msgspec.Meta(min_length=1, max_length=80, pattern="^[!-~]+$")]
    loaners: bool
    shift: U64
    tick: U64
    baton: U64
    pieces: list[PieceState]
    warning_s: Annotated[float, msgspec.Meta(ge=0)] | None = None


class TaskState(msgspec.Struct):
    """What a worker says of one task."""

    state: str
    cause: str | None


TaskKey = tuple[str, int, int]
"""Job, attempt and task number."""


class Report(msgspec.Struct):
    machine: str
    address: str
    type: str
    zone: str
    spot: bool
    session: int
    tick: int
    token: int
    notice_us: int | None
    tasks: dict[TaskKey, TaskState]


@lru_cache(KNOWN_TASKS)
def parse_task(name: str) -> tuple[str, int] | None:
    """The job and the number of a task by its name on the wire; None if it is no name of a task.

    A worker names its tasks in each report, again and again.
    """
    match = _TASK.fullmatch(name)
    return None if match is None else (match[1], int(match[2]))


def parse_report(body: Any) -> Report | None:
    """Check a decoded report; None when it is malformed."""
    try:
        hello = msgspec.convert(body, Hello)
    except msgspec.ValidationError:
        return None
    tasks: dict[TaskKey, TaskState] = {}
    for piece in hello.pieces:
        task = parse_task(piece.piece)
        if task is None:
            return None
        tasks[(task[0], piece.attempt, task[1])] = TaskState(piece.status, piece.cause)
    notice = hello.warning_s
    return Report(
        hello.berth,
        hello.endpoint,
        hello.hull,
        hello.yard,
        hello.loaners,
        hello.shift,
        hello.tick,
        hello.baton,
        None if notice is None else int(min(notice, 1e9) * SECOND_US),
        tasks,
    )


def launch(key: TaskKey) -> dict[str, Any]:
    return {"verb": "launch", "piece": f"{key[0]}/{key[2]}", "try": key[1]}


def kill(key: TaskKey, grace_us: int) -> dict[str, Any]:
    return {"verb": "kill", "piece": f"{key[0]}/{key[2]}", "try": key[1], "wind_down_s": grace_us / SECOND_US}


def clear(key: TaskKey) -> dict[str, Any]:
    return {"verb": "clear", "piece": f"{key[0]}/{key[2]}", "try": key[1]}


def orders_body(token: int, session: int, orders: list[dict[str, Any]]) -> dict[str, Any]:
    return {"baton": token, "shift": session, "orders": orders}


def report_answer(token: int, orders: list[dict[str, Any]]) -> dict[str, Any]:
    return {"baton": token, "orders": orders}


def task_of(order: dict[str, Any]) -> TaskKey | None:
    """The task that an order launches or kills; None for a `clear`."""
    task = parse_task(order["piece"])
    return None if task is None or order["verb"] == "clear" else (task[0], order["try"], task[1])
