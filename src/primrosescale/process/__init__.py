"""Processes: routers, agents, their settings, logs, metrics and administration."""
