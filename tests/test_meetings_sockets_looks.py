"""Three processes on loopback: users ask all within milliseconds while one is killed, told to end or reads anew.

Meanwhile raw requests that must be refused go to every process, also in the first milliseconds of its start.
Bounded to 40 s of wall time, of which a run needs about half.
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
from tests.test_meetings_sockets import OVER, SocketUsers, start

# They take ports that they do not hold while they start.
pytestmark = pytest.mark.xdist_group("sockets")

CONTROLLERS, JOBS, PAUSE_S, RUN_S = 3, 30, 0.25, 0.3
BACK_S = 0.15
"""How long after its end a process is started again."""
BOUND_S = 40
TRIES = 5
"""Blocks of ports that are tried."""
ODD_PAUSE_S = 0.01
FIRST_S = 1.0
"""For so long after its first answer a process counts as starting."""


@dataclass(frozen=True)
class Raw:
    """A body as it is sent, and the statuses that may answer it."""

    name: str
    body: bytes
    statuses: tuple[int, ...]


def encoded(**over: Any) -> bytes:
    """A submission with some fields replaced, or left out where they are `...`."""
    body = {**SUBMISSION, **OVER, "name_id": "job-900001", **over}
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
REFUSED_AT_ONCE = [Raw(name, body, (400,)) for name, body in MALFORMED]
REFUSED_ONCE_KNOWN = [Raw(name, body, (422, 429, 503)) for name, body in IMPOSSIBLE]
BODIES = REFUSED_AT_ONCE + REFUSED_ONCE_KNOWN


class Processes:
    """The controllers' processes, of which one at a time ends and is started again."""

    def __init__(self, files: list[Path]) -> None:
        self.files = files
        self.running: list[asyncio.subprocess.Process] = []
        self.answered_ns: list[int | None] = [None] * len(files)
        """When each first answered."""
        self.restarts: list[tuple[int, int]] = []
        """Controllers whose process ended, and when the next one was started."""

    async def begin(self) -> None:
        """Start all."""
        for file in self.files:
            self.running.append(await start(file))

    async def end(self, number: int, how: signal.Signals) -> None:
        """Kill one, or tell it to end, and start it again."""
        self.running[number].send_signal(how)
        await self.running[number].wait()
        await asyncio.sleep(BACK_S)
        self.answered_ns[number] = None
        self.restarts.append((number, time.monotonic_ns()))
        self.running[number] = await start(self.files[number])

    def is_starting(self, number: int) -> bool:
        """Whether one that has just answered did so for the first time no longer than `FIRST_S` ago."""
        now_ns = time.monotonic_ns()
        since_ns = self.answered_ns[number] = self.answered_ns[number] or now_ns
        return now_ns - since_ns < FIRST_S * 1e9

    async def stop(self) -> None:
        """Kill all."""
        for process in self.running:
            if process.returncode is None:
                process.kill()
            await process.wait()


class OddUsers:
    """Users who send every process what must be refused, one body after the other."""

    def __init__(self, apis: list[int], client: aiohttp.ClientSession, processes: Processes) -> None:
        self.apis = apis
        self.client = client
        self.processes = processes
        self.statuses: dict[str, Counter[int]] = {raw.name: Counter() for raw in BODIES}
        self.unknown: Counter[int] = Counter()
        self.while_starting: Counter[int] = Counter()
        """By controller, the answers within `FIRST_S` of the first one of its process."""

    async def run(self, node: int) -> None:
        """Go on until cancelled."""
        # Each process begins with other bodies, so that together they soon have met all.
        turn = node * len(REFUSED_AT_ONCE) // CONTROLLERS
        while True:
            job = f"/submissions/job-{900_000 + turn % 50}"
            answered, *_ = await asyncio.gather(
                self._submit(REFUSED_AT_ONCE[turn % len(REFUSED_AT_ONCE)], node),
                self._submit(REFUSED_ONCE_KNOWN[turn % len(REFUSED_ONCE_KNOWN)], node),
                self._ask_unknown("GET", job, node),
                self._ask_unknown("POST", f"{job}/abort", node),
            )
            turn += answered
            await asyncio.sleep(ODD_PAUSE_S)

    async def _submit(self, raw: Raw, node: int) -> bool:
        """Send one body; whether it was answered."""
        status = await self._send("POST", node, "/submissions", raw.body)
        assert status in (0, *raw.statuses), (raw.name, status)
        self.statuses[raw.name][status] += 1
        return status != 0

    async def _ask_unknown(self, method: str, path: str, node: int) -> None:
        status = await self._send(method, node, path, None)
        assert status in (0, 404, 429, 503), (path, status)
        self.unknown[status] += 1

    async def _send(self, method: str, node: int, path: str, body: bytes | None) -> int:
        url = f"http://127.0.0.1:{self.apis[node]}{path}"
        timeout = aiohttp.ClientTimeout(total=3)
        try:
            async with self.client.request(method, url, data=body, timeout=timeout) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0
        if self.processes.is_starting(node):
            self.while_starting[node] += 1
        return response.status


