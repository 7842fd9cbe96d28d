"""What a transport of Twisted holds of bytes that it has not sent."""

from __future__ import annotations

import contextlib
import fcntl
import struct
import termios
from typing import Any


def unsent_bytes(transport: Any) -> int:
    """Return the bytes that the kernel has not taken yet.

    Parameters
    ----------
    transport : Any
        A TCP transport of Twisted.

    Returns
    -------
    int
        Bytes written and not sent.
    """
    joined = len(transport.dataBuffer) - transport.offset
    return int(joined + transport._tempDataLen)  # noqa: SLF001 - not joined yet


def undelivered_bytes(transport: Any) -> int:
    """Return the bytes that the peer has not acknowledged yet.

    Parameters
    ----------
    transport : Any
        A TCP transport of Twisted.

    Returns
    -------
    int
        Bytes not sent, and those that the kernel holds where it tells.
    """
    queued = bytearray(struct.calcsize("i"))
    with contextlib.suppress(OSError):
        fcntl.ioctl(transport.getHandle(), termios.TIOCOUTQ, queued)
    (kernel,) = struct.unpack("i", queued)
    return unsent_bytes(transport) + int(kernel)


def discard_unsent(transport: Any) -> None:
    """Drop what a transport that has lost its connection did not send.

    Reference cycles keep the transport until the next garbage collection.

    Parameters
    ----------
    transport : Any
        A TCP transport of Twisted.
    """
    transport.dataBuffer = b""
    transport.offset = 0
    transport._tempDataBuffer = []  # noqa: SLF001 - not joined yet
    transport._tempDataLen = 0  # noqa: SLF001
