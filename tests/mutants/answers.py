"""Mutants of the guards that keep answers to users from going back."""

TESTS = ["tests/test_meetings_answers.py"]
SERVICE, FOLLOWER = "ashtray/jobs/service.py", "ashtray/store/follower.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "done-not-read-is-answered": (
        SERVICE,
        "if picture.all_done(job) and ends_later(job, self.base.limits):",
        "if False:",
    ),
    "shown-into-a-reload": (
        FOLLOWER,
        "if not self._paged or version <= self.revision:",
        "if version <= self.revision:",
    ),
    "absent-in-a-reload": (SERVICE, "reply.status == 404 and followed and", "reply.status == 404 and"),
}
