"""Troubles of the model that come between the controllers and everybody else.

Each is a method of the model that begins the trouble now and ends it by itself.  `happened` counts what each has
brought about, so that a test can assert that a meeting of troubles took place.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from tests.model_basis import LEASE_S, SECOND, Host, RuleBroken, submission

MOST_KEPT = 40
"""Copies of reports that are kept for the next owner or leader at one time."""
START_LOOKS_US = (1, 200_000, 400_000, 800_000, 1_500_000, 3_000_000, 6_000_000)
"""When a controller that has just started is sent odd requests."""
LACKING = ("name_id", "shape", "pieces", "cpus", "memory_gb", "crew", "urgency", "lane")
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
"""What makes a job one that can never run."""
MALFORMED: tuple[dict[str, Any], ...] = (
    {"cpus": "many"},
    {"pieces": 0},
    {"pieces": 100_001},
    {"shape": "heap"},
    {"urgency": "now"},
    {"cpus": -1.0},
)


class Refusal(Enum):
    """How the state service refuses one controller."""

    UNAVAILABLE = "503"
    SILENCE = "silence"
    HELD = "held"
    """Requests are carried out, and their answers wait until the refusal is over."""


@dataclass(frozen=True)
class Spell:
    """A share of something that fares ill until a moment, at one controller or at all."""

    share: float = 0.0
    until_us: int = 0
    number: int | None = None

    def strikes(self, model: Any, number: int | None = None) -> bool:
        """Whether it happens now, by chance."""
        if model.now >= self.until_us or (self.number is not None and self.number != number):
            return False
        return bool(model.rng.random() < self.share)


@dataclass(frozen=True)
class KeptReport:
    """A copy of a report that is kept for whoever tends its machine, or runs the fleet, next."""

    name: str
    report: dict[str, Any]


class Troubles:
    """The part of the model that brings about what LATER.md of the users lists."""

    def _begin_troubles(self) -> None:
        self.happened: Counter[str] = Counter()
        self._lost_answers = Spell()
        self._late_writes = Spell()
        self._late_reports = Spell()
        self._reports_for_next = Spell()
        self._late_commands = Spell()
        self._cancels_at_end = Spell()
        self._mute: dict[str, int] = {}
        self._refusing: dict[int, tuple[Refusal, int]] = {}
        self._kept: list[KeptReport] = []
        self._leaders: set[tuple[int, int]] = set()
        self._quick_boots_until = self._odd_until = 0
        self._odd = 0

    def _until(self, seconds: float) -> int:
        return int(self.now + seconds * SECOND)

    # The state service

    def lose_answers(self, share: float, seconds: float, number: int | None = None) -> None:
        """That share of transactions is applied at once, and no answer comes: of one controller, or of all."""
        self._lost_answers = Spell(share, self._until(seconds), number)

    def write_late(self, share: float, seconds: float, number: int | None = None) -> None:
        """That share of transactions gets no answer and is applied 2 to 12 s later, after newer ones."""
        self._late_writes = Spell(share, self._until(seconds), number)

    def refuse(self, number: int, seconds: float, how: Refusal = Refusal.UNAVAILABLE) -> None:
        """The state service refuses one controller alone."""
        self._refusing[number] = (how, self._until(seconds))

    def cut_from_state_and_peers(self, number: int, seconds: float, hold: bool = False) -> None:
        """A controller loses the state service and the other controllers, not its workers and users."""
        for target in ("state", *(f"c{n}" for n in range(len(self.hosts)) if n != number)):
            self.cut(f"c{number}", target, seconds, hold)

    def state_outage(self, seconds: float) -> None:
        """Nobody gets an answer but 503; then all leases have their full time again."""
        self.state.down = True

        def over() -> None:
            self.state.down = False
            self.state.refresh_leases(self.now)

        self.at(int(seconds * SECOND), over)

    def _reach_state(
        self, number: int, method: str, path: str, body: Any, answer: Callable[[int, Any], None]
    ) -> None:
        """Let a request of a controller come to the state service."""
        how, until_us = self._refusing.get(number, (Refusal.UNAVAILABLE, 0))
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
        """Whether a transaction gets no answer: it is applied at once or late."""
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
        """Of that share of the workers' reports a copy arrives again, from 2 s to well over a lease later."""
        self._late_reports = Spell(share, self._until(seconds))

    def keep_reports(self, share: float, seconds: float) -> None:
        """Keep copies of that share of the reports for the next owner of the machine and the fleet's next leader."""
        self._reports_for_next = Spell(share, self._until(seconds))

    def hold_commands(self, share: float, seconds: float) -> None:
        """That share of direct commands is held up for 2 to 16 s, unanswered, and then carried out once."""
        self._late_commands = Spell(share, self._until(seconds))

    def mute(self, name: str, seconds: float) -> None:
        """A machine reaches no controller, while direct commands reach it and are answered."""
        self._mute[name] = self._until(seconds)

    def hang(self, name: str, seconds: float) -> None:
        """A machine does nothing for a while, and then goes on."""
        self.hung.add(name)
        self.at(int(seconds * SECOND), lambda: self.wake(name))

    def boot_quickly(self, seconds: float) -> None:
        """Machines that are rented from now on are up within 2 s."""
        self._quick_boots_until = self._until(seconds)

    def _is_mute(self, source: str) -> bool:
        if self._mute.get(source, 0) <= self.now:
            return False
        self.happened["mute"] += 1
        return True

    def _boots_quickly(self) -> bool:
        return self.now < self._quick_boots_until

    def _hold_command(self, name: str, there_us: int, body: Any) -> bool:
        """Whether a direct command is held up: then it is on its way already, and nobody hears what came of it."""
        if not self._late_commands.strikes(self):
            return False

        def executed(status: int, _: Any) -> None:
            self.happened["command executed late" if status == 200 else "late command refused"] += 1

        def arrive() -> None:
            self._arrive("late", name, "POST", "/orders", body, executed, lambda _: None)

        self.at(there_us + int(self.rng.uniform(2, 16) * SECOND), arrive)
        return True

    def _copy_late(self, name: str, report: dict[str, Any]) -> None:
        """Keep or send a copy of a report that goes out now."""
        if self._late_reports.strikes(self):
            number = self.rng.randrange(len(self.hosts))
            late_us = int(self.rng.uniform(2, 2.5 * LEASE_S) * SECOND)
            self.at(late_us, lambda: self._copy_again(name, number, report, "report copied late"))
        if self._reports_for_next.strikes(self):
            self._kept = [*self._kept[1 - MOST_KEPT :], KeptReport(name, report)]

    def _copy_again(self, name: str, number: int, report: dict[str, Any], what: str) -> None:
        self.happened[what] += 1
        self.copy_arrives(name, number, report)

    def _send_kept(self, kept: list[KeptReport], what: str) -> None:
        """Every controller gets the copies, within milliseconds."""
        for copy in kept:
            for number in range(len(self.hosts)):
                late_us = self.rng.randrange(1, 5_000)
                self.at(
                    late_us, lambda copy=copy, number=number: self._copy_again(copy.name, number, copy.report, what)
                )

    def _new_owner(self, name: str) -> None:
        """A machine was given a new token."""
        mine = [copy for copy in self._kept if copy.name == name]
        if mine:
            self._kept = [copy for copy in self._kept if copy.name != name]
            self._send_kept(mine, "report kept for the next owner")

    def _look_for_new_leader(self, host: Host) -> None:
        """Give the kept copies to everybody as soon as another controller runs the fleet."""
        if host.core is None:
            return
        key = (host.number, host.life)
        if host.core.runner.running and key not in self._leaders:
            self._leaders.add(key)
            kept, self._kept = self._kept, []
            self._send_kept(kept, "report kept for the next leader")
        elif not host.core.runner.running:
            self._leaders.discard(key)

    # Users

    def cancel_running(self, count: int, hang_s: float = 0.0, most_machines: int = 8) -> list[str]:
        """Call off that many jobs that run within a fifth of a second, while some of their machines hang."""
        running = sorted({job_id for job_id, _ in self.on if not self.jobs[job_id].cancel_asked})
        chosen = [job_id for job_id in running if self.jobs[job_id].accepted_us is not None][:count]
        machines = sorted({name for job_id in chosen for name in self._machines_with(job_id)})
        for job_id in chosen:
            self.at(self.rng.randrange(1, SECOND // 5), lambda job_id=job_id: self.cancel(job_id))
        if hang_s:
            for name in machines[:most_machines]:
                self.hang(name, hang_s)
        self.happened["running jobs cancelled"] += len(chosen)
        return chosen

    def cancel_at_end(self, share: float, seconds: float) -> None:
        """That share of the jobs that end is called off at the moment of the end."""
        self._cancels_at_end = Spell(share, self._until(seconds))

    def _cancel_at_end(self, job_id: str) -> None:
        if self._cancels_at_end.strikes(self):
            self.happened["cancelled at its end"] += 1
            # Its machine is about to report the end: now, or as that report is on its way.
            self.at(self.rng.choice((1, 1, 5_000, 100_000, 300_000)), lambda: self.cancel(job_id))

    def odd_requests(self, seconds: float, every_s: float = 1.0) -> None:
        """Users repeat submissions, cancel what is over, and send jobs that can't run or lack a field."""
        self._odd_until = self._until(seconds)
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
        """Send a controller jobs that must never be accepted, each of another kind."""
        self._odd += 1
        job_id = f"job-{700_000 + self._odd}"
        impossible = submission(job_id, **IMPOSSIBLE[self._odd % len(IMPOSSIBLE)])
        lacking = submission(job_id)
        del lacking[LACKING[self._odd % len(LACKING)]]
        malformed = submission(job_id, **MALFORMED[self._odd % len(MALFORMED)])
        for spec, right in ((impossible, 422), (lacking, 400), (malformed, 400)):
            self._expect_refusal(spec, right, node)

    def _expect_refusal(self, spec: dict[str, Any], right: int, node: int) -> None:
        def answered(reply: Any) -> None:
            self.happened[f"odd request answered {reply.status}"] += 1
            if reply.status not in (0, right, 429, 503, 504):
                raise RuleBroken(f"accepted: {reply.status} instead of {right} for {spec}")

        self._ask("POST", "/submissions", spec, 5, answered, node)

    def _controller_starts(self, host: Host) -> None:
        """Odd requests go to a controller in each stage of its start."""
        if self.now < self._odd_until:
            for delay_us in START_LOOKS_US:
                self.at(delay_us, lambda: self.submit_in_vain(host.number))
