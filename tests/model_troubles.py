"""Troubles (injected faults) between the controllers and the state service, workers and users.

Each trouble is a method of the model that begins it now; it ends by itself after the given time.  `happened` counts
the effects, so that a test can assert that troubles did coincide.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from tests.model_basis import LEASE_S, SECOND, Host, RuleBroken, submission

MAX_KEPT_REPORTS = 40
"""How many copies of reports are kept at most for the next owner or leader."""
START_REQUEST_DELAYS_US = (1, 200_000, 400_000, 800_000, 1_500_000, 3_000_000, 6_000_000)
"""How long after its start a controller is sent odd requests, one time for each stage of its start."""
OMITTED_FIELDS = ("name_id", "shape", "pieces", "cpus", "memory_gb", "crew", "urgency", "lane")
IMPOSSIBLE: tuple[dict[str, Any], ...] = (
    {"cpus": 99.0},
    {"cards": 9.0},
    {"memory_gb": 999.0},
    {"hulls": ["nothing-like-it"]},
    {"yard": "nowhere"},
    {"crew": "nobody"},
    {"shape": "gang", "pieces": 40, "cpus": 2.0},
    {"shape": "service", "pieces": 40, "cpus": 2.0},
    {"hulls": ["big"], "yard": "b"},
)
"""Changes to a submission that make the job impossible to run: the answer must be 422."""
MALFORMED: tuple[dict[str, Any], ...] = (
    {"cpus": "many"},
    {"pieces": 0},
    {"pieces": 100_001},
    {"shape": "heap"},
    {"urgency": "now"},
    {"cpus": -1.0},
)
"""Changes to a submission that make it malformed: the answer must be 400."""


class Refusal(Enum):
    """How the state service refuses a controller's requests."""

    UNAVAILABLE = "503"
    SILENCE = "silence"
    HELD = "held"
    """Requests are executed, and their answers are delayed until the refusal is over."""


@dataclass(frozen=True)
class TroubleWindow:
    """The share of messages (or of ended jobs) that a trouble hits until a moment, at one controller or at all."""

    share: float = 0.0
    until_us: int = 0
    number: int | None = None

    def strikes(self, model: Any, number: int | None = None) -> bool:
        """Draw whether the trouble hits now."""
        if model.now >= self.until_us or (self.number is not None and self.number != number):
            return False
        return bool(model.rng.random() < self.share)


@dataclass(frozen=True)
class KeptReport:
    """A copy of a report that is kept for the next owner of its machine or the next fleet leader."""

    name: str
    report: dict[str, Any]


