"""Administration: bundles, sign-off, roll-out and their HTTP interface."""
