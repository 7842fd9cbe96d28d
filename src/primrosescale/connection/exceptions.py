"""Exceptions raised by connections between processes."""

from __future__ import annotations

from primrosescale.exceptions import PrimrosescaleError

# Maximum bytes of an invalid line that an error message quotes.
MAX_QUOTED_BYTES = 64


class LinkError(PrimrosescaleError):
    """Base class of the exceptions of this package."""


class FrameError(LinkError):
    """A frame is not a valid message of the protocol."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"frame refused: {detail}",
            "run the same protocol version on both ends",
        )


class DialError(LinkError):
    """A connection could not be opened; nothing was sent on it."""

    def __init__(self, peer: str, detail: str) -> None:
        super().__init__(
            f"cannot connect to {peer}: {detail}",
            "check that the process runs and that its address is right",
        )


class ConnectionLimitError(LinkError):
    """A connection was not opened since the limit has been reached."""

    def __init__(self, peer: object, allowed: int) -> None:
        super().__init__(
            f"no further connection to {peer}: {allowed} allowed, and all in use",
            "wait until a request there has ended",
        )


class StatusLineError(LinkError):
    """An answer does not begin with a status line of HTTP."""

    def __init__(self, line: bytes) -> None:
        super().__init__(
            f"invalid status line {line[:MAX_QUOTED_BYTES]!r}",
            "look at the log of the server that sent it",
        )


class TlsError(LinkError):
    """The certificate or key files for TLS connections cannot be used."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"TLS material refused: {detail}",
            "check the files named in [tls]",
        )
