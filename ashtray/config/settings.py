"""The settings file that the platform provides for each controller."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated

import msgspec

Positive = Annotated[float, msgspec.Meta(gt=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]


class SettingsError(Exception):
    """A settings file that cannot be used; the message names the file and the field."""


class Peer(msgspec.Struct, frozen=True):
    """Another controller."""

    host_name: str
    peer_addr: str
    domain: str = ""


class Services(msgspec.Struct, frozen=True):
    """The addresses of the cloud and of the state service, as HOST:PORT."""

    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    """A team's guarantees and limits, in CPUs and GPUs; 0 means none."""

    name: str
    cpus: NonNegative = 0.0
    cpus_max: NonNegative = 0.0
    gpus: NonNegative = 0.0
    gpus_max: NonNegative = 0.0


class Objective(msgspec.Struct, frozen=True):
    """An objective of the users for a job class: its kind, a time, and the share of jobs that should meet it."""

    kind: str
    job_class: str | None = msgspec.field(default=None, name="class")
    within_s: float | None = None
    share: float | None = None


class WorkerTimes(msgspec.Struct, frozen=True):
    """The intervals and time limits of the workers' protocol, in seconds."""

    report_s: Positive
    lease_s: Positive
    gang_wait_s: Positive
    gang_peer_s: Positive
    cancel_s: Positive


class NextLimits(msgspec.Struct, frozen=True):
    """Limits that the state service will change to at some moment, without notice."""

    write_rps: Positive
    value_kb: Annotated[float, msgspec.Meta(ge=1)]
    txn_ops: Annotated[int, msgspec.Meta(ge=4)]


class StateLimits(msgspec.Struct, frozen=True):
    """Limits of the state service: requests and writes per second, KiB per value, operations per transaction."""

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Annotated[int, msgspec.Meta(ge=4)]
    next: NextLimits | None = None


class CloudLimits(msgspec.Struct, frozen=True):
    """Limits of the cloud: requests per second, and by how many seconds its list of rentals may lag."""

    rps: Positive
    list_lag_s: NonNegative


class Quota(msgspec.Struct, frozen=True):
    """What a controller process may use: a share of a processor core, memory in MiB, and sockets."""

    cpu_share: Positive = 1.0
    ram_mb: Positive = 1024.0
    sockets: Annotated[int, msgspec.Meta(gt=0)] = 1024


class Cluster(msgspec.Struct, frozen=True):
    """What all controllers of a deployment share."""

    zones: list[str]
    workers: WorkerTimes
    state: StateLimits
    cloud: CloudLimits
    nodes: int = 1
    clock_off_ms: NonNegative = 1000.0
    teams: list[Team] = msgspec.field(default_factory=list)
    objectives: list[Objective] = msgspec.field(default_factory=list)
    quota: Quota = msgspec.field(default_factory=Quota)


class Settings(msgspec.Struct, frozen=True):
    """The settings file of one controller."""

    host_name: str
    api_addr: str
    cluster_listen: str
    services: Services
    cluster: Cluster
    domain: str = ""
    others: list[Peer] = msgspec.field(default_factory=list)


RECOMMENDED_RAM_MB, RECOMMENDED_CPU_SHARE = 80.0, 0.15
"""Quotas below these cause a warning: in simulated runs with 550 machines a controller used up to 61 MB, and 0.12 of
a core on average."""


def warnings(settings: Settings) -> list[str]:
    """Return a warning line for each setting that is valid but too low in practice."""
    quota, found = settings.cluster.quota, []
    if quota.ram_mb < RECOMMENDED_RAM_MB:
        found.append(f"cluster.quota.ram_mb: {quota.ram_mb:g} is low: 550 machines took up to 61")
    if quota.cpu_share < RECOMMENDED_CPU_SHARE:
        found.append(f"cluster.quota.cpu_share: {quota.cpu_share:g} is low: 550 machines took 0.12 on average")
    return found


def _check_address(file: Path, field: str, value: str) -> None:
    host, colon, port = value.rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise SettingsError(f"{file}: {field}: expected HOST:PORT, got {value!r}")


def load_settings(path: str) -> Settings:
    """Read and check the platform's settings file; raises `SettingsError` with one line."""
    file = Path(path)
    try:
        raw = tomllib.loads(file.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{file}: {error.strerror or error}") from None
    except UnicodeDecodeError:
        raise SettingsError(f"{file}: not UTF-8 text") from None
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{file}: not TOML: {error}") from None
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as error:
        reason, _, where = str(error).partition(" - at `$")
        field = where.rstrip("`").lstrip(".")
        if "missing required field" in reason:
            name = reason.rsplit("`", 2)[1]
            field = f"{field}.{name}" if field else name
            reason = "missing"
        raise SettingsError(f"{file}: {field}: {reason}") from None
    addresses = [("api_addr", settings.api_addr), ("cluster_listen", settings.cluster_listen)]
    addresses += [("services.cloud", settings.services.cloud), ("services.state", settings.services.state)]
    addresses += [(f"others[{n}].peer_addr", peer.peer_addr) for n, peer in enumerate(settings.others)]
    for field, value in addresses:
        _check_address(file, field, value)
    return settings
