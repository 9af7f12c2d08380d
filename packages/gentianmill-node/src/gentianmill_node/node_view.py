"""What operators see of a running node."""

from gentianmill_node.operator_listener import NodeView


class RunningNodeView(NodeView):
    """Stopgap until the operator listener is merged."""

    def __init__(self, node, control, data):
        self.node = node
        self.control = control
        self.data = data

    def members(self):
        return [
            {'node_id': member.node_id, 'status': member.status.name}
            for member in self.control.members.table.members
        ]

    def reason(self):
        if self.control.tracker.sheet is None:
            return self.control.tracker.not_ready_reason
        return ''
