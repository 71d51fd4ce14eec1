"""The state service lowers its limits: a swarm of small jobs waits beside room that a record cannot name."""

from __future__ import annotations

import asyncio
from pathlib import Path

from review.standins2.stage import SPINNER, CouldNotRun, Stage, play

FOUNDRY = {
    **SPINNER,
    "name": "foundry",
    "cpus": 96.0,
    "cards": 8.0,
    "memory_gb": 384.0,
    "local_gb": 80.0,
    "pull_gb_per_s": 0.6,
    "rate": 27.16,
    "spot_price": 6.91,
    "ready_s": 25.0,
}
LOWER = {"write_rps": 18.0, "value_kb": 2.0, "txn_ops": 5}
"""The limits that the state service lowers to on the users' days."""
JOBS, CPUS, MEMORY_GB = 80, 0.25, 0.5
WAITED_S = 90.0
"""No job is left waiting for so long while a machine that fits has room and its team is under its limit."""


async def case(stage: Stage) -> str:
    """Return what broke, or nothing."""
    if stage.trouble:
        stage.next_limits = LOWER
    await stage.start()
    await asyncio.sleep(1.0)
    if stage.trouble:
        stage.note("the state service lowers its limits", **LOWER)
        stage.state.lower(**LOWER)
    names = [f"job-{n:06d}" for n in range(JOBS)]
    answers = await asyncio.gather(
        *(
            stage.submit(name, first=n % 3, cpus=CPUS, memory_gb=MEMORY_GB, run_s=300.0, lane="thumb-swarm")
            for n, name in enumerate(names)
        )
    )
    if any(status not in (200, 201) for status, _ in answers):
        raise CouldNotRun("a job was not accepted")
    await stage.until("the machine is up", lambda: stage.machines, 20.0)
    since_s = stage.seconds()
    (machine,) = stage.machines.values()
    while stage.seconds() < since_s + WAITED_S + 0.5:
        waiting = [name for name in names if not any(key[0] == name for key in machine.tasks)]
        free = FOUNDRY["cpus"] - CPUS * len(machine.tasks), FOUNDRY["memory_gb"] - MEMORY_GB * len(machine.tasks)
        if not waiting or free[0] < CPUS or free[1] < MEMORY_GB:
            return ""
        if stage.cloud.machines[machine.name].gone_us is not None:
            raise CouldNotRun("the machine was returned")
        await asyncio.sleep(0.5)
    stage.note("waiting", jobs=waiting, free_cpus=free[0], free_memory_gb=free[1], refused=stage.state.malformed)
    return (
        f"left_waiting: {len(waiting)} jobs wait for {WAITED_S:.0f} s beside {free[0]:g} free CPUs of their machine"
    )


if __name__ == "__main__":
    play(lambda: Stage(Path(__file__).resolve().parent, hull=FOUNDRY, capacity=1), case)
