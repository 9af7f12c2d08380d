"""Logs: JSON lines with a fixed prefix for each component."""

from typing import Any

import structlog


def configure_logs() -> None:
    """Write logs as JSON lines to standard output."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso'),
            structlog.processors.JSONRenderer(),
        ]
    )


def component(name: str) -> Any:
    """Return the logger of a component; its messages start with the name."""
    return structlog.get_logger(component=name)
