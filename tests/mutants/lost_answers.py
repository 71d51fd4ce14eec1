"""Mutants of the guards that transactions without an answer meet, and machines that are up at once."""

TESTS = [
    "tests/test_meetings_late_writes.py",
    "tests/test_meetings_lost_answers.py",
    "tests/test_meetings_quick_boots.py",
]
WORKER_MANAGER = "ashtray/workers/worker_manager.py"
REVIEW, DECOMMISSIONING = "ashtray/fleet/machine_review.py", "ashtray/fleet/decommissioning.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "freed-late-after-a-new-session": (
        WORKER_MANAGER,
        "stale_fold = self._stale_fold_possible(worker, report)",
        "stale_fold = False",
    ),
    "freed-late-after-a-restart": (
        WORKER_MANAGER,
        "report.session == last.session and report.token >= last.token",
        "report.session == last.session",
    ),
    "heard-machines-are-given-up": (
        REVIEW,
        "if not self._given_up(name, pending, late, name in heard):",
        "if not self._given_up(name, pending, late, False):",
    ),
    "placed-again-after-a-lost-answer": (
        "ashtray/placement/draft.py",
        "if cluster_state.finished(job) & tasks or cluster_state.placed(job.id) & tasks:",
        "if cluster_state.finished(job) & tasks:",
    ),
    "accepted-after-its-end": (
        "ashtray/jobs/accepting.py",
        "txn.guard(LIVE_JOB_PREFIX + job.job_id, 0).guard(FINAL_STATE_PREFIX + job.job_id, 0).put(",
        "txn.guard(LIVE_JOB_PREFIX + job.job_id, 0).put(",
    ),
    "late-adoption-into-a-new-group": (
        "ashtray/workers/adoption.py",
        "txn = Txn().guard(lock, cluster_state.version(lock)).put(lock, cluster_state.version(lock))",
        "txn = Txn().put(lock, cluster_state.version(lock))",
    ),
    "late-taking-of-the-fleet": (
        "ashtray/fleet/fleet_lease.py",
        "txn = Txn().guard(FLEET, self.base.cluster_state.version(FLEET))",
        "txn = Txn()",
    ),
    "late-share": (
        "ashtray/teams/grants.py",
        "txn.guard(key, self.cluster_state.version(key)).put(key, self._shares(name))",
        "txn.put(key, self._shares(name))",
    ),
    "given-up-for-ever": (DECOMMISSIONING, "        self._keep_adopted()\n", ""),
}
