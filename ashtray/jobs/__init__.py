"""Jobs: submission, state queries, cancellation, dependencies, and their records."""
