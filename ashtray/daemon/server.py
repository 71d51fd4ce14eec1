"""Runs the core in a process: passes inputs to it and carries out its outputs."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import gc
import hmac
import logging
import random
import signal
import time
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec
import uvloop
from aiohttp import web
from yarl import URL

from ashtray.config.operators import OperatorSettings
from ashtray.config.settings import Settings
from ashtray.controller import Controller
from ashtray.inbox import NO_TIMEOUT_US, Inbox, Rank, rank_of, rank_of_reply
from ashtray.jobs.messages import MAX_BODY
from ashtray.kernel import Answer, Call, Log, Output, Reply, Send

log = logging.getLogger("ashtray")
_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
SHUTDOWN_LIMIT_S = 3.0
"""How long a process that gets SIGTERM may take to give its lease back and to answer its open requests."""
ADDRESS_WAIT_S = 10.0
"""How long to wait for an address that is in use: the previous process may not have ended yet."""
ADDRESS_RETRY_S = 0.05
GC_THRESHOLDS = (10_000, 20, 20)
"""The thresholds of Python's garbage collector for its three generations."""
TURN_S = 0.1
"""The time that the core may use within one turn of the event loop.  After it the process counts as behind, and
further inputs of that turn wait in the inbox, so that the sockets are read before the core takes the next input."""
BEHIND_LOG_US, LOG_INTERVAL_US = 1_000_000, 10_000_000
"""An input that has waited for `BEHIND_LOG_US` causes a log line, at most one in `LOG_INTERVAL_US`."""
_HEADERS = {"Content-Type": "application/msgpack"}


