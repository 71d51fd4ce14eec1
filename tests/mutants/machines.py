"""Mutants of what holds where troubles meet at machines and under load."""

TESTS = ["tests/test_meetings_machines.py", "tests/test_meetings_load.py"]
DESK = "ashtray/workers/desk.py"
PICTURE, PREEMPTION = "ashtray/placement/picture.py", "ashtray/placement/preemption.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "fast-machines-launch-before-their-record": (
        DESK,
        "return worker.exact and machine.record.token == worker.token",
        "return worker.exact",
    ),
    "old-report-after-newer-ones": (DESK, "if (report.session, report.tick) <= worker.newest:", "if False:"),
    "old-reports-count-as-heard": (DESK, "        if met or worker.exact:\n", "        if True:\n"),
    "small-jobs-done-only-once-moved": (
        "ashtray/jobs/states.py",
        "if job.id in picture.completed():",
        "if False:",
    ),
    "versions-of-what-is-over-kept": (PICTURE, "        self._versions.pop(key, None)\n", ""),
    "first-ends-forgotten": (
        PICTURE,
        "done = {job: runs for job, runs in self.done.items() if live(job)}",
        "done = {}",
    ),
    "direct-orders-count-as-heard": (
        DESK,
        "        worker.again = True\n        if not worker.tending:",
        "        worker.again, worker.heard_us = True, self.kernel.now_us\n        if not worker.tending:",
    ),
    "stops-in-any-zone": (
        PREEMPTION,
        "if job.spec.same_zone and ask.zone is None:",
        "if False:",
    ),
    "stops-beyond-a-zone-s-share": (
        PREEMPTION,
        "in_zone[machine.zone] < ask.zone_allows(machine.zone)",
        "True",
    ),
}
