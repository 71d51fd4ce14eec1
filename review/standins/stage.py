"""The surroundings of a small deployment for the cases of the review: stand-ins, users and the real controllers.

The state service, the cloud and the workers' state machines are those of `tests/fakes`.  This module serves them on
free loopback ports (each controller has ports of its own for the state service and the cloud, so a case can tell the
controllers apart), adds what the fakes lack (a worker refuses what does not fit it; the write rate of the state
service is limited), starts the controllers with the command of the deploy file, and writes `record.txt`.
"""

from __future__ import annotations

import asyncio
import os
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from tests.fakes.cloud import Cloud, Rented
from tests.fakes.state import State
from tests.fakes.worker import Key, Task, Worker, World

TIME_LIMIT_S = 116.0
ROOT = Path(__file__).resolve().parent.parent.parent
Hook = Callable[[int, str, str, Any], Awaitable[tuple[int, Any] | None]]
"""Called before the state service or the cloud handles a request: controller, method, path, body."""

SPINNER = {
    "name": "spinner", "cpus": 16.0, "cards": 0.0, "memory_gb": 64.0, "local_gb": 60.0, "pull_gb_per_s": 0.2,
    "rate": 0.86, "spot_price": 0.2, "ready_s": 5.0, "yards": ["trent-rack"],
}  # fmt: skip
FOUNDRY = {
    "name": "foundry", "cpus": 96.0, "cards": 8.0, "memory_gb": 384.0, "local_gb": 80.0, "pull_gb_per_s": 0.6,
    "rate": 27.16, "spot_price": 6.91, "ready_s": 5.0, "yards": ["trent-rack"],
}  # fmt: skip

SETTINGS = """host_name = "berth-{n}"
domain = "trent-rack"
api_addr = "127.0.0.1:{api}"
cluster_listen = "127.0.0.1:{peer}"
{others}
[services]
cloud = "127.0.0.1:{cloud}"
state = "127.0.0.1:{state}"

[cluster]
nodes = {nodes}
zones = {zones}
clock_off_ms = 1000.0
{teams}
[cluster.workers]
report_s = {report_s}
lease_s = {lease_s}
gang_wait_s = 35.0
gang_peer_s = 4.0
cancel_s = {cancel_s}

[cluster.state]
rps = 100.0
write_rps = 25.0
value_kb = 32.0
txn_ops = 16

[cluster.cloud]
rps = 5.0
list_lag_s = 3.0

[cluster.quota]
cpu_share = 0.75
ram_mb = 186.0
sockets = 1500
"""


def now_us() -> int:
    """The monotonic time in microseconds."""
    return time.monotonic_ns() // 1000


