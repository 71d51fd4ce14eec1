"""Case 1: placements that are too large for one transaction are sent again without end.  See claim.txt."""

from __future__ import annotations

import asyncio
from pathlib import Path

from review.standins.stage import SPINNER, Stage, job, play

JOBS = 6
"""How many jobs of the class come at once."""
BURST = 4
"""How many times as many come in a burst (the page's days have 2 to 4)."""
TYPES = [
    {**SPINNER, "name": f"standard-16cpu-64gb-trent-rack-gen-{n:03d}", "rate": 0.86 + 0.01 * n} for n in range(1, 121)
]
"""The machine types of the cloud.  The jobs allow all but four of them: 5 KB of a submission's 64 KiB."""
RUN_S = 5.0
LIMIT_S = 90.0
"""The page's time for which no job may be left waiting while a machine that fits has room."""


async def case(folder: Path, trouble: bool) -> int:
    """Play the case and return the exit code."""
    stage = Stage(
        folder,
        types=TYPES,
        teams=[
            {"name": "reader-app", "cpus": 520.0, "cpus_max": 1744.0},
            {"name": "studio-tools", "cpus": 584.0, "cpus_max": 1456.0},
        ],
        boot_s=lambda machine: 3.0,
        run_s=lambda key: RUN_S,
    )
    try:
        await stage.start()
        for n in range(stage.controllers):
            await stage.run_controller(n)
        if not await stage.wait_up():
            return 2
        await asyncio.sleep(1.0)
        names = [f"job-{n:06d}" for n in range(1, JOBS * (BURST if trouble else 1) + 1)]
        hulls = [kind["name"] for kind in TYPES[:-4]]
        fields = {"lane": "thumb-swarm", "cpus": 0.5, "memory_gb": 1.0, "expect_s": RUN_S, "hulls": hulls}
        accepted = await asyncio.gather(*(stage.submit(job(name, **fields)) for name in names))
        other = "job-000900"
        await asyncio.sleep(1.0)
        await stage.submit(job(other, crew="studio-tools", expect_s=RUN_S))
        names.append(other)
        if not all(accepted):
            return 2
        since: dict[str, float] = {}
        asked_at = 0.0
        while True:
            await asyncio.sleep(0.5)
            waiting = set(names) - {key[0] for _, _, key in stage.starts}
            if not waiting:
                stage.note("all jobs have started")
                return 0
            room = set.intersection(*(stage.with_room(stage.jobs[name]) for name in waiting))
            since = {name: since.get(name, stage.at()) for name in room}
            if stage.at() - asked_at > 10.0:
                asked_at = stage.at()
                for name in (names[0], other):
                    await stage.poll(name, 1)
                stage.note(f"{len(waiting)} jobs wait; machines with room for them: {sorted(room)}")
            waited = max((stage.at() - at for at in since.values()), default=0.0)
            if waited > LIMIT_S:
                stage.note(f"broken: {sorted(waiting)} have waited for {waited:.0f} s while {sorted(since)} had room")
                return 1
    finally:
        await stage.stop()


play(case, __file__)
