"""Handling of a single request, and the decisions about it.

It covers admission, the choice of a target, forwarding, retries and the answer. A
request reaches a target in one of two ways: the router sends it to the target directly
(`forwarded_call`), or to the agent of the target (`routed_call`, `agent_call`).
"""
