"""Storage format of the ledger's buckets and the rules that decide claims.

Claims are spread over buckets by the digest of their key. The recent claims of a
bucket are in its tail, a segment that is rewritten with each update. A full tail is
sealed: stored as a segment that never changes.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass

from primrosescale.connection.codec import decode_struct
from primrosescale.connection.codec import encode_struct
from primrosescale.connection.exceptions import FrameError
from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import ClaimState
from primrosescale.connection.wire.ttypes import ClaimVerb
from primrosescale.ini.options import COUNT
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option
from primrosescale.process.exceptions import ProcessError

FORMAT = 1
DIGEST_BYTES = 16
LAYOUT_KEY = f"ledger/v{FORMAT}/layout"
MILLISECONDS_PER_SECOND = 1000


class LedgerFormatError(ProcessError):
    """An object of the ledger is missing, malformed or of another format or layout."""

    def __init__(self, name: str, detail: str) -> None:
        super().__init__(
            f"ledger object {name} refused: {detail}",
            "use a release and settings that match it; claims are refused until then",
        )


@dataclass(frozen=True, slots=True)
class LedgerSettings:
    """Limits and intervals of the ledger."""

    buckets: int = option(
        COUNT,
        "number of buckets; cannot be changed once the ledger is in use",
        64,
    )
    retention: float = option(
        SECONDS,
        "minimum seconds for which a key is kept",
        24 * 3600.0,
    )
    seal_entries: int = option(
        COUNT,
        "number of entries at which the tail is sealed",
        2000,
    )
    seal_bytes: int = option(
        COUNT,
        "size in bytes at which the tail is sealed",
        400_000,
    )
    write_interval: float = option(
        SECONDS,
        "minimum seconds between two writes of one bucket",
        0.25,
    )
    claim_timeout: float = option(
        SECONDS,
        "seconds within which a claim is decided or refused",
        2.0,
    )


def bucket_of(key: bytes, buckets: int) -> int:
    """Return the bucket of a key.

    Parameters
    ----------
    key : bytes
        Digest of service, organisation and idempotency key.
    buckets : int
        Number of buckets.

    Returns
    -------
    int
        Number of the bucket, from 0.
    """
    return int.from_bytes(key[:8], "big") % buckets


def tail_name(bucket: int, buckets: int) -> str:
    """Return the object key of a bucket's tail, its open segment.

    Parameters
    ----------
    bucket : int
        The bucket.
    buckets : int
        Number of buckets.

    Returns
    -------
    str
        Object key.
    """
    return f"ledger/v{FORMAT}/{buckets}/{bucket:04d}/tail"


def sealed_name(bucket: int, buckets: int, version: int) -> str:
    """Return the object key of a sealed segment.

    Writers that seal the same version of a tail write the same bytes.

    Parameters
    ----------
    bucket : int
        The bucket.
    buckets : int
        Number of buckets.
    version : int
        Version of the tail when it was sealed.

    Returns
    -------
    str
        Object key.
    """
    return f"ledger/v{FORMAT}/{buckets}/{bucket:04d}/sealed/{version:016d}"


def encode_segment(segment: wire.LedgerSegment) -> bytes:
    """Encode a segment for storage in the platform.

    Parameters
    ----------
    segment : wire.LedgerSegment
        The segment.

    Returns
    -------
    bytes
        The segment in Thrift's compact protocol.
    """
    return encode_struct(segment)


def decode_segment(name: str, data: bytes) -> wire.LedgerSegment:
    """Decode a segment read from the platform.

    Parameters
    ----------
    name : str
        Its object key, for errors.
    data : bytes
        Content of the object.

    Returns
    -------
    wire.LedgerSegment
        The segment.

    Raises
    ------
    LedgerFormatError
        When it is malformed or its format is not supported.
    """
    segment = wire.LedgerSegment(FORMAT, [], [])
    try:
        decode_struct(segment, data)
    except FrameError as error:
        raise LedgerFormatError(name, str(error)) from error
    if segment.format != FORMAT:
        raise LedgerFormatError(name, f"format {segment.format}")
    return segment


class SealedIndex:
    """Sorted index of the keys of a sealed segment, 16 bytes each.

    Parameters
    ----------
    name : str
        Object key of the segment.
    segment : wire.LedgerSegment
        The segment.
    """

    __slots__ = ("_keys", "_name", "_newest_ms")

    def __init__(self, name: str, segment: wire.LedgerSegment) -> None:
        self._name = name
        self._keys = b"".join(sorted(entry.key for entry in segment.entries))
        written = [entry.written_ms for entry in segment.entries]
        self._newest_ms = max(written, default=0)

    @property
    def name(self) -> str:
        """Return the object key of the segment."""
        return self._name

    @property
    def newest_ms(self) -> int:
        """Return when the newest entry was written, in ms since 1970; 0 for none."""
        return self._newest_ms

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._keys) // DIGEST_BYTES

    def holds(self, key: bytes) -> bool:
        """Return whether a key is in the segment.

        Parameters
        ----------
        key : bytes
            Digest of the key.

        Returns
        -------
        bool
            True when the segment has an entry for the key.
        """
        position = bisect_left(range(len(self)), key, key=self._key_at)
        return position < len(self) and self._key_at(position) == key

    def _key_at(self, position: int) -> bytes:
        return self._keys[position * DIGEST_BYTES : (position + 1) * DIGEST_BYTES]


@dataclass(frozen=True, slots=True)
class Decision:
    """Decision on a request about a claim.

    Parameters
    ----------
    reply : wire.ClaimReply
        The reply to send once the entry is stored.
    entry : wire.LedgerEntry | None
        The entry to store first; None when the ledger does not change.
    """

    reply: wire.ClaimReply
    entry: wire.LedgerEntry | None


def decide(
    request: wire.ClaimRequest,
    known: wire.LedgerEntry | None,
    now_ms: int,
) -> Decision:
    """Decide on a request about a claim, given the stored entry of its key.

    A claim is never taken over: only its own claimant, identified by its
    token, can record an answer for it or abandon it.

    Parameters
    ----------
    request : wire.ClaimRequest
        The request.
    known : wire.LedgerEntry | None
        The stored entry; None when the key has none.
    now_ms : int
        Current time in milliseconds since 1970.

    Returns
    -------
    Decision
        The reply and the entry to store.
    """
    if request.verb == ClaimVerb.CLAIM:
        return _decide_claim(request, known, now_ms)
    is_own = known is not None and known.token == request.token
    if request.verb == ClaimVerb.ABANDON:
        if known is not None and not is_own:
            return Decision(_reply(request, ClaimState.HELD), None)
        if known is not None and known.state != ClaimState.GRANTED:
            return Decision(_reply(request, known.state), None)
        entry = _entry(request, ClaimState.ABANDONED, now_ms)
        return Decision(_reply(request, ClaimState.ABANDONED), entry)
    if not is_own or known is None or known.state == ClaimState.ABANDONED:
        return Decision(_reply(request, ClaimState.HELD), None)
    if known.state == ClaimState.RECORDED:
        return Decision(_reply(request, ClaimState.RECORDED), None)
    entry = _entry(request, ClaimState.RECORDED, now_ms)
    return Decision(_reply(request, ClaimState.RECORDED), entry)


def _decide_claim(
    request: wire.ClaimRequest,
    known: wire.LedgerEntry | None,
    now_ms: int,
) -> Decision:
    granted = Decision(
        _reply(request, ClaimState.GRANTED),
        _entry(request, ClaimState.GRANTED, now_ms),
    )
    if known is None:
        return granted
    if known.token == request.token:
        return Decision(_reply(request, known.state), None)
    if known.state == ClaimState.ABANDONED:
        return granted
    if known.fingerprint != request.fingerprint:
        return Decision(_reply(request, ClaimState.REUSED), None)
    if known.state == ClaimState.RECORDED:
        reply = wire.ClaimReply(request.number, ClaimState.RECORDED, known.answer)
        return Decision(reply, None)
    return Decision(_reply(request, ClaimState.HELD), None)


def _reply(request: wire.ClaimRequest, state: ClaimState) -> wire.ClaimReply:
    return wire.ClaimReply(request.number, state)


def _entry(
    request: wire.ClaimRequest,
    state: ClaimState,
    now_ms: int,
) -> wire.LedgerEntry:
    return wire.LedgerEntry(
        key=request.key,
        token=request.token,
        fingerprint=request.fingerprint,
        state=state,
        written_ms=now_ms,
        answer=request.answer if state == ClaimState.RECORDED else None,
    )
