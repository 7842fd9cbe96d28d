"""Checks that an answer is one of HTTP, and arrives complete and unaltered."""

from __future__ import annotations

from xxhash import xxh3_128
from xxhash import xxh3_128_digest

from primrosescale.connection.status_line import is_final_status
from primrosescale.request.exceptions import AnswerCutError


class AnswerCheck:
    """Verifies the pieces of an answer by offset and digest."""

    def __init__(self) -> None:
        self._offset = 0
        self._digest = xxh3_128()

    @property
    def offset(self) -> int:
        """Return how many bytes of the answer have arrived."""
        return self._offset

    def accept(self, offset: int, data: bytes) -> bytes:
        """Return the new bytes of a piece.

        Parameters
        ----------
        offset : int
            Number of bytes of the answer before the piece.
        data : bytes
            The piece.

        Returns
        -------
        bytes
            The bytes that had not arrived yet; empty for a repeated piece.

        Raises
        ------
        AnswerCutError
            When bytes are missing before the piece.
        """
        if offset > self._offset:
            raise AnswerCutError(f"bytes {self._offset} to {offset} are missing")
        fresh = data[self._offset - offset :]
        self._digest.update(fresh)
        self._offset += len(fresh)
        return fresh

    def finish(self, length: int, digest: bytes) -> None:
        """Check that the answer is complete.

        Parameters
        ----------
        length : int
            Expected number of bytes.
        digest : bytes
            Expected digest.

        Raises
        ------
        AnswerCutError
            When length or digest differ.
        """
        if length != self._offset:
            raise AnswerCutError(f"{self._offset} bytes of {length} have come")
        if digest != self._digest.digest():
            raise AnswerCutError("the digest differs")


def checked_status(status: int) -> int:
    """Return the status of an answer that an agent passes on.

    Parameters
    ----------
    status : int
        The status received.

    Returns
    -------
    int
        The same status.

    Raises
    ------
    AnswerCutError
        When no answer of HTTP has it.
    """
    if not is_final_status(status):
        raise AnswerCutError(f"status {status} is none of HTTP")
    return status


def answer_digest(body: bytes) -> bytes:
    """Return the digest of a complete answer.

    Parameters
    ----------
    body : bytes
        The answer body.

    Returns
    -------
    bytes
        16 bytes.
    """
    return bytes(xxh3_128_digest(body))
