"""What grows with the fleet, counted at a hundred, a thousand and ten thousand machines: nothing jumps."""

import math

import msgspec
import pytest

from ashtray.config.operators import OperatorSettings
from ashtray.placement import compact_record
from ashtray.placement.picture import GROUP, GroupRecord, HoldRecord, MachineRecord, MachineType, Picture
from ashtray.standby.book import latest
from ashtray.standby.intents import Intent, Intents
from ashtray.store.client import Limits
from ashtray.workers.folding import adoption, group_size
from ashtray.workers.messages import Report, parse_report, parse_task
from tests.model import Model, submission

SIZES = (100, 1_000, 10_000)
KIND = MachineType("big", 96.0, 8.0, 384.0, 80.0, 0.6, 27.0, 7.0, 25_000_000, ("a",))


def names(number: int) -> list[str]:
    return [f"vm-{n:06}" for n in range(number)]


def proportional(counts: list[float]) -> None:
    """Ten times as many machines: at most ten times as much, but for what is there anyway."""
    for less, more in zip(counts, counts[1:], strict=False):
        assert more <= 10.5 * less, counts


def test_a_word_between_peers_grows_with_the_machines_that_its_sender_hears() -> None:
    core = Model(1, hosts=3).hosts[0].core
    core.picture.fleet = ({"host": "berth-1"}, 1)
    sizes = []
    for number in SIZES:
        now = core.kernel.now_us
        core.peers._reports = lambda number=number, now=now: dict.fromkeys(names(number), now)
        to_runner = len(msgspec.msgpack.encode(core.peers._word("berth-1")))
        # Nobody but the runner of the fleet has any use for that.
        assert len(msgspec.msgpack.encode(core.peers._word("berth-2"))) < 200
        sizes.append(to_runner)
    proportional(sizes)
    assert sizes[-1] <= 20 * SIZES[-1]


def test_what_was_heard_is_forgotten_with_its_age_not_kept_for_every_machine_that_ever_was() -> None:
    model = Model(1, hosts=2)
    core = model.hosts[0].core
    peer = core.peers.peers["berth-1"]
    for n in range(400):
        model.now += 1_000_000
        core.kernel.advance(*model.clock(model.hosts[0]))
        model.waiting[10**6 + n] = lambda status, body: None
        word = {"host": "berth-1", "state_age_us": 0, "need": 0.0, "heard": {f"vm-{n:06}": 0}}
        core.peers.on_word(10**6 + n, word)
    assert len(peer.heard) <= 61


@pytest.mark.parametrize("alike", [False, True])
def test_groups_grow_with_the_machines_and_their_records_do_not(alike: bool) -> None:
    limits = Limits(16, 55_000, 32_768, alike=alike)
    groups = [math.ceil(number / group_size(KIND, limits)) for number in SIZES]
    proportional([float(number) for number in groups])
    assert groups[1] <= (32 if alike else 50)
    # A full group, each machine with as many holds as it has GPUs, of jobs and images of their own.
    machines = {
        name: MachineRecord(
            "10.100.100.100:9000",
            True,
            False,
            2**62,
            images=[(f"image-{n}-{k}", 5.25) for k in range(6)],
            holds=[
                HoldRecord(f"job-{8 * n + k:06}", 3, "0-2,5", "reader-app", 9.5, 1.0, 36.0, 10**15, by="berth-3")
                for k in range(8)
            ],
        )
        for n, name in enumerate(names(group_size(KIND, limits)))
    }
    value = msgspec.to_builtins(GroupRecord("big", "a", machines))
    assert compact_record.size_of(compact_record.pack(value) if alike else value) <= limits.value_bytes


def test_a_start_reads_pages_by_the_keys_that_are_live_and_adopts_by_the_group() -> None:
    pages, changes = [], []
    for number in SIZES[:2]:
        picture, limits = Picture(), Limits(16, 55_000, 32_768, alike=True)
        picture._types["t"] = {"big": KIND}
        picture._types_changed()
        left = {name: Report(name, "10.1.0.1:9000", "big", "a", False, 1, 1, 0, None, {}) for name in names(number)}
        version = spent = 0
        while left:
            txn, taken = adoption(picture, left, OperatorSettings().group_size, limits)
            assert taken
            version += 1
            spent += txn.changes()
            for key, value in txn.puts.items():
                picture.put(key, value, version)
            for name in taken:
                del left[name]
        changes.append(spent)
        pages.append(math.ceil(sum(key.startswith(GROUP) for key in picture.groups) / 1000))
    proportional([float(spent) for spent in changes])
    assert changes[1] <= 75 and pages == [1, 1]


def test_what_the_runner_keeps_for_its_heirs_is_bounded() -> None:
    assert len(latest(dict.fromkeys(names(10_000), 5))) <= 1_000
    intents = Intents()
    batch = [Intent(f"r-{n}", "big", "a", True, 50, n, names(50)) for n in range(2_000)]
    intents.begin(batch)
    assert len(msgspec.json.encode(intents.value("berth-0", 16_384.0))) <= 16_384


def test_a_report_that_says_nothing_new_is_compared_with_nothing_and_one_that_does_is() -> None:
    model = Model(3, hosts=1)
    model.run(3)
    model.submit(submission("job-0", pieces=4, shape="service", crew="free"))
    model.run(20)
    desk = model.hosts[0].core.desk
    looks: list[str] = []
    see = desk._see
    desk._see = lambda worker, *args: looks.append(worker.name) or see(worker, *args)
    before = {name: worker.tick for name, worker in model.workers.items()}
    model.run(10)
    assert all(worker.tick > before[name] + 3 for name, worker in model.workers.items())
    assert not looks
    # A task that ends is seen at once.
    name = next(name for name, worker in model.workers.items() if worker.tasks)
    model.workers[name].fails = True
    model.run(3)
    assert name in looks


def test_the_names_of_tasks_are_read_once_however_often_they_are_reported() -> None:
    parse_task.cache_clear()
    pieces = [{"piece": f"job-{n}/{n}", "try": 1, "status": "running"} for n in range(200)]
    report = {
        "berth": "vm-1",
        "endpoint": "x:1",
        "hull": "big",
        "yard": "a",
        "loaners": False,
        "shift": 1,
        "tick": 1,
        "baton": 0,
        "pieces": pieces,
    }
    found = [parse_report({**report, "tick": n}) for n in range(10)]
    assert all(one is not None and one.tasks == found[0].tasks for one in found if found[0] is not None)
    assert parse_task.cache_info().misses == 200
    assert parse_report({**report, "pieces": [{**pieces[0], "piece": "job-1"}]}) is None
