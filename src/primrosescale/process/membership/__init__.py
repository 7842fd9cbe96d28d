"""Membership of the fleet and aggregation of its load reports."""
