"""Keys of the records under ``ashtray/now/``, which every controller follows; jobs' keys are in `jobs/model.py`.

A text that ends with a slash is a prefix of several keys.  `docs/architecture.md` lists the record of each key.
"""

from __future__ import annotations

GROUP = "ashtray/now/group/"
"""One record per group of machines of one type and zone: `records.GroupRecord`."""
TEAM = "ashtray/now/team/"
"""One record per team with a limit: the part of the limit that each controller may use."""
CONTROLLER = "ashtray/now/controller/"
"""One record per live controller, under its lease."""
ADOPTED = "ashtray/now/adopted/"
"""One record per machine type and zone: a number that is raised whenever a group adds such a machine."""
FLEET = "ashtray/now/fleet"
"""The fleet leader: the controller that rents and returns machines.  The record is under its lease."""
CLAIM = "ashtray/now/claim/"
"""One record per team whose work was preempted for another team's guarantee: see `teams/guarantees.py`."""
RENTALS = "ashtray/now/rentals"
"""What the fleet leader is about to rent: see `standby/intents.py`."""
TYPES = "ashtray/now/types"
"""The machine types that the cloud rents; if they do not fit into one value, one key below it per type."""
SPLIT = "ashtray/now/split/"
"""One record per group that is being split: which of its machines have moved to other groups."""
ESTIMATE = "ashtray/now/estimate/"
"""What was learnt about run times: see `estimates/estimate_store.py`."""


def split_key(group: str) -> str:
    """Return the key of the record that marks a group, given by its key, as being split."""
    return SPLIT + group[len(GROUP) :]
