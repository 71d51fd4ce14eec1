"""Explains to users why a job waits, or how the rules rate the machines that it runs on."""

from __future__ import annotations

from collections import Counter
from typing import Any

from ashtray.config.settings import Team
from ashtray.estimates.learned import Estimate
from ashtray.jobs.model import Job, JobSpec
from ashtray.kernel import SECOND_US
from ashtray.placement.plan import Plan, back_off_us
from ashtray.placement.queue_order import Standing
from ashtray.placement.records import AMOUNT_TOLERANCE
from ashtray.placement.rules import PREFERENCES, VALIDATORS, MachineCapacity
from ashtray.teams.guarantees import ending_usage
from ashtray.teams.limits import tasks_within


def explain(
    plan: Plan,
    job: Job,
    wall_us: int,
    owner: str,
    standing: Standing | None = None,
    run: Estimate | None = None,
    served: float | None = None,
) -> dict[str, Any]:
    """Return the answer for a user: why tasks wait, and the rules' scores of the machines where tasks run.

    `owner` is the controller that places the job, `run` the estimate of its run time, and `served` the served share
    of its class if that is below the minimum share.
    """
    spec = job.spec
    placed = plan.cluster_state.placed(job.id)
    finished = plan.cluster_state.finished(job)
    answer: dict[str, Any] = {
        "name_id": job.id,
        "placed_by": owner,
        "tasks": spec.tasks,
        "done": len(finished),
        "placed": len(placed),
        "waiting": [],
        "places": [],
    }
    if run is not None and spec.kind != "service":
        answer["takes"] = {
            "median_s": run.median_us / SECOND_US,
            "p10_s": run.p10_us / SECOND_US,
            "p90_s": run.p90_us / SECOND_US,
            "seen": round(run.weight, 1),
        }
    request = plan.request_for(job)
    capacities = {capacity.machine.name: capacity for capacity in plan.capacities}
    for (name, _), allocation in sorted(plan.cluster_state.allocations.get(job.id, {}).items()):
        capacity = capacities.get(name)
        place: dict[str, Any] = {"machine": name, "attempt": allocation.attempt, "tasks": allocation.record.tasks}
        if capacity is None:
            place["note"] = "the machine is being returned"
        else:
            place["rules"] = {
                n: PREFERENCES[n].score(capacity, request, plan.operator_settings)
                for n in plan.operator_settings.rules
            }
        if allocation.record.stop_us >= 0:
            place["note"] = "being stopped"
        answer["places"].append(place)
    dependencies = plan.cluster_state.dependencies
    open_needs = dependencies.open(job)
    if open_needs:
        answer["waits_on"] = open_needs
        answer["waiting"] = [f"{need} is to be done first" for need in open_needs]
        return answer
    left = [n for n in range(spec.tasks) if n not in placed and n not in finished]
    if left and not (spec.kind == "gang" and placed):
        answer["waiting"] = _waiting_reasons(plan, job, len(left), wall_us, list(capacities.values()))
        if served is not None:
            why = f"it may go before its turn: {served:.0%} of its class was served"
            answer["waiting"].insert(1, f"{why}, so jobs that have missed all their times wait for it")
        if standing is not None and standing.by_work:
            answer["waiting"].insert(1, "no time is stated for it: jobs of its team that need less room go first")
        elif standing is not None and standing.starts_first:
            answer["waiting"].insert(1, "it goes before the other jobs of its team until it has begun")
        elif standing is not None and standing.aged:
            answer["waiting"].insert(1, "it has waited so long that it goes before the other jobs of its team")
        elif standing is not None and standing.missed:
            missed = f"it can no longer make {standing.missed} of {standing.stated} times stated for its class"
            answer["waiting"].insert(1, f"{missed}: jobs that can still make theirs go first")
    return answer


def _waiting_reasons(plan: Plan, job: Job, left: int, wall_us: int, capacities: list[MachineCapacity]) -> list[str]:
    spec = job.spec
    reasons = [f"{left} tasks wait for a place"]
    pause_us = back_off_us(job) - (wall_us - job.record.error_us)
    if job.record.errors and pause_us > 0:
        reasons.append(f"its tasks failed {job.record.errors} times: the next try is in {pause_us // SECOND_US} s")
    team = plan.teams.get(spec.team)
    need = left if spec.kind == "gang" else 1
    if team is not None:
        if tasks_within(team, *plan.usage[team.name], spec) < need:
            reasons.append(f"team {team.name} is at its limit")
            reasons += _limit_reasons(plan, team, spec)
        reasons += _guarantee_reasons(plan, team)
    request = plan.request_for(job)
    blocked: Counter[str] = Counter()
    for capacity in capacities:
        failed_rule = next((rule for rule in VALIDATORS if not rule.allows(capacity, request)), None)
        blocked[failed_rule.reason if failed_rule else "has room, and jobs before it may take it"] += 1
    reasons += [f"{number} machines: {reason}" for reason, number in blocked.most_common()]
    if not capacities:
        reasons.append("no machines are up")
    return reasons


def _limit_reasons(plan: Plan, team: Team, spec: JobSpec) -> list[str]:
    """Return how much of a team's limit is in use, and which controllers hold the rest of it."""
    shares = plan.cluster_state.shares.get(team.name, {})
    reasons = []
    parts = ((0, "CPUs", team.cpus_max, spec.cpus), (1, "GPUs", team.gpus_max, spec.gpus))
    for n, what, limit, need in parts:
        if limit and need:
            free = {
                host: share[n] - plan.cluster_state.team_usage(team.name, host)[n] for host, share in shares.items()
            }
            free_parts = ", ".join(
                f"{left:g} with {host}" for host, left in sorted(free.items()) if left > AMOUNT_TOLERANCE
            )
            used = plan.cluster_state.team_usage(team.name)[n]
            reasons.append(f"limit: {used:g} of {limit:g} {what} in use" + (f", {free_parts}" if free_parts else ""))
    return reasons


def _guarantee_reasons(plan: Plan, team: Team) -> list[str]:
    """Return how much of a team's guarantee is in use, and what other teams' preempted tasks will add to it."""
    claims_by_team = plan.cluster_state.claims
    leaving_amounts = {
        name: amounts
        for name, amounts in ending_usage(plan.cluster_state).items()
        if name != team.name and name in claims_by_team
    }
    used = plan.cluster_state.team_usage(team.name)
    reasons = []
    for n, what, amount in ((0, "CPUs", team.cpus), (1, "GPUs", team.gpus)):
        if amount and used[n] + AMOUNT_TOLERANCE < amount:
            contributions = ((name, given[n]) for name, given in sorted(leaving_amounts.items()) if given[n])
            contributed = ", ".join(f"{given:g} come from team {name}" for name, given in contributions)
            reasons.append(
                f"guarantee: {used[n]:g} of {amount:g} {what} in use" + (f", {contributed}" if contributed else "")
            )
    return reasons
