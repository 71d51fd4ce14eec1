"""The state service: requests within the shared budgets, transactions, leases and the cluster state's source."""
