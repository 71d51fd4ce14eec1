"""The settings file that the platform hands over."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated

import msgspec

Share = Annotated[float, msgspec.Meta(gt=0)]
Amount = Annotated[float, msgspec.Meta(ge=0)]


class SettingsError(Exception):
    """A settings file that cannot be used; the text names the file and the field."""


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
    """A team's guarantee and limit; 0 means none."""

    name: str
    cpus: Amount = 0.0
    cpus_max: Amount = 0.0
    gpus: Amount = 0.0
    gpus_max: Amount = 0.0


class Objective(msgspec.Struct, frozen=True):
    """An aim that the users state for a class of jobs: its kind, a time, and the share of jobs that is to meet it."""

    kind: str
    job_class: str | None = msgspec.field(default=None, name="class")
    within_s: float | None = None
    share: float | None = None


class WorkerTimes(msgspec.Struct, frozen=True):
    """The times of the workers' protocol, in seconds."""

    report_s: Share
    lease_s: Share
    gang_wait_s: Share
    gang_peer_s: Share
    cancel_s: Share


class NextLimits(msgspec.Struct, frozen=True):
    """Limits that the state service will have from some moment on, without notice."""

    write_rps: Share
    value_kb: Annotated[float, msgspec.Meta(ge=1)]
    txn_ops: Annotated[int, msgspec.Meta(ge=4)]


class StateLimits(msgspec.Struct, frozen=True):
    """What the state service takes: requests and changes a second, a value's KiB, a transaction's operations."""

    rps: Share
    write_rps: Share
    value_kb: Share
    txn_ops: Annotated[int, msgspec.Meta(ge=4)]
    next: NextLimits | None = None


class CloudLimits(msgspec.Struct, frozen=True):
    """The cloud's requests a second, and by how many seconds its list may lag."""

    rps: Share
    list_lag_s: Amount


class Quota(msgspec.Struct, frozen=True):
    """What a controller's process may use: a share of the processor, memory in MiB, sockets."""

    cpu_share: Share = 1.0
    ram_mb: Share = 1024.0
    sockets: Annotated[int, msgspec.Meta(gt=0)] = 1024


class Cluster(msgspec.Struct, frozen=True):
    """What all controllers of a deployment share."""

    zones: list[str]
    workers: WorkerTimes
    state: StateLimits
    cloud: CloudLimits
    nodes: int = 1
    clock_off_ms: Amount = 1000.0
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


WISE_MB, WISE_SHARE = 80.0, 0.15
"""A controller has had up to 61 MB and 0.12 of a core on the mean, with 550 machines in simulated days."""


def warnings(settings: Settings) -> list[str]:
    """What can be used and is not wise, a line each."""
    quota, found = settings.cluster.quota, []
    if quota.ram_mb < WISE_MB:
        found.append(f"cluster.quota.ram_mb: {quota.ram_mb:g} is little: 550 machines took up to 61")
    if quota.cpu_share < WISE_SHARE:
        found.append(f"cluster.quota.cpu_share: {quota.cpu_share:g} is little: 550 machines took 0.12 on the mean")
    return found


def _check_address(file: Path, field: str, value: str) -> None:
    host, colon, port = value.rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and 0 < int(port) < 65536):
        raise SettingsError(f"{file}: {field}: expected HOST:PORT, got {value!r}")


def load_settings(path: str) -> Settings:
    """Read and check the settings file; raises `SettingsError` with one line."""
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
