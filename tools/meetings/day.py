"""Draws a day, on which two or three meetings (scenarios of faults) overlap, from a seed."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from tools.meetings.catalogue import FIRST, MEETINGS, Meeting
from tools.meetings.draw import Draw
from tools.meetings.faults import Fault, JobsChange
from tools.meetings.site import Site

THIRD_PROBABILITY = 0.4
"""The probability that a day has a third meeting."""
OVERLAP = 0.6
"""A meeting begins within this part of the length of the previous meeting."""
MIN_LENGTH_S = 5.0
"""The least length of a meeting; faults without a duration do not add to its length."""
QUIET_END_S = 60.0
"""The time from the end of the last fault to the end of a day."""


@dataclass
class ScheduledMeeting:
    """A meeting with its faults at their times, in seconds of the day."""

    meeting: Meeting
    faults: list[Fault]

    def begin_s(self) -> float:
        """Return when the first fault begins."""
        return min(fault.at_s for fault in self.faults)

    def moved_to(self, at_s: float) -> ScheduledMeeting:
        """Return the meeting with its first fault at `at_s`: on some sites its usual first fault is missing."""
        later_s = at_s - self.begin_s()
        return ScheduledMeeting(
            self.meeting, [replace(each, at_s=round(each.at_s + later_s, 1)) for each in self.faults]
        )

    def end_s(self) -> float:
        """Return when the last fault is over."""
        return max(self.begin_s() + MIN_LENGTH_S, *(fault.end_s() for fault in self.faults))


@dataclass
class Day:
    """A day for the bench."""

    seed: int
    meetings: list[Meeting]
    rounds: list[list[ScheduledMeeting]] = field(default_factory=list)
    """The meetings of the day, once or twice, each time in a newly drawn order."""
    changes: dict[str, JobsChange] = field(default_factory=dict)
    """The changes of the site's job classes, by name."""

    def faults(self) -> list[Fault]:
        """Return all faults, the earliest first."""
        found = [fault for together in self.rounds for scheduled in together for fault in scheduled.faults]
        return sorted(found, key=lambda fault: fault.at_s)

    def end_s(self) -> float:
        """Return when the last fault is over."""
        return max(scheduled.end_s() for together in self.rounds for scheduled in together)

    def text(self) -> str:
        """Return the text of the day's file."""
        names = " + ".join(meeting.name for meeting in self.meetings)
        lines = [f"# Drawn by tools/meeting_days.py with --seed {self.seed}: {names}."]
        lines += [f"# {meeting.name}: {meeting.sentence}" for meeting in self.meetings]
        lines += [f'name = "meeting-{self.seed}"', 'slot = "trouble"', "light = false", f"seed = {self.seed}"]
        lines.append(f"duration_s = {round(self.end_s() + QUIET_END_S, 1)}")
        for key, items in (("jobs", list(self.changes.values())), ("faults", self.faults())):
            if items:
                lines += [f"{key} = [", *(f"  {item.text()}," for item in items), "]"]
        return "\n".join(lines) + "\n"


def draw_meetings(draw: Draw) -> list[Meeting]:
    """Draw two or three meetings: the first from `FIRST`, the others from all."""
    chosen = [draw.pick(FIRST)]
    for _ in range(2 if draw.chance(THIRD_PROBABILITY) else 1):
        chosen.append(draw.pick([meeting for meeting in MEETINGS if meeting not in chosen]))
    return chosen


def schedule_round(day: Day, draw: Draw, site: Site, at_s: float) -> list[ScheduledMeeting]:
    """Place the meetings of a day from `at_s` on in a drawn order, each beginning within the previous one."""
    together: list[ScheduledMeeting] = []
    for meeting in draw.shuffled(day.meetings):
        steps = list(meeting.make(draw, site, at_s))
        for step in steps:
            if isinstance(step, JobsChange):
                day.changes.setdefault(step.name, step)
        scheduled = ScheduledMeeting(meeting, [step for step in steps if isinstance(step, Fault)]).moved_to(at_s)
        together.append(scheduled)
        at_s = round(scheduled.begin_s() + draw.between(0.0, OVERLAP * (scheduled.end_s() - scheduled.begin_s())), 1)
    return together


def make_day(seed: int, site: Site) -> Day:
    """Draw a day.  The meetings are repeated if the site's day is long enough."""
    draw = Draw(seed)
    day = Day(seed, draw_meetings(draw))
    day.rounds.append(schedule_round(day, draw, site, round(site.warmup_s + draw.between(3.0, 9.0), 1)))
    again = schedule_round(day, draw, site, round(day.end_s() + draw.between(5.0, 15.0), 1))
    if max(scheduled.end_s() for scheduled in again) + QUIET_END_S <= site.duration_s:
        day.rounds.append(again)
    return day
