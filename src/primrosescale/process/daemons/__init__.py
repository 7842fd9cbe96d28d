"""The programs of the router and of the agent that runs beside each target."""
