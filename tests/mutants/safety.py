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
    )
]
FOLDING, DESK = "ashtray/workers/folding.py", "ashtray/workers/desk.py"
FLEET_LEASE, HANDOVER = "ashtray/fleet/fleet_lease.py", "ashtray/fleet/handover.py"
INVENTORY, PROVISIONING = "ashtray/fleet/machine_inventory.py", "ashtray/fleet/provisioning.py"
DECOMMISSIONING, PLACER = "ashtray/fleet/decommissioning.py", "ashtray/placement/placer.py"
FOLLOWER, GRANTS = "ashtray/store/follower.py", "ashtray/teams/grants.py"
NEEDS, ORDER = "ashtray/jobs/needs.py", "ashtray/placement/queue_order.py"
STATES, CANCELLING, SUBMITTING = (f"ashtray/jobs/{name}.py" for name in ("states", "cancelling", "submitting"))
PICTURE = "ashtray/placement/picture.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "absence-is-proof": (FOLDING, "sure = evidence.exact and record.token == evidence.token", "sure = True"),
    "free-before-deletion": (
        DECOMMISSIONING,
        "        if reply.status != 200:\n            return\n        self.inventory.note_deleted(names)",
        "        self.inventory.note_deleted(names)",
    ),
    "place-while-deleting": (DECOMMISSIONING, ".machine(name).retiring = True", ".machine(name)"),
    "clear-before-commit": (
        DESK,
        '                elif over and seen.state == "saving":',
        '                elif seen.state == "ended":\n                    kills.append(messages.clear(key))\n'
        '                elif over and seen.state == "saving":',
    ),
    "one-token-for-all": (
        DESK,
        "return self._counter << TOKEN_SHIFT | self.presence.incarnation",
        "return max(above, 1)",
    ),
    "orders-without-record": (
        DESK,
        "return worker.exact and machine.record.token == worker.token",
        "return worker.exact",
    ),
    "no-doubt": (DESK, "if not reply.refused and worker.token == token:", "if False:"),
    "orders-in-flight-ignored": (DESK, "busy = worker.in_flight or worker.answered is not None", "busy = False"),
    "renew-for-ever": (
        "ashtray/workers/renewal.py",
        "return now_us - self.informed_us(now_us, read_us) <= self.bound_us",
        "return True",
    ),
    "job-not-guarded": (PLACER, "txn.guard(LIVE + job.id, job.version).put(", "txn.put("),
    "groups-not-guarded": (PICTURE, "        txn.guard(group.key, group.version)\n", ""),
    "team-not-guarded": (PLACER, "txn.guard(TEAM + name, picture.version(TEAM + name))", "pass"),
    "share-taken-at-once": (
        GRANTS,
        "sum(max(shares.get(host, (0.0, 0.0))[n], used[host][n]) for host in others)",
        "sum(used[host][n] for host in others)",
    ),
    "shares-on-an-unread-picture": (GRANTS, "if self._read < self.picture.version(key):", "if False:"),
    "placing-without-a-fence": (GRANTS, "if name not in self._fenced:", "if False:"),
    "old-fence-counts": (
        GRANTS,
        "if above < self.picture.version(TEAM + name) <= revision:",
        "if 0 < self.picture.version(TEAM + name) <= revision:",
    ),
    "fence-not-followed": (
        GRANTS,
        "if above < self.picture.version(TEAM + name) <= revision:",
        "if above < self.picture.version(TEAM + name):",
    ),
    "nothing-ages": (ORDER, "return -1 if self.aged or self.begins else self.missed", "return self.missed"),
    "bands-across-teams": (
        ORDER,
        "level = (job.priority, job.suspect, job.spec.team, ",
        'level = (job.priority, job.suspect, "", ',
    ),
    "least-room-never-ages": (ORDER, "aged = by_room and age_us > PATIENT * self._pace.run_us(job)", "aged = False"),
    "largest-do-not-begin": (
        ORDER,
        "begins = by_room and not aged and age_us > BEGIN_SHARE * BEGIN_US",
        "begins = False",
    ),
    "claims-not-guarded": (
        "ashtray/teams/guarantees.py",
        "txn.guard(CLAIM + team, picture.version(CLAIM + team)).put(CLAIM + team, value)",
        "txn.put(CLAIM + team, value)",
    ),
    "excess-not-counted": (
        "ashtray/teams/guarantees.py",
        "if cpus > max(left[0], 0.0) + EPS or gpus > max(left[1], 0.0) + EPS:",
        "if left[0] <= EPS and left[1] <= EPS:",
    ),
    "stopping-counts-as-used": ("ashtray/teams/guarantees.py", "if hold.record.stop_us >= 0:", "if False:"),
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
        '        if not (yield from self.base.follower.commit(build, 1, Urgency.ACCEPT, "intent")):',
        "        if build() is None:",
    ),
    "heir-does-not-ask-again": (
        "ashtray/standby/intents.py",
        "self.open = {intent.request: intent for intent in record.open}",
        "self.open = {intent.request: intent for intent in record.open if intent.names is not None}",
    ),
    "heir-forgets-what-is-coming": (
        HANDOVER,
        "            self.inventory.expect(intent, intent.names or ())",
        "            pass",
    ),
    "rents-without-the-term": (FLEET_LEASE, "        return txn.guard(FLEET, self.term)", "        return txn"),
    "read-before-the-term": (
        HANDOVER,
        "            if not (yield from self.base.follower.barrier()):\n                return\n"
        "            takeover.ok(Check.READ",
        "            takeover.ok(Check.READ",
    ),
    "suspected-alone": ("ashtray/standby/notice.py", "if others and agree >= min(CONFIRM, len(others)):", "if True:"),
    "suspected-for-ever": (
        "ashtray/standby/notice.py",
        "now_us - max(peer.since_us, peer.live_us) > MOST_US:",
        "False:",
    ),
    "a-halt-is-silence": (
        "ashtray/standby/notice.py",
        "quiet_us = now_us - max(peer.word_us, awake_us)",
        "quiet_us = now_us - peer.word_us",
    ),
    "what-was-heard-is-taken-back": ("ashtray/peers/presence.py", "if at_us > since_us}\n", "if False}\n"),
    "changes-in-proportion": (
        "ashtray/peers/presence.py",
        "    return own + left / len(needs)\n",
        "    return total * mine / max(sum(needs), 1e-9)\n",
    ),
    "a-low-rate-is-waited-out": (
        "ashtray/store/client.py",
        "min(self.bucket.wait_us(amount, overdraft), AGAIN_US)",
        "self.bucket.wait_us(amount, overdraft)",
    ),
    "no-look-before-a-commit": (FOLLOWER, "look = self.look if urgency in SHARED else None", "look = None"),
    "known-jobs-are-written-again": (PICTURE, "return job_id in self.jobs or job_id in self.over", "return False"),
    "a-lease-for-each-try": (
        "ashtray/peers/presence.py",
        "if opened is None or base.kernel.now_us - opened[1] > LEASE_US // 2:",
        "if True:",
    ),
    "rows-of-other-tables": (
        "ashtray/placement/compact_record.py",
        "if before is not None and known is not None and _follows(value, before):",
        "if before is not None and known is not None and FORM in before:",
    ),
    "changed-rows-kept": (
        "ashtray/placement/compact_record.py",
        "row = None if name in changed else kept.get(name)",
        "row = kept.get(name)",
    ),
    "tables-grow-for-ever": (
        "ashtray/placement/compact_record.py",
        "if len(kinds) + len(images) > used + used // 4 + SPARE:",
        "if False:",
    ),
    "an-address-in-use-ends-it": (
        "ashtray/daemon/server.py",
        "if error.errno != errno.EADDRINUSE or time.monotonic() > until_s:",
        "if True:",
    ),
    "floor-counts-from-nought": ("ashtray/placement/minimum_share.py", "if job.ready_us < self._since_us or", "if"),
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
    "one-known-ends-all": ("ashtray/jobs/accepting.py", "if failed and not known:", "if False:"),
    "failures-teach": ("ashtray/estimates/watch.py", 'if job is None or cause == "error":', "if job is None:"),
    "eras-are-added": ("ashtray/estimates/model.py", "if row[ERA] != other[ERA]:", "if False:"),
    "one-job-drowns-all": (
        "ashtray/estimates/learned.py",
        "return float((1.0 + seen / CROWD) ** -1.5)",
        "return 1.0",
    ),
    "adopted-twice": (
        FOLDING,
        "txn = Txn().guard(lock, picture.version(lock)).put(lock, picture.version(lock))",
        "txn = Txn()",
    ),
    "loaded-after-the-pages": (FOLLOWER, "self._paged = True", "self._paged = self.loaded = True"),
    "done-tasks-dropped": (
        PICTURE,
        "done = {job: runs for job, runs in self.done.items() if live(job)}",
        "done = {}",
    ),
    "gang-portions-of-two-attempts": (PLACER, "return job.record.attempt if job.portion else", "return"),
    "answers-without-barrier": (
        STATES,
        "if not (yield from self.base.follower.barrier(patient=True)):",
        "if False:",
    ),
    "accept-without-look": ("ashtray/jobs/accepting.py", ".guard(OVER + job.job_id, 0).put(", ".put("),
    "stopped-holds-hide": (
        PICTURE,
        "self.held.setdefault(hold.job, {})[(name, n)] = hold",
        "self.held.setdefault(hold.job, {})[(name, hold.attempt)] = hold",
    ),
    "silence-while-halted": (
        INVENTORY,
        "self.known_since.setdefault(name, now), awake_us)",
        "self.known_since.setdefault(name, now))",
    ),
    "mute-is-silent": (
        INVENTORY,
        "found[name] = 0 if mute and presence.foreman(machine.group) in mute else max(until - last, 0)",
        "found[name] = max(until - last, 0)",
    ),
    "term-outlives-lease": (FLEET_LEASE, "if self.running and not self.holds():", "if False:"),
    "late-list-condemns": (
        INVENTORY,
        "return name not in self.listed and name < self._newest",
        "return name not in self.listed",
    ),
    "all-late-given-up": ("ashtray/fleet/boot_times.py", "LONGER = 3.0", "LONGER = 1.0"),
    "mistakes-condemn": (PICTURE, "total += 0 if job.suspect else 1", "total += 1"),
    "done-may-be-cancelled": (
        CANCELLING,
        "                txn.guard(key, picture.groups[key].version)",
        "                pass",
    ),
    "every-question-reads": (PICTURE, "        self.absent[job_id] = None\n", "        pass\n"),
    "started-before-ready": (NEEDS, "return not self.open(job)", "return True"),
    "unknown-counts-as-done": (
        NEEDS,
        "return [need for need in job.spec.needs if self._ends.get(need) is None]",
        "return [need for need in job.spec.needs if need in self._jobs or self._ends.get(need, 0) is None]",
    ),
    "cancellation-stays": (NEEDS, "left += [(child, job_id) for child in self.after.get(job_id, ())]", "pass"),
    "needed-not-read": (STATES, "self.kernel.spawn(self._resolve(need))", "pass"),
    "answers-without-needs": (STATES, "known = yield from self._know_needs(job, urgency)", "known = True"),
    "never-accepted-not-looked-up": (
        SUBMITTING,
        "            if isinstance(state, NeverAccepted):\n                #",
        "            if False:\n                #",
    ),
    "lean-form-too-early": (
        "ashtray/controller.py",
        "self.presence.upgraded() or self.picture.lean or self.store.refused",
        "True",
    ),
    "older-one-not-asked": (
        "ashtray/peers/presence.py",
        'min(seen.get(host, {}).get("form", 0) for host in hosts)',
        "min(WAITS if host in seen else 0 for host in hosts)",
    ),
    "size-not-checked": ("ashtray/store/client.py", "return size <= self.value_bytes * VALUE_SHARE", "return True"),
    "moved-machines-count": (PICTURE, "            if name <= upto:\n", "            if False:\n"),
    "split-not-marked": (
        "ashtray/workers/splitting.py",
        "txn.guard(lock, picture.version(lock)).put(lock, mark)",
        "pass",
    ),
    "record-grows-for-ever": (
        "ashtray/jobs/model.py",
        "            if len(runs) > room:\n",
        "            if False:\n",
    ),
    "own-change-counts-as-read": (PICTURE, "return job.version <= self.upto and all(", "return True or all("),
    "late-change-comes-back": (FOLLOWER, "        if version <= self.revision:\n            return\n", ""),
    "removed-comes-back": (PICTURE, "        if version > self.upto:\n            self._gone[key] = version\n", ""),
    "split-not-guarded-by-cancellation": (CANCELLING, "txn.guard(lock, picture.version(lock))", "pass"),
    "notice-taken-for-nothing-new": (DESK, "worker.quiet if report.notice_us is None else None", "worker.quiet"),
    "alone-keeps-its-workers": (
        "ashtray/peers/presence.py",
        "return next(iter(self.presence.heirs(key, 1)), None)",
        "return None",
    ),
    "alone-sends-on-for-ever": (
        DESK,
        "worker.sticks_until_us = now + STICK_US\n            return self.peers",
        "pass\n            return self.peers",
    ),
    "alone-is-well": ("ashtray/controller.py", " or self.peers.alone(UNWELL_US)", ""),
    "copy-is-a-report": (DESK, "if (report.session, report.tick) <= worker.newest:", "if False:"),
    "token-below-the-record": (DESK, "signed = machine.record.token if machine is not None else 0", "signed = 0"),
    "deaf-is-heard": (DESK, "        if met or worker.exact:\n", "        if True:\n"),
    "zone-not-checked": (PLACER, "if spec.same_zone and len(zones) > 1:", "if False:"),
}
