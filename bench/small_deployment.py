"""A deployment small enough to run as processes on one machine.

The model and the processes both run it. It has two services with three endpoints
each, of 4 and 3 slots, and service times of 80 ms, so that CPU time is no bottleneck
at a few hundred calls per second.
"""

import types

from bench.workload import Deployment, RequestType, Service, Step

MEAN_MS = 80.0
MAX_WAIT_MS = 1500
"""Shorter than elsewhere, so that a run ends within 50 s; also the sheet's deadline."""

CONNECTIONS_PER_SLOT = 8
"""The same as in the settings that the stand-ins write."""

SLOTS = types.MappingProxyType({'front': 4, 'back': 3})

SMALL = Deployment(
    name='small',
    classes=('payments', 'lookups', 'reports'),
    protected_count=1,
    services=types.MappingProxyType(
        {
            name: Service(slots, slots * CONNECTIONS_PER_SLOT)
            for name, slots in SLOTS.items()
        }
    ),
    requests=(
        RequestType(
            'payment',
            0,
            0.25,
            Step('front', 'pay', MEAN_MS, (Step('back', 'record', MEAN_MS),)),
            MAX_WAIT_MS,
        ),
        RequestType('lookup', 1, 0.5, Step('front', 'read', MEAN_MS), MAX_WAIT_MS),
        RequestType('report', 2, 0.25, Step('back', 'report', MEAN_MS), MAX_WAIT_MS),
    ),
    endpoints=3,
)

PATHS = types.MappingProxyType(
    {
        'payment': ('POST', '/front/pay'),
        'lookup': ('GET', '/front/read'),
        'report': ('GET', '/back/report'),
    }
)
"""Method and path of each request type at the caller listener."""

SUB_CALLS = types.MappingProxyType({'front': {'/pay': ['/back/record']}})
"""Calls that an upstream makes while it serves a path, by service and path."""

SHEET = """
deployment: small
regions: [north]
classes: [{name: payments, protected: true}, {name: lookups}, {name: reports}]
services:
  front:
    operations:
      - {name: pay, method: POST, path: /pay, class: payments, deadline_ms: 1500}
      - {name: read, method: GET, path: /read, class: lookups, deadline_ms: 1500}
  back:
    operations:
      - {name: record, method: GET, path: /record, class: payments, deadline_ms: 1500}
      - {name: report, method: GET, path: /report, class: reports, deadline_ms: 1500}
"""
