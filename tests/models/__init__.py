"""Protocol models for exhaustive model checking."""
