"""Mutants of what tells that a value which was kept is of use no longer."""

TESTS = ["tests/test_growth.py", "tests/test_cluster_state.py", "tests/test_guards.py"]
GROUP_INDEX, MACHINE_GROUPS = "ashtray/placement/group_index.py", "ashtray/placement/machine_groups.py"
TASK_INDEX, RULES = "ashtray/placement/task_index.py", "ashtray/placement/rules.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "leaving-tasks-kept-for-ever": (TASK_INDEX, "        self._stale_ending.add(job_id)\n", ""),
    "equal-holds-counted-once": (MACHINE_GROUPS, "                remaining.remove(allocation)\n", ""),
    "new-holds-not-counted": (
        GROUP_INDEX,
        "                self._note_allocation(allocation, 1)\n",
        "                pass\n",
    ),
    "rooms-of-other-blame-judged-alike": (RULES, "            capacity.blame,\n", ""),
}
