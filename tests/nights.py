"""Simulated runs of the model ("nights"), in which several random troubles coincide within seconds.

    python -m tests.nights FIRST COUNT

plays the runs with the seeds FIRST to FIRST + COUNT - 1; prints which rule each broke, and a sum of what happened.
"""

from __future__ import annotations

import random
import sys
from collections import Counter
from collections.abc import Callable
from typing import Any

from ashtray.config.operators import OperatorSettings
from tests.model import SECOND, LateStart, Model, RuleBroken, submission
from tests.model_troubles import Refusal

DRIFT_PPM = 500
"""By how much clocks may run fast or slow."""
STEP_S = 10
"""How often a run is checked for its end."""
TROUBLED_S, HELD_S = 90, 25
"""How long new troubles may begin, and how long each may last."""
BESIDE_SERVICES_S, CALM_S = 100, 150
"""After the troubles: how long services go on beside the other jobs, and how long all jobs then may take to end."""


def crash_leader(model: Model, back_s: float) -> None:
    """End the process of the fleet leader."""
    for host in model.hosts:
        if host.core is not None and host.core.fleet_manager.running:
            model.crash(host.number, back_s)


def crash_all(model: Model, back_s: float) -> None:
    """End the processes of all controllers within a second."""
    for host in model.hosts:
        model.at(model.rng.randrange(SECOND), lambda number=host.number: model.crash(number, back_s))


def leaders_change(model: Model, times: int, every_s: float) -> None:
    """End the fleet leader `times` times, every `every_s` seconds."""
    for n in range(times):
        model.at(int(n * every_s * SECOND), lambda: crash_leader(model, every_s * 0.8))


def some_machines(model: Model, at_most: int) -> list[str]:
    """Between one and `at_most` random machines that are up."""
    names = sorted(model.workers)
    return model.rng.sample(names, min(len(names), model.rng.randint(1, at_most)))


def machines_in(model: Model, zone: str | None, at_most: int) -> list[str]:
    """All machines of a zone that are up; without a zone, up to `at_most` machines of any."""
    if zone is None:
        return some_machines(model, at_most)
    return [name for name, worker in sorted(model.workers.items()) if worker.zone == zone]


def cut_machines(model: Model, seconds: float, hold: bool) -> None:
    """Cut some machines off from all controllers."""
    for name in some_machines(model, 4):
        for host in model.hosts:
            model.cut(f"c{host.number}", name, seconds, hold)


def cut_zone(model: Model, number: int, seconds: float) -> None:
    """Cut zone b with all its workers and one controller off from everything else."""
    names = [name for name, worker in sorted(model.workers.items()) if worker.zone == "b"]
    others = [host.number for host in model.hosts if host.number != number]
    for target in ("state", "cloud", "user", *(f"c{n}" for n in others)):
        model.cut(f"c{number}", target, seconds, False)
    for name in names:
        for n in others:
            model.cut(f"c{n}", name, seconds, False)


def make_deaf(model: Model, seconds: float, held: bool, zone: str | None) -> None:
    """Let reports of some machines, or of a zone's, arrive, while no answer or command reaches the machines."""
    for name in machines_in(model, zone, 3):
        model.deaf[name] = (model.now + int(seconds * SECOND), held)


def hang_machines(model: Model, seconds: float, cloud_out: bool) -> None:
    """Let some machines hang; with `cloud_out` the cloud can delete none meanwhile."""
    for name in some_machines(model, 4):
        model.hang(name, seconds)
    if cloud_out:
        model.cloud.down = True
        model.at(int((seconds + 1) * SECOND), lambda: setattr(model.cloud, "down", False))


def cancel_some(model: Model, count: int) -> None:
    """Cancel some accepted jobs, in whatever state they are."""
    known = sorted(job_id for job_id, job in model.jobs.items() if job.accepted_us is not None)
    for job_id in model.rng.sample(known, min(count, len(known))):
        model.at(model.rng.randrange(1, SECOND), lambda job_id=job_id: model.cancel(job_id))


def slow_messages(model: Model, share: float, seconds: float) -> None:
    """Delay a share of all messages by 0.5 to 6 s."""
    model.late_share = share
    model.at(int(seconds * SECOND), lambda: setattr(model, "late_share", 0.0))


def mute_machines(model: Model, seconds: float, zone: str | None) -> None:
    """Lose all requests of some machines, or of a zone's, while direct commands reach them."""
    for name in machines_in(model, zone, 6):
        model.mute(name, seconds)


