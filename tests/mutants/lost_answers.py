"""Mutants of the guards that transactions without an answer meet, and machines that are up at once."""

TESTS = [
    "tests/test_meetings_late_writes.py",
    "tests/test_meetings_lost_answers.py",
    "tests/test_meetings_quick_boots.py",
]
DESK = "ashtray/workers/desk.py"
REVIEW, DECOMMISSIONING = "ashtray/fleet/machine_review.py", "ashtray/fleet/decommissioning.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "freed-late-after-a-new-session": (
        DESK,
        "freed_late = self._may_be_freed_late(worker, report)",
        "freed_late = False",
    ),
    "freed-late-after-a-restart": (
        DESK,
        "report.session == last.session and report.token >= last.token",
        "report.session == last.session",
    ),
    "heard-machines-are-given-up": (
        REVIEW,
        "if not self._given_up(name, pending, late, name in heard):",
        "if not self._given_up(name, pending, late, False):",
    ),
    "placed-again-after-a-lost-answer": (
        "ashtray/placement/placer.py",
        "if picture.finished(job) & tasks or picture.placed(job.id) & tasks:",
        "if picture.finished(job) & tasks:",
    ),
    "given-up-for-ever": (DECOMMISSIONING, "        self._keep_adopted()\n", ""),
}
