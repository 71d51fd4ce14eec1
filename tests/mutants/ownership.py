"""Mutants of the guards on which the meetings with changes of owner and leader rest."""

TESTS = [f"tests/test_meetings_{name}.py" for name in ("ownership", "leaders", "limits")] + ["tests/test_grants.py"]
FOLDING, GRANTS = "ashtray/workers/folding.py", "ashtray/teams/grants.py"
REVIEW, FLEET_LEASE = "ashtray/fleet/machine_review.py", "ashtray/fleet/fleet_lease.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "former-owner-frees": (FOLDING, "    if record.token > evidence.token:\n", "    if False:\n"),
    "cancelled-counts-as-gone": (FOLDING, "elif seen is None and dead and sure:", "elif dead:"),
    "lingering-use-is-free": (
        GRANTS,
        "max(shares.get(host, (0.0, 0.0))[n], used[host][n]) for host in others",
        "shares.get(host, (0.0, 0.0))[n] for host in others",
    ),
    "small-rest-is-kept": (GRANTS, "idle = pressed or unused < wants[host].least[n] - EPS", "idle = pressed"),
    "silent-within-its-lease": (
        REVIEW,
        "if us > self._lease_us + SILENT_US}",
        "if us > self._lease_us // 3}",
    ),
    "own-term-is-not-taken-back": (
        FLEET_LEASE,
        "return is_own_host or (first and holder",
        "return (first and holder",
    ),
}
