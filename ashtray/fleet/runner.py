"""The fleet's runner: one controller at a time rents and returns machines.

Two at once would cost money only: no rule depends on there being one.  Who runs it holds the fleet's key, and what
it commits guards the key's version, its *term*.  What it is about to rent is written down first
(`standby/intents.py`), so whoever takes the key goes on where it stopped, after the checks of `standby/takeover.py`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Container, Iterable
from dataclasses import dataclass, replace
from functools import partial
from typing import Any

import msgspec

from ashtray.base import Base
from ashtray.fleet.boot_times import BootTimes
from ashtray.fleet.forecast import NEVER_US, Forecast, FutureMachine, future_machines
from ashtray.fleet.machine_kind import NO_KIND, MachineKind
from ashtray.fleet.messages import MachineList, deletion, parse_types, rental, rented_names
from ashtray.jobs.model import LIVE, Job
from ashtray.jobs.pace import Pace
from ashtray.kernel import SECOND_US, Call, Fiber, Reply, Signal, Sleep, Wait
from ashtray.peers.presence import INTENTS, Peers, Presence
from ashtray.placement import lean
from ashtray.placement.picture import FLEET, RENTALS, SICK, TYPES, Edit, Machine, MachineType
from ashtray.placement.plan import Planner
from ashtray.placement.preemption import Victims, orderly, stop_victims
from ashtray.placement.rules import Ask, Room
from ashtray.standby.book import OLD_US, Book, latest
from ashtray.standby.intents import Intent, Intents
from ashtray.standby.takeover import Check, Takeover
from ashtray.store.client import VALUE_SHARE, Bucket, Txn, Urgency

CLOUD_US = 5 * SECOND_US
LIST_US = 2 * SECOND_US
ROUND_US = SECOND_US // 2
RENT_US = 3_500
"""The pause between two forecasts, for each machine that they go through."""
TYPES_US = 60 * SECOND_US
DEARER = 0.2
"""A kind of machine that costs so much more than the cheapest is taken only when time runs out."""
MAX_WISHES = 300
MOST_A_REQUEST = 50
INTENTS_SHARE = 0.5
"""Of a value, what the record of rentals may take."""
SECOND_HEIR_US = 2 * SECOND_US
"""How long the others leave a free key to the first heir."""
CLOCK_US = 2 * SECOND_US
"""How far two controllers' times of day may differ, and some."""
MAX_COMMITS = 12
"""Commits in a row for one step: what is left then waits for the next round."""


@dataclass
class Coming:
    """A machine that was rented or listed and has not reported yet."""

    kind: MachineKind
    since_us: int
    up: bool = False
    up_us: int = 0


