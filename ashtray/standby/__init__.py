"""A standby that is warm: every controller stands by for every other, duty by duty.

A *duty* is what one controller should do at a time: place a job, tend a group's workers, hold a share of a limit, run
the fleet.  Its *owner* is the one that accepted the job, or the live one of the greatest rendezvous weight; the next
ones by weight are its *heirs*.  The parts:

- `intents.py`: what an heir follows before anything falls.  What the fleet's runner is about to rent stands in the
  state service before the cloud hears of it, so an heir goes on where the former stopped.
- `book.py`: the rest of what a runner knows and needs, which is sense and not truth, rides on the peers' word.
- `notice.py`: how a fall is noticed before the lease ends.  What it gives is a *suspicion*, and only what is safe
  with two at it begins on one.
- `takeover.py`: what is checked before the first decision, each check with its name and its duration.

`docs/standby.md` weighs the ways and says which figures they gave.
"""
