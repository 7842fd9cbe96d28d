"""Free ports for programs that tests start on fixed ports."""

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
    """Return the lowest port that the kernel assigns automatically."""
    with contextlib.suppress(OSError):
        return int(EPHEMERAL_RANGE.read_text().split()[0])
    return FIRST_EPHEMERAL


def is_free(port):
    with contextlib.suppress(OSError), socket.create_server((LOOPBACK, port)):
        return True
    return False


def free_ports(count):
    """Return ports that stay free until the programs listen on them.

    A port that the kernel assigned may be assigned to another process as soon as it
    is closed. The ports returned here lie below the kernel's range, and each test
    process starts its search at a different port.
    """
    candidates = range(LOWEST_PORT, first_ephemeral())
    start = os.getpid() * count % len(candidates)
    found = []
    for port in [*candidates[start:], *candidates[:start]]:
        if is_free(port):
            found.append(port)
        if len(found) == count:
            return found
    raise OSError("not enough free ports below the ephemeral range")
