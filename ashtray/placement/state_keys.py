"""Keys of the records under ``ashtray/now/``, which every controller follows; those of jobs are in `jobs/model.py`.

A name that ends with a slash is the beginning of several keys.  `docs/architecture.md` lists the record of each.
"""

from __future__ import annotations

GROUP = "ashtray/now/group/"
"""One record for each group of machines of one type and zone: `records.GroupRecord`."""
TEAM = "ashtray/now/team/"
"""For each team with a limit, the part of it that each controller may use."""
CONTROLLER = "ashtray/now/controller/"
"""One record for each live controller, under its lease."""
ADOPTED = "ashtray/now/adopted/"
"""For each machine type and zone a number that is raised whenever a group takes in such a machine."""
FLEET = "ashtray/now/fleet"
"""The controller that rents and returns machines, under its lease."""
CLAIM = "ashtray/now/claim/"
"""What was last stopped of a team's work for another team's guarantee: see `teams/guarantees.py`."""
RENTALS = "ashtray/now/rentals"
"""What the controller that runs the fleet is about to rent: see `standby/intents.py`."""
TYPES = "ashtray/now/types"
"""The machine types that the cloud rents; where they do not fit into one value, one key below it for each type."""
SPLIT = "ashtray/now/split/"
"""For a group whose record is too large to be written: up to which of its machines have moved to other groups."""
ESTIMATE = "ashtray/now/estimate/"
"""What was learnt of run times: see `estimates/estimate_store.py`."""


def split_key(group: str) -> str:
    """Return the key that marks the group with this key as being split."""
    return SPLIT + group[len(GROUP) :]
