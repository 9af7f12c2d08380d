"""Measurements run by ``scripts/measure``."""
