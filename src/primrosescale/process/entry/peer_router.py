"""Another entry router: its entry in the list, and what was heard of it."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.connection.endpoint import Endpoint

# Own messages whose sending time is remembered for each other router.
REMEMBERED_SENDINGS = 64


@dataclass(frozen=True, slots=True)
class PeerRouter:
    """Another router as the store lists it.

    Parameters
    ----------
    name : str
        Name of its host.
    endpoint : Endpoint
        Where it takes news.
    domain : str
        Its failure domain; empty where its entry does not tell it.
    """

    name: str
    endpoint: Endpoint
    domain: str = ""


class RouterPeer:
    """What is known of one other router.

    Parameters
    ----------
    router : PeerRouter
        Its entry in the list.
    now : float
        Present time in seconds.
    """

    __slots__ = (
        "heard",
        "heard_at",
        "incarnation",
        "is_store_lost",
        "list_revision",
        "listed_at",
        "router",
        "sent_at",
        "targets_digest",
        "told_targets",
        "version",
    )

    def __init__(self, router: PeerRouter, now: float) -> None:
        self.router = router
        self.listed_at = now
        self.incarnation = 0
        self.heard = 0
        self.heard_at: float | None = None
        self.is_store_lost = False
        self.version = 0
        self.list_revision = 0
        self.sent_at: OrderedDict[int, float] = OrderedDict()
        # Of the targets that it knows, as it told last.
        self.targets_digest: int | None = None
        # Short names of the targets that its last message told requests of.
        self.told_targets: frozenset[int] = frozenset()

    def sends(self, sequence: int, now: float) -> None:
        """Remember when a message of this router went out to it.

        Parameters
        ----------
        sequence : int
            Number of the message.
        now : float
            Present time in seconds.
        """
        self.sent_at[sequence] = now
        if len(self.sent_at) > REMEMBERED_SENDINGS:
            self.sent_at.popitem(last=False)

    def is_new(self, incarnation: int, sequence: int) -> bool:
        """Take in the number of a message; tell whether it is news.

        Parameters
        ----------
        incarnation : int
            Number of the sender's incarnation.
        sequence : int
            Number of the message in that incarnation.

        Returns
        -------
        bool
            False for a message of a former incarnation, and for an older one.
        """
        if incarnation < self.incarnation:
            return False
        if incarnation > self.incarnation:
            self.incarnation = incarnation
            self.heard = 0
        if sequence <= self.heard:
            return False
        self.heard = sequence
        return True
