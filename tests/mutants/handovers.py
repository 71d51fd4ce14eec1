"""Mutants of what holds while limits, cancellations and old reports meet changes of owner and leader."""

TESTS = [f"tests/test_meetings_{name}.py" for name in ("team_limits",)]
REVIEW = "ashtray/fleet/machine_review.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "cancelled-tasks-wait-while-most-are-silent": (
        REVIEW,
        "silence_us[name] > unsure_us or self._holds_cancelled_tasks(name)}",
        "silence_us[name] > unsure_us}",
    ),
    "most-of-the-fleet-is-believed-silent": (
        REVIEW,
        "if len(silent) > max(FEW_MACHINES, len(self.base.picture.machines) // 2):",
        "if False:",
    ),
}
