"""Meetings of troubles under load: many small jobs for minutes, and more work than room over slow links.

`python -m tests.test_meetings_load` prints what one-task jobs cost in changes of the state service, by their rate.
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

TOLD_S = 3.0
"""Starting so long after a job's last task has completed its user expects `done`."""
WRITE_RPS = 25.0
"""Changes a second that the state service takes in these tests, of all controllers together."""
SOON_S = 0.5
"""Workers report so soon after something has changed."""
LOG = 4000
"""So many changes are kept at the most, of the 10,000 that the state service keeps."""


# One-task jobs for minutes, a quarter of them cancelled (row 8)


def tables(root: object) -> Counter[str]:
    """How many entries each table that a core reaches has, by the class and attribute that hold it."""
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
    """An object's attributes, whether it keeps them in slots or in a dictionary."""
    yield from getattr(thing, "__dict__", {}).items()
    for kind in type(thing).__mro__:
        for name in getattr(kind, "__slots__", ()):
            if hasattr(thing, name):
                yield name, getattr(thing, name)


def purpose_of(change: dict[str, Any], body: dict[str, Any]) -> str:
    """What a change of the state service is made for."""
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
    """A deployment under a stream of small jobs, with the state service's rate as its settings say."""

    def __init__(self, seed: int, write_rps: float = WRITE_RPS) -> None:
        self.changes: Counter[str] = Counter()
        """Changes that were asked for, refused ones too, by their purpose."""
        self.ended_us: dict[str, int] = {}
        """When each job's last task completed."""
        self.late: list[tuple[str, Any]] = []
        """Jobs that were not said to be done 3 s after that, and what was said."""
        self.asked = 0
        super().__init__(seed)
        self.state.write_rps = write_rps

    def _watch_state(self, now_us: int, method: str, path: str, body: Any) -> tuple[int, Any]:
        if path == "/txn":
            for change in body.get("apply", ()):
                self.changes[purpose_of(change, body)] += 1
        if len(self.state.log) > LOG:
            # All have read what is so old; looked through at each question, it would take most of the test's time.
            del self.state.log[: LOG // 2]
        return super()._watch_state(now_us, method, path, body)

    def _left(self, machine: str, key: Key) -> None:
        super()._left(machine, key)
        job = self.jobs[key[0]]
        if key[0] not in self.ended_us and len(job.finished) == job.spec["pieces"]:
            self.ended_us[key[0]] = self.now
            self.at(int(TOLD_S * SECOND), lambda: self._expect_done(key[0]))

    def _expect_done(self, job_id: str) -> None:
        def answered(reply: Reply) -> None:
            if reply.status == 200:
                self._told(job_id, reply.body["status"])
            self.asked += 1
            # A cancellation may have come before the fold; nobody is told then that it is done.
            if reply.status != 200 or reply.body["status"] not in ("done", "cancelled"):
                self.late.append((job_id, (self.now / SECOND, reply.status, reply.body)))

        self._ask("GET", f"/submissions/{job_id}", None, 2, answered)

    def stream(self, rate: float, seconds: float, cancelled: float = 0.25, run_s: float = 6.0) -> None:
        """Submit jobs of one task evenly, and cancel a part of them at some time of their lives."""
        self.run_s = lambda key: run_s
        count = int(rate * seconds)
        luck = random.Random(count)
        for n in range(count):
            spec = submission(f"job-{n}", pieces=1, cpus=1.0, crew="free", hulls=["small"], expect_s=run_s)
            self.at(int(n / rate * SECOND), lambda spec=spec: self.submit(spec))
            if luck.random() < cancelled:
                at_us = int((n / rate + luck.uniform(0.3, run_s + 5.0)) * SECOND)
                self.at(at_us, lambda job_id=spec["name_id"]: self.cancel(job_id))

    def queues(self) -> int:
        """What waits in the controllers: transactions for their budget, and jobs for their acceptance."""
        stores = [host.core.store for host in self.hosts]
        accepting = sum(host.core.jobs.submitting.accepting.waiting() for host in self.hosts)
        return accepting + sum(len(store.changes.waiting) + len(store.requests.waiting) for store in stores)


@pytest.fixture
def scarce_changes(monkeypatch: pytest.MonkeyPatch) -> None:
    """The state service takes few changes, and workers report soon after something has changed."""
    set_up_load(monkeypatch.setattr, WRITE_RPS)


def set_up_load(replace: Callable[[Any, str, Any], None], write_rps: float) -> None:
    """Give the settings that rate of changes; `replace` sets an attribute of a module.

    The model's workers report at intervals only, real ones also half a second after a change: so these come as often
    as that, though the settings say what they always do.
    """
    settings_for = model_module.settings_for

    def limited(*args: Any, **named: Any) -> Any:
        settings = settings_for(*args, **named)
        state = msgspec.structs.replace(settings.cluster.state, write_rps=write_rps)
        workers = msgspec.structs.replace(settings.cluster.workers, report_s=REPORT_S)
        cluster = msgspec.structs.replace(settings.cluster, state=state, workers=workers)
        return msgspec.structs.replace(settings, cluster=cluster)

    replace(model_module, "settings_for", limited)
    replace(model_module, "REPORT_S", SOON_S)


HISTORIES = {
    "ClusterState.over": MAX_OVER,
    "MinimumShare._served": MOST_SERVED,
    "Estimates._medians": MAX_MEDIANS,
    "Estimates._jobs": MAX_JOBS,
    "CancellationLog._entries": MOST_ENTRIES,
    # As many entries for each of the cached distributions.
    "ResidualDistribution._edges": MAX_LEVELS * 100,
    "ResidualDistribution._below": MAX_LEVELS * 100,
}
"""Tables that keep what is over, and how much of it at the most."""
SPARE_ENTRIES = 150
"""By so many entries the fullest tables of the first half may be outdone in the second one, under the same load."""


def live_entries(core: object) -> int:
    """What a core keeps in its tables, but for the histories, each of which has a bound of its own."""
    counts = tables(core)
    for name, most in HISTORIES.items():
        assert counts[name] <= most
    return sum(n for name, n in counts.items() if name not in HISTORIES)


def small_jobs(seed: int, rate: float, seconds: float, write_rps: float = WRITE_RPS) -> LoadModel:
    model = LoadModel(seed, write_rps)
    model.cloud.capacity = 16 + int(8 * rate)
    model.checks()
    model.run(3)
    model.stream(rate, seconds)
    return model


@pytest.mark.usefixtures("scarce_changes")
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
        queued.append(model.queues())
        if n % 4 == 0:
            entries.append(max(live_entries(host.core) for host in model.hosts))
    spent = (model.state.asked - asked) / ((model.now - began_us) / SECOND)
    # The meeting: so many came all the time, a good part of them was called off, and some of these ran.
    accepted = [job for job in model.jobs.values() if job.accepted_us is not None]
    cancelled = [job_id for job_id, job in model.jobs.items() if job.told == "cancelled"]
    assert len(accepted) > 0.95 * rate * (model.now / SECOND - 4)
    assert len(cancelled) > 0.1 * len(accepted)
    assert any((job_id, 0) in model.task_starts for job_id in cancelled)
    # Within the budget, and hardly anything is refused for the rate.
    assert spent <= WRITE_RPS
    assert model.state.over_rate - refused <= 0.01 * (model.state.asked - asked)
    # No queue grows.
    half = len(queued) // 2
    assert max(queued[half:]) <= max(queued[:half]) + 4
    # What the controllers keep does not grow with what is over.
    half = len(entries) // 2
    assert max(entries[half:]) <= max(entries[:half]) + SPARE_ENTRIES, entries
    model.run(30)
    assert model.asked > 200 and model.late == []
    settle(model)
    assert model.queues() <= 3


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
    # It waits for the other one by now.
    kernel.fire(signal, "first")
    kernel.run()
    assert woken == [None] * 100
    kernel.fire(other, "second")
    kernel.run()
    assert woken == [*[None] * 100, "second"]


@dataclass
class Cost:
    """What small jobs cost at some rate."""

    rate: float
    jobs: int
    by_purpose: Counter[str]
    seconds: float
    refused: int
    late: int
    asked: int
    most_waiting: int

    def line(self) -> str:
        each = [f"{self.by_purpose[name] / self.jobs:9.2f}" for name in PURPOSES]
        total = sum(self.by_purpose.values())
        told = f"{self.late} of {self.asked}"
        return (
            f"{self.rate:6.0f} {total / self.seconds:10.1f} {total / self.jobs:10.2f} {''.join(each)}"
            f" {self.refused:8} {told:>12} {self.most_waiting:8}"
        )


PURPOSES = ("accept", "place", "fold", "end", "cancel", "other")


def cost_of(rate: float, write_rps: float, seed: int = 1, warm_s: int = 40, seconds: int = 120) -> Cost:
    """Measure a steady stream at some rate, once it has settled."""
    model = small_jobs(seed, rate, warm_s + seconds)
    model.run(warm_s)
    model.changes.clear()
    refused, jobs, waiting = model.state.over_rate, len(model.jobs), 0
    for _ in range(seconds):
        model.run(1)
        waiting = max(waiting, *(len(host.core.cluster_state.waiting()) for host in model.hosts))
    changes, jobs = Counter(model.changes), len(model.jobs) - jobs
    refused = model.state.over_rate - refused
    model.run(20)
    return Cost(rate, jobs, changes, seconds, refused, len(model.late), model.asked, waiting)


def main() -> None:
    """Print what one-task jobs cost in changes of the state service, a quarter of them cancelled, by their rate."""
    for write_rps in (WRITE_RPS, 18.0):
        set_up_load(setattr, write_rps)
        print(f"{write_rps:.0f} changes a second, three controllers")
        heads = "".join(f"{name:>9}" for name in PURPOSES)
        print(
            f"{'jobs/s':>6} {'changes/s':>10} {'changes/job':>10} {heads} {'refused':>8} {'late':>12} {'waiting':>8}"
        )
        for rate in (1.0, 2.0, 4.0, 8.0):
            print(cost_of(rate, write_rps).line(), flush=True)


# More work than room, urgent and not, over slow links (row 12)

FITS_S = 90.0
"""A job waits no longer than that for a machine that has room for it, once the troubles are over."""
EVERY_S = 1.6
"""The pause between two submissions."""
BEGIN_S = 240.0
"""The largest jobs have to begin within that."""


@dataclass
class Space:
    """What a machine that works has free, by what is on it or on its way there."""

    name: str
    type: str
    zone: str
    spot: bool
    cpus: float
    memory_gb: float


class CrowdedModel(MeetingModel):
    """A fleet with less room than there is work; it knows which jobs wait though they fit."""

    def __init__(self, seed: int, hosts: int = 3) -> None:
        self.left_room: dict[str, tuple[int, dict[str, int]]] = {}
        """For jobs that wait, since when machines have had room for them all the time, and for how many tasks."""
        self.longest_us = 0
        """The longest that one waited so."""
        self.submitted_us: dict[str, int] = {}
        super().__init__(seed, hosts)

    def submit(self, spec: dict[str, Any]) -> None:
        self.submitted_us[spec["name_id"]] = self.now
        super().submit(spec)

    def begun_after_s(self, job_id: str) -> float | None:
        """How long after its submission the first task of an array, or the last one of a gang, was on a machine."""
        job = self.jobs[job_id]
        firsts = [starts[0].at_us for (name, _), starts in self.task_starts.items() if name == job_id]
        enough = job.spec["pieces"] if job.spec["shape"] == "gang" else 1
        return (sorted(firsts)[enough - 1] - self.submitted_us[job_id]) / SECOND if len(firsts) >= enough else None

    def spaces(self) -> list[Space]:
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
            found.append(Space(name, worker.type, worker.zone, worker.spot, cpus, memory))
        return found

    def unplaced(self, job_id: str) -> int:
        """How many tasks of a live job are on no machine, nor on their way to one."""
        job = self.jobs[job_id]
        there = {key[2] for worker in self.workers.values() for key in worker.tasks if key[0] == job_id}
        return job.spec["pieces"] - len(there | job.finished)

    def places(self, spec: dict[str, Any], spaces: list[Space]) -> dict[str, int]:
        """By machine, for how many tasks of a job it has room; only those that have some."""
        places = {}
        for space in spaces:
            allowed = spec["hulls"] is None or space.type in spec["hulls"]
            if allowed and spec["yard"] in (None, space.zone) and (spec["loaners"] or not space.spot):
                number = min(
                    (space.cpus + AMOUNT_TOLERANCE) // spec["cpus"],
                    (space.memory_gb + AMOUNT_TOLERANCE) // spec["memory_gb"],
                )
                if number > 0:
                    places[space.name] = int(number)
        return places

    def fits(self, job_id: str, places: dict[str, int]) -> bool:
        """Whether these places are enough for a task of an array, or for all of a gang."""
        spec = self.jobs[job_id].spec
        need = self.unplaced(job_id) if spec["shape"] == "gang" else 1
        in_zone: Counter[str] = Counter()
        for name, number in places.items():
            in_zone[self.cloud.machines[name].zone] += number
        present = Counter(self.cloud.machines[m].zone for (j, _), ms in self.on.items() if j == job_id for m in ms)
        if spec["same_place"]:
            return max((in_zone[zone] for zone in present or in_zone), default=0) >= need
        if spec["spread"]:
            most = (spec["pieces"] + 1) // 2
            return sum(min(number, most - present[zone]) for zone, number in in_zone.items()) >= need
        return sum(in_zone.values()) >= need

    def look(self) -> None:
        """See which jobs wait though machines have room for them all the time; 90 s of it are too long."""
        spaces = self.spaces()
        for job_id, job in self.jobs.items():
            waits = job.accepted_us is not None and job.told not in ("done", "cancelled") and not job.cancel_asked
            if not waits or not self.unplaced(job_id):
                self.left_room.pop(job_id, None)
                continue
            now_places = self.places(job.spec, spaces)
            since_us, before = self.left_room.get(job_id, (self.now, now_places))
            # Only what was there all the time counts: what comes free goes to others that were first.
            kept = {name: min(n, now_places[name]) for name, n in before.items() if name in now_places}
            if not self.fits(job_id, kept):
                since_us, kept = self.now, now_places
            self.left_room[job_id] = since_us, kept
            fitted_us = self.now - since_us if self.fits(job_id, kept) else 0
            self.longest_us = max(self.longest_us, fitted_us)
            if fitted_us > FITS_S * SECOND:
                raise RuleBroken(f"waits: {job_id} has fitted for {FITS_S:.0f} s on {sorted(kept)}: {job.spec}")
        self.at(SECOND, self.look)


def crowd(model: CrowdedModel, seconds: float) -> list[str]:
    """Submit more than there is room for, small and large, urgent and not; the largest jobs."""
    luck = random.Random(model.rng.random())
    largest = []
    for n in range(int(seconds / EVERY_S)):
        urgency = luck.choice(["urgent", "standard", "standard", "standard", "idle"])
        shape = luck.choice(["batch", "batch", "gang"])
        large = n % 12 == 3 and urgency != "idle"
        pieces = (8 if shape == "gang" else 24) if large else luck.randint(1, 4)
        where = luck.choice([{}, {}, {"same_place": True}, {"yard": "a"}, {"spread": True}])
        spec = {"urgency": urgency, "shape": shape, "pieces": pieces, "cpus": luck.choice([1.0, 2.0]), "crew": "free"}
        job = submission(f"job-{n}", hulls=["small"], expect_s=8.0, lane=urgency, **spec, **where)
        model.at(int(n * EVERY_S * SECOND), lambda job=job: model.submit(job))
        if large:
            largest.append(job["name_id"])
    return largest


@pytest.mark.parametrize("seed", FEW_SEEDS)
@pytest.mark.parametrize("timed", [True, False], ids=["by age", "by room"])
def test_with_more_work_than_room_over_slow_links_what_fits_is_placed_and_the_largest_begin(seed, timed):
    model = CrowdedModel(seed)
    model.cloud.capacity = 8
    model.checks()
    model.run(3)
    model.look()
    for host in model.hosts:
        host.core.placer.pace._all_timed = timed
        model.far[host.number] = (model.now + 120 * SECOND, int((0.1 + 0.1 * host.number) * SECOND))
    largest = crowd(model, 150)
    model.late_share = 0.03
    model.at(120 * SECOND, lambda: setattr(model, "late_share", 0.0))
    waiting = []
    for _ in range(15):
        model.run(10)
        waiting.append(sum(model.unplaced(job_id) > 0 for job_id in model.jobs))
    # The meeting: there was more work than room for most of the time, while links were slow.
    assert sum(number >= 10 for number in waiting[:12]) >= 6, waiting
    assert len(largest) >= 4
    model.until(lambda: all(model.begun_after_s(job_id) is not None for job_id in largest), BEGIN_S, 1.0)
    begun = {job_id: model.begun_after_s(job_id) for job_id in largest}
    assert all(after_s is not None and after_s <= BEGIN_S for after_s in begun.values()), begun
    settle(model, 300)


if __name__ == "__main__":
    main()
