"""Computes fingerprints by which requests with the same content are recognised."""

from __future__ import annotations

from hashlib import blake2b

FINGERPRINT_BYTES = 8
SEPARATOR = b"\0"
FINGERPRINT_BITS = 8 * FINGERPRINT_BYTES


def content_fingerprint(organisation: str, path: bytes, body: bytes) -> int:
    """Return the digest of a request's content, which excludes its id.

    Parameters
    ----------
    organisation : str
        The organisation it is made for; empty on open routes.
    path : bytes
        Path and query.
    body : bytes
        Complete body.

    Returns
    -------
    int
        64 bits, signed. The hash resists collisions, so that no caller can prepare
        a request that is taken for one of another organisation.
    """
    head = SEPARATOR.join((organisation.encode(), path, b""))
    digest = blake2b(head, digest_size=FINGERPRINT_BYTES)
    digest.update(body)
    return int.from_bytes(digest.digest(), "big", signed=True)


def fingerprint_text(fingerprint: int) -> str:
    """Return a fingerprint in the form that the log uses.

    Parameters
    ----------
    fingerprint : int
        The fingerprint.

    Returns
    -------
    str
        Hexadecimal digits.
    """
    return f"{fingerprint % 2**FINGERPRINT_BITS:0{2 * FINGERPRINT_BYTES}x}"
