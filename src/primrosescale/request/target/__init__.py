"""What a router knows of a target: load, failures, self-reports, availability."""
