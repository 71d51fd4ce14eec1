"""Mutants of how cancellations are announced that were found by reading."""

TESTS = ["tests/test_meetings_announcements.py"]
CANCELLING = "ashtray/jobs/cancelling.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "found-cancellations-are-not-announced": (
        CANCELLING,
        'if state.status == "cancelled" and not was_over:',
        "if False:",
    ),
    "only-own-cancellations-are-announced": (
        CANCELLING,
        'if state.status == "cancelled" and not was_over:',
        'if state.status == "cancelled" and attempts:',
    ),
}
