"""Heads: which version is accepted, and who signed it off."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

from primrosescale.version.exceptions import HeadError

if TYPE_CHECKING:
    from collections.abc import Mapping

SIGNED_PREFIX = b"primrosescale bundle "


@dataclass(frozen=True, slots=True)
class VersionHead:
    """An accepted version.

    The digest covers the version's number, because it is that of the root,
    so that a signature cannot be moved to another number.

    Parameters
    ----------
    version : int
        Its number; 0 stands for none.
    digest : str
        Name of its root section.
    approver : str
        Who signed it off.
    signature : bytes
        The approver's Ed25519 signature of the digest.
    """

    version: int
    digest: str
    approver: str
    signature: bytes

    def encode(self) -> bytes:
        """Return the head as the platform keeps it.

        Returns
        -------
        bytes
            JSON.
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
        """Read a head as the platform keeps it.

        Parameters
        ----------
        data : bytes
            JSON.

        Returns
        -------
        VersionHead
            The head.

        Raises
        ------
        HeadError
            When it is not a head.
        """
        try:
            fields = json.loads(data)
            return cls(
                int(fields["version"]),
                str(fields["digest"]),
                str(fields["approver"]),
                bytes.fromhex(fields["signature"]),
            )
        except (ValueError, KeyError, TypeError) as error:
            raise HeadError(0, "it is malformed") from error


NO_HEAD = VersionHead(0, "", "", b"")


def signed_bytes(digest: str) -> bytes:
    """Return what an approver signs.

    Parameters
    ----------
    digest : str
        Name of the version's root section.

    Returns
    -------
    bytes
        The digest with a prefix, so that no other signature fits.
    """
    return SIGNED_PREFIX + digest.encode()


def sign(digest: str, private_key: bytes) -> bytes:
    """Sign a version off.

    Parameters
    ----------
    digest : str
        Name of its root section.
    private_key : bytes
        The approver's Ed25519 key, 32 bytes.

    Returns
    -------
    bytes
        The signature, 64 bytes.
    """
    key = Ed25519PrivateKey.from_private_bytes(private_key)
    return key.sign(signed_bytes(digest))


class HeadVerifier:
    """Decides which heads a process takes.

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
            When none did.
        """
        key = self._keys.get(head.approver)
        if key is None:
            raise HeadError(head.version, f"{head.approver!r} is no trusted approver")
        try:
            key.verify(head.signature, signed_bytes(head.digest))
        except InvalidSignature as error:
            raise HeadError(head.version, "its signature is wrong") from error

    def is_newer(self, head: VersionHead, known: VersionHead) -> bool:
        """Tell whether a head goes before the one known.

        Parameters
        ----------
        head : VersionHead
            The head heard.
        known : VersionHead
            The head in force.

        Returns
        -------
        bool
            True for a higher number only.
        """
        return head.version > known.version
