"""Adapter to the users' platform: its object store, settings file and headers."""
