"""Answers on their way to callers: buffering, checks, relaying and lost answers."""
