"""Mutants of what makes a copy of an executed start order harmless."""

TESTS = ["tests/test_meetings_repeated_commands.py"]
WORKER_MANAGER = "ashtray/workers/worker_manager.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "cleared-under-the-token-of-the-launch": (
        WORKER_MANAGER,
        "                elif key not in worker.direct_launches:\n",
        "                else:\n",
    ),
    "tokens-not-replaced-by-folds": (
        "ashtray/workers/fold_scheduler.py",
        "next_token = self._token_to_record(worker) if worker.has_repeatable_clears() else 0",
        "next_token = 0",
    ),
    "launches-not-remembered": (
        "ashtray/workers/order_delivery.py",
        "        worker.direct_launches.update(messages.launched_tasks(orders))\n",
        "",
    ),
    "replaced-tokens-not-announced": (
        WORKER_MANAGER,
        "has_orders = bool(self._compute_orders(worker, machine)) or not worker.token_confirmed",
        "has_orders = bool(self._compute_orders(worker, machine))",
    ),
}
