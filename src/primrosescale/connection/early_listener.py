"""Opens a listening socket before the rest of the program is loaded.

Loading takes some tenths of a second. Callers that connect during this time
wait in the kernel's accept queue and are served as soon as the program runs,
instead of having their connections reset because no process listens yet.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.connection.endpoint import Endpoint

# Maximum number of connections waiting to be accepted. The design load is 20 new
# connections per second at one router, so this covers some seconds of callers.
BACKLOG = 1024
# Receive buffer of a connection, in bytes; the kernel doubles it. What a client sends
# while its connection is not read stays in this buffer, and counts as memory of the
# process on some platforms.
RECEIVE_BUFFER_BYTES = 16 * 1024


def open_listener(endpoint: Endpoint) -> socket.socket:
    """Open a listening socket without a reactor.

    Parameters
    ----------
    endpoint : Endpoint
        Address and port to listen on.

    Returns
    -------
    socket.socket
        The non-blocking socket, to be adopted by a reactor.

    Raises
    ------
    OSError
        If the socket cannot listen on the endpoint.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        limit_receive_buffers(listener)
        listener.bind((endpoint.address, endpoint.port))
        listener.listen(BACKLOG)
        listener.setblocking(False)  # noqa: FBT003 - the library's signature
    except OSError:
        listener.close()
        raise
    return listener


def limit_receive_buffers(listener: socket.socket) -> None:
    """Limit the receive buffers of the connections that a socket will accept.

    Parameters
    ----------
    listener : socket.socket
        The listening socket.
    """
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
