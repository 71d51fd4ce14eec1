"""The command line: runs a controller, checks settings files, and sends users' requests to the service."""

from __future__ import annotations

import argparse
import json
import logging
import os
import sys
from collections.abc import Sequence
from typing import Any
from urllib.parse import quote

from ashtray import __version__
from ashtray.config.operators import SETTINGS, OperatorSettings, load_operator_settings, load_token, position_of
from ashtray.config.settings import Settings, SettingsError, load_settings, warnings

EXIT_OK, EXIT_FAILED, EXIT_USAGE, EXIT_UNREACHABLE = 0, 1, 2, 3
EXIT_CODES = """exit codes:
  0  done as asked
  1  refused, not found or failed (see the message)
  2  the command line or a settings file cannot be used
  3  no controller answered in time"""


def _logging() -> None:
    level = os.environ.get("LOG_LEVEL", "info").lower()
    levels = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
    logging.basicConfig(stream=sys.stderr, level=levels.get(level, logging.INFO), format="%(levelname)s %(message)s")
    for noisy in ("asyncio", "aiohttp"):
        logging.getLogger(noisy).setLevel(logging.ERROR)


def _load(config: str, operators: str | None) -> tuple[Settings, OperatorSettings]:
    """Read and check both files, and check the group size against the state service's limits.

    Raises `SettingsError` with one line.
    """
    settings, operator_settings = load_settings(config), load_operator_settings(operators)
    from ashtray.store.limits import Limits
    from ashtray.workers.adoption import max_group_size

    most = max_group_size(Limits.of(settings.cluster.state))
    if operators is not None and operator_settings.group_size is not None and operator_settings.group_size > most:
        number = operator_settings.group_size
        reason = f"{number} machines do not fit a value of the state service (see cluster.state in {config})"
        raise SettingsError(
            f"{operators}: {position_of(operators, 'group-size')}: group-size: {reason}: at most {most}"
        )
    load_token(operator_settings)
    return settings, operator_settings


def _run(args: argparse.Namespace) -> int:
    settings, operator_settings = _load(args.config, args.operators)
    _logging()
    from ashtray.daemon.server import run

    run(settings, operator_settings, load_token(operator_settings))
    return EXIT_OK


def _check(args: argparse.Namespace) -> int:
    if args.config is None and args.operators is None:
        return _fail("check needs --config, --operators or both", EXIT_USAGE)
    result: dict[str, Any] = {}
    if args.config is not None:
        settings, operator_settings = _load(args.config, args.operators)
        result["config"] = {"host_name": settings.host_name, "others": [p.host_name for p in settings.others]}
    else:
        operator_settings = load_operator_settings(args.operators)
    result["operators"] = {name: getattr(operator_settings, setting.field) for name, setting in SETTINGS.items()}
    if args.json:
        print(json.dumps(result))
        return EXIT_OK
    if args.config is not None:
        print(f"{args.config}: good ({settings.host_name}, {len(settings.others)} others)")
        for line in warnings(settings):
            print(f"{args.config}: warning: {line}")
    if args.operators is not None:
        print(f"{args.operators}: good")
    for name, setting in SETTINGS.items():
        value = getattr(operator_settings, setting.field)
        text = " ".join(map(str, value)) if isinstance(value, tuple) else value
        text = {True: "yes", False: "no"}[value] if isinstance(value, bool) else text
        print(f"  ({name} {text})  ; {setting.meaning}; {setting.range}")
    return EXIT_OK


def _fail(reason: str, code: int) -> int:
    """Print on standard error why a command failed, and return its exit code."""
    print(f"ashtray: {reason}", file=sys.stderr)
    return code


def _ask(args: argparse.Namespace, method: str, path: str, body: Any = None, token: str | None = None) -> int:
    from ashtray.client import Client, Unreachable

    try:
        status, answer = Client(args.server, args.timeout).ask(method, path, body, token)
    except ValueError as error:
        return _fail(f"--server: {error}", EXIT_USAGE)
    except Unreachable as error:
        return _fail(f"no answer: {error}", EXIT_UNREACHABLE)
    if args.json:
        print(json.dumps({"http_status": status, "answer": answer}))
    elif status in (200, 201):
        print(_format_answer(answer))
    else:
        reason = answer.get("error", "") if isinstance(answer, dict) else ""
        return _fail(f"{reason or 'refused'} ({status})", EXIT_FAILED)
    return EXIT_OK if status in (200, 201) else EXIT_FAILED


