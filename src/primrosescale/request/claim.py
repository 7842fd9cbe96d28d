"""What an agent needs of the ledger of claims."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from primrosescale.connection.link import Link
    from primrosescale.connection.wire.ttypes import ClaimReply
    from primrosescale.connection.wire.ttypes import StoredAnswer

DIGEST_BYTES = 16
SEPARATOR = b"\0"


@dataclass(frozen=True, slots=True)
class Claim:
    """One claimant's wish to run a non-idempotent request.

    Parameters
    ----------
    key : bytes
        Digest of service, organisation and idempotency key; 16 bytes.
    token : bytes
        Names the claimant; used once.
    fingerprint : bytes
        Digest of the request itself; 16 bytes.
    writer : str
        Endpoint of the router to ask first; empty for the calling one.
    """

    key: bytes
    token: bytes
    fingerprint: bytes
    writer: str


def claim_key(service: str, organisation: str, key: str) -> bytes:
    """Return the digest under which a key is claimed.

    Parameters
    ----------
    service : str
        The service.
    organisation : str
        Whose key it is.
    key : str
        The idempotency key as sent.

    Returns
    -------
    bytes
        16 bytes.
    """
    parts = SEPARATOR.join(part.encode() for part in (service, organisation, key))
    return blake2b(parts, digest_size=DIGEST_BYTES).digest()


def request_fingerprint(method: str, path: str, body: bytes) -> bytes:
    """Return the digest that tells two requests with one key apart.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path and query.
    body : bytes
        Content.

    Returns
    -------
    bytes
        16 bytes.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in (method.encode(), path.encode(), body):
        digest.update(part + SEPARATOR)
    return digest.digest()


class Ledger(ABC):
    """The record of which non-idempotent requests were claimed."""

    @abstractmethod
    def claim(self, claim: Claim, link: Link | None) -> Deferred[ClaimReply]:
        """Claim a key before its request runs.

        Parameters
        ----------
        claim : Claim
            The claim.
        link : Link | None
            Connection of the router whose call it is.

        Returns
        -------
        Deferred[ClaimReply]
            Never fails; `ClaimState.UNAVAILABLE` when nobody could tell.
        """

    @abstractmethod
    def record(self, claim: Claim, answer: StoredAnswer) -> None:
        """Keep the answer of a claimed request for repeats of its key.

        Parameters
        ----------
        claim : Claim
            A granted claim.
        answer : StoredAnswer
            The answer.
        """

    @abstractmethod
    def abandon(self, claim: Claim) -> None:
        """Give a claim back whose request never ran and never will.

        Parameters
        ----------
        claim : Claim
            The claim, granted or of unknown state.
        """
