"""An answer on its way out: numbered by offset, paced by credit."""

from __future__ import annotations

from dataclasses import dataclass

from xxhash import xxh3_128

from primrosescale.request.exceptions import AnswerCutError


@dataclass(frozen=True, slots=True)
class Piece:
    """Bytes of an answer and where they belong.

    Parameters
    ----------
    offset : int
        Bytes of the answer before it.
    data : bytes
        The bytes.
    """

    offset: int
    data: bytes


class AnswerBuffer:
    """Keeps an answer's bytes until its reader has them.

    Parameters
    ----------
    window : int
        Bytes that may be sent beyond what the reader has taken.
    keep : int
        Bytes of the answer kept so that a reader may resume.
    """

    def __init__(self, window: int, keep: int) -> None:
        self._window = window
        self._keep = keep
        self._data = bytearray()
        self._start = 0
        self._sent = 0
        self._credited = 0
        self._digest = xxh3_128()
        self._is_ended = False

    @property
    def length(self) -> int:
        """Return the bytes of the answer so far."""
        return self._start + len(self._data)

    @property
    def buffered_bytes(self) -> int:
        """Return the bytes held in memory."""
        return len(self._data)

    @property
    def digest(self) -> bytes:
        """Return the digest of the answer so far."""
        return bytes(self._digest.digest())

    @property
    def is_ended(self) -> bool:
        """Tell whether the answer is whole."""
        return self._is_ended

    @property
    def is_sent(self) -> bool:
        """Tell whether all bytes so far have been sent."""
        return self._sent >= self.length

    @property
    def backlog(self) -> int:
        """Return the bytes that the reader has not taken yet."""
        return self.length - self._credited

    @property
    def sent(self) -> int:
        """Return the offset up to which bytes were sent."""
        return self._sent

    def snapshot(self) -> bytes | None:
        """Return the whole answer so far.

        Returns
        -------
        bytes | None
            None when its beginning is no longer kept.
        """
        return None if self._start else bytes(self._data)

    def append(self, data: bytes) -> None:
        """Add bytes at the end.

        Parameters
        ----------
        data : bytes
            The bytes.
        """
        self._data += data
        self._digest.update(data)
        self._trim()

    def end(self) -> None:
        """Mark the answer as whole."""
        self._is_ended = True

    def take(self, most: int) -> Piece | None:
        """Return the next bytes that may be sent now.

        Parameters
        ----------
        most : int
            Bytes of one piece at the most.

        Returns
        -------
        Piece | None
            The piece, unless all is sent or credit has run out.
        """
        allowed = self._credited + self._window - self._sent
        size = min(most, allowed, self.length - self._sent)
        if size <= 0:
            return None
        begin = self._sent - self._start
        piece = Piece(self._sent, bytes(self._data[begin : begin + size]))
        self._sent += size
        return piece

    def credit(self, offset: int) -> None:
        """Take in that the reader has the answer up to an offset.

        Parameters
        ----------
        offset : int
            Bytes; beyond what was sent it counts as what was sent.
        """
        self._credited = max(self._credited, min(offset, self._sent))
        self._trim()

    def resume(self, offset: int) -> None:
        """Go back to an offset that a reader names.

        Parameters
        ----------
        offset : int
            Bytes that the reader has.

        Raises
        ------
        AnswerCutError
            When the bytes from there on are no longer kept.
        """
        if offset < self._start or offset > self.length:
            raise AnswerCutError(f"bytes from {offset} on are not kept")
        self._sent = offset
        self._credited = max(self._credited, offset)

    def _trim(self) -> None:
        """Drop bytes the reader has, beyond what is kept for resuming."""
        spare = min(len(self._data) - self._keep, self._credited - self._start)
        if spare > 0:
            del self._data[:spare]
            self._start += spare
