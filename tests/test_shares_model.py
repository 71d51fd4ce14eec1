"""All orders of deciding, sending, applying, losing and falling, for the records of one team's limit.

The state service is reduced to the team's record and what each controller's tasks use; a controller to its late view
of both and to the real `Grants`.  From the start every step that is possible is taken, breadth first, until the bound
on states: overshoot is looked for in each of them, and that nothing that nobody uses is lost for good.

`ASHTRAY_SHARES_STATES=1000000` looks further.
"""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Iterator
from typing import Any, NamedTuple

import pytest

from ashtray.config.settings import Team
from ashtray.jobs.model import JobSpec
from ashtray.placement.state_keys import TEAM
from ashtray.teams.grants import Demand, Grants

SPEC = JobSpec("any", "crew", "array", 2, 9, 1.0, 0.0, 0.0, "img", 0.0)
KEY = TEAM + "crew"
STATES = int(os.environ.get("ASHTRAY_SHARES_STATES", "6000"))
Shares = tuple[float, ...]


class View(NamedTuple):
    """What one controller knows, and up to which version of the record it may rely on it."""

    version: int
    shares: Shares
    used: Shares
    read: int
    """The newest version that a look at the state service, not its own commit, has shown it."""
    above: int | None
    """Its placements may be on their way until it has read a version later than this one; None: none is."""


class World(NamedTuple):
    version: int
    shares: Shares
    used: Shares
    views: tuple[View, ...]
    late: tuple[tuple[int, int], ...]
    """Placements without an answer: whose, and which version they guard."""
    wants: tuple[int, ...]
    """For each controller whether tasks wait with it, or, with -1, that it is taken for dead."""


class Late:
    """Stands for the cluster state of one controller."""

    def __init__(self, hosts: list[str], view: View) -> None:
        self.shares = {"crew": {host: (share, 0.0) for host, share in zip(hosts, view.shares, strict=True)}}
        self._used = dict(zip(hosts, view.used, strict=True))
        self._version = view.version

    def version(self, key: str) -> int:
        return self._version

    def team_usage(self, team: str, by: str | None = None) -> tuple[float, float]:
        return (sum(self._used.values()) if by is None else self._used.get(by, 0.0)), 0.0


def replaced(values: Shares, n: int, value: float) -> Shares:
    return (*values[:n], value, *values[n + 1 :])


def grants_of(hosts: list[str], world: World, n: int) -> Grants:
    view = world.views[n]
    grants = Grants(hosts[n], hosts, [Team("crew", cpus_max=float(len(hosts)))], Late(hosts, view))  # type: ignore[arg-type]
    grants._newest_guarded = {} if view.above is None else {"crew": view.above}
    grants._fenced = {"crew"} if view.above is None else set()
    grants._read_revision = view.read
    return grants


def seen(world: World, n: int) -> World:
    """A look at the state service."""
    view = world.views[n]
    above = None if view.above is not None and view.above < world.version else view.above
    new = View(world.version, world.shares, world.used, world.version, above)
    return world._replace(views=(*world.views[:n], new, *world.views[n + 1 :]))


def steps(hosts: list[str], world: World) -> Iterator[tuple[str, World]]:
    """Every world that one step leads to."""
    for n in range(len(hosts)):
        view = world.views[n]
        grants = grants_of(hosts, world, n)

        def known(new: View, world: World = world, n: int = n) -> tuple[View, ...]:
            return (*world.views[:n], new, *world.views[n + 1 :])

        yield f"{n} looks", seen(world, n)
        if world.used[n] > 0:
            yield f"a task of {n} ends", world._replace(used=replaced(world.used, n, world.used[n] - 1))
        if grants.allowed("crew", SPEC) > 0:
            if view.version == world.version:
                used = replaced(world.used, n, world.used[n] + 1)
                own = view._replace(used=replaced(view.used, n, view.used[n] + 1))
                yield f"{n} places", world._replace(used=used, views=known(own))
            if len(world.late) < 2:
                doubt = view._replace(above=view.version)
                late = tuple(sorted((*world.late, (n, view.version))))
                yield f"{n} places without an answer", world._replace(late=late, views=known(doubt))
        fence = grants.fence(["crew"])
        if fence is not None and view.version == world.version:
            version = world.version + 1
            yield f"{n} fences", world._replace(version=version, views=known(view._replace(version=version)))
        wants = {host: Demand(9.0 * want) for host, want in zip(hosts, world.wants, strict=True) if want >= 0}
        for urgent in (1, 2):
            txn = grants.reshare("crew", SPEC, 2, wants, 0, urgent == 1)
            if txn is not None and view.version == world.version:
                shares = tuple(txn.puts[KEY][host][0] for host in hosts)
                version = world.version + 1
                own = view._replace(version=version, shares=shares)
                yield f"{n} reshares {urgent}", world._replace(version=version, shares=shares, views=known(own))
        # It ends and begins anew: it knows nothing, and what it sent may still be on its way.
        fresh = View(world.version, world.shares, world.used, world.version, world.version)
        yield f"{n} begins anew", world._replace(views=known(fresh))
    for entry in set(world.late):
        left = list(world.late)
        left.remove(entry)
        used = world.used
        if entry[1] == world.version:
            used = replaced(used, entry[0], used[entry[0]] + 1)
        yield f"a late one of {entry[0]} arrives", world._replace(late=tuple(left), used=used)


