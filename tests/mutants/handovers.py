"""Mutants of what holds while limits, cancellations and old reports meet changes of owner and leader."""

TESTS = [f"tests/test_meetings_{name}.py" for name in ("cut_leader", "kept_reports", "handovers", "team_limits")]
REVIEW, INVENTORY = "ashtray/fleet/machine_review.py", "ashtray/fleet/machine_inventory.py"
FLEET_LEASE, WORKER_MANAGER = "ashtray/fleet/fleet_lease.py", "ashtray/workers/worker_manager.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "cancelled-tasks-wait-while-most-are-silent": (
        REVIEW,
        "silence_us[name] > unsure_us or self._holds_cancelled_tasks(name)}",
        "silence_us[name] > unsure_us}",
    ),
    "most-of-the-fleet-is-believed-silent": (
        REVIEW,
        "if len(silent) > max(FEW_MACHINES, len(self.base.cluster_state.machines) // 2):",
        "if False:",
    ),
    "told-silence-is-not-passed-on": (
        INVENTORY,
        "min(self.kernel.now_us, self.peers.all_heard_until_us(unheard)), informed=True",
        "min(self.kernel.now_us, self.peers.all_heard_until_us(unheard)), informed=False",
    ),
    "silent-since-before-all-ended": (
        INVENTORY,
        "max(heard.get(name, 0), self.known_since.setdefault(name, now), not_stalled_since_us)",
        "max(heard.get(name, 0), min(self.known_since.setdefault(name, now), 0))",
    ),
    "fleet-taken-from-a-live-runner": (
        FLEET_LEASE,
        "return is_own_host or (is_first_successor and holder in self.presence.failure_detector.unavailable)",
        "return is_own_host or is_first_successor",
    ),
    "a-zone-cut-off-is-renewed-for-ever": (
        WORKER_MANAGER,
        "if not self.renewal.may_renew(self.kernel.now_us, self.base.follower.read_us):",
        "if False:",
    ),
    "any-report-is-proof": (
        "ashtray/workers/worker.py",
        "self.token_confirmed = reported == self.token",
        "self.token_confirmed = True",
    ),
    "copies-add-machines": (WORKER_MANAGER, "if report.token == 0 or worker.token_confirmed:", "if True:"),
    "leases-renewed-for-twice-as-long": (
        "ashtray/workers/renewal.py",
        "return now_us - self.informed_us(now_us, read_us) <= self.bound_us",
        "return now_us - self.informed_us(now_us, read_us) <= 2 * self.bound_us",
    ),
    "a-process-states-what-it-has-not-followed": (
        "ashtray/jobs/cancellations.py",
        "if max(followed_from, self._dropped_revision) > beyond:",
        "if self._dropped_revision > beyond:",
    ),
    "a-spread-forgets-what-is-placed": (
        "ashtray/placement/plan.py",
        "request.zone_limits[zone] = request.zone_limits.get(zone, request.spread_most) - len(allocation.tasks)",
        "pass",
    ),
}
