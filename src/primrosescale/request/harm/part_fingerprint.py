"""Computes fingerprints by which routers recognise the same part of several prompts."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b

SEPARATOR = b"\0"
# Half of a fingerprint is the same for all organisations.
HALF_BYTES = 4
HALF_BITS = 8 * HALF_BYTES
# Fingerprints that are kept, at 0.3 kB each; parts that many prompts share recur.
CACHED_FINGERPRINTS = 4096


@lru_cache(maxsize=CACHED_FINGERPRINTS)
def part_fingerprint(organisation: str, model: str, part: str) -> int:
    """Return the digest of a prompt part of an organisation's requests to a model.

    Parameters
    ----------
    organisation : str
        The organisation; empty on open routes.
    model : str
        Name of the model; the part may be harmless to others.
    part : str
        Name of the part.

    Returns
    -------
    int
        64 bits, signed. The upper half depends on the model and the part alone, the
        lower half on the organisation too. The hash resists collisions, so that no
        caller can prepare a part that is taken for one of another organisation.
    """
    names = SEPARATOR.join((model.encode(), part.encode()))
    common = blake2b(names, digest_size=HALF_BYTES)
    own = blake2b(
        SEPARATOR.join((organisation.encode(), names)), digest_size=HALF_BYTES
    )
    return int.from_bytes(common.digest() + own.digest(), "big", signed=True)


def common_half(fingerprint: int) -> int:
    """Return the half of a part's fingerprint that all organisations have in common.

    Parameters
    ----------
    fingerprint : int
        The fingerprint.

    Returns
    -------
    int
        32 bits, signed.
    """
    return fingerprint >> HALF_BITS
