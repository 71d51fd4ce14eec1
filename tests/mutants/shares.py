"""Mutants of how shares of a limit change hands between controllers."""

TESTS = ["tests/test_meetings_limits.py", "tests/test_meetings_team_limits.py"]

MUTANTS: dict[str, tuple[str, str, str]] = {
    "a-share-is-taken-back-at-once": (
        "ashtray/placement/placer.py",
        "        if not lowered or any(",
        "        if True or any(",
    ),
}

FIRST = {
    "a-share-is-taken-back-at-once": [
        "tests/test_meetings_limits.py::test_limits_hold_while_cancelled_tasks_are_out_of_reach_and_the_leader_changes"
    ]
}
