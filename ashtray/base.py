"""What every slice of a controller stands on.  It knows nothing of them: `controller.py` puts them together."""

from __future__ import annotations

from dataclasses import dataclass

from ashtray.config.operators import OperatorSettings
from ashtray.config.settings import Settings, Team
from ashtray.kernel import Kernel
from ashtray.placement.cluster_state import ClusterState
from ashtray.store.client import Limits, StoreClient
from ashtray.store.follower import Follower


@dataclass(frozen=True)
class Base:
    """Settings, time, and the way to the state service with the late cluster state of what is in it."""

    settings: Settings
    knobs: OperatorSettings
    teams: dict[str, Team]
    kernel: Kernel
    limits: Limits
    cluster_state: ClusterState
    store: StoreClient
    follower: Follower
