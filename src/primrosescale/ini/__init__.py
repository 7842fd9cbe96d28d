"""Declares options and reads INI text into validated settings classes."""
