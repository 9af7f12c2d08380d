"""Simulated external systems, each in its own process."""
