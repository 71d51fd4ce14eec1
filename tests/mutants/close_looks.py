"""Mutants of what close looks and odd requests meet while controllers restart, read anew or cannot read."""

TESTS = ["tests/test_meetings_odd_requests.py", "tests/test_meetings_close_looks.py"]
SUBMITTING, TYPES = "ashtray/jobs/submitting.py", "ashtray/fleet/type_catalogue.py"
STATES, FORWARDING = "ashtray/jobs/states.py", "ashtray/jobs/forwarding.py"

MUTANTS: dict[str, tuple[str, str, str]] = {
    "refused-before-all-types-are-written": (
        SUBMITTING,
        "if reason == NO_TYPE_FITS and not self.base.cluster_state.types_complete:",
        "if False:",
    ),
    "all-types-said-first": (TYPES, "for key in records if key != TYPES and", "for key in records if"),
    "types-that-are-gone-stay": (
        TYPES,
        "removed_keys = sorted(key for key in known if key not in records)",
        "removed_keys = []",
    ),
    "failed-catalogue-waits-a-minute": (
        TYPES,
        "self._unwritten = None if written else types",
        "self._unwritten = None",
    ),
    "repeat-judged-anew": (
        SUBMITTING,
        "answer = yield from self._state_or(job_id, objection)",
        "answer = objection",
    ),
    "questions-answered-before-a-reload-is-over": (
        FORWARDING,
        "return follower.loaded and follower.failed_since_us is None and",
        "return follower.failed_since_us is None and",
    ),
    "close-looks-without-a-read": (
        STATES,
        "if not (yield from self.base.follower.barrier(patient=True)):",
        "if False:",
    ),
    "absent-across-a-reload": (STATES, " followed and cluster_state.load_count == load_count:", " followed:"),
    "unreadable-forwarded-request-is-unknown": (
        "ashtray/controller.py",
        'self.kernel.answer(request_id, 503, {"error": "the forwarded request cannot be read"}, 1)',
        'self.kernel.answer(request_id, 404, {"error": "no such path"})',
    ),
}
