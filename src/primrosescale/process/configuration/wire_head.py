"""Converts version heads to and from their wire representation."""

from __future__ import annotations

from primrosescale.connection.wire import ttypes as wire
from primrosescale.version.head import VersionHead


def to_wire(head: VersionHead) -> wire.Head:
    """Convert a head to its wire representation.

    Parameters
    ----------
    head : VersionHead
        The head.

    Returns
    -------
    wire.Head
        The head as a field of a message.
    """
    return wire.Head(head.version, head.digest, head.approver, head.signature)


def from_wire(head: wire.Head) -> VersionHead:
    """Convert a head received in a message.

    Parameters
    ----------
    head : wire.Head
        The head as a field of a message.

    Returns
    -------
    VersionHead
        The head; its signature is not verified here.
    """
    return VersionHead(head.version, head.digest, head.approver, head.signature)
