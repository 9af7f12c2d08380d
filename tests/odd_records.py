"""Entries of other writers that name no usable node."""

import json

from gentianmill.node_record_codec import encode_record
from node_records import node_record

NESTED = b'[' * 100_000
HUGE = 10**30


def _row(**changes: object) -> bytes:
    fields = json.loads(encode_record(node_record('odd', host='127.0.0.1')))
    return json.dumps(fields | changes).encode()


ODD_ROWS = {
    'nested': b'{"unknown": ' + NESTED,
    'nested_name': _row().replace(b'"odd"', NESTED),
    'no_text': b'\xff\xfe',
    'empty': b'',
    'huge_slots': _row(slots=HUGE),
    'huge_incarnation': _row(incarnation=HUGE),
    'number_that_is_infinite': _row().replace(b'"slots": 10', b'"slots": 1e999'),
    'port_above_range': _row(relay_port=70_000),
    'negative_port': _row(relay_port=-1),
    'port_zero': _row(relay_port=0),
    'host_with_path': _row(host='a/b?c'),
    'empty_service': _row(service=''),
    'unknown_state': _row(state='dancing'),
    'other_name': _row(name='good'),
}
