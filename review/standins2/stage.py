"""A small deployment on loopback: the stand-ins over HTTP, and real controllers started as the deploy file says."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from review.standins2.machine import Machine
from review.standins2.services import Cloud, Rented, StateService

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
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
zones = ["trent-rack"]
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
{next_limits}
[cluster.cloud]
rps = 5.0
list_lag_s = 3.0

[cluster.quota]
cpu_share = 0.75
ram_mb = 186.0
sockets = 1500
"""
SPINNER = {
    "name": "spinner",
    "cpus": 16.0,
    "cards": 0.0,
    "memory_gb": 64.0,
    "local_gb": 60.0,
    "pull_gb_per_s": 0.2,
    "rate": 0.86,
    "spot_price": 0.2,
    "ready_s": 20.0,
    "yards": ["trent-rack"],
}
TEAM = {"name": "reader-app", "cpus": 520.0, "cpus_max": 1744.0, "gpus": 40.0, "gpus_max": 88.0}


class CouldNotRun(Exception):
    """The case could not be brought about."""


def now_us() -> int:
    """Return the monotonic time in microseconds."""
    return time.monotonic_ns() // 1000


def free_ports(number: int) -> list[int]:
    """Return ports on the loopback interface that are free now."""
    sockets = [socket.socket() for _ in range(number)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Stage:
    """The services around the controllers, the controllers, and a record of what is sent, answered and run."""

    def __init__(
        self,
        folder: Path,
        controllers: int = 3,
        teams: list[dict[str, Any]] | None = None,
        hull: dict[str, Any] | None = None,
        capacity: int = 4,
        report_s: float = 2.5,
        lease_s: float = 18.0,
        cancel_s: float = 43.0,
        run_s: float = 10.0,
    ) -> None:
        """The times are those of the site inkwell-reader-midlands unless given."""
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began_us = now_us()
        self.record_file = (folder / "record.txt").open("w", encoding="utf-8")
        self.directory = Path(tempfile.mkdtemp(prefix="ashtray-review-"))
        self.report_s, self.lease_s, self.cancel_s, self.run_s = report_s, lease_s, cancel_s, run_s
        self.hull = hull or SPINNER
        self.teams = teams or [TEAM]
        self.state = StateService(100.0, 25.0, 32.0, 16)
        self.cloud = Cloud([self.hull], capacity, 5.0, 3_000_000, 1_500_000)
        self.next_limits: dict[str, Any] = {}
        """The limits that the state service will have from some moment on, as the settings state them."""
        self.machines: dict[str, Machine] = {}
        self.hung: dict[str, asyncio.Event] = {}
        """For each hanging machine, an event that is set when it goes on."""
        self.orders: list[tuple[str, dict[str, Any]]] = []
        """The machine and the body of each direct command that was carried out."""
        self.jobs: dict[str, dict[str, Any]] = {}
        self.notes: list[tuple[float, str, dict[str, Any]]] = []
        self.controllers: dict[int, subprocess.Popen[bytes]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        ports = free_ports(1 + 3 * controllers)
        self.state_port, *ports = ports
        self.apis, self.peers, self.clouds = (ports[n * controllers : (n + 1) * controllers] for n in range(3))
        self.cloud_s = 0.0
        """How long the cloud takes for an answer."""
        self.on_cloud: Callable[[int, str, str, Any], None] = lambda node, method, path, body: None
        """Called with each request to the cloud; each controller has its own address of the cloud."""
        self.boot_s: Callable[[str], float] = lambda name: self.cloud.boot_us / 1e6
        self.log = (self.directory / "controllers.log").open("wb")

    # The record

    def seconds(self) -> float:
        """Return the time since the start."""
        return (now_us() - self.began_us) / 1e6

    def note(self, what: str, **fields: Any) -> None:
        """Write a line of the record."""
        at_s = self.seconds()
        self.notes.append((at_s, what, fields))
        texts = [f"{k}={v if isinstance(v, str) else json.dumps(v, default=str)}" for k, v in fields.items()]
        self.record_file.write(f"{at_s:8.3f} {what} {' '.join(texts)}\n")
        self.record_file.flush()

    # Controllers

    def settings(self, n: int) -> Path:
        """Write the settings of a controller and return their path."""
        others = "".join(
            f'\n[[others]]\nhost_name = "berth-{m}"\ndomain = "trent-rack"\npeer_addr = "127.0.0.1:{peer}"\n'
            for m, peer in enumerate(self.peers)
            if m != n
        )
        teams = "".join(
            "\n[[cluster.teams]]\n" + "".join(f"{k} = {json.dumps(v)}\n" for k, v in team.items())
            for team in self.teams
        )
        lower = "".join(f"{k} = {json.dumps(v)}\n" for k, v in self.next_limits.items())
        next_limits = f"\n[cluster.state.next]\n{lower}" if lower else ""
        file = self.directory / f"berth-{n}.toml"
        file.write_text(
            SETTINGS.format(
                n=n,
                api=self.apis[n],
                peer=self.peers[n],
                others=others,
                cloud=self.clouds[n],
                state=self.state_port,
                nodes=len(self.apis),
                teams=teams,
                next_limits=next_limits,
                report_s=self.report_s,
                lease_s=self.lease_s,
                cancel_s=self.cancel_s,
            ),
            encoding="utf-8",
        )
        return file

    def start_controller(self, n: int) -> None:
        """Start a controller with the command of the deploy file."""
        run = tomllib.loads((ROOT / "deploy" / "service.toml").read_text(encoding="utf-8"))["run"]
        environment = {k: v for k, v in os.environ.items() if k not in ("PYTHONPATH", "TROUBLE")}
        environment["LOG_LEVEL"] = os.environ.get("LOG_LEVEL", "info")
        command = [*shlex.split(run), str(self.settings(n))]
        self.controllers[n] = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log
        )
        self.note("controller started", host=f"berth-{n}")

    def signal_controller(self, n: int, number: signal.Signals) -> None:
        """Send a signal to a controller."""
        self.note("signal", host=f"berth-{n}", signal=number.name)
        self.controllers[n].send_signal(number)
        if number == signal.SIGKILL:
            self.controllers[n].wait()

    # The stand-ins

    async def start(self, start_controllers: bool = True) -> None:
        """Start the stand-ins and the controllers."""
        self.client = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self.cloud.address = lambda name: self.machines[name].endpoint if name in self.machines else ""
        self.cloud.on_rented = self._rented
        self.cloud.on_gone = self._gone
        await self._serve(self.state_port, self.state.handle)
        for n, port in enumerate(self.clouds):
            await self._serve(port, partial(self._cloud_request, n))
        if start_controllers:
            for n in range(len(self.apis)):
                self.start_controller(n)
            await self.until_up()

    async def until_up(self, limit_s: float = 20.0) -> None:
        """Wait until all controllers are healthy."""
        until_s = self.seconds() + limit_s
        for n in range(len(self.apis)):
            while (await self.call(n, "GET", "/up", limit_s=1.0))[0] != 200:
                if self.seconds() > until_s:
                    raise CouldNotRun(f"berth-{n} is not up")
                await asyncio.sleep(0.2)

    async def stop(self) -> None:
        """End all that was started."""
        for process in self.controllers.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.client.close()
        self.log.close()
        if os.environ.get("KEEP_LOG"):
            shutil.copy(self.directory / "controllers.log", os.environ["KEEP_LOG"])
        shutil.rmtree(self.directory, ignore_errors=True)
        self.record_file.close()

    def spawn(self, coroutine: Any) -> None:
        """Run a coroutine beside the others."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, port: int, handle: Any) -> web.BaseSite:
        async def answer(request: web.BaseRequest) -> web.Response:
            raw = await request.read()
            body = msgspec.msgpack.decode(raw) if raw else None
            status, reply = handle(now_us(), request.method, request.raw_path, body)
            if asyncio.iscoroutine(reply):
                status, reply = await reply
            return web.Response(
                status=status, body=msgspec.msgpack.encode(reply), headers={"Content-Type": "application/msgpack"}
            )

        runner = web.ServerRunner(web.Server(answer))
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", port)
        await site.start()
        return site

    def _cloud_request(self, n: int, at_us: int, method: str, path: str, body: Any) -> tuple[int, Any]:
        async def answer() -> tuple[int, Any]:
            await asyncio.sleep(self.cloud_s)
            return reply

        self.on_cloud(n, method, path, body)
        reply = self.cloud.handle(at_us, method, path, body)
        return 0, answer()

    def _rented(self, rented: Rented) -> None:
        self.note("rented", machine=rented.name, hull=rented.hull, loaners=rented.loaners)
        self.spawn(self._machine(rented))

    def _gone(self, name: str) -> None:
        self.note("deleted", machine=name)
        machine = self.machines.get(name)
        if machine is not None:
            machine.gone()
        if name in self.hung:
            self.hung.pop(name).set()

    async def _machine(self, rented: Rented) -> None:
        await asyncio.sleep(self.boot_s(rented.name))
        if rented.gone_us is not None:
            return
        port = free_ports(1)[0]
        machine = Machine(
            rented.name,
            f"127.0.0.1:{port}",
            self.hull,
            rented.yard,
            rented.loaners,
            int(self.lease_s * 1e6),
            self.jobs.get,
            lambda key: int(self.jobs[key[0]].get("run_s", self.run_s) * 1e6),
            self.note,
            renewed_us=now_us(),
        )
        self.machines[rented.name] = machine

        def handle(at_us: int, method: str, path: str, body: Any) -> tuple[int, Any]:
            return 0, self._direct(rented, machine, path, body)

        site = await self._serve(port, handle)
        self.note("up", machine=rented.name)
        node = random.randrange(len(self.apis))
        try:
            while rented.gone_us is None:
                began_s = self.seconds()
                machine.changed = False
                node = await self._report(rented, machine, node)
                pause_s = self.report_s * random.uniform(0.75, 1.25)
                while rented.gone_us is None and self.seconds() < began_s + pause_s:
                    await asyncio.sleep(0.05)
                    await self._while_hung(rented.name)
                    machine.advance(now_us())
                    if machine.changed and self.seconds() > began_s + 0.5:
                        break
        finally:
            await site.stop()

    async def _while_hung(self, name: str) -> None:
        while name in self.hung:
            with contextlib.suppress(KeyError):
                await self.hung[name].wait()

    async def _direct(self, rented: Rented, machine: Machine, path: str, body: Any) -> tuple[int, Any]:
        await self._while_hung(rented.name)
        if rented.gone_us is not None:
            await asyncio.sleep(3600)
        machine.advance(now_us())
        if path != "/orders":
            return 200, machine.report()
        status, reply = machine.ordered(now_us(), body)
        if status == 200:
            self.orders.append((rented.name, body))
        return status, reply

    async def _report(self, rented: Rented, machine: Machine, node: int) -> int:
        """Send one report; return the node that gets the next one."""
        await self._while_hung(rented.name)
        if rented.gone_us is not None:
            return node
        machine.advance(now_us())
        session, sent_us = machine.session, now_us()
        status, body, size = 0, None, 0
        with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
            data = msgspec.msgpack.encode(machine.report())
            size = len(data)
            status, body = await self._post(self.apis[node], "/hello", data, 4.0)
        if rented.gone_us is not None:
            return node
        await self._while_hung(rented.name)
        if status == 200 and now_us() - sent_us < 4_000_000:
            machine.advance(now_us())
            machine.answered(now_us(), sent_us, session, body)
            return node
        if status == 421 and isinstance(body, dict) and body.get("foreman"):
            named = int(body["foreman"].removeprefix("berth-"))
            if named != node and 0 <= named < len(self.apis):
                return named
        self.note("report not taken", machine=rented.name, node=node, status=status, body=body, bytes=size)
        await asyncio.sleep(1.0)
        return (node + 1) % len(self.apis)

    async def _post(self, port: int, path: str, data: bytes, limit_s: float) -> tuple[int, Any]:
        timeout = aiohttp.ClientTimeout(total=limit_s)
        async with self.client.post(f"http://127.0.0.1:{port}{path}", data=data, timeout=timeout) as response:
            raw = await response.read()
            return response.status, msgspec.msgpack.decode(raw) if raw else None

    async def send_copy(self, name: str, body: dict[str, Any]) -> None:
        """Let the network deliver a copy of a direct command to a machine; nobody gets its answer."""
        self.note("copy of a command arrives", machine=name, body=body)
        port = int(self.machines[name].endpoint.rpartition(":")[2])
        status, _ = await self._post(port, "/orders", msgspec.msgpack.encode(body), 5.0)
        self.note("copy answered", machine=name, status=status)

    # Users

    async def call(self, n: int, method: str, path: str, body: Any = None, limit_s: float = 2.0) -> tuple[int, Any]:
        """Send a request to a controller; the status is 0 without an answer."""
        try:
            timeout = aiohttp.ClientTimeout(total=limit_s)
            data = None if body is None else msgspec.msgpack.encode(body)
            async with self.client.request(
                method, f"http://127.0.0.1:{self.apis[n]}{path}", data=data, timeout=timeout
            ) as response:
                raw = await response.read()
                return response.status, msgspec.msgpack.decode(raw) if raw else None
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError):
            return 0, None

    async def repeated(self, method: str, path: str, body: Any, final: tuple[int, ...], first: int = 0) -> Any:
        """Send a user's request until it gets one of these statuses, for up to 60 s; return the answer."""
        until_s = self.seconds() + 60
        n = first
        while self.seconds() < until_s:
            status, answer = await self.call(n % len(self.apis), method, path, body, 5.0)
            self.note("user", method=method, path=path, node=n % len(self.apis), status=status, answer=answer)
            if status in final:
                return status, answer
            n += 1
            await asyncio.sleep(1.0)
        return 0, None

    async def submit(self, name: str, first: int = 0, run_s: float | None = None, **fields: Any) -> Any:
        """Submit a job, as an array unless `fields` say otherwise."""
        job = {
            "name_id": name,
            "lane": "page-prep",
            "crew": self.teams[0]["name"],
            "shape": "batch",
            "urgency": "standard",
            "pieces": 1,
            "cpus": 4.0,
            "cards": 0.0,
            "memory_gb": 8.0,
            "bundle": "img-07",
            "image_gb": 1.0,
            "hulls": None,
            "yard": None,
            "same_place": False,
            "spread": False,
            "loaners": False,
            "expect_s": self.run_s if run_s is None else run_s,
            "snapshot_every_s": 0.0,
            "snapshot_cost_s": 0.0,
            "due_s": None,
            **fields,
        }
        self.jobs[name] = {**job, **({} if run_s is None else {"run_s": run_s})}
        return await self.repeated("POST", "/submissions", job, (200, 201, 400, 422), first)

    async def abort(self, name: str, first: int = 0) -> Any:
        """Cancel a job."""
        return await self.repeated("POST", f"/submissions/{name}/abort", None, (200, 404), first)

    async def poll(self, name: str, n: int = 0) -> tuple[int, Any]:
        """Ask a controller for a job's state."""
        status, answer = await self.call(n, "GET", f"/submissions/{name}")
        self.note("user", method="GET", path=f"/submissions/{name}", node=n, status=status, answer=answer)
        return status, answer

    def leader(self) -> int | None:
        """Return the controller that the fleet's key names now."""
        self.state.expire(now_us())
        found = self.state.keys.get("ashtray/now/fleet")
        return None if found is None else int(found[0]["host"].removeprefix("berth-"))

    def running(self, job: str | None = None) -> list[tuple[str, Any]]:
        """Return the machine and the key of each task that is on a machine now."""
        return [
            (name, task.key)
            for name, machine in self.machines.items()
            for task in machine.on_machine()
            if job in (None, task.key[0])
        ]

    async def until(self, what: str, condition: Any, limit_s: float) -> None:
        """Wait until a condition holds."""
        until_s = self.seconds() + limit_s
        while not condition():
            if self.seconds() > until_s:
                raise CouldNotRun(f"not reached in {limit_s:.0f} s: {what}")
            await asyncio.sleep(0.02)


def play(stage_of: Any, case: Any) -> None:
    """Play a case and end with its status."""

    async def main() -> int:
        stage = stage_of()
        this = asyncio.current_task()
        assert this is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, this.cancel)
        try:
            async with asyncio.timeout(112):
                broken = await case(stage)
            stage.note("verdict", broken=broken or "the rule held")
            print(f"{'broken: ' + broken if broken else 'the rule held'}")
            return BROKEN if broken else HELD
        except (CouldNotRun, TimeoutError, asyncio.CancelledError) as error:
            stage.note("could not run", why=str(error) or "time is up")
            print(f"could not run: {error or 'time is up'}")
            return COULD_NOT_RUN
        except Exception:
            # A fault of the script says nothing about the rule.
            traceback.print_exc()
            return COULD_NOT_RUN
        finally:
            await stage.stop()

    sys.exit(asyncio.run(main()))
