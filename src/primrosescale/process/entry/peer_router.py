"""Another entry router: its entry in the store, and the state received from it."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.connection.endpoint import Endpoint

# Number of messages to each other router whose sending times are kept.
MAX_SENT_TIMES = 64


@dataclass(frozen=True, slots=True)
class PeerRouter:
    """Another router as listed in the store.

    Parameters
    ----------
    name : str
        Name of its host.
    endpoint : Endpoint
        Where it receives state updates.
    domain : str
        Its failure domain; empty if its entry has none.
    incarnation : int
        Number of the incarnation that wrote the entry; 0 if it has none. It does not
        count in comparisons.
    """

    name: str
    endpoint: Endpoint
    domain: str = ""
    incarnation: int = field(default=0, compare=False)


class PeerState:
    """The state last received from one other router.

    Parameters
    ----------
    router : PeerRouter
        Its entry in the store.
    now : float
        Present time in seconds.
    """

    __slots__ = (
        "heard",
        "incarnation",
        "is_store_lost",
        "list_revision",
        "listed_at",
        "received_at",
        "reported_targets",
        "router",
        "sent_at",
        "targets_digest",
        "version",
    )

    def __init__(self, router: PeerRouter, now: float) -> None:
        self.router = router
        self.listed_at = now
        self.incarnation = 0
        # Sequence number of its last message, within its incarnation.
        self.heard = 0
        self.received_at: float | None = None
        self.is_store_lost = False
        self.version = 0
        self.list_revision = 0
        self.sent_at: OrderedDict[int, float] = OrderedDict()
        # Digest of the targets that it knows, as last reported.
        self.targets_digest: int | None = None
        # Keys of the targets for which its last message reported requests.
        self.reported_targets: frozenset[int] = frozenset()

    def record_sent(self, sequence: int, now: float) -> None:
        """Record when a message was sent to it.

        Parameters
        ----------
        sequence : int
            Sequence number of the message.
        now : float
            Present time in seconds.
        """
        self.sent_at[sequence] = now
        if len(self.sent_at) > MAX_SENT_TIMES:
            self.sent_at.popitem(last=False)

    def accept_sequence(self, incarnation: int, sequence: int) -> bool:
        """Record the sequence number of a received message unless it is outdated.

        Parameters
        ----------
        incarnation : int
            Number of the sender's incarnation.
        sequence : int
            Sequence number of the message within that incarnation.

        Returns
        -------
        bool
            False for a message of a former incarnation, and for one that is not newer
            than the last.
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
