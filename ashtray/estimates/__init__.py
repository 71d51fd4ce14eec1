"""How long jobs take, learnt from what ran: a distribution a class, with the owner's estimate as one witness."""
