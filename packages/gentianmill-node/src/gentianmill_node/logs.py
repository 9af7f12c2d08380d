"""Structured logging as JSON lines, with a message prefix per component."""

import logging
import sys
from collections.abc import MutableMapping
from typing import Any

import structlog

Fields = MutableMapping[str, Any]


def configure(stream: Any = sys.stderr, level: int = logging.INFO) -> None:
    """Configure structlog to write one JSON object per line to a stream.

    Args:
        stream: Output stream with ``write`` and ``flush``.
        level: Minimum level to write, a constant of ``logging``.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.format_exc_info,
            _add_prefix,
            structlog.processors.JSONRenderer(default=str),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.WriteLoggerFactory(stream),
        cache_logger_on_first_use=False,
    )


def component(name: str) -> Any:
    """Return the logger of a component.

    Args:
        name: Prefix of its messages, such as ``guard``.

    Returns:
        A structlog logger; fields are given as keyword arguments, usually
        ``call_id``, ``tenant``, ``work_class`` and ``outcome``.
    """
    return structlog.get_logger(component=name)


def _add_prefix(_logger: Any, _method: str, fields: Fields) -> Fields:
    prefix = fields.get('component')
    if prefix is not None:
        fields['event'] = f'{prefix}: {fields["event"]}'
    return fields
