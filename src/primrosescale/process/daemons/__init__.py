"""The router and the agent, put together."""