def _format_answer(answer: dict[str, Any]) -> str:
    if "estimates" in answer:
        return _format_estimates(answer["estimates"])
    if "forgotten" in answer:
        return f"{answer['forgotten']} levels are forgotten"
    if "places" not in answer:
        counts = f", {answer['done']} done, {answer['running']} placed" if "done" in answer else ""
        needs = f"; waits on {', '.join(answer['waits_on'])}" if answer.get("waits_on") else ""
        return f"{answer['name_id']}: {answer['status']}{counts}{needs}"
    lines = [
        f"{answer['name_id']}: {answer['tasks']} tasks, {answer['done']} done, {answer['placed']} placed; "
        f"{answer['placed_by']} places it"
    ]
    if "takes" in answer:
        takes = answer["takes"]
        lines.append(
            f"  a task runs {takes['median_s']:.0f} s, 80% between {takes['p10_s']:.0f} and "
            f"{takes['p90_s']:.0f} s, from {takes['seen']:g} seen"
        )
    lines += [f"  waits: {reason}" for reason in answer["waiting"]]
    for place in answer["places"]:
        rules = ", ".join(f"{name} {score:g}" for name, score in place.get("rules", {}).items())
        note = f" ({place['note']})" if "note" in place else ""
        lines.append(f"  tasks {place['tasks']} on {place['machine']}, attempt {place['attempt']}{note}: {rules}")
    return "\n".join(lines)


def _format_estimates(rows: list[dict[str, Any]]) -> str:
    """Format the learned run times, one level on each line."""
    if not rows:
        return "nothing has been learnt yet"
    lines = [f"{'class/team/image/size':42} {'seen':>6} {'of estimate':>11} {'estimates':>9} {'80% within':>17} eras"]
    for row in rows:
        name = row["level"] or "(all)"
        says = "say much" if row["slope"] > -0.35 else "say some" if row["slope"] > -0.75 else "say little"
        lines.append(
            f"{name[:42]:42} {row['seen']:6.1f} {row['ratio']:10.2f}x {says:>9} "
            f"{row['low']:7.2f}..{row['high']:.2f}x {row['eras']:5}"
        )
    return "\n".join(lines)


def _submit(args: argparse.Namespace) -> int:
    try:
        if args.file == "-":
            job = json.load(sys.stdin)
        else:
            with open(args.file, encoding="utf-8") as file:
                job = json.load(file)
    except OSError as error:
        return _fail(f"{args.file}: {error.strerror}", EXIT_USAGE)
    except ValueError as error:
        return _fail(f"{args.file}: not JSON: {error}", EXIT_USAGE)
    if args.waits_on:
        if not isinstance(job, dict):
            return _fail(f"{args.file}: the job is not a JSON object", EXIT_USAGE)
        job["waits_on"] = [*(job.get("waits_on") or ()), *args.waits_on]
    return _ask(args, "POST", "/submissions", job)


def _status(args: argparse.Namespace) -> int:
    return _ask(args, "GET", f"/submissions/{args.job}")


def _abort(args: argparse.Namespace) -> int:
    return _ask(args, "POST", f"/submissions/{args.job}/abort")


def _estimates(args: argparse.Namespace) -> int:
    what: list[str] = args.what
    if len(what) > 2 or (len(what) == 2 and what[0] != "forget") or what == ["forget"]:
        return _fail("estimates: expected no argument, CLASS, or forget CLASS", EXIT_USAGE)
    path = args.token_file or os.environ.get("ASHTRAY_TOKEN_FILE")
    if path is None:
        return _fail("estimates: --token-file or ASHTRAY_TOKEN_FILE is needed", EXIT_USAGE)
    try:
        with open(path, encoding="ascii") as file:
            token = file.read().strip()
    except (OSError, UnicodeDecodeError) as error:
        return _fail(f"{path}: {getattr(error, 'strerror', None) or error}", EXIT_USAGE)
    if len(what) == 2:
        return _ask(args, "POST", "/operators/estimates/forget", {"class": what[1]}, token)
    return _ask(args, "GET", "/operators/estimates" + (f"/{quote(what[0], safe='')}" if what else ""), None, token)


