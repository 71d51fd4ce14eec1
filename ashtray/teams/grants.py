"""Teams' limits, shared out between controllers, so that placements of one team need not conflict.

A team's record holds what each controller may use of the limit.  A placement guards the record's version and
leaves it as it is; only a change of the shares writes it.  For a cluster state that is no older than the record,

    the sum over controllers of max(share, what the holds placed by it use) is at most the limit,

and it stays so: a placement keeps its controller within its share, frees only lower what is used, and a change of
the shares is checked against the shares that it replaces.  See `docs/design.md`, safety, point 8.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sized
from typing import NamedTuple

from ashtray.config.settings import Team
from ashtray.jobs.model import Job, JobSpec
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.records import AMOUNT_TOLERANCE
from ashtray.placement.state_keys import TEAM
from ashtray.store.client import Txn
from ashtray.teams.limits import has_limit, tasks_within

Share = tuple[float, float]
"""CPUs and GPUs."""
LAST = 1 << 30
"""The turn of what stands nowhere in the queue."""
BINDS = 0.9
"""From this part of it on, a limit counts as used up: what is left is on its way from one task to the next."""
URGENT = 1
"""The lowest priority that is urgent."""
FAIR = 0.5
"""One with less than this of its part by what waits may ask others for what they would use themselves."""


class Want(NamedTuple):
    """What the waiting tasks of a team need with one controller."""

    cpus: float = 0.0
    gpus: float = 0.0
    gang: int = LAST
    """The turn of its first gang that waits: what that collects nobody behind it may ask for."""
    least: Share = (0.0, 0.0)
    """What its smallest task that waits needs; nothing where a gang waits, which needs all that it collects."""
    urgent: int = LAST
    """The turn of its first urgent job that waits: what was just taken for that nobody behind it may ask for."""


NOTHING = Want()


class Grants:
    """What this controller may use of the limits of teams, and the changes of the records that say so."""

    def __init__(self, host: str, hosts: Iterable[str], teams: Iterable[Team], cluster_state: ClusterState) -> None:
        self.host = host
        self.hosts = sorted({host, *hosts})
        self.teams = {team.name: team for team in teams if has_limit(team)}
        self.cluster_state = cluster_state
        self._above: dict[str, int] = {}
        """For each team whose record must be raised first: what this controller may have on its way guards no later
        version than this one."""
        self._fenced: set[str] = set()
        """Teams of which all placements of this controller are known."""
        self._read = 0
        """Up to which revision the cluster state was read.

        Own commits show in it at once, those before them need not.
        """

    def limited(self, name: str) -> bool:
        """Whether a team has a limit."""
        return name in self.teams

    def begin(self, revision: int) -> None:
        """This process signed in at that revision; the one before it can have seen nothing later."""
        self._above = dict.fromkeys(self.teams, revision)
        self._fenced.clear()

    def doubt(self, names: Iterable[str]) -> None:
        """A placement got no answer: it may be applied as long as the team's record is as it was."""
        for name in names:
            self._fenced.discard(name)
            self._above[name] = self.cluster_state.version(TEAM + name)

    def fence(self, names: Iterable[str]) -> Txn | None:
        """Raise the records' versions: what was placed before and is not seen after that can never be applied."""
        txn = Txn()
        for name in names:
            key = TEAM + name
            if not self.ready(name):
                txn.guard(key, self.cluster_state.version(key)).put(key, self._shares(name))
        return txn if txn.puts else None

    def seen(self, revision: int) -> None:
        """The cluster state shows all up to that revision.  Whoever raised a record since, this controller or
        another, has fenced off what this one had on its way: it either is in the cluster state or can never be
        applied."""
        self._read = revision
        for name, above in list(self._above.items()):
            if above < self.cluster_state.version(TEAM + name) <= revision:
                del self._above[name]
                self._fenced.add(name)

    def ready(self, name: str) -> bool:
        """Whether all placements of this controller for a team are known, so that it may place more."""
        return name in self._fenced

    def _shares(self, name: str) -> dict[str, Share]:
        shares = self.cluster_state.shares.get(name)
        if shares is None:
            team, n = self.teams[name], len(self.hosts)
            shares = dict.fromkeys(self.hosts, (team.cpus_max / n, team.gpus_max / n))
        return shares

    def own_share(self, name: str) -> Share:
        """This controller's share of a team's limit, by the cluster state."""
        return self._share_of(self.host, name)

    def _share_of(self, host: str, name: str) -> Share:
        return self._shares(name).get(host, (0.0, 0.0))

    def lines(self, waiting: Mapping[str, Sized]) -> list[str]:
        """For each limit how much of it is used, and how much lies in whose share, for people."""
        wait: dict[str, int] = dict.fromkeys(self.teams, 0)
        for job_id, tasks in waiting.items():
            job = self.cluster_state.jobs.get(job_id)
            if job is not None and job.spec.team in wait:
                wait[job.spec.team] += len(tasks)
        found = []
        for name, team in self.teams.items():
            shares = self._shares(name)
            for n, what, limit in ((0, "CPUs", team.cpus_max), (1, "GPUs", team.gpus_max)):
                if limit:
                    parts = ", ".join(
                        f"{host} {self.cluster_state.team_usage(name, host)[n]:g} of {share[n]:g}"
                        for host, share in sorted(shares.items())
                    )
                    used = self.cluster_state.team_usage(name)[n]
                    found.append(f"limit of {name}: {used:g} of {limit:g} {what}, {wait[name]} tasks wait; {parts}")
        return found

    def allowed(self, name: str, spec: JobSpec, cpus: float = 0.0, gpus: float = 0.0) -> int:
        """How many tasks this controller may place, when so much goes with them."""
        if name not in self._fenced:
            return 0
        return self.allowed_to(self.host, name, spec, cpus, gpus)

    def allowed_to(self, host: str, name: str, spec: JobSpec, cpus: float = 0.0, gpus: float = 0.0) -> int:
        """How many tasks a controller's share allows it, by this cluster state, when so much goes with them."""
        share = self._share_of(host, name)
        used = self.cluster_state.team_usage(name, host)
        within = _within(self.teams[name], share)
        return tasks_within(within, used[0] + cpus, used[1] + gpus, spec)

    def wants(
        self,
        name: str,
        queue: Iterable[Job],
        owner: Callable[[Job], str],
        able: Iterable[str],
        has_prospects: Callable[[Job], bool] = lambda job: True,
    ) -> dict[str, Want]:
        """What the waiting tasks of a team need, by the controller that places them.

        One that is not in it places nothing any more: it is gone, or its jobs have moved away from it.  A job without
        prospects (`placement/prospects.py`) needs nothing now.
        """
        found = dict.fromkeys(able, NOTHING)
        waiting = self.cluster_state.waiting()
        for turn, job in enumerate(queue):
            if job.spec.team == name and has_prospects(job):
                host, number = owner(job), len(waiting.get(job.id, ()))
                want = found.get(host, NOTHING)
                first = min(want.gang, turn) if job.spec.kind == "gang" and not job.suspect else want.gang
                least = _least(want, job.spec) if number else want.least
                cpus, gpus = want.cpus + number * job.spec.cpus, want.gpus + number * job.spec.gpus
                urgent = min(want.urgent, turn) if job.priority <= URGENT and not job.suspect else want.urgent
                found[host] = Want(cpus, gpus, first, least, urgent)
        return found

    def reshare(
        self,
        name: str,
        spec: JobSpec,
        count: int,
        wants: Mapping[str, Want],
        turn: int = LAST,
        urgent: bool = False,
    ) -> Txn | None:
        """Take what is in nobody's share for so many more tasks, and ask others to give up what they cannot use.

        What another controller gives up may be in use before it knows: it is taken only by a later change, made on
        a cluster state in which the lower share already binds.  So a share may be lowered at any time, whoever
        holds it,
        and that of a controller that places nothing any more to nothing: what its tasks still use counts as long as
        they do, and what they leave is free at once.

        One that has tasks waiting will use what it has, as its tasks end.  Where the limit binds, it is asked only
        for what is urgent, for a gang, or where the asker has less than `FAIR` of its part by what waits: moved to
        and fro between controllers that all have use for it, what is left costs changes and serves nobody.  And one
        whose own gang has an earlier turn than the asker's job is not asked: the first gang of all collects until it
        fits, and then the next one.  Nor is one asked whose urgent job has an earlier turn: controllers with urgent
        jobs took what was left of a limit from one another before any of them could place for it, without end.
        """
        key = TEAM + name
        if self._read < self.cluster_state.version(key):
            # This controller's own last change is in its cluster state, and what others placed before it may not
            # be: on that, what they use already would be taken for free.  Point 8.
            return None
        team = self.teams[name]
        limits = (team.cpus_max, team.gpus_max)
        shares = {host: (float(c), float(g)) for host, (c, g) in self._shares(name).items()}
        own = shares.setdefault(self.host, (0.0, 0.0))
        used = {host: self.cluster_state.team_usage(name, host) for host in {*shares, *self.hosts}}
        others = [host for host in used if host != self.host]
        free = [
            limits[n] - sum(max(shares.get(host, (0.0, 0.0))[n], used[host][n]) for host in others) for n in (0, 1)
        ]
        more = (count * spec.cpus, count * spec.gpus)
        need = [used[self.host][n] + more[n] for n in (0, 1)]
        short = [n for n in (0, 1) if limits[n] and need[n] > free[n] + AMOUNT_TOLERANCE]
        can = tasks_within(_within(team, own), *used[self.host], spec)
        could = tasks_within(_within(team, (free[0], free[1])), *used[self.host], spec)
        new = dict(shares)
        if not short or (spec.kind != "gang" and could > can):
            new[self.host] = self._raised(own, free, need, wants)
        if short:
            gives = {host: self._gives(host, shares, used, wants, False) for host in others if host in shares}
            if not self._helps(team, spec, count, can, free, gives, shares, used):
                fair = self._fair(team, used, wants)
                whole = [sum(share[n] for share in used.values()) for n in (0, 1)]
                loose = all(whole[n] + more[n] < BINDS * limits[n] for n in short)
                if loose or urgent or spec.kind == "gang" or any(own[n] < FAIR * fair[n] for n in short):
                    for host in gives:
                        want = wants.get(host, NOTHING)
                        if turn <= min(want.gang, want.urgent):
                            gives[host] = self._gives(host, shares, used, wants, True)
            # Nothing is moved that would not make room for what is wanted, be it for one task of an array.
            if self._helps(team, spec, count, can, free, gives, shares, used):
                for host, give in gives.items():
                    new[host] = tuple(shares[host][n] - (give[n] if n in short else 0.0) for n in (0, 1))  # type: ignore[assignment]
        if new == shares:
            return None
        return Txn().guard(key, self.cluster_state.version(key)).put(key, new)

    def _raised(self, own: Share, free: list[float], need: list[float], wants: Mapping[str, Want]) -> Share:
        """The own share with what is needed now, and its part, by what waits, of what is in nobody's share."""
        raised = []
        for n in (0, 1):
            extra = free[n] - own[n]
            mine = max(_amount(wants.get(self.host, NOTHING), n), need[n] - own[n], AMOUNT_TOLERANCE)
            rest = sum(_amount(want, n) for host, want in wants.items() if host != self.host)
            part = extra * mine / (mine + rest)
            raised.append(own[n] + min(extra, max(part, need[n] - own[n])) if extra > 0 else own[n])
        return raised[0], raised[1]

    def _gives(
        self,
        host: str,
        shares: Mapping[str, Share],
        used: Mapping[str, Share],
        wants: Mapping[str, Want],
        pressed: bool,
    ) -> Share:
        """What another controller is to give up of its share."""
        share = shares[host]
        if host not in wants:
            return share
        spare = []
        for n in (0, 1):
            unused = max(share[n] - used[host][n], 0.0)
            # A rest that is too small for any of its tasks is of no use to it.
            idle = pressed or unused < wants[host].least[n] - AMOUNT_TOLERANCE
            spare.append(unused if idle else max(unused - _amount(wants[host], n), 0.0))
        return spare[0], spare[1]

    def _helps(
        self,
        team: Team,
        spec: JobSpec,
        count: int,
        can: int,
        free: list[float],
        gives: Mapping[str, Share],
        shares: Mapping[str, Share],
        used: Mapping[str, Share],
    ) -> bool:
        """Whether there is room for what is wanted, or for one task more of an array, with what is given up."""
        most = list(free)
        for host, give in gives.items():
            for n in (0, 1):
                # A share that is lowered below what is used frees no more than what is not.
                most[n] += min(give[n], max(shares[host][n] - used[host][n], 0.0))
        within = tasks_within(_within(team, (most[0], most[1])), *used[self.host], spec)
        return within >= (count if spec.kind == "gang" else can + 1)

    def _fair(self, team: Team, used: Mapping[str, Share], wants: Mapping[str, Want]) -> Share:
        """This controller's part of the limit, by what it uses and what waits with it."""
        fair = []
        for n, limit in enumerate((team.cpus_max, team.gpus_max)):
            mine = used[self.host][n] + _amount(wants.get(self.host, NOTHING), n)
            total = sum(share[n] for share in used.values()) + sum(_amount(want, n) for want in wants.values())
            fair.append(limit * mine / total if total > 0 else 0.0)
        return fair[0], fair[1]


def _least(want: Want, spec: JobSpec) -> Share:
    """What the smallest task needs of those known so far and of one more job."""
    if spec.kind == "gang":
        return 0.0, 0.0
    if not want.cpus and not want.gpus:
        return spec.cpus, spec.gpus
    return min(want.least[0], spec.cpus), min(want.least[1], spec.gpus)


def _amount(want: Want, n: int) -> float:
    return want.gpus if n else want.cpus


def _within(team: Team, share: Share) -> Team:
    """The team as one controller sees it: its share is the limit.  A share of nothing is not 'no limit'."""
    return Team(
        team.name,
        cpus_max=max(share[0], AMOUNT_TOLERANCE) if team.cpus_max else 0.0,
        gpus_max=max(share[1], AMOUNT_TOLERANCE) if team.gpus_max else 0.0,
    )
