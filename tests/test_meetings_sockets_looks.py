"""Users ask all three processes within milliseconds while one is killed, stopped or reads all records anew.

Meanwhile every process gets raw requests that must be refused, also in the first milliseconds after its start.
The test is limited to 40 s of wall time; a run takes about half of that.
"""

from __future__ import annotations

import asyncio
import errno
import random
import signal
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import pytest

from tests.answer_history import FINAL
from tests.fakes.serve import Stage
from tests.test_daemon import free_port_block
from tests.test_formats import SUBMISSION
from tests.test_meetings_answers import Forgetful
from tests.test_meetings_sockets import JOB_FIELDS, SocketUsers, start

# Free ports are chosen before the processes bind them, so tests that start processes run one after the other.
pytestmark = pytest.mark.xdist_group("sockets")

CONTROLLERS, JOBS, PAUSE_S, TASK_RUN_S = 3, 30, 0.25, 0.3
"""The last two: seconds between two submissions, and seconds that a task runs."""
RESTART_DELAY_S = 0.15
"""How long after its end a process is restarted."""
MAX_TEST_S = 40
"""The limit of a run, in wall time."""
MAX_PORT_TRIES = 5
"""How many blocks of ports are tried."""
REFUSED_PAUSE_S = 0.01
"""The pause between two rounds of requests that must be refused."""
STARTING_S = 1.0
"""How long after its first answer a process counts as starting."""


@dataclass(frozen=True)
class RawBody:
    """The bytes of a body, and the HTTP statuses that may answer it."""

    name: str
    body: bytes
    statuses: tuple[int, ...]


def encoded(**over: Any) -> bytes:
    """Return an encoded submission in which some fields are replaced, or left out where the value is `...`."""
    body = {**SUBMISSION, **JOB_FIELDS, "name_id": "job-900001", **over}
    return msgspec.msgpack.encode({key: value for key, value in body.items() if value is not ...})


MALFORMED = [
    ("nothing", b""),
    ("text", b"not MessagePack"),
    ("an invalid opcode", b"\xc1"),
    ("cut short", encoded()[:-3]),
    ("with something behind", encoded() + b"\x00"),
    ("text that is not UTF-8", b"\xa2\xff\xff"),
    ("a map as a key", b"\x81\x81\x01\x02\x03"),
    ("an impossible time", b"\xd7\xff" + b"\xff" * 8),
    ("nested too deeply", b"\x91" * 60_000 + b"\x01"),
    ("over 64 KiB", encoded(lane="x" * 66_000)),
    ("a list", msgspec.msgpack.encode([1, 2])),
    ("a number", b"\x07"),
    *(
        (f"without {field}", encoded(**{field: ...}))
        for field in SUBMISSION
        if field not in ("hulls", "yard", "due_s")
    ),
    ("pieces as text", encoded(pieces="3")),
    ("an amount that is no number", encoded(cpus=float("nan"))),
]
IMPOSSIBLE = [
    ("unknown team", encoded(crew="nobody")),
    ("no type fits", encoded(cpus=64.0)),
    ("over the limit", encoded(shape="gang", pieces=17, cpus=1.0)),
    ("waits on a job that nobody accepted", encoded(waits_on=["job-900002"])),
]
REFUSED_AT_ONCE = [RawBody(name, body, (400,)) for name, body in MALFORMED]
REFUSED_ONCE_KNOWN = [RawBody(name, body, (422, 429, 503)) for name, body in IMPOSSIBLE]
BODIES = REFUSED_AT_ONCE + REFUSED_ONCE_KNOWN


