"""Mutants of what keeps transactions within their size, and of what follows from a refusal."""

TESTS = ["tests/test_transaction_sizes.py"]
STORE_CLIENT, REFUSALS = "ashtray/store/client.py", "ashtray/store/refusals.py"
PLACER, FOLDING = "ashtray/placement/placer.py", "ashtray/workers/folding.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "sent-though-too-large": (STORE_CLIENT, "if txn.size() > MAX_TXN_BYTES:", "if False:"),
    "as-large-after-a-refusal": (REFUSALS, "        if not halvings:\n", "        if True:\n"),
    "refused-placement-stays-first": (
        PLACER,
        "            if mine and self._set_aside.has(job.id, base.kernel.now_us):\n",
        "            if False:\n",
    ),
    "placement-not-measured": (
        "ashtray/placement/batch.py",
        "        return job.write_size() + allocations + sum(",
        "        return 600 + allocations + sum(",
    ),
    "portion-without-its-job": (
        "ashtray/placement/batch.py",
        "job_bytes = job.write_size() + len(encode_runs(tasks))",
        "job_bytes = 0",
    ),
    "fence-of-all-teams-at-once": (PLACER, 'max_teams = base.limits_for("share").ops', "max_teams = len(teams)"),
    "refused-fold-stays-first": (
        "ashtray/workers/fold_scheduler.py",
        " or self._set_aside.has(key, self.kernel.now_us):",
        ":",
    ),
    "failed-jobs-not-counted": (
        FOLDING,
        "Cost(1, job.write_size(fold.finished if fold.spilled else None)) if writes else Cost()",
        "Cost(1, 0) if writes else Cost()",
    ),
    "group-counted-afterwards": (
        "ashtray/workers/adoption.py",
        "        if adopted and not cost.within(limits):\n",
        "        if False:\n",
    ),
    "gangs-not-counted": (
        "ashtray/fleet/decommissioning.py",
        "return Cost(len(sizes), sum(sizes))",
        "return Cost(len(sizes), 0)",
    ),
    "claims-without-bound": (
        "ashtray/placement/preemption.py",
        "if team is not None and len(claimed | {team}) > max_claims:",
        "if False:",
    ),
    "stopped-tasks-not-measured": (
        "ashtray/placement/preemption.py",
        "        if txn.write_count() and not cost.within(limits):\n",
        "        if False:\n",
    ),
    "all-stopped-or-none": (
        "ashtray/placement/preemption.py",
        "chosen = [] if whole else chosen[: len(chosen) // 2]",
        "chosen = []",
    ),
    "parts-not-measured": (
        "ashtray/workers/splitting.py",
        "return Cost(len(parts), sum(sizes))",
        "return Cost(len(parts), 0)",
    ),
    "refused-acceptances-are-answered": ("ashtray/jobs/accepting.py", "if refused or (", "if ("),
}
