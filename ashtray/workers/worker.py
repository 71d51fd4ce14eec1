"""The state that a controller keeps for each worker that reports to it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ashtray.placement.machine_groups import Machine
from ashtray.workers.messages import Report, TaskKey


@dataclass(frozen=True)
class OutstandingOrders:
    """Launches and kills that were sent to a worker and that it may still execute."""

    token: int
    session: int
    tasks: frozenset[TaskKey]
    """The tasks that the orders name."""

    def superseded_by(self, report: Report) -> bool:
        """Return whether the worker that sent this report can no longer execute these orders."""
        return report.token > self.token or report.session > self.session


@dataclass
class Worker:
    """What this controller knows about a worker from the worker's own reports and answers."""

    name: str
    token: int = 0
    """The ownership token with which this controller claims the worker; 0 if it does not claim the worker."""
    token_confirmed: bool = False
    """Whether the newest report carries `token`."""
    previous_token: int = 0
    """The confirmed token that `token` replaced in the machine's record, until a report confirms `token`.

    0 if `token` was claimed in any other way.
    """
    next_token: int = 0
    """The token that a fold of this controller may record in place of `token`; 0 if none has been chosen."""
    direct_launches: set[TaskKey] = field(default_factory=set)
    """The tasks that direct orders with `token` have launched.

    The network may deliver a copy of such orders, which the worker executes again unless it knows a higher token.
    """
    report: Report | None = None
    """The newest report; None if there is none yet or the worker was redirected."""
    newest: tuple[int, int] = (0, -1)
    """Session and tick of the newest report received, including redirected reports."""
    heard_us: int = 0
    """When the worker last reported here in a way that shows that it also receives answers (safety point 28)."""
    redirected_us: int = -(10**15)
    """When a report was last answered with a redirect to another controller."""
    keep_until_us: int = 0
    """Until then the worker is not redirected to the controller that is responsible for its group."""
    reconciling: bool = False
    """Whether a coroutine is sending orders to the worker."""
    reconcile_again: bool = False
    """Whether something has changed since that coroutine last computed orders."""
    in_flight: bool = False
    """Whether orders were sent directly and have no answer yet."""
    outstanding: OutstandingOrders | None = None
    announced_token: int = 0
    """The last token that was announced to the worker in a direct message."""
    direct_backoff_until_us: int = 0
    """Until then orders go out only in answers to reports, because a direct message got no answer."""
    answered_report: tuple[int, int] | None = None
    """Session and tick of the report whose answer carried orders; no direct orders are sent until a later report."""
    terminates_us: int | None = None
    """When the cloud takes the machine away, if it has given notice."""
    in_sync: tuple[Machine, Report] | None = None
    """The machine's record and the report that needed no orders when they were last compared."""
    in_sync_and_folded: tuple[Machine, Report] | None = None
    """The same, if there was nothing to fold either."""
    running_since_us: dict[TaskKey, int] = field(default_factory=dict)
    """When each task was first reported as running, for tasks that an earlier report showed not yet running."""
    clears: list[dict[str, Any]] = field(default_factory=list)
    """Orders to forget ended tasks. They go out with the next answer, because nothing waits for them."""

    def claim(self, token: int) -> None:
        """Claim the worker with a new token, which no report confirms yet; 0 gives up the claim."""
        self.token, self.token_confirmed = token, False
        self.previous_token = self.next_token = 0
        self.direct_launches.clear()

    def note_recorded_token(self, recorded: int) -> None:
        """Switch to the next token if it is the one that the machine's record carries now."""
        if self.next_token and recorded == self.next_token:
            previous = self.token if self.token_confirmed else 0
            self.claim(recorded)
            self.previous_token = previous

    def confirm_token(self, reported: int) -> None:
        """Note the token that the newest report carries."""
        self.token_confirmed = reported == self.token
        if self.token_confirmed:
            self.previous_token = 0

    @property
    def obeys(self) -> bool:
        """Whether the worker executes no other controller's orders, by its newest report.

        The report carries `token`, or the token that this controller has replaced with it in the machine's record.
        """
        if self.token_confirmed:
            return True
        return self.report is not None and 0 < self.previous_token == self.report.token

    def has_repeatable_clears(self) -> bool:
        """Return whether a task has ended that a copy of a direct order with `token` would start again once cleared.

        It is cleared only with a higher token (safety point 4).
        """
        tasks = self.report.tasks if self.report is not None else {}
        return any((seen := tasks.get(key)) is not None and seen.state == "ended" for key in self.direct_launches)

    def time_left_us(self, now_us: int) -> int | None:
        """Return the time until the cloud takes the machine away, in microseconds; None if it has given no notice."""
        return None if self.terminates_us is None else self.terminates_us - now_us

    def may_start(self, job_ids: frozenset[str]) -> bool:
        """Return whether a task of these jobs may still start: its image is being fetched or its orders are out."""
        if self.outstanding is not None and any(key[0] in job_ids for key in self.outstanding.tasks):
            return True
        return self._fetches(job_ids)

    def has_unstarted(self, job_ids: frozenset[str]) -> bool:
        """Return whether a task of these jobs may still start that the newest report does not show as started."""
        tasks = self.report.tasks if self.report is not None else {}
        named = self.outstanding.tasks if self.outstanding is not None else frozenset()
        return self._fetches(job_ids) or any(key[0] in job_ids and key not in tasks for key in named)

    def _fetches(self, job_ids: frozenset[str]) -> bool:
        tasks = self.report.tasks if self.report is not None else {}
        return any(seen.state == "fetching" and key[0] in job_ids for key, seen in tasks.items())
