"""Fetches versions of the configuration and keeps the newest one in force."""
