"""The operators' own settings: an S-expression file in which every setting is optional and checked.  For example:

(ashtray
  (group-size 4)        ; comments run to the end of the line
  (rules trust changes image scarce spot few-groups packing))
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import sexpdata

from ashtray.config.settings import SettingsError

RULES = ("trust", "changes", "image", "scarce", "spot", "few-groups", "packing")


class OperatorSettings(msgspec.Struct, frozen=True):
    """The operators' settings, with their defaults: see `docs/operations.md`."""

    buckets: int = 3
    window: int = 50
    top: int = 100
    widen_cap: float = 0.1
    retries: int = 20
    group_size: int | None = None
    """Machines in a group record; None: as many as the state service's limit for a value allows."""
    rules: tuple[str, ...] = RULES
    weights: tuple[float, float, float] = (1.0, 1.0, 1.0)
    boot_patience: float = 2.5
    idle_boots: float = 0.5
    patience_s: float = 6.0
    keep_estimates: bool = True
    token_file: str | None = None
    """The file with the operators' bearer token; None: the operators' paths are disabled."""


@dataclass(frozen=True)
class Setting:
    """One setting of the operators' file: the field that it sets, its meaning, and how it is read and checked."""

    field: str
    meaning: str
    read: Callable[[list[Any]], Any]
    range: str


def _number(kind: type, low: float, high: float) -> Callable[[list[Any]], Any]:
    def read(values: list[Any]) -> Any:
        if len(values) != 1 or isinstance(values[0], bool) or not isinstance(values[0], (int, float)):
            raise ValueError
        value = values[0]
        if (kind is int and not isinstance(value, int)) or not low <= value <= high:
            raise ValueError
        return kind(value)

    return read


def _rules(values: list[Any]) -> tuple[str, ...]:
    names = tuple(str(v) for v in values)
    if not all(isinstance(v, sexpdata.Symbol) for v in values) or sorted(names) != sorted(set(names) & set(RULES)):
        raise ValueError
    return names


def _yes_or_no(values: list[Any]) -> bool:
    if len(values) != 1 or str(values[0]) not in ("yes", "no") or not isinstance(values[0], sexpdata.Symbol):
        raise ValueError
    return str(values[0]) == "yes"


def _text(values: list[Any]) -> str:
    if len(values) != 1 or not isinstance(values[0], str) or not values[0]:
        raise ValueError
    return values[0]


def _weights(values: list[Any]) -> tuple[float, float, float]:
    read = _number(float, 0.0, 100.0)
    if len(values) != 3:
        raise ValueError
    cpus, gpus, memory = (read([v]) for v in values)
    return cpus, gpus, memory


def _setting(field: str, meaning: str, kind: type, low: float, high: float) -> Setting:
    what = "a whole number" if kind is int else "a number"
    return Setting(field, meaning, _number(kind, low, high), f"{what} from {low:g} to {high:g}")


SETTINGS = {
    "packing-buckets": _setting("buckets", "buckets of the packing rule's score", int, 1, 100),
    "conflict-window": _setting("window", "commits over which conflicts are counted", int, 5, 10_000),
    "top-list": _setting("top", "best machines among which a widened pick chooses", int, 1, 10_000),
    "avoidance-cap": _setting("widen_cap", "greatest share of picks that are widened", float, 0.0, 1.0),
    "retry-limit": _setting("retries", "commits tried before a placement is planned again", int, 1, 1000),
    "group-size": _setting("group_size", "machines in a group record (default: what a value can hold)", int, 1, 1000),
    "rules": Setting(
        "rules", "preference rules, the most important first", _rules, f"any of {', '.join(RULES)}, each once"
    ),
    "weights": Setting("weights", "packing weights of CPUs, GPUs, memory", _weights, "three numbers from 0 to 100"),
    "boot-patience": _setting(
        "boot_patience", "boot times after which a machine that has not reported is given up", float, 1.0, 20.0
    ),
    "idle-boots": _setting("idle_boots", "boot times for which an idle machine is kept", float, 0.0, 100.0),
    "keep-estimates": Setting(
        "keep_estimates", "whether learned run times are kept in the state service", _yes_or_no, "yes or no"
    ),
    "operators-token": Setting(
        "token_file",
        "file with the bearer token of the operators' own paths (left out: these are disabled)",
        _text,
        'a path in quotes, such as "/etc/ashtray/token"',
    ),
    "patience": _setting(
        "patience_s", "seconds that a job waits rather than pay the cheapest price once more", float, 0.0, 3600.0
    ),
}


