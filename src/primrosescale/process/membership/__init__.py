"""Who is in the fleet, and the sums of its loads."""
