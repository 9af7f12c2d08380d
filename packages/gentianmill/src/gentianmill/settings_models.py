"""Generated from schema/settings.yaml by scripts/generate; do not edit."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field


class NodeModel(BaseModel):
    """
    Where the node runs.
    """

    model_config = ConfigDict(
        extra='forbid',
    )
    id: Annotated[
        str | None,
        Field(description='Unique id; generated at start if absent.', min_length=1),
    ] = None
    region: Annotated[str, Field(min_length=1)]
    zone: Annotated[str, Field(description='Availability zone.', min_length=1)]


class UpstreamModel(BaseModel):
    """
    The upstream on the same VM.
    """

    model_config = ConfigDict(
        extra='forbid',
    )
    service: Annotated[str, Field(min_length=1)]
    endpoint: Annotated[str, Field(min_length=1)]
    host: IPv4Address
    port: Annotated[int, Field(ge=1, le=65535)]
    slots: Annotated[
        int, Field(description='Calls that the upstream can run at once.', ge=1)
    ]
    connections: Annotated[
        int, Field(description='Connections that the upstream accepts.', ge=1)
    ]
    health_path: str = '/health'
    poll_ms: Annotated[
        int, Field(description='Pause between health polls in ms.', ge=10)
    ] = 1000


class ListenersModel(BaseModel):
    model_config = ConfigDict(
        extra='forbid',
    )
    host: Annotated[IPv4Address, Field(description='Address of this VM.')]
    advertised_host: Annotated[
        IPv4Address | None,
        Field(
            description='Address under which other nodes reach this VM; the listener address if absent.'
        ),
    ] = None
    egress_host: Annotated[
        IPv4Address,
        Field(description='Address on which the own upstream reaches this node.'),
    ] = '127.0.0.1'
    caller_port: Annotated[int, Field(ge=1, le=65535)]
    egress_port: Annotated[int, Field(ge=1, le=65535)]
    peer_port: Annotated[int, Field(ge=1, le=65535)]
    control_port: Annotated[int, Field(ge=1, le=65535)]
    operator_port: Annotated[int, Field(ge=1, le=65535)]
    certificate_file: Annotated[
        str | None, Field(description='PEM certificate chain; TLS is off if absent.')
    ] = None
    certificate_key_file: str | None = None
    authority_file: Annotated[
        str | None,
        Field(description='PEM bundle used to check the certificates of other nodes'),
    ] = None
    max_body_bytes: Annotated[
        int,
        Field(description='Largest body of a call that is not a bulk call.', ge=1024),
    ] = 1048576


class KeysModel(BaseModel):
    model_config = ConfigDict(
        extra='forbid',
    )
    peer_key_file: str
    operator_key_file: str


class TableModel(BaseModel):
    """
    The platform's table service.
    """

    model_config = ConfigDict(
        extra='forbid',
    )
    url: Annotated[str, Field(min_length=1)]
    key_file: Annotated[
        str | None, Field(description='Bearer token for the table service.')
    ] = None
    timeout_ms: Annotated[int, Field(ge=1)] = 2000


class MembershipModel(BaseModel):
    model_config = ConfigDict(
        extra='forbid',
    )
    probe_interval_ms: Annotated[int, Field(ge=10)] = 1000
    probe_timeout_ms: Annotated[int, Field(ge=5)] = 400
    suspicion_ms: Annotated[int, Field(ge=10)] = 4000
    announce_interval_ms: Annotated[int, Field(ge=100)] = 60000
    sync_interval_ms: Annotated[int, Field(ge=100)] = 60000
    sheet_poll_ms: Annotated[int, Field(ge=50)] = 3000
    seeds: Annotated[
        list[str],
        Field(
            description='Control addresses (host:port) tried when the table is down.'
        ),
    ] = []


class DrainModel(BaseModel):
    model_config = ConfigDict(
        extra='forbid',
    )
    notice_ms: Annotated[
        int,
        Field(
            description='Time between announcing the drain and closing the listeners.',
            ge=0,
        ),
    ] = 2000
    limit_ms: Annotated[
        int, Field(description='Longest wait for running calls.', ge=0)
    ] = 60000


class NodeSettingsModel(BaseModel):
    """
    Settings of one node, read from one YAML file.
    """

    model_config = ConfigDict(
        extra='forbid',
    )
    node: Annotated[
        NodeModel, Field(description='Where the node runs.', title='NodeModel')
    ]
    upstream: Annotated[
        UpstreamModel,
        Field(description='The upstream on the same VM.', title='UpstreamModel'),
    ]
    listeners: Annotated[ListenersModel, Field(title='ListenersModel')]
    keys: Annotated[KeysModel, Field(title='KeysModel')]
    table: Annotated[
        TableModel,
        Field(description="The platform's table service.", title='TableModel'),
    ]
    membership: Annotated[
        MembershipModel, Field(title='MembershipModel', validate_default=True)
    ] = {}
    drain: Annotated[DrainModel, Field(title='DrainModel', validate_default=True)] = {}
