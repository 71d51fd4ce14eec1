"""What a controller keeps of one worker."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from ashtray.placement.machine_groups import Machine
from ashtray.workers.messages import Report, TaskKey


@dataclass(frozen=True)
class OutstandingOrders:
    """Launches and kills that have gone out, and that the worker may still execute."""

    token: int
    session: int
    tasks: frozenset[TaskKey]
    """The tasks that they name."""

    def superseded_by(self, report: Report) -> bool:
        """Whether a worker that has made this report does not execute them any more."""
        return report.token > self.token or report.session > self.session


@dataclass
class Worker:
    """What this controller knows of a worker at first hand."""

    name: str
    token: int = 0
    """The token that this controller claims the worker with; 0: it does not."""
    token_confirmed: bool = False
    """Whether the newest report carries that token."""
    report: Report | None = None
    newest: tuple[int, int] = (0, -1)
    """Session and tick of the newest report that came, also of one that was sent on to another controller."""
    heard_us: int = 0
    redirected_us: int = -(10**15)
    keep_until_us: int = 0
    reconciling: bool = False
    reconcile_again: bool = False
    in_flight: bool = False
    """Orders sent directly have no answer yet."""
    outstanding: OutstandingOrders | None = None
    announced_token: int = 0
    """The last token that it was told of directly."""
    direct_backoff_until_us: int = 0
    answered_report: tuple[int, int] | None = None
    """Orders went out in the answer to this report: nothing is told directly until a later report."""
    terminates_us: int | None = None
    in_sync: tuple[Machine, Report] | None = None
    """The record and the report that agreed when they were last compared."""
    in_sync_and_folded: tuple[Machine, Report] | None = None
    """The same where there was nothing to fold either."""
    running_since_us: dict[TaskKey, int] = field(default_factory=dict)
    """When its tasks were first seen running, those that were not before."""
    clears: list[dict[str, Any]] = field(default_factory=list)
    """Ended tasks that may be forgotten: told with the next answer, for nothing waits for that."""

    def may_start(self, job_ids: frozenset[str]) -> bool:
        """Whether a task of these jobs may still start here: it fetches its image, or an order for it is underway."""
        if self.outstanding is not None and any(key[0] in job_ids for key in self.outstanding.tasks):
            return True
        tasks = self.report.tasks if self.report is not None else {}
        return any(seen.state == "fetching" and key[0] in job_ids for key, seen in tasks.items())
