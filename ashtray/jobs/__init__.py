"""Jobs: acceptance, polls, cancellation and their records."""
