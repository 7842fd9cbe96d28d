"""The form in which the origins of streams outlast the routers that know them.

Records are kept by service and version, as a router has thousands of streams and
targets of few versions.
"""

from __future__ import annotations

import base64
import binascii
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple

from primrosescale.checked_values import checked_integer
from primrosescale.checked_values import checked_text
from primrosescale.request.stream.stream_origin import KEY_BYTES
from primrosescale.request.stream.stream_origin import MAX_RETENTION_SECONDS
from primrosescale.request.stream.stream_origin import StreamOrigin

if TYPE_CHECKING:
    from collections.abc import Iterable

# The newest streams are archived; so many take 320 kB.
MAX_ARCHIVED = 20_000
SECONDS_PER_MILLISECOND = 0.001
MAX_EXPIRES_IN_MS = round(MAX_RETENTION_SECONDS / SECONDS_PER_MILLISECOND)


class ArchivedOrigin(NamedTuple):
    """What began one stream, and for how long that is kept.

    Parameters
    ----------
    key : bytes
        Key of the stream.
    origin : StreamOrigin
        What began it.
    expires_in : float
        Seconds for which the record is kept.
    """

    key: bytes
    origin: StreamOrigin
    expires_in: float


def encode_origins(archived: Iterable[ArchivedOrigin]) -> list[dict[str, Any]]:
    """Return the form in which records are written.

    Parameters
    ----------
    archived : Iterable[ArchivedOrigin]
        The records, the oldest first.

    Returns
    -------
    list[dict[str, Any]]
        A JSON value. Records of one origin share the longest time of them.
    """
    groups: dict[StreamOrigin, list[bytes]] = {}
    times: dict[StreamOrigin, float] = {}
    for item in list(archived)[-MAX_ARCHIVED:]:
        groups.setdefault(item.origin, []).append(item.key)
        times[item.origin] = max(item.expires_in, times.get(item.origin, 0.0))
    return [
        {
            "service": origin.service,
            "software_version": origin.software_version,
            "expires_in_ms": round(times[origin] / SECONDS_PER_MILLISECOND),
            "keys": base64.b64encode(b"".join(keys)).decode(),
        }
        for origin, keys in groups.items()
    ]


def decode_origins(content: Any) -> list[ArchivedOrigin]:
    """Return the records that were written.

    Parameters
    ----------
    content : Any
        The value, as read from the store.

    Returns
    -------
    list[ArchivedOrigin]
        The records, at most `MAX_ARCHIVED` of them.

    Raises
    ------
    ValueError
        When it is malformed.
    """
    try:
        found = [record for item in content for record in _records(item)]
        return found[-MAX_ARCHIVED:]
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed records of streams: {error!r}") from error


def _records(fields: dict[str, Any]) -> list[ArchivedOrigin]:
    """Return the records of one origin."""
    service = checked_text(fields["service"])
    version = fields["software_version"]
    if version is not None:
        checked_text(version)
    milliseconds = checked_integer(fields["expires_in_ms"], 0, MAX_EXPIRES_IN_MS)
    try:
        keys = base64.b64decode(fields["keys"], validate=True)
    except binascii.Error as error:
        raise TypeError(f"keys are no base64: {error}") from error
    if len(keys) % KEY_BYTES:
        raise TypeError(f"{len(keys)} bytes are no keys")
    origin = StreamOrigin(service, version)
    return [
        ArchivedOrigin(
            keys[begin : begin + KEY_BYTES],
            origin,
            milliseconds * SECONDS_PER_MILLISECOND,
        )
        for begin in range(0, len(keys), KEY_BYTES)
    ]
