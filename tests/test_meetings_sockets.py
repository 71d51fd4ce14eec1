"""Users ask all controllers within milliseconds of each answer, while processes are killed and restarted.

The processes are real and listen on loopback.  A controller that has just started, or has not read the latest
records, must not answer with an older state than users were told.  The test is limited to 30 s of wall time; a run
takes about half of that.
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
"""The number of jobs, and the pause between two submissions."""
TASK_RUN_S = 0.4
"""How long a task runs."""
RESTART_DELAY_S = 0.3
"""How long after a kill the process is restarted."""
MAX_TEST_S = 30
"""The limit of a run, in wall time."""
JOB_FIELDS = {"pieces": 1, "cpus": 1.0, "cards": 0.0, "memory_gb": 1.0, "hulls": None, "crew": "crew"}


class SocketUsers:
    """Users who ask all controllers again within milliseconds of each new answer."""

    def __init__(self, apis: list[int], client: aiohttp.ClientSession, seed: int) -> None:
        self.apis = apis
        self.client = client
        self.rng = random.Random(seed)
        self.answers = AnswerHistory()
        self.asked_all: set[tuple[str, str]] = set()
        """Jobs and their answers after which all controllers were asked."""
        self.immediate_delays_us: list[int] = []
        """For each immediate request after a new answer, how long after the answer it was sent."""
        self.restarts: list[tuple[int, int]] = []
        """Controllers that were killed, and when each was restarted, in ns."""

    async def request(self, job_id: str, kind: str, controller: int) -> str | None:
        """Send one request; return the state that it told, or None if it told none."""
        path = {"submit": "/submissions", "poll": f"/submissions/{job_id}", "cancel": f"/submissions/{job_id}/abort"}
        body = msgspec.msgpack.encode({**SUBMISSION, **JOB_FIELDS, "name_id": job_id}) if kind == "submit" else None
        method = "GET" if kind == "poll" else "POST"
        url = f"http://127.0.0.1:{self.apis[controller]}{path[kind]}"
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
        self.answers.add(Heard(job_id, kind, controller, asked, answered, told))
        return told

    async def until(self, job_id: str, kind: str, *states: str) -> str:
        """Repeat a request at one controller after another until the answer is one of these states; return it."""
        controller = self.rng.randrange(len(self.apis))
        while True:
            told = await self.request(job_id, kind, controller)
            if told in states:
                return told
            controller = (controller + 1) % len(self.apis)
            await asyncio.sleep(0.05)

    async def ask_all(self, job_id: str, told: str, *kinds: str) -> None:
        """Send each kind of request to all controllers, at once and again after up to 5 ms."""
        self.asked_all.add((job_id, told))
        told_ns = time.monotonic_ns()

        async def request_after(kind: str, controller: int, delay_s: float) -> None:
            if delay_s:
                await asyncio.sleep(delay_s)
            else:
                self.immediate_delays_us.append((time.monotonic_ns() - told_ns) // 1000)
            await self.request(job_id, kind, controller)

        delays_s = (0.0, self.rng.uniform(0.0005, 0.005))
        controllers = range(len(self.apis))
        await asyncio.gather(
            *(
                request_after(kind, controller, delay_s)
                for kind in kinds
                for controller in controllers
                for delay_s in delays_s
            )
        )

    async def run_job(self, number: int) -> None:
        """Follow a job from its submission to its end; a third are cancelled at once, a third near their end."""
        job_id = f"job-{number + 1}"
        told = await self.until(job_id, "submit", "pending", "running", *FINAL)
        kinds = ("poll", "submit", "cancel") if number % 3 == 0 else ("poll", "submit")
        await self.ask_all(job_id, "accepted", *kinds)
        if number % 3 == 1:
            await self.until(job_id, "poll", "running", *FINAL)
            await asyncio.sleep(TASK_RUN_S * self.rng.uniform(0.6, 1.6))
            await asyncio.gather(
                *(self.request(job_id, kind, n) for n, kind in enumerate(("cancel", "poll", "cancel")))
            )
        told = await self.until(job_id, "poll", *FINAL)
        await self.ask_all(job_id, told, "poll", "submit", "cancel")


async def start(file: Path) -> asyncio.subprocess.Process:
    """Start a controller's process."""
    return await asyncio.create_subprocess_exec(
        sys.executable, "run.py", "--config", str(file), cwd=ROOT, stderr=asyncio.subprocess.DEVNULL
    )


async def run_scenario(directory: Path) -> SocketUsers:
    stage = Stage(directory, CONTROLLERS, free_port_block(), TASK_RUN_S)
    await stage.start()
    files = stage.write_settings()
    processes = [await start(file) for file in files]

    async def kill_and_restart(number: int) -> None:
        processes[number].kill()
        await processes[number].wait()
        await asyncio.sleep(RESTART_DELAY_S)
        processes[number] = await start(files[number])
        users.restarts.append((number, time.monotonic_ns()))

    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as client:
        users = SocketUsers(stage.apis, client, 1)
        try:
            tasks: list[asyncio.Task[Any]] = []
            for number in range(JOBS):
                tasks.append(asyncio.create_task(users.run_job(number)))
                await asyncio.sleep(PAUSE_S)
                if number in (JOBS // 3, 2 * JOBS // 3):
                    tasks.append(asyncio.create_task(kill_and_restart(number % CONTROLLERS)))
            await asyncio.gather(*tasks)
        finally:
            for process in processes:
                if process.returncode is None:
                    process.kill()
                await process.wait()
            await stage.stop()
    return users


def test_no_process_answers_something_older_when_users_ask_all_within_milliseconds(tmp_path: Path):
    users = asyncio.run(asyncio.wait_for(run_scenario(tmp_path), MAX_TEST_S))
    # The case is reached: every job ended, and after each kind of answer all controllers were asked in milliseconds.
    assert {job_id for job_id, told in users.asked_all if told in FINAL} == {f"job-{n + 1}" for n in range(JOBS)}
    for told in ("accepted", *FINAL):
        assert sum(answer == told for _, answer in users.asked_all) >= 3
    assert sorted(users.immediate_delays_us)[len(users.immediate_delays_us) // 2] < 20_000
    heard = [answer for answers in users.answers.heard.values() for answer in answers]
    assert {answer.node for answer in heard} == set(range(CONTROLLERS))
    # Each restarted process answered again.
    assert len(users.restarts) == 2
    for number, back in users.restarts:
        assert any(answer.node == number and answer.asked > back for answer in heard)
