"""What all parts of the model share: durations, machine types, settings, submissions and the state of each job."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from ashtray.config.settings import Settings
from ashtray.inbox import Inbox

SECOND = 1_000_000
LEASE_S, CANCEL_S, REPORT_S, GANG_WAIT_S, GANG_PEER_S = 8.0, 20.0, 1.5, 15.0, 2.0
FORGOTTEN_S = 75
"""A job counts as forgotten once no query about it has been answered for this long after the end of all troubles."""
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
"""The announced limits of the state service: the size of a value (KiB) and the writes of one transaction."""


def settings_for(host: int, hosts: int, following: Next | None = None, kind: Any = Settings) -> Any:
    """The settings of one of `hosts` controllers, converted to the class `kind`."""
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
    """What a user submits for a job of three small tasks; `over` replaces or adds fields."""
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
    """A controller, whether its process runs or not."""

    number: int
    core: Any = None
    life: int = 0
    """Counts its starts and ends, so that events of an earlier process are dropped."""
    time_of_day_offset_us: int = 0
    drift_ppm: int = 0
    """By how much its monotonic clock runs fast (ppm)."""
    timer_us: int | None = None
    """When (us) the next wake-up of its core is due."""
    old: bool = False
    """Whether it runs the previous version."""
    halts_us: int = 0
    """How long its process pauses after the next input, before the outputs of that input are sent; 0: not at all."""
    halted_until: int = 0
    """Until when (us) its process is paused."""
    slow_us: int = 0
    """How long each input occupies it: it falls behind when inputs arrive faster."""
    inbox: Inbox = field(default_factory=Inbox)
    """Inputs that arrived while it was occupied."""
    busy: bool = False
    """Whether it is occupied with an input."""
    refused_until: int = 0
    """Until when (us) the state service refuses this controller alone."""


@dataclass
class UserJob:
    """A job: its user's requests, the answers given to users, and what its tasks did on the machines."""

    spec: dict[str, Any]
    accepted_us: int | None = None
    cancel_asked: bool = False
    cancelled_us: int | None = None
    told: str | None = None
    """The final state that a user was told first; None before that."""
    told_us: int = 0
    known_us: int | None = None
    """When (us) a user first received an answer that shows the job to be known."""
    finished: set[int] = field(default_factory=set)
    """The tasks that have completed."""


@dataclass(frozen=True)
class LateStart:
    """A task that started after a user was told that its job was cancelled."""

    job: str
    task: int
    machine: str
    after_us: int
    """How long after the first user was told (us)."""
    way: str = field(default="", compare=False)
    """How its start order was sent, and whether it was sent and executed before the first user was told."""
