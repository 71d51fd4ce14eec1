"""Mutants of the guards that keep answers to users from going back."""

TESTS = ["tests/test_meetings_answers.py"]
STATES, FOLLOWER = "ashtray/jobs/states.py", "ashtray/store/follower.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "done-not-read-is-answered": (
        STATES,
        "if cluster_state.all_done(job):",
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
        "                txn.guard(key, cluster_state.groups[key].version)",
        "                pass",
    ),
    "accepted-although-it-is-over": (
        "ashtray/jobs/accepting.py",
        ".guard(LIVE_JOB_PREFIX + job.job_id, 0).guard(FINAL_STATE_PREFIX + job.job_id, 0).put(",
        ".guard(LIVE_JOB_PREFIX + job.job_id, 0).put(",
    ),
    "judged-before-the-types-are-known": (
        "ashtray/jobs/submitting.py",
        "if not self.base.cluster_state.types:",
        "if False:",
    ),
}

FIRST = {
    "done-not-read-is-answered": [
        "tests/test_meetings_answers.py::test_done_by_the_groups_word_is_not_taken_back_by_a_controller_that_has_changed_a_group_since"
    ],
    "shown-into-a-reload": [
        "tests/test_meetings_answers.py::test_an_acceptance_answered_while_everything_is_read_anew_does_not_outlive_the_job"
    ],
    "absent-in-a-reload": [
        "tests/test_meetings_answers.py::test_a_final_state_looked_for_while_everything_is_read_anew_is_not_noted_as_absent"
    ],
    "question-shares-a-round-under-way": [
        "tests/test_meetings_answers.py::test_a_question_does_not_share_the_read_of_one_that_was_asked_before_the_cancellation"
    ],
    "cancelled-whatever-its-groups-say": [
        "tests/test_meetings_answers.py::test_a_cancellation_against_the_end_of_the_last_task"
    ],
    "accepted-although-it-is-over": [
        "tests/test_meetings_answers.py::test_a_submission_repeated_once_the_job_is_over_is_told_its_final_state"
    ],
    "judged-before-the-types-are-known": [
        "tests/test_meetings_answers.py::test_jobs_that_cannot_run_or_lack_a_field_are_accepted_in_no_stage_of_a_start"
    ],
}
"""What states most directly what a mutant breaks."""
