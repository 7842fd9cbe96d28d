"""Buffers an answer in the agent, with credit-based flow control.

Bytes are addressed by their offset in the answer, so that a router can resume
after its connection was lost.
"""

from __future__ import annotations

from dataclasses import dataclass

from xxhash import xxh3_128

from primrosescale.request.exceptions import AnswerCutError


@dataclass(frozen=True, slots=True)
class Chunk:
    """A contiguous part of an answer.

    Parameters
    ----------
    offset : int
        Position of its first byte in the answer.
    data : bytes
        The bytes.
    """

    offset: int
    data: bytes


class AnswerBuffer:
    """Holds the bytes of an answer until its reader has acknowledged them.

    Parameters
    ----------
    window : int
        Maximum number of bytes sent beyond what the reader has acknowledged.
    keep : int
        Number of bytes retained so that a reader can resume.
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
        """Return the number of bytes of the answer so far."""
        return self._start + len(self._data)

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes held in memory."""
        return len(self._data)

    @property
    def digest(self) -> bytes:
        """Return the digest of the answer so far."""
        return bytes(self._digest.digest())

    @property
    def is_ended(self) -> bool:
        """Return whether the answer is complete."""
        return self._is_ended

    @property
    def is_sent(self) -> bool:
        """Return whether all bytes so far have been sent."""
        return self._sent >= self.length

    @property
    def backlog(self) -> int:
        """Return the number of bytes not yet acknowledged by the reader."""
        return self.length - self._credited

    @property
    def sent(self) -> int:
        """Return the offset up to which bytes have been sent."""
        return self._sent

    def snapshot(self) -> bytes | None:
        """Return the answer so far, from its first byte.

        Returns
        -------
        bytes | None
            The bytes; None when the first bytes have been evicted.
        """
        return None if self._start else bytes(self._data)

    def append(self, data: bytes) -> None:
        """Append bytes to the answer.

        Parameters
        ----------
        data : bytes
            The bytes.
        """
        self._data += data
        self._digest.update(data)
        self._trim()

    def end(self) -> None:
        """Mark the answer as complete."""
        self._is_ended = True

    def take(self, max_bytes: int) -> Chunk | None:
        """Return the next bytes that may be sent, and count them as sent.

        Parameters
        ----------
        max_bytes : int
            Maximum size of the chunk in bytes.

        Returns
        -------
        Chunk | None
            The chunk; None when all bytes are sent or the window is full.
        """
        allowed = self._credited + self._window - self._sent
        size = min(max_bytes, allowed, self.length - self._sent)
        if size <= 0:
            return None
        begin = self._sent - self._start
        chunk = Chunk(self._sent, bytes(self._data[begin : begin + size]))
        self._sent += size
        return chunk

    def credit(self, offset: int) -> None:
        """Record that the reader has received the answer up to an offset.

        Parameters
        ----------
        offset : int
            Offset in bytes, limited to the bytes sent.
        """
        self._credited = max(self._credited, min(offset, self._sent))
        self._trim()

    def resume(self, offset: int) -> None:
        """Continue sending from an offset requested by the reader.

        Parameters
        ----------
        offset : int
            Number of bytes that the reader has received.

        Raises
        ------
        AnswerCutError
            When bytes from that offset on have been evicted, or the offset is
            beyond the end of the answer.
        """
        if offset < self._start or offset > self.length:
            raise AnswerCutError(f"bytes from {offset} on are not kept")
        self._sent = offset
        self._credited = max(self._credited, offset)

    def _trim(self) -> None:
        """Evict acknowledged bytes beyond those retained for resuming."""
        removable = min(len(self._data) - self._keep, self._credited - self._start)
        if removable > 0:
            del self._data[:removable]
            self._start += removable
