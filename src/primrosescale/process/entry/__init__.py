"""The router on a platform where it calls its targets itself."""
