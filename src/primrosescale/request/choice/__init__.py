"""Choice of the target of a request: prompt caches, load and failures."""
