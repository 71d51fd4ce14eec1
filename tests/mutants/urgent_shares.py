"""Mutants of what keeps shares of a limit from going to and fro."""

TESTS = ["tests/test_urgent_shares.py"]

MUTANTS: dict[str, tuple[str, str, str]] = {
    "urgent-shares-taken-to-and-fro": (
        "ashtray/teams/grants.py",
        "if turn <= min(want.gang, want.urgent):",
        "if turn <= want.gang:",
    ),
}
