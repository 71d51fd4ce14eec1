"""Profile the processor time and memory of a controller without the bench: real cores on simulated services.

    python tools/ledger.py [--controllers 5] [--machines 550] [--seconds 120] [--after 60] [--load 1.0] [--top 30]
                           [--start] [--json]

The controllers run a fleet with gangs, arrays and cancellations; the core of one controller is profiled.  The first
table has the time of this core by duty, from `--after` on (with `--start`: for the ten seconds after all controllers
crashed together at that moment).  Its times are measured on this machine under the profiler and vary; the counts of
work per simulated second in the second table are the same for the same arguments.  Then follow the memory that the
cluster state takes and its peak while it is read from the state service, and the functions that took most time.

The costs of the daemon are not included: sockets, HTTP, encoding of MessagePack, imports and garbage collection.

Exit codes: 0 done, 2 the arguments cannot be used.
"""

from __future__ import annotations

import argparse
import cProfile
import gc
import json
import os
import pstats
import random
import sys
import tracemalloc
from collections import Counter
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

import msgspec  # noqa: E402

from ashtray.config.operators import OperatorSettings  # noqa: E402
from ashtray.config.settings import Settings  # noqa: E402
from ashtray.placement.cluster_state import ClusterState  # noqa: E402
from tests import model as models  # noqa: E402

SECOND = 1_000_000
CPU, GPU = "cpu", "gpu"
DUTIES = {
    "reports": "worker_manager.py:on_report",
    "orders and folds": "worker_manager.py:_reconcile_worker",
    "folding": "fold_scheduler.py:run",
    "following": "follower.py:_round",
    "planning": "placer.py:_round",
    "renting": "fleet_manager.py:round",
    "splitting": "splitting.py:run",
    "tidying": "completed_jobs.py:run",
    "users": "service.py:poll",
    "submissions": "service.py:_submit",
    "look-ups": "service.py:_look_up",
    "needs": "service.py:resolve",
    "words to peers": "presence.py:_send",
    "words from peers": "presence.py:on_heartbeat",
    "estimates": "estimate_store.py:run",
}
"""The outermost function of each duty, as FILE:FUNCTION; a duty's time includes all functions that it calls."""


class Fleet(models.Model):
    """The model of the tests at another size, with the core of controller 0 profiled."""

    def __init__(self, controllers: int, machines: int, load: float, seed: int = 1) -> None:
        self.size, self.load = machines, load
        self.profile: cProfile.Profile | None = None
        self.counts: Counter[str] = Counter()
        super().__init__(seed, controllers, OperatorSettings())
        self.cloud.capacity = machines
        self.state.txn_ops = 16
        self.state.write_rps = 25.0
        self.users = random.Random(seed)
        self.number = 0

    def _taken(self, host: models.Host, life: int, take: Any) -> Any:
        if host.number or self.profile is None or host.core is None:
            return super()._taken(host, life, take)
        self.counts["inputs"] += 1
        profile = self.profile

        def watched(core: Any) -> Any:
            profile.enable()
            try:
                return take(core)
            finally:
                profile.disable()

        return super()._taken(host, life, watched)

    def _run_us(self, key: Any) -> int:
        # The median is 100 s for gangs and 40 s for arrays.
        median = 100.0 if self.jobs[key[0]].spec["shape"] == "gang" else 40.0
        return int(random.Random(f"{key[0]}/{key[2]}").lognormvariate(0.0, 0.4) * median * SECOND)

    def arrive(self) -> None:
        """Submit a job and schedule the next; at a load of 1 the fleet can just run the jobs."""
        rate = 2.0 * self.load * self.size / 550
        self.at(int(self.users.expovariate(rate) * SECOND), self.arrive)
        self.number += 1
        job = f"job-{self.number:06}"
        if self.users.random() < 0.6:
            spec = models.submission(
                job,
                shape="gang",
                urgency="urgent",
                pieces=self.users.choice([3, 3, 6, 12]),
                cpus=15.0,
                memory_gb=50.0,
                loaners=False,
                lane="renders",
                expect_s=100.0,
                bundle=f"img-{self.users.randrange(18)}",
                image_gb=2.5,
                snapshot_every_s=15.0,
                snapshot_cost_s=5.0,
            )
        else:
            pieces = min(max(int(self.users.lognormvariate(3.4, 0.7)), 1), 150)
            spec = models.submission(
                job,
                pieces=pieces,
                cpus=10.0,
                cards=1.0,
                memory_gb=36.0,
                urgency="idle",
                lane="panels",
                expect_s=40.0,
                crew="free",
                bundle=f"img-{self.users.randrange(5)}",
                image_gb=5.0,
            )
        self.submit(spec)
        if self.users.random() < 0.04:
            self.at(int(self.users.uniform(1, 40) * SECOND), lambda: self.cancel(job))


def scale() -> None:
    """Set the constants and settings of the model to those of a large deployment."""
    models.LEASE_S, models.CANCEL_S, models.REPORT_S = 18.0, 43.0, 2.5
    models.GANG_WAIT_S, models.GANG_PEER_S = 35.0, 4.0
    models.TYPES = [
        {
            "name": CPU,
            "cpus": 16.0,
            "cards": 0.0,
            "memory_gb": 64.0,
            "local_gb": 60.0,
            "pull_gb_per_s": 0.2,
            "rate": 0.86,
            "spot_price": 0.2,
            "ready_s": 20.0,
            "yards": ["a"],
        },
        {
            "name": GPU,
            "cpus": 96.0,
            "cards": 8.0,
            "memory_gb": 384.0,
            "local_gb": 80.0,
            "pull_gb_per_s": 0.6,
            "rate": 27.16,
            "spot_price": 6.91,
            "ready_s": 25.0,
            "yards": ["a"],
        },
    ]
    models.TEAM = {"name": "crew", "cpus": 10_000.0, "cpus_max": 25_000.0, "gpus": 0.0, "gpus_max": 0.0}
    small = models.settings_for

    def large(host: int, hosts: int, following: Any = None, kind: Any = Settings) -> Any:
        settings = msgspec.to_builtins(small(host, hosts, following, kind))
        settings["cluster"]["zones"] = ["a"]
        settings["cluster"]["state"].update(rps=100.0, write_rps=25.0, txn_ops=16)
        settings["cluster"]["objectives"] = [
            {"kind": "wait", "lane": "renders", "within_s": 30.0, "share": 0.9},
        ]
        return msgspec.convert(settings, kind)

    models.settings_for = large


