"""What all parts of the model share: times, machine types, settings, submissions, and what is kept of each job."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from ashtray.config.settings import Settings
from ashtray.inbox import Inbox

SECOND = 1_000_000
LEASE_S, CANCEL_S, REPORT_S, GANG_WAIT_S, GANG_PEER_S = 8.0, 20.0, 1.5, 15.0, 2.0
FORGOTTEN_S = 75
"""A job about which no question is answered for so long, once all troubles are over, is forgotten."""
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
        "ready_s": 5.0,
        "yards": ["a", "b"],
    },
    {
        "name": "big",
        "cpus": 8.0,
        "cards": 2.0,
        "memory_gb": 32.0,
        "local_gb": 20.0,
        "pull_gb_per_s": 1.0,
        "rate": 4.0,
        "spot_price": 1.5,
        "ready_s": 5.0,
        "yards": ["a"],
    },
]
TEAM = {"name": "crew", "cpus": 8.0, "cpus_max": 24.0, "gpus": 0.0, "gpus_max": 0.0}


Next = tuple[float, int]
"""The KiB of a value and the changes of a transaction that are to come."""


def settings_for(host: int, hosts: int, following: Next | None = None, kind: Any = Settings) -> Any:
    """The settings of one controller of several; `kind` is the class that they are converted to."""
    state: dict[str, Any] = {"rps": 200.0, "write_rps": 60.0, "value_kb": 32.0, "txn_ops": 12}
    if following is not None:
        state["next"] = {"write_rps": 45.0, "value_kb": following[0], "txn_ops": following[1]}
    return msgspec.convert(
        {
            "host_name": f"berth-{host}",
            "domain": "a",
            "api_addr": f"c{host}:1",
            "cluster_listen": f"p{host}:1",
            "others": [{"host_name": f"berth-{n}", "peer_addr": f"p{n}:1"} for n in range(hosts) if n != host],
            "services": {"cloud": "cloud:1", "state": "state:1"},
            "cluster": {
                "nodes": hosts,
                "zones": ["a", "b"],
                "teams": [TEAM, {"name": "free"}],
                "workers": {
                    "report_s": REPORT_S,
                    "lease_s": LEASE_S,
                    "gang_wait_s": GANG_WAIT_S,
                    "gang_peer_s": GANG_PEER_S,
                    "cancel_s": CANCEL_S,
                },
                "state": state,
                "cloud": {"rps": 5.0, "list_lag_s": 2.0},
            },
        },
        kind,
    )


def submission(job: str, **over: Any) -> dict[str, Any]:
    """What a user submits for a job of three small tasks, but for what `over` says."""
    base = {
        "name_id": job,
        "lane": "any",
        "crew": "crew",
        "shape": "batch",
        "urgency": "standard",
        "pieces": 3,
        "cpus": 2.0,
        "cards": 0.0,
        "memory_gb": 4.0,
        "bundle": "img",
        "image_gb": 1.0,
        "hulls": None,
        "yard": None,
        "same_place": False,
        "spread": False,
        "loaners": True,
        "expect_s": 6.0,
        "snapshot_every_s": 0.0,
        "snapshot_cost_s": 0.0,
        "due_s": None,
    }
    return {**base, **over}


class RuleBroken(AssertionError):
    """A rule of the protocol, or an expectation of the users, was broken."""


@dataclass
class Host:
    """A controller process, or where it was."""

    number: int
    core: Any = None
    life: int = 0
    skew_us: int = 0
    drift_ppm: int = 0
    """By how much its steady clock runs fast."""
    timer_us: int | None = None
    old: bool = False
    """It runs the version in production before."""
    halts_us: int = 0
    """It is to stand still for so long after the next input, before what that led to goes out."""
    halted_until: int = 0
    slow_us: int = 0
    """What an input takes it, beside the time of its timers: it falls behind when more comes."""
    inbox: Inbox = field(default_factory=Inbox)
    """What came meanwhile."""
    busy: bool = False
    refused_until: int = 0
    """Until when the state service refuses this controller alone."""


@dataclass
class UserJob:
    """A job as its user and the machines know it."""

    spec: dict[str, Any]
    accepted_us: int | None = None
    cancel_asked: bool = False
    cancelled_us: int | None = None
    told: str | None = None
    told_us: int = 0
    known_us: int | None = None
    """When a user was first told of it, by whatever answer."""
    finished: set[int] = field(default_factory=set)


@dataclass(frozen=True)
class LateStart:
    """A task that started after a user was told that its job is cancelled."""

    job: str
    task: int
    machine: str
    after_us: int
    """How long after the first user was told."""
    way: str = field(default="", compare=False)
    """How its start order came, and whether that was sent, and arrived, before the first user was told."""
