"""The state service: requests within the shared budgets, transactions, leases and the picture's source."""