def _position(text: str, name: str, nth: int = 0) -> str:
    """Return the line and column of a setting's `nth` occurrence outside comments, counted from 0."""
    bare = re.sub(r";[^\n]*", lambda m: " " * len(m[0]), text)
    found = list(re.finditer(rf"\(\s*({re.escape(name)})(?=[\s()])", bare))
    at = found[nth].start(1) if nth < len(found) else 0
    line = text.count("\n", 0, at) + 1
    return f"line {line}, column {at - text.rfind(chr(10), 0, at)}"


MIN_TOKEN_LEN = 16
"""The least length of the operators' bearer token, in characters."""


def load_token(operator_settings: OperatorSettings) -> str | None:
    """Return the operators' bearer token, or None if no file is set; raises `SettingsError` with one line."""
    if operator_settings.token_file is None:
        return None
    try:
        token = Path(operator_settings.token_file).read_text(encoding="ascii").strip()
    except OSError as error:
        raise SettingsError(f"operators-token: {operator_settings.token_file}: {error.strerror or error}") from None
    except UnicodeDecodeError:
        raise SettingsError(f"operators-token: {operator_settings.token_file}: not ASCII text") from None
    if len(token) < MIN_TOKEN_LEN or len(token.split()) != 1:
        raise SettingsError(
            f"operators-token: {operator_settings.token_file}: expected one word, at least {MIN_TOKEN_LEN} characters"
        )
    return token


def position_of(path: str, name: str) -> str:
    """Return the line and column of a setting in the operators' file."""
    return _position(Path(path).read_text(encoding="utf-8"), name)


def load_operator_settings(path: str | None) -> OperatorSettings:
    """Read and check the operators' file (None: all defaults); raises `SettingsError` with one line."""
    if path is None:
        return OperatorSettings()
    file = Path(path)
    try:
        text = file.read_text(encoding="utf-8")
    except OSError as error:
        raise SettingsError(f"{file}: {error.strerror or error}") from None
    except UnicodeDecodeError:
        raise SettingsError(f"{file}: not UTF-8 text") from None
    try:
        tree = sexpdata.loads(text)
    except Exception as error:  # sexpdata raises several types of exceptions
        reason = str(error).splitlines()[0] if str(error) else type(error).__name__
        raise SettingsError(f"{file}: not an S-expression: {reason}") from None
    if not isinstance(tree, list) or not tree or tree[0] != sexpdata.Symbol("ashtray"):
        raise SettingsError(f"{file}: line 1: expected (ashtray ...)")
    found: dict[str, Any] = {}
    for entry in tree[1:]:
        if not isinstance(entry, list) or not entry or not isinstance(entry[0], sexpdata.Symbol):
            raise SettingsError(f"{file}: expected (setting value ...), got {sexpdata.dumps(entry)}")
        name = str(entry[0])
        setting = SETTINGS.get(name)
        if setting is None:
            raise SettingsError(f"{file}: {_position(text, name)}: unknown setting {name}")
        if setting.field in found:
            raise SettingsError(f"{file}: {_position(text, name, 1)}: {name} is set twice")
        try:
            found[setting.field] = setting.read(entry[1:])
        except ValueError:
            raise SettingsError(f"{file}: {_position(text, name)}: {name}: expected {setting.range}") from None
    return OperatorSettings(**found)
