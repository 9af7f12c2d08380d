"""Run real node processes on loopback addresses and inject faults while they serve."""
