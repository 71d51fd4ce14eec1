"""An exhaustive check of the shares of one team's limit: all orders of reads, writes, lost answers and restarts.

The state service is reduced to the team's record and what each controller's tasks use; a controller to its late view
of both and to the real `Grants`.  From the start, every possible step is taken, breadth first, until the bound on
states.  In no state may more than the limit be used, and no unused part of the limit may become unusable.

`ASHTRAY_SHARES_STATES=1000000` explores more states.
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
    """What one controller knows, and how far it has read."""

    version: int
    shares: Shares
    used: Shares
    read: int
    """The newest version of the record that it knows by a read, not by its own commit."""
    newest_guarded: int | None
    """Placements without an answer may be pending until it has read a version later than this one; None: none are."""


class World(NamedTuple):
    """The record of the limit, what the controllers use, and what each of them knows."""

    version: int
    shares: Shares
    used: Shares
    views: tuple[View, ...]
    pending: tuple[tuple[int, int], ...]
    """Placements that got no answer and may still be applied: by which controller, and the version they guard."""
    wants: tuple[int, ...]
    """For each controller: 1 if it has waiting tasks, 0 if not, -1 if it counts as dead."""


class StaleClusterState:
    """A stand-in for the cluster state of one controller."""

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
    grants = Grants(hosts[n], hosts, [Team("crew", cpus_max=float(len(hosts)))], StaleClusterState(hosts, view))  # type: ignore[arg-type]
    grants._newest_guarded = {} if view.newest_guarded is None else {"crew": view.newest_guarded}
    grants._fenced = {"crew"} if view.newest_guarded is None else set()
    grants._read_revision = view.read
    return grants


def read_by(world: World, n: int) -> World:
    """Return the world after a controller has read the state service."""
    view = world.views[n]
    newest_guarded = (
        None if view.newest_guarded is not None and view.newest_guarded < world.version else view.newest_guarded
    )
    new = View(world.version, world.shares, world.used, world.version, newest_guarded)
    return world._replace(views=(*world.views[:n], new, *world.views[n + 1 :]))


def steps(hosts: list[str], world: World) -> Iterator[tuple[str, World]]:
    """Yield every world that one step leads to, with the step's name."""
    for n in range(len(hosts)):
        view = world.views[n]
        grants = grants_of(hosts, world, n)

        def known(new: View, world: World = world, n: int = n) -> tuple[View, ...]:
            return (*world.views[:n], new, *world.views[n + 1 :])

        yield f"{n} reads", read_by(world, n)
        if world.used[n] > 0:
            yield f"a task of {n} ends", world._replace(used=replaced(world.used, n, world.used[n] - 1))
        if grants.allowed("crew", SPEC) > 0:
            if view.version == world.version:
                used = replaced(world.used, n, world.used[n] + 1)
                own = view._replace(used=replaced(view.used, n, view.used[n] + 1))
                yield f"{n} places", world._replace(used=used, views=known(own))
            if len(world.pending) < 2:
                unanswered = view._replace(newest_guarded=view.version)
                pending = tuple(sorted((*world.pending, (n, view.version))))
                yield f"{n} places without an answer", world._replace(pending=pending, views=known(unanswered))
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
        # The process restarts: it knows nothing of its placements without an answer, which may still be pending.
        fresh = View(world.version, world.shares, world.used, world.version, world.version)
        yield f"{n} restarts", world._replace(views=known(fresh))
    for entry in set(world.pending):
        left = list(world.pending)
        left.remove(entry)
        used = world.used
        if entry[1] == world.version:
            used = replaced(used, entry[0], used[entry[0]] + 1)
        yield f"a pending placement of {entry[0]} is applied", world._replace(pending=tuple(left), used=used)


def canonical(world: World) -> Any:
    """Return the world with versions replaced by their rank: only their order matters."""
    known = {world.version, *(version for _, version in world.pending)}
    for view in world.views:
        known |= {view.version, view.read} | ({view.newest_guarded} if view.newest_guarded is not None else set())
    rank = {version: n for n, version in enumerate(sorted(known))}
    views = tuple(
        (
            rank[v.version],
            v.shares,
            v.used,
            rank[v.read],
            None if v.newest_guarded is None else rank[v.newest_guarded],
        )
        for v in world.views
    )
    return rank[world.version], world.shares, world.used, views, tuple((n, rank[v]) for n, v in world.pending)


def start(controllers: int, wants: tuple[int, ...]) -> World:
    """Return the first world: a limit of one task for each controller, in equal shares."""
    shares = (1.0,) * controllers
    nothing_used = (0.0,) * controllers
    return World(2, shares, nothing_used, (View(2, shares, nothing_used, 2, None),) * controllers, (), wants)


def explore(controllers: int, wants: tuple[int, ...], max_states: int) -> tuple[int, World | None, list[str]]:
    """Return how many states were reached; the first with more used than the limit, if any; and the steps to it."""
    hosts = [f"h{n}" for n in range(controllers)]
    first = start(controllers, wants)
    reached_from: dict[Any, tuple[Any, str]] = {canonical(first): (None, "")}
    queue = deque([first])
    while queue and len(reached_from) < max_states:
        world = queue.popleft()
        state = canonical(world)
        for name, after in steps(hosts, world):
            next_state = canonical(after)
            if next_state in reached_from:
                continue
            reached_from[next_state] = (state, name)
            if sum(after.used) > controllers + 1e-6:
                path = []
                while next_state is not None:
                    next_state, name = reached_from[next_state]
                    path.append(name)
                return len(reached_from), after, path[::-1]
            queue.append(after)
    return len(reached_from), None, []


@pytest.mark.parametrize("wants", [(1, 0), (1, 1), (1, -1), (0, 1, -1), (1, 1, 0)])
def test_no_order_of_steps_uses_more_than_the_limit(wants: tuple[int, ...]) -> None:
    states, world, path = explore(len(wants), wants, STATES)
    assert world is None, f"after {path}"
    assert states >= min(STATES, 1000)


@pytest.mark.parametrize("wants", [(1, 0), (1, -1), (1, 0, -1), (1, -1, -1)])
def test_no_part_of_the_limit_becomes_unusable(wants: tuple[int, ...]) -> None:
    """From states near the start, the only controller with work gets all that is free in a few steps of its own."""
    hosts = [f"h{n}" for n in range(len(wants))]
    seen_states: set[Any] = set()
    queue = deque([start(len(wants), wants)])
    while queue and len(seen_states) < 400:
        world = queue.popleft()
        if canonical(world) in seen_states:
            continue
        seen_states.add(canonical(world))
        queue.extend(after for _, after in steps(hosts, world))
        # No placement is pending any more, and the other controllers do nothing.
        world = world._replace(pending=())
        for _ in range(12):
            world = read_by(world, 0)
            name = "0 places" if grants_of(hosts, world, 0).allowed("crew", SPEC) else "0 "
            options = dict(steps(hosts, world))
            own = [step for step in options if step in (name, "0 fences", "0 reshares 2")]
            if not own:
                break
            world = options["0 places" if "0 places" in own else own[0]]
        assert sum(world.used) == len(wants), (world.used, world.shares)
