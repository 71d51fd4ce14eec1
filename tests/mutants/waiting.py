"""Mutants of what keeps jobs from waiting beside room, and their users from waiting to be told of their end."""

TESTS = ["tests/test_meetings_waiting.py", "tests/test_meetings_steady_load.py"]
PLACER, PROSPECTS = "ashtray/placement/placer.py", "ashtray/placement/prospects.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "what-nothing-can-hold-keeps-its-share": (
        PLACER,
        "self._owner, self.presence.available(), prospects.can_be_placed",
        "self._owner, self.presence.available()",
    ),
    "what-nothing-can-hold-asks-for-a-share": (PLACER, "if plan.prospects.can_be_placed(job):", "if True:"),
    "services-are-taken-to-end": (PROSPECTS, 'if job is None or job.spec.kind != "service":', "if True:"),
    "prospects-of-the-limit-are-not-looked-at": (
        PROSPECTS,
        "return self._within_limit(job.spec, count) and self._fitting_tasks(job) >= count",
        "return self._fitting_tasks(job) >= count",
    ),
    "moving-what-is-over-leaves-a-debt": (
        "ashtray/workers/completed_jobs.py",
        "batch_size = max(int(writes.bucket.rate * writes.bucket.burst_s) // 2, 1)",
        "batch_size = self.base.limits.ops // 2",
    ),
    "prospects-of-a-spread-job-in-one-zone": (PROSPECTS, "if spec.spread:", "if False:"),
}
