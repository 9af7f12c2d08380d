"""Metrics."""


class NodeMetrics:
    """Nothing yet."""

    def call_done(self, call, outcome, code, latency_ms) -> None:
        """Do nothing."""
