"""The users' requests: submissions, polls and cancellations."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Any

import msgspec

from ashtray.jobs.messages import Malformed, parse_submission, state_body
from ashtray.jobs.model import LIVE, OVER, JobRecord, JobSpec
from ashtray.kernel import SECOND_US, Call, Fiber, Reply, Signal, Wait
from ashtray.placement.explain import explain
from ashtray.store.client import Txn, Urgency
from ashtray.teams.limits import can_ever_run
from ashtray.workers.folding import ends_later

if TYPE_CHECKING:
    from ashtray.controller import Controller

MAX_BACKLOG = 150
MAX_LOOKING = 30
"""Final states that are read for polls at one time: they may not take the requests that leases and commits need."""
HAND_ON_US = 850_000
MAX_HANDED_ON = 100
"""Requests that are with a peer at one time: more are answered at once."""


class JobDesk:
    def __init__(self, ctl: Controller) -> None:
        self.ctl = ctl
        self.kernel = ctl.kernel
        self._looking: dict[str, Signal] = {}
        """Final states that are being read for somebody: whoever else asks meanwhile waits for the same reading."""
        self._handed_on = 0

    def _busy(self, request_id: int) -> bool:
        if self.ctl.store.backlog() < MAX_BACKLOG:
            return False
        self.kernel.answer(request_id, 429, {"error": "too much to do"}, 2)
        return True

    def _unready(self, request_id: int, handed: bool, method: str, path: str, body: Any) -> bool:
        """Without the state service: hand on to a peer that has it, or say when to come back."""
        follower = self.ctl.follower
        if follower.loaded and follower.failed_since_us is None and self.ctl.presence.incarnation:
            return False
        # A request is handed on at the first failure: it costs little, unlike sending workers to and fro.
        peers = [] if handed else self.ctl.presence.connected()
        if not peers or self._handed_on >= MAX_HANDED_ON:
            self.kernel.answer(request_id, 503, {"error": "the state service does not answer"}, 1)
        else:
            self.kernel.spawn(self._hand_on(request_id, peers[:2], method, path, body))
        return True

    def _hand_on(self, request_id: int, peers: list[str], method: str, path: str, body: Any) -> Fiber[None]:
        """Ask the peers heard of last, one after the other: one may have fallen silent since, and users wait 2 s."""
        request = {"method": method, "path": path, "body": body}
        self._handed_on += 1
        for peer in peers:
            reply: Reply = yield Call(
                self.ctl.peers.peers[peer].address, "POST", "/peer/request", request, HAND_ON_US
            )  # fmt: skip
            if reply.status in (200, 201, 400, 404, 422):
                self.kernel.answer(request_id, reply.status, reply.body)
                break
        else:
            self.kernel.answer(request_id, 503, {"error": "the state service does not answer"}, 1)
        self._handed_on -= 1

    def submit(self, request_id: int, body: Any, handed: bool = False) -> None:
        try:
            job_id, spec = parse_submission(body)
        except Malformed as error:
            self.kernel.answer(request_id, 400, {"error": str(error)})
            return
        if not self._unready(request_id, handed, "POST", "/submissions", body) and not self._busy(request_id):
            self.kernel.spawn(self._submit(request_id, job_id, spec))

    def refusal(self, spec: JobSpec) -> str | None:
        """Why a job can never run, if so."""
        team = self.ctl.teams.get(spec.team)
        if team is None:
            return f"unknown team {spec.team}"
        if not can_ever_run(team, spec):
            return f"over the limit of team {spec.team}"
        zones = set(self.ctl.settings.cluster.zones)
        for kind in self.ctl.picture.types.values():
            allowed = not spec.types or kind.name in spec.types
            there = spec.zone is None or spec.zone in kind.zones or (not kind.zones and spec.zone in zones)
            if allowed and there and kind.fits(spec.cpus, spec.gpus, spec.memory_gb):
                return None
        return "no allowed machine type fits a task"

    def _submit(self, request_id: int, job_id: str, spec: JobSpec) -> Fiber[None]:
        ctl = self.ctl
        # What could be known when the question came decides: while the look-up waits, the types may come in,
        # and a job that could not be judged must not be refused then.
        known = bool(ctl.picture.types)
        reason = self.refusal(spec) if known else "the machine types are not known yet"
        if reason is not None:
            # A job that is known already gets its state, whatever would be said of it now.
            status, body = yield from self._look_up(job_id)
            if status != 404:
                self._answer(request_id, status, body)
            elif known:
                self.kernel.log("info", f"{job_id} refused: {reason}")
                self.kernel.answer(request_id, 422, {"error": reason})
            else:
                self.kernel.answer(request_id, 503, {"error": reason}, 1)
            return
        record = JobRecord(spec, ctl.settings.host_name, self.kernel.wall_us)
        value = msgspec.to_builtins(record)
        txn = Txn().guard(LIVE + job_id, 0).guard(OVER + job_id, 0).put(LIVE + job_id, value)
        _, reply = yield from ctl.store.commit(lambda: txn, 1, Urgency.ACCEPT, "accept")
        if reply.status == 200:
            ctl.picture.put(LIVE + job_id, value, reply.body["ledger"])
            what = f"{spec.kind} of {spec.tasks}, {spec.job_class}, {spec.team}"
            self.kernel.log("info", f"{job_id} accepted ({what})")
            self.kernel.answer(request_id, 201, state_body(job_id, "pending"))
            ctl.placer.changed()
        elif reply.status == 409:
            status, body = yield from self._look_up(job_id)
            self._answer(request_id, status if status != 404 else 503, body)
        else:
            # It may have been accepted all the same: the retry will find out.
            self._answer(request_id, 429 if reply.status == 429 else 503, {"error": "not accepted yet"})

    def _answer(self, request_id: int, status: int, body: Any) -> None:
        self.kernel.answer(request_id, status, body, 1 if status in (429, 503) else None)

    def _look_up(self, job_id: str, urgency: Urgency = Urgency.ACCEPT) -> Fiber[tuple[int, Any]]:
        """A job's state as of a moment after the question came."""
        picture = self.ctl.picture
        while job_id not in picture.over:
            if not (yield from self.ctl.follower.barrier()):
                return 503, {"error": "the state service does not answer"}
            job = picture.jobs.get(job_id)
            if job is not None:
                if job_id in picture.completed() and ends_later(job, self.ctl.limits):
                    return 200, state_body(job_id, "done", job.spec.tasks, 0)
                running = len(picture.placed(job_id))
                status = "running" if running else "pending"
                done = len(picture.finished(job))
                return 200, state_body(job_id, status, done, running)
            if job_id in picture.over:
                break
            if job_id in picture.absent:
                return 404, {"error": "no such job"}
            # It ended before this picture was read, or there is no such job: read once, and known from then on.
            looking = self._looking.get(job_id)
            if looking is not None:
                if (yield Wait(looking, 2 * SECOND_US)) is None:
                    return 503, {"error": "the state service does not answer"}
                continue
            if len(self._looking) >= MAX_LOOKING and urgency > Urgency.ACCEPT:
                return 503, {"error": "too many questions"}
            if (yield from self._read_over(job_id, urgency)) not in (200, 404):
                return 503, {"error": "the state service does not answer"}
        over = picture.over[job_id]
        return 200, state_body(job_id, over["status"], over["done"], 0)

    def _read_over(self, job_id: str, urgency: Urgency) -> Fiber[int]:
        picture = self.ctl.picture
        signal = self._looking[job_id] = Signal()
        loads = picture.loads
        try:
            reply = yield from self.ctl.store.read(OVER + job_id, urgency)
        finally:
            del self._looking[job_id]
        if reply.status == 200:
            picture.note_over(job_id, reply.body["value"])
        elif reply.status == 404 and picture.loads == loads:
            picture.note_absent(job_id)
        self.kernel.fire(signal)
        return reply.status

    def poll(self, request_id: int, job_id: str, handed: bool = False) -> None:
        over = self.ctl.picture.over.get(job_id)
        if over is not None:
            self.kernel.answer(request_id, 200, state_body(job_id, over["status"], over["done"], 0))
        elif not self._unready(request_id, handed, "GET", f"/submissions/{job_id}", None):
            self.kernel.spawn(self._poll(request_id, job_id))

    def _poll(self, request_id: int, job_id: str) -> Fiber[None]:
        status, body = yield from self._look_up(job_id, Urgency.FREE)
        self._answer(request_id, status, body)

    def explain(self, request_id: int, job_id: str, handed: bool = False) -> None:
        if not self._unready(request_id, handed, "GET", f"/submissions/{job_id}/explain", None):
            self.kernel.spawn(self._explain(request_id, job_id))

    def _explain(self, request_id: int, job_id: str) -> Fiber[None]:
        ctl = self.ctl
        status, body = yield from self._look_up(job_id)
        job = ctl.picture.jobs.get(job_id)
        if status == 200 and job is not None:
            plan = ctl.plan()
            owner = ctl.presence.owner_of(job_id, job.record.owner)
            body = explain(plan, job, self.kernel.wall_us, owner)
        self._answer(request_id, status, body)

    def abort(self, request_id: int, job_id: str, handed: bool = False) -> None:
        if not self._unready(request_id, handed, "POST", f"/submissions/{job_id}/abort", None):
            self.kernel.spawn(self._abort(request_id, job_id))

    def _cancellation(self, job_id: str) -> Txn | None:
        picture = self.ctl.picture
        job = picture.jobs.get(job_id)
        if job is None:
            return None
        txn = Txn().guard(LIVE + job_id, job.version).remove(LIVE + job_id)
        if ends_later(job, self.ctl.limits):
            # It is done for its users once its groups say so: none of them may have come to that meanwhile.
            if job_id in picture.completed():
                return None
            for name, _ in picture.held.get(job_id, ()):
                group = picture.groups[picture.machines[name].group]
                txn.guard(group.key, group.version)
        return txn.put(OVER + job_id, job.over("cancelled", len(self.ctl.picture.finished(job))))

    def _abort(self, request_id: int, job_id: str) -> Fiber[None]:
        deadline_us = self.kernel.now_us + 3 * SECOND_US
        cancellation = partial(self._cancellation, job_id)
        while self.kernel.now_us < deadline_us:
            status, body = yield from self._look_up(job_id)
            if status != 200 or body["status"] in ("done", "cancelled"):
                break
            if (yield from self.ctl.follower.commit(cancellation, 2, Urgency.CANCEL, "cancel")):
                self.kernel.log("info", f"{job_id} cancelled")
                self.kernel.answer(request_id, 200, state_body(job_id, "cancelled"))
                return
        else:
            status, body = 503, {"error": "not cancelled yet"}
        if status == 200:
            body = state_body(job_id, body["status"])
        self._answer(request_id, status, body)


