"""Mutants of the bound on renewing leases, and of the statements that peers make of cancellations."""

TESTS = ["tests/test_meetings_gap.py"]
RENEWAL, LOG = "ashtray/workers/renewal.py", "ashtray/jobs/cancellations.py"
CLUSTER_STATE, PRESENCE = "ashtray/placement/cluster_state.py", "ashtray/peers/presence.py"
CANCELLING = "ashtray/jobs/cancelling.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "bound-without-the-lease": (
        RENEWAL,
        "int((times.cancel_s - times.lease_s) * SECOND_US - drift_us)",
        "int(times.cancel_s * SECOND_US - drift_us)",
    ),
    "bound-without-the-drift": (RENEWAL, "2 * CLOCK_DRIFT * times.cancel_s * SECOND_US", "0"),
    "bound-without-the-worker-delay": (RENEWAL, "- drift_us) - WORKER_DELAY_US", "- drift_us)"),
    "one-statement-is-enough": (
        RENEWAL,
        "min(self._stated_us.values(), default=now_us)",
        "max(self._stated_us.values(), default=now_us)",
    ),
    "statements-count-from-their-arrival": (
        PRESENCE,
        "self._stated(host, asked_us, statement.cancelled)",
        "self._stated(host, self.base.kernel.now_us + SECOND_US, statement.cancelled)",
    ),
    "incomplete-statements-count": (PRESENCE, "if statement.complete:", "if True:"),
    "a-late-start-states-everything": (LOG, "max(followed_from, self._dropped_revision) > beyond", "False"),
    "dropped-entries-are-not-missed": (
        LOG,
        "self._dropped_revision = max(self._dropped_revision, dropped)",
        "pass",
    ),
    "stated-cancellations-are-ignored": (CLUSTER_STATE, "self.cancelled_elsewhere |= news", "pass"),
    "stated-cancellations-of-unknown-jobs-are-ignored": (
        CLUSTER_STATE,
        "news = {job_id for job_id in job_ids if job_id not in self.over}",
        "news = {job_id for job_id in job_ids if job_id in self.jobs}",
    ),
    "own-cancellations-are-not-stated": (
        CLUSTER_STATE,
        "self.cancellations.note(version, job_id)",
        "pass",
    ),
    "cancellations-are-not-announced": (
        CANCELLING,
        "yield from self.peers.announcer.announce(job_id)",
        "pass",
    ),
    "announced-cancellations-are-ignored": (
        "ashtray/controller.py",
        "self._cancelled_elsewhere(notice.cancelled)",
        "pass",
    ),
}
