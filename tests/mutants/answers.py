"""Mutants of the guards that keep answers to users from going back."""

TESTS = ["tests/test_meetings_answers.py"]
SERVICE = "ashtray/jobs/service.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "done-not-read-is-answered": (
        SERVICE,
        "if picture.all_done(job) and ends_later(job, self.base.limits):",
        "if False:",
    ),
}
