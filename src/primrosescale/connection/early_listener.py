"""A listening socket that is opened before the rest of the program is loaded.

Loading takes some tenths of a second. Callers who connect meanwhile wait in
the kernel's queue and are served as soon as the program runs, in place of
being reset by a port that nobody listens on.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.connection.endpoint import Endpoint

# Connections that may wait to be accepted: some seconds of callers at the size
# to design for, 20 a second to one router.
BACKLOG = 1024


def open_listener(endpoint: Endpoint) -> socket.socket:
    """Listen on an endpoint, without a reactor.

    Parameters
    ----------
    endpoint : Endpoint
        Where to listen.

    Returns
    -------
    socket.socket
        The socket, for a reactor to adopt.

    Raises
    ------
    OSError
        When the endpoint cannot be listened on.
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
