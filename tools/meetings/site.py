"""The properties of a deployment (site) that fault scenarios (meetings) depend on."""

from __future__ import annotations

import math
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

PRIORITIES = ("prod", "high", "urgent", "normal", "standard", "low", "idle")
"""The priorities of job classes, the most urgent first."""


class SiteError(ValueError):
    """A site file that cannot be used; the message gives the reason in one line."""


@dataclass(frozen=True)
class Site:
    """A deployment, as far as meetings depend on it.

    The defaults are used when a day (a generated run) is drawn without a site file.
    """

    name: str = "any site"
    duration_s: float = 380.0
    warmup_s: float = 100.0
    nodes: int = 3
    lease_s: float = 20.0
    cancel_s: float = 45.0
    machines: int = 100
    """The number of machines, already multiplied by the size factor."""
    boot_s: float = 30.0
    """The boot time of the slowest machine type."""
    zones: tuple[str, ...] = ()
    urgent_class: str | None = None
    """The most urgent job class; of several, the first in the file of those with the fewest GPUs per task."""
    idle_class: str | None = None
    """The least urgent job class; of several, the last in the file of those with the most GPUs per task."""
    idle_lists_sizes: bool = False
    """Whether the site file lists the job sizes of the least urgent class, instead of a distribution."""

    def machine_count(self, share: float) -> int:
        """Return `share` (a fraction) of the machines as a count, at least one."""
        return max(round(share * self.machines), 1)


def any_site(size: float) -> Site:
    """Return a site with the default values, with its number of machines multiplied by `size`."""
    return Site(machines=max(round(Site.machines * size), 1))


def read_site(path: Path, size: float) -> Site:
    """Read a site file, with its number of machines multiplied by `size`.  Raises SiteError."""
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "the file is not UTF-8 text"
        raise SiteError(f"site {path}: {reason}") from None
    except tomllib.TOMLDecodeError as error:
        raise SiteError(f"site {path}: {error}") from None
    try:
        return site_of(data, size)
    except KeyError as error:
        raise SiteError(f"site {path}: key {error.args[0]} is missing") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise SiteError(f"site {path}: a value is invalid: {error}") from None


def site_of(data: dict[str, Any], size: float) -> Site:
    """Return a site from its parsed file.  Raises KeyError, TypeError, ValueError or AttributeError for bad data."""
    jobs = sorted(data["jobs"], key=lambda job: (PRIORITIES.index(job["priority"]), float(job.get("gpus", 0.0))))
    if not jobs or not data["capacity"] or not data["machine_types"] or not data["nodes"]["zones"]:
        raise ValueError("jobs, capacity, machine_types and zones need at least one entry each")
    machines = sum(int(entry["count"]) for entry in data["capacity"])
    zones = {str(entry["zone"]) for entry in data["capacity"]}
    site = Site(
        name=str(data["name"]),
        duration_s=float(data["duration_s"]),
        warmup_s=float(data["warmup_s"]),
        nodes=int(data["nodes"]["count"]),
        lease_s=float(data["workers"]["lease_s"]),
        cancel_s=float(data["workers"]["cancel_s"]),
        machines=max(round(machines * size), 1),
        boot_s=max(float(machine_type["boot_s"]) for machine_type in data["machine_types"]),
        zones=tuple(sorted(zones)),
        urgent_class=str(jobs[0]["name"]),
        idle_class=str(jobs[-1]["name"]),
        idle_lists_sizes="sizes" in jobs[-1]["tasks"],
    )
    times_s = (site.duration_s, site.warmup_s, site.lease_s, site.cancel_s, site.boot_s)
    if site.nodes < 1 or not all(math.isfinite(time_s) and time_s > 0.0 for time_s in times_s):
        raise ValueError("nodes.count and all times must be positive and finite")
    return site
