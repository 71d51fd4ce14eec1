"""The tables of a compact group record: they only grow, until they are rebuilt because many entries are unused."""

from __future__ import annotations

import msgspec

from ashtray.placement import compact_record
from ashtray.placement.cluster_state import ClusterState
from ashtray.placement.group_edit import GroupEdit
from ashtray.placement.records import AllocationRecord, GroupRecord, MachineRecord
from ashtray.placement.state_keys import GROUP
from ashtray.store.limits import Limits
from ashtray.store.transaction import Txn

CHANGES = 60
"""More changes than the tables may have unused entries."""


def changed_record(number: int) -> MachineRecord:
    """Return a machine with an image, and an allocation with an amount, that no earlier record had."""
    hold = AllocationRecord("job-000001", 1, "0-2", "crew", float(number), 0.0, 4.0, 1_000_000, -1, "berth-0")
    return MachineRecord("10.0.0.9:1", images=[(f"img-{number}", 1.0)], holds=[hold])


def test_the_tables_stay_bounded_while_each_change_adds_entries() -> None:
    cluster_state, limits, key = ClusterState(), Limits(16, 60_000, 32_768, all_upgraded=True), GROUP + "g"
    record = GroupRecord("big", "a", {"vm-0": MachineRecord("10.0.0.9:1")})
    cluster_state.put(key, compact_record.pack(msgspec.to_builtins(record)), 1)
    longest = 0
    for number in range(1, CHANGES + 1):
        edit = GroupEdit(cluster_state.groups[key])
        edit.replace("vm-0", changed_record(number))
        txn = Txn()
        assert edit.write(txn, limits, lambda job: True)
        sent = msgspec.msgpack.decode(msgspec.msgpack.encode(txn.puts[key]))
        cluster_state.put(key, sent, number + 1)
        entries = len(sent["kinds"]) + len(sent["images"])
        longest = max(longest, entries)
        assert entries <= 2 + compact_record.SPARE_ENTRIES
        assert cluster_state.machines["vm-0"].record == changed_record(number)
    # They were kept for some changes, and rebuilt more than once.
    assert 2 < longest < CHANGES
