"""Getting a version and keeping it in force."""
