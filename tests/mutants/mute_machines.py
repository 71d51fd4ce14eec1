"""Mutants of what becomes of machines that no report, or no answer, gets through to."""

TESTS = ["tests/test_meetings_mute_machines.py"]
WORKER_MANAGER, REVIEW = "ashtray/workers/worker_manager.py", "ashtray/fleet/machine_review.py"
DELIVERY = "ashtray/workers/order_delivery.py"
FIRST_TEST = "tests/test_meetings_mute_machines.py::"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "silent-workers-are-ordered-for-ever": (
        WORKER_MANAGER,
        "if self.kernel.now_us - worker.heard_us > int(self.base.settings.cluster.workers.lease_s * SECOND_US):",
        "if False:",
    ),
    "answers-to-direct-orders-teach-nothing": (
        DELIVERY,
        "            self._on_answer(worker, report)\n",
        "            pass\n",
    ),
    "what-an-answer-tells-is-not-looked-at": (
        WORKER_MANAGER,
        "        worker.reconcile_again = True\n        if not worker.reconciling:\n"
        "            self.reconcile(worker)\n",
        "",
    ),
    "silent-machines-are-kept": (REVIEW, "return Loss.SILENT if silent else None", "return None"),
    "refused-orders-are-sent-again-at-once": (
        DELIVERY,
        "worker.direct_backoff_until_us = self.kernel.now_us + DIRECT_BACKOFF_US",
        "worker.direct_backoff_until_us = self.kernel.now_us",
    ),
}

FIRST = {
    "silent-workers-are-ordered-for-ever": [
        FIRST_TEST + "test_a_mute_machine_that_cannot_be_deleted_is_not_ordered_for_ever"
    ],
    "answers-to-direct-orders-teach-nothing": [
        FIRST_TEST + "test_what_has_ended_on_a_mute_machine_is_known_by_the_answer_to_an_order"
    ],
    "what-an-answer-tells-is-not-looked-at": [
        FIRST_TEST + "test_what_has_ended_on_a_mute_machine_is_known_by_the_answer_to_an_order"
    ],
    "refused-orders-are-sent-again-at-once": [
        FIRST_TEST + "test_machines_that_refuse_connections_get_their_orders_with_answers_and_few_calls"
    ],
}
"""What states most directly what a mutant breaks."""
