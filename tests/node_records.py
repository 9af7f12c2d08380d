"""Builds node records for tests."""

from gentianmill.node_table import NodeRecord, NodeState


def node_record(name: str, **fields: object) -> NodeRecord:
    """Return the record of a node that accepts calls.

    Args:
        name: Name of the node, also used as its host.
        fields: Fields that differ from the defaults.
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