class Troubles:
    """The part of the model that injects troubles."""

    def _begin_troubles(self) -> None:
        self.happened: Counter[str] = Counter()
        """How often each effect of a trouble came about."""
        self._lost_answers = TroubleWindow()
        self._late_writes = TroubleWindow()
        self._late_reports = TroubleWindow()
        self._reports_for_next = TroubleWindow()
        self._late_commands = TroubleWindow()
        self._copied_commands = TroubleWindow()
        self._cancels_at_end = TroubleWindow()
        self._muted_until: dict[str, int] = {}
        self._refused_controllers: dict[int, tuple[Refusal, int]] = {}
        self._kept_reports: list[KeptReport] = []
        self._known_leaders: set[tuple[int, int]] = set()
        self._quick_boots_until = self._odd_requests_until = 0
        self._odd_submissions = 0

    def _time_after(self, seconds: float) -> int:
        return int(self.now + seconds * SECOND)

    # The state service

    def lose_answers(self, share: float, seconds: float, number: int | None = None) -> None:
        """Apply that share of transactions at once, and lose the answers; of one controller, or of all."""
        self._lost_answers = TroubleWindow(share, self._time_after(seconds), number)

    def write_late(self, share: float, seconds: float, number: int | None = None) -> None:
        """Apply that share of transactions 2 to 12 s late, after newer ones, and send no answer."""
        self._late_writes = TroubleWindow(share, self._time_after(seconds), number)

    def refuse(self, number: int, seconds: float, how: Refusal = Refusal.UNAVAILABLE) -> None:
        """Let the state service refuse one controller alone."""
        self._refused_controllers[number] = (how, self._time_after(seconds))

    def cut_from_state_and_peers(self, number: int, seconds: float, hold: bool = False) -> None:
        """Cut a controller off from the state service and the other controllers, not from its workers and users."""
        for target in ("state", *(f"c{n}" for n in range(len(self.hosts)) if n != number)):
            self.cut(f"c{number}", target, seconds, hold)

    def state_outage(self, seconds: float) -> None:
        """Let the state service answer 503 to everybody; afterwards all leases have their full time again."""
        self.state.down = True

        def over() -> None:
            self.state.down = False
            self.state.refresh_leases(self.now)

        self.at(int(seconds * SECOND), over)

    def _reach_state(
        self, number: int, method: str, path: str, body: Any, answer: Callable[[int, Any], None]
    ) -> None:
        """Deliver a controller's request to the state service, or refuse it while that trouble lasts."""
        how, until_us = self._refused_controllers.get(number, (Refusal.UNAVAILABLE, 0))
        if self.now >= until_us:
            how, until_us = Refusal.UNAVAILABLE, self.hosts[number].refused_until
        refused = self.now < until_us
        if refused:
            self.happened[f"refused by {how.value}"] += 1
        if refused and how is Refusal.UNAVAILABLE:
            answer(503, {"error": "trouble"})
        elif refused and how is Refusal.SILENCE:
            return
        elif refused:
            status, reply = self.state.handle(self.now, method, path, body)
            self.at(until_us - self.now, lambda: answer(status, reply))
        elif path == "/txn" and body.get("apply") and self._goes_astray(number, method, path, body):
            return
        else:
            answer(*self.state.handle(self.now, method, path, body))

    def _goes_astray(self, number: int, method: str, path: str, body: Any) -> bool:
        """Whether a transaction gets no answer; if so, it is applied at once or late."""
        if self._lost_answers.strikes(self, number):
            status, _ = self.state.handle(self.now, method, path, body)
            self.happened["answer lost" if status == 200 else "refusal lost"] += 1
            return True
        if not self._late_writes.strikes(self, number):
            return False

        def arrive() -> None:
            status, _ = self.state.handle(self.now, method, path, body)
            self.happened["written late" if status == 200 else "refused late"] += 1

        self.at(int(self.rng.uniform(2, 12) * SECOND), arrive)
        return True

    # Workers

    def report_late(self, share: float, seconds: float) -> None:
        """Deliver a second copy of that share of the workers' reports, from 2 s to 2.5 leases late."""
        self._late_reports = TroubleWindow(share, self._time_after(seconds))

    def keep_reports(self, share: float, seconds: float) -> None:
        """Keep copies of that share of the reports for the next owner of the machine and the fleet's next leader."""
        self._reports_for_next = TroubleWindow(share, self._time_after(seconds))

    def hold_commands(self, share: float, seconds: float) -> None:
        """Delay that share of direct commands by 2 to 16 s; each is then executed once, and its answer is lost."""
        self._late_commands = TroubleWindow(share, self._time_after(seconds))

    def copy_commands(self, share: float, seconds: float) -> None:
        """Deliver that share of direct commands once more, from 2 s to well over a lease later."""
        self._copied_commands = TroubleWindow(share, self._time_after(seconds))

    def mute(self, name: str, seconds: float) -> None:
        """Lose all requests of a machine, while direct commands reach it and are answered."""
        self._muted_until[name] = self._time_after(seconds)

    def hang(self, name: str, seconds: float) -> None:
        """Let a machine do nothing for a while, and then go on."""
        self.hung.add(name)
        self.at(int(seconds * SECOND), lambda: self.wake(name))

    def boot_quickly(self, seconds: float) -> None:
        """Let machines that are rented from now on boot within 2 s."""
        self._quick_boots_until = self._time_after(seconds)

    def _loses_request_of(self, source: str) -> bool:
        if self._muted_until.get(source, 0) <= self.now:
            return False
        self.happened["mute"] += 1
        return True

    def _boots_quickly(self) -> bool:
        return self.now < self._quick_boots_until

    def _hold_command(self, name: str, there_us: int, body: Any) -> bool:
        """Whether `hold_commands` delays a direct command; if so, it is sent here and its answer is dropped."""
        if not self._late_commands.strikes(self):
            return False

        def executed(status: int, _: Any) -> None:
            self.happened["command executed late" if status == 200 else "late command refused"] += 1

        def arrive() -> None:
            self._arrive("late", name, "POST", "/orders", body, executed, lambda _: None)

        self.at(there_us + int(self.rng.uniform(2, 16) * SECOND), arrive)
        return True

    def _copy_command(self, name: str, body: Any) -> None:
        """Schedule a late copy of a direct command that is sent now, where `copy_commands` strikes it."""
        if self._copied_commands.strikes(self):
            late_us = int(self.rng.uniform(2, 2.5 * LEASE_S) * SECOND)
            self.at(late_us, lambda: self.repeat_command(name, body))

    def repeat_command(self, name: str, body: Any) -> None:
        """Deliver a copy of a direct command to a machine now; nobody receives its answer."""

        def executed(status: int, _: Any) -> None:
            self.happened["copy of a command executed" if status == 200 else "copy of a command refused"] += 1

        self._arrive("late", name, "POST", "/orders", body, executed, lambda _: None)

    def _copy_late(self, name: str, report: dict[str, Any]) -> None:
        """Schedule a late copy of a report that is sent now, or keep a copy, where these troubles hit it."""
        if self._late_reports.strikes(self):
            number = self.rng.randrange(len(self.hosts))
            late_us = int(self.rng.uniform(2, 2.5 * LEASE_S) * SECOND)
            self.at(late_us, lambda: self._send_copy(name, number, report, "report copied late"))
        if self._reports_for_next.strikes(self):
            self._kept_reports = [*self._kept_reports[1 - MAX_KEPT_REPORTS :], KeptReport(name, report)]

    def _send_copy(self, name: str, number: int, report: dict[str, Any], what: str) -> None:
        self.happened[what] += 1
        self.copy_arrives(name, number, report)

    def _send_kept_reports(self, kept: list[KeptReport], what: str) -> None:
        """Deliver the copies to every controller within 5 ms."""
        for copy in kept:
            for number in range(len(self.hosts)):
                late_us = self.rng.randrange(1, 5_000)
                self.at(
                    late_us, lambda copy=copy, number=number: self._send_copy(copy.name, number, copy.report, what)
                )

    def _send_reports_to_new_owner(self, name: str) -> None:
        """A machine received a new token: deliver the copies that were kept for its next owner."""
        mine = [copy for copy in self._kept_reports if copy.name == name]
        if mine:
            self._kept_reports = [copy for copy in self._kept_reports if copy.name != name]
            self._send_kept_reports(mine, "report kept for the next owner")

    def _send_reports_to_new_leader(self, host: Host) -> None:
        """Deliver the kept copies to all controllers as soon as another controller leads the fleet."""
        if host.core is None:
            return
        key = (host.number, host.life)
        if host.core.fleet_manager.running and key not in self._known_leaders:
            self._known_leaders.add(key)
            kept, self._kept_reports = self._kept_reports, []
            self._send_kept_reports(kept, "report kept for the next leader")
        elif not host.core.fleet_manager.running:
            self._known_leaders.discard(key)

    # Users

    def cancel_running(self, count: int, hang_s: float = 0.0, max_machines: int = 8) -> list[str]:
        """Cancel up to `count` running jobs within 0.2 s, while some of their machines hang; return the jobs."""
        running = sorted({job_id for job_id, _ in self.on if not self.jobs[job_id].cancel_asked})
        chosen = [job_id for job_id in running if self.jobs[job_id].accepted_us is not None][:count]
        machines = sorted({name for job_id in chosen for name in self._machines_with(job_id)})
        for job_id in chosen:
            self.at(self.rng.randrange(1, SECOND // 5), lambda job_id=job_id: self.cancel(job_id))
        if hang_s:
            for name in machines[:max_machines]:
                self.hang(name, hang_s)
        self.happened["running jobs cancelled"] += len(chosen)
        return chosen

    def cancel_at_end(self, share: float, seconds: float) -> None:
        """Cancel that share of the jobs that end, at the moment of their end."""
        self._cancels_at_end = TroubleWindow(share, self._time_after(seconds))

    def _cancel_at_end(self, job_id: str) -> None:
        if self._cancels_at_end.strikes(self):
            self.happened["cancelled at its end"] += 1
            # The delays (us) put the cancellation before the machine's report of the end, or while it is sent.
            self.at(self.rng.choice((1, 1, 5_000, 100_000, 300_000)), lambda: self.cancel(job_id))

    def odd_requests(self, seconds: float, every_s: float = 1.0) -> None:
        """Let users repeat submissions, cancel ended jobs, and submit impossible, incomplete and malformed jobs."""
        self._odd_requests_until = self._time_after(seconds)
        for n in range(int(seconds / every_s)):
            self.at(int(n * every_s * SECOND), self._odd_request)

    def _odd_request(self) -> None:
        node = self.rng.randrange(len(self.hosts))
        known = sorted(job_id for job_id, job in self.jobs.items() if job.accepted_us is not None)
        if known:
            self._repeat_submission(self.rng.choice(known), node)
        over = [job_id for job_id in known if self.jobs[job_id].told is not None]
        if over:
            self._repeat_cancellation(self.rng.choice(over), node)
        self.submit_in_vain(node)

    def submit_in_vain(self, node: int) -> None:
        """Send a controller three submissions that must be refused: impossible, lacking a field, malformed."""
        self._odd_submissions += 1
        job_id = f"job-{700_000 + self._odd_submissions}"
        impossible = submission(job_id, **IMPOSSIBLE[self._odd_submissions % len(IMPOSSIBLE)])
        missing_field = submission(job_id)
        del missing_field[OMITTED_FIELDS[self._odd_submissions % len(OMITTED_FIELDS)]]
        malformed = submission(job_id, **MALFORMED[self._odd_submissions % len(MALFORMED)])
        for spec, expected_status in ((impossible, 422), (missing_field, 400), (malformed, 400)):
            self._expect_refusal(spec, expected_status, node)

    def _expect_refusal(self, spec: dict[str, Any], expected_status: int, node: int) -> None:
        def answered(reply: Any) -> None:
            self.happened[f"odd request answered {reply.status}"] += 1
            if reply.status not in (0, expected_status, 429, 503, 504):
                raise RuleBroken(f"accepted: {reply.status} instead of {expected_status} for {spec}")

        self._ask("POST", "/submissions", spec, 5, answered, node)

    def _controller_starts(self, host: Host) -> None:
        """A controller starts: send it odd requests in each stage of its start."""
        if self.now < self._odd_requests_until:
            for delay_us in START_REQUEST_DELAYS_US:
                self.at(delay_us, lambda: self.submit_in_vain(host.number))