def free_ports(count: int) -> list[int]:
    """Return some ports on loopback that are free now."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in probes]
    finally:
        for probe in probes:
            probe.close()


class SizedWorker(Worker):
    """A worker that refuses a task for which it has too little room (`full`), as the protocol says."""

    capacity: tuple[float, float, float] = (0.0, 0.0, 0.0)
    _live: dict[tuple[str, int], int] | None = None
    """The attempt of each task that has not ended; None if that has to be computed again."""
    _used: tuple[float, ...] = (0.0, 0.0, 0.0)

    def execute(self, now: int, orders: list[dict[str, Any]]) -> None:
        """Execute orders; what the tasks take is summed up once for each message."""
        self._live = None
        super().execute(now, orders)

    def _kill(self, now: int, task: Task, grace_s: float) -> None:
        super()._kill(now, task, grace_s)
        self._live = None

    def _needs(self, job: str) -> tuple[float, ...]:
        spec = self.world.describe(job) or {}
        return tuple(float(spec.get(name, 0.0)) for name in ("cpus", "cards", "memory_gb"))

    def _launch(self, now: int, key: Key) -> None:
        if self._live is None:
            going = [task.key for task in self.tasks.values() if task.state != "ended"]
            self._live = {(job, number): attempt for job, attempt, number in going}
            self._used = tuple(sum(self._needs(k[0])[n] for k in going) for n in range(3))
        task = self.tasks[key] = Task(key, launched_us=now)
        spec, needs = self.world.describe(key[0]), self._needs(key[0])
        wanted = tuple(u + n for u, n in zip(self._used, needs, strict=True))
        if spec is None:
            task.state, task.cause = "ended", "unknown"
        elif (key[0], key[2]) in self._live:
            task.state, task.cause = "ended", "in_use"
        elif any(w > c + 1e-3 for w, c in zip(wanted, self.capacity, strict=True)):
            task.state, task.cause = "ended", "full"
        else:
            task.ready_us = now if spec["bundle"] in self.cached else now + self.fetch_us
            self._live[(key[0], key[2])] = key[1]
            self._used = wanted


@dataclass
class Controller:
    """One controller process, started by the command of the deploy file."""

    n: int
    settings: Path
    process: asyncio.subprocess.Process | None = None


@dataclass
class Stage:
    """Everything around the controllers, and the controllers themselves."""

    folder: Path
    controllers: int = 3
    types: list[dict[str, Any]] = field(default_factory=lambda: [dict(SPINNER), dict(FOUNDRY)])
    teams: list[dict[str, Any]] = field(default_factory=list)
    capacity: int = 8
    report_s: float = 2.5
    lease_s: float = 18.0
    cancel_s: float = 43.0
    list_lag_s: float = 3.0
    fetch_s: float = 0.5
    boot_s: Callable[[Rented], float] = lambda machine: 5.0
    run_s: Callable[[Key], float] = lambda key: 10.0
    state_hook: Hook | None = None
    cloud_hook: Hook | None = None
    log_level: str = "info"

    def __post_init__(self) -> None:
        self.began = time.monotonic()
        self.record_file = open(self.folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self.scratch = Path(tempfile.mkdtemp(prefix="ashtray-review-"))
        self.ports = free_ports(4 * self.controllers)
        self.apis = self.ports[: self.controllers]
        self.state = State()
        self.state.write_rps = 25.0
        self.cloud = Cloud(
            self.types,
            capacity=self.capacity,
            boot=self._boot,
            on_delete=self._end,
            lag_us=int(self.list_lag_s * 1e6),
            address=lambda name: self.addresses.get(name, ""),
        )
        self.addresses: dict[str, str] = {}
        self.workers: dict[str, Worker] = {}
        self.muted: set[str] = set()
        self.jobs: dict[str, dict[str, Any]] = {}
        self.starts: list[tuple[float, str, Key]] = []
        self.refused_reports: list[tuple[float, str, int, int]] = []
        """When a report was answered with another status than 200 and 421: time, machine, status, bytes."""
        self.expired: list[tuple[float, str, int]] = []
        """When the lease of a worker ended: time, machine, tasks that were killed."""
        self.nodes: list[Controller] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.sites: list[web.BaseSite] = []

    # The record

    def at(self) -> float:
        """The time since the start, in seconds."""
        return time.monotonic() - self.began

    def note(self, line: str) -> None:
        """Write a line into the record."""
        self.record_file.write(f"{self.at():8.3f} {line}\n")
        self.record_file.flush()

    # Services

    async def start(self) -> None:
        """Serve the state service and the cloud, and write the settings files."""
        self.client = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        n = self.controllers
        for node in range(n):
            await self._serve(self.ports[2 * n + node], self._service(node, self.state.handle, "state"))
            await self._serve(self.ports[3 * n + node], self._service(node, self.cloud.handle, "cloud"))
            self.nodes.append(Controller(node, self._write_settings(node)))

    def _write_settings(self, node: int) -> Path:
        n = self.controllers
        others = "".join(
            f'\n[[others]]\nhost_name = "berth-{m}"\ndomain = "trent-rack"\n'
            f'peer_addr = "127.0.0.1:{self.ports[n + m]}"\n'
            for m in range(n)
            if m != node
        )
        teams = "".join(
            "\n[[cluster.teams]]\n" + "".join(f"{k} = {msgspec.json.encode(v).decode()}\n" for k, v in team.items())
            for team in self.teams
        )
        zones = sorted({zone for kind in self.types for zone in kind["yards"]})
        path = self.scratch / f"berth-{node}.toml"
        path.write_text(
            SETTINGS.format(
                n=node,
                api=self.apis[node],
                peer=self.ports[n + node],
                others=others,
                teams=teams,
                nodes=n,
                state=self.ports[2 * n + node],
                cloud=self.ports[3 * n + node],
                zones=msgspec.json.encode(zones).decode(),
                report_s=self.report_s,
                lease_s=self.lease_s,
                cancel_s=self.cancel_s,
            )  # fmt: skip
        )
        return path

    def _service(self, node: int, handle: Any, kind: str) -> Any:
        async def answer(method: str, path: str, body: Any) -> tuple[int, Any]:
            hook = self.state_hook if kind == "state" else self.cloud_hook
            if kind == "cloud" and method == "POST":
                self.note(f"berth-{node} -> cloud: {path} {body}")
            if hook is not None:
                found = await hook(node, method, path, body)
                if found is not None:
                    return found
            status, reply = handle(now_us(), method, path, body)
            if kind == "cloud" and method == "POST":
                self.note(f"cloud -> berth-{node}: {status} {reply}")
            return status, reply

        return answer

    async def _serve(self, port: int, handle: Any) -> web.BaseSite:
        async def answer(request: web.BaseRequest) -> web.Response:
            raw = await request.read()
            body = msgspec.msgpack.decode(raw) if raw else None
            status, reply = await handle(request.method, request.raw_path, body)
            return web.Response(status=status, body=msgspec.msgpack.encode(reply))

        runner = web.ServerRunner(web.Server(answer, access_log=None))
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", port)
        await site.start()
        self.sites.append(site)
        return site

    def spawn(self, coroutine: Any) -> asyncio.Task[None]:
        """Run a coroutine beside the others until the stage stops."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # Workers

    def _describe(self, job: str) -> dict[str, Any] | None:
        return self.jobs.get(job)

    def _started(self, machine: str, key: Key) -> None:
        self.starts.append((self.at(), machine, key))
        self.note(f"{machine}: {key[0]}/{key[2]} attempt {key[1]} starts")

    def _left(self, machine: str, key: Key) -> None:
        self.note(f"{machine}: {key[0]}/{key[2]} attempt {key[1]} leaves the machine")

    def _note_orders(self, machine: str, how: str, orders: list[dict[str, Any]], status: int) -> None:
        if orders:
            verbs = Counter(str(order["verb"]) for order in orders)
            what = ", ".join(f"{count} {verb}" for verb, count in sorted(verbs.items()))
            self.note(f"{machine} gets orders {how}: {what}; first {orders[0]}; the answer is {status}")

    def _boot(self, machine: Rented) -> int:
        self.addresses[machine.name] = f"127.0.0.1:{free_ports(1)[0]}"
        boot_s = self.boot_s(machine)
        self.spawn(self._worker(machine, boot_s))
        return int(boot_s * 1e6)

    def _end(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        self.note(f"{name} is gone")
        if worker is not None:
            for task in worker.tasks.values():
                if task.on_machine:
                    self.note(f"{name}: {task.key[0]}/{task.key[2]} attempt {task.key[1]} is lost with its machine")

    def _gang_ready(self, job: str, attempt: int) -> bool:
        there = {
            k[2]
            for w in self.workers.values()
            for k, t in w.tasks.items()
            if k[:2] == (job, attempt) and t.on_machine
        }
        return len(there) == self.jobs[job]["pieces"]

    def with_room(self, spec: dict[str, Any]) -> set[str]:
        """The machines that a job allows, that are up without a notice, and that have room for one of its tasks."""
        found = set()
        names = ("cpus", "cards", "memory_gb")
        for name, worker in self.workers.items():
            if worker.notice_us is not None or (spec["hulls"] is not None and worker.type not in spec["hulls"]):
                continue
            kind = next(kind for kind in self.types if kind["name"] == worker.type)
            going = [self.jobs[task.key[0]] for task in worker.tasks.values() if task.state != "ended"]
            if all(kind[n] - sum(known[n] for known in going) >= spec[n] for n in names):
                found.add(name)
        return found

    async def _worker(self, machine: Rented, boot_s: float) -> None:
        await asyncio.sleep(boot_s)
        if machine.ended_us is not None:
            return
        kind = next(kind for kind in self.types if kind["name"] == machine.type)
        address = self.addresses[machine.name]
        world = World(
            self._describe,
            lambda key: int(self.run_s(key) * 1e6),
            started=self._started,
            left=self._left,
            gang_ready=self._gang_ready,
        )
        worker = SizedWorker(
            machine.name, machine.type, machine.zone, machine.spot, address, int(self.lease_s * 1e6), 35_000_000,
            world, fetch_us=int(self.fetch_s * 1e6), renewed_us=now_us(),
        )  # fmt: skip
        worker.capacity = (kind["cpus"], kind["cards"], kind["memory_gb"])
        self.workers[machine.name] = worker
        self.note(f"{machine.name} ({machine.type}) is up")

        async def handle(method: str, path: str, body: Any) -> tuple[int, Any]:
            if path != "/orders":
                return 200, worker.report()
            status, report = worker.orders(now_us(), body)
            self._note_orders(machine.name, "directly", body.get("orders", []), status)
            return status, report

        site = await self._serve(int(address.rpartition(":")[2]), handle)
        node = int(machine.name.removeprefix("vm-")) % self.controllers
        while self.workers.get(machine.name) is worker:
            self._advance(worker)
            if machine.name in self.muted:
                await asyncio.sleep(1.0)
            else:
                before, node = node, await self._report(worker, node)
                if node != before:
                    # Redirected, or no answer: `_report` has waited as the protocol says.
                    continue
            due = time.monotonic() + self.report_s
            await asyncio.sleep(0.4)
            while self.workers.get(machine.name) is worker and time.monotonic() < due:
                await asyncio.sleep(0.1)
                if self._advance(worker):
                    break
        await site.stop()

    def _advance(self, worker: Worker) -> bool:
        session, held = worker.session, sum(task.on_machine for task in worker.tasks.values())
        changed = worker.advance(now_us())
        if worker.session != session:
            self.expired.append((self.at(), worker.name, held))
            self.note(f"{worker.name}: the lease has ended, {held} tasks are killed; session {worker.session}")
        return changed

    async def _report(self, worker: Worker, node: int) -> int:
        report, sent, sent_us = worker.report(), (worker.session, worker.tick), now_us()
        raw = msgspec.msgpack.encode(report)
        try:
            url = f"http://127.0.0.1:{self.apis[node]}/hello"
            async with self.client.post(url, data=raw, timeout=aiohttp.ClientTimeout(total=4)) as response:
                body = msgspec.msgpack.decode(await response.read())
                if response.status == 200:
                    self._advance(worker)
                    worker.take_answer(now_us(), sent, sent_us, body)
                    self._note_orders(worker.name, f"by berth-{node} in an answer", body.get("orders", []), 200)
                    return node
                if response.status == 421 and body.get("foreman", f"berth-{node}") != f"berth-{node}":
                    await asyncio.sleep(0.3)
                    return int(body["foreman"].removeprefix("berth-"))
                if response.status != 421:
                    self.refused_reports.append((self.at(), worker.name, response.status, len(raw)))
                    self.note(
                        f"{worker.name} -> berth-{node}: a report of {len(report['pieces'])} tasks, {len(raw)} bytes "
                        f"({len(msgspec.json.encode(report))} as JSON); the answer is {response.status} {body}"
                    )
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            pass
        await asyncio.sleep(1.0)
        return (node + 1) % self.controllers

    # Controllers

    async def run_controller(self, n: int) -> None:
        """Start a controller with the line `run` of the deploy file."""
        command = shlex.split(tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"])
        node = self.nodes[n]
        environment = {**os.environ, "LOG_LEVEL": self.log_level}
        environment.pop("PYTHONPATH", None)
        node.process = await asyncio.create_subprocess_exec(
            *command, str(node.settings), cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        self.note(f"berth-{n} is started")
        self.spawn(self._follow_log(n, node.process))

    async def _follow_log(self, n: int, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            self.note(f"berth-{n} log: {line.decode(errors='replace').rstrip()[:600]}")

    def signal(self, n: int, number: signal.Signals) -> None:
        """Send a signal to a controller."""
        process = self.nodes[n].process
        assert process is not None
        self.note(f"berth-{n} gets {number.name}")
        process.send_signal(number)

    async def kill(self, n: int) -> None:
        """Kill a controller and wait for its end."""
        self.signal(n, signal.SIGKILL)
        process = self.nodes[n].process
        assert process is not None
        await process.wait()

    def leader(self) -> int | None:
        """The controller that holds the fleet key in the state service."""
        found = self.state.keys.get("ashtray/now/fleet")
        return None if found is None else int(found[0]["host"].removeprefix("berth-"))

    async def wait_up(self, timeout_s: float = 30.0) -> bool:
        """Wait until all controllers count as healthy; returns whether they do in time."""
        until = time.monotonic() + timeout_s
        for api in self.apis:
            while True:
                try:
                    async with self.client.get(
                        f"http://127.0.0.1:{api}/up", timeout=aiohttp.ClientTimeout(total=1)
                    ) as response:
                        if response.status == 200:
                            break
                except (aiohttp.ClientError, TimeoutError):
                    pass
                if time.monotonic() > until:
                    return False
                await asyncio.sleep(0.2)
        return True

    # Users

    async def ask(self, n: int, method: str, path: str, body: Any = None, timeout_s: float = 5.0) -> tuple[int, Any]:
        """Send one request to a controller; status 0 if there is no answer."""
        data = None if body is None else msgspec.msgpack.encode(body)
        try:
            async with self.client.request(
                method,
                f"http://127.0.0.1:{self.apis[n]}{path}",
                data=data,
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                raw = await response.read()
                return response.status, msgspec.msgpack.decode(raw) if raw else None
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            return 0, None

    async def submit(self, job: dict[str, Any], n: int = 0) -> bool:
        """Submit a job as the protocol says: repeated for up to 60 s; returns whether it was accepted."""
        self.jobs[job["name_id"]] = job
        until = time.monotonic() + 60.0
        while True:
            status, body = await self.ask(n, "POST", "/submissions", job)
            what = f"{job['name_id']} ({job['pieces']} tasks)"
            self.note(f"user -> berth-{n}: submits {what}; the answer is {status} {body}")
            if status in (200, 201):
                return True
            if status in (400, 422) or time.monotonic() > until:
                return False
            n = (n + 1) % self.controllers
            await asyncio.sleep(1.0)

    async def poll(self, job_id: str, n: int = 0) -> str | None:
        """Ask once for a job's state; returns None without an answer 200."""
        status, body = await self.ask(n, "GET", f"/submissions/{job_id}", timeout_s=2.0)
        self.note(f"user -> berth-{n}: asks for {job_id}; the answer is {status} {body}")
        return str(body["status"]) if status == 200 else None

    async def stop(self) -> None:
        """End all that was started."""
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                # SIGKILL also ends a process that is stopped.
                node.process.kill()
        for node in self.nodes:
            if node.process is not None:
                await node.process.wait()
        self.workers.clear()
        for task in list(self.tasks):
            task.cancel()
        await self.client.close()
        for path in self.scratch.iterdir():
            path.unlink()
        self.scratch.rmdir()
        self.record_file.close()


def job(name_id: str, **fields: Any) -> dict[str, Any]:
    """A submission; `fields` replace the defaults."""
    found = {
        "name_id": name_id, "lane": "panel-upscale", "crew": "reader-app", "shape": "batch", "urgency": "idle",
        "pieces": 1, "cpus": 1.0, "cards": 0.0, "memory_gb": 1.0, "bundle": "img-01", "image_gb": 0.1,
        "hulls": None, "yard": None, "same_place": False, "spread": False, "loaners": False, "expect_s": 30.0,
        "snapshot_every_s": 0.0, "snapshot_cost_s": 0.0, "due_s": None,
    }  # fmt: skip
    return {**found, **fields}


def play(case: Callable[[Path, bool], Awaitable[int]], file: str) -> None:
    """Run a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    folder = Path(file).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def limited() -> int:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(TIME_LIMIT_S):
            return await case(folder, trouble)

    try:
        code = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    sys.exit(code)
