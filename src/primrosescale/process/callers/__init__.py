"""The side of a router that faces callers: connections, requests and their limits."""
