"""Mutants of the safety points that the whole suite of safety tests is to catch."""

TESTS = [
    f"tests/test_{name}.py"
    for name in (
        "decommissioning",
        "safety",
        "placement",
        "grants",
        "shares_model",
        "bad_nights",
        "order",
        "floor",
        "estimates",
        "recovery",
        "addition",
        "pipelines",
        "limits",
        "standby",
        "guarantees",
        "upgrade",
        "formats",
        "budget",
        "returns",
        "model",
        "record_tables",
        "dependencies",
        "guards",
        "meetings_answers",
    )
]
FOLDING, WORKER_MANAGER = "ashtray/workers/folding.py", "ashtray/workers/worker_manager.py"
DELIVERY = "ashtray/workers/order_delivery.py"
FLEET_LEASE, HANDOVER = "ashtray/fleet/fleet_lease.py", "ashtray/fleet/handover.py"
INVENTORY, PROVISIONING = "ashtray/fleet/machine_inventory.py", "ashtray/fleet/provisioning.py"
DECOMMISSIONING, PLACER = "ashtray/fleet/decommissioning.py", "ashtray/placement/placer.py"
DRAFT = "ashtray/placement/draft.py"
FOLLOWER, GRANTS = "ashtray/store/follower.py", "ashtray/teams/grants.py"
DEPENDENCIES, ORDER = "ashtray/jobs/dependencies.py", "ashtray/placement/queue_order.py"
STATES, CANCELLING, SUBMITTING = (f"ashtray/jobs/{name}.py" for name in ("states", "cancelling", "submitting"))
CLUSTER_STATE = "ashtray/placement/cluster_state.py"
GROUP_EDIT = "ashtray/placement/group_edit.py"
GROUP_INDEX = "ashtray/placement/group_index.py"
MACHINE_HEALTH = "ashtray/placement/machine_health.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "absence-is-proof": (
        FOLDING,
        "absence_is_proof = evidence.proves_absence and record.token == evidence.token",
        "absence_is_proof = True",
    ),
    "free-before-deletion": (
        DECOMMISSIONING,
        "        if reply.status != 200:\n            return\n        self.inventory.note_deleted(names)",
        "        self.inventory.note_deleted(names)",
    ),
    "place-while-deleting": (DECOMMISSIONING, ".machine(name).retiring = True", ".machine(name)"),
    "clear-before-commit": (
        WORKER_MANAGER,
        '                elif job_is_over and seen.state == "saving":',
        '                elif seen.state == "ended":\n                    kills.append(messages.clear(key))\n'
        '                elif job_is_over and seen.state == "saving":',
    ),
    "one-token-for-all": (
        WORKER_MANAGER,
        "return self._counter << TOKEN_SHIFT | self.presence.incarnation",
        "return max(above, 1)",
    ),
    "orders-without-record": (
        WORKER_MANAGER,
        "return worker.obeys and machine.record.token == worker.token",
        "return worker.obeys",
    ),
    "no-doubt": (DELIVERY, "if not reply.refused and token in (worker.token, worker.previous_token):", "if False:"),
    "orders-in-flight-ignored": (
        "ashtray/workers/fold_scheduler.py",
        "busy = worker.in_flight or worker.answered_report is not None",
        "busy = False",
    ),
    "renew-for-ever": (
        "ashtray/workers/renewal.py",
        "return now_us - self.informed_us(now_us, read_us) <= self.bound_us",
        "return True",
    ),
    "job-not-guarded": (PLACER, "txn.guard(LIVE_JOB_PREFIX + job.id, job.version).put(", "txn.put("),
    "groups-not-guarded": (GROUP_EDIT, "        txn.guard(group.key, group.version)\n", ""),
    "team-not-guarded": (PLACER, "txn.guard(TEAM + name, cluster_state.version(TEAM + name))", "pass"),
    "share-taken-at-once": (
        GRANTS,
        "sum(max(shares.get(host, (0.0, 0.0))[n], used[host][n]) for host in others)",
        "sum(used[host][n] for host in others)",
    ),
    "shares-on-an-unread-cluster-state": (
        GRANTS,
        "if self._read_revision < self.cluster_state.version(key):",
        "if False:",
    ),
    "placing-without-a-fence": (GRANTS, "if name not in self._fenced:", "if False:"),
    "old-fence-counts": (
        GRANTS,
        "if guarded < self.cluster_state.version(TEAM + name) <= revision:",
        "if 0 < self.cluster_state.version(TEAM + name) <= revision:",
    ),
    "fence-not-followed": (
        GRANTS,
        "if guarded < self.cluster_state.version(TEAM + name) <= revision:",
        "if guarded < self.cluster_state.version(TEAM + name):",
    ),
    "nothing-ages": (ORDER, "return -1 if self.aged or self.starts_first else self.missed", "return self.missed"),
    "bands-across-teams": (
        ORDER,
        "level = (job.priority, job.fails_on_several_machines, job.spec.team, ",
        'level = (job.priority, job.fails_on_several_machines, "", ',
    ),
    "least-room-never-ages": (
        ORDER,
        "aged = by_work and age_us > UNTIMED_AGED_FACTOR * self._job_timing.run_us(job)",
        "aged = False",
    ),
    "largest-do-not-begin": (
        ORDER,
        "starts_first = by_work and not aged and age_us > START_FIRST_SHARE * START_WITHIN_US",
        "starts_first = False",
    ),
    "claims-not-guarded": (
        "ashtray/teams/guarantees.py",
        "txn.guard(CLAIM + team, cluster_state.version(CLAIM + team)).put(CLAIM + team, value)",
        "txn.put(CLAIM + team, value)",
    ),
    "excess-not-counted": (
        "ashtray/teams/guarantees.py",
        "if cpus > max(left[0], 0.0) + AMOUNT_TOLERANCE or gpus > max(left[1], 0.0) + AMOUNT_TOLERANCE:",
        "if left[0] <= AMOUNT_TOLERANCE and left[1] <= AMOUNT_TOLERANCE:",
    ),
    "stopping-counts-as-used": ("ashtray/teams/guarantees.py", "if allocation.record.stop_us >= 0:", "if False:"),
    "stopped-at-the-limit": (
        PLACER,
        "if shared and not self._share_allows(plan, job, need, batch, turn):",
        "if False:",
    ),
    "excess-of-the-plan": (
        "ashtray/placement/preemption.py",
        "    if not excess.allows(taken):\n        return None\n",
        "",
    ),
    "rented-without-a-record": (
        PROVISIONING,
        '        outcome = yield from self.base.follower.commit(build, 1, Urgency.ACCEPT, "intent")\n'
        "        if outcome is not CommitOutcome.COMMITTED:",
        "        if build() is None:",
    ),
    "heir-does-not-ask-again": (
        "ashtray/standby/intents.py",
        "self.open = {intent.request: intent for intent in record.open}",
        "self.open = {intent.request: intent for intent in record.open if intent.names is not None}",
    ),
    "heir-forgets-what-is-coming": (
        HANDOVER,
        "            self.inventory.expect_machines(intent, intent.names or ())",
        "            pass",
    ),
    "rents-without-the-term": (FLEET_LEASE, "        return txn.guard(FLEET, self.term)", "        return txn"),
    "read-before-the-term": (
        HANDOVER,
        "            if not (yield from self.base.follower.barrier()):\n                return\n"
        "            takeover.pass_check(Check.READ",
        "            takeover.pass_check(Check.READ",
    ),
    "suspected-alone": (
        "ashtray/standby/failure_detector.py",
        "if others and confirmations >= min(CONFIRMATIONS, len(others)):",
        "if True:",
    ),
    "suspected-for-ever": (
        "ashtray/standby/failure_detector.py",
        "if now_us - since_us > MAX_SUSPICION_US:",
        "if False:",
    ),
    "a-halt-is-silence": (
        "ashtray/standby/failure_detector.py",
        "quiet_us = now_us - max(peer.heartbeat_us, not_stalled_since_us)",
        "quiet_us = now_us - peer.heartbeat_us",
    ),
    "what-was-heard-is-taken-back": ("ashtray/peers/presence.py", "if at_us > since_us}\n", "if False}\n"),
    "changes-in-proportion": (
        "ashtray/peers/presence.py",
        "    return own_share + left / len(needs)\n",
        "    return total * mine / max(sum(needs), 1e-9)\n",
    ),
    "a-low-rate-is-waited-out": (
        "ashtray/store/rate_limiter.py",
        "min(self.bucket.wait_us(amount, overdraft), BUDGET_RECHECK_US)",
        "self.bucket.wait_us(amount, overdraft)",
    ),
    "no-look-before-a-commit": (
        FOLLOWER,
        "refresh = self.refresh if urgency in SHARED_URGENCIES else None",
        "refresh = None",
    ),
    "known-jobs-are-written-again": (
        CLUSTER_STATE,
        "return job_id in self.jobs or job_id in self.final_states",
        "return False",
    ),
    "a-lease-for-each-try": (
        "ashtray/peers/presence.py",
        "if opened is None or base.kernel.now_us - opened[1] > LEASE_US // 2:",
        "if True:",
    ),
    "rows-of-other-tables": (
        "ashtray/placement/compact_record.py",
        "if before is not None and known is not None and _extends_tables(value, before):",
        "if before is not None and known is not None and FORM in before:",
    ),
    "changed-rows-kept": (
        "ashtray/placement/compact_record.py",
        "row = None if name in changed else known.get(name)",
        "row = known.get(name)",
    ),
    "tables-grow-for-ever": (
        "ashtray/placement/compact_record.py",
        "return len(self.kinds) + len(self.images) > used + used // 4 + SPARE_ENTRIES",
        "return False",
    ),
    "an-address-in-use-ends-it": (
        "ashtray/daemon/server.py",
        "if error.errno != errno.EADDRINUSE or time.monotonic() > until_s:",
        "if True:",
    ),
    "floor-counts-from-nought": ("ashtray/placement/minimum_share.py", "job.ready_us < self._since_us", "False"),
    "floor-owes-all": ("ashtray/placement/minimum_share.py", "for job in found[: due[name]]]", "for job in found]"),
    "floor-is-stopped": (
        "ashtray/placement/minimum_share.py",
        "return frozenset(self.shares) if job.id in self.too_late else frozenset()",
        "return frozenset()",
    ),
    "floor-before-what-is-in-time": (
        "ashtray/placement/minimum_share.py",
        "if job.id in too_late), None)",
        "if True), None)",
    ),
    "one-known-ends-all": ("ashtray/jobs/accepting.py", "if refused or (failed and not known):", "if refused:"),
    "failures-teach": ("ashtray/estimates/run_observer.py", 'if job is None or cause == "error":', "if job is None:"),
    "eras-are-added": ("ashtray/estimates/model.py", "if row[ERA] != other[ERA]:", "if False:"),
    "one-job-drowns-all": (
        "ashtray/estimates/learned.py",
        "return float((1.0 + seen / JOB_WEIGHT_SCALE) ** -1.5)",
        "return 1.0",
    ),
    "adopted-twice": (
        "ashtray/workers/adoption.py",
        "txn = Txn().guard(lock, cluster_state.version(lock)).put(lock, cluster_state.version(lock))",
        "txn = Txn()",
    ),
    "loaded-after-the-pages": (FOLLOWER, "self._paged = True", "self._paged = self.loaded = True"),
    "done-tasks-dropped": (
        GROUP_EDIT,
        "done = {job: runs for job, runs in self.done.items() if live(job)}",
        "done = {}",
    ),
    "gang-portions-of-two-attempts": (DRAFT, "return job.record.attempt if job.portion else", "return"),
    "answers-without-barrier": (
        STATES,
        "if not (yield from self.base.follower.barrier(patient=True)):",
        "if False:",
    ),
    "accept-without-look": ("ashtray/jobs/accepting.py", ".guard(FINAL_STATE_PREFIX + job.job_id, 0).put(", ".put("),
    "stopped-holds-hide": (
        GROUP_INDEX,
        "self.allocations.setdefault(allocation.job, {})[(name, n)] = allocation",
        "self.allocations.setdefault(allocation.job, {})[(name, allocation.attempt)] = allocation",
    ),
    "silence-while-halted": (
        INVENTORY,
        "self.known_since.setdefault(name, now), not_stalled_since_us)",
        "self.known_since.setdefault(name, now))",
    ),
    "mute-is-silent": (
        INVENTORY,
        "if unheard and presence.responsible_controller(machine.group) in unheard",
        "if False",
    ),
    "term-outlives-lease": (FLEET_LEASE, "if self.running and not self.holds():", "if False:"),
    "late-list-condemns": (
        INVENTORY,
        "return name not in self.listed and name < self._newest",
        "return name not in self.listed",
    ),
    "all-late-given-up": ("ashtray/fleet/boot_times.py", "NOT_OVERTAKEN_FACTOR = 3.0", "NOT_OVERTAKEN_FACTOR = 1.0"),
    "mistakes-condemn": (
        MACHINE_HEALTH,
        "return NO_BLAME if job.fails_on_several_machines else HALF_BLAME",
        "return HALF_BLAME",
    ),
    "done-may-be-cancelled": (
        CANCELLING,
        "                txn.guard(key, cluster_state.groups[key].version)",
        "                pass",
    ),
    "every-question-reads": (CLUSTER_STATE, "        self.known_absent[job_id] = None\n", "        pass\n"),
    "started-before-ready": (
        DEPENDENCIES,
        "or not self._open_count.get(job.id, len(job.spec.needs))",
        "or True",
    ),
    "unknown-is-not-counted": (
        DEPENDENCIES,
        "self._open_count[job.id] = len(job.spec.needs)",
        "self._open_count[job.id] = sum(n in self._jobs for n in job.spec.needs)",
    ),
    "unknown-counts-as-done": (
        DEPENDENCIES,
        "return [dependency for dependency in job.spec.needs if self._done_us.get(dependency) is None]",
        "return [n for n in job.spec.needs if n in self._jobs or self._done_us.get(n, 0) is None]",
    ),
    "cancellation-stays": (
        DEPENDENCIES,
        "remaining += [(dependent, job_id) for dependent in self.dependents.get(job_id, ())]",
        "pass",
    ),
    "needed-not-read": (STATES, "self.kernel.spawn(self._resolve(dependency))", "pass"),
    "answers-without-needs": (STATES, "known = yield from self._read_dependencies(job, urgency)", "known = True"),
    "never-accepted-not-looked-up": (
        SUBMITTING,
        "            if isinstance(state, NeverAccepted):\n                #",
        "            if False:\n                #",
    ),
    "lean-form-too-early": (
        "ashtray/controller.py",
        "self.presence.upgraded() or self.cluster_state.compact_seen or self.store.refused",
        "True",
    ),
    "older-one-not-asked": (
        "ashtray/peers/presence.py",
        'min(seen.get(host, {}).get("form", 0) for host in hosts)',
        "min(DEPENDENCIES_VERSION if host in seen else 0 for host in hosts)",
    ),
    "size-not-checked": ("ashtray/store/limits.py", "return size <= self.value_bytes * VALUE_SHARE", "return True"),
    "moved-machines-count": (GROUP_INDEX, "            if name <= moved_up_to:\n", "            if False:\n"),
    "split-not-marked": (
        "ashtray/workers/splitting.py",
        "txn.guard(lock, cluster_state.version(lock)).put(lock, progress)",
        "pass",
    ),
    "record-grows-for-ever": (
        "ashtray/jobs/model.py",
        "            if len(runs) > max_bytes:\n",
        "            if False:\n",
    ),
    "own-change-counts-as-read": (
        CLUSTER_STATE,
        "return job.version <= self.read_revision and all(",
        "return True or all(",
    ),
    "late-change-comes-back": (FOLLOWER, "        if version <= self.revision:\n            return\n", ""),
    "removed-comes-back": (
        CLUSTER_STATE,
        "        if version > self.read_revision:\n            self._removed_at[key] = version\n",
        "",
    ),
    "split-not-guarded-by-cancellation": (CANCELLING, "txn.guard(lock, cluster_state.version(lock))", "pass"),
    "notice-taken-for-nothing-new": (
        WORKER_MANAGER,
        "worker.in_sync_and_folded if report.notice_us is None else None",
        "worker.in_sync_and_folded",
    ),
    "alone-keeps-its-workers": (
        "ashtray/peers/presence.py",
        "return next(iter(self.presence.successors(key, 1)), None)",
        "return None",
    ),
    "alone-sends-on-for-ever": (
        WORKER_MANAGER,
        "worker.keep_until_us = now + KEEP_WORKER_US\n            return self.peers",
        "pass\n            return self.peers",
    ),
    "alone-is-well": ("ashtray/controller.py", " or self.peers.isolated(CUT_OFF_US)", ""),
    "copy-is-a-report": (WORKER_MANAGER, "if (report.session, report.tick) <= worker.newest:", "if False:"),
    "token-below-the-record": (
        WORKER_MANAGER,
        "recorded_token = machine.record.token if machine is not None else 0",
        "recorded_token = 0",
    ),
    "deaf-is-heard": (WORKER_MANAGER, "        if newly_claimed or worker.token_confirmed:\n", "        if True:\n"),
    "zone-not-checked": (DRAFT, "if spec.same_zone and len(zones) > 1:", "if False:"),
}

