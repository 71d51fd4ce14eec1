"""Mutants of the guards that keep answers to users from going back."""

TESTS = ["tests/test_meetings_answers.py"]
STATES, FOLLOWER = "ashtray/jobs/states.py", "ashtray/store/follower.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "done-not-read-is-answered": (
        STATES,
        "if picture.all_done(job):",
        "if False:",
    ),
    "shown-into-a-reload": (
        FOLLOWER,
        "key.startswith(self.prefix) and (self._paged or not key.startswith(self.start))",
        "key.startswith(self.prefix)",
    ),
    "absent-in-a-reload": (STATES, "reply.status == 404 and followed and", "reply.status == 404 and"),
    "question-shares-a-round-under-way": (
        FOLLOWER,
        "            for signal in waiters:\n",
        "            for signal in [*waiters, *self._waiters]:\n",
    ),
    "cancelled-whatever-its-groups-say": (
        "ashtray/jobs/cancelling.py",
        "                txn.guard(key, picture.groups[key].version)",
        "                pass",
    ),
    "accepted-although-it-is-over": (
        "ashtray/jobs/accepting.py",
        ".guard(LIVE + job.job_id, 0).guard(OVER + job.job_id, 0).put(",
        ".guard(LIVE + job.job_id, 0).put(",
    ),
    "judged-before-the-types-are-known": (
        "ashtray/jobs/submitting.py",
        "if not self.base.picture.types:",
        "if False:",
    ),
}
