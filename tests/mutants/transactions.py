"""Mutants of the guards that decide what becomes of a transaction without an answer."""

TESTS = ["tests/test_meetings_transactions.py"]
ACCEPTING = "ashtray/jobs/accepting.py"
KEEPING = "ashtray/estimates/keeping.py"
FOLDING, RUNNER = "ashtray/workers/folding.py", "ashtray/fleet/runner.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "late-acceptance-of-what-is-over": (ACCEPTING, ".guard(OVER + job.job_id, 0).put(", ".put("),
    "accepted-twice": (ACCEPTING, "txn.guard(LIVE + job.job_id, 0).guard(", "txn.guard("),
    "late-end-of-what-is-over": (
        FOLDING,
        "return txn.guard(LIVE + job.id, job.version).remove(",
        "return txn.remove(",
    ),
    "late-intent-replaces-a-newer-one": (
        RUNNER,
        "txn = Txn().guard(RENTALS, self.base.picture.version(RENTALS)).put(RENTALS, value)",
        "txn = Txn().put(RENTALS, value)",
    ),
    "fold-counted-twice": (
        KEEPING,
        "if record.applied.get(self.base.settings.host_name) != sent.fold:",
        "if True:",
    ),
    "unanswered-fold-replaced": (
        KEEPING,
        "        again = self._unanswered.get(shard)\n",
        "        again = None\n"
        "        if shard in self._unanswered:\n"
        "            self.estimates.unfold(self._unanswered.pop(shard).rows)\n",
    ),
    "fold-read-before-doubt": (
        KEEPING,
        "if base.picture.version(self.key(shard)) > self._unanswered[shard].version:",
        "if False:",
    ),
}
