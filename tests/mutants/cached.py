"""Mutants of what tells that a value which was kept is of use no longer."""

TESTS = ["tests/test_growth.py", "tests/test_guards.py"]
PICTURE, RULES = "ashtray/placement/picture.py", "ashtray/placement/rules.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "leaving-tasks-kept-for-ever": (PICTURE, "        self._leaving_stale.add(job_id)\n", ""),
    "equal-holds-counted-once": (PICTURE, "                left.remove(known)\n", ""),
    "new-holds-not-counted": (PICTURE, "                self._note_hold(hold, 1)\n", "                pass\n"),
    "rooms-of-other-blame-judged-alike": (RULES, "            room.blame,\n", ""),
}
