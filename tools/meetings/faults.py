"""The faults of a bench day, one type for each kind, and how a day's file writes them.  Times are in seconds."""

from __future__ import annotations

import json
from dataclasses import dataclass, fields
from enum import StrEnum
from typing import ClassVar

Value = bool | int | float | str


class Mode(StrEnum):
    """What happens to packets on a cut link."""

    HOLD = "hold"
    REFUSE = "refuse"


@dataclass(frozen=True, kw_only=True)
class Fault:
    """One fault of a day, which begins at `at_s`."""

    KIND: ClassVar[str]
    at_s: float

    def options(self) -> dict[str, Value]:
        """Return the options that are set, in the order of their declaration."""
        options: dict[str, Value] = {}
        for each in fields(self):
            value = getattr(self, each.name)
            if value is None or value is False or each.name == "at_s":
                continue
            name = each.name.removesuffix("_")
            options[name] = value.value if isinstance(value, Mode) else value
        return options

    def end_s(self) -> float:
        """Return when the fault is over; a fault without `for_s` has no duration."""
        return self.at_s + float(getattr(self, "for_s", 0.0))

    def text(self) -> str:
        """Return the fault as an inline table of TOML."""
        return toml_table({"at_s": self.at_s, "kind": self.KIND, **self.options()})


@dataclass(frozen=True, kw_only=True)
class NodeCrash(Fault):
    """Controllers crash and are started again; `busiest` chooses those with the most work, the leader first."""

    KIND = "node_crash"
    count: int = 1
    busiest: bool = True


@dataclass(frozen=True, kw_only=True)
class NodeFreeze(Fault):
    """Controller processes are paused while their clocks continue."""

    KIND = "node_freeze"
    count: int = 1
    busiest: bool = True
    for_s: float


@dataclass(frozen=True, kw_only=True)
class NodeRoll(Fault):
    """All controllers are restarted one after the other."""

    KIND = "node_roll"
    every_s: float


@dataclass(frozen=True, kw_only=True)
class NodeCut(Fault):
    """Controllers lose their links to the state service, to peers or to workers."""

    KIND = "node_cut"
    count: int = 1
    busiest: bool = True
    from_state: bool = False
    from_peers: bool = False
    from_workers: bool = False
    mode: Mode = Mode.HOLD
    for_s: float


@dataclass(frozen=True, kw_only=True)
class StateOutage(Fault):
    """The state service answers no request."""

    KIND = "state_outage"
    for_s: float


@dataclass(frozen=True, kw_only=True)
class StateSlow(Fault):
    """The answers of the state service take longer by a factor."""

    KIND = "state_slow"
    factor: float
    for_s: float


@dataclass(frozen=True, kw_only=True)
class LateWrites(Fault):
    """A share of the transactions gets no answer; they are applied later, or at once with `at_once`."""

    KIND = "late_writes"
    share: float
    for_s: float
    at_once: bool = False


@dataclass(frozen=True, kw_only=True)
class LateReports(Fault):
    """Copies of a share of the workers' reports arrive again later, with `for_next` at the next leader."""

    KIND = "late_reports"
    share: float
    for_s: float
    for_next: bool = False


@dataclass(frozen=True, kw_only=True)
class LateCommands(Fault):
    """A share of the direct commands is delayed."""

    KIND = "late_commands"
    share: float
    for_s: float


@dataclass(frozen=True, kw_only=True)
class MachineGroup(Fault):
    """A fault of machines, given by a count, a share of all machines, or a zone."""

    count: int | None = None
    share: float | None = None
    zone: str | None = None
    for_s: float

    def __post_init__(self) -> None:
        """Raise ValueError unless exactly one of the three is set."""
        if sum(each is not None for each in (self.count, self.share, self.zone)) != 1:
            raise ValueError(f"{self.KIND} needs a count, a share or a zone: exactly one of them")


@dataclass(frozen=True, kw_only=True)
class MachineDeaf(MachineGroup):
    """Machines whose reports arrive, but answers and direct commands to them are lost."""

    KIND = "machine_deaf"


@dataclass(frozen=True, kw_only=True)
class MachineMute(MachineGroup):
    """Machines that cannot reach any controller, but direct commands reach them."""

    KIND = "machine_mute"


@dataclass(frozen=True, kw_only=True)
class MachineCut(Fault):
    """Machines lose the network."""

    KIND = "machine_cut"
    count: int
    for_s: float
    mode: Mode = Mode.HOLD


@dataclass(frozen=True, kw_only=True)
class MachineHang(Fault):
    """Machines are paused and continue later."""

    KIND = "machine_hang"
    count: int
    for_s: float


@dataclass(frozen=True, kw_only=True)
class MachineDie(Fault):
    """Machines stop, and all tasks on them are lost."""

    KIND = "machine_die"
    count: int


@dataclass(frozen=True, kw_only=True)
class SpotTaken(Fault):
    """The cloud takes a share of the spot machines back within `over_s`, each after `notice_s`."""

    KIND = "spot_taken"
    share: float
    notice_s: float
    over_s: float


@dataclass(frozen=True, kw_only=True)
class BootTrouble(Fault):
    """New machines fail to boot with the probability `fail`; the others take `factor` times as long as usual."""

    KIND = "boot_trouble"
    fail: float
    factor: float
    for_s: float


@dataclass(frozen=True, kw_only=True)
class JobBurst(Fault):
    """Jobs of a class arrive `factor` times as often."""

    KIND = "job_burst"
    class_: str
    factor: float
    for_s: float


@dataclass(frozen=True, kw_only=True)
class CancelNow(Fault):
    """Users cancel many running jobs at once; with `hang_s` up to eight of their machines hang for that time."""

    KIND = "cancel_now"
    count: int
    hang_s: float | None = None


@dataclass(frozen=True, kw_only=True)
class CancelAtEnd(Fault):
    """A share of the jobs is cancelled at the moment at which the job ends."""

    KIND = "cancel_at_end"
    share: float
    for_s: float


@dataclass(frozen=True, kw_only=True)
class OddRequests(Fault):
    """Users repeat submissions, cancel jobs that are done, and submit jobs that fit no machine or lack a field."""

    KIND = "odd_requests"
    for_s: float


@dataclass(frozen=True, kw_only=True)
class CloseLooks(Fault):
    """Users poll all controllers within milliseconds after an acceptance, an end or a cancellation."""

    KIND = "close_looks"
    for_s: float


@dataclass(frozen=True)
class JobsChange:
    """Options of a job class that a day changes; the other options stay as in the site file."""

    name: str
    options: tuple[tuple[str, Value | dict[str, float | list[float]]], ...]

    def text(self) -> str:
        """Return the change as an inline table of TOML."""
        return toml_table({"name": self.name, **dict(self.options)})


def toml_value(value: object) -> str:
    """Return a value in TOML syntax.  Raises TypeError for a type that a day cannot contain."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int | float):
        return repr(value)
    if isinstance(value, str):
        return json.dumps(value, ensure_ascii=False)
    if isinstance(value, dict):
        return toml_table(value)
    if isinstance(value, list | tuple):
        return f"[{', '.join(map(toml_value, value))}]"
    raise TypeError(f"a day cannot contain a {type(value).__name__}")


def toml_table(table: dict[str, object]) -> str:
    """Return an inline table in TOML syntax."""
    return f"{{ {', '.join(f'{key} = {toml_value(value)}' for key, value in table.items())} }}"
