"""Handling of a single request, and the decisions about it.

It covers admission, the choice of a target, forwarding, retries and the answer.
"""
