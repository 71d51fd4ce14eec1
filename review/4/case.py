"""A user submits a pipeline of two jobs a stage, whose last job has a deadline."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from review.standins2.stage import CouldNotRun, Stage, play

STAGES = 28
SHORT_S, STEP_S = 60.0, 0.00002
"""The estimates of a stage's two jobs: `SHORT_S`, and that plus `STEP_S` doubled from stage to stage."""
UNANSWERED_S = 75.0
"""A job about which no question is answered for so long counts as forgotten."""


async def case(stage: Stage) -> str:
    """Return what broke, or nothing."""
    await stage.start()
    needs: list[str] = []
    for n in range(STAGES):
        jobs = [f"job-{2 * n:06d}", f"job-{2 * n + 1:06d}"]
        answers = await asyncio.gather(
            *(
                stage.submit(name, run_s=600.0, expect_s=expect_s, waits_on=needs or None)
                for name, expect_s in zip(jobs, (SHORT_S + STEP_S * 2**n, SHORT_S), strict=True)
            )
        )
        if any(status not in (200, 201) for status, _ in answers):
            raise CouldNotRun("a job was not accepted")
        needs = jobs
    await stage.until("the first stage runs", lambda: len(stage.running()) == 2, 30.0)
    for n in range(3):
        if (await stage.poll("job-000000", n))[0] != 200:
            raise CouldNotRun("a question was not answered before the last job")
    last = {"due_s": 7200.0, "urgency": "urgent"} if stage.trouble else {}
    stage.spawn(stage.submit("job-000099", run_s=5.0, waits_on=needs, **last))
    await asyncio.sleep(2.0)
    answered_s = stage.seconds()
    n = 0
    while stage.seconds() < answered_s + UNANSWERED_S + 1.0:
        if stage.seconds() > 105.0:
            break
        status, _ = await stage.poll("job-000000", n % 3)
        if status in (200, 404):
            answered_s = stage.seconds()
            if not stage.trouble and n > 20:
                return ""
        n += 1
        await asyncio.sleep(1.5)
    silent_s = stage.seconds() - answered_s
    stage.note("unanswered", seconds=round(silent_s, 1), running=len(stage.running()))
    if silent_s > UNANSWERED_S:
        if stage.seconds() < 98.0:
            # No part of the verdict: what a controller does that is started again.
            stage.signal_controller(0, signal.SIGKILL)
            stage.start_controller(0)
            await asyncio.sleep(10.0)
            status, _ = await stage.call(0, "GET", "/up", limit_s=1.0)
            stage.note("no part of the verdict: 10 s after a restart", up=status)
        return f"forgotten: no question about job-000000 was answered for {silent_s:.0f} s, by any controller"
    if silent_s > UNANSWERED_S / 3:
        raise CouldNotRun("the submissions took so long that too little time was left")
    return ""


if __name__ == "__main__":
    play(lambda: Stage(Path(__file__).resolve().parent), case)
