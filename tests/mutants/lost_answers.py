"""Mutants of the guards that transactions without an answer meet, and machines that are up at once."""

TESTS = [
    "tests/test_meetings_late_writes.py",
]
DESK = "ashtray/workers/desk.py"

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
}
