"""Ledger of claims on requests that may run at most once, stored in the platform."""
