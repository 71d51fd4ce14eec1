"""Mutants of the guards that decide what becomes of a transaction without an answer."""

TESTS = ["tests/test_meetings_transactions.py", "tests/test_meetings_acceptance_orders.py"]
ACCEPTING = "ashtray/jobs/accepting.py"
ESTIMATE_STORE = "ashtray/estimates/estimate_store.py"
FOLDING, PROVISIONING = "ashtray/workers/folding.py", "ashtray/fleet/provisioning.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "late-acceptance-of-what-is-over": (ACCEPTING, ".guard(FINAL_STATE_PREFIX + job.job_id, 0).put(", ".put("),
    "accepted-twice": (ACCEPTING, "txn.guard(LIVE_JOB_PREFIX + job.job_id, 0).guard(", "txn.guard("),
    "presence-gone-unseen": (
        "ashtray/peers/presence.py",
        "return read and self.base.settings.host_name not in self.base.cluster_state.controllers",
        "return False",
    ),
    "late-end-of-what-is-over": (
        FOLDING,
        "txn.guard(LIVE_JOB_PREFIX + job.id, job.version)\n        .remove(",
        "txn.remove(",
    ),
    "late-intent-replaces-a-newer-one": (
        PROVISIONING,
        "txn = Txn().guard(RENTALS, self.base.cluster_state.version(RENTALS)).put(RENTALS, value)",
        "txn = Txn().put(RENTALS, value)",
    ),
    "fold-counted-twice": (
        ESTIMATE_STORE,
        "if record.applied.get(self.base.settings.host_name) != sent.fold:",
        "if True:",
    ),
    "unanswered-fold-replaced": (
        ESTIMATE_STORE,
        "        repeated = self._unanswered.get(shard)\n",
        "        repeated = None\n"
        "        if shard in self._unanswered:\n"
        "            self.estimates.restore(self._unanswered.pop(shard).rows)\n",
    ),
    "fold-read-before-doubt": (
        ESTIMATE_STORE,
        "if base.cluster_state.version(self.key(shard)) > self._unanswered[shard].version:",
        "if False:",
    ),
}

FIRST = {
    "late-acceptance-of-what-is-over": [
        "tests/test_meetings_acceptance_orders.py::test_all_orders_of_an_unanswered_acceptance_its_repetition_and_a_cancellation_keep_the_rules"
    ],
    "accepted-twice": [
        "tests/test_meetings_acceptance_orders.py::test_all_orders_of_an_unanswered_acceptance_its_repetition_and_a_cancellation_keep_the_rules"
    ],
    "presence-gone-unseen": [
        "tests/test_meetings_transactions.py::test_a_late_sign_in_takes_nobodys_presence_for_long"
    ],
    "late-end-of-what-is-over": [
        "tests/test_meetings_transactions.py::test_a_cancellation_that_arrives_after_the_end_does_not_take_it_back"
    ],
    "late-intent-replaces-a-newer-one": [
        "tests/test_meetings_transactions.py::test_an_intent_without_an_answer_is_not_rented_twice"
    ],
    "fold-counted-twice": [
        "tests/test_meetings_transactions.py::test_a_fold_of_run_times_without_an_answer_counts_once"
    ],
    "unanswered-fold-replaced": [
        "tests/test_meetings_transactions.py::test_a_fold_of_run_times_without_an_answer_counts_once"
    ],
    "fold-read-before-doubt": [
        "tests/test_meetings_transactions.py::test_a_fold_of_run_times_that_arrives_as_it_is_repeated_counts_once"
    ],
}
"""What states most directly what a mutant breaks."""
