"""Failover of duties between controllers: every controller is a warm standby for every other one.

A *duty* is work that one controller should do at a time: placing a job, handling the workers of a group, holding a
share of a limit, or managing the fleet.  Its *owner* is the controller that accepted the job, or the live controller
of the greatest rendezvous weight; the next ones by weight are its *successors*.  The modules:

- `intents.py`: rental requests are recorded in the state service before the cloud gets them, so a successor of the
  fleet leader continues where its predecessor stopped.
- `leader_notes.py`: the other knowledge that a fleet leader needs.  It is useful but not essential, and travels with
  the heartbeats.
- `failure_detector.py`: detects failed controllers before their lease expires.  Its result is a *suspicion*, which
  suffices only for duties that two controllers may safely perform at once.
- `takeover.py`: the checks before the first decision after a takeover, each with a name and the time it took.

`docs/standby.md` compares the alternatives and states their measured times.
"""
