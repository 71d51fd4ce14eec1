"""Teams' limits, shared out between controllers, so that placements of one team need not conflict.

A team's record holds what each controller may use of the limit.  A placement guards the record's version and
leaves it as it is; only a change of the shares writes it.  For a picture that is no older than the record,

    the sum over controllers of max(share, what the holds placed by it use) is at most the limit,

and it stays so: a placement keeps its controller within its share, frees only lower what is used, and a change of
the shares is checked against the shares that it replaces.  See `docs/design.md`, safety, point 8.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sized

from ashtray.config.settings import Team
from ashtray.jobs.model import JobSpec
from ashtray.placement.picture import EPS, TEAM, Picture
from ashtray.store.client import Txn
from ashtray.teams.limits import has_limit, tasks_within

Share = tuple[float, float]
"""CPUs and GPUs."""


class Grants:
    def __init__(self, host: str, hosts: Iterable[str], teams: Iterable[Team], picture: Picture) -> None:
        self.host = host
        self.hosts = sorted({host, *hosts})
        self.teams = {team.name: team for team in teams if has_limit(team)}
        self.picture = picture
        self._above: dict[str, int] = {}
        """For each team whose record must be raised first: what this controller may have on its way guards no later
        version than this one."""
        self._fenced: set[str] = set()
        """Teams of which all placements of this controller are known."""

    def limited(self, name: str) -> bool:
        return name in self.teams

    def begin(self, revision: int) -> None:
        """This process signed in at that revision; the one before it can have seen nothing later."""
        self._above = dict.fromkeys(self.teams, revision)
        self._fenced.clear()

    def doubt(self, names: Iterable[str]) -> None:
        """A placement got no answer: it may be applied as long as the team's record is as it was."""
        for name in names:
            self._fenced.discard(name)
            self._above[name] = self.picture.version(TEAM + name)

    def fence(self, names: Iterable[str]) -> Txn | None:
        """Raise the records' versions: what was placed before and is not seen after that can never be applied."""
        txn = Txn()
        for name in names:
            key = TEAM + name
            if not self.ready(name):
                txn.guard(key, self.picture.version(key)).put(key, self._shares(name))
        return txn if txn.puts else None

    def seen(self, revision: int) -> None:
        """The picture shows all up to that revision.  Whoever raised a record since, this controller or another, has
        fenced off what this one had on its way: it either is in the picture or can never be applied."""
        for name, above in list(self._above.items()):
            if above < self.picture.version(TEAM + name) <= revision:
                del self._above[name]
                self._fenced.add(name)

    def ready(self, name: str) -> bool:
        return name in self._fenced

    def _shares(self, name: str) -> dict[str, Share]:
        shares = self.picture.shares.get(name)
        if shares is None:
            team, n = self.teams[name], len(self.hosts)
            shares = dict.fromkeys(self.hosts, (team.cpus_max / n, team.gpus_max / n))
        return shares

    def lines(self, waiting: Mapping[str, Sized]) -> list[str]:
        """For each limit how much of it is used, and how much lies in whose share, for people."""
        wait: dict[str, int] = dict.fromkeys(self.teams, 0)
        for job_id, tasks in waiting.items():
            job = self.picture.jobs.get(job_id)
            if job is not None and job.spec.team in wait:
                wait[job.spec.team] += len(tasks)
        found = []
        for name, team in self.teams.items():
            shares = self._shares(name)
            for n, what, limit in ((0, "CPUs", team.cpus_max), (1, "GPUs", team.gpus_max)):
                if limit:
                    parts = ", ".join(
                        f"{host} {self.picture.team_usage(name, host)[n]:g} of {share[n]:g}"
                        for host, share in sorted(shares.items())
                    )
                    used = self.picture.team_usage(name)[n]
                    found.append(f"limit of {name}: {used:g} of {limit:g} {what}, {wait[name]} tasks wait; {parts}")
        return found

    def allowed(self, name: str, spec: JobSpec, cpus: float = 0.0, gpus: float = 0.0) -> int:
        """How many tasks this controller may place, when so much goes with them."""
        if name not in self._fenced:
            return 0
        share = self._shares(name).get(self.host, (0.0, 0.0))
        used = self.picture.team_usage(name, self.host)
        own = _within(self.teams[name], share)
        return tasks_within(own, used[0] + cpus, used[1] + gpus, spec)

    def reshare(self, name: str, spec: JobSpec, count: int, live: Iterable[str]) -> Txn | None:
        """Take what nobody uses for so many more tasks, or first ask the others to give up what they do not use.

        What another controller gives up may be in use before it knows: it is taken only by a later change, made on
        a picture in which the lower share already binds.
        """
        team = self.teams[name]
        shares = {host: (float(c), float(g)) for host, (c, g) in self._shares(name).items()}
        own = shares.setdefault(self.host, (0.0, 0.0))
        used = {host: self.picture.team_usage(name, host) for host in {*shares, *self.hosts}}
        free = [team.cpus_max, team.gpus_max]
        for host in used:
            if host != self.host:
                for n in (0, 1):
                    free[n] -= max(shares.get(host, (0.0, 0.0))[n], used[host][n])
        need = [used[self.host][0] + count * spec.cpus, used[self.host][1] + count * spec.gpus]
        short = [n for n, limit in enumerate((team.cpus_max, team.gpus_max)) if limit and need[n] > free[n] + EPS]
        new = dict(shares)
        could = tasks_within(_within(team, (free[0], free[1])), *used[self.host], spec)
        can = tasks_within(_within(team, own), *used[self.host], spec)
        if not short or (spec.kind != "gang" and could > can):
            new[self.host] = tuple(
                max(own[n], min(free[n], need[n] + max(free[n] - need[n], 0.0) / 2)) if free[n] > own[n] else own[n]
                for n in (0, 1)
            )  # type: ignore[assignment]
        else:
            alive = set(live)
            slack = [
                sum(max(c[n] - used[h][n], 0.0) for h, c in shares.items() if h != self.host) for n in (0, 1)
            ]
            # Nothing is moved that would not make room for what is wanted, be it for one task of an array.
            most = _within(team, (free[0] + slack[0], free[1] + slack[1]))
            if tasks_within(most, *used[self.host], spec) < (count if spec.kind == "gang" else can + 1):
                return None
            for host, share in shares.items():
                if host != self.host:
                    # All of it where half would not do.
                    part = 1.0 if host not in alive or any(need[n] - free[n] > slack[n] / 2 for n in short) else 0.5
                    new[host] = tuple(
                        share[n] - part * max(share[n] - used[host][n], 0.0) if n in short else share[n]
                        for n in (0, 1)
                    )  # type: ignore[assignment]
        if new == shares:
            return None
        key = TEAM + name
        return Txn().guard(key, self.picture.version(key)).put(key, new)


def _within(team: Team, share: Share) -> Team:
    """The team as one controller sees it: its share is the limit.  A share of nothing is not 'no limit'."""
    return Team(
        team.name, cpus_max=max(share[0], EPS) if team.cpus_max else 0.0,
        gpus_max=max(share[1], EPS) if team.gpus_max else 0.0,
    )  # fmt: skip
