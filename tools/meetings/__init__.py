"""Meetings, scenarios in which several faults coincide, as days for the bench: see `tools/meeting_days.py`."""