@dataclass
class Played:
    """What a run has brought about."""

    users: SocketUsers
    odd: OddUsers
    processes: Processes
    reloads: int
    """How often a controller was told to read everything anew."""
    recorded: set[str]
    """The jobs that the state service knows of at the end."""


class CountingState(Forgetful):
    """Counts how often it lacked the changes that a controller asked for."""

    reloads = 0

    def handle(self, now_us: int, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Answer a request; one for changes with 410 where it was told to lack them."""
        status, reply = super().handle(now_us, method, path, body)
        self.reloads += status == 410
        return status, reply


async def lose_changes(state: CountingState) -> None:
    """Again and again, just after something was accepted or ended, let the next controller read everything anew."""
    revision = state.revision
    while True:
        await asyncio.sleep(0.4)
        while state.revision == revision:
            await asyncio.sleep(0.001)
        revision = state.revision
        state.lacks_changes = True


async def restart_often(processes: Processes, rng: random.Random, users: SocketUsers) -> None:
    """End one process after the other, each just after a user was told something, by a kill or by a word."""
    for turn in range(6):
        heard = len(users.looked)
        while len(users.looked) == heard:
            await asyncio.sleep(0.001)
        await asyncio.sleep(rng.uniform(0, 0.01))
        await processes.end(turn % CONTROLLERS, (signal.SIGKILL, signal.SIGTERM)[turn // CONTROLLERS])
        await asyncio.sleep(0.4)


async def begin(directory: Path, state: CountingState) -> Stage:
    """Everything around the controllers; ports that somebody else has taken meanwhile are left to them."""
    for _ in range(TRIES):
        stage = Stage(directory, CONTROLLERS, free_port_block(), RUN_S)
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


async def play(directory: Path) -> Played:
    state = CountingState()
    stage = await begin(directory, state)
    processes = Processes(stage.write_settings())
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as client:
        users = SocketUsers(stage.apis, client, 1)
        odd = OddUsers(stage.apis, client, processes)
        troubles: list[asyncio.Task[Any]] = []
        try:
            asking = [asyncio.create_task(odd.run(node)) for node in range(CONTROLLERS)]
            troubles += asking
            await processes.begin()
            lives = [asyncio.create_task(users.live(0))]
            await lives[0]
            troubles.append(asyncio.create_task(lose_changes(state)))
            restarts = asyncio.create_task(restart_often(processes, random.Random(1), users))
            for number in range(1, JOBS):
                lives.append(asyncio.create_task(users.live(number)))
                await asyncio.sleep(PAUSE_S)
            await asyncio.gather(restarts, *lives)
            while None in processes.answered_ns:
                await asyncio.sleep(0.01)
            # All are asked once more, also the one that came back last.
            await users.live(JOBS)
            for task in asking:
                assert not task.done() or task.exception() is None, task.exception()
        finally:
            for task in troubles:
                task.cancel()
            await asyncio.gather(*troubles, return_exceptions=True)
            await processes.stop()
            await stage.stop()
    recorded = {key.rpartition("/")[2] for key in state.keys if "/job-" in key}
    return Played(users, odd, processes, state.reloads, recorded)


def test_no_process_answers_something_older_or_accepts_what_must_be_refused(tmp_path: Path):
    played = asyncio.run(asyncio.wait_for(play(tmp_path), BOUND_S))
    users, odd = played.users, played.odd
    # All processes were killed once and told to end once, and read everything anew between.
    assert Counter(number for number, _ in played.processes.restarts) == dict.fromkeys(range(CONTROLLERS), 2)
    assert played.reloads >= 5
    for number, back_ns in played.processes.restarts:
        heard = [answer for answers in users.answers.heard.values() for answer in answers if answer.node == number]
        assert any(back_ns < answer.asked for answer in heard)
    assert all(odd.while_starting[number] >= 6 for number in range(CONTROLLERS)), odd.while_starting
    # All were asked within milliseconds of each sort of answer, and every job ended.
    jobs = {f"job-{n + 1}" for n in range(JOBS + 1)}
    assert {job_id for job_id, told in users.looked if told in FINAL} == jobs
    for told in ("accepted", *FINAL):
        assert sum(looked == told for _, looked in users.looked) >= 3
    assert sorted(users.soonest_us)[len(users.soonest_us) // 2] < 20_000
    # Nothing that must be refused was accepted, and each was refused for good at some time.
    assert played.recorded == jobs
    for raw in BODIES:
        assert odd.statuses[raw.name][raw.statuses[0]] >= 1, (raw.name, odd.statuses[raw.name])
    assert odd.unknown[404] >= 20
