"""The entry router: it accepts callers' requests and sends them to targets itself."""
