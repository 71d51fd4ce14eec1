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
        "self._on_statement(host, asked_us, statement.cancelled)",
        "self._on_statement(host, self.base.kernel.now_us + SECOND_US, statement.cancelled)",
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
        "news = {job_id for job_id in job_ids if job_id not in self.final_states}",
        "news = {job_id for job_id in job_ids if job_id in self.jobs}",
    ),
    "own-cancellations-are-not-stated": (
        CLUSTER_STATE,
        "self.cancellations.note(version, job_id)",
        "pass",
    ),
    "cancellations-are-not-announced": (
        CANCELLING,
        "yield from self.peers.announcer.announce(job_id)\n                return Ended(",
        "return Ended(",
    ),
    "announced-cancellations-are-ignored": (
        "ashtray/controller.py",
        "self._note_cancelled_elsewhere(notice.cancelled)",
        "pass",
    ),
}

FIRST = {
    "bound-without-the-lease": ["tests/test_meetings_gap.py::test_a_bound_that_is_longer_breaks_the_rule"],
    "bound-without-the-drift": ["tests/test_meetings_gap.py::test_the_sum_holds_with_clocks_that_drift"],
    "bound-without-the-worker-delay": ["tests/test_meetings_gap.py::test_the_sum_holds_with_clocks_that_drift"],
    "one-statement-is-enough": [
        "tests/test_meetings_gap.py::test_what_is_known_is_as_old_as_the_oldest_statement_or_the_last_read"
    ],
    "statements-count-from-their-arrival": [
        "tests/test_meetings_gap.py::test_a_statement_counts_from_when_it_was_asked_for"
    ],
    "incomplete-statements-count": [
        "tests/test_meetings_gap.py::test_an_owner_that_is_back_at_once_renews_nothing_that_it_does_not_know"
    ],
    "a-late-start-states-everything": [
        "tests/test_meetings_gap.py::test_a_statement_is_complete_only_where_all_changes_since_were_followed"
    ],
    "dropped-entries-are-not-missed": [
        "tests/test_meetings_gap.py::test_a_statement_is_complete_only_where_all_changes_since_were_followed"
    ],
    "stated-cancellations-are-ignored": [
        "tests/test_meetings_gap.py::test_with_word_from_peers_they_are_gone_within_seconds_and_all_others_live"
    ],
    "stated-cancellations-of-unknown-jobs-are-ignored": [
        "tests/test_meetings_gap.py::test_a_task_that_the_controller_never_heard_of_is_ended_as_well"
    ],
    "own-cancellations-are-not-stated": [
        "tests/test_meetings_gap.py::test_statements_alone_end_the_tasks_where_every_announcement_is_lost"
    ],
    "cancellations-are-not-announced": [
        "tests/test_meetings_gap.py::test_no_task_starts_once_its_user_was_told_of_the_cancellation"
    ],
    "announced-cancellations-are-ignored": [
        "tests/test_meetings_gap.py::test_no_task_starts_once_its_user_was_told_of_the_cancellation"
    ],
}
"""What states most directly what a mutant breaks."""
