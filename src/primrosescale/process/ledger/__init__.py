"""Claims of requests that may run once, kept in the platform."""