def ledger(profile: cProfile.Profile, seconds: float, top: int) -> dict[str, Any]:
    """Return the time of the profiled core, in seconds per simulated second, by duty and by function."""
    stats = pstats.Stats(profile)
    by_name: dict[str, tuple[int, float, float]] = {}
    for (file, _, name), (_, calls, own, total, _) in stats.stats.items():  # type: ignore[attr-defined]
        key = f"{Path(file).name}:{name}" if file != "~" else name
        old = by_name.get(key, (0, 0.0, 0.0))
        by_name[key] = old[0] + calls, old[1] + own, old[2] + total
    whole = sum(own for _, own, _ in by_name.values())
    duties = {duty: by_name.get(key, (0, 0.0, 0.0)) for duty, key in DUTIES.items()}
    own = sorted(by_name.items(), key=lambda entry: -entry[1][1])[:top]
    total = sorted(by_name.items(), key=lambda entry: -entry[1][2])[: 2 * top]
    return {
        "seconds": whole / seconds,
        "duties": {name: total / seconds for name, (_, _, total) in duties.items()},
        "own": {name: (calls / seconds, own / seconds) for name, (calls, own, _) in own},
        "total": {name: (calls / seconds, total / seconds) for name, (calls, _, total) in total},
    }


def memory(fleet: Fleet) -> dict[str, float]:
    """Build a cluster state from all stored records; return its size, its memory and its peak memory, in MB."""
    items = [
        (key, value, stamp) for key, (value, stamp, _) in fleet.state.keys.items() if key.startswith("ashtray/now/")
    ]
    raw = msgspec.msgpack.encode([[key, value] for key, value, _ in items])
    stamps = [stamp for _, _, stamp in items]
    gc.collect()
    tracemalloc.start()
    cluster_state = ClusterState()
    for (key, value), stamp in zip(msgspec.msgpack.decode(raw), stamps, strict=True):
        cluster_state.put(key, value, stamp)
    cluster_state.waiting()
    now, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "machines": len(cluster_state.machines),
        "jobs": len(cluster_state.jobs),
        "stored MB": len(raw) / 1e6,
        "cluster state MB": now / 1e6,
        "peak MB": peak / 1e6,
    }


def main() -> int:
    """Run the model and print the time and memory of one core; returns the exit code."""
    if os.environ.get("PYTHONHASHSEED") != "0":
        # The counts depend on the iteration order of sets, which varies with the hash seed.
        os.execve(sys.executable, [sys.executable, *sys.argv], {**os.environ, "PYTHONHASHSEED": "0"})
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--controllers", type=int, default=5)
    parser.add_argument("--machines", type=int, default=550)
    parser.add_argument("--seconds", type=float, default=120.0, help="simulated seconds that are profiled")
    parser.add_argument("--after", type=float, default=60.0, help="simulated seconds before the profile begins")
    parser.add_argument(
        "--load", type=float, default=1.0, help="submitted work, as a factor of what the fleet can run"
    )
    parser.add_argument("--top", type=int, default=30, help="rows of the tables of functions")
    parser.add_argument(
        "--start", action="store_true", help="profile the ten seconds after all controllers crash together"
    )
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args()
    if min(args.controllers, args.machines, args.seconds, args.after, args.load, args.top) <= 0:
        parser.error("all numbers must be above 0")
    scale()
    fleet = Fleet(args.controllers, args.machines, args.load)
    fleet.run(2)
    fleet.arrive()
    fleet.run(args.after)
    seconds = 10.0 if args.start else args.seconds
    fleet.profile = cProfile.Profile()
    if args.start:
        for host in fleet.hosts:
            fleet.crash(host.number, 0.3)
    changes = fleet.state.revision
    # The garbage collector would search the objects of all cores and services, which is not this core's time.
    gc.disable()
    fleet.run(seconds)
    gc.enable()
    found = ledger(fleet.profile, seconds, args.top)
    fleet.profile = None
    found["counts"] = {
        "inputs": fleet.counts["inputs"] / seconds,
        "machines": float(len(fleet.workers)),
        "jobs done": float(sum(job.told == "done" for job in fleet.jobs.values())),
        "jobs": float(len(fleet.jobs)),
        "revisions": (fleet.state.revision - changes) / seconds,
    }
    found["memory"] = memory(fleet)
    if args.json:
        print(json.dumps(found, indent=1))
        return 0
    print(f"a core's time: {1000 * found['seconds']:.1f} ms a second, profiled")
    for title, rows in (
        ("by duty, ms a second", found["duties"]),
        ("counts", found["counts"]),
        ("memory", found["memory"]),
    ):
        print(f"\n{title}")
        for name, value in sorted(rows.items(), key=lambda row: -row[1]):
            print(f"  {name:22} {1000 * value if 'duty' in title else value:10.2f}")
    for title in ("own", "total"):
        print(f"\n{title} time by function: calls and ms a second")
        for name, (calls, value) in found[title].items():
            print(f"  {name:44} {calls:10.1f} {1000 * value:9.2f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
