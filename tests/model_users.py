"""The users of the model: they submit, query and cancel jobs, and compare each answer with the earlier ones."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ashtray.kernel import Call, Reply
from tests.model_basis import CANCEL_S, FORGOTTEN_S, SECOND, RuleBroken, UserJob

CLOSE_LOOK_DELAYS_US = (0, 3_000, 30_000, 250_000, 900_000)
"""How long after an event of a job all controllers are asked about it (a close look)."""
MAX_CLOSE_LOOKS, CLOSE_LOOKS_REFILL_S = 10, 5.0
"""The most close looks at one time, and the time (s) until as many are allowed again."""
CANCELLED_AT_ONCE_SHARE = 0.1
"""The share of jobs that are cancelled within 5 ms of their acceptance."""


class Users:
    """The part of the model that sends requests to the controllers and checks their answers."""

    def _begin_users(self) -> None:
        self.calm_since_us: int | None = None
        self.close_looks = False
        self._close_looks_left, self._close_looks_us = float(MAX_CLOSE_LOOKS), 0
        self._accepted_count = 0

    def submit(self, spec: dict[str, Any]) -> None:
        """Submit a job to a random controller; retry until it is accepted or refused."""
        job_id = spec["name_id"]
        self.jobs[job_id] = UserJob(spec)
        self._submit(job_id)

    def _ask(
        self,
        method: str,
        path: str,
        body: Any,
        timeout_s: float,
        then: Callable[[Reply], None],
        node: int | None = None,
    ) -> None:
        """Send a request to a controller, a random one if none is given."""
        node = self.rng.randrange(len(self.hosts)) if node is None else node
        asked_us = self.now

        def answered(reply: Reply) -> None:
            self.asked_us = asked_us
            then(reply)

        self.send("user", Call(f"c{node}:1", method, path, body, int(timeout_s * SECOND)), answered)

    def _submit(self, job_id: str) -> None:
        job = self.jobs[job_id]

        def answered(reply: Reply) -> None:
            if reply.status in (200, 201):
                self._accepted(job_id, reply)
            elif reply.status in (400, 422) and job.accepted_us is None:
                self.refusals[job_id] = reply.body["error"]
            elif job.accepted_us is not None and reply.status in (400, 404, 422):
                raise RuleBroken(f"forgotten: {job_id} submitted again gets {reply.status}")
            elif reply.status not in (400, 422):
                self.at(SECOND, lambda: self._submit(job_id))

        self._ask("POST", "/submissions", job.spec, 5, answered)

    def _accepted(self, job_id: str, reply: Reply) -> None:
        """Check an answer that accepts a submission; at the first one, begin to poll the job."""
        job = self.jobs[job_id]
        if reply.status == 201 and job.known_us is not None and self.asked_us > job.known_us:
            raise RuleBroken(f"went_back: {job_id} is accepted anew")
        first = job.accepted_us is None
        if first:
            job.accepted_us = self.now
            self._poll(job_id)
        self._told(job_id, reply.body["status"])
        if first:
            self._look(job_id)
            self._accepted_count += 1
            if self.close_looks and self._accepted_count > 1 and self.rng.random() < CANCELLED_AT_ONCE_SHARE:
                self.at(self.rng.randrange(1, 5_000), lambda: self.cancel(job_id))

    def _answered(self, job_id: str, reply: Reply) -> None:
        """Check the answer to a query about a submitted job."""
        known_us = self.jobs[job_id].known_us
        if reply.status == 200:
            self._told(job_id, reply.body["status"])
        elif reply.status == 404 and known_us is not None and self.asked_us > known_us:
            raise RuleBroken(f"forgotten: {job_id} gets 404")

    # Close looks

    def look_closely(self) -> None:
        """From now on, query all controllers in a burst whenever a job is accepted, ends or is cancelled.

        Users also repeat the submission and the cancellation then, and cancel some jobs right after acceptance.
        """
        self.close_looks = True

    def _look(self, job_id: str) -> None:
        """Query all controllers within milliseconds, and several times more within a second."""
        if not self.close_looks or self.jobs[job_id].accepted_us is None:
            return
        rate = MAX_CLOSE_LOOKS / CLOSE_LOOKS_REFILL_S
        since_s = (self.now - self._close_looks_us) / SECOND
        self._close_looks_left = min(self._close_looks_left + rate * since_s, MAX_CLOSE_LOOKS) - 1
        self._close_looks_us = self.now
        if self._close_looks_left < 0:
            # The number of queries is bounded: when many jobs end together, only some are queried.
            self._close_looks_left = 0
            return
        nodes = range(len(self.hosts))
        for delay_us in CLOSE_LOOK_DELAYS_US:
            for node in nodes:
                late_us = delay_us + self.rng.randrange(1, 1_000)
                self.at(late_us, lambda node=node: self._query(job_id, node))
        for repeat in (self._repeat_submission, self._repeat_cancellation):
            node = self.rng.randrange(len(self.hosts))
            self.at(self.rng.randrange(1, 20_000), lambda repeat=repeat, node=node: repeat(job_id, node))

    def _query(self, job_id: str, node: int) -> None:
        self._ask("GET", f"/submissions/{job_id}", None, 2, lambda reply: self._answered(job_id, reply), node)

    def _repeat_submission(self, job_id: str, node: int) -> None:
        """Submit an accepted job once more, without a retry."""

        def answered(reply: Reply) -> None:
            if reply.status in (200, 201):
                self._accepted(job_id, reply)
            elif reply.status in (400, 404, 422):
                raise RuleBroken(f"forgotten: {job_id} submitted again gets {reply.status}")

        if self.jobs[job_id].accepted_us is not None:
            self._ask("POST", "/submissions", self.jobs[job_id].spec, 5, answered, node)

    def _repeat_cancellation(self, job_id: str, node: int) -> None:
        """Cancel an ended job once more: the answer must be its final state."""

        def answered(reply: Reply) -> None:
            if reply.status == 404:
                raise RuleBroken(f"forgotten: {job_id} cannot be cancelled")
            if reply.status == 200:
                self._told(job_id, reply.body["status"])

        if self.jobs[job_id].told is not None:
            self._ask("POST", f"/submissions/{job_id}/abort", None, 5, answered, node)

    def _job_ended(self, job_id: str) -> None:
        """A job's last task has just completed."""
        self._look(job_id)
        self._cancel_at_end(job_id)

    def _poll(self, job_id: str) -> None:
        """Query a job every two seconds."""

        def answered(reply: Reply) -> None:
            self._answered(job_id, reply)
            self.at(2 * SECOND, lambda: self._poll(job_id))

        self._ask("GET", f"/submissions/{job_id}", None, 2, answered)

    def calm(self) -> None:
        """All troubles are over: check from now on that no accepted job, by itself, is forgotten or neglected."""
        if self.calm_since_us is not None:
            return
        self.calm_since_us = self.now
        self._check_neglect()
        answered_us = {job_id: self.now for job_id, job in self.jobs.items() if job.accepted_us is not None}

        def ask(turn: int) -> None:
            for job_id in sorted(answered_us):
                if self.now - answered_us[job_id] > FORGOTTEN_S * SECOND:
                    raise RuleBroken(f"forgotten: no question about {job_id} has been answered for {FORGOTTEN_S} s")

                def answered(reply: Reply, job_id: str = job_id) -> None:
                    if reply.status == 200:
                        answered_us[job_id] = self.now
                        self._told(job_id, reply.body["status"])
                    elif reply.status == 404:
                        raise RuleBroken(f"forgotten: {job_id} gets 404")

                self._ask("GET", f"/submissions/{job_id}", None, 2, answered, turn % len(self.hosts))
            self.at(3 * SECOND, lambda: ask(turn + 1))

        ask(0)

    def ask_unknown(self) -> None:
        """Query a job that nobody has submitted, every three seconds."""

        def answered(reply: Reply) -> None:
            if reply.status == 200:
                raise RuleBroken("invented")

        self._ask("GET", "/submissions/job-999999", None, 2, answered)
        self.at(3 * SECOND, self.ask_unknown)

    def storm(self, seconds: float, rate: int = 40, ids: tuple[str, ...] = ()) -> None:
        """Send `rate` queries a second, about known jobs (or `ids`) and about some that nobody has submitted."""

        def ask() -> None:
            known = ids or (*sorted(self.jobs), "job-999999", "job-999998")
            job_id = self.rng.choice(known)
            job = self.jobs.get(job_id)

            def answered(reply: Reply) -> None:
                if job is not None:
                    self._answered(job_id, reply)
                elif reply.status == 200:
                    raise RuleBroken("invented")

            self._ask("GET", f"/submissions/{job_id}", None, 2, answered)

        for n in range(int(seconds * rate)):
            self.at(n * SECOND // rate, ask)

    def cancel(self, job_id: str) -> None:
        """Cancel an accepted job at a random controller; retry until the cancellation is answered."""
        job = self.jobs.get(job_id)
        if job is None or job.accepted_us is None:
            return
        job.cancel_asked = True

        def answered(reply: Reply) -> None:
            if reply.status == 200:
                self._told(job_id, reply.body["status"])
            elif reply.status == 404:
                raise RuleBroken(f"forgotten: {job_id} cannot be cancelled")
            else:
                self.at(SECOND, lambda: self.cancel(job_id))

        self._ask("POST", f"/submissions/{job_id}/abort", None, 5, answered)

    def _told(self, job_id: str, status: str) -> None:
        """Check a state that a user was told against the earlier answers and against what the tasks did."""
        job = self.jobs[job_id]
        if job.known_us is None:
            job.known_us = self.now
        if status == "done" and len(job.finished) < job.spec["pieces"]:
            raise RuleBroken(f"not_done: {job_id} with {sorted(job.finished)} of {job.spec['pieces']}")
        since = self._orphaned_since_us(job_id)
        if status in ("pending", "running") and since is not None and self.asked_us > since + CANCEL_S * SECOND:
            raise RuleBroken(f"orphaned: {job_id} is {status}")
        # An answer counts as newer if its question was sent after the earlier answer arrived.
        older = self.asked_us > job.told_us or status in ("done", "cancelled")
        if job.told in ("done", "cancelled") and status != job.told and older:
            raise RuleBroken(f"went_back: {job_id} from {job.told} to {status}")
        if status == "cancelled":
            if not self._may_be_cancelled(job_id):
                raise RuleBroken(f"went_back: {job_id} was not cancelled")
            if job.cancelled_us is None:
                job.cancelled_us = self.now
                self.at(int(CANCEL_S * SECOND) + 1, lambda: self.check_cancelled(job_id))
        if status in ("done", "cancelled") and job.told is None:
            job.told, job.told_us = status, self.now
            self._look(job_id)

    def _may_be_cancelled(self, job_id: str) -> bool:
        """Whether the cancellation of the job, or of a job that it waits on, was requested."""
        job = self.jobs[job_id]
        return job.cancel_asked or any(
            self._may_be_cancelled(dependency) for dependency in job.spec.get("waits_on") or ()
        )

    def _orphaned_since_us(self, job_id: str) -> int | None:
        """Since when (us) users have known that the job is accepted and that a job which it waits on is cancelled.

        Dependencies of dependencies count too.  None if either is not known.
        """
        job = self.jobs[job_id]
        found = []
        for dependency in job.spec.get("waits_on") or ():
            at_us = self.jobs[dependency].cancelled_us
            at_us = self._orphaned_since_us(dependency) if at_us is None else at_us
            if at_us is not None and job.accepted_us is not None:
                found.append(max(at_us, job.accepted_us))
        return min(found, default=None)
