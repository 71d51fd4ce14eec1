"""Faults that coincide with load: many small jobs for minutes, and more work than fits the machines over slow links.

`python -m tests.test_meetings_load` prints how many writes to the state service a one-task job costs, by the rate of
the jobs.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec
import pytest

from ashtray.estimates.learned import MAX_JOBS, MAX_LEVELS, MAX_MEDIANS
from ashtray.jobs.cancellations import MOST_ENTRIES
from ashtray.jobs.model import LIVE, OVER
from ashtray.kernel import Fiber, Kernel, Reply, Signal, Wait
from ashtray.placement.cluster_state import MAX_OVER
from ashtray.placement.minimum_share import MAX_SERVED as MOST_SERVED
from ashtray.placement.records import AMOUNT_TOLERANCE
from ashtray.placement.state_keys import GROUP
from tests import model as model_module
from tests.fakes.worker import Key
from tests.model import REPORT_S, SECOND, TYPES, RuleBroken, submission
from tests.test_meetings_machines import FEW_SEEDS, MeetingModel, places, settle

MAX_TELL_S = 3.0
"""How long after the completion of its last task a job may not yet be reported as done."""
MAX_WRITE_RPS = 25.0
"""Writes per second that the state service takes in these tests from all controllers together."""
SHORT_REPORT_S = 0.5
"""The interval of reports, as short as the delay after which a real worker reports a change."""
MAX_LOG_ENTRIES = 4000
"""Most writes kept in the log of the fake state service; the real one keeps 10,000."""


# One-task jobs for minutes, a quarter of them cancelled (row 8)


def table_sizes(root: object) -> Counter[str]:
    """Return the number of entries of each table that a core can reach, by the class and attribute that hold it."""
    found: Counter[str] = Counter()
    known: set[int] = set()
    left: list[tuple[str, object]] = [("core", root)]
    while left:
        name, thing = left.pop()
        if id(thing) in known:
            continue
        known.add(id(thing))
        if isinstance(thing, dict):
            found[name] += len(thing)
            left += [(name, value) for value in thing.values()]
        elif isinstance(thing, list | tuple | set | frozenset | deque):
            found[name] += len(thing)
            left += [(name, value) for value in thing]
        elif type(thing).__module__.startswith("ashtray."):
            left += [(f"{type(thing).__name__}.{field}", value) for field, value in attributes(thing)]
    return found


def attributes(thing: object) -> Iterator[tuple[str, object]]:
    """Yield an object's attributes with their names, whether they are in slots or in a dictionary."""
    yield from getattr(thing, "__dict__", {}).items()
    for kind in type(thing).__mro__:
        for name in getattr(kind, "__slots__", ()):
            if hasattr(thing, name):
                yield name, getattr(thing, name)


def purpose_of(change: dict[str, Any], body: dict[str, Any]) -> str:
    """Return the purpose of a write to the state service."""
    key = change.get("put") or change["remove"]
    stamps = {guard["k"]: guard["stamp"] for guard in body["guards"]}
    if key.startswith(OVER):
        return "cancel" if change["value"]["status"] == "cancelled" else "end"
    if key.startswith(LIVE):
        if "remove" in change:
            over = next(c["value"] for c in body["apply"] if c.get("put") == OVER + key[len(LIVE) :])
            return "cancel" if over["status"] == "cancelled" else "end"
        return "accept" if stamps[key] == 0 else "place"
    if key.startswith(GROUP):
        return "place" if places(body) else "fold"
    return "other"


