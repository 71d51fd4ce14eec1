"""The fleet: renting machines from the cloud, returning them, and giving up those that fail."""
