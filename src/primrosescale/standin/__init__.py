"""Small stand-ins for the systems that routers and agents communicate with."""
