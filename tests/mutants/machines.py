"""Mutants of what holds where troubles meet at machines and under load."""

TESTS = ["tests/test_meetings_machines.py", "tests/test_meetings_load.py"]
WORKER_MANAGER = "ashtray/workers/worker_manager.py"
CLUSTER_STATE, GROUP_EDIT = "ashtray/placement/cluster_state.py", "ashtray/placement/group_edit.py"
PREEMPTION = "ashtray/placement/preemption.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "fast-machines-launch-before-their-record": (
        WORKER_MANAGER,
        "return worker.obeys and machine.record.token == worker.token",
        "return worker.obeys",
    ),
    "old-report-after-newer-ones": (
        WORKER_MANAGER,
        "if (report.session, report.tick) <= worker.newest:",
        "if False:",
    ),
    "old-reports-count-as-heard": (
        WORKER_MANAGER,
        "        if newly_claimed or worker.token_confirmed:\n",
        "        if True:\n",
    ),
    "small-jobs-done-only-once-moved": (
        "ashtray/jobs/states.py",
        "if job.id in cluster_state.completed():",
        "if False:",
    ),
    "versions-of-what-is-over-kept": (CLUSTER_STATE, "        self._versions.pop(key, None)\n", ""),
    "first-ends-forgotten": (
        GROUP_EDIT,
        "done = {job: runs for job, runs in self.done.items() if live(job)}",
        "done = {}",
    ),
    "direct-orders-count-as-heard": (
        WORKER_MANAGER,
        "        worker.reconcile_again = True\n        if not worker.reconciling:",
        "        worker.reconcile_again, worker.heard_us = True, self.kernel.now_us\n"
        "        if not worker.reconciling:",
    ),
    "stops-in-any-zone": (
        PREEMPTION,
        "if job.spec.same_zone and request.zone is None:",
        "if False:",
    ),
    "stops-beyond-a-zone-s-share": (
        PREEMPTION,
        "in_zone[machine.zone] < request.zone_allows(machine.zone)",
        "True",
    ),
}

FIRST = {
    "fast-machines-launch-before-their-record": [
        "tests/test_meetings_machines.py::test_fast_machines_get_their_work_once_though_writes_lag_and_the_leader_ends"
    ],
    "old-report-after-newer-ones": [
        "tests/test_meetings_machines.py::test_a_notice_of_an_old_report_puts_no_machine_s_end_off"
    ],
    "old-reports-count-as-heard": ["tests/test_meetings_machines.py::test_copies_keep_no_dead_machine_alive"],
    "small-jobs-done-only-once-moved": [
        "tests/test_meetings_load.py::test_small_jobs_for_minutes_stay_within_the_budget_and_leave_nothing_behind"
    ],
    "versions-of-what-is-over-kept": ["tests/test_guards.py::test_a_version_is_not_kept_of_a_record_that_is_gone"],
    "first-ends-forgotten": [
        "tests/test_meetings_machines.py::test_a_task_that_ended_long_before_the_others_is_not_begun_anew_by_a_new_leader"
    ],
    "direct-orders-count-as-heard": [
        "tests/test_meetings_machines.py::test_orders_that_reach_a_machine_directly_do_not_make_it_one_that_is_heard"
    ],
    "stops-in-any-zone": [
        "tests/test_meetings_machines.py::test_work_is_stopped_in_one_zone_for_a_gang_that_must_share_one"
    ],
    "stops-beyond-a-zone-s-share": [
        "tests/test_meetings_machines.py::test_work_is_stopped_in_both_zones_for_a_gang_that_must_be_spread"
    ],
}
"""What states most directly what a mutant breaks."""
