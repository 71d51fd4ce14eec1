"""Tests, the stand-ins that they use, and the mutation check."""
