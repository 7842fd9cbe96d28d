"""Heads as messages carry them."""

from __future__ import annotations

from primrosescale.connection.wire import ttypes as wire
from primrosescale.version.head import VersionHead


def to_wire(head: VersionHead) -> wire.Head:
    """Return a head for a message.

    Parameters
    ----------
    head : VersionHead
        The head.

    Returns
    -------
    wire.Head
        The same.
    """
    return wire.Head(head.version, head.digest, head.approver, head.signature)


def from_wire(head: wire.Head) -> VersionHead:
    """Return the head that a message carries.

    Parameters
    ----------
    head : wire.Head
        Part of a message.

    Returns
    -------
    VersionHead
        The same, not checked.
    """
    return VersionHead(head.version, head.digest, head.approver, head.signature)
