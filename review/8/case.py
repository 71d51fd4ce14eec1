"""A user sends a job that allows no machine type: its list of allowed types is empty."""

from __future__ import annotations

import asyncio
from pathlib import Path

from review.standins2.stage import CouldNotRun, Stage, play


async def case(stage: Stage) -> str:
    """Return what broke, or nothing."""
    await stage.start()
    hulls: list[str] | None = [] if stage.trouble else ["spinner"]
    status, _ = await stage.submit("job-000001", hulls=hulls, run_s=5.0)
    if status in (400, 422):
        return ""
    if status not in (200, 201):
        raise CouldNotRun("the job got no answer")
    until_s = stage.seconds() + 40.0
    while stage.seconds() < until_s:
        for name, _key in stage.running("job-000001"):
            hull = stage.machines[name].hull["name"]
            if hulls is not None and hull not in hulls:
                return f"wrong_place: a task started on a {hull}, its job allows the types {hulls}"
            return ""
        await asyncio.sleep(0.05)
    raise CouldNotRun("no task started")


if __name__ == "__main__":
    play(lambda: Stage(Path(__file__).resolve().parent), case)