class Runner:
    def __init__(self, base: Base, presence: Presence, peers: Peers, pace: Pace, planner: Planner) -> None:
        self.base = base
        self.kernel = base.kernel
        self.presence = presence
        self.peers = peers
        self.pace = pace
        self.planner = planner
        self.kick = Signal()
        self.running = False
        self.intents = Intents()
        self.takeover = Takeover(0)
        self._free_us: int | None = None
        """Since when nobody runs the fleet, as far as was seen."""
        peers.write_book = self._write_book
        self.coming: dict[str, Coming] = {}
        self.listed: dict[str, str] = {}
        self.gone: dict[str, int] = {}
        """Machines that were deleted, and when: a late list may still show them."""
        self.idle_since: dict[str, int] = {}
        self.known_since: dict[str, int] = {}
        self.needed: set[str] = set()
        """Machines that the forecast gives to tasks that wait.

        A gang's machines come up one after the other: returned as idle before the last one is up, they would
        never be there together.
        """
        self.blocked: dict[MachineKind, tuple[int, int]] = {}
        """Kinds without capacity: until when not to ask, and how often it was refused."""
        self.cheapest_for_urgent: dict[str, tuple[str, bool]] = {}
        """For each class with an aim on waiting, the type and kind that serves it at the least price."""
        self.listed_us = 0
        self.started_us = 0
        self.bucket = Bucket(base.settings.cluster.cloud.rps * 0.8, 1.0, self.kernel.now_us)
        self.pause_until_us = 0
        self.boot_times = BootTimes(base.picture, base.knobs.boot_patience)
        self._newest = ""
        """The last name that was ever listed."""
        self._seq = 0
        self._term = 0
        """The revision of the fleet's key under which this controller runs it, or last did."""
        self._rented_us = 0
        self._wished = True
        """The last forecast called for machines: the next one is made sooner."""
        self._types_us = -TYPES_US
        self._ending: set[str] = set()

    # The cloud

    def _cloud(
        self, method: str, path: str, body: Any = None, still: Callable[[], bool] = lambda: True
    ) -> Fiber[Reply]:
        """One request; `still` is asked last before it goes out, after the wait for its turn."""
        while True:
            self.bucket.refill(self.kernel.now_us)
            if self.bucket.has(1):
                break
            yield Sleep(self.bucket.wait_us(1))
        if not still():
            return Reply(0, refused=True)
        self.bucket.level -= 1
        reply: Reply = yield Call(self.base.settings.services.cloud, method, path, body, CLOUD_US)
        trouble = reply.status in (0, 429) or (reply.status == 503 and (reply.body or {}).get("error") == "trouble")
        if trouble:
            self.pause_until_us = self.kernel.now_us + int(self.kernel.rng.uniform(0.5, 1.5) * SECOND_US)
            self.kernel.log("debug", f"cloud: {method} {path}: {reply.status}")
        return reply

    def watch_types(self) -> Fiber[None]:
        """Learn the machine types; the runner also writes them down for controllers that cannot ask."""
        picture = self.base.picture
        due = self.kernel.now_us - self._types_us >= TYPES_US
        if not self.base.follower.loaded or not (due and (self.running or not picture.types)):
            return
        reply = yield from self._cloud("GET", "/machine_types")
        if reply.status != 200:
            return
        try:
            types = parse_types(reply.body)
        except (msgspec.ValidationError, KeyError, TypeError):
            self.kernel.log("error", "the cloud's machine types cannot be read")
            return
        self._types_us = self.kernel.now_us
        if types != picture.types:
            value = {name: msgspec.to_builtins(kind) for name, kind in types.items()}
            if self.base.limits.takes(lean.size_of(value)):
                yield from self._note_types(TYPES, value)
                return
            # More than a value takes: each in a record of its own.  One that all are in is read still, if it is old.
            for name, kind in value.items():
                if types[name] != picture.types.get(name):
                    yield from self._note_types(f"{TYPES}/{name}", {name: kind})

    def _note_types(self, key: str, value: dict[str, Any]) -> Fiber[None]:
        txn = Txn().guard(key, self.base.picture.version(key)).put(key, value)
        yield from self.base.follower.commit(lambda: txn, 1, Urgency.BOOKKEEPING, "fleet")

    # Who runs the fleet

    def _holds(self) -> bool:
        """Whether the fleet's key is this process's, under a lease that is surely there."""
        fleet = self.base.picture.fleet
        mine = fleet is not None and fleet[0].get("incarnation") == self.presence.incarnation
        return mine and self.presence.signed_in()

    def _under_term(self, txn: Txn) -> Txn:
        """What a runner commits stands only as long as nobody has taken the fleet from it."""
        return txn.guard(FLEET, self._term)

    def lead(self) -> Fiber[None]:
        """Hold the fleet's key, under the presence's lease, or see whether it is to be taken."""
        picture, presence = self.base.picture, self.presence
        now = self.kernel.now_us
        if self.running and not self._holds():
            # Running the fleet ends with the lease, known or not: after a halt or a cut another one may run it.
            self.running = False
            self.kernel.log("info", "no longer runs the fleet")
        fresh = now - self.base.follower.read_us < 3 * SECOND_US
        if not self._holds() and presence.signed_in() and fresh and self._may_take(now):
            txn = Txn().guard(FLEET, picture.version(FLEET))
            own = {"host": self.base.settings.host_name, "incarnation": presence.incarnation}
            txn.put(FLEET, own, presence.lease)
            yield from self.base.follower.commit(lambda: txn, 1, Urgency.CANCEL, "fleet")
        if self._holds() and not self.running and picture.fleet is not None:
            self.running = True
            self._free_us = None
            term = picture.fleet[1]
            if term == self._term:
                # Nobody else ran it meanwhile: what was known still holds.
                return
            self._begin(term)

    def _may_take(self, now: int) -> bool:
        """Whether the fleet's key is free, or its holder suspected, and it is this controller's turn to take it.

        It is replaced under its version, so of two that try one takes it, and its holder's next commit fails.
        """
        fleet = self.base.picture.fleet
        first = self.presence.foreman(FLEET) == self.base.settings.host_name
        if fleet is not None:
            self._free_us = None
            # One whose process ended and began anew does not know that it ran the fleet.
            own = fleet[0].get("host") == self.base.settings.host_name
            return own or (first and fleet[0].get("host") in self.presence.notice.away)
        if self._free_us is None:
            self._free_us = now
        return first or now - self._free_us > SECOND_HEIR_US

    def _begin(self, term: int) -> None:
        """A term begins: nothing is known but what the records, the book and the list say."""
        former, self._term = self._term, term
        self.started_us = self.kernel.now_us
        self.takeover = Takeover(self.kernel.now_us)
        self.takeover.ok(Check.TERM, self.kernel.now_us)
        self.coming.clear()
        self.listed_us = 0
        self.idle_since.clear()
        self.known_since.clear()
        self.kernel.log("info", "runs the fleet")
        self._read_book(former)

    def _write_book(self) -> Book | None:
        """What an heir cannot read from the records."""
        if not self.running or not self.takeover.ready():
            return None
        now = self.kernel.now_us
        return Book(
            self._term,
            latest({name: now - at_us for name, at_us in self.gone.items()}),
            latest({name: now - at_us for name, at_us in self.idle_since.items()}),
            [(*kind, until - now, times) for kind, (until, times) in self.blocked.items() if until > now],
            [(*kind, ratio) for kind, ratio in sorted(self.boot_times.ratios().items())],
        )

    def _read_book(self, former: int) -> None:
        """Take over the book of the runner before, unless this controller has run the fleet since."""
        if self.peers.book is None or self.kernel.now_us - self.peers.book[1] > OLD_US:
            return
        book, at_us = self.peers.book
        if not former < book.term < self._term:
            return
        self.gone.update((name, at_us - age_us) for name, age_us in book.gone.items())
        self.idle_since.update((name, at_us - age_us) for name, age_us in book.idle.items())
        for name, zone, spot, for_us, times in book.blocked:
            self.blocked[MachineKind(name, zone, spot)] = (at_us + for_us, times)
        for name, zone, spot, ratio in book.boots:
            self.boot_times.set_ratio(MachineKind(name, zone, spot), ratio)

    def _take_over(self) -> Fiber[None]:
        """The checks before the first decision: see `standby/takeover.py`."""
        takeover = self.takeover
        if takeover.missing(Check.READ):
            if not (yield from self.base.follower.barrier()):
                return
            takeover.ok(Check.READ, self.kernel.now_us)
        if takeover.missing(Check.INTENTS):
            if not (yield from self._repeat()):
                return
            takeover.ok(Check.INTENTS, self.kernel.now_us)
        if takeover.missing(Check.LIST):
            yield from self._list()
            if not self.listed_us or not self._list_will_do():
                return
            takeover.ok(Check.LIST, self.kernel.now_us)
        if self.kernel.awake_us > takeover.began_us or not self._holds():
            takeover.again(self.kernel.now_us)
            takeover.ok(Check.TERM, self.kernel.now_us)
            self.listed_us = 0
            return
        takeover.ok(Check.AWAKE, self.kernel.now_us)
        self.kernel.log("info", f"the fleet was taken over: {takeover.stages()} s")

    def _list_will_do(self) -> bool:
        """Whether the list shows all that nobody wrote down.

        While a version that writes nothing down may have run the fleet, that takes until the list has caught up; the
        first runner of all need not wait.
        """
        others = self.base.picture.machines or self.listed
        written = self.intents.all or self.presence.upgraded(INTENTS)
        return bool(written or not others or self.kernel.now_us - self.started_us >= self._lag_us())

    def _repeat(self) -> Fiber[bool]:
        """Learn what the former has on its way, asking again under its names; False if the cloud cannot say."""
        if not self.intents.load(self.base.picture.rentals):
            self.kernel.log("error", "the record of rentals cannot be read: waiting for the list instead")
            self.intents.all = False
            return True
        self._settle(self.base.picture.machines)
        asked = len(self.intents.unanswered())
        if not (yield from self._ask_for_all()):
            return False
        for intent in self.intents.open.values():
            self._expect(intent, intent.names or ())
        if asked:
            self.kernel.log("info", f"asked again for {asked} rentals of the former runner")
        return True

    def round(self) -> Fiber[None]:
        yield Wait(self.kick, ROUND_US)
        if not self.base.follower.loaded or not self.presence.incarnation:
            return
        yield from self.lead()
        if self.kernel.now_us >= self.pause_until_us:
            yield from self.watch_types()
        if not self.running or self.kernel.now_us < self.pause_until_us:
            return
        if not self.takeover.ready():
            yield from self._take_over()
            if not self.takeover.ready():
                return
        if self.kernel.now_us - self.listed_us >= LIST_US:
            yield from self._list()
        if not self.listed_us:
            return
        if not self.takeover.decided:
            # What is wanted has waited since the former one fell; marking and deleting can wait in line for seconds.
            yield from self._rent()
        yield from self._give_up()
        yield from self._finish()
        if self.kernel.now_us >= self.pause_until_us:
            yield from self._rent()

    def _list(self) -> Fiber[None]:
        after = ""
        seen: dict[str, str] = {}
        began_us = self.kernel.now_us
        while True:
            reply = yield from self._cloud("GET", f"/rentals?after={after}&page=500")
            if reply.status != 200:
                return
            try:
                page = msgspec.convert(reply.body, MachineList)
            except msgspec.ValidationError:
                return
            for berth in page.machines:
                seen[berth.name] = berth.state
                after = berth.name
                if berth.name in self.gone:
                    continue
                coming = self.coming.get(berth.name)
                if coming is None and berth.name not in self.base.picture.machines:
                    since = began_us - int(berth.age_s * SECOND_US)
                    coming = Coming(berth.kind, since)
                    self.coming[berth.name] = coming
                if coming is not None and berth.state == "running" and not coming.up:
                    coming.up, coming.up_us = True, began_us
            if not page.truncated or not page.machines:
                break
        self.listed = seen
        self.listed_us = began_us
        self._newest = max(self._newest, max(seen, default=""))

    # Giving up and returning

    def _give_up(self) -> Fiber[None]:
        """Delete what never came up, what fell silent, what failed, and what stands idle."""
        now = self.kernel.now_us
        picture = self.base.picture
        times = self.base.settings.cluster.workers
        lost: list[str] = []
        freed: set[MachineKind] = set()
        for name, coming in list(self.coming.items()):
            if name in picture.machines:
                self.boot_times.record(coming.kind, coming.since_us, now)
                del self.coming[name]
                continue
            late = self.boot_times.hopeless(coming.kind, coming.since_us, now)
            if not late and coming.kind not in freed and self._in_the_way(coming, now):
                late = True
                freed.add(coming.kind)
            mute = coming.up and now - coming.up_us > int(times.lease_s * SECOND_US)
            vanished = self._unlisted(name) and now - coming.since_us > self._lag_us()
            if (late and not coming.up) or mute or vanished or self.listed.get(name) == "failed":
                self.kernel.log("info", f"{name} never reported: given up")
                lost.append(name)
                if coming.kind in freed:
                    # The room that it took can be asked for again.
                    self.blocked.pop(coming.kind, None)
        lease_us = int(times.lease_s * SECOND_US)
        silence = self._silences()
        silent = {name for name, us in silence.items() if us > lease_us + 4 * SECOND_US}
        # When most of the fleet falls silent at once, the fault is likelier on this side.
        if len(silent) > max(2, len(picture.machines) // 2):
            silent = {name for name in silent if silence[name] > 3 * lease_us}
        sick = {n for n, m in picture.machines.items() if m.record.failed and picture.blame(m) >= SICK}
        lag_us = self._lag_us()
        for name, machine in picture.machines.items():
            if name in sick and not machine.record.retiring:
                self.kernel.log("info", f"{name} fails its tasks")
                lost.append(name)
                continue
            failed = self.listed.get(name) == "failed"
            missing = self._unlisted(name) and now - self.known_since[name] > lag_us
            missing = missing and silence[name] > 6 * SECOND_US
            if failed or missing or name in silent:
                if name not in self._ending:
                    why = "failed" if failed else "missing" if missing else "silent"
                    self.kernel.log("info", f"{name} is {why}")
                lost.append(name)
            elif not machine.holds and (name not in self.needed or machine.record.retiring):
                since = self.idle_since.setdefault(name, now)
                if machine.record.retiring or now - since > self._idle_limit_us(machine):
                    lost.append(name)
            else:
                self.idle_since.pop(name, None)
        yield from self._spare_gangs()
        self._ending.update(name for name in lost if name not in picture.machines)
        yield from self._retire([name for name in lost if name in picture.machines])

    def _in_the_way(self, coming: Coming, now: int) -> bool:
        """Whether a machine that is overdue takes up room for the one that would replace it.

        Found in a recorded day: the only machine of its type never came up, and the urgent gang that needed it waited
        for four minutes until it was given up.  Only where none of its kind is up: what is late by a little comes
        sooner than its replacement, and with others up nobody waits for it alone.
        """
        overdue = self.boot_times.remaining_us(coming.kind, coming.since_us, now) is None
        if not overdue or coming.up or not self._blocked(coming.kind):
            return False
        kinds = (MachineKind(m.type, m.zone, m.record.spot) for m in self.base.picture.machines.values())
        return coming.kind not in kinds

    def _spare_gangs(self) -> Fiber[None]:
        """Stop gangs that are about to lose a machine in the orderly way: all their tasks at once, so that they save.

        One that cannot be told in one transaction is left to its last checkpoint, for a part would lose it all.
        """
        picture = self.base.picture
        seen: set[str] = set()
        for machine in list(picture.machines.values()):
            if not machine.record.retiring or machine.name in self._ending:
                continue
            for hold in machine.holds:
                job = picture.jobs.get(hold.job)
                if job is None or job.id in seen or not orderly(job, hold):
                    continue
                seen.add(job.id)
                victims: Victims = {}
                for (name, _), held in picture.held[job.id].items():
                    victims.setdefault(name, {}).setdefault((job.id, held.attempt), set()).update(held.tasks)
                build = partial(stop_victims, picture, victims, self.base.limits, whole=True)
                if (yield from self.base.follower.commit(build, len(victims), Urgency.FREE, "stop")):
                    self.kernel.log("info", f"{job.id} saves: {machine.name} goes")

    def _silences(self) -> dict[str, int]:
        """For how long nobody has heard each worker, as far as this controller can tell.

        Silence counts only over time in which this process ran itself and had word of its peers.  Workers that
        report to a live one that gives no word are not silent: it cannot say that it hears them.
        """
        now = self.kernel.now_us
        peers, presence = self.peers, self.presence
        mute = peers.mute()
        until = min(now, peers.all_word_us(mute))
        heard = peers.last_heard()
        awake_us = self.kernel.awake_us
        found = {}
        for name, machine in self.base.picture.machines.items():
            last = max(heard.get(name, 0), self.known_since.setdefault(name, now), awake_us)
            found[name] = 0 if mute and presence.foreman(machine.group) in mute else max(until - last, 0)
        return found

    def _idle_limit_us(self, machine: Machine) -> int:
        """How long an idle machine is kept: about as long as having it back would cost.

        One that is the cheapest for a class with an aim on waiting is kept longer, for no machine that is rented
        when such a job comes is up in time.
        """
        kind = self.base.picture.types.get(machine.type)
        boot_us = kind.boot_us if kind is not None else 30 * SECOND_US
        times = self.base.knobs.idle_boots
        if (machine.type, machine.record.spot) in self.cheapest_for_urgent.values():
            times *= 6
        return int(boot_us * times)

    def _unlisted(self, name: str) -> bool:
        """Whether the list should show a machine and does not: names are in the order of creation.

        Late lists may lack all the newest machines, for longer than the settings say.
        """
        return name not in self.listed and name < self._newest

    def _lag_us(self) -> int:
        return int((2 * self.base.settings.cluster.cloud.list_lag_s + 5) * SECOND_US)

    def _retire(self, names: list[str]) -> Fiber[None]:
        """Mark machines as being returned, so that nobody places on them any more; those of a group together."""
        marked: list[str] = []
        left = [name for name in names if name not in self._ending]
        for _ in range(MAX_COMMITS):
            machines = self.base.picture.machines
            self._ending.update(n for n in left if (m := machines.get(n)) is not None and m.record.retiring)
            left = [name for name in left if name in machines and not machines[name].record.retiring]
            if not left:
                break
            build = partial(self._retirement, left, {n for n in left if not machines[n].holds}, marked)
            groups = min(len({machines[name].group for name in left}), self.base.limits.ops)
            good = yield from self.base.follower.commit(build, groups, Urgency.PLACE, "return")
            if good:
                for name in marked:
                    self.kernel.log("info", f"{name} is to be returned")
                self._ending.update(marked)
                left = [name for name in left if name not in marked]
            elif good is None or not (yield from self.base.follower.barrier()):
                break

    def _retirement(self, names: list[str], idle: set[str], marked: list[str]) -> Txn | None:
        """Mark what still stands: machines that were idle when they were chosen may have got tasks meanwhile."""
        picture = self.base.picture
        edits: dict[str, Edit] = {}
        marked.clear()
        if not self._holds():
            return None
        for name in names:
            machine = picture.machines.get(name)
            if machine is None or machine.record.retiring or (name in idle and machine.holds):
                continue
            if not self._takes(edits, machine, 0):
                continue
            edits.setdefault(machine.group, Edit(picture.groups[machine.group])).machine(name).retiring = True
            marked.append(name)
        return self._write(self._under_term(Txn()), edits, marked)

    def _takes(self, edits: dict[str, Edit], machine: Machine, others: int) -> bool:
        """Whether a transaction with these edits and other changes has room for a machine's group."""
        if machine.group in edits:
            return len(edits) + others <= self.base.limits.ops
        size = self.base.picture.groups[machine.group].size + sum(edit.group.size for edit in edits.values())
        fits = len(edits) + 1 + others <= self.base.limits.ops and size <= self.base.limits.txn_bytes
        return fits or not edits

    def _write(self, txn: Txn, edits: dict[str, Edit], names: list[str]) -> Txn | None:
        """Write groups; takes out of `names` those in records that are too large, until they have been split."""
        picture = self.base.picture
        for key, edit in edits.items():
            if not edit.write(txn, self.base.limits, picture.is_live):
                names[:] = [name for name in names if name not in picture.groups[key].machines]
        return txn if txn.changes() else None

    def _finish(self) -> Fiber[None]:
        """Delete what is to end; when the cloud has said yes, free what was on it."""
        names = sorted(self._ending)[:100]
        if not names:
            return
        reply = yield from self._cloud("POST", "/rentals/delete", deletion(names))
        if reply.status != 200:
            return
        for name in names:
            self.gone[name] = self.kernel.now_us
            self.coming.pop(name, None)
            self.idle_since.pop(name, None)
        yield from self._free(names)
        horizon = self.kernel.now_us - 10 * self._lag_us()
        self.gone = {name: at for name, at in self.gone.items() if at > horizon}

    def _free(self, names: list[str]) -> Fiber[None]:
        """Take machines that are surely gone out of their groups, with all that they held."""
        machines = self.base.picture.machines
        for _ in range(MAX_COMMITS):
            left = [name for name in names if name in machines]
            if not left:
                break
            late = [name for name in left if not machines[name].record.retiring]
            if late:
                # Adopted after they were marked: they are gone all the same, but placing must stop first.
                self._ending.difference_update(late)
                yield from self._retire(late)
            taken: list[str] = []
            changes = min(len({machines[n].group for n in left if n in machines}) + 1, 8)
            build = partial(self._removal, left, taken)
            good = yield from self.base.follower.commit(build, changes, Urgency.FREE, "remove")
            machines = self.base.picture.machines
            if good:
                for name in taken:
                    self.known_since.pop(name, None)
                    self.kernel.log("info", f"{name} is gone")
            elif good is None or not (yield from self.base.follower.barrier()):
                break
            machines = self.base.picture.machines
        self._ending.difference_update(name for name in names if name not in machines)

    def _removal(self, names: list[str], taken: list[str]) -> Txn | None:
        picture = self.base.picture
        edits: dict[str, Edit] = {}
        broken: dict[str, int] = {}
        taken.clear()
        for name in names:
            machine = picture.machines.get(name)
            if machine is None or not machine.record.retiring:
                continue
            gangs = {**broken, **{job.id: attempt for job, attempt in self._broken_gangs(machine)}}
            if not edits and len(gangs) >= self.base.limits.ops:
                # More gangs than a transaction takes: some are marked first, and the machine goes in a later turn.
                broken = dict(list(gangs.items())[: self.base.limits.ops])
                break
            if not self._takes(edits, machine, len(gangs)):
                continue
            edits.setdefault(machine.group, Edit(picture.groups[machine.group])).remove(name)
            broken = gangs
            taken.append(name)
        txn = Txn()
        for job_id, attempt in broken.items():
            job = picture.jobs[job_id]
            txn.guard(LIVE + job_id, job.version).put(LIVE + job_id, job.value(broken=attempt))
        return self._write(txn, edits, taken)

    def _broken_gangs(self, machine: Machine) -> list[tuple[Job, int]]:
        broken = []
        for hold in machine.holds:
            job = self.base.picture.jobs.get(hold.job)
            if job is not None and job.spec.kind == "gang" and hold.attempt > job.record.broken:
                broken.append((job, hold.attempt))
        return broken

    # Renting

    def _blocked(self, kind: MachineKind) -> bool:
        return self.blocked.get(kind, (0, 0))[0] > self.kernel.now_us

    def _room(self, name: str, kind: MachineKind) -> Room:
        """An empty machine that is not there yet."""
        spec = self.base.picture.types[kind[0]]
        machine = Machine(name, name, kind[0], kind[1], {"address": "", "spot": kind[2]})
        return Room(machine, spec, spec.cpus, spec.gpus, spec.memory_gb)

    def _offers(self, job: Job, blocked: bool = False) -> list[tuple[float, MachineKind]]:
        """What could be rented for a job, the cheapest for each of its tasks first."""
        spec = job.spec
        offers = []
        for kind in self.base.picture.types.values():
            if spec.types and kind.name not in spec.types:
                continue
            fits = kind.fits(spec.cpus, spec.gpus, spec.memory_gb)
            if not fits:
                continue
            for zone in kind.zones:
                if spec.zone not in (None, zone):
                    continue
                for spot in (True, False) if spec.spot else (False,):
                    offered = MachineKind(kind.name, zone, spot)
                    if blocked or not self._blocked(offered):
                        price = kind.spot_price if spot else kind.price
                        offers.append((price / min(fits, spec.tasks), offered))
        return sorted(offers)

    def wishes(self) -> dict[MachineKind, int]:
        """What is to be rented: machines without which tasks would wait longer than renting is worth.

        The queue is served in a forecast on what is there and coming.  A task that would start later than a
        new machine of some kind could take it, and later by more than that kind's price is worth, calls for one.
        """
        base = self.base
        wall_us = self.kernel.wall_us
        plan = self.planner.plan()
        jobs, _ = self.planner.queue()
        ready_us: dict[str, int] = {}
        # At the worst a third as many again are paid for.
        hedges = {kind: max(n // 3, 2) for kind, n in Counter(c.kind for c in self.coming.values()).items()}
        for name, coming in self.coming.items():
            kind: MachineType | None = base.picture.types.get(coming.kind[0])
            if kind is not None and name not in self._ending and name not in base.picture.machines:
                left_us = self.boot_times.remaining_us(coming.kind, coming.since_us, self.kernel.now_us)
                if left_us is None and hedges[coming.kind] > 0:
                    # Overdue: another one is wished for, and this one is used all the same should it come.
                    hedges[coming.kind] -= 1
                    continue
                plan.rooms.append(self._room(name, coming.kind))
                ready_us[name] = wall_us + (kind.boot_us if left_us is None else left_us)
        if not jobs:
            self.needed = set()
            return {}
        forecast = Forecast(future_machines(base.picture, plan.rooms, wall_us, ready_us, self.pace.run_us))
        wishes: dict[MachineKind, int] = {}
        for job in jobs:
            left = len(plan.wanted(job, wall_us))
            if left:
                plan.count(job, left)
                for ask, part in self._parts(plan.ask(job), left):
                    self._wish(job, ask, part, forecast, wishes)
        self.needed = {future.room.machine.name for future in forecast.machines if future.used}
        return wishes

    def _parts(self, ask: Ask, left: int) -> list[tuple[Ask, int]]:
        """A job that must be spread is served zone by zone; the tasks of the others are one part."""
        zones = [z for z in self.base.settings.cluster.zones if ask.spec.zone in (None, z) and ask.zone in (None, z)]
        if not ask.spec.spread or len(zones) < 2:
            return [(ask, left)]
        parts = []
        for n, zone in enumerate(zones):
            part = min(-(-left // (len(zones) - n)), ask.zone_allows(zone))
            left -= part
            parts.append((replace(ask, zone=zone), part))
        return [(part_ask, part) for part_ask, part in parts if part > 0]

    def _wish(self, job: Job, ask: Ask, left: int, forecast: Forecast, wishes: dict[MachineKind, int]) -> None:
        wall_us = self.kernel.wall_us
        run_us = self.pace.run_us(job)
        offers = self._offers(job)
        cheapest, best_kind = min(self._offers(job, blocked=True), default=(0.0, NO_KIND))
        if job.spec.job_class in self.pace.urgent:
            self.cheapest_for_urgent[job.spec.job_class] = (best_kind[0], best_kind[2])
        if job.spec.same_zone and ask.zone is None and offers:
            ask.zone = offers[0][1][1]
        bars: list[tuple[int, MachineKind]] = []
        latest_us = self.pace.latest_start_us(job)
        for price, kind in offers:
            if ask.zone not in (None, kind[1]) or ask.zone_allows(kind[1]) <= 0:
                continue
            dearer = max(price / cheapest - 1.0, 0.0) if cheapest else 0.0
            worth_us = int(self.pace.patience_s(job) * SECOND_US * dearer)
            ready_us = wall_us + self.boot_times.expected_us(kind)
            bar_us = ready_us + worth_us + SECOND_US
            if latest_us is not None:
                # What is there will do while the job can still be done in time: a machine that boots for one short
                # task costs more than it does.
                bar_us = max(bar_us, latest_us if dearer > DEARER else (wall_us + latest_us) // 2)
            bars.append((bar_us, kind))
        while left > 0 and forecast.steps > 0:
            at_us = forecast.earliest(ask)
            best = next((kind for bar_us, kind in bars if at_us > bar_us), None)
            if best is not None and sum(wishes.values()) < MAX_WISHES:
                wishes[best] = wishes.get(best, 0) + 1
                room = self._room(f"wish-{len(forecast.machines)}", best)
                forecast.add(FutureMachine(room, wall_us + self.boot_times.expected_us(best), []), ask)
                at_us = forecast.earliest(ask)
            if at_us >= NEVER_US:
                break
            left -= forecast.take(ask, left, run_us)
        forecast.served(ask)

    def _rent(self) -> Fiber[None]:
        # A forecast goes through the whole fleet and queue: not at each round.
        pause_us = RENT_US * len(self.base.picture.machines) * (1 if self._wished else 2)
        if self.takeover.decided and self.kernel.now_us - self._rented_us < pause_us:
            return
        self._rented_us = self.kernel.now_us
        self._settle(())
        if not (yield from self._ask_for_all()):
            # What has no answer may be on its way: the same need would be met twice.
            return
        wishes = self.wishes()
        self._wished = bool(wishes)
        if not self.takeover.decided:
            self.takeover.decided = True
            self.kernel.log("info", f"first decision of the fleet: {sum(wishes.values())} machines are wanted")
        if not wishes:
            return
        batch: list[Intent] = []
        build = partial(self._intend, wishes, batch)
        if not (yield from self.base.follower.commit(build, 1, Urgency.ACCEPT, "intent")):
            # Perhaps it is written all the same: what nobody has asked for is dropped with the next change.
            return
        self.intents.begin(batch)
        yield from self._ask_for_all()

    def _settle(self, seen: Container[str]) -> None:
        """Drop intents whose machines were seen, or that are so old that the list must show them."""
        self.intents.settle(seen, self.kernel.wall_us - self._lag_us() - CLOCK_US)

    def _ask_for_all(self) -> Fiber[bool]:
        """Ask for what has no answer yet; False where the cloud gives none."""
        for intent in self.intents.unanswered():
            # A request without an answer may have been executed: whoever asks again gets the same machines.
            if not (yield from self._ask_for(intent)) and not (yield from self._ask_for(intent)):
                return False
        return True

    def _intend(self, wishes: dict[MachineKind, int], batch: list[Intent]) -> Txn | None:
        """The record of what is on its way and about to be, under the term; settled intents are left out."""
        if not self._holds():
            return None
        batch.clear()
        for (name, zone, spot), number in wishes.items():
            self._seq += 1
            request = f"{self.base.settings.host_name}-{self.presence.incarnation}-{self._seq}"
            batch.append(Intent(request, name, zone, spot, min(number, MOST_A_REQUEST), self.kernel.wall_us))
        seen = self.base.picture.machines.keys() | self.listed.keys() | self.gone.keys()
        self._settle(seen)
        self.intents.all = self.intents.all or self.presence.upgraded(INTENTS)
        most = self.base.limits.value_bytes * VALUE_SHARE * INTENTS_SHARE
        value = self.intents.value(self.base.settings.host_name, most, batch)
        txn = Txn().guard(RENTALS, self.base.picture.version(RENTALS)).put(RENTALS, value)
        return self._under_term(txn)

    def _expect(self, intent: Intent, names: Iterable[str]) -> None:
        """Machines rented for an intent are on their way, unless more is known of them."""
        age_us = max(self.kernel.wall_us - intent.at_us, 0)
        for name in names:
            if name not in self.gone and name not in self.base.picture.machines:
                self.coming.setdefault(name, Coming(intent.kind, self.kernel.now_us - age_us))

    def _ask_for(self, intent: Intent) -> Fiber[bool]:
        """Ask the cloud for what was written down; False if it gave no answer, or this controller may not ask."""
        kind = intent.kind
        if not self._holds():
            return False
        body = rental(intent.request, kind, intent.number)
        reply = yield from self._cloud("POST", "/rentals", body, self._holds)
        if reply.status not in (200, 400, 503) or (reply.body or {}).get("error") == "trouble":
            return False
        names = rented_names(reply.body) if reply.status == 200 else []
        if names:
            self.intents.answered(intent.request, names)
        else:
            self.intents.refused(intent.request)
        self._expect(intent, names)
        what = f"{'spot ' if kind[2] else ''}{kind[0]} in {kind[1]}"
        if reply.status == 200:
            self.kernel.log("info", f"rented {len(names)} of {intent.number} {what}")
        short = reply.status == 200 and len(names) < intent.number
        if short or (reply.status == 503 and (reply.body or {}).get("error") == "no capacity"):
            times = self.blocked.get(kind, (0, 0))[1] + 1
            pause = min(5 * 2 ** min(times, 4), 40) * SECOND_US
            self.blocked[kind] = (self.kernel.now_us + pause, times)
            self.kernel.log("info", f"no capacity for {what}")
        elif names:
            self.blocked.pop(kind, None)
        return True
