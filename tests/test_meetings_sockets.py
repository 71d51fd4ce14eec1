"""Users who ask all controllers within milliseconds, with real processes on loopback; one is killed and back at once.

Bounded to 30 s of wall time, of which a run needs about half.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from tests.answer_history import FINAL, UNKNOWN, AnswerHistory, Heard
from tests.fakes.serve import Stage
from tests.test_daemon import ROOT, free_port_block
from tests.test_formats import SUBMISSION

CONTROLLERS = 3
JOBS, PAUSE_S = 24, 0.25
RUN_S = 0.4
BACK_S = 0.3
"""How long after a kill the process is started again."""
BOUND_S = 30
OVER = {"pieces": 1, "cpus": 1.0, "cards": 0.0, "memory_gb": 1.0, "hulls": None, "crew": "crew"}


class SocketUsers:
    """Users on loopback: every new answer makes them ask all controllers again within milliseconds."""

    def __init__(self, apis: list[int], client: aiohttp.ClientSession, seed: int) -> None:
        self.apis = apis
        self.client = client
        self.rng = random.Random(seed)
        self.answers = AnswerHistory()
        self.looked: set[tuple[str, str]] = set()
        self.soonest_us: list[int] = []
        """For each new answer, how long after it the first of the questions that it led to was asked."""
        self.restarts: list[tuple[int, int]] = []
        """Controllers that were killed, and when each was started again."""

    async def request(self, job_id: str, kind: str, node: int) -> str | None:
        """One request; what it told, if it told anything."""
        path = {"submit": "/submissions", "poll": f"/submissions/{job_id}", "cancel": f"/submissions/{job_id}/abort"}
        body = msgspec.msgpack.encode({**SUBMISSION, **OVER, "name_id": job_id}) if kind == "submit" else None
        method = "GET" if kind == "poll" else "POST"
        url = f"http://127.0.0.1:{self.apis[node]}{path[kind]}"
        asked = time.monotonic_ns()
        try:
            async with self.client.request(
                method, url, data=body, timeout=aiohttp.ClientTimeout(total=3)
            ) as response:
                raw = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None
        answered = time.monotonic_ns()
        if response.status in (429, 503):
            return None
        assert response.status in (200, 201, 404), (kind, response.status, raw)
        told: str = UNKNOWN if response.status == 404 else msgspec.msgpack.decode(raw)["status"]
        self.answers.add(Heard(job_id, kind, node, asked, answered, told))
        return told

    async def until(self, job_id: str, kind: str, *states: str) -> str:
        """Repeat a request at one controller after the other until it is answered with one of these states."""
        node = self.rng.randrange(len(self.apis))
        while True:
            told = await self.request(job_id, kind, node)
            if told in states:
                return told
            node = (node + 1) % len(self.apis)
            await asyncio.sleep(0.05)

    async def look(self, job_id: str, told: str, *kinds: str) -> None:
        """Right after an answer, ask at all controllers, some of it a few milliseconds later."""
        self.looked.add((job_id, told))
        told_ns = time.monotonic_ns()

        async def soon(kind: str, node: int, late_s: float) -> None:
            if late_s:
                await asyncio.sleep(late_s)
            else:
                self.soonest_us.append((time.monotonic_ns() - told_ns) // 1000)
            await self.request(job_id, kind, node)

        late_s = (0.0, self.rng.uniform(0.0005, 0.005))
        nodes = range(len(self.apis))
        await asyncio.gather(*(soon(kind, node, late) for kind in kinds for node in nodes for late in late_s))

    async def live(self, number: int) -> None:
        """A job from its submission to its end; each third one is cancelled at once, each third one at its end."""
        job_id = f"job-{number + 1}"
        told = await self.until(job_id, "submit", "pending", "running", *FINAL)
        kinds = ("poll", "submit", "cancel") if number % 3 == 0 else ("poll", "submit")
        await self.look(job_id, "accepted", *kinds)
        if number % 3 == 1:
            await self.until(job_id, "poll", "running", *FINAL)
            await asyncio.sleep(RUN_S * self.rng.uniform(0.6, 1.6))
            await asyncio.gather(
                *(self.request(job_id, kind, n) for n, kind in enumerate(("cancel", "poll", "cancel")))
            )
        told = await self.until(job_id, "poll", *FINAL)
        await self.look(job_id, told, "poll", "submit", "cancel")


async def start(file: Path) -> asyncio.subprocess.Process:
    """A controller's process."""
    return await asyncio.create_subprocess_exec(
        sys.executable, "run.py", "--config", str(file), cwd=ROOT, stderr=asyncio.subprocess.DEVNULL
    )


async def play(directory: Path) -> SocketUsers:
    stage = Stage(directory, CONTROLLERS, free_port_block(), RUN_S)
    await stage.start()
    files = stage.write_settings()
    processes = [await start(file) for file in files]

    async def kill_and_start_again(number: int) -> None:
        processes[number].kill()
        await processes[number].wait()
        await asyncio.sleep(BACK_S)
        processes[number] = await start(files[number])
        users.restarts.append((number, time.monotonic_ns()))

    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as client:
        users = SocketUsers(stage.apis, client, 1)
        try:
            lives: list[asyncio.Task[Any]] = []
            for number in range(JOBS):
                lives.append(asyncio.create_task(users.live(number)))
                await asyncio.sleep(PAUSE_S)
                if number in (JOBS // 3, 2 * JOBS // 3):
                    lives.append(asyncio.create_task(kill_and_start_again(number % CONTROLLERS)))
            await asyncio.gather(*lives)
        finally:
            for process in processes:
                if process.returncode is None:
                    process.kill()
                await process.wait()
            await stage.stop()
    return users


def test_no_process_answers_something_older_when_users_ask_all_within_milliseconds(tmp_path: Path):
    users = asyncio.run(asyncio.wait_for(play(tmp_path), BOUND_S))
    # Every job ended, and after each sort of answer all controllers were asked within milliseconds.
    assert {job_id for job_id, told in users.looked if told in FINAL} == {f"job-{n + 1}" for n in range(JOBS)}
    for told in ("accepted", *FINAL):
        assert sum(looked == told for _, looked in users.looked) >= 3
    assert sorted(users.soonest_us)[len(users.soonest_us) // 2] < 20_000
    heard = [answer for answers in users.answers.heard.values() for answer in answers]
    assert {answer.node for answer in heard} == set(range(CONTROLLERS))
    # Each process that came back at once answered again.
    assert len(users.restarts) == 2
    for number, back in users.restarts:
        assert any(answer.node == number and answer.asked > back for answer in heard)
