"""Records of nodes for tests."""

from gentianmill.node_table import NodeRecord, NodeState


def node_record(name: str, **fields: object) -> NodeRecord:
    """Return the record of a node that takes calls.

    Args:
        name: Its name, which is its host, too.
        fields: Fields that differ from the usual ones.
    """
    usual = {
        'incarnation': 1,
        'revision': 1,
        'host': name,
        'relay_port': 1,
        'service': 's',
        'zone': 'a',
        'region': 'r',
        'slots': 10,
        'state': NodeState.serving,
    }
    return NodeRecord(name=name, **(usual | fields))
