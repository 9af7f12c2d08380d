"""Forwarding of HTTP requests between nodes, behind ports for a platform."""
