"""The catalogue of meetings: scenarios in which several faults coincide.

Each meeting is a function that yields faults whose times and sizes are drawn within bounds.  It begins at `at_s` or
soon after.  The times vary with the draw, so that a controller crashes before, during or after another fault.  If a
day's file cannot express a part of a meeting (such as slow links), the docstring says so.  The docstrings are printed
and written into the files of days: each is one line.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from tools.meetings.draw import Draw
from tools.meetings.faults import (
    BootTrouble,
    CancelAtEnd,
    CancelNow,
    CloseLooks,
    Fault,
    JobBurst,
    JobsChange,
    LateCommands,
    LateReports,
    LateWrites,
    MachineCut,
    MachineDeaf,
    MachineDie,
    MachineGroup,
    MachineHang,
    MachineMute,
    Mode,
    NodeCrash,
    NodeCut,
    NodeFreeze,
    NodeRoll,
    OddRequests,
    SpotTaken,
    StateOutage,
    StateSlow,
)
from tools.meetings.site import Site

Step = Fault | JobsChange
FaultGenerator = Callable[[Draw, Site, float], Iterator[Step]]
QUICK_BOOT_S = 2.0
"""The boot time of machines in the meeting `quick_boots`."""
LEADER_CHANGES = 10
LEADER_CHANGES_WITHIN_S = 120.0
"""The number of changes of the fleet leader in the meeting `ten_changes`, and the time within which they happen."""


@dataclass(frozen=True)
class Meeting:
    """A scenario in which several faults coincide."""

    name: str
    make: FaultGenerator
    sentence: str
    """The description, in one line."""


def time_after(at_s: float, after_s: float) -> float:
    """Return the time `after_s` seconds after `at_s`, rounded to one decimal."""
    return round(at_s + after_s, 1)


def cancellations(draw: Draw, at_s: float, hang: float = 0.5) -> CancelNow:
    """Return a fault of many cancellations at once; with probability `hang` machines of some of the jobs hang."""
    hang_s = draw.between(8.0, 25.0) if draw.chance(hang) else None
    return CancelNow(at_s=at_s, count=draw.count(20, 40), hang_s=hang_s)


def task_sizes(site: Site, sizes: tuple[int, int]) -> dict[str, float | list[float]]:
    """Return the tasks of jobs of two sizes, in the form that the site file uses for its least urgent job class.

    The bench merges a day's table into the site's, and refuses a mixture of a list of sizes and a distribution.
    """
    least, most = sizes
    if site.idle_lists_sizes:
        return {"sizes": [least, most], "weights": [1.0, 1.0]}
    return {"median": float(least), "p95": float(most), "max": float(most)}


def some_machines(draw: Draw, site: Site, kind: type[MachineGroup], at_s: float, for_s: float) -> MachineGroup:
    """Return a fault of machines by count, share or zone; a whole zone is only hit for less than half of a lease."""
    by = draw.pick(["count", "share", "zone"] if site.zones else ["count", "share"])
    if by == "zone":
        short_s = min(for_s, round(site.lease_s * 0.4, 1))
        return kind(at_s=at_s, zone=draw.pick(site.zones), for_s=short_s)
    part = draw.share(0.05, 0.2)
    if by == "count":
        return kind(at_s=at_s, count=site.machine_count(part), for_s=for_s)
    return kind(at_s=at_s, share=part, for_s=for_s)


def leader_ends(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """The fleet leader crashes, and then one or two of its successors."""
    for _ in range(draw.count(2, 3)):
        yield NodeCrash(at_s=at_s)
        at_s = time_after(at_s, draw.between(0.5, 20.0))


def ten_changes(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """The leader changes ten times in two minutes, in half of the draws with an outage of the state service."""
    if draw.chance(0.5):
        outage_s = draw.between(10.0, site.cancel_s + 10.0)
        yield StateOutage(at_s=time_after(at_s, draw.between(20.0, 50.0)), for_s=outage_s)
    spacing_s = LEADER_CHANGES_WITHIN_S / LEADER_CHANGES
    for change in range(LEADER_CHANGES):
        yield NodeCrash(at_s=time_after(at_s, change * spacing_s + draw.between(0.0, spacing_s / 2)))


def outage_beyond_cancel(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """The state service is slow or refuses the leader, then fails for longer than cancel_s; users cancel and poll."""
    yield CloseLooks(at_s=at_s, for_s=round(site.cancel_s + 30.0, 1))
    if draw.chance(0.5):
        yield StateSlow(at_s=at_s, factor=10.0, for_s=10.0)
    else:
        yield NodeCut(at_s=at_s, from_state=True, mode=Mode.REFUSE, for_s=draw.between(8.0, 14.0))
    yield cancellations(draw, time_after(at_s, draw.between(0.5, 3.0)))
    out_s = time_after(at_s, draw.between(1.0, 8.0))
    yield StateOutage(at_s=out_s, for_s=round(site.cancel_s + draw.between(3.0, 12.0), 1))
    yield cancellations(draw, time_after(out_s, draw.between(0.2, 10.0)))


def late_commands(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """A command of a leader that has crashed or lost its lease arrives after the new leader's commands."""
    yield LateCommands(at_s=at_s, share=draw.share(0.1, 0.4), for_s=draw.between(30.0, 60.0))
    yield cancellations(draw, time_after(at_s, draw.between(1.0, 8.0)))
    change_s = time_after(at_s, draw.between(3.0, 20.0))
    if draw.chance(0.5):
        yield NodeCrash(at_s=change_s)
    else:
        yield NodeFreeze(at_s=change_s, for_s=round(site.lease_s + draw.between(1.0, 6.0), 1))


