"""Tests that no allocation of a machine is freed before the cloud has confirmed its deletion."""

from __future__ import annotations

from typing import Any

import pytest

from tests.model import Model, submission

SECOND = 1_000_000
TASKS = 4


class RefusingCloud:
    """Refuses deletions while `refuses` is set, and counts the refusals."""

    def __init__(self, model: Model) -> None:
        self.refuses = True
        self.refused = 0
        self._handle = model.cloud.handle
        model.cloud.handle = self.handle  # type: ignore[method-assign]

    def handle(self, now_us: int, method: str, path: str, body: Any) -> tuple[int, Any]:
        """Answer like the cloud, but refuse deletions while `refuses` is set."""
        if path == "/rentals/delete" and self.refuses:
            self.refused += 1
            return 503, {"error": "trouble"}
        return self._handle(now_us, method, path, body)


def machine_with_tasks(model: Model) -> str:
    """Run a service until its tasks are on machines, and return the name of one of these machines."""
    model.checks()
    model.run(3)
    model.submit(submission("job-0", shape="service", pieces=TASKS, cpus=2.0, crew="free"))
    model.run(25)
    assert sum(len(where) for where in model.on.values()) == TASKS
    return min(name for where in model.on.values() for name in where)


@pytest.mark.parametrize("seed", [1, 2])
def test_tasks_of_a_silent_machine_are_freed_only_once_its_deletion_is_confirmed(seed: int) -> None:
    model = Model(seed)
    name = machine_with_tasks(model)
    cloud = RefusingCloud(model)
    model.hung.add(name)
    held = {task for task, where in model.on.items() if name in where}
    model.run(40)
    # The silent machine was drained, and the cloud refused its deletion.
    cluster_states = [host.core.cluster_state for host in model.hosts]
    assert cloud.refused > 0
    assert all(cluster_state.machines[name].record.retiring for cluster_state in cluster_states)
    assert all(cluster_state.machines[name].holds for cluster_state in cluster_states)
    cloud.refuses = False
    model.run(40)
    assert all(name not in cluster_state.machines for cluster_state in cluster_states)
    assert name in model.cloud.deleted
    elsewhere = {task for task, where in model.on.items() if where.keys() - {name}}
    assert {number for _, number in held} <= {number for _, number in elsewhere}
