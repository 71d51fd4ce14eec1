"""The users' requests: submissions, polls and cancellations."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

import msgspec

from ashtray.base import Base
from ashtray.estimates.learned import Estimates
from ashtray.jobs.accepting import Accepting
from ashtray.jobs.messages import Malformed, parse_submission, state_body
from ashtray.jobs.model import FEW_RUNS, LIVE, MOST_LATER, OVER, SPARE_BYTES, Job, JobRecord, JobSpec
from ashtray.kernel import SECOND_US, Call, Fiber, Reply, Signal, Sleep, Wait
from ashtray.peers.presence import Peers, Presence
from ashtray.placement.explain import explain
from ashtray.placement.picture import split_key
from ashtray.placement.plan import Planner
from ashtray.store.client import VALUE_SHARE, Txn, Urgency
from ashtray.teams.limits import can_ever_run
from ashtray.workers.folding import end_job, ends_later

MAX_BACKLOG = 150
MAX_RESOLVING = 8
RESOLVE_US = SECOND_US // 20
MAX_LOOKING = 30
"""Final states that are read for polls at one time: they may not take the requests that leases and commits need."""
HAND_ON_US = 850_000
MAX_HANDED_ON = 100
"""Requests that are with a peer at one time: more are answered at once."""


class JobDesk:
    def __init__(
        self,
        base: Base,
        presence: Presence,
        peers: Peers,
        planner: Planner,
        estimates: Estimates,
        placed_anew: Callable[[], None],
    ) -> None:
        """`placed_anew` is told when there may be something new to place."""
        self.base = base
        self.kernel = base.kernel
        self.presence = presence
        self.peers = peers
        self.planner = planner
        self.estimates = estimates
        self.placed_anew = placed_anew
        self._looking: dict[str, Signal] = {}
        """Final states that are being read for somebody: whoever else asks meanwhile waits for the same reading."""
        self.accepting = Accepting(base.kernel, base.store, base.limits, base.picture.knows)
        self._handed_on = 0
        self._resolved = -1
        """The picture's changes when all that is needed was last seen to be known, or asked for."""

    def _busy(self, request_id: int) -> bool:
        if self.base.store.backlog() + self.accepting.waiting() < MAX_BACKLOG:
            return False
        self.kernel.answer(request_id, 429, {"error": "too much to do"}, 2)
        return True

    def _unready(self, request_id: int, handed: bool, method: str, path: str, body: Any) -> bool:
        """Without the state service: hand on to a peer that has it, or say when to come back."""
        follower = self.base.follower
        if follower.loaded and follower.failed_since_us is None and self.presence.incarnation:
            return False
        # A request is handed on at the first failure: it costs little, unlike sending workers to and fro.
        peers = [] if handed else self.peers.connected()
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
            reply: Reply = yield Call(self.peers.peers[peer].address, "POST", "/peer/request", request, HAND_ON_US)
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
        team = self.base.teams.get(spec.team)
        if team is None:
            return f"unknown team {spec.team}"
        if not can_ever_run(team, spec):
            return f"over the limit of team {spec.team}"
        zones = set(self.base.settings.cluster.zones)
        for kind in self.base.picture.types.values():
            allowed = not spec.types or kind.name in spec.types
            there = spec.zone is None or spec.zone in kind.zones or (not kind.zones and spec.zone in zones)
            if allowed and there and kind.fits(spec.cpus, spec.gpus, spec.memory_gb):
                return None
        return "no allowed machine type fits a task"

    def _submit(self, request_id: int, job_id: str, spec: JobSpec) -> Fiber[None]:
        base = self.base
        # What could be known when the question came decides: while the look-up waits, the types may come in,
        # and a job that could not be judged must not be refused then.
        record = JobRecord(spec, base.settings.host_name, self.kernel.wall_us)
        value = msgspec.to_builtins(record)
        refused = self._judge(spec, value) or (yield from self._judge_needs(spec))
        if refused is not None:
            # A job that is known already gets its state, whatever would be said of it now.
            status, body = yield from self._look_up(job_id)
            if status == 404:
                status, body = refused[0], {"error": refused[1]}
                self.kernel.log("info", f"{job_id} refused: {refused[1]}")
            self._answer(request_id, status, body)
            return
        if base.picture.knows(job_id):
            # Sent again: it would only conflict, and hold up what is written down with it.
            status, ledger = 409, 0
        else:
            status, ledger = yield from self.accepting.accept(job_id, value)
        if status == 200:
            base.follower.show({LIVE + job_id: value}, (), ledger)
            what = f"{spec.kind} of {spec.tasks}, {spec.job_class}, {spec.team}"
            self.kernel.log("info", f"{job_id} accepted ({what})")
            self.kernel.answer(request_id, 201, state_body(job_id, "pending"))
            self.placed_anew()
        elif status == 409:
            status, body = yield from self._look_up(job_id)
            self._answer(request_id, status if status != 404 else 503, body)
        else:
            # It may have been accepted all the same: the retry will find out.
            self._answer(request_id, 429 if status == 429 else 503, {"error": "not accepted yet"})

    def _judge(self, spec: JobSpec, value: Any) -> tuple[int, str] | None:
        """The status and the reason of a refusal, as far as the job itself gives one."""
        room = int(self.base.limits.least_value_bytes * VALUE_SHARE) - SPARE_BYTES - FEW_RUNS
        size = len(msgspec.json.encode(value))
        if size > room:
            # It could be accepted, but never be written again.
            return 400, f"the description takes {size} bytes of its record, which has room for {room}"
        if not self.base.picture.types:
            return 503, "the machine types are not known yet"
        reason = self.refusal(spec)
        return None if reason is None else (422, reason)

    def _judge_needs(self, spec: JobSpec) -> Fiber[tuple[int, str] | None]:
        """The same as far as the jobs give one that it waits on."""
        picture = self.base.picture
        older = self.presence.older() if spec.needs else []
        if older:
            # It would drop what it does not know when it writes the job's record anew.
            return 503, f"{', '.join(older)} does not know of jobs that wait on others yet"
        for need in spec.needs:
            if need in picture.jobs or need in picture.over:
                continue
            status, _ = yield from self._look_up(need)
            if status != 200:
                # Only what is surely not there is refused.
                return (422, f"{need} was never accepted") if status == 404 else (503, f"{need} cannot be looked up")
        return None

    def _answer(self, request_id: int, status: int, body: Any) -> None:
        self.kernel.answer(request_id, status, body, 1 if status in (429, 503) else None)

    def _look_up(self, job_id: str, urgency: Urgency = Urgency.ACCEPT) -> Fiber[tuple[int, Any]]:
        """A job's state as of a moment after the question came."""
        picture = self.base.picture
        while job_id not in picture.over:
            if not (yield from self.base.follower.barrier(patient=True)):
                return 503, {"error": "the state service does not answer"}
            job = picture.jobs.get(job_id)
            if job is not None:
                known = yield from self._know_needs(job, urgency)
                if known is False:
                    return 503, {"error": "the state service does not answer"}
                if known is None:
                    # Reading took a while: what was true when it began may not be any more.
                    continue
                if job_id in picture.needs.doomed:
                    return 200, state_body(job_id, "cancelled", 0, 0)
                if job_id in picture.completed() and ends_later(job, self.base.limits):
                    return 200, state_body(job_id, "done", job.spec.tasks, 0)
                if picture.all_done(job) and ends_later(job, self.base.limits):
                    # A change of this process is shown that is later than what the barrier read.  Another controller
                    # may have said `done` already, so only a later barrier tells (points 6 and 13).
                    continue
                running = len(picture.placed(job_id))
                status = "running" if running else "pending"
                done = len(picture.finished(job))
                return 200, state_body(job_id, status, done, running, picture.needs.open(job))
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

    def _know_needs(self, job: Job, urgency: Urgency) -> Fiber[bool | None]:
        """Read what is not known of the jobs before a live one: it may be cancelled with one of them.

        True: all was known.  None: something was read.  False: it cannot be.
        """
        picture = self.base.picture
        known: bool | None = True
        while unknown := [need for need in picture.needs.unknown([job.id]) if need not in picture.absent]:
            known = None
            looking = self._looking.get(unknown[0])
            if looking is not None:
                if (yield Wait(looking, 2 * SECOND_US)) is None:
                    return False
            elif (yield from self._read_over(unknown[0], urgency)) not in (200, 404):
                return False
        return known

    def resolve(self) -> Fiber[None]:
        """Read the final states of needed jobs that ended before the picture was read.

        They are not loaded at a start, for they grow with history; a job is not ready before all are known.
        """
        base = self.base
        picture = base.picture
        if base.follower.loaded and picture.changes != self._resolved:
            self._resolved = picture.changes
            for need in picture.needs.unknown():
                if len(self._looking) >= MAX_RESOLVING:
                    self._resolved = -1
                    break
                if need not in self._looking and need not in picture.absent:
                    self.kernel.spawn(self._resolve(need))
        yield Sleep(RESOLVE_US)

    def _resolve(self, job_id: str) -> Fiber[None]:
        if job_id not in self._looking:
            if (yield from self._read_over(job_id, Urgency.PLACE)) not in (200, 404):
                self._resolved = -1
            self.placed_anew()

    def bury(self) -> Fiber[None]:
        """Move the records of jobs that are cancelled with one that they need: they count as cancelled already."""
        base = self.base
        yield Sleep(SECOND_US)
        if not base.follower.loaded or not any(self.presence.mine(job) for job in self._doomed()):
            return
        buried: list[str] = []

        def build() -> Txn | None:
            buried.clear()
            txn = Txn()
            for job in self._doomed():
                if txn.changes() + 2 <= base.limits.ops and self.presence.mine(job):
                    end_job(txn, job, "cancelled", 0, self.kernel.wall_us)
                    buried.append(f"{job.id} cancelled with {base.picture.needs.doomed[job.id]}")
            return txn if buried else None

        if (yield from base.follower.commit(build, 2, Urgency.FREE, "bury")):
            for line in buried:
                self.kernel.log("info", line)

    def _doomed(self) -> list[Job]:
        picture = self.base.picture
        return [picture.jobs[job_id] for job_id in picture.needs.doomed]

    def _read_over(self, job_id: str, urgency: Urgency) -> Fiber[int]:
        picture = self.base.picture
        signal = self._looking[job_id] = Signal()
        loads, followed = picture.loads, self.base.follower.loaded
        try:
            reply = yield from self.base.store.read(OVER + job_id, urgency)
        finally:
            del self._looking[job_id]
        if reply.status == 200:
            picture.note_over(job_id, reply.body["value"], reply.body["stamp"])
        elif reply.status == 404 and followed and picture.loads == loads:
            # Only if all changes since then have been read: an end written before the first page was read is in no
            # page, and in none of the changes that follow it (point 14).
            picture.note_absent(job_id)
        self.kernel.fire(signal)
        return reply.status

    def poll(self, request_id: int, job_id: str, handed: bool = False) -> None:
        over = self.base.picture.over.get(job_id)
        if over is not None:
            self.kernel.answer(request_id, 200, state_body(job_id, over["status"], over["done"], 0))
        elif job_id in self.base.picture.needs.doomed:
            self.kernel.answer(request_id, 200, state_body(job_id, "cancelled", 0, 0))
        elif not self._unready(request_id, handed, "GET", f"/submissions/{job_id}", None):
            self.kernel.spawn(self._poll(request_id, job_id))

    def _poll(self, request_id: int, job_id: str) -> Fiber[None]:
        status, body = yield from self._look_up(job_id, Urgency.FREE)
        self._answer(request_id, status, body)

    def explain(self, request_id: int, job_id: str, handed: bool = False) -> None:
        if not self._unready(request_id, handed, "GET", f"/submissions/{job_id}/explain", None):
            self.kernel.spawn(self._explain(request_id, job_id))

    def _explain(self, request_id: int, job_id: str) -> Fiber[None]:
        base = self.base
        status, body = yield from self._look_up(job_id)
        job = base.picture.jobs.get(job_id)
        if status == 200 and job is not None:
            plan = self.planner.plan()
            owner = self.presence.owner_of(job_id, job.record.owner)
            standing = self.planner.times.standing(job, base.picture, self.kernel.wall_us)
            run = self.estimates.estimate(job)
            served = self.planner.floor.shares.get((job.spec.team, job.spec.job_class))
            body = explain(plan, job, self.kernel.wall_us, owner, standing, run, served)
        self._answer(request_id, status, body)

    def abort(self, request_id: int, job_id: str, handed: bool = False) -> None:
        if not self._unready(request_id, handed, "POST", f"/submissions/{job_id}/abort", None):
            self.kernel.spawn(self._abort(request_id, job_id))

    def _cancellation(self, job_id: str) -> Txn | None:
        picture = self.base.picture
        job = picture.jobs.get(job_id)
        if job is None:
            return None
        txn = Txn()
        if job.spec.kind != "service" and job.spec.tasks <= MOST_LATER:
            # It is done for its users once its groups say so: none of them may have come to that meanwhile, and what
            # this process has just folded itself, others may take the groups' word for already (point 13).
            if picture.all_done(job):
                return None
            groups = {picture.machines[name].group for name, _ in picture.held.get(job_id, ())}
            # Where there are more than a transaction may depend on, nobody takes the groups' word for it.
            for key in groups if len(groups) < self.base.limits.least_guards else ():
                txn.guard(key, picture.groups[key].version)
                if picture.groups[key].size > self.base.limits.value_bytes:
                    # Its machines may be moved without a change of its own, and be folded where they are then (16).
                    lock = split_key(key)
                    txn.guard(lock, picture.version(lock))
            if len(txn.guards) >= self.base.limits.guards:
                # More than a transaction may depend on: tried again, for such a group is split within seconds.
                return None
        return end_job(txn, job, "cancelled", len(picture.finished(job)), self.kernel.wall_us)

    def _abort(self, request_id: int, job_id: str) -> Fiber[None]:
        deadline_us = self.kernel.now_us + 3 * SECOND_US
        cancellation = partial(self._cancellation, job_id)
        while self.kernel.now_us < deadline_us:
            status, body = yield from self._look_up(job_id)
            if status != 200 or body["status"] in ("done", "cancelled"):
                break
            if (yield from self.base.follower.commit(cancellation, 2, Urgency.CANCEL, "cancel")):
                self.kernel.log("info", f"{job_id} cancelled")
                yield from self.peers.announcer.announce(job_id)
                self.kernel.answer(request_id, 200, state_body(job_id, "cancelled"))
                return
        else:
            status, body = 503, {"error": "not cancelled yet"}
        if status == 200:
            body = state_body(job_id, body["status"])
        self._answer(request_id, status, body)
