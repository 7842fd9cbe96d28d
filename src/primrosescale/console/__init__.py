"""The command-line program ``primrosescale``."""