class Processes:
    """The controllers' processes, of which one at a time ends and is restarted."""

    def __init__(self, files: list[Path]) -> None:
        self.files = files
        self.running: list[asyncio.subprocess.Process] = []
        self.answered_ns: list[int | None] = [None] * len(files)
        """When each process first answered; None if it has not."""
        self.restarts: list[tuple[int, int]] = []
        """Controllers whose process ended, and when the next process was started, in ns."""

    async def begin(self) -> None:
        """Start all processes."""
        for file in self.files:
            self.running.append(await start(file))

    async def end(self, number: int, how: signal.Signals) -> None:
        """End one process by a signal and restart it."""
        self.running[number].send_signal(how)
        await self.running[number].wait()
        await asyncio.sleep(RESTART_DELAY_S)
        self.answered_ns[number] = None
        self.restarts.append((number, time.monotonic_ns()))
        self.running[number] = await start(self.files[number])

    def is_starting(self, number: int) -> bool:
        """Return whether a process that has just answered gave its first answer less than `STARTING_S` ago."""
        now_ns = time.monotonic_ns()
        first_ns = self.answered_ns[number] = self.answered_ns[number] or now_ns
        return now_ns - first_ns < STARTING_S * 1e9

    async def stop(self) -> None:
        """Kill all processes."""
        for process in self.running:
            if process.returncode is None:
                process.kill()
            await process.wait()


class RefusedRequests:
    """Requests that must be refused, sent to every process one after the other."""

    def __init__(self, apis: list[int], client: aiohttp.ClientSession, processes: Processes) -> None:
        self.apis = apis
        self.client = client
        self.processes = processes
        self.statuses: dict[str, Counter[int]] = {raw.name: Counter() for raw in BODIES}
        self.unknown: Counter[int] = Counter()
        self.while_starting: Counter[int] = Counter()
        """By controller, the answers that came within `STARTING_S` of the first answer of a process."""

    async def run(self, controller: int) -> None:
        """Send requests to one controller until cancelled."""
        # The processes begin with different bodies, so that every body is soon sent.
        turn = controller * len(REFUSED_AT_ONCE) // CONTROLLERS
        while True:
            job = f"/submissions/job-{900_000 + turn % 50}"
            answered, *_ = await asyncio.gather(
                self._submit(REFUSED_AT_ONCE[turn % len(REFUSED_AT_ONCE)], controller),
                self._submit(REFUSED_ONCE_KNOWN[turn % len(REFUSED_ONCE_KNOWN)], controller),
                self._ask_unknown("GET", job, controller),
                self._ask_unknown("POST", f"{job}/abort", controller),
            )
            turn += answered
            await asyncio.sleep(REFUSED_PAUSE_S)

    async def _submit(self, raw: RawBody, controller: int) -> bool:
        """Send one body and check its status; return whether it was answered."""
        status = await self._send("POST", controller, "/submissions", raw.body)
        assert status in (0, *raw.statuses), (raw.name, status)
        self.statuses[raw.name][status] += 1
        return status != 0

    async def _ask_unknown(self, method: str, path: str, controller: int) -> None:
        status = await self._send(method, controller, path, None)
        assert status in (0, 404, 429, 503), (path, status)
        self.unknown[status] += 1

    async def _send(self, method: str, controller: int, path: str, body: bytes | None) -> int:
        url = f"http://127.0.0.1:{self.apis[controller]}{path}"
        timeout = aiohttp.ClientTimeout(total=3)
        try:
            async with self.client.request(method, url, data=body, timeout=timeout) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0
        if self.processes.is_starting(controller):
            self.while_starting[controller] += 1
        return response.status


@dataclass
class RunResult:
    """The outcome of a run."""

    users: SocketUsers
    refused: RefusedRequests
    processes: Processes
    reloads: int
    """How often a controller had to read all records anew."""
    recorded: set[str]
    """The jobs in the state service's records at the end."""


