"""Socket options that let the kernel detect dead TCP connections."""

from __future__ import annotations

import socket
from typing import Any

# A peer that is gone is detected after about 1 + 3 x 1 seconds of silence. This
# leaves time before the deadline by which a new version must be in force again
# (5 s on current deployments). An idle connection costs one small packet per
# second in each direction.
PROBE_AFTER_IDLE_SECONDS = 1
PROBE_INTERVAL_SECONDS = 1
MAX_UNANSWERED_PROBES = 3
# The kernel closes a connection whose data stays unacknowledged for this long.
MAX_UNACKNOWLEDGED_MILLISECONDS = 3000


def set_keepalive_options(transport: Any) -> None:
    """Enable frequent keep-alive probes and limit the wait for acknowledgements.

    Parameters
    ----------
    transport : Any
        A connected TCP transport; one without a socket is left unchanged.
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
