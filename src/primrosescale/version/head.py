"""Version heads: the signed reference to an accepted version, and its checks."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

from primrosescale.checked_values import MAX_INT64
from primrosescale.checked_values import checked_integer
from primrosescale.checked_values import checked_text
from primrosescale.version.exceptions import HeadError

if TYPE_CHECKING:
    from collections.abc import Mapping

SIGNED_PREFIX = b"primrosescale bundle "


@dataclass(frozen=True, slots=True)
class VersionHead:
    """Signed reference to an accepted version.

    The digest is that of the root section, which contains the version's number,
    so that a signature cannot be reused for another number.

    Parameters
    ----------
    version : int
        Number of the version; 0 for none.
    digest : str
        Digest of its root section.
    approver : str
        Name of the approver who signed it.
    signature : bytes
        The approver's Ed25519 signature of the digest.
    """

    version: int
    digest: str
    approver: str
    signature: bytes

    def encode(self) -> bytes:
        """Encode the head for storage in the platform.

        Returns
        -------
        bytes
            The head as JSON.
        """
        return json.dumps(
            {
                "version": self.version,
                "digest": self.digest,
                "approver": self.approver,
                "signature": self.signature.hex(),
            },
        ).encode()

    @classmethod
    def decode(cls, data: bytes) -> VersionHead:
        """Decode a head read from the platform.

        Parameters
        ----------
        data : bytes
            The head as JSON.

        Returns
        -------
        VersionHead
            The head.

        Raises
        ------
        HeadError
            When the data is malformed.
        """
        try:
            fields = json.loads(data)
            return cls(
                checked_integer(fields["version"], 0, MAX_INT64),
                checked_text(fields["digest"]),
                checked_text(fields["approver"]),
                bytes.fromhex(fields["signature"]),
            )
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise HeadError(0, "it is malformed") from error


NO_HEAD = VersionHead(0, "", "", b"")


def signed_message(digest: str) -> bytes:
    """Return the bytes that an approver signs.

    Parameters
    ----------
    digest : str
        Digest of the version's root section.

    Returns
    -------
    bytes
        The digest with a prefix, so that signatures made with the same key for
        other purposes are not valid for a version.
    """
    return SIGNED_PREFIX + digest.encode()


def sign(digest: str, private_key: bytes) -> bytes:
    """Sign a version as its approver.

    Parameters
    ----------
    digest : str
        Digest of its root section.
    private_key : bytes
        The approver's Ed25519 private key, 32 bytes.

    Returns
    -------
    bytes
        Ed25519 signature, 64 bytes.
    """
    key = Ed25519PrivateKey.from_private_bytes(private_key)
    return key.sign(signed_message(digest))


class HeadVerifier:
    """Verifies heads and decides which of two is newer.

    Parameters
    ----------
    approvers : Mapping[str, bytes]
        Ed25519 public keys of the trusted approvers by name, 32 bytes each.
    """

    def __init__(self, approvers: Mapping[str, bytes]) -> None:
        self._keys = {
            name: Ed25519PublicKey.from_public_bytes(key)
            for name, key in approvers.items()
        }

    def verify(self, head: VersionHead) -> None:
        """Check that a trusted approver signed a head.

        Parameters
        ----------
        head : VersionHead
            The head.

        Raises
        ------
        HeadError
            When the approver is not trusted or the signature is invalid.
        """
        key = self._keys.get(head.approver)
        if key is None:
            raise HeadError(head.version, f"{head.approver!r} is no trusted approver")
        try:
            key.verify(head.signature, signed_message(head.digest))
        except InvalidSignature as error:
            raise HeadError(head.version, "its signature is wrong") from error

    def is_newer(self, head: VersionHead, known: VersionHead) -> bool:
        """Return whether a head replaces the known one.

        Parameters
        ----------
        head : VersionHead
            The announced head.
        known : VersionHead
            The head in force.

        Returns
        -------
        bool
            True for a higher number only.
        """
        return head.version > known.version
