"""Generated from schema/sheet.yaml by scripts/generate; do not edit."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, RootModel
from typing_extensions import TypeAliasType


class Region(RootModel[str]):
    root: Annotated[str, Field(min_length=1)]


class WorkClassModel(BaseModel):
    model_config = ConfigDict(
        extra='forbid',
    )
    name: Annotated[str, Field(min_length=1)]
    protected: Annotated[bool, Field(description='Shed last.')] = False


class Method(StrEnum):
    GET = 'GET'
    HEAD = 'HEAD'
    POST = 'POST'
    PUT = 'PUT'
    PATCH = 'PATCH'
    DELETE = 'DELETE'


class Run(StrEnum):
    at_most_once = 'at_most_once'
    repeatable = 'repeatable'


class Size(StrEnum):
    short = 'short'
    long = 'long'
    bulk = 'bulk'


class OperationModel(BaseModel):
    model_config = ConfigDict(
        extra='forbid',
    )
    name: Annotated[str, Field(min_length=1)]
    method: Method
    path: Annotated[
        str,
        Field(
            description='Path; a segment in braces matches any one segment.',
            pattern='^/',
        ),
    ]
    class_: Annotated[str, Field(alias='class', min_length=1)]
    run: Run = Run.repeatable
    size: Size = Size.short
    deadline_ms: Annotated[int, Field(ge=1)] = 10000


class ServiceModel(BaseModel):
    model_config = ConfigDict(
        extra='forbid',
    )
    operations: Annotated[list[OperationModel], Field(min_length=1)]


SharesAdditionalProperty = TypeAliasType(
    'SharesAdditionalProperty', Annotated[int, Field(ge=1)]
)


class TenantsModel(BaseModel):
    model_config = ConfigDict(
        extra='forbid',
    )
    default_share: Annotated[int, Field(ge=1)] = 1
    shares: dict[str, SharesAdditionalProperty] = {}


class RetryModel(BaseModel):
    model_config = ConfigDict(
        extra='forbid',
    )
    bound: Annotated[
        int,
        Field(
            description='Retries and hedges of one request over its whole call tree.',
            ge=0,
        ),
    ] = 6
    window_s: Annotated[int, Field(ge=1)] = 600
    ratio: Annotated[
        float,
        Field(description='Retries per call that one entry may send.', ge=0.0, le=1.0),
    ] = 0.1


class LimitsModel(BaseModel):
    model_config = ConfigDict(
        extra='forbid',
    )
    queue_length: Annotated[int, Field(ge=1)] = 400
    queue_delay_ms: Annotated[
        int, Field(description='Queue delay above which work is shed.', ge=1)
    ] = 50
    long_share: Annotated[
        float,
        Field(
            description='Part of the slots that long and bulk work may hold beside short work.',
            gt=0.0,
            le=1.0,
        ),
    ] = 0.5
    bulk_share: Annotated[
        float,
        Field(
            description='Part of the slots that bulk work may hold beside long work.',
            gt=0.0,
            le=1.0,
        ),
    ] = 0.3
    ejected_share: Annotated[float, Field(ge=0.0, le=1.0)] = 0.34
    slow_start_ms: Annotated[int, Field(ge=0)] = 10000
    region_link_mbit: Annotated[
        int, Field(description='Capacity of the link between two regions.', ge=1)
    ] = 4000
    region_bulk_share: Annotated[float, Field(gt=0.0, le=1.0)] = 0.5
    table_writes_per_s: Annotated[int, Field(ge=1)] = 300
    suspect_window_s: Annotated[int, Field(ge=1)] = 3600


class SheetModel(BaseModel):
    """
    Planning sheet with the priorities and limits of one day.
    """

    model_config = ConfigDict(
        extra='forbid',
    )
    deployment: Annotated[str, Field(min_length=1)]
    regions: Annotated[
        list[Region],
        Field(
            description='Regions among which the retry bound is divided.', min_length=1
        ),
    ]
    classes: Annotated[
        list[WorkClassModel],
        Field(description='Classes of work, most important first.', min_length=1),
    ]
    services: Annotated[dict[str, ServiceModel], Field(min_length=1)]
    tenants: Annotated[
        TenantsModel, Field(title='TenantsModel', validate_default=True)
    ] = {}
    retry: Annotated[RetryModel, Field(title='RetryModel', validate_default=True)] = {}
    limits: Annotated[
        LimitsModel, Field(title='LimitsModel', validate_default=True)
    ] = {}
