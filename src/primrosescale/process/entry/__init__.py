"""The entry router process: accepts callers' requests, connects to targets directly."""
