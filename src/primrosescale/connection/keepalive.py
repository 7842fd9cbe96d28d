"""Having the kernel find out that a connection has gone silent for good."""

from __future__ import annotations

import socket
from typing import Any

# A peer that is gone is noticed after about 1 + 3 x 1 seconds of silence, in
# good time before a version must be in force again (5 s on the deployments
# of today). An idle connection costs one small packet a second each way.
PROBE_AFTER_IDLE_SECONDS = 1
PROBE_INTERVAL_SECONDS = 1
MAX_UNANSWERED_PROBES = 3
# Bytes that stay unacknowledged for so long break the connection.
MAX_UNACKNOWLEDGED_MILLISECONDS = 3000


def set_keepalive_options(transport: Any) -> None:
    """Set short keep-alive probes and a limit on unacknowledged bytes.

    Parameters
    ----------
    transport : Any
        A connected TCP transport; one without a socket is left alone.
    """
    get_socket = getattr(transport, "getHandle", None)
    if get_socket is None:
        return
    tcp_socket: socket.socket = get_socket()
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_IDLE_SECONDS
    )
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS
    )
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_UNANSWERED_PROBES)
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        MAX_UNACKNOWLEDGED_MILLISECONDS,
    )
