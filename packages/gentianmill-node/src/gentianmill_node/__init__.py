"""The gentianmill node: one process beside each upstream VM."""
