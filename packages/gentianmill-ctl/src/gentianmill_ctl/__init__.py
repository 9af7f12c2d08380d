"""Command-line program for the operators of gentianmill."""