def hold_orders(model: Model, seconds: float) -> None:
    """Delay the direct commands to some machines until that many seconds have passed."""
    for name in some_machines(model, 6):
        model.held_orders[name] = model.now + int(seconds * SECOND)


def roam(model: Model, seconds: float) -> None:
    """Let workers report to random controllers."""
    model.roaming_until = model.now + int(seconds * SECOND)


def halt(model: Model, number: int, seconds: float) -> None:
    """Pause a controller's process after its next input."""
    model.hosts[number].halts_us = int(seconds * SECOND)


def slow_down(model: Model, number: int, ms: int, seconds: float) -> None:
    """Let each input occupy a controller for that many milliseconds."""
    host = model.hosts[number]
    host.slow_us = ms * 1000
    model.at(int(seconds * SECOND), lambda: setattr(host, "slow_us", 0))


def copy_reports(model: Model, seconds: float) -> None:
    """Duplicate reports; the copies arrive late at any controller."""
    model.copies_until = model.now + int(seconds * SECOND)


def bounce_machine(model: Model, back_s: float) -> None:
    """Let a machine end and come back with its session counted from 1."""
    for name in some_machines(model, 1):
        model.bounce(name, back_s)


def draw(rng: random.Random, hosts: int) -> Callable[[Model], None]:
    """Draw a random trouble: a function that begins it in a model."""
    number, long_s, short_s = rng.randrange(hosts), rng.uniform(5, HELD_S), rng.uniform(0.5, 6)
    share, flag = rng.uniform(0.2, 0.95), rng.random() < 0.5
    alone = rng.choice([None, number])
    how = rng.choice(list(Refusal))
    hang_s = rng.choice([0.0, 5.0, 11.0, HELD_S])
    count, index = rng.randint(1, 12), rng.randrange(12)
    zone = rng.choice([None, None, "a", "b"])
    troubles: list[Callable[[Model], Any]] = [
        lambda model: model.lose_answers(share, long_s, alone),
        lambda model: model.write_late(share, long_s, alone),
        lambda model: model.report_late(share, long_s),
        lambda model: model.keep_reports(share, long_s),
        lambda model: model.hold_commands(share, long_s),
        lambda model: model.copy_commands(share, long_s),
        lambda model: mute_machines(model, long_s, zone),
        lambda model: model.cut_from_state_and_peers(number, long_s, flag),
        lambda model: model.refuse(number, long_s, how),
        lambda model: (model.refuse(number, long_s, how), model.at(SECOND, lambda: model.state_outage(long_s))),
        lambda model: model.state_outage(long_s if flag else short_s),
        lambda model: model.cancel_running(count, hang_s),
        lambda model: model.cancel_running(count, hang_s),
        lambda model: cancel_some(model, count),
        lambda model: model.cancel_at_end(share, long_s),
        lambda model: model.odd_requests(long_s),
        lambda model: model.boot_quickly(2 * long_s),
        lambda model: leaders_change(model, count, short_s),
        lambda model: crash_leader(model, short_s),
        lambda model: crash_leader(model, short_s / 10),
        lambda model: crash_all(model, long_s / 2 if flag else short_s / 5),
        lambda model: cut_machines(model, long_s, flag),
        lambda model: cut_zone(model, number, long_s),
        lambda model: make_deaf(model, long_s, flag, zone),
        lambda model: hang_machines(model, hang_s or short_s, flag),
        lambda model: model.lose_machine(index),
        lambda model: slow_messages(model, share / 3, long_s),
        lambda model: hold_orders(model, long_s / 2),
        lambda model: roam(model, long_s),
        lambda model: halt(model, number, long_s),
        lambda model: slow_down(model, number, rng.choice([15, 60, 130]), long_s),
        lambda model: copy_reports(model, long_s),
        lambda model: bounce_machine(model, short_s / 6),
        lambda model: model.storm(short_s),
        lambda model: setattr(model, "all_place_until", model.now + int(long_s * SECOND)),
    ]
    return rng.choice(troubles)


