"""Mutants of what makes orders void that are held up on their way, and of how long hung machines are waited for."""

TESTS = ["tests/test_meetings_late_commands.py", "tests/test_meetings_hung_machines.py"]
DELIVERY, WORKER = "ashtray/workers/order_delivery.py", "ashtray/workers/worker.py"
WORKER_MANAGER = "ashtray/workers/worker_manager.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "workers-learn-of-a-doubt-with-their-reports": (
        DELIVERY,
        "                self.kernel.spawn(self._announce_token(worker, job_ids))\n",
        "                pass\n",
    ),
    "tokens-are-told-without-kills": (
        DELIVERY,
        "messages.orders_body(token, report.session, self._kills_for_worker(worker, report))",
        "messages.orders_body(token, report.session, [])",
    ),
    "cancellations-only-wait-for-what-is-underway": (
        DELIVERY,
        "                if worker.obeys:\n",
        "                if False:\n",
    ),
    "cancellations-do-not-settle-here": (
        "ashtray/peers/announcements.py",
        "            batch.settled.update((yield from self._wait_until_launches_void(batch.job_ids)))\n",
        "            pass\n",
    ),
    "cancellations-do-not-settle-at-peers": (
        "ashtray/controller.py",
        "settled = yield from self.worker_manager.delivery.wait_until_launches_void(cancelled)",
        "settled = list(self.cluster_state.machines); yield from ()",
    ),
    "starts-underway-are-forgotten": (
        WORKER,
        "if self.outstanding is not None and any(key[0] in job_ids for key in self.outstanding.tasks):",
        "if False:",
    ),
    "what-fetches-counts-as-settled": (
        WORKER,
        'return any(seen.state == "fetching" and key[0] in job_ids for key, seen in tasks.items())',
        "return False",
    ),
    "machines-that-nobody-answers-for-are-left": (
        "ashtray/peers/announcements.py",
        "            yield from self._void_unclaimed_launches(job_id, batch.settled)\n",
        "            pass\n",
    ),
    "whoever-answers-is-heard-out": (
        DELIVERY,
        "return [worker.name for worker in claimed]",
        "return names",
    ),
    "silence-counted-from-the-end-of-a-takeover": (
        "ashtray/fleet/handover.py",
        "            self.inventory.note_known_machines()\n",
        "",
    ),
    "order-answers-clear-what-went-out-to-reports": (
        WORKER_MANAGER,
        "            worker.answered_report is not None\n            and not direct\n",
        "            worker.answered_report is not None\n",
    ),
}
