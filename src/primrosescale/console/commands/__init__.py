"""The subcommands, one module each."""