def held_commands(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """A command or its answer is delayed for seconds while machines hang and continue."""
    yield LateCommands(at_s=at_s, share=draw.share(0.1, 0.3), for_s=30.0)
    yield MachineHang(
        at_s=time_after(at_s, draw.between(1.0, 10.0)), count=site.machine_count(0.05), for_s=draw.between(3.0, 10.0)
    )
    yield cancellations(draw, time_after(at_s, draw.between(5.0, 15.0)), hang=1.0)


def old_reports_at_new_leader(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """An old report arrives at every controller just as a new leader takes over."""
    yield LateReports(at_s=at_s, share=draw.share(0.1, 0.3), for_s=draw.between(20.0, 40.0))
    for _ in range(2):
        at_s = time_after(at_s, draw.between(4.0, 18.0))
        yield NodeCrash(at_s=at_s)


def ends_far_apart(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """The two or three tasks of a job end far apart, before and after a change of leader."""
    if site.idle_class is not None:
        run_s: dict[str, float | list[float]] = {"median": 40.0, "p95": 140.0, "max": 180.0}
        yield JobsChange(site.idle_class, (("tasks", task_sizes(site, (2, 3))), ("run_s", run_s)))
    for _ in range(3):
        yield NodeCrash(at_s=at_s)
        at_s = time_after(at_s, draw.between(10.0, 25.0))


def late_transactions(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """A transaction without an answer is applied late, after newer ones of the same controller."""
    yield LateWrites(at_s=at_s, share=draw.share(0.05, 0.2), for_s=draw.between(20.0, 40.0))
    yield cancellations(draw, time_after(at_s, draw.between(2.0, 15.0)))


def ends_meet_requests(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """A cancellation, a poll or a repeated submission arrives as the last task of a job ends."""
    for_s = draw.between(30.0, 60.0)
    yield CancelAtEnd(at_s=at_s, share=draw.share(0.2, 0.5), for_s=for_s)
    yield CloseLooks(at_s=at_s, for_s=for_s)
    yield OddRequests(at_s=at_s, for_s=for_s)


def more_work_than_room(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """More urgent and idle work comes than machines can take; a day cannot have slow links, so machines hang."""
    for name, factor in ((site.idle_class, draw.between(2.0, 4.0)), (site.urgent_class, draw.between(1.5, 3.0))):
        if name is not None:
            yield JobBurst(at_s=at_s, class_=name, factor=factor, for_s=draw.between(40.0, 80.0))
    yield MachineHang(
        at_s=time_after(at_s, draw.between(5.0, 20.0)), count=site.machine_count(0.05), for_s=draw.between(5.0, 20.0)
    )


def limit_at_change(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """A team is at its limit as the leader changes, some machines are deaf or mute, and jobs are cancelled."""
    if site.idle_class is not None:
        yield JobBurst(at_s=at_s, class_=site.idle_class, factor=4.0, for_s=60.0)
    trouble_s = time_after(at_s, draw.between(15.0, 30.0))
    yield some_machines(draw, site, draw.pick([MachineDeaf, MachineMute]), trouble_s, draw.between(20.0, 40.0))
    yield NodeCrash(at_s=time_after(trouble_s, draw.between(0.0, 6.0)))
    yield cancellations(draw, time_after(trouble_s, draw.between(0.0, 8.0)))


def limits_and_hangs(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """Teams are at their limits while jobs on unreachable or hung machines are cancelled and the leader changes."""
    for name in dict.fromkeys((site.idle_class, site.urgent_class)):
        if name is not None:
            yield JobBurst(at_s=at_s, class_=name, factor=draw.between(2.0, 4.0), for_s=60.0)
    trouble_s = time_after(at_s, draw.between(15.0, 30.0))
    yield MachineCut(
        at_s=trouble_s, count=site.machine_count(0.1), for_s=round(site.lease_s + draw.between(2.0, 15.0), 1)
    )
    yield cancellations(draw, time_after(trouble_s, draw.between(0.5, 6.0)), hang=1.0)
    yield NodeCrash(at_s=time_after(trouble_s, draw.between(0.0, 8.0)))


def cancelled_at_the_refusal(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """Jobs are cancelled as only the leader is refused; a second later the state service is down beyond cancel_s."""
    yield NodeCut(at_s=at_s, from_state=True, mode=Mode.REFUSE, for_s=draw.between(10.0, 16.0))
    yield cancellations(draw, time_after(at_s, draw.between(0.0, 0.3)))
    yield StateOutage(
        at_s=time_after(at_s, draw.between(0.8, 1.5)), for_s=round(site.cancel_s + draw.between(3.0, 12.0), 1)
    )


def mute_workers(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """Workers cannot connect to any controller, while direct commands still reach them."""
    for_s = round(site.lease_s * draw.between(0.5, 2.5), 1)
    yield some_machines(draw, site, MachineMute, at_s, for_s)
    yield cancellations(draw, time_after(at_s, draw.between(1.0, 10.0)))


def bound_jobs_lose_machines(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """Jobs that must run in one zone, arrays too, lose machines."""
    yield MachineDie(at_s=at_s, count=site.machine_count(draw.share(0.05, 0.15)))
    notice_s = draw.pick([0.0, 12.0])
    wave_s = time_after(at_s, draw.between(2.0, 20.0))
    yield SpotTaken(at_s=wave_s, share=draw.share(0.2, 0.5), notice_s=notice_s, over_s=10.0)


def all_away(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """All controllers are paused, or cut off from all workers, for longer than lease_s."""
    for_s = round(site.lease_s + draw.between(2.0, 8.0), 1)
    if draw.chance(0.5):
        yield NodeFreeze(at_s=at_s, count=site.nodes, for_s=for_s)
    else:
        yield NodeCut(at_s=at_s, count=site.nodes, from_workers=True, for_s=for_s)
    yield cancellations(draw, time_after(at_s, for_s + draw.between(0.0, 2.0)), hang=0.3)


def far_machines(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """A leader crashes while machines with long tasks are unreachable or do not get the new leader's answers."""
    for_s = round(site.lease_s * draw.between(0.6, 2.0), 1)
    if draw.chance(0.5):
        yield MachineCut(at_s=at_s, count=site.machine_count(draw.share(0.05, 0.15)), for_s=for_s)
    else:
        yield some_machines(draw, site, MachineDeaf, at_s, for_s)
    yield NodeCrash(at_s=time_after(at_s, draw.between(0.5, for_s)))


def lost_answers(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """A transaction is applied at once but its answer is lost, while other controllers read what it wrote."""
    for_s = draw.between(20.0, 40.0)
    yield LateWrites(at_s=at_s, share=draw.share(0.1, 0.25), for_s=for_s, at_once=True)
    yield CloseLooks(at_s=at_s, for_s=for_s)
    yield cancellations(draw, time_after(at_s, draw.between(1.0, for_s)))


def leader_apart(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """A leader is cut off from the state service and peers, but not from workers and users; jobs are cancelled."""
    for_s = round(site.lease_s * draw.between(0.8, 2.0), 1)
    yield NodeCut(at_s=at_s, from_state=True, from_peers=True, mode=draw.pick(list(Mode)), for_s=for_s)
    yield cancellations(draw, time_after(at_s, draw.between(0.5, 6.0)))
    yield cancellations(draw, time_after(at_s, draw.between(6.0, for_s)))


def looks_everywhere(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """Users poll all controllers and repeat submissions right after an acceptance, an end or a cancellation."""
    for_s = draw.between(50.0, 90.0)
    yield CloseLooks(at_s=at_s, for_s=for_s)
    yield OddRequests(at_s=at_s, for_s=for_s)
    yield cancellations(draw, time_after(at_s, draw.between(5.0, 30.0)), hang=0.0)


def one_task_jobs(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """One-task jobs arrive at four per second for minutes, and a quarter of them are cancelled."""
    if site.idle_class is not None:
        arrivals: dict[str, float | list[float]] = {"rate": 4.0}
        changes = (("tasks", task_sizes(site, (1, 1))), ("arrivals", arrivals), ("cancelled", 0.25))
        yield JobsChange(site.idle_class, changes)
    yield CancelAtEnd(at_s=at_s, share=draw.share(0.1, 0.3), for_s=draw.between(40.0, 80.0))
    yield NodeCrash(at_s=time_after(at_s, draw.between(5.0, 30.0)))


def quick_boots(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """New machines boot within two seconds and get work at once while writes are late and the leader crashes."""
    factor = round(QUICK_BOOT_S / max(site.boot_s, QUICK_BOOT_S), 3)
    yield BootTrouble(at_s=at_s, fail=draw.pick([0.0, 0.2]), factor=factor, for_s=60.0)
    yield MachineDie(at_s=time_after(at_s, 2.0), count=site.machine_count(draw.share(0.05, 0.12)))
    yield LateWrites(at_s=time_after(at_s, draw.between(0.0, 6.0)), share=draw.share(0.05, 0.2), for_s=40.0)
    yield NodeCrash(at_s=time_after(at_s, draw.between(4.0, 30.0)))


def old_reports_after_newer(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """An old report, sometimes of an earlier session or attempt, arrives after newer ones."""
    yield LateReports(at_s=at_s, share=draw.share(0.1, 0.3), for_s=draw.between(30.0, 60.0))
    hang_s = round(site.lease_s + draw.between(1.0, 8.0), 1)
    yield MachineHang(at_s=time_after(at_s, draw.between(3.0, 15.0)), count=site.machine_count(0.06), for_s=hang_s)
    yield cancellations(draw, time_after(at_s, draw.between(5.0, 25.0)))


def cancels_in_handover(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """Jobs are cancelled in the seconds in which another controller takes over the work of one that ended."""
    yield cancellations(draw, time_after(at_s, draw.between(0.0, 4.0)))
    if draw.chance(0.5):
        yield NodeRoll(at_s=at_s, every_s=draw.between(4.0, 12.0))
    else:
        yield NodeCrash(at_s=time_after(at_s, draw.between(0.0, 4.0)), count=draw.count(1, 2))
    yield cancellations(draw, time_after(at_s, draw.between(4.0, 15.0)))


def hand_over_and_back(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """Controllers take over from each other and back, all crash, and one returns, sometimes within a second."""
    yield NodeCrash(at_s=at_s)
    yield NodeCrash(at_s=time_after(at_s, draw.between(0.6, 4.0)))
    at_s = time_after(at_s, draw.between(8.0, 25.0))
    yield NodeCrash(at_s=at_s, count=site.nodes)
    yield NodeCrash(at_s=time_after(at_s, draw.between(0.5, 2.0)), count=max(site.nodes - 1, 1))


def report_for_next(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """A report is delayed until a new leader has acted, and then arrives at that leader."""
    yield LateReports(at_s=at_s, share=draw.share(0.1, 0.3), for_s=draw.between(20.0, 50.0), for_next=True)
    yield cancellations(draw, time_after(at_s, draw.between(1.0, 10.0)))
    yield NodeCrash(at_s=time_after(at_s, draw.between(3.0, 20.0)))


def zone_cut(draw: Draw, site: Site, at_s: float) -> Iterator[Step]:
    """A zone (a third of the machines here) and a controller are cut off for longer than lease_s."""
    for_s = round(site.lease_s + draw.between(2.0, 12.0), 1)
    yield MachineCut(at_s=at_s, count=site.machine_count(0.33), for_s=for_s)
    yield NodeCut(at_s=at_s, from_state=True, from_peers=True, for_s=for_s)
    yield cancellations(draw, time_after(at_s, draw.between(1.0, 10.0)))


FIRST = tuple(
    Meeting(make.__name__, make, str(make.__doc__))
    for make in (leader_ends, ten_changes, outage_beyond_cancel, late_commands)
)
"""Each day has at least one of these meetings."""
MEETINGS = FIRST + tuple(
    Meeting(make.__name__, make, str(make.__doc__))
    for make in (
        held_commands,
        old_reports_at_new_leader,
        ends_far_apart,
        late_transactions,
        ends_meet_requests,
        more_work_than_room,
        limit_at_change,
        limits_and_hangs,
        cancelled_at_the_refusal,
        mute_workers,
        bound_jobs_lose_machines,
        all_away,
        far_machines,
        lost_answers,
        leader_apart,
        looks_everywhere,
        one_task_jobs,
        quick_boots,
        old_reports_after_newer,
        cancels_in_handover,
        hand_over_and_back,
        report_for_next,
        zone_cut,
    )
)