class LoadModel(MeetingModel):
    """A deployment under a stream of small jobs, whose state service limits the rate of writes."""

    def __init__(self, seed: int, write_rps: float = MAX_WRITE_RPS) -> None:
        self.write_counts: Counter[str] = Counter()
        """Requested writes by their purpose, including refused ones."""
        self.ended_us: dict[str, int] = {}
        """When each job's last task completed."""
        self.told_late: list[tuple[str, Any]] = []
        """Jobs that were not reported as done `MAX_TELL_S` later, and the answers."""
        self.jobs_asked = 0
        """For how many jobs that was checked."""
        super().__init__(seed)
        self.state.write_rps = write_rps

    def _watch_state(self, now_us: int, method: str, path: str, body: Any) -> tuple[int, Any]:
        if path == "/txn":
            for change in body.get("apply", ()):
                self.write_counts[purpose_of(change, body)] += 1
        if len(self.state.log) > MAX_LOG_ENTRIES:
            # All controllers have read these entries, and scanning them for each read would take most of the time.
            del self.state.log[: MAX_LOG_ENTRIES // 2]
        return super()._watch_state(now_us, method, path, body)

    def _left(self, machine: str, key: Key) -> None:
        super()._left(machine, key)
        job = self.jobs[key[0]]
        if key[0] not in self.ended_us and len(job.finished) == job.spec["pieces"]:
            self.ended_us[key[0]] = self.now
            self.at(int(MAX_TELL_S * SECOND), lambda: self._expect_done(key[0]))

    def _expect_done(self, job_id: str) -> None:
        def answered(reply: Reply) -> None:
            if reply.status == 200:
                self._told(job_id, reply.body["status"])
            self.jobs_asked += 1
            # A cancellation may have been written before the fold; then the job counts as cancelled.
            if reply.status != 200 or reply.body["status"] not in ("done", "cancelled"):
                self.told_late.append((job_id, (self.now / SECOND, reply.status, reply.body)))

        self._ask("GET", f"/submissions/{job_id}", None, 2, answered)

    def stream(self, rate: float, seconds: float, cancelled: float = 0.25, run_s: float = 6.0) -> None:
        """Submit one-task jobs at a constant rate, and cancel a part of them at random times."""
        self.run_s = lambda key: run_s
        count = int(rate * seconds)
        rng = random.Random(count)
        for n in range(count):
            spec = submission(f"job-{n}", pieces=1, cpus=1.0, crew="free", hulls=["small"], expect_s=run_s)
            self.at(int(n / rate * SECOND), lambda spec=spec: self.submit(spec))
            if rng.random() < cancelled:
                at_us = int((n / rate + rng.uniform(0.3, run_s + 5.0)) * SECOND)
                self.at(at_us, lambda job_id=spec["name_id"]: self.cancel(job_id))

    def queue_length(self) -> int:
        """Return how many requests and writes of all controllers wait for a budget, and jobs for their acceptance."""
        stores = [host.core.store for host in self.hosts]
        accepting = sum(host.core.jobs.submitting.accepting.waiting() for host in self.hosts)
        return accepting + sum(len(store.changes.waiting) + len(store.requests.waiting) for store in stores)


@pytest.fixture
def low_write_rate(monkeypatch: pytest.MonkeyPatch) -> None:
    """Limit the state service to few writes, and let workers report soon after a change."""
    set_up_load(monkeypatch.setattr, MAX_WRITE_RPS)


def set_up_load(replace: Callable[[Any, str, Any], None], write_rps: float) -> None:
    """Set the rate of writes in the settings, and the interval of reports; `replace` sets an attribute of a module.

    Workers of the model report at intervals only, real ones also half a second after a change.  So the model's
    workers report every half second, while `report_s` in the settings stays the same.
    """
    settings_for = model_module.settings_for

    def limited(*args: Any, **named: Any) -> Any:
        settings = settings_for(*args, **named)
        state = msgspec.structs.replace(settings.cluster.state, write_rps=write_rps)
        workers = msgspec.structs.replace(settings.cluster.workers, report_s=REPORT_S)
        cluster = msgspec.structs.replace(settings.cluster, state=state, workers=workers)
        return msgspec.structs.replace(settings, cluster=cluster)

    replace(model_module, "settings_for", limited)
    replace(model_module, "REPORT_S", SHORT_REPORT_S)


MAX_HISTORY_ENTRIES = {
    "ClusterState.over": MAX_OVER,
    "MinimumShare._served": MOST_SERVED,
    "Estimates._medians": MAX_MEDIANS,
    "Estimates._jobs": MAX_JOBS,
    "CancellationLog._entries": MOST_ENTRIES,
    # One entry for each value of each cached distribution.
    "ResidualDistribution._edges": MAX_LEVELS * 100,
    "ResidualDistribution._below": MAX_LEVELS * 100,
}
"""Tables that keep entries of jobs that are over, with the most entries each may keep."""
MAX_ENTRY_GROWTH = 150
"""By how many entries the largest total of the second half may exceed that of the first, under the same load."""


def live_entries(core: object) -> int:
    """Return the entries in a core's tables except histories, whose own bounds are checked."""
    counts = table_sizes(core)
    for name, max_entries in MAX_HISTORY_ENTRIES.items():
        assert counts[name] <= max_entries
    return sum(n for name, n in counts.items() if name not in MAX_HISTORY_ENTRIES)


def small_jobs(seed: int, rate: float, seconds: float, write_rps: float = MAX_WRITE_RPS) -> LoadModel:
    model = LoadModel(seed, write_rps)
    model.cloud.capacity = 16 + int(8 * rate)
    model.checks()
    model.run(3)
    model.stream(rate, seconds)
    return model


@pytest.mark.usefixtures("low_write_rate")
@pytest.mark.parametrize("seed", FEW_SEEDS)
def test_small_jobs_for_minutes_stay_within_the_budget_and_leave_nothing_behind(seed):
    rate, minutes = 4.0, 2
    model = small_jobs(seed, rate, minutes * 60)
    model.run(30)
    asked, refused, began_us = model.state.asked, model.state.over_rate, model.now
    queued: list[int] = []
    entries: list[int] = []
    for n in range((minutes * 60 - 40) // 2):
        model.run(2)
        queued.append(model.queue_length())
        if n % 4 == 0:
            entries.append(max(live_entries(host.core) for host in model.hosts))
    spent = (model.state.asked - asked) / ((model.now - began_us) / SECOND)
    # The case is reached: jobs were accepted at the full rate, many were cancelled, and some of those had run.
    accepted = [job for job in model.jobs.values() if job.accepted_us is not None]
    cancelled = [job_id for job_id, job in model.jobs.items() if job.told == "cancelled"]
    assert len(accepted) > 0.95 * rate * (model.now / SECOND - 4)
    assert len(cancelled) > 0.1 * len(accepted)
    assert any((job_id, 0) in model.task_starts for job_id in cancelled)
    # The writes stay within the budget, and hardly any is refused for its rate.
    assert spent <= MAX_WRITE_RPS
    assert model.state.over_rate - refused <= 0.01 * (model.state.asked - asked)
    # No queue grows.
    half = len(queued) // 2
    assert max(queued[half:]) <= max(queued[:half]) + 4
    # The tables of the controllers do not grow with the number of jobs that are over.
    half = len(entries) // 2
    assert max(entries[half:]) <= max(entries[:half]) + MAX_ENTRY_GROWTH, entries
    model.run(30)
    assert model.jobs_asked > 200 and model.told_late == []
    settle(model)
    assert model.queue_length() <= 3


def test_who_gave_up_waiting_for_a_signal_is_neither_kept_nor_woken_by_it() -> None:
    kernel = Kernel(random.Random(1))
    signal, other, woken = Signal(), Signal(), []

    def wait() -> Fiber[None]:
        for _ in range(100):
            woken.append((yield Wait(signal, SECOND)))
        woken.append((yield other))

    kernel.spawn(wait())
    for second in range(110):
        kernel.advance(second * SECOND, 0)
        kernel.run()
    assert woken == [None] * 100
    assert len(signal.waiters) <= 1
    # The coroutine waits for the other signal by now.
    kernel.fire(signal, "first")
    kernel.run()
    assert woken == [None] * 100
    kernel.fire(other, "second")
    kernel.run()
    assert woken == [*[None] * 100, "second"]


@dataclass
class Cost:
    """What small jobs cost at one rate."""

    rate: float
    jobs: int
    by_purpose: Counter[str]
    seconds: float
    refused: int
    told_late: int
    jobs_asked: int
    most_waiting: int

    def line(self) -> str:
        each = [f"{self.by_purpose[name] / self.jobs:9.2f}" for name in PURPOSES]
        total = sum(self.by_purpose.values())
        told = f"{self.told_late} of {self.jobs_asked}"
        return (
            f"{self.rate:6.0f} {total / self.seconds:10.1f} {total / self.jobs:10.2f} {''.join(each)}"
            f" {self.refused:8} {told:>12} {self.most_waiting:8}"
        )


PURPOSES = ("accept", "place", "fold", "end", "cancel", "other")


def measure_cost(rate: float, write_rps: float, seed: int = 1, warmup_s: int = 40, seconds: int = 120) -> Cost:
    """Measure a steady stream of jobs at one rate, after a warm-up."""
    model = small_jobs(seed, rate, warmup_s + seconds)
    model.run(warmup_s)
    model.write_counts.clear()
    refused, jobs, waiting = model.state.over_rate, len(model.jobs), 0
    for _ in range(seconds):
        model.run(1)
        waiting = max(waiting, *(len(host.core.cluster_state.waiting()) for host in model.hosts))
    writes, jobs = Counter(model.write_counts), len(model.jobs) - jobs
    refused = model.state.over_rate - refused
    model.run(20)
    return Cost(rate, jobs, writes, seconds, refused, len(model.told_late), model.jobs_asked, waiting)


def main() -> None:
    """Print how many writes to the state service one-task jobs cost by rate, with a quarter of them cancelled."""
    for write_rps in (MAX_WRITE_RPS, 18.0):
        set_up_load(setattr, write_rps)
        print(f"{write_rps:.0f} writes a second, three controllers")
        headings = "".join(f"{name:>9}" for name in PURPOSES)
        print(
            f"{'jobs/s':>6} {'writes/s':>10} {'writes/job':>10} {headings} {'refused':>8} {'late':>12} {'waiting':>8}"
        )
        for rate in (1.0, 2.0, 4.0, 8.0):
            print(measure_cost(rate, write_rps).line(), flush=True)


# More work than fits the machines, urgent and not, over slow links (row 12)

MAX_WAIT_S = 90.0
"""The longest that a job may wait while machines have had enough free resources for it all the time."""
SUBMISSION_PAUSE_S = 1.6
"""The pause between two submissions."""
MAX_START_S = 240.0
"""Within this time after its submission each of the largest jobs has to start."""


@dataclass
class FreeResources:
    """The free resources of a working machine: what its tasks, also those not yet started, leave."""

    name: str
    type: str
    zone: str
    spot: bool
    cpus: float
    memory_gb: float


class OverloadedModel(MeetingModel):
    """A fleet with more work than it has resources for; it tracks which jobs wait although they fit."""

    def __init__(self, seed: int, hosts: int = 3) -> None:
        self.fitting_since: dict[str, tuple[int, dict[str, int]]] = {}
        """For waiting jobs: since when they have fitted all the time, and how many of their tasks fit a machine."""
        self.longest_fitting_us = 0
        """The longest that a job has waited while it fitted."""
        self.submitted_us: dict[str, int] = {}
        super().__init__(seed, hosts)

    def submit(self, spec: dict[str, Any]) -> None:
        self.submitted_us[spec["name_id"]] = self.now
        super().submit(spec)

    def started_after_s(self, job_id: str) -> float | None:
        """Return how long after its submission a job had its first task on a machine, or a gang all of its tasks."""
        job = self.jobs[job_id]
        firsts = [starts[0].at_us for (name, _), starts in self.task_starts.items() if name == job_id]
        enough = job.spec["pieces"] if job.spec["shape"] == "gang" else 1
        return (sorted(firsts)[enough - 1] - self.submitted_us[job_id]) / SECOND if len(firsts) >= enough else None

    def free_resources(self) -> list[FreeResources]:
        kinds = {kind["name"]: kind for kind in TYPES}
        found = []
        for name, worker in sorted(self.workers.items()):
            if name in self.hung or not worker.token or worker.notice_us is not None:
                continue
            cpus, memory = kinds[worker.type]["cpus"], kinds[worker.type]["memory_gb"]
            for (job_id, _, _), task in worker.tasks.items():
                if task.state != "ended":
                    cpus -= self.jobs[job_id].spec["cpus"]
                    memory -= self.jobs[job_id].spec["memory_gb"]
            found.append(FreeResources(name, worker.type, worker.zone, worker.spot, cpus, memory))
        return found

    def unplaced(self, job_id: str) -> int:
        """Return how many tasks of a live job are neither on a machine nor sent to one."""
        job = self.jobs[job_id]
        there = {key[2] for worker in self.workers.values() for key in worker.tasks if key[0] == job_id}
        return job.spec["pieces"] - len(there | job.finished)

    def task_slots_for(self, spec: dict[str, Any], free_resources: list[FreeResources]) -> dict[str, int]:
        """Return how many tasks of a job fit each machine, without machines that none fits."""
        slots = {}
        for machine in free_resources:
            allowed = spec["hulls"] is None or machine.type in spec["hulls"]
            if allowed and spec["yard"] in (None, machine.zone) and (spec["loaners"] or not machine.spot):
                number = min(
                    (machine.cpus + AMOUNT_TOLERANCE) // spec["cpus"],
                    (machine.memory_gb + AMOUNT_TOLERANCE) // spec["memory_gb"],
                )
                if number > 0:
                    slots[machine.name] = int(number)
        return slots

    def fits(self, job_id: str, slots: dict[str, int]) -> bool:
        """Return whether these slots are enough for a task of an array, or for all tasks of a gang."""
        spec = self.jobs[job_id].spec
        need = self.unplaced(job_id) if spec["shape"] == "gang" else 1
        in_zone: Counter[str] = Counter()
        for name, number in slots.items():
            in_zone[self.cloud.machines[name].zone] += number
        present = Counter(self.cloud.machines[m].zone for (j, _), ms in self.on.items() if j == job_id for m in ms)
        if spec["same_place"]:
            return max((in_zone[zone] for zone in present or in_zone), default=0) >= need
        if spec["spread"]:
            max_in_zone = (spec["pieces"] + 1) // 2
            return sum(min(number, max_in_zone - present[zone]) for zone, number in in_zone.items()) >= need
        return sum(in_zone.values()) >= need

    def check_fitting_jobs(self) -> None:
        """Find jobs that wait although they fit; raises RuleBroken if one has fitted for longer than `MAX_WAIT_S`."""
        free_resources = self.free_resources()
        for job_id, job in self.jobs.items():
            waits = job.accepted_us is not None and job.told not in ("done", "cancelled") and not job.cancel_asked
            if not waits or not self.unplaced(job_id):
                self.fitting_since.pop(job_id, None)
                continue
            task_slots = self.task_slots_for(job.spec, free_resources)
            since_us, before = self.fitting_since.get(job_id, (self.now, task_slots))
            # Only slots that were free all the time count: those that become free may go to jobs that came earlier.
            kept_slots = {name: min(n, task_slots[name]) for name, n in before.items() if name in task_slots}
            if not self.fits(job_id, kept_slots):
                since_us, kept_slots = self.now, task_slots
            self.fitting_since[job_id] = since_us, kept_slots
            fitted_us = self.now - since_us if self.fits(job_id, kept_slots) else 0
            self.longest_fitting_us = max(self.longest_fitting_us, fitted_us)
            if fitted_us > MAX_WAIT_S * SECOND:
                raise RuleBroken(
                    f"waits: {job_id} has fitted for {MAX_WAIT_S:.0f} s on {sorted(kept_slots)}: {job.spec}"
                )
        self.at(SECOND, self.check_fitting_jobs)


def submit_more_than_fits(model: OverloadedModel, seconds: float) -> list[str]:
    """Submit more jobs than fit, small and large, urgent and not; return the largest ones."""
    job_rng = random.Random(model.rng.random())
    largest = []
    for n in range(int(seconds / SUBMISSION_PAUSE_S)):
        urgency = job_rng.choice(["urgent", "standard", "standard", "standard", "idle"])
        shape = job_rng.choice(["batch", "batch", "gang"])
        large = n % 12 == 3 and urgency != "idle"
        pieces = (8 if shape == "gang" else 24) if large else job_rng.randint(1, 4)
        placement = job_rng.choice([{}, {}, {"same_place": True}, {"yard": "a"}, {"spread": True}])
        spec = {
            "urgency": urgency,
            "shape": shape,
            "pieces": pieces,
            "cpus": job_rng.choice([1.0, 2.0]),
            "crew": "free",
        }
        job = submission(f"job-{n}", hulls=["small"], expect_s=8.0, lane=urgency, **spec, **placement)
        model.at(int(n * SUBMISSION_PAUSE_S * SECOND), lambda job=job: model.submit(job))
        if large:
            largest.append(job["name_id"])
    return largest


@pytest.mark.parametrize("seed", FEW_SEEDS)
@pytest.mark.parametrize("all_timed", [True, False], ids=["by age", "by room"])
def test_with_more_work_than_room_over_slow_links_what_fits_is_placed_and_the_largest_begin(seed, all_timed):
    model = OverloadedModel(seed)
    model.cloud.capacity = 8
    model.checks()
    model.run(3)
    model.check_fitting_jobs()
    for host in model.hosts:
        host.core.placer.pace._all_timed = all_timed
        model.far[host.number] = (model.now + 120 * SECOND, int((0.1 + 0.1 * host.number) * SECOND))
    largest = submit_more_than_fits(model, 150)
    model.late_share = 0.03
    model.at(120 * SECOND, lambda: setattr(model, "late_share", 0.0))
    waiting = []
    for _ in range(15):
        model.run(10)
        waiting.append(sum(model.unplaced(job_id) > 0 for job_id in model.jobs))
    # The case is reached: there was more work than fits for most of the time, while links were slow.
    assert sum(number >= 10 for number in waiting[:12]) >= 6, waiting
    assert len(largest) >= 4
    model.until(lambda: all(model.started_after_s(job_id) is not None for job_id in largest), MAX_START_S, 1.0)
    start_delays_s = {job_id: model.started_after_s(job_id) for job_id in largest}
    assert all(after_s is not None and after_s <= MAX_START_S for after_s in start_delays_s.values()), start_delays_s
    settle(model, 300)


if __name__ == "__main__":
    main()