FIRST = {
    "absence-is-proof": [
        "tests/test_safety.py::test_absence_proves_nothing_once_a_later_owner_has_recorded_its_token"
    ],
    "free-before-deletion": ["tests/test_decommissioning.py"],
    "place-while-deleting": ["tests/test_decommissioning.py"],
    "clear-before-commit": [
        "tests/test_guards.py::test_an_ended_task_is_not_cleared_while_its_allocation_is_in_the_record"
    ],
    "one-token-for-all": ["tests/test_safety.py::test_no_two_processes_give_out_the_same_token"],
    "orders-without-record": ["tests/test_safety.py::test_orders_are_given_only_once_the_record_carries_the_token"],
    "no-doubt": ["tests/test_safety.py::test_an_order_without_an_answer_voids_the_token"],
    "orders-in-flight-ignored": [
        "tests/test_safety.py::test_a_report_proves_no_absence_while_its_owner_has_orders_on_their_way"
    ],
    "renew-for-ever": ["tests/test_safety.py::test_leases_are_not_renewed_for_ever_without_the_state_service"],
    "job-not-guarded": ["tests/test_safety.py::test_every_change_of_a_shared_record_is_guarded_by_its_version"],
    "groups-not-guarded": ["tests/test_safety.py::test_every_change_of_a_shared_record_is_guarded_by_its_version"],
    "team-not-guarded": ["tests/test_safety.py::test_every_change_of_a_shared_record_is_guarded_by_its_version"],
    "share-taken-at-once": ["tests/test_grants.py"],
    "shares-on-an-unread-cluster-state": [
        "tests/test_grants.py::test_two_changes_of_the_shares_need_a_read_between_them"
    ],
    "placing-without-a-fence": ["tests/test_grants.py::test_nothing_is_placed_before_the_fence_nor_after_a_doubt"],
    "old-fence-counts": ["tests/test_grants.py::test_one_fence_serves_all_controllers_that_start_together"],
    "fence-not-followed": ["tests/test_grants.py::test_a_fence_counts_once_the_cluster_state_is_read_up_to_it"],
    "nothing-ages": ["tests/test_order.py"],
    "bands-across-teams": ["tests/test_order.py"],
    "least-room-never-ages": ["tests/test_order.py"],
    "largest-do-not-begin": [
        "tests/test_addition.py::test_the_largest_job_starts_on_one_machine_and_leaves_the_capacity_to_the_others"
    ],
    "claims-not-guarded": [
        "tests/test_guarantees.py::test_two_controllers_that_decide_at_once_do_not_stop_the_same_excess"
    ],
    "excess-not-counted": ["tests/test_guarantees.py::test_a_team_is_not_taken_below_its_guarantee"],
    "stopping-counts-as-used": ["tests/test_guarantees.py"],
    "stopped-at-the-limit": [
        "tests/test_guarantees.py::test_nothing_is_stopped_for_a_job_that_waits_for_its_teams_limit"
    ],
    "excess-of-the-plan": [
        "tests/test_guarantees.py::test_a_task_that_ended_after_the_plan_lowers_the_excess_at_the_commit"
    ],
    "rented-without-a-record": ["tests/test_standby.py::test_a_leader_crash_at_any_point_rents_nothing_twice"],
    "heir-does-not-ask-again": ["tests/test_standby.py::test_a_leader_crash_at_any_point_rents_nothing_twice"],
    "heir-forgets-what-is-coming": [
        "tests/test_standby.py::test_a_successor_counts_rented_machines_that_are_not_listed_yet"
    ],
    "rents-without-the-term": ["tests/test_standby.py::test_a_leader_replaced_while_paused_records_no_intent"],
    "read-before-the-term": ["tests/test_standby.py::test_a_successor_reads_the_last_intent_after_taking_the_term"],
    "suspected-alone": ["tests/test_standby.py::test_a_suspicion_needs_own_evidence_and_that_of_others"],
    "suspected-for-ever": ["tests/test_standby.py::test_a_suspicion_needs_own_evidence_and_that_of_others"],
    "a-halt-is-silence": ["tests/test_standby.py::test_silence_during_an_own_pause_is_no_evidence"],
    "what-was-heard-is-taken-back": ["tests/test_returns.py::test_a_quick_restart_deletes_no_healthy_machine"],
    "changes-in-proportion": [
        "tests/test_budget.py::test_a_controller_that_starts_among_busy_ones_gets_its_share_in_seconds"
    ],
    "a-low-rate-is-waited-out": [
        "tests/test_budget.py::test_a_request_does_not_wait_out_a_rate_that_was_too_low_for_a_moment"
    ],
    "no-look-before-a-commit": ["tests/test_budget.py::test_the_cluster_state_is_refreshed_just_before_a_commit"],
    "known-jobs-are-written-again": [
        "tests/test_budget.py::test_a_resubmission_to_another_controller_costs_no_write"
    ],
    "a-lease-for-each-try": ["tests/test_returns.py::test_failed_sign_ins_use_the_same_lease"],
    "rows-of-other-tables": ["tests/test_formats.py::test_an_unchanged_row_is_decoded_again_when_the_tables_changed"],
    "changed-rows-kept": [
        "tests/test_formats.py::test_a_compact_record_that_is_written_and_read_incrementally_keeps_all_values"
    ],
    "tables-grow-for-ever": ["tests/test_record_tables.py"],
    "an-address-in-use-ends-it": ["tests/test_returns.py::test_a_start_waits_for_an_address_in_use"],
    "floor-counts-from-nought": [
        "tests/test_floor.py::test_after_a_start_the_rule_has_no_effect_until_enough_jobs_have_come"
    ],
    "floor-owes-all": ["tests/test_floor.py"],
    "floor-is-stopped": [
        "tests/test_floor.py::test_tasks_of_a_class_below_its_share_are_not_stopped_for_jobs_that_are_too_late"
    ],
    "floor-before-what-is-in-time": ["tests/test_floor.py"],
    "one-known-ends-all": [
        "tests/test_recovery.py::test_many_submissions_share_transactions_and_a_known_job_delays_none"
    ],
    "failures-teach": ["tests/test_estimates.py::test_only_complete_runs_count_as_run_times"],
    "eras-are-added": ["tests/test_estimates.py"],
    "one-job-drowns-all": ["tests/test_estimates.py::test_one_large_job_does_not_outweigh_the_others"],
    "adopted-twice": ["tests/test_safety.py::test_a_machine_that_two_controllers_adopt_at_once_gets_into_one_group"],
    "loaded-after-the-pages": ["tests/test_safety.py::test_nothing_is_placed_on_records_read_at_different_moments"],
    "done-tasks-dropped": [
        "tests/test_placement.py::test_completed_tasks_of_an_array_write_only_their_group_and_are_not_placed_again"
    ],
    "gang-portions-of-two-attempts": [
        "tests/test_placement.py::test_a_gang_that_needs_more_groups_than_a_transaction_may_change_runs"
    ],
    "answers-without-barrier": [
        "tests/test_meetings_answers.py::test_a_question_does_not_share_the_read_of_one_that_was_asked_before_the_cancellation"
    ],
    "accept-without-look": [
        "tests/test_meetings_answers.py::test_a_submission_repeated_once_the_job_is_over_is_told_its_final_state"
    ],
    "stopped-holds-hide": ["tests/test_placement.py::test_tasks_stopped_one_after_the_other_all_count_as_placed"],
    "silence-while-halted": [
        "tests/test_bad_nights.py::test_what_was_not_heard_while_this_process_stood_still_is_no_silence"
    ],
    "mute-is-silent": ["tests/test_bad_nights.py::test_workers_of_a_live_peer_that_gives_no_word_are_not_silent"],
    "term-outlives-lease": ["tests/test_bad_nights.py::test_running_the_fleet_ends_with_the_lease"],
    "late-list-condemns": ["tests/test_bad_nights.py::test_a_late_list_condemns_nothing_newer_than_what_it_shows"],
    "all-late-given-up": [
        "tests/test_bad_nights.py::test_machines_that_are_late_together_are_waited_for_and_one_that_was_overtaken_is_not"
    ],
    "mistakes-condemn": [
        "tests/test_bad_nights.py::test_jobs_with_a_mistake_condemn_no_machine_and_sick_machines_are_found_all_the_same"
    ],
    "done-may-be-cancelled": [
        "tests/test_bad_nights.py::test_the_cancellation_of_a_small_job_depends_on_the_groups_that_could_end_it"
    ],
    "every-question-reads": [
        "tests/test_bad_nights.py::test_requests_to_the_state_service_do_not_grow_with_the_questions"
    ],
    "started-before-ready": ["tests/test_pipelines.py"],
    "unknown-counts-as-done": ["tests/test_dependencies.py"],
    "cancellation-stays": [
        "tests/test_pipelines.py::test_a_whole_chain_counts_as_cancelled_with_its_first_job_before_any_record_is_moved"
    ],
    "needed-not-read": ["tests/test_guards.py::test_final_states_of_needed_jobs_are_read_though_no_user_asks"],
    "answers-without-needs": [
        "tests/test_guards.py::test_an_answer_reads_the_unknown_final_states_of_needed_jobs_first"
    ],
    "never-accepted-not-looked-up": [
        "tests/test_pipelines.py::test_a_dependency_on_the_job_itself_or_on_a_job_not_accepted_yet_is_refused"
    ],
    "lean-form-too-early": ["tests/test_upgrade.py::test_both_versions_serve_side_by_side_until_all_are_new"],
    "older-one-not-asked": ["tests/test_upgrade.py::test_both_versions_serve_side_by_side_until_all_are_new"],
    "size-not-checked": ["tests/test_guards.py::test_a_record_over_its_share_of_the_limit_is_not_written"],
    "moved-machines-count": ["tests/test_limits.py::test_while_a_group_is_being_split_its_moved_machines_count_once"],
    "split-not-marked": [
        "tests/test_limits.py::test_a_group_full_to_32_kib_is_split_under_the_lower_limits_without_losing_an_allocation"
    ],
    "record-grows-for-ever": ["tests/test_limits.py::test_a_record_too_small_for_all_runs_keeps_the_longest"],
    "own-change-counts-as-read": [
        "tests/test_pipelines.py::test_a_fold_after_an_unread_cancellation_does_not_make_a_job_done"
    ],
    "late-change-comes-back": [
        "tests/test_pipelines.py::test_a_late_answer_to_an_acceptance_does_not_bring_a_cancelled_job_back"
    ],
    "removed-comes-back": [
        "tests/test_pipelines.py::test_a_removed_job_does_not_come_back_with_an_older_round_of_reads"
    ],
    "split-not-guarded-by-cancellation": [
        "tests/test_bad_nights.py::test_the_cancellation_of_a_small_job_depends_on_the_groups_that_could_end_it"
    ],
    "notice-taken-for-nothing-new": ["tests/test_safety.py::test_a_task_saves_before_its_machine_goes"],
    "alone-keeps-its-workers": [
        "tests/test_addition.py::test_a_controller_cut_off_with_its_workers_redirects_them_once_others_serve_them"
    ],
    "alone-sends-on-for-ever": [
        "tests/test_addition.py::test_a_controller_that_only_seems_to_be_cut_off_keeps_its_workers"
    ],
    "alone-is-well": [
        "tests/test_addition.py::test_a_controller_cut_off_with_its_workers_redirects_them_once_others_serve_them"
    ],
    "copy-is-a-report": ["tests/test_addition.py::test_a_copy_of_a_report_proves_nothing"],
    "token-below-the-record": [
        "tests/test_addition.py::test_a_machine_restarted_without_its_token_is_owned_again_after_all_controllers_crashed"
    ],
    "deaf-is-heard": [
        "tests/test_addition.py::test_a_machine_that_reports_without_the_token_it_was_given_does_not_count_as_heard"
    ],
    "zone-not-checked": [
        "tests/test_guards.py::test_a_job_of_one_zone_is_not_placed_in_another_by_a_plan_that_is_out_of_date"
    ],
}
"""What states most directly what a mutant breaks."""
