"""The operators program of gentianmill."""
