"""One day on which two or three meetings of troubles fall together, drawn from a seed."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from tools.meetings.catalogue import FIRST, MEETINGS, Meeting
from tools.meetings.draw import Draw
from tools.meetings.faults import Fault, JobsChange
from tools.meetings.site import Site

THIRD_PROBABILITY = 0.4
"""How often a day has a third meeting."""
OVERLAP = 0.6
"""A meeting begins within this part of the one before it."""
LEAST_LENGTH_S = 5.0
"""The length of a meeting of which no fault lasts."""
QUIET_END_S = 60.0
"""From the last trouble to the end of a day."""


@dataclass
class Played:
    """A meeting with its faults at their times."""

    meeting: Meeting
    faults: list[Fault]

    def begin_s(self) -> float:
        """When its first fault begins."""
        return min(fault.at_s for fault in self.faults)

    def begun_at(self, at_s: float) -> Played:
        """The same meeting with its first fault at a moment: on some sites what else comes first is left out."""
        later_s = at_s - self.begin_s()
        return Played(self.meeting, [replace(each, at_s=round(each.at_s + later_s, 1)) for each in self.faults])

    def end_s(self) -> float:
        """When its last fault is over."""
        return max(self.begin_s() + LEAST_LENGTH_S, *(fault.end_s() for fault in self.faults))


@dataclass
class Day:
    """A day of a deployment."""

    seed: int
    meetings: list[Meeting]
    rounds: list[list[Played]] = field(default_factory=list)
    """The meetings once or twice, each time in another order."""
    changes: dict[str, JobsChange] = field(default_factory=dict)
    """By class of jobs."""

    def faults(self) -> list[Fault]:
        """All faults, the earliest first."""
        found = [fault for together in self.rounds for played in together for fault in played.faults]
        return sorted(found, key=lambda fault: fault.at_s)

    def end_s(self) -> float:
        """When the last trouble is over."""
        return max(played.end_s() for together in self.rounds for played in together)

    def text(self) -> str:
        """The day's file."""
        names = " + ".join(meeting.name for meeting in self.meetings)
        lines = [f"# Drawn by tools/meeting_days.py with --seed {self.seed}: {names}."]
        lines += [f"# {meeting.name}: {meeting.sentence}" for meeting in self.meetings]
        lines += [f'name = "meeting-{self.seed}"', 'slot = "trouble"', "light = false", f"seed = {self.seed}"]
        lines.append(f"duration_s = {round(self.end_s() + QUIET_END_S, 1)}")
        for key, items in (("jobs", list(self.changes.values())), ("faults", self.faults())):
            if items:
                lines += [f"{key} = [", *(f"  {item.text()}," for item in items), "]"]
        return "\n".join(lines) + "\n"


def drawn(draw: Draw) -> list[Meeting]:
    """Two or three meetings: one of the first, and any others."""
    chosen = [draw.pick(FIRST)]
    for _ in range(2 if draw.chance(THIRD_PROBABILITY) else 1):
        chosen.append(draw.pick([meeting for meeting in MEETINGS if meeting not in chosen]))
    return chosen


def one_round(day: Day, draw: Draw, site: Site, at_s: float) -> list[Played]:
    """The meetings of a day in a drawn order, each from a moment within the one before it."""
    together: list[Played] = []
    for meeting in draw.shuffled(day.meetings):
        steps = list(meeting.make(draw, site, at_s))
        for step in steps:
            if isinstance(step, JobsChange):
                day.changes.setdefault(step.name, step)
        played = Played(meeting, [step for step in steps if isinstance(step, Fault)]).begun_at(at_s)
        together.append(played)
        at_s = round(played.begin_s() + draw.between(0.0, OVERLAP * (played.end_s() - played.begin_s())), 1)
    return together


def make_day(seed: int, site: Site) -> Day:
    """Draw a day.  The meetings come a second time where the site's day is long enough."""
    draw = Draw(seed)
    day = Day(seed, drawn(draw))
    day.rounds.append(one_round(day, draw, site, round(site.warmup_s + draw.between(3.0, 9.0), 1)))
    again = one_round(day, draw, site, round(day.end_s() + draw.between(5.0, 15.0), 1))
    if max(played.end_s() for played in again) + QUIET_END_S <= site.duration_s:
        day.rounds.append(again)
    return day
