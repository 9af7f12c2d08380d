"""Simulated outside systems, each a process of its own."""
