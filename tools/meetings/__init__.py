"""Meetings of troubles as days for the bench: see `tools/meeting_days.py`."""
