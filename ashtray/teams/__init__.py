"""Teams: guarantees and limits."""
