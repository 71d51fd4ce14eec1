"""Scheduling of folds: which machines' reports are written into the records of their groups, and when.

A *fold* is the transaction that writes what workers reported (`folding.py`).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from ashtray.base import Base
from ashtray.kernel import SECOND_US, Coroutine, Signal, Sleep, Wait
from ashtray.placement.machine_groups import Group, Machine
from ashtray.store.rate_limiter import Urgency
from ashtray.store.refusals import SetAside
from ashtray.store.transaction import CommitOutcome, Txn
from ashtray.workers.completed_jobs import CompletedJobs
from ashtray.workers.folding import Evidence, Fold
from ashtray.workers.worker import Worker

FOLD_DELAY_US = 150_000
SCARCE_FOLD_DELAY_US = 500_000
"""How long a fold waits for more reports to write together, and the same while the write budget is scarce."""
MAX_FOLD_INTERVAL_US = 1_700_000
SCARCE_MAX_FOLD_INTERVAL_US, LOW_SCARCE_MAX_FOLD_INTERVAL_US = 4 * SECOND_US, 20 * SECOND_US
"""The longest time between folds that are not urgent; the latter two while the write budget is scarce.

The ends of jobs and failures are urgent, because a job's end has to be visible within 3 s.
"""


class FoldScheduler:
    """Folds the reports of marked machines, and ends jobs whose tasks are all done."""

    def __init__(
        self,
        base: Base,
        workers: Mapping[str, Worker],
        completed_jobs: CompletedJobs,
        next_token: Callable[[int], int],
    ) -> None:
        """Create a scheduler for the given workers, by machine name; `next_token` returns one above the given one."""
        self.base = base
        self.kernel = base.kernel
        self.workers = workers
        self.completed_jobs = completed_jobs
        self._next_token = next_token
        self._signal = Signal()
        self._marked: dict[str, set[str]] = {}
        """For each group, the machines with something to fold."""
        self._urgent: set[str] = set()
        """Groups that are folded at once.  The others still wait, because each group costs a write."""
        self._fold_all = False
        """Whether the next fold takes all groups, not only the urgent ones."""
        self._set_aside = SetAside()
        """The groups whose fold was refused as too large even by itself, by key."""
        self._last_fold: Fold | None = None
        self._last_fold_us = 0
        """When the last fold of all groups was committed."""
        self._last_fold_writes = 0
        """How many writes that fold took."""
        self._failed_folds = 0
        """How many folds in a row have failed, up to 5."""

    def fold_now(self) -> None:
        """Fold all marked machines at once, because a job waits for capacity that their reports have freed."""
        self._urgent.update(self._marked)
        self.kernel.fire(self._signal)

    def schedule(self, machine: Machine, urgent: bool) -> None:
        """Mark a machine whose report is to be folded into its group's record, at once if it is urgent."""
        self._marked.setdefault(machine.group, set()).add(machine.name)
        if urgent:
            self._urgent.add(machine.group)
        self.kernel.fire(self._signal)

    def _evidence(self, group: Group) -> dict[str, Evidence]:
        """Return the reports, by machine, of those marked machines of a group whose token is confirmed."""
        evidence = {}
        # In order, so that new tokens do not depend on the hashes of names.
        for name in sorted(self._marked.get(group.key, group.machines)):
            worker = self.workers.get(name)
            if worker is not None and worker.token and worker.report is not None and worker.token_confirmed:
                # While orders are on their way, a task that is not listed may be about to start.
                busy = worker.in_flight or worker.answered_report is not None
                next_token = self._token_to_record(worker) if worker.has_repeatable_clears() else 0
                evidence[name] = Evidence(
                    worker.report, worker.token, not busy, worker.time_left_us(self.kernel.now_us), next_token
                )
        return evidence

    def _token_to_record(self, worker: Worker) -> int:
        """Return the token that a fold records in place of a worker's current one.

        It stays the same until the record has it, because the outcome of an earlier fold may be unknown.
        """
        if not worker.next_token:
            worker.next_token = self._next_token(worker.token)
        return worker.next_token

    def _build(self) -> Txn | None:
        """Return the transaction that folds all groups or the urgent ones; None if there is nothing to write."""
        cluster_state = self.base.cluster_state
        fold = Fold(self.kernel, cluster_state, self.base.limits_for("fold"))
        for job in self.completed_jobs.ready(deferrable=False):
            fold.end(job)
        # Groups that were marked first come first, because not all may fit.
        for key, names in list(self._marked.items()):
            if not self._fold_all and key not in self._urgent or self._set_aside.has(key, self.kernel.now_us):
                continue
            group = cluster_state.groups.get(key)
            if group is not None:
                fold.add(group, names, self._evidence(group))
            self._unmark(key, names if group is None else fold.unchanged)
        self._last_fold = fold
        return fold.transaction()

    def group_only_fold(self, groups: Iterable[str] | None = None) -> Fold:
        """Return the fold of reports that change group records only, for a placement to write with its own changes.

        It covers the given groups, by default all that have marked machines.
        """
        fold = Fold(self.kernel, self.base.cluster_state, self.base.limits)
        for key in list(self._marked) if groups is None else groups:
            group = self.base.cluster_state.groups.get(key)
            if group is not None and key in self._marked:
                fold.add_group_only(group, self._marked[key], self._evidence(group))
        return fold

    def mark_folded(self, names: set[str]) -> None:
        """Unmark machines whose reports are in their records now."""
        for key in list(self._marked):
            self._unmark(key, names)

    def groups_to_fold(self) -> set[str]:
        """Return the groups with marked machines, whose records are to be written anyway."""
        return set(self._marked)

    def _unmark(self, group: str, names: set[str]) -> None:
        self._marked[group] = self._marked[group] - names
        if not self._marked[group]:
            del self._marked[group]
            self._urgent.discard(group)

    def _fold_interval_us(self) -> int:
        """Return the time between folds of all groups, in microseconds, which bounds their part of the write budget.

        Folds may take half of this controller's writes, or a quarter while writes are scarce.  Under the lower limits
        a fold covers few groups and a job needs more writes, so the part is a tenth.  Jobs that need capacity ask for
        a fold, and placements write the freed capacity of the groups that they change.
        """
        writes = self.base.store.writes
        scarce = (
            (10, LOW_SCARCE_MAX_FOLD_INTERVAL_US) if self.base.limits.lowered else (4, SCARCE_MAX_FOLD_INTERVAL_US)
        )
        divisor, max_us = scarce if writes.scarce() else (2, MAX_FOLD_INTERVAL_US)
        return min(int(divisor * self._last_fold_writes / max(writes.bucket.rate, 0.1) * SECOND_US), max_us)

    def run(self) -> Coroutine[None]:
        """Wait until there is something to fold, and fold it."""
        completed = self.completed_jobs.ready(deferrable=False)
        if not self._marked and not completed:
            yield Wait(self._signal, SECOND_US // 4)
            return
        # The end of a job may wait for others while writes are scarce, but has to be visible within 3 s.
        yield Sleep(SCARCE_FOLD_DELAY_US if self.base.store.writes.scarce() else FOLD_DELAY_US)
        while (
            not self._urgent and not completed and self.kernel.now_us < self._last_fold_us + self._fold_interval_us()
        ):
            yield Wait(self._signal, self._last_fold_us + self._fold_interval_us() - self.kernel.now_us)
        self._fold_all = self.kernel.now_us >= self._last_fold_us + self._fold_interval_us()
        expected_writes = min(len(self._marked if self._fold_all else self._urgent) + 1, self.base.limits.ops)
        outcome = yield from self.base.follower.commit(self._build, expected_writes, Urgency.FOLD, "fold")
        last_fold = self._last_fold
        if outcome is CommitOutcome.COMMITTED and last_fold is not None:
            self._failed_folds = 0
            if self._fold_all:
                self._last_fold_us = self.kernel.now_us
                self._last_fold_writes = expected_writes
            for line in last_fold.lines:
                self.kernel.log("info", line)
            for key in last_fold.edits:
                self._set_aside.remove(key)
            self.mark_folded(last_fold.taken)
        elif outcome is CommitOutcome.REFUSED and last_fold is not None:
            self._after_refusal(last_fold)
        elif outcome is not CommitOutcome.NOTHING:
            self._failed_folds = min(self._failed_folds + 1, 5)
            yield Sleep(int(self.kernel.rng.uniform(0.0, 0.03) * 2**self._failed_folds * SECOND_US))
            yield from self.base.follower.barrier()

    def _after_refusal(self, fold: Fold) -> None:
        """Set a group aside if its fold was refused though it had the transaction for itself.

        A group that cannot be folded must not hold up the others.
        """
        if len(fold.edits) != 1:
            return
        for key in fold.edits:
            pause_s = self._set_aside.add(key, self.kernel.now_us) // SECOND_US
            self.kernel.log("error", f"{key} is not folded for {pause_s} s: refused though it was alone")
