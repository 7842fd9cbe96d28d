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
        listener.bind((endpoint.address, endpoint.port))
        listener.listen(BACKLOG)
        listener.setblocking(False)  # noqa: FBT003 - the library's signature
    except OSError:
        listener.close()
        raise
    return listener
