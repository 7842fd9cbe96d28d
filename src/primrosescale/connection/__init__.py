"""Framed connections between processes, their pools, and HTTP channels to targets."""