def canonical(world: World) -> Any:
    """Versions count only by how they compare."""
    known = {world.version, *(version for _, version in world.late)}
    for view in world.views:
        known |= {view.version, view.read} | ({view.above} if view.above is not None else set())
    rank = {version: n for n, version in enumerate(sorted(known))}
    views = tuple(
        (rank[v.version], v.shares, v.used, rank[v.read], None if v.above is None else rank[v.above])
        for v in world.views
    )
    return rank[world.version], world.shares, world.used, views, tuple((n, rank[v]) for n, v in world.late)


def start(number: int, wants: tuple[int, ...]) -> World:
    """A limit of one task for each controller, shared out evenly."""
    shares = (1.0,) * number
    nobody = (0.0,) * number
    return World(2, shares, nobody, (View(2, shares, nobody, 2, None),) * number, (), wants)


def explore(number: int, wants: tuple[int, ...], most: int) -> tuple[int, World | None, list[str]]:
    """States looked at; the first in which more is used than the limit, and the steps to it."""
    hosts = [f"h{n}" for n in range(number)]
    first = start(number, wants)
    came: dict[Any, tuple[Any, str]] = {canonical(first): (None, "")}
    queue = deque([first])
    while queue and len(came) < most:
        world = queue.popleft()
        here = canonical(world)
        for name, after in steps(hosts, world):
            there = canonical(after)
            if there in came:
                continue
            came[there] = (here, name)
            if sum(after.used) > number + 1e-6:
                path = []
                while there is not None:
                    there, name = came[there]
                    path.append(name)
                return len(came), after, path[::-1]
            queue.append(after)
    return len(came), None, []


@pytest.mark.parametrize("wants", [(1, 0), (1, 1), (1, -1), (0, 1, -1), (1, 1, 0)])
def test_no_order_of_steps_uses_more_than_the_limit(wants: tuple[int, ...]) -> None:
    states, world, path = explore(len(wants), wants, STATES)
    assert world is None, f"after {path}"
    assert states >= min(STATES, 1000)


@pytest.mark.parametrize("wants", [(1, 0), (1, -1), (1, 0, -1), (1, -1, -1)])
def test_nothing_is_lost_for_good(wants: tuple[int, ...]) -> None:
    """From any state nearby, the only one with work gets all that is free within a few steps of its own."""
    hosts = [f"h{n}" for n in range(len(wants))]
    seen_states: set[Any] = set()
    queue = deque([start(len(wants), wants)])
    while queue and len(seen_states) < 400:
        world = queue.popleft()
        if canonical(world) in seen_states:
            continue
        seen_states.add(canonical(world))
        queue.extend(after for _, after in steps(hosts, world))
        # Nothing of the others is on its way any more, and nobody else does anything.
        world = world._replace(late=())
        for _ in range(12):
            world = seen(world, 0)
            name = "0 places" if grants_of(hosts, world, 0).allowed("crew", SPEC) else "0 "
            options = dict(steps(hosts, world))
            own = [step for step in options if step in (name, "0 fences", "0 reshares 2")]
            if not own:
                break
            world = options["0 places" if "0 places" in own else own[0]]
        assert sum(world.used) == len(wants), (world.used, world.shares)
