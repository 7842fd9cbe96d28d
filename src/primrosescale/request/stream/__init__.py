"""Resumption of streams at the software version that began them."""
