"""The client of the state service: paced requests, transactions and leases, and the follower of its records."""
