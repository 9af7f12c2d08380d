"""Real node processes on loopback addresses, harmed from outside while they serve."""
