"""Capacity of targets: admission, fair queueing, rate limits and load bounds."""
