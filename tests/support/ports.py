"""Ports for programs that tests start with ports of their own choice."""

from __future__ import annotations

import contextlib
import os
import socket
from pathlib import Path

LOOPBACK = "127.0.0.1"
EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
FIRST_EPHEMERAL = 32768
LOWEST_PORT = 10_000


def first_ephemeral():
    """Return the lowest port that the system gives out by itself."""
    with contextlib.suppress(OSError):
        return int(EPHEMERAL_RANGE.read_text().split()[0])
    return FIRST_EPHEMERAL


def is_free(port):
    with contextlib.suppress(OSError), socket.create_server((LOOPBACK, port)):
        return True
    return False


def free_ports(count):
    """Return ports that nobody else takes before the programs listen there.

    Ports that the system gives out may go to another socket of any process as soon as
    they are closed again. These lie below that range, and start at another one in each
    process of tests.
    """
    candidates = range(LOWEST_PORT, first_ephemeral())
    start = os.getpid() * count % len(candidates)
    found = []
    for port in [*candidates[start:], *candidates[:start]]:
        if is_free(port):
            found.append(port)
        if len(found) == count:
            return found
    raise OSError("no free ports")