class CountingState(Forgetful):
    """Counts how often it no longer has the changes that a controller asks for."""

    reloads = 0

    def handle(self, now_us: int, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Answer a request; a request for changes gets 410 while `lacks_changes` is set."""
        status, reply = super().handle(now_us, method, path, body)
        self.reloads += status == 410
        return status, reply


async def force_reloads(state: CountingState) -> None:
    """Every 0.4 s, just after a write, make the next controller that asks for changes read all records anew."""
    revision = state.revision
    while True:
        await asyncio.sleep(0.4)
        while state.revision == revision:
            await asyncio.sleep(0.001)
        revision = state.revision
        state.lacks_changes = True


async def restart_often(processes: Processes, rng: random.Random, users: SocketUsers) -> None:
    """End one process after the other just after a user got an answer, first all by SIGKILL, then all by SIGTERM."""
    for turn in range(6):
        heard = len(users.asked_all)
        while len(users.asked_all) == heard:
            await asyncio.sleep(0.001)
        await asyncio.sleep(rng.uniform(0, 0.01))
        await processes.end(turn % CONTROLLERS, (signal.SIGKILL, signal.SIGTERM)[turn // CONTROLLERS])
        await asyncio.sleep(0.4)


async def begin(directory: Path, state: CountingState) -> Stage:
    """Start everything around the controllers; try other ports if these have been taken in the meantime."""
    for _ in range(MAX_PORT_TRIES):
        stage = Stage(directory, CONTROLLERS, free_port_block(), TASK_RUN_S)
        stage.state = state
        try:
            await stage.start()
        except OSError as error:
            await stage.stop()
            if error.errno != errno.EADDRINUSE:
                raise
        else:
            return stage
    raise AssertionError("no free ports")


async def run_scenario(directory: Path) -> RunResult:
    state = CountingState()
    stage = await begin(directory, state)
    processes = Processes(stage.write_settings())
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as client:
        users = SocketUsers(stage.apis, client, 1)
        refused = RefusedRequests(stage.apis, client, processes)
        background: list[asyncio.Task[Any]] = []
        try:
            refused_tasks = [asyncio.create_task(refused.run(controller)) for controller in range(CONTROLLERS)]
            background += refused_tasks
            await processes.begin()
            job_tasks = [asyncio.create_task(users.run_job(0))]
            await job_tasks[0]
            background.append(asyncio.create_task(force_reloads(state)))
            restarts = asyncio.create_task(restart_often(processes, random.Random(1), users))
            for number in range(1, JOBS):
                job_tasks.append(asyncio.create_task(users.run_job(number)))
                await asyncio.sleep(PAUSE_S)
            await asyncio.gather(restarts, *job_tasks)
            while None in processes.answered_ns:
                await asyncio.sleep(0.01)
            # All controllers are asked once more, including the one that was restarted last.
            await users.run_job(JOBS)
            for task in refused_tasks:
                assert not task.done() or task.exception() is None, task.exception()
        finally:
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)
            await processes.stop()
            await stage.stop()
    recorded = {key.rpartition("/")[2] for key in state.keys if "/job-" in key}
    return RunResult(users, refused, processes, state.reloads, recorded)


def test_no_process_answers_something_older_or_accepts_what_must_be_refused(tmp_path: Path):
    result = asyncio.run(asyncio.wait_for(run_scenario(tmp_path), MAX_TEST_S))
    users, refused = result.users, result.refused
    # The case is reached: each process was killed once and stopped once, and controllers read all records anew.
    assert Counter(number for number, _ in result.processes.restarts) == dict.fromkeys(range(CONTROLLERS), 2)
    assert result.reloads >= 5
    for number, back_ns in result.processes.restarts:
        heard = [answer for answers in users.answers.heard.values() for answer in answers if answer.node == number]
        assert any(back_ns < answer.asked for answer in heard)
    assert all(refused.while_starting[number] >= 6 for number in range(CONTROLLERS)), refused.while_starting
    # All controllers were asked within milliseconds of each kind of answer, and every job ended.
    jobs = {f"job-{n + 1}" for n in range(JOBS + 1)}
    assert {job_id for job_id, told in users.asked_all if told in FINAL} == jobs
    for told in ("accepted", *FINAL):
        assert sum(answer == told for _, answer in users.asked_all) >= 3
    assert sorted(users.immediate_delays_us)[len(users.immediate_delays_us) // 2] < 20_000
    # Nothing that must be refused was accepted, and every body got its final status at some time.
    assert result.recorded == jobs
    for raw in BODIES:
        assert refused.statuses[raw.name][raw.statuses[0]] >= 1, (raw.name, refused.statuses[raw.name])
    assert refused.unknown[404] >= 20
