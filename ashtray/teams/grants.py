"""Teams' limits, divided into shares of the controllers, so that placements of one team need not conflict.

A team's record holds each controller's share: the part of the limit that it may use.  A placement guards the record's
version but does not write the record; only a change of the shares does.  In a cluster state that is no older than the
record,

    the sum over controllers of max(share, what the allocations placed by it use) is at most the limit.

This stays true: a placement keeps its controller within its share, ended tasks only lower what is used, and a change
of the shares is checked against the shares that it replaces.  See `docs/design.md`, safety, point 8.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sized
from typing import NamedTuple

from ashtray.config.settings import Team
from ashtray.jobs.model import Job, JobSpec
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.records import AMOUNT_TOLERANCE
from ashtray.placement.state_keys import TEAM
from ashtray.store.transaction import Txn
from ashtray.teams.limits import has_limit, tasks_within

Share = tuple[float, float]
"""CPUs and GPUs."""
LAST_TURN = 1 << 30
"""The turn of a job that is not in the queue; a turn is a position in the queue, 0 is its head."""
BINDING_FRACTION = 0.9
"""The used fraction from which on a limit counts as used up: the rest is free only between two tasks."""
URGENT_PRIORITY = 1
"""Jobs with this priority number or a lower one are urgent."""
FAIR_FRACTION = 0.5
"""A controller with less than this fraction of its fair share may ask peers for what they have use for themselves."""


class Demand(NamedTuple):
    """What the waiting tasks of a team need that one controller is to place."""

    cpus: float = 0.0
    gpus: float = 0.0
    first_gang: int = LAST_TURN
    """The turn of its first waiting gang: no job after that turn may ask for what the gang collects."""
    smallest_task: Share = (0.0, 0.0)
    """What its smallest waiting task needs; zero where a gang waits, which needs all that it collects."""
    first_urgent: int = LAST_TURN
    """The turn of its first waiting urgent job: no job after that turn may ask for what was just taken for it."""


NO_DEMAND = Demand()


class Grants:
    """The controllers' shares of the teams' limits, and the transactions that change them."""

    def __init__(self, host: str, hosts: Iterable[str], teams: Iterable[Team], cluster_state: ClusterState) -> None:
        self.host = host
        self.hosts = sorted({host, *hosts})
        self.teams = {team.name: team for team in teams if has_limit(team)}
        self.cluster_state = cluster_state
        self._newest_guarded: dict[str, int] = {}
        """For each team with placements of unknown outcome, the newest version of its record that they can guard.

        Once the record has a later version, none of them can be applied any more.
        """
        self._fenced: set[str] = set()
        """Teams of which all placements of this controller are known."""
        self._read_revision = 0
        """The revision up to which the cluster state was read.

        This controller's own commits show in it at once; what peers committed before them may still be missing.
        """

    def has_limit(self, name: str) -> bool:
        """Return whether a team has a limit."""
        return name in self.teams

    def note_sign_in(self, revision: int) -> None:
        """Note the revision at which this process signed in; its predecessor can have guarded no later version."""
        self._newest_guarded = dict.fromkeys(self.teams, revision)
        self._fenced.clear()

    def note_unanswered(self, names: Iterable[str]) -> None:
        """Note that a placement of these teams got no answer: it may be applied until the teams' records change."""
        for name in names:
            self._fenced.discard(name)
            self._newest_guarded[name] = self.cluster_state.version(TEAM + name)

    def fence(self, names: Iterable[str]) -> Txn | None:
        """Return a transaction that raises the versions of these teams' records, or None where none needs that.

        A placement that was sent before it, and that does not show after it, can never be applied.
        """
        txn = Txn()
        for name in names:
            key = TEAM + name
            if not self.is_fenced(name):
                txn.guard(key, self.cluster_state.version(key)).put(key, self._shares(name))
        return txn if txn.puts else None

    def note_read(self, revision: int) -> None:
        """Note that the cluster state shows all changes up to a revision.

        If a team's record was raised since its placements became uncertain, by this controller or a peer, each of
        these placements either shows in the cluster state or can never be applied.
        """
        self._read_revision = revision
        for name, guarded in list(self._newest_guarded.items()):
            if guarded < self.cluster_state.version(TEAM + name) <= revision:
                del self._newest_guarded[name]
                self._fenced.add(name)

    def is_fenced(self, name: str) -> bool:
        """Return whether all placements of this controller for a team are known, so that it may place more."""
        return name in self._fenced

    def _shares(self, name: str) -> dict[str, Share]:
        shares = self.cluster_state.shares.get(name)
        if shares is None:
            team, n = self.teams[name], len(self.hosts)
            shares = dict.fromkeys(self.hosts, (team.cpus_max / n, team.gpus_max / n))
        return shares

    def own_share(self, name: str) -> Share:
        """Return this controller's share of a team's limit, by the cluster state."""
        return self._share_of(self.host, name)

    def _share_of(self, host: str, name: str) -> Share:
        return self._shares(name).get(host, (0.0, 0.0))

    def status_lines(self, waiting: Mapping[str, Sized]) -> list[str]:
        """Return a line for the log for each limit: how much of it is used, and by each controller of its share.

        `waiting` has the waiting tasks of each job, by job id.
        """
        waits: dict[str, int] = dict.fromkeys(self.teams, 0)
        for job_id, tasks in waiting.items():
            job = self.cluster_state.jobs.get(job_id)
            if job is not None and job.spec.team in waits:
                waits[job.spec.team] += len(tasks)
        found = []
        for name, team in self.teams.items():
            shares = self._shares(name)
            for n, resource, limit in ((0, "CPUs", team.cpus_max), (1, "GPUs", team.gpus_max)):
                if limit:
                    parts = ", ".join(
                        f"{host} {self.cluster_state.team_usage(name, host)[n]:g} of {share[n]:g}"
                        for host, share in sorted(shares.items())
                    )
                    used = self.cluster_state.team_usage(name)[n]
                    found.append(
                        f"limit of {name}: {used:g} of {limit:g} {resource}, {waits[name]} tasks wait; {parts}"
                    )
        return found

    def allowed(self, name: str, spec: JobSpec, cpus: float = 0.0, gpus: float = 0.0) -> int:
        """Return how many tasks of a job this controller may place.

        `cpus` and `gpus` are what the same transaction is to place for the team besides.
        """
        if name not in self._fenced:
            return 0
        return self.allowed_to(self.host, name, spec, cpus, gpus)

    def allowed_to(self, host: str, name: str, spec: JobSpec, cpus: float = 0.0, gpus: float = 0.0) -> int:
        """Return how many tasks of a job a controller's share allows, by this controller's cluster state.

        `cpus` and `gpus` are what is to be placed for the team besides.
        """
        share = self._share_of(host, name)
        used = self.cluster_state.team_usage(name, host)
        within = _limited_to_share(self.teams[name], share)
        return tasks_within(within, used[0] + cpus, used[1] + gpus, spec)

    def demands(
        self,
        name: str,
        queue: Iterable[Job],
        owner: Callable[[Job], str],
        available: Iterable[str],
        has_prospects: Callable[[Job], bool] = lambda job: True,
    ) -> dict[str, Demand]:
        """Return what the waiting tasks of a team need, by the controller that places them.

        `available` are the controllers that can place.  One that is missing in the result places nothing any more: it
        is gone, or its jobs have moved to peers.  A job without prospects (`placement/prospects.py`) needs nothing
        now.
        """
        found = dict.fromkeys(available, NO_DEMAND)
        waiting = self.cluster_state.waiting()
        for turn, job in enumerate(queue):
            if job.spec.team == name and has_prospects(job):
                host, number = owner(job), len(waiting.get(job.id, ()))
                demand = found.get(host, NO_DEMAND)
                first_gang = (
                    min(demand.first_gang, turn)
                    if job.spec.kind == "gang" and not job.fails_on_several_machines
                    else demand.first_gang
                )
                smallest_task = _smallest_task(demand, job.spec) if number else demand.smallest_task
                cpus, gpus = demand.cpus + number * job.spec.cpus, demand.gpus + number * job.spec.gpus
                first_urgent = (
                    min(demand.first_urgent, turn)
                    if job.priority <= URGENT_PRIORITY and not job.fails_on_several_machines
                    else demand.first_urgent
                )
                found[host] = Demand(cpus, gpus, first_gang, smallest_task, first_urgent)
        return found

    def reshare(
        self,
        name: str,
        spec: JobSpec,
        count: int,
        demands: Mapping[str, Demand],
        turn: int = LAST_TURN,
        urgent: bool = False,
    ) -> Txn | None:
        """Return a transaction that gets this controller a share for `count` more tasks, or None if it cannot help.

        It adds what is in no share to this controller's share, and lowers peers' shares by what they cannot use.
        `demands` is what the method of that name returned, `turn` the job's turn.

        A peer may still use what its lowered share no longer includes, until it reads the change.  So this controller
        takes that only by a later change, made on a cluster state in which the lowered share already binds.  That is
        why any share may be lowered at any time, and that of a controller that places nothing any more to zero: what
        its tasks still use counts until they end, and is free at once when they do.

        A peer with waiting tasks will use what it has left as its own tasks end.  Where the limit binds, such a
        peer's share is lowered only for an urgent job, for a gang, or if this controller has less than
        `FAIR_FRACTION` of its fair share: otherwise the rest of the limit moves back and forth between controllers
        that all have use for it, which costs writes and helps none of them.  Nor is it lowered if the peer has a gang
        with an earlier turn than the job: the first gang in the queue collects until it fits, then the next one.  Nor
        if the peer has an urgent job with an earlier turn: otherwise controllers with urgent jobs take the rest of a
        limit from one another without end, before any of them can place a task with it.
        """
        key = TEAM + name
        if self._read_revision < self.cluster_state.version(key):
            # The cluster state shows this controller's own last change of the shares, but perhaps not what peers
            # placed before it: what they use already would count as free (safety point 8).
            return None
        team = self.teams[name]
        limits = (team.cpus_max, team.gpus_max)
        shares = {host: (float(c), float(g)) for host, (c, g) in self._shares(name).items()}
        own = shares.setdefault(self.host, (0.0, 0.0))
        used = {host: self.cluster_state.team_usage(name, host) for host in {*shares, *self.hosts}}
        others = [host for host in used if host != self.host]
        available = [
            limits[n] - sum(max(shares.get(host, (0.0, 0.0))[n], used[host][n]) for host in others) for n in (0, 1)
        ]
        added = (count * spec.cpus, count * spec.gpus)
        need = [used[self.host][n] + added[n] for n in (0, 1)]
        short = [n for n in (0, 1) if limits[n] and need[n] > available[n] + AMOUNT_TOLERANCE]
        allowed_now = tasks_within(_limited_to_share(team, own), *used[self.host], spec)
        allowed_raised = tasks_within(_limited_to_share(team, (available[0], available[1])), *used[self.host], spec)
        new = dict(shares)
        if not short or (spec.kind != "gang" and allowed_raised > allowed_now):
            new[self.host] = self._raised_share(own, available, need, demands)
        if short:
            released = {
                host: self._releasable(host, shares, used, demands, False) for host in others if host in shares
            }
            if not self._suffices(team, spec, count, allowed_now, available, released, shares, used):
                fair = self._fair_share(team, used, demands)
                total_used = [sum(share[n] for share in used.values()) for n in (0, 1)]
                not_binding = all(total_used[n] + added[n] < BINDING_FRACTION * limits[n] for n in short)
                if (
                    not_binding
                    or urgent
                    or spec.kind == "gang"
                    or any(own[n] < FAIR_FRACTION * fair[n] for n in short)
                ):
                    for host in released:
                        demand = demands.get(host, NO_DEMAND)
                        if turn <= min(demand.first_gang, demand.first_urgent):
                            released[host] = self._releasable(host, shares, used, demands, True)
            # Lower no share unless the gang, or at least one more task of an array, then fits.
            if self._suffices(team, spec, count, allowed_now, available, released, shares, used):
                for host, release in released.items():
                    new[host] = tuple(shares[host][n] - (release[n] if n in short else 0.0) for n in (0, 1))  # type: ignore[assignment]
        if new == shares:
            return None
        return Txn().guard(key, self.cluster_state.version(key)).put(key, new)

    def _raised_share(
        self, own: Share, available: list[float], need: list[float], demands: Mapping[str, Demand]
    ) -> Share:
        """Return this controller's share, raised by its part of what is in no share, or by its need if that is more.

        Its part is in proportion to the controllers' demands.  `available` is what the share can be raised to.
        """
        raised = []
        for n in (0, 1):
            extra = available[n] - own[n]
            mine = max(_amount(demands.get(self.host, NO_DEMAND), n), need[n] - own[n], AMOUNT_TOLERANCE)
            rest = sum(_amount(demand, n) for host, demand in demands.items() if host != self.host)
            part = extra * mine / (mine + rest)
            raised.append(own[n] + min(extra, max(part, need[n] - own[n])) if extra > 0 else own[n])
        return raised[0], raised[1]

    def _releasable(
        self,
        host: str,
        shares: Mapping[str, Share],
        used: Mapping[str, Share],
        demands: Mapping[str, Demand],
        all_unused: bool,
    ) -> Share:
        """Return by how much a peer's share may be lowered: all of it if the peer places nothing any more.

        With `all_unused`, also what its waiting tasks could use.
        """
        share = shares[host]
        if host not in demands:
            return share
        spare = []
        for n in (0, 1):
            unused = max(share[n] - used[host][n], 0.0)
            # The peer has no use for a rest that is too small for any of its waiting tasks.
            idle = all_unused or unused < demands[host].smallest_task[n] - AMOUNT_TOLERANCE
            spare.append(unused if idle else max(unused - _amount(demands[host], n), 0.0))
        return spare[0], spare[1]

    def _suffices(
        self,
        team: Team,
        spec: JobSpec,
        count: int,
        allowed_now: int,
        available: list[float],
        released: Mapping[str, Share],
        shares: Mapping[str, Share],
        used: Mapping[str, Share],
    ) -> bool:
        """Return whether the tasks of a gang fit, or one more task of an array, once peers released so much."""
        most = list(available)
        for host, release in released.items():
            for n in (0, 1):
                # Lowering a share below what is used frees only its unused part.
                most[n] += min(release[n], max(shares[host][n] - used[host][n], 0.0))
        within = tasks_within(_limited_to_share(team, (most[0], most[1])), *used[self.host], spec)
        return within >= (count if spec.kind == "gang" else allowed_now + 1)

    def _fair_share(self, team: Team, used: Mapping[str, Share], demands: Mapping[str, Demand]) -> Share:
        """Return this controller's part of the limit, in proportion to what its running and waiting tasks need."""
        fair = []
        for n, limit in enumerate((team.cpus_max, team.gpus_max)):
            mine = used[self.host][n] + _amount(demands.get(self.host, NO_DEMAND), n)
            total = sum(share[n] for share in used.values()) + sum(_amount(demand, n) for demand in demands.values())
            fair.append(limit * mine / total if total > 0 else 0.0)
        return fair[0], fair[1]


def _smallest_task(demand: Demand, spec: JobSpec) -> Share:
    """Return what the smallest waiting task needs, given the demand so far and the spec of one more job."""
    if spec.kind == "gang":
        return 0.0, 0.0
    if not demand.cpus and not demand.gpus:
        return spec.cpus, spec.gpus
    return min(demand.smallest_task[0], spec.cpus), min(demand.smallest_task[1], spec.gpus)


def _amount(demand: Demand, n: int) -> float:
    """Return the demanded CPUs (`n` is 0) or GPUs (1)."""
    return demand.gpus if n else demand.cpus


def _limited_to_share(team: Team, share: Share) -> Team:
    """Return the team with a controller's share as its limit; a share of zero must not turn into 'no limit'."""
    return Team(
        team.name,
        cpus_max=max(share[0], AMOUNT_TOLERANCE) if team.cpus_max else 0.0,
        gpus_max=max(share[1], AMOUNT_TOLERANCE) if team.gpus_max else 0.0,
    )
