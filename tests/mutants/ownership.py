"""Mutants of the guards on which the meetings with changes of owner and leader rest."""

TESTS = [f"tests/test_meetings_{name}.py" for name in ("ownership", "leaders", "limits")] + ["tests/test_grants.py"]
FOLDING, GRANTS = "ashtray/workers/folding.py", "ashtray/teams/grants.py"
REVIEW = "ashtray/fleet/machine_review.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "former-owner-frees": (FOLDING, "    if record.token > evidence.token:\n", "    if False:\n"),
    "cancelled-use-is-free": (
        GRANTS,
        "used = self.cluster_state.team_usage(name, host)\n        within",
        "lingering = [hold for machine in self.cluster_state.machines.values() for hold in machine.holds"
        " if hold.job not in self.cluster_state.jobs and (hold.record.by, hold.record.team) == (host, name)]\n"
        "        used = self.cluster_state.team_usage(name, host)\n"
        "        used = (used[0] - sum(len(hold.tasks) * hold.record.cpus for hold in lingering),"
        " used[1] - sum(len(hold.tasks) * hold.record.gpus for hold in lingering))\n        within",
    ),
    "lingering-use-is-free": (
        GRANTS,
        "max(shares.get(host, (0.0, 0.0))[n], used[host][n]) for host in others",
        "shares.get(host, (0.0, 0.0))[n] for host in others",
    ),
    "small-rest-is-kept": (
        GRANTS,
        "idle = all_unused or unused < demands[host].smallest_task[n] - AMOUNT_TOLERANCE",
        "idle = all_unused",
    ),
    "silent-within-its-lease": (REVIEW, "if us > self._lease_us + SILENT_US}", "if us > self._lease_us // 3}"),
    "others-jobs-keep-room-beyond-their-share": (
        "ashtray/placement/placer.py",
        "tasks = self._within_owner_share(job, tasks, peer_usage)",
        "pass",
    ),
    "silence-counted-anew": (
        "ashtray/fleet/machine_inventory.py",
        "if informed and told_us is not None:",
        "if False:",
    ),
}

FIRST = {
    "former-owner-frees": [
        "tests/test_meetings_ownership.py::test_an_old_session_s_end_of_a_task_frees_nothing_that_a_later_owner_has_started_again"
    ],
    "cancelled-use-is-free": [
        "tests/test_meetings_limits.py::test_limits_hold_while_cancelled_tasks_are_out_of_reach_and_the_leader_changes"
    ],
    "lingering-use-is-free": [
        "tests/test_meetings_limits.py::test_limits_hold_while_cancelled_tasks_are_out_of_reach_and_the_leader_changes"
    ],
    "small-rest-is-kept": [
        "tests/test_grants.py::test_a_rest_too_small_for_any_task_of_its_controller_is_taken_if_another_task_then_fits"
    ],
    "silent-within-its-lease": [
        "tests/test_meetings_leaders.py::test_machines_that_are_back_within_their_lease_are_kept_by_the_heir"
    ],
    "others-jobs-keep-room-beyond-their-share": [
        "tests/test_meetings_limits.py::test_no_place_within_a_limit_stands_idle_while_jobs_wait_with_all_controllers"
    ],
    "silence-counted-anew": [
        "tests/test_meetings_limits.py::test_cancelled_tasks_on_hung_machines_are_gone_in_time_though_the_leader_changes"
    ],
}
"""What states most directly what a mutant breaks."""
