"""Forwarding of HTTP requests between nodes; platforms plug in through ``ports``."""

from gentianmill_mesh.mesh_node import MeshNode
from gentianmill_mesh.mesh_settings import Address, MeshSettings
from gentianmill_mesh.ports import NodeRegistry, RulesSource
from gentianmill_mesh.rules_holder import RulesDecoder, RulesHolder
from gentianmill_mesh.wire_names import WireNames

__all__ = [
    'Address',
    'MeshNode',
    'MeshSettings',
    'NodeRegistry',
    'RulesDecoder',
    'RulesHolder',
    'RulesSource',
    'WireNames',
]
