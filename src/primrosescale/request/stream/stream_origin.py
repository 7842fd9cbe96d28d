"""Records which service and software version began streams, for their resumption.

Targets of several software versions may serve side by side, and the events of two
versions do not fit together. A stream therefore continues only at the version that
sent its first event, whichever router continues it.
"""

from __future__ import annotations

from collections import OrderedDict
from hashlib import blake2b
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

KEY_BYTES = 12
# Seconds for which a record outlasts the attempt: the caller may be told to wait before
# it takes the stream up again.
RETENTION_SECONDS = 15.0
# Longest time for which a record of another router is kept.
MAX_RETENTION_SECONDS = 600.0
# At 8,200 streams a second over 420 routers, one has 2,400 records with copies of its
# peers' records.
MAX_RECORDS = 50_000


class StreamOrigin(NamedTuple):
    """The service and the software version whose target began a stream.

    Parameters
    ----------
    service : str
        Name of the service.
    software_version : str | None
        Version of the target's software; empty where its entry states none. None if it
        may have been either of two, so that the stream must not be resumed.
    """

    service: str
    software_version: str | None


def stream_key(organisation: str, attempt_id: str) -> bytes:
    """Return the key of a stream.

    The organisation is part of it, so that no caller can refer to a stream of another
    organisation.

    Parameters
    ----------
    organisation : str
        The organisation that the stream is made for; empty on open routes.
    attempt_id : str
        Id of the caller's attempt that began the stream.

    Returns
    -------
    bytes
        Its digest, `KEY_BYTES` long.
    """
    owner = organisation.encode(errors="surrogatepass")
    attempt = attempt_id.encode(errors="surrogatepass")
    digest = blake2b(b"%d:%b:" % (len(owner), owner), digest_size=KEY_BYTES)
    digest.update(attempt)
    return digest.digest()


class _Record:
    __slots__ = ("expires_at", "origin")

    def __init__(self, origin: StreamOrigin, expires_at: float) -> None:
        self.origin = origin
        self.expires_at = expires_at


class StreamOriginRecords:
    """The origins of streams by key, for a limited time and number.

    Where different origins are recorded for a key, its version is no longer known.
    """

    __slots__ = ("_records",)

    def __init__(self) -> None:
        self._records: OrderedDict[bytes, _Record] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of records, including expired ones."""
        return len(self._records)

    def record(
        self, key: bytes, origin: StreamOrigin, expires_at: float, now: float
    ) -> None:
        """Record the origin of a stream.

        Parameters
        ----------
        key : bytes
            Key of the stream.
        origin : StreamOrigin
            What began it.
        expires_at : float
            Time until which it is kept, in seconds.
        now : float
            Current time in seconds.
        """
        known = self._records.pop(key, None)
        if known is not None and now < known.expires_at:
            expires_at = max(expires_at, known.expires_at)
            if known.origin != origin:
                origin = StreamOrigin(origin.service, None)
        self._records[key] = _Record(origin, expires_at)
        self._drop_oldest(now)

    def find(self, key: bytes, now: float) -> StreamOrigin | None:
        """Return the origin of a stream.

        Parameters
        ----------
        key : bytes
            Key of the stream.
        now : float
            Current time in seconds.

        Returns
        -------
        StreamOrigin | None
            What began it; None if that is not known, or no longer.
        """
        known = self._records.get(key)
        return None if known is None or known.expires_at <= now else known.origin

    def unexpired(self, now: float) -> Iterator[tuple[bytes, StreamOrigin, float]]:
        """Yield the records that are kept, with the time until which they are.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Yields
        ------
        tuple[bytes, StreamOrigin, float]
            Key, origin and time in seconds, in the order in which they were recorded.
        """
        for key, known in self._records.items():
            if known.expires_at > now:
                yield key, known.origin, known.expires_at

    def _drop_oldest(self, now: float) -> None:
        while self._records:
            first = next(iter(self._records.values()))
            if first.expires_at > now and len(self._records) <= MAX_RECORDS:
                return
            self._records.popitem(last=False)
