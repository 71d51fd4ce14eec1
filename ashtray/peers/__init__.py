"""Communication between controllers: presence under a lease, heartbeats and announcements of cancellations."""
