"""The simulated store of a soak, whose routing rules change."""

import json

from platform_store import FakeStore

from fault_soak.callers import HOST_HEADER, READ_PREFIX
from fault_soak.vm import UNSAFE_PREFIX

SERVICES = ('front', 'back', 'back')


class SoakStore(FakeStore):
    """A store in which an operator changes the routing rules."""

    def __init__(self) -> None:
        """Start without rules."""
        super().__init__()
        self._rules_version = 0

    @property
    def rules_version(self) -> int:
        """Return the newest version of the rules."""
        return self._rules_version

    def write_next_rules(self) -> None:
        """Write the next version of the rules; all versions serve the same routes."""
        self._rules_version += 3
        self.put('op', 'config', json.dumps(_rules(self._rules_version)).encode())


def _rules(version: int) -> dict[str, object]:
    return {
        'version': version,
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 1_000_000,
            'headerTimeout': '3000ms',
            'idleTimeout': '15s',
        },
        'listeners': [
            {
                'host': HOST_HEADER,
                'rules': [
                    _route('pay', UNSAFE_PREFIX, 'unsafe', 0),
                    _route('read', READ_PREFIX, 'safe', 1),
                ],
            }
        ],
        'clusters': [
            {'name': name, 'healthCheckPath': '/health', 'maxConnections': 100}
            for name in set(SERVICES)
        ],
    }


def _route(name: str, prefix: str, kind: str, priority: int) -> dict[str, object]:
    return {
        'name': name,
        'kind': kind,
        'priority': priority,
        'targetLatency': '500ms',
        'match': {'prefix': prefix},
        'action': {'service': 'back', 'timeout': '3s', 'maxAttempts': 2},
    }
