"""The objects that every component of a controller shares.

This module imports none of the components; `controller.py` creates and connects them.
"""

from __future__ import annotations

from dataclasses import dataclass

from ashtray.config.operators import OperatorSettings
from ashtray.config.settings import Settings, Team
from ashtray.kernel import Kernel
from ashtray.placement.cluster_state import ClusterState
from ashtray.store.client import StoreClient
from ashtray.store.follower import Follower
from ashtray.store.limits import Limits


@dataclass(frozen=True)
class Base:
    """The settings, the kernel, the client of the state service, and the cluster state.

    The cluster state is this controller's slightly late copy of the records in the state service.
    """

    settings: Settings
    operator_settings: OperatorSettings
    teams: dict[str, Team]
    kernel: Kernel
    limits: Limits
    cluster_state: ClusterState
    store: StoreClient
    follower: Follower

    def limits_for(self, purpose: str) -> Limits:
        """Return the limits for the next transaction of a purpose; smaller ones after it was refused as too large."""
        return self.store.refusals.reduced(self.limits, purpose, self.kernel.now_us)
