"""Claims of one bucket of the ledger: what is stored and what it decides."""

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
LAYOUT_NAME = f"ledger/v{FORMAT}/layout"
MILLISECONDS_PER_SECOND = 1000


class LedgerFormatError(ProcessError):
    """A stored segment cannot be read."""

    def __init__(self, name: str, detail: str) -> None:
        super().__init__(
            f"ledger segment {name} refused: {detail}",
            "run a release and settings that fit it; claims are refused until then",
        )


@dataclass(frozen=True, slots=True)
class LedgerSettings:
    """Sizes and times of the ledger."""

    buckets: int = option(
        COUNT,
        "buckets that keys are spread over; fixed for the life of a ledger",
        64,
    )
    retention: float = option(
        SECONDS,
        "seconds for which a key is known at least",
        24 * 3600.0,
    )
    seal_entries: int = option(
        COUNT,
        "entries at which the tail is sealed",
        2000,
    )
    seal_bytes: int = option(
        COUNT,
        "bytes at which the tail is sealed",
        400_000,
    )
    write_interval: float = option(
        SECONDS,
        "seconds between two writes of one bucket at the least",
        0.25,
    )
    claim_timeout: float = option(
        SECONDS,
        "seconds within which a claim is decided or refused",
        2.0,
    )


def bucket_of(key: bytes, buckets: int) -> int:
    """Return the bucket that a key falls into.

    Parameters
    ----------
    key : bytes
        Digest of the key.
    buckets : int
        How many buckets there are.

    Returns
    -------
    int
        From 0.
    """
    return int.from_bytes(key[:8], "big") % buckets


def tail_name(bucket: int, buckets: int) -> str:
    """Return the name of a bucket's open segment.

    Parameters
    ----------
    bucket : int
        The bucket.
    buckets : int
        How many buckets there are.

    Returns
    -------
    str
        Key of an object.
    """
    return f"ledger/v{FORMAT}/{buckets}/{bucket:04d}/tail"


def sealed_name(bucket: int, buckets: int, version: int) -> str:
    """Return the name of a sealed segment.

    Whoever seals the tail that is at one version writes the same bytes.

    Parameters
    ----------
    bucket : int
        The bucket.
    buckets : int
        How many buckets there are.
    version : int
        Version of the tail that was sealed.

    Returns
    -------
    str
        Key of an object.
    """
    return f"ledger/v{FORMAT}/{buckets}/{bucket:04d}/sealed/{version:016d}"


def encode_segment(segment: wire.LedgerSegment) -> bytes:
    """Return a segment as the platform keeps it.

    Parameters
    ----------
    segment : wire.LedgerSegment
        The segment.

    Returns
    -------
    bytes
        Thrift's compact protocol.
    """
    return encode_struct(segment)


def decode_segment(name: str, data: bytes) -> wire.LedgerSegment:
    """Read a segment as the platform keeps it.

    Parameters
    ----------
    name : str
        Key of its object.
    data : bytes
        Its bytes.

    Returns
    -------
    wire.LedgerSegment
        The segment.

    Raises
    ------
    LedgerFormatError
        When it is malformed or of a format not known here.
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
    """The keys of a sealed segment, 16 bytes each.

    Parameters
    ----------
    name : str
        Key of its object.
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
        """Return the key of its object."""
        return self._name

    @property
    def newest_ms(self) -> int:
        """Return when its newest entry was written."""
        return self._newest_ms

    def __len__(self) -> int:
        """Return how many keys it has."""
        return len(self._keys) // DIGEST_BYTES

    def holds(self, key: bytes) -> bool:
        """Tell whether a key is in the segment.

        Parameters
        ----------
        key : bytes
            Digest of the key.

        Returns
        -------
        bool
            True when its entry is in the object.
        """
        place = bisect_left(range(len(self)), key, key=self._at)
        return place < len(self) and self._at(place) == key

    def _at(self, place: int) -> bytes:
        return self._keys[place * DIGEST_BYTES : (place + 1) * DIGEST_BYTES]


@dataclass(frozen=True, slots=True)
class Decision:
    """What becomes of a request about a claim.

    Parameters
    ----------
    reply : wire.ClaimReply
        The answer, once the entry below is stored.
    entry : wire.LedgerEntry | None
        What must be stored first; None when nothing changes.
    """

    reply: wire.ClaimReply
    entry: wire.LedgerEntry | None


def decide(
    request: wire.ClaimRequest,
    known: wire.LedgerEntry | None,
    now_ms: int,
) -> Decision:
    """Decide about a claim, given what is stored of its key.

    A claim is never taken over: only its own claimant, known by its token,
    can record or abandon it.

    Parameters
    ----------
    request : wire.ClaimRequest
        What is asked.
    known : wire.LedgerEntry | None
        What is stored.
    now_ms : int
        Present time in milliseconds since 1970.

    Returns
    -------
    Decision
        Reply and change.
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
