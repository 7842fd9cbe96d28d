"""Claims on idempotency keys, and the agent's interface to their ledger.

A non-idempotent request runs only after its idempotency key has been claimed in
the ledger, so that a retry with the same key is not run again.
"""

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
    """A claim on the right to run a non-idempotent request.

    Parameters
    ----------
    key : bytes
        Digest of service, organisation and idempotency key; 16 bytes.
    token : bytes
        Single-use identifier of the claimant.
    fingerprint : bytes
        Digest of the request itself; 16 bytes.
    writer : str
        Endpoint of the router that is asked first to write the claim; empty for
        the router that sent the call.
    """

    key: bytes
    token: bytes
    fingerprint: bytes
    writer: str


def claim_key(service: str, organisation: str, key: str) -> bytes:
    """Return the digest under which an idempotency key is claimed.

    Parameters
    ----------
    service : str
        Name of the service.
    organisation : str
        Organisation that sent the key.
    key : str
        The idempotency key as sent.

    Returns
    -------
    bytes
        Digest of 16 bytes.
    """
    parts = SEPARATOR.join(part.encode() for part in (service, organisation, key))
    return blake2b(parts, digest_size=DIGEST_BYTES).digest()


def request_fingerprint(method: str, path: str, body: bytes) -> bytes:
    """Return the digest that distinguishes requests sent with the same key.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path and query.
    body : bytes
        Request body.

    Returns
    -------
    bytes
        Digest of 16 bytes.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for part in (method.encode(), path.encode(), body):
        digest.update(part + SEPARATOR)
    return digest.digest()


class Ledger(ABC):
    """Records which non-idempotent requests have been claimed."""

    @abstractmethod
    def claim(self, claim: Claim, link: Link | None) -> Deferred[ClaimReply]:
        """Claim a key before its request runs.

        Parameters
        ----------
        claim : Claim
            The claim.
        link : Link | None
            Connection to the router that sent the call.

        Returns
        -------
        Deferred[ClaimReply]
            Never fails; `ClaimState.UNAVAILABLE` when no router could decide
            about the claim.
        """

    @abstractmethod
    def record(self, claim: Claim, answer: StoredAnswer) -> None:
        """Store the answer of a claimed request for retries with the same key.

        Parameters
        ----------
        claim : Claim
            A granted claim.
        answer : StoredAnswer
            The answer.
        """

    @abstractmethod
    def abandon(self, claim: Claim) -> None:
        """Release a claim whose request did not run and will not run.

        Parameters
        ----------
        claim : Claim
            The claim, granted or of unknown state.
        """
