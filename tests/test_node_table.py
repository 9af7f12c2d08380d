"""Which records of nodes are known, in whatever order they are told."""

from gentianmill.node_table import MAX_DELETED, NodeTable
from node_records import node_record


def _names(table: NodeTable) -> set[str]:
    return {record.name for record in table.records}


def test_deleted_record_does_not_come_back_by_a_late_rumour():
    """A node that is gone would get calls again until the next deletion."""
    table = NodeTable()
    table.merge([node_record('n', revision=4)])
    table.remove('n', 5)
    assert not table.merge([node_record('n', revision=4)])
    assert not _names(table)


def test_record_written_after_a_deletion_is_taken():
    """A machine that returns under its name must get work."""
    table = NodeTable()
    table.remove('n', 5)
    assert table.merge([node_record('n', revision=6)])
    assert table.of_service('s')


def test_deletion_that_is_older_than_the_record_changes_nothing():
    """Rows are read from the store later than rumours tell of them."""
    table = NodeTable()
    table.merge([node_record('n', revision=6)])
    table.remove('n', 5)
    assert _names(table) == {'n'}


def test_node_in_touch_outlives_the_deletion_of_its_record():
    """Its keepers may be cut off from it while this node reaches it."""
    in_touch = {'n'}
    table = NodeTable()
    table.spare_if(lambda record: record.name in in_touch)
    table.merge([node_record('n', revision=4)])
    table.remove('n', 5)
    assert table.of_service('s')
    in_touch.clear()
    table.forget_deleted()
    assert not table.of_service('s')


def test_whole_list_removes_what_it_lacks():
    """Deletions before a lost history are found only by what is missing."""
    table = NodeTable()
    table.merge([node_record('old', revision=2), node_record('kept', revision=3)])
    table.merge([node_record('newer', revision=9)])
    table.retain(['kept'], 5)
    assert _names(table) == {'kept', 'newer'}


def test_remembered_deletions_are_bounded():
    """Each replaced machine leaves one, for as long as the process lives."""
    table = NodeTable()
    for number in range(MAX_DELETED + 1):
        table.remove(f'n{number}', 5)
    assert table.merge([node_record('n0', revision=4)])
    assert not table.merge([node_record('n1', revision=4)])