def draw_job(rng: random.Random, number: int) -> dict[str, Any]:
    """Draw a random submission: mostly small jobs, some gangs, some services, some bound to a zone or type."""
    same_place = rng.random() < 0.15
    yard = rng.choice([None, None, "a", "b"]) if not same_place else None
    big = rng.random() < 0.15
    return submission(
        f"job-{number}",
        shape=rng.choice(["batch", "batch", "batch", "gang", "service"]),
        pieces=rng.choice([1, 1, 1, 2, 3, 6, 10]),
        cpus=rng.choice([1.0, 2.0, 3.0]),
        crew=rng.choice(["crew", "crew", "free"]),
        urgency=rng.choice(["prod", "urgent", "standard", "idle"]),
        same_place=same_place,
        spread=not same_place and yard is None and rng.random() < 0.15 and not big,
        yard=yard if not big else None,
        hulls=["big"] if big else rng.choice([None, ["small"]]),
        loaners=rng.random() < 0.5,
        snapshot_every_s=rng.choice([0.0, 2.0]),
        snapshot_cost_s=rng.choice([0.5, 1.0]),
    )


def play(seed: int) -> Model:
    """Play one run and return its model; raises RuleBroken if a rule is broken."""
    rng = random.Random(seed)
    hosts = rng.choice([3, 3, 5, 7])
    model = Model(seed, hosts, OperatorSettings(group_size=rng.choice([None, 1, 2])))
    LAST_MODEL[:] = [model]
    model.drift(DRIFT_PPM)
    model.checks()
    model.look_closely()
    model.ask_unknown()
    model.state.write_rps = rng.choice([None, 60.0])
    for number in range(rng.randint(15, 40)):
        spec = draw_job(rng, number)
        at_s = rng.uniform(3, TROUBLED_S) if rng.random() < 0.7 else 15
        model.at(int(at_s * SECOND), lambda spec=spec: model.submit(spec))
    for _ in range(rng.randint(2, 6)):
        moment_s = rng.uniform(8, TROUBLED_S - 3)
        for _ in range(rng.randint(2, 5)):
            trouble = draw(rng, hosts)
            at_us = int((moment_s + rng.uniform(0, 3)) * SECOND)
            model.at(at_us, lambda trouble=trouble: trouble(model))
    model.run(TROUBLED_S + HELD_S + 5)
    end(model)
    return model


LAST_MODEL: list[Model] = []
"""The model of the last run, which is kept when a rule was broken too."""


def end(model: Model) -> None:
    """End a run after its troubles: check that all jobs end, and that none is forgotten or neglected."""
    model.calm()
    run_until(model, BESIDE_SERVICES_S, lambda: not model.waiting_jobs())
    for job_id, job in model.jobs.items():
        if job.spec["shape"] == "service" and job.accepted_us is not None:
            model.cancel(job_id)
    run_until(model, CALM_S, lambda: not unfinished_jobs(model))
    if unfinished_jobs(model):
        raise RuleBroken(f"never ended: {[model.jobs[job_id].spec for job_id in unfinished_jobs(model)]}")


def run_until(model: Model, max_seconds: int, over: Callable[[], bool]) -> None:
    """Advance the model until `over` holds or `max_seconds` have passed."""
    for _ in range(max_seconds // STEP_S):
        model.run(STEP_S)
        if over():
            break


def unfinished_jobs(model: Model) -> list[str]:
    """The accepted jobs whose users have not been told that they have ended."""
    return [job_id for job_id, job in model.jobs.items() if job.accepted_us is not None and job.told is None]


def main(first: int, count: int) -> int:
    """Play `count` runs and print their results; return how many failed."""
    happened: Counter[str] = Counter()
    broken = 0
    late: list[LateStart] = []
    for seed in range(first, first + count):
        try:
            play(seed)
        except Exception as error:  # Errors of a core too: report them and play the next run.
            broken += 1
            print(f"night {seed}: {type(error).__name__}: {str(error)[:400]}", flush=True)
        model = LAST_MODEL[0]
        happened.update(model.happened)
        happened["starts"] += model.starts
        late += model.late_starts
        for start in model.late_starts:
            print(f"night {seed}: {start.job}/{start.task} started {start.after_us / SECOND} s late", flush=True)
    latest_s = max((start.after_us for start in late), default=0) / SECOND
    print(f"{count} nights, {broken} broken, {len(late)} starts after a cancellation, at most {latest_s} s")
    for way, times in sorted(Counter(start.way for start in late).items()):
        print(f"  started late {way}: {times}")
    for what, times in sorted(happened.items()):
        print(f"  {what}: {times}")
    return broken


if __name__ == "__main__":
    sys.exit(1 if main(int(sys.argv[1]), int(sys.argv[2])) else 0)