class Lateness:
    """Measures how late timers fire and logs it at debug level; other inputs of the event loop wait as long."""

    def __init__(self) -> None:
        self._us: list[int] = []
        self._since_us: int | None = None

    def note(self, now_us: int, late_us: int) -> None:
        """Add one measurement; every `LOG_INTERVAL_US` the statistics are logged and cleared."""
        self._us.append(max(late_us, 0))
        if self._since_us is None:
            self._since_us = now_us
        elif now_us - self._since_us > LOG_INTERVAL_US:
            self._us.sort()
            number = len(self._us)
            median, most, worst = (self._us[n] / 1000 for n in (number // 2, number * 99 // 100, number - 1))
            log.debug("late, in ms: %d timers median %.1f, 99%% %.1f, worst %.1f", number, median, most, worst)
            self._since_us = now_us
            self._us.clear()


class Daemon:
    """The process around a core: its sockets, timers and log."""

    def __init__(self, settings: Settings, operator_settings: OperatorSettings, token: str | None = None) -> None:
        """`token` is the operators' bearer token; without it the operators' paths are disabled."""
        self.settings = settings
        self._bearer = None if token is None else f"Bearer {token}".encode()
        self.core = Controller(settings, operator_settings, random.Random(), log.isEnabledFor(logging.DEBUG))
        self.loop = asyncio.get_running_loop()
        self._wake_timer: asyncio.TimerHandle | None = None
        self._wake_us: int | None = None
        self._answers: dict[int, asyncio.Future[Answer]] = {}
        self._next_request = 0
        self._inbox = Inbox()
        self._draining = False
        self._core_time_s = 0.0
        """The time that the core has used since the event loop last reported the start of a turn."""
        self._turn_end_scheduled = False
        self._logged_us = -LOG_INTERVAL_US
        self._lateness = Lateness() if log.isEnabledFor(logging.DEBUG) else None
        self._tasks: set[asyncio.Task[None]] = set()
        sockets = settings.cluster.quota.sockets
        # Half of the sockets are for incoming connections, a quarter for outgoing calls; the rest is a reserve.
        connector = aiohttp.TCPConnector(limit=max(sockets // 4, 8), keepalive_timeout=30, use_dns_cache=False)
        self.client = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    def now(self) -> tuple[int, int]:
        """Return the monotonic time and the time of day, in microseconds."""
        # The event loop updates its own time once a turn.  If the process was paused within a turn, inputs would
        # carry a time from before the pause, and records that were read long ago would count as fresh.
        return time.monotonic_ns() // 1000, time.time_ns() // 1000

    def carry_out(self, outputs: list[Output]) -> None:
        """Carry out the sends, answers and log lines of the core, and set the timer for its next wake-up."""
        for output in outputs:
            if isinstance(output, Send):
                task = self.loop.create_task(self._send(output.call_id, output.call))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            elif isinstance(output, Answer):
                future = self._answers.pop(output.request_id, None)
                if future is not None and not future.done():
                    future.set_result(output)
            elif isinstance(output, Log):
                log.log(_LEVELS[output.level], output.line)
        wake_us = self.core.kernel.next_wake_us()
        if wake_us != self._wake_us:
            if self._wake_timer is not None:
                self._wake_timer.cancel()
            self._wake_us = wake_us
            if wake_us is not None:
                delay_s = max(wake_us - self.now()[0], 0) / 1_000_000
                self._wake_timer = self.loop.call_later(delay_s + 0.0005, self._on_wake)

    def _on_wake(self) -> None:
        # `_wake_us` stays set until the core has handled this wake-up.  Otherwise `carry_out` would set the timer
        # again at once while the wake-up waits in the inbox.
        self._wake_timer = None
        if self._lateness is not None and self._wake_us is not None:
            now_us = self.now()[0]
            self._lateness.note(now_us, now_us - self._wake_us)
        if self._keeps_up():
            self._take(self._wake_core)
        else:
            self._inbox.wake(self.now()[0], self._wake_core)
            self._drain_soon()

    def _wake_core(self) -> list[Output]:
        self._wake_us = None
        return self.core.wake(*self.now())

    def _keeps_up(self) -> bool:
        """Return whether the inbox is empty and the core has used less than `TURN_S` in this turn."""
        if self._inbox or self._core_time_s >= TURN_S:
            return False
        self.core.kernel.input_delay_us = 0
        return True

    def _take(self, take: Callable[[], list[Output]]) -> None:
        """Pass an input to the core and measure how long the core takes.

        `uvloop` does not tell when a turn began (its clock is read again on each call).  So once the core has used
        half of `TURN_S`, a callback is scheduled that marks the next turn; under light load this hardly ever happens.
        """
        began_s = time.monotonic()
        self.carry_out(take())
        self._core_time_s += time.monotonic() - began_s
        if self._core_time_s >= TURN_S / 2 and not self._turn_end_scheduled:
            self._turn_end_scheduled = True
            self.loop.call_soon(self._on_next_turn)

    def _on_next_turn(self) -> None:
        self._turn_end_scheduled = False
        self._core_time_s = 0.0

    def _input(
        self,
        rank: Rank,
        take: Callable[[], list[Output]],
        refuse: Callable[[], list[Output]] | None = None,
        patience_us: int = NO_TIMEOUT_US,
    ) -> None:
        """Pass an input to the core: at once, or through the inbox if the process is behind."""
        if self._keeps_up():
            self._take(take)
            return
        refused = self._inbox.put(self.now()[0], rank, take, refuse, patience_us)
        if refused:
            self.carry_out(refused)
        self._drain_soon()

    def _drain_soon(self) -> None:
        if not self._draining:
            self._draining = True
            self.loop.call_soon(self._drain)

    def _drain(self) -> None:
        """Handle waiting inputs for up to `TURN_S`, then return to the event loop so that the sockets are read."""
        self._draining = False
        until_s = time.monotonic() + TURN_S
        now_us = self.now()[0]
        input_delay_us = self._inbox.input_delay_us(now_us)
        if input_delay_us > BEHIND_LOG_US and now_us > self._logged_us + LOG_INTERVAL_US:
            log.info(
                "behind by %.1f s: reports are taken first, %d requests were refused",
                input_delay_us / 1e6,
                self._inbox.refused,
            )
            self._logged_us, self._inbox.refused = now_us, 0
        self.core.kernel.input_delay_us = input_delay_us
        try:
            while self._inbox and time.monotonic() < until_s:
                self.carry_out(self._inbox.take(self.now()[0]))
        finally:
            # Also after an exception in the core: the inputs that wait behind the failed input are still handled.
            if self._inbox:
                self._drain_soon()

    async def _send(self, call_id: int, call: Call) -> None:
        reply = await self._call(call)
        self._input(rank_of_reply(call), lambda: self.core.reply(*self.now(), call_id, reply))

    async def _call(self, call: Call) -> Reply:
        data = None if call.body is None else msgspec.msgpack.encode(call.body)
        timeout = aiohttp.ClientTimeout(total=call.timeout_us / 1_000_000)
        url = URL(f"http://{call.address}{call.path}", encoded=True)
        try:
            async with self.client.request(
                call.method,
                url,
                data=data,
                headers=_HEADERS if data else None,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                raw = await response.read()
                return Reply(response.status, msgspec.msgpack.decode(raw) if raw else None)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return Reply(0, refused=True)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError, msgspec.DecodeError):
            return Reply(0)

    async def handle(self, request: web.BaseRequest, from_peer: bool) -> web.StreamResponse:
        """Answer one HTTP request from a peer (`from_peer`), or from a user, a worker or an operator."""
        readable, body = True, None
        if request.can_read_body:
            if request.content_length is not None and request.content_length > MAX_BODY and not from_peer:
                return self._response(Answer(0, 400, {"error": "the body is over 64 KiB"}), close=True)
            try:
                raw = await request.read()
                body = msgspec.msgpack.decode(raw)
                readable = len(raw) <= MAX_BODY or from_peer
            except (web.HTTPRequestEntityTooLarge, ValueError, msgspec.DecodeError, RecursionError):
                readable = False
        take = self.core.peer_request if from_peer else self.core.request
        if request.path.startswith("/operators/") and not from_peer and self._bearer is not None:
            sent = request.headers.get("Authorization", "").encode("utf-8", "surrogateescape")
            if not hmac.compare_digest(sent, self._bearer):
                return self._response(Answer(0, 401, {"error": "the operators' bearer token is missing or wrong"}))
            take = self.core.operator_request
        self._next_request += 1
        request_id = self._next_request
        future: asyncio.Future[Answer] = self.loop.create_future()
        self._answers[request_id] = future
        rank, patience_us = rank_of(request.path)
        self._input(
            rank,
            lambda: take(*self.now(), request_id, request.method, request.path, body, readable),
            lambda: [Answer(request_id, 503, {"error": "behind"}, 1)],
            patience_us,
        )
        try:
            return self._response(await future)
        finally:
            self._answers.pop(request_id, None)

    def _response(self, answer: Answer, close: bool = False) -> web.StreamResponse:
        headers = dict(_HEADERS)
        if answer.retry_after_s is not None:
            headers["Retry-After"] = str(answer.retry_after_s)
        response = web.Response(status=answer.status, body=msgspec.msgpack.encode(answer.body), headers=headers)
        if close:
            response.force_close()
        return response

    async def _listen(self, server: web.Server, host: str, port: int) -> None:
        """Listen on an address, and retry while the previous process still uses it.

        Raises OSError if the address is still in use after `ADDRESS_WAIT_S`, and at once for any other error.
        """
        until_s = time.monotonic() + ADDRESS_WAIT_S
        logged = False
        while True:
            try:
                await self.loop.create_server(server, host, port, backlog=256)
                return
            except OSError as error:
                if error.errno != errno.EADDRINUSE or time.monotonic() > until_s:
                    raise
            if not logged:
                log.info("%s:%s is in use still: waiting for it", host, port)
                logged = True
            await asyncio.sleep(ADDRESS_RETRY_S)

    async def serve(self) -> None:
        """Listen on both addresses until the process gets SIGTERM, then hand over and return."""

        async def public(request: web.BaseRequest) -> web.StreamResponse:
            return await self.handle(request, from_peer=False)

        async def peer(request: web.BaseRequest) -> web.StreamResponse:
            return await self.handle(request, from_peer=True)

        for handler, address in ((public, self.settings.api_addr), (peer, self.settings.cluster_listen)):
            host, _, port = address.rpartition(":")
            server = web.Server(handler, access_log=None, keepalive_timeout=90)
            await self._listen(server, host, int(port))
        log.info("listening on %s", self.settings.api_addr)
        self.carry_out(self.core.start(*self.now()))
        stop_requested = asyncio.Event()
        with contextlib.suppress(NotImplementedError, RuntimeError, ValueError, OSError):
            # On a platform without signal handlers the process ends without a handover.
            self.loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
        await stop_requested.wait()
        self.carry_out(self.core.stop(*self.now()))
        until_s = time.monotonic() + SHUTDOWN_LIMIT_S
        while time.monotonic() < until_s and (self._answers or not self.core.ended):
            await asyncio.sleep(0.02)
        await self.client.close()


async def _main(settings: Settings, operator_settings: OperatorSettings, token: str | None) -> None:
    await Daemon(settings, operator_settings, token).serve()


def run(settings: Settings, operator_settings: OperatorSettings, token: str | None = None) -> Any:
    """Run a controller until it gets SIGTERM."""
    # Records are decoded into thousands of small objects, and reference counting frees nearly all that do not stay
    # alive.  With the default threshold of 700 objects, searching for reference cycles took a tenth of the time of
    # reading a record.
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    return uvloop.run(_main(settings, operator_settings, token))
