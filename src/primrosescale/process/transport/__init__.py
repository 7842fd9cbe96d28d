"""HTTP towards callers, targets and the platform; mutual TLS between processes."""
