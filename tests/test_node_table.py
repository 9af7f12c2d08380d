"""Tests of merging node records, in whatever order they arrive."""

from gentianmill.node_table import MAX_TOMBSTONES, NodeTable
from node_records import node_record


def _names(table: NodeTable) -> set[str]:
    return {record.name for record in table.records}


def test_deleted_record_is_not_restored_by_late_gossip():
    """A removed node would get calls again until the next deletion."""
    table = NodeTable()
    table.merge([node_record('n', revision=4)])
    table.remove('n', 5)
    assert not table.merge([node_record('n', revision=4)])
    assert not _names(table)


def test_record_written_after_a_deletion_is_accepted():
    """A VM that returns under its previous name must get work."""
    table = NodeTable()
    table.remove('n', 5)
    assert table.merge([node_record('n', revision=6)])
    assert table.of_service('s')


def test_deletion_that_is_older_than_the_record_changes_nothing():
    """Rows are read from the store later than they arrive by gossip."""
    table = NodeTable()
    table.merge([node_record('n', revision=6)])
    table.remove('n', 5)
    assert _names(table) == {'n'}


def test_reachable_node_survives_the_deletion_of_its_record():
    """The nodes that watch a node may be cut off from it while this node reaches it."""
    reachable = {'n'}
    table = NodeTable()
    table.keep_deleted_if(lambda record: record.name in reachable)
    table.merge([node_record('n', revision=4)])
    table.remove('n', 5)
    assert table.of_service('s')
    reachable.clear()
    table.purge_deleted()
    assert not table.of_service('s')


def test_snapshot_removes_the_records_that_it_lacks():
    """After a loss of the change history, deletions show only as missing rows."""
    table = NodeTable()
    table.merge([node_record('old', revision=2), node_record('kept', revision=3)])
    table.merge([node_record('newer', revision=9)])
    table.apply_snapshot(['kept'], 5)
    assert _names(table) == {'kept', 'newer'}


def test_remembered_deletions_are_bounded():
    """Each replaced VM leaves a tombstone, which would be kept until the process ends."""
    table = NodeTable()
    for number in range(MAX_TOMBSTONES + 1):
        table.remove(f'n{number}', 5)
    assert table.merge([node_record('n0', revision=4)])
    assert not table.merge([node_record('n1', revision=4)])
