"""Estimates of run times: a distribution for each job class, learnt from ended tasks and the owners' estimates."""
