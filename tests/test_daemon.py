"""The real daemon on loopback with simulated services of this repository, used through the command line."""

import asyncio
import json
import socket
import sys
from pathlib import Path

import msgspec
import pytest

from tests.fakes.serve import Stage
from tests.test_formats import SUBMISSION

ROOT = Path(__file__).resolve().parent.parent
# The tests choose free ports and open them only later, so two tests at a time could choose the same ports.
pytestmark = pytest.mark.xdist_group("sockets")


FIRST_PORT, FIRST_LOCAL_PORT = 20_000, 32_768
"""The first port of the blocks, and the first one that the system gives to outgoing connections."""
BLOCK_PORTS = 400
"""How many ports a block has: the services, the controllers and up to 200 workers."""


def free_port_block() -> int:
    """Return the first port of a block below the ports of outgoing connections, which other programs use."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return FIRST_PORT + probe.getsockname()[1] % (FIRST_LOCAL_PORT - BLOCK_PORTS - FIRST_PORT)


def test_no_block_of_ports_reaches_those_of_outgoing_connections() -> None:
    # Guards against a controller whose port is taken by another program's connection and that answers nobody.
    assert all(FIRST_PORT <= free_port_block() <= FIRST_LOCAL_PORT - BLOCK_PORTS for _ in range(200))


async def cli(*args: str) -> tuple[int, str, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "ashtray", *args, cwd=ROOT, stdout=-1, stderr=-1
    )
    out, err = await process.communicate()
    return process.returncode or 0, out.decode(), err.decode()


async def raw(port: int, head: str, body: bytes = b"") -> int:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"{head} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
    status = int((await reader.readline()).split()[1])
    writer.close()
    return status


async def play(directory: Path) -> None:
    stage = Stage(directory, 2, free_port_block())
    await stage.start()
    token, operators = directory / "token", directory / "operators.sexp"
    token.write_text("a-token-of-the-operators\n")
    operators.write_text(f'(ashtray (operators-token "{token}"))')
    # The second controller has no operators' file, so its operators' paths are disabled.
    extra_args = [["--operators", str(operators)], []]
    controllers = [
        await asyncio.create_subprocess_exec(
            sys.executable, "run.py", "--config", str(file), *args, cwd=ROOT, stderr=-3
        )
        for file, args in zip(stage.write_settings(), extra_args, strict=True)
    ]
    server = ["--server", f"127.0.0.1:{stage.apis[0]}"]
    job = directory / "job.json"
    try:
        overrides = {"pieces": 3, "cpus": 1.0, "cards": 0.0, "memory_gb": 1.0, "hulls": None, "crew": "crew"}
        job.write_text(json.dumps({**SUBMISSION, **overrides}))
        code, out, err = await cli("submit", *server, str(job))
        assert (code, "job-1: pending" in out) == (0, True), err
        for _ in range(60):
            code, out, _ = await cli("status", *server, "--json", "job-1")
            assert code == 0
            if json.loads(out)["answer"]["status"] == "done":
                break
            await asyncio.sleep(0.3)
        else:
            raise AssertionError(out)
        code, out, err = await cli("submit", *server, str(job))
        assert "job-1: done" in out
        job.write_text(json.dumps({**SUBMISSION, **overrides, "name_id": "job-2", "cpus": 99.0}))
        code, _, err = await cli("submit", *server, str(job))
        assert (code, "422" in err) == (1, True)
        job.write_text(json.dumps({**SUBMISSION, **overrides, "name_id": "job-3", "shape": "service"}))
        assert (await cli("submit", *server, str(job)))[0] == 0
        code, out, _ = await cli("explain", *server, "job-3")
        assert (code, "job-3: 3 tasks" in out) == (0, True)
        job.write_text(json.dumps({**SUBMISSION, **overrides, "name_id": "job-4"}))
        code, out, _ = await cli("submit", *server, "--waits-on", "job-3", "--waits-on", "job-1", str(job))
        assert (code, "job-4: pending" in out) == (0, True)
        code, out, _ = await cli("status", *server, "job-4")
        assert "waits on job-3" in out
        code, out, _ = await cli("explain", *server, "job-4")
        assert "waits: job-3 is to be done first" in out
        # A repeated submission of a known job returns its state, even if it names other predecessors.
        code, _, err = await cli("submit", *server, "--waits-on", "job-77", str(job))
        assert (code, err) == (0, "")
        job.write_text(json.dumps({**SUBMISSION, **overrides, "name_id": "job-5"}))
        code, _, err = await cli("submit", *server, "--waits-on", "job-77", str(job))
        assert (code, "job-77 was never accepted" in err) == (1, True)
        # The other controller knows the job that the first one accepted.
        other = ["--server", f"127.0.0.1:{stage.apis[1]}"]
        code, out, _ = await cli("abort", *other, "job-3")
        assert (code, out.strip()) == (0, "job-3: cancelled")
        code, out, _ = await cli("status", *server, "job-4")
        assert "job-4: cancelled" in out
        code, _, err = await cli("status", *server, "job-77")
        assert (code, "404" in err) == (1, True)
        port = stage.apis[0]
        both = [f"127.0.0.1:{api}" for api in stage.apis[:2]]
        known = await cli("estimates", "--server", both[0], "--token-file", str(token))
        assert known[0] == 0 and ("of estimate" in known[1] or "nothing has been learnt" in known[1])
        assert (await cli("estimates", "forget", "nobody", "--server", both[0], "--token-file", str(token)))[0] == 1
        assert (await cli("estimates", "--server", both[0]))[0] == 2
        assert (await cli("estimates", "--server", both[1], "--token-file", str(token)))[0] == 1
        assert await raw(port, "GET /operators/estimates") == 401
        assert await raw(stage.apis[1], "GET /operators/estimates") == 404
        assert await raw(port, "GET /nowhere") == 404
        assert await raw(port, "PUT /submissions") == 405
        assert await raw(port, "POST /submissions", b"\xc1") == 400
        assert await raw(port, "POST /submissions", b"\x00" * 70_000) == 400
        assert await raw(port, "POST /hello", msgspec.msgpack.encode({"berth": 1})) == 400
        assert await raw(port, "GET /submissions/job-x") == 400
        assert await raw(port, "GET /up") == 200
        # The first controller hands over and ends on SIGTERM; the other one keeps answering.
        controllers[0].terminate()
        assert await asyncio.wait_for(controllers[0].wait(), 10) == 0
        assert not any(key.endswith("controller/berth-0") for key in stage.state.keys)
        assert await raw(stage.apis[1], "GET /up") == 200
    finally:
        for controller in controllers:
            if controller.returncode is None:
                controller.kill()
            await controller.wait()
        await stage.stop()


def test_daemon_serves_users_and_operators_on_loopback(tmp_path: Path):
    asyncio.run(play(tmp_path))


def test_unusable_settings_are_reported_in_one_line(tmp_path: Path):
    async def check() -> None:
        bad = tmp_path / "bad.toml"
        bad.write_text("host_name = 1\n")
        code, _, err = await cli("run", "--config", str(bad))
        assert code == 2
        assert len(err.splitlines()) == 1
        assert str(bad) in err

    asyncio.run(check())


def test_unreachable_controller_gives_exit_code_3():
    code, _, err = asyncio.run(cli("status", "--server", "127.0.0.1:1", "--timeout", "0.1", "job-1"))
    assert code == 3
    assert "no answer" in err
