"""Serve the fakes on the loopback interface, for tests of the real daemon and for trying ashtray out.

    python -m tests.fakes.serve --dir DIR [--controllers N] [--port PORT]

writes a settings file for each controller into DIR and serves a state service, a cloud and its workers until it
is interrupted.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import time
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from tests.fakes.cloud import Cloud, Rented
from tests.fakes.state import State
from tests.fakes.worker import Key, Worker, World

TYPES = [
    {
        "name": "small",
        "cpus": 4.0,
        "cards": 0.0,
        "memory_gb": 16.0,
        "local_gb": 20.0,
        "pull_gb_per_s": 1.0,
        "rate": 1.0,
        "spot_price": 0.4,
        "ready_s": 0.5,
        "yards": ["a"],
    },
]
SETTINGS = """host_name = "berth-{n}"
domain = "a"
api_addr = "127.0.0.1:{api}"
cluster_listen = "127.0.0.1:{peer}"
{others}
[services]
cloud = "127.0.0.1:{cloud}"
state = "127.0.0.1:{state}"
[cluster]
nodes = {nodes}
zones = ["a"]
clock_off_ms = 100.0
[[cluster.teams]]
name = "crew"
cpus = 8.0
cpus_max = 16.0
[cluster.workers]
report_s = 0.6
lease_s = 6.0
gang_wait_s = 10.0
gang_peer_s = 2.0
cancel_s = 15.0
[cluster.state]
rps = 200.0
write_rps = 60.0
value_kb = 32.0
txn_ops = 16
[cluster.cloud]
rps = 10.0
list_lag_s = 1.0
"""


def now_us() -> int:
    """The monotonic time in microseconds."""
    return time.monotonic_ns() // 1000


class Stage:
    """The services around the controllers: a state service, a cloud and the workers on its machines."""

    def __init__(self, directory: Path, controllers: int, port: int, run_s: float = 1.0) -> None:
        self.directory = directory
        self.port = port
        self.run_us = int(run_s * 1e6)
        self.apis = [port + 10 + n for n in range(controllers)]
        self.state = State()
        self.cloud = Cloud(TYPES, boot=self._boot, on_delete=self._end, lag_us=1_000_000, address=self._address)
        self.workers: dict[str, Worker] = {}
        self.sites: dict[str, web.BaseSite] = {}
        self.described: dict[str, dict[str, Any]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def write_settings(self) -> list[Path]:
        """Write a settings file for each controller, and return their paths."""
        files = []
        for n, api in enumerate(self.apis):
            others = "".join(
                f'[[others]]\nhost_name = "berth-{m}"\npeer_addr = "127.0.0.1:{other + 100}"\n'
                for m, other in enumerate(self.apis)
                if m != n
            )
            file = self.directory / f"berth-{n}.toml"
            file.write_text(
                SETTINGS.format(
                    n=n,
                    api=api,
                    peer=api + 100,
                    others=others,
                    cloud=self.port + 1,
                    state=self.port,
                    nodes=len(self.apis),
                )
            )
            files.append(file)
        return files

    async def start(self) -> None:
        """Start to serve the state service and the cloud."""
        self.client = aiohttp.ClientSession()
        await self._serve(self.port, self.state.handle)
        await self._serve(self.port + 1, self.cloud.handle)

    async def stop(self) -> None:
        """End all workers and close the connections to the controllers."""
        for task in self.tasks:
            task.cancel()
        await self.client.close()

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, port: int, handle: Any) -> web.BaseSite:
        async def answer(request: web.BaseRequest) -> web.Response:
            raw = await request.read()
            body = msgspec.msgpack.decode(raw) if raw else None
            status, reply = handle(now_us(), request.method, request.raw_path, body)
            return web.Response(status=status, body=msgspec.msgpack.encode(reply))

        runner = web.ServerRunner(web.Server(answer))
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", port)
        await site.start()
        return site

    def _address(self, name: str) -> str:
        return f"127.0.0.1:{self.port + 200 + int(name.removeprefix('vm-'))}"

    def _boot(self, machine: Rented) -> int:
        self._spawn(self._worker(machine))
        return 500_000

    def _end(self, name: str) -> None:
        self.workers.pop(name, None)

    def _describe(self, job: str) -> dict[str, Any] | None:
        """What a worker knows of a job: read from its record in the state service, and kept after the record is gone.

        Real workers get it from the users.
        """
        found = self.state.keys.get(f"ashtray/now/job/{job}")
        if found is not None:
            spec = found[0]["spec"]
            self.described[job] = {
                "shape": spec["kind"],
                "bundle": spec["image"],
                "pieces": spec["tasks"],
                "snapshot_every_s": spec.get("checkpoint_us", 0) / 1e6,
                "snapshot_cost_s": spec.get("save_us", 0) / 1e6,
            }
        return self.described.get(job)

    def _gang_ready(self, job: str, attempt: int) -> bool:
        spec = self._describe(job)
        there = {
            k[2]
            for w in self.workers.values()
            for k, t in w.tasks.items()
            if k[:2] == (job, attempt) and t.on_machine
        }
        return spec is not None and len(there) == spec["pieces"]

    async def _worker(self, machine: Rented) -> None:
        await asyncio.sleep(0.5)
        if machine.ended_us is not None:
            return
        address = self._address(machine.name)

        def run_us(key: Key) -> int:
            return self.run_us

        world = World(self._describe, run_us, gang_ready=self._gang_ready)
        worker = Worker(
            machine.name,
            machine.type,
            machine.zone,
            machine.spot,
            address,
            6_000_000,
            10_000_000,
            world,
            fetch_us=100_000,
            renewed_us=now_us(),
        )
        self.workers[machine.name] = worker

        def handle(now: int, method: str, path: str, body: Any) -> tuple[int, Any]:
            return worker.orders(now, body) if path == "/orders" else (200, worker.report())

        site = await self._serve(int(address.rpartition(":")[2]), handle)
        node = 0
        while self.workers.get(machine.name) is worker:
            worker.advance(now_us())
            node = await self._report(worker, node)
            for _ in range(5):
                await asyncio.sleep(0.1)
                if worker.advance(now_us()):
                    break
        await site.stop()

    async def _report(self, worker: Worker, node: int) -> int:
        report, sent, sent_us = worker.report(), (worker.session, worker.tick), now_us()
        try:
            url = f"http://127.0.0.1:{self.apis[node]}/hello"
            timeout = aiohttp.ClientTimeout(total=4)
            async with self.client.post(url, data=msgspec.msgpack.encode(report), timeout=timeout) as response:
                body = msgspec.msgpack.decode(await response.read())
                if response.status == 200:
                    worker.take_answer(now_us(), sent, sent_us, body)
                    return node
                if response.status == 421 and "foreman" in body:
                    return int(body["foreman"].removeprefix("berth-"))
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError):
            pass
        await asyncio.sleep(0.5)
        return (node + 1) % len(self.apis)


async def _main(args: argparse.Namespace) -> None:
    directory = Path(args.dir)
    directory.mkdir(parents=True, exist_ok=True)
    stage = Stage(directory, args.controllers, args.port, args.run_s)
    await stage.start()
    for file, api in zip(stage.write_settings(), stage.apis, strict=True):
        print(f"{file}: a controller on 127.0.0.1:{api}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    options = argparse.ArgumentParser(description="Serve fakes of a state service, a cloud and its workers.")
    options.add_argument("--dir", required=True, help="where the settings files are written")
    options.add_argument("--controllers", type=int, default=1)
    options.add_argument("--port", type=int, default=28000, help="the first of the ports to use")
    options.add_argument("--run-s", type=float, default=5.0, help="how long a task runs")
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_main(options.parse_args()))
