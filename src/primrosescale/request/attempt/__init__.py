"""Attempts of a request at targets: forwarding, retries, hedging and timeouts."""
