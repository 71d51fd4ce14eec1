"""The network repeats a command that was carried out, after its task was stopped, cleared and placed elsewhere."""

from __future__ import annotations

import asyncio
from pathlib import Path

from review.standins2.stage import CouldNotRun, Stage, play


def machine_of(stage: Stage, job: str) -> str | None:
    """Return the machine that a job's task is on."""
    found = stage.running(job)
    return found[0][0] if found else None


async def case(stage: Stage) -> str:
    """Return what broke, or nothing."""
    await stage.start()
    # Two machines, both full: one with an older job, one with a job that gives way to an urgent one.
    await stage.submit("job-000001", cpus=12.0, urgency="standard", run_s=300.0)
    await stage.until("job-000001 runs", lambda: machine_of(stage, "job-000001"), 40.0)
    await stage.submit("job-000002", cpus=12.0, urgency="idle", run_s=300.0)
    await stage.until("job-000002 runs", lambda: machine_of(stage, "job-000002"), 40.0)
    first, left = machine_of(stage, "job-000001"), machine_of(stage, "job-000002")
    assert first is not None and left is not None
    await stage.submit("job-000003", cpus=12.0, urgency="urgent", run_s=4.0)
    await stage.until("job-000003 runs", lambda: machine_of(stage, "job-000003"), 20.0)
    if machine_of(stage, "job-000003") != left:
        raise CouldNotRun("another job gave way")
    stage.note("job-000001 completes", machine=first)
    for task in stage.machines[first].on_machine():
        task.end_us = 0
    await stage.until("job-000002 runs again", lambda: machine_of(stage, "job-000002") == first, 30.0)
    await stage.until("the urgent job is done", lambda: not stage.running("job-000003"), 20.0)
    await stage.until("all is cleared there", lambda: not stage.machines[left].tasks, 20.0)
    if stage.cloud.machines[left].gone_us is not None:
        raise CouldNotRun("the machine was returned")
    if stage.trouble:
        copies = [
            body
            for name, body in stage.orders
            if name == left
            and any(o["verb"] == "launch" and o["piece"] == "job-000002/0" for o in body.get("orders", ()))
        ]
        if not copies:
            raise CouldNotRun("the start was not ordered by a direct command")
        await stage.send_copy(left, copies[0])
    until_s = stage.seconds() + 8.0
    while stage.seconds() < until_s:
        there = stage.running("job-000002")
        if len(there) > 1:
            stage.note("on two machines", tasks=there)
            await asyncio.sleep(2.0)
            return f"ran_twice: job-000002/0 started on {left} while it was on {first}"
        await asyncio.sleep(0.02)
    return ""


if __name__ == "__main__":
    play(lambda: Stage(Path(__file__).resolve().parent, capacity=2), case)
