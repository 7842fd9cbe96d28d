"""Requests that end the targets that run them, and reports about them."""
