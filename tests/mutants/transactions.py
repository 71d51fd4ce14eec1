"""Mutants of the guards that decide what becomes of a transaction without an answer."""

TESTS = ["tests/test_meetings_transactions.py"]
ACCEPTING = "ashtray/jobs/accepting.py"
ESTIMATE_STORE = "ashtray/estimates/estimate_store.py"
FOLDING, PROVISIONING = "ashtray/workers/folding.py", "ashtray/fleet/provisioning.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "late-acceptance-of-what-is-over": (ACCEPTING, ".guard(OVER + job.job_id, 0).put(", ".put("),
    "accepted-twice": (ACCEPTING, "txn.guard(LIVE + job.job_id, 0).guard(", "txn.guard("),
    "late-end-of-what-is-over": (
        FOLDING,
        "return txn.guard(LIVE + job.id, job.version).remove(",
        "return txn.remove(",
    ),
    "late-intent-replaces-a-newer-one": (
        PROVISIONING,
        "txn = Txn().guard(RENTALS, self.base.picture.version(RENTALS)).put(RENTALS, value)",
        "txn = Txn().put(RENTALS, value)",
    ),
    "fold-counted-twice": (
        ESTIMATE_STORE,
        "if record.applied.get(self.base.settings.host_name) != sent.fold:",
        "if True:",
    ),
    "unanswered-fold-replaced": (
        ESTIMATE_STORE,
        "        again = self._unanswered.get(shard)\n",
        "        again = None\n"
        "        if shard in self._unanswered:\n"
        "            self.estimates.unfold(self._unanswered.pop(shard).rows)\n",
    ),
    "fold-read-before-doubt": (
        ESTIMATE_STORE,
        "if base.picture.version(self.key(shard)) > self._unanswered[shard].version:",
        "if False:",
    ),
}
