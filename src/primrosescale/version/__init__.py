"""Versions of the configuration: their records, their sections and their heads."""
