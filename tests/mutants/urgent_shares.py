"""Mutants of what keeps shares of a limit from going to and fro."""

TESTS = ["tests/test_urgent_shares.py"]

MUTANTS: dict[str, tuple[str, str, str]] = {
    "urgent-shares-taken-to-and-fro": (
        "ashtray/teams/grants.py",
        "if turn <= min(demand.first_gang, demand.first_urgent):",
        "if turn <= demand.first_gang:",
    ),
}