def _explain(args: argparse.Namespace) -> int:
    return _ask(args, "GET", f"/submissions/{args.job}/explain")


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line; each command sets `call` to the function that runs it."""
    top = argparse.ArgumentParser(
        prog="ashtray",
        description="A cluster scheduler: run a controller, check its settings, or use the service.",
        epilog=EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    top.add_argument("--version", action="version", version=f"ashtray {__version__}")
    commands = top.add_subparsers(dest="command", required=True, metavar="COMMAND")

    run = commands.add_parser(
        "run", help="run one controller", description="Run one controller until it gets SIGTERM."
    )
    run.add_argument("--config", required=True, metavar="FILE", help="the platform's settings (TOML)")
    run.add_argument("--operators", metavar="FILE", help="the operators' own settings (S-expressions)")
    run.set_defaults(call=_run)

    check = commands.add_parser(
        "check", help="check settings files", description="Check settings files and show the resulting settings."
    )
    check.add_argument("--config", metavar="FILE", help="the platform's settings (TOML)")
    check.add_argument("--operators", metavar="FILE", help="the operators' own settings (S-expressions)")
    check.add_argument("--json", action="store_true", help="print JSON")
    check.set_defaults(call=_check)

    user = argparse.ArgumentParser(add_help=False)
    user.add_argument(
        "--server",
        default=os.environ.get("ASHTRAY_SERVER", "127.0.0.1:8080"),
        metavar="HOST:PORT",
        help="a controller or its load balancer (default: $ASHTRAY_SERVER, %(default)s)",
    )
    user.add_argument(
        "--timeout", type=float, default=60.0, metavar="S", help="how many seconds to retry for (default: 60)"
    )
    user.add_argument("--json", action="store_true", help="print the answer as JSON")
    submit = commands.add_parser(
        "submit", parents=[user], help="submit a job", description="Submit a job described in JSON."
    )
    submit.add_argument(
        "file",
        metavar="FILE",
        help="the job, as a JSON object with the fields of the protocol; - reads standard input",
    )
    submit.add_argument(
        "--waits-on",
        action="append",
        metavar="JOB",
        help="a job that must be done before this one starts; can be repeated, adds to the jobs named in the file",
    )
    submit.set_defaults(call=_submit)
    for name, call, what in (
        ("status", _status, "Show a job's state."),
        ("abort", _abort, "Cancel a job."),
        ("explain", _explain, "Explain why a job waits, or why it runs where it does, rule by rule."),
    ):
        command = commands.add_parser(name, parents=[user], help=what.rstrip(".").lower(), description=what)
        command.add_argument("job", metavar="JOB", help="the job's id, such as job-000412")
        command.set_defaults(call=call)
    estimates = commands.add_parser(
        "estimates",
        parents=[user],
        help="show or forget learned run times",
        description="Show the learned run times by class, or forget those of a class, say after its jobs changed.",
    )
    estimates.add_argument("what", nargs="*", metavar="CLASS | forget CLASS", help="a class, or forget and a class")
    estimates.add_argument(
        "--token-file", metavar="FILE", help="the operators' bearer token (default: $ASHTRAY_TOKEN_FILE)"
    )
    estimates.set_defaults(call=_estimates)
    return top


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return the exit code; `argv` does not include the program's name."""
    args = parser().parse_args(argv)
    try:
        return int(args.call(args))
    except SettingsError as error:
        return _fail(f"{error}", EXIT_USAGE)
    except KeyboardInterrupt:
        return EXIT_FAILED


def entry() -> None:
    """The entry point of the installed program `ashtray`."""
    sys.exit(main())
