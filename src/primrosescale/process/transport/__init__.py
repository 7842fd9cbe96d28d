"""HTTP to callers, targets and the platform, and its security."""
